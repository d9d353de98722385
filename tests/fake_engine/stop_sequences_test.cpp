// Stop strings as the stand-in engine scans for them.
#include "fake_engine/stop_sequences.h"

#include <gtest/gtest.h>

namespace gorsenotch::fake_engine {
namespace {

// All that is given of `text`, fed in pieces of `size` bytes, and what matched.
std::pair<std::string, std::string> scan(std::vector<std::string> strings, const std::string& text,
                                         std::size_t size) {
    StopSequences s(std::move(strings));
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += size) out += s.feed(text.substr(at, size));
    return {out + s.rest(), s.matched()};
}

TEST(Stops, EndBeforeTheStringWhateverThePieces) {
    using Result = std::pair<std::string, std::string>;
    for (std::size_t size = 1; size <= 12; ++size) {
        EXPECT_EQ(scan({"END"}, "one ENEND two", size), (Result{"one EN", "END"})) << size;
        EXPECT_EQ(scan({"xyz", "two"}, "one two xyz", size), (Result{"one ", "two"})) << size;
        EXPECT_EQ(scan({"END"}, "one EN", size), (Result{"one EN", ""})) << size;
        EXPECT_EQ(scan({}, "one END", size), (Result{"one END", ""})) << size;
        EXPECT_EQ(scan({"o"}, "one", size), (Result{"", "o"})) << size;
        EXPECT_EQ(scan({"aab"}, "aaaab", size), (Result{"aa", "aab"})) << size;
    }
}

TEST(Stops, GiveAtOnceWhatCanNotBeginOne) {
    StopSequences s({"\n\n"});
    EXPECT_EQ(s.feed("a line"), "a line");
    EXPECT_EQ(s.feed("\n"), "");
    EXPECT_EQ(s.feed("more"), "\nmore");
    EXPECT_EQ(s.feed("\n\nlost"), "");
    EXPECT_EQ(s.feed("lost too"), "");
    EXPECT_EQ(s.matched(), "\n\n");
}

}  // namespace
}  // namespace gorsenotch::fake_engine
