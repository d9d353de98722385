#include "fake_engine/model.h"

#include <algorithm>
#include <cmath>

namespace gorsenotch::fake_engine {
namespace {

constexpr Millis kNever = 1e15;
constexpr std::size_t kMaxRememberedAborts = 4096;

std::uint64_t scramble(std::uint64_t x) {
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31);
}

}  // namespace

std::string token_text(std::uint64_t seed, int index) {
    static const char* const words[] = {"gorse", "notch", "moor",  "wind",      "stone", "path",
                                        "river", "fern",  "hill",  "gate",      "wren",  "dew",
                                        "ridge", "ford",  "heath", "\xC3\xB6re"};
    const auto x = scramble(seed + static_cast<std::uint64_t>(index) * 0x9E3779B97F4A7C15ULL);
    std::string text;
    if (index != 0) text.push_back(' ');
    return text.append(words[x % 16]).append(std::to_string(index));
}

int answer_length(std::uint64_t seed, int typical_tokens) {
    const double x = static_cast<double>(scramble(seed ^ 0xA5A5A5A5ULL) >> 11) * 0x1p-53;
    return std::max(1, static_cast<int>(typical_tokens * (0.5 + x)));
}

Model::Model(EngineConfig config, Millis now, Events events)
    : config_(config), events_(std::move(events)), started_at_(now) {}

double Model::speed_fraction(Millis now) const {
    double capacity = 1;
    if (config_.slow_start_duration > 0) {
        const double age = std::clamp((now - started_at_) / config_.slow_start_duration, 0.0, 1.0);
        capacity = config_.initial_capacity + (1 - config_.initial_capacity) * age;
    }
    return capacity / slowdown_factor_;
}

double Model::work_seconds(const Job& job, bool is_prefill) const {
    if (is_prefill) return job.prompt / config_.pace.prefill_tokens_per_s;
    const Millis step = config_.pace.step + config_.pace.per_stream * config_.pace.slots;
    const int tokens = std::min(job.max_tokens, config_.pace.answer_tokens);
    return tokens * step / 1000 / config_.pace.slots;
}

double Model::waiting_ktokens() const {
    double sum = 0;
    for (const auto& job : queue_) sum += job.prompt;
    return sum / 1000;
}

double Model::cached_prefix_tokens(const Job& job) const {
    double tokens = 0;
    for (const auto& [hash, n] : job.prefixes) {
        if (cached_prefixes_.count(hash)) tokens = std::max(tokens, n);
    }
    return std::min(tokens, std::max(0.0, job.prompt - 1));
}

void Model::cache_prefixes(const Job& job) {
    double shorter_tokens = 0;
    for (const auto& [hash, n] : job.prefixes) {
        const double added_tokens = n - shorter_tokens;
        shorter_tokens = n;
        if (const auto it = cached_prefixes_.find(hash); it != cached_prefixes_.end()) {
            lru_.splice(lru_.begin(), lru_, it->second);
            continue;
        }
        lru_.emplace_front(hash, added_tokens);
        cached_prefixes_[hash] = lru_.begin();
        cached_tokens_ += added_tokens;
    }
    while (cached_tokens_ > config_.pace.cache_tokens && !lru_.empty()) {
        cached_tokens_ -= lru_.back().second;
        cached_prefixes_.erase(lru_.back().first);
        lru_.pop_back();
    }
}

Model::Admission Model::submit_prefill(Millis now, Job job) {
    if (is_aborted(job.id)) return Admission::rejected;
    if (static_cast<int>(queue_.size()) >= config_.pace.slots + config_.pace.queue)
        return Admission::rejected;
    if (job.prompt > config_.memory_tokens) return Admission::rejected;
    queue_.push_back(std::move(job));
    start_prefill(now);
    return Admission::accepted;
}

Model::Admission Model::submit_decode(Millis now, Job job) {
    if (!job.has_state && config_.role == Role::decode && !config_.local_prefill)
        return Admission::missing_state;
    if (static_cast<int>(queue_.size()) >= config_.pace.queue &&
        static_cast<int>(running_.size()) >= config_.pace.slots)
        return Admission::rejected;
    if (job.prompt + job.max_tokens > config_.memory_tokens) return Admission::rejected;
    queue_.push_back(std::move(job));
    start_decodes(now);
    return Admission::accepted;
}

void Model::start_prefill(Millis now) {
    if (config_.role != Role::prefill || is_prefilling_ || stalled_ || queue_.empty()) return;
    if (used_tokens_ + queue_.front().prompt > config_.memory_tokens) return;
    prefill_job_ = std::move(queue_.front());
    queue_.pop_front();
    is_prefilling_ = true;
    used_tokens_ += prefill_job_.prompt;
    prefill_cached_tokens_ = cached_prefix_tokens(prefill_job_);
    const double uncached_tokens = std::max(1.0, prefill_job_.prompt - prefill_cached_tokens_);
    prefill_until_ = now + 1000 * uncached_tokens / (config_.pace.prefill_tokens_per_s * speed_fraction(now));
}

void Model::start_decodes(Millis now) {
    if (config_.role == Role::prefill || stalled_) return;
    while (!queue_.empty() && static_cast<int>(running_.size()) < config_.pace.slots &&
           used_tokens_ + queue_.front().prompt <= config_.memory_tokens) {
        RunningDecode running;
        running.job = std::move(queue_.front());
        queue_.pop_front();
        running.target = std::min(running.job.max_tokens,
                                  answer_length(running.job.text_seed, config_.pace.answer_tokens));
        used_tokens_ += running.job.prompt;
        const std::string id = running.job.id;
        const bool needs_fetch = running.job.has_state;
        if (!needs_fetch)
            running.ready_at =
                now + 1000 * running.job.prompt / (config_.pace.prefill_tokens_per_s * speed_fraction(now));
        running_.push_back(std::move(running));
        if (needs_fetch) events_.fetch_state(id);
    }
    if (!running_.empty() && next_step_ < 0) next_step_ = now + step_time(now);
}

Millis Model::step_time(Millis now) const {
    return (config_.pace.step + config_.pace.per_stream * static_cast<double>(running_.size())) /
           speed_fraction(now);
}

void Model::on_state_fetched(Millis now, const std::string& id, bool succeeded) {
    for (auto it = running_.begin(); it != running_.end(); ++it) {
        if (it->job.id != id) continue;
        if (succeeded) {
            it->ready_at = now + 1000 * it->job.prompt / config_.pace.fetch_tokens_per_s;
        } else {
            used_tokens_ -= it->job.prompt;
            running_.erase(it);
            start_decodes(now);
        }
        return;
    }
}

bool Model::release_state(Millis now, const std::string& id, double& tokens) {
    const auto it = states_.find(id);
    if (it == states_.end()) return false;
    tokens = it->second.tokens;
    used_tokens_ -= tokens;
    states_.erase(it);
    start_prefill(now);
    return true;
}

bool Model::is_aborted(const std::string& id) const {
    return std::find(aborted_ids_.begin(), aborted_ids_.end(), id) != aborted_ids_.end();
}

bool Model::abort(Millis now, const std::string& id) {
    double tokens = 0;
    if (release_state(now, id, tokens)) return true;
    if (is_prefilling_ && prefill_job_.id == id) {
        is_prefilling_ = false;
        used_tokens_ -= prefill_job_.prompt;
        start_prefill(now);
        return true;
    }
    for (auto it = queue_.begin(); it != queue_.end(); ++it) {
        if (it->id != id) continue;
        queue_.erase(it);
        return true;
    }
    for (auto it = running_.begin(); it != running_.end(); ++it) {
        if (it->job.id != id) continue;
        used_tokens_ -= it->job.prompt + it->generated;
        running_.erase(it);
        start_decodes(now);
        return true;
    }
    if (config_.role == Role::prefill) {
        aborted_ids_.push_back(id);
        if (aborted_ids_.size() > kMaxRememberedAborts) aborted_ids_.pop_front();
    }
    return false;
}

void Model::set_stalled(Millis now, bool stalled) {
    if (stalled == stalled_) return;
    stalled_ = stalled;
    if (stalled) {
        stalled_since_ = now;
        return;
    }
    const Millis stalled_for = now - stalled_since_;
    if (is_prefilling_) prefill_until_ += stalled_for;
    if (next_step_ >= 0) next_step_ += stalled_for;
    for (auto& running : running_) {
        if (running.ready_at >= 0) running.ready_at += stalled_for;
    }
    start_prefill(now);
    start_decodes(now);
}

void Model::set_slowdown(Millis now, double factor) {
    const double previous_factor = slowdown_factor_;
    slowdown_factor_ = std::max(1.0, factor);
    if (is_prefilling_)
        prefill_until_ = now + std::max(0.0, prefill_until_ - now) * slowdown_factor_ / previous_factor;
}

void Model::run_decode_step(Millis now) {
    std::vector<std::string> ids;
    for (auto& running : running_) {
        if (!running.ready && running.ready_at >= 0 && running.ready_at <= now) {
            running.ready = true;
            ids.push_back(running.job.id);
        }
    }
    for (const auto& id : ids) events_.decode_started(id);
    ids.clear();
    for (const auto& running : running_) {
        if (running.ready) ids.push_back(running.job.id);
    }
    for (const auto& id : ids) {
        const auto it = std::find_if(running_.begin(), running_.end(),
                                     [&](const RunningDecode& running) { return running.job.id == id; });
        if (it == running_.end()) continue;  // ended by a callback of an earlier token
        const std::string token = token_text(it->job.text_seed, it->generated);
        ++it->generated;
        ++used_tokens_;
        const bool last = it->generated >= it->target;
        const bool truncated = last && it->target == it->job.max_tokens;
        if (last) {
            used_tokens_ -= it->job.prompt + it->generated;
            running_.erase(it);
        }
        events_.token(id, token, last, truncated);
    }
    // Memory is full: the newest decode is preempted and recomputes the KV state of its prompt and answer.
    if (used_tokens_ > config_.memory_tokens && running_.size() > 1) {
        RunningDecode& newest = running_.back();
        if (newest.ready) {
            newest.ready = false;
            const double recomputed_tokens = newest.job.prompt + newest.generated;
            newest.ready_at =
                now + 1000 * recomputed_tokens / (config_.pace.prefill_tokens_per_s * speed_fraction(now));
        }
    }
    start_decodes(now);
}

Millis Model::advance(Millis now) {
    if (stalled_) return kNever;
    while (is_prefilling_ && prefill_until_ <= now) {
        is_prefilling_ = false;
        cache_prefixes(prefill_job_);
        states_[prefill_job_.id] = {prefill_job_.prompt, now + config_.pace.lease};
        const std::string id = prefill_job_.id;
        const double cached_tokens = prefill_cached_tokens_;
        start_prefill(now);
        events_.prefill_done(id, cached_tokens);
    }
    if (next_step_ >= 0 && next_step_ <= now) {
        next_step_ = -1;
        run_decode_step(now);
        next_step_ = running_.empty() ? -1 : now + step_time(now);
    }
    Millis next = kNever;
    std::vector<std::string> expired;
    for (const auto& [id, state] : states_) {
        if (state.lease_expires_at <= now) expired.push_back(id);
        next = std::min(next, state.lease_expires_at);
    }
    for (const auto& id : expired) {
        double tokens = 0;
        release_state(now, id, tokens);
        events_.lease_expired(id);
    }
    if (is_prefilling_) next = std::min(next, prefill_until_);
    if (next_step_ >= 0) next = std::min(next, next_step_);
    return std::max(next, now);
}

}  // namespace gorsenotch::fake_engine
