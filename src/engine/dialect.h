// Defines how to encode requests for a kind of engine and how to interpret its responses. No I/O; one source
// file per dialect.
//
// A prefill request goes to a prefill engine, which stores the KV cache. Its response identifies the KV cache
// in transfer parameters, which are sent with the decode request. The decode engine fetches the KV cache and
// streams the answer.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "api/chat.h"
#include "gorsenotch/events.h"
#include "http/parser.h"
#include "proxy/upstream_request.h"

namespace gorsenotch::engine {

// One attempt of a request. `id` is unique to the attempt and includes the fencing number, so that an
// engine's message about it cannot be taken for one about another attempt.
struct AttemptInfo {
    std::string id;
    std::string key;          // the client's idempotency key within its tenant; empty: none
    std::string cls;          // name of the class, for the engine's statistics
    double remaining_ms = 0;  // until no client waits for the answer any more; 0: unknown
};

// The meaning of a complete response, or of its head.
struct ParsedResponse {
    AttemptResult result = AttemptResult::error;
    double detail = 0;       // as AttemptEnded::detail
    std::string parameters;  // prefill_done: transfer parameters for the decode, as the engine sent them
    std::string reason;      // the reason for the log if the attempt did not succeed
};

// One part of the meaning of a stream's event.
struct StreamPiece {
    enum class Kind { none, text, stop, usage, done, error } kind = Kind::none;
    std::string text;  // stop: the matched stop string, if the engine sends it; error: the reason
    api::StopReason stop = api::StopReason::end;
    api::Usage usage;
};

// Encodes requests to engines and interprets their responses, in one engine's protocol. Stateless; does no
// I/O.
class Dialect {
public:
    virtual ~Dialect() = default;
    // Encodes the prefill of `chat`.
    virtual proxy::UpstreamRequest prefill_request(const api::ChatRequest& chat,
                                                   const AttemptInfo& info) const = 0;
    // Encodes the decode of `chat`. `parameters`: from the prefill's response; empty: the engine prefills the
    // prompt itself.
    virtual proxy::UpstreamRequest decode_request(const api::ChatRequest& chat, const AttemptInfo& info,
                                                  const std::string& parameters) const = 0;
    // Releases the KV cache that the prefill attempt `id` stored or will store, and stops the prefill if it
    // runs.
    virtual proxy::UpstreamRequest release_request(const std::string& id) const = 0;
    // Interprets a complete response to a prefill.
    virtual ParsedResponse parse_prefill_response(int status, const std::string& body) const = 0;
    // Interprets a response to a decode that is not a stream.
    virtual ParsedResponse parse_decode_error(int status, const std::string& body) const = 0;
    // Replaces the contents of `pieces` with the parts of one event, in order; at most one text, one stop and
    // one usage.
    virtual void parse_event(std::string_view data, std::vector<StreamPiece>& pieces) const = 0;
    // The load report in a response's headers; empty if there is none.
    virtual LoadReport load_report(const http::Headers& headers) const = 0;
};

// The dialect of vLLM's OpenAI-compatible server with a KV connector, per its public documentation.
std::unique_ptr<Dialect> vllm();

}  // namespace gorsenotch::engine
