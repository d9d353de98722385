#include "api/parse_json.h"

#include <set>
#include <vector>

namespace gorsenotch::api {
namespace {

// Checks a text before a value is built from it: the depth limit prevents a stack overflow when the value is
// traversed or serialized. Duplicate keys are rejected because two parsers of one body could use different
// ones; lenient parsers accept more than this. (The callbacks of the library's parser could check the same,
// but with them each object in a list costs a pass over the list.)
class JsonCheck final : public nlohmann::json_sax<Json> {
public:
    std::string reason;

    explicit JsonCheck(int max_depth) : max_depth_(max_depth) {}

    bool null() override { return on_value(); }
    bool boolean(bool) override { return on_value(); }
    bool number_integer(number_integer_t) override { return on_value(); }
    bool number_unsigned(number_unsigned_t) override { return on_value(); }
    bool number_float(number_float_t, const string_t&) override { return on_value(); }
    bool string(string_t&) override { return on_value(); }
    bool binary(binary_t&) override { return on_value(); }
    bool start_object(std::size_t) override {
        if (!on_value()) return false;
        keys_.emplace_back();
        ++depth_;
        return true;
    }
    bool key(string_t& name) override {
        if (keys_.back().insert(name).second) return true;
        return reject("key '" + name + "' appears twice in one object");
    }
    bool end_object() override {
        keys_.pop_back();
        --depth_;
        return true;
    }
    bool start_array(std::size_t) override {
        if (!on_value()) return false;
        ++depth_;
        return true;
    }
    bool end_array() override {
        --depth_;
        return true;
    }
    bool parse_error(std::size_t position, const std::string&, const Json::exception& error) override {
        if (!dynamic_cast<const Json::parse_error*>(&error)) return reject(error.what());
        return reject("not valid JSON at byte " + std::to_string(position));
    }

private:
    bool on_value() {
        if (depth_ > max_depth_) return reject("nested deeper than " + std::to_string(max_depth_));
        if (++values_ > kMaxJsonValues)
            return reject("of more than " + std::to_string(kMaxJsonValues) + " JSON values");
        return true;
    }
    bool reject(std::string why) {
        reason = std::move(why);
        return false;
    }

    const int max_depth_;
    int depth_ = 0;
    std::size_t values_ = 0;
    std::vector<std::set<std::string>> keys_;  // of each open object
};

}  // namespace

Json parse_json(std::string_view text, std::string& reason, int max_depth) {
    JsonCheck check(max_depth);
    if (!Json::sax_parse(text, &check)) {
        reason = std::move(check.reason);
        return Json(Json::value_t::discarded);
    }
    return Json::parse(text);
}

}  // namespace gorsenotch::api
