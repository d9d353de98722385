#include "http/sse.h"

#include <utility>

namespace gorsenotch::http {

bool SseReader::feed(std::string_view bytes) {
    if (broken_) return false;
    while (!bytes.empty()) {
        if (after_cr_) {
            after_cr_ = false;
            if (bytes.front() == '\n') {
                bytes.remove_prefix(1);
                continue;
            }
        }
        auto end = bytes.find('\n');
        if (const auto cr = bytes.substr(0, end).find('\r'); cr != std::string_view::npos) end = cr;
        const auto part = bytes.substr(0, end);
        // Guards against memory taken by a line that never ends.
        if (line_.size() + data_.size() + part.size() > max_) {
            broken_ = true;
            return false;
        }
        if (end == std::string_view::npos) {
            line_.append(part);
            return true;
        }
        after_cr_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        bool ok = true;
        if (line_.empty()) {
            ok = line(part);
        } else {
            line_.append(part);
            const std::string whole = std::move(line_);
            line_.clear();
            ok = line(whole);
        }
        if (!ok) return false;
    }
    return true;
}

bool SseReader::line(std::string_view text) {
    if (first_) {
        first_ = false;
        if (text.substr(0, 3) == "\xEF\xBB\xBF") text.remove_prefix(3);
    }
    if (text.empty()) {
        // Handed on in place: the strings keep their memory for the next event.
        if (std::exchange(has_data_, false) && on_event) on_event(name_, data_);
        name_.clear(), data_.clear();
        return !broken_;
    }
    if (text.front() == ':') return true;
    const auto colon = text.find(':');
    const auto field = text.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    if (field == "data") {
        if (has_data_) data_ += '\n';
        data_.append(value);
        has_data_ = true;
    } else if (field == "event") {
        name_ = value;
    }
    return true;
}

std::string sse_event(std::string_view name, std::string_view data) {
    std::string s;
    s.reserve(name.size() + data.size() + 18);
    if (!name.empty()) s.append("event: ").append(name).append("\n");
    return s.append("data: ").append(data).append("\n\n");
}

}  // namespace gorsenotch::http
