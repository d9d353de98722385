#include "platform/config_reloader.h"

#include <exception>
#include <utility>

#include "net/clock.h"
#include "settings/xml.h"

namespace gorsenotch::platform {
namespace {

// Retries are frequent at first, because a new discovery address has to be in use 4 s after the signal.
constexpr Millis kFrequentRetryInterval = 50;
constexpr Millis kFrequentRetryPeriod = 4000;
constexpr Millis kInfrequentRetryInterval = 1000;
constexpr Millis kRetryPeriod = 60000;  // after which the reload is abandoned

}  // namespace

ConfigReloader::ConfigReloader(net::EventLoop& loop, std::string file, const Config& current, LogFunction log)
    : file_(std::move(file)),
      current_(current),
      log_(std::move(log)),
      retry_timer_(loop, [this] { try_reload(); }) {}

void ConfigReloader::reload() {
    requested_at_ = net::now();
    last_rejection_.clear();
    try_reload();
}

void ConfigReloader::try_reload() {
    try {
        const Config next = read();
        on_reloaded(next);
        log_("info", "reloaded", next.discovery);
    } catch (const std::exception& error) {
        on_rejected(error.what());
    }
}

Config ConfigReloader::read() const {
    std::string text;
    std::string read_error;
    if (!settings::read_file(file_, text, read_error)) throw ConfigError("GW_CONFIG: " + read_error);
    return parse_config(text, current_.listen, current_.discovery);
}

void ConfigReloader::on_rejected(const std::string& reason) {
    if (std::exchange(last_rejection_, reason) != reason)
        log_("error", "reload_refused", reason + "; will retry");
    const Millis passed = net::now() - requested_at_;
    if (passed < kRetryPeriod) {
        const bool frequent = passed < kFrequentRetryPeriod;
        return retry_timer_.fire_after(frequent ? kFrequentRetryInterval : kInfrequentRetryInterval);
    }
    log_("error", "reload_given_up", reason);
}

}  // namespace gorsenotch::platform
