#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "state/decision_journal.h"
#include "state/snapshot_store.h"

namespace gorsenotch::state {
namespace {

struct Folder {
    std::string path;
    Folder() {
        char name[] = "/tmp/gorsenotch-state-XXXXXX";
        path = mkdtemp(name);
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string text(const std::string& name) const {
        std::ifstream in(path + "/" + name, std::ios::binary);
        std::ostringstream all;
        all << in.rdbuf();
        return all.str();
    }
    void put(const std::string& name, const std::string& text) const {
        std::ofstream(path + "/" + name, std::ios::binary | std::ios::trunc) << text;
    }
};

TEST(Saved, NewestWholeGeneration) {
    Folder folder;
    SnapshotStore store(folder.path, "x");
    std::string why;
    EXPECT_FALSE(store.load(why));
    EXPECT_EQ(why, "");
    for (const char* text : {"one", "", "three\nlines\n", "four"}) {
        ASSERT_TRUE(store.save(text, why)) << why;
        EXPECT_EQ(SnapshotStore(folder.path, "x").load(why), text);
    }
}

// The newer file cut short or with one byte changed anywhere: the older generation serves, and it is said so.
TEST(Saved, DamageAnywhereGivesTheOtherGeneration) {
    Folder folder;
    SnapshotStore store(folder.path, "x");
    std::string why;
    store.save("older", why), store.save("newer text", why);
    const std::string newer = folder.text("x.a").find("newer") != std::string::npos ? "x.a" : "x.b";
    const std::string whole = folder.text(newer);
    for (std::size_t n = 0; n < whole.size(); ++n) {
        folder.put(newer, whole.substr(0, n));
        EXPECT_EQ(store.load(why), "older") << n;
        EXPECT_NE(why, "");
        std::string flipped = whole;
        flipped[n] = static_cast<char>(flipped[n] ^ 1);
        folder.put(newer, flipped);
        EXPECT_EQ(store.load(why), "older") << n;
    }
    // What is saved next replaces the damaged file, never the good one.
    ASSERT_TRUE(store.save("newest", why));
    EXPECT_EQ(store.load(why), "newest");
    EXPECT_EQ(why, "");
    folder.put("x.a", "junk"), folder.put("x.b", "");
    EXPECT_FALSE(store.load(why));
    EXPECT_TRUE(store.save("again", why));
    EXPECT_EQ(store.load(why), "again");
}

TEST(Saved, ARefusalOfTheSystemIsToldAndHarmless) {
    Folder folder;
    SnapshotStore store(folder.path, "x");
    std::string why;
    store.save("kept", why);
    std::filesystem::create_directory(folder.path + "/x.new");  // nothing can be written aside
    EXPECT_FALSE(store.save("lost", why));
    EXPECT_NE(why, "");
    EXPECT_EQ(store.load(why), "kept");
    EXPECT_FALSE(SnapshotStore("/nowhere/at/all", "x").save("y", why));
}

Settings plain() {
    Settings settings;
    settings.classes = {{.latency_objective = 500, .deadline = 3000}};
    settings.kinds = {{Role::prefill, 1000}, {Role::decode, 1000}};
    settings.max_attempts = 4, settings.cancellation = true;
    return settings;
}

// A life of a Router under the journal: a list, a few requests and timers.
void live(DecisionObserver& w, std::uint64_t seed) {
    Router router(plain(), seed);
    std::vector<Action> actions;
    const auto feed = [&](Millis now, const Event& event) {
        actions.clear();
        w.on_event(now, event);
        router.handle(now, event, actions);
        for (const auto& reject : actions) w.on_action(reject);
    };
    EndpointUpdate list;
    for (EndpointId id : {1u, 2u, 11u, 12u}) list.endpoints.push_back({.id = id, .kind = id > 10});
    feed(1.25, list);
    for (int i = 0; i < 20; ++i) {
        Arrival arrival;
        arrival.request = "r" + std::to_string(i), arrival.deadline = 3000 + i, arrival.prompt_tokens = 100;
        arrival.session = 0xFFFFFFFFFFFFFFF0ULL + static_cast<unsigned>(i);
        feed(2 + i / 3.0, arrival);
        AttemptEnded ended;
        ended.request = arrival.request, ended.endpoint = 1,
        ended.result = i % 3 ? AttemptResult::prefill_done : AttemptResult::reset;
        ended.report.memory_utilization = 0.1 * i;
        feed(10 + i / 7.0, ended);
    }
    feed(30, TimerFired{0});
    feed(31, ClientDisconnected{"r3"});
}

std::string journal(const std::string& file, std::uint64_t seed) {
    auto w = open_journal(file, seed);
    live(*w, seed);
    w.reset();
    std::ifstream in(file);
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
}

TEST(Journal, ReplaysToTheSameActions) {
    Folder folder;
    std::istringstream in(journal(folder.path + "/j", 7));
    const auto r = replay(in, plain());
    EXPECT_EQ(r.difference, "");
    EXPECT_EQ(r.events, 43);
    EXPECT_GT(r.actions, 30);
}

TEST(Journal, TellsADifference) {
    Folder folder;
    const std::string text = journal(folder.path + "/j", 7);
    std::string other = text;
    const auto at = other.find("\"a\":\"attempt\"");
    const auto server = other.find("\"s\":", at);
    other[server + 4] = other[server + 4] == '1' ? '2' : '1';
    std::istringstream in(other);
    EXPECT_NE(replay(in, plain()).difference, "");
    Settings settings = plain();
    settings.max_attempts = 1;
    std::istringstream again(text);
    EXPECT_NE(replay(again, settings).difference, "");
}

TEST(Journal, TornByAKillAndGoneOnByTheNextLife) {
    Folder folder;
    const std::string file = folder.path + "/j";
    const std::string text = journal(file, 7);
    std::filesystem::resize_file(file, text.size() * 2 / 3);
    const std::string both = journal(file, 8);
    std::istringstream in(both);
    EXPECT_EQ(replay(in, plain()).difference, "");
    std::istringstream damaged(both.substr(0, 100) + "}}\n" + both.substr(100));
    EXPECT_THROW(replay(damaged, plain()), std::runtime_error);
}

}  // namespace
}  // namespace gorsenotch::state
