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

Json report_json(const LoadReport& r) { return {r.memory_utilization, r.queued_kilotokens, r.latency}; }
LoadReport report_of(const Json& j) { return {j.at(0), j.at(1), j.at(2)}; }

Json event_json(const Event& event) {
    return std::visit(
        Overloaded{
            [](const Arrival& a) -> Json {
                return {{"e", "arrival"},       {"r", a.request},
                        {"c", a.cls},           {"g", a.tenant},
                        {"s", a.session},       {"x", a.shared_prefix},
                        {"d", a.deadline},      {"h", a.length_hint},
                        {"p", a.prompt_tokens}, {"q", a.shared_prefix_tokens},
                        {"m", a.max_tokens},    {"again", a.client_retry},
                        {"back", a.resumed}};
            },
            [](const AttemptEnded& o) -> Json {
                return {{"e", "outcome"},
                        {"r", o.request},
                        {"n", o.attempt},
                        {"s", o.endpoint},
                        {"w", static_cast<int>(o.result)},
                        {"took", o.took},
                        {"z", o.request_closed},
                        {"note", o.detail},
                        {"load", report_json(o.report)}};
            },
            [](const FirstToken& f) -> Json {
                return {
                    {"e", "first"}, {"r", f.request}, {"n", f.attempt}, {"s", f.endpoint}, {"took", f.took}};
            },
            [](const ReservationReply& n) -> Json {
                return {{"e", "place"}, {"r", n.request}, {"s", n.endpoint}, {"held", n.reserved}};
            },
            [](const ClientDisconnected& g) -> Json {
                return {{"e", "gone"}, {"r", g.request}};
            },
            [](const EndpointUpdate& l) -> Json {
                Json entries = Json::array();
                for (const auto& s : l.endpoints)
                    entries.push_back(
                        {s.id, s.zone, s.kind, s.cell, static_cast<int>(s.status), s.weight, s.started_at});
                return {{"e", "list"}, {"form", static_cast<int>(l.kind)}, {"of", entries}};
            },
            [](const HealthCheckResult& p) -> Json {
                return {{"e", "probe"},
                        {"s", p.endpoint},
                        {"good", p.healthy},
                        {"took", p.took},
                        {"load", report_json(p.report)}};
            },
            [](const TimerFired& d) -> Json {
                return {{"e", "due"}, {"l", d.timer}};
            },
            [](const LeaseReleased& s) -> Json {
                return {{"e", "released"}, {"r", s.request}};
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
        const auto v = j.get<std::uint64_t>();
        if (v <= static_cast<std::uint64_t>(std::numeric_limits<T>::max())) return static_cast<T>(v);
    } else if (j.is_number_integer()) {
        const auto v = j.get<std::int64_t>();
        if (std::is_signed_v<T> && v >= static_cast<std::int64_t>(std::numeric_limits<T>::min()))
            return static_cast<T>(v);
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
        Arrival a;
        a.request = j.at("r"), a.cls = whole<int>(j.at("c"));
        a.tenant = whole<int>(j.at("g")), a.session = whole<std::uint64_t>(j.at("s"));
        a.shared_prefix = whole<std::uint64_t>(j.at("x")), a.deadline = j.at("d"), a.length_hint = j.at("h");
        a.prompt_tokens = j.at("p"), a.shared_prefix_tokens = j.at("q"), a.max_tokens = j.at("m");
        a.client_retry = j.at("again"), a.resumed = j.at("back");
        return a;
    }
    if (e == "outcome") {
        AttemptEnded o;
        o.request = j.at("r"), o.attempt = whole<int>(j.at("n"));
        o.endpoint = whole<EndpointId>(j.at("s"));
        o.result = choice(j.at("w"), AttemptResult::prefill_done);
        o.took = j.at("took"), o.request_closed = j.at("z"), o.detail = j.at("note");
        o.report = report_of(j.at("load"));
        return o;
    }
    if (e == "first")
        return FirstToken{j.at("r"), whole<int>(j.at("n")), whole<EndpointId>(j.at("s")), j.at("took")};
    if (e == "place") return ReservationReply{j.at("r"), whole<EndpointId>(j.at("s")), j.at("held")};
    if (e == "gone") return ClientDisconnected{j.at("r")};
    if (e == "list") {
        EndpointUpdate l;
        l.kind = choice(j.at("form"), EndpointUpdate::Kind::failed);
        for (const auto& s : j.at("of")) {
            Endpoint en;
            en.id = whole<EndpointId>(s.at(0)), en.zone = whole<int>(s.at(1));
            en.kind = whole<int>(s.at(2)), en.cell = whole<std::uint64_t>(s.at(3));
            en.status = choice(s.at(4), EndpointStatus::removed), en.weight = s.at(5),
            en.started_at = s.at(6);
            l.endpoints.push_back(en);
        }
        return l;
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
    return std::visit(Overloaded{[](const StartAttempt& a) -> Json {
                                     return {{"a", "attempt"},
                                             {"r", a.request},
                                             {"s", a.endpoint},
                                             {"limit", a.timeout},
                                             {"by", a.send_by}};
                                 },
                                 [](const StopAttempt& a) -> Json {
                                     return {{"a", "stop"}, {"r", a.request}, {"n", a.attempt}};
                                 },
                                 [](const ReserveSlot& a) -> Json {
                                     return {{"a", "hold"}, {"r", a.request}, {"s", a.endpoint}};
                                 },
                                 [](const ReleaseLease& a) -> Json {
                                     return {{"a", "drop"}, {"r", a.request}};
                                 },
                                 [](const Reject& a) -> Json {
                                     return {{"a", "refuse"}, {"r", a.request}, {"pause", a.retry_after}};
                                 },
                                 [](const Fail& a) -> Json {
                                     return {{"a", "fail"}, {"r", a.request}};
                                 },
                                 [](const MigrateStream& a) -> Json {
                                     return {{"a", "move"}, {"r", a.request}};
                                 },
                                 [](const HealthCheck& a) -> Json {
                                     return {{"a", "probe"}, {"s", a.endpoint}};
                                 },
                                 [](const SetTimer& a) -> Json {
                                     return {{"a", "timer"}, {"l", a.timer}, {"at", a.at}};
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
    void on_event(Millis now, const Event& e) override {
        Json j = event_json(e);
        j["t"] = now;
        write(j);
    }
    void on_action(const Action& a) override { write(action_json(a)); }

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
        } catch (const std::exception& e) {
            throw std::runtime_error("line " + std::to_string(line_no) + ": " + e.what());
        }
    }
    return result;
}

}  // namespace gorsenotch::state
