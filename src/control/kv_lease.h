// The lease on what model servers hold for one request, that is the KV cache a prefill has left or a decode
// slot: since when it is held, what has been proved about the attempt that is to take it, and until when it
// may be held. No I/O; the clock is handed in, ms.
//
// Bytes written to a connection prove nothing: the kernel takes them, and a peer that has vanished says
// nothing. Only a byte of a response on the same connection proves that an attempt has arrived, and only the
// response to a release proves that something was released. So the lease runs on while a decode is written
// and unproved, and expires in time for a release that itself meets silent endpoints. A release does no harm
// to a decode that has arrived, since it frees only what no attempt waits for.
//
// It does free what a prefill in flight leaves. So while a prefill is in flight a response of its endpoint to
// something later counts as well, and a health check asks for one where nothing else has brought it.
//
// Ownership: one for each request, owned and changed by the request's lifecycle alone. It reports no errors.
#pragma once

#include <array>
#include <optional>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"

namespace gorsenotch::control {

// How something came to be held.
enum class LeaseOrigin {
    prefill_done,        // a prefill endpoint answered that the KV cache is there
    prefill_lost,        // a prefill was sent and ended without a response: it may be held, now or later
    prefill_unanswered,  // a prefill is in flight: it may have ended, and its response may be lost
    slot_requested       // a decode slot was asked for
};
constexpr std::array<const char*, 4> kLeaseOriginNames = {"prefill_done", "prefill_lost",
                                                          "prefill_unanswered", "slot_requested"};

// The lease of one request: evidence in, the times of health checks and releases out.
class KvLease {
public:
    // When each step happened last, for logs; below 0: it did not.
    struct Timeline {
        LeaseOrigin origin = LeaseOrigin::prefill_done;
        EndpointId holder = 0;
        Millis acquired = -1;    // it is held, or may be held, since then
        Millis written = -1;     // the latest attempt's last byte was handed to the kernel
        Millis arrived = -1;     // and that attempt was proved to have arrived
        Millis expiring = -1;    // the time in which proof may come was over
        Millis released = -1;    // a release was begun
        EndpointId awaited = 0;  // the endpoint of the latest attempt
    };

    // `release_within`: the time that the settings allow; 0 or less: a second.
    explicit KvLease(Millis release_within);

    // ---- evidence ----
    void on_acquired(Millis now, LeaseOrigin origin, EndpointId holder);
    // An attempt begins. `is_decode`: it takes what is held when it arrives.
    void on_attempt_begun(Millis now, EndpointId endpoint, bool is_decode);
    // The attempt's last byte is in the kernel's hands: no proof of anything.
    // `usual_until`: a prefill may ordinarily take until then, see PrefillTimes.
    void on_request_written(Millis now, Millis usual_until = 0);
    // The attempt's endpoint has answered something sent after it, at `at`: a prefill is taken to have
    // arrived, and to be still in flight then. For a decode this proves too little.
    void on_endpoint_answered(Millis at);
    // The endpoint was asked for such an answer.
    void on_health_check_sent() { health_check_sent_ = true; }
    // A byte of the attempt's response has come: it has arrived at an endpoint that runs.
    void on_attempt_answered(Millis now);
    // The attempt is over and has taken nothing. `never_ran`: that is proved.
    void on_attempt_ended(Millis now, bool never_ran);
    // The decode's stream has begun: nothing is held any more.
    void on_taken();
    void on_release_begun(Millis now);
    // An endpoint that runs has answered a release. What a written decode may wait for is kept for it.
    void on_release_answered(Millis now);
    // Nobody answered the release, or it was withdrawn: what is held is held as before.
    void on_release_failed();
    // The time in which proof may come is over; recorded in the timeline only.
    void on_expiring(Millis now) { timeline_.expiring = now; }

    // ---- decisions ----
    bool held() const { return holding_ != Holding::nothing; }
    // Nothing is known to be held; a prefill is in flight that may have ended.
    bool only_unanswered_prefill() const { return holding_ == Holding::unanswered_prefill; }
    // One release is not enough: a prefill that was cut off may end well after it, and the close of a decode
    // may reach its endpoint after the release, which then left alone what that decode still waited for.
    bool uncertain() const { return uncertain_; }
    // A decode that began at `begun` has nothing left to take.
    bool released_since(Millis begun) const { return released_at_ >= begun; }
    // When a release has to begin if no proof comes; nothing while none is needed.
    std::optional<Millis> release_at() const;
    // When the endpoint of a prefill in flight is due a health check; nothing while it needs none.
    std::optional<Millis> health_check_at() const;
    // A prefill is in flight that nobody has answered: a release would free what it leaves.
    bool prefill_in_flight() const;
    Millis prefill_written_at() const { return timeline_.written; }

    const Timeline& timeline() const { return timeline_; }
    // The time allowed for a release, in ms.
    Millis duration() const { return duration_; }

private:
    // What endpoints hold for the request, as far as is known.
    enum class Holding {
        nothing,
        unanswered_prefill,  // only what a prefill in flight may have left
        held
    };
    // The latest attempt, as far as the lease depends on it.
    enum class Attempt {
        none,  // or a prefill that is not written yet, which leaves nothing
        prefill_written,
        decode_unwritten,
        decode_written
    };
    // What its response has proved.
    enum class Proof {
        none,
        prefill_answered,  // the prefill has ended
        decode_arrived     // the lease does not run
    };
    bool decode_in_flight() const;
    Millis health_check_time() const;  // left for the response to a health check

    const Millis duration_;
    Holding holding_ = Holding::nothing;
    Attempt attempt_ = Attempt::none;
    Proof proof_ = Proof::none;
    bool uncertain_ = false;
    bool release_in_progress_ = false;
    bool health_check_sent_ = false;
    bool kept_for_decode_ = false;  // a release was answered while a written decode may have been waiting
    Millis running_since_ = 0;      // the lease runs from then
    Millis decode_begun_at_ = 0;
    Millis released_at_ = -1;  // the latest release was begun; below 0: none was
    Millis prefill_usual_until_ = 0;
    Timeline timeline_;
};

}  // namespace gorsenotch::control
