#include "http/parser.h"

#include <algorithm>
#include <climits>
#include <cstddef>
#include <cstdio>
#include <iterator>

namespace gorsenotch::http {

namespace {

// The line end after a chunk's data: CR and LF.
constexpr int kLineEndBytes = 2;

char lower_case(char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::ptrdiff_t count_headers(const Headers& headers, std::string_view name) {
    return std::count_if(headers.begin(), headers.end(),
                         [name](const auto& header) { return header.first == name; });
}

}  // namespace

const std::string* find_header(const Headers& headers, std::string_view name) {
    for (const auto& [header, value] : headers) {
        if (header == name) return &value;
    }
    return nullptr;
}

Parser::Parser(Kind kind, Limits limits) : limits_(limits) {
    http_parser_init(&parser_, kind == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

// ---- callbacks of http-parser: 0 continues, any other value stops parsing -------------------------------

Parser& Parser::from(http_parser* parser) { return *static_cast<Parser*>(parser->data); }

int Parser::on_message_begin(http_parser* parser) {
    Parser& self = Parser::from(parser);
    self.method.clear();
    self.target.clear();
    self.headers.clear();
    self.status = 0;
    self.header_bytes_ = 0;
    self.body_bytes_ = 0;
    self.complete_ = false;
    self.begun_ = true;
    self.in_header_value_ = false;
    return 0;
}

int Parser::on_url(http_parser* parser, const char* at, std::size_t n) {
    Parser& self = Parser::from(parser);
    if (!self.count_header_bytes(n)) return 1;
    self.target.append(at, n);
    return 0;
}

int Parser::on_status(http_parser* parser, const char*, std::size_t n) {
    return from(parser).count_header_bytes(n) ? 0 : 1;
}

int Parser::on_header_field(http_parser* parser, const char* at, std::size_t n) {
    Parser& self = Parser::from(parser);
    if (self.in_header_value_ || self.headers.empty()) self.headers.emplace_back();
    self.in_header_value_ = false;
    if (!self.count_header_bytes(n)) return 1;
    std::transform(at, at + n, std::back_inserter(self.headers.back().first), lower_case);
    return 0;
}

int Parser::on_header_value(http_parser* parser, const char* at, std::size_t n) {
    Parser& self = Parser::from(parser);
    self.in_header_value_ = true;
    if (!self.count_header_bytes(n) || self.headers.empty()) return 1;
    self.headers.back().second.append(at, n);
    return 0;
}

int Parser::on_headers_complete(http_parser* parser) {
    Parser& self = Parser::from(parser);
    self.status = static_cast<int>(parser->status_code);
    self.method = http_method_str(static_cast<http_method>(parser->method));
    self.http_minor = parser->http_minor;
    self.keep_alive = http_should_keep_alive(parser) != 0;
    const bool has_length = parser->content_length != ULLONG_MAX;
    self.has_explicit_length = (parser->flags & F_CHUNKED) != 0 || has_length;
    self.content_length = has_length ? parser->content_length : 0;
    // Guards against request smuggling, where two parsers find different ends of a message: rejects repeated
    // lengths and a length together with a transfer coding.
    const auto lengths = count_headers(self.headers, "content-length");
    const auto codings = count_headers(self.headers, "transfer-encoding");
    if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) {
        self.fault_ = Fault::malformed;
        return -1;
    }
    const bool limited = self.limits_.body_bytes > 0 && lengths > 0 && has_length;
    if (limited && parser->content_length > self.limits_.body_bytes) {
        self.fault_ = Fault::body_too_large;
        return -1;
    }
    if (self.on_headers) self.on_headers();
    return 0;
}

int Parser::on_body_bytes(http_parser* parser, const char* at, std::size_t n) {
    Parser& self = Parser::from(parser);
    self.body_bytes_ += n;
    if (self.limits_.body_bytes > 0 && self.body_bytes_ > self.limits_.body_bytes) {
        self.fault_ = Fault::body_too_large;
        return 1;
    }
    const bool ends_chunk = (parser->flags & F_CHUNKED) != 0 && parser->content_length == 0;
    if (ends_chunk) {
        self.line_end_bytes_left_ = kLineEndBytes;
        self.check_line_end(at + n);
    }
    if (self.on_body) self.on_body({at, n});
    return self.fault_ == Fault::none ? 0 : 1;
}

// Guards against a chunk whose announced size is so large that its data never ends.
int Parser::on_chunk_header(http_parser* parser) {
    Parser& self = Parser::from(parser);
    if (self.limits_.chunk_bytes == 0 || parser->content_length <= self.limits_.chunk_bytes) return 0;
    self.fault_ = Fault::body_too_large;
    return 1;
}

int Parser::on_message_complete(http_parser* parser) {
    Parser& self = Parser::from(parser);
    self.complete_ = true;
    self.begun_ = false;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings& Parser::callbacks() {
    static const http_parser_settings callbacks = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = on_message_begin;
        settings.on_url = on_url;
        settings.on_status = on_status;
        settings.on_header_field = on_header_field;
        settings.on_header_value = on_header_value;
        settings.on_headers_complete = on_headers_complete;
        settings.on_body = on_body_bytes;
        settings.on_chunk_header = on_chunk_header;
        settings.on_message_complete = on_message_complete;
        return settings;
    }();
    return callbacks;
}

// ---- Parser ---------------------------------------------------------------------------------------------

bool Parser::count_header_bytes(std::size_t n) {
    header_bytes_ += n;
    if (header_bytes_ <= limits_.header_bytes && headers.size() <= limits_.headers) return true;
    fault_ = Fault::headers_too_large;
    return false;
}

// Guards against a chunk whose data does not have the announced size: the library, as Debian builds it,
// accepts any two bytes as the line end after the data.
void Parser::check_line_end(const char* at) {
    for (; line_end_bytes_left_ > 0 && at < input_end_; ++at, --line_end_bytes_left_) {
        if (*at != (line_end_bytes_left_ == kLineEndBytes ? '\r' : '\n')) fault_ = Fault::malformed;
    }
}

// Strings that grow by parts may take twice their length.
std::size_t Parser::head_memory() const {
    constexpr std::size_t kStringGrowth = 2;
    return kStringGrowth * header_bytes_ + headers.capacity() * sizeof(Headers::value_type);
}

void Parser::release_head() {
    target = std::string();
    headers = Headers();
    header_bytes_ = 0;
}

std::size_t Parser::feed(std::string_view bytes) {
    if (fault_ != Fault::none || bytes.empty()) return 0;
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) http_parser_pause(&parser_, 0);
    complete_ = false;
    input_end_ = bytes.data() + bytes.size();
    check_line_end(bytes.data());
    if (fault_ != Fault::none) return 0;
    const std::size_t parsed = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_PAUSED || (complete_ && error == HPE_OK)) {
        // If a message ends with its head, the parser pauses before it counts the last byte.
        if (error == HPE_PAUSED) http_parser_pause(&parser_, 0);
        if (on_complete) on_complete();
        return parsed;
    }
    if (parser_.upgrade) fault_ = Fault::malformed;
    if (error != HPE_OK && fault_ == Fault::none) {
        fault_ = error == HPE_HEADER_OVERFLOW ? Fault::headers_too_large : Fault::malformed;
    }
    return parsed;
}

bool Parser::finish() {
    if (!begun_) return true;
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    if (!complete_) return false;
    if (on_complete) on_complete();
    return true;
}

// ---- writing --------------------------------------------------------------------------------------------

namespace {

void append_headers(std::string& head, const Headers& headers) {
    for (const auto& [name, value] : headers) head.append(name).append(": ").append(value).append("\r\n");
    head.append("\r\n");
}

}  // namespace

std::string request_head(std::string_view method, std::string_view target, const Headers& headers) {
    std::string head;
    head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    append_headers(head, headers);
    return head;
}

std::string response_head(int status, const Headers& headers) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(reason_phrase(status)).append("\r\n");
    append_headers(head, headers);
    return head;
}

void append_chunk(std::string& out, std::string_view bytes) {
    if (bytes.empty()) return;
    char size[20];
    const int n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    out.append(size, static_cast<std::size_t>(n)).append(bytes).append("\r\n");
}

std::string chunk(std::string_view bytes) {
    std::string rendered;
    append_chunk(rendered, bytes);
    return rendered;
}

std::string_view reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 403:
            return "Forbidden";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 413:
            return "Payload Too Large";
        case 424:
            return "Failed Dependency";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        case 529:
            return "Overloaded";
        default:
            return "Status";
    }
}

}  // namespace gorsenotch::http
