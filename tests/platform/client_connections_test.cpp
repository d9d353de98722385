// Client connections of the platform, with real sockets on loopback: what is ended in the very moment in
// which bytes come. The peer's bytes lie in the kernel before the gateway acts, so each order happens every
// time.
#include "platform/client_connections.h"

#include <vector>

#include "platform/platform_world.h"
#include "support/blocking_client.h"

namespace gorsenotch::test {
namespace {

std::string post(const std::string& txn, const std::string& body = "{}") {
    return "POST /v1/chat/completions HTTP/1.1\r\nx-txn: " + txn +
           "\r\nx-lane: chat\r\nx-org: acme\r\nx-remaining: 5000m\r\ncontent-length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct ClientsTest : ::testing::Test {
    net::EventLoop loop;
    platform::Config config = parse_config(kConfig, "", "");
    FakeEnvironment world;
    EndpointList hosts{config.named, 0};
    RequestLifecycle relay{config.named, 1, hosts, world};
    std::unique_ptr<ClientConnections> clients;

    void start(ClientConnections::Config listener_config) {
        std::string why;
        auto list = hosts.take(config.known, EndpointList::Source::same_address, 0, why);
        ASSERT_TRUE(list) << why;
        relay.on_endpoint_update(std::move(*list));
        listener_config.listen = "127.0.0.1:0";
        clients = std::make_unique<ClientConnections>(loop, config.named, relay, listener_config);
        ASSERT_EQ(clients->listen(), 0);
    }
    void SetUp() override { start(ClientConnections::Config()); }
    void run(Millis ms) {
        net::Timer end(loop, [this] { loop.stop(); });
        end.fire_after(ms);
        loop.run();
    }
    // Runs the loop until `holds`, two seconds at most.
    void until(const std::function<bool()>& holds) {
        for (const Millis end = net::now() + 2000; !holds() && net::now() < end;) run(2);
        EXPECT_TRUE(holds());
    }
    std::size_t sent(const std::string& txn) const {
        return static_cast<std::size_t>(
            std::count_if(world.sent.begin(), world.sent.end(), [&](const FakeEnvironment::Sent& s) {
                return s.request.find("x-txn: " + txn + "\r\n") != std::string::npos;
            }));
    }
    // Serves whatever is out: reads are done, writes stream one event.
    void serve() {
        for (std::size_t i = 0; i < world.sent.size(); ++i) {
            const auto sent = world.sent[i];
            if (sent.attempt->is_over() || sent.closed) continue;
            if (sent.request.rfind("DELETE", 0) == 0) {
                sent.attempt->on_data("HTTP/1.1 204 No Content\r\n\r\n");
            } else if (sent.address == "10.0.0.3:1") {
                sent.attempt->on_data(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
            } else {
                sent.attempt->on_data("HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}");
            }
        }
    }
    // A connection on which one request has been answered.
    std::unique_ptr<BlockingClient> rested(const std::string& txn) {
        auto peer = std::make_unique<BlockingClient>(clients->port());
        peer->send(post(txn));
        until([&] { return sent(txn) > 0; });
        serve();
        until([&] { return peer->look(), peer->text.find("0\r\n\r\n") != std::string::npos; });
        peer->text.clear();
        return peer;
    }
};

// A client that asks for the close waits for it: it would hold its place for as long as idle ones may.
TEST_F(ClientsTest, AStreamWhoseClientAskedForTheCloseIsFollowedByAFin) {
    BlockingClient peer(clients->port());
    peer.send(with(post("t1"), "x-lane", "connection: close\r\nx-lane"));
    until([&] { return sent("t1") > 0; });
    serve();
    until([&] { return peer.look(), peer.ended; });
    EXPECT_NE(peer.text.find("connection: close\r\n"), std::string::npos);
    EXPECT_NE(peer.text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(peer.reset);
}

TEST_F(ClientsTest, ARequestThatLiesUnreadAsTheGatewayDepartsIsServed) {
    const auto peer = rested("t1");
    peer->send(post("t2"));  // in the kernel, and not read yet
    clients->stop_accepting();
    until([&] { return sent("t2") > 0; });
    serve();
    until([&] { return peer->look(), peer->ended; });
    EXPECT_NE(peer->text.find("HTTP/1.1 200"), std::string::npos);
    EXPECT_NE(peer->text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(peer->reset);
}

TEST_F(ClientsTest, AConnectionThatLiesUnacceptedAsTheGatewayDepartsIsServed) {
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

TEST_F(ClientsTest, ARequestThatComesAfterTheFinIsNotSentOnAndItsClientSeesNoReset) {
    const auto peer = rested("t1");
    clients->stop_accepting();
    until([&] { return peer->look(), peer->ended; });
    peer->send(post("t2"));
    run(50);
    peer->look();
    EXPECT_EQ(sent("t2"), 0u);
    EXPECT_EQ(peer->text, "");
    EXPECT_FALSE(peer->reset) << "what comes late is read and thrown away";
    peer->close();
    until([&] { return clients->connections() == 0; });
}

// Pipelined requests that the gateway has read behind an open one as it departs, and one that lies unread
// then.
TEST_F(ClientsTest, RequestsBehindAnOpenOneAreServedThoughTheGatewayDeparts) {
    BlockingClient peer(clients->port());
    peer.send(post("t1") + post("t2"));
    until([&] { return sent("t1") > 0; });
    clients->stop_accepting();
    serve();
    serve();
    peer.send(post("t3"));  // unread as the first answer ends
    for (const char* txn : {"t2", "t3"}) {
        until([&] { return sent(txn) > 0; });
        serve();
        serve();
    }
    until([&] { return peer.look(), peer.ended; });
    std::size_t answers = 0;
    for (std::size_t at = 0; (at = peer.text.find("0\r\n\r\n", at)) != std::string::npos; ++at) ++answers;
    EXPECT_EQ(answers, 3u) << peer.text;
    EXPECT_FALSE(peer.reset);
}

struct ShortPatienceTest : ClientsTest {
    void SetUp() override {
        ClientConnections::Config limited;
        limited.limits.request_timeout = 150;
        start(limited);
    }
};

// Guards against an empty line taken for half a request: some clients send one behind a body (RFC 9112, 2.2),
// and would be answered 408 on a connection that rests, in which their next request may cross.
TEST_F(ShortPatienceTest, EmptyLinesBeforeARequestAreNoRequest) {
    const auto peer = rested("t1");
    peer->send("\r\n");
    run(400);
    peer->look();
    EXPECT_EQ(peer->text, "");
    EXPECT_FALSE(peer->ended);
    peer->send("\r\n" + post("t2"));
    until([&] { return sent("t2") > 0; });
    serve();
    until([&] { return peer->look(), peer->text.find("0\r\n\r\n") != std::string::npos; });
    EXPECT_EQ(peer->text.rfind("HTTP/1.1 200", 0), 0u) << peer->text;
}

struct FewPlacesTest : ClientsTest {
    void SetUp() override {
        ClientConnections::Config limited;
        limited.limits.max_connections = 2;
        limited.limits.min_idle = 50;
        start(limited);
    }
};

TEST_F(FewPlacesTest, ARefusedConnectionGetsItsAnswerThoughItsRequestIsUnread) {
    BlockingClient one(clients->port()), two(clients->port());
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

TEST_F(FewPlacesTest, TheOneThatMakesRoomIsNotOneWhoseRequestHasCome) {
    BlockingClient first(clients->port()), second(clients->port());
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

TEST_F(FewPlacesTest, ConnectionsThatEndAreBoundedUnderAFlood) {
    BlockingClient one(clients->port()), two(clients->port());
    one.send(post("t1")), two.send(post("t2"));
    until([&] { return sent("t1") + sent("t2") == 2; });
    std::vector<std::unique_ptr<BlockingClient>> flood;
    for (int i = 0; i < 60; ++i) {
        flood.push_back(std::make_unique<BlockingClient>(clients->port()));
        run(1);
        EXPECT_LE(clients->connections(), 2 + ClientConnections::kEndingMost);
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

struct ShortIdleTest : ClientsTest {
    void SetUp() override {
        ClientConnections::Config limited;
        limited.limits.min_idle = 150;
        limited.limits.max_idle = 150;
        limited.limits.request_timeout = 200;
        start(limited);
    }
};

TEST_F(ShortIdleTest, AnIdleConnectionEndsByAFinThatCrossesARequestWithoutAReset) {
    const auto peer = rested("t1");
    until([&] { return peer->look(), peer->ended; });
    peer->send(post("t2"));
    run(30);
    peer->look();
    EXPECT_EQ(sent("t2"), 0u);
    EXPECT_FALSE(peer->reset);
}

TEST_F(ShortIdleTest, ASilentNewConnectionEndsWithoutAnAnswerAndWithoutAReset) {
    BlockingClient peer(clients->port());
    until([&] { return peer.look(), peer.ended || peer.reset; });
    EXPECT_FALSE(peer.reset);
    EXPECT_EQ(peer.text, "");
}

TEST_F(ClientsTest, WhoSendsTooMuchBehindAnOpenRequestIsEndedAndItsRequestCalledOff) {
    BlockingClient peer(clients->port());
    peer.send(post("t1"));
    until([&] { return sent("t1") > 0; });
    const auto read = world.sent.back().attempt;
    for (int i = 0; i < 10; ++i) peer.send(post("flood" + std::to_string(i), std::string(2000, 'x')));
    until([&] { return peer.look(), peer.ended; });
    EXPECT_TRUE(read->is_over());
    EXPECT_EQ(sent("flood0"), 0u);
    EXPECT_FALSE(peer.reset);
    serve();
}

}  // namespace
}  // namespace gorsenotch::test
