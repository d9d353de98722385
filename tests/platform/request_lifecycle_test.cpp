// The life of a request in the RequestLifecycle, against a world of the test's own: answers, releases, stops,
// clients that leave, and every order of them.
#include <map>
#include <random>
#include <set>

#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

TEST_F(RelayTest, ReadThenWriteThenServedUnchanged) {
    ask("t1", client);
    EXPECT_NE(last().request.find("\r\nx-txn: t1\r\n"), std::string::npos);
    EXPECT_NE(last().request.find("\r\nx-remaining: "), std::string::npos);
    EXPECT_TRUE(last().request.ends_with("\r\n\r\n{}"));
    EXPECT_NE(last().address, "10.0.0.3:1");
    read_done();
    EXPECT_EQ(last().address, "10.0.0.3:1");
    EXPECT_TRUE(last().request.ends_with("\r\n\r\n{}"));
    answer(kStream + chunked("data: a\n\n"));
    EXPECT_EQ(client.begun, 1);
    answer(chunked("data: [DONE]\n\n") + "0\r\n\r\n");
    EXPECT_EQ(client.events, "data: a\n\ndata: [DONE]\n\n");
    EXPECT_EQ(client.ended, 1);
    EXPECT_EQ(releases(), 0u) << "the write took the state";
}

TEST_F(RelayTest, AnIdThatIsOpenIsRefusedAndMayComeAgainLater) {
    ask("t1", client);
    PlatformClient other;
    EXPECT_EQ(ask("t1", other), 0u);
    read_done();
    answer(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
    EXPECT_EQ(other.ended, 0);
    EXPECT_NE(ask("t1", other), 0u);
    read_done();
    answer(kStream + chunked("data: b\n\n") + "0\r\n\r\n");
    EXPECT_EQ(other.events, "data: b\n\n");
}

TEST_F(RelayTest, AStreamThatBreaksOrFallsSilentEndsWithoutTheLastChunk) {
    ask("t1", client);
    read_done();
    answer(kStream + chunked("data: a\n\n") + "zz");
    EXPECT_TRUE(client.cutoff);
    PlatformClient silent;
    ask("t2", silent);
    read_done();
    answer(kStream + chunked("data: a\n\n"));
    pass(3000);
    answer(chunked("data: b\n\n"));
    pass(3000);
    EXPECT_EQ(silent.ended, 0);
    pass(1500);
    EXPECT_TRUE(silent.cutoff);
    EXPECT_TRUE(last().closed);
}

TEST_F(RelayTest, AGoneClientsReadIsStoppedAndItsStateLetGoOfTwice) {
    const auto handle = ask("t1", client);
    relay.on_client_disconnected(handle);
    EXPECT_TRUE(world.sent[0].closed);
    EXPECT_EQ(releases(), 1u);
    release();
    pass(400);
    EXPECT_EQ(releases(), 2u) << "the read may have ended well just as it was cut off";
    release();
    EXPECT_EQ(client.ended, 0);
}

TEST_F(RelayTest, AReleaseIsTriedElsewhereUntilItIsAnswered) {
    const auto handle = ask("t1", client);
    read_done();
    relay.on_client_disconnected(handle);
    ASSERT_EQ(releases(), 1u);
    const std::string first = last().address;
    pass(200);
    ASSERT_EQ(releases(), 2u);
    EXPECT_NE(last().address, first);
    release();
    pass(300);
    EXPECT_EQ(releases(), 2u);
    pass(100);
    EXPECT_EQ(releases(), 3u) << "the end of the write may have been overtaken by the first";
    release();
    pass(2000);
    EXPECT_EQ(releases(), 3u);
}

// Guards against a release that goes from one silent server to the next of the same role while its time runs
// out.
TEST_F(RelayTest, AReleaseTurnsToTheOtherRoleAndThenToSeveralAtOnce) {
    std::string rows;
    for (int i = 0; i < 12; ++i) {
        const bool reads = i < 6;
        rows += std::string(i ? "," : "") + "{\"host\":\"" + (reads ? "r" : "w") + std::to_string(i) +
                "\",\"dial\":\"10.0.1." + std::to_string(i) + ":1\",\"site\":\"a\",\"class\":\"" +
                (reads ? "prefill" : "decode") +
                "\",\"block\":1,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
    }
    list("{\"seq\":9,\"whole\":true,\"hosts\":[" + rows + "]}");
    const auto handle = ask("t1", client);
    read_done();
    relay.on_client_disconnected(handle);
    pass(160);
    ASSERT_EQ(releases(), 2u);
    const auto reads = [](const std::string& address) { return address < std::string("10.0.1.6"); };
    std::vector<std::string> asked;
    for (const auto& sent : world.sent) {
        if (sent.request.rfind("DELETE", 0) == 0) asked.push_back(sent.address);
    }
    EXPECT_NE(reads(asked[0]), reads(asked[1])) << asked[0] << " " << asked[1];
    pass(350);
    EXPECT_GE(releases(), 6u) << "within its time more than half of a role has been asked";
    release();
    pass(2000);
}

TEST_F(RelayTest, NothingGoesToAServerThatIsToldToDrainMeanwhile) {
    drain_writer();
    ask("t1", client);
    for (const auto& sent : world.sent) EXPECT_NE(sent.address, "10.0.0.3:1");
    EXPECT_EQ(client.status, 503);
}

TEST_F(RelayTest, TheDeadlineAnswersAtOnceAndOnce) {
    ask("t1", client);
    pass(5100);
    EXPECT_EQ(client.ended, 1);
    EXPECT_EQ(client.status, 503);
    for (auto& sent : world.sent) {
        if (sent.request.rfind("DELETE", 0) == 0 && !sent.attempt->is_over())
            sent.attempt->on_data("HTTP/1.1 204 No Content\r\n\r\n");
    }
    pass(3000);
}

TEST_F(RelayTest, AGatewayThatStopsHandsStreamsBackAndAnswersTheRest) {
    ask("t1", client);
    read_done();
    answer(kStream + chunked("data: a\n\n"));
    PlatformClient waiting;
    ask("t2", waiting);
    EXPECT_EQ(relay.streams(), 1u);
    relay.migrate_streams(5);
    EXPECT_TRUE(client.cutoff);
    EXPECT_EQ(relay.streams(), 0u);
    EXPECT_EQ(waiting.ended, 0);
    relay.shutdown();
    EXPECT_EQ(waiting.status, 503);
    settle();
}

TEST_F(RelayTest, PlacesHeldAheadAreToldApartAndLetGoOf) {
    const std::pair<std::string, const char*> answers[] = {{"t200", "200 OK"},
                                                           {"t409", "409 Conflict"},
                                                           {"t204", "204 No"},
                                                           {"t404", "404 Not"},
                                                           {"silent", ""}};
    for (const auto& [txn, status] : answers) {
        const auto handle = ask(txn, client);
        const std::size_t read = world.sent.size() - 1;
        EndpointId writer = 0;
        for (const auto& [id, h] : hosts.all()) writer = h.name == "w1" ? id : writer;
        relay.execute(ReserveSlot{std::to_string(handle), writer});
        ASSERT_EQ(world.sent.size(), read + 2);
        EXPECT_EQ(last().request.rfind("POST /bootstrap/rooms/" + txn + " HTTP/1.1\r\n", 0), 0u);
        EXPECT_EQ(last().address, "10.0.0.3:1");
        const std::size_t call = world.sent.size() - 1;
        if (*status) answer(std::string("HTTP/1.1 ") + status + "\r\ncontent-length: 0\r\n\r\n");
        EXPECT_TRUE(relay.open(txn)) << "whatever the answer, the request goes on";
        if (!*status) {
            pass(1200);
            EXPECT_TRUE(world.sent[call].closed) << "a silent writer keeps no connection for good";
        }
        const std::size_t before = releases();
        relay.on_client_disconnected(handle);
        // Where the writer was silent a release is under way already, and several servers are asked at once.
        EXPECT_GE(releases(), before + 1) << "a place may be held whatever was answered";
        if (*status) {
            EXPECT_EQ(releases(), before + 1);
        }
        EXPECT_TRUE(world.sent[read].closed);
        settle();
    }
}

TEST_F(RelayTest, ADrainThatIsToldWhileTheConnectionComesUpIsKept) {
    ask("t1", client);
    read_done();
    ASSERT_EQ(last().address, "10.0.0.3:1");
    const auto write = last().attempt;
    EXPECT_TRUE(write->may_start());
    drain_writer();
    EXPECT_FALSE(write->may_start());
    write->on_not_sent();
    EXPECT_EQ(client.status, 503);
    settle();
}

// Guards against attempts for clients that have gone while their close waits unread behind other work.
TEST_F(RelayTest, NoAttemptBeginsForAClientWhoseCloseIsNotReadYet) {
    client.closed = true;
    ask("t1", client);
    EXPECT_TRUE(world.sent.empty()) << "no first attempt";
    client.closed = false;
    const auto handle = ask("t2", client);
    ASSERT_EQ(world.sent.size(), 1u);
    client.closed = true;
    read_done();
    for (std::size_t i = 1; i < world.sent.size(); ++i) {
        EXPECT_EQ(world.sent[i].request.rfind("DELETE", 0), 0u)
            << "no further one, only what releases the state";
    }
    EXPECT_EQ(releases(), 1u);
    relay.on_client_disconnected(handle);  // and now it is read
    EXPECT_EQ(client.ended, 0);
    settle();
}

// The connection of an attempt takes its whole dial time to come up, and meanwhile its reason goes away.
TEST_F(RelayTest, AnAttemptWhoseConnectionComesUpTooLateIsNotSent) {
    world.dials_wait = true;
    const auto write_of = [&](const std::string& txn, PlatformClient& asker) {
        const auto handle = ask(txn, asker);
        last().attempt->may_start();
        last().attempt->on_request_written();
        read_done();
        return std::pair(handle, last().attempt);
    };
    PlatformClient closes, leaves, expires;
    const auto [closing, unread] = write_of("t1", closes);
    EXPECT_TRUE(unread->may_start());
    closes.closed = true;
    EXPECT_FALSE(unread->may_start()) << "its client has closed, which has not been read yet";
    unread->on_not_sent();
    EXPECT_EQ(closes.ended, 0);
    const auto [leaving, orphan] = write_of("t2", leaves);
    relay.on_client_disconnected(leaving);
    EXPECT_FALSE(orphan->may_start()) << "its client has gone";
    orphan->on_not_sent();
    const auto [expiring, late] = write_of("t3", expires);
    EXPECT_TRUE(late->may_start());
    world.clock += 5000;
    EXPECT_FALSE(late->may_start()) << "its time is over";
    late->on_not_sent();
    EXPECT_EQ(expires.status, 503);
    settle();
}

TEST_F(RelayTest, WhatDidNotLeaveWholeNeverRan) {
    world.dials_wait = true;
    ask("t1", client, 1);  // of the class whose requests may run once
    last().attempt->may_start();
    last().attempt->on_request_written();
    read_done();
    const auto write = last().attempt;
    ASSERT_TRUE(write->may_start());
    write->on_first_byte_sent();  // but its last byte is not out when the gateway ends
    relay.shutdown();
    EXPECT_EQ(client.ended, 1);
    EXPECT_TRUE(write->is_over()) << "called off";
    EXPECT_EQ(relay.counters().results[static_cast<int>(AttemptResult::not_sent)], 1u);
    EXPECT_EQ(relay.counters().results[static_cast<int>(AttemptResult::cancelled)], 0u);
    settle();
}

TEST_F(RelayTest, AShutdownAnswersByWhatTheAttemptsMayHaveDone) {
    PlatformClient once_sent, once_unsent, safe;
    ask("t1", once_sent, 1);
    read_done();  // and the write is out
    drain_writer();
    ask("t2", once_unsent, 1);
    ask("t3", safe, 0);
    relay.shutdown();
    EXPECT_EQ(once_sent.status, 502);
    EXPECT_EQ(once_unsent.status, 503) << "it never ran";
    EXPECT_EQ(safe.status, 503);
    for (const PlatformClient* each : {&once_sent, &once_unsent, &safe}) EXPECT_EQ(each->ended, 1);
    settle();
}

struct ShortReleaseTest : RelayTest {
    ShortReleaseTest() : RelayTest(with(kConfig, "\"LetGoByMs\":1000.0", "\"LetGoByMs\":300.0")) {}
};

// Guards against times that only suit long settings: with 300 ms for a release, four servers in five silent.
TEST_F(ShortReleaseTest, AReleaseReachesAServerThatAnswersInItsTime) {
    std::string rows;
    for (int i = 0; i < 10; ++i) {
        rows += std::string(i ? "," : "") + "{\"host\":\"h" + std::to_string(i) + "\",\"dial\":\"10.0.1." +
                std::to_string(i) + ":1\",\"site\":\"a\",\"class\":\"" + (i < 5 ? "prefill" : "decode") +
                "\",\"block\":1,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
    }
    list("{\"seq\":9,\"whole\":true,\"hosts\":[" + rows + "]}");
    const auto handle = ask("t1", client);
    read_done();
    const Millis began = world.clock;
    relay.on_client_disconnected(handle);
    pass(250);
    EXPECT_GE(releases(), 8u) << "most servers have been asked";
    EXPECT_LE(world.clock, began + 300);
    pass(12000);  // nobody answers: it is asked on for some seconds, and given up
}

TEST_F(ShortReleaseTest, TheSecondReleaseOfAReadCutOffComesInItsTime) {
    const auto handle = ask("t1", client);
    relay.on_client_disconnected(handle);
    ASSERT_EQ(releases(), 1u);
    release();
    pass(120);
    EXPECT_EQ(releases(), 2u);
    release();
}

// Guards against servers told more time than is left, as connections may take long to come up.
TEST_F(RelayTest, TheTimeTheServerIsToldIsWhatIsLeftAtTheSend) {
    const auto told = [&] {
        const auto at = last().request.find("x-remaining: ");
        return std::stol(last().request.substr(at + 13));
    };
    world.dial = 240;
    const Millis arrived = world.clock;
    ask("t1", client);
    const Millis deadline = arrived + 5000;
    EXPECT_LE(told(), deadline - world.clock);
    read_done();
    EXPECT_LE(told(), deadline - world.clock) << "further attempts too";
    EXPECT_EQ(last().request.find("x-remaining", last().request.find("x-remaining") + 1), std::string::npos);
    EXPECT_NE(last().request.find("\r\n\r\n{}"), std::string::npos);
    world.dial = 0;
    answer(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
    settle();
}

TEST_F(RelayTest, NoPlaceIsHeldAtADrainingServer) {
    const auto handle = ask("t1", client);
    EndpointId writer = 0;
    for (const auto& [id, h] : hosts.all()) writer = h.name == "w1" ? id : writer;
    drain_writer();
    const std::size_t before = world.sent.size();
    relay.execute(ReserveSlot{std::to_string(handle), writer});
    EXPECT_EQ(world.sent.size(), before);
    relay.on_client_disconnected(handle);
    settle();
}

TEST_F(RelayTest, AMovedStreamGoesBackToItsClientOnce) {
    const auto handle = ask("t1", client);
    read_done();
    answer(kStream + chunked("data: a\n\n"));
    relay.execute(MigrateStream{std::to_string(handle)});
    relay.execute(MigrateStream{std::to_string(handle)});
    EXPECT_TRUE(client.cutoff);
    EXPECT_EQ(client.ended, 1);
    EXPECT_TRUE(last().closed);
}

// Every order of arrivals, answers, breaks, leaving clients, lists and a stop: one end for each client, one
// attempt of a request at a time, nothing new to what drains, no state left.
TEST_F(RelayTest, RulesHoldInEveryOrder) {
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
        struct Asked {
            PlatformClient client;
            std::uint64_t handle = 0;
            bool gone = false;
        };
        std::map<std::string, Asked> asked;
        std::set<std::string> held;
        world.sent.clear();
        std::size_t seen = 0;
        bool drained = false;
        const auto txn = [](const PlatformWorld::Sent& sent) {
            const auto at = sent.request.find("x-txn: ") + 7;
            return sent.request.substr(at, sent.request.find("\r\n", at) - at);
        };
        const auto release = [](const PlatformWorld::Sent& sent) {
            return sent.request.rfind("DELETE", 0) == 0;
        };
        const auto look = [&] {  // at what was sent since
            for (; seen < world.sent.size(); ++seen) {
                const auto& sent = world.sent[seen];
                if (release(sent)) {  // it counts once it has reached a server, answered or not
                    const auto from = sent.request.find("rooms/") + 6;
                    held.erase(sent.request.substr(from, sent.request.find(' ', from) - from));
                }
                if (sent.request.empty() || release(sent)) continue;
                EXPECT_FALSE(drained && sent.address == "10.0.0.3:1");
                for (std::size_t i = 0; i < seen; ++i) {
                    const auto& o = world.sent[i];
                    EXPECT_FALSE(!o.request.empty() && !release(o) && txn(o) == txn(sent) && !o.closed &&
                                 !o.attempt->is_over())
                        << "two attempts of " << txn(sent);
                }
            }
        };
        const auto engine = [&](bool kindly) {  // one of those that wait does something
            std::vector<std::size_t> out;
            for (std::size_t i = 0; i < world.sent.size(); ++i) {
                if (!world.sent[i].request.empty() && !world.sent[i].closed &&
                    !world.sent[i].attempt->is_over())
                    out.push_back(i);
            }
            if (out.empty()) return false;
            // Copies: an answer may send more.
            const auto sent = world.sent[out[below(out.size())]];
            const std::size_t how = kindly ? 0 : below(6);
            if (release(sent)) {
                if (how > 4)
                    sent.attempt->on_connection_closed();
                else
                    sent.attempt->on_data("HTTP/1.1 204 No Content\r\n\r\n");
            } else if (how == 5) {
                sent.attempt->on_connection_closed();
            } else if (how == 4) {
                sent.attempt->on_data("HTTP/1.1 503 no\r\nx-turned-away: 1\r\ncontent-length: 0\r\n\r\n");
            } else if (sent.address != "10.0.0.3:1") {
                held.insert(txn(sent));
                sent.attempt->on_data("HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}");
            } else if (how == 3) {
                sent.attempt->on_data("noise");
            } else {
                held.erase(txn(sent));  // the write has taken it
                if (how < 2)
                    sent.attempt->on_data(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
                else
                    sent.attempt->on_data(kStream + chunked("data: a\n\n") + "zz");
            }
            return true;
        };
        for (int step = 0; step < 120; ++step) {
            const std::size_t what = below(10);
            if (what < 3) {
                const std::string id = std::to_string(seed) + "-" + std::to_string(step);
                Asked& a = asked[id];
                a.handle = ask(id, a.client);
            } else if (what < 7) {
                engine(false);
            } else if (what == 7 && !asked.empty()) {
                auto it = std::next(asked.begin(), static_cast<std::ptrdiff_t>(below(asked.size())));
                if (it->second.client.ended == 0 && !it->second.gone)
                    it->second.gone = true, relay.on_client_disconnected(it->second.handle);
            } else if (what == 8 && below(3) == 0) {
                drained = !drained;
                drain_writer(drained);
            } else {
                pass(static_cast<Millis>(5 * below(40)));
            }
            look();
        }
        if (below(2) == 0) relay.migrate_streams(relay.streams()), relay.shutdown();
        for (int i = 0; i < 40; ++i) {
            while (engine(true)) look();
            pass(400);
        }
        for (const auto& [id, a] : asked) EXPECT_EQ(a.client.ended, a.gone ? 0 : 1) << id;
        EXPECT_TRUE(held.empty()) << *held.begin() << " is still held";
        EXPECT_EQ(relay.open(), 0u);
        EXPECT_EQ(relay.attempts_in_flight(), 0u);
        EXPECT_EQ(relay.releases(), 0u);
        if (drained) drain_writer(false);
        if (HasFailure()) FAIL() << "seed " << seed;
    }
}

}  // namespace
}  // namespace gorsenotch::test
