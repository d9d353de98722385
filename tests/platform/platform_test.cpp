// The parts of the platform gateway without I/O: configuration, endpoint list, request head, upstream
// exchange.
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

std::string config_error(const std::string& text) {
    try {
        parse_config(text, "127.0.0.1:1", "127.0.0.1:2");
    } catch (const ConfigError& error) {
        return error.what();
    }
    return "";
}

TEST(ConfigTest, ReadsSettingsByTheirExternalNames) {
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

TEST(ConfigTest, ErrorsNameThePath) {
    EXPECT_EQ(config_error(kConfig), "");
    EXPECT_NE(config_error("{").find("JSON"), std::string::npos);
    EXPECT_NE(config_error("[]").find("JSON"), std::string::npos);
    EXPECT_NE(config_error("{}").find("settings"), std::string::npos);
    EXPECT_NE(config_error(replace_once(kConfig, "127.0.0.1:8500", "nowhere")).find("discovery"),
              std::string::npos);
    EXPECT_NE(config_error(replace_once(kConfig, "8c1f30d27a5be964", "xyz")).find("seed"), std::string::npos);
    EXPECT_NE(config_error(replace_once(kConfig, "\"sockets\":512", "\"sockets\":-1")).find("limits.sockets"),
              std::string::npos);
    EXPECT_NE(config_error(replace_once(kConfig, "\"SloMs\":1000.0", "\"SloMs\":\"soon\""))
                  .find("settings.Lanes.1.SloMs"),
              std::string::npos);
    EXPECT_NE(config_error(replace_once(kConfig, "\"write\"]", "\"wrote\"]")).find("RoleByKind"),
              std::string::npos);
}

// ---- endpoint list --------------------------------------------------------------------------------------

struct EndpointListTest : ::testing::Test {
    Config config = parse_config(kConfig, "", "");
    static constexpr Millis kClockOffset = -1000;  // from Unix time to the monotonic clock
    EndpointList endpoints{config.named, kClockOffset};
    Millis now_ms = 10000;
    std::string rejection;
    std::optional<EndpointUpdate> apply(const std::string& text,
                                        EndpointList::Source source = EndpointList::Source::same_address) {
        rejection.clear();
        return endpoints.apply(text, source, now_ms, rejection);
    }
    static std::string row(const char* name, const char* health, long born = 0) {
        return std::string("{\"host\":\"") + name +
               "\",\"dial\":\"10.0.0.9:1\",\"site\":\"a\",\"class\":\"decode\"," +
               "\"block\":3,\"health\":\"" + health + "\",\"share\":2.0,\"born_ms\":" + std::to_string(born) +
               "}";
    }
    static std::string list_text(int seq, bool full, const std::string& rows) {
        return "{\"seq\":" + std::to_string(seq) + ",\"whole\":" + (full ? "true" : "false") +
               ",\"hosts\":[" + rows + "]}";
    }
};

TEST_F(EndpointListTest, AppliesACachedListThenChangesThenAFullList) {
    const auto cached = apply(config.cached_list, EndpointList::Source::cached);
    ASSERT_TRUE(cached);
    EXPECT_EQ(cached->kind, EndpointUpdate::Kind::cached);
    EXPECT_EQ(cached->endpoints.size(), 3u);
    const auto changed = apply(list_text(5, false, row("w2", "up", 5000) + "," + row("w1", "draining")));
    ASSERT_TRUE(changed);
    EXPECT_EQ(changed->kind, EndpointUpdate::Kind::incremental);
    EXPECT_EQ(changed->endpoints[0].started_at, 4000);  // 5000 on the wall clock
    EXPECT_EQ(changed->endpoints[1].status, EndpointStatus::draining);
    EXPECT_EQ(changed->endpoints[1].id, cached->endpoints[2].id) << "the id of a name does not change";
    EXPECT_EQ(endpoints.all().size(), 4u);
    const auto removed = apply(list_text(6, false, "{\"host\":\"w1\",\"health\":\"removed\"}"));
    ASSERT_TRUE(removed);
    EXPECT_EQ(removed->endpoints[0].status, EndpointStatus::removed);
    EXPECT_EQ(endpoints.all().size(), 3u);
    ASSERT_TRUE(apply(list_text(7, true, row("w2", "up", 5000))));
    EXPECT_EQ(endpoints.all().size(), 1u) << "endpoints missing from a full list are removed";
}

TEST_F(EndpointListTest, AnInvalidListChangesNothingAndGivesTheReason) {
    ASSERT_TRUE(apply(config.cached_list));
    const std::pair<std::string, const char*> bad[] = {
        {"{\"seq\":5,\"whole\":true,\"hosts\":[", "JSON"},
        {"{\"seq\":5,\"whole\":true}", "hosts"},
        {"{\"whole\":true,\"hosts\":[]}", "seq"},
        {list_text(5, true, row("x", "lost")), "hosts[0].health"},
        {list_text(5, true, row("x", "up") + ",7"), "hosts[1]: expected an object"},
        {list_text(5, true, replace_once(row("x", "up"), "decode", "poet")), "hosts[0].class"},
        {list_text(5, true, replace_once(row("x", "up"), "10.0.0.9:1", "here")), "hosts[0].dial"},
        {list_text(3, false, row("x", "up")), "went back"},
    };
    for (const auto& [text, reason] : bad) {
        EXPECT_FALSE(apply(text)) << text;
        EXPECT_NE(rejection.find(reason), std::string::npos) << rejection;
        EXPECT_EQ(endpoints.all().size(), 3u);
        EXPECT_EQ(endpoints.version(), 4u);
    }
    EXPECT_TRUE(apply(list_text(5, true, row("x", "up")))) << rejection;
}

TEST_F(EndpointListTest, AnOlderFullListIsAcceptedTheThirdTime) {
    ASSERT_TRUE(apply(config.cached_list));
    const std::string older = list_text(2, true, row("x", "up"));
    EXPECT_FALSE(apply(older));
    EXPECT_FALSE(apply(older));
    EXPECT_TRUE(apply(older));
    EXPECT_EQ(endpoints.version(), 2u);
}

TEST_F(EndpointListTest, AFullListFromANewAddressIsAcceptedWhateverItsVersion) {
    ASSERT_TRUE(apply(config.cached_list));
    EXPECT_FALSE(apply(list_text(2, false, row("x", "up")), EndpointList::Source::new_address))
        << "changes to a list that was not received";
    ASSERT_TRUE(apply(list_text(2, true, row("x", "draining")), EndpointList::Source::new_address))
        << rejection;
    EXPECT_EQ(endpoints.version(), 2u);
    EXPECT_TRUE(apply(list_text(3, false, row("x", "up"))));
}

// Guards against relying on wall clocks, which may be wrong or stepped on this host or on another. An
// incarnation is one start of an endpoint's process.
TEST_F(EndpointListTest, AfterTheFirstFullListANewIncarnationStartsWhenItAppears) {
    ASSERT_TRUE(apply(list_text(1, true, row("w1", "up", 5000) + "," + row("w2", "up"))));
    for (const long born : {7000L, 3600000L, 6000L}) {
        now_ms += 1000;
        const auto update = apply(list_text(2, false, row("w1", "up", born)));
        ASSERT_TRUE(update) << rejection;
        EXPECT_EQ(update->endpoints[0].started_at, now_ms) << "another incarnation of w1";
        now_ms += 500;
        EXPECT_EQ(apply(list_text(2, false, row("w1", "draining", born)))->endpoints[0].started_at,
                  now_ms - 500)
            << "the same incarnation";
    }
    EXPECT_EQ(apply(list_text(3, false, row("w3", "up", 9000)))->endpoints[0].started_at, now_ms)
        << "a new endpoint";
    ASSERT_TRUE(apply(list_text(4, false, "{\"host\":\"w3\",\"health\":\"removed\"}")));
    now_ms += 2000;
    EXPECT_EQ(apply(list_text(5, false, row("w3", "up", 9000)))->endpoints[0].started_at, now_ms - 2000)
        << "listed again";
    EXPECT_EQ(apply(list_text(6, false, row("w2", "up")))->endpoints[0].started_at, 0) << "long ago";
}

TEST_F(EndpointListTest, StartTimesInTheFirstListAreReadFromTheClocks) {
    ASSERT_TRUE(apply(config.cached_list, EndpointList::Source::cached));
    const auto update = apply(list_text(5, true, row("w1", "up", 5000) + "," + row("w2", "up", 3600000)));
    ASSERT_TRUE(update) << rejection;
    EXPECT_EQ(update->endpoints[0].started_at, 4000);
    EXPECT_EQ(update->endpoints[1].started_at, 3599000)
        << "a start in the future is left to the Router to limit";
}

// ---- request head ---------------------------------------------------------------------------------------

struct RequestHeadTest : ::testing::Test {
    Config config = parse_config(kConfig, "", "");
    std::variant<RequestError, Inbound> read(const std::string& head) {
        http::Parser parser(http::Parser::Kind::request,
                            http::Limits{std::size_t{16} * 1024, 64, kMaxBodyBytes});
        parser.feed("POST /v1/chat/completions HTTP/1.1\r\n" + head + "content-length: 0\r\n\r\n");
        EXPECT_EQ(parser.fault(), http::Fault::none) << head;
        return read_head(config.named, parser);
    }
    std::string error_text(const std::string& head) {
        const auto result = read(head);
        return std::holds_alternative<RequestError>(result) ? std::get<RequestError>(result).message : "";
    }
};

const std::string kHead =
    "X-Txn: 9b1f\r\nX-Lane: chat\r\nX-Org: acme\r\nX-Entity: 7f3a\r\nX-Remaining: 4800m\r\n"
    "X-Labels: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\nX-Estimate: 12000\r\n";

TEST_F(RequestHeadTest, ReadsAllThatTheRouterNeeds) {
    // X-Resent: "1" marks a retry, "again" the continuation of an interrupted stream.
    const auto result = read(kHead + "Host: here\r\nConnection: keep-alive\r\nX-Resent: again\r\n");
    ASSERT_TRUE(std::holds_alternative<Inbound>(result));
    const Inbound& inbound = std::get<Inbound>(result);
    EXPECT_EQ(inbound.txn, "9b1f");
    EXPECT_EQ(inbound.arrival.deadline, 4800);  // ms from the arrival; becomes a clock time later
    EXPECT_EQ(inbound.arrival.prompt_tokens, 5120);
    EXPECT_EQ(inbound.arrival.shared_prefix_tokens, 2048);
    EXPECT_EQ(inbound.arrival.max_tokens, 800);
    EXPECT_EQ(inbound.arrival.length_hint, 12);  // ms; X-Estimate is in us
    EXPECT_NE(inbound.arrival.shared_prefix, 0u);
    EXPECT_NE(inbound.arrival.session, 0u);
    EXPECT_TRUE(inbound.arrival.resumed);
    EXPECT_FALSE(inbound.arrival.client_retry);
    EXPECT_NE(inbound.head.find("x-txn: 9b1f\r\n"), std::string::npos);
    EXPECT_EQ(inbound.head.find("x-remaining"), std::string::npos) << "set for each attempt";
    EXPECT_EQ(inbound.head.find("connection"), std::string::npos);
    EXPECT_EQ(std::get<Inbound>(read(replace_once(kHead, "4800m", "4800500u"))).arrival.deadline, 4800.5);
}

TEST_F(RequestHeadTest, EndToEndHeadersAreForwardedAndHopByHopHeadersAreNot) {
    const auto result =
        read(kHead + "Idempotency-Key: k-17\r\nTraceparent: 00-ab-cd-01\r\nAccept: text/event-stream\r\n" +
             "Host: here\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n" +
             "Expect: 100-continue\r\n");
    ASSERT_TRUE(std::holds_alternative<Inbound>(result));
    const std::string& head = std::get<Inbound>(result).head;
    for (const char* forwarded :
         {"idempotency-key: k-17\r\n", "traceparent: 00-ab-cd-01\r\n", "accept: text/event-stream\r\n"})
        EXPECT_NE(head.find(forwarded), std::string::npos) << forwarded;
    for (const char* dropped : {"host:", "connection:", "keep-alive:", "te:", "expect:", "content-length:"})
        EXPECT_EQ(head.find(std::string("\r\n") + dropped), std::string::npos) << dropped;
}

// Guards against rejecting a valid request for a header value that the gateway does not interpret. Values may
// contain tabs and bytes above 127 (RFC 9110, 5.5), but no other control characters, which the parser
// rejects: another parser might end the line there.
TEST_F(RequestHeadTest, HeaderValuesMayContainAllBytesThatHttpAllows) {
    const auto result = read(kHead + "X-Note: a\tb caf\xc3\xa9 \xe9\r\n");
    ASSERT_TRUE(std::holds_alternative<Inbound>(result)) << std::get<RequestError>(result).message;
    EXPECT_NE(std::get<Inbound>(result).head.find("x-note: a\tb caf\xc3\xa9 \xe9\r\n"), std::string::npos);
    for (const char control : {'\x01', '\x0b', '\x7f'}) {
        http::Parser parser(http::Parser::Kind::request,
                            http::Limits{std::size_t{16} * 1024, 64, kMaxBodyBytes});
        parser.feed("POST /v1/chat/completions HTTP/1.1\r\nX-Note: a" + std::string(1, control) +
                    "b\r\n\r\n");
        EXPECT_NE(parser.fault(), http::Fault::none) << int{control};
    }
}

TEST_F(RequestHeadTest, ErrorsNameTheHeader) {
    EXPECT_EQ(error_text(kHead), "");
    const std::pair<std::string, const char*> bad[] = {
        {replace_once(kHead, "X-Txn: 9b1f\r\n", ""), "x-txn"},
        {replace_once(kHead, "9b1f", ""), "x-txn"},
        {replace_once(kHead, "9b1f", "a b"), "x-txn"},
        {replace_once(kHead, "9b1f", "a/../b"), "x-txn"},
        {replace_once(kHead, "9b1f", std::string(200, 'x')), "x-txn"},
        {kHead + "X-Txn: other\r\n", "x-txn"},
        {kHead + "X-Lane: chat\r\n", "x-lane"},
        {replace_once(kHead, "chat", "none"), "x-lane"},
        {replace_once(kHead, "acme", "nobody"), "x-org"},
        {replace_once(kHead, "X-Org: acme\r\n", ""), "x-org"},
        {replace_once(kHead, "4800m", "soon"), "x-remaining"},
        {replace_once(kHead, "4800m", "-5m"), "x-remaining"},
        {replace_once(kHead, "4800m", "0m"), "x-remaining"},
        {replace_once(kHead, "4800m", "4800"), "x-remaining"},
        {replace_once(kHead, "4800m", "1e3m"), "x-remaining"},
        {replace_once(kHead, "4800m", "99999999999999m"), "x-remaining"},
        {replace_once(kHead, "5120", "many"), "x-labels"},
        {replace_once(kHead, "5120", "-1"), "x-labels"},
        {replace_once(kHead, "12000", "nan"), "x-estimate"},
    };
    for (const auto& [head, name] : bad)
        EXPECT_EQ(error_text(head).rfind(name, 0), 0u) << head << error_text(head);
}

// Guards against an error that repeats many KiB of a header, or bytes that a terminal or a log interprets.
TEST_F(RequestHeadTest, ErrorsShowAtMost64EscapedBytesOfAHeader) {
    const std::string value = "\"\xc3\t" + std::string(200, 'x');
    const std::string shown = "\"\\\"\\xc3\\x09" + std::string(61, 'x') + "...\"";
    EXPECT_EQ(error_text(replace_once(kHead, "chat", value)), "x-lane: unknown class " + shown);
    EXPECT_EQ(error_text(replace_once(kHead, "4800m", value)),
              "x-remaining: expected a number above 0 and up to 1e9, followed by m or u, got " + shown);
    EXPECT_EQ(error_text(replace_once(kHead, "12000", value)),
              "x-estimate: expected a non-negative number, got " + shown);
    EXPECT_EQ(error_text(replace_once(kHead, "9b1f", "/\"" + std::string(100, 'x'))),
              "x-txn: must not contain / or ?, got \"/\\\"" + std::string(62, 'x') + "...\"");
    http::Parser parser(http::Parser::Kind::request, http::Limits{std::size_t{16} * 1024, 64, kMaxBodyBytes});
    parser.feed("POST /v1/chat/completions HTTP/1.1\r\n" + kHead + "Transfer-Encoding: " + value +
                ", chunked\r\n\r\n");
    ASSERT_EQ(parser.fault(), http::Fault::none);
    const auto result = read_head(config.named, parser);
    ASSERT_TRUE(std::holds_alternative<RequestError>(result));
    EXPECT_EQ(std::get<RequestError>(result).message, "transfer-encoding: expected chunked, got " + shown);
}

// ---- upstream exchange ----------------------------------------------------------------------------------

// An exchange that records its events and its end.
struct RecordedExchange {
    std::string events;
    std::optional<AttemptOutcome> end;
    std::shared_ptr<platform::UpstreamExchange> exchange;
    explicit RecordedExchange(platform::UpstreamExchange::Kind kind)
        : exchange(std::make_shared<platform::UpstreamExchange>(kind)) {
        exchange->on_first_event =
            exchange->on_more_events = [this](std::string_view event) { events.append(event); };
        exchange->on_ended = [this](const AttemptOutcome& outcome) {
            EXPECT_FALSE(end);
            end = outcome;
        };
        exchange->on_first_byte_sent();
        exchange->on_request_written();
    }
    void feed(std::string_view bytes, std::size_t piece) {
        for (std::size_t i = 0; i < bytes.size(); i += piece) exchange->on_data(bytes.substr(i, piece));
    }
};

using Kind = platform::UpstreamExchange::Kind;
TEST(UpstreamExchangeTest, OutcomesFollowTheProtocolForAnySplitOfTheBytes) {
    const std::string rejected_tail = "X-Turned-Away: 1\r\ncontent-length: 0\r\n\r\n";
    struct Case {
        Kind kind;
        std::string bytes;
        AttemptResult result;
        double detail;  // see AttemptEnded::detail
        bool reusable;
    };
    const Case cases[] = {
        {Kind::prefill, "HTTP/1.1 202 Accepted\r\ncontent-length: 23\r\n\r\n{\"cached_tokens\": 4096}",
         AttemptResult::prefill_done, 4096, true},
        {Kind::prefill, "HTTP/1.1 202 Accepted\r\ncontent-length: 4\r\n\r\nnone", AttemptResult::prefill_done,
         0, true},
        {Kind::decode, kWholeAnswer, AttemptResult::served, 0, true},
        {Kind::decode, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n" + kWholeAnswer,
         AttemptResult::served, 0, true},
        {Kind::decode, kWholeAnswer + "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", AttemptResult::served,
         0, false},
        {Kind::decode, kStreamHead + chunked("data: a\n\n") + "0\r\n\r\n", AttemptResult::reset, 0, false},
        {Kind::decode, kStreamHead + chunked("data: a\n\n") + chunked("data: [DONE]\n") + "0\r\n\r\n",
         AttemptResult::reset, 0, false},
        {Kind::decode, kStreamHead + chunked("data: a\n\n") + kStreamEnd.substr(0, kStreamEnd.size() - 2),
         AttemptResult::reset, 0, false},  // the loop below then closes the connection
        {Kind::decode,
         "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 23\r\n\r\n"
         "data: a\n\ndata: [DONE]\n\n",
         AttemptResult::served, 0, true},
        {Kind::decode,
         "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 18\r\n\r\n"
         "data: a\n\ndata: b\n\n",
         AttemptResult::reset, 0, false},
        {Kind::decode, "HTTP/1.1 503 no\r\n" + rejected_tail, AttemptResult::rejected, 0, true},
        {Kind::prefill, "HTTP/1.1 504 no\r\n" + rejected_tail, AttemptResult::rejected, 0, true},
        {Kind::decode, "HTTP/1.1 410 Gone\r\n" + rejected_tail, AttemptResult::rejected, 1, true},
        {Kind::decode, "HTTP/1.1 503 no\r\ncontent-length: 0\r\n\r\n", AttemptResult::error, 0, true},
        {Kind::decode, "HTTP/1.1 500 no\r\ncontent-length: 0\r\n\r\n", AttemptResult::error, 0, true},
        {Kind::decode, "noise and more noise\r\n\r\n", AttemptResult::error, 0, false},
        {Kind::decode, "HTTP/1.1 200 OK\r\nx: " + std::string(40000, 'x'), AttemptResult::error, 0, false},
        {Kind::decode, kStreamHead + "zz\r\n", AttemptResult::error, 0, false},
        {Kind::decode, kStreamHead + "c0000000\r\nxxxx", AttemptResult::error, 0, false},
        {Kind::decode, kStreamHead + chunked("data: half"), AttemptResult::error, 0,
         false},  // the loop below then feeds "zz\r\n"
        {Kind::decode, kStreamHead + chunked("data: a\n\n") + "c0000000\r\nxxxx", AttemptResult::reset, 0,
         false},
        {Kind::decode, kStreamHead + chunked("data: a\n\n") + "2\r\nabcdef\r\n", AttemptResult::reset, 0,
         false},
        {Kind::lease_call, "HTTP/1.1 204 No Content\r\n\r\n", AttemptResult::served, 0, true},
    };
    for (const auto& expected : cases) {
        // A complete response to a lease call counts as served whatever its status.
        for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, std::size_t{7}, std::size_t{50000}}) {
            RecordedExchange recorded(expected.kind);
            recorded.feed(expected.bytes, piece);
            if (expected.bytes.ends_with("data: half\r\n")) recorded.feed("zz\r\n", piece);
            if (expected.bytes.ends_with("0\r\n")) recorded.exchange->on_connection_closed();
            ASSERT_TRUE(recorded.end) << expected.bytes.substr(0, 60) << " by " << piece;
            EXPECT_EQ(recorded.end->result, expected.result) << expected.bytes.substr(0, 60);
            EXPECT_EQ(recorded.end->detail, expected.detail);
            EXPECT_EQ(recorded.exchange->is_reusable(), expected.reusable)
                << expected.bytes.substr(0, 60) << " by " << piece;
        }
    }
}

TEST(UpstreamExchangeTest, EventsAreForwardedUnchangedOnceTheFirstIsComplete) {
    const std::string events = "data: {\"a\":1}\n\ndata: \xc3\xa9\n\ndata: [DONE]\n\n";
    for (std::size_t piece = 1; piece < 30; ++piece) {
        std::string bytes = kStreamHead;
        for (std::size_t i = 0; i < events.size(); i += 5) bytes += chunked(events.substr(i, 5));
        RecordedExchange recorded(Kind::decode);
        recorded.feed(bytes, piece);
        EXPECT_EQ(recorded.events, events);
        EXPECT_FALSE(recorded.end);
        recorded.feed("0\r\n\r\n", piece);
        ASSERT_TRUE(recorded.end);
        EXPECT_EQ(recorded.end->result, AttemptResult::served);
    }
    RecordedExchange comment(Kind::decode);
    comment.feed(kStreamHead + chunked(": ping\n\n"), 100);
    EXPECT_EQ(comment.events, "") << "a comment is no event";
    comment.feed(chunked("data: a\r\r"), 100);
    EXPECT_EQ(comment.events, ": ping\n\ndata: a\r\r");
    RecordedExchange incomplete(Kind::decode);
    incomplete.feed(kStreamHead + chunked("data: {"), 100);
    EXPECT_EQ(incomplete.events, "");
    incomplete.exchange->on_connection_closed();
    EXPECT_EQ(incomplete.end->result, AttemptResult::reset);
    EXPECT_FALSE(incomplete.end->stream_begun);
}

// Guards against a stream that never ends: each of its chunks is short and valid, and nothing else would end
// it. The platform allows bodies of 256 KiB.
TEST(UpstreamExchangeTest, AStreamEndsAsResetOnceItExceedsThePlatformsLimitOnBodies) {
    constexpr std::size_t kLimit = std::size_t{256} * 1024;
    const std::string event = "data: " + std::string(1016, 'x') + "\n\n";  // 1 KiB
    const std::string marker = "data: [DONE]\n\n";
    RecordedExchange longest(Kind::decode);
    longest.feed(kStreamHead, 100);
    for (std::size_t sent = event.size(); sent < kLimit; sent += event.size())
        longest.feed(chunked(event), 16384);
    longest.feed(chunked("data: " + std::string(event.size() - marker.size() - 8, 'x') + "\n\n"), 16384);
    longest.feed(chunked(marker), 16384);
    EXPECT_FALSE(longest.end);
    EXPECT_EQ(longest.events.size(), kLimit);
    RecordedExchange endless(Kind::decode);
    endless.feed(kStreamHead, 100);
    for (std::size_t sent = 0; sent <= kLimit; sent += event.size()) endless.feed(chunked(event), 16384);
    ASSERT_TRUE(endless.end);
    EXPECT_EQ(endless.end->result, AttemptResult::reset);
    EXPECT_TRUE(endless.end->too_long);
    EXPECT_FALSE(endless.exchange->is_reusable());
    longest.feed("0\r\n\r\n", 100);
    ASSERT_TRUE(longest.end);
    EXPECT_EQ(longest.end->result, AttemptResult::served);
}

TEST(UpstreamExchangeTest, ARequestThatBrokeBeforeItsLastByteNeverRan) {
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
    EXPECT_EQ(result, AttemptResult::unreachable) << "no connection was established in time";
}

}  // namespace
}  // namespace gorsenotch::test
