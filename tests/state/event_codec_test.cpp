// The journal's JSON for events and actions. The format is stored data, so each encoding is spelled out here.
#include "state/event_codec.h"

#include <gtest/gtest.h>

#include "state/action_codec.h"

namespace gorsenotch::state {
namespace {

// An event and its encoding in the journal.
struct EncodedEvent {
    Event event;
    std::string json;
};

std::vector<EncodedEvent> encoded_events() {
    Arrival arrival;
    arrival.request = "r";
    arrival.cls = 1;
    arrival.tenant = 2;
    arrival.session = 18446744073709551615ULL;
    arrival.shared_prefix = 3;
    arrival.deadline = 4.5;
    arrival.length_hint = 6;
    arrival.prompt_tokens = 7;
    arrival.shared_prefix_tokens = 8;
    arrival.max_tokens = 9;
    arrival.client_retry = true;
    AttemptEnded ended;
    ended.request = "r";
    ended.attempt = 1;
    ended.endpoint = 2;
    ended.result = AttemptResult::prefill_done;
    ended.took = 3.5;
    ended.request_closed = true;
    ended.detail = 4;
    ended.report = {0.5, 6, 7};
    Endpoint endpoint;
    endpoint.id = 5;
    endpoint.zone = 1;
    endpoint.kind = 2;
    endpoint.cell = 3;
    endpoint.status = EndpointStatus::draining;
    endpoint.weight = 0.5;
    endpoint.started_at = 6;
    EndpointUpdate update;
    update.kind = EndpointUpdate::Kind::failed;
    update.endpoints = {endpoint};
    const std::string status = std::to_string(static_cast<int>(EndpointStatus::draining));
    const std::string kind = std::to_string(static_cast<int>(EndpointUpdate::Kind::failed));
    const std::string result = std::to_string(static_cast<int>(AttemptResult::prefill_done));
    return {
        {arrival,
         R"({"again":true,"back":false,"c":1,"d":4.5,"e":"arrival","g":2,"h":6.0,"m":9.0,"p":7.0,"q":8.0,)"
         R"("r":"r","s":18446744073709551615,"x":3})"},
        {ended, R"({"e":"outcome","load":[0.5,6.0,7.0],"n":1,"note":4.0,"r":"r","s":2,"took":3.5,"w":)" +
                    result + R"(,"z":true})"},
        {FirstToken{"r", 1, 2, 3.5}, R"({"e":"first","n":1,"r":"r","s":2,"took":3.5})"},
        {ReservationReply{"r", 2, true}, R"({"e":"place","held":true,"r":"r","s":2})"},
        {ClientDisconnected{"r"}, R"({"e":"gone","r":"r"})"},
        {update, R"({"e":"list","form":)" + kind + R"(,"of":[[5,1,2,3,)" + status + R"(,0.5,6.0]]})"},
        {HealthCheckResult{2, true, 3.5, {0.5, 6, 7}},
         R"({"e":"probe","good":true,"load":[0.5,6.0,7.0],"s":2,"took":3.5})"},
        {TimerFired{7}, R"({"e":"due","l":7})"},
        {LeaseReleased{"r"}, R"({"e":"released","r":"r"})"},
        {Shutdown{}, R"({"e":"shutdown"})"},
    };
}

TEST(EventCodec, EachEventIsEncodedAsInStoredJournals) {
    const auto encoded = encoded_events();
    ASSERT_EQ(encoded.size(), std::variant_size_v<Event>);
    for (const EncodedEvent& entry : encoded) EXPECT_EQ(event_to_json(entry.event).dump(), entry.json);
}

TEST(EventCodec, EachEventIsDecoded) {
    for (const EncodedEvent& entry : encoded_events()) {
        const Event decoded = event_from_json(nlohmann::json::parse(entry.json));
        EXPECT_EQ(decoded.index(), entry.event.index());
        EXPECT_EQ(event_to_json(decoded).dump(), entry.json);
    }
}

TEST(ActionCodec, EachActionIsEncodedAsInStoredJournals) {
    StartAttempt start;
    start.request = "r";
    start.endpoint = 2;
    start.timeout = 3.5;
    start.send_by = 4;
    StopAttempt stop;
    stop.request = "r";
    stop.attempt = 1;
    Reject reject;
    reject.request = "r";
    reject.retry_after = 5;
    SetTimer set_timer;
    set_timer.timer = 6;
    set_timer.at = 7.5;
    EXPECT_EQ(action_to_json(start).dump(), R"({"a":"attempt","by":4.0,"limit":3.5,"r":"r","s":2})");
    EXPECT_EQ(action_to_json(stop).dump(), R"({"a":"stop","n":1,"r":"r"})");
    EXPECT_EQ(action_to_json(ReserveSlot{"r", 2}).dump(), R"({"a":"hold","r":"r","s":2})");
    EXPECT_EQ(action_to_json(ReleaseLease{"r"}).dump(), R"({"a":"drop","r":"r"})");
    EXPECT_EQ(action_to_json(reject).dump(), R"({"a":"refuse","pause":5.0,"r":"r"})");
    EXPECT_EQ(action_to_json(Fail{"r"}).dump(), R"({"a":"fail","r":"r"})");
    EXPECT_EQ(action_to_json(MigrateStream{"r"}).dump(), R"({"a":"move","r":"r"})");
    EXPECT_EQ(action_to_json(HealthCheck{2}).dump(), R"({"a":"probe","s":2})");
    EXPECT_EQ(action_to_json(set_timer).dump(), R"({"a":"timer","at":7.5,"l":6})");
    EXPECT_EQ(action_to_json(WatchEndpoints{}).dump(), R"({"a":"subscribe"})");
    EXPECT_EQ(action_to_json(PollEndpoints{}).dump(), R"({"a":"fetch"})");
    EXPECT_EQ(action_to_json(Log{"text"}).dump(), R"({"a":"log","text":"text"})");
}

}  // namespace
}  // namespace gorsenotch::state
