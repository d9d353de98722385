// The lease on what model servers hold for one request (a read state, a place): since when it stands, what
// has been proved about the attempt that is to take it, and until when it may stay. No I/O; the clock is
// handed in, ms.
//
// What was written to a connection counts for nothing: the kernel takes it, and a peer that has vanished says
// nothing. Only a byte of an answer on the same connection proves that an attempt has arrived, and only the
// answer to a release that something was let go of. So the lease runs on while a write is out and unproved,
// and ends it in time for a release that itself meets silent servers. A release does no harm to a write that
// has arrived, as it lets go only of what no attempt waits for; it needs no guess which of the two is so.
//
// It does take what a read that is under way leaves. So while a read is out an answer of its server to
// something later counts as well, and is asked for in time where nothing else has brought one.
//
// Ownership: one for each request, kept by whoever carries out its attempts and releases.
#pragma once

#include <array>
#include <optional>

#include "gorsenotch/logic.h"
#include "stats/estimators.h"

namespace gorsenotch::control {

// How something came to be held.
enum class LeaseOrigin {
    prefill_done,        // a reader answered that it stands there
    prefill_lost,        // a read was sent and ended without an answer: it may stand, or come to be later
    prefill_unanswered,  // a read is out: it may have ended, and its answer may be lost on the way
    slot_requested       // a place was asked for
};
constexpr std::array<const char*, 4> kLeaseOriginNames = {"prefill_done", "prefill_lost",
                                                          "prefill_unanswered", "slot_requested"};

class KvLease {
public:
    // When what happened last, for logs; below 0: not.
    struct Timeline {
        LeaseOrigin origin = LeaseOrigin::prefill_done;
        EndpointId holder = 0;
        Millis acquired = -1;    // it stands, or may stand, since then
        Millis written = -1;     // the latest attempt's last byte was handed to the kernel
        Millis arrived = -1;     // and that attempt was proved to have arrived
        Millis expiring = -1;    // the time in which proof may come was over
        Millis released = -1;    // a release was begun
        EndpointId awaited = 0;  // the server of the latest attempt
    };

    // `release_within`: the time that the settings allow; 0 or less: a second.
    explicit KvLease(Millis release_within);

    // ---- evidence ----
    void on_acquired(Millis now, LeaseOrigin origin, EndpointId holder);
    // An attempt begins. `write`: it takes what is held when it arrives.
    void on_attempt_begun(Millis now, EndpointId server, bool write);
    // Its last byte is in the kernel's hands: no proof of anything.
    // `usual_until`: a read that is under way may well take until then, see PrefillTimes.
    void on_request_written(Millis now, Millis usual_until = 0);
    // Its server has answered something that was sent after it, at `at`: a read is taken to have arrived, and
    // to be still under way then. For a write this proves too little.
    void on_endpoint_answered(Millis at);
    // That server was asked for such an answer.
    void on_health_check_sent() { health_check_sent_ = true; }
    // A byte of its answer has come: it has arrived at a server that runs.
    void on_attempt_answered(Millis now);
    // It is over and has taken nothing. `never_ran`: that is proved.
    void on_attempt_ended(Millis now, bool never_ran);
    // Its stream has begun: nothing is held any more.
    void on_taken();
    void on_release_begun(Millis now);
    // A server that runs has answered a release. What a write that is out may wait for is kept for that one.
    void on_release_answered(Millis now);
    // Nobody answered it, or it was called back: what is held stands as before.
    void on_release_failed();

    // ---- decisions ----
    bool held() const { return held_; }
    // Nothing is known to stand; a read is out that may have ended.
    bool only_unanswered_prefill() const { return held_ && tentative_; }
    // One release is not enough: a read that was cut off may end well after it, and the end of a write that
    // was closed from here may reach its server after it, so that it left alone what that write still waited
    // for.
    bool uncertain() const { return uncertain_; }
    // A write that began at `begun` has nothing left to take.
    bool released_since(Millis begun) const { return released_at_ >= begun; }
    // When a release has to begin if no proof comes; nothing while none is needed.
    std::optional<Millis> release_at() const;
    // When the server of a read that is out is to be asked for an answer; nothing while it need not be.
    std::optional<Millis> health_check_at() const;
    // A read is out that nobody has answered: a release would take what it leaves.
    bool prefill_in_flight() const { return prefill_written_ && !answer_begun_; }
    Millis prefill_written_at() const { return timeline_.written; }
    void on_expiring(Millis now);

    const Timeline& timeline() const { return timeline_; }
    Millis duration() const { return duration_; }

private:
    Millis health_check_time() const;  // left for the answer of a server that is asked

    const Millis duration_;
    bool held_ = false, uncertain_ = false, release_in_progress_ = false;
    bool attempt_arrived_ = false;  // the attempt out has: the lease does not run
    bool decode_in_flight_ = false, decode_written_ = false, prefill_written_ = false;
    bool answer_begun_ = false;  // of the read that is out
    bool health_check_sent_ = false;
    bool tentative_ = false;        // held_ only says that a read that is out may have ended
    bool kept_for_decode_ = false;  // a release was answered while a write may have been waiting for it
    Millis running_since_ = 0;      // the lease runs from then
    Millis decode_begun_at_ = 0, released_at_ = -1, prefill_usual_until_ = 0;
    Timeline timeline_;
};

// How long reads take, so that one whose answer must be lost is told from one that is slow: an answer of its
// server to something else does not prove that its own connection still works.
class PrefillTimes {
public:
    // A read of a prompt of so many tokens was answered after `took`.
    void add_prefill(Millis took, double prompt_tokens);
    // How long one may well take: longer than nearly all did of late, 0 where too little is known.
    Millis usual_duration(double prompt_tokens) const;
    // It has been out for far longer than that.
    bool is_unusual(Millis age, double prompt_tokens) const;

private:
    std::optional<stats::QuantileEstimate> usual_;  // ms for a unit of work, see work() in the source
    int seen_ = 0;
};

}  // namespace gorsenotch::control
