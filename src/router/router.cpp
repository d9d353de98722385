// The decision module. Its interface (settings, events, actions, class Router): include/gorsenotch/logic.h
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

#include "gorsenotch/logic.h"
#include "router/records.h"
#include "router/tuning.h"
#include "stats/estimators.h"
#include "stats/hash.h"
#include "stats/hash_ring.h"

namespace gorsenotch {
namespace {

using namespace router;
using stats::CompletionTime;
using stats::DecayingRate;
using stats::hash_fraction;
using stats::HashRing;
using stats::QuantileEstimate;

}  // namespace

class Router::Impl {
public:
    Impl(const Settings& settings, std::uint64_t seed) : settings_(settings), seed_(seed), random_(seed) {
        const auto need = [](bool ok, const char* what) {
            if (!ok) throw std::invalid_argument(std::string("gorsenotch settings: ") + what);
        };
        need(!settings_.classes.empty(), "classes: at least one is needed");
        need(!settings_.kinds.empty(), "kinds: each needs a role");
        bool read = false, write = false;
        for (const auto& k : settings_.kinds)
            read |= k.role != Role::decode, write |= k.role != Role::prefill;
        need(write && (read || settings_.local_prefill), "kinds: some must read and some must write");
        for (const auto& class_settings : settings_.classes) {
            need(class_settings.latency_objective > 0, "classes: aim must be above 0");
            need(class_settings.deadline > 0, "classes: deadline must be above 0");
            min_latency_objective_ = std::min(min_latency_objective_, class_settings.latency_objective);
            max_priority_weight_ = std::max(max_priority_weight_, class_settings.priority_weight);
            // Until seen: 1,000 tokens are read in what the aim grows by, a wait takes a twelfth of the aim,
            // a stream 100 tokens at half pace.
            completion_times_[prefill].emplace_back(class_settings.latency_objective_per_1000_tokens > 0
                                                        ? class_settings.latency_objective_per_1000_tokens
                                                        : class_settings.latency_objective / 20,
                                                    kPriorWeight);
            completion_times_[decode_queued].emplace_back(class_settings.latency_objective / 12,
                                                          kPriorWeight);
            completion_times_[streaming].emplace_back(
                std::max(50 * class_settings.inter_token_objective, class_settings.latency_objective),
                kPriorWeight);
        }
        low_quantile_ = {
            QuantileEstimate(kLowQuantile, kQuantileStep, completion_times_[prefill][0].prior()),
            QuantileEstimate(kLowQuantile, kQuantileStep, completion_times_[decode_queued][0].prior() / 4)};
        need(settings_.gateways > 0, "gateways: at least one");
        need(settings_.max_attempts > 0, "max_attempts: at least one");
        for (const auto& tenant : settings_.tenants) quota_left_.push_back(quota_burst(tenant));
        retry_budget_ = min_retry_budget();
    }

    void handle(Millis now, const Event& event, std::vector<Action>& actions) {
        now_ = now;
        actions_ = &actions;
        if (!started_) {
            started_ = true;
            last_health_tick_ = stats_refreshed_at_ = now_;
            schedule_health_tick();
            if (settings_.discovery == Discovery::poll) watch_endpoints();
        }
        detect_stall();
        std::visit([this](const auto& e) { on(e); }, event);
    }

private:
    // ---- events ---------------------------------------------------------------------------------------

    void on(const Arrival& arrival) {
        if (arrival.cls < 0 || arrival.cls >= static_cast<int>(settings_.classes.size()) ||
            requests_.count(arrival.request))
            return;
        RequestState& request = requests_[arrival.request];
        request.arrival = arrival;
        request.arrived_at = now_;
        request.serial = ++serial_;
        by_serial_[request.serial] = arrival.request;
        arrival_rate_.add(now_);
        const double seen = static_cast<double>(std::min<std::uint64_t>(serial_, 30));
        if (arrival.shared_prefix) ++shared_prefix_arrivals_[arrival.shared_prefix];
        ++arrivals_seen_;
        typical_prompt_tokens_ += (arrival.prompt_tokens - typical_prompt_tokens_) / seen;
        typical_uncached_kilotokens_ += (uncached_kilotokens(request) - typical_uncached_kilotokens_) / seen;
        if (arrival.deadline <= now_) return finish_with(request, EndCause::deadline);
        if (!decode_reachable()) return finish_with(request, EndCause::no_decode_endpoint);
        if (should_shed(request)) return finish_with(request, EndCause::shed_load);
        emit(SetTimer{request.serial, std::max(now_, arrival.deadline - settings_.event_interval)});
        dispatch_next_stage(request);
    }

    void on(const AttemptEnded& ended) {
        EndpointState* server = find_endpoint(ended.endpoint);
        if (server) apply_load_report(*server, ended.report);
        const auto it = requests_.find(ended.request);
        if (it == requests_.end() || !it->second.in_flight || ended.attempt != it->second.attempt_count - 1)
            return;
        RequestState& request = it->second;
        if (request.stage != streaming)
            observe_stage_time(request, ended.result == AttemptResult::prefill_done);
        if (server) record_outcome(*server, request, ended);
        // A stream that was called off just as it began, and after all is still owed an answer.
        if (!ended.request_closed && request.stage == streaming && request.closed && !request.answered)
            request.closed = false;
        on_attempt_left(request);
        const bool wrote = !(server && server->role == Role::prefill);
        if (wrote && !never_ran(ended.result) && ended.result != AttemptResult::prefill_done &&
            !request.may_have_run) {
            request.may_have_run = true;
            request.ran_on = ended.endpoint;
            request.ran_sent_at = request.first_sent_at;
        }
        const bool no_state = ended.result == AttemptResult::rejected && ended.detail == 1;
        if (no_state) set_lease_held(request, false);
        if (ended.result == AttemptResult::prefill_done) {
            request.prefill_endpoint = ended.endpoint;
            set_lease_held(request, true);
        }
        if (ended.request_closed) request.closed = true;
        if (request.closed) return forget_request(request);
        if (ended.result != AttemptResult::prefill_done && !no_state)
            request.failed_endpoints.push_back(ended.endpoint);
        // Guards against pinned states: a read whose end was lost, or a state whose reader is only cut off,
        // may still stand there though this gateway heard of none.
        if (!request.lease_held) emit(ReleaseLease{request.arrival.request});
        dispatch_next_stage(request);
    }

    void on(const FirstToken& first_token) {
        const auto it = requests_.find(first_token.request);
        if (it == requests_.end() || !it->second.in_flight ||
            first_token.attempt != it->second.attempt_count - 1)
            return;
        RequestState& request = it->second;
        if (EndpointState* endpoint = find_endpoint(request.endpoint)) {
            observe_stage_time(request, true);
            endpoint->last_class_failure[class_index(request)] = -kNever;
            record_completion(*endpoint, request, decode_queued);
            change_stage(*endpoint, request, streaming);
        }
        set_lease_held(request, false);
        retry_budget_ = std::min(retry_budget_ + kRetriesPerFirstToken, max_retry_budget());
        request.closed = true;
    }

    void on(const ReservationReply&) {}  // places are never held ahead

    void on(const ClientDisconnected& gone) {
        const auto it = requests_.find(gone.request);
        if (it == requests_.end()) return;
        it->second.closed = true;
        release_request(it->second);
    }

    void on(const EndpointUpdate& update) {
        if (update.kind == EndpointUpdate::Kind::failed) {
            last_watch_request_ = now_ - settings_.poll_interval / 2 + 500;  // ask again in half a second
            return;
        }
        if (update.kind != EndpointUpdate::Kind::incremental) {
            for (auto& [id, s] : endpoints_) s.endpoint.status = EndpointStatus::removed;
            for (auto& ring : healthy_by_role_) ring.clear();
            decode_ring_.clear();
            decode_endpoints_by_cell_.clear();
        }
        for (const auto& entry : update.endpoints) {
            if (entry.kind < 0 || entry.kind >= static_cast<int>(settings_.kinds.size())) continue;
            auto [it, fresh] = endpoints_.try_emplace(entry.id);
            EndpointState& endpoint = it->second;
            unindex_endpoint(endpoint);
            // Guards against: a restarted process judged by its past life, and empty memory taken for room.
            if (fresh || entry.started_at > endpoint.endpoint.started_at) {
                endpoint.ejected = endpoint.was_unreachable = false;
                endpoint.error_rate = 0;
                endpoint.slowness_evidence = {};
                endpoint.last_class_failure.assign(settings_.classes.size(), -kNever);
                endpoint.tokens_held_by_others = 0;
                endpoint.last_report_at = -kNever;
                endpoint.memory_utilization = -1;
                // Guards against a start later than now, where a clock is off: its age would be below 0, and
                // the server without any share for as long.
                if (entry.started_at > 0)
                    endpoint.warming_since =
                        std::max(endpoint.warming_since, std::min(now_, entry.started_at));
            }
            endpoint.endpoint = entry;
            endpoint.last_listed = now_;
            endpoint.role = settings_.kinds[static_cast<std::size_t>(entry.kind)].role;
            if (entry.status == EndpointStatus::healthy) index_endpoint(endpoint);
        }
        if (now_ >= stats_due_) refresh_fleet_stats(0);
    }

    void on(const HealthCheckResult& result) {
        if (EndpointState* endpoint = find_endpoint(result.endpoint))
            apply_load_report(*endpoint, result.report);
    }

    void on(const TimerFired& timer) {
        if (timer.timer == kHealthTimer) return on_health_tick();
        const auto it = by_serial_.find(timer.timer);
        if (it == by_serial_.end()) return;
        RequestState& request = requests_.at(it->second);
        if (request.closed || (request.in_flight && request.stage == streaming)) return;
        finish_with(request, EndCause::deadline);
    }

    void on(const LeaseReleased& released) {
        const auto it = requests_.find(released.request);
        if (it != requests_.end()) set_lease_held(it->second, false);
    }

    // Who may be refused and who has to be failed is decided here, as the attempts are known here.
    void on(const Shutdown&) {
        std::vector<RequestId> unanswered;
        for (const auto& [id, request] : requests_) {
            if (!request.closed) unanswered.push_back(id);
        }
        for (const auto& id : unanswered) finish_with(requests_.at(id), EndCause::shutdown);
    }

    // ---- servers by role ------------------------------------------------------------------------------

    HashRing<EndpointState>& ring(Role role) { return healthy_by_role_[static_cast<std::size_t>(role)]; }

    void index_endpoint(EndpointState& endpoint) {
        ring(endpoint.role).insert(endpoint.endpoint.id, &endpoint);
        if (!endpoint.can_decode()) return;
        decode_ring_.insert(endpoint.endpoint.id, &endpoint);
        decode_endpoints_by_cell_[endpoint.endpoint.cell].push_back(&endpoint);
    }

    void unindex_endpoint(EndpointState& endpoint) {
        ring(endpoint.role).erase(endpoint.endpoint.id);
        decode_ring_.erase(endpoint.endpoint.id);
        if (const auto at = decode_endpoints_by_cell_.find(endpoint.endpoint.cell);
            at != decode_endpoints_by_cell_.end())
            std::erase(at->second, &endpoint);
    }

    // The healthy servers that a choice looks at: all, or in a fleet too large for that a window of them that
    // begins at `key`, so that gateways with the same list see the same ones. Guards against a cost of each
    // request that grows with the fleet. May do harm where a window has few servers that can be used: see
    // whole().
    const std::vector<EndpointState*>& candidates(const HashRing<EndpointState>& from, std::uint64_t key,
                                                  std::vector<EndpointState*>& window) {
        if (from.size() <= kMaxFullScan || scan_all_) return from.by_id();
        window.clear();
        from.window(key, kCandidateWindow, window);
        return window;
    }

    // What a request's reads are kept by: its own session, or the opening it shares; 0 for neither.
    std::uint64_t affinity_key(const RequestState& request) const {
        // Not the opening where visits are rare and a session's own text is the more: it has its own home
        // then, as no queue would show a hot opening's jam.
        const bool own = has_session_affinity(request);
        return own ? request.arrival.session : request.arrival.shared_prefix;
    }
    bool has_session_affinity(const RequestState& request) const {
        return !request.arrival.shared_prefix ||
               (low_sample_rate() && request.arrival.session &&
                2 * request.arrival.shared_prefix_tokens < request.arrival.prompt_tokens);
    }
    std::uint64_t prefill_window_key(const RequestState& request) const {
        const std::uint64_t key = affinity_key(request);
        return key ? key : seed_ + request.serial;
    }
    std::uint64_t decode_window_key(const RequestState& request) const { return seed_ + request.serial; }

    // A choice among a window of the fleet that finds nothing looks at all of it.
    template <class Choice>
    EndpointState* choose_or_scan_all(Choice choice) {
        EndpointState* found = choice();
        if (found || scan_all_ || endpoints_.size() <= kMaxFullScan) return found;
        scan_all_ = true;
        found = choice();
        scan_all_ = false;
        return found;
    }

    // ---- a request's way ------------------------------------------------------------------------------

    // Sends the request to its next stage, or ends it.
    void dispatch_next_stage(RequestState& request) {
        if (request.arrival.deadline <= now_) return finish_with(request, EndCause::deadline);
        if (request.attempt_count >= settings_.max_attempts)
            return finish_with(request, EndCause::attempts_exhausted);
        if (request.may_have_run &&
            settings_.classes[class_index(request)].idempotency == Idempotency::unsafe)
            return finish_with(request, EndCause::may_have_run);
        // Guards against retry storms: each attempt past the ordinary read and write takes from the budget.
        if (request.attempt_count > (request.lease_held ? 1 : 0)) {
            if (retry_budget_ < 1) return finish_with(request, EndCause::retry_budget);
            retry_budget_ -= 1;
        }
        EndpointState* to = nullptr;
        if (!request.lease_held) to = choose_prefill(request);
        const Stage stage = request.lease_held || !to ? decode_queued : prefill;
        if (!to && (request.lease_held || settings_.local_prefill)) to = choose_decode(request);
        if (!to) return finish_with(request, EndCause::no_endpoint);
        // Guards against writers kept busy with late answers, which earn little: when others wait and the aim
        // is out of reach, the read is given up. May do harm where late answers are worth much.
        if (request.lease_held && !request.arrival.resumed && to->in_flight[decode_queued] > 1 &&
            now_ - request.arrived_at +
                    completion_time(decode_queued, request).value() * (to->in_flight[decode_queued] + 1) >
                latency_objective(request)) {
            return finish_with(request, EndCause::decode_too_late);
        }
        start_attempt(request, *to, stage);
    }

    void start_attempt(RequestState& request, EndpointState& endpoint, Stage stage) {
        request.in_flight = true;
        request.cancelled = false;
        request.stalled_meanwhile = false;
        request.stage = stage;
        request.endpoint = endpoint.endpoint.id;
        request.sent_at = request.first_sent_at = now_;
        ++request.attempt_count;
        ++endpoint.in_flight[stage];
        request.work_units = endpoint.in_flight[decode_queued];  // this one counted
        if (stage == prefill) {
            endpoint.reserved_tokens += request.arrival.prompt_tokens;
            endpoint.queued_kilotokens += uncached_kilotokens(request);
            request.work_units = endpoint.queued_kilotokens;
        }
        endpoint.send_rate.add(now_);
        endpoint.recent_sends.push_back(now_);
        drop_old_sends(endpoint);
        emit(StartAttempt{request.arrival.request, endpoint.endpoint.id, attempt_timeout(request, stage),
                          std::min(request.arrival.deadline, retry_deadline(request))});
    }

    // How long to wait for this attempt. Guards against silence: a request at a dead server must still reach
    // its aim elsewhere. Grows with what is usual now, so that overload does not turn into time-outs.
    Millis attempt_timeout(const RequestState& request, Stage stage) {
        const Millis left = request.arrival.deadline - now_;
        if (request.attempt_count >= settings_.max_attempts) return left;
        if (!low_sample_rate())
            return std::min(left,
                            std::max(6 * expected_time(request, stage), 0.6 * latency_objective(request)));
        // A read is work that is done anew elsewhere, so in a jam early time-outs double the load. Does harm
        // where a reader is silent: its reads are late, the first from each gateway.
        return std::min(
            left, std::max(kTimeoutQuantiles * low_quantile_[stage].value() * stage_work(request, stage),
                           kMinTimeoutObjectiveFraction[stage == prefill && no_load_signal() ? 0 : 1] *
                               latency_objective(request)));
    }

    // What a stage's time is measured by: the tokens to read, those ahead too, or the prompt to fetch.
    double stage_work(const RequestState& request, Stage stage) const {
        return stage == prefill ? request.work_units : 0.2 + request.arrival.prompt_tokens / 1000;
    }

    void observe_stage_time(const RequestState& request, bool done) {
        // What a cell's readers and, for states that leave it, its link take of the aims.
        const EndpointState* reader =
            find_endpoint(request.stage == prefill ? request.endpoint : request.prefill_endpoint);
        const EndpointState* server = find_endpoint(request.endpoint);
        if (reader && server &&
            (request.stage == prefill || reader->endpoint.cell != server->endpoint.cell)) {
            Cell& cell = cells_[reader->endpoint.cell];
            cell.objective_spent += done || !no_load_signal()
                                        ? std::min(1.0, (now_ - request.sent_at) / latency_objective(request))
                                        : 1;
            cell.prefills += request.stage == prefill;
        }
        const double took = (now_ - request.sent_at) / stage_work(request, request.stage);
        if (done || took > low_quantile_[request.stage].value()) low_quantile_[request.stage].add(took);
    }

    static void remove_from_load(EndpointState& endpoint, const RequestState& request) {
        --endpoint.in_flight[request.stage];
        if (request.stage == prefill) {
            endpoint.reserved_tokens -= request.arrival.prompt_tokens;
            endpoint.queued_kilotokens -= uncached_kilotokens(request);
        }
    }

    // The attempt out is over: takes it off its server's count.
    void on_attempt_left(RequestState& request) {
        if (EndpointState* endpoint = find_endpoint(request.endpoint)) remove_from_load(*endpoint, request);
        request.in_flight = false;
    }

    void change_stage(EndpointState& endpoint, RequestState& request, Stage to) {
        remove_from_load(endpoint, request);
        request.stage = to;
        const double pace = settings_.classes[class_index(request)].inter_token_objective;
        request.work_units = request.arrival.length_hint > 0 && pace > 0
                                 ? std::clamp(request.arrival.length_hint / pace / 100, 0.3, 3.0)
                                 : 1;
        ++endpoint.in_flight[to];
        request.stage_since = now_;
    }

    void set_lease_held(RequestState& request, bool held) {
        if (request.lease_held == held) return;
        request.lease_held = held;
        if (EndpointState* endpoint = find_endpoint(request.prefill_endpoint))
            endpoint->reserved_tokens +=
                held ? request.arrival.prompt_tokens : -request.arrival.prompt_tokens;
    }

    // Gives the one final answer, at once.
    void finish_with(RequestState& request, EndCause cause) {
        if (request.closed) return;
        const ClassSettings& class_settings = settings_.classes[class_index(request)];
        // An attempt still out, a read too, may count as run.
        const bool harmless = class_settings.idempotency == Idempotency::idempotent ||
                              !(request.may_have_run || request.in_flight) ||
                              (class_settings.idempotency == Idempotency::with_key &&
                               class_settings.dedup_scope == DedupScope::all);
        if (harmless) {
            emit(Reject{
                request.arrival.request,
                settings_.retry_after ? std::min(settings_.max_retry_after, expected_wait(request)) : 0,
                cause});
        } else {
            emit(Fail{request.arrival.request, cause});
        }
        request.answered = request.closed = true;
        release_request(request);
    }

    // An ended request: stop what is out, release what is held.
    void release_request(RequestState& request) {
        if (request.in_flight) {
            if (settings_.cancellation && !request.cancelled && request.stage != streaming)
                cancel_attempt(request);
            return;
        }
        forget_request(request);
    }

    void forget_request(RequestState& request) {
        if (request.attempt_count > 0 && request.stage != streaming)
            emit(ReleaseLease{request.arrival.request});
        set_lease_held(request, false);
        by_serial_.erase(request.serial);
        requests_.erase(RequestId(request.arrival.request));
    }

    void cancel_attempt(RequestState& request) {
        request.cancelled = true;
        emit(StopAttempt{request.arrival.request, request.attempt_count - 1});
    }

    // ---- the three rules ------------------------------------------------------------------------------

    template <class Key>
    static EndpointState* least_of(const std::vector<std::pair<Key, EndpointState*>>& from) {
        return std::min_element(from.begin(), from.end(),
                                [](const auto& a, const auto& b) { return a.first < b.first; })
            ->second;
    }

    EndpointState* choose_prefill(RequestState& request) {
        return choose_or_scan_all([&] { return choose_prefill_among(request); });
    }

    EndpointState* choose_prefill_among(RequestState& request) {
        const auto& readers =
            candidates(ring(Role::prefill), prefill_window_key(request), prefill_candidates_);
        const std::vector<EndpointState*> fit = eligible_prefill_endpoints(request, readers);
        if (fit.empty()) return nullptr;
        const std::vector<double> load = prefill_loads(fit);
        const std::vector<EndpointState*> near = prefill_within_load_margin(request, fit, load);
        if (const std::uint64_t key = affinity_key(request)) {
            // Of a window's readers those that can be used stand for all.
            const std::size_t usable_in_all =
                readers.empty() ? fit.size() : fit.size() * ring(Role::prefill).size() / readers.size();
            return choose_by_affinity(request, key, near, usable_in_all);
        }
        std::vector<std::pair<std::pair<double, double>, EndpointState*>> last;  // it has no home: the least
        for (std::size_t i = 0; i < fit.size(); ++i) {
            if (std::find(near.begin(), near.end(), fit[i]) == near.end()) continue;
            last.push_back({{load[i], uniform()}, fit[i]});
        }
        return least_of(last);
    }

    // Those that may read it now: plain readers, and mixed servers by rule 3. A mixed server that reads also
    // writes, so it is asked when it has room and the writer that would be picked has none, or when no plain
    // reader is there.
    std::vector<EndpointState*> eligible_prefill_endpoints(RequestState& request,
                                                           const std::vector<EndpointState*>& readers) {
        EndpointState* writer = nullptr;
        std::vector<EndpointState*> fit;
        for (int strict = 1; strict >= 0 && fit.empty(); --strict) {
            for (EndpointState* endpoint : readers) {
                if (is_eligible(*endpoint, request, strict)) fit.push_back(endpoint);
            }
            if (!writer) writer = choose_decode(request);
            const bool no_room = !writer || !has_capacity(*writer);
            if (!fit.empty() && !no_room) continue;
            for (EndpointState* endpoint :
                 candidates(ring(Role::mixed), prefill_window_key(request), mixed_candidates_)) {
                if (is_eligible(*endpoint, request, strict) && (fit.empty() || has_capacity(*endpoint)))
                    fit.push_back(endpoint);
            }
        }
        return fit;
    }

    // The share of its memory that each holds, own reads and what is known of others'; unheard ones count as
    // average.
    std::vector<double> prefill_loads(const std::vector<EndpointState*>& fit) const {
        double known = 0, heard = 0;
        for (const EndpointState* endpoint : fit) {
            if (now_ - endpoint->last_report_at >= kRateSpan) continue;
            known += endpoint->tokens_held_by_others / memory_capacity(*endpoint);
            ++heard;
        }
        std::vector<double> load;
        for (const EndpointState* endpoint : fit) {
            const bool fresh = now_ - endpoint->last_report_at < kRateSpan;
            const double others = fresh       ? endpoint->tokens_held_by_others / memory_capacity(*endpoint)
                                  : heard > 0 ? known / heard
                                              : 0;
            load.push_back(others + endpoint->reserved_tokens / memory_capacity(*endpoint));
        }
        return load;
    }

    // Those within the margin of the least load, in the own zone or out of it.
    std::vector<EndpointState*> prefill_within_load_margin(const RequestState& request,
                                                           const std::vector<EndpointState*>& fit,
                                                           const std::vector<double>& load) {
        // Of most readers nothing is known: the few heard of must not draw all from their homes.
        const double least = low_sample_rate() ? std::accumulate(load.begin(), load.end(), 0.0) /
                                                     static_cast<double>(fit.size())
                                               : *std::min_element(load.begin(), load.end());
        // A prompt read away from its home is read in full. So the margin grows with what home saves:
        // otherwise the first jam scatters the beginnings, each read gets longer, and the jam stays.
        const double saves = std::clamp(request.arrival.prompt_tokens / (1000 * uncached_kilotokens(request)),
                                        kMinLoadMargin, kMaxLoadMargin);
        const double prompt = typical_prompt_tokens_ / memory_capacity(*fit[0]);
        // The own zone is left sooner: it may have few readers, and there its gateways' reads would jam.
        std::vector<EndpointState*> near;
        bool own_zone = false;
        for (std::size_t i = 0; i < fit.size(); ++i) {
            if (load[i] > least + saves * prompt) continue;
            near.push_back(fit[i]);
            own_zone |=
                fit[i]->endpoint.zone == settings_.own_zone && load[i] <= least + kMinLoadMargin * prompt;
        }
        if (own_zone) prefer_own_zone(request, fit, near);
        return near;
    }

    // Leaves those of the own zone, or of the others. Where own queues show too little, a zone reads what its
    // share of the readers covers, taking every zone for as busy. Guards against a jam in a zone with few
    // readers while others idle.
    void prefer_own_zone(const RequestState& request, const std::vector<EndpointState*>& fit,
                         std::vector<EndpointState*>& near) {
        double own = 0, all = 0;
        for (const EndpointState* endpoint : fit) {
            const double part = std::pow(prefill_weight(*endpoint), no_load_signal() ? 4 : 2);
            all += part;
            own += endpoint->endpoint.zone == settings_.own_zone ? part : 0;
        }
        const bool stays =
            !low_sample_rate() || hash_fraction(request.arrival.session, 0) * all <= own * settings_.zones;
        const auto other = [&](EndpointState* endpoint) {
            return (endpoint->endpoint.zone == settings_.own_zone) != stays;
        };
        if (!std::all_of(near.begin(), near.end(), other)) std::erase_if(near, other);
    }

    // Sessions that share a beginning share its home and meet their texts there. By the list, as a next turn
    // comes elsewhere: rendezvous weighted by pull.
    EndpointState* choose_by_affinity(const RequestState& request, std::uint64_t key,
                                      const std::vector<EndpointState*>& near, std::size_t usable_in_all) {
        std::vector<std::pair<double, EndpointState*>> by;
        for (EndpointState* endpoint : near)
            by.push_back(
                {-std::log(hash_fraction(key, endpoint->endpoint.id) + 1e-18) / prefill_weight(*endpoint),
                 endpoint});
        const std::size_t homes =
            has_session_affinity(request)
                ? 1
                : std::min(by.size(), affinity_replicas(request.arrival.shared_prefix, usable_in_all));
        const auto rank =
            static_cast<std::size_t>(hash_fraction(request.arrival.session, 1) * static_cast<double>(homes));
        const auto at = by.begin() + static_cast<std::ptrdiff_t>(rank);
        std::nth_element(by.begin(), at, by.end());
        return at->second;
    }

    // How many readers share a beginning. Guards against a hot beginning whose home jams, as where visits are
    // rare no own queue shows it: none carries more than so many times a reader's mean of one beginning. A
    // session keeps its rank among them. May do harm by texts read anew at each of them.
    std::size_t affinity_replicas(std::uint64_t prefix, std::size_t readers) const {
        if (!low_sample_rate()) return 1;
        const auto seen = shared_prefix_arrivals_.find(prefix);
        if (seen == shared_prefix_arrivals_.end()) return 1;
        const double part = (seen->second - 1) / (kSharedPrefixPriorArrivals + arrivals_seen_);
        return 1 + static_cast<std::size_t>(part * static_cast<double>(readers) / kAffinityReplicaLoad);
    }

    EndpointState* choose_decode(const RequestState& request) {
        return choose_or_scan_all([&] { return choose_decode_among(request); });
    }

    EndpointState* choose_decode_among(const RequestState& request) {
        std::vector<std::pair<int, EndpointState*>> fit;
        const EndpointState* reader = request.lease_held ? find_endpoint(request.prefill_endpoint) : nullptr;
        const bool windowed = decode_ring_.size() > kMaxFullScan && !scan_all_;
        std::uint64_t cell = windowed && reader ? choose_decode_cell(*reader) : 0;
        const auto* from = &candidates(decode_ring_, decode_window_key(request), decode_candidates_);
        if (windowed && reader) add_cell_endpoints(cell, decode_candidates_);
        for (int strict = 1; strict >= 0 && fit.empty(); --strict) {
            for (EndpointState* endpoint : *from) {
                if (!is_eligible(*endpoint, request, strict)) continue;
                if (strict && !has_capacity(*endpoint)) continue;
                int queued = endpoint->in_flight[decode_queued] + endpoint->in_flight[prefill];
                if (!strict) queued += young_streams(*endpoint);
                fit.push_back({queued, endpoint});
            }
        }
        if (fit.empty()) return nullptr;
        int least = fit[0].first;
        for (const auto& [n, s] : fit) least = std::min(least, n);
        if (!windowed && reader) cell = choose_decode_cell(*reader);
        std::vector<std::pair<std::array<double, 3>, EndpointState*>> near;
        for (const auto& [n, s] : fit) {
            if (n > least + 1) continue;
            const bool apart = reader && s->endpoint.cell != cell;
            near.push_back({{apart ? 1.0 : 0.0, static_cast<double>(s->in_flight[streaming]), uniform()}, s});
        }
        return least_of(near);
    }

    // A window seldom holds the writers of a given cell, to which a state moves at the least cost: they join
    // it.
    void add_cell_endpoints(std::uint64_t cell, std::vector<EndpointState*>& window) {
        const auto at = decode_endpoints_by_cell_.find(cell);
        if (at == decode_endpoints_by_cell_.end()) return;
        for (EndpointState* endpoint : at->second) {
            if (std::find(window.begin(), window.end(), endpoint) == window.end()) window.push_back(endpoint);
        }
    }

    // The cell whose writers come first for a state here: the reader's own, as far as its share of the
    // writers covers what is read in it; else one with writers to spare, the same zone's counting double.
    // Guards against few writers drawing all that many readers there read. Harms where links are narrow.
    std::uint64_t choose_decode_cell(const EndpointState& reader) {
        const Cell& own = cells_[reader.endpoint.cell];
        if (!low_sample_rate() || uniform() * own.prefill_share <= own.decode_share)
            return reader.endpoint.cell;
        const auto spare = [&](const Cell& cell) {
            return std::max(0.0, cell.decode_share - cell.prefill_share) *
                   (cell.zone == reader.endpoint.zone ? 2 : 1);
        };
        double left = 0;
        for (const auto& [id, c] : cells_) left += spare(c);
        left *= uniform();
        for (const auto& [id, c] : cells_) {
            if ((left -= spare(c)) < 0) return id;
        }
        return reader.endpoint.cell;
    }

    // How many reads a reader draws: more where writers are near, as reads far from them fill links.
    double prefill_weight(const EndpointState& endpoint) {
        return low_sample_rate() ? cells_[endpoint.endpoint.cell].weight : 1;
    }

    // Own streams at the server that have made fewer than the quantum's tokens, at the wanted pace.
    int young_streams(const EndpointState& endpoint) const {
        int n = 0;
        for (const auto& [id, r] : requests_) {
            if (!r.in_flight || r.stage != streaming || r.endpoint != endpoint.endpoint.id) continue;
            n += now_ - r.stage_since <
                 kYoungStreamTokens * settings_.classes[class_index(r)].inter_token_objective;
        }
        return n;
    }

    // ---- guards ---------------------------------------------------------------------------------------

    bool is_eligible(EndpointState& endpoint, const RequestState& request, bool strict) {
        if (endpoint.endpoint.status != EndpointStatus::healthy) return false;
        if (!within_slow_start_budget(endpoint, request)) return false;
        // Guards against a repeat that reaches a server which does not drop it: outside the group, or after
        // the window has closed while the connection came up. Holds for reads too, as they are sends.
        if (now_ + settings_.connect_timeout >= retry_deadline(request)) return false;
        if (is_keyed_retry(request)) {
            const DedupScope group = settings_.classes[class_index(request)].dedup_scope;
            const EndpointState* ran = find_endpoint(request.ran_on);
            if (!ran && group != DedupScope::all) return false;
            if (group == DedupScope::zone && ran->endpoint.zone != endpoint.endpoint.zone) return false;
            if (group == DedupScope::cell && ran->endpoint.cell != endpoint.endpoint.cell) return false;
        }
        if (!strict) return true;
        // Guards against a request spent on one server that, sick or full, looks idle from here.
        if (now_ < endpoint.rejecting_until) return false;
        if (std::find(request.failed_endpoints.begin(), request.failed_endpoints.end(),
                      endpoint.endpoint.id) != request.failed_endpoints.end())
            return false;
        // What failed a class last may serve the others. Guards against one class unanswered and, where
        // visits are too rare for flags, all sickness; not a minority alone. Outlasts jams.
        if (low_sample_rate() &&
            now_ - endpoint.last_class_failure[class_index(request)] < kClassEjectionTime)
            return false;
        if (!endpoint.ejected) return true;
        return now_ >= endpoint.ejected_until && endpoint.in_flight_total() < endpoint.concurrency_limit;
    }

    bool is_keyed_retry(const RequestState& request) const {
        return request.may_have_run &&
               settings_.classes[class_index(request)].idempotency == Idempotency::with_key;
    }

    // When the last byte of a further attempt may be sent at the latest.
    Millis retry_deadline(const RequestState& request) const {
        if (!is_keyed_retry(request)) return kNever;
        return request.ran_sent_at + settings_.classes[class_index(request)].dedup_window -
               kTransitFraction * settings_.connect_timeout;
    }

    bool has_capacity(const EndpointState& endpoint) const {
        return endpoint.memory_utilization < kMemoryNearFull;
    }

    // Guards against a cold server being pushed over by all gateways together. Each sends it a share of what
    // its warm peers get from this same gateway, so that the sum holds. A share under one send is a chance,
    // drawn once for a request and server. Where this gateway shuns many peers, all may: less then.
    bool within_slow_start_budget(EndpointState& endpoint, const RequestState& request) {
        if (now_ - endpoint.warming_since >= settings_.slow_start_duration) return true;
        drop_old_sends(endpoint);
        const auto role = static_cast<std::size_t>(endpoint.role);
        const double age = (now_ - endpoint.warming_since) / settings_.slow_start_duration;
        const double gained = settings_.initial_capacity + (1 - settings_.initial_capacity) * age;
        const double share =
            std::min(gained, kSlowStartSafety * settings_.overload_factor * settings_.initial_capacity);
        const double sent = static_cast<double>(endpoint.recent_sends.size());
        const double carried = baseline_rate_[role] * settings_.overload_window;
        if (settings_.gateways <= kFewGateways) return sent + 1 <= std::max(1.0, share * carried);
        const double draw = hash_fraction(seed_ + request.serial, endpoint.endpoint.id);
        return sent + draw < share * std::max(available_fraction_[role], carried);
    }

    void drop_old_sends(EndpointState& endpoint) const {
        while (!endpoint.recent_sends.empty() &&
               endpoint.recent_sends.front() <= now_ - settings_.overload_window)
            endpoint.recent_sends.pop_front();
    }

    void apply_load_report(EndpointState& endpoint, const LoadReport& report) {
        if (report.memory_utilization < 0) return;
        endpoint.memory_utilization = report.memory_utilization;
        has_load_reports_ = true;
        endpoint.last_report_at = now_;
        endpoint.tokens_held_by_others =
            std::max(0.0, report.memory_utilization * memory_capacity(endpoint) - endpoint.reserved_tokens);
    }

    double memory_capacity(const EndpointState& endpoint) const {
        const double m = settings_.kinds[static_cast<std::size_t>(endpoint.endpoint.kind)].memory_tokens;
        return std::max(1.0, m) * (endpoint.endpoint.weight > 0 ? endpoint.endpoint.weight : 1);
    }

    // Judges a server by the outcome of an attempt.
    void record_outcome(EndpointState& endpoint, const RequestState& request, const AttemptEnded& ended) {
        const bool early =
            endpoint.ejected && request.sent_at < endpoint.ejected_at;  // tells nothing new of a suspect
        switch (ended.result) {
            case AttemptResult::served:
            case AttemptResult::prefill_done:
                endpoint.last_success = now_;
                endpoint.last_class_failure[class_index(request)] = -kNever;
                endpoint.connect_failed = false;
                if (ended.result == AttemptResult::prefill_done)
                    record_completion(endpoint, request, prefill);
                if (request.stage == streaming) record_completion(endpoint, request, streaming);
                endpoint.error_rate *= 1 - kErrorRateStep;
                if (!early && endpoint.ejected) {
                    if (endpoint.was_unreachable) {
                        endpoint.warming_since = now_;
                        endpoint.was_unreachable = false;
                    }
                    endpoint.concurrency_limit *= 2;
                    if (endpoint.concurrency_limit > kMaxTrialConcurrency) {
                        endpoint.ejected = false;
                        endpoint.ejection_backoff = 0;
                    }
                }
                return;
            case AttemptResult::unreachable:
                // Guards against a whole server shunned, and then taken for cold, for one connection: when it
                // is down the next does not come up either. Covers connections reset as they open. May do
                // harm by one more attempt, or one more wait for a connection, at a server that is gone.
                endpoint.last_class_failure[class_index(request)] = now_;
                if (!std::exchange(endpoint.connect_failed, true) && !endpoint.ejected) return;
                endpoint.was_unreachable = true;
                if (!early) eject(endpoint);
                return;
            case AttemptResult::rejected:
                if (ended.detail != 1)
                    endpoint.rejecting_until = now_ + completion_time(decode_queued, request).value();
                return;
            case AttemptResult::timed_out:
                remember_abandoned_prefill(endpoint, request);
                if (request.cancelled) return;
                [[fallthrough]];
            case AttemptResult::reset:
                // Guards against servers shunned for streams that break off or are spoilt on the way, which
                // any may have. Where the server died, the next connection does not come up.
                if (request.stage == streaming) return;
                [[fallthrough]];
            case AttemptResult::error:
                endpoint.last_class_failure[class_index(request)] = now_;
                if (early) return;
                endpoint.error_rate += kErrorRateStep *
                                       (ended.result == AttemptResult::reset ? kResetWeight : 1) *
                                       (1 - endpoint.error_rate);
                // With few visits no second failure comes in time to confirm the first.
                if (endpoint.ejected || ((endpoint.error_rate > kErrorRateThreshold || low_sample_rate()) &&
                                         within_max_ejection_fraction(endpoint)))
                    eject(endpoint);
                return;
            case AttemptResult::cancelled:
                remember_abandoned_prefill(endpoint, request);
                if (request.cancelled && !request.stalled_meanwhile)
                    endpoint.last_class_failure[class_index(request)] = now_;
                return;
            case AttemptResult::not_sent:
                return;
        }
    }

    // A read that was given up on may still run: its memory counts for as long again as it has run.
    void remember_abandoned_prefill(EndpointState& endpoint, const RequestState& request) {
        if (request.stage != prefill) return;
        endpoint.abandoned_prefills.push_back(
            {now_ + (now_ - request.sent_at), request.arrival.prompt_tokens});
        endpoints_with_abandoned_prefills_.insert(endpoint.endpoint.id);
        endpoint.reserved_tokens += request.arrival.prompt_tokens;
    }

    // A suspect gets nothing for a while, then one request at a time, doubling with each success.
    void eject(EndpointState& endpoint) {
        // A trial of a down server costs little, one of a slow server a late answer; many trials add up.
        const Millis longest =
            (endpoint.was_unreachable && !low_sample_rate() ? 2 : 8) * min_latency_objective_;
        endpoint.ejection_backoff = std::clamp(2 * endpoint.ejection_backoff,
                                               low_sample_rate() ? longest : min_latency_objective_, longest);
        endpoint.ejected = true;
        endpoint.ejected_at = now_;
        endpoint.ejected_until = now_ + endpoint.ejection_backoff;
        endpoint.concurrency_limit = 1;
        endpoint.error_rate = 0;
        endpoint.slowness_evidence = {};
    }

    // Whether a server is met too seldom for own queues to show the load: the list and times seen stand in.
    bool low_sample_rate() const {
        return settings_.gateways > kFewGateways &&
               baseline_rate_[static_cast<std::size_t>(settings_.kinds[0].role)] * kCompletionSpan < 1;
    }

    // Nor do reports show it: a jam is met by chance, and what is met must be trusted less and acted on more.
    bool no_load_signal() const { return low_sample_rate() && !has_load_reports_; }

    // Overload makes all slow: only a minority of a role may be flagged for slowness or failures.
    bool within_max_ejection_fraction(const EndpointState& endpoint, Stage stage = prefill) const {
        int peers = 0, bad = 0;
        for (const auto& [id, p] : endpoints_) {
            if (p.role != endpoint.role || p.endpoint.status != EndpointStatus::healthy) continue;
            ++peers;
            bad += p.ejected || p.slowness_evidence[stage] >= kSlownessThreshold / 2;
        }
        return 2 * bad <= peers;
    }

    // A finished stage speaks against its server being slow.
    void record_completion(EndpointState& endpoint, const RequestState& request, Stage stage) {
        endpoint.slowness_evidence[stage] =
            std::max(0.0, endpoint.slowness_evidence[stage] - std::log(kSlowFactor));
        if (!endpoint.ejected) completion_time(stage, request).add_completion();
    }

    // Sequential test of each server against its peers: work that is out speaks for slowness as it ages, each
    // completion against it. Covers silence, slow machines and stalled streams alike. May do harm when a few
    // long answers meet on one server: then it is left for a while without need.
    void on_health_tick() {
        schedule_health_tick();
        if (settings_.discovery == Discovery::poll &&
            now_ - last_watch_request_ > settings_.poll_interval / 2)
            watch_endpoints();
        const Millis dt = now_ - last_health_tick_;
        last_health_tick_ = now_;
        std::map<EndpointId, std::array<bool, 3>>
            harmed;  // by work that has waited long, measured by its aim
        for (auto& [id, r] : requests_) {
            EndpointState* endpoint = r.in_flight && !r.cancelled ? find_endpoint(r.endpoint) : nullptr;
            if (!endpoint) continue;
            const Millis expects = expected_time(r, r.stage);
            const Millis age = now_ - (r.stage == streaming ? r.stage_since : r.sent_at);
            // What is out long past the usual tells of a long answer, no longer of its server.
            if (age < 3 * expects || r.stage != streaming) {
                double& e = endpoint->slowness_evidence[r.stage];
                e = std::min(2 * kSlownessThreshold, e + dt / expects * (1 - 1 / kSlowFactor));
            }
            if (!endpoint->ejected) completion_time(r.stage, r).add_time(dt / r.work_units);
            if (r.stage == streaming || age > 0.5 * latency_objective(r)) harmed[r.endpoint][r.stage] = true;
        }
        refresh_fleet_stats_if_due();
        const double keep = std::exp(-dt / kCompletionSpan / 10);
        arrivals_seen_ *= keep;
        for (auto& [prefix, count] : shared_prefix_arrivals_) count *= keep;
        std::erase_if(shared_prefix_arrivals_, [](const auto& b) { return b.second < 0.05; });
        for (auto& stage : completion_times_) {
            for (auto& u : stage)
                u.decay(std::exp(-dt / kCompletionSpan), std::exp(-dt / kCompletionSpan / 10));
        }
        expire_abandoned_prefills();
        std::vector<EndpointState*> slow;
        for (const auto& [id, stages] : harmed) {
            EndpointState& endpoint = endpoints_.at(id);
            for (std::size_t stage = 0; stage < 3; ++stage) {
                if (endpoint.slowness_evidence[stage] < kSlownessThreshold || !stages[stage]) continue;
                if (!within_max_ejection_fraction(endpoint, static_cast<Stage>(stage))) continue;
                slow.push_back(&endpoint);
                break;
            }
        }
        for (EndpointState* endpoint : slow) {
            eject(*endpoint);
            migrate_off(*endpoint);
        }
    }

    void expire_abandoned_prefills() {
        std::erase_if(endpoints_with_abandoned_prefills_, [this](EndpointId id) {
            EndpointState* endpoint = find_endpoint(id);
            if (!endpoint) return true;
            while (!endpoint->abandoned_prefills.empty() &&
                   endpoint->abandoned_prefills.front().first <= now_) {
                endpoint->reserved_tokens -= endpoint->abandoned_prefills.front().second;
                endpoint->abandoned_prefills.pop_front();
            }
            return endpoint->abandoned_prefills.empty();
        });
    }

    // Guards against servers blamed for this gateway's own standstill: a tick that is late by more than one
    // says that nothing was heard for as long, so it is no time of those that have work out. Covers a stopped
    // process, a starved core and a long turn alike. May do harm when a server slows while this gateway
    // stands: its work out then is judged too kindly, once, by as much.
    void detect_stall() {
        const Millis late = now_ - next_health_tick_;
        if (late <= health_interval()) return;
        next_health_tick_ = now_;
        last_health_tick_ = std::min(now_, last_health_tick_ + late);
        stats_refreshed_at_ = std::min(now_, stats_refreshed_at_ + late);
        for (auto& [id, r] : requests_) {
            if (!r.in_flight) continue;
            r.sent_at = std::min(now_, r.sent_at + late);
            r.stage_since = std::min(now_, r.stage_since + late);
            r.stalled_meanwhile = true;
        }
    }

    void schedule_health_tick() {
        next_health_tick_ = now_ + health_interval();
        emit(SetTimer{kHealthTimer, next_health_tick_});
    }

    // A survey each tick, or with many servers as seldom as its cost grows. Guards against a cost of an idle
    // gateway that grows with the fleet. May do harm by usual rates that are late by up to some ticks.
    void refresh_fleet_stats_if_due() {
        if (now_ < stats_due_) return;
        refresh_fleet_stats(now_ - stats_refreshed_at_);
        stats_refreshed_at_ = now_;
        stats_due_ = now_ + health_interval() *
                                (static_cast<double>(endpoints_.size() / kEndpointsPerStatsTick) - 0.5);
        forget_removed_endpoints();
    }

    // Guards against memory that grows with every server that was ever listed. May do harm by judging one
    // afresh that comes back after so long without a start of its own.
    void forget_removed_endpoints() {
        std::erase_if(endpoints_, [this](const auto& entry) {
            const EndpointState& endpoint = entry.second;
            return endpoint.endpoint.status == EndpointStatus::removed &&
                   now_ - endpoint.last_listed > kForgetRemovedAfter && endpoint.in_flight_total() == 0;
        });
    }

    // By role: the most that this gateway lately sent a warm server and the part of the servers that it does
    // not shun. By cell: shares of what is read and written and the readers' pull, by the list, so that
    // gateways agree; less where more of the aim was spent of late. Guards against jams and busier zones.
    void refresh_fleet_stats(Millis dt) {
        const double keep = std::exp(-dt / kCompletionSpan / 3);
        double spent = 0, reads = 0, read = 0;
        std::map<int, Cell> zones;
        for (auto& [id, c] : cells_) {
            c.objective_spent *= keep;
            c.prefills *= keep;
            spent += c.objective_spent;
            reads += c.prefills;
            c.prefill_share = c.decode_share = 0;
            zones[c.zone].objective_spent += c.objective_spent;
            zones[c.zone].prefills += c.prefills;
        }
        std::array<double, 3> sent{}, warm{}, left{}, listed{};
        for (const auto& [id, s] : endpoints_) {
            if (s.endpoint.status != EndpointStatus::healthy) continue;
            const auto role = static_cast<std::size_t>(s.role);
            ++listed[role];
            Cell& cell = cells_[s.endpoint.cell];
            cell.zone = s.endpoint.zone;
            cell.prefill_share += s.role == Role::prefill;
            cell.decode_share += s.can_decode();
            if (s.ejected) continue;
            ++left[role];
            if (now_ - s.warming_since < settings_.slow_start_duration) continue;
            ++warm[role];
            sent[role] += s.send_rate.read(now_);
        }
        for (std::size_t role = 0; role < 3; ++role) {
            baseline_rate_[role] *= std::exp(-dt / kCompletionSpan / 10);
            if (warm[role] > 0)
                baseline_rate_[role] = std::max(baseline_rate_[role], sent[role] / warm[role]);
            if (listed[role] > 0) available_fraction_[role] = left[role] / listed[role];
        }
        const double readers = listed[static_cast<std::size_t>(Role::prefill)];
        const double writers = std::accumulate(listed.begin(), listed.end(), 0.0) - readers;
        const double usual = reads > 0 ? spent / reads : 0;
        // A cell is taken for as its zone, and a zone that nothing is known of for calm: else a gateway whose
        // own zone jams never looks into the other, as it knows of nothing better.
        const double calm = kCellPriorPrefills * std::min(usual, kUnknownZoneObjectiveFraction);
        for (auto& [id, c] : cells_) {
            c.decode_share /= std::max(1.0, writers);
            if (c.prefill_share <= 0) continue;
            const Cell& z = zones[c.zone];
            const double there = (z.objective_spent + calm) / (z.prefills + kCellPriorPrefills);
            const double here =
                (c.objective_spent + kCellPriorPrefills * there) / (c.prefills + kCellPriorPrefills);
            c.weight =
                std::clamp(0.5 + 0.5 * c.decode_share * readers / c.prefill_share, 1 / kMaxCellWeightChange,
                           kMaxCellWeightChange) *
                std::clamp((kCalmObjectiveFraction + usual) / (kCalmObjectiveFraction + here), 0.3, 1.5);
            read += c.prefill_share *= c.weight;
        }
        for (auto& [id, c] : cells_) c.prefill_share /= std::max(1e-9, read);
    }

    // Takes own requests off a server that has become slow or silent, within the retry budget.
    void migrate_off(EndpointState& endpoint) {
        for (auto& [id, r] : requests_) {
            if (!r.in_flight || r.cancelled || r.endpoint != endpoint.endpoint.id || retry_budget_ < 1)
                continue;
            // A slow read is moved only while its aim can be met, as it is lost work; a silent one always.
            if (r.stage == prefill && endpoint.last_success >= r.sent_at &&
                now_ - r.sent_at > 0.8 * latency_objective(r))
                continue;
            if (r.stage == streaming && settings_.stream_migration) {
                retry_budget_ -= 1;
                r.cancelled = true;
                emit(MigrateStream{id});
            } else if (r.stage != streaming && settings_.cancellation && !r.closed &&
                       r.attempt_count < settings_.max_attempts - 1) {
                cancel_attempt(r);
            }
        }
    }

    // The wait for a first token that is to be expected now: behind the shortest own read queue, then behind
    // all own requests still before a stream, those being read among them, as they will join those.
    Millis expected_wait(const RequestState& request) {
        double ahead = 0;
        for (const auto& [id, own] : requests_)
            ahead += own.in_flight && own.stage != streaming && find_endpoint(own.endpoint);
        double to_read = kNever;
        for (const Role role : {Role::prefill, Role::mixed}) {
            for (EndpointState* endpoint :
                 candidates(ring(role), prefill_window_key(request), prefill_candidates_)) {
                if (is_eligible(*endpoint, request, true))
                    to_read = std::min(to_read, endpoint->queued_kilotokens);
            }
        }
        const auto& looked_at = candidates(decode_ring_, decode_window_key(request), decode_candidates_);
        double writers = 0;
        for (EndpointState* endpoint : looked_at) writers += is_eligible(*endpoint, request, true);
        // A window's writers stand for all.
        if (!looked_at.empty())
            writers *= static_cast<double>(decode_ring_.size()) / static_cast<double>(looked_at.size());
        if (to_read >= kNever) to_read = 0;
        if (to_read + ahead <= 0) return 0;  // nothing is ahead of it, whatever it takes
        const Millis write = typical_time(decode_queued, request);
        // A queue is as long for a long prompt as for a usual one.
        const double own = std::min(uncached_kilotokens(request), typical_uncached_kilotokens_);
        const Millis read = request.lease_held ? 0 : typical_time(prefill, request) * (to_read + own);
        return std::max(read + write, write * (1 + ahead / std::max(1.0, writers)));
    }

    // What a stage takes at servers that answer. Guards against work that hangs at a few servers taken for a
    // wait that all have: it is out long and lifts the mean, but not the low quantile. Where none answers the
    // mean stands. May do harm where waits differ much: what is foreseen for the slower part is too short.
    Millis typical_time(Stage stage, const RequestState& request) {
        const CompletionTime& time = completion_time(stage, request);
        if (time.completed() < 1) return time.value();
        const double quantile =
            low_quantile_[stage].value() * (stage == prefill ? 1 : stage_work(request, stage));
        return std::min(time.value(), kTypicalQuantiles * quantile);
    }

    // Guards against reads for nothing while every writer is down: each is tried by one request at a time.
    bool decode_reachable() const {
        const auto& writers = decode_ring_.by_id();
        return std::any_of(writers.begin(), writers.end(), [this](const EndpointState* endpoint) {
            const bool down = endpoint->ejected && endpoint->was_unreachable &&
                              (now_ < endpoint->ejected_until ||
                               endpoint->in_flight_total() >= endpoint->concurrency_limit);
            return !down;
        });
    }

    // Sheds what earns least first: as the wait nears the aim, over-share tenants, then cheap classes.
    bool should_shed(const RequestState& request) {
        double value = settings_.classes[class_index(request)].priority_weight / max_priority_weight_;
        const auto t = static_cast<std::size_t>(request.arrival.tenant);
        if (request.arrival.tenant >= 0 && t < quota_left_.size() && settings_.tenants[t].quota_per_s > 0) {
            const double gain = settings_.tenants[t].quota_per_s / settings_.gateways / 1000;
            quota_left_[t] = std::min(quota_burst(settings_.tenants[t]),
                                      quota_left_[t] + gain * (now_ - quota_updated_at_[t]));
            quota_updated_at_[t] = now_;
            if (quota_left_[t] >= 1) {
                quota_left_[t] -= 1;
            } else {
                value *= settings_.over_quota_weight;
            }
        }
        if (request.arrival.resumed) return false;
        // What it takes by itself is no queue: guards against long prompts refused whatever the load.
        const Millis pace =
            std::min(low_quantile_[prefill].value(), completion_time(prefill, request).value());
        const Millis room = std::max(latency_objective(request) - pace * uncached_kilotokens(request),
                                     kMinWaitObjectiveFraction * latency_objective(request));
        const Millis queue = expected_wait(request) -
                             pace * std::min(uncached_kilotokens(request), typical_uncached_kilotokens_);
        // Guards against a gateway that met a jammed server and refuses while others idle: what it foresees
        // from few visits may be double the truth. May do harm by late answers where all are overloaded.
        return queue > (no_load_signal() ? kNoSignalWaitFactor : 1) * room * (0.3 + 0.5 * value);
    }

    double quota_burst(const TenantSettings& tenant) const {
        return std::max(2.0, 2 * tenant.quota_per_s / settings_.gateways);
    }
    double max_retry_budget() const { return std::max(min_retry_budget(), 6000 * arrival_rate_.read(now_)); }
    // What a gateway starts with: of many, the sum counts.
    double min_retry_budget() const { return std::clamp(40.0 / settings_.gateways, kMinRetryBudget, 20.0); }

    // ---- small helpers --------------------------------------------------------------------------------

    // Thousands of tokens that a read must work through: all but the shared beginning, and a little.
    static double uncached_kilotokens(const RequestState& request) {
        return 0.2 +
               std::max(0.0, request.arrival.prompt_tokens - request.arrival.shared_prefix_tokens) / 1000;
    }
    CompletionTime& completion_time(Stage stage, const RequestState& request) {
        return completion_times_[stage][stage == prefill ? 0 : class_index(request)];
    }
    Millis expected_time(const RequestState& request, Stage stage) {
        return completion_time(stage, request).value() * request.work_units;
    }
    std::size_t class_index(const RequestState& request) const {
        return static_cast<std::size_t>(request.arrival.cls);
    }
    Millis latency_objective(const RequestState& request) const {
        const ClassSettings& class_settings = settings_.classes[class_index(request)];
        return class_settings.latency_objective +
               class_settings.latency_objective_per_1000_tokens * request.arrival.prompt_tokens / 1000;
    }
    Millis health_interval() const { return std::max(settings_.event_interval, min_latency_objective_ / 20); }
    EndpointState* find_endpoint(EndpointId id) {
        const auto it = endpoints_.find(id);
        return it == endpoints_.end() ? nullptr : &it->second;
    }
    double uniform() { return stats::unit_interval(random_()); }
    void watch_endpoints() {
        last_watch_request_ = now_;
        emit(WatchEndpoints{});
    }
    void emit(Action action) { actions_->push_back(std::move(action)); }

    const Settings settings_;
    const std::uint64_t seed_;
    std::mt19937_64 random_;
    Millis now_ = 0;
    std::vector<Action>* actions_ = nullptr;
    bool started_ = false;
    Millis last_watch_request_ = 0, last_health_tick_ = 0, next_health_tick_ = 0,
           min_latency_objective_ = kNever;
    double max_priority_weight_ = 1e-9;
    std::map<EndpointId, EndpointState> endpoints_;
    // The healthy ones.
    std::array<HashRing<EndpointState>, 3> healthy_by_role_;
    HashRing<EndpointState> decode_ring_;  // those that write, mixed ones too
    std::map<std::uint64_t, std::vector<EndpointState*>> decode_endpoints_by_cell_;
    std::vector<EndpointState*> prefill_candidates_, mixed_candidates_,
        decode_candidates_;                                   // of the choice under way
    bool scan_all_ = false;                                   // a window had none that can be used
    std::set<EndpointId> endpoints_with_abandoned_prefills_;  // servers with abandoned reads
    Millis stats_refreshed_at_ = 0, stats_due_ = 0;
    std::map<std::uint64_t, Cell> cells_;
    std::map<RequestId, RequestState> requests_;
    std::map<std::uint64_t, RequestId> by_serial_;
    std::uint64_t serial_ = 0;
    double retry_budget_ = 0;
    DecayingRate arrival_rate_{kRateSpan};
    bool has_load_reports_ = false;                           // servers tell of their load
    std::map<std::uint64_t, double> shared_prefix_arrivals_;  // arrivals by shared beginning, fading
    double arrivals_seen_ = 0;                                // arrivals in all, fading
    double typical_prompt_tokens_ = 0,
           typical_uncached_kilotokens_ = 0;  // usual length, and usual thousands of tokens to read of it
    std::array<std::vector<CompletionTime>, 3> completion_times_;
    std::array<QuantileEstimate, 2> low_quantile_{QuantileEstimate(kLowQuantile, kQuantileStep, 1),
                                                  QuantileEstimate(kLowQuantile, kQuantileStep, 1)};
    std::array<double, 3> baseline_rate_{}, available_fraction_{1, 1, 1};  // by role: see survey
    std::vector<double> quota_left_;
    std::map<std::size_t, Millis> quota_updated_at_;
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace gorsenotch
