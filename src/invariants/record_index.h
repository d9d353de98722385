// Records indexed by subject: attempts at engines, leased KV states, requests of clients and faults injected
// by the runner. The checks of the invariants read this index only.
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

// A time interval in ms.
struct Interval {
    Millis from = 0;
    Millis to = kNever;
};

// An attempt as recorded by an engine.
struct EngineAttempt {
    const Record* received = nullptr;
    long server = 0;
    bool ran = false;        // including as a duplicate of a known idempotency key
    bool first_run = false;  // not as a duplicate
    Interval open;
    std::string ending;  // reason as recorded, or left or down; empty while it is open
};

// A KV state that an engine stored until it was fetched, released or its lease expired.
struct LeasedState {
    std::string id;  // of the prefill attempt
    long server = 0;
    const Record* record = nullptr;
    Interval leased;
};

// A request as recorded by its client. Times below 0: it did not happen.
struct ClientRequest {
    const Record* record = nullptr;  // of its start; null if that was not recorded
    std::string cls, turn, gateway, request, ending, text;
    Millis started_at = 0;
    Millis deadline = 0;
    Millis first_token_at = -1;
    Millis answered_at = -1;  // final answer
    Millis ended_at = -1;
    int answers = 0;
    int status = 0;
    bool disconnected = false;      // closed by the client
    bool connection_lost = false;   // closed without an answer
    bool timed_out = false;         // no answer by the deadline plus the client's margin
    bool unexpected_bytes = false;  // received bytes after the final answer
    bool stream = false;
};

// The request id of an attempt id, REQUEST.NUMBER.
std::string request_of(const std::string& attempt_id);

// Owns the index; refers to the records and settings, which must outlive it.
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
    const std::vector<LeasedState>& leased_states() const { return leased_states_; }
    // By FILE/NUMBER of the client's attempt.
    const std::map<std::string, ClientRequest>& clients() const { return clients_; }
    // By request id; if several clients have the same id, the last one.
    std::map<std::string, const ClientRequest*> clients_by_request() const;
    // By server: `up` records and `told` records.
    const std::map<long, std::vector<const Record*>>& starts() const { return starts_; }
    const std::map<long, std::vector<const Record*>>& listed_modes() const { return listed_modes_; }

    // The gateway whose process assigned the request id; null if no client received an id of that process.
    const std::string* gateway_of(const std::string& request) const;
    // True if the runner had killed the gateway and not yet restarted it at any time in the interval.
    bool gateway_killed(const std::string& gateway, Millis from, Millis to) const;
    // True if the runner killed any gateway within 10 s of `at`; for requests whose gateway is not known.
    bool any_gateway_killed_near(Millis at) const;
    // Suspensions of the gateway by the runner (SIGSTOP).
    const std::vector<Interval>& suspensions(const std::string& gateway) const;
    // The suspension, extended by suspension_recovery, that covers `at`; null if there is none.
    const Interval* suspension_at(const std::string& gateway, Millis at) const;
    // How long the gateway was suspended within the interval.
    Millis suspended_time(const std::string& gateway, Millis from, Millis to) const;
    // True if a fault of the server (a `trouble` record) overlaps the interval.
    bool has_server_fault(long server, Millis from, Millis to) const;

private:
    // The position of an attempt in attempts_.
    struct AttemptLocation {
        std::string request;
        std::size_t index = 0;
    };
    struct LeaseKey {
        long server = 0;
        std::string id;
        bool operator<(const LeaseKey& other) const {
            return server != other.server ? server < other.server : id < other.id;
        }
    };
    bool add_engine_record(const Record& record);
    bool add_runner_record(const Record& record);
    void add_client_record(const Record& record);
    void on_received(const Record& record);
    void on_run(const Record& record);
    void on_attempt_ended(const Record& record);
    void on_lease_started(const Record& record);
    void on_lease_ended(const Record& record);
    void on_server_down(const Record& record);
    EngineAttempt* find_attempt(const std::string& id);

    const std::vector<Record>& records_;
    const CheckerSettings& settings_;
    std::map<std::string, std::vector<EngineAttempt>> attempts_;  // by request
    std::map<std::string, AttemptLocation> attempt_locations_;    // by attempt id
    std::vector<LeasedState> leased_states_;
    std::map<LeaseKey, std::size_t> open_leases_;  // index in leased_states_
    std::map<std::string, ClientRequest> clients_;
    std::map<long, std::vector<const Record*>> starts_;
    std::map<long, std::vector<const Record*>> listed_modes_;
    std::map<std::string, std::vector<Interval>> kills_;        // by gateway
    std::map<std::string, std::vector<Interval>> suspensions_;  // by gateway
    std::map<long, std::vector<Interval>> server_faults_;       // by server
    std::map<std::string, std::string> gateway_by_process_;     // by the process prefix of its request ids
};

}  // namespace gorsenotch::invariants
