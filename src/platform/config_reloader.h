// Reads the configuration file again, until it can be taken.
#pragma once

#include <functional>
#include <string>

#include "gorsenotch/settings.h"
#include "net/event_loop.h"
#include "net/timer.h"
#include "platform/config.h"

namespace gorsenotch::platform {

// Guards against a file that cannot be read just as the signal comes (half written, gone or locked for a
// moment): the old discovery would stay for good and what the new one lists be missed. May read a file that
// is wrong for good for a minute in vain.
//
// Ownership: its timer and the state of the reload under way. Errors: a rejected file is logged once for each
// reason and read again, often at first, then every second, until a minute has passed; the settings in force
// stay. Threading: the event loop's thread.
class ConfigReloader {
public:
    using LogFunction = std::function<void(const char* level, const char* event, const std::string& text)>;

    // `current`: what an incomplete file is completed from; it has to outlive this.
    ConfigReloader(net::EventLoop& loop, std::string file, const Config& current, LogFunction log);

    std::function<void(const Config&)> on_reloaded;

    // Starts a reload; one that is under way starts anew.
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
    std::string last_rejection_;  // the reason logged last, of the reload under way
};

}  // namespace gorsenotch::platform
