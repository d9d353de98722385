// A world for tests of the platform's parts: a configuration, a client and ports that only note what is asked
// of them, and a RequestLifecycle between the two on a clock of the test's own.
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

inline std::string with(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

inline const std::string kStream =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
inline std::string chunked(const std::string& text) { return http::chunk(text); }

// Records what its request is answered with.
struct RecordingClient : Client {
    std::string events;
    int begun = 0;
    int ended = 0;
    int status = 0;
    bool cutoff = false;
    bool closed = false;  // its connection, though nobody has read that yet

    bool has_disconnected() override { return closed; }
    void begin_stream(std::string_view first) override {
        ++begun;
        events.append(first);
    }
    void send_events(std::string_view more) override { events.append(more); }
    void finish_stream() override { ++ended; }
    void abort_stream() override {
        ++ended;
        cutoff = true;
    }
    void send_final(int final_status, Millis, std::string_view) override {
        ++ended;
        status = final_status;
    }
};

// A clock of the test's own, and a note of each exchange that was started.
struct FakeEnvironment : Environment {
    struct Sent {
        std::string address, request;
        std::shared_ptr<platform::UpstreamExchange> attempt;
        bool closed = false;
    };
    Millis clock = 1000;
    Millis dial = 0;          // how long connections take to come up
    bool dials_wait = false;  // the test says itself when one has come up
    std::vector<Sent> sent;
    Millis now() override { return clock; }
    void start_exchange(const std::string& address, std::string request,
                        std::shared_ptr<platform::UpstreamExchange> exchange, Connection) override {
        if (dials_wait) return sent.push_back({address, std::move(request), std::move(exchange), false});
        if (!exchange->may_start()) {
            sent.push_back({address, "", exchange, true});
            return exchange->on_not_sent();
        }
        clock += dial;
        exchange->stamp_request(request);
        exchange->on_first_byte_sent();
        exchange->on_request_written();
        sent.push_back({address, std::move(request), std::move(exchange), false});
    }
    void pause(const platform::UpstreamExchange&, bool) override {}
    void close(const platform::UpstreamExchange& exchange) override {
        for (Sent& each : sent) each.closed |= each.attempt.get() == &exchange;
    }
    bool has_idle_connection(const std::string&) override { return false; }
    void log(const char*, const char*, const std::string&) override {}
};

struct PlatformTest : ::testing::Test {
    explicit PlatformTest(const std::string& text = kConfig) : config(parse_config(text, "", "")) {}
    Config config;
    FakeEnvironment world;
    EndpointList hosts{config.named, 0};
    RequestLifecycle lifecycle{config.named, 1, hosts, world};
    RecordingClient client;

    void SetUp() override { list(config.cached_list); }
    void TearDown() override {
        EXPECT_EQ(lifecycle.open_requests(), 0u);
        EXPECT_EQ(lifecycle.attempts_in_flight(), 0u);
        EXPECT_EQ(lifecycle.releases_in_progress(), 0u);
    }
    void list(const std::string& text) {
        std::string why;
        auto update = hosts.take(text, EndpointList::Source::same_address, world.clock, why);
        ASSERT_TRUE(update) << why;
        lifecycle.on_endpoint_update(std::move(*update));
    }
    std::uint64_t send_request(const std::string& txn, RecordingClient& asker, int cls = 0) {
        Inbound in;
        in.txn = txn, in.head = "POST /v1/chat/completions HTTP/1.1\r\nx-txn: " + txn + "\r\n",
        in.body = "{}";
        in.arrival.cls = cls, in.arrival.deadline = 5000, in.arrival.tenant = 0,
        in.arrival.prompt_tokens = 100;
        return lifecycle.on_request(std::move(in), 0, &asker);
    }
    void advance(Millis ms) {
        for (const Millis until = world.clock + ms; world.clock < until;) {
            world.clock += 5;
            lifecycle.after_poll(world.clock);
            lifecycle.tick();
            lifecycle.before_poll(world.clock + 5);
        }
    }
    FakeEnvironment::Sent& last() { return world.sent.back(); }
    void answer(const std::string& bytes) { last().attempt->on_data(bytes); }
    void answer_prefill() { answer("HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}"); }
    std::size_t releases() const {
        return static_cast<std::size_t>(std::count_if(
            world.sent.begin(), world.sent.end(),
            [](const auto& each) { return each.request.rfind("DELETE /bootstrap/rooms/", 0) == 0; }));
    }
    void drain_decode_endpoint(bool on = true) {
        list(
            std::string(
                R"({"seq":9,"whole":false,"hosts":[{"host":"w1","dial":"10.0.0.3:1","site":"a","class":"decode",)") +
            R"("block":1,"share":1.0,"born_ms":0,"health":")" + (on ? "draining" : "up") + "\"}]}");
    }
    // All releases are answered, the second ones too.
    void answer_all_releases() {
        for (int i = 0; i < 2; ++i) {
            for (std::size_t n = 0; n < world.sent.size(); ++n) {
                auto& sent = world.sent[n];
                if (sent.request.rfind("DELETE", 0) == 0 && !sent.attempt->is_over())
                    sent.attempt->on_data("HTTP/1.1 204 No Content\r\n\r\n");
            }
            advance(400);
        }
    }
    void release() {
        ASSERT_EQ(last().request.rfind("DELETE /bootstrap/rooms/t1 ", 0), 0u) << last().request;
        answer("HTTP/1.1 204 No Content\r\n\r\n");
    }
};

}  // namespace gorsenotch::test
