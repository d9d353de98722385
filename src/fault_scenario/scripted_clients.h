// Scripted clients of the Messages API: conversations that arrive at random, retry, lose patience and leave.
// A process of its own; it records what its sockets carried and checks each text against the engines' own.
#pragma once

#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http/parser.h"
#include "http/sse.h"
#include "invariants/record.h"
#include "net/event_loop.h"

namespace gorsenotch::fault_scenario {

using net::Millis;

struct Load {
    std::string tenant, key, cls, model = "local-model";
    double per_s = 1, impatient = 0;
    int prompt_tokens = 600, prefix_tokens = 400, prefixes = 4, max_tokens = 40, turns = 2, retries = 1;
    Millis think = 500, patience = 5000;
    bool stream = true, keyed = false;
    Millis from = 0, until = 0;  // of the day, when conversations arrive; until 0: to its end
    int usual_answer = 60;       // the stand-ins' answer-tokens, to know the right text
};

struct ClientOptions {
    std::vector<std::string> gateways;
    Load load;
    std::uint64_t seed = 1;
    Millis length = 10000, overdue = 400;  // overdue: how long past the deadline a client still listens
    std::string record;
};

class ScriptedClients {
public:
    ScriptedClients(net::EventLoop& loop, ClientOptions options);
    ~ScriptedClients();
    void start(std::function<void()> done);

private:
    struct Turn;  // one question of a conversation, over all its tries
    struct Ask;   // one try
    void next_arrival();
    void begin(std::unique_ptr<Turn> turn);
    void ask(Turn& turn);
    void data(Ask& ask, std::string_view bytes);
    void event(Ask& ask, std::string_view name, std::string_view data);
    void ended(Ask& ask, int error);
    void overdue(Ask& ask);
    void answer(Ask& ask, int status, const std::string& ending, const std::string& text);
    void close(Ask& ask);
    void again(Turn& turn, Millis wait);
    void over(Turn& turn, bool go_on);
    void finish_if_done();
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    std::string judge_text(const Turn& turn, const std::string& text, bool whole) const;

    net::EventLoop& loop_;
    ClientOptions options_;
    invariants::Recorder recorder_;
    std::mt19937_64 random_;
    net::Timer arrivals_, burier_;
    Millis began_ = 0;
    long count_ = 0, turns_made_ = 0;
    std::list<std::unique_ptr<Turn>> turns_, dead_turns_;
    std::list<std::unique_ptr<Ask>> dead_asks_;
    std::function<void()> done_;
    bool ending_ = false;
};

}  // namespace gorsenotch::fault_scenario
