#include "stats/hash_ring.h"

#include <gtest/gtest.h>

#include <set>

namespace gorsenotch::stats {
namespace {

struct Item {
    std::uint64_t id;
};

class HashRingTest : public ::testing::Test {
protected:
    void insert_all() {
        for (Item& item : items) ring.insert(item.id, &item);
    }
    std::vector<Item*> window(std::uint64_t key, std::size_t limit) const {
        std::vector<Item*> found;
        ring.window(key, limit, found);
        return found;
    }

    std::vector<Item> items{{30}, {10}, {20}, {50}, {40}};
    HashRing<Item> ring;
};

TEST_F(HashRingTest, ListsItemsByAscendingId) {
    insert_all();
    std::vector<std::uint64_t> ids;
    for (const Item* item : ring.by_id()) ids.push_back(item->id);
    EXPECT_EQ(ids, (std::vector<std::uint64_t>{10, 20, 30, 40, 50}));
}

TEST_F(HashRingTest, IgnoresASecondItemOfAnIdAndTheErasureOfAnUnknownOne) {
    insert_all();
    Item second{10};
    ring.insert(10, &second);
    ring.erase(99);
    EXPECT_EQ(ring.size(), 5u);
    EXPECT_EQ(ring.by_id()[0], &items[1]);
}

TEST_F(HashRingTest, AWindowHasEachItemOnce) {
    insert_all();
    for (std::uint64_t key = 0; key < 50; ++key) {
        const std::vector<Item*> found = window(key, 100);
        EXPECT_EQ(std::set<Item*>(found.begin(), found.end()).size(), 5u);
        EXPECT_EQ(found.size(), 5u);
        EXPECT_EQ(window(key, 2).size(), 2u);
    }
}

TEST_F(HashRingTest, AWindowDoesNotDependOnTheOrderOfInsertion) {
    insert_all();
    HashRing<Item> reversed;
    for (auto item = items.rbegin(); item != items.rend(); ++item) reversed.insert(item->id, &*item);
    for (std::uint64_t key = 0; key < 50; ++key) {
        std::vector<Item*> found;
        reversed.window(key, 3, found);
        EXPECT_EQ(found, window(key, 3));
    }
}

TEST_F(HashRingTest, AnErasedItemLeavesTheOthersInPlace) {
    insert_all();
    std::vector<Item*> expected = window(7, 5);
    std::erase(expected, &items[0]);
    ring.erase(30);
    EXPECT_EQ(window(7, 5), expected);
    ring.clear();
    EXPECT_TRUE(window(7, 5).empty());
}

}  // namespace
}  // namespace gorsenotch::stats
