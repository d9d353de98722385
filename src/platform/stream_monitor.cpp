#include "platform/stream_monitor.h"

namespace gorsenotch::platform {
namespace {

constexpr std::string_view kEndMarker = "[DONE]";
// Of a line and of an event's data; more than the end marker's line has.
constexpr std::size_t kMaxParsedBytes = 32;

}  // namespace

StreamMonitor::StreamMonitor() : reader_(kMaxParsedBytes, http::SseReader::Oversize::truncate) {
    reader_.on_event = [this](std::string_view, std::string_view data) {
        ++events_;
        ended_by_marker_ = data == kEndMarker;
    };
}

void StreamMonitor::feed(std::string_view bytes) {
    bytes_ += bytes.size();
    reader_.feed(bytes);
}

}  // namespace gorsenotch::platform
