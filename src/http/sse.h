// Server-sent events, per the WHATWG HTML standard (section 9.2), in pieces of any size. No I/O.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace gorsenotch::http {

// Reads a stream of events. on_event is called from within feed() and may not destroy the reader.
class SseReader {
public:
    // A complete event: its name (empty if none was given) and its data, lines joined by "\n". Events without
    // data are ignored, as the standard says; so are comments, `id` and `retry`.
    std::function<void(std::string_view name, std::string_view data)> on_event;

    // `max_event`: bytes of one event.
    explicit SseReader(std::size_t max_event) : max_event_(max_event) {}
    // False when a line or an event grows past the limit: nothing more is read then.
    bool feed(std::string_view bytes);
    bool inside() const { return !line_.empty() || has_data_; }  // an event has begun but not ended

private:
    // Completes the current line with `rest` and handles it.
    void end_line(std::string_view rest);
    void on_line(std::string_view line);
    void end_event();
    void on_field(std::string_view name, std::string_view value);

    std::size_t max_event_;
    std::string line_;  // begun in an earlier feed()
    std::string name_;
    std::string data_;
    bool has_data_ = false;
    bool after_cr_ = false;  // an LF that follows belongs to the same line end
    bool too_long_ = false;
    bool first_line_ = true;
};

// One event as bytes. `name` may be empty; `data` without line ends.
std::string sse_event(std::string_view name, std::string_view data);

}  // namespace gorsenotch::http
