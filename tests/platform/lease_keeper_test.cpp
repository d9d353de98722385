// KV-cache leases, from the end of a prefill to the release: each path by which a decode attempt, a prefill,
// a connection or a reserved slot may say nothing. The settings allow 1,000 ms for a release; one has to
// begin early enough for 450 ms of silent endpoints after it.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

// After a state came to be held a release has been sent: while a decode attempt is in flight, and while a
// prefill is.
constexpr Millis kInTime = 650;
constexpr Millis kReadInTime = 710;

struct LeaseKeeperTest : PlatformTest {
    Millis made = 0;
    void made_now() { made = world.clock; }
    std::size_t released_by(Millis after) {
        if (world.clock < made + after) advance(made + after - world.clock);
        return releases();
    }
    // Two requests that are long over, so that a server can be asked by their ids.
    void serve_two() {
        for (const char* txn : {"over1", "over2"}) {
            send_request(txn, client);
            answer_prefill();
            answer(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
            advance(1100);
        }
        world.sent.clear();
    }
    void finish() {
        lifecycle.shutdown();
        for (int i = 0; i < 6; ++i) {
            answer_all_releases();
            advance(500);
        }
    }
};

TEST_F(LeaseKeeperTest, AnUnprovedStateIsReleasedInTime) {
    serve_two();
    const auto silent_write = [&] {
        send_request("t1", client);
        answer_prefill();
        made_now();
        ASSERT_EQ(last().address, "10.0.0.3:1");
    };
    {
        SCOPED_TRACE("its bytes are swallowed");
        silent_write();
        EXPECT_EQ(released_by(500), 0u) << "proof may still come";
        const auto write = last().attempt;
        EXPECT_GE(released_by(kInTime), 1u);
        EXPECT_FALSE(write->is_over()) << "a sound but slow write loses nothing by it";
        finish();
    }
    {
        SCOPED_TRACE("its connection does not come up");
        world.sent.clear();
        world.dials_wait = true;
        send_request("t2", client);
        world.sent.back().attempt->on_request_written();
        answer_prefill();
        made_now();
        EXPECT_GE(released_by(kInTime), 1u);
        world.dials_wait = false;
        for (const auto& sent : world.sent) {
            const bool write = sent.address == "10.0.0.3:1" && sent.request.rfind("DELETE", 0) != 0;
            if (!write) continue;
            EXPECT_FALSE(sent.attempt->may_start()) << "there is nothing for it to take any more";
        }
        finish();
    }
    {
        SCOPED_TRACE("a read is out while what an earlier one left may stand");
        world.sent.clear();
        send_request("t3", client);
        last().attempt->on_connection_closed();  // the connection broke: it may have ended well
        made_now();
        ASSERT_NE(last().address, "10.0.0.3:1");
        ASSERT_FALSE(last().attempt->is_over()) << "a second read is out, and nobody says anything";
        EXPECT_GE(released_by(kReadInTime), 1u);
        finish();
    }
    {
        SCOPED_TRACE("a place is held");
        world.sent.clear();
        const auto handle = send_request("t4", client);
        EndpointId writer = 0;
        for (const auto& [id, h] : hosts.all()) writer = h.name == "w1" ? id : writer;
        lifecycle.execute(ReserveSlot{std::to_string(handle), writer});
        made_now();
        EXPECT_GE(released_by(kReadInTime), 1u);
        finish();
    }
}

// Found on the fleet bench (four in five writers silent, release within 500 ms): a state stood at its reader
// while four connections, one after another, did not come up.
struct HalfSecondLeaseTest : PlatformTest {
    HalfSecondLeaseTest() : PlatformTest(with(kConfig, "\"LetGoByMs\":1000.0", "\"LetGoByMs\":500.0")) {}
};

TEST_F(HalfSecondLeaseTest, AStateIsReleasedWhileConnectionsDoNotComeUp) {
    std::string rows =
        R"({"host":"r1","dial":"10.0.0.1:1","site":"a","class":"prefill","block":1,"health":"up","share":1.0,"born_ms":0})";
    for (int i = 1; i <= 4; ++i) {
        rows += R"(,{"host":"w)" + std::to_string(i) + R"(","dial":"10.0.1.)" + std::to_string(i) +
                R"(:1","site":"a","class":"decode","block":1,"health":"up","share":1.0,"born_ms":0})";
    }
    list("{\"seq\":9,\"whole\":true,\"hosts\":[" + rows + "]}");
    world.dials_wait = true;
    send_request("t1", client);
    ASSERT_EQ(last().address, "10.0.0.1:1");
    answer_prefill();
    const Millis made = world.clock;
    Millis released = -1;
    bool read_again = false;
    for (int dial = 0; dial < 4 && released < 0; ++dial) {
        for (int step = 0; step < 50 && released < 0; ++step) {
            advance(5);
            if (releases() > 0) released = world.clock;
        }
        if (released >= 0) break;
        last().attempt->on_connect_failed();
    }
    for (const auto& sent : world.sent) {
        const bool read = sent.address == "10.0.0.1:1" && sent.request.rfind("DELETE", 0) != 0;
        read_again |= read && &sent != &world.sent.front();
    }
    EXPECT_GE(released, 0);
    EXPECT_LE(released - made, 400);
    EXPECT_TRUE(read_again) << "the write whose connection was still awaited is given up for another read";
    lifecycle.shutdown();
    answer_all_releases();
    advance(12000);
}

// A release that is due while the read of the same request is out, at a server that answers others, would
// take what that read leaves: its server is asked first.
TEST_F(HalfSecondLeaseTest, ASlowPrefillWhoseEndpointAnswersChecksKeepsItsState) {
    const auto served = [&](const std::string& txn) {
        send_request(txn, client);
        answer_prefill();
        answer(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
    };
    served("t1");
    advance(1100);
    served("t2");  // the first is long over now
    advance(1100);
    served("t3");
    world.sent.clear();
    send_request("t4", client);
    const std::string reader = last().address;
    for (int round = 0; round < 2; ++round) {
        const std::size_t before = world.sent.size();
        advance(285);
        ASSERT_EQ(world.sent.size(), before + 1) << "one question, round " << round;
        EXPECT_EQ(last().address, reader);
        EXPECT_EQ(last().request.rfind("DELETE /bootstrap/rooms/t1 ", 0) == 0 ||
                      last().request.rfind("DELETE /bootstrap/rooms/t2 ", 0) == 0,
                  true)
            << last().request;
        answer("HTTP/1.1 204 No Content\r\n\r\n");
    }
    for (const auto& sent : world.sent) EXPECT_EQ(sent.request.find("rooms/t4"), std::string::npos);
    advance(290);  // and now it says nothing
    advance(155);
    EXPECT_NE(last().request.find("rooms/t4"), std::string::npos);
    EXPECT_NE(last().address, reader);
    lifecycle.shutdown();
    answer_all_releases();
    advance(12000);
}

TEST_F(PlatformTest, APrefillCutOffByADisconnectIsReleasedTwice) {
    const auto handle = send_request("t1", client);
    lifecycle.on_client_disconnected(handle);
    EXPECT_TRUE(world.sent[0].closed);
    EXPECT_EQ(releases(), 1u);
    release();
    advance(400);
    EXPECT_EQ(releases(), 2u) << "the read may have ended well just as it was cut off";
    release();
    EXPECT_EQ(client.ended, 0);
}

TEST_F(PlatformTest, EveryReservationIsReleasedWhateverItsAnswer) {
    const std::pair<std::string, const char*> answers[] = {{"t200", "200 OK"},
                                                           {"t409", "409 Conflict"},
                                                           {"t204", "204 No"},
                                                           {"t404", "404 Not"},
                                                           {"silent", ""}};
    for (const auto& [txn, status] : answers) {
        const auto handle = send_request(txn, client);
        const std::size_t read = world.sent.size() - 1;
        EndpointId writer = 0;
        for (const auto& [id, h] : hosts.all()) writer = h.name == "w1" ? id : writer;
        lifecycle.execute(ReserveSlot{std::to_string(handle), writer});
        ASSERT_EQ(world.sent.size(), read + 2);
        EXPECT_EQ(last().request.rfind("POST /bootstrap/rooms/" + txn + " HTTP/1.1\r\n", 0), 0u);
        EXPECT_EQ(last().address, "10.0.0.3:1");
        const std::size_t call = world.sent.size() - 1;
        if (*status) answer(std::string("HTTP/1.1 ") + status + "\r\ncontent-length: 0\r\n\r\n");
        EXPECT_TRUE(lifecycle.is_open(txn)) << "whatever the answer, the request goes on";
        if (!*status) {
            advance(1200);
            EXPECT_TRUE(world.sent[call].closed) << "a silent writer keeps no connection for good";
        }
        const std::size_t before = releases();
        lifecycle.on_client_disconnected(handle);
        // Where the writer was silent a release is under way already, and several servers are asked at once.
        EXPECT_GE(releases(), before + 1) << "a place may be held whatever was answered";
        if (*status) {
            EXPECT_EQ(releases(), before + 1);
        }
        EXPECT_TRUE(world.sent[read].closed);
        answer_all_releases();
    }
}

TEST_F(PlatformTest, NoSlotIsReservedAtADrainingEndpoint) {
    const auto handle = send_request("t1", client);
    EndpointId writer = 0;
    for (const auto& [id, h] : hosts.all()) writer = h.name == "w1" ? id : writer;
    drain_decode_endpoint();
    const std::size_t before = world.sent.size();
    lifecycle.execute(ReserveSlot{std::to_string(handle), writer});
    EXPECT_EQ(world.sent.size(), before);
    lifecycle.on_client_disconnected(handle);
    answer_all_releases();
}

}  // namespace
}  // namespace gorsenotch::test
