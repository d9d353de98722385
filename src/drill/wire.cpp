#include "wire.h"

#include <charconv>
#include <cmath>
#include <iomanip>
#include <limits>
#include <sstream>

namespace gorsenotch::drill {
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
    T value{};
    auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value);
    if (error != std::errc() || end != s.data() + s.size()) throw WireError("bad number '" + s + "'");
    return value;
}

double number(const std::string& s, double absent = 0) {
    const double value = whole<double>(s, absent);
    if (!std::isfinite(value)) throw WireError("bad number '" + s + "'");
    return value;
}

bool flag(const std::string& s) {
    if (s == "1" || s == "true") return true;
    if (s == "0" || s == "false" || s == "-") return false;
    throw WireError("bad bool '" + s + "'");
}

template <class T>
T choice(const std::string& s, std::initializer_list<std::pair<const char*, T>> names) {
    for (const auto& [name, value] : names) {
        if (s == name) return value;
    }
    throw WireError("unknown word '" + s + "'");
}

Result result(const std::string& s) {
    return choice<Result>(s, {{"GOOD", Result::served},
                              {"BAD", Result::error},
                              {"FULL", Result::full},
                              {"LATE", Result::late},
                              {"NOCONN", Result::unreachable},
                              {"RST", Result::reset},
                              {"CXL", Result::cancelled},
                              {"NOP", Result::not_sent},
                              {"ready_to_answer", Result::read_done}});
}

LoadReport report(const std::string& s) {
    LoadReport r;
    if (s == "-" || s.empty()) return r;
    for (const auto& pair : split(s, ',')) {
        const auto colon = pair.find(':');
        if (colon == std::string::npos) throw WireError("bad load report '" + pair + "'");
        const std::string name = pair.substr(0, colon), value = pair.substr(colon + 1);
        if (name == "x0") r.memory_share = number(value, -1);
        if (name == "x1") r.waiting_ktokens = number(value, -1);
        if (name == "mean_ms") r.latency = number(value, -1);
    }
    return r;
}

// The path=value pairs of a first message.
class Info {
public:
    Info(const std::vector<std::string>& f, std::size_t from) {
        for (std::size_t i = from; i < f.size(); ++i) {
            const auto eq = f[i].find('=');
            if (eq == std::string::npos) throw WireError("bad setting '" + f[i] + "'");
            values_[f[i].substr(0, eq)] = f[i].substr(eq + 1);
        }
    }
    const std::string* find(const std::string& key) const {
        const auto it = values_.find(key);
        return it == values_.end() ? nullptr : &it->second;
    }
    double num(const std::string& key, double absent) const {
        const auto* v = find(key);
        return v ? number(*v, absent) : absent;
    }
    bool yes(const std::string& key) const {
        const auto* v = find(key);
        return v && flag(*v);
    }
    std::string text(const std::string& key, const std::string& absent) const {
        const auto* v = find(key);
        return v ? *v : absent;
    }
    std::vector<std::string> list(const std::string& key) const {
        const auto* v = find(key);
        return v && !v->empty() && *v != "-" ? split(*v, ',') : std::vector<std::string>{};
    }

private:
    std::map<std::string, std::string> values_;
};

double item(const std::vector<std::string>& values, std::size_t i, double absent) {
    return i < values.size() ? number(values[i], absent) : absent;
}

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};

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
    } catch (const WireError& e) {
        throw WireError("line " + std::to_string(line_no_) + ": " + e.what());
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
        row.entry.server = whole<ServerId>(part(m, 1));
        row.zone = part(m, 2);
        row.kind = part(m, 3);
        row.entry.cell = whole<std::uint64_t>(part(m, 4));
        row.entry.mode = choice<Mode>(
            part(m, 5),
            {{"healthy", Mode::healthy}, {"cordoned", Mode::draining}, {"deregistered", Mode::gone}});
        row.entry.weight = number(part(m, 6), 1);
        row.entry.started = number(part(m, 7), 0);
        rows.push_back(row);
    }
    sheets_[sheet] = std::move(rows);
}

void Host::init(const Fields& f) {
    const std::string& name = part(f, 1);
    const Info info(f, 3);
    Settings s;
    Instance instance;
    const auto count = [&](const char* key) { return static_cast<std::size_t>(info.num(key, 0)); };
    const auto per_1000 = info.list("FamilyInfo.AimUsPer1000PromptTokens");
    const auto token_aims = info.list("FamilyInfo.TokenAimMs");
    for (std::size_t i = 0; i < count("Lanes.count"); ++i) {
        const std::string p = "Lanes." + std::to_string(i) + ".";
        ClassSettings c;
        c.aim = info.num(p + "SloMs", 0);
        c.aim_per_1000 = item(per_1000, i, 0) / 1000.0;
        c.deadline = info.num(p + "DeadlineMs", 0);
        c.worth = info.num(p + "Importance", 1);
        c.late_share = info.num(p + "LateShare", 0);
        c.token_aim = item(token_aims, i, 0);
        c.effect = choice<Effect>(
            info.text(p + "Effect", "once"),
            {{"repeatable", Effect::repeatable}, {"by_key", Effect::by_key}, {"once", Effect::once}});
        c.group = choice<Group>(info.text(p + "Group", "all"),
                                {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
        c.window = info.num(p + "WindowMs", 0);
        s.classes.push_back(c);
        instance.classes.emplace(info.text(p + "Name", ""), static_cast<int>(i));
    }
    for (std::size_t i = 0; i < count("Tenants.count"); ++i) {
        const std::string p = "Tenants." + std::to_string(i) + ".";
        s.tenants.push_back({info.num(p + "QuotaPerS", 0)});
        instance.tenants.emplace(info.text(p + "Name", ""), static_cast<int>(i));
    }
    const auto flavors = info.list("Flavors"), roles = info.list("FamilyInfo.RoleByKind");
    const auto memory = info.list("FamilyInfo.KindMemoryTokens"), zones = info.list("Azs");
    if (flavors.size() == roles.size()) {  // else no kind is known, which the module refuses
        for (std::size_t i = 0; i < flavors.size(); ++i) {
            s.kinds.push_back(
                {choice<Role>(roles[i], {{"read", Role::read}, {"write", Role::write}, {"both", Role::both}}),
                 item(memory, i, 0)});
            kinds_[flavors[i]] = static_cast<int>(i);
        }
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        zones_[zones[i]] = static_cast<int>(i);
        if (zones[i] == info.text("Zone", "")) s.own_zone = static_cast<int>(i);
    }
    s.zones = static_cast<int>(zones.size());
    s.gateways = static_cast<int>(info.num("Balancers", 1));
    s.discovery = info.text("Discovery", "push") == "ask" ? Discovery::ask : Discovery::push;
    s.ask_within = info.num("Guarantees.AskWithinMs", 0);
    s.max_attempts = static_cast<int>(info.num("Ceilings.AttemptsCap", 1));
    s.cancel = info.yes("Ceilings.Cancel");
    s.second_copies = info.yes("Ceilings.SecondCopies");
    s.probes = info.yes("Ceilings.Probes");
    s.hold_ahead = info.yes("FamilyInfo.Ahead");
    s.retry_after = info.yes("Ceilings.RetryAfter");
    s.local_read = info.yes("FamilyInfo.LocalRead");
    s.resume = info.yes("FamilyInfo.Resume");
    s.max_retry_after = info.num("Ceilings.MaxRetryAfterMs", 0);
    s.dial_timeout = info.num("Ceilings.DialTimeoutMs", 0);
    s.over_share_worth = info.num("OverShareWorth", 1);
    s.answer_slack = info.num("Guarantees.AnswerSlackMs", 0);
    s.drain_grace = info.num("Guarantees.DrainGraceMs", 0);
    s.let_go_within = info.num("FamilyInfo.LetGoByMs", 0);
    s.fall_multiple = info.num("Guarantees.FallMultiple", 1);
    s.fall_window = info.num("Guarantees.TipAfterMs", 0);
    s.start_capacity = info.num("Guarantees.StartCapacity", 1);
    s.warm_within = info.num("Guarantees.WarmWithinMs", 0);
    s.step = info.num("StepMs", 1);
    try {
        instance.router = std::make_unique<Router>(s, whole<std::uint64_t>(part(f, 2)));
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
        Arrival a;
        a.request = part(f, 2);
        a.cls = index(instance.classes, part(f, 3), -1);
        if (a.cls < 0) throw WireError("unknown class '" + f[3] + "'");
        a.tenant = index(instance.tenants, part(f, 4), -1);
        a.session = whole<std::uint64_t>(part(f, 5));
        a.deadline = number(part(f, 6));
        const auto bits = whole<std::uint64_t>(part(f, 12));
        a.length_hint = bits & 1 ? number(part(f, 7), -1) : -1;
        a.prefix = whole<std::uint64_t>(part(f, 8));
        a.prompt_tokens = number(part(f, 9));
        a.prefix_tokens = number(part(f, 10));
        a.max_tokens = number(part(f, 11));
        a.client_retry = bits & 2;
        a.resumed = bits & 16;
        feed(f[1], a);
    } else if (word == "finished") {
        Outcome o;
        o.request = part(f, 2);
        o.attempt = whole<int>(part(f, 3));
        o.server = whole<ServerId>(part(f, 4));
        o.result = result(part(f, 5));
        o.took = number(part(f, 6));
        o.closed = flag(part(f, 7));
        o.note = number(part(f, 8));
        o.report = report(part(f, 9));
        feed(part(f, 1), o);
    } else if (word == "first") {
        feed(part(f, 1),
             FirstToken{part(f, 2), whole<int>(part(f, 5)), whole<ServerId>(part(f, 4)), number(part(f, 3))});
    } else if (word == "held_note") {
        feed(part(f, 1), PlaceNote{part(f, 2), whole<ServerId>(part(f, 4)), whole<int>(part(f, 5)) == 1});
    } else if (word == "client_gone") {
        feed(part(f, 1), ClientGone{part(f, 2)});
    } else if (word == "ping_result") {
        feed(part(f, 1), ProbeResult{whole<ServerId>(part(f, 3)), result(part(f, 2)) == Result::served,
                                     number(part(f, 4)), report(part(f, 5))});
    } else if (word == "due") {
        feed(part(f, 1), Due{whole<std::uint64_t>(part(f, 2))});
    } else if (word == "fleet") {
        ListEvent e;
        using Form = ListEvent::Form;
        e.form = choice<Form>(
            part(f, 2), {{"D", Form::changes}, {"F", Form::full}, {"C", Form::saved}, {"X", Form::failed}});
        whole<std::int64_t>(part(f, 3));
        if (e.form != Form::failed) {
            const auto sheet = sheets_.find(whole<std::uint64_t>(part(f, 4)));
            if (sheet == sheets_.end()) throw WireError("list number " + f[4] + " was never sent");
            for (const auto& row : sheet->second) {
                const auto zone = zones_.find(row.zone);
                const auto kind = kinds_.find(row.kind);
                if (zone == zones_.end()) throw WireError("unknown zone '" + row.zone + "'");
                if (kind == kinds_.end()) throw WireError("unknown kind '" + row.kind + "'");
                e.entries.push_back(row.entry);
                e.entries.back().zone = zone->second;
                e.entries.back().kind = kind->second;
            }
        }
        feed(part(f, 1), e);
    }
}

void Host::feed(const std::string& name, const Event& event) {
    const auto it = instances_.find(name);
    if (it == instances_.end() || !it->second.router) return;
    std::vector<Action> actions;
    try {
        it->second.router->handle(now_, event, actions);
    } catch (const std::exception& e) {
        out_ << "bug\t" << name << '\t' << e.what() << '\n';
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
        Overloaded{[&](const Attempt& a) { say("attempt", a.request, a.server, a.limit); },
                   [&](const StopAttempt& a) { say("stop_attempt", a.request, a.attempt); },
                   [&](const HoldPlace& a) { say("hold_place", a.request, a.server); },
                   [&](const DropState& a) { say("drop_state", a.request); },
                   [&](const Refuse& a) { say("reject", a.request, a.pause); },
                   [&](const Fail& a) { say("end_failed", a.request); },
                   [&](const MoveStream& a) { say("reassign", a.request); },
                   [&](const Probe& a) { say("touch", a.server); },
                   [&](const SetTimer& a) { say("set_timer", a.label, a.at); },
                   [&](const Subscribe&) { say("watch", 1); }, [&](const FetchList&) { say("refresh"); },
                   [&](const Log& a) { say("log", a.text); }},
        action);
}

}  // namespace gorsenotch::drill
