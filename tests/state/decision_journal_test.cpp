// The decision journal: what is written is replayed to the same actions, and damage is named.
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

Settings plain() {
    Settings settings;
    settings.classes = {{.latency_objective = 500, .deadline = 3000}};
    settings.kinds = {{Role::prefill, 1000}, {Role::decode, 1000}};
    settings.max_attempts = 4;
    settings.cancellation = true;
    return settings;
}

// A life of a Router under the journal: a list, a few requests and timers.
void live(DecisionObserver& observer, std::uint64_t seed) {
    Router router(plain(), seed);
    std::vector<Action> actions;
    const auto feed = [&](Millis now, const Event& event) {
        actions.clear();
        observer.on_event(now, event);
        router.handle(now, event, actions);
        for (const auto& action : actions) observer.on_action(action);
    };
    EndpointUpdate list;
    for (EndpointId id : {1u, 2u, 11u, 12u}) list.endpoints.push_back({.id = id, .kind = id > 10});
    feed(1.25, list);
    for (int i = 0; i < 20; ++i) {
        Arrival arrival;
        arrival.request = "r" + std::to_string(i);
        arrival.deadline = 3000 + i;
        arrival.prompt_tokens = 100;
        arrival.session = 0xFFFFFFFFFFFFFFF0ULL + static_cast<unsigned>(i);
        feed(2 + i / 3.0, arrival);
        AttemptEnded ended;
        ended.request = arrival.request;
        ended.endpoint = 1;
        ended.result = i % 3 ? AttemptResult::prefill_done : AttemptResult::reset;
        ended.report.memory_utilization = 0.1 * i;
        feed(10 + i / 7.0, ended);
    }
    feed(30, TimerFired{0});
    feed(31, ClientDisconnected{"r3"});
}

std::string journal(const std::string& file, std::uint64_t seed) {
    auto observer = open_journal(file, seed);
    live(*observer, seed);
    observer.reset();
    std::ifstream in(file);
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
}

TEST(JournalReplay, ReplaysToTheSameActions) {
    const TemporaryFolder folder;
    std::istringstream in(journal(folder.path + "/j", 7));
    const auto result = replay(in, plain());
    EXPECT_EQ(result.difference, "");
    EXPECT_EQ(result.events, 43);
    EXPECT_GT(result.actions, 30);
}

TEST(JournalReplay, ReportsADifference) {
    const TemporaryFolder folder;
    const std::string text = journal(folder.path + "/j", 7);
    std::string other = text;
    const auto at = other.find("\"a\":\"attempt\"");
    const auto endpoint = other.find("\"s\":", at);
    other[endpoint + 4] = other[endpoint + 4] == '1' ? '2' : '1';
    std::istringstream in(other);
    EXPECT_NE(replay(in, plain()).difference, "");
    Settings settings = plain();
    settings.max_attempts = 1;
    std::istringstream again(text);
    EXPECT_NE(replay(again, settings).difference, "");
}

TEST(JournalReplay, ALineTornByAKillIsPassedOverBeforeTheNextLife) {
    const TemporaryFolder folder;
    const std::string file = folder.path + "/j";
    const std::string text = journal(file, 7);
    std::filesystem::resize_file(file, text.size() * 2 / 3);
    const std::string both = journal(file, 8);
    std::istringstream in(both);
    EXPECT_EQ(replay(in, plain()).difference, "");
    std::istringstream damaged(both.substr(0, 100) + "}}\n" + both.substr(100));
    EXPECT_THROW(replay(damaged, plain()), std::runtime_error);
}

JournalErrorCode error_code(const std::string& text) {
    std::istringstream in(text);
    try {
        replay(in, plain());
    } catch (const JournalError& error) {
        EXPECT_EQ(std::string(error.what()).rfind("line ", 0), 0U) << error.what();
        return error.code();
    }
    ADD_FAILURE() << "replayed: " << text;
    return JournalErrorCode::malformed_line;
}

TEST(JournalReplay, DamageIsNamedByItsCode) {
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
