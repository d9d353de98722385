// Stop sequences as the fake engine finds them in its own output.
#include "fake_engine/stop_sequences.h"

#include <gtest/gtest.h>

namespace gorsenotch::fake_engine {
namespace {

struct Result {
    std::string text;     // up to the stop sequence
    std::string matched;  // empty: none
    bool operator==(const Result&) const = default;
};

// Scans `text` in pieces of `size` bytes.
Result scan(std::vector<std::string> strings, const std::string& text, std::size_t size) {
    StopSequences stops(std::move(strings));
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += size) out += stops.feed(text.substr(at, size));
    return {out + stops.flush(), stops.matched()};
}

TEST(StopSequencesTest, TextEndsBeforeTheSequenceWhateverThePieces) {
    for (std::size_t size = 1; size <= 12; ++size) {
        EXPECT_EQ(scan({"END"}, "one ENEND two", size), (Result{"one EN", "END"})) << size;
        EXPECT_EQ(scan({"xyz", "two"}, "one two xyz", size), (Result{"one ", "two"})) << size;
        EXPECT_EQ(scan({"END"}, "one EN", size), (Result{"one EN", ""})) << size;
        EXPECT_EQ(scan({}, "one END", size), (Result{"one END", ""})) << size;
        EXPECT_EQ(scan({"o"}, "one", size), (Result{"", "o"})) << size;
        EXPECT_EQ(scan({"aab"}, "aaaab", size), (Result{"aa", "aab"})) << size;
    }
}

TEST(StopSequencesTest, TextThatCannotBeginASequenceIsReturnedAtOnce) {
    StopSequences stops({"\n\n"});
    EXPECT_EQ(stops.feed("a line"), "a line");
    EXPECT_EQ(stops.feed("\n"), "");
    EXPECT_EQ(stops.feed("more"), "\nmore");
    EXPECT_EQ(stops.feed("\n\nlost"), "");
    EXPECT_EQ(stops.feed("lost too"), "");
    EXPECT_EQ(stops.matched(), "\n\n");
}

}  // namespace
}  // namespace gorsenotch::fake_engine
