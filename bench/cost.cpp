// CPU per event and time to first token of the gateway and of the relay, in alternating rounds of one run.
// Scheduler delay (the time that the main thread of each process waited for a core, from schedstat) is
// reported too, to tell disturbances by the machine from the latency of the gateway.

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

// A longer wait for a core in any process on the path of a request counts as a disturbance.
constexpr Millis kMaxUndisturbedWait = 0.2;
constexpr Millis kSlowFirstTokenExcess = 2;  // over the median

// Records when the main threads of some processes waited for a core, sampled every 2 ms.
class SchedulerDelayMonitor {
public:
    SchedulerDelayMonitor(net::EventLoop& loop, std::vector<int> pids)
        : pids_(std::move(pids)), last_waits_(pids_.size()), timer_(loop, [this] { sample(); }) {
        for (std::size_t i = 0; i < pids_.size(); ++i)
            last_waits_[i] = read_scheduler_times(pids_[i]).wait_ms;
        initial_waits_ = last_waits_;
        began_at_ = previous_sample_at_ = net::now();
        timer_.fire_after(2);
    }
    // Whether one of the processes waited for a core between the request and its first token.
    bool is_disturbed(const RequestTiming& timing) const {
        auto it = std::lower_bound(waits_.begin(), waits_.end(), timing.sent_at,
                                   [](const WaitSpan& span, Millis at) { return span.to < at; });
        return it != waits_.end() && it->from <= timing.sent_at + timing.first_token_latency;
    }
    // The time that each process waited for a core, in ms per second.
    std::vector<double> wait_rates() {
        sample();
        std::vector<double> rates;
        for (std::size_t i = 0; i < pids_.size(); ++i)
            rates.push_back((last_waits_[i] - initial_waits_[i]) / std::max(1.0, net::now() - began_at_) *
                            1000);
        return rates;
    }
    Millis longest_wait() const { return longest_wait_; }

private:
    struct WaitSpan {
        Millis from, to;
    };
    void sample() {
        const Millis now = net::now();
        Millis worst = 0;
        for (std::size_t i = 0; i < pids_.size(); ++i) {
            const double waited = read_scheduler_times(pids_[i]).wait_ms;
            worst = std::max(worst, waited - last_waits_[i]);
            last_waits_[i] = waited;
        }
        longest_wait_ = std::max(longest_wait_, worst);
        // schedstat counts a wait when it has ended: it may have begun before the previous sample.
        if (worst > kMaxUndisturbedWait) waits_.push_back({previous_sample_at_ - worst, now});
        previous_sample_at_ = now;
        timer_.fire_after(2);
    }
    std::vector<int> pids_;
    std::vector<double> last_waits_, initial_waits_;
    Millis began_at_ = 0, previous_sample_at_ = 0, longest_wait_ = 0;
    std::vector<WaitSpan> waits_;
    net::Timer timer_;
};

double quantile(std::vector<Millis> times, double fraction) {
    if (times.empty()) return 0;
    std::sort(times.begin(), times.end());
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(times.size()));
    return times[std::min(times.size() - 1, rank)];
}

// The results of one round against the relay or the gateway.
struct RoundResult {
    // Times to first token: of all requests, and of those during which no process waited for a core.
    std::vector<Millis> all, undisturbed;
    double cpu_ms = 0, events = 0;
    long failed = 0;
    std::vector<double> wait_rates;  // ms per second: measured process, engine, load generator
    Millis longest_wait = 0;         // for a core
    Millis longest_burst = 0;        // see find_longest_burst
    double excluded_fraction() const {
        return all.empty() ? 0
                           : 1 - static_cast<double>(undisturbed.size()) / static_cast<double>(all.size());
    }
};

// The longest time from the sending of the first to the first token of the last of consecutive requests with
// a slow first token.
Millis find_longest_burst(std::vector<RequestTiming> timings) {
    std::sort(timings.begin(), timings.end(), [](const RequestTiming& left, const RequestTiming& right) {
        return left.sent_at < right.sent_at;
    });
    std::vector<Millis> all;
    all.reserve(timings.size());
    for (const auto& timing : timings) all.push_back(timing.first_token_latency);
    const Millis slow_threshold = quantile(all, 0.5) + kSlowFirstTokenExcess;
    Millis burst_began = -1;
    Millis longest = 0;
    for (const auto& timing : timings) {
        if (timing.first_token_latency <= slow_threshold) {
            burst_began = -1;
            continue;
        }
        if (burst_began < 0) burst_began = timing.sent_at;
        longest = std::max(longest, timing.sent_at - burst_began + timing.first_token_latency);
    }
    return longest;
}

// Runs the load for one second as a warm-up, then for the measured time.
RoundResult run_round(net::EventLoop& loop, const Process& process, const Process& engine,
                      LoadGenerator& load, const CostOptions& options) {
    load.run(options.requests_per_s, 1);
    load.timings.clear();
    load.events = load.completed = load.started = load.failed = 0;
    SchedulerDelayMonitor monitor(loop, {process.pid, engine.pid, getpid()});
    const double run_ms_before = read_scheduler_times(process.pid).run_ms;
    load.run(options.requests_per_s, options.seconds);
    RoundResult round;
    round.cpu_ms = read_scheduler_times(process.pid).run_ms - run_ms_before;
    round.wait_rates = monitor.wait_rates();
    round.longest_wait = monitor.longest_wait();
    round.events = static_cast<double>(load.events);
    round.failed = load.failed;
    for (const auto& timing : load.timings) {
        round.all.push_back(timing.first_token_latency);
        if (!monitor.is_disturbed(timing)) round.undisturbed.push_back(timing.first_token_latency);
    }
    round.longest_burst = find_longest_burst(load.timings);
    return round;
}

// Prints the median over the rounds with minimum and maximum, for relay and gateway, and the difference.
void print_row(const char* label, const std::vector<RoundResult> (&rounds)[2],
               const std::function<double(const RoundResult&)>& value) {
    double median[2];
    std::printf("%-44s", label);
    for (int side = 0; side < 2; ++side) {
        std::vector<Millis> values;
        for (const auto& round : rounds[side]) values.push_back(value(round));
        std::sort(values.begin(), values.end());
        median[side] = values[values.size() / 2];
        std::printf("  %8.2f (%6.2f to %7.2f)", median[side], values.front(), values.back());
    }
    std::printf("  %+8.2f\n", median[1] - median[0]);
}

// Event loop iterations of over 5 ms.
struct SlowTurns {
    long count = 0;
    Millis longest = 0;
};

// `rounds`: those of the relay, then those of the gateway.
void print_rounds(const std::vector<RoundResult> (&rounds)[2]) {
    std::printf("\n%-44s  %-28s  %-28s  %8s\n", "median of the rounds (least to most)", "relay", "gateway",
                "added");
    for (const double fraction : {0.5, 0.99, 0.999}) {
        char name[64];
        std::snprintf(name, sizeof name, "first token p%g, all, ms", fraction * 100);
        print_row(name, rounds,
                  [fraction](const RoundResult& round) { return quantile(round.all, fraction); });
    }
    for (const double fraction : {0.5, 0.99, 0.999}) {
        char name[64];
        std::snprintf(name, sizeof name, "first token p%g, nobody waited for a core", fraction * 100);
        print_row(name, rounds,
                  [fraction](const RoundResult& round) { return quantile(round.undisturbed, fraction); });
    }
    print_row("left out of these, %", rounds,
              [](const RoundResult& round) { return 100 * round.excluded_fraction(); });
    print_row("longest burst of slow first tokens, ms", rounds,
              [](const RoundResult& round) { return round.longest_burst; });
    const char* processes[] = {"it", "the engine", "the load"};
    for (std::size_t i = 0; i < 3; ++i) {
        char name[64];
        std::snprintf(name, sizeof name, "waited for a core, %s, ms a second", processes[i]);
        print_row(name, rounds, [i](const RoundResult& round) { return round.wait_rates[i]; });
    }
    print_row("CPU an event, us", rounds,
              [](const RoundResult& round) { return 1000 * round.cpu_ms / std::max(1.0, round.events); });
    std::vector<double> ratios;
    for (std::size_t i = 0; i < rounds[0].size(); ++i)
        ratios.push_back(rounds[1][i].cpu_ms / rounds[1][i].events /
                         (rounds[0][i].cpu_ms / rounds[0][i].events));
    std::sort(ratios.begin(), ratios.end());
    std::printf("CPU an event, gateway over relay: %.2f (%.2f to %.2f)\n", ratios[ratios.size() / 2],
                ratios.front(), ratios.back());
}

// Prints the slow loop iterations of the engines, from their logs, and of this process.
void print_other_slow_turns(const std::string& folder, const SlowTurns& own) {
    long turns = 0;
    double longest = 0;
    double duration_ms = 0;
    for (const char* name : {"/reader.log", "/writer.log"}) {
        std::ifstream in(folder + name);
        for (std::string word; in >> word >> duration_ms;) {
            ++turns;
            longest = std::max(longest, duration_ms);
        }
    }
    std::printf(
        "turns of over 5 ms: the engines' loops %ld, longest %.1f ms; the load's %ld, longest %.1f ms\n",
        turns, longest, own.count, own.longest);
}

// Prints the slow loop iterations that the gateway has logged, at most 20.
void print_gateway_slow_turns(const std::string& folder) {
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

int run_hog(double busy_ms, double interval_ms) {
    pin_to_core(0);
    std::printf("ready\n");
    std::fflush(stdout);
    for (int i = 0; i < 100000; ++i) {
        const double busy_until = net::now() + busy_ms;
        while (net::now() < busy_until) {
        }
        const timespec rest{0, static_cast<long>((interval_ms - busy_ms) * 1e6)};
        nanosleep(&rest, nullptr);
    }
    return 0;
}

int run_cost(const CostOptions& options) {
    net::EventLoop loop;
    pin_to_core(2);
    Setup setup(loop, options.self, options.program, options.events_per_stream, options.event_interval_ms);
    if (setup.gateway->ready_line.empty()) {
        std::fprintf(stderr, "the gateway did not start\n");
        return 4;
    }
    SlowTurns own_slow_turns;
    std::unique_ptr<Process> hog;
    if (options.hog_ms > 0) {
        hog = std::make_unique<Process>(
            std::vector<std::string>{options.self, "hog", "--ms", std::to_string(options.hog_ms), "--every",
                                     std::to_string(options.hog_interval_ms)},
            0);
        // With real-time priority it preempts the gateway at once, as an interrupt or another virtual machine
        // would.
        const sched_param fifo{1};
        if (sched_setscheduler(hog->pid, SCHED_FIFO, &fifo) != 0)
            std::printf(
                "cannot set real-time priority for the hog process: it shares the core with the gateway "
                "fairly\n");
    }
    LoadGenerator loads[2] = {
        {loop, setup.relay_address, render_request("/v1/chat/completions"), "\"content\":"},
        {loop, setup.gateway_address, render_request("/v1/messages"), "text_delta"}};
    std::vector<RoundResult> rounds[2];
    loop.on_slow_iteration = [&](Millis took, const net::EventLoop::Activities&) {
        ++own_slow_turns.count;
        own_slow_turns.longest = std::max(own_slow_turns.longest, took);
    };
    // The rounds alternate so that other load on the machine affects both alike.
    for (int i = 0; i < options.rounds; ++i) {
        for (int side = 0; side < 2; ++side) {
            rounds[side].push_back(run_round(loop, side ? *setup.gateway : *setup.relay, *setup.decode_engine,
                                             loads[side], options));
            const RoundResult& round = rounds[side].back();
            std::printf(
                "round %d %-8s %zu requests, %ld failed, first token p50 %.2f p99 %.2f p99.9 %.2f, calm p99 "
                "%.2f, left out %.1f%%, longest wait for a core %.1f ms\n",
                i + 1, side ? "gateway" : "relay", round.all.size(), round.failed, quantile(round.all, 0.5),
                quantile(round.all, 0.99), quantile(round.all, 0.999), quantile(round.undisturbed, 0.99),
                100 * round.excluded_fraction(), round.longest_wait);
            std::fflush(stdout);
        }
    }
    print_rounds(rounds);
    print_other_slow_turns(setup.folder, own_slow_turns);
    print_gateway_slow_turns(setup.folder);
    return 0;
}

}  // namespace gorsenotch::bench
