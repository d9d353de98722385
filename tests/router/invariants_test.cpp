// The checker catches a planted breach of each rule, and the Router commits none under random legal events.
#include <gtest/gtest.h>

#include <random>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

struct Planted : ::testing::Test {
    Planted() : s(plain_settings()), c(s) { c.event(0, list({reader(1), writer(11), writer(12, 1)})); }
    void reading() {
        c.event(1, arrival("a", 1));
        c.action(1, StartAttempt{"a", 1, 0});
        c.event(2, outcome("a", 0, 1, AttemptResult::prefill_done));
    }
    // A request whose first attempt, at writer 11, may have run is sent again.
    static std::size_t breaches_sending_again(const Settings& settings, EndpointId second) {
        Checker d(settings);
        d.event(0, list({writer(11), writer(12, 1)}));
        d.event(1, arrival("a", 1));
        d.action(1, StartAttempt{"a", 11, 0});
        d.event(2, outcome("a", 0, 11, AttemptResult::reset));
        d.action(2, StartAttempt{"a", second, 0});
        return d.breaches.size();
    }
    Settings s;
    Checker c;
};

TEST_F(Planted, LostRequest) {
    c.event(1, arrival("a", 1));
    c.time(5018);
    EXPECT_EQ(c.breaches.size(), 1u);
}

TEST_F(Planted, SecondAnswer) {
    c.event(1, arrival("a", 1));
    c.action(1, Reject{"a", 0});
    c.action(1, Fail{"a"});
    EXPECT_EQ(c.breaches.size(), 1u);
}

TEST_F(Planted, AttemptAfterTheEnd) {
    c.event(1, arrival("a", 1));
    c.action(1, Reject{"a", 0});
    c.action(1, StartAttempt{"a", 1, 0});
    EXPECT_EQ(c.breaches.size(), 1u);
}

TEST_F(Planted, OnceSentTwice) {
    Settings once = s;
    once.classes[0].idempotency = Idempotency::unsafe;
    EXPECT_EQ(breaches_sending_again(once, 11), 1u);
}

TEST_F(Planted, KeyedOutsideItsGroup) {
    Settings keyed = s;
    keyed.classes[0].idempotency = Idempotency::with_key;
    keyed.classes[0].dedup_scope = DedupScope::zone;
    keyed.classes[0].dedup_window = 1000;
    EXPECT_EQ(breaches_sending_again(keyed, 12), 1u);
}

TEST_F(Planted, TwoAtOnce) {
    c.event(1, arrival("a", 1));
    c.action(1, StartAttempt{"a", 1, 0});
    c.action(1, StartAttempt{"a", 1, 0});
    EXPECT_EQ(c.breaches.size(), 1u);
}

TEST_F(Planted, SentToADrainedServer) {
    Endpoint endpoint = reader(1);
    endpoint.status = EndpointStatus::draining;
    c.event(1, EndpointUpdate{EndpointUpdate::Kind::incremental, {endpoint}});
    c.event(300, arrival("a", 300));
    c.action(300, StartAttempt{"a", 1, 0});
    EXPECT_EQ(c.breaches.size(), 1u);
}

TEST_F(Planted, ColdServerFlooded) {
    Endpoint cold = reader(2);
    cold.started_at = 1;
    c.event(2, EndpointUpdate{EndpointUpdate::Kind::incremental, {cold}});
    // 2.5 x 0.3 x 42 a second x 2 s = 63 are allowed.
    for (int i = 0; i < 64; ++i) {
        EXPECT_EQ(c.breaches.size(), 0u);
        const RequestId id = "r" + std::to_string(i);
        c.event(3, arrival(id, 3));
        c.action(3, StartAttempt{id, 2, 0});
    }
    EXPECT_EQ(c.breaches.size(), 1u);
}

TEST_F(Planted, StatePinned) {
    reading();
    c.time(503);
    EXPECT_EQ(c.breaches.size(), 1u);
}

TEST_F(Planted, PlacePinnedAfterRefusal) {
    Settings ahead = s;
    ahead.slot_reservation = true;
    Checker d(ahead);
    d.event(0, list({writer(11)}));
    d.event(1, arrival("a", 1));
    d.action(1, ReserveSlot{"a", 11});
    d.action(1, Reject{"a", 0});
    d.time(502);
    EXPECT_EQ(d.breaches.size(), 1u);
}

// Random but legal: every result, deaths of this gateway, list changes of every form, late and moot outcomes.
void run_random(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto dice = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
    Settings settings = plain_settings();
    settings.hedging = dice(2);
    settings.health_checks = dice(2);
    settings.local_prefill = dice(2);
    settings.slot_reservation = dice(2);
    settings.cancellation = dice(4) > 0;
    settings.stream_migration = dice(2);
    settings.retry_after = dice(2);
    settings.max_retry_after = 500;
    settings.connect_timeout = 100;
    settings.discovery = dice(2) ? Discovery::poll : Discovery::watch;
    settings.poll_interval = 10000;
    settings.tenants = {{5}, {5}};
    for (auto& class_settings : settings.classes) {
        class_settings.idempotency = static_cast<Idempotency>(dice(3));
        class_settings.dedup_scope = static_cast<DedupScope>(dice(3));
        class_settings.dedup_window = 200 + 1000 * dice(4);
    }
    std::vector<Endpoint> entries;
    for (EndpointId i = 0; i < 4; ++i) entries.push_back(reader(1 + i, dice(2)));
    for (EndpointId i = 0; i < 4; ++i) entries.push_back(writer(11 + i, dice(2)));
    for (EndpointId i = 0; i < static_cast<EndpointId>(dice(3)); ++i) {
        entries.push_back(writer(21 + i, dice(2)));
        entries.back().kind = 2;
    }
    struct Out {
        RequestId id;
        int attempt;
        EndpointId server;
        bool begun = false, reads = false;
        Millis sent = 0;
    };
    auto bench = std::make_unique<Bench>(settings, seed);
    Millis now = 0;
    std::vector<Out> outs;
    std::map<RequestId, int> attempts;
    std::map<RequestId, bool> ended;
    std::map<RequestId, Arrival> open;
    int next = 0;
    const auto take = [&](const std::vector<Action>& actions) {
        for (const auto& reject : actions) {
            if (const auto* start = std::get_if<StartAttempt>(&reject)) {
                outs.push_back({start->request, attempts[start->request]++, start->endpoint});
                outs.back().sent = now;
                for (const auto& endpoint : entries) {
                    if (endpoint.id == start->endpoint) outs.back().reads = endpoint.kind == 0;
                }
            } else if (const auto* r = std::get_if<Reject>(&reject)) {
                ended[r->request] = true;
            } else if (const auto* fail = std::get_if<Fail>(&reject)) {
                ended[fail->request] = true;
            } else if (const auto* migrate = std::get_if<MigrateStream>(&reject)) {
                ended[migrate->request] = true;
            }
        }
    };
    const auto feed = [&](const Event& event) { take(bench->feed(now, event)); };
    feed(EndpointUpdate{EndpointUpdate::Kind::cached, entries});
    for (int step = 0; step < 1500; ++step) {
        now += dice(20);
        bench->run_to(now);
        take(bench->actions);
        const int what = dice(100);
        if (what < 40) {
            Arrival a = arrival("r" + std::to_string(next++), now, dice(8000));
            a.cls = dice(2), a.tenant = dice(2);
            a.session = static_cast<std::uint64_t>(dice(20));
            a.shared_prefix = static_cast<std::uint64_t>(dice(4));
            a.deadline = now + dice(6000) + 20;
            a.resumed = dice(10) == 0;
            open[a.request] = a;
            feed(a);
        } else if (what < 92 && !outs.empty()) {
            const auto i = static_cast<std::size_t>(dice(static_cast<int>(outs.size())));
            Out o = outs[i];
            if (!o.reads && !o.begun && !ended[o.id] && dice(2)) {
                outs[i].begun = true;
                ended[o.id] = true;
                feed(FirstToken{o.id, o.attempt, o.server, 1});
                continue;
            }
            outs.erase(outs.begin() + static_cast<std::ptrdiff_t>(i));
            static const AttemptResult kinds[] = {
                AttemptResult::error,       AttemptResult::rejected,     AttemptResult::timed_out,
                AttemptResult::unreachable, AttemptResult::reset,        AttemptResult::cancelled,
                AttemptResult::not_sent,    AttemptResult::prefill_done, AttemptResult::prefill_done};
            AttemptEnded e = outcome(o.id, o.attempt, o.server, kinds[dice(o.reads ? 9 : 7)], ended[o.id]);
            // A host tells within the dial timeout that no connection came up.
            const bool never_up =
                e.result == AttemptResult::unreachable || e.result == AttemptResult::not_sent;
            if (never_up && now > o.sent + settings.connect_timeout) e.result = AttemptResult::reset;
            if (o.begun) e.result = dice(3) ? AttemptResult::served : AttemptResult::reset;
            if (e.result == AttemptResult::rejected) e.detail = dice(2);
            e.report.memory_utilization = dice(3) ? 0.01 * dice(100) : -1;
            if (!o.reads && !o.begun && !ended[o.id] && dice(8) == 0)
                e.result = AttemptResult::served, e.request_closed = true;
            if (e.request_closed) ended[o.id] = true;
            feed(e);
        } else if (what < 95 && next > 0) {
            const RequestId id = "r" + std::to_string(dice(next));
            if (!ended[id] && now < open[id].deadline) ended[id] = true, feed(ClientDisconnected{id});
        } else if (what < 98) {
            EndpointUpdate update;
            update.kind = dice(3) ? EndpointUpdate::Kind::incremental : EndpointUpdate::Kind::full;
            if (dice(6) == 0) update.kind = EndpointUpdate::Kind::failed;
            for (auto& entry : entries) {
                if (dice(5) == 0) entry.status = static_cast<EndpointStatus>(dice(3));
                if (dice(12) == 0) entry.status = EndpointStatus::healthy, entry.started_at = now - dice(500);
                if (update.kind == EndpointUpdate::Kind::failed) continue;
                if (update.kind == EndpointUpdate::Kind::full && entry.status == EndpointStatus::removed)
                    continue;
                update.endpoints.push_back(entry);
            }
            feed(update);
        } else if (dice(10) == 0) {  // the gateway dies and comes back with its last list
            ASSERT_EQ(bench->checker.breaches, std::vector<std::string>{}) << "seed " << seed;
            bench = std::make_unique<Bench>(settings, seed + static_cast<std::uint64_t>(step));
            outs.clear(), attempts.clear(), ended.clear(), open.clear();
            next = 0;
            feed(EndpointUpdate{EndpointUpdate::Kind::cached, entries});
        }
    }
    // Everything out ends; whatever is still open meets its deadline.
    while (!outs.empty()) {
        const Out o = outs.back();
        outs.pop_back();
        now += 1;
        bench->run_to(now);
        take(bench->actions);
        AttemptEnded e = outcome(o.id, o.attempt, o.server, AttemptResult::timed_out, ended[o.id]);
        feed(e);
    }
    now += 20000;
    bench->run_to(now);
    ASSERT_EQ(bench->checker.breaches, std::vector<std::string>{}) << "seed " << seed;
}

TEST(Property, NoRuleBreaksUnderRandomEvents) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        run_random(seed);
        if (::testing::Test::HasFatalFailure()) return;
    }
}

}  // namespace
}  // namespace gorsenotch::test
