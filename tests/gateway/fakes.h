// Test doubles around a RequestLifecycle: the test controls the clock, the bytes of the engines and the
// clients.
#pragma once

#include <gtest/gtest.h>

#include "api/messages.h"
#include "gateway/request_lifecycle.h"

namespace gorsenotch::test {

using gateway::RequestLifecycle;
using gateway::UpstreamExchange;

// Records the response that a client gets, and fails the test on calls that break the order of calls.
struct FakeClient : gateway::Client {
    std::string stream;     // the body so far
    int stream_begins = 0;  // calls of begin_stream()
    int final_calls = 0;    // calls that end the response
    int status = 0;
    std::optional<bool> should_retry;
    Millis retry_after = gateway::kNoRetryAfter;
    bool disconnected = false;  // set by the test; no call may follow
    void begin_stream() override {
        EXPECT_FALSE(disconnected);
        ++stream_begins;
        status = 200;
    }
    void send_body(std::string bytes) override {
        EXPECT_FALSE(disconnected);
        EXPECT_EQ(final_calls, 0);
        stream += bytes;
    }
    void finish_stream() override {
        ++final_calls;
        EXPECT_FALSE(disconnected);
    }
    void send_complete(int response_status, std::string bytes, Millis retry_after_ms,
                       std::optional<bool> retry_allowed) override {
        EXPECT_FALSE(disconnected);
        ++final_calls;
        status = response_status;
        stream += bytes;
        retry_after = retry_after_ms;
        should_retry = retry_allowed;
    }
};

// An attempt that the RequestLifecycle has sent to an engine.
struct SentAttempt {
    std::string address;
    proxy::UpstreamRequest request;
    std::shared_ptr<UpstreamExchange> exchange;
    bool closed = false;
    bool paused = false;
    std::string id() const { return *http::find_header(request.headers, "x-request-id"); }
    // Whether this is a prefill request.
    bool is_prefill() const { return request.body.find("\"do_remote_decode\":true") != std::string::npos; }
};

// Records what the RequestLifecycle does. Time advances only when the test sets `clock`.
struct FakeGatewayEnvironment : gateway::Environment {
    Millis clock = 1000;
    std::vector<SentAttempt> sent;
    // Address and id of the prefill attempt, per release.
    std::vector<std::pair<std::string, std::string>> releases;
    Millis now() override { return clock; }
    Millis wall_ms() override { return 1e12 + clock; }
    void start_exchange(const std::string& address, proxy::UpstreamRequest request,
                        std::shared_ptr<UpstreamExchange> exchange) override {
        sent.push_back({address, std::move(request), std::move(exchange)});
    }
    void pause(const UpstreamExchange& exchange, bool paused) override {
        for (auto& attempt : sent) {
            if (attempt.exchange.get() == &exchange) attempt.paused = paused;
        }
    }
    void close(const UpstreamExchange& exchange) override {
        for (auto& attempt : sent) {
            if (attempt.exchange.get() == &exchange) attempt.closed = true;
        }
    }
    void send_detached(const std::string& address, proxy::UpstreamRequest request, Millis) override {
        EXPECT_EQ(request.target, "/abort_request");
        releases.emplace_back(address, api::Json::parse(request.body)["rid"].get<std::string>());
    }
    void log(const char*, const char*, api::Json) override {}
};

// A complete HTTP response.
inline std::string http_response(int status, const std::string& type, const std::string& body) {
    return http::response_head(status,
                               {{"content-type", type}, {"content-length", std::to_string(body.size())}}) +
           body;
}

// The successful response to the prefill attempt `id`.
inline std::string prefill_response(const std::string& id) {
    return http_response(
        200, "application/json",
        "{\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":1,\"prompt_tokens_details\":"
        "{\"cached_tokens\":40}},\"kv_transfer_params\":{\"do_remote_prefill\":true,"
        "\"remote_request_id\":\"" +
            id + "\"}}");
}

// Parts of a decode engine's event stream.
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

// Settings with one tenant and model, and with a class for each rule of idempotency: chat (idempotent), once
// (unsafe) and keyed (with an idempotency key).
inline settings::ProgramSettings test_program() {
    settings::ProgramSettings settings;
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

// An entry of the endpoint list; `kind`: 0 prefill, 1 decode.
inline settings::Engine engine(EndpointId id, int kind, EndpointStatus status = EndpointStatus::healthy) {
    settings::Engine listed;
    listed.endpoint.id = id;
    listed.endpoint.kind = kind;
    listed.endpoint.cell = id % 2;
    listed.endpoint.status = status;
    listed.address = "10.0.0." + std::to_string(id) + ":80";
    return listed;
}

// A RequestLifecycle with two prefill and two decode engines.
struct LifecycleHarness {
    settings::ProgramSettings program = test_program();
    FakeGatewayEnvironment environment;
    std::unique_ptr<RequestLifecycle> lifecycle;
    std::vector<settings::Engine> engines = {engine(1, 0), engine(2, 0), engine(11, 1), engine(12, 1)};
    int request_count = 0;  // requests so far, for their ids

    void start(std::uint64_t seed = 1) {
        lifecycle = std::make_unique<RequestLifecycle>(program, seed, environment, api::messages::error_body);
        lifecycle->on_endpoint_list(engines, false);
    }
    // Sends a request of the class and returns its id.
    std::string send_request(FakeClient& client, int cls = 0, bool stream = true, Millis patience = 0) {
        gateway::NewRequest request;
        request.id = "req_" + std::to_string(++request_count);
        request.chat.model = "m";
        request.chat.messages = {{"user", "hello"}};
        request.chat.max_tokens = 10;
        request.chat.prompt_tokens = 100;
        request.chat.stream = stream;
        request.cls = cls;
        request.tenant = 0;
        request.client = &client;
        request.patience = patience;
        if (cls == 2) request.key = "t/k" + std::to_string(request_count);
        request.answer = stream ? api::messages::streamed_response("msg_1", "m", 100, request.id)
                                : api::messages::complete_response("msg_1", "m", request.id, 4096);
        std::string id = request.id;
        EXPECT_TRUE(lifecycle->on_request(std::move(request)));
        return id;
    }
    SentAttempt& last() { return environment.sent.back(); }
    // The attempt's engine answers with `bytes`.
    void answer(SentAttempt& sent, const std::string& bytes) {
        // A copy: on_data() may send attempts and reallocate environment.sent.
        const auto exchange = sent.exchange;
        exchange->on_first_byte_sent();
        exchange->on_data(bytes);
    }
    // The prefill engine answers the latest attempt; the decode attempt is then the latest.
    void finish_prefill() { answer(last(), prefill_response(last().id())); }
    // Advances the clock by `ms` and handles each timer at its time.
    void advance(Millis ms) {
        const Millis until = environment.clock + ms;
        for (;;) {
            const Millis next = lifecycle->tick();
            if (next > until) break;
            environment.clock = std::max(environment.clock + 0.01, next);
        }
        environment.clock = until;
        lifecycle->tick();
    }
};

}  // namespace gorsenotch::test
