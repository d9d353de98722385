#include "api/chat.h"

#include <xxhash.h>

#include <set>

namespace gorsenotch::api {

double estimate_tokens(std::string_view text) {
    constexpr std::size_t kBytesPerToken = 4;
    const std::size_t tokens = (text.size() + kBytesPerToken - 1) / kBytesPerToken;
    return static_cast<double>(tokens);
}

std::uint64_t hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Json parse_json(std::string_view text, std::string& reason, int max_depth) {
    // The depth limit prevents a stack overflow when the value is traversed or serialized. Duplicate keys are
    // rejected because two parsers of one body could use different ones. Lenient parsers accept more than
    // this.
    std::vector<std::set<std::string>> keys;
    const Json::parser_callback_t check_event = [&](int depth, Json::parse_event_t event, Json& value) {
        if (depth > max_depth) throw std::length_error("nested deeper than " + std::to_string(max_depth));
        if (event == Json::parse_event_t::object_start) keys.emplace_back();
        if (event == Json::parse_event_t::object_end) keys.pop_back();
        if (event == Json::parse_event_t::key && !keys.back().insert(value.get<std::string>()).second) {
            throw std::length_error("key '" + value.get<std::string>() + "' appears twice in one object");
        }
        return true;
    };
    try {
        return Json::parse(text, check_event);
    } catch (const Json::parse_error& json) {
        reason = "not valid JSON at byte " + std::to_string(json.byte);
    } catch (const std::exception& error) {
        reason = error.what();
    }
    return Json(Json::value_t::discarded);
}

std::string ResponseWriter::begin() {
    if (begun_ || ended_) return ++ignored_calls_, std::string();
    begun_ = true;
    return on_begin();
}

std::string ResponseWriter::text(std::string_view piece) {
    if (ended_) return ++ignored_calls_, std::string();
    std::string out = begun_ ? std::string() : begin();
    return out + on_text(piece);
}

std::string ResponseWriter::finish(StopReason stop, const Usage& usage, const std::string& sequence) {
    if (ended_) return ++ignored_calls_, std::string();
    std::string out = begun_ ? std::string() : begin();
    ended_ = true;
    return out + on_finish(stop, usage, sequence);
}

std::string ResponseWriter::fail(const ApiError& error) {
    if (ended_) return ++ignored_calls_, std::string();
    ended_ = true;
    return on_fail(error);
}

std::string ResponseWriter::ping() {
    if (!begun_ || ended_) return ++ignored_calls_, std::string();
    return on_ping();
}

}  // namespace gorsenotch::api
