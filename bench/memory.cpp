// Resident memory: with many streams at once, and over many requests.
#include <cstdio>

#include "load.h"
#include "net/timer.h"
#include "parts.h"
#include "setup.h"

namespace gorsenotch::bench {

int run_streams(const std::string& self, const std::string& program, int streams) {
    net::EventLoop loop;
    Setup setup(loop, self, program, 20, 1000);
    const double before = setup.gateway->rss();
    Load load(loop, setup.gate, request("/v1/messages"), "text_delta");
    double most = 0;
    int open_most = 0;
    net::Timer watch(loop, [&] {
        most = std::max(most, setup.gateway->rss());
        int streaming = 0;
        for (const auto& x : load.links) streaming += x->busy && x->first > 0;
        open_most = std::max(open_most, streaming);
        watch.fire_after(200);
    });
    watch.fire_after(200);
    load.run(streams / 8.0, 8, streams);
    std::printf(
        "streams at once %d, requests %ld, failed %ld, RSS %.0f MB at start, %.0f MB at most: %.1f KiB a "
        "stream\n",
        open_most, load.done, load.failed, before, most, (most - before) * 1024 / std::max(1, open_most));
    return 0;
}

int run_leak(const std::string& self, const std::string& program, long requests, double rate) {
    net::EventLoop loop;
    Setup setup(loop, self, program, 2, 0);
    Load load(loop, setup.gate, request("/v1/messages"), "text_delta");
    load.on_done = [&] {
        if (load.done % (requests / 10) == 0)
            std::printf("after %ld requests, %ld failed: RSS %.1f MB\n", load.done, load.failed,
                        setup.gateway->rss());
    };
    load.run(rate, static_cast<double>(requests) / rate + 1, requests);
    return 0;
}

}  // namespace gorsenotch::bench
