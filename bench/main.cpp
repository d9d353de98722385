// Measures the resource use of the gateway, compared with a bare byte relay on loopback; see bench/README.md.
#include <unistd.h>

#include <cstdio>
#include <iostream>

#include "engine.h"
#include "parts.h"
#include "processes.h"

using namespace gorsenotch;

namespace {

// The value after the option `name`; `default_value` if it is not given.
std::string option(int argc, char** argv, const std::string& name, const std::string& default_value) {
    for (int i = 2; i + 1 < argc; ++i) {
        if (argv[i] == name) return argv[i + 1];
    }
    return default_value;
}

}  // namespace

int main(int argc, char** argv) {
    const std::string command = argc > 1 ? argv[1] : "";
    const std::string listen_address = option(argc, argv, "--at", "127.0.0.1:0");
    const auto number = [&](const char* name, const char* default_value) {
        return std::stod(option(argc, argv, name, default_value));
    };
    const auto integer = [&](const char* name, const char* default_value) {
        return static_cast<int>(number(name, default_value));
    };
    char self[4096] = "";
    if (readlink("/proc/self/exe", self, sizeof self - 1) < 0) return 4;
    if (command == "engine") {
        bench::BenchEngine engine(integer("--events", "30"), integer("--pace", "10"));
        if (engine.listener.listen(listen_address, 8192) != 0) return 4;
        std::cout << "ready" << std::endl;
        engine.loop.on_slow_iteration = [](net::Millis length, const net::EventLoop::Activities&) {
            std::fprintf(stderr, "slow_turn %.2f\n", length);
        };
        engine.loop.run();
        return 0;
    }
    if (command == "relay") return bench::run_relay(listen_address, option(argc, argv, "--to", ""));
    if (command == "hog") return bench::run_hog(number("--ms", "10"), number("--every", "200"));
    if (command == "sizes") return bench::run_sizes();
    if (argc < 3) {
        std::fprintf(
            stderr,
            "usage: gorsenotch_bench cost PROGRAM [--rate N] [--seconds N] [--events N] [--rounds N] "
            "[--hog MS]\n"
            "       gorsenotch_bench streams PROGRAM [--streams N]\n"
            "       gorsenotch_bench leak PROGRAM [--requests N] [--rate N]\n"
            "       gorsenotch_bench sizes\n");
        return 2;
    }
    if (command == "cost") {
        bench::CostOptions options;
        options.self = self;
        options.program = argv[2];
        options.requests_per_s = number("--rate", "500");
        options.seconds = number("--seconds", "6");
        options.events_per_stream = integer("--events", "30");
        options.event_interval_ms = integer("--pace", "10");
        options.rounds = integer("--rounds", "5");
        options.hog_ms = number("--hog", "0");
        options.hog_interval_ms = number("--hog-every", "200");
        return bench::run_cost(options);
    }
    if (command == "streams") return bench::run_streams(self, argv[2], integer("--streams", "5000"));
    if (command == "leak")
        return bench::run_leak(self, argv[2], static_cast<long>(number("--requests", "100000")),
                               number("--rate", "1000"));
    return 2;
}
