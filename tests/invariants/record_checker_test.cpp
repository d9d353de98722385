// The invariant checker: records without a violation pass, and a violation of each invariant is reported.
#include "invariants/record_checker.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace gorsenotch::invariants {
namespace {

CheckerSettings checker_settings() {
    CheckerSettings settings;
    settings.classes = {"chat", "pay", "order"};
    settings.class_settings.resize(3);
    for (auto& class_settings : settings.class_settings) {
        class_settings.latency_objective = 500;
        class_settings.deadline = 2000;
        class_settings.priority_weight = 1;
    }
    settings.class_settings[1].idempotency = Idempotency::unsafe;
    settings.class_settings[2].idempotency = Idempotency::with_key;
    settings.class_settings[2].dedup_scope = DedupScope::cell;
    return settings;
}

const std::string kRequest = "req_0123456789abcdef00000001";

struct RecordBuilder {
    std::vector<Record> records;
    std::size_t line = 0;
    RecordBuilder& add(const std::string& source, double time, const char* event, Json fields) {
        records.push_back({time, source, event, std::move(fields), ++line});
        return *this;
    }
    // A request with the given class, sent by client 1.0 through gateway g with a deadline 2 s later.
    RecordBuilder& client_request(const std::string& cls = "chat", double time = 1000) {
        return add("client-0", time, "ask",
                   {{"c", "1.0"},
                    {"turn", "1"},
                    {"cls", cls},
                    {"key", cls == "order" ? "k" : ""},
                    {"gateway", "g"},
                    {"deadline", time + 2000},
                    {"stream", 1},
                    {"prompt", 100}});
    }
    RecordBuilder& attempt(int n, long server, const char* operation, double time,
                           const std::string& cls = "chat", double work = 0.1) {
        return add("engine", time, "recv",
                   {{"server", server},
                    {"id", id(n)},
                    {"op", operation},
                    {"cls", cls},
                    {"work", work},
                    {"key", cls == "order" ? "t/k" : ""}});
    }
    // A record of engine `server` on attempt `n`.
    RecordBuilder& engine_event(long server, double time, const char* event, int n,
                                const char* how = "done") {
        return add("engine", time, event, {{"server", server}, {"id", id(n)}, {"how", how}});
    }
    static std::string id(int n) { return kRequest + "." + std::to_string(n); }
    // A prefill at engine 1 that stores a KV state.
    RecordBuilder& prefill(double time = 1001, const std::string& cls = "chat") {
        return attempt(0, 1, "read", time, cls)
            .engine_event(1, time + 20, "held", 0)
            .engine_event(1, time + 20, "end", 0);
    }
    // A decode that fetches the KV state of attempt 0 and completes.
    RecordBuilder& decode(int n, double time, const std::string& cls = "chat", long server = 2) {
        return attempt(n, server, "write", time, cls)
            .engine_event(1, time + 2, "taken", 0)
            .engine_event(server, time + 3, "run", n)
            .engine_event(server, time + 9, "end", n);
    }
    RecordBuilder& answer(double time, int status = 200, const char* ending = "whole") {
        if (status == 200) add("client-0", time - 5, "first", {{"c", "1.0"}, {"id", kRequest}});
        return add(
            "client-0", time, "answer",
            {{"c", "1.0"}, {"id", kRequest}, {"status", status}, {"ending", ending}, {"text", "right"}});
    }
    // A request that is prefilled, decoded and answered in time.
    RecordBuilder& complete_request(const std::string& cls = "chat") {
        return client_request(cls).prefill(1001, cls).decode(1, 1030, cls).answer(1045);
    }
};

// One line per finding with violations: number of the invariant, start of the check's name, first example.
std::vector<std::string> violations(const RecordBuilder& builder) {
    auto records = builder.records;
    std::stable_sort(records.begin(), records.end(),
                     [](const Record& left, const Record& right) { return left.t < right.t; });
    std::vector<std::string> all;
    for (const auto& finding : check_records(records, checker_settings()).findings) {
        if (finding.broken > 0)
            all.push_back(finding.rule.substr(0, 1) + " " + finding.what.substr(0, 12) + ": " +
                          finding.example);
    }
    return all;
}

// Expects that the first violation begins with `rule`; empty: no violation.
void expect_violation(const RecordBuilder& builder, const std::string& rule) {
    const auto all = violations(builder);
    if (rule.empty()) {
        EXPECT_TRUE(all.empty()) << all[0];
        return;
    }
    ASSERT_FALSE(all.empty()) << "no violation reported, expected " << rule;
    EXPECT_EQ(all[0].substr(0, rule.size()), rule) << all[0];
}

TEST(RecordChecker, AcceptsCompleteRequestsOfEveryClass) {
    for (const char* cls : {"chat", "pay", "order"})
        expect_violation(RecordBuilder().complete_request(cls), "");
    const auto verdict = check_records(RecordBuilder().complete_request().records, checker_settings());
    EXPECT_EQ(verdict.service.answered, 1);
    EXPECT_DOUBLE_EQ(verdict.service.value, 1);
    EXPECT_DOUBLE_EQ(verdict.service.p50, 40);
    EXPECT_TRUE(verdict.all_hold());
    EXPECT_NE(format_verdict(verdict).find("each request has one final answer"), std::string::npos);
}

TEST(RecordChecker, ReportsMissingSecondAndLateAnswers) {
    expect_violation(RecordBuilder().client_request(), "1 each request");  // no answer
    expect_violation(RecordBuilder().complete_request().answer(1050), "1 each request");
    expect_violation(RecordBuilder().client_request().add("client-0", 3300, "overdue", {{"c", "1.0"}}),
                     "1 each request");
    expect_violation(RecordBuilder().client_request().answer(3300, 529, "refused"), "1 each request");
    expect_violation(RecordBuilder().client_request().answer(3000, 529, "refused"), "");
    expect_violation(RecordBuilder().client_request().add("client-0", 1400, "lost", {{"c", "1.0"}}),
                     "1 each request");
    expect_violation(RecordBuilder()
                         .client_request()
                         .add("client-0", 1400, "lost", {{"c", "1.0"}})
                         .add("runner", 1390, "kill_gateway", {{"gateway", "g"}, {"until", 5000}}),
                     "");
    expect_violation(RecordBuilder()
                         .client_request()
                         .add("client-0", 1400, "lost", {{"c", "1.0"}})
                         .add("runner", 1390, "kill_gateway", {{"gateway", "h"}, {"until", 5000}}),
                     "1 each request");
    expect_violation(RecordBuilder().client_request().add("client-0", 1400, "gone", {{"c", "1.0"}}), "");
}

TEST(RecordChecker, TraceHasAllRecordsOfTheFirstViolation) {
    RecordBuilder builder = RecordBuilder().complete_request().attempt(2, 3, "write", 1200);
    const auto finding = check_records(builder.records, checker_settings()).findings[1];
    ASSERT_EQ(finding.broken, 1);
    EXPECT_EQ(finding.trace.size(), builder.records.size());
    EXPECT_NE(finding.trace.back().find("\"op\":\"write\""), std::string::npos);
}

TEST(RecordChecker, ReportsAttemptsAndBytesAfterTheAnswer) {
    expect_violation(RecordBuilder().complete_request().attempt(2, 3, "write", 1200), "1 nothing is ");
    expect_violation(RecordBuilder().complete_request().add("client-0", 1060, "after", {{"c", "1.0"}}),
                     "1 nothing is ");
}

TEST(RecordChecker, ReportsTextThatDiffersFromTheEngines) {
    RecordBuilder builder = RecordBuilder().complete_request();
    builder.records.back().fields["text"] = "wrong";
    expect_violation(builder, "1 received tex");
}

TEST(RecordChecker, ReportsSideEffectsThatHappenTwice) {
    RecordBuilder twice = RecordBuilder()
                              .client_request("pay")
                              .prefill(1001, "pay")
                              .decode(1, 1030, "pay")
                              .decode(2, 1050, "pay", 3)
                              .answer(1070);
    expect_violation(twice, "2 once and b");
    RecordBuilder chat =
        RecordBuilder().client_request().prefill().decode(1, 1030).decode(2, 1050, "chat", 3).answer(1070);
    expect_violation(chat, "");  // idempotent: may run twice
    expect_violation(RecordBuilder()
                         .client_request("pay")
                         .prefill(1001, "pay")
                         .decode(1, 1030, "pay")
                         .answer(1070, 529, "refused"),
                     "2 once and b");
    expect_violation(RecordBuilder()
                         .client_request("pay")
                         .prefill(1001, "pay")
                         .decode(1, 1030, "pay")
                         .answer(1070, 500, "refused"),
                     "");
    // With a key, engines of one dedup scope run it once; the repeat has no effect.
    RecordBuilder keyed =
        RecordBuilder().client_request("order").prefill(1001, "order").decode(1, 1030, "order");
    keyed.attempt(2, 3, "write", 1050, "order")
        .engine_event(3, 1053, "repeat", 2)
        .engine_event(3, 1059, "end", 2)
        .answer(1070);
    expect_violation(keyed, "");
    for (auto& record : keyed.records) {
        if (record.event == "repeat") record.event = "run";
    }
    expect_violation(keyed, "2 once and b");
}

// Guards against an answer that its engine ended early and its client took for whole.
TEST(RecordChecker, ReportsATruncatedAnswerThatWasEndedAsWhole) {
    const auto truncated = [] {
        return RecordBuilder()
            .client_request()
            .prefill()
            .attempt(1, 2, "write", 1030)
            .engine_event(1, 1032, "taken", 0)
            .engine_event(2, 1039, "end", 1, "truncated");
    };
    expect_violation(truncated().answer(1045), "1 answers ende");
    expect_violation(truncated().answer(1045, 200, "broken"), "");
    expect_violation(truncated().decode(2, 1040).answer(1055), "");  // completed by another attempt
}

TEST(RecordChecker, ReportsOverlappingAttempts) {
    RecordBuilder builder =
        RecordBuilder().client_request().attempt(0, 1, "read", 1001).attempt(1, 2, "read", 1200);
    builder.engine_event(1, 1400, "end", 0, "cancelled")
        .engine_event(2, 1210, "end", 1, "cancelled")
        .answer(1500, 529, "refused");
    expect_violation(builder, "2 no two attem");
    RecordBuilder late =
        RecordBuilder().client_request().attempt(0, 1, "read", 1001).attempt(1, 2, "read", 1200);
    late.engine_event(1, 1230, "end", 0, "cancelled")
        .engine_event(2, 1210, "end", 1, "cancelled")
        .answer(1500, 529, "refused");
    expect_violation(late, "");  // within record_delay of the next attempt
}

TEST(RecordChecker, ReportsAttemptsAfterTheDrainGrace) {
    const Json draining = {{"server", 2}, {"mode", "draining"}, {"gateway", "g"}};
    expect_violation(RecordBuilder().complete_request().add("runner", 700, "told", draining),
                     "3 no new attem");
    expect_violation(RecordBuilder().complete_request().add("runner", 900, "told", draining),
                     "");  // within the drain grace
    expect_violation(RecordBuilder()
                         .complete_request()
                         .add("runner", 700, "told", draining)
                         .add("runner", 800, "told", {{"server", 2}, {"mode", "healthy"}, {"gateway", "g"}}),
                     "");
    expect_violation(RecordBuilder().complete_request().add(
                         "runner", 700, "told", {{"server", 2}, {"mode", "gone"}, {"gateway", "h"}}),
                     "");
}

TEST(RecordChecker, ReportsOverloadOfAnEngineInSlowStart) {
    // Initial capacity 0.3, window 2 s, overload factor 2.5: 1.5 s of work is allowed at the start.
    const auto overloaded = [](int count) {
        RecordBuilder builder;
        builder.add("engine", 1000, "up", {{"server", 9}, {"cold", true}, {"start", 0.3}, {"warm", 10000}});
        for (int i = 0; i < count; ++i) {
            const std::string id = "req_0123456789abcdef000000" + std::to_string(10 + i) + ".0";
            builder.add("engine", 1010 + i, "recv",
                        {{"server", 9}, {"id", id}, {"op", "read"}, {"work", 0.1}, {"cls", "chat"}});
            builder.add("engine", 1500 + i, "end", {{"server", 9}, {"id", id}});
        }
        return builder;
    };
    expect_violation(overloaded(15), "");
    expect_violation(overloaded(17), "4 work sent b");
    RecordBuilder warm = overloaded(17);
    warm.records[0].fields["cold"] = false;
    expect_violation(warm, "");
    // An attempt weighs the mean work done for its class: 0.05 s instead of the estimated 0.1 s.
    RecordBuilder light = overloaded(17);
    for (int i = 0; i < 17; ++i)
        light
            .add("engine", 1400, "held",
                 {{"server", 9},
                  {"did", 0.05},
                  {"id", "req_0123456789abcdef000000" + std::to_string(10 + i) + ".0"}})
            .add("engine", 1450, "let_go",
                 {{"server", 9}, {"id", "req_0123456789abcdef000000" + std::to_string(10 + i) + ".0"}});
    expect_violation(light, "");
    RecordBuilder one;  // a single request is always allowed, however large
    one.add("engine", 1000, "up", {{"server", 9}, {"cold", true}, {"start", 0.3}, {"warm", 10000}});
    one.attempt(0, 9, "read", 1010, "chat", 99).engine_event(9, 1020, "end", 0);
    expect_violation(one, "");
}

TEST(RecordChecker, ReportsStatesThatAreNotReleasedInTime) {
    const auto with_lease_end = [](double released_at, const char* event) {
        RecordBuilder records = RecordBuilder()
                                    .client_request()
                                    .attempt(0, 1, "read", 1001)
                                    .engine_event(1, 1020, "held", 0)
                                    .engine_event(1, 1020, "end", 0)
                                    .answer(1100, 529, "refused");
        if (event) records.engine_event(1, released_at, event, 0);
        return records;
    };
    expect_violation(with_lease_end(1500, "let_go"), "");
    expect_violation(with_lease_end(2500, "let_go"), "5 each KV stat");
    expect_violation(with_lease_end(0, nullptr), "5 each KV stat");
    expect_violation(with_lease_end(6020, "lease"), "5 each KV stat");
    expect_violation(with_lease_end(0, nullptr).add("runner", 1500, "down", {{"server", 1}}), "");
    expect_violation(
        with_lease_end(6020, "lease").add("runner", 1010, "trouble", {{"server", 1}, {"until", 3000}}), "");
    expect_violation(with_lease_end(6020, "lease")
                         .add("runner", 1200, "kill_gateway", {{"gateway", "g"}, {"until", 5000}}),
                     "");
    // The release time starts only when no attempt is in flight.
    RecordBuilder in_flight = with_lease_end(4500, "let_go");
    in_flight.attempt(1, 2, "write", 1500).engine_event(2, 4000, "end", 1, "cancelled");
    for (auto& record : in_flight.records) {
        if (record.event == "answer") record.t = 2900;
    }
    expect_violation(in_flight, "");
}

TEST(Records, IncompleteLastLineIsIgnoredAndMalformedLinesThrow) {
    char name[] = "/tmp/gorsenotch-records-XXXXXX";
    const std::string folder = mkdtemp(name);
    const std::string file = folder + "/engine-1.ndjson";
    {
        Recorder recorder(file);
        recorder.write(2, "recv", {{"id", "a"}, {"server", 1}});
        recorder.write(1, "up", {{"server", 1}});
    }
    std::ofstream(file, std::ios::app) << "{\"t\":3,\"e\":\"ru";
    const auto all = read({file});
    ASSERT_EQ(all.size(), 2u);
    EXPECT_EQ(all[0].event, "up");
    EXPECT_EQ(all[1].source, "engine-1");
    std::ofstream(file, std::ios::app) << "\n";
    EXPECT_THROW(read({file}), std::runtime_error);
    EXPECT_THROW(read({folder + "/none"}), std::runtime_error);
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace gorsenotch::invariants

namespace gorsenotch::invariants {
namespace {

// The gateway is suspended from 1100 to 4100, across the deadline at 3000.
RecordBuilder suspended_gateway() {
    RecordBuilder builder;
    builder.client_request().prefill();
    builder.add("runner", 1100, "stop_gateway", {{"gateway", "g"}, {"until", 4100}});
    return builder;
}

TEST(RecordCheckerSuspension, ExcusesLateAnswersOfTheSuspendedGatewayOnly) {
    const auto late = [](double time) {
        RecordBuilder builder = suspended_gateway();
        builder.engine_event(1, time, "let_go", 0)
            .add("client-0", time, "answer",
                 {{"c", "1.0"}, {"id", kRequest}, {"status", 529}, {"ending", "refused"}});
        return check_records(builder.records, checker_settings());
    };
    const auto in_time = late(4200);
    EXPECT_TRUE(in_time.all_hold()) << format_verdict(in_time);
    EXPECT_EQ(in_time.findings[0].excused, 1);
    EXPECT_FALSE(late(5300).all_hold());  // later than suspension_recovery
    // The suspension of another gateway excuses nothing.
    RecordBuilder builder;
    builder.client_request().prefill().engine_event(1, 1100, "let_go", 0);
    builder.add("runner", 1100, "stop_gateway", {{"gateway", "other"}, {"until", 4100}});
    builder.add("client-0", 4200, "answer",
                {{"c", "1.0"}, {"id", kRequest}, {"status", 529}, {"ending", "refused"}});
    EXPECT_FALSE(check_records(builder.records, checker_settings()).all_hold());
}

TEST(RecordCheckerSuspension, DoesNotExcuseAttemptsSentAfterTheDeadline) {
    RecordBuilder builder = suspended_gateway();
    builder.attempt(1, 2, "write", 4150)
        .engine_event(1, 4151, "taken", 0)
        .engine_event(2, 4160, "end", 1, "cancelled");
    builder.add("client-0", 4200, "answer",
                {{"c", "1.0"}, {"id", kRequest}, {"status", 529}, {"ending", "refused"}});
    const auto verdict = check_records(builder.records, checker_settings());
    ASSERT_FALSE(verdict.all_hold());
    EXPECT_EQ(verdict.findings[1].broken, 1);
    EXPECT_NE(verdict.findings[1].example.find("sent after the client's deadline"), std::string::npos);
}

TEST(RecordChecker, AttemptClosedAsTheNextIsSentIsNoOverlapInEitherRecordOrder) {
    const auto overlaps = [](double end) {
        RecordBuilder builder;
        builder.client_request().prefill().attempt(2, 3, "write", 1100).attempt(1, 2, "write", 1101);
        builder.engine_event(2, end, "end", 1, "cancelled")
            .engine_event(1, 1102, "taken", 0)
            .engine_event(3, 1400, "end", 2);
        builder.add(
            "client-0", 1400, "answer",
            {{"c", "1.0"}, {"id", kRequest}, {"status", 200}, {"ending", "whole"}, {"text", "right"}});
        return check_records(builder.records, checker_settings()).findings[4].broken;
    };
    EXPECT_EQ(overlaps(1102), 0);
    EXPECT_EQ(overlaps(1300), 1);
}

TEST(RecordCheckerSuspension, CountsAttemptsThatTheGatewayCancelled) {
    // In flight at a healthy engine while its client waits; the gateway cancels it after the suspension.
    RecordBuilder builder;
    builder.client_request().attempt(0, 1, "read", 1001);
    builder.add("runner", 1100, "stop_gateway", {{"gateway", "g"}, {"until", 1900}});
    builder.engine_event(1, 1905, "left", 0).engine_event(1, 1906, "let_go", 0);
    builder.attempt(1, 3, "read", 1910)
        .engine_event(3, 1930, "held", 1)
        .engine_event(3, 1930, "end", 1)
        .engine_event(3, 1940, "let_go", 1);
    builder.add("client-0", 1950, "answer",
                {{"c", "1.0"}, {"id", kRequest}, {"status", 529}, {"ending", "refused"}});
    const auto verdict = check_records(builder.records, checker_settings());
    EXPECT_EQ(verdict.service.attempts_during_suspension, 1);
    EXPECT_EQ(verdict.service.cancelled_during_suspension, 1);
    EXPECT_EQ(verdict.service.attempts_after_suspension, 1);
    EXPECT_EQ(verdict.service.cancelled_after_suspension, 0);
    EXPECT_NE(format_verdict(verdict).find("cancelled by it 1; sent within 1 s after it 1, cancelled 0"),
              std::string::npos);
}

}  // namespace
}  // namespace gorsenotch::invariants
