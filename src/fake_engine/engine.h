// A fake engine process: a Model that serves the vLLM dialect of HTTP, a control port that injects faults,
// and a record of the requests and answers that its sockets carried.
//
// Orders on the control port are POST /control with JSON {"order":...}; an empty class means all classes:
//   stall{on}           no work progresses
//   slow{on,factor}     divides the speed
//   error{on,class}     answers with status 500
//   silent{on,class}    accepts requests, but neither processes nor answers them
//   mute{on,class}      processes requests, but does not answer them
//   truncate{on,class}  ends streams after some tokens: with the end of the message, or of the connection
//   cut{on,from}        neither reads nor writes on connections from addresses that begin with `from`, like a
//                       network that drops packets
//   late_reports{on,ms} reports the load with a delay
//   drain{on}           rejects new requests
//   crash               exits at once
//   restart             restarts the process with a cold cache
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
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

// Start options of a fake engine.
struct EngineOptions {
    std::string address, control;  // HOST:PORT each; empty control: no control port
    std::string record;            // record file; empty: no records
    std::string dedup_folder;  // folder shared by the engines of one dedup scope; empty: keys stay in memory
    EndpointId endpoint_id = 0;
    std::string model_name = "local-model";
    EngineConfig config;
    bool cold = false;
    std::vector<std::string> command_line;  // of this process, for a restart
};

// The sockets, orders and records around a Model. Owns its connections. Not thread-safe: used in the event
// loop's thread only.
class Engine {
public:
    Engine(net::EventLoop& loop, EngineOptions options);
    ~Engine();
    // Starts to listen. Returns 0 or a libuv error; `address` is then the address that failed.
    int start(std::string& address);
    int port() const { return listener_->port(); }
    int control_port() const { return control_ ? control_->port() : 0; }

private:
    class Connection;
    // A request that has not been answered.
    struct ActiveRequest {
        Connection* connection = nullptr;  // null once the client has disconnected
        Job job;
        bool is_prefill = false;
        bool stream_started = false;
        bool silent = false;                 // accepted, but not processed (order `silent`)
        bool muted = false;                  // processed, but not answered (order `mute`)
        std::optional<int> truncated_after;  // tokens (order `truncate`)
        StopSequences stops;
        std::string state_host;  // address of the prefill engine that stores the KV state
        int state_port = 0;
        std::string state_id;  // request id of the prefill
        int tokens = 0;        // generated
        long cached_tokens = 0;
    };
    struct StateFetch;  // a transfer of a KV state from its prefill engine

    void accept(std::unique_ptr<net::TcpStream> stream, bool control);
    void handle(Connection& connection);
    void handle_completion(Connection& connection, const std::string& body);
    ActiveRequest parse_completion(Connection& connection, const invariants::Json& json);
    void handle_abort(Connection& connection, const std::string& body);
    void handle_take(Connection& connection, const std::string& body);
    void handle_order(Connection& connection, const std::string& body);
    void restart();
    bool apply_order(const std::string& word, const invariants::Json& json);
    void resume_connections();
    void on_connection_closed(Connection& connection);
    void remove(Connection& connection);
    void on_prefill_done(const std::string& id, double cached_tokens);
    void fetch_state(const std::string& id);
    void on_fetch_ended(StateFetch& fetch, bool succeeded);
    void on_decode_started(const std::string& id);
    void on_token(const std::string& id, const std::string& text, bool last, bool truncated);
    std::string stream_event(const std::string& id, invariants::Json choices,
                             const invariants::Json* usage) const;
    std::string stream_start(const ActiveRequest& request);
    void truncate_stream(const std::string& id, std::string events);
    std::string stream_end(const ActiveRequest& request, bool truncated) const;
    void end_request(const std::string& id, const char* how);
    bool claim_key(const std::string& key);
    std::string load_header();
    bool is_cut(const Connection& connection) const;
    void record(const char* event, invariants::Json fields);
    void advance_model();

    net::EventLoop& loop_;
    EngineOptions options_;
    invariants::Recorder recorder_;
    Model model_;
    std::unique_ptr<net::TcpListener> listener_, control_;
    std::list<std::unique_ptr<Connection>> connections_, closed_connections_;
    std::list<std::unique_ptr<StateFetch>> fetches_, ended_fetches_;
    std::unordered_map<std::string, ActiveRequest> active_requests_;
    std::set<std::string> own_keys_;
    std::set<std::string> error_classes_, silent_classes_, mute_classes_, truncate_classes_, cut_from_;
    std::deque<std::pair<Millis, double>> load_reports_;  // memory usage fraction by time, for late_reports
    Millis load_report_delay_ = 0;
    bool draining_ = false;
    net::Timer timer_;
    net::Timer discard_timer_;  // frees ended objects outside their own callbacks
};

}  // namespace gorsenotch::fake_engine
