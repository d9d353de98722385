#include "platform/upstream_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace gorsenotch::platform {
namespace {

constexpr std::size_t kHead = 16 * 1024, kFirstEvent = 64 * 1024, kWhole = 16 * 1024;
constexpr std::uint64_t kChunk = 256 * 1024;  // no body on this platform is longer
constexpr int kInterim = 16;                  // 1xx answers before the answer

double cached_tokens(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) return 0;
    const auto it = json.find("cached_tokens");
    return it != json.end() && it->is_number() ? std::clamp(it->get<double>(), 0.0, 1e9) : 0;
}

bool event_ended(std::string_view s) {
    return s.find("\n\n") != std::string_view::npos || s.find("\r\n\r\n") != std::string_view::npos;
}

}  // namespace

UpstreamExchange::UpstreamExchange(Kind kind)
    : kind_(kind), parser_(http::Parser::Kind::response, http::Limits{kHead, 100, 0, kChunk}) {
    parser_.on_headers = [this] { on_head(); };
    parser_.on_body = [this](std::string_view b) { on_body(b); };
    parser_.on_complete = [this] { on_complete(); };
}

void UpstreamExchange::on_request_written() {
    if (over_) return;
    written_ = true;
    if (on_written) on_written();
}

void UpstreamExchange::on_data(std::string_view bytes) {
    if (!over_ && !std::exchange(answer_begun_, true) && on_first_byte) on_first_byte();
    if (spoilt_) return;
    if (clean_) {  // behind the end of the answer: the answer is good, the connection is not
        spoilt_ = true;
        return;
    }
    while (!bytes.empty() && !clean_ && !spoilt_) {
        bytes.remove_prefix(std::min(bytes.size(), parser_.feed(bytes)));
        if (parser_.fault() != http::Fault::none) return on_malformed_response();
        if (!parser_.complete()) return;
    }
    if (!bytes.empty()) spoilt_ = true;
}

void UpstreamExchange::on_head() {
    if (over_ || parser_.status < 200) return;
    status_ = parser_.status;
    const auto* away = http::find(parser_.headers, "x-turned-away");
    rejected_ = away && *away == "1";
    const auto* type = http::find(parser_.headers, "content-type");
    stream_ = kind_ == Kind::decode && status_ == 200 && type && type->rfind("text/event-stream", 0) == 0;
}

void UpstreamExchange::on_body(std::string_view bytes) {
    if (over_ || spoilt_) return;
    if (begun_) return on_more_events ? on_more_events(bytes) : void();
    if (body_.size() + bytes.size() > (stream_ ? kFirstEvent : kWhole)) return on_malformed_response();
    body_.append(bytes);
    if (!stream_ || !event_ended(body_)) return;
    begun_ = true;
    const std::string first = std::move(body_);
    body_.clear();
    if (on_first_event) on_first_event(first);
}

void UpstreamExchange::on_complete() {
    if (parser_.status < 200) {
        if (parser_.status == 101 || ++interim_responses_ > kInterim) on_malformed_response();
        return;
    }
    if (!parser_.framed && status_ != 204 && status_ != 304) return on_malformed_response();
    clean_ = true;
    if (!parser_.keep_alive) spoilt_ = true;
    if (over_) return;
    if (kind_ == Kind::lease_call) return finish(AttemptResult::served);
    if (rejected_ && (status_ == 503 || status_ == 504)) return finish(AttemptResult::rejected);
    if (rejected_ && status_ == 410) return finish(AttemptResult::rejected, kNoStateToFetch);
    if (kind_ == Kind::prefill && status_ == 202)
        return finish(AttemptResult::prefill_done, cached_tokens(body_));
    if (begun_) return finish(AttemptResult::served);
    finish(AttemptResult::error);
}

void UpstreamExchange::on_malformed_response() {
    spoilt_ = true;
    finish(begun_ ? AttemptResult::reset : AttemptResult::error);
}

void UpstreamExchange::on_connection_closed() {
    spoilt_ = true;
    // Until its last byte was handed over it can't have run.
    finish(written_ ? AttemptResult::reset : AttemptResult::unreachable);
}

void UpstreamExchange::on_connect_failed() {
    spoilt_ = true;
    finish(AttemptResult::unreachable);
}

void UpstreamExchange::on_not_sent() { finish(AttemptResult::not_sent); }

void UpstreamExchange::abort(AttemptResult result, std::string_view /*reason*/) {
    spoilt_ = true;
    // What never left whole never ran, however it ended.
    if (!written_ && result == AttemptResult::timed_out) result = AttemptResult::unreachable;
    if (!written_ && result == AttemptResult::cancelled) result = AttemptResult::not_sent;
    finish(result);
}

void UpstreamExchange::finish(AttemptResult result, double detail) {
    if (over_) return;
    over_ = true;
    AttemptOutcome outcome;
    outcome.result = result;
    outcome.status = status_;
    outcome.detail = detail;
    outcome.begun = begun_;
    body_ = std::string();
    const auto callback = std::move(on_ended);
    if (callback) callback(outcome);
}

}  // namespace gorsenotch::platform
