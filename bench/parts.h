// The commands of gorsenotch_bench; see bench/README.md.
#pragma once

#include <string>

namespace gorsenotch::bench {

struct CostOptions {
    std::string self, program;
    double rate = 500, seconds = 6;
    int events = 30, pace = 10, rounds = 5;
    double hog_ms = 0, hog_every_ms = 200;  // another process takes the gateway's core for so long, so often
};

int run_cost(const CostOptions& options);
int run_relay(const std::string& listen, const std::string& to);
int run_hog(double ms, double every_ms);
int run_streams(const std::string& self, const std::string& program, int streams);
// The cost of an event by the number of servers, simulated.
int run_sizes();
int run_leak(const std::string& self, const std::string& program, long requests, double rate);

}  // namespace gorsenotch::bench
