// The checker detects an injected violation of each invariant, and the Router violates none under random
// valid events.
#include <gtest/gtest.h>

#include <random>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

struct PlantedViolationTest : ::testing::Test {
    PlantedViolationTest() : settings(test_settings()), checker(settings) {
        checker.on_event(0, full_list({prefill_endpoint(1), decode_endpoint(11), decode_endpoint(12, 1)}));
    }
    void finish_prefill() {
        checker.on_event(1, arrival("a", 1));
        checker.on_action(1, StartAttempt{"a", 1, 0});
        checker.on_event(2, attempt_ended("a", 0, 1, AttemptResult::prefill_done));
    }
    // The number of violations when a request whose first attempt, at endpoint 11, may have run is sent
    // again.
    static std::size_t violations_of_resend(const Settings& settings, EndpointId second) {
        RouterInvariantChecker other(settings);
        other.on_event(0, full_list({decode_endpoint(11), decode_endpoint(12, 1)}));
        other.on_event(1, arrival("a", 1));
        other.on_action(1, StartAttempt{"a", 11, 0});
        other.on_event(2, attempt_ended("a", 0, 11, AttemptResult::reset));
        other.on_action(2, StartAttempt{"a", second, 0});
        return other.violations.size();
    }
    Settings settings;
    RouterInvariantChecker checker;
};

TEST_F(PlantedViolationTest, RequestWithoutAnswer) {
    checker.on_event(1, arrival("a", 1));
    checker.on_time(5018);
    EXPECT_EQ(checker.violations.size(), 1u);
}

TEST_F(PlantedViolationTest, SecondAnswer) {
    checker.on_event(1, arrival("a", 1));
    checker.on_action(1, Reject{"a", 0});
    checker.on_action(1, Fail{"a"});
    EXPECT_EQ(checker.violations.size(), 1u);
}

TEST_F(PlantedViolationTest, AttemptAfterTheEnd) {
    checker.on_event(1, arrival("a", 1));
    checker.on_action(1, Reject{"a", 0});
    checker.on_action(1, StartAttempt{"a", 1, 0});
    EXPECT_EQ(checker.violations.size(), 1u);
}

TEST_F(PlantedViolationTest, UnsafeRequestSentTwice) {
    Settings once = settings;
    once.classes[0].idempotency = Idempotency::unsafe;
    EXPECT_EQ(violations_of_resend(once, 11), 1u);
}

TEST_F(PlantedViolationTest, KeyedRequestOutsideItsDedupScope) {
    Settings keyed = settings;
    keyed.classes[0].idempotency = Idempotency::with_key;
    keyed.classes[0].dedup_scope = DedupScope::zone;
    keyed.classes[0].dedup_window = 1000;
    EXPECT_EQ(violations_of_resend(keyed, 12), 1u);
}

TEST_F(PlantedViolationTest, TwoAttemptsAtOnce) {
    checker.on_event(1, arrival("a", 1));
    checker.on_action(1, StartAttempt{"a", 1, 0});
    checker.on_action(1, StartAttempt{"a", 1, 0});
    EXPECT_EQ(checker.violations.size(), 1u);
}

TEST_F(PlantedViolationTest, AttemptAtADrainedEndpoint) {
    Endpoint endpoint = prefill_endpoint(1);
    endpoint.status = EndpointStatus::draining;
    checker.on_event(1, EndpointUpdate{EndpointUpdate::Kind::incremental, {endpoint}});
    checker.on_event(300, arrival("a", 300));
    checker.on_action(300, StartAttempt{"a", 1, 0});
    EXPECT_EQ(checker.violations.size(), 1u);
}

TEST_F(PlantedViolationTest, WarmingEndpointOverItsBudget) {
    Endpoint cold = prefill_endpoint(2);
    cold.started_at = 1;
    checker.on_event(2, EndpointUpdate{EndpointUpdate::Kind::incremental, {cold}});
    // Budget: 2.5 x 0.3 x 42 requests per second x 2 s = 63 requests.
    for (int i = 0; i < 64; ++i) {
        EXPECT_EQ(checker.violations.size(), 0u);
        const RequestId id = "r" + std::to_string(i);
        checker.on_event(3, arrival(id, 3));
        checker.on_action(3, StartAttempt{id, 2, 0});
    }
    EXPECT_EQ(checker.violations.size(), 1u);
}

TEST_F(PlantedViolationTest, StateNotReleased) {
    finish_prefill();
    checker.on_time(503);
    EXPECT_EQ(checker.violations.size(), 1u);
}

TEST_F(PlantedViolationTest, SlotNotReleasedAfterReject) {
    Settings reserving = settings;
    reserving.slot_reservation = true;
    RouterInvariantChecker other(reserving);
    other.on_event(0, full_list({decode_endpoint(11)}));
    other.on_event(1, arrival("a", 1));
    other.on_action(1, ReserveSlot{"a", 11});
    other.on_action(1, Reject{"a", 0});
    other.on_time(502);
    EXPECT_EQ(other.violations.size(), 1u);
}

// A run of a Router under random valid events: every attempt result, restarts of this gateway, endpoint
// updates of every kind, and results of attempts whose request has already ended.
class RandomRun {
public:
    explicit RandomRun(std::uint64_t seed) : seed_(seed), random_(seed) {
        choose_settings();
        choose_endpoints();
    }

    void run() {
        start_gateway(seed_);
        for (int step = 0; step < kSteps; ++step) {
            advance(pick(20));
            play_event(step);
            if (::testing::Test::HasFatalFailure()) return;
        }
        end_all_attempts();
        advance(20000);  // open requests reach their deadlines
        ASSERT_EQ(harness_->checker.violations, std::vector<std::string>{}) << "seed " << seed_;
    }

private:
    static constexpr int kSteps = 1500;

    struct PendingAttempt {
        RequestId id;
        int attempt = 0;
        EndpointId endpoint = 0;
        bool has_begun = false;
        bool is_prefill = false;
        Millis sent = 0;
    };

    // A random number from 0 to count - 1.
    int pick(int count) { return static_cast<int>(random_() % static_cast<std::uint64_t>(count)); }

    void choose_settings() {
        settings_ = test_settings();
        settings_.hedging = pick(2);
        settings_.health_checks = pick(2);
        settings_.local_prefill = pick(2);
        settings_.slot_reservation = pick(2);
        settings_.cancellation = pick(4) > 0;
        settings_.stream_migration = pick(2);
        settings_.retry_after = pick(2);
        settings_.max_retry_after = 500;
        settings_.connect_timeout = 100;
        settings_.discovery = pick(2) ? Discovery::poll : Discovery::watch;
        settings_.poll_interval = 10000;
        settings_.tenants = {{5}, {5}};
        for (auto& class_settings : settings_.classes) {
            class_settings.idempotency = static_cast<Idempotency>(pick(3));
            class_settings.dedup_scope = static_cast<DedupScope>(pick(3));
            class_settings.dedup_window = 200 + 1000 * pick(4);
        }
    }

    void choose_endpoints() {
        for (EndpointId i = 0; i < 4; ++i) endpoints_.push_back(prefill_endpoint(1 + i, pick(2)));
        for (EndpointId i = 0; i < 4; ++i) endpoints_.push_back(decode_endpoint(11 + i, pick(2)));
        for (EndpointId i = 0; i < static_cast<EndpointId>(pick(3)); ++i) {
            endpoints_.push_back(decode_endpoint(21 + i, pick(2)));
            endpoints_.back().kind = 2;
        }
    }

    void start_gateway(std::uint64_t seed) {
        harness_ = std::make_unique<RouterHarness>(settings_, seed);
        handle(EndpointUpdate{EndpointUpdate::Kind::cached, endpoints_});
    }

    void handle(const Event& event) { apply(harness_->handle(now_, event)); }

    void advance(Millis time) {
        now_ += time;
        harness_->advance_to(now_);
        apply(harness_->actions);
    }

    void apply(const std::vector<Action>& actions) {
        for (const auto& action : actions) {
            if (const auto* start = std::get_if<StartAttempt>(&action)) {
                add_attempt(*start);
            } else if (const auto* reject = std::get_if<Reject>(&action)) {
                ended_[reject->request] = true;
            } else if (const auto* fail = std::get_if<Fail>(&action)) {
                ended_[fail->request] = true;
            } else if (const auto* migrate = std::get_if<MigrateStream>(&action)) {
                ended_[migrate->request] = true;
            }
        }
    }

    void add_attempt(const StartAttempt& start) {
        PendingAttempt attempt;
        attempt.id = start.request;
        attempt.attempt = attempt_counts_[start.request]++;
        attempt.endpoint = start.endpoint;
        attempt.sent = now_;
        for (const auto& endpoint : endpoints_) {
            if (endpoint.id == start.endpoint) attempt.is_prefill = endpoint.kind == 0;
        }
        pending_.push_back(attempt);
    }

    void play_event(int step) {
        const int percent = pick(100);
        if (percent < 40) {
            arrive();
        } else if (percent < 92 && !pending_.empty()) {
            progress_attempt();
        } else if (percent < 95 && next_request_ > 0) {
            disconnect_client();
        } else if (percent < 98) {
            update_list();
        } else if (pick(10) == 0) {
            restart_gateway(step);
        }
    }

    void arrive() {
        Arrival request = arrival("r" + std::to_string(next_request_++), now_, pick(8000));
        request.cls = pick(2);
        request.tenant = pick(2);
        request.session = static_cast<std::uint64_t>(pick(20));
        request.shared_prefix = static_cast<std::uint64_t>(pick(4));
        request.deadline = now_ + pick(6000) + 20;
        request.resumed = pick(10) == 0;
        arrivals_[request.request] = request;
        handle(request);
    }

    // A random pending attempt produces its first token or ends.
    void progress_attempt() {
        const auto index = static_cast<std::size_t>(pick(static_cast<int>(pending_.size())));
        const PendingAttempt attempt = pending_[index];
        if (!attempt.is_prefill && !attempt.has_begun && !ended_[attempt.id] && pick(2)) {
            pending_[index].has_begun = true;
            ended_[attempt.id] = true;
            handle(FirstToken{attempt.id, attempt.attempt, attempt.endpoint, 1});
            return;
        }
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
        const AttemptEnded ended = random_end(attempt);
        if (ended.request_closed) ended_[attempt.id] = true;
        handle(ended);
    }

    AttemptEnded random_end(const PendingAttempt& attempt) {
        static constexpr AttemptResult kResults[] = {
            AttemptResult::error,       AttemptResult::rejected,     AttemptResult::timed_out,
            AttemptResult::unreachable, AttemptResult::reset,        AttemptResult::cancelled,
            AttemptResult::not_sent,    AttemptResult::prefill_done, AttemptResult::prefill_done};
        constexpr int kPrefillResults = 9;
        constexpr int kDecodeResults = 7;
        const AttemptResult result = kResults[pick(attempt.is_prefill ? kPrefillResults : kDecodeResults)];
        AttemptEnded ended =
            attempt_ended(attempt.id, attempt.attempt, attempt.endpoint, result, ended_[attempt.id]);
        // A connection that is not established is reported within the connect timeout.
        const bool never_sent =
            ended.result == AttemptResult::unreachable || ended.result == AttemptResult::not_sent;
        if (never_sent && now_ > attempt.sent + settings_.connect_timeout) {
            ended.result = AttemptResult::reset;
        }
        if (attempt.has_begun) ended.result = pick(3) ? AttemptResult::served : AttemptResult::reset;
        if (ended.result == AttemptResult::rejected) ended.detail = pick(2);
        ended.report.memory_utilization = pick(3) ? 0.01 * pick(100) : -1;
        if (!attempt.is_prefill && !attempt.has_begun && !ended_[attempt.id] && pick(8) == 0) {
            ended.result = AttemptResult::served;
            ended.request_closed = true;
        }
        return ended;
    }

    void disconnect_client() {
        const RequestId id = "r" + std::to_string(pick(next_request_));
        if (ended_[id] || now_ >= arrivals_[id].deadline) return;
        ended_[id] = true;
        handle(ClientDisconnected{id});
    }

    void update_list() {
        EndpointUpdate update;
        update.kind = pick(3) ? EndpointUpdate::Kind::incremental : EndpointUpdate::Kind::full;
        if (pick(6) == 0) update.kind = EndpointUpdate::Kind::failed;
        for (auto& endpoint : endpoints_) {
            if (pick(5) == 0) endpoint.status = static_cast<EndpointStatus>(pick(3));
            if (pick(12) == 0) {
                endpoint.status = EndpointStatus::healthy;
                endpoint.started_at = now_ - pick(500);
            }
            if (update.kind == EndpointUpdate::Kind::failed) continue;
            const bool is_full = update.kind == EndpointUpdate::Kind::full;
            if (is_full && endpoint.status == EndpointStatus::removed) continue;
            update.endpoints.push_back(endpoint);
        }
        handle(update);
    }

    // The gateway restarts with its cached endpoint list.
    void restart_gateway(int step) {
        ASSERT_EQ(harness_->checker.violations, std::vector<std::string>{}) << "seed " << seed_;
        pending_.clear();
        attempt_counts_.clear();
        ended_.clear();
        arrivals_.clear();
        next_request_ = 0;
        start_gateway(seed_ + static_cast<std::uint64_t>(step));
    }

    void end_all_attempts() {
        while (!pending_.empty()) {
            const PendingAttempt attempt = pending_.back();
            pending_.pop_back();
            advance(1);
            handle(attempt_ended(attempt.id, attempt.attempt, attempt.endpoint, AttemptResult::timed_out,
                                 ended_[attempt.id]));
        }
    }

    const std::uint64_t seed_;
    std::mt19937_64 random_;
    Settings settings_;
    std::vector<Endpoint> endpoints_;
    std::unique_ptr<RouterHarness> harness_;
    Millis now_ = 0;
    std::vector<PendingAttempt> pending_;
    std::map<RequestId, int> attempt_counts_;
    std::map<RequestId, bool> ended_;
    std::map<RequestId, Arrival> arrivals_;
    int next_request_ = 0;
};

TEST(RouterPropertyTest, NoInvariantIsViolatedUnderRandomEvents) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        RandomRun(seed).run();
        if (::testing::Test::HasFatalFailure()) return;
    }
}

}  // namespace
}  // namespace gorsenotch::test
