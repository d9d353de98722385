// A gateway in miniature, against the installed library: one reader, one writer, one request.
#include <gorsenotch/router.h>

#include <iostream>

int main() {
    using namespace gorsenotch;
    Settings settings;
    ClassSettings chat;
    chat.aim = 1000;       // ms to the first token
    chat.deadline = 5000;  // ms until the client leaves
    chat.token_aim = 60;   // ms between tokens
    settings.classes = {chat};
    settings.kinds = {{Role::read, 200000}, {Role::write, 150000}};
    settings.max_attempts = 4;

    Router router(settings, /*seed=*/1);
    std::vector<Action> actions;
    const ServerEntry reader{.server = 1, .kind = 0}, writer{.server = 2, .kind = 1};
    router.handle(0, ListEvent{ListEvent::Form::full, {reader, writer}}, actions);

    Arrival request;
    request.request = "r-1";
    request.deadline = 5000;
    request.prompt_tokens = 1200;
    actions.clear();
    router.handle(1, request, actions);
    bool read = false, wrote = false;
    for (const Action& action : actions) {
        if (const auto* attempt = std::get_if<Attempt>(&action)) read = attempt->server == 1;
    }

    Outcome ended;
    ended.request = "r-1";
    ended.server = 1;
    ended.result = Result::read_done;
    actions.clear();
    router.handle(90, ended, actions);
    for (const Action& action : actions) {
        if (const auto* attempt = std::get_if<Attempt>(&action)) wrote = attempt->server == 2;
    }
    std::cout << "read at 1: " << read << ", written at 2: " << wrote << '\n';
    return read && wrote ? 0 : 1;
}
