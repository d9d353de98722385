#include "proxy/detached_calls.h"

#include <algorithm>
#include <utility>

#include "net/clock.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::proxy {
namespace {

// Until connecting is retried.
constexpr net::Millis kConnectRetryDelay = 50;
// The shortest wait for the response: an earlier close could discard the request.
constexpr net::Millis kMinResponseTimeout = 1000;

}  // namespace

struct DetachedCalls::Call {
    std::unique_ptr<net::TcpStream> stream;
    std::unique_ptr<net::Timer> timer;
    std::string address;
    std::string request;
    net::Millis deadline = 0;
    bool sent = false;
    Calls::iterator self;
};

DetachedCalls::DetachedCalls(net::EventLoop& loop, std::string source, net::Millis connect_timeout)
    : loop_(loop),
      source_(std::move(source)),
      connect_timeout_(connect_timeout),
      cleanup_timer_(loop, [this] { ended_calls_.clear(); }) {}
DetachedCalls::~DetachedCalls() = default;

void DetachedCalls::send(const std::string& address, std::string request, net::Millis timeout) {
    calls_.push_back(std::make_unique<Call>());
    Call& call = *calls_.back();
    call.self = std::prev(calls_.end());
    call.address = address;
    call.request = std::move(request);
    call.deadline = net::now() + timeout;
    call.timer = std::make_unique<net::Timer>(loop_, [this, &call] {
        if (call.sent || net::now() >= call.deadline) return end(call);
        connect(call);
    });
    connect(call);
}

void DetachedCalls::connect(Call& call) {
    call.stream = std::make_unique<net::TcpStream>(loop_);
    call.stream->on_end = [this, &call](int) { end(call); };
    const int error = call.stream->connect(call.address, source_, [&call](int result) {
        if (result != 0) return call.timer->fire_after(kConnectRetryDelay);
        write_request(call);
    });
    call.timer->fire_after_poll(error != 0 ? kConnectRetryDelay : connect_timeout_);
}

void DetachedCalls::write_request(Call& call) {
    call.sent = true;
    call.stream->set_reading(true);
    call.stream->write(call.request);
    call.timer->fire_after_poll(std::max(kMinResponseTimeout, call.deadline - net::now()));
}

void DetachedCalls::end(Call& call) {
    call.stream.reset();
    call.timer->stop();
    ended_calls_.splice(ended_calls_.end(), calls_, call.self);
    cleanup_timer_.fire_after(0);
}

}  // namespace gorsenotch::proxy
