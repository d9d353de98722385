// KV-cache leases, from the end of a prefill to the release, if a decode attempt, a prefill, a connection or
// a slot reservation gets no response. The release timeout is 1,000 ms, and the platform tolerates 300 ms
// more. Of these 1,300 ms, 450 are for calls to unresponsive endpoints and 150 for a delay of this process.
// So a release starts by 700 ms, or by 600 ms if a decode attempt is in flight.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

// The limits for the time from the acquisition of a lease to its first release call: the due time and some
// tolerance.
constexpr Millis kDecodeReleaseLimit = 650;   // a decode attempt is in flight
constexpr Millis kPrefillReleaseLimit = 710;  // a prefill is in flight

struct LeaseKeeperTest : PlatformTest {
    Millis acquired_at = 0;
    void mark_acquired() { acquired_at = environment.now_ms; }
    // Advances to `duration` after the acquisition; returns the number of release calls so far.
    std::size_t release_calls_within(Millis duration) {
        if (environment.now_ms < acquired_at + duration) advance(acquired_at + duration - environment.now_ms);
        return release_calls();
    }
    // Completes two requests, more than a second apart. A health check is a release call for a request that
    // ended earlier, so it needs their ids.
    void complete_two_requests() {
        for (const char* txn : {"over1", "over2"}) {
            send_request(txn, client);
            answer_prefill();
            answer(kWholeAnswer);
            advance(1100);
        }
        environment.exchanges.clear();
    }
    void shut_down() {
        lifecycle.shutdown();
        for (int i = 0; i < 6; ++i) {
            answer_all_releases();
            advance(500);
        }
    }
};

TEST_F(LeaseKeeperTest, ALeaseIsReleasedInTimeIfNothingProvesThatTheDecodeArrived) {
    complete_two_requests();
    const auto start_unanswered_decode = [&] {
        send_request("t1", client);
        answer_prefill();
        mark_acquired();
        ASSERT_EQ(last_exchange().address, "10.0.0.3:1");
    };
    {
        SCOPED_TRACE("the decode request is never answered");
        start_unanswered_decode();
        EXPECT_EQ(release_calls_within(500), 0u) << "the decode may still be confirmed";
        const auto decode = last_exchange().exchange;
        EXPECT_GE(release_calls_within(kDecodeReleaseLimit), 1u);
        EXPECT_FALSE(decode->has_outcome()) << "the release must not end a decode that is only slow";
        shut_down();
    }
    {
        SCOPED_TRACE("the connection of the decode is not established");
        environment.exchanges.clear();
        environment.manual_connect = true;
        send_request("t2", client);
        environment.exchanges.back().exchange->on_request_written();
        answer_prefill();
        mark_acquired();
        EXPECT_GE(release_calls_within(kDecodeReleaseLimit), 1u);
        environment.manual_connect = false;
        for (const auto& started : environment.exchanges) {
            const bool is_decode = started.address == "10.0.0.3:1" && started.request.rfind("DELETE", 0) != 0;
            if (!is_decode) continue;
            EXPECT_FALSE(started.exchange->may_start()) << "the KV cache was released";
        }
        shut_down();
    }
    {
        SCOPED_TRACE("a prefill is in flight while an earlier one may have left a KV cache");
        environment.exchanges.clear();
        send_request("t3", client);
        last_exchange().exchange->on_connection_closed();  // the prefill may have completed
        mark_acquired();
        const auto prefills = [&] {
            return std::count_if(
                environment.exchanges.begin(), environment.exchanges.end(),
                [](const auto& started) { return started.request.rfind("POST /v1/", 0) == 0; });
        };
        EXPECT_EQ(release_calls(), 1u) << "the release comes first";
        EXPECT_EQ(prefills(), 1);
        EXPECT_GE(release_calls_within(kPrefillReleaseLimit), 1u);
        EXPECT_EQ(prefills(), 2) << "the second prefill is in flight and not answered";
        shut_down();
    }
    {
        SCOPED_TRACE("a slot may be reserved");
        environment.exchanges.clear();
        const auto handle = send_request("t4", client);
        EndpointId decode_endpoint = 0;
        for (const auto& [id, listed] : endpoints.all())
            decode_endpoint = listed.name == "w1" ? id : decode_endpoint;
        lifecycle.execute(ReserveSlot{std::to_string(handle), decode_endpoint});
        mark_acquired();
        // The request's prefill is in flight too.
        EXPECT_GE(release_calls_within(kPrefillReleaseLimit), 1u);
        shut_down();
    }
}

// Guards against a KV cache being held beyond a release timeout of 500 ms: with four in five decode endpoints
// unresponsive, four connections in a row were not established, and the lease was not released meanwhile.
struct HalfSecondLeaseTest : PlatformTest {
    HalfSecondLeaseTest()
        : PlatformTest(replace_once(kConfig, "\"LetGoByMs\":1000.0", "\"LetGoByMs\":500.0")) {}
};

TEST_F(HalfSecondLeaseTest, ALeaseIsReleasedWhileConnectionsAreNotEstablished) {
    std::string rows =
        R"({"host":"r1","dial":"10.0.0.1:1","site":"a","class":"prefill","block":1,"health":"up","share":1.0,"born_ms":0})";
    for (int i = 1; i <= 4; ++i) {
        rows += R"(,{"host":"w)" + std::to_string(i) + R"(","dial":"10.0.1.)" + std::to_string(i) +
                R"(:1","site":"a","class":"decode","block":1,"health":"up","share":1.0,"born_ms":0})";
    }
    apply_list("{\"seq\":9,\"whole\":true,\"hosts\":[" + rows + "]}");
    environment.manual_connect = true;
    send_request("t1", client);
    ASSERT_EQ(last_exchange().address, "10.0.0.1:1");
    answer_prefill();
    const Millis acquired_at = environment.now_ms;
    Millis released_at = -1;
    for (int attempt = 0; attempt < 4 && released_at < 0; ++attempt) {
        for (int step = 0; step < 50 && released_at < 0; ++step) {
            advance(5);
            if (release_calls() > 0) released_at = environment.now_ms;
        }
        if (released_at >= 0) break;
        last_exchange().exchange->on_connect_failed();
    }
    const auto further_prefills = [&] {
        return std::count_if(
            environment.exchanges.begin() + 1, environment.exchanges.end(), [](const auto& started) {
                return started.address == "10.0.0.1:1" && started.request.rfind("DELETE", 0) != 0;
            });
    };
    EXPECT_EQ(further_prefills(), 0) << "a later release would free the result of another prefill";
    for (const auto& started : environment.exchanges) {
        const bool is_release = started.request.rfind("DELETE", 0) == 0;
        if (is_release && !started.exchange->has_outcome()) {
            started.exchange->on_data("HTTP/1.1 204 No Content\r\n\r\n");
            break;
        }
    }
    advance(5);
    EXPECT_GE(released_at, 0);
    EXPECT_LE(released_at - acquired_at, 400);
    EXPECT_EQ(further_prefills(), 1)
        << "the decode that is still connecting is cancelled in favour of another prefill";
    lifecycle.shutdown();
    answer_all_releases();
    advance(12000);
}

// Guards against freeing the KV cache of a slow prefill: a release during a prefill frees the KV cache that
// the prefill stores. So its endpoint gets health checks first, and the lease is extended while it answers
// them.
TEST_F(HalfSecondLeaseTest, ASlowPrefillWhoseEndpointAnswersChecksKeepsItsLease) {
    // With a prefill in flight, a lease of 500 ms is released after 0.55 * 500 + 150 ms. The health check is
    // due one check timeout earlier.
    constexpr Millis kCheckTimeout = 150;
    constexpr Millis kCheckDue = 425 - kCheckTimeout;
    const auto complete_request = [&](const std::string& txn) {
        send_request(txn, client);
        answer_prefill();
        answer(kWholeAnswer);
    };
    complete_request("t1");
    advance(1100);
    complete_request("t2");  // a health check needs a request that ended a second ago
    advance(1100);
    complete_request("t3");
    environment.exchanges.clear();
    send_request("t4", client);
    const std::string prefill_endpoint = last_exchange().address;
    for (int round = 0; round < 2; ++round) {
        const std::size_t before = environment.exchanges.size();
        advance(kCheckDue + 10);
        ASSERT_EQ(environment.exchanges.size(), before + 1) << "one health check in round " << round;
        EXPECT_EQ(last_exchange().address, prefill_endpoint);
        EXPECT_EQ(last_exchange().request.rfind("DELETE /bootstrap/rooms/t1 ", 0) == 0 ||
                      last_exchange().request.rfind("DELETE /bootstrap/rooms/t2 ", 0) == 0,
                  true)
            << last_exchange().request;
        answer("HTTP/1.1 204 No Content\r\n\r\n");
    }
    for (const auto& started : environment.exchanges)
        EXPECT_EQ(started.request.find("rooms/t4"), std::string::npos);
    advance(kCheckDue + 15);  // this health check is not answered
    advance(kCheckTimeout + 5);
    const auto first_release = std::find_if(
        environment.exchanges.begin(), environment.exchanges.end(),
        [](const auto& started) { return started.request.rfind("DELETE /bootstrap/rooms/t4 ", 0) == 0; });
    ASSERT_NE(first_release, environment.exchanges.end());
    EXPECT_NE(first_release->address, prefill_endpoint);
    lifecycle.shutdown();
    answer_all_releases();
    advance(12000);
}

TEST_F(PlatformTest, AFurtherPrefillWaitsForTheReleaseOfWhatAnEarlierAttemptLeft) {
    const auto prefills = [&] {
        return std::count_if(environment.exchanges.begin(), environment.exchanges.end(),
                             [](const auto& started) { return started.request.rfind("POST /v1/", 0) == 0; });
    };
    send_request("t1", client);
    last_exchange().exchange->on_connection_closed();  // the prefill may have completed
    EXPECT_EQ(release_calls(), 1u);
    advance(100);
    EXPECT_EQ(prefills(), 1);
    for (auto& started : environment.exchanges) {
        if (started.request.rfind("DELETE", 0) == 0 && !started.exchange->has_outcome())
            started.exchange->on_data("HTTP/1.1 204 No Content\r\n\r\n");
        if (started.request.rfind("DELETE", 0) == 0) break;
    }
    advance(10);
    EXPECT_EQ(prefills(), 2);
    const std::size_t releases = release_calls();
    advance(400);
    EXPECT_EQ(release_calls(), releases)
        << "the connection was closed by its endpoint: one release is enough";
    lifecycle.shutdown();
    answer_all_releases();
    advance(12000);
}

TEST_F(PlatformTest, AFurtherPrefillDoesNotWaitLongForAReleaseThatNobodyAnswers) {
    send_request("t1", client);
    last_exchange().exchange->on_connection_closed();
    const Millis lost_at = environment.now_ms;
    const auto is_prefill = [](const auto& started) { return started.request.rfind("POST /v1/", 0) == 0; };
    while (environment.now_ms < lost_at + 1000 &&
           std::count_if(environment.exchanges.begin(), environment.exchanges.end(), is_prefill) < 2)
        advance(5);
    EXPECT_GT(environment.now_ms - lost_at, 300);
    EXPECT_LT(environment.now_ms - lost_at, 400);
    lifecycle.shutdown();
    answer_all_releases();
    advance(12000);
}

// Guards against the end of a prefill that never began being taken for proof of the end before it. Found by
// the soak test.
TEST_F(PlatformTest, TheEndOfADeferredPrefillProvesNothingOfTheAttemptBeforeIt) {
    const auto handle = send_request("t1", client);
    while (!environment.exchanges.front().closed) {  // the prefill times out
        advance(5);
        const bool is_release = last_exchange().request.rfind("DELETE", 0) == 0;
        if (is_release && !last_exchange().exchange->has_outcome()) answer_release();
    }
    ASSERT_EQ(lifecycle.attempts_in_flight(), 1u) << "another prefill is deferred";
    lifecycle.on_client_disconnected(handle);
    const std::size_t first = release_calls();
    answer_release();
    advance(400);
    EXPECT_EQ(release_calls(), first + 1) << "the first prefill may still run";
    answer_release();
    advance(400);
    EXPECT_EQ(release_calls(), first + 2);
    answer_release();
}

TEST_F(PlatformTest, APrefillWhoseClientLeavesWhileItWaitsIsNeverSent) {
    const auto handle = send_request("t1", client);
    last_exchange().exchange->on_connection_closed();
    lifecycle.on_client_disconnected(handle);
    answer_all_releases();
    advance(2000);
    EXPECT_EQ(std::count_if(environment.exchanges.begin(), environment.exchanges.end(),
                            [](const auto& started) { return started.request.rfind("POST /v1/", 0) == 0; }),
              1);
}

TEST_F(PlatformTest, APrefillCancelledByADisconnectIsReleasedAgainWithoutProofOfItsEnd) {
    const auto handle = send_request("t1", client);
    lifecycle.on_client_disconnected(handle);
    EXPECT_TRUE(environment.exchanges[0].closed);
    EXPECT_EQ(release_calls(), 1u);
    answer_release();
    advance(400);
    EXPECT_EQ(release_calls(), 2u) << "the prefill may have completed just before it was cancelled";
    answer_release();
    advance(400);
    EXPECT_EQ(release_calls(), 3u);
    answer_release();
    EXPECT_EQ(client.answers_ended, 0);
}

TEST_F(PlatformTest, EveryReservationIsReleasedWhateverItsAnswer) {
    const std::pair<std::string, const char*> answers[] = {{"t200", "200 OK"},
                                                           {"t409", "409 Conflict"},
                                                           {"t204", "204 No"},
                                                           {"t404", "404 Not"},
                                                           {"unanswered", ""}};
    for (const auto& [txn, status] : answers) {
        const auto handle = send_request(txn, client);
        const std::size_t prefill = environment.exchanges.size() - 1;
        EndpointId decode_endpoint = 0;
        for (const auto& [id, listed] : endpoints.all())
            decode_endpoint = listed.name == "w1" ? id : decode_endpoint;
        lifecycle.execute(ReserveSlot{std::to_string(handle), decode_endpoint});
        ASSERT_EQ(environment.exchanges.size(), prefill + 2);
        EXPECT_EQ(last_exchange().request.rfind("POST /bootstrap/rooms/" + txn + " HTTP/1.1\r\n", 0), 0u);
        EXPECT_EQ(last_exchange().address, "10.0.0.3:1");
        const std::size_t call = environment.exchanges.size() - 1;
        if (*status) answer(std::string("HTTP/1.1 ") + status + "\r\ncontent-length: 0\r\n\r\n");
        EXPECT_TRUE(lifecycle.is_open(txn)) << "the answer must not end the request";
        if (!*status) {
            advance(1200);
            EXPECT_TRUE(environment.exchanges[call].closed) << "an unanswered reservation is closed";
        }
        const std::size_t before = release_calls();
        lifecycle.on_client_disconnected(handle);
        // After an unanswered reservation a release is in progress already, and may make several calls at
        // once.
        EXPECT_GE(release_calls(), before + 1) << "a slot may be reserved whatever the answer";
        if (*status) {
            EXPECT_EQ(release_calls(), before + 1);
        }
        EXPECT_TRUE(environment.exchanges[prefill].closed);
        answer_all_releases();
    }
}

// Guards against a lease that waits for the health check of a prefill at another endpoint.
TEST_F(LeaseKeeperTest, TheUsualDurationOfAPrefillDoesNotDelayTheReleaseOfASlot) {
    constexpr int kRequests = 25;  // enough for a usual duration
    const auto latest_attempt = [&] {
        return std::find_if(environment.exchanges.rbegin(), environment.exchanges.rend(),
                            [](const auto& started) { return started.request.rfind("POST /v1/", 0) == 0; })
            ->exchange;
    };
    for (int i = 0; i < kRequests; ++i) {
        send_request("earlier" + std::to_string(i), client);
        advance(650);
        latest_attempt()->on_data(kPrefillAnswer);
        latest_attempt()->on_data(kWholeAnswer);
        answer_all_releases();
    }
    ASSERT_EQ(lifecycle.open_requests(), 0u);
    environment.exchanges.clear();
    const auto handle = send_request("slot", client);
    EndpointId decode_endpoint = 0;
    for (const auto& [id, listed] : endpoints.all())
        decode_endpoint = listed.name == "w1" ? id : decode_endpoint;
    lifecycle.execute(ReserveSlot{std::to_string(handle), decode_endpoint});
    advance(kPrefillReleaseLimit);
    const auto is_release = [](const auto& started) {
        return started.request.rfind("DELETE /bootstrap/rooms/slot ", 0) == 0;
    };
    EXPECT_TRUE(std::any_of(environment.exchanges.begin(), environment.exchanges.end(), is_release));
    EXPECT_FALSE(environment.exchanges.front().exchange->has_outcome()) << "the prefill is still in flight";
    shut_down();
}

// Guards against waiting for a prefill whose answer was lost on its own connection, while its endpoint
// answers others. Found by the soak test.
TEST_F(LeaseKeeperTest, AnOvertakenPrefillIsReleasedThoughItsEndpointAnswersHealthChecks) {
    apply_list(
        R"({"seq":8,"whole":false,"hosts":[{"host":"r2","dial":"10.0.0.2:1","site":"a","class":"prefill",)"
        R"("block":1,"share":1.0,"born_ms":0,"health":"draining"}]})");
    complete_two_requests();
    send_request("lost", client);
    mark_acquired();
    RecordingClient other;
    advance(20);
    send_request("later", other);
    ASSERT_EQ(last_exchange().address, environment.exchanges.front().address);
    answer_prefill();
    answer(kWholeAnswer);
    const auto is_release = [](const auto& started) {
        return started.request.rfind("DELETE /bootstrap/rooms/lost ", 0) == 0;
    };
    while (environment.now_ms < acquired_at + 750) {
        advance(5);
        const auto& last = last_exchange();
        const bool is_check = last.request.rfind("DELETE", 0) == 0 && !is_release(last);
        if (is_check && !last.exchange->has_outcome()) answer("HTTP/1.1 204 No Content\r\n\r\n");
    }
    EXPECT_TRUE(std::any_of(environment.exchanges.begin(), environment.exchanges.end(), is_release));
    shut_down();
}

TEST_F(PlatformTest, NoSlotIsReservedAtADrainingEndpoint) {
    const auto handle = send_request("t1", client);
    EndpointId decode_endpoint = 0;
    for (const auto& [id, listed] : endpoints.all())
        decode_endpoint = listed.name == "w1" ? id : decode_endpoint;
    drain_decode_endpoint();
    const std::size_t before = environment.exchanges.size();
    lifecycle.execute(ReserveSlot{std::to_string(handle), decode_endpoint});
    EXPECT_EQ(environment.exchanges.size(), before);
    lifecycle.on_client_disconnected(handle);
    answer_all_releases();
}

}  // namespace
}  // namespace gorsenotch::test
