// Types shared by all client APIs and engine dialects: a request to a model, independent of any API's format,
// and the writer of the client's response, which can be ended only once. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gorsenotch::api {

// One turn of a conversation.
struct Message {
    std::string role;  // "system", "user" or "assistant"
    std::string text;
};

// A request to a model, independent of any API's format.
struct ChatRequest {
    std::string model;
    std::vector<Message> messages;  // begins with a system turn if there are shared instructions
    long max_tokens = 0;
    std::vector<std::string> stop;
    std::optional<double> temperature, top_p;
    std::optional<long> top_k;
    std::string user;  // opaque id of the end user; may be empty
    bool stream = false;
    // Derived for routing: estimated token counts, and hashes that only identify equal texts.
    double prompt_tokens = 0;
    double prefix_tokens = 0;   // the part of prompt_tokens in the shared prefix (the system text)
    std::uint64_t prefix = 0;   // hash of the shared prefix; 0: none
    std::uint64_t session = 0;  // hash of the conversation, the same for each of its turns

    // The memory of its lists and texts, in bytes.
    std::size_t memory() const;
    // Bytes that an answer of max_tokens is not expected to exceed.
    std::size_t expected_answer_bytes() const;
};

// An error response to the client. `message` begins with the path of the faulty field, if there is one.
struct ApiError {
    int status = 400;
    std::string type = "invalid_request_error";
    std::string message;
};

// Estimates the tokens of a text without the engine's tokenizer, as a quarter of its bytes. The estimate is
// for routing and for count_tokens, which states that it is an estimate. Engines report the exact counts.
double estimate_tokens(std::string_view text);

// A 64-bit hash that is the same in each process.
std::uint64_t hash(std::string_view text, std::uint64_t seed = 0);

// Why an engine ended its answer.
enum class StopReason { end, length, sequence, refused };

// Token counts of an answer, as the engine reports them.
struct Usage {
    long input = 0, cached = 0, output = 0;  // tokens; `cached` is part of `input`
};

// Encodes the response to a client. Valid order of calls: begin(), any number of text(), then exactly one of
// finish() and fail(). text() and finish() call begin() if it was not called. Calls after the end are ignored
// and counted.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;
    // Each returns the bytes of the body to send now; empty: none yet. begin() starts the response.
    std::string begin();
    // Appends a piece of the answer's text.
    std::string text(std::string_view piece);
    // Ends the response. `sequence`: for StopReason::sequence, the matched stop string.
    std::string finish(StopReason stop, const Usage& usage, const std::string& sequence = {});
    // Ends the response with an error.
    std::string fail(const ApiError& error);
    // Keeps an idle stream alive; ignored before begin().
    std::string ping();
    // The memory that it needs, in bytes, once it has collected `bytes` of the answer. 0 if it collects none.
    virtual std::size_t memory_for(std::size_t bytes) const = 0;
    // Bytes of the answer that it has collected.
    virtual std::size_t collected() const = 0;
    bool has_begun() const { return begun_; }
    bool ended() const { return ended_; }
    // The number of ignored calls.
    long ignored_calls() const { return ignored_calls_; }

protected:
    virtual std::string on_begin() = 0;
    virtual std::string on_text(std::string_view piece) = 0;
    virtual std::string on_finish(StopReason stop, const Usage& usage, const std::string& sequence) = 0;
    virtual std::string on_fail(const ApiError& error) = 0;
    virtual std::string on_ping() = 0;

private:
    bool begun_ = false, ended_ = false;
    long ignored_calls_ = 0;
};

}  // namespace gorsenotch::api
