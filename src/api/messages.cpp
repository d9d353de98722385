#include "api/messages.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "http/sse.h"

namespace gorsenotch::api::messages {
namespace {

using Out = nlohmann::ordered_json;  // members in the order in which the reference shows them

ApiError bad(const std::string& path, const std::string& why) {
    return {400, "invalid_request_error", path.empty() ? why : path + ": " + why};
}

constexpr std::array kKnown = {"model",    "messages", "max_tokens",  "system", "stop_sequences", "stream",
                               "metadata", "top_k",    "temperature", "top_p",  "service_tier"};
// In the specification, but not served here: said so rather than passed over.
constexpr std::array kLater = {"tools",       "tool_choice",        "thinking",     "container",
                               "mcp_servers", "context_management", "output_config"};

// The path of a member, for messages about it: "messages.0" and "role" give "messages.0.role".
std::string child_path(const std::string& path, const std::string& key) {
    std::string child = path;
    return child.append(".").append(key);
}

// Text of a string or of a list of text blocks.
std::optional<ApiError> text_of(const Json& value, const std::string& path, std::string& out) {
    if (value.is_string()) {
        out = value.get<std::string>();
        return std::nullopt;
    }
    if (!value.is_array()) return bad(path, "Input should be a valid string or a list of content blocks");
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string at = path + "." + std::to_string(i);
        const Json& block = value[i];
        if (!block.is_object()) return bad(at, "Input should be an object");
        const auto type = block.find("type");
        if (type == block.end()) return bad(at + ".type", "Field required");
        if (*type != "text") return bad(at + ".type", "only 'text' blocks are served here");
        const auto text = block.find("text");
        if (text == block.end()) return bad(at + ".text", "Field required");
        if (!text->is_string()) return bad(at + ".text", "Input should be a valid string");
        for (const auto& [key, ignored] : block.items()) {
            if (key != "type" && key != "text" && key != "cache_control" && key != "citations")
                return bad(child_path(at, key), "Extra inputs are not permitted");
        }
        out += text->get_ref<const std::string&>();
    }
    return std::nullopt;
}

std::optional<ApiError> number_in(const Json& body, const char* key, double low, double high,
                                  std::optional<double>& out) {
    const auto it = body.find(key);
    if (it == body.end() || it->is_null()) return std::nullopt;
    if (!it->is_number()) return bad(key, "Input should be a valid number");
    const double v = it->get<double>();
    if (!(v >= low && v <= high)) {
        return bad(key, "Input should be from " + std::to_string(static_cast<int>(low)) + " to " +
                            std::to_string(static_cast<int>(high)));
    }
    out = v;
    return std::nullopt;
}

std::optional<ApiError> read_messages(const Json& body, const Version& version, ChatRequest& chat) {
    const auto list = body.find("messages");
    if (list == body.end()) return bad("messages", "Field required");
    if (!list->is_array()) return bad("messages", "Input should be a valid list");
    if (list->empty()) return bad("messages", "at least one message is required");
    for (std::size_t i = 0; i < list->size(); ++i) {
        const std::string at = "messages." + std::to_string(i);
        const Json& json = (*list)[i];
        if (!json.is_object()) return bad(at, "Input should be an object");
        for (const auto& [key, ignored] : json.items()) {
            if (key != "role" && key != "content")
                return bad(child_path(at, key), "Extra inputs are not permitted");
        }
        const auto role = json.find("role");
        if (role == json.end()) return bad(at + ".role", "Field required");
        if (*role == "system" && !version.system_turns)
            return bad(at + ".role", "Input should be 'user' or 'assistant': version " +
                                         std::string(version.name) + " has its instructions in `system`");
        if (*role != "user" && *role != "assistant" && *role != "system") {
            return bad(at + ".role", version.system_turns ? "Input should be 'user', 'assistant' or 'system'"
                                                          : "Input should be 'user' or 'assistant'");
        }
        const auto content = json.find("content");
        if (content == json.end()) return bad(at + ".content", "Field required");
        Message turn{role->get<std::string>(), {}};
        if (auto error = text_of(*content, at + ".content", turn.text)) return error;
        if (turn.text.empty()) return bad(at + ".content", "text content must not be empty");
        // The specification joins consecutive turns of one role.
        if (!chat.messages.empty() && chat.messages.back().role == turn.role) {
            chat.messages.back().text += "\n" + turn.text;
        } else {
            chat.messages.push_back(std::move(turn));
        }
    }
    const auto first = std::find_if(chat.messages.begin(), chat.messages.end(),
                                    [](const Message& message) { return message.role != "system"; });
    if (first == chat.messages.end())
        return bad("messages", "at least one message of the user's is required");
    if (first->role != "user") return bad("messages.0.role", "the first message must be a user's");
    return std::nullopt;
}

std::optional<ApiError> read(const Json& body, bool count_only, const Version& version, ChatRequest& chat) {
    if (!body.is_object()) return bad("", "the body should be an object");
    for (const auto& [key, ignored] : body.items()) {
        if (std::find(kLater.begin(), kLater.end(), key) != kLater.end())
            return bad(key, "not served by this deployment");
        if (std::find(kKnown.begin(), kKnown.end(), key) == kKnown.end())
            return bad(key, "Extra inputs are not permitted");
    }
    const auto model = body.find("model");
    if (model == body.end()) return bad("model", "Field required");
    if (!model->is_string() || model->get_ref<const std::string&>().empty())
        return bad("model", "Input should be a valid string");
    chat.model = model->get<std::string>();
    const auto max = body.find("max_tokens");
    if (max != body.end()) {
        if (!max->is_number_integer()) return bad("max_tokens", "Input should be a valid integer");
        // As unsigned values may not fit, the range is judged as a number.
        if (max->get<double>() < 1 || max->get<double>() > 1e6)
            return bad("max_tokens", "Input should be from 1 to 1000000");
        chat.max_tokens = max->get<long>();
    } else if (!count_only) {
        return bad("max_tokens", "Field required");
    }
    if (auto error = read_messages(body, version, chat)) return error;
    if (const auto it = body.find("system"); it != body.end()) {
        Message system{"system", {}};
        if (auto error = text_of(*it, "system", system.text)) return error;
        if (!system.text.empty() && chat.messages.front().role == "system") {
            chat.messages.front().text = system.text + "\n" + chat.messages.front().text;
        } else if (!system.text.empty()) {
            chat.messages.insert(chat.messages.begin(), std::move(system));
        }
    }
    if (const auto it = body.find("stream"); it != body.end()) {
        if (!it->is_boolean()) return bad("stream", "Input should be a valid boolean");
        chat.stream = it->get<bool>();
    }
    if (const auto it = body.find("stop_sequences"); it != body.end()) {
        if (!it->is_array()) return bad("stop_sequences", "Input should be a valid list");
        for (std::size_t i = 0; i < it->size(); ++i) {
            const Json& json = (*it)[i];
            if (!json.is_string() || json.get_ref<const std::string&>().empty())
                return bad("stop_sequences." + std::to_string(i), "Input should be a non-empty string");
            chat.stop.push_back(json.get<std::string>());
        }
    }
    if (const auto it = body.find("metadata"); it != body.end() && !it->is_null()) {
        if (!it->is_object()) return bad("metadata", "Input should be an object");
        for (const auto& [key, value] : it->items()) {
            if (key != "user_id") return bad("metadata." + key, "Extra inputs are not permitted");
            if (value.is_null()) continue;
            if (!value.is_string() || value.get_ref<const std::string&>().size() > 256)
                return bad("metadata.user_id", "Input should be a string of at most 256 characters");
            chat.user = value.get<std::string>();
        }
    }
    if (auto error = number_in(body, "temperature", 0, 1, chat.temperature)) return error;
    if (auto error = number_in(body, "top_p", 0, 1, chat.top_p)) return error;
    std::optional<double> top_k;
    if (auto error = number_in(body, "top_k", 0, 1e6, top_k)) return error;
    if (top_k) {
        if (*top_k != std::floor(*top_k)) return bad("top_k", "Input should be a valid integer");
        chat.top_k = static_cast<long>(*top_k);
    }
    return std::nullopt;
}

void derive(ChatRequest& chat) {
    for (const Message& message : chat.messages) chat.prompt_tokens += estimate_tokens(message.text) + 4;
    const bool system = chat.messages.front().role == "system";
    if (system) {
        chat.prefix = hash(chat.messages.front().text) | 1;
        chat.prefix_tokens = estimate_tokens(chat.messages.front().text);
    }
    // Every turn of a conversation carries its first user message, so this stays through it.
    const Message& first = chat.messages[system && chat.messages.size() > 1 ? 1 : 0];
    chat.session = hash(first.text, hash(chat.user, chat.prefix));
}

// The inside of a JSON string. `text` is UTF-8, as the parser it came from has checked.
void escape(std::string_view text, std::string& out) {
    for (const char c : text) {
        const auto u = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            (out += '\\') += c;
        } else if (c == '\n') {
            out += "\\n";
        } else if (u < 0x20) {
            char hex[8];
            std::snprintf(hex, sizeof hex, "\\u%04x", u);
            out += hex;
        } else {
            out += c;
        }
    }
}

// What an engine sent (a stop string) may not be UTF-8 in full: that is replaced, not thrown over.
std::string event(const char* name, const Out& data) {
    return http::sse_event(name, data.dump(-1, ' ', false, Out::error_handler_t::replace));
}

const char* stop_reason(StopReason s) {
    switch (s) {
        case StopReason::length:
            return "max_tokens";
        case StopReason::sequence:
            return "stop_sequence";
        case StopReason::refused:
            return "refusal";
        default:
            return "end_turn";
    }
}

Out sequence_json(StopReason s, const std::string& sequence) {
    return s == StopReason::sequence ? Out(sequence) : Out(nullptr);
}

Out usage_json(const Usage& usage) {
    return {{"input_tokens", usage.input - usage.cached},
            {"cache_creation_input_tokens", 0},
            {"cache_read_input_tokens", usage.cached},
            {"output_tokens", usage.output}};
}

class StreamedResponse : public ResponseWriter {
public:
    StreamedResponse(std::string id, std::string model, long input, std::string request_id)
        : id_(std::move(id)), model_(std::move(model)), request_(std::move(request_id)), input_(input) {}

protected:
    std::string on_begin() override {
        const Out start = {{"type", "message_start"},
                           {"message",
                            {{"id", id_},
                             {"type", "message"},
                             {"role", "assistant"},
                             {"model", model_},
                             {"content", Out::array()},
                             {"stop_reason", nullptr},
                             {"stop_sequence", nullptr},
                             {"usage", usage_json({input_, 0, 0})}}}};
        return event("message_start", start) +
               http::sse_event("content_block_start",
                               "{\"type\":\"content_block_start\",\"index\":0,"
                               "\"content_block\":{\"type\":\"text\",\"text\":\"\"}}") +
               on_ping();
    }
    std::string on_text(std::string_view piece) override {
        // Every token of every stream passes here: one string, made once.
        static constexpr std::string_view kHead =
            "event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\"index\":0,\"delta\":"
            "{\"type\":\"text_delta\",\"text\":\"";
        std::string out;
        out.reserve(kHead.size() + piece.size() + 16);
        out.append(kHead);
        escape(piece, out);
        return out.append("\"}}\n\n");
    }
    std::string on_finish(StopReason stop, const Usage& usage, const std::string& sequence) override {
        const Out delta = {
            {"type", "message_delta"},
            {"delta", {{"stop_reason", stop_reason(stop)}, {"stop_sequence", sequence_json(stop, sequence)}}},
            {"usage", usage_json(usage)}};
        return http::sse_event("content_block_stop", "{\"type\":\"content_block_stop\",\"index\":0}") +
               event("message_delta", delta) + http::sse_event("message_stop", "{\"type\":\"message_stop\"}");
    }
    std::string on_fail(const ApiError& error) override {
        return http::sse_event("error", error_body(error, request_));
    }
    std::string on_ping() override { return http::sse_event("ping", "{\"type\":\"ping\"}"); }

private:
    std::string id_, model_, request_;
    long input_;
};

class CompleteResponse : public ResponseWriter {
public:
    CompleteResponse(std::string id, std::string model, std::string request_id, std::size_t max)
        : id_(std::move(id)), model_(std::move(model)), request_(std::move(request_id)), max_(max) {}

protected:
    std::string on_begin() override { return {}; }
    std::string on_text(std::string_view piece) override {
        if (text_.size() + piece.size() > max_) {
            return fail({500, "api_error", "the answer is longer than this gateway gathers; stream it"});
        }
        text_.append(piece);
        return {};
    }
    std::string on_finish(StopReason stop, const Usage& usage, const std::string& sequence) override {
        const Out whole = {{"id", id_},
                           {"type", "message"},
                           {"role", "assistant"},
                           {"model", model_},
                           {"content", Out::array({{{"type", "text"}, {"text", text_}}})},
                           {"stop_reason", stop_reason(stop)},
                           {"stop_sequence", sequence_json(stop, sequence)},
                           {"usage", usage_json(usage)}};
        return whole.dump(-1, ' ', false, Out::error_handler_t::replace);
    }
    std::string on_fail(const ApiError& error) override { return error_body(error, request_); }
    std::string on_ping() override { return {}; }

private:
    std::string id_, model_, request_, text_;
    std::size_t max_;
};

Out model_json(const std::string& model) {
    return {
        {"type", "model"}, {"id", model}, {"display_name", model}, {"created_at", "1970-01-01T00:00:00Z"}};
}

}  // namespace

std::variant<ChatRequest, ApiError> parse(std::string_view body, bool count_only, const Version& version) {
    std::string why;
    const Json json = parse_json(body, why);
    if (json.is_discarded()) return bad("", "the body is " + why);
    ChatRequest chat;
    if (auto error = read(json, count_only, version, chat)) return *error;
    derive(chat);
    return chat;
}

std::string error_body(const ApiError& error, const std::string& request_id) {
    const Out j = {{"type", "error"},
                   {"error", {{"type", error.type}, {"message", error.message}}},
                   {"request_id", request_id}};
    return j.dump(-1, ' ', false, Out::error_handler_t::replace);
}

std::string count_body(const ChatRequest& chat) {
    return Json{{"input_tokens", static_cast<long>(chat.prompt_tokens)}}.dump();
}

std::string models_body(const std::vector<std::string>& models) {
    Out list = Out::array();
    for (const auto& m : models) list.push_back(model_json(m));
    const Out first = models.empty() ? Out(nullptr) : Out(models.front());
    const Out last = models.empty() ? Out(nullptr) : Out(models.back());
    return Out{{"data", list}, {"first_id", first}, {"has_more", false}, {"last_id", last}}.dump();
}

std::string model_body(const std::string& model) { return model_json(model).dump(); }

std::unique_ptr<ResponseWriter> streamed_response(std::string id, std::string model, long input_tokens,
                                                  std::string request_id) {
    return std::make_unique<StreamedResponse>(std::move(id), std::move(model), input_tokens,
                                              std::move(request_id));
}

std::unique_ptr<ResponseWriter> complete_response(std::string id, std::string model, std::string request_id,
                                                  std::size_t max_bytes) {
    return std::make_unique<CompleteResponse>(std::move(id), std::move(model), std::move(request_id),
                                              max_bytes);
}

}  // namespace gorsenotch::api::messages
