// The sub-commands of gorsenotch_bench; see bench/README.md. Each returns the exit code.
#pragma once

#include <string>

namespace gorsenotch::bench {

// Options of the `cost` sub-command.
struct CostOptions {
    std::string self;     // path of gorsenotch_bench
    std::string program;  // path of gorsenotch
    double requests_per_s = 500;
    double seconds = 6;  // of each round
    int events_per_stream = 30;
    int event_interval_ms = 10;
    int rounds = 5;
    // Another process occupies the gateway's core for `hog_ms` in every `hog_interval_ms`; 0: none.
    double hog_ms = 0, hog_interval_ms = 200;
};

// CPU per event and time to first token of the gateway, compared with a bare relay.
int run_cost(const CostOptions& options);
// The relay: forwards bytes between connections to `listen` and `upstream`.
int run_relay(const std::string& listen, const std::string& upstream);
// Occupies core 0 for `busy_ms` in every `interval_ms`.
int run_hog(double busy_ms, double interval_ms);
// Resident memory of the gateway with many concurrent streams.
int run_streams(const std::string& self, const std::string& program, int streams);
// CPU time of the decision module by the number of servers, in simulation.
int run_sizes();
// Resident memory of the gateway over many requests.
int run_leak(const std::string& self, const std::string& program, long requests, double requests_per_s);

}  // namespace gorsenotch::bench
