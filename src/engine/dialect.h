// How a kind of engine is spoken to: what to send, and what its answers mean. No I/O; one file a dialect.
//
// The read goes to a prefill engine and leaves a state there; its answer names the state in parameters that
// go with the write to a decode engine, which fetches the state and streams the answer.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "api/chat.h"
#include "gorsenotch/events.h"
#include "http/parser.h"
#include "proxy/upstream_request.h"

namespace gorsenotch::engine {

// One attempt of a request. `id` is unique to the attempt: what an engine says of it can't be mistaken for
// another attempt's (the fencing number is part of it).
struct AttemptInfo {
    std::string id;
    std::string key;    // the client's idempotency key within its tenant; empty: none
    std::string cls;    // name of the class, for the engine's own statistics
    double budget = 0;  // ms until nobody waits for the answer any more; 0: unknown
};

struct ParsedResponse {  // what a whole answer, or its head, means
    AttemptResult result = AttemptResult::error;
    double note = 0;         // as Outcome::note
    std::string parameters;  // prefill_done: to hand to the write, as the engine gave them
    std::string why;         // for the log where result is not good
};

struct StreamPiece {  // what one event of a stream means
    enum class Kind { none, text, stop, usage, done, broken } kind = Kind::none;
    std::string text;  // of a stop: the stop string that matched, where the engine names it
    api::StopReason stop = api::StopReason::end;
    api::Usage usage;
};

// Requests to engines and the meaning of their answers, in one engine's protocol. Has no state and does no
// I/O.
class Dialect {
public:
    virtual ~Dialect() = default;
    virtual proxy::UpstreamRequest prefill_request(const api::ChatRequest& chat,
                                                   const AttemptInfo& info) const = 0;
    // `parameters` of the read; empty: the engine reads the prompt itself.
    virtual proxy::UpstreamRequest decode_request(const api::ChatRequest& chat, const AttemptInfo& info,
                                                  const std::string& parameters) const = 0;
    // Lets go of the state that the attempt `id` (a read) left or will leave, and stops the read if it runs.
    virtual proxy::UpstreamRequest release_request(const std::string& id) const = 0;
    virtual ParsedResponse judge_prefill(int status, const std::string& body) const = 0;
    // An answer to a write that is not a stream.
    virtual ParsedResponse parse_rejection(int status, const std::string& body) const = 0;
    // One event's meanings, in order, in place of what `pieces` held; at most one text, one stop and one
    // usage.
    virtual void parse_event(std::string_view data, std::vector<StreamPiece>& pieces) const = 0;
    virtual LoadReport load_report(const http::Headers& headers) const = 0;
};

// vLLM's OpenAI-compatible server with a KV connector, per its public documentation.
std::unique_ptr<Dialect> vllm();

}  // namespace gorsenotch::engine
