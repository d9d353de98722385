// Scripted clients of the Messages API: conversations arrive at random, retry failed requests, and some
// disconnect before the answer is complete. They run in a process of their own, record what their sockets
// carried and compare each answer with the text that the fake engines generate.
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

// The traffic of one group of clients.
struct Load {
    std::string tenant;
    std::string key;  // API key
    std::string cls;
    std::string model = "local-model";
    double per_s = 1;      // requests per second, without retries
    double impatient = 0;  // fraction of the requests whose client disconnects early
    int prompt_tokens = 600;
    int prefix_tokens = 400;  // length of the shared prompt prefix
    int prefixes = 4;         // distinct shared prefixes
    int max_tokens = 40;
    int turns = 2;  // requests of a conversation
    int retries = 1;
    Millis think = 500;      // mean time between an answer and the next request
    Millis patience = 5000;  // from a request to its deadline
    bool stream = true;
    bool keyed = false;     // with an idempotency key
    Millis from = 0;        // first arrival, from the start of the traffic
    Millis until = 0;       // last arrival; 0: the end of the traffic
    int usual_answer = 60;  // the fake engines' answer-tokens, for the expected text
};

// Options of a process of scripted clients.
struct ClientOptions {
    std::vector<std::string> gateways;
    Load load;
    std::uint64_t seed = 1;
    Millis length = 10000;
    Millis overdue = 400;  // how long a client waits after its deadline
    std::string record;    // path of the record file
};

// Owns all conversations and their connections. A conversation is a sequence of turns; a turn is one request
// with its retries. A turn has one attempt at a time, and a new one for each retry.
class ScriptedClients {
public:
    ScriptedClients(net::EventLoop& loop, ClientOptions options);
    ~ScriptedClients();
    // Calls `done` once the traffic is over and every turn has ended.
    void start(std::function<void()> done);

private:
    struct Turn;
    struct Attempt;

    void next_arrival();
    void begin_turn(std::unique_ptr<Turn> turn);
    void start_attempt(Turn& turn);
    Millis choose_disconnect_delay(Attempt& attempt);
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
    void record_answer(Attempt& attempt, const std::string& ending, const std::string& text_result);
    void record_unexpected_bytes(const Attempt& attempt);
    void close(Attempt& attempt);
    void retry_after(Turn& turn, Millis wait);
    void end_turn(Turn& turn, bool continue_conversation);
    void begin_next_turn(Turn& turn);
    void discard(Turn& turn);
    void finish_if_done();
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    std::string check_text(const Turn& turn, const std::string& text, bool is_complete) const;

    net::EventLoop& loop_;
    ClientOptions options_;
    invariants::Recorder recorder_;
    std::mt19937_64 random_;
    net::Timer arrival_timer_;
    net::Timer discard_timer_;  // frees ended objects outside their own callbacks
    Millis started_at_ = 0;
    long conversations_ = 0;
    long turns_started_ = 0;
    std::list<std::unique_ptr<Turn>> turns_;
    std::list<std::unique_ptr<Turn>> ended_turns_;
    std::list<std::unique_ptr<Attempt>> ended_attempts_;
    std::function<void()> done_;
    bool arrivals_ended_ = false;
};

}  // namespace gorsenotch::fault_scenario
