#include "platform/endpoint_watcher.h"

#include <algorithm>
#include <utility>

namespace gorsenotch::platform {
namespace {

constexpr std::size_t kMost = 8 << 20;  // bytes of a list

}  // namespace

Watch::Watch(net::Loop& loop, std::uint64_t seed, Config config)
    : loop_(loop),
      config_(config),
      random_(seed),
      overdue_(loop,
               [this] {
                   if (!call_) return;
                   // It may only be late: it stays until another one has answered.
                   tell("no answer in time");
                   if (!successor_) begin();
               }),
      retry_(loop,
             [this] {
                 if (successor_) return successor_overdue();
                 begin();
             }),
      cleanup_(loop, [this] { dead_.clear(); }) {}

void Watch::point(const std::string& address) {
    if (address == address_ && (call_ || successor_)) return;
    address_ = address;
    told_ = false;
    drop(successor_);
    drop(late_);
    begin();
}

// Guards against a discovery that is slower than the time between two tries and would never be heard. May do
// harm by a call more at an agent that is crowded.
void Watch::successor_overdue() {
    const bool spent = late_ && net::now() - late_->began >= config_.slowest;
    if (spent) drop(late_);
    if (late_) return fault(*successor_, "no answer in time");
    tell("no answer in time");
    late_ = std::move(successor_);
    begin_soon();
}

void Watch::begin() {
    successor_ = std::make_unique<Call>();
    Call& c = *successor_;
    c.address = address_;
    c.began = net::now();
    c.stream = std::make_unique<net::Stream>(loop_);
    c.parser =
        std::make_unique<http::Parser>(http::Parser::Kind::response, http::Limits{16 * 1024, 100, kMost});
    c.parser->on_body = [&c](std::string_view b) { c.body.append(b); };
    c.stream->on_data = [this, &c](std::string_view b) { data(c, b); };
    c.stream->on_end = [this, &c](int code) { fault(c, net::text(code)); };
    retry_.after_look(config_.dial);
    const int e = c.stream->connect(c.address, "", [this, &c](int code) {
        if (code != 0) return fault(c, net::text(code));
        c.stream->read(true);
        retry_.after_look(config_.whole);
        ask(c, true);
    });
    if (e != 0) fault(c, net::text(e));
}

void Watch::begin_soon() {
    const double jitter = 0.5 + static_cast<double>(random_() >> 11) * 0x1p-53;
    retry_.after(config_.pause * jitter);
}

void Watch::ask(Call& call, bool whole) {
    std::string target = "/api/targets";
    if (!whole) {
        target +=
            "?from=" + std::to_string(*from_) + "&hold_ms=" + std::to_string(static_cast<long>(config_.hold));
    }
    call.stream->write(http::request_head("GET", target, {{"host", call.address}}));
}

void Watch::data(Call& call, std::string_view bytes) {
    while (!bytes.empty()) {
        bytes.remove_prefix(std::min(bytes.size(), call.parser->feed(bytes)));
        if (call.parser->fault() != http::Fault::none) return fault(call, "the answer can't be read");
        if (!call.parser->complete()) return progressed(call);
        if (call.parser->status < 200) continue;
        if (!bytes.empty()) return fault(call, "more than one answer");
        return answer(call);
    }
}

// Guards against a list that comes slowly, in pieces or to a starved process, and is given up each time: then
// no list would ever be taken. May do harm by one that trickles, up to `slowest` each time.
void Watch::progressed(Call& call) {
    if (&call == successor_.get() && net::now() - call.began < config_.slowest)
        retry_.after_look(config_.whole);
}

void Watch::answer(Call& call) {
    if (call.parser->status != 200) return fault(call, "status " + std::to_string(call.parser->status));
    const std::string body = std::move(call.body);
    call.body.clear();
    const auto from = on_list(body, !answered_.empty() && answered_ != call.address);
    if (!from) return fault(call, "");  // told by who refused it
    from_ = from;
    answered_ = call.address;
    told_ = false;
    if (&call != call_.get()) {
        drop(call_);
        call_ = std::move(&call == late_.get() ? late_ : successor_);
    }
    if (call.address == address_) {  // the others are needed no more
        drop(successor_);
        drop(late_);
        retry_.stop();
    }
    if (!call.parser->keep_alive) return fault(call, "");
    overdue_.after_look(config_.hold + config_.slack);
    ask(call, false);
}

// What is held goes on; the next try is soon, as what discovery has to tell counts as told.
void Watch::fault(Call& call, const std::string& why) {
    if (!why.empty()) tell(why);
    if (&call == successor_.get()) {
        drop(successor_);
        return begin_soon();
    }
    if (&call == late_.get()) return drop(late_);
    drop(call_);
    overdue_.stop();
    if (!successor_) begin_soon();
}

void Watch::tell(const std::string& why) {
    if (std::exchange(told_, true)) return;
    if (on_fault) on_fault(why);
}

void Watch::drop(std::unique_ptr<Call>& call) {
    if (!call) return;
    call->stream.reset();
    dead_.push_back(std::move(call));
    cleanup_.after(0);
}

}  // namespace gorsenotch::platform
