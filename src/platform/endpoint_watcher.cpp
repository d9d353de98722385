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
                         if (!active_) return;
                         // The response may only be late: the poll stays open until another one is answered.
                         report_fault("discovery did not answer in time");
                         if (!successor_) start_successor();
                     }),
      retry_timer_(loop,
                   [this] {
                       if (successor_) return on_successor_overdue();
                       start_successor();
                   }),
      cleanup_timer_(loop, [this] { closed_polls_.clear(); }) {}

void EndpointWatcher::watch_address(const std::string& address) {
    if (address == address_ && (active_ || successor_)) return;
    address_ = address;
    fault_reported_ = false;
    discard(successor_);
    discard(late_);
    start_successor();
}

// Keeps the overdue successor as the late poll and starts another one. Guards against never reading a
// response from a discovery that takes longer than the retry interval; the cost is one more request to an
// overloaded discovery.
void EndpointWatcher::on_successor_overdue() {
    const bool expired = late_ && net::now() - late_->started_at >= config_.slow_list_timeout;
    if (expired) discard(late_);
    if (late_) return on_poll_failed(*successor_, "discovery did not answer in time");
    report_fault("discovery did not answer in time");
    late_ = std::move(successor_);
    schedule_successor();
}

void EndpointWatcher::start_successor() {
    successor_ = std::make_unique<Poll>();
    Poll& poll = *successor_;
    poll.address = address_;
    poll.started_at = net::now();
    poll.stream = std::make_unique<net::TcpStream>(loop_);
    poll.parser = std::make_unique<http::Parser>(http::Parser::Kind::response,
                                                 http::Limits{kMaxHeadBytes, kMaxHeaders, kMaxListBytes});
    poll.parser->on_body = [&poll](std::string_view bytes) { poll.body.append(bytes); };
    poll.stream->on_data = [this, &poll](std::string_view bytes) { on_data(poll, bytes); };
    poll.stream->on_end = [this, &poll](int code) { on_poll_failed(poll, net::error_text(code)); };
    retry_timer_.fire_after_poll(config_.connect_timeout);
    const int error = poll.stream->connect(poll.address, "", [this, &poll](int code) {
        if (code != 0) return on_poll_failed(poll, net::error_text(code));
        poll.stream->set_reading(true);
        retry_timer_.fire_after_poll(config_.full_list_timeout);
        send_poll(poll, true);
    });
    if (error != 0) on_poll_failed(poll, net::error_text(error));
}

void EndpointWatcher::schedule_successor() {
    const double jitter = 0.5 + static_cast<double>(random_() >> 11) * 0x1p-53;
    retry_timer_.fire_after(config_.retry_backoff * jitter);
}

void EndpointWatcher::send_poll(Poll& poll, bool full_list) {
    std::string target = "/api/targets";
    if (!full_list) {
        target += "?from=" + std::to_string(*known_version_) +
                  "&hold_ms=" + std::to_string(static_cast<long>(config_.poll_hold));
    }
    poll.stream->write(http::request_head("GET", target, {{"host", poll.address}}));
}

void EndpointWatcher::on_data(Poll& poll, std::string_view bytes) {
    while (!bytes.empty()) {
        bytes.remove_prefix(std::min(bytes.size(), poll.parser->feed(bytes)));
        if (poll.parser->fault() != http::Fault::none)
            return on_poll_failed(poll, "malformed response from discovery");
        if (!poll.parser->complete()) return on_progress(poll);
        if (poll.parser->status < 200) continue;
        if (!bytes.empty()) return on_poll_failed(poll, "unexpected bytes after the response from discovery");
        return on_response(poll);
    }
}

// Extends the timeout of the successor while its response makes progress, up to slow_list_timeout in total.
// Guards against closing a list that arrives slowly, or to a process short of CPU time, on every attempt, so
// that no list would ever be received. The cost is that a response of a few bytes at a time delays the next
// successor by up to slow_list_timeout.
void EndpointWatcher::on_progress(Poll& poll) {
    if (&poll == successor_.get() && net::now() - poll.started_at < config_.slow_list_timeout)
        retry_timer_.fire_after_poll(config_.full_list_timeout);
}

void EndpointWatcher::on_response(Poll& poll) {
    if (poll.parser->status != 200)
        return on_poll_failed(
            poll, "discovery answered status " + std::to_string(poll.parser->status) + ", expected 200");
    const std::string body = std::move(poll.body);
    poll.body.clear();
    const auto from =
        on_list(body, !last_answered_address_.empty() && last_answered_address_ != poll.address);
    if (!from) return on_poll_failed(poll, "");  // on_list has reported the reason
    known_version_ = from;
    last_answered_address_ = poll.address;
    fault_reported_ = false;
    if (&poll != active_.get()) {
        discard(active_);
        active_ = std::move(&poll == late_.get() ? late_ : successor_);
    }
    if (poll.address == address_) {  // the other polls are no longer needed
        discard(successor_);
        discard(late_);
        retry_timer_.stop();
    }
    if (!poll.parser->keep_alive) return on_poll_failed(poll, "");
    overdue_timer_.fire_after_poll(config_.poll_hold + config_.overdue_slack);
    send_poll(poll, false);
}

// Keeps the current list and schedules a successor soon: a list of discovery applies from the time at which
// it could have been read.
void EndpointWatcher::on_poll_failed(Poll& poll, const std::string& reason) {
    if (!reason.empty()) report_fault(reason);
    if (&poll == successor_.get()) {
        discard(successor_);
        return schedule_successor();
    }
    if (&poll == late_.get()) return discard(late_);
    discard(active_);
    overdue_timer_.stop();
    if (!successor_) schedule_successor();
}

void EndpointWatcher::report_fault(const std::string& reason) {
    if (std::exchange(fault_reported_, true)) return;
    if (on_fault) on_fault(reason);
}

void EndpointWatcher::discard(std::unique_ptr<Poll>& poll) {
    if (!poll) return;
    poll->stream.reset();
    closed_polls_.push_back(std::move(poll));
    cleanup_timer_.fire_after(0);
}

}  // namespace gorsenotch::platform
