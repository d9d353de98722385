// Runs the committed corpus of every fuzz target (tests/fuzz).
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "fuzz/targets.h"

namespace gorsenotch::fuzz {
namespace {

TEST(FuzzCorpusTest, EveryFileKeepsTheTargetsProperties) {
    for (const auto& target : targets()) {
        int files = 0;
        for (const auto& file : std::filesystem::directory_iterator(
                 std::string(GORSENOTCH_ROOT "/tests/fuzz/corpus/") + target.name)) {
            std::ifstream in(file.path(), std::ios::binary);
            std::ostringstream bytes;
            bytes << in.rdbuf();
            target.run(bytes.str());
            ++files;
        }
        EXPECT_GT(files, 2) << target.name;
    }
}

}  // namespace
}  // namespace gorsenotch::fuzz
