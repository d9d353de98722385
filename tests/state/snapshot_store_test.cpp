// SnapshotStore: what is saved is loaded again, whatever happens to one of the two files.
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

// The newer file cut short or with one byte changed anywhere: the older generation serves, and it is said so.
TEST(SnapshotStore, DamageAnywhereGivesTheOtherGeneration) {
    const TemporaryFolder folder;
    SnapshotStore store(folder.path, "x");
    ASSERT_FALSE(store.save("older"));
    ASSERT_FALSE(store.save("newer text"));
    const std::string newer = folder.text("x.a").find("newer") != std::string::npos ? "x.a" : "x.b";
    const std::string intact = folder.text(newer);
    for (std::size_t n = 0; n < intact.size(); ++n) {
        folder.put(newer, intact.substr(0, n));
        const LoadedSnapshot after_cut = store.load();
        EXPECT_EQ(after_cut.text, "older") << n;
        ASSERT_TRUE(after_cut.error) << n;
        EXPECT_EQ(after_cut.error->code, SnapshotErrorCode::damaged_generation);
        EXPECT_EQ(after_cut.error->message, folder.path + "/" + newer + " is damaged");
        std::string flipped = intact;
        flipped[n] = static_cast<char>(flipped[n] ^ 1);
        folder.put(newer, flipped);
        EXPECT_EQ(store.load().text, "older") << n;
    }
    // What is saved next replaces the damaged file, never the good one.
    ASSERT_FALSE(store.save("newest"));
    const LoadedSnapshot healed = store.load();
    EXPECT_EQ(healed.text, "newest");
    EXPECT_FALSE(healed.error);
    folder.put("x.a", "junk");
    folder.put("x.b", "");
    const LoadedSnapshot both_damaged = store.load();
    EXPECT_FALSE(both_damaged.text);
    ASSERT_TRUE(both_damaged.error);
    EXPECT_EQ(both_damaged.error->message,
              folder.path + "/x.a is damaged; " + folder.path + "/x.b is damaged");
    EXPECT_FALSE(store.save("again"));
    EXPECT_EQ(store.load().text, "again");
}

TEST(SnapshotStore, ARefusalOfTheSystemIsReportedAndHarmless) {
    const TemporaryFolder folder;
    SnapshotStore store(folder.path, "x");
    ASSERT_FALSE(store.save("kept"));
    std::filesystem::create_directory(folder.path + "/x.new");  // nothing can be written aside
    const auto refused = store.save("lost");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->code, SnapshotErrorCode::write_failed);
    EXPECT_NE(refused->message, "");
    EXPECT_EQ(store.load().text, "kept");
    EXPECT_TRUE(SnapshotStore("/nowhere/at/all", "x").save("y"));
}

}  // namespace
}  // namespace gorsenotch::state
