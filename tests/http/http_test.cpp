// Parsing of HTTP messages and server-sent events from fragments of any size, and their limits.
#include <gtest/gtest.h>

#include "http/parser.h"
#include "http/sse.h"

namespace gorsenotch::http {
namespace {

struct ParseResult {
    std::vector<std::string> messages;
    Fault fault = Fault::none;
};

// Parses `bytes` in fragments of `fragment_size`.
ParseResult parse(const std::string& bytes, std::size_t fragment_size, Limits limits = {}) {
    Parser parser(Parser::Kind::request, limits);
    ParseResult result;
    std::string body;
    parser.on_body = [&](std::string_view part) { body += part; };
    parser.on_complete = [&] {
        result.messages.push_back(parser.method + " " + parser.target + " " +
                                  std::to_string(parser.headers.size()) + " " + body);
        body.clear();
    };
    for (std::size_t at = 0; at < bytes.size(); at += fragment_size) {
        std::string_view fragment = std::string_view(bytes).substr(at, fragment_size);
        while (!fragment.empty() && parser.fault() == Fault::none)
            fragment.remove_prefix(parser.feed(fragment));
    }
    result.fault = parser.fault();
    return result;
}

TEST(Parser, ParsesPipelinedRequestsInFragmentsOfAnySize) {
    const std::string bytes =
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nX-Y: z\r\n\r\nabc"
        "GET /b HTTP/1.1\r\n\r\n"
        "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
        "GET /d HTTP/1.0\r\n\r\n";
    const std::vector<std::string> expected = {"POST /a 2 abc", "GET /b 0 ", "POST /c 1 def", "GET /d 0 "};
    for (std::size_t size = 1; size <= bytes.size(); ++size)
        EXPECT_EQ(parse(bytes, size).messages, expected) << size;
}

TEST(Parser, RejectsMalformedAndTooLargeMessages) {
    const auto fault = [](const std::string& bytes) {
        const Fault unfragmented = parse(bytes, 100000).fault;
        EXPECT_EQ(unfragmented, parse(bytes, 1).fault) << bytes.substr(0, 60);
        return unfragmented;
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
    std::string many_headers = post;
    for (int i = 0; i < 101; ++i) many_headers += "X" + std::to_string(i) + ": y\r\n";
    EXPECT_EQ(fault(many_headers + "\r\n"), Fault::headers_too_large);
    EXPECT_EQ(fault("GET /" + std::string(17000, 'x')), Fault::headers_too_large);
    EXPECT_EQ(fault(post + "\r\nrest: x\r\n"), Fault::malformed);  // bytes after a message without a body
    std::string large_body = post + "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 5; ++i) large_body += chunk(std::string(1000, 'x'));
    EXPECT_EQ(parse(large_body, 100, {16384, 100, 4000}).fault, Fault::body_too_large);
}

TEST(Parser, EndsAResponseWithoutALengthWhenTheConnectionCloses) {
    Parser parser(Parser::Kind::response, {});
    std::string body;
    int ends = 0;
    parser.on_body = [&](std::string_view part) { body += part; };
    parser.on_complete = [&] { ++ends; };
    EXPECT_TRUE(parser.finish());  // no message has begun
    parser.feed("HTTP/1.1 200 OK\r\n\r\nall of it");
    EXPECT_EQ(ends, 0);
    EXPECT_TRUE(parser.finish());
    EXPECT_EQ(ends, 1);
    EXPECT_EQ(body, "all of it");
    Parser truncated(Parser::Kind::response, {});
    truncated.feed("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf");
    EXPECT_FALSE(truncated.finish());
}

// The events of `bytes`, read in fragments of `fragment_size`. `within_limit`: whether the reader accepted
// all.
std::vector<std::string> read_events(const std::string& bytes, std::size_t fragment_size,
                                     bool* within_limit = nullptr) {
    SseReader reader(100);
    std::vector<std::string> events;
    reader.on_event = [&](std::string_view name, std::string_view data) {
        events.push_back(std::string(name) + "|" + std::string(data));
    };
    bool accepted = true;
    for (std::size_t at = 0; at < bytes.size(); at += fragment_size)
        accepted = reader.feed(bytes.substr(at, fragment_size)) && accepted;
    if (within_limit) *within_limit = accepted;
    return events;
}

TEST(Sse, ReadsEventsAsTheStandardDefinesThemInFragmentsOfAnySize) {
    const std::string bytes =
        "\xEF\xBB\xBF: comment\n\ndata: a\r\n\r\nevent: e\rdata:b\rdata: c\r\rid: 7\nretry: 10\ndata\n\n"
        "event: no data\n\ndata: \xC3\xB6\nother: x\n\nbare line\ndata: last without end";
    const std::vector<std::string> expected = {"|a", "e|b\nc", "|", "|\xC3\xB6"};
    for (std::size_t size = 1; size <= bytes.size(); ++size)
        EXPECT_EQ(read_events(bytes, size), expected) << size;
}

TEST(Sse, RejectsAnEventAboveTheLimit) {
    bool within_limit = true;
    EXPECT_TRUE(read_events("data: " + std::string(200, 'x') + "\n\n", 10, &within_limit).empty());
    EXPECT_FALSE(within_limit);
    std::string lines;
    for (int i = 0; i < 20; ++i) lines += "data: 0123456789\n";
    EXPECT_TRUE(read_events(lines + "\n", 1000, &within_limit).empty());
    EXPECT_FALSE(within_limit);
}

// Guards against memory that grows with the length of an event.
TEST(Sse, TruncatedEventsTakeBoundedMemory) {
    constexpr std::size_t kLimit = 32;
    const std::string many(100000, 'x');
    SseReader reader(kLimit, SseReader::Oversize::truncate);
    std::size_t longest = 0;
    reader.on_event = [&](std::string_view, std::string_view data) {
        longest = std::max(longest, data.size());
    };
    for (int line = 0; line < 1000; ++line) {
        EXPECT_TRUE(reader.feed("data: " + many));
        EXPECT_TRUE(reader.feed(many + "\n"));
        EXPECT_LE(reader.memory(), 16 * kLimit);
    }
    EXPECT_TRUE(reader.feed("\n"));
    EXPECT_GT(longest, 0u);
    EXPECT_LE(longest, 2 * kLimit + 1);
}

TEST(Sse, ReadsBackWrittenEvents) {
    EXPECT_EQ(read_events(sse_event("n", "{}") + sse_event("", "x"), 3),
              (std::vector<std::string>{"n|{}", "|x"}));
}

}  // namespace
}  // namespace gorsenotch::http
