// Records sorted by what they speak of: attempts at engines, states held there, clients' requests, faults
// made by the runner. The checks of invariants read this alone.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gorsenotch/settings.h"
#include "invariants/record.h"
#include "invariants/record_checker.h"

namespace gorsenotch::invariants {

constexpr Millis kNever = 1e18;

// A span of time, in ms.
struct Interval {
    Millis from = 0;
    Millis to = kNever;
};

// An attempt as an engine saw it.
struct EngineAttempt {
    const Record* received = nullptr;
    long server = 0;
    bool ran = false;        // at all, as a repeat of a known key too
    bool first_run = false;  // not as a repeat
    Interval open;
    std::string ending;  // as recorded; empty while it is open
};

// What an engine held for a request until it was taken or released.
struct HeldState {
    std::string id;  // of the attempt that left it
    long server = 0;
    const Record* record = nullptr;
    Interval held;
};

// A request as its client saw it. Times below 0: it did not happen.
struct ClientRequest {
    const Record* record = nullptr;  // of its beginning; null if that was not recorded
    std::string cls, turn, gateway, request, ending, text;
    Millis at = 0;
    Millis deadline = 0;
    Millis first = -1;     // token
    Millis answered = -1;  // finally
    Millis ended = -1;
    int answers = 0;
    int status = 0;
    bool gone = false;     // the client left
    bool lost = false;     // the connection broke
    bool overdue = false;  // the client gave up after the deadline
    bool after = false;    // bytes came after the final answer
    bool stream = false;
};

std::string request_of(const std::string& attempt_id);

// Owns the sorted view; refers to the records and settings, which must outlive it.
class RecordIndex {
public:
    RecordIndex(const std::vector<Record>& records, const CheckerSettings& settings);

    const std::vector<Record>& records() const { return records_; }
    const CheckerSettings& settings() const { return settings_; }
    // Null if there is no such class.
    const ClassSettings* class_settings(const std::string& cls) const;

    const std::map<std::string, std::vector<EngineAttempt>>& attempts() const { return attempts_; }
    const std::vector<EngineAttempt>& attempts_of(const std::string& request) const;
    const EngineAttempt* attempt(const std::string& id) const;
    const std::vector<HeldState>& held_states() const { return held_states_; }
    // By file and number of the client.
    const std::map<std::string, ClientRequest>& clients() const { return clients_; }
    // By the request's id; of several clients with one, the last.
    std::map<std::string, const ClientRequest*> clients_by_request() const;
    // By server.
    const std::map<long, std::vector<const Record*>>& starts() const { return starts_; }
    const std::map<long, std::vector<const Record*>>& listed_modes() const { return listed_modes_; }

    // The gateway whose process made the request's id; null where no client has learnt it.
    const std::string* gateway_of(const std::string& request) const;
    // Whether the gateway was killed in the interval or shortly before.
    bool killed(const std::string& gateway, Millis from, Millis to) const;
    bool any_killed_near(Millis at) const;
    // Standstills that the runner made (a stopped process).
    const std::vector<Interval>& stops(const std::string& gateway) const;
    // The standstill that covers `at`, with the time to recover from it; null if there is none.
    const Interval* stop_at(const std::string& gateway, Millis at) const;
    // How long the gateway stood still in the interval.
    Millis stopped_for(const std::string& gateway, Millis from, Millis to) const;
    // Whether the runner disturbed the server in the interval.
    bool in_trouble(long server, Millis from, Millis to) const;

private:
    // Where an attempt stands in attempts_.
    struct AttemptPosition {
        std::string request;
        std::size_t index = 0;
    };
    struct HeldKey {
        long server = 0;
        std::string id;
        bool operator<(const HeldKey& other) const {
            return server != other.server ? server < other.server : id < other.id;
        }
    };
    bool add_engine_record(const Record& record);
    bool add_runner_record(const Record& record);
    void add_client_record(const Record& record);
    void on_received(const Record& record);
    void on_run(const Record& record);
    void on_attempt_ended(const Record& record);
    void on_held(const Record& record);
    void on_held_ended(const Record& record);
    void on_server_down(const Record& record);
    EngineAttempt* find_attempt(const std::string& id);

    const std::vector<Record>& records_;
    const CheckerSettings& settings_;
    std::map<std::string, std::vector<EngineAttempt>> attempts_;  // by request
    std::map<std::string, AttemptPosition> attempt_positions_;    // by attempt id
    std::vector<HeldState> held_states_;
    std::map<HeldKey, std::size_t> open_held_;  // index in held_states_
    std::map<std::string, ClientRequest> clients_;
    std::map<long, std::vector<const Record*>> starts_;
    std::map<long, std::vector<const Record*>> listed_modes_;
    std::map<std::string, std::vector<Interval>> kills_;     // by gateway
    std::map<std::string, std::vector<Interval>> stops_;     // by gateway
    std::map<long, std::vector<Interval>> troubles_;         // by server
    std::map<std::string, std::string> gateway_of_process_;  // by the beginning of its requests' ids
};

}  // namespace gorsenotch::invariants
