#include "fake_engine/engine.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "api/chat.h"
#include "api/parse_json.h"
#include "http/sse.h"
#include "net/clock.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::fake_engine {

using invariants::Json;

class Engine::Connection {
public:
    Connection(Engine& owner, std::unique_ptr<net::TcpStream> accepted, bool control)
        : engine(owner),
          stream(std::move(accepted)),
          parser(http::Parser::Kind::request, {}),
          is_control(control) {
        peer = stream->peer();
        stream->on_data = [this](std::string_view bytes) { on_data(bytes); };
        stream->on_end = [this](int) { engine.on_connection_closed(*this); };
        parser.on_body = [this](std::string_view bytes) { body.append(bytes); };
        stream->set_reading(true);
    }

    void on_data(std::string_view bytes) {
        pending.append(bytes);
        handle_pending();
    }

    // Handles the next pipelined request, once the previous one is answered and unless the connection is cut.
    void handle_pending() {
        if (engine.is_cut(*this)) return;
        while (!busy && !pending.empty() && stream) {
            const std::string bytes = std::exchange(pending, {});
            const std::size_t used = parser.feed(bytes);
            if (parser.fault() != http::Fault::none) return engine.on_connection_closed(*this);
            if (!parser.complete()) return;
            pending = bytes.substr(used);
            busy = true;
            request_body = std::exchange(body, {});
            engine.handle(*this);
        }
    }

    void write(const std::string& bytes) {
        if (!stream) return;
        if (engine.is_cut(*this)) {
            unsent.append(bytes);
            return;
        }
        stream->write(std::exchange(unsent, {}) + bytes);
    }

    void answer(int status, const Json& json, const std::string& load) {
        const std::string text = json.dump();
        const auto* connection = http::find_header(parser.headers, "connection");
        const bool is_last = connection && *connection == "close";
        http::Headers headers = {{"content-type", "application/json"},
                                 {"content-length", std::to_string(text.size())}};
        if (!load.empty()) headers.emplace_back("endpoint-load-metrics", load);
        if (is_last) headers.emplace_back("connection", "close");
        write(http::response_head(status, headers) + text);
        if (is_last && stream) stream->shutdown_write();
        busy = false;
    }

    Engine& engine;
    std::unique_ptr<net::TcpStream> stream;
    http::Parser parser;
    std::string peer;
    std::string body;          // of the request being received
    std::string request_body;  // of the request being handled
    std::string pending;       // received, not yet parsed
    std::string unsent;        // withheld by order `cut`
    std::string request_id;    // of the request in progress
    bool is_control;
    bool busy = false;  // a request is in progress
    bool is_closed = false;
    std::list<std::unique_ptr<Connection>>::iterator self;
};

struct Engine::StateFetch {
    std::unique_ptr<net::TcpStream> stream;
    std::unique_ptr<net::Timer> timer;
    http::Parser parser{http::Parser::Kind::response, {}};
    std::string id;
    bool ended = false;
    std::list<std::unique_ptr<StateFetch>>::iterator self;
};

namespace {

EngineConfig model_config(const EngineOptions& options) {
    EngineConfig config = options.config;
    if (!options.cold) config.slow_start_duration = 0;
    return config;
}

const char* role_word(Role role) {
    if (role == Role::prefill) return "read";
    return role == Role::decode ? "write" : "both";
}

constexpr int kCrashStatus = 3;
constexpr std::uint64_t kMaxTruncatedTokens = 8;  // that a truncated stream has
constexpr Millis kFetchTimeout = 2000;
constexpr Millis kLoadSampleInterval = 20;
constexpr Millis kMaxTimerDelay = 1000;

void set_member(std::set<std::string>& members, const std::string& value, bool is_member) {
    if (is_member) {
        members.insert(value);
    } else {
        members.erase(value);
    }
}

bool names_class(const std::set<std::string>& classes, const std::string& cls) {
    return classes.count("") || classes.count(cls);
}

std::string header(const http::Parser& parser, const char* name) {
    const auto* value = http::find_header(parser.headers, name);
    return value ? *value : std::string();
}

// The choices of a stream event other than the last.
Json choice(Json delta) {
    return Json::array({{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", nullptr}}});
}

std::vector<std::string> stop_strings(const Json& request) {
    std::vector<std::string> strings;
    if (!request.contains("stop") || !request["stop"].is_array()) return strings;
    for (const auto& entry : request["stop"]) {
        if (entry.is_string() && !entry.get_ref<const std::string&>().empty()) strings.push_back(entry);
    }
    return strings;
}

Json error_json(const char* type, const char* message) {
    return {{"error", {{"message", message}, {"type", type}, {"code", nullptr}}}};
}

}  // namespace

Engine::Engine(net::EventLoop& loop, EngineOptions options)
    : loop_(loop),
      options_(std::move(options)),
      recorder_(options_.record),
      model_(model_config(options_), net::now(),
             {[this](const std::string& id, double cached_tokens) { on_prefill_done(id, cached_tokens); },
              [this](const std::string& id) { fetch_state(id); },
              [this](const std::string& id) { on_decode_started(id); },
              [this](const std::string& id, const std::string& text, bool last, bool truncated) {
                  on_token(id, text, last, truncated);
              },
              [this](const std::string& id) {
                  record("lease", {{"id", id}});
              }}),
      timer_(loop, [this] { advance_model(); }),
      discard_timer_(loop, [this] {
          closed_connections_.clear();
          ended_fetches_.clear();
      }) {}

Engine::~Engine() = default;

int Engine::start(std::string& address) {
    address = options_.address;
    listener_ = std::make_unique<net::TcpListener>(loop_);
    listener_->on_stream = [this](std::unique_ptr<net::TcpStream> stream) {
        accept(std::move(stream), false);
    };
    if (const int error = listener_->listen(options_.address)) return error;
    if (!options_.control.empty()) {
        address = options_.control;
        control_ = std::make_unique<net::TcpListener>(loop_);
        control_->on_stream = [this](std::unique_ptr<net::TcpStream> stream) {
            accept(std::move(stream), true);
        };
        if (const int error = control_->listen(options_.control)) return error;
    }
    const EngineConfig& config = options_.config;
    record("up", {{"role", role_word(config.role)},
                  {"cold", options_.cold},
                  {"start", config.initial_capacity},
                  {"warm", config.slow_start_duration}});
    advance_model();
    return 0;
}

void Engine::record(const char* event, Json fields) {
    fields["server"] = options_.endpoint_id;
    recorder_.write(net::now(), event, std::move(fields));
}

void Engine::advance_model() {
    const Millis now = net::now();
    const Millis next = model_.advance(now);
    if (load_reports_.empty() || now - load_reports_.back().first > kLoadSampleInterval)
        load_reports_.emplace_back(now, model_.memory_fraction());
    while (load_reports_.size() > 1 && load_reports_[1].first <= now - load_report_delay_)
        load_reports_.pop_front();
    timer_.fire_after(std::min(next - now, kMaxTimerDelay));
}

std::string Engine::load_header() {
    const double memory_fraction = load_report_delay_ > 0 && !load_reports_.empty()
                                       ? load_reports_.front().second
                                       : model_.memory_fraction();
    return "TEXT named_metrics.kv_cache_usage_perc=" + std::to_string(memory_fraction) +
           ", named_metrics.waiting_ktokens=" + std::to_string(model_.waiting_ktokens());
}

bool Engine::is_cut(const Connection& connection) const {
    if (connection.is_control) return false;
    return std::any_of(cut_from_.begin(), cut_from_.end(),
                       [&](const std::string& from) { return connection.peer.rfind(from, 0) == 0; });
}

void Engine::accept(std::unique_ptr<net::TcpStream> stream, bool control) {
    connections_.push_back(std::make_unique<Connection>(*this, std::move(stream), control));
    connections_.back()->self = std::prev(connections_.end());
}

void Engine::handle(Connection& connection) {
    const std::string body = std::exchange(connection.request_body, {});
    const std::string path = connection.parser.target;
    if (connection.is_control) return handle_order(connection, body);
    if (path == "/v1/chat/completions") return handle_completion(connection, body);
    if (path == "/abort_request") return handle_abort(connection, body);
    if (path == "/take") return handle_take(connection, body);
    connection.answer(404, error_json("not_found", "no such path"), "");
}

Engine::ActiveRequest Engine::parse_completion(Connection& connection, const Json& json) {
    ActiveRequest request;
    request.connection = &connection;
    Job& job = request.job;
    job.id = header(connection.parser, "x-request-id");
    job.key = header(connection.parser, "idempotency-key");
    job.cls = header(connection.parser, "x-class");
    job.max_tokens = std::max(1, json.value("max_tokens", 16));
    std::uint64_t chain = 0;
    for (const auto& message : json["messages"]) {
        const std::string text = message.value("content", "");
        chain = api::hash(text, chain + api::hash(message.value("role", "")));
        job.prompt += api::estimate_tokens(text) + 4;
        job.prefixes.emplace_back(chain, job.prompt);
    }
    job.text_seed = chain;
    request.stops = StopSequences(stop_strings(json));
    const bool has_transfer = json.contains("kv_transfer_params") && json["kv_transfer_params"].is_object();
    const Json transfer = has_transfer ? json["kv_transfer_params"] : Json::object();
    request.is_prefill = transfer.value("do_remote_decode", false);
    if (transfer.value("do_remote_prefill", false)) {
        job.has_state = true;
        request.state_host = transfer.value("remote_host", "");
        request.state_port = transfer.value("remote_port", 0);
        request.state_id = transfer.value("remote_request_id", "");
        request.cached_tokens = transfer.value("cached_tokens", 0L);
    }
    return request;
}

void Engine::handle_completion(Connection& connection, const std::string& body) {
    std::string parse_error;
    const Json json = api::parse_json(body, parse_error);
    if (!json.is_object() || !json.contains("messages"))
        return connection.answer(400, error_json("invalid_request_error", "bad body"), load_header());
    ActiveRequest request = parse_completion(connection, json);
    const Job job = request.job;
    const std::string& id = job.id;
    record("recv", {{"id", id},
                    {"op", request.is_prefill ? "read" : "write"},
                    {"key", job.key},
                    {"cls", job.cls},
                    {"work", model_.work_seconds(job, request.is_prefill)},
                    {"peer", connection.peer}});
    const auto refuse = [&](int status, const char* type, const char* how) {
        record("end", {{"id", id}, {"how", how}});
        connection.answer(status, error_json(type, how), load_header());
    };
    if (id.empty() || active_requests_.count(id)) return refuse(400, "invalid_request_error", "doubled");
    if (names_class(error_classes_, job.cls)) return refuse(500, "internal_error", "error");
    if (draining_) return refuse(429, "overloaded", "full");
    connection.request_id = id;
    request.silent = names_class(silent_classes_, job.cls);
    request.muted = !request.silent && names_class(mute_classes_, job.cls);
    if (!request.is_prefill && names_class(truncate_classes_, job.cls))
        request.truncated_after = 1 + static_cast<int>(api::hash(id) % kMaxTruncatedTokens);
    const bool is_silent = request.silent;
    const bool is_prefill = request.is_prefill;
    active_requests_[id] = std::move(request);
    if (is_silent) return;
    const auto admission =
        is_prefill ? model_.submit_prefill(net::now(), job) : model_.submit_decode(net::now(), job);
    if (admission == Model::Admission::accepted) return advance_model();
    active_requests_.erase(id);
    connection.request_id.clear();
    if (admission == Model::Admission::missing_state) return refuse(424, "kv_transfer_error", "no_state");
    refuse(429, "overloaded", "full");
}

void Engine::handle_abort(Connection& connection, const std::string& body) {
    const Json json = Json::parse(body, nullptr, false);
    const std::string id = json.is_object() ? json.value("rid", "") : "";
    record("let_go", {{"id", id}, {"found", model_.abort(net::now(), id)}});
    if (const auto it = active_requests_.find(id); it != active_requests_.end()) {
        Connection* waiting = it->second.connection;
        end_request(id, "cancelled");
        if (waiting) waiting->answer(499, error_json("aborted", "aborted"), load_header());
    }
    connection.answer(200, Json::object(), "");
    advance_model();
}

void Engine::handle_take(Connection& connection, const std::string& body) {
    const Json json = Json::parse(body, nullptr, false);
    const std::string id = json.is_object() ? json.value("rid", "") : "";
    double tokens = 0;
    const bool ok = model_.release_state(net::now(), id, tokens);
    if (ok) record("taken", {{"id", id}, {"tokens", tokens}});
    connection.answer(ok ? 200 : 404, {{"tokens", tokens}}, "");
    advance_model();
}

void Engine::handle_order(Connection& connection, const std::string& body) {
    const Json json = Json::parse(body, nullptr, false);
    const std::string word = json.is_object() ? json.value("order", "") : "";
    if (word == "crash") _exit(kCrashStatus);
    if (word == "restart" && !options_.command_line.empty()) restart();
    const bool is_known = apply_order(word, json);
    if (is_known) record("order", json);
    connection.answer(is_known ? 200 : 400, {{"ok", is_known}}, "");
    advance_model();
}

// Replaces the process by a new one with a cold cache. All sockets close, so open requests fail as in a
// crash.
void Engine::restart() {
    record("down", Json::object());
    if (std::find(options_.command_line.begin(), options_.command_line.end(), "--cold") ==
        options_.command_line.end())
        options_.command_line.emplace_back("--cold");
    std::vector<char*> arguments;
    arguments.reserve(options_.command_line.size() + 1);
    for (auto& argument : options_.command_line) arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    execv("/proc/self/exe", arguments.data());
    _exit(kCrashStatus);
}

// False if `word` is not a known order.
bool Engine::apply_order(const std::string& word, const Json& json) {
    const bool is_on = json.is_object() && json.value("on", true);
    if (word == "stall") {
        model_.set_stalled(net::now(), is_on);
    } else if (word == "slow") {
        model_.set_slowdown(net::now(), is_on ? json.value("factor", 5.0) : 1.0);
    } else if (word == "error") {
        set_member(error_classes_, json.value("class", ""), is_on);
    } else if (word == "silent") {
        set_member(silent_classes_, json.value("class", ""), is_on);
    } else if (word == "mute") {
        set_member(mute_classes_, json.value("class", ""), is_on);
    } else if (word == "truncate") {
        set_member(truncate_classes_, json.value("class", ""), is_on);
    } else if (word == "cut") {
        set_member(cut_from_, json.value("from", ""), is_on);
        if (!is_on) resume_connections();
    } else if (word == "drain") {
        draining_ = is_on;
    } else if (word == "late_reports") {
        load_report_delay_ = is_on ? json.value("ms", 2000.0) : 0;
    } else {
        return false;
    }
    return true;
}

// After the end of a cut: writes the withheld bytes and handles the pending requests.
void Engine::resume_connections() {
    std::vector<Connection*> all;
    all.reserve(connections_.size());
    for (auto& connection : connections_) all.push_back(connection.get());
    for (auto* connection : all) {
        if (connection->is_closed) continue;
        connection->write("");
        connection->handle_pending();
    }
}

// ---- events of the model -------------------------------------------------------------------------------

void Engine::on_prefill_done(const std::string& id, double cached_tokens) {
    const auto it = active_requests_.find(id);
    const double prompt_tokens = it == active_requests_.end() ? cached_tokens : it->second.job.prompt;
    record("held", {{"id", id},
                    {"did", (prompt_tokens - cached_tokens) / options_.config.pace.prefill_tokens_per_s}});
    if (it == active_requests_.end())
        return;  // the client has disconnected and this kind does not cancel: the KV state stays until its
                 // lease ends
    if (it->second.muted && it->second.connection) return;  // unanswered until the client disconnects
    Connection* connection = it->second.connection;
    const double prompt = it->second.job.prompt;
    end_request(id, "done");
    if (!connection) return;
    connection->answer(200,
                       {{"id", "cmpl-" + id},
                        {"object", "chat.completion"},
                        {"model", options_.model_name},
                        {"choices", Json::array({{{"index", 0},
                                                  {"message", {{"role", "assistant"}, {"content", "x"}}},
                                                  {"finish_reason", "length"}}})},
                        {"usage",
                         {{"prompt_tokens", static_cast<long>(prompt)},
                          {"completion_tokens", 1},
                          {"total_tokens", static_cast<long>(prompt) + 1},
                          {"prompt_tokens_details", {{"cached_tokens", static_cast<long>(cached_tokens)}}}}},
                        {"kv_transfer_params",
                         {{"do_remote_prefill", true},
                          {"do_remote_decode", false},
                          {"remote_engine_id", std::to_string(options_.endpoint_id)},
                          {"remote_block_ids", Json::array({1})},
                          {"remote_request_id", id},
                          {"cached_tokens", static_cast<long>(cached_tokens)},
                          {"remote_host", options_.address.substr(0, options_.address.rfind(':'))},
                          {"remote_port", port()}}}},
                       load_header());
    connection->handle_pending();
}

void Engine::fetch_state(const std::string& id) {
    const auto it = active_requests_.find(id);
    fetches_.push_back(std::make_unique<StateFetch>());
    StateFetch& state = *fetches_.back();
    state.self = std::prev(fetches_.end());
    state.id = id;
    state.stream = std::make_unique<net::TcpStream>(loop_);
    state.timer = std::make_unique<net::Timer>(loop_, [this, &state] { on_fetch_ended(state, false); });
    state.parser.on_complete = [this, &state] { on_fetch_ended(state, state.parser.status == 200); };
    state.stream->on_data = [&state](std::string_view bytes) {
        if (!state.ended) state.parser.feed(bytes);
    };
    state.stream->on_end = [this, &state](int) { on_fetch_ended(state, false); };
    const std::string from = options_.address.substr(0, options_.address.rfind(':'));
    const std::string to = it == active_requests_.end()
                               ? ""
                               : it->second.state_host + ":" + std::to_string(it->second.state_port);
    const int connect_error = state.stream->connect(to, from, [this, &state](int error) {
        if (error != 0) return on_fetch_ended(state, false);
        const auto request = active_requests_.find(state.id);
        const std::string text =
            Json{{"rid", request == active_requests_.end() ? "" : request->second.state_id}}.dump();
        state.stream->set_reading(true);
        state.stream->write(
            http::request_head("POST", "/take",
                               {{"host", "peer"}, {"content-length", std::to_string(text.size())}}) +
            text);
    });
    state.timer->fire_after(connect_error != 0 ? 0 : kFetchTimeout);
}

void Engine::on_fetch_ended(StateFetch& fetch, bool succeeded) {
    if (fetch.ended) return;
    fetch.ended = true;
    fetch.stream.reset();
    fetch.timer->stop();
    const std::string id = fetch.id;
    ended_fetches_.splice(ended_fetches_.end(), fetches_, fetch.self);
    discard_timer_.fire_after(0);
    model_.on_state_fetched(net::now(), id, succeeded);
    if (!succeeded) {
        if (const auto it = active_requests_.find(id); it != active_requests_.end()) {
            Connection* connection = it->second.connection;
            end_request(id, "no_state");
            if (connection)
                connection->answer(424, error_json("kv_transfer_error", "the state is gone"), load_header());
            if (connection) connection->handle_pending();
        }
    }
    advance_model();
}

// Claims an idempotency key. True for the first of all engines that share the folder: its run has the side
// effect, later runs are duplicates. A request without a key always has its effect.
bool Engine::claim_key(const std::string& key) {
    if (key.empty()) return true;
    if (options_.dedup_folder.empty()) return own_keys_.insert(key).second;
    const std::string file = options_.dedup_folder + "/" + std::to_string(api::hash(key));
    const int fd = ::open(file.c_str(), O_CREAT | O_EXCL | O_WRONLY | O_CLOEXEC, 0644);
    if (fd >= 0) ::close(fd);
    return fd >= 0;
}

void Engine::on_decode_started(const std::string& id) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end()) return;
    const bool first = claim_key(it->second.job.key);
    record(first ? "run" : "repeat", {{"id", id}, {"key", it->second.job.key}, {"cls", it->second.job.cls}});
}

void Engine::on_token(const std::string& id, const std::string& generated, bool last, bool truncated) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end()) return;
    ActiveRequest& request = it->second;
    ++request.tokens;
    std::string text = request.stops.feed(generated);
    const std::string stop = request.stops.matched();
    if (!stop.empty() && !last) {
        model_.abort(net::now(), id);  // the answer ends at its stop sequence: no further token is generated
        last = true;
    }
    if (last) text += request.stops.flush();
    if (!request.stream_started) record("first", {{"id", id}});
    if (request.connection && !request.muted) {
        std::string events = stream_start(request);
        if (!text.empty()) events += stream_event(id, choice({{"content", text}}), nullptr);
        if (request.tokens == request.truncated_after && !last) return truncate_stream(id, events);
        if (last) events += stream_end(request, truncated);
        request.connection->write(events);
    }
    request.stream_started = true;
    if (!last) return;
    Connection* connection = request.connection;
    if (request.muted && connection) return;  // complete, but unanswered until the client disconnects
    end_request(id, "done");
    if (!connection) return;
    connection->busy = false;
    connection->handle_pending();
}

// Ends the stream behind `events` before its stop reason, in one of two ways.
void Engine::truncate_stream(const std::string& id, std::string events) {
    Connection& connection = *active_requests_.at(id).connection;
    model_.abort(net::now(), id);
    const bool ends_message = api::hash(id + "/end") % 2 == 0;
    if (ends_message) events += http::kLastChunk;
    connection.write(events);
    end_request(id, "truncated");
    if (!ends_message) return connection.stream->shutdown_write();
    connection.busy = false;
    connection.handle_pending();
}

// One server-sent event of an answer's stream; only the last one has the usage.
std::string Engine::stream_event(const std::string& id, Json choices, const Json* usage) const {
    Json json = {
        {"id", "chatcmpl-" + id}, {"object", "chat.completion.chunk"}, {"model", options_.model_name}};
    json["choices"] = std::move(choices);
    if (usage) json["usage"] = *usage;
    return http::chunk(http::sse_event("", json.dump()));
}

// The response head and the first event; empty once the stream has started.
std::string Engine::stream_start(const ActiveRequest& request) {
    if (request.stream_started) return {};
    const http::Headers headers = {{"content-type", "text/event-stream; charset=utf-8"},
                                   {"transfer-encoding", "chunked"},
                                   {"endpoint-load-metrics", load_header()}};
    return http::response_head(200, headers) +
           stream_event(request.job.id, choice({{"role", "assistant"}, {"content", ""}}), nullptr);
}

// `truncated`: the answer ends as it has reached max_tokens.
std::string Engine::stream_end(const ActiveRequest& request, bool truncated) const {
    const std::string stop = request.stops.matched();
    Json last = {{"index", 0},
                 {"delta", Json::object()},
                 {"finish_reason", truncated && stop.empty() ? "length" : "stop"},
                 {"stop_reason", nullptr}};
    if (!stop.empty()) last["stop_reason"] = stop;
    const auto prompt_tokens = static_cast<long>(request.job.prompt);
    const Json usage = {{"prompt_tokens", prompt_tokens},
                        {"completion_tokens", request.tokens},
                        {"total_tokens", prompt_tokens + request.tokens},
                        {"prompt_tokens_details", {{"cached_tokens", request.cached_tokens}}}};
    return stream_event(request.job.id, Json::array({last}), nullptr) +
           stream_event(request.job.id, Json::array(), &usage) + http::chunk(http::sse_event("", "[DONE]")) +
           std::string(http::kLastChunk);
}

void Engine::end_request(const std::string& id, const char* how) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end()) return;
    record("end", {{"id", id}, {"how", how}, {"tokens", it->second.tokens}});
    if (it->second.connection) it->second.connection->request_id.clear();
    active_requests_.erase(it);
}

void Engine::on_connection_closed(Connection& connection) {
    if (connection.is_closed) return;
    const std::string id = connection.request_id;
    if (const auto it = active_requests_.find(id); !id.empty() && it != active_requests_.end()) {
        // For kinds that cancel, a closed connection aborts the job; for others the job continues.
        if (options_.config.pace.cancels || it->second.silent) {
            if (!it->second.silent) model_.abort(net::now(), id);
            end_request(id, "cancelled");
        } else {
            record("left", {{"id", id}});
            it->second.connection = nullptr;
        }
    }
    remove(connection);
    advance_model();
}

void Engine::remove(Connection& connection) {
    connection.is_closed = true;
    connection.stream.reset();
    closed_connections_.splice(closed_connections_.end(), connections_, connection.self);
    discard_timer_.fire_after(0);
}

}  // namespace gorsenotch::fake_engine
