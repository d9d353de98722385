// Where an answer's text meets a stop string, as an engine scans its own output: the text before it is given,
// the string and what follows are not, and nothing is given that may yet turn out to begin one. Pure.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gorsenotch::fake_engine {

class StopSequences {
public:
    StopSequences() = default;
    explicit StopSequences(std::vector<std::string> strings) : strings_(std::move(strings)) {}

    // Takes the next piece and returns what may be given now. After a match the rest is dropped.
    std::string feed(std::string_view piece) {
        if (!matched_.empty()) return {};
        if (strings_.empty()) return std::string(piece);
        held_.append(piece);
        std::size_t first = std::string::npos;
        for (const auto& stop : strings_) {
            const auto at = held_.find(stop);
            // The earliest; of those at one place the longest.
            if (at < first || (at == first && at != std::string::npos && stop.size() > matched_.size())) {
                first = at;
                matched_ = stop;
            }
        }
        if (first != std::string::npos) return std::exchange(held_, {}).substr(0, first);
        std::size_t keep = 0;
        for (const auto& stop : strings_) {
            for (std::size_t n = std::min(stop.size() - 1, held_.size()); n > keep; --n) {
                if (std::string_view(held_).substr(held_.size() - n) == std::string_view(stop).substr(0, n))
                    keep = n;
            }
        }
        std::string now = held_.substr(0, held_.size() - keep);
        held_.erase(0, held_.size() - keep);
        return now;
    }
    // The answer has ended by itself: what was held back after all.
    std::string rest() { return matched_.empty() ? std::exchange(held_, {}) : std::string(); }
    const std::string& matched() const { return matched_; }  // empty: none yet

private:
    std::vector<std::string> strings_;
    std::string held_;  // may be the beginning of a stop string
    std::string matched_;
};

}  // namespace gorsenotch::fake_engine
