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
    Folder f;
    SnapshotStore s(f.path, "x");
    std::string why;
    EXPECT_FALSE(s.load(why));
    EXPECT_EQ(why, "");
    for (const char* text : {"one", "", "three\nlines\n", "four"}) {
        ASSERT_TRUE(s.save(text, why)) << why;
        EXPECT_EQ(SnapshotStore(f.path, "x").load(why), text);
    }
}

// The newer file cut short or with one byte changed anywhere: the older generation serves, and it is said so.
TEST(Saved, DamageAnywhereGivesTheOtherGeneration) {
    Folder f;
    SnapshotStore s(f.path, "x");
    std::string why;
    s.save("older", why), s.save("newer text", why);
    const std::string newer = f.text("x.a").find("newer") != std::string::npos ? "x.a" : "x.b";
    const std::string whole = f.text(newer);
    for (std::size_t n = 0; n < whole.size(); ++n) {
        f.put(newer, whole.substr(0, n));
        EXPECT_EQ(s.load(why), "older") << n;
        EXPECT_NE(why, "");
        std::string flipped = whole;
        flipped[n] = static_cast<char>(flipped[n] ^ 1);
        f.put(newer, flipped);
        EXPECT_EQ(s.load(why), "older") << n;
    }
    // What is saved next replaces the damaged file, never the good one.
    ASSERT_TRUE(s.save("newest", why));
    EXPECT_EQ(s.load(why), "newest");
    EXPECT_EQ(why, "");
    f.put("x.a", "junk"), f.put("x.b", "");
    EXPECT_FALSE(s.load(why));
    EXPECT_TRUE(s.save("again", why));
    EXPECT_EQ(s.load(why), "again");
}

TEST(Saved, ARefusalOfTheSystemIsToldAndHarmless) {
    Folder f;
    SnapshotStore s(f.path, "x");
    std::string why;
    s.save("kept", why);
    std::filesystem::create_directory(f.path + "/x.new");  // nothing can be written aside
    EXPECT_FALSE(s.save("lost", why));
    EXPECT_NE(why, "");
    EXPECT_EQ(s.load(why), "kept");
    EXPECT_FALSE(SnapshotStore("/nowhere/at/all", "x").save("y", why));
}

Settings plain() {
    Settings s;
    s.classes = {{.latency_objective = 500, .deadline = 3000}};
    s.kinds = {{Role::prefill, 1000}, {Role::decode, 1000}};
    s.max_attempts = 4, s.cancellation = true;
    return s;
}

// A life of a Router under the journal: a list, a few requests and timers.
void live(DecisionObserver& w, std::uint64_t seed) {
    Router router(plain(), seed);
    std::vector<Action> actions;
    const auto feed = [&](Millis now, const Event& e) {
        actions.clear();
        w.on_event(now, e);
        router.handle(now, e, actions);
        for (const auto& a : actions) w.on_action(a);
    };
    EndpointUpdate list;
    for (EndpointId id : {1u, 2u, 11u, 12u}) list.endpoints.push_back({.id = id, .kind = id > 10});
    feed(1.25, list);
    for (int i = 0; i < 20; ++i) {
        Arrival a;
        a.request = "r" + std::to_string(i), a.deadline = 3000 + i, a.prompt_tokens = 100;
        a.session = 0xFFFFFFFFFFFFFFF0ULL + static_cast<unsigned>(i);
        feed(2 + i / 3.0, a);
        AttemptEnded o;
        o.request = a.request, o.endpoint = 1,
        o.result = i % 3 ? AttemptResult::prefill_done : AttemptResult::reset;
        o.report.memory_utilization = 0.1 * i;
        feed(10 + i / 7.0, o);
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
    Folder f;
    std::istringstream in(journal(f.path + "/j", 7));
    const auto r = replay(in, plain());
    EXPECT_EQ(r.difference, "");
    EXPECT_EQ(r.events, 43);
    EXPECT_GT(r.actions, 30);
}

TEST(Journal, TellsADifference) {
    Folder f;
    const std::string text = journal(f.path + "/j", 7);
    std::string other = text;
    const auto at = other.find("\"a\":\"attempt\"");
    const auto server = other.find("\"s\":", at);
    other[server + 4] = other[server + 4] == '1' ? '2' : '1';
    std::istringstream in(other);
    EXPECT_NE(replay(in, plain()).difference, "");
    Settings s = plain();
    s.max_attempts = 1;
    std::istringstream again(text);
    EXPECT_NE(replay(again, s).difference, "");
}

TEST(Journal, TornByAKillAndGoneOnByTheNextLife) {
    Folder f;
    const std::string file = f.path + "/j";
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
