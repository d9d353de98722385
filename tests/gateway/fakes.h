// A RequestLifecycle with a world of the test's own: the clock, the engines' bytes and the clients are in its
// hands.
#pragma once

#include <gtest/gtest.h>

#include "api/messages.h"
#include "gateway/request_lifecycle.h"

namespace gorsenotch::test {

using gateway::RequestLifecycle;
using gateway::UpstreamExchange;

struct FakeClient : gateway::Client {
    std::string stream;
    int begun = 0, finals = 0, status = 0;
    std::optional<bool> retry;
    Millis pause = -1;
    bool gone = false;  // the test has taken it away: nothing may come any more
    void begin_stream() override {
        EXPECT_FALSE(gone);
        ++begun, status = 200;
    }
    void send_body(std::string bytes) override {
        EXPECT_FALSE(gone);
        EXPECT_EQ(finals, 0);
        stream += bytes;
    }
    void finish_stream() override {
        ++finals;
        EXPECT_FALSE(gone);
    }
    void send_complete(int answer_status, std::string bytes, Millis retry_after,
                       std::optional<bool> should_retry) override {
        EXPECT_FALSE(gone);
        ++finals;
        status = answer_status;
        stream += bytes;
        pause = retry_after;
        retry = should_retry;
    }
};

struct Sent {
    std::string address;
    proxy::UpstreamRequest wanted;
    std::shared_ptr<UpstreamExchange> exchange;
    bool closed = false, paused = false;
    std::string id() const { return *http::find(wanted.headers, "x-request-id"); }
    bool read() const { return wanted.body.find("\"do_remote_decode\":true") != std::string::npos; }
};

struct FakeWorld : gateway::Environment {
    Millis clock = 1000;
    std::vector<Sent> sent;
    std::vector<std::pair<std::string, std::string>> let_go;  // address, read's id
    Millis now() override { return clock; }
    Millis wall_ms() override { return 1e12 + clock; }
    void start_exchange(const std::string& a, proxy::UpstreamRequest request,
                        std::shared_ptr<UpstreamExchange> exchange) override {
        sent.push_back({a, std::move(request), std::move(exchange)});
    }
    void pause(const UpstreamExchange& exchange, bool on) override {
        for (auto& attempt : sent) {
            if (attempt.exchange.get() == &exchange) attempt.paused = on;
        }
    }
    void close(const UpstreamExchange& exchange) override {
        for (auto& attempt : sent) {
            if (attempt.exchange.get() == &exchange) attempt.closed = true;
        }
    }
    void send_detached(const std::string& a, proxy::UpstreamRequest request, Millis) override {
        EXPECT_EQ(request.target, "/abort_request");
        let_go.emplace_back(a, api::Json::parse(request.body)["rid"].get<std::string>());
    }
    void log(const char*, const char*, api::Json) override {}
};

inline std::string http_answer(int status, const std::string& type, const std::string& body) {
    return http::response_head(status,
                               {{"content-type", type}, {"content-length", std::to_string(body.size())}}) +
           body;
}

inline std::string read_answer(const std::string& id) {
    return http_answer(200, "application/json",
                       "{\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":1,\"prompt_tokens_details\":"
                       "{\"cached_tokens\":40}},\"kv_transfer_params\":{\"do_remote_prefill\":true,"
                       "\"remote_request_id\":\"" +
                           id + "\"}}");
}

inline std::string stream_head() {
    return http::response_head(200,
                               {{"content-type", "text/event-stream"}, {"transfer-encoding", "chunked"}});
}
inline std::string delta(const std::string& text) {
    return http::chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text +
                       "\"},\"finish_reason\":null}]}\n\n");
}
inline std::string stop_event() {
    return http::chunk("data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n");
}
inline std::string usage_event(int output) {
    return http::chunk("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":" +
                       std::to_string(output) + "}}\n\n");
}
inline std::string done_event() { return http::chunk("data: [DONE]\n\n") + std::string(http::kLastChunk); }

inline settings::Program program() {
    settings::Program settings;
    settings.models = {"m"};
    settings.tenants = {"t"};
    settings.tenant_models = {{}};
    settings.classes = {"chat", "once", "keyed"};
    settings.zones = {"z"};
    settings.kinds = {"prefill", "decode"};
    ClassSettings class_settings;
    class_settings.latency_objective = 500;
    class_settings.deadline = 3000;
    class_settings.inter_token_objective = 50;
    settings.router.classes = {class_settings, class_settings, class_settings};
    settings.router.classes[1].idempotency = Idempotency::unsafe;
    settings.router.classes[2].idempotency = Idempotency::with_key;
    settings.router.classes[2].dedup_scope = DedupScope::cell;
    settings.router.classes[2].dedup_window = 2000;
    settings.router.tenants = {{0}};
    settings.router.kinds = {{Role::prefill, 100000}, {Role::decode, 100000}};
    settings.router.max_attempts = 6;
    settings.router.cancellation = true;
    settings.router.retry_after = true;
    settings.router.max_retry_after = 1000;
    settings.router.connect_timeout = 200;
    settings.router.answer_slack = 50;
    settings.router.lease_release_timeout = 1000;
    settings.router.drain_grace = 250;
    settings.router.event_interval = 2;
    settings.limits.open_requests = 1000;
    return settings;
}

inline settings::Engine engine(EndpointId id, int kind, EndpointStatus mode = EndpointStatus::healthy) {
    settings::Engine listed;
    listed.endpoint.id = id;
    listed.endpoint.kind = kind;
    listed.endpoint.cell = id % 2;
    listed.endpoint.status = mode;
    listed.address = "10.0.0." + std::to_string(id) + ":80";
    return listed;
}

struct CoreBench {
    settings::Program p = program();
    FakeWorld world;
    std::unique_ptr<RequestLifecycle> core;
    std::vector<settings::Engine> engines = {engine(1, 0), engine(2, 0), engine(11, 1), engine(12, 1)};
    int count = 0;

    void begin(std::uint64_t seed = 1) {
        core = std::make_unique<RequestLifecycle>(p, seed, world, api::messages::error_body);
        core->on_endpoint_list(engines, false);
    }
    // A request of the class; returns its id.
    std::string arrive(FakeClient& client, int cls = 0, bool stream = true, Millis patience = 0) {
        gateway::NewRequest n;
        n.id = "req_" + std::to_string(++count);
        n.chat.model = "m", n.chat.messages = {{"user", "hello"}}, n.chat.max_tokens = 10;
        n.chat.prompt_tokens = 100, n.chat.stream = stream;
        n.cls = cls, n.tenant = 0, n.client = &client, n.patience = patience;
        if (cls == 2) n.key = "t/k" + std::to_string(count);
        n.answer = stream ? api::messages::streamed_response("msg_1", "m", 100, n.id)
                          : api::messages::complete_response("msg_1", "m", n.id, 4096);
        std::string id = n.id;
        EXPECT_TRUE(core->on_request(std::move(n)));
        return id;
    }
    Sent& last() { return world.sent.back(); }
    void answer(Sent& sent, const std::string& bytes) {
        const auto exchange = sent.exchange;  // sends may grow the vector below
        exchange->on_first_byte_sent();
        exchange->on_data(bytes);
    }
    // Brings the newest read to its end; the write is then the last that was sent.
    void read_done() { answer(last(), read_answer(last().id())); }
    void advance(Millis ms) {
        const Millis to = world.clock + ms;
        for (;;) {
            const Millis next = core->tick();
            if (next > to) break;
            world.clock = std::max(world.clock + 0.01, next);
        }
        world.clock = to;
        core->tick();
    }
};

}  // namespace gorsenotch::test
