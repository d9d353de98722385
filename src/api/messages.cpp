#include "api/messages.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

#include "api/parse_json.h"
#include "http/sse.h"

namespace gorsenotch::api::messages {
namespace {

// Keeps members in the order of the public reference.
using OrderedJson = nlohmann::ordered_json;

ApiError invalid_request(const std::string& path, const std::string& reason) {
    return {400, "invalid_request_error", path.empty() ? reason : path + ": " + reason};
}

constexpr std::array kSupportedFields = {"model",          "messages", "max_tokens",  "system",
                                         "stop_sequences", "stream",   "metadata",    "top_k",
                                         "temperature",    "top_p",    "service_tier"};
// Fields of the specification that are not supported here. They are rejected instead of ignored.
constexpr std::array kUnsupportedFields = {"tools",       "tool_choice",        "thinking",     "container",
                                           "mcp_servers", "context_management", "output_config"};

// Added to the token estimate for each message.
constexpr double kMessageOverheadTokens = 4;
constexpr double kMaxAnswerTokens = 1e6;
constexpr double kMaxTopK = 1e6;
constexpr std::size_t kMaxUserIdBytes = 256;

// The path of a member for error messages: "messages.0" and "role" give "messages.0.role".
std::string child_path(const std::string& path, const std::string& key) {
    std::string child = path;
    return child.append(".").append(key);
}

// Appends the text of a string or of a list of text blocks to `out`.
std::optional<ApiError> parse_text(const Json& value, const std::string& path, std::string& out) {
    if (value.is_string()) {
        out = value.get<std::string>();
        return std::nullopt;
    }
    if (!value.is_array())
        return invalid_request(path, "Input should be a valid string or a list of content blocks");
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string at = path + "." + std::to_string(i);
        const Json& block = value[i];
        if (!block.is_object()) return invalid_request(at, "Input should be an object");
        const auto type = block.find("type");
        if (type == block.end()) return invalid_request(at + ".type", "Field required");
        if (*type != "text") return invalid_request(at + ".type", "only 'text' blocks are served here");
        const auto text = block.find("text");
        if (text == block.end()) return invalid_request(at + ".text", "Field required");
        if (!text->is_string()) return invalid_request(at + ".text", "Input should be a valid string");
        for (const auto& [key, ignored] : block.items()) {
            if (key != "type" && key != "text" && key != "cache_control" && key != "citations")
                return invalid_request(child_path(at, key), "Extra inputs are not permitted");
        }
        out += text->get_ref<const std::string&>();
    }
    return std::nullopt;
}

std::optional<ApiError> parse_number(const Json& body, const char* key, double low, double high,
                                     std::optional<double>& number) {
    const auto it = body.find(key);
    if (it == body.end() || it->is_null()) return std::nullopt;
    if (!it->is_number()) return invalid_request(key, "Input should be a valid number");
    const double value = it->get<double>();
    if (!(value >= low && value <= high)) {
        return invalid_request(key, "Input should be from " + std::to_string(static_cast<int>(low)) + " to " +
                                        std::to_string(static_cast<int>(high)));
    }
    number = value;
    return std::nullopt;
}

std::optional<ApiError> check_role(const Json& message, const std::string& path, const Version& version) {
    const auto role = message.find("role");
    if (role == message.end()) return invalid_request(path + ".role", "Field required");
    if (*role == "system" && !version.system_turns)
        return invalid_request(path + ".role", "Input should be 'user' or 'assistant': version " +
                                                   std::string(version.name) +
                                                   " has its instructions in `system`");
    if (*role != "user" && *role != "assistant" && *role != "system") {
        return invalid_request(path + ".role", version.system_turns
                                                   ? "Input should be 'user', 'assistant' or 'system'"
                                                   : "Input should be 'user' or 'assistant'");
    }
    return std::nullopt;
}

std::optional<ApiError> parse_message(const Json& json, const std::string& path, const Version& version,
                                      Message& message) {
    if (!json.is_object()) return invalid_request(path, "Input should be an object");
    for (const auto& [key, ignored] : json.items()) {
        if (key != "role" && key != "content")
            return invalid_request(child_path(path, key), "Extra inputs are not permitted");
    }
    if (auto error = check_role(json, path, version)) return error;
    const auto content = json.find("content");
    if (content == json.end()) return invalid_request(path + ".content", "Field required");
    message.role = json.at("role").get<std::string>();
    if (auto error = parse_text(*content, path + ".content", message.text)) return error;
    if (message.text.empty()) return invalid_request(path + ".content", "text content must not be empty");
    return std::nullopt;
}

// Appends a message, joining consecutive messages of one role as in the specification.
void append_message(ChatRequest& chat, Message message) {
    if (!chat.messages.empty() && chat.messages.back().role == message.role) {
        chat.messages.back().text += "\n" + message.text;
    } else {
        chat.messages.push_back(std::move(message));
    }
}

std::optional<ApiError> parse_messages(const Json& body, const Version& version, ChatRequest& chat) {
    const auto list = body.find("messages");
    if (list == body.end()) return invalid_request("messages", "Field required");
    if (!list->is_array()) return invalid_request("messages", "Input should be a valid list");
    if (list->empty()) return invalid_request("messages", "at least one message is required");
    for (std::size_t i = 0; i < list->size(); ++i) {
        Message message;
        if (auto error = parse_message((*list)[i], "messages." + std::to_string(i), version, message))
            return error;
        append_message(chat, std::move(message));
    }
    const auto first = std::find_if(chat.messages.begin(), chat.messages.end(),
                                    [](const Message& message) { return message.role != "system"; });
    if (first == chat.messages.end())
        return invalid_request("messages", "at least one message of the user's is required");
    if (first->role != "user")
        return invalid_request("messages.0.role", "the first message must be a user's");
    return std::nullopt;
}

std::optional<ApiError> check_fields(const Json& body) {
    for (const auto& [key, ignored] : body.items()) {
        if (std::find(kUnsupportedFields.begin(), kUnsupportedFields.end(), key) != kUnsupportedFields.end())
            return invalid_request(key, "not served by this deployment");
        if (std::find(kSupportedFields.begin(), kSupportedFields.end(), key) == kSupportedFields.end())
            return invalid_request(key, "Extra inputs are not permitted");
    }
    return std::nullopt;
}

std::optional<ApiError> parse_model(const Json& body, ChatRequest& chat) {
    const auto model = body.find("model");
    if (model == body.end()) return invalid_request("model", "Field required");
    if (!model->is_string() || model->get_ref<const std::string&>().empty())
        return invalid_request("model", "Input should be a valid string");
    chat.model = model->get<std::string>();
    return std::nullopt;
}

std::optional<ApiError> parse_max_tokens(const Json& body, bool count_only, ChatRequest& chat) {
    const auto max = body.find("max_tokens");
    if (max == body.end()) {
        if (count_only) return std::nullopt;
        return invalid_request("max_tokens", "Field required");
    }
    if (!max->is_number_integer()) return invalid_request("max_tokens", "Input should be a valid integer");
    // Compared as double, since an unsigned value may not fit a long.
    if (max->get<double>() < 1 || max->get<double>() > kMaxAnswerTokens)
        return invalid_request("max_tokens", "Input should be from 1 to 1000000");
    chat.max_tokens = max->get<long>();
    return std::nullopt;
}

// Must run after the messages are parsed, as it prepends the instructions to them.
std::optional<ApiError> parse_system(const Json& body, ChatRequest& chat) {
    const auto field = body.find("system");
    if (field == body.end()) return std::nullopt;
    Message system{"system", {}};
    if (auto error = parse_text(*field, "system", system.text)) return error;
    if (system.text.empty()) return std::nullopt;
    if (chat.messages.front().role == "system") {
        chat.messages.front().text = system.text + "\n" + chat.messages.front().text;
    } else {
        chat.messages.insert(chat.messages.begin(), std::move(system));
    }
    return std::nullopt;
}

std::optional<ApiError> parse_stream(const Json& body, ChatRequest& chat) {
    const auto field = body.find("stream");
    if (field == body.end()) return std::nullopt;
    if (!field->is_boolean()) return invalid_request("stream", "Input should be a valid boolean");
    chat.stream = field->get<bool>();
    return std::nullopt;
}

std::optional<ApiError> parse_stop_sequences(const Json& body, ChatRequest& chat) {
    const auto field = body.find("stop_sequences");
    if (field == body.end()) return std::nullopt;
    if (!field->is_array()) return invalid_request("stop_sequences", "Input should be a valid list");
    for (std::size_t i = 0; i < field->size(); ++i) {
        const Json& sequence = (*field)[i];
        if (!sequence.is_string() || sequence.get_ref<const std::string&>().empty())
            return invalid_request("stop_sequences." + std::to_string(i),
                                   "Input should be a non-empty string");
        chat.stop.push_back(sequence.get<std::string>());
    }
    return std::nullopt;
}

std::optional<ApiError> parse_metadata(const Json& body, ChatRequest& chat) {
    const auto field = body.find("metadata");
    if (field == body.end() || field->is_null()) return std::nullopt;
    if (!field->is_object()) return invalid_request("metadata", "Input should be an object");
    for (const auto& [key, value] : field->items()) {
        if (key != "user_id") return invalid_request("metadata." + key, "Extra inputs are not permitted");
        if (value.is_null()) continue;
        if (!value.is_string() || value.get_ref<const std::string&>().size() > kMaxUserIdBytes)
            return invalid_request("metadata.user_id", "Input should be a string of at most 256 characters");
        chat.user = value.get<std::string>();
    }
    return std::nullopt;
}

std::optional<ApiError> parse_sampling(const Json& body, ChatRequest& chat) {
    if (auto error = parse_number(body, "temperature", 0, 1, chat.temperature)) return error;
    if (auto error = parse_number(body, "top_p", 0, 1, chat.top_p)) return error;
    std::optional<double> top_k;
    if (auto error = parse_number(body, "top_k", 0, kMaxTopK, top_k)) return error;
    if (!top_k) return std::nullopt;
    if (*top_k != std::floor(*top_k)) return invalid_request("top_k", "Input should be a valid integer");
    chat.top_k = static_cast<long>(*top_k);
    return std::nullopt;
}

// The order of the checks determines which of several faults is reported.
std::optional<ApiError> parse_fields(const Json& body, bool count_only, const Version& version,
                                     ChatRequest& chat) {
    if (!body.is_object()) return invalid_request("", "the body should be an object");
    if (auto error = check_fields(body)) return error;
    if (auto error = parse_model(body, chat)) return error;
    if (auto error = parse_max_tokens(body, count_only, chat)) return error;
    if (auto error = parse_messages(body, version, chat)) return error;
    if (auto error = parse_system(body, chat)) return error;
    if (auto error = parse_stream(body, chat)) return error;
    if (auto error = parse_stop_sequences(body, chat)) return error;
    if (auto error = parse_metadata(body, chat)) return error;
    return parse_sampling(body, chat);
}

void set_derived_fields(ChatRequest& chat) {
    for (const Message& message : chat.messages)
        chat.prompt_tokens += estimate_tokens(message.text) + kMessageOverheadTokens;
    const bool system = chat.messages.front().role == "system";
    if (system) {
        chat.prefix = hash(chat.messages.front().text) | 1;
        chat.prefix_tokens = estimate_tokens(chat.messages.front().text);
    }
    // Each turn of a conversation includes its first user message, so the hash is the same for all turns.
    const Message& first = chat.messages[system && chat.messages.size() > 1 ? 1 : 0];
    chat.session = hash(first.text, hash(chat.user, chat.prefix));
}

// Appends `text`, escaped for a JSON string. Its parser has already checked that it is valid UTF-8.
void append_escaped(std::string_view text, std::string& out) {
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            out += '\\';
            out += character;
        } else if (character == '\n') {
            out += "\\n";
        } else if (code < 0x20) {
            char hex[8];
            std::snprintf(hex, sizeof hex, "\\u%04x", code);
            out += hex;
        } else {
            out += character;
        }
    }
}

// A stop string from an engine may be invalid UTF-8: invalid bytes are replaced instead of causing an
// exception.
std::string format_event(const char* name, const OrderedJson& data) {
    return http::sse_event(name, data.dump(-1, ' ', false, OrderedJson::error_handler_t::replace));
}

const char* stop_reason_name(StopReason reason) {
    switch (reason) {
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

OrderedJson sequence_json(StopReason reason, const std::string& sequence) {
    return reason == StopReason::sequence ? OrderedJson(sequence) : OrderedJson(nullptr);
}

OrderedJson usage_json(const Usage& usage) {
    return {{"input_tokens", usage.input - usage.cached},
            {"cache_creation_input_tokens", 0},
            {"cache_read_input_tokens", usage.cached},
            {"output_tokens", usage.output}};
}

// Writes each piece of the answer as a stream event.
class StreamedResponse : public ResponseWriter {
public:
    StreamedResponse(std::string id, std::string model, long input, std::string request_id)
        : id_(std::move(id)),
          model_(std::move(model)),
          request_id_(std::move(request_id)),
          input_tokens_(input) {}
    std::size_t memory_for(std::size_t) const override { return 0; }
    std::size_t collected() const override { return 0; }

protected:
    std::string on_begin() override {
        const OrderedJson start = {{"type", "message_start"},
                                   {"message",
                                    {{"id", id_},
                                     {"type", "message"},
                                     {"role", "assistant"},
                                     {"model", model_},
                                     {"content", OrderedJson::array()},
                                     {"stop_reason", nullptr},
                                     {"stop_sequence", nullptr},
                                     {"usage", usage_json({input_tokens_, 0, 0})}}}};
        return format_event("message_start", start) +
               http::sse_event("content_block_start",
                               "{\"type\":\"content_block_start\",\"index\":0,"
                               "\"content_block\":{\"type\":\"text\",\"text\":\"\"}}") +
               on_ping();
    }
    std::string on_text(std::string_view piece) override {
        // This runs for every token of every stream, so it builds one string with one allocation.
        static constexpr std::string_view kHead =
            "event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\"index\":0,\"delta\":"
            "{\"type\":\"text_delta\",\"text\":\"";
        std::string out;
        out.reserve(kHead.size() + piece.size() + 16);
        out.append(kHead);
        append_escaped(piece, out);
        return out.append("\"}}\n\n");
    }
    std::string on_finish(StopReason stop, const Usage& usage, const std::string& sequence) override {
        const OrderedJson delta = {
            {"type", "message_delta"},
            {"delta",
             {{"stop_reason", stop_reason_name(stop)}, {"stop_sequence", sequence_json(stop, sequence)}}},
            {"usage", usage_json(usage)}};
        return http::sse_event("content_block_stop", "{\"type\":\"content_block_stop\",\"index\":0}") +
               format_event("message_delta", delta) +
               http::sse_event("message_stop", "{\"type\":\"message_stop\"}");
    }
    std::string on_fail(const ApiError& error) override {
        return http::sse_event("error", error_body(error, request_id_));
    }
    std::string on_ping() override { return http::sse_event("ping", "{\"type\":\"ping\"}"); }

private:
    std::string id_, model_, request_id_;
    long input_tokens_;
};

// A string that grows by parts may take twice its length.
constexpr std::size_t kStringGrowth = 2;

// Collects the answer and writes it as one message.
class CompleteResponse : public ResponseWriter {
public:
    CompleteResponse(std::string id, std::string model, std::string request_id, std::size_t max)
        : id_(std::move(id)), model_(std::move(model)), request_id_(std::move(request_id)), max_bytes_(max) {}
    std::size_t memory_for(std::size_t bytes) const override {
        return kStringGrowth * std::min(bytes, max_bytes_);
    }
    std::size_t collected() const override { return text_.size(); }

protected:
    std::string on_begin() override { return {}; }
    std::string on_text(std::string_view piece) override {
        if (text_.size() + piece.size() > max_bytes_) {
            return fail({500, "api_error", "the answer is longer than this gateway gathers; stream it"});
        }
        text_.append(piece);
        return {};
    }
    std::string on_finish(StopReason stop, const Usage& usage, const std::string& sequence) override {
        OrderedJson response = {{"id", id_},
                                {"type", "message"},
                                {"role", "assistant"},
                                {"model", model_},
                                {"content", OrderedJson::array({{{"type", "text"}, {"text", ""}}})},
                                {"stop_reason", stop_reason_name(stop)},
                                {"stop_sequence", sequence_json(stop, sequence)},
                                {"usage", usage_json(usage)}};
        response["content"][0]["text"] = std::exchange(text_, std::string());  // not copied: it may be large
        return response.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
    }
    std::string on_fail(const ApiError& error) override {
        text_ = std::string();
        return error_body(error, request_id_);
    }
    std::string on_ping() override { return {}; }

private:
    std::string id_, model_, request_id_, text_;
    std::size_t max_bytes_;
};

OrderedJson model_json(const std::string& model) {
    return {
        {"type", "model"}, {"id", model}, {"display_name", model}, {"created_at", "1970-01-01T00:00:00Z"}};
}

}  // namespace

std::variant<ChatRequest, ApiError> parse(std::string_view body, bool count_only, const Version& version) {
    std::string reason;
    const Json json = parse_json(body, reason);
    if (json.is_discarded()) return invalid_request("", "the body is " + reason);
    ChatRequest chat;
    if (auto error = parse_fields(json, count_only, version, chat)) return *error;
    set_derived_fields(chat);
    return chat;
}

std::string error_body(const ApiError& error, const std::string& request_id) {
    const OrderedJson body = {{"type", "error"},
                              {"error", {{"type", error.type}, {"message", error.message}}},
                              {"request_id", request_id}};
    return body.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
}

std::string count_body(const ChatRequest& chat) {
    return Json{{"input_tokens", static_cast<long>(chat.prompt_tokens)}}.dump();
}

std::string models_body(const std::vector<std::string>& models) {
    OrderedJson list = OrderedJson::array();
    for (const auto& model : models) list.push_back(model_json(model));
    const OrderedJson first = models.empty() ? OrderedJson(nullptr) : OrderedJson(models.front());
    const OrderedJson last = models.empty() ? OrderedJson(nullptr) : OrderedJson(models.back());
    return OrderedJson{{"data", list}, {"first_id", first}, {"has_more", false}, {"last_id", last}}.dump();
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
