// A client connection: closes that race with incoming bytes, pipelined requests, timeouts.
#include "platform/client_connections_fixture.h"

namespace gorsenotch::test {
namespace {

// Guards against not closing the connection of a client that has sent `connection: close` and waits for the
// close: it would occupy a connection slot until its idle timeout.
TEST_F(ClientConnectionsTest, AStreamIsFollowedByAFinIfTheClientRequestedTheClose) {
    BlockingClient peer(clients->port());
    peer.send(replace_once(post_request("t1"), "x-lane", "connection: close\r\nx-lane"));
    run_until([&] { return times_sent("t1") > 0; });
    answer_exchanges();
    run_until([&] { return peer.read_available(), peer.ended; });
    EXPECT_NE(peer.text.find("connection: close\r\n"), std::string::npos);
    EXPECT_NE(peer.text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(peer.reset);
}

TEST_F(ClientConnectionsTest, AnUnreadRequestIsServedWhenTheGatewayStops) {
    const auto peer = idle_connection("t1");
    peer->send(post_request("t2"));  // in the kernel, and not read yet
    clients->stop_accepting();
    run_until([&] { return times_sent("t2") > 0; });
    answer_exchanges();
    run_until([&] { return peer->read_available(), peer->ended; });
    EXPECT_NE(peer->text.find("HTTP/1.1 200"), std::string::npos);
    EXPECT_NE(peer->text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_FALSE(peer->reset);
}

TEST_F(ClientConnectionsTest, ARequestAfterTheFinIsNotForwardedAndItsClientSeesNoReset) {
    const auto peer = idle_connection("t1");
    clients->stop_accepting();
    run_until([&] { return peer->read_available(), peer->ended; });
    peer->send(post_request("t2"));
    run(50);
    peer->read_available();
    EXPECT_EQ(times_sent("t2"), 0u);
    EXPECT_EQ(peer->text, "");
    EXPECT_FALSE(peer->reset) << "input after the FIN is read and discarded";
    peer->close();
    run_until([&] { return clients->connections() == 0; });
}

// Covers a pipelined request that the gateway has already read when it stops, and one that it has not.
TEST_F(ClientConnectionsTest, PipelinedRequestsAreServedWhenTheGatewayStops) {
    BlockingClient peer(clients->port());
    peer.send(post_request("t1") + post_request("t2"));
    run_until([&] { return times_sent("t1") > 0; });
    clients->stop_accepting();
    answer_exchanges();
    answer_exchanges();
    peer.send(post_request("t3"));  // unread as the first answer ends
    for (const char* txn : {"t2", "t3"}) {
        run_until([&] { return times_sent(txn) > 0; });
        answer_exchanges();
        answer_exchanges();
    }
    run_until([&] { return peer.read_available(), peer.ended; });
    EXPECT_EQ(peer.count("0\r\n\r\n"), 3u) << peer.text;
    EXPECT_FALSE(peer.reset);
}

// A drain in which requests that are complete only now could not end before the kill.
struct LateInDrainTest : ClientConnectionsTest {
    void begin_drain() {
        clients->drain(net::now());
        clients->stop_accepting();
    }
    // The peer gets a refusal and then a FIN, and no endpoint gets its request.
    void expect_refusal(BlockingClient& peer, const std::string& txn) {
        run_until([&] { return peer.read_available(), peer.ended || peer.reset; });
        EXPECT_EQ(peer.text.rfind("HTTP/1.1 503 ", 0), 0u) << peer.text;
        EXPECT_TRUE(peer.text.ends_with("\r\n\r\ndraining\n")) << "whole";
        EXPECT_FALSE(peer.reset);
        EXPECT_EQ(times_sent(txn), 0u);
    }
};

// Guards against a request that is taken after the listener was closed and lost to the kill: its client wrote
// it slowly, on a connection that was not idle.
TEST_F(LateInDrainTest, ASlowlyWrittenRequestIsRefusedOnceItIsComplete) {
    const std::string text = post_request("t1", std::string(100, 'x'));
    const std::size_t in_head = 30;
    const std::size_t in_body = text.size() - 50;
    for (const std::size_t first_part : {in_head, in_body}) {
        BlockingClient peer(clients->port());
        peer.send(text.substr(0, first_part));
        run(20);
        begin_drain();
        run(20);
        peer.read_available();
        EXPECT_EQ(peer.text, "") << "the client is still writing";
        peer.send(text.substr(first_part));
        expect_refusal(peer, "t1");
        SetUp();  // a new listener
    }
}

TEST_F(LateInDrainTest, ARequestOnAReusedConnectionIsRefused) {
    const auto peer = idle_connection("t1");
    peer->send(post_request("t2"));  // in the kernel, and not read yet
    begin_drain();
    expect_refusal(*peer, "t2");
}

TEST_F(LateInDrainTest, ARequestBehindAnOpenOneIsRefusedAfterItsAnswer) {
    BlockingClient peer(clients->port());
    peer.send(post_request("t1") + post_request("t2"));
    run_until([&] { return times_sent("t1") > 0; });
    begin_drain();
    answer_exchanges();
    answer_exchanges();
    run_until([&] { return peer.read_available(), peer.text.find("0\r\n\r\n") != std::string::npos; });
    peer.text.erase(0, peer.text.find("\r\n0\r\n\r\n") + 7);
    expect_refusal(peer, "t2");
}

TEST_F(LateInDrainTest, RequestsAreServedUntilTheyAreRefused) {
    BlockingClient peer(clients->port());
    clients->drain(net::now() + 60000);
    peer.send(post_request("t1"));
    run_until([&] { return times_sent("t1") > 0; });
    answer_exchanges();
    answer_exchanges();
    run_until([&] { return peer.read_available(), peer.text.find("0\r\n\r\n") != std::string::npos; });
}

// Guards against a request whose last byte arrives just before the kill, which leaves no time to refuse it.
TEST_F(LateInDrainTest, AnIncompleteRequestIsRefusedBeforeTheKill) {
    BlockingClient peer(clients->port());
    const std::string text = post_request("t1", std::string(100, 'x'));
    peer.send(text.substr(0, text.size() - 50));
    run(20);
    begin_drain();
    clients->refuse_incomplete_requests();
    peer.send(text.substr(text.size() - 50));
    expect_refusal(peer, "t1");
}

struct ShortRequestTimeoutTest : ClientConnectionsTest {
    void SetUp() override {
        ClientConnections::Config limited;
        limited.limits.request_timeout = 150;
        start(limited);
    }
};

// Guards against treating an empty line as the start of a request. Some clients send one after a body (RFC
// 9112, 2.2); they would be answered 408 on an idle connection, possibly just as they send their next
// request.
TEST_F(ShortRequestTimeoutTest, EmptyLinesBeforeARequestAreIgnored) {
    const auto peer = idle_connection("t1");
    peer->send("\r\n");
    run(400);
    peer->read_available();
    EXPECT_EQ(peer->text, "");
    EXPECT_FALSE(peer->ended);
    peer->send("\r\n" + post_request("t2"));
    run_until([&] { return times_sent("t2") > 0; });
    answer_exchanges();
    run_until([&] { return peer->read_available(), peer->text.find("0\r\n\r\n") != std::string::npos; });
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

TEST_F(ShortIdleTimeoutTest, ARequestThatCrossesTheIdleFinSeesNoReset) {
    const auto peer = idle_connection("t1");
    run_until([&] { return peer->read_available(), peer->ended; });
    peer->send(post_request("t2"));
    run(30);
    peer->read_available();
    EXPECT_EQ(times_sent("t2"), 0u);
    EXPECT_FALSE(peer->reset);
}

TEST_F(ShortIdleTimeoutTest, ANewConnectionWithoutARequestEndsWithoutAnAnswerOrReset) {
    BlockingClient peer(clients->port());
    run_until([&] { return peer.read_available(), peer.ended || peer.reset; });
    EXPECT_FALSE(peer.reset);
    EXPECT_EQ(peer.text, "");
}

TEST_F(ClientConnectionsTest, TooManyPipelinedBytesEndTheConnectionAndCancelItsRequest) {
    BlockingClient peer(clients->port());
    peer.send(post_request("t1"));
    run_until([&] { return times_sent("t1") > 0; });
    const auto prefill = environment.exchanges.back().exchange;
    for (int i = 0; i < 10; ++i) peer.send(post_request("flood" + std::to_string(i), std::string(2000, 'x')));
    run_until([&] { return peer.read_available(), peer.ended; });
    EXPECT_TRUE(prefill->has_outcome());
    EXPECT_EQ(times_sent("flood0"), 0u);
    EXPECT_FALSE(peer.reset);
    answer_exchanges();
}

}  // namespace
}  // namespace gorsenotch::test
