#include "state/decision_journal.h"

#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <type_traits>

#include "control/overloaded.h"

namespace gorsenotch::state {
namespace {

using Json = nlohmann::json;

Json report_json(const LoadReport& report) {
    return {report.memory_utilization, report.queued_kilotokens, report.latency};
}
LoadReport report_of(const Json& j) { return {j.at(0), j.at(1), j.at(2)}; }

Json event_json(const Event& event) {
    return std::visit(
        Overloaded{[](const Arrival& arrival) -> Json {
                       return {{"e", "arrival"},
                               {"r", arrival.request},
                               {"c", arrival.cls},
                               {"g", arrival.tenant},
                               {"s", arrival.session},
                               {"x", arrival.shared_prefix},
                               {"d", arrival.deadline},
                               {"h", arrival.length_hint},
                               {"p", arrival.prompt_tokens},
                               {"q", arrival.shared_prefix_tokens},
                               {"m", arrival.max_tokens},
                               {"again", arrival.client_retry},
                               {"back", arrival.resumed}};
                   },
                   [](const AttemptEnded& ended) -> Json {
                       return {{"e", "outcome"},
                               {"r", ended.request},
                               {"n", ended.attempt},
                               {"s", ended.endpoint},
                               {"w", static_cast<int>(ended.result)},
                               {"took", ended.took},
                               {"z", ended.request_closed},
                               {"note", ended.detail},
                               {"load", report_json(ended.report)}};
                   },
                   [](const FirstToken& first_token) -> Json {
                       return {{"e", "first"},
                               {"r", first_token.request},
                               {"n", first_token.attempt},
                               {"s", first_token.endpoint},
                               {"took", first_token.took}};
                   },
                   [](const ReservationReply& n) -> Json {
                       return {{"e", "place"}, {"r", n.request}, {"s", n.endpoint}, {"held", n.reserved}};
                   },
                   [](const ClientDisconnected& gone) -> Json {
                       return {{"e", "gone"}, {"r", gone.request}};
                   },
                   [](const EndpointUpdate& update) -> Json {
                       Json entries = Json::array();
                       for (const auto& endpoint : update.endpoints)
                           entries.push_back({endpoint.id, endpoint.zone, endpoint.kind, endpoint.cell,
                                              static_cast<int>(endpoint.status), endpoint.weight,
                                              endpoint.started_at});
                       return {{"e", "list"}, {"form", static_cast<int>(update.kind)}, {"of", entries}};
                   },
                   [](const HealthCheckResult& result) -> Json {
                       return {{"e", "probe"},
                               {"s", result.endpoint},
                               {"good", result.healthy},
                               {"took", result.took},
                               {"load", report_json(result.report)}};
                   },
                   [](const TimerFired& timer) -> Json {
                       return {{"e", "due"}, {"l", timer.timer}};
                   },
                   [](const LeaseReleased& released) -> Json {
                       return {{"e", "released"}, {"r", released.request}};
                   },
                   [](const Shutdown&) -> Json {
                       return {{"e", "shutdown"}};
                   }},
        event);
}

// A journal may be damaged in any way: a number that its type can't hold is a fault, not undefined behaviour.
template <class T>
T whole(const Json& j) {
    if (j.is_number_unsigned()) {
        const auto json = j.get<std::uint64_t>();
        if (json <= static_cast<std::uint64_t>(std::numeric_limits<T>::max())) return static_cast<T>(json);
    } else if (j.is_number_integer()) {
        const auto json = j.get<std::int64_t>();
        if (std::is_signed_v<T> && json >= static_cast<std::int64_t>(std::numeric_limits<T>::min()))
            return static_cast<T>(json);
    }
    throw std::runtime_error("not a whole number in range: " + j.dump());
}

template <class Enum>
Enum choice(const Json& j, Enum last) {
    const int v = whole<int>(j);
    if (v < 0 || v > static_cast<int>(last)) throw std::runtime_error("no such value: " + j.dump());
    return static_cast<Enum>(v);
}

Event event_of(const Json& j) {
    const std::string e = j.at("e");
    if (e == "arrival") {
        Arrival arrival;
        arrival.request = j.at("r"), arrival.cls = whole<int>(j.at("c"));
        arrival.tenant = whole<int>(j.at("g")), arrival.session = whole<std::uint64_t>(j.at("s"));
        arrival.shared_prefix = whole<std::uint64_t>(j.at("x")), arrival.deadline = j.at("d"),
        arrival.length_hint = j.at("h");
        arrival.prompt_tokens = j.at("p"), arrival.shared_prefix_tokens = j.at("q"),
        arrival.max_tokens = j.at("m");
        arrival.client_retry = j.at("again"), arrival.resumed = j.at("back");
        return arrival;
    }
    if (e == "outcome") {
        AttemptEnded ended;
        ended.request = j.at("r"), ended.attempt = whole<int>(j.at("n"));
        ended.endpoint = whole<EndpointId>(j.at("s"));
        ended.result = choice(j.at("w"), AttemptResult::prefill_done);
        ended.took = j.at("took"), ended.request_closed = j.at("z"), ended.detail = j.at("note");
        ended.report = report_of(j.at("load"));
        return ended;
    }
    if (e == "first")
        return FirstToken{j.at("r"), whole<int>(j.at("n")), whole<EndpointId>(j.at("s")), j.at("took")};
    if (e == "place") return ReservationReply{j.at("r"), whole<EndpointId>(j.at("s")), j.at("held")};
    if (e == "gone") return ClientDisconnected{j.at("r")};
    if (e == "list") {
        EndpointUpdate update;
        update.kind = choice(j.at("form"), EndpointUpdate::Kind::failed);
        for (const auto& json : j.at("of")) {
            Endpoint endpoint;
            endpoint.id = whole<EndpointId>(json.at(0)), endpoint.zone = whole<int>(json.at(1));
            endpoint.kind = whole<int>(json.at(2)), endpoint.cell = whole<std::uint64_t>(json.at(3));
            endpoint.status = choice(json.at(4), EndpointStatus::removed), endpoint.weight = json.at(5),
            endpoint.started_at = json.at(6);
            update.endpoints.push_back(endpoint);
        }
        return update;
    }
    if (e == "probe")
        return HealthCheckResult{whole<EndpointId>(j.at("s")), j.at("good"), j.at("took"),
                                 report_of(j.at("load"))};
    if (e == "due") return TimerFired{whole<std::uint64_t>(j.at("l"))};
    if (e == "released") return LeaseReleased{j.at("r")};
    if (e == "shutdown") return Shutdown{};
    throw std::runtime_error("unknown event '" + e + "'");
}

Json action_json(const Action& action) {
    return std::visit(
        Overloaded{[](const StartAttempt& start) -> Json {
                       return {{"a", "attempt"},
                               {"r", start.request},
                               {"s", start.endpoint},
                               {"limit", start.timeout},
                               {"by", start.send_by}};
                   },
                   [](const StopAttempt& stop) -> Json {
                       return {{"a", "stop"}, {"r", stop.request}, {"n", stop.attempt}};
                   },
                   [](const ReserveSlot& reserve) -> Json {
                       return {{"a", "hold"}, {"r", reserve.request}, {"s", reserve.endpoint}};
                   },
                   [](const ReleaseLease& release) -> Json {
                       return {{"a", "drop"}, {"r", release.request}};
                   },
                   [](const Reject& reject) -> Json {
                       return {{"a", "refuse"}, {"r", reject.request}, {"pause", reject.retry_after}};
                   },
                   [](const Fail& fail) -> Json {
                       return {{"a", "fail"}, {"r", fail.request}};
                   },
                   [](const MigrateStream& migrate) -> Json {
                       return {{"a", "move"}, {"r", migrate.request}};
                   },
                   [](const HealthCheck& a) -> Json {
                       return {{"a", "probe"}, {"s", a.endpoint}};
                   },
                   [](const SetTimer& set_timer) -> Json {
                       return {{"a", "timer"}, {"l", set_timer.timer}, {"at", set_timer.at}};
                   },
                   [](const WatchEndpoints&) -> Json {
                       return {{"a", "subscribe"}};
                   },
                   [](const PollEndpoints&) -> Json {
                       return {{"a", "fetch"}};
                   },
                   [](const Log& a) -> Json {
                       return {{"a", "log"}, {"text", a.text}};
                   }},
        action);
}

class Journal : public DecisionObserver {
public:
    Journal(const std::string& file, std::uint64_t seed, std::function<void(const std::string&)> on_stopped)
        : file_(file), on_stopped_(std::move(on_stopped)) {
        // An earlier life may have been killed within a line.
        std::ifstream old(file, std::ios::binary | std::ios::ate);
        const bool torn = old && old.tellg() > 0 && old.seekg(-1, std::ios::end).get() != '\n';
        out_.open(file, std::ios::app);
        if (torn) out_ << '\n';
        out_ << Json{{"seed", seed}}.dump() << '\n';
    }
    bool good() const { return out_.good(); }
    void on_event(Millis now, const Event& event) override {
        Json j = event_json(event);
        j["t"] = now;
        write(j);
    }
    void on_action(const Action& action) override { write(action_json(action)); }

private:
    void write(const Json& line) {
        if (!out_) return;
        out_ << line.dump() << '\n';
        if (!out_ && on_stopped_) on_stopped_(file_ + ": a write failed, the journal ends there");
    }
    const std::string file_;
    const std::function<void(const std::string&)> on_stopped_;
    std::ofstream out_;
};

}  // namespace

std::unique_ptr<DecisionObserver> open_journal(const std::string& file, std::uint64_t seed,
                                               std::function<void(const std::string&)> on_stopped) {
    auto j = std::make_unique<Journal>(file, seed, std::move(on_stopped));
    if (!j->good()) return nullptr;
    return j;
}

ReplayResult replay(std::istream& journal, const Settings& settings) {
    ReplayResult result;
    std::unique_ptr<Router> router;
    std::vector<Action> actions;
    std::size_t next = 0, line_no = 0, torn = 0;
    const auto differ = [&](const std::string& what) {
        if (result.difference.empty()) result.difference = "line " + std::to_string(line_no) + ": " + what;
    };
    for (std::string line; std::getline(journal, line);) {
        ++line_no;
        // Only a whole line ends with its line end; the rest of one was being written when the gateway died.
        if (journal.eof()) break;
        const Json j = Json::parse(line, nullptr, false);
        if (torn > 0 && !(j.is_object() && j.contains("seed")))
            throw std::runtime_error("line " + std::to_string(torn) + ": not a JSON object");
        torn = 0;
        if (j.is_discarded()) {  // rightly so only where a life ends: a new one must follow
            torn = line_no;
            continue;
        }
        try {
            if (!j.is_object()) throw std::runtime_error("not a JSON object");
            if (j.contains("seed")) {  // a new life of the gateway
                router = std::make_unique<Router>(settings, whole<std::uint64_t>(j.at("seed")));
                actions.clear(), next = 0;
            } else if (j.contains("e")) {
                if (!router) throw std::runtime_error("an event before the seed");
                if (next < actions.size()) differ("missing: " + action_json(actions[next]).dump());
                actions.clear(), next = 0;
                router->handle(j.at("t"), event_of(j), actions);
                ++result.events;
            } else {
                ++result.actions;
                if (next >= actions.size()) {
                    differ("not said again: " + line);
                } else if (const Json again = action_json(actions[next]); again != j) {
                    differ("was " + line + ", is now " + again.dump());
                }
                ++next;
            }
        } catch (const std::exception& error) {
            throw std::runtime_error("line " + std::to_string(line_no) + ": " + error.what());
        }
    }
    return result;
}

}  // namespace gorsenotch::state
