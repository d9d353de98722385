// A minimal gateway built against the installed library: runs one request through one prefill and one decode
// endpoint.
#include <gorsenotch/router.h>

#include <iostream>
#include <variant>
#include <vector>

namespace {

using namespace gorsenotch;

constexpr EndpointId kPrefill = 1;
constexpr EndpointId kDecode = 2;

Settings consumer_settings() {
    ClassSettings chat;
    chat.latency_objective = 1000;    // ms to the first token
    chat.deadline = 5000;             // ms that the client waits
    chat.inter_token_objective = 60;  // ms between tokens
    Settings settings;
    settings.classes = {chat};
    settings.kinds = {{Role::prefill, 200000}, {Role::decode, 150000}};
    settings.max_attempts = 4;
    return settings;
}

bool starts_attempt_at(const std::vector<Action>& actions, EndpointId endpoint) {
    bool starts = false;
    for (const Action& action : actions) {
        if (const auto* start = std::get_if<StartAttempt>(&action)) starts = start->endpoint == endpoint;
    }
    return starts;
}

}  // namespace

int main() {
    Router router(consumer_settings(), /*seed=*/1);
    std::vector<Action> actions;
    const Endpoint prefill{.id = kPrefill, .kind = 0};
    const Endpoint decode{.id = kDecode, .kind = 1};
    router.handle(0, EndpointUpdate{EndpointUpdate::Kind::full, {prefill, decode}}, actions);

    Arrival request;
    request.request = "r-1";
    request.deadline = 5000;
    request.prompt_tokens = 1200;
    actions.clear();
    router.handle(1, request, actions);
    const bool prefilled = starts_attempt_at(actions, kPrefill);

    AttemptEnded ended;
    ended.request = "r-1";
    ended.endpoint = kPrefill;
    ended.result = AttemptResult::prefill_done;
    actions.clear();
    router.handle(90, ended, actions);
    const bool decoded = starts_attempt_at(actions, kDecode);
    std::cout << "prefill at 1: " << prefilled << ", decode at 2: " << decoded << '\n';
    return prefilled && decoded ? 0 : 1;
}
