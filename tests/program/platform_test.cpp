// The platform's pure parts: configuration, list, request, attempt, and the relay in a world of the test's
// own.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "platform/config.h"
#include "platform/relay.h"

namespace gorsenotch::test {
namespace {

using namespace gorsenotch::platform;

const char* const kConfig = R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500",
 "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":512},
 "known":{"seq":4,"whole":true,"hosts":[
  {"host":"r1","dial":"10.0.0.1:1","site":"a","class":"prefill","block":1,"health":"up","share":1.0,"born_ms":0},
  {"host":"r2","dial":"10.0.0.2:1","site":"a","class":"prefill","block":1,"health":"up","share":1.0,"born_ms":0},
  {"host":"w1","dial":"10.0.0.3:1","site":"a","class":"decode","block":1,"health":"up","share":1.0,"born_ms":0}]},
 "settings":{"Azs":["a","b"],"Zone":"b","Balancers":2,"Flavors":["prefill","decode"],
  "FamilyInfo":{"RoleByKind":["read","write"],"KindMemoryTokens":[200000,150000],"LetGoByMs":1000.0,
   "Resume":true,"Ahead":true,"TokenAimMs":[60.0,50.0],"AimUsPer1000PromptTokens":[40000.0,60000.0]},
  "Ceilings":{"AttemptsCap":6,"Cancel":true,"DialTimeoutMs":250.0,"IdleCloseMs":15000.0},
  "Lanes":[{"Name":"chat","SloMs":1500.0,"DeadlineMs":6000.0,"Importance":3.0,"Effect":"repeatable"},
           {"Name":"bulk job","SloMs":1000.0,"DeadlineMs":5000.0,"Effect":"once"}],
  "Tenants":[{"Name":"acme","QuotaPerS":100.0}],"StepMs":4.0}})";

std::string with(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

std::string fault(const std::string& text) {
    try {
        parse_config(text, "127.0.0.1:1", "127.0.0.1:2");
    } catch (const ConfigError& e) {
        return e.what();
    }
    return "";
}

TEST(PlatformConfig, SettingsUnderTheSimulatorsNames) {
    const Config c = parse_config(kConfig, "", "");
    EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(c.sockets, 512u);
    const Settings& s = c.named.settings;
    ASSERT_EQ(s.classes.size(), 2u);
    EXPECT_EQ(s.classes[0].aim_per_1000, 40);
    EXPECT_EQ(s.classes[1].token_aim, 50);
    EXPECT_EQ(s.classes[1].effect, Effect::once);
    EXPECT_EQ(c.named.classes.at("bulk job"), 1);
    EXPECT_EQ(s.own_zone, 1);
    EXPECT_EQ(s.kinds[1].role, Role::write);
    EXPECT_TRUE(s.resume && s.hold_ahead && s.cancel);
    EXPECT_EQ(c.named.idle_close, 15000);
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
    Hosts hosts{config.named, -1000};
    std::string why;
    std::optional<ListEvent> take(const std::string& text, bool saved = false) {
        why.clear();
        return hosts.take(text, saved, why);
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
    const auto saved = take(config.known, true);
    ASSERT_TRUE(saved);
    EXPECT_EQ(saved->form, ListEvent::Form::saved);
    EXPECT_EQ(saved->entries.size(), 3u);
    const auto changed = take(list(5, false, row("w2", "up", 5000) + "," + row("w1", "draining")));
    ASSERT_TRUE(changed);
    EXPECT_EQ(changed->form, ListEvent::Form::changes);
    EXPECT_EQ(changed->entries[0].started, 4000);  // on the Router's clock
    EXPECT_EQ(changed->entries[1].mode, Mode::draining);
    EXPECT_EQ(changed->entries[1].server, saved->entries[2].server) << "one id a name";
    EXPECT_EQ(hosts.all().size(), 4u);
    const auto gone = take(list(6, false, "{\"host\":\"w1\",\"health\":\"removed\"}"));
    ASSERT_TRUE(gone);
    EXPECT_EQ(gone->entries[0].mode, Mode::gone);
    EXPECT_EQ(hosts.all().size(), 3u);
    ASSERT_TRUE(take(list(7, true, row("w2", "up", 5000))));
    EXPECT_EQ(hosts.all().size(), 1u) << "what a whole list lacks is gone";
}

TEST_F(List, BadTextChangesNothingAndSaysWhy) {
    ASSERT_TRUE(take(config.known));
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
    ASSERT_TRUE(take(config.known));
    const std::string older = list(2, true, row("x", "up"));
    EXPECT_FALSE(take(older));
    EXPECT_FALSE(take(older));
    EXPECT_TRUE(take(older));
    EXPECT_EQ(hosts.version(), 2u);
}

// ---- a client's request ---------------------------------------------------------------------------------

struct Heads : ::testing::Test {
    Config config = parse_config(kConfig, "", "");
    std::variant<Refusal, Inbound> read(const std::string& head) {
        http::Parser p(http::Parser::Kind::request, http::Limits{16 * 1024, 64, kMaxBody});
        p.feed("POST /v1/chat/completions HTTP/1.1\r\n" + head + "content-length: 0\r\n\r\n");
        EXPECT_EQ(p.fault(), http::Fault::none) << head;
        return read_head(config.named, p);
    }
    std::string why(const std::string& head) {
        const auto r = read(head);
        return std::holds_alternative<Refusal>(r) ? std::get<Refusal>(r).why : "";
    }
};

const std::string kHead =
    "X-Txn: 9b1f\r\nX-Lane: chat\r\nX-Org: acme\r\nX-Entity: 7f3a\r\nX-Remaining: 4800m\r\n"
    "X-Labels: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\nX-Estimate: 12000\r\n";

TEST_F(Heads, AllThatTheRouterNeeds) {
    const auto r = read(kHead + "Host: here\r\nConnection: keep-alive\r\nX-Resent: again\r\n");
    ASSERT_TRUE(std::holds_alternative<Inbound>(r));
    const Inbound& in = std::get<Inbound>(r);
    EXPECT_EQ(in.txn, "9b1f");
    EXPECT_EQ(in.arrival.deadline, 4800);
    EXPECT_EQ(in.arrival.prompt_tokens, 5120);
    EXPECT_EQ(in.arrival.prefix_tokens, 2048);
    EXPECT_EQ(in.arrival.max_tokens, 800);
    EXPECT_EQ(in.arrival.length_hint, 12);
    EXPECT_NE(in.arrival.prefix, 0u);
    EXPECT_NE(in.arrival.session, 0u);
    EXPECT_TRUE(in.arrival.resumed);
    EXPECT_FALSE(in.arrival.client_retry);
    EXPECT_NE(in.head.find("x-txn: 9b1f\r\n"), std::string::npos);
    EXPECT_EQ(in.head.find("x-remaining"), std::string::npos) << "said anew for each attempt";
    EXPECT_EQ(in.head.find("connection"), std::string::npos);
    EXPECT_EQ(std::get<Inbound>(read(with(kHead, "4800m", "4800500u"))).arrival.deadline, 4800.5);
}

TEST_F(Heads, EndToEndHeadersAreForwardedAndThoseOfTheConnectionAreNot) {
    const auto r =
        read(kHead + "Idempotency-Key: k-17\r\nTraceparent: 00-ab-cd-01\r\nAccept: text/event-stream\r\n" +
             "Host: here\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n" +
             "Expect: 100-continue\r\n");
    ASSERT_TRUE(std::holds_alternative<Inbound>(r));
    const std::string& head = std::get<Inbound>(r).head;
    for (const char* kept :
         {"idempotency-key: k-17\r\n", "traceparent: 00-ab-cd-01\r\n", "accept: text/event-stream\r\n"})
        EXPECT_NE(head.find(kept), std::string::npos) << kept;
    for (const char* dropped : {"host:", "connection:", "keep-alive:", "te:", "expect:", "content-length:"})
        EXPECT_EQ(head.find(std::string("\r\n") + dropped), std::string::npos) << dropped;
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
    std::optional<Ending> end;
    std::shared_ptr<platform::Attempt> attempt;
    explicit Told(platform::Attempt::Kind kind) : attempt(std::make_shared<platform::Attempt>(kind)) {
        attempt->on_first = attempt->on_more = [this](std::string_view b) { events.append(b); };
        attempt->on_over = [this](const Ending& e) {
            EXPECT_FALSE(end);
            end = e;
        };
        attempt->sent();
        attempt->handed();
    }
    void feed(std::string_view bytes, std::size_t piece) {
        for (std::size_t i = 0; i < bytes.size(); i += piece) attempt->data(bytes.substr(i, piece));
    }
};

using Kind = platform::Attempt::Kind;
const std::string kStream =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
std::string chunked(const std::string& s) { return http::chunk(s); }

TEST(PlatformAttempt, OutcomesByTheTableInPiecesOfEverySize) {
    const std::string away = "X-Turned-Away: 1\r\ncontent-length: 0\r\n\r\n";
    struct Case {
        Kind kind;
        std::string bytes;
        Result result;
        double note;
        bool reusable;
    };
    const Case cases[] = {
        {Kind::read, "HTTP/1.1 202 Accepted\r\ncontent-length: 23\r\n\r\n{\"cached_tokens\": 4096}",
         Result::read_done, 4096, true},
        {Kind::read, "HTTP/1.1 202 Accepted\r\ncontent-length: 4\r\n\r\nnone", Result::read_done, 0, true},
        {Kind::write, kStream + chunked("data: a\n\n") + chunked("data: [DONE]\n\n") + "0\r\n\r\n",
         Result::served, 0, true},
        {Kind::write,
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n" + kStream + chunked("data: a\n\n") +
             "0\r\n\r\n",
         Result::served, 0, true},
        {Kind::write,
         kStream + chunked("data: a\n\n") + "0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
         Result::served, 0, false},
        {Kind::write, "HTTP/1.1 503 no\r\n" + away, Result::full, 0, true},
        {Kind::read, "HTTP/1.1 504 no\r\n" + away, Result::full, 0, true},
        {Kind::write, "HTTP/1.1 410 Gone\r\n" + away, Result::full, 1, true},
        {Kind::write, "HTTP/1.1 503 no\r\ncontent-length: 0\r\n\r\n", Result::error, 0, true},
        {Kind::write, "HTTP/1.1 500 no\r\ncontent-length: 0\r\n\r\n", Result::error, 0, true},
        {Kind::write, "noise and more noise\r\n\r\n", Result::error, 0, false},
        {Kind::write, "HTTP/1.1 200 OK\r\nx: " + std::string(40000, 'x'), Result::error, 0, false},
        {Kind::write, kStream + "zz\r\n", Result::error, 0, false},
        {Kind::write, kStream + "c0000000\r\nxxxx", Result::error, 0, false},
        {Kind::write, kStream + chunked("data: half"), Result::error, 0, false},  // and then "zz"
        {Kind::write, kStream + chunked("data: a\n\n") + "c0000000\r\nxxxx", Result::reset, 0, false},
        {Kind::write, kStream + chunked("data: a\n\n") + "2\r\nabcdef\r\n", Result::reset, 0, false},
        {Kind::call, "HTTP/1.1 204 No Content\r\n\r\n", Result::served, 0, true},
    };
    for (const auto& c : cases) {
        for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, std::size_t{7}, std::size_t{50000}}) {
            Told t(c.kind);
            t.feed(c.bytes, piece);
            if (c.bytes.ends_with("data: half\r\n")) t.feed("zz\r\n", piece);
            ASSERT_TRUE(t.end) << c.bytes.substr(0, 60) << " by " << piece;
            EXPECT_EQ(t.end->result, c.result) << c.bytes.substr(0, 60);
            EXPECT_EQ(t.end->note, c.note);
            EXPECT_EQ(t.attempt->reusable(), c.reusable) << c.bytes.substr(0, 60) << " by " << piece;
        }
    }
}

TEST(PlatformAttempt, EventsPassUnchangedOnceTheFirstIsWhole) {
    const std::string events = "data: {\"a\":1}\n\ndata: \xc3\xa9\n\ndata: [DONE]\n\n";
    for (std::size_t piece = 1; piece < 30; ++piece) {
        std::string bytes = kStream;
        for (std::size_t i = 0; i < events.size(); i += 5) bytes += chunked(events.substr(i, 5));
        Told t(Kind::write);
        t.feed(bytes, piece);
        EXPECT_EQ(t.events, events);
        EXPECT_FALSE(t.end);
        t.feed("0\r\n\r\n", piece);
        ASSERT_TRUE(t.end);
        EXPECT_EQ(t.end->result, Result::served);
    }
    Told half(Kind::write);
    half.feed(kStream + chunked("data: {"), 100);
    EXPECT_EQ(half.events, "");
    half.attempt->ended();
    EXPECT_EQ(half.end->result, Result::reset);
    EXPECT_FALSE(half.end->begun);
}

TEST(PlatformAttempt, WhatBrokeBeforeTheLastByteNeverRan) {
    platform::Attempt a(Kind::write);
    Result r = Result::served;
    a.on_over = [&](const Ending& e) { r = e.result; };
    a.sent();
    a.ended();
    EXPECT_EQ(r, Result::unreachable);
    platform::Attempt b(Kind::write);
    b.on_over = [&](const Ending& e) { r = e.result; };
    b.sent();
    b.handed();
    b.ended();
    EXPECT_EQ(r, Result::reset);
    platform::Attempt c(Kind::write);
    c.on_over = [&](const Ending& e) { r = e.result; };
    c.give_up(Result::late, "");
    EXPECT_EQ(r, Result::unreachable) << "no connection came up in its time";
}

// ---- the relay ------------------------------------------------------------------------------------------

struct FakeClient : Client {
    std::string events;
    int begun = 0, ended = 0, status = 0;
    bool cutoff = false, closed = false;  // closed: its connection, though nobody has read that yet
    bool has_left() override { return closed; }
    void begin(std::string_view e) override { ++begun, events.append(e); }
    void more(std::string_view e) override { events.append(e); }
    void done() override { ++ended; }
    void cut() override { ++ended, cutoff = true; }
    void final(int s, Millis, std::string_view) override { ++ended, status = s; }
};

struct World : Ports {
    struct Sent {
        std::string address, request;
        std::shared_ptr<platform::Attempt> attempt;
        bool closed = false;
    };
    Millis clock = 1000;
    Millis dial = 0;  // how long connections take to come up
    std::vector<Sent> sent;
    Millis now() override { return clock; }
    void start(const std::string& address, std::string request,
               std::shared_ptr<platform::Attempt> a) override {
        if (!a->may_go()) {
            sent.push_back({address, "", a, true});
            return a->not_sent();
        }
        clock += dial;
        a->stamp(request);
        a->sent();
        a->handed();
        sent.push_back({address, std::move(request), std::move(a), false});
    }
    void pause(const platform::Attempt&, bool) override {}
    void close(const platform::Attempt& a) override {
        for (auto& s : sent) s.closed |= s.attempt.get() == &a;
    }
    bool connected(const std::string&) override { return false; }
    void log(const char*, const char*, const std::string&) override {}
};

struct RelayTest : ::testing::Test {
    Config config = parse_config(kConfig, "", "");
    World world;
    Hosts hosts{config.named, 0};
    Relay relay{config.named, 1, hosts, world};
    FakeClient client;

    void SetUp() override { list(config.known); }
    void TearDown() override {
        EXPECT_EQ(relay.open(), 0u);
        EXPECT_EQ(relay.attempts_out(), 0u);
        EXPECT_EQ(relay.releases(), 0u);
    }
    void list(const std::string& text) {
        std::string why;
        auto e = hosts.take(text, false, why);
        ASSERT_TRUE(e) << why;
        relay.list(std::move(*e));
    }
    std::uint64_t ask(const std::string& txn, FakeClient& c) {
        Inbound in;
        in.txn = txn, in.head = "POST /v1/chat/completions HTTP/1.1\r\nx-txn: " + txn + "\r\n",
        in.body = "{}";
        in.arrival.deadline = 5000, in.arrival.tenant = 0, in.arrival.prompt_tokens = 100;
        return relay.arrive(std::move(in), 0, &c);
    }
    void pass(Millis ms) {
        for (const Millis until = world.clock + ms; world.clock < until;) {
            world.clock += 5;
            relay.looked(world.clock);
            relay.tick();
            relay.sleeps(world.clock + 5);
        }
    }
    World::Sent& last() { return world.sent.back(); }
    void answer(const std::string& bytes) { last().attempt->data(bytes); }
    void read_done() { answer("HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}"); }
    std::size_t releases() const {
        return static_cast<std::size_t>(
            std::count_if(world.sent.begin(), world.sent.end(),
                          [](const auto& s) { return s.request.rfind("DELETE /bootstrap/rooms/", 0) == 0; }));
    }
    void drain_writer(bool on = true) {
        list(
            std::string(
                R"({"seq":9,"whole":false,"hosts":[{"host":"w1","dial":"10.0.0.3:1","site":"a","class":"decode",)") +
            R"("block":1,"share":1.0,"born_ms":0,"health":")" + (on ? "draining" : "up") + "\"}]}");
    }
    // All releases are answered, the second ones too.
    void settle() {
        for (int i = 0; i < 2; ++i) {
            for (std::size_t n = 0; n < world.sent.size(); ++n) {
                auto& s = world.sent[n];
                if (s.request.rfind("DELETE", 0) == 0 && !s.attempt->over())
                    s.attempt->data("HTTP/1.1 204 No Content\r\n\r\n");
            }
            pass(400);
        }
    }
    void release() {
        ASSERT_EQ(last().request.rfind("DELETE /bootstrap/rooms/t1 ", 0), 0u) << last().request;
        answer("HTTP/1.1 204 No Content\r\n\r\n");
    }
};

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
    FakeClient other;
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
    FakeClient silent;
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
    relay.client_gone(handle);
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
    relay.client_gone(handle);
    ASSERT_EQ(releases(), 1u);
    const std::string first = last().address;
    pass(200);
    ASSERT_EQ(releases(), 2u);
    EXPECT_NE(last().address, first);
    release();
    pass(2000);
    EXPECT_EQ(releases(), 2u);
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
    relay.client_gone(handle);
    pass(160);
    ASSERT_EQ(releases(), 2u);
    const auto reads = [](const std::string& address) { return address < std::string("10.0.1.6"); };
    std::vector<std::string> asked;
    for (const auto& s : world.sent) {
        if (s.request.rfind("DELETE", 0) == 0) asked.push_back(s.address);
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
    for (const auto& s : world.sent) EXPECT_NE(s.address, "10.0.0.3:1");
    EXPECT_EQ(client.status, 503);
}

TEST_F(RelayTest, TheDeadlineAnswersAtOnceAndOnce) {
    ask("t1", client);
    pass(5100);
    EXPECT_EQ(client.ended, 1);
    EXPECT_EQ(client.status, 503);
    for (auto& s : world.sent) {
        if (s.request.rfind("DELETE", 0) == 0 && !s.attempt->over())
            s.attempt->data("HTTP/1.1 204 No Content\r\n\r\n");
    }
    pass(3000);
}

TEST_F(RelayTest, AGatewayThatStopsHandsStreamsBackAndAnswersTheRest) {
    ask("t1", client);
    read_done();
    answer(kStream + chunked("data: a\n\n"));
    FakeClient waiting;
    ask("t2", waiting);
    EXPECT_EQ(relay.streams(), 1u);
    relay.hand_back(5);
    EXPECT_TRUE(client.cutoff);
    EXPECT_EQ(relay.streams(), 0u);
    EXPECT_EQ(waiting.ended, 0);
    relay.refuse_rest();
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
        ServerId writer = 0;
        for (const auto& [id, h] : hosts.all()) writer = h.name == "w1" ? id : writer;
        relay.carry(HoldPlace{std::to_string(handle), writer});
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
        relay.client_gone(handle);
        EXPECT_EQ(releases(), before + 1) << "a place may be held whatever was answered";
        EXPECT_TRUE(world.sent[read].closed);
        settle();
    }
}

TEST_F(RelayTest, ADrainThatIsToldWhileTheConnectionComesUpIsKept) {
    ask("t1", client);
    read_done();
    ASSERT_EQ(last().address, "10.0.0.3:1");
    const auto write = last().attempt;
    EXPECT_TRUE(write->may_go());
    drain_writer();
    EXPECT_FALSE(write->may_go());
    write->not_sent();
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
    relay.client_gone(handle);  // and now it is read
    EXPECT_EQ(client.ended, 0);
    settle();
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
    ServerId writer = 0;
    for (const auto& [id, h] : hosts.all()) writer = h.name == "w1" ? id : writer;
    drain_writer();
    const std::size_t before = world.sent.size();
    relay.carry(HoldPlace{std::to_string(handle), writer});
    EXPECT_EQ(world.sent.size(), before);
    relay.client_gone(handle);
    settle();
}

TEST_F(RelayTest, AMovedStreamGoesBackToItsClientOnce) {
    const auto handle = ask("t1", client);
    read_done();
    answer(kStream + chunked("data: a\n\n"));
    relay.carry(MoveStream{std::to_string(handle)});
    relay.carry(MoveStream{std::to_string(handle)});
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
            FakeClient client;
            std::uint64_t handle = 0;
            bool gone = false;
        };
        std::map<std::string, Asked> asked;
        std::set<std::string> held;
        world.sent.clear();
        std::size_t seen = 0;
        bool drained = false;
        const auto txn = [](const World::Sent& s) {
            const auto at = s.request.find("x-txn: ") + 7;
            return s.request.substr(at, s.request.find("\r\n", at) - at);
        };
        const auto release = [](const World::Sent& s) { return s.request.rfind("DELETE", 0) == 0; };
        const auto look = [&] {  // at what was sent since
            for (; seen < world.sent.size(); ++seen) {
                const auto& s = world.sent[seen];
                if (release(s)) {  // it counts once it has reached a server, answered or not
                    const auto from = s.request.find("rooms/") + 6;
                    held.erase(s.request.substr(from, s.request.find(' ', from) - from));
                }
                if (s.request.empty() || release(s)) continue;
                EXPECT_FALSE(drained && s.address == "10.0.0.3:1");
                for (std::size_t i = 0; i < seen; ++i) {
                    const auto& o = world.sent[i];
                    EXPECT_FALSE(!o.request.empty() && !release(o) && txn(o) == txn(s) && !o.closed &&
                                 !o.attempt->over())
                        << "two attempts of " << txn(s);
                }
            }
        };
        const auto engine = [&](bool kindly) {  // one of those that wait does something
            std::vector<std::size_t> out;
            for (std::size_t i = 0; i < world.sent.size(); ++i) {
                if (!world.sent[i].request.empty() && !world.sent[i].closed && !world.sent[i].attempt->over())
                    out.push_back(i);
            }
            if (out.empty()) return false;
            // Copies: an answer may send more.
            const auto s = world.sent[out[below(out.size())]];
            const std::size_t how = kindly ? 0 : below(6);
            if (release(s)) {
                if (how > 4)
                    s.attempt->ended();
                else
                    s.attempt->data("HTTP/1.1 204 No Content\r\n\r\n");
            } else if (how == 5) {
                s.attempt->ended();
            } else if (how == 4) {
                s.attempt->data("HTTP/1.1 503 no\r\nx-turned-away: 1\r\ncontent-length: 0\r\n\r\n");
            } else if (s.address != "10.0.0.3:1") {
                held.insert(txn(s));
                s.attempt->data("HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}");
            } else if (how == 3) {
                s.attempt->data("noise");
            } else {
                held.erase(txn(s));  // the write has taken it
                if (how < 2)
                    s.attempt->data(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
                else
                    s.attempt->data(kStream + chunked("data: a\n\n") + "zz");
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
                    it->second.gone = true, relay.client_gone(it->second.handle);
            } else if (what == 8 && below(3) == 0) {
                drained = !drained;
                drain_writer(drained);
            } else {
                pass(static_cast<Millis>(5 * below(40)));
            }
            look();
        }
        if (below(2) == 0) relay.hand_back(relay.streams()), relay.refuse_rest();
        for (int i = 0; i < 40; ++i) {
            while (engine(true)) look();
            pass(400);
        }
        for (const auto& [id, a] : asked) EXPECT_EQ(a.client.ended, a.gone ? 0 : 1) << id;
        EXPECT_TRUE(held.empty()) << *held.begin() << " is still held";
        EXPECT_EQ(relay.open(), 0u);
        EXPECT_EQ(relay.attempts_out(), 0u);
        EXPECT_EQ(relay.releases(), 0u);
        if (drained) drain_writer(false);
        if (HasFailure()) FAIL() << "seed " << seed;
    }
}

}  // namespace
}  // namespace gorsenotch::test
