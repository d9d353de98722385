#include "fuzz/targets.h"

#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include "api/messages.h"
#include "engine/dialect.h"
#include "gateway/upstream_exchange.h"
#include "gorsenotch/router.h"
#include "http/parser.h"
#include "http/sse.h"
#include "platform/config.h"
#include "platform/endpoint_list.h"
#include "platform/request.h"
#include "platform/upstream_exchange.h"
#include "settings/settings.h"
#include "state/decision_journal.h"
#include "state/journal_replay.h"

namespace gorsenotch::fuzz {
namespace {

void need(bool holds, const char* what) {
    if (holds) return;
    std::fprintf(stderr, "does not hold: %s\n", what);
    std::abort();
}

// Feeds bytes in pieces of `size`, as a socket may hand them over.
template <class Feed>
void in_pieces(std::string_view bytes, std::size_t size, const Feed& feed) {
    for (; !bytes.empty(); bytes.remove_prefix(std::min(size, bytes.size())))
        if (!feed(bytes.substr(0, size))) return;
}

// What a parser made of the bytes, as text: however they were cut, it must be the same.
std::string http_trace(std::string_view bytes, std::size_t size, http::Parser::Kind kind) {
    http::Parser parser(kind, {512, 10, 4096});
    std::string trace;
    std::size_t body = 0;
    parser.on_headers = [&] {
        trace += parser.method + " " + parser.target + " " + std::to_string(parser.status) + "\n";
        for (const auto& [name, value] : parser.headers)
            trace.append(name).append(":").append(value).append("\n");
        need(parser.headers.size() <= 10, "no more headers than the limit");
    };
    parser.on_body = [&](std::string_view b) {
        body += b.size();
        trace += b;
    };
    parser.on_complete = [&] { trace += "\nend\n"; };
    in_pieces(bytes, size, [&](std::string_view piece) {
        while (!piece.empty()) {
            const std::size_t n = parser.feed(piece);
            if (parser.fault() != http::Fault::none) return false;
            need(n <= piece.size(), "takes no more than it is given");
            if (!parser.complete()) return true;
            body = 0;
            piece.remove_prefix(n);
        }
        return true;
    });
    need(body <= 4096, "no longer body than the limit");
    return trace + std::to_string(static_cast<int>(parser.fault()));
}

void http(std::string_view bytes) {
    for (const auto kind : {http::Parser::Kind::request, http::Parser::Kind::response}) {
        const std::string whole = http_trace(bytes, bytes.size() + 1, kind);
        // A fault may be found earlier or later in a message whose body was being handed on.
        const bool faulty = whole.back() != '0';
        for (const std::size_t size : {1, 7}) {
            const std::string pieces = http_trace(bytes, size, kind);
            need((pieces.back() != '0') == faulty, "the same fault however the bytes are cut");
            if (!faulty) need(pieces == whole, "the same message however the bytes are cut");
        }
    }
}

std::string sse_trace(std::string_view bytes, std::size_t size) {
    http::SseReader reader(256);
    std::string trace;
    bool whole = true;
    reader.on_event = [&](std::string_view name, std::string_view data) {
        need(data.size() <= 256, "no longer event than the limit");
        trace.append(name).append("|").append(data).append("\n");
    };
    in_pieces(bytes, size, [&](std::string_view piece) { return whole = reader.feed(piece); });
    return trace + (whole ? "ok" : "too long");
}

void sse(std::string_view bytes) {
    const std::string whole = sse_trace(bytes, bytes.size() + 1);
    for (const std::size_t size : {1, 3})
        need(sse_trace(bytes, size) == whole, "the same events however cut");
}

void messages(std::string_view bytes) {
    const auto dialect = engine::vllm();
    for (const auto& version : api::messages::kVersions) {
        for (const bool count : {false, true}) {
            const auto parsed = api::messages::parse(bytes, count, version);
            if (const auto* error = std::get_if<api::ApiError>(&parsed)) {
                need(error->status == 400 && !error->message.empty(), "a refusal says why");
                need(!api::messages::error_body(*error, "req_1").empty(), "and can be written");
                continue;
            }
            const auto& chat = std::get<api::ChatRequest>(parsed);
            need(!chat.messages.empty() && chat.prompt_tokens > 0, "what is taken has turns");
            const auto wanted = dialect->decode_request(chat, {"req_1.0", "", "c", 0}, "");
            std::string reason;
            const auto sent = api::parse_json(wanted.body, reason);
            need(sent.is_object() && sent["messages"].size() == chat.messages.size(),
                 "what goes to the engine is the same, well-formed");
        }
    }
}

std::string exchange_trace(std::string_view bytes, std::size_t size, bool read) {
    const auto dialect = engine::vllm();
    gateway::UpstreamExchange exchange(*dialect, read, 256, 4096);
    std::string text;
    int firsts = 0;
    int ends = 0;
    int result = -1;
    exchange.on_stream_begun = [&] { need(ends == 0 && ++firsts == 1, "one first token, before the end"); };
    exchange.on_text = [&](std::string_view piece) {
        need(firsts == 1 && ends == 0, "text between the first token and the end");
        text += piece;
    };
    exchange.on_ended = [&](const gateway::AttemptOutcome& ending) {
        need(++ends == 1, "one end");
        need(ending.begun == (firsts == 1), "the end knows whether it had begun");
        result = static_cast<int>(ending.result);
    };
    exchange.on_first_byte_sent();
    in_pieces(bytes, size, [&](std::string_view piece) {
        exchange.on_data(piece);
        return true;
    });
    exchange.on_connection_closed();
    need(ends == 1 && exchange.has_outcome(), "an end whatever came");
    need(!exchange.is_reusable(), "a connection that is gone carries nothing");
    exchange.time_out(), exchange.cancel(), exchange.on_stream_stalled(), exchange.on_data("x");
    return text + "|" + std::to_string(result);
}

void exchange(std::string_view bytes) {
    for (const bool read : {false, true}) {
        const std::string whole = exchange_trace(bytes, bytes.size() + 1, read);
        need(exchange_trace(bytes, 1, read) == whole, "the same end however the bytes are cut");
    }
}

void settings(std::string_view bytes) {
    std::vector<settings::FileFault> faults;
    const auto program = settings::parse(bytes, "fuzz.xml", faults);
    need(program.has_value() == faults.empty(), "a program or the reasons why not");
    if (!program) need(!settings::render("fuzz.xml", faults).empty(), "which can be told");
}

void journal(std::string_view bytes) {
    Settings settings;
    settings.classes = {ClassSettings{}};
    settings.classes[0].latency_objective = 500, settings.classes[0].deadline = 3000;
    settings.kinds = {{Role::prefill, 1000}, {Role::decode, 1000}};
    std::istringstream in{std::string(bytes)};
    try {
        state::replay(in, settings);
    } catch (const std::runtime_error&) {  // names the line
    }
}

void config(std::string_view bytes) {
    try {
        const auto parsed = platform::parse_config(std::string(bytes), "127.0.0.1:1", "127.0.0.1:2");
        need(!parsed.listen.empty() && !parsed.discovery.empty(), "what is taken has its addresses");
        const Router router(parsed.named.settings, 1);
    } catch (const platform::ConfigError& error) {
        need(*error.what() != 0, "a refusal says why");
    } catch (const std::invalid_argument&) {  // of the Router, which names the setting
    }
}

settings::NamedSettings named() {
    settings::NamedSettings n;
    n.settings.classes.resize(1);
    n.classes["chat"] = 0, n.tenants["acme"] = 0, n.zones["a"] = 0, n.kinds["prefill"] = 0,
    n.kinds["decode"] = 1;
    return n;
}

void discovery(std::string_view bytes) {
    const auto names = named();
    platform::EndpointList hosts(names, 0);
    std::string reason;
    need(
        hosts
            .apply(
                R"({"seq":1,"whole":true,"hosts":[{"host":"x","dial":"127.0.0.1:1","site":"a","class":"decode",
        "health":"up"}]})",
                platform::EndpointList::Source::same_address, 0, reason)
            .has_value(),
        "a good list is taken");
    const auto update =
        hosts.apply(std::string(bytes), platform::EndpointList::Source::same_address, 0, reason);
    need(update.has_value() == reason.empty(), "a list or the reason why not");
    if (!update) need(hosts.all().size() == 1 && hosts.version() == 1, "a bad one changes nothing");
    for (const auto& [id, h] : hosts.all())
        need(h.endpoint.id == id && !h.dial_address.empty(), "entries are whole");
}

void request(std::string_view bytes) {
    const auto names = named();
    http::Parser parser(http::Parser::Kind::request, {4096, 32, 4096});
    bool read = false;
    parser.on_headers = [&] { read = true; };
    parser.feed(bytes);
    if (!read) return;
    const auto result = platform::read_head(names, parser);
    if (const auto* refusal = std::get_if<platform::RequestError>(&result)) {
        need(refusal->status >= 400 && refusal->status < 500 && !refusal->message.empty(),
             "a refusal says why");
        return;
    }
    const auto& in = std::get<platform::Inbound>(result);
    need(!in.txn.empty() && in.arrival.deadline > 0, "what is taken has an id and a deadline");
    http::Parser again(http::Parser::Kind::request, {16384, 64, 4096});
    bool whole = false;
    again.on_complete = [&] { whole = true; };
    again.feed(in.head + "content-length: 0\r\n\r\n");
    need(whole && again.target == parser.target, "what goes to the server is one request, well-formed");
    const auto* id = http::find_header(again.headers, "x-txn");
    need(id && *id == in.txn, "under the client's id");
}

std::string attempt_trace(std::string_view bytes, std::size_t size, platform::UpstreamExchange::Kind kind) {
    platform::UpstreamExchange exchange(kind);
    std::string text;
    int firsts = 0;
    int ends = 0;
    int result = -1;
    exchange.on_first_event = [&](std::string_view b) {
        need(ends == 0 && ++firsts == 1, "one first event, before the end");
        text += b;
    };
    exchange.on_more_events = [&](std::string_view b) {
        need(firsts == 1 && ends == 0, "events between the first and the end");
        text += b;
    };
    exchange.on_ended = [&](const platform::AttemptOutcome& outcome) {
        need(++ends == 1 && outcome.stream_begun == (firsts == 1),
             "one end, which knows whether it had begun");
        result = static_cast<int>(outcome.result);
    };
    exchange.on_first_byte_sent(), exchange.on_request_written();
    in_pieces(bytes, size, [&](std::string_view piece) {
        exchange.on_data(piece);
        return true;
    });
    exchange.on_connection_closed();
    need(ends == 1 && exchange.has_outcome() && !exchange.is_reusable(),
         "an end whatever came, and the connection carries nothing");
    exchange.abort(AttemptResult::timed_out, ""), exchange.on_data("x"), exchange.on_not_sent();
    return text + "|" + std::to_string(result);
}

void attempt(std::string_view bytes) {
    using Kind = platform::UpstreamExchange::Kind;
    for (const auto kind : {Kind::prefill, Kind::decode, Kind::lease_call}) {
        const std::string whole = attempt_trace(bytes, bytes.size() + 1, kind);
        need(attempt_trace(bytes, 1, kind) == whole, "the same end however the bytes are cut");
    }
}

}  // namespace

const std::vector<Target>& targets() {
    static const std::vector<Target> all = {
        {"http", http},         {"sse", sse},         {"messages", messages}, {"exchange", exchange},
        {"settings", settings}, {"journal", journal}, {"config", config},     {"discovery", discovery},
        {"request", request},   {"attempt", attempt}};
    return all;
}

}  // namespace gorsenotch::fuzz
