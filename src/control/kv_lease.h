// The lease on the resources that endpoints hold for one request: the KV cache stored by a prefill, or a
// decode slot. It tracks when the resource was acquired, what is proved about the attempt that is to take it,
// and when it must be released. No I/O; the caller supplies the clock, in ms.
//
// Written bytes prove nothing: the kernel buffers them even if the peer is gone. Only a byte of the response
// on the same connection proves that an attempt arrived, and only the response to a release proves that a
// resource was released. So the lease keeps running while a decode is written but unproved, and it expires
// early enough for a release that meets unresponsive endpoints. A release does not harm a decode that has
// arrived, since it frees only resources that no attempt waits for.
//
// A release does free the result of a prefill in flight. So while a prefill is in flight, a response of its
// endpoint to any later message also extends the lease; if there is none, a health check is sent to get one.
//
// Ownership: one per request, owned and changed by the request's lifecycle only. It reports no errors.
#pragma once

#include <array>
#include <optional>

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

// The lease of one request. Takes evidence and computes when health checks and releases are due.
class KvLease {
public:
    // When each step last happened, for logs; below 0: never.
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
    explicit KvLease(Millis release_timeout);

    // ---- evidence ----
    // The resource was, or may have been, acquired at `holder`. An older lease keeps its start.
    void on_acquired(Millis now, LeaseOrigin origin, EndpointId holder);
    // An attempt begins. `is_decode`: it takes the leased resource when it arrives.
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
    // The decode's stream has begun: it took the resource.
    void on_resource_taken();
    void on_release_begun(Millis now);
    // A running endpoint answered a release. It keeps a resource that a written decode may be waiting for.
    void on_release_answered(Millis now);
    // No endpoint answered the release, or it was withdrawn: the lease continues unchanged.
    void on_release_failed();
    // The time limit for proof of arrival passed; only recorded in the timeline.
    void on_expiring(Millis now) { timeline_.expiring = now; }

    // ---- decisions ----
    // Whether a resource is, or may be, held for the request.
    bool is_held() const { return holding_ != Holding::nothing; }
    // Whether the only resource may be the result of a prefill in flight.
    bool only_prefill_in_flight() const { return holding_ == Holding::unanswered_prefill; }
    // Whether one release is not enough. A prefill whose connection was closed may end well after the
    // release. The close of a decode may reach its endpoint after the release, which then did not free the
    // resource that this decode still waited for.
    bool needs_second_release() const { return needs_second_release_; }
    // Whether a release was begun at or after `begun`, so that a decode begun then has nothing to take.
    bool released_since(Millis begun) const { return release_begun_at_ >= begun; }
    // When a release must begin if no proof comes; nullopt if none is needed.
    std::optional<Millis> release_at() const;
    // When to send a health check to the endpoint of a prefill in flight; nullopt if none is needed.
    std::optional<Millis> health_check_at() const;
    // Whether a prefill is in flight without a response. A release would free its result.
    bool prefill_in_flight() const;
    Millis prefill_written_at() const { return timeline_.written; }

    const Timeline& timeline() const { return timeline_; }
    // The time limit for releasing the resource, in ms.
    Millis duration() const { return duration_; }

private:
    // The resource held for the request, as far as is known.
    enum class Holding {
        nothing,
        unanswered_prefill,  // only the possible result of a prefill in flight
        held
    };
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
        decode_arrived     // the lease is stopped
    };
    bool decode_in_flight() const;
    Millis health_check_timeout() const;

    const Millis duration_;
    Holding holding_ = Holding::nothing;
    Attempt attempt_ = Attempt::none;
    Proof proof_ = Proof::none;
    bool needs_second_release_ = false;
    bool release_in_progress_ = false;
    bool health_check_sent_ = false;
    bool kept_for_decode_ = false;  // a release was answered while a written decode may have been waiting
    Millis running_since_ = 0;      // start of the time limit
    Millis decode_begun_at_ = 0;
    Millis release_begun_at_ = -1;  // of the latest release; below 0: none
    Millis prefill_expected_by_ = 0;
    Timeline timeline_;
};

}  // namespace gorsenotch::control
