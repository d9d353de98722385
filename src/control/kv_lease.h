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
enum class HeldOrigin {
    read_done,        // a reader answered that it stands there
    read_lost,        // a read was sent and ended without an answer: it may stand, or come to be later
    read_unanswered,  // a read is out: it may have ended, and its answer may be lost on the way
    place_asked       // a place was asked for
};
constexpr std::array<const char*, 4> kHeldOrigins = {"read_done", "read_lost", "read_unanswered",
                                                     "place_asked"};

class HeldState {
public:
    // When what happened last, for logs; below 0: not.
    struct Timeline {
        HeldOrigin origin = HeldOrigin::read_done;
        EndpointId holder = 0;
        Millis made = -1;        // it stands, or may stand, since then
        Millis sent = -1;        // the latest attempt's last byte was handed to the kernel
        Millis arrived = -1;     // and that attempt was proved to have arrived
        Millis at_risk = -1;     // the time in which proof may come was over
        Millis released = -1;    // a release was begun
        EndpointId awaited = 0;  // the server of the latest attempt
    };

    // `release_within`: the time that the settings allow; 0 or less: a second.
    explicit HeldState(Millis release_within);

    // ---- evidence ----
    void made(Millis now, HeldOrigin origin, EndpointId holder);
    // An attempt begins. `write`: it takes what is held when it arrives.
    void attempt_begun(Millis now, EndpointId server, bool write);
    // Its last byte is in the kernel's hands: no proof of anything.
    // `usual_until`: a read that is under way may well take until then, see ReadTimes.
    void attempt_handed(Millis now, Millis usual_until = 0);
    // Its server has answered something that was sent after it, at `at`: a read is taken to have arrived, and
    // to be still under way then. For a write this proves too little.
    void server_answered(Millis at);
    // That server was asked for such an answer.
    void asked() { asked_ = true; }
    // A byte of its answer has come: it has arrived at a server that runs.
    void attempt_answered(Millis now);
    // It is over and has taken nothing. `never_ran`: that is proved.
    void attempt_over(Millis now, bool never_ran);
    // Its stream has begun: nothing is held any more.
    void taken();
    void release_begun(Millis now);
    // A server that runs has answered a release. What a write that is out may wait for is kept for that one.
    void release_answered(Millis now);
    // Nobody answered it, or it was called back: what is held stands as before.
    void release_over();

    // ---- decisions ----
    bool held() const { return held_; }
    // Nothing is known to stand; a read is out that may have ended.
    bool only_unanswered_read() const { return held_ && tentative_; }
    // One release is not enough: a read that was cut off may end well after it, and the end of a write that
    // was closed from here may reach its server after it, so that it left alone what that write still waited
    // for.
    bool uncertain() const { return uncertain_; }
    // A write that began at `begun` has nothing left to take.
    bool gone_since(Millis begun) const { return gone_at_ >= begun; }
    // When a release has to begin if no proof comes; nothing while none is needed.
    std::optional<Millis> release_at() const;
    // When the server of a read that is out is to be asked for an answer; nothing while it need not be.
    std::optional<Millis> ask_at() const;
    // A read is out that nobody has answered: a release would take what it leaves.
    bool read_out() const { return read_handed_ && !answer_begun_; }
    Millis read_handed_at() const { return timeline_.sent; }
    void at_risk(Millis now);

    const Timeline& timeline() const { return timeline_; }
    Millis allowed() const { return allowed_; }

private:
    Millis ask_time() const;  // left for the answer of a server that is asked

    const Millis allowed_;
    bool held_ = false, uncertain_ = false, releasing_ = false;
    bool arrived_ = false;  // the attempt out has: the lease does not run
    bool write_out_ = false, write_handed_ = false, read_handed_ = false;
    bool answer_begun_ = false;  // of the read that is out
    bool asked_ = false;
    bool tentative_ = false;       // held_ only says that a read that is out may have ended
    bool kept_for_write_ = false;  // a release was answered while a write may have been waiting for it
    Millis since_ = 0;             // the lease runs from then
    Millis write_begun_ = 0, gone_at_ = -1, usual_until_ = 0;
    Timeline timeline_;
};

// How long reads take, so that one whose answer must be lost is told from one that is slow: an answer of its
// server to something else does not prove that its own connection still works.
class ReadTimes {
public:
    // A read of a prompt of so many tokens was answered after `took`.
    void add(Millis took, double prompt_tokens);
    // How long one may well take: longer than nearly all did of late, 0 where too little is known.
    Millis usual(double prompt_tokens) const;
    // It has been out for far longer than that.
    bool unusual(Millis age, double prompt_tokens) const;

private:
    std::optional<stats::QuantileEstimate> usual_;  // ms for a unit of work, see work() in the source
    int seen_ = 0;
};

}  // namespace gorsenotch::control
