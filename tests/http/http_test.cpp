#include <gtest/gtest.h>

#include "http/parser.h"
#include "http/sse.h"

namespace gorsenotch::http {
namespace {

struct Got {
    std::vector<std::string> messages;
    Fault fault = Fault::none;
};

Got parse(const std::string& bytes, std::size_t size, Limits limits = {}) {
    Parser parser(Parser::Kind::request, limits);
    Got got;
    std::string body;
    parser.on_body = [&](std::string_view b) { body += b; };
    parser.on_complete = [&] {
        got.messages.push_back(parser.method + " " + parser.target + " " +
                               std::to_string(parser.headers.size()) + " " + body);
        body.clear();
    };
    for (std::size_t at = 0; at < bytes.size(); at += size) {
        std::string_view piece = std::string_view(bytes).substr(at, size);
        while (!piece.empty() && parser.fault() == Fault::none) piece.remove_prefix(parser.feed(piece));
    }
    got.fault = parser.fault();
    return got;
}

TEST(Parser, PipelinedInPiecesOfAnySize) {
    const std::string bytes =
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nX-Y: z\r\n\r\nabc"
        "GET /b HTTP/1.1\r\n\r\n"
        "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
        "GET /d HTTP/1.0\r\n\r\n";
    const std::vector<std::string> want = {"POST /a 2 abc", "GET /b 0 ", "POST /c 1 def", "GET /d 0 "};
    for (std::size_t size = 1; size <= bytes.size(); ++size)
        EXPECT_EQ(parse(bytes, size).messages, want) << size;
}

TEST(Parser, Refusals) {
    const auto fault = [](const std::string& bytes) {
        const Fault whole = parse(bytes, 100000).fault;
        EXPECT_EQ(whole, parse(bytes, 1).fault) << bytes.substr(0, 60);
        return whole;
    };
    const std::string post = "POST / HTTP/1.1\r\n";
    EXPECT_EQ(fault("hello\r\n\r\n"), Fault::malformed);
    EXPECT_EQ(fault(post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
              Fault::malformed);
    EXPECT_EQ(fault(post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), Fault::malformed);
    EXPECT_EQ(fault(post + "Content-Length: -1\r\n\r\n"), Fault::malformed);
    EXPECT_EQ(fault(post + "Content-Length: 99999999999999999999999\r\n\r\n"), Fault::malformed);
    EXPECT_EQ(fault(post + "Content-Length: 5000000\r\n\r\n"), Fault::body_too_large);
    EXPECT_EQ(fault(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"), Fault::malformed);
    EXPECT_EQ(fault(post + "X: " + std::string(17000, 'x') + "\r\n\r\n"), Fault::headers_too_large);
    std::string many = post;
    for (int i = 0; i < 101; ++i) many += "X" + std::to_string(i) + ": y\r\n";
    EXPECT_EQ(fault(many + "\r\n"), Fault::headers_too_large);
    EXPECT_EQ(fault("GET /" + std::string(17000, 'x')), Fault::headers_too_large);
    EXPECT_EQ(fault(post + "\r\nrest: x\r\n"), Fault::malformed);  // a body that was not announced
    std::string big = post + "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 5; ++i) big += chunk(std::string(1000, 'x'));
    EXPECT_EQ(parse(big, 100, {16384, 100, 4000}).fault, Fault::body_too_large);
}

TEST(Parser, ResponseUntilTheConnectionCloses) {
    Parser parser(Parser::Kind::response, {});
    std::string body;
    int ends = 0;
    parser.on_body = [&](std::string_view b) { body += b; };
    parser.on_complete = [&] { ++ends; };
    EXPECT_TRUE(parser.finish());  // nothing has begun
    parser.feed("HTTP/1.1 200 OK\r\n\r\nall of it");
    EXPECT_EQ(ends, 0);
    EXPECT_TRUE(parser.finish());
    EXPECT_EQ(ends, 1);
    EXPECT_EQ(body, "all of it");
    Parser broken(Parser::Kind::response, {});
    broken.feed("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf");
    EXPECT_FALSE(broken.finish());
}

std::vector<std::string> events(const std::string& bytes, std::size_t size, bool* ok = nullptr) {
    SseReader reader(100);
    std::vector<std::string> got;
    reader.on_event = [&](std::string_view name, std::string_view data) {
        got.push_back(std::string(name) + "|" + std::string(data));
    };
    bool good = true;
    for (std::size_t at = 0; at < bytes.size(); at += size)
        good = reader.feed(bytes.substr(at, size)) && good;
    if (ok) *ok = good;
    return got;
}

TEST(Sse, AsTheStandardHasIt) {
    const std::string bytes =
        "\xEF\xBB\xBF: comment\n\ndata: a\r\n\r\nevent: e\rdata:b\rdata: c\r\rid: 7\nretry: 10\ndata\n\n"
        "event: no data\n\ndata: \xC3\xB6\nother: x\n\nbare line\ndata: last without end";
    const std::vector<std::string> want = {"|a", "e|b\nc", "|", "|\xC3\xB6"};
    for (std::size_t size = 1; size <= bytes.size(); ++size) EXPECT_EQ(events(bytes, size), want) << size;
}

TEST(Sse, LimitOfAnEvent) {
    bool ok = true;
    EXPECT_TRUE(events("data: " + std::string(200, 'x') + "\n\n", 10, &ok).empty());
    EXPECT_FALSE(ok);
    std::string lines;
    for (int i = 0; i < 20; ++i) lines += "data: 0123456789\n";
    EXPECT_TRUE(events(lines + "\n", 1000, &ok).empty());
    EXPECT_FALSE(ok);
}

TEST(Sse, WrittenIsReadBack) {
    EXPECT_EQ(events(sse_event("n", "{}") + sse_event("", "x"), 3), (std::vector<std::string>{"n|{}", "|x"}));
}

}  // namespace
}  // namespace gorsenotch::http
