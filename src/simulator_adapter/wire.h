// The simulator's wire: turns its lines into events and actions into its lines. It decides nothing.
#pragma once

#include <istream>
#include <map>
#include <memory>
#include <ostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "gorsenotch/logic.h"
#include "settings/deployment_settings.h"

namespace gorsenotch::simulator_adapter {

struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// EndpointList one Router for each instance and keeps them apart.
class Host {
public:
    Host(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
    // Serves batches until the input ends. Throws WireError, naming line and reason, on malformed input.
    void run();

private:
    using Fields = std::vector<std::string>;
    struct Instance {
        std::unique_ptr<Router> router;
        std::map<std::string, int> classes, tenants;
    };
    bool batch();
    void line(const Fields& f);
    void snapshot(const Fields& f);
    void init(const Fields& f);
    void feed(const std::string& name, const Event& event);
    void write(const std::string& name, const Action& action);
    bool next(Fields& f);

    std::istream& in_;
    std::ostream& out_;
    std::size_t line_no_ = 0;
    Millis now_ = 0;
    std::map<std::string, Instance> instances_;
    struct Row {
        Endpoint entry;
        std::string zone, kind;
    };
    std::map<std::uint64_t, std::vector<Row>> sheets_;
    std::map<std::string, int> zones_, kinds_;  // names as the settings list them, the same for all instances
};

}  // namespace gorsenotch::simulator_adapter
