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
constexpr std::size_t kOtherDescriptors = 32;  // for files, the listener and the event loop
constexpr std::size_t kMinDescriptors = 64;    // with at most these, kMinConnections are served
constexpr std::size_t kMinConnections = 8;
constexpr std::size_t kMaxRejectedConnections = 16;  // beyond the limit, at a time
constexpr Millis kAcceptLogInterval = 1000;

// Each client may need a connection to an engine and one for a lease release, so clients get 2 of 5
// descriptors.
std::size_t max_connections(std::size_t descriptors) {
    return descriptors > kMinDescriptors ? (descriptors - kOtherDescriptors) * 2 / 5 : kMinConnections;
}

}  // namespace

HttpServer::HttpServer(net::EventLoop& loop, const settings::ProgramSettings& program,
                       RequestLifecycle& lifecycle, control::MemoryBudget& memory, Environment& environment,
                       std::uint64_t instance)
    : loop_(loop),
      program_(program),
      lifecycle_(lifecycle),
      memory_(memory),
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
    // Guards against running out of descriptors, which would leave clients without any answer. Beyond the
    // limit a few connections at a time are answered with 529; any further ones are closed.
    const bool over_limit = connections_.size() - rejected_connections_ >= max_connections_;
    if (over_limit && rejected_connections_ >= kMaxRejectedConnections) return;
    ConnectionOwner& owner = *this;
    connections_.push_back(
        std::make_unique<ClientConnection>(loop_, program_, lifecycle_, memory_, owner, std::move(stream)));
    ClientConnection& connection = *connections_.back();
    connection.owner_position = std::prev(connections_.end());
    if (!over_limit) return;
    ++rejected_connections_;
    connection.reject_overloaded();
}

// Logs at most once a second: accept is retried about a hundred times a second while descriptors are short.
void HttpServer::on_accept_error(int error) {
    ++accept_failures_;
    const Millis now = net::now();
    if (accept_failure_logged_at_ && now - *accept_failure_logged_at_ < kAcceptLogInterval) return;
    accept_failure_logged_at_ = now;
    environment_.log("warn", "accept", {{"error", net::error_text(error)}, {"failures", accept_failures_}});
}

void HttpServer::schedule_flush(ClientConnection& connection) {
    flush_queue_.push_back(&connection);
    flush_call_.schedule();
}

void HttpServer::cancel_flush(ClientConnection& connection) { std::erase(flush_queue_, &connection); }

void HttpServer::flush_all() {
    const net::ActivityScope activity(loop_, "writes");
    const auto queued = std::exchange(flush_queue_, {});
    for (auto* connection : queued) connection->flush();
}

void HttpServer::record_queued_bytes(std::size_t bytes) {
    peak_queued_bytes_ = std::max(peak_queued_bytes_, bytes);
}

void HttpServer::on_closed(ClientConnection& connection) {
    if (connection.is_rejected()) --rejected_connections_;
    std::erase(flush_queue_, &connection);
    closed_connections_.splice(closed_connections_.end(), connections_, connection.owner_position);
    cleanup_timer_.fire_after(0);
}

std::string HttpServer::next_request_id() {
    char text[48];
    std::snprintf(text, sizeof text, "req_%016" PRIx64 "%08" PRIx64, instance_, ++request_count_);
    return text;
}

void HttpServer::drain() {
    draining_ = true;
    // Connections still in the accept queue are answered too; closing the listener would reset them.
    if (listener_) listener_->accept_all_pending();
    listener_.reset();
    close_idle_connections();
}

void HttpServer::close_idle_connections() { for_each_connection(&ClientConnection::close_if_idle); }

void HttpServer::reject_incomplete_requests() { for_each_connection(&ClientConnection::reject_incomplete); }

void HttpServer::for_each_connection(void (ClientConnection::*call)()) {
    std::vector<ClientConnection*> open;  // a copy, since closing a connection changes the list
    open.reserve(connections_.size());
    for (auto& connection : connections_) open.push_back(connection.get());
    for (auto* connection : open) (connection->*call)();
}

}  // namespace gorsenotch::gateway
