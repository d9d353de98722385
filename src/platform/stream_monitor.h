// Follows the events of a decode endpoint's answer, to tell whether the answer is complete. No I/O, no clock.
//
// The end of the HTTP message says only that no more bytes come. That the answer is complete is said by its
// events: the last one is the end marker, "data: [DONE]".
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "http/sse.h"

namespace gorsenotch::platform {

// How the stream of an attempt ended.
enum class StreamEnd {
    complete,            // with its end marker and the end of its message
    no_end_marker,       // its message ended, its events did not
    malformed_response,  // its framing cannot be parsed
    too_long,            // it exceeded the platform's limit on bodies
    connection_closed,   // by the endpoint or by an error
    idle_timeout,        // the endpoint sent nothing
    cancelled            // by this gateway: its client has disconnected or stalled, or it was migrated
};
constexpr std::array<const char*, 7> kStreamEndNames = {"complete", "no_end_marker",     "malformed_response",
                                                        "too_long", "connection_closed", "idle_timeout",
                                                        "cancelled"};

// Ownership: the state of its parser, some dozens of bytes whatever the length of the events. Threading: one
// thread.
class StreamMonitor {
public:
    StreamMonitor();
    StreamMonitor(const StreamMonitor&) = delete;
    StreamMonitor& operator=(const StreamMonitor&) = delete;

    // The next bytes of the answer's body, in fragments of any size.
    void feed(std::string_view bytes);
    // Events that are complete; comments and events without data are none.
    std::uint64_t events() const { return events_; }
    std::uint64_t bytes() const { return bytes_; }
    // The end marker was the last event, and no part of another event followed it.
    bool is_complete() const { return ended_by_marker_ && !reader_.has_partial_event(); }

private:
    http::SseReader reader_;
    std::uint64_t events_ = 0;
    std::uint64_t bytes_ = 0;
    bool ended_by_marker_ = false;
};

}  // namespace gorsenotch::platform
