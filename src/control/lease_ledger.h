// The ledger of what endpoints hold for one request: one lease for each resource, which is the KV cache
// stored by a prefill, what a lost prefill may have stored, or a decode slot. Each lease has its own holder,
// origin and clock. The ledger tracks what is proved about the attempts, and computes when a release must
// begin. No I/O; the caller supplies the clock, in ms.
//
// Written bytes prove nothing: the kernel buffers them even if the peer is gone. Only a byte of the response
// on the same connection proves that an attempt arrived, only the peer's own close proves that it saw the end
// of an attempt, and only the response to a release proves that a resource was released. An endpoint's answer
// to another message proves at most that a prefill at this very endpoint is still running, so it extends the
// lease of that prefill and no other.
//
// One release frees everything that is held for the request, except what a decode that has arrived waits for.
// So a release that was sent before a decode's close was seen may have freed nothing, and a release that
// meets a prefill in flight frees the result of that prefill. Therefore a further prefill starts only after
// the resources of earlier attempts were released, see needs_release_before_prefill().
//
// Ownership: one per request, owned and changed by the request's lifecycle only. It reports no errors.
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// How the leased resource was acquired.
enum class LeaseOrigin {
    prefill_done,        // a prefill endpoint confirmed that the KV cache is stored
    prefill_lost,        // a prefill ended without a response: its KV cache may be stored, now or later
    prefill_unanswered,  // a prefill is in flight: it may be done and its response lost
    slot_requested       // a decode slot was requested
};
constexpr std::array<const char*, 4> kLeaseOriginNames = {"prefill_done", "prefill_lost",
                                                          "prefill_unanswered", "slot_requested"};

// The end of an attempt that may have waited for a resource. Nothing proves that its endpoint has seen the
// end.
struct UnprovedEnd {
    int attempt = 0;
    Millis ended_at = 0;
};

// One resource that an endpoint holds, or may hold, for the request.
struct Lease {
    LeaseOrigin origin = LeaseOrigin::prefill_done;
    EndpointId holder = 0;
    // The resource was acquired, or may have been; or the last attempt that may have waited for it ended.
    Millis acquired = 0;
    Millis running_since = 0;  // start of the time limit
    // A release was answered while a written decode may have waited for the resource. If the decode had
    // arrived, the resource is held again when the decode ends; otherwise it is free.
    bool kept_for_decode = false;
    std::vector<UnprovedEnd> unproved_ends;  // attempts that may still run or wait at their endpoints
    Millis waited_until = 0;                 // the earliest of those ends, proved by now or not
    Millis proved_at = 0;                    // when the latest of them was proved
    // A release was answered that may have freed nothing. If so, the resource is held since `waited_until`.
    bool released_unproved = false;
    Millis release_answered_at = 0;
};

// All leases of one request. Takes evidence and computes when health checks and releases are due.
class LeaseLedger {
public:
    // When each step last happened, for logs; below 0: never. Origin, holder and acquired are those of the
    // lease that has been running longest.
    struct Timeline {
        LeaseOrigin origin = LeaseOrigin::prefill_done;
        EndpointId holder = 0;
        Millis acquired = -1;             // the resource was acquired, or may have been
        Millis written = -1;              // the latest attempt's last byte was written to the socket
        Millis arrived = -1;              // the latest attempt was proved to have arrived
        Millis expiring = -1;             // the time limit for proof of arrival passed
        Millis released = -1;             // a release was begun
        EndpointId attempt_endpoint = 0;  // the endpoint of the latest attempt
    };

    // `release_timeout`: from the settings; 0 or less: one second.
    explicit LeaseLedger(Millis release_timeout);

    // ---- evidence ----
    // The resource was, or may have been, acquired at `holder`. `prefill_done` and `prefill_lost` are about
    // the prefill that ended last.
    void on_acquired(Millis now, LeaseOrigin origin, EndpointId holder);
    // An attempt begins. `is_decode`: it takes the KV cache when it arrives.
    void on_attempt_begun(Millis now, EndpointId endpoint, bool is_decode);
    // The attempt's last byte was written to the socket, which proves nothing yet.
    // `expected_by`: when a prefill of usual duration ends, see PrefillTimes.
    void on_request_written(Millis now, Millis expected_by = 0);
    // At `at`, the attempt's endpoint answered a message sent after the attempt. A prefill is then taken to
    // have arrived and to be still in flight at that time. For a decode this is not enough proof.
    void on_endpoint_answered(Millis at);
    // A health check was sent to the attempt's endpoint.
    void on_health_check_sent() { health_check_sent_ = true; }
    // The first byte of the attempt's response was received: it arrived at a running endpoint.
    void on_attempt_answered(Millis now);
    // The attempt ended without taking the resource. `never_ran`: it is proved that it did not run.
    void on_attempt_ended(Millis now, bool never_ran);
    // The endpoint of an attempt that has ended closed its side of the connection too, so the attempt no
    // longer runs or waits there. `attempt`: its latest_attempt() when it was in flight.
    void on_close_proved(Millis now, int attempt);
    // The decode's stream has begun: it took the KV cache of the latest prefill, and its own slot.
    void on_resource_taken();
    void on_release_begun(Millis now);
    // A running endpoint answered the release call that was sent at `sent_at`.
    void on_release_answered(Millis now, Millis sent_at);
    // No endpoint answered the release, or it was withdrawn: the leases continue unchanged.
    void on_release_failed();
    // The time limit for proof of arrival passed; only recorded in the timeline.
    void on_expiring(Millis now) { timeline_.expiring = now; }

    // ---- decisions ----
    // Whether a resource is, or may be, held for the request.
    bool is_held() const;
    // Whether the only resource may be the result of a prefill in flight.
    bool only_prefill_in_flight() const;
    // Whether one release is not enough, because nothing proves that the endpoint of the last attempt has
    // seen its end. A prefill whose connection was closed may end well after the release, and the close of a
    // decode may reach its endpoint after the release.
    bool needs_second_release() const;
    // Whether resources of earlier attempts are to be released before another prefill starts. Later, their
    // release would free the result of that prefill as well.
    bool needs_release_before_prefill() const;
    // Until when that release waits for proof that the last attempt's end was seen; nullopt: not at all.
    std::optional<Millis> close_proof_deadline() const;
    // How long to wait for the endpoint to end the connection of an attempt that was given up, in ms.
    Millis ending_timeout() const;
    // Until when the further prefill waits for the answer to its release, if that begins at `now`.
    Millis release_answer_deadline(Millis now) const;
    // Whether a release was begun at or after `begun`, so that a decode begun then has nothing to take.
    bool released_since(Millis begun) const { return release_begun_at_ >= begun; }
    // When a release must begin if no proof comes; nullopt if none is needed.
    std::optional<Millis> release_at() const;
    // When to send a health check to the endpoint of a prefill in flight; nullopt if none is needed.
    std::optional<Millis> health_check_at() const;
    // Whether a prefill is in flight without a response. A release would free its result.
    bool prefill_in_flight() const;
    Millis prefill_written_at() const { return timeline_.written; }

    Timeline timeline() const;
    // The number of the latest attempt, counted from 1; 0: none has begun.
    int latest_attempt() const { return latest_attempt_; }
    // The leases in the order of their acquisition.
    const std::vector<Lease>& leases() const { return leases_; }
    // The time limit for releasing a resource, in ms.
    Millis duration() const { return duration_; }

private:
    // The state of the latest attempt.
    enum class Attempt {
        none,  // also a prefill that is not written yet, as it stores nothing
        prefill_written,
        decode_unwritten,
        decode_written
    };
    // What the response to the latest attempt has proved.
    enum class Proof {
        none,
        prefill_answered,  // the prefill has ended
        decode_arrived     // an attempt is at its endpoint, which stops all leases
    };
    bool decode_in_flight() const;
    bool is_prefill_in_flight(const Lease& lease) const;
    Lease* unanswered_prefill();
    void restart_leases(Millis now);
    void record_unproved_end(Lease& lease, Millis now) const;
    bool is_certain(const Lease& lease, Millis sent_at) const;
    bool free_by_release(Lease& lease, Millis now, Millis sent_at);
    Millis prefill_limit(const Lease& lease) const;
    Millis release_due(const Lease& lease) const;
    Millis health_check_timeout() const;

    const Millis duration_;
    std::vector<Lease> leases_;
    Attempt attempt_ = Attempt::none;
    Proof proof_ = Proof::none;
    int latest_attempt_ = 0;
    bool release_in_progress_ = false;
    bool health_check_sent_ = false;
    Millis decode_begun_at_ = 0;
    Millis release_begun_at_ = -1;  // of the latest release; below 0: none
    Millis prefill_expected_by_ = 0;
    Timeline timeline_;
};

}  // namespace gorsenotch::control
