// The checker of the days: good records are kept, and records that break each rule are found out.
#include "invariants/record_checker.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace gorsenotch::invariants {
namespace {

CheckerSettings terms() {
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

struct Story {
    std::vector<Record> records;
    std::size_t line = 0;
    Story& add(const std::string& source, double time, const char* event, Json fields) {
        records.push_back({time, source, event, std::move(fields), ++line});
        return *this;
    }
    // An ordinary request: read at engine 1, written at engine 2, answered.
    Story& ask(const std::string& cls = "chat", double time = 1000) {
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
    Story& attempt(int n, long server, const char* operation, double time, const std::string& cls = "chat",
                   double work = 0.1) {
        return add("engine", time, "recv",
                   {{"server", server},
                    {"id", id(n)},
                    {"op", operation},
                    {"cls", cls},
                    {"work", work},
                    {"key", cls == "order" ? "t/k" : ""}});
    }
    Story& at(long server, double time, const char* event, int n, const char* how = "done") {
        return add("engine", time, event, {{"server", server}, {"id", id(n)}, {"how", how}});
    }
    static std::string id(int n) { return kRequest + "." + std::to_string(n); }
    Story& read(double time = 1001, const std::string& cls = "chat") {
        return attempt(0, 1, "read", time, cls).at(1, time + 20, "held", 0).at(1, time + 20, "end", 0);
    }
    Story& write(int n, double time, const std::string& cls = "chat", long server = 2) {
        return attempt(n, server, "write", time, cls)
            .at(1, time + 2, "taken", 0)
            .at(server, time + 3, "run", n)
            .at(server, time + 9, "end", n);
    }
    Story& answer(double time, int status = 200, const char* ending = "whole") {
        if (status == 200) add("client-0", time - 5, "first", {{"c", "1.0"}, {"id", kRequest}});
        return add(
            "client-0", time, "answer",
            {{"c", "1.0"}, {"id", kRequest}, {"status", status}, {"ending", ending}, {"text", "right"}});
    }
    Story& good(const std::string& cls = "chat") {
        return ask(cls).read(1001, cls).write(1, 1030, cls).answer(1045);
    }
};

std::vector<std::string> broken(const Story& story) {
    auto records = story.records;
    std::stable_sort(records.begin(), records.end(),
                     [](const Record& record, const Record& b) { return record.t < b.t; });
    std::vector<std::string> all;
    for (const auto& finding : check_records(records, terms()).findings) {
        if (finding.broken > 0)
            all.push_back(finding.rule.substr(0, 1) + " " + finding.what.substr(0, 12) + ": " +
                          finding.example);
    }
    return all;
}

void expect(const Story& story, const std::string& rule) {
    const auto all = broken(story);
    if (rule.empty()) {
        EXPECT_TRUE(all.empty()) << all[0];
        return;
    }
    ASSERT_FALSE(all.empty()) << "nothing found, wanted " << rule;
    EXPECT_EQ(all[0].substr(0, rule.size()), rule) << all[0];
}

TEST(Checker, GoodStories) {
    for (const char* cls : {"chat", "pay", "order"}) expect(Story().good(cls), "");
    const auto verdict = check_records(Story().good().records, terms());
    EXPECT_EQ(verdict.service.answered, 1);
    EXPECT_DOUBLE_EQ(verdict.service.value, 1);
    EXPECT_DOUBLE_EQ(verdict.service.p50, 40);
    EXPECT_TRUE(verdict.all_hold());
    EXPECT_NE(format_verdict(verdict).find("each ask has one final answer"), std::string::npos);
}

TEST(Checker, OneAnswerInTime) {
    expect(Story().ask(), "1 each ask");  // never ended
    expect(Story().good().answer(1050), "1 each ask");
    expect(Story().ask().add("client-0", 3300, "overdue", {{"c", "1.0"}}), "1 each ask");
    expect(Story().ask().answer(3300, 529, "refused"), "1 each ask");
    expect(Story().ask().answer(3000, 529, "refused"), "");
    expect(Story().ask().add("client-0", 1400, "lost", {{"c", "1.0"}}), "1 each ask");
    expect(Story()
               .ask()
               .add("client-0", 1400, "lost", {{"c", "1.0"}})
               .add("runner", 1390, "kill_gateway", {{"gateway", "g"}, {"until", 5000}}),
           "");
    expect(Story()
               .ask()
               .add("client-0", 1400, "lost", {{"c", "1.0"}})
               .add("runner", 1390, "kill_gateway", {{"gateway", "h"}, {"until", 5000}}),
           "1 each ask");
    expect(Story().ask().add("client-0", 1400, "gone", {{"c", "1.0"}}), "");
}

TEST(Checker, TheExampleHasItsTrace) {
    Story story = Story().good().attempt(2, 3, "write", 1200);
    const auto finding = check_records(story.records, terms()).findings[1];
    ASSERT_EQ(finding.broken, 1);
    EXPECT_EQ(finding.trace.size(), story.records.size());
    EXPECT_NE(finding.trace.back().find("\"op\":\"write\""), std::string::npos);
}

TEST(Checker, NothingAfterTheAnswer) {
    expect(Story().good().attempt(2, 3, "write", 1200), "1 nothing is ");
    expect(Story().good().add("client-0", 1060, "after", {{"c", "1.0"}}), "1 nothing is ");
}

TEST(Checker, TheEnginesText) {
    Story story = Story().good();
    story.records.back().fields["text"] = "wrong";
    expect(story, "1 the text ");
}

TEST(Checker, NoEffectTwice) {
    Story twice =
        Story().ask("pay").read(1001, "pay").write(1, 1030, "pay").write(2, 1050, "pay", 3).answer(1070);
    expect(twice, "2 once and b");
    Story chat = Story().ask().read().write(1, 1030).write(2, 1050, "chat", 3).answer(1070);
    expect(chat, "");  // repeatable
    expect(Story().ask("pay").read(1001, "pay").write(1, 1030, "pay").answer(1070, 529, "refused"),
           "2 once and b");
    expect(Story().ask("pay").read(1001, "pay").write(1, 1030, "pay").answer(1070, 500, "refused"), "");
    // By key: the group drops the repeat.
    Story keyed = Story().ask("order").read(1001, "order").write(1, 1030, "order");
    keyed.attempt(2, 3, "write", 1050, "order").at(3, 1053, "repeat", 2).at(3, 1059, "end", 2).answer(1070);
    expect(keyed, "");
    for (auto& record : keyed.records) {
        if (record.event == "repeat") record.event = "run";
    }
    expect(keyed, "2 once and b");
}

TEST(Checker, NeverTwoAtOnce) {
    Story story = Story().ask().attempt(0, 1, "read", 1001).attempt(1, 2, "read", 1200);
    story.at(1, 1400, "end", 0, "cancelled").at(2, 1210, "end", 1, "cancelled").answer(1500, 529, "refused");
    expect(story, "2 never two ");
    Story late = Story().ask().attempt(0, 1, "read", 1001).attempt(1, 2, "read", 1200);
    late.at(1, 1230, "end", 0, "cancelled").at(2, 1210, "end", 1, "cancelled").answer(1500, 529, "refused");
    expect(late, "");  // the engine's note of the close crosses the next send
}

TEST(Checker, Drains) {
    const Json told = {{"server", 2}, {"mode", "draining"}, {"gateway", "g"}};
    expect(Story().good().add("runner", 700, "told", told), "3 nothing new");
    expect(Story().good().add("runner", 900, "told", told), "");  // within the grace
    expect(Story()
               .good()
               .add("runner", 700, "told", told)
               .add("runner", 800, "told", {{"server", 2}, {"mode", "healthy"}, {"gateway", "g"}}),
           "");
    expect(Story().good().add("runner", 700, "told", {{"server", 2}, {"mode", "gone"}, {"gateway", "h"}}),
           "");
}

TEST(Checker, ColdEngines) {
    // 0.3 of its capacity for 2 s, 2.5 times: 1.5 s of work at its start, growing.
    const auto flooded = [](int sends) {
        Story story;
        story.add("engine", 1000, "up", {{"server", 9}, {"cold", true}, {"start", 0.3}, {"warm", 10000}});
        for (int i = 0; i < sends; ++i) {
            const std::string id = "req_0123456789abcdef000000" + std::to_string(10 + i) + ".0";
            story.add("engine", 1010 + i, "recv",
                      {{"server", 9}, {"id", id}, {"op", "read"}, {"work", 0.1}, {"cls", "chat"}});
            story.add("engine", 1500 + i, "end", {{"server", 9}, {"id", id}});
        }
        return story;
    };
    expect(flooded(15), "");
    expect(flooded(17), "4 work sent b");
    Story warm = flooded(17);
    warm.records[0].fields["cold"] = false;
    expect(warm, "");
    // A send weighs as its class's mean work, as it was done.
    Story light = flooded(17);
    for (int i = 0; i < 17; ++i)
        light
            .add("engine", 1400, "held",
                 {{"server", 9},
                  {"did", 0.05},
                  {"id", "req_0123456789abcdef000000" + std::to_string(10 + i) + ".0"}})
            .add("engine", 1450, "let_go",
                 {{"server", 9}, {"id", "req_0123456789abcdef000000" + std::to_string(10 + i) + ".0"}});
    expect(light, "");
    Story one;  // one request is always allowed, however large
    one.add("engine", 1000, "up", {{"server", 9}, {"cold", true}, {"start", 0.3}, {"warm", 10000}});
    one.attempt(0, 9, "read", 1010, "chat", 99).at(9, 1020, "end", 0);
    expect(one, "");
}

TEST(Checker, Pinned) {
    const auto story = [](double freed, const char* how) {
        Story made = Story()
                         .ask()
                         .attempt(0, 1, "read", 1001)
                         .at(1, 1020, "held", 0)
                         .at(1, 1020, "end", 0)
                         .answer(1100, 529, "refused");
        if (how) made.at(1, freed, how, 0);
        return made;
    };
    expect(story(1500, "let_go"), "");
    expect(story(2500, "let_go"), "5 a state is ");
    expect(story(0, nullptr), "5 a state is ");
    expect(story(6020, "lease"), "5 a state is ");
    expect(story(0, nullptr).add("runner", 1500, "down", {{"server", 1}}), "");
    expect(story(6020, "lease").add("runner", 1010, "trouble", {{"server", 1}, {"until", 3000}}), "");
    expect(story(6020, "lease").add("runner", 1200, "kill_gateway", {{"gateway", "g"}, {"until", 5000}}), "");
    // An attempt that is out holds the clock.
    Story waits = story(4500, "let_go");
    waits.attempt(1, 2, "write", 1500).at(2, 4000, "end", 1, "cancelled");
    for (auto& record : waits.records) {
        if (record.event == "answer") record.t = 2900;
    }
    expect(waits, "");
}

TEST(Records, WholeLinesOnlyAndDamageNamed) {
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

// The gateway is stopped from 1100 to 4100, over the deadline at 3000.
Story stopped() {
    Story story;
    story.ask().read();
    story.add("runner", 1100, "stop_gateway", {{"gateway", "g"}, {"until", 4100}});
    return story;
}

TEST(Standstills, ExcuseWhatFellIntoThemAndNoMore) {
    const auto late = [](double time) {
        Story story = stopped();
        story.at(1, time, "let_go", 0)
            .add("client-0", time, "answer",
                 {{"c", "1.0"}, {"id", kRequest}, {"status", 529}, {"ending", "refused"}});
        return check_records(story.records, terms());
    };
    const auto good = late(4200);
    EXPECT_TRUE(good.all_hold()) << format_verdict(good);
    EXPECT_EQ(good.findings[0].excused, 1);
    EXPECT_FALSE(late(5300).all_hold());  // more than a second to be as before
    // Another's standstill excuses nothing.
    Story story;
    story.ask().read().at(1, 1100, "let_go", 0);
    story.add("runner", 1100, "stop_gateway", {{"gateway", "other"}, {"until", 4100}});
    story.add("client-0", 4200, "answer",
              {{"c", "1.0"}, {"id", kRequest}, {"status", 529}, {"ending", "refused"}});
    EXPECT_FALSE(check_records(story.records, terms()).all_hold());
}

TEST(Standstills, SendsPastTheDeadlineAreBreachesAfterThemToo) {
    Story story = stopped();
    story.attempt(1, 2, "write", 4150).at(1, 4151, "taken", 0).at(2, 4160, "end", 1, "cancelled");
    story.add("client-0", 4200, "answer",
              {{"c", "1.0"}, {"id", kRequest}, {"status", 529}, {"ending", "refused"}});
    const auto verdict = check_records(story.records, terms());
    ASSERT_FALSE(verdict.all_hold());
    EXPECT_EQ(verdict.findings[1].broken, 1);
    EXPECT_NE(verdict.findings[1].example.find("its client left"), std::string::npos);
}

TEST(Standstills, OneClosedAsTheOtherWasSentIsNoOverlapEitherWayRound) {
    const auto with = [](double end) {
        Story story;
        story.ask().read().attempt(2, 3, "write", 1100).attempt(1, 2, "write", 1101);
        story.at(2, end, "end", 1, "cancelled").at(1, 1102, "taken", 0).at(3, 1400, "end", 2);
        story.add("client-0", 1400, "answer",
                  {{"c", "1.0"}, {"id", kRequest}, {"status", 200}, {"ending", "whole"}, {"text", "right"}});
        return check_records(story.records, terms()).findings[4].broken;
    };
    EXPECT_EQ(with(1102), 0);
    EXPECT_EQ(with(1300), 1);
}

TEST(Standstills, CountWhatTheGatewayCutThough) {
    // Out at an engine that is well, its client waiting: cut off after the standstill.
    Story story;
    story.ask().attempt(0, 1, "read", 1001);
    story.add("runner", 1100, "stop_gateway", {{"gateway", "g"}, {"until", 1900}});
    story.at(1, 1905, "left", 0).at(1, 1906, "let_go", 0);
    story.attempt(1, 3, "read", 1910).at(3, 1930, "held", 1).at(3, 1930, "end", 1).at(3, 1940, "let_go", 1);
    story.add("client-0", 1950, "answer",
              {{"c", "1.0"}, {"id", kRequest}, {"status", 529}, {"ending", "refused"}});
    const auto verdict = check_records(story.records, terms());
    EXPECT_EQ(verdict.service.attempts_during_stall, 1);
    EXPECT_EQ(verdict.service.cut_during_stall, 1);
    EXPECT_EQ(verdict.service.attempts_after_stall, 1);
    EXPECT_EQ(verdict.service.cut_after_stall, 0);
    EXPECT_NE(format_verdict(verdict).find("cut off by it 1; begun within a second after 1, cut off 0"),
              std::string::npos);
}

}  // namespace
}  // namespace gorsenotch::invariants
