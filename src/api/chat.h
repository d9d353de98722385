// What all fronts and dialects share: one request to a model, free of any API's form, and the client's answer
// as an object that can be ended once. No I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gorsenotch::api {

using Json = nlohmann::json;

// One turn of a conversation.
struct Message {
    std::string role;  // "system", "user" or "assistant"
    std::string text;
};

// A request to a model, free of the form of any API.
struct ChatRequest {
    std::string model;
    std::vector<Message> messages;  // the first of them is a system turn where there is a shared instruction
    long max_tokens = 0;
    std::vector<std::string> stop;
    std::optional<double> temperature, top_p;
    std::optional<long> top_k;
    std::string user;  // an opaque id of the client's user; may be empty
    bool stream = false;
    // Derived, for the module: estimates in tokens, and hashes that tell equal texts, not what they say.
    double prompt_tokens = 0;
    double prefix_tokens = 0;   // of these, of the shared beginning (the system text)
    std::uint64_t prefix = 0;   // 0: none
    std::uint64_t session = 0;  // the conversation: the same for each of its turns
};

// A fault of a request, for the client: `message` begins with the field's path where there is one.
struct ApiError {
    int status = 400;
    std::string type = "invalid_request_error";
    std::string message;
};

// Tokens of a text as this program reckons them without the engine's tokenizer: a quarter of its bytes.
// Engines report the true counts; this one is for routing and for count_tokens, which says so.
double estimate_tokens(std::string_view text);

std::uint64_t hash(std::string_view text, std::uint64_t seed = 0);

// Parses JSON that came from outside: at most `max_depth` deep, no key twice in one object, valid UTF-8.
// On failure returns a discarded value and sets `why`.
Json parse_json(std::string_view text, std::string& why, int max_depth = 64);

// How an engine ended its answer.
enum class StopReason { end, length, sequence, refused };

// Token counts of an answer, as the engine reports them.
struct Usage {
    long input = 0, cached = 0, output = 0;  // tokens, by the engine
};

// An answer on its way to a client. Legal order: any number of text(), then exactly one of finish() and
// fail(); begin() before the first text. Everything after the end is ignored and counted.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;
    // Each returns the bytes of the body to send now (empty: nothing yet).
    std::string begin();
    std::string text(std::string_view piece);
    // `sequence`: of Stop::sequence, the string at which the engine stopped.
    std::string finish(StopReason stop, const Usage& usage, const std::string& sequence = {});
    std::string fail(const ApiError& error);
    std::string ping();
    bool begun() const { return begun_; }
    bool ended() const { return ended_; }
    long ignored() const { return ignored_; }

protected:
    virtual std::string on_begin() = 0;
    virtual std::string on_text(std::string_view piece) = 0;
    virtual std::string on_finish(StopReason stop, const Usage& usage, const std::string& sequence) = 0;
    virtual std::string on_fail(const ApiError& error) = 0;
    virtual std::string on_ping() = 0;

private:
    bool begun_ = false, ended_ = false;
    long ignored_ = 0;
};

}  // namespace gorsenotch::api
