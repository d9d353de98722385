// One connection of a client: what is ended in the very moment in which bytes come, pipelined requests,
// timeouts.
#include "platform/client_connections_fixture.h"

namespace gorsenotch::test {
namespace {

// A client that asks for the close waits for it: it would hold its place for as long as idle ones may.
TEST_F(ClientConnectionsTest, AStreamWhoseClientAskedForTheCloseIsFollowedByAFin) {
    BlockingClient peer(clients->port());
    peer.send(with(post("t1"), "x-lane", "connection: close\r\nx-lane"));
    until([&] { return sent("t1") > 0; });
    serve();
    until([&] { return peer.look(), peer.ended; });
    EXPECT_NE(peer.text.find("connection: close\r\n"), std::string::npos);
    EXPECT_NE(peer.text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(peer.reset);
}

TEST_F(ClientConnectionsTest, ARequestThatLiesUnreadAsTheGatewayDepartsIsServed) {
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

TEST_F(ClientConnectionsTest, ARequestThatComesAfterTheFinIsNotSentOnAndItsClientSeesNoReset) {
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
TEST_F(ClientConnectionsTest, RequestsBehindAnOpenOneAreServedThoughTheGatewayDeparts) {
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

struct ShortRequestTimeoutTest : ClientConnectionsTest {
    void SetUp() override {
        ClientConnections::Config limited;
        limited.limits.request_timeout = 150;
        start(limited);
    }
};

// Guards against an empty line taken for half a request: some clients send one behind a body (RFC 9112, 2.2),
// and would be answered 408 on a connection that rests, in which their next request may cross.
TEST_F(ShortRequestTimeoutTest, EmptyLinesBeforeARequestAreNoRequest) {
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

struct ShortIdleTimeoutTest : ClientConnectionsTest {
    void SetUp() override {
        ClientConnections::Config limited;
        limited.limits.min_idle = 150;
        limited.limits.max_idle = 150;
        limited.limits.request_timeout = 200;
        start(limited);
    }
};

TEST_F(ShortIdleTimeoutTest, AnIdleConnectionEndsByAFinThatCrossesARequestWithoutAReset) {
    const auto peer = rested("t1");
    until([&] { return peer->look(), peer->ended; });
    peer->send(post("t2"));
    run(30);
    peer->look();
    EXPECT_EQ(sent("t2"), 0u);
    EXPECT_FALSE(peer->reset);
}

TEST_F(ShortIdleTimeoutTest, ASilentNewConnectionEndsWithoutAnAnswerAndWithoutAReset) {
    BlockingClient peer(clients->port());
    until([&] { return peer.look(), peer.ended || peer.reset; });
    EXPECT_FALSE(peer.reset);
    EXPECT_EQ(peer.text, "");
}

TEST_F(ClientConnectionsTest, WhoSendsTooMuchBehindAnOpenRequestIsEndedAndItsRequestCalledOff) {
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
