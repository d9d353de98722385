#include "gateway/upstream.h"

#include <algorithm>

namespace gorsenotch::gateway {

struct Upstream::Link {
    std::unique_ptr<net::Stream> stream;
    std::unique_ptr<net::Timer> dial;
    std::string address, request;
    std::shared_ptr<Exchange> exchange;
    Links::iterator self;
    Millis idle_since = 0;
    bool connected = false, idle = false, gone = false, paused = false;
};

// A call that nobody waits for, on a connection of its own.
struct Upstream::Aside {
    std::unique_ptr<net::Stream> stream;
    std::unique_ptr<net::Timer> timer;
    std::string address, request;
    Millis until = 0;
    bool sent = false;
    std::list<std::unique_ptr<Aside>>::iterator self;
};

Upstream::Upstream(net::Loop& loop, Config config)
    : loop_(loop),
      config_(std::move(config)),
      sweeper_(loop, [this] { sweep(); }),
      burier_(loop, [this] { bury(); }) {}
Upstream::~Upstream() = default;

namespace {
std::string render(const std::string& address, const engine::Wanted& w, bool keep) {
    http::Headers headers = {{"host", address},
                             {"connection", keep ? "keep-alive" : "close"},
                             {"content-length", std::to_string(w.body.size())}};
    headers.insert(headers.end(), w.headers.begin(), w.headers.end());
    return http::request_head(w.method, w.target, headers) + w.body;
}
}  // namespace

void Upstream::start(const std::string& address, engine::Wanted wanted, std::shared_ptr<Exchange> exchange) {
    std::string request = render(address, wanted, true);
    auto& spare = idle_[address];
    if (!spare.empty()) {
        Link& link = *spare.back();
        spare.pop_back();
        link.idle = false;
        link.exchange = std::move(exchange);
        by_exchange_[link.exchange.get()] = &link;
        return attach(link, request);
    }
    all_.push_back(std::make_unique<Link>());
    Link& link = *all_.back();
    link.self = std::prev(all_.end());
    link.address = address;
    link.request = std::move(request);
    link.exchange = std::move(exchange);
    by_exchange_[link.exchange.get()] = &link;
    link.stream = std::make_unique<net::Stream>(loop_);
    link.stream->on_data = [this, &link](std::string_view b) { data(link, b); };
    link.stream->on_end = [this, &link](int) { ended(link); };
    const int error =
        link.stream->connect(address, config_.source, [this, &link](int e) { connected(link, e); });
    // Whatever the outcome, it is told by the loop's next turn: callers may not be called back from here.
    link.dial = std::make_unique<net::Timer>(
        loop_, [this, &link, error] { connected(link, error != 0 ? error : UV_ETIMEDOUT); });
    if (error != 0) {
        link.dial->after(0);
    } else {
        link.dial->after_look(config_.dial_timeout);
    }
}

void Upstream::connected(Link& link, int error) {
    if (link.gone || link.connected) return;
    if (link.dial) link.dial->stop();
    if (error != 0) {
        const auto exchange = link.exchange;
        erase(link);
        // Descriptors or ports that ran out are this host's trouble, not the engine's.
        if (error == UV_EMFILE || error == UV_ENFILE || error == UV_EADDRNOTAVAIL)
            return exchange->not_sent();
        return exchange->refused_dial();
    }
    link.connected = true;
    attach(link, link.request);
    link.request.clear();
}

void Upstream::attach(Link& link, const std::string& request) {
    link.exchange->sent();
    link.stream->read(true);
    link.stream->write(request);
}

void Upstream::data(Link& link, std::string_view bytes) {
    if (link.gone) return;
    const net::Doing doing(loop_, "engines");
    if (link.idle || !link.exchange) return erase(link);  // bytes that nobody asked for
    const auto exchange = link.exchange;
    exchange->data(bytes);
    if (!link.gone) settle(link);
}

void Upstream::ended(Link& link) {
    if (link.gone) return;
    const auto exchange = link.exchange;
    erase(link);
    if (exchange) exchange->ended();
}

void Upstream::settle(Link& link) {
    if (!link.exchange || !link.exchange->over()) return;
    if (link.exchange->lingering()) return;
    if (!link.exchange->reusable() || idle_[link.address].size() >= config_.max_idle) return erase(link);
    by_exchange_.erase(link.exchange.get());
    link.exchange.reset();
    link.idle = true;
    link.idle_since = net::now();
    if (link.paused) link.paused = false, link.stream->read(true);
    idle_[link.address].push_back(&link);
    if (!sweeping_) sweeping_ = true, sweeper_.after(config_.idle);
}

void Upstream::erase(Link& link) {
    if (link.gone) return;
    link.gone = true;
    if (link.exchange) by_exchange_.erase(link.exchange.get());
    if (link.idle) std::erase(idle_[link.address], &link);
    link.exchange.reset();
    link.stream.reset();
    dead_.splice(dead_.end(), all_, link.self);
    burier_.after(0);
}

void Upstream::bury() {
    dead_.clear();
    dead_asides_.clear();
}

void Upstream::sweep() {
    const Millis now = net::now();
    bool left = false;
    for (auto& [address, links] : idle_) {
        for (std::size_t i = links.size(); i-- > 0;) {
            if (now - links[i]->idle_since >= config_.idle) erase(*links[i]);
        }
        left |= !links.empty();
    }
    sweeping_ = left;
    if (left) sweeper_.after(config_.idle / 4);
}

void Upstream::pause(const Exchange& exchange, bool on) {
    const auto it = by_exchange_.find(&exchange);
    if (it == by_exchange_.end() || it->second->gone || !it->second->connected) return;
    it->second->paused = on;
    it->second->stream->read(!on);
}

void Upstream::close(const Exchange& exchange) {
    const auto it = by_exchange_.find(&exchange);
    if (it != by_exchange_.end()) erase(*it->second);
}

void Upstream::send_aside(const std::string& address, engine::Wanted wanted, Millis limit) {
    asides_.push_back(std::make_unique<Aside>());
    Aside& a = *asides_.back();
    a.self = std::prev(asides_.end());
    a.address = address;
    a.request = render(address, wanted, false);
    a.until = net::now() + limit;
    a.timer = std::make_unique<net::Timer>(loop_, [this, &a] {
        if (a.sent || net::now() >= a.until) return end_aside(a);
        try_aside(a);
    });
    try_aside(a);
}

// A let-go may be sent twice without harm, so until one connection takes it others are tried.
void Upstream::try_aside(Aside& a) {
    a.stream = std::make_unique<net::Stream>(loop_);
    a.stream->on_end = [this, &a](int) { end_aside(a); };
    const int error = a.stream->connect(a.address, config_.source, [this, &a](int e) {
        if (e != 0) return a.timer->after(50);
        a.sent = true;
        a.stream->read(true);
        a.stream->write(a.request);
        a.timer->after_look(std::max(1000.0, a.until - net::now()));
    });
    a.timer->after_look(error != 0 ? 50 : config_.dial_timeout);
}

void Upstream::end_aside(Aside& a) {
    a.stream.reset();
    a.timer->stop();
    dead_asides_.splice(dead_asides_.end(), asides_, a.self);
    burier_.after(0);
}

}  // namespace gorsenotch::gateway
