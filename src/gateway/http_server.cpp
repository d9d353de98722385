#include "gateway/http_server.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "net/clock.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"

namespace gorsenotch::gateway {
namespace {

constexpr std::size_t kReservedDescriptors = 65536;
constexpr std::size_t kOtherDescriptors = 32;  // for files, the listener, the loop itself
constexpr std::size_t kMinDescriptors = 64;    // with fewer, kMinConnections are served
constexpr std::size_t kMinConnections = 8;
constexpr std::size_t kMaxRejectedConnections = 16;  // beyond the limit that are answered at once
constexpr Millis kAcceptLogInterval = 1000;

// Each client may need a connection to an engine and one to release a lease: 2 of 5 descriptors are clients'.
std::size_t max_connections(std::size_t descriptors) {
    return descriptors > kMinDescriptors ? (descriptors - kOtherDescriptors) * 2 / 5 : kMinConnections;
}

}  // namespace

HttpServer::HttpServer(net::EventLoop& loop, const settings::Program& program, RequestLifecycle& lifecycle,
                       Environment& environment, std::uint64_t instance)
    : loop_(loop),
      program_(program),
      lifecycle_(lifecycle),
      environment_(environment),
      instance_(instance),
      max_connections_(max_connections(net::reserve_descriptors(kReservedDescriptors))),
      flush_call_(loop, [this] { flush_all(); }),
      cleanup_timer_(loop, [this] { closed_connections_.clear(); }) {}

HttpServer::~HttpServer() = default;

int HttpServer::listen() {
    listener_ = std::make_unique<net::TcpListener>(loop_);
    listener_->on_stream = [this](std::unique_ptr<net::TcpStream> stream) { on_accepted(std::move(stream)); };
    listener_->on_error = [this](int error) { on_accept_error(error); };
    return listener_->listen(program_.listen);
}

int HttpServer::port() const { return listener_ ? listener_->port() : 0; }

void HttpServer::on_accepted(std::unique_ptr<net::TcpStream> stream) {
    const net::ActivityScope activity(loop_, "accepts");
    // Guards against descriptors running out, which would leave clients without any answer. Beyond the limit
    // a few at a time are still answered; a flood beyond these is closed.
    const bool over_limit = connections_.size() - rejected_connections_ >= max_connections_;
    if (over_limit && rejected_connections_ >= kMaxRejectedConnections) return;
    ConnectionOwner& owner = *this;
    connections_.push_back(
        std::make_unique<ClientConnection>(loop_, program_, lifecycle_, owner, std::move(stream)));
    ClientConnection& connection = *connections_.back();
    connection.self = std::prev(connections_.end());
    if (!over_limit) return;
    ++rejected_connections_;
    connection.reject_overloaded();
}

// At most a line a second: accepting is tried again a hundred times a second while descriptors lack.
void HttpServer::on_accept_error(int error) {
    ++accept_failures_;
    const Millis now = net::now();
    if (accept_failure_logged_at_ && now - *accept_failure_logged_at_ < kAcceptLogInterval) return;
    accept_failure_logged_at_ = now;
    environment_.log("warn", "accept", {{"error", net::error_text(error)}, {"failures", accept_failures_}});
}

void HttpServer::schedule_flush(ClientConnection& connection) {
    unsent_.push_back(&connection);
    flush_call_.schedule();
}

void HttpServer::cancel_flush(ClientConnection& connection) { std::erase(unsent_, &connection); }

void HttpServer::flush_all() {
    const net::ActivityScope activity(loop_, "writes");
    const auto connections = std::exchange(unsent_, {});
    for (auto* connection : connections) connection->flush();
}

void HttpServer::record_queued(std::size_t bytes) { most_waiting_ = std::max(most_waiting_, bytes); }

void HttpServer::on_closed(ClientConnection& connection) {
    if (connection.is_rejected()) --rejected_connections_;
    std::erase(unsent_, &connection);
    closed_connections_.splice(closed_connections_.end(), connections_, connection.self);
    cleanup_timer_.fire_after(0);
}

std::string HttpServer::next_request_id() {
    char text[48];
    std::snprintf(text, sizeof text, "req_%016" PRIx64 "%08" PRIx64, instance_, ++request_count_);
    return text;
}

void HttpServer::drain() {
    draining_ = true;
    // Connections that wait to be accepted are answered too; they would be reset with the listener.
    if (listener_) listener_->accept_all_pending();
    listener_.reset();
    std::vector<ClientConnection*> open;  // closing one changes the list
    open.reserve(connections_.size());
    for (auto& connection : connections_) open.push_back(connection.get());
    for (auto* connection : open) connection->close_if_idle();
}

}  // namespace gorsenotch::gateway
