#include "platform/request.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace gorsenotch::platform {
namespace {

constexpr double kMaxAmount = 1e12;

bool visible(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char byte) { return byte > ' ' && byte < 127; });
}

// A number that is not negative; below 0 where the text is none.
double amount(std::string_view text) {
    double number = -1;
    const char* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, number, std::chars_format::fixed);
    const bool complete = error == std::errc() && end == text_end;
    const bool in_range = std::isfinite(number) && number >= 0 && number < kMaxAmount;
    return complete && in_range ? number : -1;
}

std::uint64_t hash(std::string_view text) {
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));  // 0 says: none
}

double* number_label(std::string_view name, Arrival& arrival) {
    if (name == "prompt_len") return &arrival.prompt_tokens;
    if (name == "prefix_len") return &arrival.shared_prefix_tokens;
    if (name == "max_out") return &arrival.max_tokens;
    return nullptr;
}

// One `name=value` of x-labels; unknown names are ignored. False where it is malformed.
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
    *number = amount(value);
    return *number >= 0;
}

bool labels(std::string_view text, Arrival& arrival) {
    while (!text.empty()) {
        const auto comma = text.find(',');
        const std::string_view label = text.substr(0, comma);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
        if (!read_label(label, arrival)) return false;
    }
    return true;
}

// Headers that concern this connection alone (RFC 9110, 7.6.1), that the gateway has met itself, or that it
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

bool forwarded(std::string_view name) {
    return std::find(std::begin(kNotForwarded), std::end(kNotForwarded), name) == std::end(kNotForwarded);
}

// What a header's value may hold (RFC 9110, 5.5): all but control characters, of which a tab is allowed.
bool valid_value(std::string_view value) {
    constexpr unsigned char kDelete = 127;
    return std::all_of(value.begin(), value.end(),
                       [](unsigned char byte) { return byte == '\t' || (byte >= ' ' && byte != kDelete); });
}

constexpr std::size_t kMaxTransactionLength = 128;
constexpr double kMaxRemaining = 1e9;

// The headers that say what is asked for; null: not given.
struct KnownHeaders {
    const std::string* transaction = nullptr;
    const std::string* lane = nullptr;
    const std::string* organization = nullptr;
    const std::string* entity = nullptr;
    const std::string* remaining = nullptr;
    const std::string* labels = nullptr;
    const std::string* resent = nullptr;
    const std::string* estimate = nullptr;

    // Null where the name is none of them.
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

// Each of the functions below takes one part of the head; it returns an error, or nothing.
using Rejection = std::optional<Refusal>;

Rejection check_request_line(const http::Parser& parser) {
    const auto path = std::string_view(parser.target).substr(0, parser.target.find('?'));
    if (path != kPath) return Refusal{404, "there is nothing at this path"};
    if (parser.method != "POST") return Refusal{405, "use POST"};
    if (!visible(parser.target)) return Refusal{400, "the request target is malformed"};
    return std::nullopt;
}

// Finds the known headers and writes the head for endpoints.
Rejection read_headers(const http::Headers& headers, KnownHeaders& known, std::string& head) {
    for (const auto& [name, value] : headers) {
        // Guards against two readings of one request: each header that matters comes once.
        if (const std::string** slot = known.find(name)) {
            if (*slot) return Refusal{400, name + ": given twice"};
            *slot = &value;
        }
        if (name == "transfer-encoding" && value != "chunked")
            return Refusal{400, "transfer-encoding: only chunked is read"};
        // Guards against a header lost on the way that an endpoint acts on, such as the key by which it drops
        // repeats. Covers tracing and content headers too. May do harm by bytes of the head that nobody
        // reads.
        if (!forwarded(name)) continue;
        if (!valid_value(value)) return Refusal{400, name + ": characters that are not allowed"};
        head.append(name).append(": ").append(value).append("\r\n");
    }
    return std::nullopt;
}

Rejection read_transaction(const std::string* header, std::string& transaction) {
    if (!header || header->empty() || header->size() > kMaxTransactionLength || !visible(*header))
        return Refusal{400, "x-txn: 1 to 128 visible characters are needed"};
    if (header->find('/') != std::string::npos || header->find('?') != std::string::npos)
        return Refusal{400, "x-txn: must do as a part of a path"};
    transaction = *header;
    return std::nullopt;
}

Rejection read_class(const settings::NamedSettings& named, const std::string* lane, Arrival& arrival) {
    if (!lane) return Refusal{400, "x-lane: needed"};
    const auto cls = named.classes.find(*lane);
    if (cls == named.classes.end()) return Refusal{400, "x-lane: no such class"};
    arrival.cls = cls->second;
    return std::nullopt;
}

Rejection read_tenant(const settings::NamedSettings& named, const std::string* organization,
                      Arrival& arrival) {
    arrival.tenant = -1;
    if (named.tenants.empty()) return std::nullopt;
    const auto tenant = organization ? named.tenants.find(*organization) : named.tenants.end();
    if (tenant == named.tenants.end()) return Refusal{400, "x-org: no such tenant"};
    arrival.tenant = tenant->second;
    return std::nullopt;
}

// A number of milliseconds followed by m, or of microseconds followed by u.
Rejection read_remaining(const std::string* header, Arrival& arrival) {
    if (!header || header->size() < 2) return Refusal{400, "x-remaining: a number with m or u is needed"};
    const char unit = header->back();
    const double remaining = amount(std::string_view(*header).substr(0, header->size() - 1));
    if (remaining <= 0 || (unit != 'm' && unit != 'u') || remaining > kMaxRemaining)
        return Refusal{400, "x-remaining: should be a number above 0 followed by m or u"};
    arrival.deadline = unit == 'm' ? remaining : remaining / 1000;
    return std::nullopt;
}

Rejection read_hints(const KnownHeaders& known, Arrival& arrival) {
    if (known.labels && !labels(*known.labels, arrival)) return Refusal{400, "x-labels: malformed"};
    arrival.client_retry = known.resent && *known.resent == "1";
    arrival.resumed = known.resent && *known.resent == "again";
    if (!known.estimate) return std::nullopt;
    const double work = amount(*known.estimate);
    if (work < 0) return Refusal{400, "x-estimate: should be a number"};
    arrival.length_hint = work / 1000;
    return std::nullopt;
}

}  // namespace

std::variant<Refusal, Inbound> read_head(const settings::NamedSettings& named, const http::Parser& parser) {
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
