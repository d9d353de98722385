// HTTP/1.1 messages: read from bytes in pieces of any size, by http-parser, and written. No I/O.
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

// Hold before memory is taken.
struct Limits {
    std::size_t header_bytes = std::size_t{16} * 1024;  // names and values of one message, start line too
    std::size_t headers = 100;
    std::size_t body = std::size_t{4} * 1024 * 1024;  // bytes; 0: no limit (a body that is streamed on)
    std::uint64_t chunk = 0;                          // bytes of one chunk; 0: no limit
};

// Why a message was refused.
enum class Fault { none, malformed, headers_too_large, body_too_large };

// Reads one message after another and stops at the end of each, so that the caller decides when the next one
// is read. A fault is final: the connection must be closed after the answer. Callbacks are called from within
// feed() and finish(), and may not destroy the parser.
class Parser {
public:
    enum class Kind { request, response };

    // What was read of the current message.
    std::string method;  // requests
    std::string target;  // requests
    int status = 0;      // responses
    int minor = 1;       // HTTP/1.x
    Headers headers;
    bool keep_alive = false;
    bool framed = false;  // it ends by a length or by chunks, not with the connection

    std::function<void()> on_headers;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;

    Parser(Kind kind, Limits limits);

    // Reads bytes up to the end of the current message; returns how many. Check fault() afterwards.
    std::size_t feed(std::string_view bytes);
    // The peer closed: true if that ends a message rightly (a response without a length, or none begun).
    bool finish();

    Fault fault() const { return fault_; }
    bool complete() const { return complete_; }  // the current message has ended
    bool begun() const { return begun_; }        // bytes of a message have come that has not ended

private:
    static Parser& from(http_parser* parser);
    static int on_message_begin(http_parser* parser);
    static int on_url(http_parser* parser, const char* at, std::size_t n);
    static int on_status(http_parser* parser, const char* at, std::size_t n);
    static int on_header_field(http_parser* parser, const char* at, std::size_t n);
    static int on_header_value(http_parser* parser, const char* at, std::size_t n);
    static int on_headers_complete(http_parser* parser);
    static int on_body_bytes(http_parser* parser, const char* at, std::size_t n);
    static int on_chunk_header(http_parser* parser);
    static int on_message_complete(http_parser* parser);
    static const http_parser_settings& callbacks();
    // False: a limit is exceeded.
    bool count_header_bytes(std::size_t n);
    void check_line_end(const char* at);

    http_parser parser_{};
    Limits limits_;
    Fault fault_ = Fault::none;
    bool complete_ = false;
    bool begun_ = false;
    bool in_header_value_ = false;
    const char* fed_end_ = nullptr;  // of the bytes being fed
    int line_end_left_ = 0;          // bytes of the line end behind a chunk that have yet to come
    std::size_t header_bytes_ = 0;
    std::size_t body_bytes_ = 0;
};

// The head of a message, with the headers as given; the empty line behind them included.
std::string request_head(std::string_view method, std::string_view target, const Headers& headers);
std::string response_head(int status, const Headers& headers);
// Appends what chunk() returns.
void append_chunk(std::string& out, std::string_view bytes);
// One chunk of a chunked body; empty input gives no bytes.
std::string chunk(std::string_view bytes);
constexpr std::string_view kLastChunk = "0\r\n\r\n";
// The reason phrase of a status; "Status" if it is none that this program sends.
std::string_view reason(int status);

}  // namespace gorsenotch::http
