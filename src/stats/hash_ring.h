// A consistent-hash ring of items, which can also be listed by ascending id. Processes with the same item ids
// get the same window for a key. The ring does not own the items: the caller must erase an item before
// destroying it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "stats/hash.h"

namespace gorsenotch::stats {

// Stores pointers to items of any type, ordered by id and by ring position.
template <class Item>
class HashRing {
public:
    void clear() {
        items_.clear();
        ids_.clear();
        ring_.clear();
    }
    std::size_t size() const { return items_.size(); }
    const std::vector<Item*>& by_id() const { return items_; }

    // Has no effect if the id is already present.
    void insert(std::uint64_t id, Item* item) {
        const auto at = std::lower_bound(ids_.begin(), ids_.end(), id);
        if (at != ids_.end() && *at == id) return;
        items_.insert(items_.begin() + (at - ids_.begin()), item);
        ids_.insert(at, id);
        const RingEntry entry{hash_fraction(id, kItemSalt), item};
        ring_.insert(std::lower_bound(ring_.begin(), ring_.end(), entry.position, precedes), entry);
    }
    void erase(std::uint64_t id) {
        const auto at = std::lower_bound(ids_.begin(), ids_.end(), id);
        if (at == ids_.end() || *at != id) return;
        Item* item = items_[static_cast<std::size_t>(at - ids_.begin())];
        std::erase_if(ring_, [item](const RingEntry& entry) { return entry.item == item; });
        items_.erase(items_.begin() + (at - ids_.begin()));
        ids_.erase(at);
    }
    // Appends up to `limit` items to `out`, in ring order, starting at the position of `key`.
    void window(std::uint64_t key, std::size_t limit, std::vector<Item*>& out) const {
        const auto first = static_cast<std::size_t>(
            std::lower_bound(ring_.begin(), ring_.end(), hash_fraction(key, kKeySalt), precedes) -
            ring_.begin());
        for (std::size_t i = 0; i < std::min(limit, ring_.size()); ++i)
            out.push_back(ring_[(first + i) % ring_.size()].item);
    }

private:
    // An item and its position on the ring.
    struct RingEntry {
        double position;  // in [0, 1)
        Item* item;
    };
    static bool precedes(const RingEntry& entry, double position) { return entry.position < position; }
    static constexpr std::uint64_t kItemSalt = 2;
    static constexpr std::uint64_t kKeySalt = 3;

    std::vector<std::uint64_t> ids_;  // of items_, ascending
    std::vector<Item*> items_;
    std::vector<RingEntry> ring_;  // by ascending position
};

}  // namespace gorsenotch::stats
