// LeaseLedger in random sequences of faults: a small gateway obeys its decisions, and a model of the servers,
// which shares no state with it, keeps one clock for each KV cache. A failing sequence is reduced before it
// is printed.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "control/lease_ledger.h"

namespace gorsenotch::control {
namespace {

constexpr Millis kLatency = 1;
constexpr Millis kPlatformTolerance = 300;
constexpr double kCallRetryFraction = 0.15;      // between two calls of a release, as LeaseReleaser has it
constexpr double kSecondReleaseFraction = 0.35;  // after the request is over
// Later, an answering endpoint no longer extends the lease of its prefill; a fraction of the release
// time-out.
constexpr double kUsualPrefillFraction = 0.3;
// After the end of a request the second release relies on it.
constexpr double kMaxCloseDelayFraction = 0.3;
constexpr Millis kNever = 1e9;
constexpr int kSequences = 25000;  // for each seed

// What becomes of one attempt.
enum class Fate { ok, swallowed, answer_lost, hung, reset };
constexpr std::array<const char*, 5> kFateNames = {"ok", "swallowed", "answer_lost", "hung", "reset"};

struct Step {
    Fate fate = Fate::ok;
    Millis duration = 20;       // until the server has carried it out
    Millis timeout = 500;       // until the gateway gives it up
    Millis close_delay = 0;     // until the server sees its end, beyond the latency
    int lost_calls = 0;         // release calls after it that are lost
    bool close_silent = false;  // the server's own end of the connection is lost
};

std::string describe(const std::vector<Step>& steps) {
    std::string text;
    for (const Step& step : steps) {
        text += std::string(kFateNames[static_cast<std::size_t>(step.fate)]) + " duration " +
                std::to_string(step.duration) + " timeout " + std::to_string(step.timeout) + " close_delay " +
                std::to_string(step.close_delay) + " lost_calls " + std::to_string(step.lost_calls) +
                (step.close_silent ? " close_silent" : "") + "\n";
    }
    return text;
}

// The clock and the events to come.
struct Schedule {
    Millis now = 0;
    std::multimap<Millis, std::function<void()>> events;
    void after(Millis delay, std::function<void()> event) { events.emplace(now + delay, std::move(event)); }
    void run() {
        while (!events.empty() && now < kNever) {
            const auto next = events.begin();
            now = next->first;
            const auto event = std::move(next->second);
            events.erase(next);
            event();
        }
    }
};

// What the servers know: the KV caches of one request, and the attempts that are at a server. Each KV cache
// has a clock of its own, which runs while no attempt is at a server.
class Servers {
public:
    struct Attempt {
        bool is_decode = false;
        bool open = true;
        bool released_ahead = false;  // a release arrived while the prefill ran: it stores nothing
    };
    explicit Servers(Schedule& schedule) : schedule_(schedule) {}
    std::shared_ptr<Attempt> arrive(bool is_decode) {
        for (Millis& since : kv_caches_) stop(since);
        attempts_.push_back(std::make_shared<Attempt>(Attempt{is_decode}));
        return attempts_.back();
    }
    void close(Attempt& attempt) {
        if (!std::exchange(attempt.open, false) || any_open([](const Attempt&) { return true; })) return;
        for (Millis& since : kv_caches_) since = schedule_.now;
    }
    void end_prefill(Attempt& attempt) {
        if (!attempt.open) return;
        close(attempt);
        if (!attempt.released_ahead) kv_caches_.push_back(schedule_.now);
    }
    bool take_kv_caches() {
        for (Millis& since : kv_caches_) stop(since);
        return !std::exchange(kv_caches_, {}).empty();
    }
    // Frees what no decode waits for.
    void release() {
        for (const auto& attempt : attempts_) attempt->released_ahead |= attempt->open && !attempt->is_decode;
        if (!any_open([](const Attempt& attempt) { return attempt.is_decode; })) take_kv_caches();
    }
    bool holds_any() const { return !kv_caches_.empty(); }
    Millis longest() const { return longest_; }

private:
    static constexpr Millis kStopped = -1;
    template <class Condition>
    bool any_open(Condition condition) const {
        return std::any_of(attempts_.begin(), attempts_.end(),
                           [&](const auto& attempt) { return attempt->open && condition(*attempt); });
    }
    void stop(Millis& since) {
        if (since != kStopped) longest_ = std::max(longest_, schedule_.now - since);
        since = kStopped;
    }
    Schedule& schedule_;
    std::vector<std::shared_ptr<Attempt>> attempts_;
    std::vector<Millis> kv_caches_;  // since when each is held with no attempt at a server
    Millis longest_ = 0;
};

// One request at a gateway that obeys the ledger. It knows only what a gateway sees.
class Gateway {
public:
    Gateway(Schedule& schedule, Servers& servers, const std::vector<Step>& steps, Millis duration)
        : schedule_(schedule), servers_(servers), steps_(steps), ledger_(duration) {}
    void start_next() {
        if (next_ == steps_.size()) return finish();
        const Step step = steps_[next_++];
        lost_calls_ = step.lost_calls;
        if (has_kv_cache_ || !ledger_.needs_release_before_prefill()) return send(step);
        const std::optional<Millis> proof_deadline = ledger_.close_proof_deadline();
        deferred_ = step;
        if (!proof_deadline || *proof_deadline <= schedule_.now) return release_before_prefill();
        schedule_.after(*proof_deadline - schedule_.now, [this, step_number = next_] {
            if (deferred_ && next_ == step_number && !release_begun_) release_before_prefill();
        });
    }

private:
    // ---- attempts ----
    void send(const Step& step) {
        const bool is_decode = has_kv_cache_;
        if (is_decode) withdraw_release();
        ledger_.on_attempt_begun(schedule_.now, static_cast<EndpointId>(next_), is_decode);
        ledger_.on_request_written(schedule_.now, 0);
        const int number = ledger_.latest_attempt();
        in_flight_ = number;
        written_at_ = schedule_.now;
        at_server_.reset();
        if (step.fate != Fate::swallowed)
            schedule_.after(kLatency, [=, this] { arrive(step, is_decode, number); });
        schedule_.after(step.timeout, [=, this] {
            if (in_flight_ == number) give_up(step, is_decode);
        });
        watch();
    }
    void arrive(const Step& step, bool is_decode, int number) {
        const auto attempt = servers_.arrive(is_decode);
        if (in_flight_ == number)
            at_server_ = attempt;
        else
            servers_.close(*attempt);
        if (step.fate == Fate::hung) return;
        schedule_.after(step.duration, [=, this] {
            if (!attempt->open) return;
            const bool taken = is_decode && step.fate != Fate::reset && servers_.take_kv_caches();
            is_decode ? servers_.close(*attempt) : servers_.end_prefill(*attempt);
            if (step.fate == Fate::answer_lost) return;
            schedule_.after(kLatency, [=, this] {
                if (in_flight_ == number) on_answer(step, is_decode, taken);
            });
        });
    }
    void on_answer(const Step& step, bool is_decode, bool taken) {
        in_flight_ = 0;
        if (step.fate == Fate::reset) {
            end_lost(is_decode);
            ledger_.on_close_proved(schedule_.now, ledger_.latest_attempt());
            return start_next();
        }
        ledger_.on_attempt_answered(schedule_.now);
        if (taken) {
            ledger_.on_resource_taken();
            ledger_.on_attempt_ended(schedule_.now, false);
            return finish();
        }
        ledger_.on_attempt_ended(schedule_.now, is_decode);
        has_kv_cache_ = !is_decode;
        if (!is_decode) ledger_.on_acquired(schedule_.now, LeaseOrigin::prefill_done, 1);
        ledger_.on_close_proved(schedule_.now, ledger_.latest_attempt());
        start_next();
        watch();
    }
    void give_up(const Step& step, bool is_decode) {
        const int number = std::exchange(in_flight_, 0);
        end_lost(is_decode);
        const auto attempt = at_server_;
        schedule_.after(kLatency + step.close_delay, [=, this] {
            if (!attempt) return;
            servers_.close(*attempt);
            if (step.close_silent) return;
            schedule_.after(kLatency, [=, this] { on_close_proved(number); });
        });
        start_next();
        watch();
    }
    void end_lost(bool is_decode) {
        ledger_.on_attempt_ended(schedule_.now, false);
        if (!is_decode) ledger_.on_acquired(schedule_.now, LeaseOrigin::prefill_lost, 1);
    }
    void on_close_proved(int number) {
        ledger_.on_close_proved(schedule_.now, number);
        if (deferred_ && !release_begun_) release_before_prefill();
    }

    // ---- releases ----
    void release_before_prefill() {
        release_begun_ = true;
        if (!ledger_.needs_release_before_prefill()) return send_deferred();
        schedule_.after(ledger_.release_answer_deadline(schedule_.now) - schedule_.now,
                        [this, step_number = next_] {
                            if (deferred_ && next_ == step_number) send_deferred();
                        });
        release();
    }
    void send_deferred() {
        const Step step = *deferred_;
        deferred_.reset();
        release_begun_ = false;
        send(step);
    }
    void release() {
        ledger_.on_release_begun(schedule_.now);
        call(++release_id_);
    }
    void call(int id) {
        if (id != release_id_) return;
        schedule_.after(kCallRetryFraction * ledger_.duration(), [this, id] { call(id); });
        if (lost_calls_ > 0 && lost_calls_-- > 0) return;
        schedule_.after(kLatency, [this, id, sent_at = schedule_.now] {
            servers_.release();
            schedule_.after(kLatency, [this, id, sent_at] {
                if (id == release_id_) on_release_answered(sent_at);
            });
        });
    }
    void on_release_answered(Millis sent_at) {
        ++release_id_;
        if (over_) {
            if (!std::exchange(second_release_due_, false)) return;
            return schedule_.after(kSecondReleaseFraction * ledger_.duration(), [this] { release(); });
        }
        ledger_.on_release_answered(schedule_.now, sent_at);
        has_kv_cache_ = false;
        if (deferred_ && release_begun_ && !ledger_.needs_release_before_prefill()) send_deferred();
        watch();
    }
    void withdraw_release() {
        ++release_id_;
        ledger_.on_release_failed();
    }
    void finish() {
        over_ = true;
        second_release_due_ = ledger_.needs_second_release();
        if (ledger_.is_held()) release();
    }

    // ---- the ledger's timer ----
    void watch() {
        if (over_) return;
        const std::optional<Millis> check_at = ledger_.health_check_at();
        std::optional<Millis> at = ledger_.release_at();
        if (check_at && (!at || *check_at < *at)) at = check_at;
        if (!at) return;
        schedule_.after(std::max(0.0, *at - schedule_.now), [this] { on_timer(); });
    }
    void on_timer() {
        if (over_) return;
        if (ledger_.prefill_in_flight()) check_endpoint();
        const std::optional<Millis> at = ledger_.release_at();
        if (!at) return;
        if (*at > schedule_.now) return watch();
        const bool needed_by_decode = !ledger_.prefill_in_flight();
        release();
        if (needed_by_decode) has_kv_cache_ = false;
    }
    // The endpoint answers every health check, whatever became of the prefill.
    void check_endpoint() {
        const bool usual = schedule_.now - written_at_ <= kUsualPrefillFraction * ledger_.duration();
        if (answered_at_ > written_at_ && usual) ledger_.on_endpoint_answered(answered_at_);
        const std::optional<Millis> check_at = ledger_.health_check_at();
        if (!check_at || *check_at > schedule_.now) return;
        ledger_.on_health_check_sent();
        schedule_.after(2 * kLatency, [this] { answered_at_ = schedule_.now; });
    }

    Schedule& schedule_;
    Servers& servers_;
    const std::vector<Step>& steps_;
    LeaseLedger ledger_;
    std::size_t next_ = 0;
    bool has_kv_cache_ = false;
    int in_flight_ = 0;  // the number of the attempt in flight; 0: none
    std::shared_ptr<Servers::Attempt> at_server_;
    Millis written_at_ = 0;
    Millis answered_at_ = 0;
    std::optional<Step> deferred_;
    bool release_begun_ = false;
    int release_id_ = 0;
    int lost_calls_ = 0;
    bool over_ = false;
    bool second_release_due_ = false;
};

// The longest time that a KV cache was held in a run of the steps; kNever if one is never released.
Millis longest_held(const std::vector<Step>& steps, Millis duration) {
    Schedule schedule;
    Servers servers(schedule);
    Gateway gateway(schedule, servers, steps, duration);
    gateway.start_next();
    schedule.run();
    return servers.holds_any() ? kNever : servers.longest();
}

std::vector<Step> draw_steps(std::minstd_rand& random, Millis duration) {
    const auto draw = [&random](int below) {
        return static_cast<int>(random() % static_cast<unsigned>(below));
    };
    std::vector<Step> steps(static_cast<std::size_t>(2 + draw(6)));
    for (Step& step : steps) {
        step.fate = static_cast<Fate>(draw(static_cast<int>(kFateNames.size())));
        step.duration = 1 + draw(draw(4) == 0 ? 1500 : 60);
        step.timeout = 20 + draw(2000);
        if (draw(3) == 0) step.close_delay = draw(static_cast<int>(kMaxCloseDelayFraction * duration));
        if (draw(4) == 0) step.lost_calls = draw(3);
        step.close_silent = draw(4) == 0;
    }
    return steps;
}

// Removes steps and faults that the failure does not need.
std::vector<Step> shrink(std::vector<Step> steps, Millis duration, Millis limit) {
    const auto fails = [&](const std::vector<Step>& candidate) {
        return longest_held(candidate, duration) > limit;
    };
    for (std::size_t i = steps.size(); i-- > 0;) {
        auto candidate = steps;
        candidate.erase(candidate.begin() + static_cast<std::ptrdiff_t>(i));
        if (fails(candidate)) steps = std::move(candidate);
    }
    for (std::size_t i = 0; i < steps.size(); ++i) {
        for (const auto& simplify : std::vector<std::function<void(Step&)>>{
                 [](Step& step) { step.close_delay = 0; }, [](Step& step) { step.lost_calls = 0; },
                 [](Step& step) { step.close_silent = false; }, [](Step& step) { step.duration = 20; }}) {
            auto candidate = steps;
            simplify(candidate[i]);
            if (fails(candidate)) steps = std::move(candidate);
        }
    }
    return steps;
}

class LeaseLedgerPropertyTest : public ::testing::TestWithParam<unsigned> {};

TEST_P(LeaseLedgerPropertyTest, NoKvCacheIsHeldForTooLongInAnySequenceOfFaults) {
    std::minstd_rand random(GetParam());
    for (int i = 0; i < kSequences; ++i) {
        const Millis duration = i % 2 == 0 ? 1000 : 300;
        const Millis limit = duration + kPlatformTolerance;
        const std::vector<Step> steps = draw_steps(random, duration);
        if (longest_held(steps, duration) <= limit) continue;
        const std::vector<Step> shortest = shrink(steps, duration, limit);
        FAIL() << "sequence " << i << ", release time-out " << duration << ", held for "
               << longest_held(shortest, duration) << " ms:\n"
               << describe(shortest);
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, LeaseLedgerPropertyTest, ::testing::Range(1U, 5U));

}  // namespace
}  // namespace gorsenotch::control
