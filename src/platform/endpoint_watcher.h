// Keeps a watch on discovery alive: the full list first, then calls that wait for changes, one after another.
//
// Three calls at most: the one in force, a successor that is tried while that one is overdue, broken or at an
// address that discovery has left, and a late one: a successor that has not answered yet, beside which others
// are tried. Either takes over with its first good answer, and until then what the old one still brings is
// taken: so no answer is missed for having been ended too soon, however slow discovery is.
//
// Times: a silent watch is found after poll_hold + overdue_slack, and the successor is tried every
// connect_timeout or full_list_timeout from then on: what the watch has missed is here well within the 6 s of
// the platform's rule, whatever else failed first. No other call is tried beside a list that comes, up to
// slow_list_timeout, as long as some of it comes within each full_list_timeout; one that has begun late or
// stops for a while has as long, beside other tries. The short times serve the return of discovery after an
// outage, when what it has counts at once: full_list_timeout and 1.5 pauses are less than the least grace of
// a drain, as what was asked during the outage may never be answered.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "http/parser.h"
#include "net/clock.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::platform {

// Ownership: its calls and their connections. Errors: none ends the watch; a row of faults is reported once.
// Threading: the event loop's thread; hooks must not destroy it.
class EndpointWatcher {
public:
    struct Config {
        // ms
        net::Millis poll_hold = 2000;     // how long discovery is asked to hold a call without changes
        net::Millis overdue_slack = 500;  // after that it is overdue
        net::Millis connect_timeout = 150;
        net::Millis full_list_timeout =
            150;                         // for the full list to come, before another call is tried beside it
        net::Millis retry_backoff = 50;  // between two tries after a fault, half to one and a half of it
        net::Millis slow_list_timeout =
            2000;  // for the full list, while it keeps coming or nothing of it has come
    };
    // Takes an answer's text; returns the version to wait beyond, or nothing where it was rejected.
    // `from_new_address`: it is the first from another address than the answers before it, whose versions say
    // nothing of this one's.
    std::function<std::optional<std::uint64_t>(const std::string&, bool from_new_address)> on_list;
    std::function<void(const std::string&)> on_fault;  // once for a row of faults, with the reason

    EndpointWatcher(net::EventLoop& loop, std::uint64_t seed, Config config);
    EndpointWatcher(net::EventLoop& loop, std::uint64_t seed) : EndpointWatcher(loop, seed, Config()) {}
    // Starts, or moves to another address; the same one again changes nothing.
    void watch_address(const std::string& address);

private:
    struct Call {
        std::unique_ptr<net::TcpStream> stream;
        std::unique_ptr<http::Parser> parser;
        std::string address;
        std::string body;
        net::Millis began = 0;
    };
    void start_call();              // a successor, now
    void start_call_after_pause();  // after a pause
    void successor_overdue();
    void send_poll(Call& call, bool full_list);
    void on_data(Call& call, std::string_view bytes);
    void on_progress(Call& call);
    void on_response(Call& call);
    void on_call_failed(Call& call, const std::string& why);
    void report_fault(const std::string& why);
    void discard(std::unique_ptr<Call>& call);

    net::EventLoop& loop_;
    const Config config_;
    std::mt19937_64 random_;
    std::string address_;                // where to ask
    std::string last_answered_address_;  // where the last good answer came from
    std::unique_ptr<Call> call_;         // the one in force
    std::unique_ptr<Call> successor_;
    std::unique_ptr<Call> late_call_;
    std::vector<std::unique_ptr<Call>>
        closed_calls_;  // closed in a callback of their own; freed by the next turn
    net::Timer overdue_timer_;
    net::Timer retry_timer_;
    net::Timer cleanup_timer_;
    std::optional<std::uint64_t> known_version_;
    bool fault_reported_ = false;  // of the faults since the last good answer
};

}  // namespace gorsenotch::platform
