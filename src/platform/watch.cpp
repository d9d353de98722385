#include "platform/watch.h"

#include <algorithm>

namespace gorsenotch::platform {
namespace {

constexpr net::Millis kHold = 10000, kSlack = 1500, kWhole = 1500, kDial = 1000;
constexpr std::size_t kMost = 8 << 20;  // bytes of a list

}  // namespace

Watch::Watch(net::Loop& loop, std::uint64_t seed)
    : loop_(loop),
      random_(seed),
      timer_(loop,
             [this] {
                 if (stream_) return fault("no answer in time");
                 connect();
             }),
      burier_(loop, [this] { old_.reset(); }) {}

void Watch::point(const std::string& address) {
    if (address == address_ && stream_) return;
    address_ = address;
    faults_ = 0;
    from_.reset();
    stream_.reset();
    connect();
}

void Watch::connect() {
    stream_ = std::make_unique<net::Stream>(loop_);
    parser_ =
        std::make_unique<http::Parser>(http::Parser::Kind::response, http::Limits{16 * 1024, 100, kMost});
    body_.clear();
    parser_->on_body = [this](std::string_view b) { body_.append(b); };
    stream_->on_data = [this](std::string_view b) { data(b); };
    stream_->on_end = [this](int code) { fault(net::text(code)); };
    timer_.after_look(kDial);
    const int e = stream_->connect(address_, "", [this](int code) {
        if (code != 0) return fault(net::text(code));
        stream_->read(true);
        ask();
    });
    if (e != 0) fault(net::text(e));
}

void Watch::ask() {
    std::string target = "/api/targets";
    if (from_) {
        target += "?from=" + std::to_string(*from_) + "&hold_ms=" + std::to_string(static_cast<long>(kHold));
    }
    timer_.after_look(from_ ? kHold + kSlack : kWhole);
    stream_->write(http::request_head("GET", target, {{"host", address_}}));
}

void Watch::data(std::string_view bytes) {
    const std::size_t taken = parser_->feed(bytes);
    if (parser_->fault() != http::Fault::none) return fault("the answer can't be read");
    if (!parser_->complete()) return;
    if (taken < bytes.size()) return fault("more than one answer");
    if (parser_->status < 200) return;
    if (parser_->status != 200) return fault("status " + std::to_string(parser_->status));
    const std::string body = std::move(body_);
    body_.clear();
    const bool keep = parser_->keep_alive;
    from_ = on_list(body);
    if (!from_) return fault("");  // told by who refused it
    faults_ = 0;
    if (keep) return ask();
    old_ = std::move(stream_);
    burier_.after(0);
    connect();
}

// What is held goes on; the next try is soon, as what discovery has to tell counts as told.
void Watch::fault(const std::string& why) {
    if (faults_++ == 0 && !why.empty() && on_fault) on_fault(why);
    from_.reset();
    old_ = std::move(stream_);
    burier_.after(0);
    const double jitter = 0.5 + static_cast<double>(random_() >> 11) * 0x1p-53;
    timer_.after(std::min(400.0, 20.0 * (1 << std::min(faults_, 5))) * jitter);
}

}  // namespace gorsenotch::platform
