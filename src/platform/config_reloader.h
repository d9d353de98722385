// Reloads the configuration file, with retries until it is valid.
#pragma once

#include <functional>
#include <string>

#include "gorsenotch/settings.h"
#include "net/event_loop.h"
#include "net/timer.h"
#include "platform/config.h"

namespace gorsenotch::platform {

// Guards against a file that cannot be read at the moment of the signal (half written, briefly missing or
// locked): without a retry the old discovery address would remain in use forever, and changes listed by the
// new one would be missed. The cost is that a permanently invalid file is read in vain for a minute.
//
// Ownership: its timer and the state of the reload in progress. Errors: a rejected file is logged once per
// reason and read again, frequently at first, then every second, for one minute; the current settings stay.
// Threading: the event loop's thread.
class ConfigReloader {
public:
    using LogFunction = std::function<void(const char* level, const char* event, const std::string& text)>;

    // `current`: provides values that the file does not set; it has to outlive this object.
    ConfigReloader(net::EventLoop& loop, std::string file, const Config& current, LogFunction log);

    std::function<void(const Config&)> on_reloaded;

    // Starts a reload, or restarts the one in progress.
    void reload();

private:
    void try_reload();
    Config read() const;
    void on_rejected(const std::string& reason);

    const std::string file_;
    const Config& current_;
    const LogFunction log_;
    net::Timer retry_timer_;
    Millis requested_at_ = 0;
    std::string last_rejection_;  // the reason last logged for the reload in progress
};

}  // namespace gorsenotch::platform
