#include "control/executed_requests.h"

#include <functional>

namespace gorsenotch::control {
namespace {

std::uint64_t hash_of(std::string_view transaction) { return std::hash<std::string_view>()(transaction); }

}  // namespace

void ExecutedRequests::add(Millis now, std::string_view transaction) {
    remove_expired(now);
    const std::uint64_t hash = hash_of(transaction);
    if (!hashes_.insert(hash).second) return;
    by_age_.push_back({hash, now});
    if (by_age_.size() > kMaxRequests) remove_oldest();
}

bool ExecutedRequests::contains(Millis now, std::string_view transaction) {
    remove_expired(now);
    return hashes_.count(hash_of(transaction)) > 0;
}

void ExecutedRequests::remove_expired(Millis now) {
    while (!by_age_.empty() && by_age_.front().added_at + kRetention <= now) remove_oldest();
}

void ExecutedRequests::remove_oldest() {
    hashes_.erase(by_age_.front().hash);
    by_age_.pop_front();
}

}  // namespace gorsenotch::control
