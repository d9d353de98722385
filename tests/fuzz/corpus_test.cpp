// Runs every fuzz target (tests/fuzz) with its committed corpus.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "fuzz/targets.h"

namespace gorsenotch::fuzz {
namespace {

TEST(FuzzCorpusTest, EveryCorpusFileSatisfiesTheTargetProperties) {
    for (const auto& target : targets()) {
        int file_count = 0;
        for (const auto& file : std::filesystem::directory_iterator(
                 std::string(GORSENOTCH_ROOT "/tests/fuzz/corpus/") + target.name)) {
            std::ifstream in(file.path(), std::ios::binary);
            std::ostringstream bytes;
            bytes << in.rdbuf();
            target.run(bytes.str());
            ++file_count;
        }
        EXPECT_GT(file_count, 2) << target.name;
    }
}

}  // namespace
}  // namespace gorsenotch::fuzz
