// The fixture for tests of the platform gateway: a configuration, a client and an environment that record the
// calls to them, and a RequestLifecycle between the two that runs on a fake clock.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>

#include "platform/config.h"
#include "platform/request_lifecycle.h"

namespace gorsenotch::test {

using namespace gorsenotch::platform;

inline const char* const kConfig = R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500",
 "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":512},
 "known":{"seq":4,"whole":true,"hosts":[
  {"host":"r1","dial":"10.0.0.1:1","site":"a","class":"prefill","block":1,"health":"up","share":1.0,"born_ms":0},
  {"host":"r2","dial":"10.0.0.2:1","site":"a","class":"prefill","block":1,"health":"up","share":1.0,"born_ms":0},
  {"host":"w1","dial":"10.0.0.3:1","site":"a","class":"decode","block":1,"health":"up","share":1.0,"born_ms":0}]},
 "settings":{"Azs":["a","b"],"Zone":"b","Balancers":2,"Flavors":["prefill","decode"],
  "FamilyInfo":{"RoleByKind":["read","write"],"KindMemoryTokens":[200000,150000],"LetGoByMs":1000.0,
   "Resume":true,"Ahead":true,"TokenAimMs":[60.0,50.0],"AimUsPer1000PromptTokens":[40000.0,60000.0]},
  "Ceilings":{"AttemptsCap":6,"Cancel":true,"DialTimeoutMs":250.0,"IdleCloseMs":15000.0},
  "Lanes":[{"Name":"chat","SloMs":1500.0,"DeadlineMs":6000.0,"Importance":3.0,"Effect":"repeatable"},
           {"Name":"bulk job","SloMs":1000.0,"DeadlineMs":5000.0,"Effect":"once"}],
  "Tenants":[{"Name":"acme","QuotaPerS":100.0}],"StepMs":4.0}})";

// `text` with the first occurrence of `from`, which has to exist, replaced by `to`.
inline std::string replace_once(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
inline const std::string kPrefillAnswer = "HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}";
inline std::string chunked(const std::string& text) { return http::chunk(text); }
// The end of a whole answer: its end marker, and the last chunk.
inline const std::string kStreamEnd = chunked("data: [DONE]\n\n") + "0\r\n\r\n";
// A whole answer with one event.
inline const std::string kWholeAnswer = kStreamHead + chunked("data: a\n\n") + kStreamEnd;

// Records the answer to its request.
struct RecordingClient : Client {
    std::string events;
    int streams_begun = 0;
    int answers_ended = 0;
    int status = 0;
    bool stream_aborted = false;
    bool disconnected = false;  // the client has closed its connection; RequestLifecycle does not know yet
    bool congested = false;
    std::uint64_t acknowledged = 0;

    bool is_congested() const override { return congested; }
    std::uint64_t acknowledged_bytes() const override { return acknowledged; }
    bool has_disconnected() override { return disconnected; }
    void begin_stream(std::string_view first) override {
        ++streams_begun;
        events.append(first);
    }
    void send_events(std::string_view more) override { events.append(more); }
    void finish_stream() override { ++answers_ended; }
    void abort_stream() override {
        ++answers_ended;
        stream_aborted = true;
    }
    void send_final(int final_status, Millis, std::string_view) override {
        ++answers_ended;
        status = final_status;
    }
};

// A fake clock, and a record of each exchange that was started.
struct FakeEnvironment : Environment {
    struct StartedExchange {
        std::string address, request;
        std::shared_ptr<platform::UpstreamExchange> exchange;
        bool closed = false;
        std::function<void()> on_peer_closed = nullptr;  // set while only the sending direction has ended
        bool paused = false;
        int pauses = 0;  // how often it was paused
    };
    Millis now_ms = 1000;
    Millis connect_time = 0;
    bool manual_connect = false;  // the test reports by itself when a connection is established
    std::vector<StartedExchange> exchanges;
    Millis now() override { return now_ms; }
    void start_exchange(const std::string& address, proxy::OutboundRequest outbound,
                        std::shared_ptr<platform::UpstreamExchange> exchange, Connection) override {
        if (manual_connect)
            return exchanges.push_back({address, outbound.text(), std::move(exchange), false, nullptr});
        if (!exchange->may_start()) {
            exchanges.push_back({address, "", exchange, true, nullptr});
            return exchange->on_not_sent();
        }
        now_ms += connect_time;
        exchange->stamp_request(outbound.head);
        exchange->on_first_byte_sent();
        exchange->on_request_written();
        exchanges.push_back({address, outbound.text(), std::move(exchange), false, nullptr});
    }
    void pause(const platform::UpstreamExchange& exchange, bool paused) override {
        for (StartedExchange& started : exchanges) {
            if (started.exchange.get() != &exchange) continue;
            started.paused = paused;
            started.pauses += paused ? 1 : 0;
        }
    }
    void close(const platform::UpstreamExchange& exchange) override {
        for (StartedExchange& started : exchanges) started.closed |= started.exchange.get() == &exchange;
    }
    void end_sending(const platform::UpstreamExchange& exchange, Millis,
                     std::function<void()> on_peer_closed) override {
        for (StartedExchange& started : exchanges) {
            if (started.exchange.get() != &exchange) continue;
            started.closed = true;
            started.on_peer_closed = on_peer_closed;
        }
    }
    bool has_idle_connection(const std::string&) override { return false; }
    void log(const char*, const char*, const std::string&) override {}
};

// Advances the fake clock by `duration` in steps and runs the lifecycle's timers that become due.
inline void advance_clock(FakeEnvironment& environment, RequestLifecycle& lifecycle, Millis duration,
                          Millis step) {
    for (const Millis end = environment.now_ms + duration; environment.now_ms < end;) {
        environment.now_ms += step;
        lifecycle.after_poll(environment.now_ms);
        lifecycle.tick();
        lifecycle.before_poll(environment.now_ms + step);
    }
}

// Connects a RequestLifecycle to the fakes; each test has to leave no request, attempt or release behind.
struct PlatformTest : ::testing::Test {
    explicit PlatformTest(const std::string& text = kConfig) : config(parse_config(text, "", "")) {}
    Config config;
    FakeEnvironment environment;
    EndpointList endpoints{config.named, 0};
    RequestLifecycle lifecycle{config.named, 1, endpoints, environment};
    RecordingClient client;

    void SetUp() override { apply_list(config.cached_list); }
    void TearDown() override {
        EXPECT_EQ(lifecycle.open_requests(), 0u);
        EXPECT_EQ(lifecycle.attempts_in_flight(), 0u);
        EXPECT_EQ(lifecycle.releases_in_progress(), 0u);
    }
    void apply_list(const std::string& text) {
        std::string rejection;
        auto update =
            endpoints.apply(text, EndpointList::Source::same_address, environment.now_ms, rejection);
        ASSERT_TRUE(update) << rejection;
        lifecycle.on_endpoint_update(std::move(*update));
    }
    std::uint64_t send_request(const std::string& txn, RecordingClient& recorder, int cls = 0) {
        Inbound inbound;
        inbound.txn = txn, inbound.head = "POST /v1/chat/completions HTTP/1.1\r\nx-txn: " + txn + "\r\n",
        inbound.body = "{}";
        inbound.arrival.cls = cls, inbound.arrival.deadline = 5000, inbound.arrival.tenant = 0,
        inbound.arrival.prompt_tokens = 100;
        return lifecycle.on_request(std::move(inbound), 0, &recorder);
    }
    void advance(Millis duration) { advance_clock(environment, lifecycle, duration, 5); }
    FakeEnvironment::StartedExchange& last_exchange() { return environment.exchanges.back(); }
    // Delivers response bytes to the exchange that was started last.
    void answer(const std::string& bytes) { last_exchange().exchange->on_data(bytes); }
    void answer_prefill() { answer(kPrefillAnswer); }
    std::size_t release_calls() const {
        return static_cast<std::size_t>(std::count_if(
            environment.exchanges.begin(), environment.exchanges.end(),
            [](const auto& started) { return started.request.rfind("DELETE /bootstrap/rooms/", 0) == 0; }));
    }
    void drain_decode_endpoint(bool draining = true) {
        apply_list(
            std::string(
                R"({"seq":9,"whole":false,"hosts":[{"host":"w1","dial":"10.0.0.3:1","site":"a","class":"decode",)") +
            R"("block":1,"share":1.0,"born_ms":0,"health":")" + (draining ? "draining" : "up") + "\"}]}");
    }
    // Answers all release calls, including those of second and third releases.
    void answer_all_releases() {
        for (int round = 0; round < 3; ++round) {
            for (std::size_t index = 0; index < environment.exchanges.size(); ++index) {
                auto& started = environment.exchanges[index];
                if (started.request.rfind("DELETE", 0) == 0 && !started.exchange->has_outcome())
                    started.exchange->on_data("HTTP/1.1 204 No Content\r\n\r\n");
            }
            advance(400);
        }
    }
    // Answers the latest exchange, which has to be a release call for t1.
    void answer_release() {
        ASSERT_EQ(last_exchange().request.rfind("DELETE /bootstrap/rooms/t1 ", 0), 0u)
            << last_exchange().request;
        answer("HTTP/1.1 204 No Content\r\n\r\n");
    }
};

}  // namespace gorsenotch::test
