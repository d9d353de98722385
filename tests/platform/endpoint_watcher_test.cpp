// EndpointWatcher, over loopback sockets, with a fake discovery that stops responding, resets or rejects
// connections, or responds slowly, partially or not at all. Times are a tenth of the defaults, unless noted.
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

// A discovery whose faults the test controls. It holds polls for changes until publish_change() or the end of
// their hold time.
class FakeDiscovery {
public:
    explicit FakeDiscovery(EventLoop& loop) : loop_(loop), listener_(loop) {
        listener_.on_stream = [this](std::unique_ptr<TcpStream> stream) {
            if (rejects_connections) return;
            connections_.emplace_back();
            Connection& connection = connections_.back();
            connection.stream = std::move(stream);
            // The hold time has passed without a change.
            connection.hold_timer = std::make_unique<Timer>(loop_, [this, &connection] {
                if (connection.waiting && !unresponsive) answer(connection);
            });
            connection.byte_timer = std::make_unique<Timer>(loop_, [this, &connection] {
                connection.stream->write(connection.unsent.substr(0, 1));
                connection.unsent.erase(0, 1);
                if (!connection.unsent.empty()) connection.byte_timer->fire_after(byte_interval);
            });
            connection.stream->on_data = [this, &connection](std::string_view bytes) {
                on_data(connection, bytes);
            };
            connection.stream->on_end = [](int) {};
            connection.stream->set_reading(true);
        };
        EXPECT_EQ(listener_.listen("127.0.0.1:0"), 0);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
    void publish_change() {
        ++version;
        if (unresponsive) return;
        for (auto& connection : connections_) {
            if (connection.waiting) answer(connection);
        }
    }
    void reset() { connections_.clear(); }
    void stop_answering_open_polls() {
        for (auto& connection : connections_) connection.unresponsive = true;
    }

    int version = 1, polls = 0;
    Millis byte_interval = 2;
    Millis response_delay = 0;  // of each response to a poll that is not held
    bool unresponsive = false, rejects_connections = false, writes_single_bytes = false,
         closes_connections = false, writes_half = false, writes_slowly = false;

private:
    struct Connection {
        std::unique_ptr<TcpStream> stream;
        std::unique_ptr<Timer> hold_timer, byte_timer, delay_timer;
        std::string request, unsent;
        bool waiting = false, unresponsive = false;
    };
    void on_data(Connection& connection, std::string_view bytes) {
        connection.request.append(bytes);
        if (connection.request.find("\r\n\r\n") == std::string::npos) return;
        const auto from = connection.request.find("from=");
        connection.waiting =
            from != std::string::npos && std::stoi(connection.request.substr(from + 5)) >= version;
        const auto hold_at = connection.request.find("hold_ms=");
        if (connection.waiting && hold_at != std::string::npos)
            connection.hold_timer->fire_after(std::stoi(connection.request.substr(hold_at + 8)));
        connection.request.clear();
        ++polls;
        if (unresponsive || connection.waiting) return;
        if (response_delay <= 0) return answer(connection);
        connection.delay_timer = std::make_unique<Timer>(loop_, [this, &connection] { answer(connection); });
        connection.delay_timer->fire_after(response_delay);
    }
    void answer(Connection& connection) {
        if (connection.unresponsive) return;
        connection.waiting = false;
        const std::string body = "{\n  \"seq\": " + std::to_string(version) + "\n}";
        const std::string response = "HTTP/1.1 200 OK\r\n" +
                                     std::string(closes_connections ? "connection: close\r\n" : "") +
                                     "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (writes_half) return connection.stream->write(response.substr(0, response.size() / 2));
        if (writes_slowly) {
            connection.unsent = response;
            return connection.byte_timer->fire_after(2);
        }
        if (!writes_single_bytes) return connection.stream->write(response);
        for (const char byte : response) connection.stream->write(std::string(1, byte));
    }
    EventLoop& loop_;
    TcpListener listener_;
    std::list<Connection> connections_;
};

struct EndpointWatcherTest : ::testing::Test {
    EventLoop loop;
    FakeDiscovery discovery{loop};
    EndpointWatcher watcher{loop, 1, kConfig};
    int received_version = 0, faults = 0, address_changes = 0;
    Millis received_at = 0;

    void SetUp() override {
        watcher.on_list = [this](const std::string& body,
                                 bool from_new_address) -> std::optional<std::uint64_t> {
            address_changes += from_new_address;
            const auto at = body.find("\"seq\":");
            if (at == std::string::npos) return std::nullopt;
            const int version = std::stoi(body.substr(at + 6));
            if (version != received_version) received_version = version, received_at = now();
            return static_cast<std::uint64_t>(received_version);
        };
        watcher.on_fault = [this](const std::string&) { ++faults; };
    }
    void run(Millis duration) {
        Timer end(loop, [this] { loop.stop(); });
        end.fire_after(duration);
        loop.run();
    }
};

TEST_F(EndpointWatcherTest, AChangeArrivesAtOnceEvenInSingleBytes) {
    discovery.writes_single_bytes = true;
    watcher.watch_address(discovery.address());
    run(60);
    ASSERT_EQ(received_version, 1);
    discovery.publish_change();
    run(60);
    EXPECT_EQ(received_version, 2);
    EXPECT_EQ(faults, 0);
}

// The platform requires missed changes to apply within 6 s after discovery has stopped responding on a
// connection; that is 600 ms here.
TEST_F(EndpointWatcherTest, AnUnresponsivePollIsReplacedAndMissedChangesArriveInTime) {
    watcher.watch_address(discovery.address());
    run(60);
    ASSERT_EQ(received_version, 1);
    discovery.stop_answering_open_polls();
    discovery.publish_change();
    const Millis changed_at = now();
    run(700);
    EXPECT_EQ(received_version, 2);
    EXPECT_LT(received_at - changed_at, 400);
    EXPECT_EQ(faults, 1) << "reported once";
}

TEST_F(EndpointWatcherTest, AResetIsFollowedByANewPollAtOnce) {
    watcher.watch_address(discovery.address());
    run(60);
    discovery.reset();
    ++discovery.version;
    run(100);
    EXPECT_EQ(received_version, 2);
}

// An outage of 0.8 s: first polls are accepted and not answered, then connections are rejected. The list of a
// recovered discovery applies at once, so it has to be fetched at once.
TEST_F(EndpointWatcherTest, RecoveryAfterAnOutageIsDetectedAtOnce) {
    watcher.watch_address(discovery.address());
    run(60);
    discovery.unresponsive = true;
    discovery.publish_change();
    run(400);
    discovery.rejects_connections = true;
    discovery.reset();
    run(400);
    discovery.rejects_connections = discovery.unresponsive = false;
    const Millis recovered_at = now();
    run(300);
    EXPECT_EQ(received_version, 2);
    EXPECT_LT(received_at - recovered_at, 100);
    EXPECT_LT(discovery.polls, 60) << "discovery must not be flooded meanwhile";
}

// Guards against a process that starts while discovery is unresponsive and detects its recovery too late:
// polls sent during the outage are never answered, and the list of the recovered discovery applies at once.
// So the next poll has to follow within the shortest drain grace period (250 ms). Uses the default times.
TEST_F(EndpointWatcherTest, RecoveryOfAnUnresponsiveDiscoveryIsDetectedWithinTheDrainGrace) {
    discovery.unresponsive = true;
    EndpointWatcher other_watcher(loop, 1, EndpointWatcher::Config());
    other_watcher.on_list = watcher.on_list;
    other_watcher.on_fault = [](const std::string&) {};
    other_watcher.watch_address(discovery.address());
    for (int i = 0; i < 4; ++i) {
        const int before = discovery.polls;
        while (discovery.polls == before) run(1);
    }
    const Millis recovered_at = now();  // the worst case: right after a poll was received
    discovery.unresponsive = false;
    while (received_version == 0 && now() < recovered_at + 1000) run(1);
    EXPECT_LE(received_at - recovered_at, 290);  // 250 ms and 50 ms of slack, less the transfer of the list
}

// Guards against rejecting a list whose bytes arrive further apart than the retry interval.
TEST_F(EndpointWatcherTest, AListWithLongGapsBetweenBytesIsAccepted) {
    discovery.writes_slowly = true;
    discovery.byte_interval = 20;  // about 70 bytes: 1.4 s
    EndpointWatcher other_watcher(loop, 1, EndpointWatcher::Config{2000, 500, 15, 150, 5, 2000});
    other_watcher.on_list = watcher.on_list;
    other_watcher.on_fault = [](const std::string&) {};
    other_watcher.watch_address(discovery.address());
    const Millis started_at = now();
    while (received_version == 0 && now() < started_at + 4000) run(5);
    EXPECT_EQ(received_version, 1);
}

// Guards against the short timeouts discarding every response of a discovery that responds more slowly than
// the retry interval.
TEST_F(EndpointWatcherTest, ASlowDiscoveryIsAccepted) {
    for (const Millis delay : {250.0, 1500.0}) {
        received_version = 0;
        discovery.response_delay = delay;
        EndpointWatcher other_watcher(loop, 1, EndpointWatcher::Config());
        other_watcher.on_list = watcher.on_list;
        other_watcher.on_fault = [](const std::string&) {};
        other_watcher.watch_address(discovery.address());
        const Millis started_at = now();
        while (received_version == 0 && now() < started_at + 3000) run(5);
        EXPECT_EQ(received_version, 1) << delay;
        EXPECT_LE(now() - started_at, delay + 400);
    }
}

TEST_F(EndpointWatcherTest, ALateResponseIsStillAccepted) {
    watcher.watch_address(discovery.address());
    run(60);
    discovery.unresponsive = true;
    run(330);  // the poll is overdue, and its successors are not answered either
    discovery.unresponsive = false;
    discovery.publish_change();  // answers the old poll after all
    run(25);
    EXPECT_EQ(received_version, 2);
}

TEST_F(EndpointWatcherTest, TheOldAddressIsUsedUntilTheNewOneAnswers) {
    FakeDiscovery other(loop);
    watcher.watch_address(discovery.address());
    run(60);
    other.unresponsive = true;
    other.version = 7;
    watcher.watch_address(other.address());
    run(60);
    discovery.publish_change();
    run(30);
    EXPECT_EQ(received_version, 2) << "the old address is still in use";
    EXPECT_EQ(address_changes, 0);
    other.unresponsive = false;
    run(100);
    EXPECT_EQ(received_version, 7);
    EXPECT_EQ(address_changes, 1) << "the versions of the new address are independent";
    const int polls = other.polls;
    watcher.watch_address(other.address());  // a reload that names the same address
    run(60);
    EXPECT_EQ(other.polls, polls) << "the open poll is kept";
    watcher.watch_address(discovery.address());
    watcher.watch_address(other.address());  // twice in a row
    run(100);
    other.publish_change();
    run(60);
    EXPECT_EQ(received_version, 8);
}

// Guards against never accepting a slow list because each poll times out before its last byte.
TEST_F(EndpointWatcherTest, ASlowListIsAcceptedWhileItMakesProgress) {
    discovery.writes_slowly = true;  // a byte every 2 ms, for more than twice full_list_timeout
    watcher.watch_address(discovery.address());
    run(400);
    EXPECT_EQ(received_version, 1);
    EXPECT_EQ(faults, 0);
}

TEST_F(EndpointWatcherTest, AnIncompleteResponseIsReplacedInTime) {
    watcher.watch_address(discovery.address());
    run(60);
    discovery.writes_half = true;
    discovery.publish_change();
    run(100);
    EXPECT_EQ(received_version, 1);
    discovery.writes_half = false;
    run(350);
    EXPECT_EQ(received_version, 2) << "a poll with an incomplete response is overdue like an unanswered one";
    discovery.writes_half = true;
    discovery.reset();
    run(100);
    discovery.writes_half = false;
    ++discovery.version;
    run(150);
    EXPECT_EQ(received_version, 3) << "a successor with an incomplete response is followed by another";
}

TEST_F(EndpointWatcherTest, AResetOfTheActivePollDoesNotEndTheSuccessor) {
    watcher.watch_address(discovery.address());
    run(60);
    discovery.unresponsive = true;
    run(270);  // the poll is overdue and a successor was started
    discovery.reset();
    ++discovery.version;
    discovery.unresponsive = false;
    run(100);
    EXPECT_EQ(received_version, 2);
}

TEST_F(EndpointWatcherTest, ARejectedResponseIsSoonFollowedByAFullList) {
    watcher.watch_address(discovery.address());
    run(60);
    const auto accept = watcher.on_list;
    bool reject_next = true;
    watcher.on_list = [&](const std::string& body, bool from_new_address) -> std::optional<std::uint64_t> {
        if (std::exchange(reject_next, false)) return std::nullopt;
        return accept(body, from_new_address);
    };
    discovery.publish_change();
    run(60);
    EXPECT_EQ(received_version, 2);
}

TEST_F(EndpointWatcherTest, AResponseThatClosesItsConnectionIsFollowedByAnotherPoll) {
    discovery.closes_connections = true;
    watcher.watch_address(discovery.address());
    run(60);
    ++discovery.version;
    run(100);
    EXPECT_EQ(received_version, 2);
}

// peer_closed() has to detect a FIN while bytes before it are still unread.
TEST(Stream, AFinIsDetectedBehindUnreadBytes) {
    EventLoop loop;
    TcpListener listener(loop);
    std::unique_ptr<TcpStream> accepted;
    listener.on_stream = [&](std::unique_ptr<TcpStream> stream) { accepted = std::move(stream); };
    ASSERT_EQ(listener.listen("127.0.0.1:0"), 0);
    auto client = std::make_unique<TcpStream>(loop);
    ASSERT_EQ(client->connect("127.0.0.1:" + std::to_string(listener.port()), "",
                              [&](int) { client->write("half a request"); }),
              0);
    Timer stop(loop, [&] { loop.stop(); });
    stop.fire_after(30);
    loop.run();
    ASSERT_TRUE(accepted);
    EXPECT_FALSE(accepted->peer_closed());
    client.reset();
    stop.fire_after(30);
    loop.run();
    EXPECT_TRUE(accepted->peer_closed());
}

}  // namespace
}  // namespace gorsenotch::test
