// Watches the events that go into a Router and the actions that come out, and notes every breach of the five
// rules. It models no servers: what an attempt does is up to the test.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "gorsenotch/logic.h"

namespace gorsenotch::test {

class Checker {
public:
    explicit Checker(const Settings& settings) : s_(settings) {}

    void event(Millis now, const Event& event);
    void action(Millis now, const Action& action);
    void time(Millis now);  // notes what has become overdue

    std::vector<std::string> breaches;
    double capacity_per_s = 42;  // requests a second that a warm server can do, for the cold rule

private:
    struct Try {
        EndpointId server = 0;
        Millis sent = 0;
        bool out = true, proven_not_run = false, reader = false;
    };
    struct Request {
        Arrival a;
        bool ended = false, begun = false, state = false, place = false;
        Millis pinned_since = 0;
        std::vector<Try> tries;
    };
    struct Server {
        Endpoint entry;
        Millis told_gone = -1;
        std::deque<Millis> sends;
    };
    int out(const Request& r) const;
    void breach(Millis now, const std::string& what);
    void send(Millis now, EndpointId server);
    void end(Millis now, const RequestId& id, bool refusal);
    Role role(EndpointId server) const;

    Settings s_;
    std::map<RequestId, Request> requests_;
    std::map<EndpointId, Server> servers_;
};

// A Router under the checker, with the actions of the latest event at hand.
class Bench {
public:
    explicit Bench(const Settings& s, std::uint64_t seed = 1) : settings(s), checker(s), router(s, seed) {}

    const std::vector<Action>& feed(Millis now, const Event& event);
    // Delivers all timers up to `now`; the actions gather in `actions`.
    void run_to(Millis now);

    template <class T>
    std::vector<T> all() const {
        std::vector<T> found;
        for (const auto& reject : actions) {
            if (const T* t = std::get_if<T>(&reject)) found.push_back(*t);
        }
        return found;
    }

    Settings settings;
    Checker checker;
    Router router;
    std::vector<Action> actions;
    std::multimap<Millis, std::uint64_t> timers;
};

// Two readers (1, 2), two writers (11, 12), two zones and cells; every class repeatable.
Settings plain_settings();
EndpointUpdate list(const std::vector<Endpoint>& entries);
Endpoint reader(EndpointId id, int zone = 0);
Endpoint writer(EndpointId id, int zone = 0);
Arrival arrival(const RequestId& id, Millis now, double prompt = 1000);
AttemptEnded outcome(const RequestId& id, int attempt, EndpointId server, AttemptResult result,
                     bool closed = false);

}  // namespace gorsenotch::test
