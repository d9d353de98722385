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
        std::vector<Item*> window_items;
        ring.window(key, limit, window_items);
        return window_items;
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

TEST_F(HashRingTest, IgnoresTheInsertionOfAKnownIdAndTheErasureOfAnUnknownOne) {
    insert_all();
    Item duplicate{10};
    ring.insert(10, &duplicate);
    ring.erase(99);
    EXPECT_EQ(ring.size(), 5u);
    EXPECT_EQ(ring.by_id()[0], &items[1]);
}

TEST_F(HashRingTest, AWindowContainsEachItemOnce) {
    insert_all();
    for (std::uint64_t key = 0; key < 50; ++key) {
        const std::vector<Item*> window_items = window(key, 100);
        EXPECT_EQ(std::set<Item*>(window_items.begin(), window_items.end()).size(), 5u);
        EXPECT_EQ(window_items.size(), 5u);
        EXPECT_EQ(window(key, 2).size(), 2u);
    }
}

TEST_F(HashRingTest, AWindowDoesNotDependOnTheInsertionOrder) {
    insert_all();
    HashRing<Item> reversed;
    for (auto item = items.rbegin(); item != items.rend(); ++item) reversed.insert(item->id, &*item);
    for (std::uint64_t key = 0; key < 50; ++key) {
        std::vector<Item*> window_items;
        reversed.window(key, 3, window_items);
        EXPECT_EQ(window_items, window(key, 3));
    }
}

TEST_F(HashRingTest, ErasingAnItemKeepsTheOrderOfTheOthers) {
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
