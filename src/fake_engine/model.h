// A model of one prefill or decode engine: queue, slots, memory, speed, prefix cache, slow start and injected
// faults. It does no I/O and reads no clock: the time is an argument, and results are reported through
// Events. It replaces a real engine in tests and fault scenarios on loopback; its timings do not represent
// real engines.
//
// A prefill engine processes its queue in FIFO order, one prompt at a time at prefill_tokens_per_s tokens per
// second, and skips the cached prefix. The KV state then uses memory until it is fetched, aborted or its
// lease expires. A decode engine uses a slot and memory while it fetches the KV state and generates; each
// step generates one token for every running request.
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

// Role, memory, speed and slow start of a modelled engine.
struct EngineConfig {
    Role role = Role::mixed;
    double memory_tokens = 100000;
    settings::FakeEngineSettings pace;
    double initial_capacity = 1;     // fraction of full speed at a cold start
    Millis slow_start_duration = 0;  // from start to full speed; 0: no slow start
    bool local_prefill = false;      // a decode engine accepts requests without a KV state
    std::uint64_t seed = 1;
};

// One request to the engine. Token counts are estimates.
struct Job {
    std::string id, key, cls;
    std::vector<std::pair<std::uint64_t, double>>
        prefixes;  // hash and token count of each prompt prefix, shortest first
    double prompt = 0;
    int max_tokens = 1;
    std::uint64_t text_seed = 0;
    bool has_state = false;  // the request carries KV transfer parameters
};

// The state of one engine over time. Owns its queue, prefix cache, KV states and running requests.
class Model {
public:
    struct Events {
        // The prefill is complete and its KV state is stored under a lease.
        std::function<void(const std::string& id, double cached_tokens)> prefill_done;
        // A decode needs its KV state; the owner reports the outcome with on_state_fetched().
        std::function<void(const std::string& id)> fetch_state;
        // The decode has its KV state and starts to generate: its side effect, if any, happens now. Reported
        // again when a preempted decode resumes.
        std::function<void(const std::string& id)> decode_started;
        // `truncated`: the last token, as the request has reached its max_tokens.
        std::function<void(const std::string& id, const std::string& token, bool last, bool truncated)> token;
        std::function<void(const std::string& id)> lease_expired;
    };
    enum class Admission { accepted, rejected, missing_state };

    Model(EngineConfig config, Millis now, Events events);

    // Queue a job. Rejected if the queue is full, the job exceeds the memory or its id was aborted before; a
    // decode engine without local prefill requires a job that brings its KV state.
    Admission submit_prefill(Millis now, Job job);
    Admission submit_decode(Millis now, Job job);
    // The outcome of Events::fetch_state; on failure the job is dropped.
    void on_state_fetched(Millis now, const std::string& id, bool succeeded);
    // Frees the KV state of the prefill `id` and sets `tokens` to its size; false if there is none.
    bool release_state(Millis now, const std::string& id, double& tokens);
    // Ends the job or frees the KV state with this id; true if there was one. A prefill engine remembers an
    // unknown id and rejects a prefill that arrives under it later.
    bool abort(Millis now, const std::string& id);
    bool is_aborted(const std::string& id) const;

    // While stalled, no work progresses and no lease expires.
    void set_stalled(Millis now, bool stalled);
    // Divides the engine's speed by `factor`; 1: full speed.
    void set_slowdown(Millis now, double factor);

    // Performs all work that is due. Returns the time of the next event; a time far ahead means none.
    Millis advance(Millis now);

    double memory_fraction() const { return used_tokens_ / config_.memory_tokens; }
    // Prompt tokens in the queue, in thousands.
    double waiting_ktokens() const;
    // Fraction of full speed, after slow start and slowdown.
    double speed_fraction(Millis now) const;
    // Engine-seconds that the job needs at full speed.
    double work_seconds(const Job& job, bool is_prefill) const;
    int stored_states() const { return static_cast<int>(states_.size()); }
    int open_jobs() const {
        return static_cast<int>(queue_.size() + running_.size()) + (is_prefilling_ ? 1 : 0);
    }

private:
    struct RunningDecode {
        Job job;
        bool ready = false;             // the KV state is complete
        Millis ready_at = -1;           // when the KV state is complete; -1: not known yet
        int generated = 0, target = 0;  // tokens
    };
    struct State {
        double tokens = 0;
        Millis lease_expires_at = 0;
    };
    double cached_prefix_tokens(const Job& job) const;
    void cache_prefixes(const Job& job);
    void start_prefill(Millis now);
    void start_decodes(Millis now);
    void run_decode_step(Millis now);
    Millis step_time(Millis now) const;

    const EngineConfig config_;
    Events events_;
    const Millis started_at_;
    double slowdown_factor_ = 1;
    bool stalled_ = false;
    Millis stalled_since_ = 0;
    std::deque<Job> queue_;
    // Prefill engines.
    bool is_prefilling_ = false;
    Job prefill_job_;
    Millis prefill_until_ = 0;
    double prefill_cached_tokens_ = 0;
    std::unordered_map<std::string, State> states_;
    std::list<std::pair<std::uint64_t, double>> lru_;  // prefix hash and added tokens, most recent first
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator> cached_prefixes_;
    double cached_tokens_ = 0;
    std::deque<std::string> aborted_ids_;
    // Decode engines.
    std::list<RunningDecode> running_;
    Millis next_step_ = -1;
    double used_tokens_ = 0;  // tokens of running jobs and stored KV states
};

// The text of the token `index` that every fake engine generates for a prompt with this seed: one word.
std::string token_text(std::uint64_t seed, int index);
// The length in tokens of the answer to a prompt with this seed: 0.5 to 1.5 times `typical_tokens`.
int answer_length(std::uint64_t seed, int typical_tokens);

}  // namespace gorsenotch::fake_engine
