// What the gateway costs against a bare byte relay, both in one run on loopback; see bench/README.md.
#include <unistd.h>

#include <cstdio>
#include <iostream>

#include "engine.h"
#include "parts.h"
#include "processes.h"

using namespace gorsenotch;

namespace {

std::string option(int argc, char** argv, const std::string& name, const std::string& absent) {
    for (int i = 2; i + 1 < argc; ++i) {
        if (argv[i] == name) return argv[i + 1];
    }
    return absent;
}

}  // namespace

int main(int argc, char** argv) {
    const std::string what = argc > 1 ? argv[1] : "";
    const std::string at = option(argc, argv, "--at", "127.0.0.1:0");
    const auto number = [&](const char* name, const char* absent) {
        return std::stod(option(argc, argv, name, absent));
    };
    const auto whole = [&](const char* name, const char* absent) {
        return static_cast<int>(number(name, absent));
    };
    char self[4096] = "";
    if (readlink("/proc/self/exe", self, sizeof self - 1) < 0) return 4;
    if (what == "engine") {
        bench::BenchEngine e(whole("--events", "30"), whole("--pace", "10"));
        if (e.listener.listen(at, 8192) != 0) return 4;
        std::cout << "ready" << std::endl;
        e.loop.on_slow_turn = [](net::Millis length, const net::EventLoop::Activities&) {
            std::fprintf(stderr, "slow_turn %.2f\n", length);
        };
        e.loop.run();
        return 0;
    }
    if (what == "relay") return bench::run_relay(at, option(argc, argv, "--to", ""));
    if (what == "hog") return bench::run_hog(number("--ms", "10"), number("--every", "200"));
    if (what == "sizes") return bench::run_sizes();
    if (argc < 3) {
        std::fprintf(stderr,
                     "use: gorsenotch_bench cost PROGRAM [--rate N] [--seconds N] [--events N] [--rounds N] "
                     "[--hog MS]\n"
                     "     gorsenotch_bench streams PROGRAM [--streams N]\n"
                     "     gorsenotch_bench leak PROGRAM [--requests N] [--rate N]\n"
                     "     gorsenotch_bench sizes\n");
        return 2;
    }
    if (what == "cost") {
        bench::CostOptions o;
        o.self = self, o.program = argv[2];
        o.rate = number("--rate", "500"), o.seconds = number("--seconds", "6");
        o.events = whole("--events", "30"), o.pace = whole("--pace", "10"), o.rounds = whole("--rounds", "5");
        o.hog_ms = number("--hog", "0"), o.hog_every_ms = number("--hog-every", "200");
        return bench::run_cost(o);
    }
    if (what == "streams") return bench::run_streams(self, argv[2], whole("--streams", "5000"));
    if (what == "leak")
        return bench::run_leak(self, argv[2], static_cast<long>(number("--requests", "100000")),
                               number("--rate", "1000"));
    return 2;
}
