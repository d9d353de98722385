// The listener of client connections: capacity, eviction, and what lies unaccepted as the gateway stops.
#include <vector>

#include "platform/client_connections_fixture.h"

namespace gorsenotch::test {
namespace {

TEST_F(ClientConnectionsTest, AConnectionThatLiesUnacceptedAsTheGatewayDepartsIsServed) {
    const int port = clients->port();
    BlockingClient peer(port);
    peer.send(post("t1"));
    clients->stop_accepting();
    until([&] { return sent("t1") > 0; });
    serve();
    until([&] { return peer.look(), peer.ended; });
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

TEST_F(FewConnectionsTest, ARefusedConnectionGetsItsAnswerThoughItsRequestIsUnread) {
    BlockingClient one(clients->port());
    BlockingClient two(clients->port());
    one.send(post("t1")), two.send(post("t2"));
    until([&] { return sent("t1") + sent("t2") == 2; });
    BlockingClient third(clients->port());
    third.send(post("t3"));
    until([&] { return third.look(), third.ended || third.reset; });
    EXPECT_NE(third.text.find("HTTP/1.1 503"), std::string::npos);
    EXPECT_FALSE(third.reset);
    EXPECT_EQ(sent("t3"), 0u);
    serve();
    serve();
    until([&] { return one.look(), two.look(), !one.text.empty() && !two.text.empty(); });
}

TEST_F(FewConnectionsTest, TheOneThatMakesRoomIsNotOneWhoseRequestHasCome) {
    BlockingClient first(clients->port());
    BlockingClient second(clients->port());
    until([&] { return clients->connections() == 2; });
    run(150);
    BlockingClient third(clients->port());
    third.send(post("t2"));
    first.send(post("t1"));  // on the one that has been silent for longer; read after the third is accepted
    until([&] { return sent("t1") + sent("t2") == 2; });
    until([&] { return second.look(), second.ended; });
    serve();
    serve();
    until([&] { return first.look(), third.look(), !first.text.empty() && !third.text.empty(); });
    EXPECT_NE(first.text.find("HTTP/1.1 200"), std::string::npos);
    EXPECT_NE(third.text.find("HTTP/1.1 200"), std::string::npos);
    EXPECT_FALSE(first.reset || second.reset || third.reset);
}

TEST_F(FewConnectionsTest, ConnectionsThatEndAreBoundedUnderAFlood) {
    BlockingClient one(clients->port());
    BlockingClient two(clients->port());
    one.send(post("t1")), two.send(post("t2"));
    until([&] { return sent("t1") + sent("t2") == 2; });
    std::vector<std::unique_ptr<BlockingClient>> flood;
    for (int i = 0; i < 60; ++i) {
        flood.push_back(std::make_unique<BlockingClient>(clients->port()));
        run(1);
        EXPECT_LE(clients->connections(), 2 + ClientConnections::kMaxEndingConnections);
    }
    until([&] {
        std::size_t answered = 0;
        for (auto& client : flood) client->look(), answered += client->text.rfind("HTTP/1.1 503", 0) == 0;
        return answered == flood.size();
    });
    flood.clear();
    serve();
    serve();
    until([&] { return one.look(), two.look(), !one.text.empty() && !two.text.empty(); });
}

}  // namespace
}  // namespace gorsenotch::test
