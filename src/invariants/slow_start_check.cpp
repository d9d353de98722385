// Invariant 4: all gateways together send no more work to an engine in slow start than its capacity allows.
#include <algorithm>

#include "invariants/checks.h"

namespace gorsenotch::invariants {
namespace {

// The weight of an attempt in engine-seconds: the mean work done for its operation and class at all engines;
// if none was recorded, the work that the engine estimated for this request.
class WorkWeights {
public:
    explicit WorkWeights(const RecordIndex& index) {
        for (const LeasedState& state : index.leased_states()) {
            const EngineAttempt* attempt = index.attempt(state.id);
            if (!attempt || !state.record->fields.contains("did")) continue;
            Work& work = done_[operation_of(*attempt->received)];
            work.sum += state.record->number("did");
            ++work.count;
        }
    }
    double weight(const Record& received) const {
        const auto it = done_.find(operation_of(received));
        if (it == done_.end()) return received.number("work");
        return it->second.sum / static_cast<double>(it->second.count);
    }

private:
    struct Work {
        double sum = 0;
        long count = 0;
    };
    static std::string operation_of(const Record& received) {
        return received.text("op") + "/" + received.text("cls");
    }
    std::map<std::string, Work> done_;
};

using Attempts = std::vector<const Record*>;  // to one server, by time

std::map<long, Attempts> attempts_by_server(const RecordIndex& index) {
    std::map<long, Attempts> by_server;
    for (const auto& [request, attempts] : index.attempts()) {
        for (const EngineAttempt& attempt : attempts) by_server[attempt.server].push_back(attempt.received);
    }
    for (auto& [server, records] : by_server) {
        std::sort(records.begin(), records.end(),
                  [](const Record* left, const Record* right) { return left->t < right->t; });
    }
    return by_server;
}

struct WindowLoad {
    double sum = 0;
    double largest = 0;
};

// The work sent in the window that ends with the attempt at `last`.
WindowLoad window_load(const Attempts& attempts, std::size_t last, Millis window,
                       const WorkWeights& weights) {
    WindowLoad load;
    for (std::size_t i = last + 1; i-- > 0 && attempts[i]->t > attempts[last]->t - window;) {
        const double weight = weights.weight(*attempts[i]);
        load.sum += weight;
        load.largest = std::max(load.largest, weight);
    }
    return load;
}

bool is_cold_start(const Record& start) {
    const auto it = start.fields.find("cold");
    return it != start.fields.end() && *it == true && start.number("warm") > 0;
}

// Adds at most one violation per start.
void check_start(const RecordIndex& index, long server, const Record& start, const Attempts& attempts,
                 const WorkWeights& weights, Finding& finding) {
    const CheckerSettings& settings = index.settings();
    const Millis warm = start.number("warm");
    const double initial_capacity = start.number("start", 1);
    for (std::size_t i = 0; i < attempts.size(); ++i) {
        const Millis age = attempts[i]->t - start.t;
        if (age < 0 || age > warm) continue;
        const WindowLoad load = window_load(attempts, i, settings.overload_window, weights);
        const double capacity =
            (initial_capacity + (1 - initial_capacity) * age / warm) * settings.overload_window / 1000;
        if (load.sum <= std::max(settings.overload_factor * capacity, load.largest)) continue;
        add_violation(finding, "server " + std::to_string(server) + " at age " + std::to_string(age) +
                                   " ms was sent " + std::to_string(load.sum) + " s of work, capacity " +
                                   std::to_string(capacity) + " s, " + record_location(attempts[i]));
        return;
    }
}

}  // namespace

Finding check_slow_start(const RecordIndex& index) {
    Finding finding =
        make_finding("4 no cold engine pushed over", "work sent by all gateways is within its capacity");
    const WorkWeights weights(index);
    auto attempts = attempts_by_server(index);
    for (const auto& [server, starts] : index.starts()) {
        for (const Record* start : starts) {
            if (!is_cold_start(*start)) continue;
            ++finding.cases;
            check_start(index, server, *start, attempts[server], weights, finding);
        }
    }
    return finding;
}

}  // namespace gorsenotch::invariants
