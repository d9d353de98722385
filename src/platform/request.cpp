#include "platform/request.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace gorsenotch::platform {
namespace {

bool visible(std::string_view s) {
    return std::all_of(s.begin(), s.end(), [](char c) { return c > ' ' && c < 127; });
}

// Below 0 where it is no number of that kind.
double amount(std::string_view s) {
    double x = -1;
    const auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), x, std::chars_format::fixed);
    return error == std::errc() && end == s.data() + s.size() && std::isfinite(x) && x >= 0 && x < 1e12 ? x
                                                                                                        : -1;
}

std::uint64_t hash(std::string_view s) {
    return std::max<std::uint64_t>(1, XXH3_64bits(s.data(), s.size()));  // 0 says: none
}

bool labels(std::string_view s, Arrival& arrival) {
    while (!s.empty()) {
        const auto comma = s.find(',');
        const auto pair = s.substr(0, comma);
        s.remove_prefix(comma == std::string_view::npos ? s.size() : comma + 1);
        const auto eq = pair.find('=');
        if (eq == std::string_view::npos) return false;
        auto name = pair.substr(0, eq);
        const auto value = pair.substr(eq + 1);
        while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
        if (name == "prefix") {
            if (value.empty()) return false;
            arrival.shared_prefix = hash(value);
            continue;
        }
        double* to = name == "prompt_len"   ? &arrival.prompt_tokens
                     : name == "prefix_len" ? &arrival.shared_prefix_tokens
                     : name == "max_out"    ? &arrival.max_tokens
                                            : nullptr;
        if (!to) continue;
        if ((*to = amount(value)) < 0) return false;
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
                       [](unsigned char c) { return c == '\t' || (c >= ' ' && c != kDelete); });
}

}  // namespace

std::variant<Refusal, Inbound> read_head(const settings::NamedSettings& named, const http::Parser& parser) {
    const auto path = std::string_view(parser.target).substr(0, parser.target.find('?'));
    if (path != kPath) return Refusal{404, "there is nothing at this path"};
    if (parser.method != "POST") return Refusal{405, "use POST"};
    if (!visible(parser.target)) return Refusal{400, "the request target is malformed"};
    Inbound in;
    // Guards against two readings of one request: each header that matters comes once.
    const std::string *txn = nullptr, *lane = nullptr, *org = nullptr, *entity = nullptr,
                      *remaining = nullptr, *label = nullptr, *resent = nullptr, *estimate = nullptr;
    const std::pair<std::string_view, const std::string**> known[] = {
        {"x-txn", &txn},       {"x-lane", &lane},           {"x-org", &org},
        {"x-entity", &entity}, {"x-remaining", &remaining}, {"x-labels", &label},
        {"x-resent", &resent}, {"x-estimate", &estimate}};
    in.head = "POST " + parser.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : parser.headers) {
        for (const auto& [n, at] : known) {
            if (name != n) continue;
            if (*at) return Refusal{400, std::string(n) + ": given twice"};
            *at = &value;
        }
        if (name == "transfer-encoding" && value != "chunked")
            return Refusal{400, "transfer-encoding: only chunked is read"};
        // Guards against a header lost on the way that a model server acts on, such as the key by which it
        // drops repeats. Covers tracing and content headers too. May do harm by bytes of the head that nobody
        // reads.
        if (!forwarded(name)) continue;
        if (!valid_value(value)) return Refusal{400, name + ": characters that are not allowed"};
        in.head.append(name).append(": ").append(value).append("\r\n");
    }
    if (!txn || txn->empty() || txn->size() > 128 || !visible(*txn))
        return Refusal{400, "x-txn: 1 to 128 visible characters are needed"};
    if (txn->find('/') != std::string::npos || txn->find('?') != std::string::npos)
        return Refusal{400, "x-txn: must do as a part of a path"};
    in.txn = *txn;
    Arrival& arrival = in.arrival;
    if (!lane) return Refusal{400, "x-lane: needed"};
    const auto cls = named.classes.find(*lane);
    if (cls == named.classes.end()) return Refusal{400, "x-lane: no such class"};
    arrival.cls = cls->second;
    arrival.tenant = -1;
    if (!named.tenants.empty()) {
        const auto tenant = org ? named.tenants.find(*org) : named.tenants.end();
        if (tenant == named.tenants.end()) return Refusal{400, "x-org: no such tenant"};
        arrival.tenant = tenant->second;
    }
    if (entity && !entity->empty()) arrival.session = hash(*entity);
    if (!remaining || remaining->size() < 2)
        return Refusal{400, "x-remaining: a number with m or u is needed"};
    const char unit = remaining->back();
    const double left = amount(std::string_view(*remaining).substr(0, remaining->size() - 1));
    if (left <= 0 || (unit != 'm' && unit != 'u') || left > 1e9)
        return Refusal{400, "x-remaining: should be a number above 0 followed by m or u"};
    arrival.deadline = unit == 'm' ? left : left / 1000;
    if (label && !labels(*label, arrival)) return Refusal{400, "x-labels: malformed"};
    arrival.client_retry = resent && *resent == "1";
    arrival.resumed = resent && *resent == "again";
    if (estimate) {
        const double work = amount(*estimate);
        if (work < 0) return Refusal{400, "x-estimate: should be a number"};
        arrival.length_hint = work / 1000;
    }
    return in;
}

}  // namespace gorsenotch::platform
