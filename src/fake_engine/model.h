// A model of one engine of a disaggregated pair: queue, slots, memory, pace, prefix cache, slow start, and
// orders that make it misbehave. Pure: the clock is an argument, and what happens is reported through Events.
// It stands in for a real engine in tests and scenarios on loopback; its figures say nothing about real
// engines.
//
// A prefill engine works first come first, one prompt at a time at prefill_tokens_per_s, from where its
// cached prefix ends; the KV state then uses memory until it is fetched, aborted, or its lease ends. A decode
// engine uses a slot and memory while it fetches a state and generates; each step gives every running answer
// one token.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "gorsenotch/settings.h"
#include "settings/settings.h"

namespace gorsenotch::fake_engine {

// Size, pace and role of a modelled engine.
struct EngineConfig {
    Role role = Role::mixed;
    double memory_tokens = 100000;
    settings::FakeEngineSettings pace;
    double initial_capacity = 1;     // of a cold start
    Millis slow_start_duration = 0;  // how long it takes to full pace; 0: starts warm
    bool local_prefill = false;
    std::uint64_t seed = 1;
};

// One request as the model sees it.
struct Job {
    std::string id, key, cls;
    std::vector<std::pair<std::uint64_t, double>>
        prefixes;  // hash and tokens of each beginning of the prompt
    double prompt = 0;
    int max_tokens = 1;
    std::uint64_t text_seed = 0;
    bool has_state = false;  // comes with transfer parameters
};

// The state of one engine over time. Owns its queue, KV caches and running answers.
class Model {
public:
    struct Events {
        std::function<void(const std::string& id, double kept)> read_done;  // the state is now held
        std::function<void(const std::string& id)> fetch;    // wants the state: answer with fetched()
        std::function<void(const std::string& id)> running;  // its work has begun: the effect, if any
        std::function<void(const std::string& id, const std::string& token, bool last, bool cut)> token;
        std::function<void(const std::string& id)> lease_ended;
    };
    enum class Admission { taken, full, no_state };

    Model(EngineConfig config, Millis now, Events events);

    Admission read(Millis now, Job job);
    Admission write(Millis now, Job job);
    // The state has come (or is gone: the job is dropped).
    void fetched(Millis now, const std::string& id, bool ok);
    // A decode engine has fetched the state of the prefill `id`: false if there is none.
    bool take(Millis now, const std::string& id, double& tokens);
    // Ends a job or frees a state, whichever there is; true if there was one. An id that is not known yet is
    // remembered: a prefill that comes later under it is rejected.
    bool abort(Millis now, const std::string& id);
    bool aborted(const std::string& id) const;

    void stall(Millis now, bool on);
    void slow(Millis now, double factor);

    // Does all that is due; returns the time at which something is due next (far ahead: nothing).
    Millis advance(Millis now);

    double memory_share() const { return memory_ / config_.memory_tokens; }
    double waiting_ktokens() const;
    double speed(Millis now) const;
    // Engine-seconds at full pace that a job asks for.
    double work(const Job& job, bool read) const;
    int holding() const { return static_cast<int>(states_.size()); }
    int out() const { return static_cast<int>(queue_.size() + running_.size()) + (reading_ ? 1 : 0); }

private:
    struct Running {
        Job job;
        bool ready = false;       // state at hand
        Millis reads_until = -1;  // reads its prompt itself until then
        int made = 0, target = 0;
    };
    struct State {
        double tokens = 0;
        Millis until = 0;
    };
    double kept(const Job& job) const;
    void keep(const Job& job);
    void begin_read(Millis now);
    void begin_writes(Millis now);
    void step(Millis now);
    Millis step_time(Millis now) const;

    const EngineConfig config_;
    Events events_;
    const Millis born_;
    double slow_ = 1;
    bool stalled_ = false;
    Millis stalled_at_ = 0;
    std::deque<Job> queue_;
    // prefill
    bool reading_ = false;
    Job job_;
    Millis read_until_ = 0;
    double read_kept_ = 0;
    std::unordered_map<std::string, State> states_;
    std::list<std::pair<std::uint64_t, double>> lru_;
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator> known_;
    double known_tokens_ = 0;
    std::deque<std::string> aborted_ids_;
    // decode
    std::list<Running> running_;
    Millis next_step_ = -1;
    double memory_ = 0;
};

// The text that every fake engine generates for a prompt: a word a token, the same for the same seed.
std::string token_text(std::uint64_t seed, int index);
int answer_length(std::uint64_t seed, int usual);

}  // namespace gorsenotch::fake_engine
