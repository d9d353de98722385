#include "http/parser.h"

#include <algorithm>
#include <cstdio>

namespace gorsenotch::http {

const std::string* find(const Headers& headers, std::string_view name) {
    for (const auto& [n, v] : headers) {
        if (n == name) return &v;
    }
    return nullptr;
}

Parser::Parser(Kind kind, Limits limits) : limits_(limits) {
    http_parser_init(&p_, kind == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    p_.data = this;
}

bool Parser::take(std::size_t n) {
    header_bytes_ += n;
    if (header_bytes_ <= limits_.header_bytes && headers.size() <= limits_.headers) return true;
    fault_ = Fault::headers_too_large;
    return false;
}

int Parser::header_field(http_parser* parser, const char* at, std::size_t n) {
    auto* self = static_cast<Parser*>(parser->data);
    if (self->value_ || self->headers.empty()) self->headers.emplace_back();
    self->value_ = false;
    if (!self->take(n)) return 1;
    for (std::size_t i = 0; i < n; ++i) {
        const char c = at[i];
        self->headers.back().first += c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
    }
    return 0;
}

int Parser::header_value(http_parser* parser, const char* at, std::size_t n) {
    auto* self = static_cast<Parser*>(parser->data);
    self->value_ = true;
    if (!self->take(n) || self->headers.empty()) return 1;
    self->headers.back().second.append(at, n);
    return 0;
}

// Guards against a chunk that does not have the size it says: the library, as Debian builds it, takes any two
// bytes for the end of a chunk's line.
void Parser::check_line_end(const char* at) {
    for (; line_end_ > 0 && at < end_; ++at, --line_end_) {
        if (*at != (line_end_ == 2 ? '\r' : '\n')) fault_ = Fault::malformed;
    }
}

const http_parser_settings& Parser::settings() {
    static const http_parser_settings parser = [] {
        http_parser_settings t;
        http_parser_settings_init(&t);
        const auto self = [](http_parser* p) { return static_cast<Parser*>(p->data); };
        (void)self;
        t.on_message_begin = [](http_parser* p) {
            auto* m = static_cast<Parser*>(p->data);
            m->method.clear(), m->target.clear(), m->headers.clear();
            m->status = 0, m->header_bytes_ = m->body_bytes_ = 0;
            m->complete_ = false, m->begun_ = true, m->value_ = false;
            return 0;
        };
        t.on_url = [](http_parser* p, const char* at, std::size_t n) {
            auto* m = static_cast<Parser*>(p->data);
            if (!m->take(n)) return 1;
            m->target.append(at, n);
            return 0;
        };
        t.on_status = [](http_parser* p, const char*, std::size_t n) {
            return static_cast<Parser*>(p->data)->take(n) ? 0 : 1;
        };
        t.on_header_field = header_field;
        t.on_header_value = header_value;
        t.on_headers_complete = [](http_parser* p) {
            auto* m = static_cast<Parser*>(p->data);
            m->status = static_cast<int>(p->status_code);
            m->method = http_method_str(static_cast<http_method>(p->method));
            m->minor = p->http_minor;
            m->keep_alive = http_should_keep_alive(p) != 0;
            m->framed = (p->flags & F_CHUNKED) != 0 || p->content_length != ULLONG_MAX;
            // Guards against two readings of one message (smuggling): a length given twice, or both forms.
            int lengths = 0, codings = 0;
            for (const auto& [name, value] : m->headers) {
                lengths += name == "content-length", codings += name == "transfer-encoding";
            }
            if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) {
                m->fault_ = Fault::malformed;
                return -1;
            }
            if (m->limits_.body > 0 && lengths > 0 && p->content_length != ULLONG_MAX &&
                p->content_length > m->limits_.body) {
                m->fault_ = Fault::body_too_large;
                return -1;
            }
            if (m->on_headers) m->on_headers();
            return 0;
        };
        t.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto* m = static_cast<Parser*>(p->data);
            m->body_bytes_ += n;
            if (m->limits_.body > 0 && m->body_bytes_ > m->limits_.body) {
                m->fault_ = Fault::body_too_large;
                return 1;
            }
            if ((p->flags & F_CHUNKED) != 0 && p->content_length == 0) {
                m->line_end_ = 2;
                m->check_line_end(at + n);
            }
            if (m->on_body) m->on_body({at, n});
            return m->fault_ == Fault::none ? 0 : 1;
        };
        t.on_chunk_header = [](http_parser* p) {
            auto* m = static_cast<Parser*>(p->data);
            // Guards against a chunk that is said to be huge and keeps on coming.
            if (m->limits_.chunk == 0 || p->content_length <= m->limits_.chunk) return 0;
            m->fault_ = Fault::body_too_large;
            return 1;
        };
        t.on_message_complete = [](http_parser* p) {
            auto* m = static_cast<Parser*>(p->data);
            m->complete_ = true, m->begun_ = false;
            http_parser_pause(p, 1);
            return 0;
        };
        return t;
    }();
    return parser;
}

std::size_t Parser::feed(std::string_view bytes) {
    if (fault_ != Fault::none || bytes.empty()) return 0;
    if (HTTP_PARSER_ERRNO(&p_) == HPE_PAUSED) http_parser_pause(&p_, 0);
    complete_ = false;
    end_ = bytes.data() + bytes.size();
    check_line_end(bytes.data());
    if (fault_ != Fault::none) return 0;
    std::size_t n = http_parser_execute(&p_, &settings(), bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&p_);
    if (error == HPE_PAUSED || (complete_ && error == HPE_OK)) {
        // A message that ends with its head is paused before its last byte is counted.
        if (error == HPE_PAUSED) http_parser_pause(&p_, 0);
        if (on_complete) on_complete();
        return n;
    }
    if (p_.upgrade) fault_ = Fault::malformed;
    if (error != HPE_OK && fault_ == Fault::none) {
        fault_ = error == HPE_HEADER_OVERFLOW ? Fault::headers_too_large : Fault::malformed;
    }
    return n;
}

bool Parser::finish() {
    if (!begun_) return true;
    http_parser_execute(&p_, &settings(), nullptr, 0);
    if (!complete_) return false;
    if (on_complete) on_complete();
    return true;
}

std::string request_head(std::string_view method, std::string_view target, const Headers& headers) {
    std::string s;
    s.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    for (const auto& [n, v] : headers) s.append(n).append(": ").append(v).append("\r\n");
    return s.append("\r\n");
}

std::string response_head(int status, const Headers& headers) {
    std::string s = "HTTP/1.1 " + std::to_string(status) + " ";
    s.append(reason(status)).append("\r\n");
    for (const auto& [n, v] : headers) s.append(n).append(": ").append(v).append("\r\n");
    return s.append("\r\n");
}

void append_chunk(std::string& out, std::string_view bytes) {
    if (bytes.empty()) return;
    char size[20];
    const int n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    out.append(size, static_cast<std::size_t>(n)).append(bytes).append("\r\n");
}

std::string chunk(std::string_view bytes) {
    std::string s;
    append_chunk(s, bytes);
    return s;
}

std::string_view reason(int status) {
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
