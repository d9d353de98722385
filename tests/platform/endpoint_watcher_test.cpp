// The watch on discovery, over sockets of this process, against a stand-in that falls silent, resets,
// refuses, answers in pieces, late or not at all. Times are a tenth of those in service.
#include "platform/endpoint_watcher.h"

#include <gtest/gtest.h>

#include <list>

#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::test {
namespace {

using namespace gorsenotch::net;
using platform::EndpointWatcher;

constexpr EndpointWatcher::Config kConfig{200, 50, 30, 30, 10, 200};

// Discovery: answers each call as told, or holds those that wait until change().
class Discovery {
public:
    explicit Discovery(EventLoop& loop) : loop_(loop), listener_(loop) {
        listener_.on_stream = [this](std::unique_ptr<TcpStream> stream) {
            if (refuses) return;
            conns_.emplace_back();
            Conn& connection = conns_.back();
            connection.stream = std::move(stream);
            // The time that it waits is over: nothing new.
            connection.hold = std::make_unique<Timer>(loop_, [this, &connection] {
                if (connection.waits && !silent) answer(connection);
            });
            connection.trickle = std::make_unique<Timer>(loop_, [this, &connection] {
                connection.stream->write(connection.rest.substr(0, 1));
                connection.rest.erase(0, 1);
                if (!connection.rest.empty()) connection.trickle->fire_after(between_pieces);
            });
            connection.stream->on_data = [this, &connection](std::string_view bytes) {
                data(connection, bytes);
            };
            connection.stream->on_end = [](int) {};
            connection.stream->set_reading(true);
        };
        EXPECT_EQ(listener_.listen("127.0.0.1:0"), 0);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
    void change() {
        ++version;
        if (silent) return;
        for (auto& connection : conns_) {
            if (connection.waits) answer(connection);
        }
    }
    void reset() { conns_.clear(); }
    void mute() {  // what is open says nothing more
        for (auto& connection : conns_) connection.mute = true;
    }

    int version = 1, calls = 0;
    Millis between_pieces = 2;
    Millis delay = 0;  // of each answer that does not wait for a change
    bool silent = false, refuses = false, pieces = false, closes = false, half = false, trickles = false;

private:
    struct Conn {
        std::unique_ptr<TcpStream> stream;
        std::unique_ptr<Timer> hold, trickle, late;
        std::string text, rest;
        bool waits = false, mute = false;
    };
    void data(Conn& connection, std::string_view bytes) {
        connection.text.append(bytes);
        if (connection.text.find("\r\n\r\n") == std::string::npos) return;
        const auto from = connection.text.find("from=");
        connection.waits =
            from != std::string::npos && std::stoi(connection.text.substr(from + 5)) >= version;
        const auto hold = connection.text.find("hold_ms=");
        if (connection.waits && hold != std::string::npos)
            connection.hold->fire_after(std::stoi(connection.text.substr(hold + 8)));
        connection.text.clear();
        ++calls;
        if (silent || connection.waits) return;
        if (delay <= 0) return answer(connection);
        connection.late = std::make_unique<Timer>(loop_, [this, &connection] { answer(connection); });
        connection.late->fire_after(delay);
    }
    void answer(Conn& connection) {
        if (connection.mute) return;
        connection.waits = false;
        const std::string body = "{\n  \"seq\": " + std::to_string(version) + "\n}";
        const std::string all = "HTTP/1.1 200 OK\r\n" + std::string(closes ? "connection: close\r\n" : "") +
                                "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (half) return connection.stream->write(all.substr(0, all.size() / 2));
        if (trickles) {
            connection.rest = all;
            return connection.trickle->fire_after(2);
        }
        if (!pieces) return connection.stream->write(all);
        for (const char byte : all) connection.stream->write(std::string(1, byte));
    }
    EventLoop& loop_;
    TcpListener listener_;
    std::list<Conn> conns_;
};

struct WatchTest : ::testing::Test {
    EventLoop loop;
    Discovery discovery{loop};
    EndpointWatcher watch{loop, 1, kConfig};
    int seen = 0, faults = 0, moves = 0;
    Millis seen_at = 0;

    void SetUp() override {
        watch.on_list = [this](const std::string& body, bool moved) -> std::optional<std::uint64_t> {
            moves += moved;
            const auto at = body.find("\"seq\":");
            if (at == std::string::npos) return std::nullopt;
            const int version = std::stoi(body.substr(at + 6));
            if (version != seen) seen = version, seen_at = now();
            return static_cast<std::uint64_t>(seen);
        };
        watch.on_fault = [this](const std::string&) { ++faults; };
    }
    void run(Millis ms) {
        Timer end(loop, [this] { loop.stop(); });
        end.fire_after(ms);
        loop.run();
    }
};

TEST_F(WatchTest, AChangeIsToldAtOnceInPiecesOfOneByteToo) {
    discovery.pieces = true;
    watch.watch_address(discovery.address());
    run(60);
    ASSERT_EQ(seen, 1);
    discovery.change();
    run(60);
    EXPECT_EQ(seen, 2);
    EXPECT_EQ(faults, 0);
}

// The rule: 6 s after a watch fell silent what it missed counts as told; 600 ms here.
TEST_F(WatchTest, ASilentWatchIsGivenUpAndWhatItMissedIsThereInTime) {
    watch.watch_address(discovery.address());
    run(60);
    ASSERT_EQ(seen, 1);
    discovery.mute();
    discovery.change();
    const Millis since = now();
    run(700);
    EXPECT_EQ(seen, 2);
    EXPECT_LT(seen_at - since, 400);
    EXPECT_EQ(faults, 1) << "told once";
}

TEST_F(WatchTest, AResetIsFollowedByANewWatchAtOnce) {
    watch.watch_address(discovery.address());
    run(60);
    discovery.reset();
    ++discovery.version;
    run(100);
    EXPECT_EQ(seen, 2);
}

// An outage of 0.8 s: calls are taken and not answered, connections refused in between. What discovery has at
// its return counts at once.
TEST_F(WatchTest, TheReturnAfterAnOutageIsNoticedAtOnce) {
    watch.watch_address(discovery.address());
    run(60);
    discovery.silent = true;
    discovery.change();
    run(400);
    discovery.refuses = true;
    discovery.reset();
    run(400);
    discovery.refuses = discovery.silent = false;
    const Millis back = now();
    run(300);
    EXPECT_EQ(seen, 2);
    EXPECT_LT(seen_at - back, 100);
    EXPECT_LT(discovery.calls, 60) << "and discovery is not flooded meanwhile";
}

// Guards against a process that starts while discovery is silent and hears of its return too late: what came
// while it was silent is never answered, so the next call has to come within the least grace that a drain has
// (250 ms), as what discovery has at its return counts at once. In the times of service.
TEST_F(WatchTest, TheReturnOfADiscoveryThatSwallowedCallsIsNoticedWithinADrainsGrace) {
    discovery.silent = true;
    EndpointWatcher watched(loop, 1, EndpointWatcher::Config());
    watched.on_list = watch.on_list;
    watched.on_fault = [](const std::string&) {};
    watched.watch_address(discovery.address());
    for (int i = 0; i < 4; ++i) {
        const int before = discovery.calls;
        while (discovery.calls == before) run(1);
    }
    const Millis back = now();  // right after a call came, which is the worst moment
    discovery.silent = false;
    while (seen == 0 && now() < back + 1000) run(1);
    EXPECT_LE(seen_at - back, 290);  // 250 and 50 of slack, less what the list takes
}

// A list in pieces that come further apart than two tries is taken all the same.
TEST_F(WatchTest, AListWhosePiecesComeSeldomIsTaken) {
    discovery.trickles = true;
    discovery.between_pieces = 20;  // a piece is a byte: some 70 of them, 1.4 s
    EndpointWatcher watched(loop, 1, EndpointWatcher::Config{2000, 500, 15, 150, 5, 2000});
    watched.on_list = watch.on_list;
    watched.on_fault = [](const std::string&) {};
    watched.watch_address(discovery.address());
    const Millis began = now();
    while (seen == 0 && now() < began + 4000) run(5);
    EXPECT_EQ(seen, 1);
}

// May do harm, and must not, where each answer takes longer than that.
TEST_F(WatchTest, ADiscoveryThatAnswersSlowlyIsHeard) {
    for (const Millis delay : {250.0, 1500.0}) {
        seen = 0;
        discovery.delay = delay;
        EndpointWatcher watched(loop, 1, EndpointWatcher::Config());
        watched.on_list = watch.on_list;
        watched.on_fault = [](const std::string&) {};
        watched.watch_address(discovery.address());
        const Millis began = now();
        while (seen == 0 && now() < began + 3000) run(5);
        EXPECT_EQ(seen, 1) << delay;
        EXPECT_LE(now() - began, delay + 400);
    }
}

TEST_F(WatchTest, ACallThatIsOnlyLateIsStillTaken) {
    watch.watch_address(discovery.address());
    run(60);
    discovery.silent = true;
    run(330);  // overdue, and its successors get no answer either
    discovery.silent = false;
    discovery.change();  // the old call is answered after all
    run(25);
    EXPECT_EQ(seen, 2);
}

TEST_F(WatchTest, ANewAddressTakesOverOnceItAnswersAndTheOldOneTellsUntilThen) {
    Discovery other(loop);
    watch.watch_address(discovery.address());
    run(60);
    other.silent = true;
    other.version = 7;
    watch.watch_address(other.address());
    run(60);
    discovery.change();
    run(30);
    EXPECT_EQ(seen, 2) << "the old one is still heard";
    EXPECT_EQ(moves, 0);
    other.silent = false;
    run(100);
    EXPECT_EQ(seen, 7);
    EXPECT_EQ(moves, 1) << "its versions are its own";
    const int calls = other.calls;
    watch.watch_address(other.address());  // a reload that names the same address
    run(60);
    EXPECT_EQ(other.calls, calls) << "loses nothing that is open";
    watch.watch_address(discovery.address());
    watch.watch_address(other.address());  // twice in a row
    run(100);
    other.change();
    run(60);
    EXPECT_EQ(seen, 8);
}

// Guards against a list that is never taken, as each try ends before its last byte has come.
TEST_F(WatchTest, AListThatComesSlowlyIsTakenWhileItKeepsComing) {
    discovery.trickles = true;  // a byte every 2 ms, for over twice the time that an answer has to begin
    watch.watch_address(discovery.address());
    run(400);
    EXPECT_EQ(seen, 1);
    EXPECT_EQ(faults, 0);
}

TEST_F(WatchTest, AnAnswerThatStopsHalfWayIsGivenUpInTime) {
    watch.watch_address(discovery.address());
    run(60);
    discovery.half = true;
    discovery.change();
    run(100);
    EXPECT_EQ(seen, 1);
    discovery.half = false;
    run(350);
    EXPECT_EQ(seen, 2) << "the watch that has half an answer is overdue like a silent one";
    discovery.half = true;
    discovery.reset();
    run(100);
    discovery.half = false;
    ++discovery.version;
    run(150);
    EXPECT_EQ(seen, 3) << "a successor that gets half an answer is followed by another";
}

TEST_F(WatchTest, AResetWhileTheSuccessorWaitsLeavesTheSuccessor) {
    watch.watch_address(discovery.address());
    run(60);
    discovery.silent = true;
    run(270);  // overdue: a successor is out
    discovery.reset();
    ++discovery.version;
    discovery.silent = false;
    run(100);
    EXPECT_EQ(seen, 2);
}

TEST_F(WatchTest, AnAnswerThatIsRefusedIsFollowedByAWholeListSoon) {
    watch.watch_address(discovery.address());
    run(60);
    const auto take = watch.on_list;
    bool refuses = true;
    watch.on_list = [&](const std::string& body, bool moved) -> std::optional<std::uint64_t> {
        if (std::exchange(refuses, false)) return std::nullopt;
        return take(body, moved);
    };
    discovery.change();
    run(60);
    EXPECT_EQ(seen, 2);
}

TEST_F(WatchTest, AnAnswerThatEndsItsConnectionIsFollowedByAnother) {
    discovery.closes = true;
    watch.watch_address(discovery.address());
    run(60);
    ++discovery.version;
    run(100);
    EXPECT_EQ(seen, 2);
}

// A connection whose peer has sent and closed says so before the bytes are read.
TEST(Stream, ACloseIsSeenBehindBytesThatAreNotReadYet) {
    EventLoop loop;
    TcpListener listener(loop);
    std::unique_ptr<TcpStream> taken;
    listener.on_stream = [&](std::unique_ptr<TcpStream> stream) { taken = std::move(stream); };
    ASSERT_EQ(listener.listen("127.0.0.1:0"), 0);
    auto client = std::make_unique<TcpStream>(loop);
    ASSERT_EQ(client->connect("127.0.0.1:" + std::to_string(listener.port()), "",
                              [&](int) { client->write("half a request"); }),
              0);
    Timer stop(loop, [&] { loop.stop(); });
    stop.fire_after(30);
    loop.run();
    ASSERT_TRUE(taken);
    EXPECT_FALSE(taken->peer_closed());
    client.reset();
    stop.fire_after(30);
    loop.run();
    EXPECT_TRUE(taken->peer_closed());
}

}  // namespace
}  // namespace gorsenotch::test
