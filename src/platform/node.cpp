#include "platform/node.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "log/log.h"
#include "net/process_memory.h"
#include "net/signal_watcher.h"
#include "net/socket_error.h"
#include "settings/xml.h"

namespace gorsenotch::platform {
namespace {

constexpr int kExitConfigRejected = 3;
constexpr int kExitSystemRefused = 4;

// ---- start ----
constexpr Millis kFirstListTimeout = 300;  // for the endpoint list, before the node listens without it
constexpr Millis kListenRetryInterval = 50;
// For another process to free the listen address: a stopping gateway is killed no later than 3.7 s after
// SIGTERM.
constexpr Millis kAddressInUseTimeout = 5000;

// ---- drain ----
constexpr Millis kDrainInterval = 20;
constexpr Millis kMinAcceptPeriod = 600;  // new connections keep arriving for a while after SIGTERM
// The platform kills the process no earlier than the longest class deadline, capped at 3 s, plus 0.7 s.
constexpr Millis kMaxDeadlineBeforeKill = 3000;
constexpr Millis kKillDelay = 700;

// ---- descriptors and connections ----
constexpr std::size_t kDefaultSockets = 1024;
constexpr std::size_t kMinSockets = 64;
// Descriptors for everything but clients and endpoints: event loop, log, discovery, ending connections.
constexpr std::size_t kReservedSockets = 24 + ClientConnections::kMaxEndingConnections;
constexpr std::size_t kUpstreamPercent = 45;
constexpr std::size_t kClientPercent = 55;

// ---- upstream connections ----
constexpr Millis kDefaultConnectTimeout = 250;
constexpr Millis kDefaultIdleTimeout = 5000;
constexpr Millis kMaxIdleTimeout = 15000;
constexpr double kIdleTimeoutFraction = 0.4;  // of the time after which endpoints close idle connections
constexpr std::size_t kMaxIdlePerAddress = 8;

// The ms to add to Unix time to get the monotonic clock's time.
Millis monotonic_clock_offset() {
    using namespace std::chrono;
    const auto wall = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
    return net::now() - static_cast<Millis>(wall) / 1000;
}

std::size_t socket_limit(const Config& config) {
    if (config.sockets == 0) return kDefaultSockets;
    return std::max(config.sockets, kMinSockets);
}

proxy::ConnectionPool::Config upstream_config(const Config& config) {
    const Millis connect_timeout = config.named.settings.connect_timeout;
    const Millis idle_close = config.named.idle_close;
    proxy::ConnectionPool::Config pool;
    pool.connect_timeout = connect_timeout > 0 ? connect_timeout : kDefaultConnectTimeout;
    // Well before the endpoint closes the connection: a request written to a closed connection is lost.
    pool.idle_timeout =
        idle_close > 0 ? std::min(kMaxIdleTimeout, kIdleTimeoutFraction * idle_close) : kDefaultIdleTimeout;
    pool.max_idle_per_address = kMaxIdlePerAddress;
    pool.cooldown = true;
    pool.learn_reuse = true;
    pool.max_connections = (socket_limit(config) - kReservedSockets) * kUpstreamPercent / 100;
    return pool;
}

ClientConnections::Config clients_config(const Config& config) {
    ClientConnections::Config clients;
    clients.listen = config.listen;
    clients.limits.max_connections = (socket_limit(config) - kReservedSockets) * kClientPercent / 100;
    return clients;
}

std::size_t memory_limit(const Config& config) { return config.memory_mb * control::MemoryBudget::kMebibyte; }

std::string environment_variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

}  // namespace

Node::Node(net::EventLoop& loop, control::MemoryBudget& memory, Config config, std::string file)
    : loop_(loop),
      config_(std::move(config)),
      memory_(memory),
      endpoints_(config_.named, monotonic_clock_offset()),
      connection_pool_(loop, upstream_config(config_)),
      lifecycle_(config_.named, config_.seed, endpoints_, *this),
      client_connections_(loop, config_.named, lifecycle_, memory, clients_config(config_)),
      endpoint_watcher_(loop, config_.seed),
      config_reloader_(
          loop, std::move(file), config_,
          [this](const char* level, const char* event, const std::string& text) { log(level, event, text); }),
      memory_monitor_(loop, memory),
      status_reporter_(loop, {endpoints_, lifecycle_, client_connections_, connection_pool_, memory}),
      wakeup_timer_(loop, [this] { return lifecycle_.tick(); }),
      drain_timer_(loop, [this] { drain_step(); }),
      listen_timer_(loop, [this] { listen(); }) {
    lifecycle_.on_wake() = [this] { wakeup_timer_.wake(); };
    loop_.before_poll = [this](Millis due) { lifecycle_.before_poll(due); };
    loop_.after_poll = [this] { lifecycle_.after_poll(loop_.last_poll()); };
    endpoint_watcher_.on_list = [this](const std::string& text, bool from_new_address) {
        return on_list(text, from_new_address);
    };
    endpoint_watcher_.on_fault = [this](const std::string& reason) { on_discovery_fault(reason); };
    config_reloader_.on_reloaded = [this](const Config& next) {
        endpoint_watcher_.watch_address(next.discovery);
        memory_.set_limit(memory_limit(next));
    };
}

Node::~Node() {
    loop_.before_poll = nullptr;
    loop_.after_poll = nullptr;
}

// ---- discovery ------------------------------------------------------------------------------------------

std::optional<std::uint64_t> Node::on_list(const std::string& text, bool from_new_address) {
    const auto source =
        from_new_address ? EndpointList::Source::new_address : EndpointList::Source::same_address;
    std::string rejection;
    auto update = endpoints_.apply(text, source, net::now(), rejection);
    if (!update) {
        log("warn", "list_refused", rejection);
        return std::nullopt;
    }
    if (!update->endpoints.empty() || update->kind == EndpointUpdate::Kind::full)
        lifecycle_.on_endpoint_update(std::move(*update));
    memory_monitor_.measure();
    if (!listening_) listen_timer_.fire_after(0);
    return endpoints_.version();
}

void Node::on_discovery_fault(const std::string& reason) {
    log("warn", "discovery", reason);
    EndpointUpdate failed;
    failed.kind = EndpointUpdate::Kind::failed;
    lifecycle_.on_endpoint_update(std::move(failed));
}

void Node::load_cached_list() {
    if (config_.cached_list.empty()) return;
    std::string rejection;
    auto update = endpoints_.apply(config_.cached_list, EndpointList::Source::cached, net::now(), rejection);
    if (update)
        lifecycle_.on_endpoint_update(std::move(*update));
    else
        log("warn", "known_refused", rejection);
}

// ---- start ----------------------------------------------------------------------------------------------

void Node::start() {
    started_at_ = net::now();
    load_cached_list();
    memory_monitor_.start();
    wakeup_timer_.wake();
    // Guards against sending by an outdated cached list: discovery's list applies from the start of the
    // process. The cached list is used only while discovery is unavailable.
    endpoint_watcher_.watch_address(config_.discovery);
    listen_timer_.fire_after(kFirstListTimeout);
    status_reporter_.start(started_at_);
}

void Node::listen() {
    if (listening_ || stopped_at_) return;
    listening_ = true;
    listen_timer_.stop();
    const int error = client_connections_.listen();
    if (is_listen_retryable(error)) {
        listening_ = false;
        if (!std::exchange(listen_failure_logged_, true))
            log("warn", "listen_failed", net::error_text(error) + "; will retry");
        return listen_timer_.fire_after(kListenRetryInterval);
    }
    if (error != 0) return on_listen_failed(error);
    log("info", "ready", config_.listen);
}

// Guards against exiting because of a temporary resource shortage on this host, or because the previous
// process still uses the address. The cost is that an address in permanent use is reported 5 s late.
bool Node::is_listen_retryable(int error) const {
    const net::ErrorClass error_class = net::classify_listen_error(error);
    if (error_class == net::ErrorClass::host_resources) return true;
    return error_class == net::ErrorClass::address_in_use &&
           net::now() - started_at_ < kFirstListTimeout + kAddressInUseTimeout;
}

// ---- drain ----------------------------------------------------------------------------------------------

void Node::stop(std::function<void()> on_drained) {
    if (stopped_at_) return;
    stopped_at_ = net::now();
    on_drained_ = std::move(on_drained);
    log("info", "stopping", std::to_string(lifecycle_.open_requests()) + " requests open");
    drain_schedule_.emplace(*stopped_at_, earliest_kill(), config_.named.settings.stream_migration);
    client_connections_.drain(drain_schedule_->refuse_requests_from());
    drain_timer_.fire_after(kDrainInterval);
}

Millis Node::earliest_kill() const {
    Millis longest = 0;
    for (const ClassSettings& class_settings : config_.named.settings.classes)
        longest = std::max(longest, class_settings.deadline);
    return *stopped_at_ + std::min(longest, kMaxDeadlineBeforeKill) + kKillDelay;
}

void Node::drain_step() {
    drain_timer_.fire_after(kDrainInterval);
    const Millis now = net::now();
    const bool stop_accepting = is_idle(now) || drain_schedule_->stop_accepting(now);
    if (!stop_accepting && lifecycle_.open_streams() == 0) return;
    if (stop_accepting) client_connections_.stop_accepting();
    if (config_.named.settings.stream_migration)
        lifecycle_.migrate_streams(drain_schedule_->streams_to_migrate(now, lifecycle_.open_streams()));
    if (drain_schedule_->must_answer_remaining(now)) {
        lifecycle_.shutdown();
        client_connections_.refuse_incomplete_requests();
    }
    if (!is_drained()) return;
    status_reporter_.report();
    drain_timer_.stop();
    if (on_drained_) on_drained_();
}

bool Node::is_idle(Millis now) const {
    return now - *stopped_at_ >= kMinAcceptPeriod && lifecycle_.open_requests() == 0 &&
           client_connections_.connections() == 0;
}

bool Node::is_drained() const {
    return lifecycle_.open_requests() == 0 && lifecycle_.releases_in_progress() == 0 &&
           client_connections_.connections() == 0 && !client_connections_.listening();
}

// ---- Environment ----------------------------------------------------------------------------------------

void Node::start_exchange(const std::string& address, proxy::OutboundRequest request,
                          std::shared_ptr<UpstreamExchange> exchange, Connection connection) {
    connection_pool_.start(address, std::move(request), std::move(exchange), connection == Connection::fresh);
}

void Node::log(const char* level, const char* event, const std::string& text) {
    log::write(level, event, {{"text", text}});
}

// ---- process --------------------------------------------------------------------------------------------

namespace {

// Reads and validates the configuration file; throws the reason if it is invalid.
Config read_config(const std::string& file) {
    if (file.empty()) throw ConfigError("not set");
    std::string text;
    std::string read_error;
    if (!settings::read_file(file, text, read_error)) throw ConfigError(file + ": " + read_error);
    Config config =
        parse_config(text, environment_variable("GW_LISTEN"), environment_variable("GW_DISCOVERY"));
    const Router checked(config.named.settings, 0);  // throws for settings that the Router rejects
    return config;
}

// Runs the event loop until the node has drained; returns the exit code.
int run_until_drained(Config config, const std::string& file) {
    int exit_code = 0;
    net::reserve_descriptors(socket_limit(config));
    control::MemoryBudget memory(memory_limit(config));
    net::EventLoop loop;
    Node node(loop, memory, std::move(config), file);
    const auto stop = [&] { node.stop([&] { loop.stop(); }); };
    net::SignalWatcher terminate(loop, SIGTERM, stop);
    net::SignalWatcher interrupt(loop, SIGINT, stop);
    net::SignalWatcher hangup(loop, SIGHUP, [&] { node.reload(); });
    node.on_listen_failed = [&](int error) {
        std::cerr << "GW_LISTEN: " << net::error_text(error) << '\n';
        exit_code = kExitSystemRefused;
        loop.stop();
    };
    node.start();
    loop.run();
    return exit_code;
}

}  // namespace

int run_node() {
    const std::string file = environment_variable("GW_CONFIG");
    Config config;
    try {
        config = read_config(file);
    } catch (const std::exception& error) {
        std::cerr << "GW_CONFIG: " << error.what() << '\n';
        return kExitConfigRejected;
    }
    net::return_large_blocks_at_once();
    log::open("info");
    const int exit_code = run_until_drained(std::move(config), file);
    log::close();
    return exit_code;
}

}  // namespace gorsenotch::platform
