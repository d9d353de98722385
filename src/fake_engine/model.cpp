#include "fake_engine/model.h"

#include <algorithm>
#include <cmath>

namespace gorsenotch::fake_engine {
namespace {

constexpr Millis kFar = 1e15;
constexpr std::size_t kRememberedAborts = 4096;

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

int answer_length(std::uint64_t seed, int usual) {
    const double x = static_cast<double>(scramble(seed ^ 0xA5A5A5A5ULL) >> 11) * 0x1p-53;
    return std::max(1, static_cast<int>(usual * (0.5 + x)));
}

Model::Model(EngineConfig config, Millis now, Events events)
    : config_(config), events_(std::move(events)), born_(now) {}

double Model::speed(Millis now) const {
    double capacity = 1;
    if (config_.slow_start_duration > 0) {
        const double age = std::clamp((now - born_) / config_.slow_start_duration, 0.0, 1.0);
        capacity = config_.initial_capacity + (1 - config_.initial_capacity) * age;
    }
    return capacity / slow_;
}

double Model::work(const Job& job, bool read) const {
    if (read) return job.prompt / config_.pace.prefill_tokens_per_s;
    const Millis step = config_.pace.step + config_.pace.per_stream * config_.pace.slots;
    const int made = std::min(job.max_tokens, config_.pace.answer_tokens);
    return made * step / 1000 / config_.pace.slots;
}

double Model::waiting_ktokens() const {
    double sum = 0;
    for (const auto& job : queue_) sum += job.prompt;
    return sum / 1000;
}

double Model::kept(const Job& job) const {
    double tokens = 0;
    for (const auto& [hash, n] : job.prefixes) {
        if (known_.count(hash)) tokens = std::max(tokens, n);
    }
    return std::min(tokens, std::max(0.0, job.prompt - 1));
}

void Model::keep(const Job& job) {
    double before = 0;
    for (const auto& [hash, n] : job.prefixes) {
        const double own = n - before;
        before = n;
        if (const auto it = known_.find(hash); it != known_.end()) {
            lru_.splice(lru_.begin(), lru_, it->second);
            continue;
        }
        lru_.emplace_front(hash, own);
        known_[hash] = lru_.begin();
        known_tokens_ += own;
    }
    while (known_tokens_ > config_.pace.cache_tokens && !lru_.empty()) {
        known_tokens_ -= lru_.back().second;
        known_.erase(lru_.back().first);
        lru_.pop_back();
    }
}

Model::Admission Model::read(Millis now, Job job) {
    if (aborted(job.id)) return Admission::full;
    if (static_cast<int>(queue_.size()) >= config_.pace.slots + config_.pace.queue) return Admission::full;
    if (job.prompt > config_.memory_tokens) return Admission::full;
    queue_.push_back(std::move(job));
    begin_read(now);
    return Admission::taken;
}

Model::Admission Model::write(Millis now, Job job) {
    if (!job.has_state && config_.role == Role::decode && !config_.local_prefill) return Admission::no_state;
    if (static_cast<int>(queue_.size()) >= config_.pace.queue &&
        static_cast<int>(running_.size()) >= config_.pace.slots)
        return Admission::full;
    if (job.prompt + job.max_tokens > config_.memory_tokens) return Admission::full;
    queue_.push_back(std::move(job));
    begin_writes(now);
    return Admission::taken;
}

void Model::begin_read(Millis now) {
    if (config_.role != Role::prefill || reading_ || stalled_ || queue_.empty()) return;
    if (memory_ + queue_.front().prompt > config_.memory_tokens) return;
    job_ = std::move(queue_.front());
    queue_.pop_front();
    reading_ = true;
    memory_ += job_.prompt;
    read_kept_ = kept(job_);
    const double fresh = std::max(1.0, job_.prompt - read_kept_);
    read_until_ = now + 1000 * fresh / (config_.pace.prefill_tokens_per_s * speed(now));
}

void Model::begin_writes(Millis now) {
    if (config_.role == Role::prefill || stalled_) return;
    while (!queue_.empty() && static_cast<int>(running_.size()) < config_.pace.slots &&
           memory_ + queue_.front().prompt <= config_.memory_tokens) {
        Running running;
        running.job = std::move(queue_.front());
        queue_.pop_front();
        running.target = std::min(running.job.max_tokens,
                                  answer_length(running.job.text_seed, config_.pace.answer_tokens));
        memory_ += running.job.prompt;
        const std::string id = running.job.id;
        const bool fetches = running.job.has_state;
        if (!fetches)
            running.reads_until =
                now + 1000 * running.job.prompt / (config_.pace.prefill_tokens_per_s * speed(now));
        running_.push_back(std::move(running));
        if (fetches) events_.fetch(id);
    }
    if (!running_.empty() && next_step_ < 0) next_step_ = now + step_time(now);
}

Millis Model::step_time(Millis now) const {
    return (config_.pace.step + config_.pace.per_stream * static_cast<double>(running_.size())) / speed(now);
}

void Model::fetched(Millis now, const std::string& id, bool ok) {
    for (auto it = running_.begin(); it != running_.end(); ++it) {
        if (it->job.id != id) continue;
        if (ok) {
            it->reads_until = now + 1000 * it->job.prompt / config_.pace.fetch_tokens_per_s;
        } else {
            memory_ -= it->job.prompt;
            running_.erase(it);
            begin_writes(now);
        }
        return;
    }
}

bool Model::take(Millis now, const std::string& id, double& tokens) {
    const auto it = states_.find(id);
    if (it == states_.end()) return false;
    tokens = it->second.tokens;
    memory_ -= tokens;
    states_.erase(it);
    begin_read(now);
    return true;
}

bool Model::aborted(const std::string& id) const {
    return std::find(aborted_ids_.begin(), aborted_ids_.end(), id) != aborted_ids_.end();
}

bool Model::abort(Millis now, const std::string& id) {
    double tokens = 0;
    if (take(now, id, tokens)) return true;
    if (reading_ && job_.id == id) {
        reading_ = false;
        memory_ -= job_.prompt;
        begin_read(now);
        return true;
    }
    for (auto it = queue_.begin(); it != queue_.end(); ++it) {
        if (it->id != id) continue;
        queue_.erase(it);
        return true;
    }
    for (auto it = running_.begin(); it != running_.end(); ++it) {
        if (it->job.id != id) continue;
        memory_ -= it->job.prompt + it->made;
        running_.erase(it);
        begin_writes(now);
        return true;
    }
    if (config_.role == Role::prefill) {
        aborted_ids_.push_back(id);
        if (aborted_ids_.size() > kRememberedAborts) aborted_ids_.pop_front();
    }
    return false;
}

void Model::stall(Millis now, bool on) {
    if (on == stalled_) return;
    stalled_ = on;
    if (on) {
        stalled_at_ = now;
        return;
    }
    const Millis lost = now - stalled_at_;
    if (reading_) read_until_ += lost;
    if (next_step_ >= 0) next_step_ += lost;
    for (auto& running : running_) {
        if (running.reads_until >= 0) running.reads_until += lost;
    }
    begin_read(now);
    begin_writes(now);
}

void Model::slow(Millis now, double factor) {
    const double before = slow_;
    slow_ = std::max(1.0, factor);
    if (reading_) read_until_ = now + std::max(0.0, read_until_ - now) * slow_ / before;
}

void Model::step(Millis now) {
    std::vector<std::string> ids;
    for (auto& running : running_) {
        if (!running.ready && running.reads_until >= 0 && running.reads_until <= now) {
            running.ready = true;
            ids.push_back(running.job.id);
        }
    }
    for (const auto& id : ids) events_.running(id);
    ids.clear();
    for (const auto& running : running_) {
        if (running.ready) ids.push_back(running.job.id);
    }
    for (const auto& id : ids) {
        const auto it = std::find_if(running_.begin(), running_.end(),
                                     [&](const Running& running) { return running.job.id == id; });
        if (it == running_.end()) continue;  // ended by an event of another
        const std::string token = token_text(it->job.text_seed, it->made);
        ++it->made;
        ++memory_;
        const bool last = it->made >= it->target;
        const bool cut = last && it->target == it->job.max_tokens;
        if (last) {
            memory_ -= it->job.prompt + it->made;
            running_.erase(it);
        }
        events_.token(id, token, last, cut);
    }
    // Memory ran out: the newest answer is preempted and prefills its text again.
    if (memory_ > config_.memory_tokens && running_.size() > 1) {
        Running& newest = running_.back();
        if (newest.ready) {
            newest.ready = false;
            const double again = newest.job.prompt + newest.made;
            newest.reads_until = now + 1000 * again / (config_.pace.prefill_tokens_per_s * speed(now));
        }
    }
    begin_writes(now);
}

Millis Model::advance(Millis now) {
    if (stalled_) return kFar;
    while (reading_ && read_until_ <= now) {
        reading_ = false;
        keep(job_);
        states_[job_.id] = {job_.prompt, now + config_.pace.lease};
        const std::string id = job_.id;
        const double found = read_kept_;
        begin_read(now);
        events_.read_done(id, found);
    }
    if (next_step_ >= 0 && next_step_ <= now) {
        next_step_ = -1;
        step(now);
        next_step_ = running_.empty() ? -1 : now + step_time(now);
    }
    Millis next = kFar;
    std::vector<std::string> ended;
    for (const auto& [id, state] : states_) {
        if (state.until <= now) ended.push_back(id);
        next = std::min(next, state.until);
    }
    for (const auto& id : ended) {
        double tokens = 0;
        take(now, id, tokens);
        events_.lease_ended(id);
    }
    if (reading_) next = std::min(next, read_until_);
    if (next_step_ >= 0) next = std::min(next, next_step_);
    return std::max(next, now);
}

}  // namespace gorsenotch::fake_engine
