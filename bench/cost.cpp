// CPU an event and time to the first token, gateway against relay, in alternating rounds of one run, with
// what the machine did to each meanwhile: how long the main thread of each process waited for a core
// (schedstat).

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>

#include "load.h"
#include "net/timer.h"
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
    bool disturbed(const Taken& taken) const {
        auto it = std::lower_bound(spans_.begin(), spans_.end(), taken.at,
                                   [](const Span& span, Millis at) { return span.to < at; });
        return it != spans_.end() && it->from <= taken.at + taken.first;
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
            const double waited = sched_of(pids_[i]).waited;
            worst = std::max(worst, waited - last_[i]);
            last_[i] = waited;
        }
        longest_ = std::max(longest_, worst);
        // A wait is counted when it has ended: it lay before this sample, perhaps before the last one.
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

double quantile(std::vector<Millis> times, double fraction) {
    if (times.empty()) return 0;
    std::sort(times.begin(), times.end());
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(times.size()));
    return times[std::min(times.size() - 1, rank)];
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

Millis longest_burst(std::vector<Taken> times) {
    std::sort(times.begin(), times.end(), [](const Taken& a, const Taken& b) { return a.at < b.at; });
    std::vector<Millis> all;
    all.reserve(times.size());
    for (const auto& x : times) all.push_back(x.first);
    const Millis slow = quantile(all, 0.5) + kSlow;
    Millis began = -1;
    Millis longest = 0;
    for (const auto& x : times) {
        if (x.first <= slow) {
            began = -1;
            continue;
        }
        if (began < 0) began = x.at;
        longest = std::max(longest, x.at - began + x.first);
    }
    return longest;
}

Round play(net::EventLoop& loop, const Process& process, const Process& engine, Load& load,
           const CostOptions& options) {
    load.run(options.rate, 1);
    load.times.clear();
    load.events = load.done = load.begun = load.failed = 0;
    Watch watch(loop, {process.pid, engine.pid, getpid()});
    const double before = sched_of(process.pid).ran;
    load.run(options.rate, options.seconds);
    Round round;
    round.cpu = sched_of(process.pid).ran - before;
    round.waited = watch.waited();
    round.longest_wait = watch.longest();
    round.events = static_cast<double>(load.events);
    round.failed = load.failed;
    for (const auto& taken : load.times) {
        round.all.push_back(taken.first);
        if (!watch.disturbed(taken)) round.calm.push_back(taken.first);
    }
    round.longest_burst = longest_burst(load.times);
    return round;
}

// The median over the rounds, with the least and the most.
void line(const char* what, const std::vector<Round> (&rounds)[2],
          const std::function<double(const Round&)>& value) {
    double median[2];
    std::printf("%-44s", what);
    for (int side = 0; side < 2; ++side) {
        std::vector<Millis> values;
        for (const auto& round : rounds[side]) values.push_back(value(round));
        std::sort(values.begin(), values.end());
        median[side] = values[values.size() / 2];
        std::printf("  %8.2f (%6.2f to %7.2f)", median[side], values.front(), values.back());
    }
    std::printf("  %+8.2f\n", median[1] - median[0]);
}

// Turns of an event loop over 5 ms.
struct LongTurns {
    long count = 0;
    Millis longest = 0;
};

// `rounds`: of the relay, of the gateway.
void print_rounds(const std::vector<Round> (&rounds)[2]) {
    std::printf("\n%-44s  %-28s  %-28s  %8s\n", "median of the rounds (least to most)", "relay", "gateway",
                "added");
    for (const double fraction : {0.5, 0.99, 0.999}) {
        char name[64];
        std::snprintf(name, sizeof name, "first token p%g, all, ms", fraction * 100);
        line(name, rounds, [fraction](const Round& round) { return quantile(round.all, fraction); });
    }
    for (const double fraction : {0.5, 0.99, 0.999}) {
        char name[64];
        std::snprintf(name, sizeof name, "first token p%g, nobody waited for a core", fraction * 100);
        line(name, rounds, [fraction](const Round& round) { return quantile(round.calm, fraction); });
    }
    line("left out of these, %", rounds, [](const Round& round) { return 100 * round.left_out(); });
    line("longest burst of slow first tokens, ms", rounds,
         [](const Round& round) { return round.longest_burst; });
    const char* who[] = {"it", "the engine", "the load"};
    for (std::size_t i = 0; i < 3; ++i) {
        char name[64];
        std::snprintf(name, sizeof name, "waited for a core, %s, ms a second", who[i]);
        line(name, rounds, [i](const Round& round) { return round.waited[i]; });
    }
    line("CPU an event, us", rounds,
         [](const Round& round) { return 1000 * round.cpu / std::max(1.0, round.events); });
    std::vector<double> ratio;
    for (std::size_t i = 0; i < rounds[0].size(); ++i)
        ratio.push_back(rounds[1][i].cpu / rounds[1][i].events / (rounds[0][i].cpu / rounds[0][i].events));
    std::sort(ratio.begin(), ratio.end());
    std::printf("CPU an event, gateway over relay: %.2f (%.2f to %.2f)\n", ratio[ratio.size() / 2],
                ratio.front(), ratio.back());
}

// The other loops' long turns: the engines', from their logs, and this process's own.
void print_other_long_turns(const std::string& folder, const LongTurns& own) {
    long turns = 0;
    double longest = 0;
    double length = 0;
    for (const char* name : {"/reader.log", "/writer.log"}) {
        std::ifstream in(folder + name);
        for (std::string word; in >> word >> length;) {
            ++turns;
            longest = std::max(longest, length);
        }
    }
    std::printf(
        "turns of over 5 ms: the engines' loops %ld, longest %.1f ms; the load's %ld, longest %.1f ms\n",
        turns, longest, own.count, own.longest);
}

void print_gateway_long_turns(const std::string& folder) {
    std::printf("turns of the gateway's loop over 5 ms, by its own log (at most one line a second):\n");
    std::ifstream log(folder + "/gateway.log");
    int lines = 0;
    for (std::string text; std::getline(log, text) && lines < 20;) {
        if (text.find("slow_turn") == std::string::npos && text.find("stalled") == std::string::npos)
            continue;
        std::printf("  %s\n", text.c_str());
        ++lines;
    }
    if (lines == 0) std::printf("  none\n");
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

int run_cost(const CostOptions& options) {
    net::EventLoop loop;
    pin(2);
    Setup setup(loop, options.self, options.program, options.events, options.pace);
    if (setup.gateway->ready.empty()) {
        std::fprintf(stderr, "the gateway did not start\n");
        return 4;
    }
    LongTurns own;
    std::unique_ptr<Process> hog;
    if (options.hog_ms > 0) {
        hog = std::make_unique<Process>(
            std::vector<std::string>{options.self, "hog", "--ms", std::to_string(options.hog_ms), "--every",
                                     std::to_string(options.hog_every_ms)},
            0);
        // As the scheduler treats the one it pushes aside: at once, like an interrupt or a neighbour.
        const sched_param fifo{1};
        if (sched_setscheduler(hog->pid, SCHED_FIFO, &fifo) != 0)
            std::printf("the disturbance shares the core fairly: no real-time priority here\n");
    }
    Load loads[2] = {{loop, setup.relay, request("/v1/chat/completions"), "\"content\":"},
                     {loop, setup.gate, request("/v1/messages"), "text_delta"}};
    std::vector<Round> rounds[2];
    loop.on_slow_iteration = [&](Millis took, const net::EventLoop::Activities&) {
        ++own.count;
        own.longest = std::max(own.longest, took);
    };
    // Alternating, so that what else the machine does falls on both.
    for (int i = 0; i < options.rounds; ++i) {
        for (int side = 0; side < 2; ++side) {
            rounds[side].push_back(play(loop, side ? *setup.gateway : *setup.relay_process,
                                        *setup.write_engine, loads[side], options));
            const Round& round = rounds[side].back();
            std::printf(
                "round %d %-8s %zu requests, %ld failed, first token p50 %.2f p99 %.2f p99.9 %.2f, calm p99 "
                "%.2f, left out %.1f%%, longest wait for a core %.1f ms\n",
                i + 1, side ? "gateway" : "relay", round.all.size(), round.failed, quantile(round.all, 0.5),
                quantile(round.all, 0.99), quantile(round.all, 0.999), quantile(round.calm, 0.99),
                100 * round.left_out(), round.longest_wait);
            std::fflush(stdout);
        }
    }
    print_rounds(rounds);
    print_other_long_turns(setup.folder, own);
    print_gateway_long_turns(setup.folder);
    return 0;
}

}  // namespace gorsenotch::bench
