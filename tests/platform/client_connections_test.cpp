// The listener of client connections: capacity, eviction, and connections not yet accepted when the gateway
// stops.
#include <vector>

#include "platform/client_connections_fixture.h"

namespace gorsenotch::test {
namespace {

TEST_F(ClientConnectionsTest, AConnectionInTheAcceptQueueIsServedWhenTheGatewayStops) {
    const int port = clients->port();
    BlockingClient peer(port);
    peer.send(post_request("t1"));
    clients->stop_accepting();
    run_until([&] { return times_sent("t1") > 0; });
    answer_exchanges();
    run_until([&] { return peer.read_available(), peer.ended; });
    EXPECT_NE(peer.text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(peer.reset);
}

struct FewConnectionsTest : ClientConnectionsTest {
    void SetUp() override {
        ClientConnections::Config limited;
        limited.limits.max_connections = 2;
        limited.limits.min_idle = 50;
        start(limited);
    }
};

TEST_F(FewConnectionsTest, ARejectedConnectionIsAnsweredThoughItsRequestIsUnread) {
    BlockingClient one(clients->port());
    BlockingClient two(clients->port());
    one.send(post_request("t1")), two.send(post_request("t2"));
    run_until([&] { return times_sent("t1") + times_sent("t2") == 2; });
    BlockingClient third(clients->port());
    third.send(post_request("t3"));
    run_until([&] { return third.read_available(), third.ended || third.reset; });
    EXPECT_NE(third.text.find("HTTP/1.1 503"), std::string::npos);
    EXPECT_FALSE(third.reset);
    EXPECT_EQ(times_sent("t3"), 0u);
    answer_exchanges();
    answer_exchanges();
    run_until(
        [&] { return one.read_available(), two.read_available(), !one.text.empty() && !two.text.empty(); });
}

TEST_F(FewConnectionsTest, AConnectionWithAnUnreadRequestIsNotEvictedButTheNextOldestIdleOneIs) {
    BlockingClient first(clients->port());
    BlockingClient second(clients->port());
    run_until([&] { return clients->connections() == 2; });
    run(150);
    BlockingClient third(clients->port());
    third.send(post_request("t2"));
    first.send(post_request("t1"));  // on the oldest connection; read only after the third is accepted
    run_until([&] { return times_sent("t1") + times_sent("t2") == 2; });
    run_until([&] { return second.read_available(), second.ended; });
    answer_exchanges();
    answer_exchanges();
    run_until([&] {
        return first.read_available(), third.read_available(), !first.text.empty() && !third.text.empty();
    });
    EXPECT_NE(first.text.find("HTTP/1.1 200"), std::string::npos);
    EXPECT_NE(third.text.find("HTTP/1.1 200"), std::string::npos);
    EXPECT_FALSE(first.reset || second.reset || third.reset);
}

TEST_F(FewConnectionsTest, ClosingConnectionsAreBoundedUnderAConnectionFlood) {
    BlockingClient one(clients->port());
    BlockingClient two(clients->port());
    one.send(post_request("t1")), two.send(post_request("t2"));
    run_until([&] { return times_sent("t1") + times_sent("t2") == 2; });
    std::vector<std::unique_ptr<BlockingClient>> flood;
    for (int i = 0; i < 60; ++i) {
        flood.push_back(std::make_unique<BlockingClient>(clients->port()));
        run(1);
        EXPECT_LE(clients->connections(), 2 + ClientConnections::kMaxEndingConnections);
    }
    run_until([&] {
        std::size_t answered = 0;
        for (auto& client : flood)
            client->read_available(), answered += client->text.rfind("HTTP/1.1 503", 0) == 0;
        return answered == flood.size();
    });
    flood.clear();
    answer_exchanges();
    answer_exchanges();
    run_until(
        [&] { return one.read_available(), two.read_available(), !one.text.empty() && !two.text.empty(); });
}

}  // namespace
}  // namespace gorsenotch::test
