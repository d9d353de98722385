// Whether the events of an answer are complete: the end marker as the standard for server-sent events parses
// it.
#include "platform/stream_monitor.h"

#include <gtest/gtest.h>

#include <string>

namespace gorsenotch::test {
namespace {

using platform::StreamMonitor;

struct StreamCase {
    std::string bytes;
    bool complete;
    std::uint64_t events;
};

const std::string kLong(100000, 'x');

const StreamCase kCases[] = {
    {"", false, 0},
    {"data: [DONE]\n\n", true, 1},
    {"data: a\n\ndata: [DONE]\n\n", true, 2},
    {"data: a\r\n\r\ndata: [DONE]\r\n\r\n", true, 2},
    {"data: a\r\rdata: [DONE]\r\r", true, 2},
    {"data: a\n\r\ndata: [DONE]\r\n\n", true, 2},
    {"data:a\n\ndata:[DONE]\n\n", true, 2},
    {"\xEF\xBB\xBF"
     "data: [DONE]\n\n",
     true, 1},
    {"event: end\nid: 7\nretry: 10\ndata: [DONE]\n\n", true, 1},
    {": " + kLong + "\n\ndata: [DONE]\n\n: bye\n\n", true, 1},
    {"data: " + kLong + "\n\ndata: [DONE]\n\n", true, 2},
    {"data: a\n" + kLong + "\n\ndata: [DONE]\n\n", true, 2},
    {"data: [DONE]\n\nevent: no data\n\n", true, 1},
    {"data: a\n\n", false, 1},
    {"data: a\n\ndata: [DO", false, 1},
    {"data: a\n\ndata: [DONE]", false, 1},
    {"data: a\n\ndata: [DONE]\n", false, 1},
    {"data: a\n\n: data: [DONE]\n\n", false, 1},
    {"data: a\n\nevent: [DONE]\n\n", false, 1},
    {"data: a\n\n[DONE]\n\n", false, 1},
    {"data: a\n\ndata: [DONE]x\n\n", false, 2},
    {"data: a\n\ndata:  [DONE]\n\n", false, 2},
    {"data: a\n\ndata: [DONE] \n\n", false, 2},
    {"data: a\n\nDATA: [DONE]\n\n", false, 1},
    {"data: a\n\ndata: x\ndata: [DONE]\n\n", false, 2},
    {"data: a\n\ndata: [DONE]\ndata: x\n\n", false, 2},
    {"data: a\n\ndata: [DONE]\ndata\n\n", false, 2},
    {"data: a\n\ndata: " + kLong + "\ndata: [DONE]\n\n", false, 2},
    {"data: a\n\ndata: [DONE]" + kLong + "\n\n", false, 2},
    {"data: {\"text\":\"data: [DONE]\\n\\n\"}\n\n", false, 1},
    {"data: [DONE]\n\ndata: a\n\n", false, 2},
    {"data: [DONE]\n\ndata: a", false, 1},
    {"data: [DONE]\n\ndata: a\n", false, 1},
};

// Guards against an answer that is taken for complete, or not, because of where its bytes were cut.
TEST(StreamMonitorTest, AnAnswerIsCompleteOnceItsLastEventIsTheEndMarkerForAnySplitOfTheBytes) {
    for (const StreamCase& stream : kCases) {
        for (const std::size_t piece :
             {std::size_t{1}, std::size_t{2}, std::size_t{7}, std::size_t{1} << 20}) {
            StreamMonitor monitor;
            for (std::size_t i = 0; i < stream.bytes.size(); i += piece)
                monitor.feed(std::string_view(stream.bytes).substr(i, piece));
            const std::string name = stream.bytes.substr(0, 60) + " by " + std::to_string(piece);
            EXPECT_EQ(monitor.is_complete(), stream.complete) << name;
            EXPECT_EQ(monitor.events(), stream.events) << name;
            EXPECT_EQ(monitor.bytes(), stream.bytes.size()) << name;
        }
    }
}

}  // namespace
}  // namespace gorsenotch::test
