#include "fake_engine/engine.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "api/chat.h"
#include "http/sse.h"

namespace gorsenotch::fake_engine {

using invariants::Json;

class Engine::Connection {
public:
    Connection(Engine& e, std::unique_ptr<net::TcpStream> s, bool control)
        : engine(e), stream(std::move(s)), parser(http::Parser::Kind::request, {}), is_control(control) {
        peer = stream->peer();
        stream->on_data = [this](std::string_view b) { data(b); };
        stream->on_end = [this](int) { engine.closed(*this); };
        parser.on_body = [this](std::string_view b) { body.append(b); };
        stream->set_reading(true);
    }

    void data(std::string_view bytes) {
        pending.append(bytes);
        go_on();
    }

    // Takes the next request, when the last is answered and nothing is cut.
    void go_on() {
        if (cut && engine.is_cut(*this)) return;
        while (!busy && !pending.empty() && stream) {
            const std::string bytes = std::exchange(pending, {});
            const std::size_t n = parser.feed(bytes);
            if (parser.fault() != http::Fault::none) return engine.closed(*this);
            if (!parser.complete()) return;
            pending = bytes.substr(n);
            busy = true;
            const std::string whole = std::exchange(body, {});
            request_body = whole;
            engine.handle(*this);
        }
    }

    void write(std::string bytes) {
        if (!stream) return;
        if (engine.is_cut(*this)) {
            held.append(bytes);
            return;
        }
        stream->write(std::exchange(held, {}) + bytes);
    }

    void answer(int status, const Json& json, const std::string& load) {
        const std::string text = json.dump();
        const auto* c = http::find(parser.headers, "connection");
        const bool last = c && *c == "close";
        http::Headers h = {{"content-type", "application/json"},
                           {"content-length", std::to_string(text.size())}};
        if (!load.empty()) h.emplace_back("endpoint-load-metrics", load);
        if (last) h.emplace_back("connection", "close");
        write(http::response_head(status, h) + text);
        if (last && stream) stream->shutdown_write();
        busy = false;
    }

    Engine& engine;
    std::unique_ptr<net::TcpStream> stream;
    http::Parser parser;
    std::string peer, body, request_body, pending, held, ask;
    bool is_control, busy = false, cut = false, gone = false;
    std::list<std::unique_ptr<Connection>>::iterator self;
};

struct Engine::StateFetch {
    std::unique_ptr<net::TcpStream> stream;
    std::unique_ptr<net::Timer> timer;
    http::Parser parser{http::Parser::Kind::response, {}};
    std::string id;
    bool over = false;
    std::list<std::unique_ptr<StateFetch>>::iterator self;
};

namespace {

EngineConfig cold_config(const EngineOptions& o) {
    EngineConfig c = o.config;
    if (!o.cold) c.slow_start_duration = 0;
    return c;
}

Json error_json(const char* type, const char* message) {
    return {{"error", {{"message", message}, {"type", type}, {"code", nullptr}}}};
}

}  // namespace

Engine::Engine(net::EventLoop& loop, EngineOptions options)
    : loop_(loop),
      options_(std::move(options)),
      recorder_(options_.record),
      model_(cold_config(options_), net::now(),
             {[this](const std::string& id, double kept) { read_done(id, kept); },
              [this](const std::string& id) { fetch(id); }, [this](const std::string& id) { running(id); },
              [this](const std::string& id, const std::string& t, bool last, bool cut) {
                  token(id, t, last, cut);
              },
              [this](const std::string& id) {
                  record("lease", {{"id", id}});
              }}),
      timer_(loop, [this] { arm(); }),
      burier_(loop, [this] { closed_connections_.clear(), ended_fetches_.clear(); }) {}

Engine::~Engine() = default;

int Engine::start(std::string& at) {
    at = options_.address;
    listener_ = std::make_unique<net::TcpListener>(loop_);
    listener_->on_stream = [this](std::unique_ptr<net::TcpStream> stream) {
        accept(std::move(stream), false);
    };
    if (const int e = listener_->listen(options_.address)) return e;
    if (!options_.control.empty()) {
        at = options_.control;
        control_ = std::make_unique<net::TcpListener>(loop_);
        control_->on_stream = [this](std::unique_ptr<net::TcpStream> stream) {
            accept(std::move(stream), true);
        };
        if (const int e = control_->listen(options_.control)) return e;
    }
    const EngineConfig& c = options_.config;
    record("up", {{"role", c.role == Role::prefill  ? "read"
                           : c.role == Role::decode ? "write"
                                                    : "both"},
                  {"cold", options_.cold},
                  {"start", c.initial_capacity},
                  {"warm", c.slow_start_duration}});
    arm();
    return 0;
}

void Engine::record(const char* event, Json fields) {
    fields["server"] = options_.server;
    recorder_.write(net::now(), event, std::move(fields));
}

void Engine::arm() {
    const Millis now = net::now();
    const Millis next = model_.advance(now);
    if (reports_.empty() || now - reports_.back().first > 20)
        reports_.emplace_back(now, model_.memory_share());
    while (reports_.size() > 1 && reports_[1].first <= now - report_delay_) reports_.pop_front();
    timer_.fire_after(std::min(next - now, 1000.0));
}

std::string Engine::load_header() {
    const double share =
        report_delay_ > 0 && !reports_.empty() ? reports_.front().second : model_.memory_share();
    return "TEXT named_metrics.kv_cache_usage_perc=" + std::to_string(share) +
           ", named_metrics.waiting_ktokens=" + std::to_string(model_.waiting_ktokens());
}

bool Engine::is_cut(const Connection& link) const {
    if (link.is_control) return false;
    return std::any_of(cut_from_.begin(), cut_from_.end(),
                       [&](const std::string& from) { return link.peer.rfind(from, 0) == 0; });
}

void Engine::accept(std::unique_ptr<net::TcpStream> stream, bool control) {
    connections_.push_back(std::make_unique<Connection>(*this, std::move(stream), control));
    connections_.back()->self = std::prev(connections_.end());
    connections_.back()->cut = true;
}

void Engine::handle(Connection& link) {
    const std::string body = std::exchange(link.request_body, {});
    const std::string path = link.parser.target;
    if (link.is_control) return order(link, body);
    if (path == "/v1/chat/completions") return complete(link, body);
    if (path == "/abort_request") return abort(link, body);
    if (path == "/take") return take(link, body);
    link.answer(404, error_json("not_found", "no such path"), "");
}

void Engine::complete(Connection& link, const std::string& body) {
    std::string why;
    const Json j = api::parse_json(body, why);
    if (!j.is_object() || !j.contains("messages"))
        return link.answer(400, error_json("invalid_request_error", "bad body"), load_header());
    ActiveRequest ask;
    ask.link = &link;
    const auto header = [&](const char* name) {
        const auto* v = http::find(link.parser.headers, name);
        return v ? *v : std::string();
    };
    ask.job.id = header("x-request-id"), ask.job.key = header("idempotency-key"),
    ask.job.cls = header("x-class");
    ask.job.max_tokens = std::max(1, j.value("max_tokens", 16));
    std::uint64_t chain = 0;
    for (const auto& json : j["messages"]) {
        const std::string text = json.value("content", "");
        chain = api::hash(text, chain + api::hash(json.value("role", "")));
        ask.job.prompt += api::estimate_tokens(text) + 4;
        ask.job.prefixes.emplace_back(chain, ask.job.prompt);
    }
    ask.job.text_seed = chain;
    if (j.contains("stop") && j["stop"].is_array()) {
        std::vector<std::string> strings;
        for (const auto& s : j["stop"]) {
            if (s.is_string() && !s.get_ref<const std::string&>().empty()) strings.push_back(s);
        }
        ask.stops = StopSequences(std::move(strings));
    }
    const Json kv = j.contains("kv_transfer_params") && j["kv_transfer_params"].is_object()
                        ? j["kv_transfer_params"]
                        : Json::object();
    ask.read = kv.value("do_remote_decode", false);
    if (kv.value("do_remote_prefill", false)) {
        ask.job.has_state = true;
        ask.host = kv.value("remote_host", ""), ask.port = kv.value("remote_port", 0);
        ask.remote = kv.value("remote_request_id", ""), ask.cached = kv.value("cached_tokens", 0L);
    }
    const std::string id = ask.job.id;
    record("recv", {{"id", id},
                    {"op", ask.read ? "read" : "write"},
                    {"key", ask.job.key},
                    {"cls", ask.job.cls},
                    {"work", model_.work(ask.job, ask.read)},
                    {"peer", link.peer}});
    const auto refuse = [&](int status, const char* type, const char* how) {
        record("end", {{"id", id}, {"how", how}});
        link.answer(status, error_json(type, how), load_header());
    };
    if (id.empty() || active_requests_.count(id)) return refuse(400, "invalid_request_error", "doubled");
    if (error_classes_.count("") || error_classes_.count(ask.job.cls))
        return refuse(500, "internal_error", "error");
    if (draining_) return refuse(429, "overloaded", "full");
    link.ask = id;
    if (silent_classes_.count("") || silent_classes_.count(ask.job.cls)) {
        ask.silent = true;
        active_requests_[id] = std::move(ask);
        return;
    }
    ask.muted = mute_classes_.count("") || mute_classes_.count(ask.job.cls);
    const bool read = ask.read;
    const Job job = ask.job;
    active_requests_[id] = std::move(ask);
    const auto admit = read ? model_.read(net::now(), job) : model_.write(net::now(), job);
    if (admit == Model::Admission::taken) return arm();
    active_requests_.erase(id);
    link.ask.clear();
    if (admit == Model::Admission::no_state) return refuse(424, "kv_transfer_error", "no_state");
    refuse(429, "overloaded", "full");
}

void Engine::abort(Connection& link, const std::string& body) {
    const Json j = Json::parse(body, nullptr, false);
    const std::string id = j.is_object() ? j.value("rid", "") : "";
    record("let_go", {{"id", id}, {"found", model_.abort(net::now(), id)}});
    if (const auto it = active_requests_.find(id); it != active_requests_.end()) {
        Connection* waiting = it->second.link;
        end(id, "cancelled");
        if (waiting) waiting->answer(499, error_json("aborted", "aborted"), load_header());
    }
    link.answer(200, Json::object(), "");
    arm();
}

void Engine::take(Connection& link, const std::string& body) {
    const Json j = Json::parse(body, nullptr, false);
    const std::string id = j.is_object() ? j.value("rid", "") : "";
    double tokens = 0;
    const bool ok = model_.take(net::now(), id, tokens);
    if (ok) record("taken", {{"id", id}, {"tokens", tokens}});
    link.answer(ok ? 200 : 404, {{"tokens", tokens}}, "");
    arm();
}

void Engine::order(Connection& link, const std::string& body) {
    const Json j = Json::parse(body, nullptr, false);
    const std::string word = j.is_object() ? j.value("order", "") : "";
    const bool on = j.is_object() && j.value("on", true);
    const Millis now = net::now();
    const auto set = [&](std::set<std::string>& s, const std::string& value) {
        if (on) {
            s.insert(value);
        } else {
            s.erase(value);
        }
    };
    bool known = true;
    if (word == "crash") _exit(3);
    if (word == "restart" && !options_.args.empty()) {
        record("down", Json::object());
        // Every socket closes on the way: what was out breaks, as at a crash.
        std::vector<char*> argv;
        if (std::find(options_.args.begin(), options_.args.end(), "--cold") == options_.args.end())
            options_.args.push_back("--cold");
        for (auto& a : options_.args) argv.push_back(a.data());
        argv.push_back(nullptr);
        execv("/proc/self/exe", argv.data());
        _exit(3);
    }
    if (word == "stall") {
        model_.stall(now, on);
    } else if (word == "slow") {
        model_.slow(now, on ? j.value("factor", 5.0) : 1.0);
    } else if (word == "error") {
        set(error_classes_, j.value("class", ""));
    } else if (word == "silent") {
        set(silent_classes_, j.value("class", ""));
    } else if (word == "mute") {
        set(mute_classes_, j.value("class", ""));
    } else if (word == "cut") {
        set(cut_from_, j.value("from", ""));
        if (!on) {
            std::vector<Connection*> all;
            for (auto& connection : connections_) all.push_back(connection.get());
            for (auto* connection : all) {
                if (!connection->gone) connection->write(""), connection->go_on();
            }
        }
    } else if (word == "drain") {
        draining_ = on;
    } else if (word == "late_reports") {
        report_delay_ = on ? j.value("ms", 2000.0) : 0;
    } else {
        known = false;
    }
    if (known) record("order", j);
    link.answer(known ? 200 : 400, {{"ok", known}}, "");
    arm();
}

// ---- what the model tells -------------------------------------------------------------------------------

void Engine::read_done(const std::string& id, double kept) {
    const auto it = active_requests_.find(id);
    const double all = it == active_requests_.end() ? kept : it->second.job.prompt;
    record("held", {{"id", id}, {"did", (all - kept) / options_.config.pace.read_per_s}});
    if (it == active_requests_.end())
        return;  // its asker has gone and the kind does not cancel: the state stays
    if (it->second.muted && it->second.link) return;  // nobody is told: out until its asker closes
    Connection* link = it->second.link;
    const double prompt = it->second.job.prompt;
    end(id, "done");
    if (!link) return;
    link->answer(200,
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
                    {"prompt_tokens_details", {{"cached_tokens", static_cast<long>(kept)}}}}},
                  {"kv_transfer_params",
                   {{"do_remote_prefill", true},
                    {"do_remote_decode", false},
                    {"remote_engine_id", std::to_string(options_.server)},
                    {"remote_block_ids", Json::array({1})},
                    {"remote_request_id", id},
                    {"cached_tokens", static_cast<long>(kept)},
                    {"remote_host", options_.address.substr(0, options_.address.rfind(':'))},
                    {"remote_port", port()}}}},
                 load_header());
    link->go_on();
}

void Engine::fetch(const std::string& id) {
    const auto it = active_requests_.find(id);
    fetches_.push_back(std::make_unique<StateFetch>());
    StateFetch& t = *fetches_.back();
    t.self = std::prev(fetches_.end());
    t.id = id;
    t.stream = std::make_unique<net::TcpStream>(loop_);
    t.timer = std::make_unique<net::Timer>(loop_, [this, &t] { fetch_over(t, false); });
    t.parser.on_complete = [this, &t] { fetch_over(t, t.parser.status == 200); };
    t.stream->on_data = [&t](std::string_view b) {
        if (!t.over) t.parser.feed(b);
    };
    t.stream->on_end = [this, &t](int) { fetch_over(t, false); };
    const std::string from = options_.address.substr(0, options_.address.rfind(':'));
    const std::string to =
        it == active_requests_.end() ? "" : it->second.host + ":" + std::to_string(it->second.port);
    const int error = t.stream->connect(to, from, [this, &t](int e) {
        if (e != 0) return fetch_over(t, false);
        const auto request = active_requests_.find(t.id);
        const std::string text =
            Json{{"rid", request == active_requests_.end() ? "" : request->second.remote}}.dump();
        t.stream->set_reading(true);
        t.stream->write(
            http::request_head("POST", "/take",
                               {{"host", "peer"}, {"content-length", std::to_string(text.size())}}) +
            text);
    });
    t.timer->fire_after(error != 0 ? 0 : 2000);
}

void Engine::fetch_over(StateFetch& fetch, bool ok) {
    if (fetch.over) return;
    fetch.over = true;
    fetch.stream.reset();
    fetch.timer->stop();
    const std::string id = fetch.id;
    ended_fetches_.splice(ended_fetches_.end(), fetches_, fetch.self);
    burier_.fire_after(0);
    model_.fetched(net::now(), id, ok);
    if (!ok) {
        if (const auto it = active_requests_.find(id); it != active_requests_.end()) {
            Connection* link = it->second.link;
            end(id, "no_state");
            if (link) link->answer(424, error_json("kv_transfer_error", "the state is gone"), load_header());
            if (link) link->go_on();
        }
    }
    arm();
}

// The first of all engines that share a folder to run a key has its effect; the others answer alike without.
bool Engine::first_effect(const std::string& key) {
    if (key.empty()) return true;
    if (options_.keys.empty()) return own_keys_.insert(key).second;
    const std::string file = options_.keys + "/" + std::to_string(api::hash(key));
    const int fd = ::open(file.c_str(), O_CREAT | O_EXCL | O_WRONLY | O_CLOEXEC, 0644);
    if (fd >= 0) ::close(fd);
    return fd >= 0;
}

void Engine::running(const std::string& id) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end()) return;
    const bool first = first_effect(it->second.job.key);
    record(first ? "run" : "repeat", {{"id", id}, {"key", it->second.job.key}, {"cls", it->second.job.cls}});
}

void Engine::token(const std::string& id, const std::string& made, bool last, bool cut) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end()) return;
    ActiveRequest& request = it->second;
    ++request.made;
    std::string text = request.stops.feed(made);
    const std::string stop = request.stops.matched();
    if (!stop.empty() && !last) {
        model_.abort(net::now(), id);  // it has its stop: no further token is made
        last = true;
    }
    if (last) text += request.stops.rest();
    if (!request.begun) record("first", {{"id", id}});
    if (request.link && !request.muted) {
        std::string out;
        if (!request.begun) {
            out = http::response_head(200, {{"content-type", "text/event-stream; charset=utf-8"},
                                            {"transfer-encoding", "chunked"},
                                            {"endpoint-load-metrics", load_header()}});
        }
        const Json base = {
            {"id", "chatcmpl-" + id}, {"object", "chat.completion.chunk"}, {"model", options_.model_name}};
        const auto event = [&](Json choices, const Json* usage) {
            Json json = base;
            json["choices"] = std::move(choices);
            if (usage) json["usage"] = *usage;
            out += http::chunk(http::sse_event("", json.dump()));
        };
        if (!request.begun)
            event(Json::array({{{"index", 0},
                                {"delta", {{"role", "assistant"}, {"content", ""}}},
                                {"finish_reason", nullptr}}}),
                  nullptr);
        if (!text.empty())
            event(Json::array({{{"index", 0}, {"delta", {{"content", text}}}, {"finish_reason", nullptr}}}),
                  nullptr);
        if (last) {
            Json choice = {{"index", 0},
                           {"delta", Json::object()},
                           {"finish_reason", cut && stop.empty() ? "length" : "stop"},
                           {"stop_reason", nullptr}};
            if (!stop.empty()) choice["stop_reason"] = stop;
            event(Json::array({choice}), nullptr);
            const Json usage = {{"prompt_tokens", static_cast<long>(request.job.prompt)},
                                {"completion_tokens", request.made},
                                {"total_tokens", static_cast<long>(request.job.prompt) + request.made},
                                {"prompt_tokens_details", {{"cached_tokens", request.cached}}}};
            event(Json::array(), &usage);
            out += http::chunk(http::sse_event("", "[DONE]"));
            out += http::last_chunk;
        }
        request.link->write(std::move(out));
    }
    request.begun = true;
    if (!last) return;
    Connection* link = request.muted ? nullptr : request.link;
    if (request.muted && request.link) return;  // done, and nobody is told: out until its asker closes
    end(id, "done");
    if (!link) return;
    link->busy = false;
    link->go_on();
}

void Engine::end(const std::string& id, const char* how) {
    const auto it = active_requests_.find(id);
    if (it == active_requests_.end()) return;
    record("end", {{"id", id}, {"how", how}, {"tokens", it->second.made}});
    if (it->second.link) it->second.link->ask.clear();
    active_requests_.erase(it);
}

void Engine::closed(Connection& link) {
    if (link.gone) return;
    const std::string id = link.ask;
    if (const auto it = active_requests_.find(id); !id.empty() && it != active_requests_.end()) {
        // Where the kind cancels, a closed connection ends the work; else it goes on for nobody.
        if (options_.config.pace.cancels || it->second.silent) {
            if (!it->second.silent) model_.abort(net::now(), id);
            end(id, "cancelled");
        } else {
            record("left", {{"id", id}});
            it->second.link = nullptr;
        }
    }
    remove(link);
    arm();
}

void Engine::remove(Connection& link) {
    link.gone = true;
    link.stream.reset();
    closed_connections_.splice(closed_connections_.end(), connections_, link.self);
    burier_.fire_after(0);
}

}  // namespace gorsenotch::fake_engine
