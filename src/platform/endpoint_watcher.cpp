#include "platform/endpoint_watcher.h"

#include <algorithm>
#include <utility>

#include "net/clock.h"
#include "net/tcp_stream.h"

namespace gorsenotch::platform {
namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMaxListBytes = 8 * kKibibyte * kKibibyte;
constexpr std::size_t kMaxHeadBytes = 16 * kKibibyte;
constexpr std::size_t kMaxHeaders = 100;

}  // namespace

EndpointWatcher::EndpointWatcher(net::EventLoop& loop, std::uint64_t seed, Config config)
    : loop_(loop),
      config_(config),
      random_(seed),
      overdue_timer_(loop,
                     [this] {
                         if (!call_) return;
                         // It may only be late: it stays until another one has answered.
                         report_fault("no answer in time");
                         if (!successor_) start_call();
                     }),
      retry_timer_(loop,
                   [this] {
                       if (successor_) return successor_overdue();
                       start_call();
                   }),
      cleanup_timer_(loop, [this] { closed_calls_.clear(); }) {}

void EndpointWatcher::watch_address(const std::string& address) {
    if (address == address_ && (call_ || successor_)) return;
    address_ = address;
    fault_reported_ = false;
    discard(successor_);
    discard(late_call_);
    start_call();
}

// Guards against a discovery that is slower than the time between two tries and would never be read. May do
// harm by a call more at an agent that is crowded.
void EndpointWatcher::successor_overdue() {
    const bool spent = late_call_ && net::now() - late_call_->began >= config_.slow_list_timeout;
    if (spent) discard(late_call_);
    if (late_call_) return on_call_failed(*successor_, "no answer in time");
    report_fault("no answer in time");
    late_call_ = std::move(successor_);
    start_call_after_pause();
}

void EndpointWatcher::start_call() {
    successor_ = std::make_unique<Call>();
    Call& call = *successor_;
    call.address = address_;
    call.began = net::now();
    call.stream = std::make_unique<net::TcpStream>(loop_);
    call.parser = std::make_unique<http::Parser>(http::Parser::Kind::response,
                                                 http::Limits{kMaxHeadBytes, kMaxHeaders, kMaxListBytes});
    call.parser->on_body = [&call](std::string_view bytes) { call.body.append(bytes); };
    call.stream->on_data = [this, &call](std::string_view bytes) { on_data(call, bytes); };
    call.stream->on_end = [this, &call](int code) { on_call_failed(call, net::error_text(code)); };
    retry_timer_.fire_after_poll(config_.connect_timeout);
    const int error = call.stream->connect(call.address, "", [this, &call](int code) {
        if (code != 0) return on_call_failed(call, net::error_text(code));
        call.stream->set_reading(true);
        retry_timer_.fire_after_poll(config_.full_list_timeout);
        send_poll(call, true);
    });
    if (error != 0) on_call_failed(call, net::error_text(error));
}

void EndpointWatcher::start_call_after_pause() {
    const double jitter = 0.5 + static_cast<double>(random_() >> 11) * 0x1p-53;
    retry_timer_.fire_after(config_.retry_backoff * jitter);
}

void EndpointWatcher::send_poll(Call& call, bool full_list) {
    std::string target = "/api/targets";
    if (!full_list) {
        target += "?from=" + std::to_string(*known_version_) +
                  "&hold_ms=" + std::to_string(static_cast<long>(config_.poll_hold));
    }
    call.stream->write(http::request_head("GET", target, {{"host", call.address}}));
}

void EndpointWatcher::on_data(Call& call, std::string_view bytes) {
    while (!bytes.empty()) {
        bytes.remove_prefix(std::min(bytes.size(), call.parser->feed(bytes)));
        if (call.parser->fault() != http::Fault::none)
            return on_call_failed(call, "the answer can't be read");
        if (!call.parser->complete()) return on_progress(call);
        if (call.parser->status < 200) continue;
        if (!bytes.empty()) return on_call_failed(call, "more than one answer");
        return on_response(call);
    }
}

// Guards against a list that comes slowly, in pieces or to a starved process, and is ended each time: then
// no list would ever be taken. May do harm by one that trickles, up to slow_list_timeout each time.
void EndpointWatcher::on_progress(Call& call) {
    if (&call == successor_.get() && net::now() - call.began < config_.slow_list_timeout)
        retry_timer_.fire_after_poll(config_.full_list_timeout);
}

void EndpointWatcher::on_response(Call& call) {
    if (call.parser->status != 200)
        return on_call_failed(call, "status " + std::to_string(call.parser->status));
    const std::string body = std::move(call.body);
    call.body.clear();
    const auto from =
        on_list(body, !last_answered_address_.empty() && last_answered_address_ != call.address);
    if (!from) return on_call_failed(call, "");  // reported by whoever rejected it
    known_version_ = from;
    last_answered_address_ = call.address;
    fault_reported_ = false;
    if (&call != call_.get()) {
        discard(call_);
        call_ = std::move(&call == late_call_.get() ? late_call_ : successor_);
    }
    if (call.address == address_) {  // the others are needed no more
        discard(successor_);
        discard(late_call_);
        retry_timer_.stop();
    }
    if (!call.parser->keep_alive) return on_call_failed(call, "");
    overdue_timer_.fire_after_poll(config_.poll_hold + config_.overdue_slack);
    send_poll(call, false);
}

// The list in force stays; the next try is soon, as what discovery has to say counts from when it could be
// read.
void EndpointWatcher::on_call_failed(Call& call, const std::string& why) {
    if (!why.empty()) report_fault(why);
    if (&call == successor_.get()) {
        discard(successor_);
        return start_call_after_pause();
    }
    if (&call == late_call_.get()) return discard(late_call_);
    discard(call_);
    overdue_timer_.stop();
    if (!successor_) start_call_after_pause();
}

void EndpointWatcher::report_fault(const std::string& why) {
    if (std::exchange(fault_reported_, true)) return;
    if (on_fault) on_fault(why);
}

void EndpointWatcher::discard(std::unique_ptr<Call>& call) {
    if (!call) return;
    call->stream.reset();
    closed_calls_.push_back(std::move(call));
    cleanup_timer_.fire_after(0);
}

}  // namespace gorsenotch::platform
