#include "platform/relay.h"

#include <algorithm>
#include <charconv>

#include "decide/overloaded.h"

namespace gorsenotch::platform {
namespace {

// A begun stream whose server says nothing for so long is broken. Below the 5 s within which a client must
// see its end, above what a server eight times too slow takes for a few tokens.
constexpr Millis kSilence = 4000;
// Parts of the time that the settings allow for a release: for a call to be answered before another server is
// asked, until the second release after a read was cut off, and beyond it for the last calls.
constexpr double kReleaseTry = 0.15, kReleaseAgain = 0.35, kReleaseOver = 0.2;
constexpr std::size_t kReleaseMost = 4;  // calls begun in one try

// A call without a body about what is held for a request.
std::string room_call(const char* method, const std::string& txn, const std::string& dial) {
    return http::request_head(method, "/bootstrap/rooms/" + txn, {{"host", dial}, {"content-length", "0"}});
}

}  // namespace

Relay::Relay(const drill::Named& named, std::uint64_t seed, Hosts& hosts, Ports& ports)
    : named_(named),
      hosts_(hosts),
      ports_(ports),
      driver_(named.settings, seed, &Request::alarms, &Request::timeouts),
      access_(named.settings) {
    driver_.now = [this] { return ports_.now(); };
    driver_.carry = [this](const Action& a) { carry(a); };
    driver_.rest = [this] { rest(); };
    driver_.due = [this](const Driver::Alarm& a) { due(a); };
}

Relay::Request* Relay::find(std::uint64_t handle) {
    const auto it = requests_.find(handle);
    return it == requests_.end() ? nullptr : &it->second;
}

Relay::Request* Relay::find(const RequestId& id) {
    std::uint64_t handle = 0;
    std::from_chars(id.data(), id.data() + id.size(), handle);
    return find(handle);
}

Relay::Try* Relay::find_try(Request* r, int attempt) {
    if (!r || attempt < 0 || static_cast<std::size_t>(attempt) >= r->tries.size()) return nullptr;
    return &r->tries[static_cast<std::size_t>(attempt)];
}

bool Relay::busy(const Request& r) {
    return std::any_of(r.tries.begin(), r.tries.end(), [](const Try& t) { return t.out; });
}

bool Relay::begun(const Request& r) { return !r.tries.empty() && r.tries.back().first; }

bool Relay::may_send(ServerId server) {
    const Host* host = hosts_.find(server);
    return host && host->entry.mode == Mode::healthy;
}

// Guards against an attempt that was right when it was decided and is wrong when its connection is up: the
// client has gone (its close may wait unread behind other work), the request has its answer, the server
// drains, the time or the window for repeats is over. Covers every wait between decision and first byte.
// Costs one system call each time.
bool Relay::may_begin(std::uint64_t handle, ServerId server, Millis send_by) {
    Request* r = find(handle);
    if (!r || r->closed) return false;
    if (r->client && r->client->has_left()) {
        left(*r);
        return false;
    }
    return may_send(server) && (send_by <= 0 || ports_.now() < send_by);
}

// ---- what comes in --------------------------------------------------------------------------------------

void Relay::list(ListEvent e) { driver_.feed(std::move(e)); }

std::uint64_t Relay::arrive(Inbound in, Millis age, Client* client) {
    driver_.catch_up();
    if (open(in.txn)) return 0;
    const Millis now = ports_.now();
    const std::uint64_t handle = ++last_;
    Arrival a = in.arrival;
    a.request = std::to_string(handle);
    a.deadline = now - age + in.arrival.deadline;
    txns_.insert(in.txn);
    Request& r = requests_[handle];
    r.in = std::move(in);
    r.handle = handle, r.client = client, r.arrived = now - age, r.deadline = a.deadline;
    ++counts_.arrived;
    driver_.feed(std::move(a));
    return handle;
}

void Relay::client_gone(std::uint64_t handle) {
    driver_.catch_up();
    Request* r = find(handle);
    if (!r || r->closed) return;
    left(*r);
    driver_.feed(ClientGone{std::to_string(handle)});
    if ((r = find(handle))) end_stream(*r, "the client left");
}

void Relay::left(Request& r) {
    ++counts_.gone;
    tell(r, Fate::gone);
    r.client = nullptr;
    close(r);
}

void Relay::client_congested(std::uint64_t handle, bool congested) {
    Request* r = find(handle);
    if (!r || r->congested == congested) return;
    r->congested = congested;
    if (!begun(*r) || !r->tries.back().out) return;
    r->tries.back().heard = ports_.now();
    ports_.pause(*r->tries.back().attempt, congested);
}

// ---- the Router's actions -------------------------------------------------------------------------------

void Relay::carry(const Action& action) {
    std::visit(Overloaded{[&](const gorsenotch::Attempt& a) { start(a); },
                          [&](const StopAttempt& a) {
                              Try* t = find_try(find(a.request), a.attempt);
                              if (t && t->out && !t->first) stop(*t, Result::cancelled, "called off");
                          },
                          [&](const HoldPlace& a) { hold(a); },
                          [&](const DropState& a) {
                              if (Request* r = find(a.request)) drop(*r);
                          },
                          [&](const Refuse& a) {
                              if (Request* r = find(a.request)) {
                                  if (!r->closed) ++counts_.refused;
                                  final(*r, 503, named_.settings.retry_after ? a.pause : 0, "refused");
                              }
                          },
                          [&](const Fail& a) {
                              if (Request* r = find(a.request)) {
                                  if (!r->closed) ++counts_.failed;
                                  final(*r, 502, 0, "failed; it may have run");
                              }
                          },
                          [&](const MoveStream& a) {
                              Request* r = find(a.request);
                              if (r && !r->closed) move(*r, "moved");
                          },
                          [&](const Log& a) { ports_.log("debug", "router", a.text); },
                          // Timers are the driver's; probes are not spoken here; the watch is always open.
                          [&](const SetTimer&) {}, [&](const Probe&) {}, [&](const Subscribe&) {},
                          [&](const FetchList&) {}},
               action);
}

void Relay::start(const gorsenotch::Attempt& a) {
    Request* r = find(a.request);
    if (!r) return;
    const std::uint64_t handle = r->handle;
    const int n = static_cast<int>(r->tries.size());
    const Millis now = ports_.now();
    const Host* host = hosts_.find(a.server);
    Try t;
    t.server = a.server;
    t.sent = t.heard = now;
    t.time = driver_.begin(a.limit, r->deadline);
    if (!may_begin(handle, a.server, a.send_by)) {
        t.out = false;
        r->tries.push_back(std::move(t));
        Outcome o;
        o.request = a.request, o.attempt = n, o.server = a.server, o.result = Result::not_sent;
        o.closed = r->closed;
        ++counts_.results[static_cast<int>(o.result)];
        return driver_.feed(std::move(o));
    }
    t.read = named_.settings.kinds[static_cast<std::size_t>(host->entry.kind)].role == Role::read;
    t.attempt = std::make_shared<Attempt>(t.read ? Attempt::Kind::read : Attempt::Kind::write);
    t.attempt->on_go = [this, handle, server = a.server, by = a.send_by] {
        return may_begin(handle, server, by);
    };
    t.attempt->on_handed = [this, handle, n] {
        if (Try* it = find_try(find(handle), n)) driver_.handed(it->time);
    };
    t.attempt->on_first = [this, handle, n](std::string_view events) { first(handle, n, events); };
    t.attempt->on_more = [this, handle, n](std::string_view events) { more(handle, n, events); };
    t.attempt->on_over = [this, handle, n](const Ending& e) { over(handle, n, e); };
    if (t.read || releases_.count(r->release)) r->pinned = true;
    if (t.read) r->holder = a.server;
    withdraw_release(r->release);
    std::string request;
    request.reserve(r->in.head.size() + r->in.body.size() + 128);
    request.append(r->in.head);
    // Guards against a server that is told more time than is left: the connection may take long to come up.
    t.attempt->on_stamp = [this, handle, n, at = request.size()](std::string& text) {
        const Try* own = find_try(find(handle), n);
        if (!own) return;
        const decide::AttemptTime& time = own->time;
        const Millis until = time.limit > 0 ? std::min(time.sent + time.limit, time.end) : time.end;
        const auto left = static_cast<long long>(std::max(1.0, until - ports_.now()));
        text.insert(at, "x-remaining: " + std::to_string(left) + "m\r\n");
    };
    request.append("host: ")
        .append(host->dial)
        .append("\r\ncontent-length: ")
        .append(std::to_string(r->in.body.size()))
        .append("\r\n\r\n")
        .append(r->in.body);
    driver_.alarm(Kind::limit, t.time.due(), r, n, 0, true);
    const auto attempt = t.attempt;
    const std::string address = host->dial;
    ++counts_.attempts, ++out_;
    r->tries.push_back(std::move(t));
    ports_.start(address, std::move(request), attempt);
}

// Ends an attempt from this side. Its connection is closed first: what still comes on it is nobody's.
void Relay::stop(Try& t, Result result, const char* why) {
    const auto attempt = t.attempt;
    ports_.close(*attempt);
    attempt->give_up(result, why);
}

void Relay::hold(const HoldPlace& a) {
    Request* r = find(a.request);
    if (!r || r->closed || !may_send(a.server)) return;
    const std::uint64_t handle = r->handle;
    const ServerId server = a.server;
    r->pinned = true, r->holder = server;
    r->hold = std::make_shared<Attempt>(Attempt::Kind::call);
    r->hold->on_go = [this, server] { return may_send(server); };
    r->hold->on_over = [this, handle, server](const Ending& e) {
        Request* it = find(handle);
        // 204 and no answer say nothing: a place may be held all the same, and is let go of in the end.
        if (!it || (e.status != 200 && e.status != 409)) return;
        driver_.feed(PlaceNote{std::to_string(handle), server, e.status == 200});
    };
    driver_.alarm(Kind::hold, ports_.now() + 1000, r, 0, 0, true);
    const auto call = r->hold;
    const std::string& dial = hosts_.find(server)->dial;
    ports_.start(dial, room_call("POST", r->in.txn, dial), call);
}

// Lets go of all that may be held for the request. Not while an attempt is out: it may need it, and the time
// in which it must be let go does not run.
void Relay::drop(Request& r) {
    if (busy(r) || !r.pinned) return;
    r.pinned = false;
    const std::uint64_t id = ++last_;
    Release& l = releases_[id];
    l.txn = r.in.txn, l.holder = r.holder, l.again = r.uncertain;
    l.until = ports_.now() + (1 + kReleaseOver) * release_time();
    r.uncertain = false;
    r.release = id;
    ++counts_.release;
    try_release(id);
}

Millis Relay::release_time() const {
    constexpr Millis kUnset = 1000;
    return named_.settings.release_within > 0 ? named_.settings.release_within : kUnset;
}

// Any server takes it for all: first the one that is thought to hold something, if it answered of late, then
// those that did.
void Relay::try_release(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& l = it->second;
    const Millis now = ports_.now();
    if (now >= l.until || l.withdrawn) {
        if (!l.told && !l.withdrawn) ++counts_.release_failed, ports_.log("warn", "release_failed", l.txn);
        return end_release(id);
    }
    if (now + 0.5 < l.next) return;  // an alarm of an earlier try
    l.next = now + kReleaseTry * release_time();
    driver_.alarm(Kind::release, l.next, nullptr, 0, id, true);
    // As many at once as went unanswered: when most servers are silent, one by one would take longer than is
    // allowed.
    const std::size_t at_once = std::clamp<std::size_t>(l.asked.size(), 1, kReleaseMost);
    for (std::size_t i = 0; i < at_once && releases_.count(id); ++i) {
        const Host* to = next_to_release(l);
        if (!to) return;
        l.asked.push_back(to->entry.server);
        if (l.asked.size() > 1) ++counts_.release_again;
        call_release(id, l, *to);
    }
}

// The one most likely to answer of those not asked yet; after one that did not answer rather one unlike it in
// role, zone and cell, as those fall silent together.
const Host* Relay::next_to_release(const Release& l) {
    const Millis now = ports_.now();
    const Host* best = nullptr;
    double best_worth = -1e300;
    for (const auto& [server, host] : hosts_.all()) {
        if (std::count(l.asked.begin(), l.asked.end(), server) > 0) continue;
        double worth = std::max(host.good - now, -60000.0) - (host.bad > host.good ? 1e6 : 0);
        if (ports_.connected(host.dial)) worth += 2000;
        if (server == l.holder) worth += 500;
        for (const ServerId asked : l.asked) {
            const Host* other = hosts_.find(asked);
            if (!other) continue;
            worth -= 20000.0 * (other->entry.kind == host.entry.kind);
            worth -= 10000.0 * (other->entry.zone == host.entry.zone);
            worth -= 5000.0 * (other->entry.cell == host.entry.cell);
        }
        if (worth > best_worth) best = &host, best_worth = worth;
    }
    return best;
}

void Relay::call_release(std::uint64_t id, Release& l, const Host& to) {
    const auto call = std::make_shared<Attempt>(Attempt::Kind::call);
    l.calls.push_back(call);
    call->on_over = [this, id](const Ending& e) {
        const auto at = releases_.find(id);
        if (at == releases_.end() || e.status < 200 || e.status >= 300) return;
        at->second.told = true;
        if (!at->second.again || at->second.withdrawn) return end_release(id);
        at->second.again = false;
        at->second.next = ports_.now() + kReleaseAgain * release_time();
        at->second.until = at->second.next + release_time();
        at->second.asked.clear();
        driver_.alarm(Kind::release, at->second.next, nullptr, 0, id, false);
    };
    ports_.start(to.dial, room_call("DELETE", l.txn, to.dial), call);
}

// Another attempt of the request begins: a release that went out later would take what it is to leave. What
// has gone out already comes before it, and has a little time to be answered.
void Relay::withdraw_release(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    Release& l = it->second;
    l.withdrawn = true;
    l.next = 0;
    for (const auto& call : std::vector(l.calls)) {
        if (call->over() || call->handed_over()) continue;
        call->on_over = nullptr;
        ports_.close(*call);
    }
}

// Guards against calls to a silent server that would keep their connections for good.
void Relay::end_release(std::uint64_t id) {
    const auto it = releases_.find(id);
    if (it == releases_.end()) return;
    const auto calls = std::move(it->second.calls);
    releases_.erase(it);
    for (const auto& call : calls) {
        if (call->over()) continue;
        call->on_over = nullptr;
        ports_.close(*call);
    }
}

// ---- answers --------------------------------------------------------------------------------------------

// From here the client is owed nothing; the request stays known while attempts are out.
void Relay::close(Request& r) {
    r.closed = true;
    r.in.body = std::string();
    look(r.handle);
}

// `fate`: nothing for a whole answer, whose times say how it fared.
void Relay::tell(const Request& r, std::optional<Fate> fate) {
    Passage p;
    p.txn = r.in.txn, p.cls = r.in.arrival.cls, p.prompt_tokens = r.in.arrival.prompt_tokens;
    p.tokens = r.tokens;
    p.first = r.begun < 0 ? -1 : r.begun - r.arrived;
    p.ended = ports_.now() - r.arrived;
    for (const auto& t : r.tries) {
        p.legs.push_back({{}, t.read, t.out, t.result, t.sent - r.arrived, t.ended - r.arrived});
    }
    const Fate f = fate ? *fate : access_.served(p);
    if (!access_.count(ports_.now(), f)) return;
    for (std::size_t i = 0; i < p.legs.size(); ++i) {
        const Host* host = hosts_.find(r.tries[i].server);
        p.legs[i].server = host ? host->name : "gone";
    }
    ports_.log("info", "request", access_.line(p, f));
}

void Relay::final(Request& r, int status, Millis pause, const char* why) {
    if (r.closed) return;
    tell(r, begun(r)          ? Fate::broken
            : status != 503   ? Fate::failed
            : r.tries.empty() ? Fate::refused_unsent
                              : Fate::refused);
    Client* client = r.client;
    r.client = nullptr;
    close(r);
    if (!client) return;
    if (begun(r)) return client->cut();
    client->final(status, pause, why);
}

void Relay::cut(Request& r) {
    Client* client = r.client;
    r.client = nullptr;
    close(r);
    if (client) client->cut();
}

// A stream that nobody reads any more ends.
void Relay::end_stream(Request& r, const char* why) {
    if (begun(r) && r.tries.back().out) stop(r.tries.back(), Result::cancelled, why);
}

void Relay::move(Request& r, const char* why) {
    ++counts_.moved;
    tell(r, Fate::moved);
    cut(r);
    end_stream(r, why);
}

void Relay::first(std::uint64_t handle, int attempt, std::string_view events) {
    driver_.catch_up();
    Request* r = find(handle);
    Try* t = find_try(r, attempt);
    if (!t || !t->out) return;
    t->first = true;
    t->heard = r->begun = ports_.now();
    if (Host* h = hosts_.find(t->server)) h->good = t->heard;
    r->pinned = false;  // the write has taken the state; the rest is released with it
    r->in.body = std::string();
    driver_.alarm(Kind::idle, t->heard + kSilence, r, attempt, 0, true);
    if (r->client) r->client->begin(events);
    r = find(handle);
    if (!r) return;
    t = find_try(r, attempt);
    driver_.feed(FirstToken{std::to_string(handle), attempt, t->server, t->heard - t->sent});
    if (!(r = find(handle)) || !r->closed) return;
    t = find_try(r, attempt);  // its client left before the first token
    if (t->out) stop(*t, Result::cancelled, "the client left");
}

void Relay::more(std::uint64_t handle, int attempt, std::string_view events) {
    Request* r = find(handle);
    Try* t = find_try(r, attempt);
    if (!t || !t->out || r->closed) return;
    t->heard = ports_.now();
    if (const double n = completion_tokens(events); n > 0) r->tokens = n;
    if (r->client) r->client->more(events);
}

void Relay::over(std::uint64_t handle, int attempt, const Ending& e) {
    driver_.catch_up();
    Request* r = find(handle);
    Try* t = find_try(r, attempt);
    if (!t || !t->out) return;
    t->out = false;
    --out_;
    ++counts_.results[static_cast<int>(e.result)];
    const Millis now = ports_.now();
    t->ended = now, t->result = e.result;
    if (Host* h = hosts_.find(t->server)) {
        (e.status > 0 && e.result != Result::reset ? h->good : h->bad) = now;
    }
    if (t->read && (e.result == Result::cancelled || e.result == Result::late || e.result == Result::reset))
        r->uncertain = true;
    Outcome o;
    o.request = std::to_string(handle), o.attempt = attempt, o.server = t->server, o.result = e.result;
    o.took = now - t->sent, o.note = e.note;
    if (e.begun && !r->closed) {
        tell(*r, e.result == Result::served ? std::nullopt : std::optional(Fate::broken));
        Client* client = r->client;
        r->client = nullptr;
        close(*r);
        if (e.result == Result::served) {
            ++counts_.served;
            if (client) client->done();
        } else {
            ++counts_.broken;
            if (client) client->cut();
        }
        r = find(handle);
    }
    if (r) o.closed = r->closed, look(handle);
    driver_.feed(std::move(o));
}

std::size_t Relay::streams() const {
    return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [](const auto& r) {
        return !r.second.closed && begun(r.second);
    }));
}

void Relay::hand_back(std::size_t n) {
    std::vector<std::uint64_t> handles;
    for (const auto& [handle, r] : requests_) {
        if (!r.closed && begun(r)) handles.push_back(handle);
    }
    std::sort(handles.rbegin(), handles.rend());  // the latest have the most ahead of them
    if (handles.size() > n) handles.resize(n);
    for (const auto handle : handles) {
        Request* r = find(handle);
        if (r && !r->closed) move(*r, "handed back");
    }
}

void Relay::due(const Driver::Alarm& a) {
    if (a.kind == Kind::release) return try_release(a.label);
    Request* r = a.owner;
    const Millis now = ports_.now();
    if (a.kind == Kind::hold) {
        if (r->hold && !r->hold->over()) {
            const auto call = r->hold;
            ports_.close(*call);
            call->give_up(Result::late, "no answer");
        }
        return;
    }
    Try* t = find_try(r, a.attempt);
    if (!t || !t->out) return;
    if (a.kind == Kind::limit) {
        if (t->first) return;
        if (!driver_.up(t->time)) return driver_.alarm(Kind::limit, t->time.due(), r, a.attempt, 0, true);
        stop(*t, t->time.engines_fault() ? Result::late : Result::cancelled, "no answer in time");
    } else if (a.kind == Kind::idle) {
        // Guards against a begun stream whose server went silent: nobody else would end it.
        if (r->congested) t->heard = now;
        if (t->heard + kSilence > now)
            return driver_.alarm(Kind::idle, t->heard + kSilence, r, a.attempt, 0, true);
        stop(*t, Result::reset, "the stream fell silent");
    }
}

void Relay::rest() {
    for (std::size_t i = 0; i < done_.size(); ++i) {
        Request* r = find(done_[i]);
        if (!r || !r->closed) continue;
        if (busy(*r)) continue;
        drop(*r);
        if (r->hold && !r->hold->over()) {
            const auto call = r->hold;
            call->on_over = nullptr;
            ports_.close(*call);
        }
        driver_.drop(*r);
        txns_.erase(r->in.txn);
        requests_.erase(done_[i]);
    }
    done_.clear();
}

}  // namespace gorsenotch::platform
