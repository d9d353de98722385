// Resident memory of the gateway: with many concurrent streams, and over many requests.
#include <cstdio>

#include "load.h"
#include "net/timer.h"
#include "parts.h"
#include "setup.h"

namespace gorsenotch::bench {

int run_streams(const std::string& self, const std::string& program, int streams) {
    net::EventLoop loop;
    Setup setup(loop, self, program, 20, 1000);
    const double initial_rss_mb = setup.gateway->rss_mb();
    LoadGenerator load(loop, setup.gateway_address, render_request("/v1/messages"), "text_delta");
    double max_rss_mb = 0;
    int max_open_streams = 0;
    net::Timer sample_timer(loop, [&] {
        max_rss_mb = std::max(max_rss_mb, setup.gateway->rss_mb());
        int open_streams = 0;
        for (const auto& connection : load.connections)
            open_streams += connection->busy && connection->first_token_at > 0;
        max_open_streams = std::max(max_open_streams, open_streams);
        sample_timer.fire_after(200);
    });
    sample_timer.fire_after(200);
    load.run(streams / 8.0, 8, streams);
    std::printf(
        "streams at once %d, requests %ld, failed %ld, RSS %.0f MB at start, %.0f MB at most: %.1f KiB a "
        "stream\n",
        max_open_streams, load.completed, load.failed, initial_rss_mb, max_rss_mb,
        (max_rss_mb - initial_rss_mb) * 1024 / std::max(1, max_open_streams));
    return 0;
}

int run_leak(const std::string& self, const std::string& program, long requests, double requests_per_s) {
    net::EventLoop loop;
    Setup setup(loop, self, program, 2, 0);
    LoadGenerator load(loop, setup.gateway_address, render_request("/v1/messages"), "text_delta");
    load.on_completed = [&] {
        if (load.completed % (requests / 10) == 0)
            std::printf("after %ld requests, %ld failed: RSS %.1f MB\n", load.completed, load.failed,
                        setup.gateway->rss_mb());
    };
    load.run(requests_per_s, static_cast<double>(requests) / requests_per_s + 1, requests);
    return 0;
}

}  // namespace gorsenotch::bench
