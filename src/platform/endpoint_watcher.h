// Watches discovery: fetches the full endpoint list, then receives changes by long polls, one after another.
//
// There are at most three polls, each on its own connection:
//   active     answered last; waits for changes
//   successor  fetches the full list while the active poll is overdue, has failed or uses an outdated address
//   late       an earlier successor that is overdue, but may still answer
// The successor or the late poll becomes the active one with its first valid response. Until then responses
// to the old active poll are accepted, so that no response is lost to an early close, however slow discovery
// is.
//
// Timing: an unresponsive poll is detected after poll_hold + overdue_slack. From then on a successor is
// started every connect_timeout or full_list_timeout, so that missed changes arrive well within the 6 s that
// the platform allows, whatever else has failed before. While a full list keeps arriving, with progress
// within each full_list_timeout, no other successor is started, for up to slow_list_timeout. A list that
// starts late or stalls has the same total time, but further successors run beside it. The short timeouts are
// for the recovery of discovery after an outage, when its list applies at once while requests sent during the
// outage may never be answered: full_list_timeout and 1.5 times retry_backoff are together less than the
// shortest drain grace period.
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

// Ownership: its polls and their connections. Errors: no error ends the watch; consecutive faults are
// reported once. Threading: the event loop's thread; hooks must not destroy it.
class EndpointWatcher {
public:
    // Times in ms.
    struct Config {
        // How long discovery is asked to hold a poll while there are no changes.
        net::Millis poll_hold = 2000;
        // A poll is overdue this long after poll_hold.
        net::Millis overdue_slack = 500;
        net::Millis connect_timeout = 150;
        // Without progress of the full list for this long, another successor is started.
        net::Millis full_list_timeout = 150;
        // Between a fault and the next successor, with a jitter of 0.5 to 1.5.
        net::Millis retry_backoff = 50;
        // For a full list that keeps arriving, or of which nothing has arrived yet.
        net::Millis slow_list_timeout = 2000;
    };
    // Receives the text of a response; returns the version after which to poll, or nothing if the text was
    // rejected. `from_new_address`: the first response from another address than before, so that its version
    // cannot be compared with earlier ones.
    std::function<std::optional<std::uint64_t>(const std::string&, bool from_new_address)> on_list;
    std::function<void(const std::string&)> on_fault;  // once for consecutive faults, with the reason

    EndpointWatcher(net::EventLoop& loop, std::uint64_t seed, Config config);
    EndpointWatcher(net::EventLoop& loop, std::uint64_t seed) : EndpointWatcher(loop, seed, Config()) {}
    // Starts the watch, or moves it to another address. Has no effect for the current address.
    void watch_address(const std::string& address);

private:
    struct Poll {
        std::unique_ptr<net::TcpStream> stream;
        std::unique_ptr<http::Parser> parser;
        std::string address;
        std::string body;
        net::Millis started_at = 0;
    };
    void start_successor();
    void schedule_successor();  // after retry_backoff
    void on_successor_overdue();
    void send_poll(Poll& poll, bool full_list);
    void on_data(Poll& poll, std::string_view bytes);
    void on_progress(Poll& poll);
    void on_response(Poll& poll);
    void on_poll_failed(Poll& poll, const std::string& reason);
    void report_fault(const std::string& reason);
    void discard(std::unique_ptr<Poll>& poll);

    net::EventLoop& loop_;
    const Config config_;
    std::mt19937_64 random_;
    std::string address_;                // of discovery
    std::string last_answered_address_;  // the source of the last valid response
    std::unique_ptr<Poll> active_;
    std::unique_ptr<Poll> successor_;
    std::unique_ptr<Poll> late_;
    // Polls closed within their own callbacks; freed in the next iteration of the event loop.
    std::vector<std::unique_ptr<Poll>> closed_polls_;
    net::Timer overdue_timer_;
    net::Timer retry_timer_;
    net::Timer cleanup_timer_;
    std::optional<std::uint64_t> known_version_;
    bool fault_reported_ = false;  // since the last valid response
};

}  // namespace gorsenotch::platform
