// Items with ids, in the order of their ids and on a ring in an order by hash, on which every process that
// has the same items finds the same ones for a key. Decides nothing. Ownership: the caller's, who takes an
// item out before it goes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "stats/hash.h"

namespace gorsenotch::stats {

template <class Item>
class HashRing {
public:
    void clear() { items_.clear(), ids_.clear(), ring_.clear(); }
    std::size_t size() const { return items_.size(); }
    const std::vector<Item*>& by_id() const { return items_; }

    void insert(std::uint64_t id, Item* item) {
        const auto at = std::lower_bound(ids_.begin(), ids_.end(), id);
        if (at != ids_.end() && *at == id) return;
        items_.insert(items_.begin() + (at - ids_.begin()), item);
        ids_.insert(at, id);
        const Place place{hash_fraction(id, kPlaceSalt), item};
        ring_.insert(std::lower_bound(ring_.begin(), ring_.end(), place.first, before), place);
    }
    void erase(std::uint64_t id) {
        const auto at = std::lower_bound(ids_.begin(), ids_.end(), id);
        if (at == ids_.end() || *at != id) return;
        Item* item = items_[static_cast<std::size_t>(at - ids_.begin())];
        std::erase_if(ring_, [item](const Place& place) { return place.second == item; });
        items_.erase(items_.begin() + (at - ids_.begin()));
        ids_.erase(at);
    }
    // Adds up to `most` items to `out`, from the place of `key` on.
    void window(std::uint64_t key, std::size_t most, std::vector<Item*>& out) const {
        const auto first = static_cast<std::size_t>(
            std::lower_bound(ring_.begin(), ring_.end(), hash_fraction(key, kKeySalt), before) -
            ring_.begin());
        for (std::size_t i = 0; i < std::min(most, ring_.size()); ++i)
            out.push_back(ring_[(first + i) % ring_.size()].second);
    }

private:
    using Place = std::pair<double, Item*>;
    static bool before(const Place& place, double at) { return place.first < at; }
    static constexpr std::uint64_t kPlaceSalt = 2, kKeySalt = 3;

    std::vector<std::uint64_t> ids_;  // of items_, ascending
    std::vector<Item*> items_;
    std::vector<Place> ring_;
};

}  // namespace gorsenotch::stats
