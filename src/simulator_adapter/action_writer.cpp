#include "simulator_adapter/action_writer.h"

#include <iomanip>
#include <limits>
#include <sstream>
#include <variant>

#include "control/overloaded.h"
#include "simulator_adapter/wire_words.h"

namespace gorsenotch::simulator_adapter {

void write_action(std::ostream& out, const std::string& instance, const Action& action) {
    const auto line = [&](const char* word, const auto&... fields) {
        std::ostringstream text;
        text << std::setprecision(std::numeric_limits<double>::max_digits10) << word << '\t' << instance;
        ((text << '\t' << fields), ...);
        out << text.str() << '\n';
    };
    std::visit(
        Overloaded{
            [&](const StartAttempt& start) {
                line(words::kStartAttempt, start.request, start.endpoint, start.timeout);
            },
            [&](const StopAttempt& stop) { line(words::kStopAttempt, stop.request, stop.attempt); },
            [&](const ReserveSlot& reserve) { line(words::kReserveSlot, reserve.request, reserve.endpoint); },
            [&](const ReleaseLease& release) { line(words::kReleaseLease, release.request); },
            [&](const Reject& reject) { line(words::kReject, reject.request, reject.retry_after); },
            [&](const Fail& fail) { line(words::kFail, fail.request); },
            [&](const MigrateStream& migrate) { line(words::kMigrateStream, migrate.request); },
            [&](const HealthCheck& check) { line(words::kHealthCheck, check.endpoint); },
            [&](const SetTimer& set_timer) { line(words::kSetTimer, set_timer.timer, set_timer.at); },
            [&](const WatchEndpoints&) { line(words::kWatchEndpoints, 1); },
            [&](const PollEndpoints&) { line(words::kPollEndpoints); },
            [&](const Log& log) { line(words::kLog, log.text); }},
        action);
}

}  // namespace gorsenotch::simulator_adapter
