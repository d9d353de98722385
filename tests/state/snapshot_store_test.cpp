// SnapshotStore: a saved text is loaded again even if one of the two files is damaged.
#include "state/snapshot_store.h"

#include <gtest/gtest.h>

#include "state/temporary_folder.h"

namespace gorsenotch::state {
namespace {

TEST(SnapshotStore, TheNewestGenerationIsLoaded) {
    const TemporaryFolder folder;
    SnapshotStore store(folder.path, "x");
    const LoadedSnapshot empty = store.load();
    EXPECT_FALSE(empty.text);
    EXPECT_FALSE(empty.error);
    for (const char* text : {"one", "", "three\nlines\n", "four"}) {
        const auto error = store.save(text);
        ASSERT_FALSE(error) << error->message;
        EXPECT_EQ(SnapshotStore(folder.path, "x").load().text, text);
    }
}

// Guards against loading a damaged text: with the newer file truncated or one bit flipped at any byte, the
// older generation is loaded. Damage is reported.
TEST(SnapshotStore, WithTheNewerFileDamagedTheOlderGenerationIsLoaded) {
    const TemporaryFolder folder;
    SnapshotStore store(folder.path, "x");
    ASSERT_FALSE(store.save("older"));
    ASSERT_FALSE(store.save("newer text"));
    const std::string newer = folder.read_file("x.a").find("newer") != std::string::npos ? "x.a" : "x.b";
    const std::string intact = folder.read_file(newer);
    for (std::size_t n = 0; n < intact.size(); ++n) {
        folder.write_file(newer, intact.substr(0, n));
        const LoadedSnapshot after_truncation = store.load();
        EXPECT_EQ(after_truncation.text, "older") << n;
        ASSERT_TRUE(after_truncation.error) << n;
        EXPECT_EQ(after_truncation.error->code, SnapshotErrorCode::damaged_generation);
        EXPECT_EQ(after_truncation.error->message, folder.path + "/" + newer + " is damaged");
        std::string flipped = intact;
        flipped[n] = static_cast<char>(flipped[n] ^ 1);
        folder.write_file(newer, flipped);
        EXPECT_EQ(store.load().text, "older") << n;
    }
    // The next save replaces the damaged file, never the intact one.
    ASSERT_FALSE(store.save("newest"));
    const LoadedSnapshot after_save = store.load();
    EXPECT_EQ(after_save.text, "newest");
    EXPECT_FALSE(after_save.error);
    folder.write_file("x.a", "junk");
    folder.write_file("x.b", "");
    const LoadedSnapshot both_damaged = store.load();
    EXPECT_FALSE(both_damaged.text);
    ASSERT_TRUE(both_damaged.error);
    EXPECT_EQ(both_damaged.error->message,
              folder.path + "/x.a is damaged; " + folder.path + "/x.b is damaged");
    EXPECT_FALSE(store.save("again"));
    EXPECT_EQ(store.load().text, "again");
}

TEST(SnapshotStore, AFailedWriteIsReportedAndKeepsTheSavedText) {
    const TemporaryFolder folder;
    SnapshotStore store(folder.path, "x");
    ASSERT_FALSE(store.save("kept"));
    std::filesystem::create_directory(folder.path + "/x.new");  // the temporary file cannot be opened
    const auto write_error = store.save("lost");
    ASSERT_TRUE(write_error);
    EXPECT_EQ(write_error->code, SnapshotErrorCode::write_failed);
    EXPECT_NE(write_error->message, "");
    EXPECT_EQ(store.load().text, "kept");
    EXPECT_TRUE(SnapshotStore("/nowhere/at/all", "x").save("y"));
}

}  // namespace
}  // namespace gorsenotch::state
