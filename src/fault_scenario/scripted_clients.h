// Scripted clients of the Messages API: conversations that arrive at random, retry, and leave before the
// answer is complete. A process of its own; it records what its sockets carried and compares each text with
// the one that the fake engines generate.
#pragma once

#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gorsenotch/settings.h"
#include "http/parser.h"
#include "http/sse.h"
#include "invariants/record.h"
#include "net/clock.h"
#include "net/event_loop.h"
#include "net/timer.h"

namespace gorsenotch::fault_scenario {

using net::Millis;

// The traffic of one tenant's clients.
struct Load {
    std::string tenant;
    std::string key;  // API key
    std::string cls;
    std::string model = "local-model";
    double per_s = 1;      // questions a second
    double impatient = 0;  // part of the clients that leave early
    int prompt_tokens = 600;
    int prefix_tokens = 400;  // of the prompt, shared by all conversations with one prefix
    int prefixes = 4;
    int max_tokens = 40;
    int turns = 2;  // questions of a conversation
    int retries = 1;
    Millis think = 500;      // mean time between an answer and the next question
    Millis patience = 5000;  // from a question to its deadline
    bool stream = true;
    bool keyed = false;     // with an idempotency key
    Millis from = 0;        // from the start of the traffic, when conversations arrive
    Millis until = 0;       // 0: to the end of the traffic
    int usual_answer = 60;  // the fake engines' answer-tokens, to know the right text
};

// How a process of scripted clients is run; times are ms.
struct ClientOptions {
    std::vector<std::string> gateways;
    Load load;
    std::uint64_t seed = 1;
    Millis length = 10000;
    Millis overdue = 400;  // how long past its deadline a client still listens
    std::string record;    // file
};

// Owns all conversations and their connections. A conversation is a chain of turns; a turn is one question,
// with one attempt at a time, and a new attempt for each retry.
class ScriptedClients {
public:
    ScriptedClients(net::EventLoop& loop, ClientOptions options);
    ~ScriptedClients();
    // `done` is called once the traffic is over and every question has its end.
    void start(std::function<void()> done);

private:
    struct Turn;
    struct Attempt;

    void next_arrival();
    void begin_turn(std::unique_ptr<Turn> turn);
    void start_attempt(Turn& turn);
    Millis choose_leaving(Attempt& attempt);
    std::string request_body(const Turn& turn) const;
    std::string request_text(const Turn& turn, const std::string& gateway) const;
    void record_attempt(const Attempt& attempt, const std::string& gateway);
    void connect(Attempt& attempt, const std::string& gateway, const std::string& request, Millis timeout);
    void on_body(Attempt& attempt, std::string_view bytes);
    void on_data(Attempt& attempt, std::string_view bytes);
    void on_complete_response(Attempt& attempt);
    void on_event(Attempt& attempt, std::string_view name, std::string_view data);
    void on_text(Attempt& attempt, std::string_view data);
    void on_connection_end(Attempt& attempt);
    void on_timeout(Attempt& attempt);
    void record_answer(Attempt& attempt, const std::string& ending, const std::string& text_verdict);
    void record_unexpected_bytes(const Attempt& attempt);
    void close(Attempt& attempt);
    void retry_after(Turn& turn, Millis wait);
    void end_turn(Turn& turn, bool go_on);
    void begin_next_turn(Turn& turn);
    void discard(Turn& turn);
    void finish_if_done();
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    std::string judge_text(const Turn& turn, const std::string& text, bool is_complete) const;

    net::EventLoop& loop_;
    ClientOptions options_;
    invariants::Recorder recorder_;
    std::mt19937_64 random_;
    net::Timer arrival_timer_;
    net::Timer discard_timer_;  // frees what has ended, outside its own callbacks
    Millis began_ = 0;
    long conversations_ = 0;
    long turns_begun_ = 0;
    std::list<std::unique_ptr<Turn>> turns_;
    std::list<std::unique_ptr<Turn>> ended_turns_;
    std::list<std::unique_ptr<Attempt>> ended_attempts_;
    std::function<void()> done_;
    bool ending_ = false;
};

}  // namespace gorsenotch::fault_scenario
