#include "simulator_adapter/wire.h"

#include <iomanip>
#include <limits>
#include <sstream>

#include "control/overloaded.h"
#include "settings/text_values.h"

namespace gorsenotch::simulator_adapter {
namespace {

std::vector<std::string> split(const std::string& s, char sep) {
    std::vector<std::string> parts;
    std::size_t from = 0;
    for (std::size_t at; (at = s.find(sep, from)) != std::string::npos; from = at + 1) {
        parts.push_back(s.substr(from, at - from));
    }
    parts.push_back(s.substr(from));
    return parts;
}

const std::string& part(const std::vector<std::string>& f, std::size_t i) {
    if (i >= f.size()) throw WireError("part " + std::to_string(i) + " is missing");
    return f[i];
}

template <class T>
T whole(const std::string& s, T absent = 0) {
    if (s == "-") return absent;
    const auto value = settings::to_number<T>(s);
    if (!value) throw WireError("bad number '" + s + "'");
    return *value;
}

double number(const std::string& s, double absent = 0) { return whole<double>(s, absent); }

bool flag(const std::string& s) {
    const auto value = settings::to_bool(s);
    if (!value) throw WireError("bad bool '" + s + "'");
    return *value;
}

template <class T>
T choice(const std::string& s, std::initializer_list<std::pair<const char*, T>> names) {
    const auto value = settings::to_one_of(s, names);
    if (!value) throw WireError("unknown word '" + s + "'");
    return *value;
}

AttemptResult result(const std::string& s) {
    return choice<AttemptResult>(s, {{"GOOD", AttemptResult::served},
                                     {"BAD", AttemptResult::error},
                                     {"FULL", AttemptResult::rejected},
                                     {"LATE", AttemptResult::timed_out},
                                     {"NOCONN", AttemptResult::unreachable},
                                     {"RST", AttemptResult::reset},
                                     {"CXL", AttemptResult::cancelled},
                                     {"NOP", AttemptResult::not_sent},
                                     {"ready_to_answer", AttemptResult::prefill_done}});
}

LoadReport report(const std::string& s) {
    LoadReport r;
    if (s == "-" || s.empty()) return r;
    for (const auto& pair : split(s, ',')) {
        const auto colon = pair.find(':');
        if (colon == std::string::npos) throw WireError("bad load report '" + pair + "'");
        const std::string name = pair.substr(0, colon), value = pair.substr(colon + 1);
        if (name == "x0") r.memory_utilization = number(value, -1);
        if (name == "x1") r.queued_kilotokens = number(value, -1);
        if (name == "mean_ms") r.latency = number(value, -1);
    }
    return r;
}

// The path=value pairs of a first message.
settings::SettingValues pairs(const std::vector<std::string>& f, std::size_t from) {
    settings::SettingValues info;
    for (std::size_t i = from; i < f.size(); ++i) {
        const auto eq = f[i].find('=');
        if (eq == std::string::npos) throw WireError("bad setting '" + f[i] + "'");
        const std::string value = f[i].substr(eq + 1);
        info.set(f[i].substr(0, eq),
                 value.empty() || value == "-" ? std::vector<std::string>{} : split(value, ','));
    }
    return info;
}

}  // namespace

bool Host::next(Fields& f) {
    std::string text;
    if (!std::getline(in_, text)) return false;
    ++line_no_;
    f = split(text, '\t');
    return true;
}

void Host::run() {
    try {
        while (batch()) out_ << "yield\n" << std::flush;
    } catch (const WireError& error) {
        throw WireError("line " + std::to_string(line_no_) + ": " + error.what());
    }
}

bool Host::batch() {
    Fields f;
    do {
        if (!next(f)) return false;
    } while (f.size() == 1 && f[0].empty());
    if (f[0] != "clock") throw WireError("a batch must begin with 'clock', not '" + f[0] + "'");
    now_ = number(part(f, 1));
    while (next(f)) {
        if (f[0] == "over_to_you") return true;
        line(f);
    }
    throw WireError("input ends inside a batch");
}

void Host::snapshot(const Fields& f) {
    std::vector<Row> rows;
    const auto sheet = whole<std::uint64_t>(part(f, 1));
    const auto count = whole<std::uint64_t>(part(f, 2));
    for (std::uint64_t i = 0; i < count; ++i) {
        Fields m;
        if (!next(m)) throw WireError("input ends inside a batch");
        if (m[0] != "m") throw WireError("a list entry must begin with 'm'");
        Row row;
        row.entry.id = whole<EndpointId>(part(m, 1));
        row.zone = part(m, 2);
        row.kind = part(m, 3);
        row.entry.cell = whole<std::uint64_t>(part(m, 4));
        row.entry.status = choice<EndpointStatus>(part(m, 5), {{"healthy", EndpointStatus::healthy},
                                                               {"cordoned", EndpointStatus::draining},
                                                               {"deregistered", EndpointStatus::removed}});
        row.entry.weight = number(part(m, 6), 1);
        row.entry.started_at = number(part(m, 7), 0);
        rows.push_back(row);
    }
    sheets_[sheet] = std::move(rows);
}

void Host::init(const Fields& f) {
    const std::string& name = part(f, 1);
    settings::NamedSettings named;
    try {
        named = settings::parse_named_settings(pairs(f, 3));
    } catch (const settings::SettingsError& error) {
        throw WireError(error.what());
    }
    Instance instance;
    instance.classes = named.classes, instance.tenants = named.tenants;
    zones_.insert(named.zones.begin(), named.zones.end());
    kinds_.insert(named.kinds.begin(), named.kinds.end());
    try {
        instance.router = std::make_unique<Router>(named.settings, whole<std::uint64_t>(part(f, 2)));
    } catch (const std::invalid_argument& e) {
        out_ << "bug\t" << name << '\t' << e.what() << '\n';
    }
    instances_[name] = std::move(instance);
}

void Host::line(const Fields& f) {
    const std::string& word = f[0];
    if (word == "snapshot_rows") return snapshot(f);
    if (word == "init") return init(f);
    if (word == "killed") {
        instances_.erase(part(f, 1));
    } else if (word == "knock") {
        const auto found = instances_.find(part(f, 1));
        if (found == instances_.end()) return;
        const Instance& instance = found->second;
        const auto index = [](const std::map<std::string, int>& names, const std::string& n, int absent) {
            const auto it = names.find(n);
            return it == names.end() ? absent : it->second;
        };
        Arrival arrival;
        arrival.request = part(f, 2);
        arrival.cls = index(instance.classes, part(f, 3), -1);
        if (arrival.cls < 0) throw WireError("unknown class '" + f[3] + "'");
        arrival.tenant = index(instance.tenants, part(f, 4), -1);
        arrival.session = whole<std::uint64_t>(part(f, 5));
        arrival.deadline = number(part(f, 6));
        const auto bits = whole<std::uint64_t>(part(f, 12));
        arrival.length_hint = bits & 1 ? number(part(f, 7), -1) : -1;
        arrival.shared_prefix = whole<std::uint64_t>(part(f, 8));
        arrival.prompt_tokens = number(part(f, 9));
        arrival.shared_prefix_tokens = number(part(f, 10));
        arrival.max_tokens = number(part(f, 11));
        arrival.client_retry = bits & 2;
        arrival.resumed = bits & 16;
        feed(f[1], arrival);
    } else if (word == "finished") {
        AttemptEnded ended;
        ended.request = part(f, 2);
        ended.attempt = whole<int>(part(f, 3));
        ended.endpoint = whole<EndpointId>(part(f, 4));
        ended.result = result(part(f, 5));
        ended.took = number(part(f, 6));
        ended.request_closed = flag(part(f, 7));
        ended.detail = number(part(f, 8));
        ended.report = report(part(f, 9));
        feed(part(f, 1), ended);
    } else if (word == "first") {
        feed(part(f, 1), FirstToken{part(f, 2), whole<int>(part(f, 5)), whole<EndpointId>(part(f, 4)),
                                    number(part(f, 3))});
    } else if (word == "held_note") {
        feed(part(f, 1),
             ReservationReply{part(f, 2), whole<EndpointId>(part(f, 4)), whole<int>(part(f, 5)) == 1});
    } else if (word == "client_gone") {
        feed(part(f, 1), ClientDisconnected{part(f, 2)});
    } else if (word == "ping_result") {
        feed(part(f, 1),
             HealthCheckResult{whole<EndpointId>(part(f, 3)), result(part(f, 2)) == AttemptResult::served,
                               number(part(f, 4)), report(part(f, 5))});
    } else if (word == "due") {
        feed(part(f, 1), TimerFired{whole<std::uint64_t>(part(f, 2))});
    } else if (word == "fleet") {
        EndpointUpdate update;
        using Form = EndpointUpdate::Kind;
        update.kind = choice<Form>(
            part(f, 2),
            {{"D", Form::incremental}, {"F", Form::full}, {"C", Form::cached}, {"X", Form::failed}});
        whole<std::int64_t>(part(f, 3));
        if (update.kind != Form::failed) {
            const auto sheet = sheets_.find(whole<std::uint64_t>(part(f, 4)));
            if (sheet == sheets_.end()) throw WireError("list number " + f[4] + " was never sent");
            for (const auto& row : sheet->second) {
                const auto zone = zones_.find(row.zone);
                const auto kind = kinds_.find(row.kind);
                if (zone == zones_.end()) throw WireError("unknown zone '" + row.zone + "'");
                if (kind == kinds_.end()) throw WireError("unknown kind '" + row.kind + "'");
                update.endpoints.push_back(row.entry);
                update.endpoints.back().zone = zone->second;
                update.endpoints.back().kind = kind->second;
            }
        }
        feed(part(f, 1), update);
    }
}

void Host::feed(const std::string& name, const Event& event) {
    const auto it = instances_.find(name);
    if (it == instances_.end() || !it->second.router) return;
    std::vector<Action> actions;
    try {
        it->second.router->handle(now_, event, actions);
    } catch (const std::exception& error) {
        out_ << "bug\t" << name << '\t' << error.what() << '\n';
        return;
    }
    for (const auto& action : actions) write(name, action);
}

void Host::write(const std::string& name, const Action& action) {
    const auto say = [&](const char* word, const auto&... values) {
        std::ostringstream text;
        text << std::setprecision(std::numeric_limits<double>::max_digits10) << word << '\t' << name;
        ((text << '\t' << values), ...);
        out_ << text.str() << '\n';
    };
    std::visit(
        Overloaded{
            [&](const StartAttempt& start) { say("attempt", start.request, start.endpoint, start.timeout); },
            [&](const StopAttempt& stop) { say("stop_attempt", stop.request, stop.attempt); },
            [&](const ReserveSlot& reserve) { say("hold_place", reserve.request, reserve.endpoint); },
            [&](const ReleaseLease& release) { say("drop_state", release.request); },
            [&](const Reject& reject) { say("reject", reject.request, reject.retry_after); },
            [&](const Fail& fail) { say("end_failed", fail.request); },
            [&](const MigrateStream& migrate) { say("reassign", migrate.request); },
            [&](const HealthCheck& a) { say("touch", a.endpoint); },
            [&](const SetTimer& set_timer) { say("set_timer", set_timer.timer, set_timer.at); },
            [&](const WatchEndpoints&) { say("watch", 1); }, [&](const PollEndpoints&) { say("refresh"); },
            [&](const Log& a) { say("log", a.text); }},
        action);
}

}  // namespace gorsenotch::simulator_adapter
