// HTTP/1.1 messages from bytes, in pieces of any size: http-parser, wrapped once. No I/O.
//
// A Parser reads one message after another. It stops at the end of each (feed returns how many bytes it
// took); the caller calls feed again with the rest when it is ready for the next one. Limits hold before
// memory is taken. Errors are for good: the connection must be closed after the answer.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gorsenotch::http {

using Headers = std::vector<std::pair<std::string, std::string>>;  // names in lower case

// The first value of a header; null if absent. `name` in lower case.
const std::string* find(const Headers& headers, std::string_view name);

struct Limits {
    std::size_t header_bytes = 16 * 1024;  // names and values of one message, start line too
    std::size_t headers = 100;
    std::size_t body = 4 * 1024 * 1024;  // bytes; 0: no limit (a body that is streamed on)
    std::uint64_t chunk = 0;             // bytes of one chunk; 0: no limit
};

enum class Fault { none, malformed, headers_too_large, body_too_large };

class Parser {
public:
    enum class Kind { request, response };

    // What was read of the current message.
    std::string method, target;  // requests
    int status = 0;              // responses
    int minor = 1;               // HTTP/1.x
    Headers headers;
    bool keep_alive = false;
    bool framed = false;  // its end is told by a length or by chunks, not by the connection's end

    std::function<void()> on_headers;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;

    Parser(Kind kind, Limits limits);

    // Takes bytes up to the end of the current message; returns how many. Check fault() afterwards.
    std::size_t feed(std::string_view bytes);
    // The peer closed: true if that ends a message rightly (a response without a length, or none begun).
    bool finish();

    Fault fault() const { return fault_; }
    bool complete() const { return complete_; }  // the current message has ended
    bool begun() const { return begun_; }        // bytes of a message have come that has not ended

private:
    static int header_field(http_parser* parser, const char* at, std::size_t n);
    static int header_value(http_parser* parser, const char* at, std::size_t n);
    bool take(std::size_t n);
    void check_line_end(const char* at);
    static const http_parser_settings& settings();

    http_parser p_{};
    Limits limits_;
    Fault fault_ = Fault::none;
    bool complete_ = false, begun_ = false, value_ = false;
    const char* end_ = nullptr;  // of the bytes being fed
    int line_end_ = 0;           // bytes that a chunk still owes: its CR and LF
    std::size_t header_bytes_ = 0, body_bytes_ = 0;
};

// One message head, with the headers as given; "\r\n\r\n" included.
std::string request_head(std::string_view method, std::string_view target, const Headers& headers);
std::string response_head(int status, const Headers& headers);
void append_chunk(std::string& out, std::string_view bytes);
std::string chunk(std::string_view bytes);  // one chunk of a chunked body; empty input gives no bytes
constexpr std::string_view last_chunk = "0\r\n\r\n";
std::string_view reason(int status);

}  // namespace gorsenotch::http
