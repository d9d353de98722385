// Translates between the simulator's wire protocol and Routers: messages become events, and actions become
// messages. It makes no routing decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "gorsenotch/router.h"
#include "simulator_adapter/message.h"

namespace gorsenotch::simulator_adapter {

// One connection to the simulator. Owns a separate Router for each simulated gateway (instance). The streams
// must outlive it.
class Session {
public:
    Session(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
    // Serves batches until the input ends. On malformed input, throws WireError with the line number and
    // reason.
    void run();

private:
    struct Instance {
        std::unique_ptr<Router> router;  // null: the Router rejected its settings
        std::map<std::string, int> classes;
        std::map<std::string, int> tenants;
    };
    // An entry of an endpoint list. Zone and kind stay names until the settings that number them are known.
    struct EndpointRow {
        Endpoint endpoint;
        std::string zone;
        std::string kind;
    };
    using Handler = void (Session::*)(const Message&);
    static const std::map<std::string, Handler>& handlers();

    bool serve_batch();
    std::optional<Message> next_message();

    // One handler per message type.
    void on_endpoint_rows(const Message& message);
    void on_init(const Message& message);
    void on_killed(const Message& message);
    void on_arrival(const Message& message);
    void on_attempt_ended(const Message& message);
    void on_first_token(const Message& message);
    void on_reservation_reply(const Message& message);
    void on_client_disconnected(const Message& message);
    void on_health_check_result(const Message& message);
    void on_timer_fired(const Message& message);
    void on_endpoint_update(const Message& message);

    Endpoint resolve_names(const EndpointRow& row) const;
    void handle_event(const std::string& instance, const Event& event);
    void write_router_error(const std::string& instance, const char* reason);

    std::istream& in_;
    std::ostream& out_;
    std::size_t line_number_ = 0;
    Millis now_ = 0;
    std::map<std::string, Instance> instances_;
    std::map<std::uint64_t, std::vector<EndpointRow>> endpoint_lists_;  // by the simulator's list number
    // Indices by name, in the order of the settings; the same for all instances.
    std::map<std::string, int> zones_;
    std::map<std::string, int> kinds_;
};

}  // namespace gorsenotch::simulator_adapter
