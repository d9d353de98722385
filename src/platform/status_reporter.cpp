#include "platform/status_reporter.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "log/log.h"
#include "net/clock.h"
#include "net/process_memory.h"

namespace gorsenotch::platform {
namespace {

constexpr Millis kReportInterval = 5000;

// The counts by name; both arrays are indexed by the same enum.
template <std::size_t Size>
nlohmann::json counts_by_name(const std::array<const char*, Size>& names,
                              const std::array<std::uint64_t, Size>& values) {
    nlohmann::json counts;
    for (std::size_t i = 0; i < Size; ++i) counts[names[i]] = values[i];
    return counts;
}

double milliseconds(const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_usec) / 1000;
}

nlohmann::json results_by_name(const Counters& counters) {
    const auto count = [&](AttemptResult result) { return counters.results[static_cast<int>(result)]; };
    return {{"prefill_done", count(AttemptResult::prefill_done)},
            {"served", count(AttemptResult::served)},
            {"error", count(AttemptResult::error)},
            {"rejected", count(AttemptResult::rejected)},
            {"timed_out", count(AttemptResult::timed_out)},
            {"unreachable", count(AttemptResult::unreachable)},
            {"reset", count(AttemptResult::reset)},
            {"cancelled", count(AttemptResult::cancelled)},
            {"not_sent", count(AttemptResult::not_sent)}};
}

}  // namespace

StatusReporter::StatusReporter(net::EventLoop& loop, Sources sources)
    : sources_(sources), timer_(loop, [this] { report(); }) {}

void StatusReporter::start(Millis started_at) {
    started_at_ = started_at;
    timer_.fire_after(kReportInterval);
}

void StatusReporter::report() {
    timer_.fire_after(kReportInterval);
    log::write("info", "status", fields());
}

nlohmann::json StatusReporter::fields() const {
    nlohmann::json fields;
    add_process(fields);
    add_memory(fields);
    add_open(fields);
    add_requests(fields);
    add_leases(fields);
    add_connections(fields);
    return fields;
}

void StatusReporter::add_process(nlohmann::json& fields) const {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    fields["up_ms"] = std::round(net::now() - started_at_);
    fields["cpu_ms"] = std::round(milliseconds(usage.ru_utime) + milliseconds(usage.ru_stime));
    fields["peak_kb"] = usage.ru_maxrss;
}

void StatusReporter::add_memory(nlohmann::json& fields) const {
    const control::MemoryBudget& memory = sources_.memory;
    const net::HeapSize heap = net::heap_size();
    const proxy::ConnectionPool::PendingBytes pending = sources_.connection_pool.pending_bytes();
    nlohmann::json& sizes = fields["memory_bytes"];
    sizes = {{"limit", memory.limit()},
             {"overhead", memory.overhead()},
             {"capacity", memory.capacity()},
             {"used", memory.used()},
             {"peak_used", memory.peak_used()},
             {"heap_used", heap.used},
             {"heap_free", heap.free},
             {"awaiting_connection", pending.for_connection},
             {"awaiting_socket", pending.for_socket}};
    for (std::size_t i = 0; i < control::kMemoryUseNames.size(); ++i)
        sizes[control::kMemoryUseNames[i]] = memory.used_for(static_cast<control::MemoryUse>(i));
    fields["memory_refusals"] = memory.refusals();
}

void StatusReporter::add_open(nlohmann::json& fields) const {
    const RequestLifecycle& lifecycle = sources_.lifecycle;
    fields["endpoints"] = sources_.endpoints.all().size();
    fields["client_connections"] = sources_.client_connections.connections();
    fields["upstream_connections"] = sources_.connection_pool.connections();
    fields["open_requests"] = lifecycle.open_requests();
    fields["attempts_in_flight"] = lifecycle.attempts_in_flight();
    fields["paused_streams"] = lifecycle.paused_streams();
    fields["unsent_bytes"] = sources_.client_connections.unsent_bytes();
    fields["releases_in_progress"] = lifecycle.releases_in_progress();
}

void StatusReporter::add_requests(nlohmann::json& fields) const {
    const RequestLifecycle& lifecycle = sources_.lifecycle;
    const Counters& counters = lifecycle.counters();
    fields["arrived"] = counters.arrived;
    fields["served"] = counters.served;
    fields["rejected"] = counters.rejected;
    fields["failed"] = counters.failed;
    fields["broken"] = counters.broken;
    fields["client_disconnected"] = counters.client_disconnected;
    fields["migrated"] = counters.migrated;
    fields["attempts"] = counters.attempts;
    fields["responses_too_long"] = counters.responses_too_long;
    fields["stream_pauses"] = counters.stream_pauses;
    fields["stream_resumes"] = counters.stream_resumes;
    fields["stalled_clients"] = counters.stalled_clients;
    // `results` counts attempts, `stream_ends` those whose stream had begun; `outcomes` counts requests.
    fields["results"] = results_by_name(counters);
    fields["stream_ends"] = counts_by_name(kStreamEndNames, counters.stream_ends);
    fields["outcomes"] = counts_by_name(kOutcomeNames, lifecycle.access_log().outcomes());
    fields["outcomes"]["not_logged"] = lifecycle.access_log().not_logged();
    fields["end_causes"] = counts_by_name(kEndCauseNames, lifecycle.access_log().causes());
    fields["violations"] =
        counts_by_name(control::kInvariantNames, lifecycle.invariant_checker().violations());
    // Sends that were prevented, by reason.
    fields["send_blocks"] = counts_by_name(control::kSendBlockReasonNames, counters.send_blocks);
}

void StatusReporter::add_leases(nlohmann::json& fields) const {
    const RequestLifecycle& lifecycle = sources_.lifecycle;
    const Counters& counters = lifecycle.counters();
    const LeaseReleaser::Counts& releases = lifecycle.release_counts();
    fields["released"] = {releases.started, releases.retries, releases.failed};
    fields["release_ends"] = counts_by_name(kReleaseEnds, counters.release_ends);
    fields["release_reasons"] = counts_by_name(kReleaseReasons, counters.release_reasons);
    fields["health_checks"] = {{"sent", lifecycle.health_checker().checks_sent()},
                               {"unanswered", lifecycle.health_checker().checks_unanswered()}};
    // Overrun leases that do not count as violations, as no endpoint responded.
    fields["leases_unanswered"] = lifecycle.invariant_checker().unresponsive_overruns();
    fields["longest_lease_ms"] =
        std::round(*std::max_element(counters.longest_leases.begin(), counters.longest_leases.end()));
    for (std::size_t i = 0; i < counters.longest_leases.size(); ++i)
        fields["longest_lease_ms_by_origin"][control::kLeaseOriginNames[i]] =
            std::round(counters.longest_leases[i]);
}

void StatusReporter::add_connections(nlohmann::json& fields) const {
    const ClientConnections::Counters& clients = sources_.client_connections.counters();
    const proxy::ConnectionPool::Counters& upstream = sources_.connection_pool.counters();
    fields["close_blocks"] = counts_by_name(control::kCloseBlockReasonNames, clients.close_blocks);
    fields["client_connection_ends"] = counts_by_name(kEndReasonNames, clients.ended);
    fields["upstream_connection_ends"] = counts_by_name(proxy::kConnectionEndNames, upstream.ended_by_cause);
    fields["new_connections"] = {upstream.new_connections, upstream.new_failed};
    fields["reused_connections"] = {upstream.reused, upstream.reused_failed};
    // Client connections, not requests.
    fields["accepted"] = clients.accepted;
    fields["connections_rejected"] = clients.of(EndReason::at_capacity);
    fields["evicted"] = clients.of(EndReason::evicted);
    fields["accept_failed"] = clients.accept_failed;
    fields["request_timeouts"] = clients.of(EndReason::request_timeout);
    fields["bad_requests"] = clients.bad_requests;
    fields["refused_draining"] = clients.refused_draining;
    fields["refused_memory"] = clients.refused_memory;
    fields["refused_repeated"] = clients.refused_repeated;
}

}  // namespace gorsenotch::platform
