#include "proxy/connection_pool.h"

#include <algorithm>

#include "net/socket_error.h"

namespace gorsenotch::proxy {
namespace {
// Until a connection is tried again that failed for want of this host's resources.
constexpr Millis kDialPause = 10;
}  // namespace

struct Upstream::Link {
    std::unique_ptr<net::Stream> stream;
    std::unique_ptr<net::Timer> dial;
    std::string address, request;
    std::shared_ptr<Carried> carried;
    Links::iterator self;
    Millis dial_until = 0;  // by then its connection is up, or the attempt is given up
    Millis idle_since = 0;
    Millis idle_for = -1;  // before the request it carries; below 0: it is new
    bool heard = false;    // a byte of the answer has come
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
      cleanup_(loop, [this] { cleanup(); }) {}
Upstream::~Upstream() = default;

std::string Upstream::render(const std::string& address, const engine::Wanted& w, bool keep) {
    http::Headers headers = {{"host", address},
                             {"connection", keep ? "keep-alive" : "close"},
                             {"content-length", std::to_string(w.body.size())}};
    headers.insert(headers.end(), w.headers.begin(), w.headers.end());
    return http::request_head(w.method, w.target, headers) + w.body;
}

// Guards against an answer behind an answer taken for the next one: a connection is not used in the turn in
// which its last answer ended. May open one connection more where requests follow at once.
Upstream::Link* Upstream::spare(const std::string& address) {
    const auto it = idle_.find(address);
    if (it == idle_.end()) return nullptr;
    const double draw = std::uniform_real_distribution<double>()(random_);  // one for all that are at hand
    for (std::size_t i = it->second.size(); i-- > 0;) {
        Link* link = it->second[i];
        if (config_.rested && link->idle_since > loop_.looked()) continue;
        const Millis idle = net::now() - link->idle_since;
        if (config_.learn && !reuse_.should_reuse(idle, draw)) continue;
        // Guards against a request written to a connection that the server has closed, or has sent something
        // on, which has not been read yet. Costs one system call a request.
        if (link->stream->unread()) continue;
        link->idle_for = idle, link->heard = false;
        it->second.erase(it->second.begin() + static_cast<std::ptrdiff_t>(i));
        return link;
    }
    return nullptr;
}

bool Upstream::idle_at(const std::string& address) const {
    const auto it = idle_.find(address);
    return it != idle_.end() && !it->second.empty();
}

bool Upstream::make_room() {
    if (all_.size() < config_.most) return true;
    Link* oldest = nullptr;
    for (const auto& [address, links] : idle_) {
        for (Link* l : links) {
            if (!oldest || l->idle_since < oldest->idle_since) oldest = l;
        }
    }
    if (!oldest) return false;
    erase(*oldest, LinkEnd::made_room);
    return true;
}

void Upstream::start(const std::string& address, std::string request, std::shared_ptr<Carried> carried,
                     bool fresh) {
    if (Link* link = fresh ? nullptr : spare(address)) {
        link->idle = false;
        link->carried = std::move(carried);
        by_carried_[link->carried.get()] = link;
        return attach(*link, std::move(request));
    }
    const bool room = make_room();
    all_.push_back(std::make_unique<Link>());
    Link& link = *all_.back();
    link.self = std::prev(all_.end());
    link.address = address;
    link.request = std::move(request);
    link.carried = std::move(carried);
    by_carried_[link.carried.get()] = &link;
    if (!room) {
        link.dial = std::make_unique<net::Timer>(loop_, [this, &link] { connected(link, UV_EMFILE); });
        return link.dial->after(0);
    }
    link.dial_until = net::now() + config_.dial_timeout;
    dial(link);
}

// Opens the link's connection. Whatever the outcome, it is told by the loop's next turn: callers of start()
// may not be called back from here.
void Upstream::dial(Link& link) {
    link.stream = std::make_unique<net::Stream>(loop_);
    link.stream->on_data = [this, &link](std::string_view b) { data(link, b); };
    link.stream->on_end = [this, &link](int) { ended(link); };
    const int error =
        link.stream->connect(link.address, config_.source, [this, &link](int e) { connected(link, e); });
    link.dial = std::make_unique<net::Timer>(
        loop_, [this, &link, error] { connected(link, error != 0 ? error : UV_ETIMEDOUT); });
    if (error != 0) {
        link.dial->after(0);
    } else {
        link.dial->after_look(std::max(0.0, link.dial_until - net::now()));
    }
}

void Upstream::connected(Link& link, int error) {
    if (link.gone || link.connected) return;
    if (link.dial) link.dial->stop();
    if (error != 0) {
        // Guards against a server blamed, or an attempt lost, for what this host is short of for a moment.
        const auto what = net::classify_connect_error(error);
        const bool own = what == net::ErrorClass::host_resources || what == net::ErrorClass::retry_now;
        if (own && link.stream && net::now() + kDialPause < link.dial_until) {
            link.dial = std::make_unique<net::Timer>(loop_, [this, &link] {
                if (!link.gone) dial(link);
            });
            return link.dial->after(kDialPause);
        }
        const auto carried = link.carried;
        erase(link, LinkEnd::dial_failed);
        if (own) return carried->not_sent();
        return carried->refused_dial();
    }
    link.connected = true;
    attach(link, std::move(link.request));
}

void Upstream::attach(Link& link, std::string request) {
    const auto carried = link.carried;
    if (!carried->may_go()) {
        // Nothing has been written: the connection stays good.
        by_carried_.erase(carried.get());
        link.carried.reset();
        link.stream->read(true);
        keep(link);
        return carried->not_sent();
    }
    carried->stamp(request);
    carried->sent();
    link.stream->read(true);
    link.stream->on_drain = [&link] {
        link.stream->on_drain = nullptr;
        if (link.carried) link.carried->handed();
    };
    link.stream->write(std::move(request));
    if (link.stream->queued() > 0) return;
    link.stream->on_drain = nullptr;
    carried->handed();
}

void Upstream::told(const Link& link, bool broke) {
    reuse_.on_request_ended(link.idle_for, broke);
    ++(link.idle_for < 0 ? tally_.fresh : tally_.kept);
    if (broke) ++(link.idle_for < 0 ? tally_.fresh_broke : tally_.kept_broke);
}

void Upstream::data(Link& link, std::string_view bytes) {
    if (link.gone) return;
    const net::Doing doing(loop_, "engines");
    if (link.idle || !link.carried) return erase(link, LinkEnd::unasked_bytes);
    const auto carried = link.carried;
    if (!std::exchange(link.heard, true)) told(link, false);
    carried->data(bytes);
    if (!link.gone) settle(link);
}

void Upstream::ended(Link& link) {
    if (link.gone) return;
    const auto carried = link.carried;
    if (carried && link.connected && !link.heard) told(link, true);
    erase(link, link.connected ? LinkEnd::peer : LinkEnd::dial_failed);
    if (carried) carried->ended();
}

void Upstream::settle(Link& link) {
    if (!link.carried || !link.carried->over()) return;
    if (link.carried->lingering()) return;
    if (!link.carried->reusable() || idle_[link.address].size() >= config_.max_idle)
        return erase(link, LinkEnd::not_reusable);
    by_carried_.erase(link.carried.get());
    link.carried.reset();
    keep(link);
}

void Upstream::keep(Link& link) {
    link.idle = true;
    link.idle_since = net::now();
    if (link.paused) link.paused = false, link.stream->read(true);
    idle_[link.address].push_back(&link);
    if (!sweeping_) sweeping_ = true, sweeper_.after(config_.idle);
}

void Upstream::erase(Link& link, LinkEnd why) {
    if (link.gone) return;
    ++tally_.ended[static_cast<std::size_t>(why)];
    link.gone = true;
    if (link.carried) by_carried_.erase(link.carried.get());
    if (link.idle) std::erase(idle_[link.address], &link);
    link.carried.reset();
    link.stream.reset();
    dead_.splice(dead_.end(), all_, link.self);
    cleanup_.after(0);
}

void Upstream::cleanup() {
    dead_.clear();
    dead_asides_.clear();
}

void Upstream::sweep() {
    const Millis now = net::now();
    bool left = false;
    for (auto& [address, links] : idle_) {
        for (std::size_t i = links.size(); i-- > 0;) {
            if (now - links[i]->idle_since >= config_.idle) erase(*links[i], LinkEnd::idle);
        }
        left |= !links.empty();
    }
    std::erase_if(idle_, [](const auto& of) { return of.second.empty(); });
    sweeping_ = left;
    if (left) sweeper_.after(config_.idle / 4);
}

void Upstream::pause(const Carried& carried, bool on) {
    const auto it = by_carried_.find(&carried);
    if (it == by_carried_.end() || it->second->gone || !it->second->connected) return;
    it->second->paused = on;
    it->second->stream->read(!on);
}

void Upstream::close(const Carried& carried) {
    const auto it = by_carried_.find(&carried);
    if (it != by_carried_.end()) erase(*it->second, LinkEnd::called_off);
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
    cleanup_.after(0);
}

}  // namespace gorsenotch::proxy
