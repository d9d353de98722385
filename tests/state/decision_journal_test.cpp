// The decision journal: a written journal replays to the same actions, and damage is reported by its error
// code.
#include "state/decision_journal.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "gorsenotch/router.h"
#include "state/journal_error.h"
#include "state/journal_replay.h"
#include "state/temporary_folder.h"

namespace gorsenotch::state {
namespace {

Settings router_settings() {
    Settings settings;
    settings.classes = {{.latency_objective = 500, .deadline = 3000}};
    settings.kinds = {{Role::prefill, 1000}, {Role::decode, 1000}};
    settings.max_attempts = 4;
    settings.cancellation = true;
    return settings;
}

// One run of a Router with an observer: an endpoint list, some requests and a timer.
void run_router(DecisionObserver& observer, std::uint64_t seed) {
    Router router(router_settings(), seed);
    std::vector<Action> actions;
    const auto pass_event = [&](Millis now, const Event& event) {
        actions.clear();
        observer.on_event(now, event);
        router.handle(now, event, actions);
        for (const auto& action : actions) observer.on_action(action);
    };
    EndpointUpdate list;
    for (EndpointId id : {1u, 2u, 11u, 12u}) list.endpoints.push_back({.id = id, .kind = id > 10});
    pass_event(1.25, list);
    for (int i = 0; i < 20; ++i) {
        Arrival arrival;
        arrival.request = "r" + std::to_string(i);
        arrival.deadline = 3000 + i;
        arrival.prompt_tokens = 100;
        arrival.session = 0xFFFFFFFFFFFFFFF0ULL + static_cast<unsigned>(i);
        pass_event(2 + i / 3.0, arrival);
        AttemptEnded ended;
        ended.request = arrival.request;
        ended.endpoint = 1;
        ended.result = i % 3 ? AttemptResult::prefill_done : AttemptResult::reset;
        ended.report.memory_utilization = 0.1 * i;
        pass_event(10 + i / 7.0, ended);
    }
    pass_event(30, TimerFired{0});
    pass_event(31, ClientDisconnected{"r3"});
}

// Appends one run to the journal in `file` and returns the file's text.
std::string record_run(const std::string& file, std::uint64_t seed) {
    auto observer = open_journal(file, seed);
    run_router(*observer, seed);
    observer.reset();
    std::ifstream in(file);
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

TEST(JournalReplay, AJournalReplaysToTheSameActions) {
    const TemporaryFolder folder;
    std::istringstream in(record_run(folder.path + "/j", 7));
    const auto result = replay(in, router_settings());
    EXPECT_EQ(result.difference, "");
    EXPECT_EQ(result.events, 43);
    EXPECT_GT(result.actions, 30);
}

TEST(JournalReplay, AChangedActionOrSettingIsReportedAsADifference) {
    const TemporaryFolder folder;
    const std::string text = record_run(folder.path + "/j", 7);
    std::string changed = text;
    const auto attempt = changed.find("\"a\":\"attempt\"");
    const auto endpoint = changed.find("\"s\":", attempt);
    changed[endpoint + 4] = changed[endpoint + 4] == '1' ? '2' : '1';
    std::istringstream in(changed);
    EXPECT_NE(replay(in, router_settings()).difference, "");
    Settings settings = router_settings();
    settings.max_attempts = 1;
    std::istringstream unchanged(text);
    EXPECT_NE(replay(unchanged, settings).difference, "");
}

TEST(JournalReplay, ALineTornByAKillIsSkippedBeforeTheNextRun) {
    const TemporaryFolder folder;
    const std::string file = folder.path + "/j";
    const std::string text = record_run(file, 7);
    std::filesystem::resize_file(file, text.size() * 2 / 3);
    const std::string both_runs = record_run(file, 8);
    std::istringstream in(both_runs);
    EXPECT_EQ(replay(in, router_settings()).difference, "");
    std::istringstream damaged(both_runs.substr(0, 100) + "}}\n" + both_runs.substr(100));
    EXPECT_THROW(replay(damaged, router_settings()), std::runtime_error);
}

JournalErrorCode error_code(const std::string& text) {
    std::istringstream in(text);
    try {
        replay(in, router_settings());
    } catch (const JournalError& error) {
        EXPECT_EQ(std::string(error.what()).rfind("line ", 0), 0U) << error.what();
        return error.code();
    }
    ADD_FAILURE() << "replayed without an error: " << text;
    return JournalErrorCode::malformed_line;
}

TEST(JournalReplay, DamageIsReportedByItsErrorCode) {
    const std::string seed = "{\"seed\":1}\n";
    EXPECT_EQ(error_code(seed + "[]\n"), JournalErrorCode::malformed_line);
    EXPECT_EQ(error_code(seed + "{\"e\":\"gone\",\"t\":1}\n"), JournalErrorCode::malformed_line);
    EXPECT_EQ(error_code("{\"e\":\"shutdown\",\"t\":1}\n"), JournalErrorCode::missing_seed);
    EXPECT_EQ(error_code(seed + "{\"e\":\"unheard\",\"t\":1}\n"), JournalErrorCode::unknown_event);
    EXPECT_EQ(error_code("{\"seed\":-1}\n"), JournalErrorCode::number_out_of_range);
    EXPECT_EQ(error_code(seed + "{\"e\":\"list\",\"t\":1,\"form\":9,\"of\":[]}\n"),
              JournalErrorCode::unknown_value);
}

}  // namespace
}  // namespace gorsenotch::state
