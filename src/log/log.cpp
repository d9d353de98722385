#include "log/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>

namespace gorsenotch::log {
namespace {

constexpr std::size_t kWaiting = 8192;

std::shared_ptr<spdlog::logger> at_once() {
    auto made =
        std::make_shared<spdlog::logger>("gorsenotch", std::make_shared<spdlog::sinks::stderr_sink_st>());
    made->set_pattern("%v");
    return made;
}

struct State {
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::logger> logger = at_once();
};
State& state() {
    static State s;
    return s;
}

spdlog::level::level_enum number(const std::string& level) {
    return level == "debug"   ? spdlog::level::debug
           : level == "warn"  ? spdlog::level::warn
           : level == "error" ? spdlog::level::err
                              : spdlog::level::info;
}

}  // namespace

void open(const std::string& level) {
    State& s = state();
    s.pool = std::make_shared<spdlog::details::thread_pool>(kWaiting, 1);
    s.logger = std::make_shared<spdlog::async_logger>("gorsenotch",
                                                      std::make_shared<spdlog::sinks::stderr_sink_mt>(),
                                                      s.pool, spdlog::async_overflow_policy::overrun_oldest);
    s.logger->set_pattern("%v");
    s.logger->set_level(number(level));
}

void close() {
    State& s = state();
    const auto level = s.logger->level();
    const std::size_t dropped = s.pool ? s.pool->overrun_counter() : 0;
    s.logger = at_once();
    s.logger->set_level(level);
    s.pool.reset();  // its thread ends when it has written what waits
    if (dropped > 0) write("warn", "log_dropped", {{"lines", dropped}});
}

void write(const char* level, const char* event, nlohmann::json fields) {
    const auto n = number(level);
    if (!state().logger->should_log(n)) return;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    fields["time"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    fields["level"] = level;
    fields["event"] = event;
    state().logger->log(n, fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace gorsenotch::log
