// What an engine's bytes mean, whole, in pieces of one byte, and when it misbehaves.
#include "gateway/fakes.h"

namespace gorsenotch::test {
namespace {

struct Seen {
    int firsts = 0, overs = 0;
    std::string text;
    gateway::AttemptOutcome ending;
    bool reusable = false, lingering = false;
};

enum class Then { nothing, closes, expires };

// Feeds the bytes in pieces of `size`, then lets the connection do what `then` says.
Seen run(bool read, const std::string& bytes, Then then, std::size_t size) {
    static const auto dialect = engine::vllm();
    UpstreamExchange exchange(*dialect, read, 4096, 4096);
    Seen seen;
    exchange.on_stream_begun = [&] {
        ++seen.firsts;
        EXPECT_EQ(seen.overs, 0);
    };
    exchange.on_text = [&](std::string_view piece) {
        EXPECT_EQ(seen.firsts, 1);
        EXPECT_EQ(seen.overs, 0);
        seen.text += piece;
    };
    exchange.on_ended = [&](gateway::AttemptOutcome end) { ++seen.overs, seen.ending = std::move(end); };
    exchange.on_first_byte_sent();
    for (std::size_t at = 0; at < bytes.size(); at += size) exchange.on_data(bytes.substr(at, size));
    if (then == Then::closes) exchange.on_connection_closed();
    if (then == Then::expires) exchange.time_out();
    seen.reusable = exchange.is_reusable(), seen.lingering = exchange.is_lingering();
    return seen;
}

struct Case {
    const char* name;
    bool read;
    std::string bytes;
    Then then;
    AttemptResult result;
    std::string text;
    bool reusable;
};

const std::string kWhole =
    stream_head() + delta("a") + delta("b") + stop_event() + usage_event(2) + done_event();
std::string cut(const std::string& bytes, std::size_t off) { return bytes.substr(0, bytes.size() - off); }

std::vector<Case> cases() {
    const auto json = [](int status, const std::string& body) {
        return http_answer(status, "application/json", body);
    };
    const std::string chunked_read =
        http::response_head(200, {{"content-type", "application/json"}, {"transfer-encoding", "chunked"}}) +
        http::chunk("{\"kv_transfer_params\":{\"do_remote_") + http::chunk("prefill\":true}}") +
        std::string(http::kLastChunk);
    return {
        {"stream", false, kWhole, Then::nothing, AttemptResult::served, "ab", true},
        {"read", true, read_answer("x"), Then::nothing, AttemptResult::prefill_done, "", true},
        {"read in chunks", true, chunked_read, Then::nothing, AttemptResult::prefill_done, "", true},
        {"silence, then a time-out", false, "", Then::expires, AttemptResult::timed_out, "", false},
        {"reset before the status line", false, "", Then::closes, AttemptResult::reset, "", false},
        {"reset in the status line", false, "HTTP/1.1 20", Then::closes, AttemptResult::reset, "", false},
        {"reset in the headers", false, "HTTP/1.1 200 OK\r\ncontent-type: te", Then::closes,
         AttemptResult::reset, "", false},
        {"reset after the headers", false, stream_head(), Then::closes, AttemptResult::reset, "", false},
        {"reset between two events", false, stream_head() + delta("a"), Then::closes, AttemptResult::reset,
         "a", false},
        {"reset inside an event", false, stream_head() + delta("a") + cut(delta("b"), 20), Then::closes,
         AttemptResult::reset, "a", false},
        {"half an event, then a time-out", false, stream_head() + cut(delta("a"), 20), Then::expires,
         AttemptResult::timed_out, "", false},
        {"reset after the stop: all text was there", false, stream_head() + delta("a") + stop_event(),
         Then::closes, AttemptResult::served, "a", false},
        {"the end without a stop", false, stream_head() + delta("a") + done_event(), Then::nothing,
         AttemptResult::reset, "a", false},
        {"the message's end without any event", false, stream_head() + std::string(http::kLastChunk),
         Then::nothing, AttemptResult::error, "", false},
        {"no last marker", false, stream_head() + delta("a") + stop_event() + std::string(http::kLastChunk),
         Then::nothing, AttemptResult::served, "a", true},
        {"an event after the last", false,
         stream_head() + delta("a") + stop_event() + http::chunk("data: [DONE]\n\n") + delta("z") +
             std::string(http::kLastChunk),
         Then::nothing, AttemptResult::served, "a", false},
        {"text after the stop", false, stream_head() + delta("a") + stop_event() + delta("z") + done_event(),
         Then::nothing, AttemptResult::served, "a", true},
        {"bytes after the message", false, kWhole + "HTTP/1.1 200 OK\r\n", Then::nothing,
         AttemptResult::served, "ab", false},
        {"two answers to one request", true, read_answer("x") + read_answer("y"), Then::nothing,
         AttemptResult::prefill_done, "", false},
        {"an error inside the stream", false,
         stream_head() + delta("a") + http::chunk("data: {\"error\":{\"message\":\"oom\"}}\n\n"),
         Then::nothing, AttemptResult::reset, "a", false},
        {"not JSON in the stream", false, stream_head() + http::chunk("data: {\"choi\n\n"), Then::nothing,
         AttemptResult::error, "", false},
        {"unknown events are passed by", false,
         stream_head() + http::chunk(": hello\n\nevent: x\ndata: {\"object\":\"new\"}\n\n") + delta("a") +
             stop_event() + done_event(),
         Then::nothing, AttemptResult::served, "a", true},
        {"no transfer parameters", true, json(200, "{\"choices\":[]}"), Then::nothing, AttemptResult::error,
         "", true},
        {"transfer parameters of a wrong form", true, json(200, "{\"kv_transfer_params\":[1]}"),
         Then::nothing, AttemptResult::error, "", true},
        {"a length that is too long", true, "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{}", Then::closes,
         AttemptResult::reset, "", false},
        {"a length that is too short", true, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}{}{}",
         Then::nothing, AttemptResult::error, "", false},
        {"both forms of length", true,
         "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
         Then::nothing, AttemptResult::error, "", false},
        {"a redirect", false, "HTTP/1.1 302 Found\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n",
         Then::nothing, AttemptResult::error, "", true},
        {"not HTTP", false, "SSH-2.0-OpenSSH\r\n", Then::nothing, AttemptResult::error, "", false},
        {"a full engine", false, json(429, "{}"), Then::nothing, AttemptResult::rejected, "", true},
        {"an error", false, json(500, "{}"), Then::nothing, AttemptResult::error, "", true},
        {"503 may have run", false, json(503, "{}"), Then::nothing, AttemptResult::error, "", true},
        {"JSON where a stream was asked for", false, json(200, "{}"), Then::nothing, AttemptResult::error, "",
         true},
        {"a line without end", false, stream_head() + http::chunk("data: " + std::string(6000, 'x')),
         Then::nothing, AttemptResult::error, "", false},
        {"a line without end after text", false,
         stream_head() + delta("a") + http::chunk(std::string(6000, 'x')), Then::nothing,
         AttemptResult::reset, "a", false},
        {"a body without end", true, "HTTP/1.1 200 OK\r\n\r\n" + std::string(6000, 'x'), Then::nothing,
         AttemptResult::error, "", false},
        {"headers without end", true, "HTTP/1.1 200 OK\r\nx: " + std::string(20000, 'x'), Then::nothing,
         AttemptResult::error, "", false},
        {"closes after a good answer", false,
         http::response_head(200, {{"content-type", "text/event-stream"}}) +
             "data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\ndata: "
             "[DONE]\n\n",
         Then::closes, AttemptResult::served, "a", false},
    };
}

TEST(Exchange, WhatAnEngineMaySend) {
    for (const auto& tested : cases()) {
        for (const std::size_t size : {std::size_t{100000}, std::size_t{1}, std::size_t{7}}) {
            SCOPED_TRACE(std::string(tested.name) + ", pieces of " + std::to_string(size));
            const Seen seen = run(tested.read, tested.bytes, tested.then, size);
            EXPECT_EQ(seen.overs, 1);
            EXPECT_EQ(static_cast<int>(seen.ending.result), static_cast<int>(tested.result))
                << seen.ending.why;
            EXPECT_EQ(seen.text, tested.text);
            EXPECT_EQ(seen.reusable, tested.reusable);
        }
    }
}

// The same answer, broken off at every byte: one end, and the text a beginning of the whole.
TEST(Exchange, BrokenOffAnywhere) {
    for (std::size_t n = 0; n < kWhole.size(); ++n) {
        const Seen seen = run(false, kWhole.substr(0, n), Then::closes, 1000);
        EXPECT_EQ(seen.overs, 1);
        EXPECT_EQ(std::string("ab").rfind(seen.text, 0), 0u);
        const bool stopped = n >= (stream_head() + delta("a") + delta("b") + stop_event()).size() - 2;
        EXPECT_EQ(seen.ending.result == AttemptResult::served, stopped) << n;
        EXPECT_FALSE(seen.reusable);
    }
}

TEST(Exchange, OnlyAnUnopenedConnectionIsSurelyUndelivered) {
    const auto dialect = engine::vllm();
    const auto end = [&](bool sent, void (UpstreamExchange::*how)()) {
        UpstreamExchange exchange(*dialect, false, 100, 100);
        AttemptResult result = AttemptResult::served;
        exchange.on_ended = [&](const gateway::AttemptOutcome& outcome) { result = outcome.result; };
        if (sent) exchange.on_first_byte_sent();
        (exchange.*how)();
        return result;
    };
    EXPECT_EQ(end(false, &UpstreamExchange::on_connect_failed), AttemptResult::unreachable);
    EXPECT_EQ(end(false, &UpstreamExchange::on_connection_closed), AttemptResult::unreachable);
    EXPECT_EQ(end(false, &UpstreamExchange::time_out), AttemptResult::unreachable);
    EXPECT_EQ(end(true, &UpstreamExchange::on_connection_closed), AttemptResult::reset);
    EXPECT_EQ(end(true, &UpstreamExchange::time_out), AttemptResult::timed_out);
    EXPECT_EQ(end(true, &UpstreamExchange::cancel), AttemptResult::cancelled);
}

TEST(Exchange, NothingAfterItsEnd) {
    const auto dialect = engine::vllm();
    UpstreamExchange exchange(*dialect, false, 4096, 4096);
    int overs = 0;
    int texts = 0;
    exchange.on_ended = [&](const gateway::AttemptOutcome&) { ++overs; };
    exchange.on_text = [&](std::string_view) { ++texts; };
    exchange.on_first_byte_sent();
    exchange.on_data(stream_head() + delta("a"));
    exchange.cancel();
    exchange.on_data(delta("b") + stop_event() + done_event());
    exchange.on_connection_closed();
    exchange.time_out();
    EXPECT_EQ(overs, 1);
    EXPECT_EQ(texts, 1);
}

TEST(Vllm, RequestsCarryWhatTheEngineNeeds) {
    const auto dialect = engine::vllm();
    api::ChatRequest chat;
    chat.model = "m", chat.messages = {{"system", "s"}, {"user", "u"}}, chat.max_tokens = 7,
    chat.stop = {"x"};
    const auto read = dialect->prefill_request(chat, {"id.0", "t/k", "chat", 0});
    auto json = api::Json::parse(read.body);
    EXPECT_EQ(json["max_tokens"], 1);
    EXPECT_EQ(json["stream"], false);
    EXPECT_EQ(json["kv_transfer_params"]["do_remote_decode"], true);
    EXPECT_EQ(*http::find(read.headers, "x-request-id"), "id.0");
    EXPECT_EQ(*http::find(read.headers, "idempotency-key"), "t/k");
    const auto parsed = dialect->judge_prefill(
        200, "{\"kv_transfer_params\":{\"do_remote_prefill\":true,\"remote_port\":9}}");
    json = api::Json::parse(dialect->decode_request(chat, {"id.1", "", "", 0}, parsed.parameters).body);
    EXPECT_EQ(json["max_tokens"], 7);
    EXPECT_EQ(json["stream_options"]["include_usage"], true);
    EXPECT_EQ(json["kv_transfer_params"]["remote_port"], 9);
    EXPECT_EQ(json["stop"][0], "x");
    EXPECT_FALSE(api::Json::parse(dialect->decode_request(chat, {"id.1", "", "", 0}, "").body)
                     .contains("kv_transfer_params"));
}

TEST(Vllm, LoadReports) {
    const auto dialect = engine::vllm();
    const auto report_of = [&](const std::string& text) {
        return dialect->load_report({{"endpoint-load-metrics", text}});
    };
    auto report =
        report_of("TEXT named_metrics.kv_cache_usage_perc=0.25, named_metrics.waiting_ktokens=3.5,cpu=0.1");
    EXPECT_DOUBLE_EQ(report.memory_utilization, 0.25);
    EXPECT_DOUBLE_EQ(report.queued_kilotokens, 3.5);
    report = report_of("JSON {\"mem_utilization\":0.5,\"named_metrics\":{\"latency_ms\":12}}");
    EXPECT_DOUBLE_EQ(report.memory_utilization, 0.5);
    EXPECT_DOUBLE_EQ(report.latency, 12);
    for (const char* bad :
         {"", "TEXT", "TEXT =", "TEXT mem_utilization=nan", "TEXT mem_utilization=-1", "JSON {", "JSON 3",
          "TEXT mem_utilization=1e999", "BIN x", "JSON {\"mem_utilization\":\"x\"}"})
        EXPECT_LT(report_of(bad).memory_utilization, 0) << bad;
    EXPECT_DOUBLE_EQ(report_of("TEXT mem_utilization=7").memory_utilization, 1);
}

}  // namespace
}  // namespace gorsenotch::test
