// Server-sent events, per the WHATWG HTML standard (section 9.2), in pieces of any size. No I/O.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace gorsenotch::http {

class SseReader {
public:
    // A whole event: its name (empty if none was given) and its data, lines joined by "\n". Events without
    // data are passed over, as the standard says; so are comments, `id` and `retry`.
    std::function<void(std::string_view name, std::string_view data)> on_event;

    explicit SseReader(std::size_t max_event) : max_(max_event) {}
    // False when a line or an event grows past the limit: nothing more is read then.
    bool feed(std::string_view bytes);
    bool inside() const { return !line_.empty() || has_data_; }  // an event has begun but not ended

private:
    bool line(std::string_view text);
    std::size_t max_;
    std::string line_, name_, data_;
    bool has_data_ = false, after_cr_ = false, broken_ = false, first_ = true;
};

std::string sse_event(std::string_view name, std::string_view data);  // `data` without line ends

}  // namespace gorsenotch::http
