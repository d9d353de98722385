// The platform's pure parts: configuration, list, request, attempt.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

std::string fault(const std::string& text) {
    try {
        parse_config(text, "127.0.0.1:1", "127.0.0.1:2");
    } catch (const ConfigError& error) {
        return error.what();
    }
    return "";
}

TEST(PlatformConfig, SettingsUnderTheSimulatorsNames) {
    const Config config = parse_config(kConfig, "", "");
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.sockets, 512u);
    const Settings& settings = config.named.settings;
    ASSERT_EQ(settings.classes.size(), 2u);
    EXPECT_EQ(settings.classes[0].latency_objective_per_1000_tokens, 40);
    EXPECT_EQ(settings.classes[1].inter_token_objective, 50);
    EXPECT_EQ(settings.classes[1].idempotency, Idempotency::unsafe);
    EXPECT_EQ(config.named.classes.at("bulk job"), 1);
    EXPECT_EQ(settings.own_zone, 1);
    EXPECT_EQ(settings.kinds[1].role, Role::decode);
    EXPECT_TRUE(settings.stream_migration && settings.slot_reservation && settings.cancellation);
    EXPECT_EQ(config.named.idle_close, 15000);
}

TEST(PlatformConfig, FaultsNameTheirPath) {
    EXPECT_EQ(fault(kConfig), "");
    EXPECT_NE(fault("{").find("JSON"), std::string::npos);
    EXPECT_NE(fault("[]").find("JSON"), std::string::npos);
    EXPECT_NE(fault("{}").find("settings"), std::string::npos);
    EXPECT_NE(fault(with(kConfig, "127.0.0.1:8500", "nowhere")).find("discovery"), std::string::npos);
    EXPECT_NE(fault(with(kConfig, "8c1f30d27a5be964", "xyz")).find("seed"), std::string::npos);
    EXPECT_NE(fault(with(kConfig, "\"sockets\":512", "\"sockets\":-1")).find("limits.sockets"),
              std::string::npos);
    EXPECT_NE(fault(with(kConfig, "\"SloMs\":1000.0", "\"SloMs\":\"soon\"")).find("settings.Lanes.1.SloMs"),
              std::string::npos);
    EXPECT_NE(fault(with(kConfig, "\"write\"]", "\"wrote\"]")).find("RoleByKind"), std::string::npos);
}

// ---- the list -------------------------------------------------------------------------------------------

struct List : ::testing::Test {
    Config config = parse_config(kConfig, "", "");
    EndpointList hosts{config.named, -1000};
    Millis clock = 10000;
    std::string why;
    std::optional<EndpointUpdate> take(const std::string& text,
                                       EndpointList::Source source = EndpointList::Source::same_address) {
        why.clear();
        return hosts.take(text, source, clock, why);
    }
    static std::string row(const char* name, const char* health, long born = 0) {
        return std::string("{\"host\":\"") + name +
               "\",\"dial\":\"10.0.0.9:1\",\"site\":\"a\",\"class\":\"decode\"," +
               "\"block\":3,\"health\":\"" + health + "\",\"share\":2.0,\"born_ms\":" + std::to_string(born) +
               "}";
    }
    static std::string list(int seq, bool whole, const std::string& rows) {
        return "{\"seq\":" + std::to_string(seq) + ",\"whole\":" + (whole ? "true" : "false") +
               ",\"hosts\":[" + rows + "]}";
    }
};

TEST_F(List, KnownThenChangesThenGone) {
    const auto saved = take(config.cached_list, EndpointList::Source::cached);
    ASSERT_TRUE(saved);
    EXPECT_EQ(saved->kind, EndpointUpdate::Kind::cached);
    EXPECT_EQ(saved->endpoints.size(), 3u);
    const auto changed = take(list(5, false, row("w2", "up", 5000) + "," + row("w1", "draining")));
    ASSERT_TRUE(changed);
    EXPECT_EQ(changed->kind, EndpointUpdate::Kind::incremental);
    EXPECT_EQ(changed->endpoints[0].started_at, 4000);  // on the Router's clock
    EXPECT_EQ(changed->endpoints[1].status, EndpointStatus::draining);
    EXPECT_EQ(changed->endpoints[1].id, saved->endpoints[2].id) << "one id a name";
    EXPECT_EQ(hosts.all().size(), 4u);
    const auto gone = take(list(6, false, "{\"host\":\"w1\",\"health\":\"removed\"}"));
    ASSERT_TRUE(gone);
    EXPECT_EQ(gone->endpoints[0].status, EndpointStatus::removed);
    EXPECT_EQ(hosts.all().size(), 3u);
    ASSERT_TRUE(take(list(7, true, row("w2", "up", 5000))));
    EXPECT_EQ(hosts.all().size(), 1u) << "what a whole list lacks is gone";
}

TEST_F(List, BadTextChangesNothingAndSaysWhy) {
    ASSERT_TRUE(take(config.cached_list));
    const std::pair<std::string, const char*> bad[] = {
        {"{\"seq\":5,\"whole\":true,\"hosts\":[", "JSON"},
        {"{\"seq\":5,\"whole\":true}", "hosts"},
        {"{\"whole\":true,\"hosts\":[]}", "seq"},
        {list(5, true, row("x", "lost")), "hosts[0].health"},
        {list(5, true, row("x", "up") + ",7"), "hosts[1]"},
        {list(5, true, with(row("x", "up"), "decode", "poet")), "hosts[0].class"},
        {list(5, true, with(row("x", "up"), "10.0.0.9:1", "here")), "hosts[0].dial"},
        {list(3, false, row("x", "up")), "went back"},
    };
    for (const auto& [text, reason] : bad) {
        EXPECT_FALSE(take(text)) << text;
        EXPECT_NE(why.find(reason), std::string::npos) << why;
        EXPECT_EQ(hosts.all().size(), 3u);
        EXPECT_EQ(hosts.version(), 4u);
    }
    EXPECT_TRUE(take(list(5, true, row("x", "up")))) << why;
}

TEST_F(List, AnOlderWholeListIsTakenWhereDiscoveryStaysWithIt) {
    ASSERT_TRUE(take(config.cached_list));
    const std::string older = list(2, true, row("x", "up"));
    EXPECT_FALSE(take(older));
    EXPECT_FALSE(take(older));
    EXPECT_TRUE(take(older));
    EXPECT_EQ(hosts.version(), 2u);
}

TEST_F(List, TheWholeListOfAnotherDiscoveryIsTakenWhateverItsVersion) {
    ASSERT_TRUE(take(config.cached_list));
    EXPECT_FALSE(take(list(2, false, row("x", "up")), EndpointList::Source::new_address))
        << "changes of a list not held";
    ASSERT_TRUE(take(list(2, true, row("x", "draining")), EndpointList::Source::new_address)) << why;
    EXPECT_EQ(hosts.version(), 2u);
    EXPECT_TRUE(take(list(3, false, row("x", "up"))));
}

// The wall clock of this host or of another may be wrong, or stepped.
TEST_F(List, AStartThatIsSeenIsNowWhateverTheWallClockSays) {
    ASSERT_TRUE(take(list(1, true, row("w1", "up", 5000) + "," + row("w2", "up"))));
    for (const long born : {7000L, 3600000L, 6000L}) {
        clock += 1000;
        const auto update = take(list(2, false, row("w1", "up", born)));
        ASSERT_TRUE(update) << why;
        EXPECT_EQ(update->endpoints[0].started_at, clock) << "another start of w1";
        clock += 500;
        EXPECT_EQ(take(list(2, false, row("w1", "draining", born)))->endpoints[0].started_at, clock - 500)
            << "the same";
    }
    EXPECT_EQ(take(list(3, false, row("w3", "up", 9000)))->endpoints[0].started_at, clock) << "a new server";
    ASSERT_TRUE(take(list(4, false, "{\"host\":\"w3\",\"health\":\"removed\"}")));
    clock += 2000;
    EXPECT_EQ(take(list(5, false, row("w3", "up", 9000)))->endpoints[0].started_at, clock - 2000)
        << "listed again";
    EXPECT_EQ(take(list(6, false, row("w2", "up")))->endpoints[0].started_at, 0) << "long ago";
}

TEST_F(List, OfTheFirstListTheClocksTell) {
    ASSERT_TRUE(take(config.cached_list, EndpointList::Source::cached));
    const auto update = take(list(5, true, row("w1", "up", 5000) + "," + row("w2", "up", 3600000)));
    ASSERT_TRUE(update) << why;
    EXPECT_EQ(update->endpoints[0].started_at, 4000);
    EXPECT_EQ(update->endpoints[1].started_at, 3599000) << "the Router takes no start to be later than now";
}

// ---- a client's request ---------------------------------------------------------------------------------

struct Heads : ::testing::Test {
    Config config = parse_config(kConfig, "", "");
    std::variant<Refusal, Inbound> read(const std::string& head) {
        http::Parser parser(http::Parser::Kind::request, http::Limits{std::size_t{16} * 1024, 64, kMaxBodyBytes});
        parser.feed("POST /v1/chat/completions HTTP/1.1\r\n" + head + "content-length: 0\r\n\r\n");
        EXPECT_EQ(parser.fault(), http::Fault::none) << head;
        return read_head(config.named, parser);
    }
    std::string why(const std::string& head) {
        const auto result = read(head);
        return std::holds_alternative<Refusal>(result) ? std::get<Refusal>(result).why : "";
    }
};

const std::string kHead =
    "X-Txn: 9b1f\r\nX-Lane: chat\r\nX-Org: acme\r\nX-Entity: 7f3a\r\nX-Remaining: 4800m\r\n"
    "X-Labels: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\nX-Estimate: 12000\r\n";

TEST_F(Heads, AllThatTheRouterNeeds) {
    const auto result = read(kHead + "Host: here\r\nConnection: keep-alive\r\nX-Resent: again\r\n");
    ASSERT_TRUE(std::holds_alternative<Inbound>(result));
    const Inbound& in = std::get<Inbound>(result);
    EXPECT_EQ(in.txn, "9b1f");
    EXPECT_EQ(in.arrival.deadline, 4800);
    EXPECT_EQ(in.arrival.prompt_tokens, 5120);
    EXPECT_EQ(in.arrival.shared_prefix_tokens, 2048);
    EXPECT_EQ(in.arrival.max_tokens, 800);
    EXPECT_EQ(in.arrival.length_hint, 12);
    EXPECT_NE(in.arrival.shared_prefix, 0u);
    EXPECT_NE(in.arrival.session, 0u);
    EXPECT_TRUE(in.arrival.resumed);
    EXPECT_FALSE(in.arrival.client_retry);
    EXPECT_NE(in.head.find("x-txn: 9b1f\r\n"), std::string::npos);
    EXPECT_EQ(in.head.find("x-remaining"), std::string::npos) << "said anew for each attempt";
    EXPECT_EQ(in.head.find("connection"), std::string::npos);
    EXPECT_EQ(std::get<Inbound>(read(with(kHead, "4800m", "4800500u"))).arrival.deadline, 4800.5);
}

TEST_F(Heads, EndToEndHeadersAreForwardedAndThoseOfTheConnectionAreNot) {
    const auto result =
        read(kHead + "Idempotency-Key: k-17\r\nTraceparent: 00-ab-cd-01\r\nAccept: text/event-stream\r\n" +
             "Host: here\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n" +
             "Expect: 100-continue\r\n");
    ASSERT_TRUE(std::holds_alternative<Inbound>(result));
    const std::string& head = std::get<Inbound>(result).head;
    for (const char* kept :
         {"idempotency-key: k-17\r\n", "traceparent: 00-ab-cd-01\r\n", "accept: text/event-stream\r\n"})
        EXPECT_NE(head.find(kept), std::string::npos) << kept;
    for (const char* dropped : {"host:", "connection:", "keep-alive:", "te:", "expect:", "content-length:"})
        EXPECT_EQ(head.find(std::string("\r\n") + dropped), std::string::npos) << dropped;
}

// Guards against a good request that is refused for a value this gateway has no use for. RFC 9110, 5.5: a
// value may hold tabs and bytes above 127. A control character may not (the parser refuses it): another
// reader might end the line there.
TEST_F(Heads, ValuesMayHoldAllThatHttpAllows) {
    const auto result = read(kHead + "X-Note: a\tb caf\xc3\xa9 \xe9\r\n");
    ASSERT_TRUE(std::holds_alternative<Inbound>(result)) << std::get<Refusal>(result).why;
    EXPECT_NE(std::get<Inbound>(result).head.find("x-note: a\tb caf\xc3\xa9 \xe9\r\n"), std::string::npos);
    for (const char control : {'\x01', '\x0b', '\x7f'}) {
        http::Parser parser(http::Parser::Kind::request, http::Limits{std::size_t{16} * 1024, 64, kMaxBodyBytes});
        parser.feed("POST /v1/chat/completions HTTP/1.1\r\nX-Note: a" + std::string(1, control) +
                    "b\r\n\r\n");
        EXPECT_NE(parser.fault(), http::Fault::none) << int{control};
    }
}

TEST_F(Heads, BadOnesNameTheirHeader) {
    EXPECT_EQ(why(kHead), "");
    const std::pair<std::string, const char*> bad[] = {
        {with(kHead, "X-Txn: 9b1f\r\n", ""), "x-txn"},
        {with(kHead, "9b1f", ""), "x-txn"},
        {with(kHead, "9b1f", "a b"), "x-txn"},
        {with(kHead, "9b1f", "a/../b"), "x-txn"},
        {with(kHead, "9b1f", std::string(200, 'x')), "x-txn"},
        {kHead + "X-Txn: other\r\n", "x-txn"},
        {kHead + "X-Lane: chat\r\n", "x-lane"},
        {with(kHead, "chat", "none"), "x-lane"},
        {with(kHead, "acme", "nobody"), "x-org"},
        {with(kHead, "X-Org: acme\r\n", ""), "x-org"},
        {with(kHead, "4800m", "soon"), "x-remaining"},
        {with(kHead, "4800m", "-5m"), "x-remaining"},
        {with(kHead, "4800m", "0m"), "x-remaining"},
        {with(kHead, "4800m", "4800"), "x-remaining"},
        {with(kHead, "4800m", "1e3m"), "x-remaining"},
        {with(kHead, "4800m", "99999999999999m"), "x-remaining"},
        {with(kHead, "5120", "many"), "x-labels"},
        {with(kHead, "5120", "-1"), "x-labels"},
        {with(kHead, "12000", "nan"), "x-estimate"},
    };
    for (const auto& [head, name] : bad) EXPECT_EQ(why(head).rfind(name, 0), 0u) << head << why(head);
}

// ---- an attempt -----------------------------------------------------------------------------------------

struct Told {
    std::string events;
    std::optional<AttemptOutcome> end;
    std::shared_ptr<platform::UpstreamExchange> attempt;
    explicit Told(platform::UpstreamExchange::Kind kind)
        : attempt(std::make_shared<platform::UpstreamExchange>(kind)) {
        attempt->on_first_event = attempt->on_more_events = [this](std::string_view b) { events.append(b); };
        attempt->on_ended = [this](const AttemptOutcome& outcome) {
            EXPECT_FALSE(end);
            end = outcome;
        };
        attempt->on_first_byte_sent();
        attempt->on_request_written();
    }
    void feed(std::string_view bytes, std::size_t piece) {
        for (std::size_t i = 0; i < bytes.size(); i += piece) attempt->on_data(bytes.substr(i, piece));
    }
};

using Kind = platform::UpstreamExchange::Kind;
TEST(PlatformAttempt, OutcomesByTheTableInPiecesOfEverySize) {
    const std::string away = "X-Turned-Away: 1\r\ncontent-length: 0\r\n\r\n";
    struct Case {
        Kind kind;
        std::string bytes;
        AttemptResult result;
        double note;
        bool reusable;
    };
    const Case cases[] = {
        {Kind::prefill, "HTTP/1.1 202 Accepted\r\ncontent-length: 23\r\n\r\n{\"cached_tokens\": 4096}",
         AttemptResult::prefill_done, 4096, true},
        {Kind::prefill, "HTTP/1.1 202 Accepted\r\ncontent-length: 4\r\n\r\nnone", AttemptResult::prefill_done,
         0, true},
        {Kind::decode, kStream + chunked("data: a\n\n") + chunked("data: [DONE]\n\n") + "0\r\n\r\n",
         AttemptResult::served, 0, true},
        {Kind::decode,
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n" + kStream + chunked("data: a\n\n") +
             "0\r\n\r\n",
         AttemptResult::served, 0, true},
        {Kind::decode,
         kStream + chunked("data: a\n\n") + "0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
         AttemptResult::served, 0, false},
        {Kind::decode, "HTTP/1.1 503 no\r\n" + away, AttemptResult::rejected, 0, true},
        {Kind::prefill, "HTTP/1.1 504 no\r\n" + away, AttemptResult::rejected, 0, true},
        {Kind::decode, "HTTP/1.1 410 Gone\r\n" + away, AttemptResult::rejected, 1, true},
        {Kind::decode, "HTTP/1.1 503 no\r\ncontent-length: 0\r\n\r\n", AttemptResult::error, 0, true},
        {Kind::decode, "HTTP/1.1 500 no\r\ncontent-length: 0\r\n\r\n", AttemptResult::error, 0, true},
        {Kind::decode, "noise and more noise\r\n\r\n", AttemptResult::error, 0, false},
        {Kind::decode, "HTTP/1.1 200 OK\r\nx: " + std::string(40000, 'x'), AttemptResult::error, 0, false},
        {Kind::decode, kStream + "zz\r\n", AttemptResult::error, 0, false},
        {Kind::decode, kStream + "c0000000\r\nxxxx", AttemptResult::error, 0, false},
        {Kind::decode, kStream + chunked("data: half"), AttemptResult::error, 0, false},  // and then "zz"
        {Kind::decode, kStream + chunked("data: a\n\n") + "c0000000\r\nxxxx", AttemptResult::reset, 0, false},
        {Kind::decode, kStream + chunked("data: a\n\n") + "2\r\nabcdef\r\n", AttemptResult::reset, 0, false},
        {Kind::lease_call, "HTTP/1.1 204 No Content\r\n\r\n", AttemptResult::served, 0, true},
    };
    for (const auto& expected : cases) {
        for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, std::size_t{7}, std::size_t{50000}}) {
            Told told(expected.kind);
            told.feed(expected.bytes, piece);
            if (expected.bytes.ends_with("data: half\r\n")) told.feed("zz\r\n", piece);
            ASSERT_TRUE(told.end) << expected.bytes.substr(0, 60) << " by " << piece;
            EXPECT_EQ(told.end->result, expected.result) << expected.bytes.substr(0, 60);
            EXPECT_EQ(told.end->detail, expected.note);
            EXPECT_EQ(told.attempt->is_reusable(), expected.reusable)
                << expected.bytes.substr(0, 60) << " by " << piece;
        }
    }
}

TEST(PlatformAttempt, EventsPassUnchangedOnceTheFirstIsWhole) {
    const std::string events = "data: {\"a\":1}\n\ndata: \xc3\xa9\n\ndata: [DONE]\n\n";
    for (std::size_t piece = 1; piece < 30; ++piece) {
        std::string bytes = kStream;
        for (std::size_t i = 0; i < events.size(); i += 5) bytes += chunked(events.substr(i, 5));
        Told told(Kind::decode);
        told.feed(bytes, piece);
        EXPECT_EQ(told.events, events);
        EXPECT_FALSE(told.end);
        told.feed("0\r\n\r\n", piece);
        ASSERT_TRUE(told.end);
        EXPECT_EQ(told.end->result, AttemptResult::served);
    }
    Told half(Kind::decode);
    half.feed(kStream + chunked("data: {"), 100);
    EXPECT_EQ(half.events, "");
    half.attempt->on_connection_closed();
    EXPECT_EQ(half.end->result, AttemptResult::reset);
    EXPECT_FALSE(half.end->begun);
}

TEST(PlatformAttempt, WhatBrokeBeforeTheLastByteNeverRan) {
    platform::UpstreamExchange exchange(Kind::decode);
    AttemptResult result = AttemptResult::served;
    exchange.on_ended = [&](const AttemptOutcome& outcome) { result = outcome.result; };
    exchange.on_first_byte_sent();
    exchange.on_connection_closed();
    EXPECT_EQ(result, AttemptResult::unreachable);
    platform::UpstreamExchange written(Kind::decode);
    written.on_ended = [&](const AttemptOutcome& outcome) { result = outcome.result; };
    written.on_first_byte_sent();
    written.on_request_written();
    written.on_connection_closed();
    EXPECT_EQ(result, AttemptResult::reset);
    platform::UpstreamExchange aborted(Kind::decode);
    aborted.on_ended = [&](const AttemptOutcome& outcome) { result = outcome.result; };
    aborted.abort(AttemptResult::timed_out, "");
    EXPECT_EQ(result, AttemptResult::unreachable) << "no connection came up in its time";
}

}  // namespace
}  // namespace gorsenotch::test
