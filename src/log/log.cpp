#include "log/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>

namespace gorsenotch::log {
namespace {

spdlog::logger& logger() {
    static const auto l = [] {
        auto made =
            std::make_shared<spdlog::logger>("gorsenotch", std::make_shared<spdlog::sinks::stderr_sink_st>());
        made->set_pattern("%v");
        return made;
    }();
    return *l;
}

spdlog::level::level_enum number(const std::string& level) {
    return level == "debug"   ? spdlog::level::debug
           : level == "warn"  ? spdlog::level::warn
           : level == "error" ? spdlog::level::err
                              : spdlog::level::info;
}

}  // namespace

void open(const std::string& level) { logger().set_level(number(level)); }

void write(const char* level, const char* event, nlohmann::json fields) {
    const auto n = number(level);
    if (!logger().should_log(n)) return;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    fields["time"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    fields["level"] = level;
    fields["event"] = event;
    logger().log(n, fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void flush() { logger().flush(); }

}  // namespace gorsenotch::log
