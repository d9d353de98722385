// CPU an event and time to the first token, gateway against relay, in alternating rounds of one run, with
// what the machine did to each meanwhile: how long the main thread of each process waited for a core
// (schedstat).
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>

#include "load.h"
#include "parts.h"
#include "setup.h"

namespace gorsenotch::bench {
namespace {

constexpr Millis kDisturbed = 0.2;  // a wait for a core that counts, in any process on a request's way
constexpr Millis kSlow = 2;         // over the median: a slow first token

// The waits of some processes over time, sampled every other millisecond.
class Watch {
public:
    Watch(net::EventLoop& loop, std::vector<int> pids)
        : pids_(std::move(pids)), last_(pids_.size()), timer_(loop, [this] { sample(); }) {
        for (std::size_t i = 0; i < pids_.size(); ++i) last_[i] = sched_of(pids_[i]).waited;
        from_ = last_;
        began_ = previous_ = net::now();
        timer_.fire_after(2);
    }
    // Whether one of them waited while a request that began at `at` waited for its first token.
    bool disturbed(const Taken& t) const {
        auto it = std::lower_bound(spans_.begin(), spans_.end(), t.at,
                                   [](const Span& s, Millis at) { return s.to < at; });
        return it != spans_.end() && it->from <= t.at + t.first;
    }
    // Of each process, in ms a second.
    std::vector<double> waited() {
        sample();
        std::vector<double> rates;
        for (std::size_t i = 0; i < pids_.size(); ++i)
            rates.push_back((last_[i] - from_[i]) / std::max(1.0, net::now() - began_) * 1000);
        return rates;
    }
    Millis longest() const { return longest_; }

private:
    struct Span {
        Millis from, to;
    };
    void sample() {
        const Millis now = net::now();
        Millis worst = 0;
        for (std::size_t i = 0; i < pids_.size(); ++i) {
            const double w = sched_of(pids_[i]).waited;
            worst = std::max(worst, w - last_[i]);
            last_[i] = w;
        }
        longest_ = std::max(longest_, worst);
        // The wait is told when it has ended: it lay before this sample, perhaps before the last one.
        if (worst > kDisturbed) spans_.push_back({previous_ - worst, now});
        previous_ = now;
        timer_.fire_after(2);
    }
    std::vector<int> pids_;
    std::vector<double> last_, from_;
    Millis began_ = 0, previous_ = 0, longest_ = 0;
    std::vector<Span> spans_;
    net::Timer timer_;
};

double quantile(std::vector<Millis> t, double q) {
    if (t.empty()) return 0;
    std::sort(t.begin(), t.end());
    return t[std::min(t.size() - 1, static_cast<std::size_t>(q * static_cast<double>(t.size())))];
}

struct Round {
    std::vector<Millis> all, calm;  // first tokens, ms
    double cpu = 0, events = 0;
    long failed = 0;
    std::vector<double> waited;  // ms a second: the process, the engine, the load
    Millis longest_wait = 0;
    Millis longest_burst =
        0;  // from the first to the last of consecutive slow first tokens, by when they were due
    double left_out() const {
        return all.empty() ? 0 : 1 - static_cast<double>(calm.size()) / static_cast<double>(all.size());
    }
};

Millis longest_burst(std::vector<Taken> t) {
    std::sort(t.begin(), t.end(), [](const Taken& a, const Taken& b) { return a.at < b.at; });
    std::vector<Millis> all;
    for (const auto& x : t) all.push_back(x.first);
    const Millis slow = quantile(all, 0.5) + kSlow;
    Millis began = -1, longest = 0;
    for (const auto& x : t) {
        if (x.first <= slow) {
            began = -1;
            continue;
        }
        if (began < 0) began = x.at;
        longest = std::max(longest, x.at - began + x.first);
    }
    return longest;
}

Round play(net::EventLoop& loop, const Process& p, const Process& engine, Load& load, const CostOptions& o) {
    load.run(o.rate, 1);
    load.times.clear();
    load.events = load.done = load.begun = load.failed = 0;
    Watch watch(loop, {p.pid, engine.pid, getpid()});
    const double before = sched_of(p.pid).ran;
    load.run(o.rate, o.seconds);
    Round r;
    r.cpu = sched_of(p.pid).ran - before;
    r.waited = watch.waited(), r.longest_wait = watch.longest();
    r.events = static_cast<double>(load.events), r.failed = load.failed;
    for (const auto& t : load.times) {
        r.all.push_back(t.first);
        if (!watch.disturbed(t)) r.calm.push_back(t.first);
    }
    r.longest_burst = longest_burst(load.times);
    return r;
}

// The median over the rounds, with the least and the most.
void line(const char* what, const std::vector<Round> (&rounds)[2],
          const std::function<double(const Round&)>& of) {
    double median[2];
    std::printf("%-44s", what);
    for (int w = 0; w < 2; ++w) {
        std::vector<Millis> v;
        for (const auto& r : rounds[w]) v.push_back(of(r));
        std::sort(v.begin(), v.end());
        median[w] = v[v.size() / 2];
        std::printf("  %8.2f (%6.2f to %7.2f)", median[w], v.front(), v.back());
    }
    std::printf("  %+8.2f\n", median[1] - median[0]);
}

}  // namespace

int run_hog(double ms, double every_ms) {
    pin(0);
    std::printf("ready\n");
    std::fflush(stdout);
    for (int i = 0; i < 100000; ++i) {
        const double until = net::now() + ms;
        while (net::now() < until) {
        }
        const timespec rest{0, static_cast<long>((every_ms - ms) * 1e6)};
        nanosleep(&rest, nullptr);
    }
    return 0;
}

int run_cost(const CostOptions& o) {
    net::EventLoop loop;
    pin(2);
    Setup setup(loop, o.self, o.program, o.events, o.pace);
    if (setup.gateway->ready.empty()) return std::fprintf(stderr, "the gateway did not start\n"), 4;
    long own_turns = 0;
    double own_longest = 0;
    std::unique_ptr<Process> hog;
    if (o.hog_ms > 0) {
        hog = std::make_unique<Process>(
            std::vector<std::string>{o.self, "hog", "--ms", std::to_string(o.hog_ms), "--every",
                                     std::to_string(o.hog_every_ms)},
            0);
        // As the scheduler treats the one it pushes aside: at once, like an interrupt or a neighbour.
        const sched_param fifo{1};
        if (sched_setscheduler(hog->pid, SCHED_FIFO, &fifo) != 0)
            std::printf("the disturbance shares the core fairly: no real-time priority here\n");
    }
    Load loads[2] = {{loop, setup.relay, request("/v1/chat/completions"), "\"content\":"},
                     {loop, setup.gate, request("/v1/messages"), "text_delta"}};
    std::vector<Round> rounds[2];
    loop.on_slow_turn = [&](Millis took, const net::EventLoop::Activities&) {
        ++own_turns, own_longest = std::max(own_longest, took);
    };
    // Alternating, so that what else the machine does falls on both.
    for (int i = 0; i < o.rounds; ++i) {
        for (int w = 0; w < 2; ++w) {
            rounds[w].push_back(
                play(loop, w ? *setup.gateway : *setup.relay_process, *setup.write_engine, loads[w], o));
            const Round& r = rounds[w].back();
            std::printf(
                "round %d %-8s %zu requests, %ld failed, first token p50 %.2f p99 %.2f p99.9 %.2f, calm p99 "
                "%.2f, left out %.1f%%, longest wait for a core %.1f ms\n",
                i + 1, w ? "gateway" : "relay", r.all.size(), r.failed, quantile(r.all, 0.5),
                quantile(r.all, 0.99), quantile(r.all, 0.999), quantile(r.calm, 0.99), 100 * r.left_out(),
                r.longest_wait);
            std::fflush(stdout);
        }
    }
    std::printf("\n%-44s  %-28s  %-28s  %8s\n", "median of the rounds (least to most)", "relay", "gateway",
                "added");
    for (const double q : {0.5, 0.99, 0.999}) {
        char name[64];
        std::snprintf(name, sizeof name, "first token p%g, all, ms", q * 100);
        line(name, rounds, [q](const Round& r) { return quantile(r.all, q); });
    }
    for (const double q : {0.5, 0.99, 0.999}) {
        char name[64];
        std::snprintf(name, sizeof name, "first token p%g, nobody waited for a core", q * 100);
        line(name, rounds, [q](const Round& r) { return quantile(r.calm, q); });
    }
    line("left out of these, %", rounds, [](const Round& r) { return 100 * r.left_out(); });
    line("longest burst of slow first tokens, ms", rounds, [](const Round& r) { return r.longest_burst; });
    const char* who[] = {"it", "the engine", "the load"};
    for (std::size_t k = 0; k < 3; ++k) {
        char name[64];
        std::snprintf(name, sizeof name, "waited for a core, %s, ms a second", who[k]);
        line(name, rounds, [k](const Round& r) { return r.waited[k]; });
    }
    line("CPU an event, us", rounds, [](const Round& r) { return 1000 * r.cpu / std::max(1.0, r.events); });
    std::vector<double> ratio;
    for (std::size_t i = 0; i < rounds[0].size(); ++i)
        ratio.push_back(rounds[1][i].cpu / rounds[1][i].events / (rounds[0][i].cpu / rounds[0][i].events));
    std::sort(ratio.begin(), ratio.end());
    std::printf("CPU an event, gateway over relay: %.2f (%.2f to %.2f)\n", ratio[ratio.size() / 2],
                ratio.front(), ratio.back());
    // The other loops' long turns: the engine's and this one's.
    long turns = 0;
    double longest = 0, length = 0;
    for (const char* name : {"/reader.log", "/writer.log"}) {
        std::ifstream in(setup.folder + name);
        for (std::string word; in >> word >> length;) ++turns, longest = std::max(longest, length);
    }
    std::printf(
        "turns of over 5 ms: the engines' loops %ld, longest %.1f ms; the load's %ld, longest %.1f ms\n",
        turns, longest, own_turns, own_longest);
    std::printf("turns of the gateway's loop over 5 ms, by its own log (at most one line a second):\n");
    std::ifstream log(setup.folder + "/gateway.log");
    int lines = 0;
    for (std::string text; std::getline(log, text) && lines < 20;) {
        if (text.find("slow_turn") == std::string::npos && text.find("stalled") == std::string::npos)
            continue;
        std::printf("  %s\n", text.c_str());
        ++lines;
    }
    if (lines == 0) std::printf("  none\n");
    return 0;
}

}  // namespace gorsenotch::bench
