// RecordIndex: attempts, leased KV states, clients and faults.
#include "invariants/record_index.h"

#include <gtest/gtest.h>

namespace gorsenotch::invariants {
namespace {

const std::string kRequest = "req_0123456789abcdef00000001";

Record record(const std::string& source, double at, const char* event, Json fields) {
    return {at, source, event, std::move(fields), 1};
}

TEST(RecordIndex, AttemptHasItsRunAndItsFirstEnd) {
    const std::vector<Record> records = {
        record("engine", 10, "recv", {{"server", 1}, {"id", kRequest + ".0"}}),
        record("engine", 20, "repeat", {{"server", 1}, {"id", kRequest + ".0"}}),
        record("engine", 30, "end", {{"server", 1}, {"id", kRequest + ".0"}, {"how", "done"}}),
        record("engine", 40, "left", {{"server", 1}, {"id", kRequest + ".0"}}),
    };
    const CheckerSettings settings;
    const RecordIndex index(records, settings);
    ASSERT_EQ(index.attempts_of(kRequest).size(), 1U);
    const EngineAttempt& attempt = index.attempts_of(kRequest)[0];
    EXPECT_EQ(index.attempt(kRequest + ".0"), &attempt);
    EXPECT_TRUE(attempt.ran);
    EXPECT_FALSE(attempt.first_run);
    EXPECT_EQ(attempt.open.from, 10);
    EXPECT_EQ(attempt.open.to, 30) << "the first end counts";
    EXPECT_EQ(attempt.ending, "done");
    EXPECT_EQ(index.attempt(kRequest + ".1"), nullptr);
    EXPECT_TRUE(index.attempts_of("other").empty());
}

TEST(RecordIndex, ServerDownEndsItsLeasesAndAttempts) {
    const std::vector<Record> records = {
        record("engine", 10, "recv", {{"server", 1}, {"id", kRequest + ".0"}}),
        record("engine", 10, "held", {{"server", 1}, {"id", kRequest + ".0"}}),
        record("engine", 10, "held", {{"server", 2}, {"id", kRequest + ".0"}}),
        record("runner", 50, "down", {{"server", 1}}),
        record("engine", 60, "taken", {{"server", 2}, {"id", kRequest + ".0"}}),
    };
    const CheckerSettings settings;
    const RecordIndex index(records, settings);
    EXPECT_EQ(index.attempt(kRequest + ".0")->ending, "down");
    ASSERT_EQ(index.leased_states().size(), 2U);
    EXPECT_EQ(index.leased_states()[0].leased.to, 50);
    EXPECT_EQ(index.leased_states()[1].leased.to, 60);
}

TEST(RecordIndex, SuspensionsKillsAndServerFaultsByInterval) {
    const std::vector<Record> records = {
        record("runner", 1000, "stop_gateway", {{"gateway", "g"}, {"until", 1500}}),
        record("runner", 9000, "kill_gateway", {{"gateway", "g"}, {"until", 9500}}),
        record("runner", 2000, "trouble", {{"server", 1}, {"until", 3000}}),
    };
    const CheckerSettings settings;  // record_delay 60 ms, suspension_recovery 1000 ms
    const RecordIndex index(records, settings);
    EXPECT_EQ(index.suspended_time("g", 1200, 4000), 300);
    EXPECT_EQ(index.suspended_time("other", 1200, 4000), 0);
    EXPECT_NE(index.suspension_at("g", 2560), nullptr);
    EXPECT_EQ(index.suspension_at("g", 2561), nullptr);
    EXPECT_TRUE(index.gateway_killed("g", 0, 8940));
    EXPECT_FALSE(index.gateway_killed("g", 0, 8939));
    EXPECT_TRUE(index.has_server_fault(1, 3060, 4000));
    EXPECT_FALSE(index.has_server_fault(1, 3061, 4000));
    EXPECT_FALSE(index.has_server_fault(2, 2000, 3000));
}

TEST(RecordIndex, RequestHasTheGatewayOfItsClient) {
    const std::vector<Record> records = {
        record("client-0", 10, "ask", {{"c", "1.0"}, {"gateway", "g"}, {"cls", "chat"}}),
        record("client-0", 20, "answer", {{"c", "1.0"}, {"id", kRequest}, {"status", 200}}),
    };
    const CheckerSettings settings;
    const RecordIndex index(records, settings);
    ASSERT_NE(index.gateway_of(kRequest), nullptr);
    EXPECT_EQ(*index.gateway_of(kRequest), "g");
    EXPECT_EQ(index.gateway_of("req_ffffffffffffffff00000001"), nullptr);
    const auto clients = index.clients_by_request();
    ASSERT_EQ(clients.count(kRequest), 1U);
    EXPECT_EQ(clients.at(kRequest)->status, 200);
    EXPECT_EQ(clients.at(kRequest)->answered_at, 20);
}

}  // namespace
}  // namespace gorsenotch::invariants
