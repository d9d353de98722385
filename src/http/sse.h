// Parses server-sent events, whose bytes may arrive in fragments of any size, and writes them, as defined by
// the WHATWG HTML standard (section 9.2). No I/O.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace gorsenotch::http {

// Parses a stream of events. on_event is called from within feed() and must not destroy the reader.
class SseReader {
public:
    // Called for each complete event with its name (empty if none was given) and its data, lines joined by
    // "\n". Events without data are ignored, as the standard requires; so are comments, `id` and `retry`.
    std::function<void(std::string_view name, std::string_view data)> on_event;

    // What becomes of lines and events beyond the limit.
    enum class Oversize {
        fail,     // parsing ends
        truncate  // each line and each event's data is parsed as far as the limit; the rest is skipped
    };
    // `max_event_bytes`: limit of one event.
    explicit SseReader(std::size_t max_event_bytes, Oversize oversize = Oversize::fail)
        : max_event_bytes_(max_event_bytes), oversize_(oversize) {}
    // False once a line or an event exceeds the limit with Oversize::fail; nothing more is parsed then.
    bool feed(std::string_view bytes);
    // The memory of what is buffered, in bytes.
    std::size_t memory() const { return line_.capacity() + name_.capacity() + data_.capacity(); }
    // Whether an event has begun but not ended.
    bool has_partial_event() const { return !line_.empty() || has_data_; }

private:
    // The part of the current line's next bytes that is parsed.
    std::string_view truncated(std::string_view part) const;
    // Completes the current line with `rest` and handles it.
    void end_line(std::string_view rest);
    void on_line(std::string_view line);
    void end_event();
    void on_field(std::string_view name, std::string_view value);

    std::size_t max_event_bytes_;
    Oversize oversize_;
    std::string line_;  // the beginning of the current line, from earlier calls of feed()
    std::string name_;
    std::string data_;
    bool has_data_ = false;
    bool after_cr_ = false;  // a directly following LF belongs to the same line end
    bool too_long_ = false;
    bool first_line_ = true;
};

// The bytes of one event. `name` may be empty; `data` must not contain line ends.
std::string sse_event(std::string_view name, std::string_view data);

}  // namespace gorsenotch::http
