#include "state/action_codec.h"

#include <variant>

namespace gorsenotch::state {
namespace {

using Json = nlohmann::json;

Json to_json(const StartAttempt& start) {
    return {{"a", "attempt"},
            {"r", start.request},
            {"s", start.endpoint},
            {"limit", start.timeout},
            {"by", start.send_by}};
}

Json to_json(const StopAttempt& stop) { return {{"a", "stop"}, {"r", stop.request}, {"n", stop.attempt}}; }

Json to_json(const ReserveSlot& reserve) {
    return {{"a", "hold"}, {"r", reserve.request}, {"s", reserve.endpoint}};
}

Json to_json(const ReleaseLease& release) { return {{"a", "drop"}, {"r", release.request}}; }

Json to_json(const Reject& reject) {
    return {{"a", "refuse"}, {"r", reject.request}, {"pause", reject.retry_after}};
}

Json to_json(const Fail& fail) { return {{"a", "fail"}, {"r", fail.request}}; }

Json to_json(const MigrateStream& migrate) { return {{"a", "move"}, {"r", migrate.request}}; }

Json to_json(const HealthCheck& check) { return {{"a", "probe"}, {"s", check.endpoint}}; }

Json to_json(const SetTimer& set_timer) {
    return {{"a", "timer"}, {"l", set_timer.timer}, {"at", set_timer.at}};
}

Json to_json(const WatchEndpoints&) { return {{"a", "subscribe"}}; }

Json to_json(const PollEndpoints&) { return {{"a", "fetch"}}; }

Json to_json(const Log& log) { return {{"a", "log"}, {"text", log.text}}; }

}  // namespace

Json action_to_json(const Action& action) {
    return std::visit([](const auto& alternative) { return to_json(alternative); }, action);
}

}  // namespace gorsenotch::state
