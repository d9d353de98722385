// One request to a model server, from its connection to its end: what the bytes mean, by the protocol's
// table. No I/O, no clock.
//
// Tells its owner in order: on_handed and on_heard at most once, on_first at most once, on_more after that,
// on_over exactly once and last. Events of a stream are passed on as they came; the first waits until it is
// whole, as an answer spoilt before it is a failed attempt and no begun stream. After on_over every call
// changes nothing.
#pragma once

#include <functional>
#include <string>

#include "gorsenotch/logic.h"
#include "http/parser.h"
#include "proxy/upstream_call.h"

namespace gorsenotch::platform {

struct AttemptOutcome {
    AttemptResult result = AttemptResult::error;
    int status = 0;      // of the answer; 0: none came
    double detail = 0;   // as Outcome::note
    bool begun = false;  // the stream had begun
    const char* why = "";
};

class UpstreamExchange : public proxy::Carried {
public:
    enum class Kind {
        prefill,
        decode,
        lease_call
    };  // call: to hold a place or let go; every answer is its end

    std::function<bool()> on_go;                 // whether it may still be sent; asked before its first byte
    std::function<void(std::string&)> on_stamp;  // the request, right before its first byte goes out
    std::function<void()> on_sent;               // its first byte goes out
    std::function<void()> on_handed;
    std::function<void()> on_heard;  // the first byte of an answer: it has arrived at a server that runs
    std::function<void(std::string_view)> on_first, on_more;
    std::function<void(const AttemptOutcome&)> on_over;

    explicit UpstreamExchange(Kind kind);

    bool may_go() override { return !over_ && (!on_go || on_go()); }
    void stamp(std::string& request) override {
        if (on_stamp) on_stamp(request);
    }
    void sent() override {
        if (on_sent) on_sent();
    }
    void handed() override;
    void data(std::string_view bytes) override;
    void ended() override;
    void refused_dial() override;
    void not_sent() override;
    bool over() const override { return over_; }
    bool handed_over() const { return handed_; }  // its last byte is in the kernel's hands
    bool reusable() const override { return over_ && clean_ && !spoilt_; }
    bool lingering() const override { return false; }

    // Ends it from this side: its time is up, or nobody wants it any more. Its connection is to be closed.
    void give_up(AttemptResult result, const char* why);

private:
    void head();
    void body(std::string_view bytes);
    void complete();
    void spoil(const char* why);
    void finish(AttemptResult result, double note, const char* why);

    const Kind kind_;
    http::Parser parser_;
    std::string body_;  // of a whole answer, or the beginning of the first event
    int status_ = 0, interim_ = 0;
    bool handed_ = false, heard_ = false, begun_ = false, over_ = false;
    bool stream_ = false, clean_ = false, spoilt_ = false, turned_away_ = false;
};

}  // namespace gorsenotch::platform
