#include "platform/request.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

#include "settings/text_values.h"

namespace gorsenotch::platform {
namespace {

using settings::escape_value;

constexpr double kMaxAmount = 1e12;

bool is_visible_ascii(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char byte) { return byte > ' ' && byte < 127; });
}

// The non-negative number in `text`; -1 if there is none or it is too large.
double parse_amount(std::string_view text) {
    double number = -1;
    const char* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, number, std::chars_format::fixed);
    const bool complete = error == std::errc() && end == text_end;
    const bool in_range = std::isfinite(number) && number >= 0 && number < kMaxAmount;
    return complete && in_range ? number : -1;
}

std::uint64_t hash(std::string_view text) {
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));  // 0 means none
}

double* number_label(std::string_view name, Arrival& arrival) {
    if (name == "prompt_len") return &arrival.prompt_tokens;
    if (name == "prefix_len") return &arrival.shared_prefix_tokens;
    if (name == "max_out") return &arrival.max_tokens;
    return nullptr;
}

// Reads one `name=value` of x-labels; unknown names are ignored. Returns false if it is malformed.
bool read_label(std::string_view label, Arrival& arrival) {
    const auto equals = label.find('=');
    if (equals == std::string_view::npos) return false;
    std::string_view name = label.substr(0, equals);
    const std::string_view value = label.substr(equals + 1);
    while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
    if (name == "prefix") {
        if (value.empty()) return false;
        arrival.shared_prefix = hash(value);
        return true;
    }
    double* number = number_label(name, arrival);
    if (!number) return true;
    *number = parse_amount(value);
    return *number >= 0;
}

bool read_labels(std::string_view text, Arrival& arrival) {
    while (!text.empty()) {
        const auto comma = text.find(',');
        const std::string_view label = text.substr(0, comma);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
        if (!read_label(label, arrival)) return false;
    }
    return true;
}

// Headers that concern only this connection (RFC 9110, 7.6.1), that the gateway handles itself, or that it
// writes anew for each attempt.
constexpr std::string_view kNotForwarded[] = {"connection",
                                              "keep-alive",
                                              "proxy-connection",
                                              "proxy-authenticate",
                                              "proxy-authorization",
                                              "te",
                                              "trailer",
                                              "upgrade",
                                              "expect",
                                              "host",
                                              "x-remaining",
                                              "content-length",
                                              "transfer-encoding"};

bool is_forwarded(std::string_view name) {
    return std::find(std::begin(kNotForwarded), std::end(kNotForwarded), name) == std::end(kNotForwarded);
}

// A header value may contain all bytes except control characters other than tab (RFC 9110, 5.5).
bool is_valid_header_value(std::string_view value) {
    constexpr unsigned char kDelete = 127;
    return std::all_of(value.begin(), value.end(),
                       [](unsigned char byte) { return byte == '\t' || (byte >= ' ' && byte != kDelete); });
}

constexpr std::size_t kMaxTransactionLength = 128;
constexpr double kMaxRemaining = 1e9;

// The headers that the gateway interprets; null: not given.
struct KnownHeaders {
    const std::string* transaction = nullptr;
    const std::string* lane = nullptr;
    const std::string* organization = nullptr;
    const std::string* entity = nullptr;
    const std::string* remaining = nullptr;
    const std::string* labels = nullptr;
    const std::string* resent = nullptr;
    const std::string* estimate = nullptr;

    // Null for any other header name.
    const std::string** find(std::string_view name) {
        if (name == "x-txn") return &transaction;
        if (name == "x-lane") return &lane;
        if (name == "x-org") return &organization;
        if (name == "x-entity") return &entity;
        if (name == "x-remaining") return &remaining;
        if (name == "x-labels") return &labels;
        if (name == "x-resent") return &resent;
        if (name == "x-estimate") return &estimate;
        return nullptr;
    }
};

// Each of the functions below reads one part of the head and returns an error, or nothing.
using Rejection = std::optional<RequestError>;

Rejection check_request_line(const http::Parser& parser) {
    const auto path = std::string_view(parser.target).substr(0, parser.target.find('?'));
    if (path != kCompletionsPath) return RequestError{404, "path not found"};
    if (parser.method != "POST") return RequestError{405, "method not allowed: expected POST"};
    if (!is_visible_ascii(parser.target))
        return RequestError{400, "request target: expected only visible ASCII characters"};
    return std::nullopt;
}

// Finds the known headers, and appends the headers to forward to `head`.
Rejection read_headers(const http::Headers& headers, KnownHeaders& known, std::string& head) {
    for (const auto& [name, value] : headers) {
        // Guards against different interpretations of one request: a known header may be given only once.
        if (const std::string** slot = known.find(name)) {
            if (*slot) return RequestError{400, name + ": given more than once"};
            *slot = &value;
        }
        if (name == "transfer-encoding" && value != "chunked")
            return RequestError{400,
                                "transfer-encoding: expected chunked, got \"" + escape_value(value) + "\""};
        // Guards against dropping a header that an endpoint uses, such as its idempotency key, tracing and
        // content headers. The cost is forwarding bytes that no endpoint reads.
        if (!is_forwarded(name)) continue;
        if (!is_valid_header_value(value))
            return RequestError{400, name + ": value contains a control character"};
        head.append(name).append(": ").append(value).append("\r\n");
    }
    return std::nullopt;
}

Rejection read_transaction(const std::string* header, std::string& transaction) {
    if (!header || header->empty() || header->size() > kMaxTransactionLength || !is_visible_ascii(*header))
        return RequestError{400, "x-txn: expected 1 to 128 visible ASCII characters"};
    if (header->find('/') != std::string::npos || header->find('?') != std::string::npos)
        return RequestError{400, "x-txn: must not contain / or ?, got \"" + escape_value(*header) + "\""};
    transaction = *header;
    return std::nullopt;
}

Rejection read_class(const settings::NamedSettings& named, const std::string* lane, Arrival& arrival) {
    if (!lane) return RequestError{400, "x-lane: header is required"};
    const auto cls = named.classes.find(*lane);
    if (cls == named.classes.end())
        return RequestError{400, "x-lane: unknown class \"" + escape_value(*lane) + "\""};
    arrival.cls = cls->second;
    return std::nullopt;
}

Rejection read_tenant(const settings::NamedSettings& named, const std::string* organization,
                      Arrival& arrival) {
    arrival.tenant = -1;
    if (named.tenants.empty()) return std::nullopt;
    const auto tenant = organization ? named.tenants.find(*organization) : named.tenants.end();
    if (tenant == named.tenants.end()) return RequestError{400, "x-org: missing or unknown tenant"};
    arrival.tenant = tenant->second;
    return std::nullopt;
}

// Parses a number of milliseconds followed by m, or of microseconds followed by u.
Rejection read_remaining(const std::string* header, Arrival& arrival) {
    if (!header || header->size() < 2)
        return RequestError{400, "x-remaining: expected a number followed by m or u"};
    const char unit = header->back();
    const double remaining = parse_amount(std::string_view(*header).substr(0, header->size() - 1));
    if (remaining <= 0 || (unit != 'm' && unit != 'u') || remaining > kMaxRemaining)
        return RequestError{
            400, "x-remaining: expected a number above 0 and up to 1e9, followed by m or u, got \"" +
                     escape_value(*header) + "\""};
    arrival.deadline = unit == 'm' ? remaining : remaining / 1000;
    return std::nullopt;
}

Rejection read_hints(const KnownHeaders& known, Arrival& arrival) {
    if (known.labels && !read_labels(*known.labels, arrival))
        return RequestError{400, "x-labels: expected comma-separated name=value pairs with valid values"};
    arrival.client_retry = known.resent && *known.resent == "1";
    arrival.resumed = known.resent && *known.resent == "again";
    if (!known.estimate) return std::nullopt;
    const double work = parse_amount(*known.estimate);
    if (work < 0)
        return RequestError{
            400, "x-estimate: expected a non-negative number, got \"" + escape_value(*known.estimate) + "\""};
    arrival.length_hint = work / 1000;
    return std::nullopt;
}

}  // namespace

std::variant<RequestError, Inbound> read_head(const settings::NamedSettings& named,
                                              const http::Parser& parser) {
    if (auto refusal = check_request_line(parser)) return std::move(*refusal);
    Inbound inbound;
    Arrival& arrival = inbound.arrival;
    KnownHeaders known;
    inbound.head = "POST " + parser.target + " HTTP/1.1\r\n";
    if (auto refusal = read_headers(parser.headers, known, inbound.head)) return std::move(*refusal);
    if (auto refusal = read_transaction(known.transaction, inbound.txn)) return std::move(*refusal);
    if (auto refusal = read_class(named, known.lane, arrival)) return std::move(*refusal);
    if (auto refusal = read_tenant(named, known.organization, arrival)) return std::move(*refusal);
    if (known.entity && !known.entity->empty()) arrival.session = hash(*known.entity);
    if (auto refusal = read_remaining(known.remaining, arrival)) return std::move(*refusal);
    if (auto refusal = read_hints(known, arrival)) return std::move(*refusal);
    return inbound;
}

}  // namespace gorsenotch::platform
