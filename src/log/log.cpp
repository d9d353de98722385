#include "log/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>

namespace gorsenotch::log {
namespace {

constexpr std::size_t kMaxQueuedLines = 8192;

std::shared_ptr<spdlog::logger> synchronous_logger() {
    auto logger =
        std::make_shared<spdlog::logger>("gorsenotch", std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_pattern("%v");
    return logger;
}

// Logging state of the process; modified only by open() and close().
struct State {
    std::shared_ptr<spdlog::details::thread_pool> pool;  // null unless open
    std::shared_ptr<spdlog::logger> logger = synchronous_logger();
};
State& state() {
    static State process_state;
    return process_state;
}

spdlog::level::level_enum level_from(const std::string& level) {
    return level == "debug"   ? spdlog::level::debug
           : level == "warn"  ? spdlog::level::warn
           : level == "error" ? spdlog::level::err
                              : spdlog::level::info;
}

}  // namespace

void open(const std::string& level) {
    State& current = state();
    current.pool = std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1);
    current.logger = std::make_shared<spdlog::async_logger>(
        "gorsenotch", std::make_shared<spdlog::sinks::stderr_sink_mt>(), current.pool,
        spdlog::async_overflow_policy::overrun_oldest);
    current.logger->set_pattern("%v");
    current.logger->set_level(level_from(level));
}

void close() {
    State& current = state();
    const auto level = current.logger->level();
    const std::size_t dropped = current.pool ? current.pool->overrun_counter() : 0;
    current.logger = synchronous_logger();
    current.logger->set_level(level);
    current.pool.reset();  // waits until its thread has written all queued lines
    if (dropped > 0) write("warn", "log_dropped", {{"lines", dropped}});
}

void write(const char* level, const char* event, nlohmann::json fields) {
    const auto severity = level_from(level);
    if (!state().logger->should_log(severity)) return;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    fields["time"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    fields["level"] = level;
    fields["event"] = event;
    state().logger->log(severity, fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace gorsenotch::log
