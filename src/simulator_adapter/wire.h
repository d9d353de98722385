// The simulator's wire: turns its messages into events and the Router's actions into its lines. It decides
// nothing.
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

// A conversation with the simulator. Owns one Router for each simulated gateway (an instance) and keeps them
// apart; the streams must outlive it.
class Session {
public:
    Session(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
    // Serves batches until the input ends. Throws WireError, naming line and reason, on malformed input.
    void run();

private:
    struct Instance {
        std::unique_ptr<Router> router;  // null: the Router refused its settings
        std::map<std::string, int> classes;
        std::map<std::string, int> tenants;
    };
    // An entry of an endpoint list, before the settings that index its names are known.
    struct EndpointRow {
        Endpoint endpoint;
        std::string zone;
        std::string kind;
    };
    using Handler = void (Session::*)(const Message&);
    static const std::map<std::string, Handler>& handlers();

    bool serve_batch();
    std::optional<Message> next_message();

    // One a message.
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

    Endpoint resolve(const EndpointRow& row) const;
    void feed(const std::string& instance, const Event& event);
    void write_router_error(const std::string& instance, const char* reason);

    std::istream& in_;
    std::ostream& out_;
    std::size_t line_number_ = 0;
    Millis now_ = 0;
    std::map<std::string, Instance> instances_;
    std::map<std::uint64_t, std::vector<EndpointRow>> endpoint_lists_;  // by the simulator's number
    // Index by name, as the settings list them; the same for all instances.
    std::map<std::string, int> zones_;
    std::map<std::string, int> kinds_;
};

}  // namespace gorsenotch::simulator_adapter
