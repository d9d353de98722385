#include "platform/upstream_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/request.h"

namespace gorsenotch::platform {
namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMaxHeadBytes = 16 * kKibibyte;
constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kMaxFirstEventBytes = 64 * kKibibyte;
constexpr std::size_t kMaxUnstreamedBytes = 16 * kKibibyte;  // body of a response that is not a stream
constexpr int kMaxInterimResponses = 16;                     // 1xx responses before the response
// Part of a response that is not charged: its request has reserved the memory for it. So responses of usual
// length are received whatever the budget has left.
constexpr std::size_t kReservedBytes = 4 * kKibibyte;
constexpr double kMaxCachedTokens = 1e9;

double cached_tokens(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) return 0;
    const auto it = json.find("cached_tokens");
    return it != json.end() && it->is_number() ? std::clamp(it->get<double>(), 0.0, kMaxCachedTokens) : 0;
}

}  // namespace

UpstreamExchange::UpstreamExchange(Kind kind, control::MemoryCharge memory)
    : kind_(kind),
      memory_(std::move(memory)),
      parser_(http::Parser::Kind::response,
              http::Limits{kMaxHeadBytes, kMaxHeaders, kMaxBodyBytes, kMaxBodyBytes}) {
    parser_.on_headers = [this] { on_head(); };
    parser_.on_body = [this](std::string_view bytes) { on_body(bytes); };
    parser_.on_complete = [this] { on_complete(); };
}

void UpstreamExchange::on_request_written() {
    if (over_) return;
    request_written_ = true;
    if (on_written) on_written();
}

void UpstreamExchange::on_data(std::string_view bytes) {
    if (!over_ && !std::exchange(response_begun_, true) && on_first_byte) on_first_byte();
    if (connection_unusable_) return;
    if (response_complete_) {  // bytes after a valid response make only the connection unusable
        connection_unusable_ = true;
        return;
    }
    while (!bytes.empty() && !response_complete_ && !connection_unusable_) {
        bytes.remove_prefix(std::min(bytes.size(), parser_.feed(bytes)));
        if (parser_.fault() != http::Fault::none || !reserve_buffer(body_.size()))
            return on_malformed_response();
        if (!parser_.complete()) return;
    }
    if (!bytes.empty()) connection_unusable_ = true;
}

// Counts the head and `bytes` of the body, while no event was passed on. Guards against heads and first
// events of many endpoints that do not end. Returns false if there is no memory for them.
bool UpstreamExchange::reserve_buffer(std::size_t bytes) {
    if (over_ || stream_begun_) return true;
    const std::size_t buffered = parser_.head_memory() + bytes;
    return memory_.try_resize(buffered > kReservedBytes ? buffered - kReservedBytes : 0);
}

void UpstreamExchange::on_head() {
    if (over_ || parser_.status < 200) return;
    status_ = parser_.status;
    const std::string* turned_away = http::find_header(parser_.headers, "x-turned-away");
    rejected_ = turned_away && *turned_away == "1";
    const std::string* type = http::find_header(parser_.headers, "content-type");
    is_stream_ = kind_ == Kind::decode && status_ == 200 && type && type->rfind("text/event-stream", 0) == 0;
}

void UpstreamExchange::on_body(std::string_view bytes) {
    if (over_ || connection_unusable_) return;
    if (is_stream_) stream_.feed(bytes);
    if (stream_begun_) return on_more_events ? on_more_events(bytes) : void();
    if (body_.size() + bytes.size() > (is_stream_ ? kMaxFirstEventBytes : kMaxUnstreamedBytes))
        return on_malformed_response();
    if (!reserve_buffer(body_.size() + bytes.size())) return on_malformed_response();
    body_.append(bytes);
    if (!is_stream_ || stream_.events() == 0) return;
    stream_begun_ = true;
    const std::string first = std::exchange(body_, std::string());
    memory_.resize(0);
    if (on_first_event) on_first_event(first);
}

void UpstreamExchange::on_complete() {
    if (parser_.status < 200) {
        if (parser_.status == 101 || ++interim_responses_ > kMaxInterimResponses) on_malformed_response();
        return;
    }
    if (!parser_.has_explicit_length && status_ != 204 && status_ != 304) return on_malformed_response();
    response_complete_ = true;
    if (!parser_.keep_alive) connection_unusable_ = true;
    if (over_) return;
    if (kind_ == Kind::lease_call) return finish(AttemptResult::served);
    if (rejected_ && (status_ == 503 || status_ == 504)) return finish(AttemptResult::rejected);
    if (rejected_ && status_ == 410) return finish(AttemptResult::rejected, kNoKvCacheToFetch);
    if (kind_ == Kind::prefill && status_ == 202)
        return finish(AttemptResult::prefill_done, cached_tokens(body_));
    if (!stream_begun_) return finish(AttemptResult::error);
    if (stream_.is_complete()) return finish(AttemptResult::served);
    connection_unusable_ = true;
    stream_end_ = StreamEnd::no_end_marker;
    finish(AttemptResult::reset);
}

void UpstreamExchange::on_malformed_response() {
    connection_unusable_ = true;
    const bool too_long = parser_.fault() == http::Fault::body_too_large;
    stream_end_ = too_long ? StreamEnd::too_long : StreamEnd::malformed_response;
    finish(stream_begun_ ? AttemptResult::reset : AttemptResult::error);
}

void UpstreamExchange::on_connection_closed() {
    connection_unusable_ = true;
    stream_end_ = StreamEnd::connection_closed;
    // A request whose last byte was not passed to the kernel can't have run.
    finish(request_written_ ? AttemptResult::reset : AttemptResult::unreachable);
}

void UpstreamExchange::on_connect_failed() {
    connection_unusable_ = true;
    finish(AttemptResult::unreachable);
}

void UpstreamExchange::on_not_sent() { finish(AttemptResult::not_sent); }

void UpstreamExchange::abort(AttemptResult result, std::string_view /*reason*/) {
    connection_unusable_ = true;
    stream_end_ = result == AttemptResult::cancelled ? StreamEnd::cancelled : StreamEnd::idle_timeout;
    // A request that was not fully written has not run, whatever ended it.
    if (!request_written_ && result == AttemptResult::timed_out) result = AttemptResult::unreachable;
    if (!request_written_ && result == AttemptResult::cancelled) result = AttemptResult::not_sent;
    finish(result);
}

void UpstreamExchange::finish(AttemptResult result, double detail) {
    if (over_) return;
    over_ = true;
    AttemptOutcome outcome;
    outcome.result = result;
    outcome.status = status_;
    outcome.detail = detail;
    outcome.stream_begun = stream_begun_;
    outcome.stream_end = stream_end_;
    outcome.events = stream_.events();
    outcome.bytes = stream_.bytes();
    outcome.too_long = parser_.fault() == http::Fault::body_too_large;
    body_ = std::string();
    memory_.resize(0);
    const auto callback = std::move(on_ended);
    if (callback) callback(outcome);
}

}  // namespace gorsenotch::platform
