// A fake engine as a process: the model behind sockets, speaking the vLLM dialect, with a control port on
// which a script gives orders, and a record of what its sockets carried.
//
// Orders (POST /control, JSON {"order":...}): stall{on}, slow{factor}, error{on,class}, silent{on,class},
// mute{on,class} (works, but never answers),
// cut{on,from}, late_reports{ms}, drain{on}, crash, restart. `drain` rejects new requests, `restart` starts
// the process anew, cold. An empty class means all. `cut` neither reads nor writes on
// connections from addresses that begin with `from`, as a network does that drops packets.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "fake_engine/model.h"
#include "fake_engine/stop_sequences.h"
#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "http/parser.h"
#include "invariants/record.h"
#include "net/event_loop.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::fake_engine {

// How a fake engine is started.
struct EngineOptions {
    std::string address, control;  // control may be empty
    std::string record;            // file; empty: none
    // Folder shared by the engines that drop each other's duplicates; empty: own memory.
    std::string dedup_folder;
    EndpointId endpoint_id = 0;
    std::string model_name = "local-model";
    EngineConfig config;
    bool cold = false;
    std::vector<std::string> command_line;  // of this process, to start it anew
};

// The process: sockets, orders and records around a Model. Owns its connections; threading: the loop's
// thread.
class Engine {
public:
    Engine(net::EventLoop& loop, EngineOptions options);
    ~Engine();
    // 0, or a libuv error of listening; `at` is then the address that it is about.
    int start(std::string& at);
    int port() const { return listener_->port(); }
    int control_port() const { return control_ ? control_->port() : 0; }

private:
    class Connection;
    // A request to this engine that has not been answered.
    struct ActiveRequest {
        Connection* link = nullptr;  // null once its client has gone
        Job job;
        bool is_prefill = false;
        bool begun = false;   // its stream
        bool silent = false;  // never worked on
        bool muted = false;   // worked on and never answered
        StopSequences stops;
        std::string state_host;  // of the prefill engine that has the KV state
        int state_port = 0;
        std::string state_id;  // the prefill's request id
        int tokens = 0;        // generated
        long cached_tokens = 0;
    };
    struct StateFetch;  // of a KV state from its prefill engine

    void accept(std::unique_ptr<net::TcpStream> stream, bool control);
    void handle(Connection& link);
    void complete(Connection& link, const std::string& body);
    ActiveRequest parse_completion(Connection& link, const invariants::Json& json);
    void abort(Connection& link, const std::string& body);
    void take(Connection& link, const std::string& body);
    void order(Connection& link, const std::string& body);
    void restart();
    bool apply_order(const std::string& word, const invariants::Json& json);
    void resume_connections();
    void closed(Connection& link);
    void remove(Connection& link);
    void read_done(const std::string& id, double kept);
    void fetch(const std::string& id);
    void fetch_over(StateFetch& take, bool ok);
    void running(const std::string& id);
    void token(const std::string& id, const std::string& made, bool last, bool cut);
    std::string stream_event(const std::string& id, invariants::Json choices,
                             const invariants::Json* usage) const;
    std::string stream_beginning(const ActiveRequest& request);
    std::string stream_end(const ActiveRequest& request, bool cut) const;
    void end(const std::string& id, const char* how);
    bool first_effect(const std::string& key);
    std::string load_header();
    bool is_cut(const Connection& link) const;
    void record(const char* event, invariants::Json fields);
    void arm();

    net::EventLoop& loop_;
    EngineOptions options_;
    invariants::Recorder recorder_;
    Model model_;
    std::unique_ptr<net::TcpListener> listener_, control_;
    std::list<std::unique_ptr<Connection>> connections_, closed_connections_;
    std::list<std::unique_ptr<StateFetch>> fetches_, ended_fetches_;
    std::unordered_map<std::string, ActiveRequest> active_requests_;
    std::set<std::string> own_keys_;
    std::set<std::string> error_classes_, silent_classes_, mute_classes_, cut_from_;
    std::deque<std::pair<Millis, double>> reports_;  // memory share by time, for late reports
    Millis report_delay_ = 0;
    bool draining_ = false;
    net::Timer timer_;
    net::Timer discard_timer_;  // frees what has ended, outside its own callbacks
};

}  // namespace gorsenotch::fake_engine
