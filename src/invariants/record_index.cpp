#include "invariants/record_index.h"

#include <algorithm>

namespace gorsenotch::invariants {
namespace {

constexpr std::size_t kProcessPrefix = 20;  // "req_" and 16 hex digits that identify a gateway process
constexpr Millis kKillProximity = 10000;

std::string process_of(const std::string& request) { return request.substr(0, kProcessPrefix); }

long server_of(const Record& record) { return static_cast<long>(record.number("server", -1)); }

Interval interval_of(const Record& record) { return {record.t, record.number("until", kNever)}; }

}  // namespace

std::string request_of(const std::string& attempt_id) { return attempt_id.substr(0, attempt_id.rfind('.')); }

RecordIndex::RecordIndex(const std::vector<Record>& records, const CheckerSettings& settings)
    : records_(records), settings_(settings) {
    for (const Record& record : records) {
        if (add_engine_record(record) || add_runner_record(record)) continue;
        if (!record.text("c").empty()) add_client_record(record);
    }
}

// False if the record was not written by an engine.
bool RecordIndex::add_engine_record(const Record& record) {
    const std::string& event = record.event;
    if (event == "recv") {
        on_received(record);
    } else if (event == "run" || event == "repeat") {
        on_run(record);
    } else if (event == "end" || event == "left") {
        on_attempt_ended(record);
    } else if (event == "held") {
        on_lease_started(record);
    } else if (event == "taken" || event == "let_go" || event == "lease") {
        on_lease_ended(record);
    } else if (event == "up") {
        starts_[server_of(record)].push_back(&record);
    } else {
        return false;
    }
    return true;
}

// False if the record was not written by the runner.
bool RecordIndex::add_runner_record(const Record& record) {
    const std::string& event = record.event;
    if (event == "down") {
        on_server_down(record);
    } else if (event == "told") {
        listed_modes_[server_of(record)].push_back(&record);
    } else if (event == "kill_gateway") {
        kills_[record.text("gateway")].push_back(interval_of(record));
    } else if (event == "stop_gateway") {
        suspensions_[record.text("gateway")].push_back(interval_of(record));
    } else if (event == "trouble") {
        server_faults_[server_of(record)].push_back(interval_of(record));
    } else {
        return false;
    }
    return true;
}

void RecordIndex::add_client_record(const Record& record) {
    ClientRequest& client = clients_[record.source + "/" + record.text("c")];
    const std::string& event = record.event;
    if (event == "ask") {
        client.record = &record;
        client.cls = record.text("cls");
        client.turn = record.source + "/" + record.text("turn");
        client.gateway = record.text("gateway");
        client.started_at = record.t;
        client.deadline = record.number("deadline");
        client.stream = record.number("stream") > 0;
    } else if (event == "first") {
        client.first_token_at = record.t;
        client.request = record.text("id");
    } else if (event == "answer") {
        ++client.answers;
        client.answered_at = record.t;
        client.ended_at = record.t;
        client.status = static_cast<int>(record.number("status"));
        client.request = record.text("id");
        client.ending = record.text("ending");
        client.text = record.text("text");
    } else if (event == "gone") {
        client.disconnected = true;
        client.ended_at = record.t;
    } else if (event == "lost") {
        client.connection_lost = true;
        client.ended_at = record.t;
    } else if (event == "overdue") {
        client.timed_out = true;
        client.ended_at = record.t;
    } else if (event == "after") {
        client.unexpected_bytes = true;
    }
    if (!client.request.empty()) gateway_by_process_[process_of(client.request)] = client.gateway;
}

void RecordIndex::on_received(const Record& record) {
    const std::string id = record.text("id");
    auto& attempts = attempts_[request_of(id)];
    EngineAttempt attempt;
    attempt.received = &record;
    attempt.server = server_of(record);
    attempt.open.from = record.t;
    attempts.push_back(attempt);
    attempt_locations_[id] = {request_of(id), attempts.size() - 1};
}

void RecordIndex::on_run(const Record& record) {
    EngineAttempt* attempt = find_attempt(record.text("id"));
    if (!attempt) return;
    attempt->ran = true;
    if (record.event == "run") attempt->first_run = true;
}

void RecordIndex::on_attempt_ended(const Record& record) {
    EngineAttempt* attempt = find_attempt(record.text("id"));
    if (!attempt) return;
    if (record.t < attempt->open.to) attempt->ending = record.event == "left" ? "left" : record.text("how");
    attempt->open.to = std::min(attempt->open.to, record.t);
}

void RecordIndex::on_lease_started(const Record& record) {
    const std::string id = record.text("id");
    open_leases_[{server_of(record), id}] = leased_states_.size();
    leased_states_.push_back({id, server_of(record), &record, {record.t, kNever}});
}

void RecordIndex::on_lease_ended(const Record& record) {
    const auto it = open_leases_.find({server_of(record), record.text("id")});
    if (it == open_leases_.end()) return;
    leased_states_[it->second].leased.to = record.t;
    open_leases_.erase(it);
}

void RecordIndex::on_server_down(const Record& record) {
    const long server = server_of(record);
    std::erase_if(open_leases_, [&](const auto& entry) {
        if (entry.first.server != server) return false;
        leased_states_[entry.second].leased.to = record.t;
        return true;
    });
    for (auto& [request, attempts] : attempts_) {
        for (EngineAttempt& attempt : attempts) {
            if (attempt.server != server || attempt.open.to != kNever) continue;
            attempt.open.to = record.t;
            attempt.ending = "down";
        }
    }
}

EngineAttempt* RecordIndex::find_attempt(const std::string& id) {
    const auto it = attempt_locations_.find(id);
    return it == attempt_locations_.end() ? nullptr : &attempts_[it->second.request][it->second.index];
}

const EngineAttempt* RecordIndex::attempt(const std::string& id) const {
    const auto it = attempt_locations_.find(id);
    return it == attempt_locations_.end() ? nullptr : &attempts_of(it->second.request)[it->second.index];
}

const std::vector<EngineAttempt>& RecordIndex::attempts_of(const std::string& request) const {
    static const std::vector<EngineAttempt> none;
    const auto it = attempts_.find(request);
    return it == attempts_.end() ? none : it->second;
}

const ClassSettings* RecordIndex::class_settings(const std::string& cls) const {
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
        if (settings_.classes[i] == cls) return &settings_.class_settings[i];
    }
    return nullptr;
}

std::map<std::string, const ClientRequest*> RecordIndex::clients_by_request() const {
    std::map<std::string, const ClientRequest*> by_request;
    for (const auto& [name, client] : clients_) {
        if (!client.request.empty()) by_request[client.request] = &client;
    }
    return by_request;
}

const std::string* RecordIndex::gateway_of(const std::string& request) const {
    const auto it = gateway_by_process_.find(process_of(request));
    return it == gateway_by_process_.end() ? nullptr : &it->second;
}

bool RecordIndex::gateway_killed(const std::string& gateway, Millis from, Millis to) const {
    const auto it = kills_.find(gateway);
    if (it == kills_.end()) return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const Interval& kill) {
        return kill.from <= to + settings_.record_delay && from <= kill.to + settings_.record_delay;
    });
}

bool RecordIndex::any_gateway_killed_near(Millis at) const {
    for (const auto& [gateway, kills] : kills_) {
        for (const Interval& kill : kills) {
            if (kill.from >= at - kKillProximity && kill.from <= at + kKillProximity) return true;
        }
    }
    return false;
}

const std::vector<Interval>& RecordIndex::suspensions(const std::string& gateway) const {
    static const std::vector<Interval> none;
    const auto it = suspensions_.find(gateway);
    return it == suspensions_.end() ? none : it->second;
}

const Interval* RecordIndex::suspension_at(const std::string& gateway, Millis at) const {
    for (const Interval& suspension : suspensions(gateway)) {
        if (suspension.from <= at + settings_.record_delay &&
            at <= suspension.to + settings_.suspension_recovery + settings_.record_delay)
            return &suspension;
    }
    return nullptr;
}

Millis RecordIndex::suspended_time(const std::string& gateway, Millis from, Millis to) const {
    Millis sum = 0;
    for (const Interval& suspension : suspensions(gateway))
        sum += std::max(0.0, std::min(to, suspension.to) - std::max(from, suspension.from));
    return sum;
}

bool RecordIndex::has_server_fault(long server, Millis from, Millis to) const {
    const auto it = server_faults_.find(server);
    if (it == server_faults_.end()) return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const Interval& fault) {
        return fault.from <= to + settings_.record_delay && from <= fault.to + settings_.record_delay;
    });
}

}  // namespace gorsenotch::invariants
