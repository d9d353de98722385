// Back-pressure: an endpoint is not read while its client lags behind, and is read again afterwards.
#include "platform/client_connections_fixture.h"
#include "support/send_buffer.h"

namespace gorsenotch::test {
namespace {

// A body of `bytes`, in chunks of three bytes: the framing makes the answer several times as long.
std::string in_small_chunks(std::size_t bytes) {
    std::string text;
    for (std::size_t at = 0; at < bytes; at += 3) text += chunked("x\n\n");
    return text;
}

struct BackPressureTest : ClientConnectionsTest {
    static constexpr std::size_t kLongAnswerBytes = std::size_t{200} * 1024;

    // Sends a request and lets its stream begin; returns the index of its decode exchange.
    std::size_t begin_stream(BlockingClient& peer, const std::string& txn, const std::string& header = "") {
        peer.send(replace_once(post_request(txn), "x-lane", header + "x-lane"));
        run_until([&] { return times_sent(txn) == 1; });
        environment.exchanges.back().exchange->on_data(kPrefillAnswer);
        run_until([&] { return times_sent(txn) == 2; });
        const std::size_t index = environment.exchanges.size() - 1;
        environment.exchanges[index].exchange->on_data(kStreamHead + chunked("data: a\n\n"));
        return index;
    }
    void receive(std::size_t index, const std::string& bytes) {
        environment.exchanges[index].exchange->on_data(bytes);
    }
    bool is_paused(std::size_t index) const { return environment.exchanges[index].paused; }
    int pauses(std::size_t index) const { return environment.exchanges[index].pauses; }
    // The clock of the lifecycle is not the event loop's.
    void advance(Millis duration) { advance_clock(environment, lifecycle, duration, 100); }
    void finish_stream(BlockingClient& peer, std::size_t index) {
        receive(index, kStreamEnd);
        run_until([&] { return has_last_chunk(peer); });
    }
    // Sends a request whose answer comes as a burst: its stream is paused once, resumed, and delivered whole.
    void expect_pause_and_resume(BlockingClient& peer, const std::string& txn) {
        const std::size_t stream = begin_stream(peer, txn);
        receive(stream, in_small_chunks(kLongAnswerBytes));
        EXPECT_EQ(pauses(stream), 1);
        run_until([&] { return !is_paused(stream); });
        finish_stream(peer, stream);
    }
    // Sends readiness checks for as long as they are read; returns the number of those sent whole.
    std::size_t send_without_reading(BlockingClient& peer) {
        constexpr std::size_t kMaxUnsentBytes = std::size_t{512} * 1024;
        const std::string request = "GET /-/ready HTTP/1.1\r\n\r\n";
        std::string requests;
        for (int i = 0; i < 1000; ++i) requests += request;
        run(5);
        limit_send_buffer(peer.port());
        std::size_t sent_bytes = 0;
        std::size_t most_unsent_bytes = 0;
        for (int i = 0; i < 12; ++i) {
            sent_bytes += peer.send_available(requests.substr(sent_bytes % request.size()));
            run(30);
            most_unsent_bytes = std::max(most_unsent_bytes, clients->unsent_bytes());
        }
        EXPECT_LT(most_unsent_bytes, kMaxUnsentBytes);
        return sent_bytes / request.size();
    }
    static bool has_last_chunk(BlockingClient& peer) {
        peer.read_available();
        return peer.text.find("\r\n0\r\n\r\n") != std::string::npos;
    }
};

// A client that has acknowledged nothing for a short time counts as stalled.
struct ShortStallTimeoutTest : BackPressureTest {
    static constexpr Millis kStallTimeout = 1000;
    static constexpr double kReadBytesPerMs = 160;

    void SetUp() override {
        ClientConnections::Config listener_config;
        listener_config.limits.stall_timeout = kStallTimeout;
        start(listener_config);
    }
    // Has a long answer end whose client has asked for the close of the connection.
    void begin_long_last_answer(BlockingClient& peer) {
        const std::size_t stream = begin_stream(peer, "t1", "connection: close\r\n");
        limit_send_buffer(peer.port());
        receive(stream, in_small_chunks(kLongAnswerBytes) + kStreamEnd);
    }
};

// Guards against a client that has its requests answered at once, as many as it sends, before any other.
TEST_F(BackPressureTest, RequestsThatAreAnsweredAtOnceAreAnsweredInTurnWithOtherConnections) {
    constexpr std::size_t kRequests = 600;
    constexpr std::size_t kMaxUnsentBytes = std::size_t{8} * 1024;
    const std::string request = "GET /-/ready HTTP/1.1\r\n\r\n";
    std::string requests;
    for (std::size_t i = 0; i < kRequests; ++i) requests += request;
    BlockingClient peer(clients->port());
    BlockingClient other(clients->port());
    run(5);
    peer.send(requests);
    other.send(request);
    run_until([&] { return other.read_available(), other.count("HTTP/1.1 200") == 1; });
    peer.read_available();
    EXPECT_LT(peer.count("HTTP/1.1 200"), kRequests);
    EXPECT_LT(clients->unsent_bytes(), kMaxUnsentBytes);
    run_until([&] { return peer.read_available(), peer.count("HTTP/1.1 200") == kRequests; });
    peer.send(request);
    run_until([&] { return peer.read_available(), peer.count("HTTP/1.1 200") == kRequests + 1; });
}

// Guards against a stream paused for good: a burst exceeds the limit, the kernel takes all of it at once, and
// no queued write is left whose end would resume the stream.
TEST_F(BackPressureTest, AStreamPausedByABurstIsResumedWhenTheKernelTakesAllOfItAtOnce) {
    BlockingClient peer(clients->port());
    expect_pause_and_resume(peer, "t1");
}

// Guards against back-pressure that ends with the first request of a connection: the pause of an answer that
// ended while its client lagged must not be remembered for the next answer.
TEST_F(BackPressureTest, TheNextRequestOfTheConnectionIsPausedAndResumedToo) {
    BlockingClient peer(clients->port());
    const std::size_t first = begin_stream(peer, "t1");
    receive(first, in_small_chunks(kLongAnswerBytes) + kStreamEnd);
    run_until([&] { return has_last_chunk(peer); });
    peer.text.clear();
    expect_pause_and_resume(peer, "t2");
}

// Guards against a resume that no longer waits for the client: then a slow client beside a fast endpoint
// would fill the memory.
TEST_F(BackPressureTest, AStreamStaysPausedWhileItsClientDoesNotReadAndIsResumedOnceItDoes) {
    BlockingClient peer(clients->port());
    const std::size_t stream = begin_stream(peer, "t1");
    limit_send_buffer(peer.port());
    receive(stream, in_small_chunks(kLongAnswerBytes));
    run(100);
    EXPECT_TRUE(is_paused(stream));
    EXPECT_EQ(lifecycle.paused_streams(), 1u);
    EXPECT_GT(clients->unsent_bytes(), kLongAnswerBytes);
    EXPECT_EQ(pauses(stream), 1);
    run_until([&] { return peer.read_available(), !is_paused(stream); });
    finish_stream(peer, stream);
    EXPECT_EQ(lifecycle.paused_streams(), 0u);
}

// Guards against a client that stops reading and stays, whose paused stream holds its place at the endpoint
// without end; and against taking a client that reads slowly for one.
TEST_F(BackPressureTest, AClientThatReadsSlowlyKeepsItsStreamAndOneThatStopsReadingLosesIt) {
    constexpr std::size_t kSlowReadBytes = std::size_t{80} * 1024;
    BlockingClient peer(clients->port());
    const std::size_t stream = begin_stream(peer, "t1");
    limit_send_buffer(peer.port());
    receive(stream, in_small_chunks(kLongAnswerBytes));
    run(20);
    ASSERT_TRUE(is_paused(stream));
    for (int i = 0; i < 2; ++i) {
        advance(4000);
        peer.read_available(kSlowReadBytes);
        run(20);
        ASSERT_TRUE(is_paused(stream)) << "the client still lags behind";
        EXPECT_FALSE(environment.exchanges[stream].closed);
    }
    advance(10100);
    EXPECT_TRUE(environment.exchanges[stream].closed);
    EXPECT_EQ(lifecycle.counters().stalled_clients, 1u);
    run_until([&] { return peer.read_available(), peer.ended; });
    EXPECT_EQ(peer.text.find("\r\n0\r\n\r\n"), std::string::npos);
}

// Guards against a time limit on the rest of an answer that reading does not extend: a client that reads
// slowly but steadily would lose the end of its answer. One that has stopped reading is still disconnected.
TEST_F(ShortStallTimeoutTest, TheRestOfAnEndedAnswerIsSentForAsLongAsItsClientReads) {
    BlockingClient peer(clients->port());
    begin_long_last_answer(peer);
    const Millis started_at = net::now();
    while (!peer.ended && !peer.reset) {
        run(20);
        peer.read_up_to(kReadBytesPerMs * (net::now() - started_at));
    }
    EXPECT_TRUE(has_last_chunk(peer)) << peer.text.size() << " bytes";
    EXPECT_GT(net::now() - started_at, 2 * kStallTimeout) << "slow enough to show the fault";
    EXPECT_FALSE(peer.reset);
    peer.close();
    run_until([&] { return clients->connections() == 0; });
}

// Guards against memory that grows without bound: a client sends requests and does not read their answers.
// Once it reads them, all of its requests are answered.
TEST_F(BackPressureTest, AClientThatDoesNotReadItsAnswersIsNotReadEither) {
    BlockingClient peer(clients->port());
    const std::size_t requests = send_without_reading(peer);
    run_until([&] { return peer.read_available(), peer.count("HTTP/1.1 200") == requests; });
}

// Guards against a client that neither reads its answers nor leaves.
TEST_F(ShortStallTimeoutTest, AClientThatReadsNoAnswersIsDisconnected) {
    BlockingClient peer(clients->port());
    send_without_reading(peer);
    run(kStallTimeout);
    run_until([&] { return clients->counters().of(EndReason::client_stalled) == 1; });
    run_until([&] { return clients->connections() == 0; });
}

TEST_F(ShortStallTimeoutTest, AClientThatDoesNotReadTheRestOfItsAnswerIsDisconnected) {
    BlockingClient peer(clients->port());
    begin_long_last_answer(peer);
    run_until([&] { return clients->connections() == 0; });
}

}  // namespace
}  // namespace gorsenotch::test
