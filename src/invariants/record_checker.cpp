#include "invariants/record_checker.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

namespace gorsenotch::invariants {
namespace {

constexpr Millis kNever = 1e18;

struct Span {
    Millis from = 0, to = kNever;
};

struct Attempt {  // as an engine saw it
    const Record* recv = nullptr;
    long server = 0;
    bool write = false, ran = false, fresh = false;
    Millis from = 0, to = kNever;
    std::string how;
};

struct Held {
    std::string id;
    long server = 0;
    const Record* record = nullptr;
    Millis from = 0, to = kNever;
};

struct Ask {  // as a client saw it
    const Record* record = nullptr;
    std::string cls, key, turn, gateway, request, ending, text;
    Millis at = 0, deadline = 0, first = -1, answered = -1, ended = -1;
    int answers = 0, status = 0;
    bool retry = false, gone = false, lost = false, overdue = false, after = false, stream = false;
};

std::string request_of(const std::string& attempt) { return attempt.substr(0, attempt.rfind('.')); }
std::string instance_of(const std::string& request) { return request.substr(0, 20); }  // "req_" and 16 digits

class RecordChecker {
public:
    RecordChecker(const std::vector<Record>& records, const CheckerSettings& terms) : t_(terms) {
        for (const auto& record : records) take(record);
        records_ = &records;
    }

    Verdict all() {
        Verdict verdict;
        verdict.findings = {answered(),  nothing_after(), text(), once(),
                            never_two(), drains(),        cold(), pinned()};
        verdict.service = service();
        for (auto& finding : verdict.findings) trace(finding);
        return verdict;
    }

private:
    void take(const Record& record) {
        const std::string& e = record.event;
        const std::string id = record.text("id"), c = record.text("c");
        const long server = static_cast<long>(record.number("server", -1));
        if (e == "recv") {
            Attempt a;
            a.recv = &record, a.server = server, a.write = record.text("op") == "write", a.from = record.t;
            attempts_[request_of(id)].push_back(a);
            by_id_[id] = {request_of(id), attempts_[request_of(id)].size() - 1};
        } else if (e == "run" || e == "repeat") {
            if (Attempt* a = attempt(id)) a->ran = true, a->fresh |= e == "run";
        } else if (e == "end" || e == "left") {
            if (Attempt* a = attempt(id)) {
                if (record.t < a->to) a->how = e == "left" ? "left" : record.text("how");
                a->to = std::min(a->to, record.t);
            }
        } else if (e == "held") {
            open_[{server, id}] = held_.size();
            held_.push_back({id, server, &record, record.t, kNever});
        } else if (e == "taken" || e == "let_go" || e == "lease") {
            const auto it = open_.find({server, id});
            if (it == open_.end()) return;
            held_[it->second].to = record.t;
            open_.erase(it);
        } else if (e == "down") {
            down_[server].push_back(record.t);
            for (auto it = open_.begin(); it != open_.end();) {
                if (it->first.first != server) {
                    ++it;
                    continue;
                }
                held_[it->second].to = record.t;
                it = open_.erase(it);
            }
            for (auto& [request, list] : attempts_) {
                for (auto& a : list) {
                    if (a.server == server && a.to == kNever) a.to = record.t, a.how = "down";
                }
            }
        } else if (e == "up") {
            ups_[server].push_back(&record);
        } else if (e == "told") {
            told_[server].push_back(&record);
        } else if (e == "kill_gateway") {
            kills_[record.text("gateway")].push_back({record.t, record.number("until", kNever)});
        } else if (e == "stop_gateway") {
            stops_[record.text("gateway")].push_back({record.t, record.number("until", kNever)});
        } else if (e == "trouble") {
            troubles_[server].push_back({record.t, record.number("until", kNever)});
        } else if (!c.empty()) {
            client(record, asks_[record.source + "/" + c]);
        }
    }

    void client(const Record& record, Ask& ask) {
        const std::string& e = record.event;
        if (e == "ask") {
            ask.record = &record, ask.cls = record.text("cls"), ask.key = record.text("key"),
            ask.turn = record.source + "/" + record.text("turn");
            ask.gateway = record.text("gateway"), ask.at = record.t, ask.deadline = record.number("deadline");
            ask.retry = record.number("retry") > 0, ask.stream = record.number("stream") > 0;
        } else if (e == "first") {
            ask.first = record.t, ask.request = record.text("id");
        } else if (e == "answer") {
            ++ask.answers, ask.answered = ask.ended = record.t,
                           ask.status = static_cast<int>(record.number("status"));
            ask.request = record.text("id"), ask.ending = record.text("ending"),
            ask.text = record.text("text");
        } else if (e == "gone") {
            ask.gone = true, ask.ended = record.t;
        } else if (e == "lost") {
            ask.lost = true, ask.ended = record.t;
        } else if (e == "overdue") {
            ask.overdue = true, ask.ended = record.t;
        } else if (e == "after") {
            ask.after = true;
        }
        if (!ask.request.empty()) gateway_of_[instance_of(ask.request)] = ask.gateway;
    }

    Attempt* attempt(const std::string& id) {
        const auto it = by_id_.find(id);
        return it == by_id_.end() ? nullptr : &attempts_[it->second.first][it->second.second];
    }

    const ClassSettings* settings(const std::string& cls) const {
        for (std::size_t i = 0; i < t_.classes.size(); ++i) {
            if (t_.classes[i] == cls) return &t_.class_settings[i];
        }
        return nullptr;
    }

    static std::string place(const Record* record) {
        if (!record) return "";
        char t[32];
        std::snprintf(t, sizeof t, "%.1f", record->t);
        return record->source + ":" + std::to_string(record->line) + " at " + t;
    }

    static void broken(Finding& finding, const std::string& example) {
        if (finding.broken++ == 0) finding.example = example;
    }

    // The example begins with a request's or a client's name: what the records say of it.
    void trace(Finding& finding) const {
        const std::string subject = finding.example.substr(0, finding.example.find_first_of(" :"));
        if (subject.empty()) return;
        std::string request =
            request_of(subject).rfind("req_", 0) == 0 ? subject.substr(0, subject.find('.')) : "";
        if (const auto it = asks_.find(subject); it != asks_.end()) request = it->second.request;
        for (const auto& record : *records_) {
            const std::string id = record.text("id"), c = record.text("c");
            const bool about = (!request.empty() && id.rfind(request, 0) == 0) ||
                               (!c.empty() && (record.source + "/" + c == subject ||
                                               speaks_of(record.source + "/" + c, request)));
            if (about && finding.trace.size() < 20)
                finding.trace.push_back(place(&record) + " " + record.fields.dump());
        }
    }

    bool speaks_of(const std::string& client, const std::string& request) const {
        const auto it = asks_.find(client);
        return !request.empty() && it != asks_.end() && it->second.request == request;
    }

    // Whether the gateway that a client spoke to was killed while, or shortly before, the client asked.
    bool killed(const std::string& gateway, Millis from, Millis to) const {
        const auto it = kills_.find(gateway);
        if (it == kills_.end()) return false;
        return std::any_of(it->second.begin(), it->second.end(), [&](const Span& span) {
            return span.from <= to + t_.notice && from <= span.to + t_.notice;
        });
    }

    // The standstill that covers `t`, with the time to recover from it; null if there is none.
    const Span* stop_at(const std::string& gateway, Millis t) const {
        const auto it = stops_.find(gateway);
        if (it == stops_.end()) return nullptr;
        for (const auto& span : it->second) {
            if (span.from <= t + t_.notice && t <= span.to + t_.recover + t_.notice) return &span;
        }
        return nullptr;
    }

    // How long a gateway stood still between two times. It is judged by the time in which it ran.
    Millis stood(const std::string& gateway, Millis from, Millis to) const {
        const auto it = stops_.find(gateway);
        Millis sum = 0;
        if (it == stops_.end()) return 0;
        for (const auto& span : it->second)
            sum += std::max(0.0, std::min(to, span.to) - std::max(from, span.from));
        return sum;
    }

    Finding answered() {
        Finding finding{"1 no request lost", "each ask has one final answer in time", 0, 0, 0, {}, {}};
        for (const auto& [c, a] : asks_) {
            if (!a.record) continue;
            ++finding.cases;
            const std::string at = c + " (" + place(a.record) + ")";
            const Millis said = a.stream && a.first >= 0 ? a.first : a.answered;
            const Span* stop = stop_at(a.gateway, a.deadline + t_.answer_slack);
            const bool late = a.answers == 1 && said > a.deadline + t_.answer_slack + t_.notice;
            if (stop && a.answers <= 1 && (a.overdue || late) &&
                (a.overdue || said <= stop->to + t_.recover + t_.notice)) {
                ++finding.excused;
                continue;
            }
            if (a.answers > 1) {
                broken(finding, at + ": " + std::to_string(a.answers) + " final answers");
            } else if (a.lost && !killed(a.gateway, a.at, a.ended)) {
                broken(finding, at + ": the connection broke without an answer, and its gateway lives");
            } else if (a.overdue) {
                broken(finding, at + ": no answer by the deadline");
            } else if (late) {
                broken(finding,
                       at + ": answered " + std::to_string(said - a.deadline) + " ms after the deadline");
            } else if (a.answers == 0 && !a.gone && !a.lost) {
                if (!killed(a.gateway, a.at, kNever)) broken(finding, at + ": never ended");
            }
        }
        return finding;
    }

    Finding nothing_after() {
        Finding finding{
            "1 no request lost", "nothing is sent after the final answer or the deadline", 0, 0, 0, {}, {}};
        std::map<std::string, const Ask*> by_request;
        for (const auto& [c, a] : asks_) {
            if (a.after) broken(finding, c + ": bytes after the final answer");
            if (a.answers > 0 && !a.request.empty()) by_request[a.request] = &a;
        }
        for (const auto& [request, list] : attempts_) {
            const auto it = by_request.find(request);
            if (it == by_request.end()) continue;
            for (const auto& attempt : list) {
                ++finding.cases;
                if (attempt.from > it->second->deadline + t_.notice)
                    broken(finding, request + ": its client left at " + std::to_string(it->second->deadline) +
                                        ", sent " + place(attempt.recv));
                if (attempt.from > it->second->answered + t_.notice)
                    broken(finding, request + ": answered " + place(it->second->record) + ", sent " +
                                        place(attempt.recv));
            }
        }
        return finding;
    }

    Finding text() {
        Finding finding{"1 no request lost",
                        "the text that came is the engine's, whole or its beginning",
                        0,
                        0,
                        0,
                        {},
                        {}};
        for (const auto& [c, a] : asks_) {
            if (a.text.empty()) continue;
            ++finding.cases;
            if (a.text == "wrong")
                broken(finding, c + " (" + place(a.record) + "): other text than the engine wrote");
        }
        return finding;
    }

    Finding once() {
        Finding finding{
            "2 no effect twice", "once and by_key: run once; refused only if not run", 0, 0, 0, {}, {}};
        std::map<std::string, const Ask*> by_request;
        for (const auto& [c, a] : asks_) {
            if (!a.request.empty()) by_request[a.request] = &a;
        }
        for (const auto& [request, list] : attempts_) {
            const auto* cls = list.empty() ? nullptr : settings(list[0].recv->text("cls"));
            if (!cls || cls->idempotency == Idempotency::idempotent) continue;
            ++finding.cases;
            const bool keyed =
                cls->idempotency == Idempotency::with_key && !list[0].recv->text("key").empty();
            int ran = 0, writes = 0;
            const Attempt* last = nullptr;
            for (const auto& attempt : list) {
                // By key, engines that remember it drop the repeat; without one each run has its effect.
                ran += keyed ? attempt.fresh : attempt.ran;
                writes += attempt.write && attempt.how != "full" && attempt.how != "no_state" &&
                          attempt.how != "doubled";
                if (attempt.ran) last = &attempt;
            }
            if (ran > 1)
                broken(finding,
                       request + ": run " + std::to_string(ran) + " times, last " + place(last->recv));
            const auto it = by_request.find(request);
            const bool refused = it != by_request.end() && it->second->status == 529;
            if (refused && last && !(keyed && cls->dedup_scope == DedupScope::all))
                broken(finding,
                       request + ": told that a repeat is harmless, but it ran " + place(last->recv));
        }
        return finding;
    }

    Finding never_two() {
        Finding finding{"2 no effect twice", "never two attempts of a request at once", 0, 0, 0, {}, {}};
        const auto number = [](const Attempt* attempt) {
            const std::string id = attempt->recv->text("id");
            return std::atol(id.c_str() + id.rfind('.') + 1);
        };
        for (const auto& [request, list] : attempts_) {
            ++finding.cases;
            // In the order in which they were sent: one that was closed as the next was sent may be seen
            // after it, as the records are two processes'.
            std::vector<const Attempt*> sent;
            for (const auto& attempt : list) sent.push_back(&attempt);
            std::sort(sent.begin(), sent.end(),
                      [&](const Attempt* attempt, const Attempt* b) { return number(attempt) < number(b); });
            for (std::size_t i = 1; i < sent.size(); ++i) {
                for (std::size_t k = 0; k < i; ++k) {
                    // An engine that was cut off or stood still learns late that nobody waits any more.
                    if (sent[k]->to <= sent[i]->from + t_.notice ||
                        in_trouble(sent[k]->server, sent[k]->from, sent[i]->from))
                        continue;
                    broken(finding,
                           request + ": " + place(sent[k]->recv) + " still out when " + place(sent[i]->recv));
                }
            }
        }
        return finding;
    }

    bool in_trouble(long server, Millis from, Millis to) const {
        const auto it = troubles_.find(server);
        if (it == troubles_.end()) return false;
        return std::any_of(it->second.begin(), it->second.end(), [&](const Span& span) {
            return span.from <= to + t_.notice && from <= span.to + t_.notice;
        });
    }

    Finding drains() {
        Finding finding{"3 drains kept", "nothing new after the grace (sends and notices)", 0, 0, 0, {}, {}};
        for (const auto& [server, list] : told_) finding.cases += static_cast<long>(list.size());
        for (const auto& [request, list] : attempts_) {
            for (const auto& attempt : list) {
                const auto it = told_.find(attempt.server);
                if (it == told_.end()) continue;
                // A gateway is told by its own list; which one sent is known where a client has learnt it.
                const auto gw = gateway_of_.find(instance_of(request));
                if (gw == gateway_of_.end()) continue;
                const Record* last = nullptr;
                for (const Record* record : it->second) {
                    if (record->text("gateway") == gw->second && record->t <= attempt.from) last = record;
                }
                if (!last) continue;
                ++finding.cases;
                if (last->text("mode") == "healthy") continue;
                const Millis past = attempt.from - last->t - t_.drain_grace - t_.notice;
                if (past > 0 && past <= stood(gw->second, last->t, attempt.from))
                    ++finding.excused;
                else if (past > 0)
                    broken(finding, request + ": " + place(attempt.recv) + ", told " + place(last));
            }
        }
        return finding;
    }

    Finding cold() {
        Finding finding{"4 no cold engine pushed over",
                        "work sent by all gateways against what it can do",
                        0,
                        0,
                        0,
                        {},
                        {}};
        // A send weighs as the mean work of its class, as done at all engines of the day; where nothing is
        // known of it, as it asked for itself.
        std::map<std::string, std::pair<double, long>> done;
        const auto kind = [](const Record& recv) { return recv.text("op") + "/" + recv.text("cls"); };
        for (const auto& held : held_) {
            const auto it = by_id_.find(held.id);
            if (it == by_id_.end() || !held.record->fields.contains("did")) continue;
            auto& [sum, n] = done[kind(*attempts_[it->second.first][it->second.second].recv)];
            sum += held.record->number("did"), ++n;
        }
        const auto weight = [&](const Record& recv) {
            const auto it = done.find(kind(recv));
            return it == done.end() ? recv.number("work")
                                    : it->second.first / static_cast<double>(it->second.second);
        };
        std::map<long, std::vector<const Record*>> sends;
        for (const auto& [request, list] : attempts_) {
            for (const auto& attempt : list) sends[attempt.server].push_back(attempt.recv);
        }
        for (const auto& [server, starts] : ups_) {
            auto& list = sends[server];
            std::sort(list.begin(), list.end(),
                      [](const Record* record, const Record* b) { return record->t < b->t; });
            for (const Record* up : starts) {
                const Millis warm = up->number("warm");
                const auto it = up->fields.find("cold");
                if (it == up->fields.end() || *it != true || warm <= 0) continue;
                ++finding.cases;
                for (std::size_t i = 0; i < list.size(); ++i) {
                    const Millis age = list[i]->t - up->t;
                    if (age < 0 || age > warm) continue;
                    double work = 0, most = 0;
                    for (std::size_t k = i + 1; k-- > 0 && list[k]->t > list[i]->t - t_.overload_window;) {
                        work += weight(*list[k]), most = std::max(most, weight(*list[k]));
                    }
                    const double start = up->number("start", 1);
                    const double can = (start + (1 - start) * age / warm) * t_.overload_window / 1000;
                    if (work <= std::max(t_.overload_factor * can, most)) continue;
                    broken(finding, "server " + std::to_string(server) + " at age " + std::to_string(age) +
                                        " ms was sent " + std::to_string(work) + " s of work, it can do " +
                                        std::to_string(can) + " s, " + place(list[i]));
                    break;
                }
            }
        }
        return finding;
    }

    Finding pinned() {
        Finding finding{"5 nothing left pinned", "a state is taken or let go in time", 0, 0, 0, {}, {}};
        for (const auto& held : held_) {
            ++finding.cases;
            const std::string request = request_of(held.id);
            // How long it stood while no attempt of its request was out.
            std::vector<Span> out;
            for (const auto& attempt : attempts_[request]) out.push_back({attempt.from, attempt.to});
            std::sort(out.begin(), out.end(),
                      [](const Span& span, const Span& b) { return span.from < b.from; });
            Millis free = held.from, since = -1;
            for (const auto& s : out) {
                if (s.to <= free) continue;
                if (s.from > free + t_.release_within + t_.notice) break;
                free = std::max(free, s.to);
            }
            if (free + t_.release_within + t_.notice < held.to) since = free;
            if (since < 0) continue;
            const auto gw = gateway_of_.find(instance_of(request));
            const bool dead = gw != gateway_of_.end()
                                  ? killed(gw->second, held.from, since + t_.release_within)
                                  : any_killed(held);
            const bool stopped = gw != gateway_of_.end() && held.to <= since + t_.release_within + t_.notice +
                                                                           stood(gw->second, since, held.to);
            // What can't be told to an engine that is cut off ends by its lease.
            if (dead || stopped || in_trouble(held.server, held.from, since + t_.release_within)) {
                ++finding.excused;
                continue;
            }
            broken(finding, held.id + ": held since " + place(held.record) + ", no attempt out since " +
                                std::to_string(since));
        }
        return finding;
    }

    bool any_killed(const Held& held) const {
        for (const auto& [g, spans] : kills_) {
            for (const auto& span : spans) {
                if (span.from >= held.from - 10000 && span.from <= held.from + 10000) return true;
            }
        }
        return false;
    }

    void standstills(Service& s) const {
        std::map<std::string, const Ask*> by_request;
        for (const auto& [c, a] : asks_) {
            if (!a.request.empty()) by_request[a.request] = &a;
        }
        for (const auto& [request, list] : attempts_) {
            const auto gw = gateway_of_.find(instance_of(request));
            const auto ask = by_request.find(request);
            if (gw == gateway_of_.end() || ask == by_request.end()) continue;
            const auto spans = stops_.find(gw->second);
            if (spans == stops_.end()) continue;
            for (const auto& attempt : list) {
                const auto within = [&](Millis more) {
                    return std::any_of(spans->second.begin(), spans->second.end(), [&](const Span& stop) {
                        return attempt.from <= stop.to + more && attempt.to >= stop.from;
                    });
                };
                const bool waited =
                    !ask->second->gone && ask->second->deadline > std::min(attempt.to, attempt.from + 1e6);
                if (!within(t_.recover) || !waited || in_trouble(attempt.server, attempt.from, attempt.to) ||
                    attempt.how == "down")
                    continue;
                const bool during = within(0), cut = attempt.how == "left" || attempt.how == "cancelled";
                ++(during ? s.attempts_during_stall : s.attempts_after_stall);
                (during ? s.cut_during_stall : s.cut_after_stall) += cut;
            }
        }
    }

    Service service() {
        Service s;
        struct Turn {
            double worth = 0, earned = 0;
            std::string cls;
            Millis began = kNever;
        };
        std::map<std::string, Turn> turns;
        std::vector<Millis> times;
        for (const auto& [c, a] : asks_) {
            if (!a.record) continue;
            Turn& turn = turns[a.turn];
            const auto* cls = settings(a.cls);
            if (!cls) continue;
            turn.cls = a.cls, turn.worth = cls->priority_weight;
            turn.began = std::min(turn.began, a.at);
            ++s.asked;
            s.client_disconnected += a.gone;
            if (a.lost) ++(killed(a.gateway, a.at, a.ended) ? s.lost_killed : s.lost);
            const bool served = a.answers == 1 && a.status == 200 && a.ending == "whole";
            s.answered += served;
            s.refused += a.answers == 1 && a.status == 529;
            s.failed += a.answers == 1 && !served && a.status != 529;
            if (served) times.push_back((a.first >= 0 ? a.first : a.answered) - a.at);
        }
        for (const auto& [c, a] : asks_) {
            if (!a.record || a.answers != 1 || a.status != 200 || a.ending != "whole") continue;
            const auto* cls = settings(a.cls);
            if (!cls) continue;
            Turn& turn = turns[a.turn];
            const Millis took = (a.first >= 0 ? a.first : a.answered) - turn.began;
            const Millis aim = cls->latency_objective +
                               cls->latency_objective_per_1000_tokens * a.record->number("prompt") / 1000;
            turn.earned =
                std::max(turn.earned, cls->priority_weight * (took <= aim ? 1 : cls->late_value_fraction));
        }
        double worth = 0, earned = 0;
        std::map<std::string, std::pair<double, double>> by_class;
        for (const auto& [name, turn] : turns) {
            worth += turn.worth, earned += turn.earned;
            by_class[turn.cls].first += turn.worth, by_class[turn.cls].second += turn.earned;
        }
        s.value = worth > 0 ? earned / worth : 0;
        standstills(s);
        for (const auto& [name, w] : by_class)
            s.by_class.emplace_back(name, w.first > 0 ? w.second / w.first : 0);
        std::sort(times.begin(), times.end());
        const auto quantile = [&](double q) {
            if (times.empty()) return 0.0;
            const auto i = static_cast<std::size_t>(std::ceil(q * static_cast<double>(times.size()))) - 1;
            return times[std::min(i, times.size() - 1)];
        };
        s.p50 = quantile(0.5), s.p99 = quantile(0.99), s.p999 = quantile(0.999);
        return s;
    }

    const CheckerSettings& t_;
    const std::vector<Record>* records_ = nullptr;
    std::map<std::string, std::vector<Attempt>> attempts_;  // by request
    std::map<std::string, std::pair<std::string, std::size_t>> by_id_;
    std::vector<Held> held_;
    std::map<std::pair<long, std::string>, std::size_t> open_;
    std::map<std::string, Ask> asks_;
    std::map<long, std::vector<Millis>> down_;
    std::map<long, std::vector<const Record*>> ups_, told_;
    std::map<std::string, std::vector<Span>> kills_, stops_;
    std::map<long, std::vector<Span>> troubles_;
    std::map<std::string, std::string> gateway_of_;
};

}  // namespace

bool Verdict::kept() const {
    return std::all_of(findings.begin(), findings.end(),
                       [](const Finding& finding) { return finding.broken == 0; });
}

Verdict check_records(const std::vector<Record>& records, const CheckerSettings& terms) {
    return RecordChecker(records, terms).all();
}

std::string format_verdict(const Verdict& verdict) {
    std::string out;
    char line[512];
    std::snprintf(line, sizeof line, "%-30s %-60s %8s %8s %8s\n", "rule", "looked at", "cases", "broken",
                  "excused");
    out += line;
    for (const auto& finding : verdict.findings) {
        std::snprintf(line, sizeof line, "%-30s %-60s %8ld %8ld %8ld\n", finding.rule.c_str(),
                      finding.what.c_str(), finding.cases, finding.broken, finding.excused);
        out += line;
        if (finding.broken > 0) out += "    first: " + finding.example + "\n";
        for (const auto& t : finding.trace) out += "        " + t + "\n";
    }
    const Service& s = verdict.service;
    std::snprintf(
        line, sizeof line,
        "asks %ld: served %ld, refused %ld, failed %ld, left by the client %ld, connection lost "
        "with a gateway that the day killed %ld (excused by rule 1: the client's to retry), with one "
        "that lived %ld (breaks it)\n"
        "service %.3f (worth in time over worth asked, retries with their first try)",
        s.asked, s.answered, s.refused, s.failed, s.client_disconnected, s.lost_killed, s.lost, s.value);
    out += line;
    for (const auto& [name, worth] : s.by_class) {
        std::snprintf(line, sizeof line, ", %s %.3f", name.c_str(), worth);
        out += line;
    }
    std::snprintf(line, sizeof line, "\nfirst token or whole answer, ms: p50 %.1f, p99 %.1f, p99.9 %.1f\n",
                  s.p50, s.p99, s.p999);
    out += line;
    if (s.attempts_during_stall + s.attempts_after_stall > 0) {
        std::snprintf(
            line, sizeof line,
            "attempts at healthy engines for clients that waited: out when their gateway stood still %ld, "
            "cut off by it %ld; begun within a second after %ld, cut off %ld\n",
            s.attempts_during_stall, s.cut_during_stall, s.attempts_after_stall, s.cut_after_stall);
        out += line;
    }
    return out;
}

}  // namespace gorsenotch::invariants
