// Parses HTTP/1.1 messages, whose bytes may arrive in fragments of any size, with http-parser, and writes
// them. No I/O.
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

// Names, in lower case, and values.
using Headers = std::vector<std::pair<std::string, std::string>>;

// The first value of a header; null if absent. `name` in lower case.
const std::string* find_header(const Headers& headers, std::string_view name);

// Limits of one message, checked before its memory is allocated.
struct Limits {
    std::size_t header_bytes = std::size_t{16} * 1024;  // names, values and start line
    std::size_t headers = 100;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;  // 0: no limit (a body that is streamed)
    std::uint64_t chunk_bytes = 0;                          // of one chunk; 0: no limit
};

// Why a message was rejected.
enum class Fault { none, malformed, headers_too_large, body_too_large };

// Parses one message after another and stops at the end of each, so that the caller decides when the next one
// is parsed. A fault is final: the connection must be closed after the response. Callbacks are called from
// within feed() and finish() and must not destroy the parser.
class Parser {
public:
    enum class Kind { request, response };

    // The current message, as far as it has been parsed.
    std::string method;  // requests
    std::string target;  // requests
    int status = 0;      // responses
    int http_minor = 1;  // HTTP/1.x
    Headers headers;
    bool keep_alive = false;
    bool has_explicit_length = false;  // it ends by its length or its last chunk, not with the connection
    std::uint64_t content_length = 0;  // as announced; 0 if it was not

    std::function<void()> on_headers;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;

    Parser(Kind kind, Limits limits);

    // Parses bytes up to the end of the current message and returns their number. Check fault() afterwards.
    std::size_t feed(std::string_view bytes);
    // To be called when the peer has closed the connection. True if that is a valid end: of a response
    // without a length, or between messages.
    bool finish();

    Fault fault() const { return fault_; }
    bool complete() const { return complete_; }          // the current message has ended
    bool has_partial_message() const { return begun_; }  // bytes of an incomplete message have been parsed
    // An upper bound of the memory of target and headers.
    std::size_t head_memory() const;
    // Frees target and headers, once they are not needed any more.
    void release_head();

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
    // Checks the bytes from `at` on that belong to the line end after a chunk's data.
    void check_line_end(const char* at);

    http_parser parser_{};
    Limits limits_;
    Fault fault_ = Fault::none;
    bool complete_ = false;
    bool begun_ = false;
    bool in_header_value_ = false;
    const char* input_end_ = nullptr;  // end of the bytes passed to feed()
    int line_end_bytes_left_ = 0;      // missing bytes of the line end after a chunk's data
    std::size_t header_bytes_ = 0;
    std::size_t body_bytes_ = 0;
};

// The head of a message with these headers, including the empty line after them.
std::string request_head(std::string_view method, std::string_view target, const Headers& headers);
std::string response_head(int status, const Headers& headers);
// Appends the bytes that chunk() returns.
void append_chunk(std::string& out, std::string_view bytes);
// One chunk of a chunked body; empty input gives no bytes.
std::string chunk(std::string_view bytes);
constexpr std::string_view kLastChunk = "0\r\n\r\n";
// The reason phrase of a status; "Status" for a status that this program does not send.
std::string_view reason_phrase(int status);

}  // namespace gorsenotch::http
