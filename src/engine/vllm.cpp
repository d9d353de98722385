// Dialect of vLLM's disaggregated serving, per its public documentation: /v1/chat/completions with
// kv_transfer_params. The prefill requests one token with do_remote_decode, and its response has the
// parameters for the decode. Load reports are in the ORCA `endpoint-load-metrics` header, in TEXT or JSON
// format. A KV cache that no decode will take is released by POST /abort_request with the request id, as in
// SGLang.
#include <cmath>
#include <cstddef>

#include "api/parse_json.h"
#include "engine/dialect.h"
#include "engine/load_report.h"

namespace gorsenotch::engine {
namespace {

using api::Json;

constexpr double kMaxTokenCount = 1e12;  // larger numbers are taken as invalid
constexpr std::size_t kMaxErrorTextBytes = 200;

Json chat_body(const api::ChatRequest& chat) {
    Json messages = Json::array();
    for (const auto& message : chat.messages)
        messages.push_back({{"role", message.role}, {"content", message.text}});
    Json body = {{"model", chat.model}, {"messages", std::move(messages)}};
    if (!chat.stop.empty()) body["stop"] = chat.stop;
    if (chat.temperature) body["temperature"] = *chat.temperature;
    if (chat.top_p) body["top_p"] = *chat.top_p;
    if (chat.top_k) body["top_k"] = *chat.top_k;
    if (!chat.user.empty()) body["user"] = chat.user;
    return body;
}

proxy::UpstreamRequest post(std::string target, const Json& body, const AttemptInfo& info) {
    proxy::UpstreamRequest request{
        "POST", std::move(target), {{"content-type", "application/json"}, {"x-request-id", info.id}}, {}};
    if (!info.key.empty()) request.headers.emplace_back("idempotency-key", info.key);
    if (!info.cls.empty()) request.headers.emplace_back("x-class", info.cls);
    request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return request;
}

long token_count(const Json& object, const char* key) {
    const auto it = object.find(key);
    // The number is untrusted: converting one that a long cannot hold would be undefined behaviour.
    if (it == object.end() || !it->is_number()) return 0;
    const double value = it->get<double>();
    return std::isfinite(value) && value > 0 && value < kMaxTokenCount ? static_cast<long>(value) : 0;
}

api::Usage usage_of(const Json& json) {
    api::Usage usage{token_count(json, "prompt_tokens"), 0, token_count(json, "completion_tokens")};
    const auto details = json.find("prompt_tokens_details");
    if (details != json.end() && details->is_object()) {
        usage.cached = std::min(usage.input, token_count(*details, "cached_tokens"));
    }
    return usage;
}

std::string error_text(const Json& json) {
    const Json* error = &json;
    if (json.is_object() && json.contains("error")) error = &json["error"];
    if (error->is_object() && error->contains("message") && (*error)["message"].is_string())
        return (*error)["message"].get<std::string>().substr(0, kMaxErrorTextBytes);
    return "no error message in the response";
}

std::string error_type(const Json& json) {
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object()) return {};
    const auto& error = json["error"];
    if (!error.contains("type") || !error["type"].is_string()) return {};
    return error["type"].get<std::string>();
}

ParsedResponse parse_error_response(int status, const std::string& body) {
    std::string reason;
    const Json json = api::parse_json(body, reason);
    ParsedResponse parsed;
    parsed.reason = "status " + std::to_string(status) + ": " + error_text(json);
    // Only responses that state that nothing ran count as not run: 429 at admission, and a missing KV cache.
    if (status == 429) parsed.result = AttemptResult::rejected;
    if (status == 424 && error_type(json) == "kv_transfer_error")
        parsed.result = AttemptResult::rejected, parsed.detail = 1;
    return parsed;
}

// Parses one chunk of a stream without building a JSON value, as this runs for every token of every stream.
// The few needed members are recognized by their path, and all others are skipped.
class ChunkReader final : public nlohmann::json_sax<Json> {
public:
    std::string text, finish, stop_string, error_text = "no error message in the response";
    api::Usage usage;
    bool object = false, error = false, has_usage = false;

    bool null() override { return end_value(); }
    bool boolean(bool) override { return end_value(); }
    bool number_integer(number_integer_t amount) override { return number(static_cast<double>(amount)); }
    bool number_unsigned(number_unsigned_t amount) override { return number(static_cast<double>(amount)); }
    bool number_float(number_float_t amount, const string_t&) override { return number(amount); }
    bool binary(binary_t&) override { return true; }
    bool string(string_t& text_value) override {
        if (is_at(Key::choices, 0, Key::delta, Key::content)) {
            text = std::move(text_value);
        } else if (is_at(Key::choices, 0, Key::finish_reason)) {
            finish = std::move(text_value);
        } else if (is_at(Key::choices, 0, Key::stop_reason)) {
            stop_string = std::move(text_value);
        } else if (depth_ == 1 && key_[1] == Key::error) {
            error = true;
            error_text = std::move(text_value);
        } else if (depth_ == 2 && key_[1] == Key::error && key_[2] == Key::message) {
            error_text = std::move(text_value);
        }
        return end_value();
    }
    bool start_object(std::size_t) override {
        if (depth_ == 0) object = true;
        if (depth_ == 1 && key_[1] == Key::error) error = true;
        if (depth_ == 1 && key_[1] == Key::usage) has_usage = true;
        return enter_level(-1);
    }
    bool start_array(std::size_t) override { return enter_level(0); }
    bool end_object() override { return leave_level(); }
    bool end_array() override { return leave_level(); }
    bool key(string_t& name) override {
        if (depth_ <= kMaxPathDepth) key_[depth_] = key_of(name);
        return true;
    }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }

private:
    enum class Key {
        other,
        choices,
        delta,
        content,
        finish_reason,
        stop_reason,
        error,
        message,
        usage,
        prompt_tokens,
        completion_tokens,
        prompt_tokens_details,
        cached_tokens
    };
    static constexpr int kMaxPathDepth = 5, kMaxDepth = 64;

    static Key key_of(const std::string& name) {
        static constexpr std::pair<std::string_view, Key> kNames[] = {
            {"choices", Key::choices},
            {"delta", Key::delta},
            {"content", Key::content},
            {"finish_reason", Key::finish_reason},
            {"stop_reason", Key::stop_reason},
            {"error", Key::error},
            {"message", Key::message},
            {"usage", Key::usage},
            {"prompt_tokens", Key::prompt_tokens},
            {"completion_tokens", Key::completion_tokens},
            {"prompt_tokens_details", Key::prompt_tokens_details},
            {"cached_tokens", Key::cached_tokens}};
        for (const auto& [known_name, key] : kNames) {
            if (known_name == name) return key;
        }
        return Key::other;
    }
    // Whether the current value is at list[element].outer or, with `inner`, at list[element].outer.inner. An
    // array takes a level of its own, in which index_ counts its elements.
    bool is_at(Key list, int element, Key outer, Key inner = Key::other) const {
        const int wanted_depth = inner == Key::other ? 3 : 4;
        return depth_ == wanted_depth && key_[1] == list && index_[2] == element && key_[3] == outer &&
               (wanted_depth == 3 || key_[4] == inner);
    }
    bool number(double amount) {
        if (has_usage && std::isfinite(amount) && amount > 0 && amount < kMaxTokenCount) {
            if (depth_ == 2 && key_[1] == Key::usage && key_[2] == Key::prompt_tokens)
                usage.input = static_cast<long>(amount);
            if (depth_ == 2 && key_[1] == Key::usage && key_[2] == Key::completion_tokens)
                usage.output = static_cast<long>(amount);
            if (depth_ == 3 && key_[1] == Key::usage && key_[2] == Key::prompt_tokens_details &&
                key_[3] == Key::cached_tokens)
                usage.cached = static_cast<long>(amount);
        }
        return end_value();
    }
    bool enter_level(int index) {
        if (++depth_ > kMaxDepth) return false;
        if (depth_ <= kMaxPathDepth) index_[depth_] = index, key_[depth_] = Key::other;
        return true;
    }
    bool leave_level() {
        --depth_;
        return end_value();
    }
    // A value has ended: in an array the index advances to the next one.
    bool end_value() {
        if (depth_ <= kMaxPathDepth && index_[depth_] >= 0) ++index_[depth_];
        return true;
    }
    int depth_ = 0;
    Key key_[kMaxPathDepth + 1] = {};
    int index_[kMaxPathDepth + 1] = {-1, -1, -1, -1, -1, -1};
};

class Vllm : public Dialect {
public:
    proxy::UpstreamRequest prefill_request(const api::ChatRequest& chat,
                                           const AttemptInfo& info) const override {
        Json body = chat_body(chat);
        body["max_tokens"] = 1;
        body["stream"] = false;
        body["kv_transfer_params"] = {{"do_remote_decode", true},    {"do_remote_prefill", false},
                                      {"remote_engine_id", nullptr}, {"remote_block_ids", nullptr},
                                      {"remote_host", nullptr},      {"remote_port", nullptr}};
        return post("/v1/chat/completions", body, info);
    }

    proxy::UpstreamRequest decode_request(const api::ChatRequest& chat, const AttemptInfo& info,
                                          const std::string& parameters) const override {
        Json body = chat_body(chat);
        body["max_tokens"] = chat.max_tokens;
        body["stream"] = true;
        body["stream_options"] = {{"include_usage", true}};
        if (!parameters.empty()) body["kv_transfer_params"] = Json::parse(parameters);
        return post("/v1/chat/completions", body, info);
    }

    proxy::UpstreamRequest release_request(const std::string& id) const override {
        return post("/abort_request", Json{{"rid", id}}, {id, {}, {}, 0});
    }

    ParsedResponse parse_prefill_response(int status, const std::string& body) const override {
        if (status != 200) return parse_error_response(status, body);
        ParsedResponse parsed;
        const Json json = api::parse_json(body, parsed.reason);
        const auto params = json.is_object() ? json.find("kv_transfer_params") : json.end();
        // Without transfer parameters no decode can fetch the KV cache, so the next attempt prefills again.
        if (!json.is_object() || params == json.end() || !params->is_object() ||
            !params->value("do_remote_prefill", Json()).is_boolean() || !params->at("do_remote_prefill")) {
            parsed.reason = "prefill response: kv_transfer_params with do_remote_prefill true not found";
            return parsed;
        }
        parsed.result = AttemptResult::prefill_done;
        parsed.parameters = params->dump();
        if (const auto usage = json.find("usage"); usage != json.end() && usage->is_object())
            parsed.detail = static_cast<double>(usage_of(*usage).cached);
        return parsed;
    }

    ParsedResponse parse_decode_error(int status, const std::string& body) const override {
        ParsedResponse parsed = parse_error_response(status, body);
        if (status == 200) parsed.reason = "response with status 200 is not an event stream";
        return parsed;
    }

    void parse_event(std::string_view data, std::vector<StreamPiece>& pieces) const override {
        pieces.clear();
        if (data == "[DONE]") {
            pieces.push_back({StreamPiece::Kind::done, {}, {}, {}});
            return;
        }
        ChunkReader chunk;
        const bool is_valid = Json::sax_parse(data, &chunk);
        if (!is_valid || !chunk.object || chunk.error) {
            const std::string reason = chunk.error ? chunk.error_text : "stream event is not a JSON object";
            pieces.push_back({StreamPiece::Kind::error, reason.substr(0, kMaxErrorTextBytes), {}, {}});
            return;
        }
        if (!chunk.text.empty()) pieces.push_back({StreamPiece::Kind::text, std::move(chunk.text), {}, {}});
        if (!chunk.finish.empty()) {
            StreamPiece piece{StreamPiece::Kind::stop, {}, api::StopReason::end, {}};
            if (chunk.finish == "length") piece.stop = api::StopReason::length;
            if (chunk.finish == "content_filter") piece.stop = api::StopReason::refused;
            // vLLM sends the matched stop string in stop_reason.
            if (chunk.finish == "stop" && !chunk.stop_string.empty())
                piece.stop = api::StopReason::sequence, piece.text = std::move(chunk.stop_string);
            pieces.push_back(std::move(piece));
        }
        if (chunk.has_usage) {
            chunk.usage.cached = std::min(chunk.usage.cached, chunk.usage.input);
            pieces.push_back({StreamPiece::Kind::usage, {}, {}, chunk.usage});
        }
    }

    LoadReport load_report(const http::Headers& headers) const override {
        const std::string* text = http::find_header(headers, "endpoint-load-metrics");
        return text ? parse_load_report(*text) : LoadReport{};
    }
};

}  // namespace

std::unique_ptr<Dialect> vllm() { return std::make_unique<Vllm>(); }

}  // namespace gorsenotch::engine
