#include "platform/request_state.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace gorsenotch::platform {

void AttemptState::mark_ended() {
    phase = stream_begun() ? AttemptPhase::ended_after_stream : AttemptPhase::ended;
}

AttemptState* RequestState::find_attempt(int index) {
    if (index < 0 || static_cast<std::size_t>(index) >= attempts.size()) return nullptr;
    return &attempts[static_cast<std::size_t>(index)];
}

bool RequestState::attempt_in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptState& attempt) { return attempt.in_flight(); });
}

RequestState& RequestTable::add(Inbound inbound) {
    const std::uint64_t handle = ++last_handle_;
    open_transactions_.insert(inbound.txn);
    RequestState& request = requests_.try_emplace(handle, lease_release_timeout_).first->second;
    control::MemoryCharge body_memory = inbound.memory.split(inbound.body.capacity());
    request.body = std::make_shared<const RequestBody>(std::move(inbound.body), std::move(body_memory));
    request.inbound = std::move(inbound);
    request.handle = handle;
    return request;
}

void RequestTable::remove(std::uint64_t handle) {
    const auto it = requests_.find(handle);
    if (it == requests_.end()) return;
    open_transactions_.erase(it->second.inbound.txn);
    requests_.erase(it);
}

RequestState* RequestTable::find(std::uint64_t handle) {
    const auto it = requests_.find(handle);
    return it == requests_.end() ? nullptr : &it->second;
}

RequestState* RequestTable::find(const RequestId& id) {
    std::uint64_t handle = 0;
    std::from_chars(id.data(), id.data() + id.size(), handle);
    return find(handle);
}

AttemptState* RequestTable::find_attempt(std::uint64_t handle, int index) {
    RequestState* request = find(handle);
    return request ? request->find_attempt(index) : nullptr;
}

void abort_attempt(Environment& environment, const AttemptState& attempt, AttemptResult result) {
    const std::shared_ptr<UpstreamExchange> exchange = attempt.exchange;
    environment.close(*exchange);
    exchange->abort(result);
}

}  // namespace gorsenotch::platform
