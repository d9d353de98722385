// Replays the kept corpus of every fuzz target (tests/fuzz).
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "fuzz/targets.h"

namespace gorsenotch::fuzz {
namespace {

TEST(Fuzz, CorpusHoldsItsProperties) {
    for (const auto& t : targets()) {
        int files = 0;
        for (const auto& f : std::filesystem::directory_iterator(
                 std::string(GORSENOTCH_ROOT "/tests/fuzz/corpus/") + t.name)) {
            std::ifstream in(f.path(), std::ios::binary);
            std::ostringstream bytes;
            bytes << in.rdbuf();
            t.run(bytes.str());
            ++files;
        }
        EXPECT_GT(files, 2) << t.name;
    }
}

}  // namespace
}  // namespace gorsenotch::fuzz
