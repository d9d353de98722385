// Scans generated text for stop sequences, piece by piece, as an engine does. Text before the first stop
// sequence is returned; the sequence and all text after it are dropped. Text that may be the beginning of a
// stop sequence is withheld until the next piece decides. No I/O.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gorsenotch::fake_engine {

// The stop sequences of one request and the text withheld so far.
class StopSequences {
public:
    StopSequences() = default;
    explicit StopSequences(std::vector<std::string> strings) : strings_(std::move(strings)) {}

    // Scans the next piece and returns the text that can be sent now. After a match all text is dropped.
    std::string feed(std::string_view piece) {
        if (!matched_.empty()) return {};
        if (strings_.empty()) return std::string(piece);
        withheld_.append(piece);
        std::size_t first = std::string::npos;
        for (const auto& stop : strings_) {
            const auto at = withheld_.find(stop);
            // The earliest match wins; of several at one position, the longest.
            if (at < first || (at == first && at != std::string::npos && stop.size() > matched_.size())) {
                first = at;
                matched_ = stop;
            }
        }
        if (first != std::string::npos) return std::exchange(withheld_, {}).substr(0, first);
        std::size_t withheld_bytes = 0;
        for (const auto& stop : strings_) {
            for (std::size_t n = std::min(stop.size() - 1, withheld_.size()); n > withheld_bytes; --n) {
                if (std::string_view(withheld_).substr(withheld_.size() - n) ==
                    std::string_view(stop).substr(0, n))
                    withheld_bytes = n;
            }
        }
        std::string output = withheld_.substr(0, withheld_.size() - withheld_bytes);
        withheld_.erase(0, withheld_.size() - withheld_bytes);
        return output;
    }
    // Returns the withheld text at the end of an answer; empty after a match.
    std::string flush() { return matched_.empty() ? std::exchange(withheld_, {}) : std::string(); }
    const std::string& matched() const { return matched_; }  // empty: no match yet

private:
    std::vector<std::string> strings_;
    std::string withheld_;  // may be the beginning of a stop sequence
    std::string matched_;
};

}  // namespace gorsenotch::fake_engine
