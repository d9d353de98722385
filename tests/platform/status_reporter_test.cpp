// The status line: its field names do not change, and its values are the counts of the components.
#include "platform/status_reporter.h"

#include <set>
#include <string>

#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

struct StatusReporterTest : PlatformTest {
    control::MemoryBudget memory;  // outlives the loop
    net::EventLoop loop;
    proxy::ConnectionPool connection_pool{loop, proxy::ConnectionPool::Config()};
    ClientConnections client_connections{loop, config.named, lifecycle, memory, ClientConnections::Config()};
    StatusReporter reporter{loop, {endpoints, lifecycle, client_connections, connection_pool, memory}};
};

TEST_F(StatusReporterTest, TheFieldNamesAreStable) {
    const std::set<std::string> expected = {"up_ms",
                                            "cpu_ms",
                                            "peak_kb",
                                            "memory_bytes",
                                            "memory_refusals",
                                            "refused_memory",
                                            "refused_repeated",
                                            "endpoints",
                                            "client_connections",
                                            "upstream_connections",
                                            "open_requests",
                                            "attempts_in_flight",
                                            "paused_streams",
                                            "unsent_bytes",
                                            "releases_in_progress",
                                            "arrived",
                                            "served",
                                            "rejected",
                                            "failed",
                                            "broken",
                                            "client_disconnected",
                                            "migrated",
                                            "attempts",
                                            "responses_too_long",
                                            "stream_ends",
                                            "stream_pauses",
                                            "stream_resumes",
                                            "stalled_clients",
                                            "outcomes",
                                            "end_causes",
                                            "violations",
                                            "send_blocks",
                                            "close_blocks",
                                            "client_connection_ends",
                                            "upstream_connection_ends",
                                            "results",
                                            "released",
                                            "release_ends",
                                            "release_reasons",
                                            "health_checks",
                                            "leases_unanswered",
                                            "longest_lease_ms",
                                            "longest_lease_ms_by_origin",
                                            "new_connections",
                                            "reused_connections",
                                            "accepted",
                                            "connections_rejected",
                                            "evicted",
                                            "accept_failed",
                                            "request_timeouts",
                                            "bad_requests",
                                            "refused_draining"};
    const nlohmann::json fields = reporter.fields();
    std::set<std::string> names;
    for (const auto& field : fields.items()) names.insert(field.key());
    EXPECT_EQ(names, expected);
}

TEST_F(StatusReporterTest, ARequestIsCountedWhileOpenAndThenByItsOutcome) {
    send_request("t1", client);
    nlohmann::json fields = reporter.fields();
    EXPECT_EQ(fields["endpoints"], 3);
    EXPECT_EQ(fields["open_requests"], 1);
    EXPECT_EQ(fields["attempts_in_flight"], 1);
    answer_prefill();
    answer(kWholeAnswer);
    fields = reporter.fields();
    EXPECT_EQ(fields["open_requests"], 0);
    EXPECT_EQ(fields["arrived"], 1);
    EXPECT_EQ(fields["served"], 1);
    EXPECT_EQ(fields["attempts"], 2);
    // `results` counts attempts; `served` and `outcomes` count requests.
    EXPECT_EQ(fields["results"]["prefill_done"], 1);
    EXPECT_EQ(fields["results"]["served"], 1);
    EXPECT_EQ(fields["outcomes"]["in_time"], 1);
    // Lease releases: started, calls repeated, failed.
    EXPECT_EQ(fields["released"], nlohmann::json::array({0, 0, 0}));
    // Upstream connections: opened and used, and how many of them broke.
    EXPECT_EQ(fields["new_connections"], nlohmann::json::array({0, 0}));
}

}  // namespace
}  // namespace gorsenotch::test
