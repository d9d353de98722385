#include "http/sse.h"

#include <algorithm>
#include <utility>

namespace gorsenotch::http {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
// Memory that is kept from one event for the next.
constexpr std::size_t kMaxKeptBytes = std::size_t{4} * 1024;

void clear(std::string& text) {
    if (text.capacity() > kMaxKeptBytes) text = std::string();
    text.clear();
}

// The position of the first line end in `bytes`; npos if there is none.
std::size_t find_line_end(std::string_view bytes) {
    // Finds the LF first, so that a CR is searched for in one line only, however long the rest is.
    const auto line_feed = bytes.find('\n');
    const auto carriage_return = bytes.substr(0, line_feed).find('\r');
    return carriage_return != std::string_view::npos ? carriage_return : line_feed;
}

}  // namespace

bool SseReader::feed(std::string_view bytes) {
    if (too_long_) return false;
    while (!bytes.empty()) {
        if (std::exchange(after_cr_, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = find_line_end(bytes);
        const auto part = truncated(bytes.substr(0, end));
        // Guards against unbounded memory use by a line that never ends.
        if (oversize_ == Oversize::fail && line_.size() + data_.size() + part.size() > max_event_bytes_) {
            too_long_ = true;
            return false;
        }
        if (end == std::string_view::npos) {
            line_.append(part);
            return true;
        }
        after_cr_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        end_line(part);
        if (too_long_) return false;
    }
    return true;
}

std::string_view SseReader::truncated(std::string_view part) const {
    if (oversize_ == Oversize::fail) return part;
    return part.substr(0, max_event_bytes_ - std::min(max_event_bytes_, line_.size()));
}

void SseReader::end_line(std::string_view rest) {
    if (line_.empty()) return on_line(rest);
    line_.append(rest);
    const std::string line = std::move(line_);
    line_.clear();
    on_line(line);
}

void SseReader::on_line(std::string_view line) {
    if (std::exchange(first_line_, false) && line.substr(0, kByteOrderMark.size()) == kByteOrderMark)
        line.remove_prefix(kByteOrderMark.size());
    if (line.empty()) return end_event();
    if (line.front() == ':') return;  // a comment
    const auto colon = line.find(':');
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    on_field(line.substr(0, colon), value);
}

void SseReader::end_event() {
    // Passed by reference, so that short strings keep their memory for the next event.
    if (std::exchange(has_data_, false) && on_event) on_event(name_, data_);
    clear(name_);
    clear(data_);
}

void SseReader::on_field(std::string_view name, std::string_view value) {
    if (name == "data") {
        const bool skipped = oversize_ == Oversize::truncate && data_.size() > max_event_bytes_;
        if (has_data_ && !skipped) data_ += '\n';
        if (!skipped) data_.append(value);
        has_data_ = true;
    } else if (name == "event") {
        name_ = value;
    }
}

std::string sse_event(std::string_view name, std::string_view data) {
    constexpr std::size_t kFraming = std::string_view("event: \ndata: \n\n").size();
    std::string event;
    event.reserve(name.size() + data.size() + kFraming);
    if (!name.empty()) event.append("event: ").append(name).append("\n");
    return event.append("data: ").append(data).append("\n\n");
}

}  // namespace gorsenotch::http
