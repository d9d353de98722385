// A gateway's settings at start: the settings file, checked and resolved to indices. Times are ms, sizes
// bytes. Errors: all faults of a file, each with its line.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "settings/xml.h"

namespace gorsenotch::settings {

// An engine of the settings or of the fleet file.
struct Engine {
    Endpoint endpoint;    // `started` in ms since 1970 here; the gateway turns it into its own clock
    std::string address;  // "host:port", numeric
};

struct Route {  // a request matches if all that is given matches
    int cls = 0;
    std::string model, header, value;  // header name in lower case
    int tenant = -1;
    double min_prompt_tokens = 0;
    bool any() const { return model.empty() && header.empty() && tenant < 0 && min_prompt_tokens <= 0; }
};

// Bounds of a gateway; names say the units.
struct Limits {
    std::size_t header_bytes = 16384, headers = 100, body_bytes = 4194304, open_requests = 20000;
    std::size_t stream_buffer = 32768, whole_answer = 4194304, event_bytes = 1048576;
    Millis header_ms = 10000, body_ms = 30000, idle_ms = 75000, stream_idle_ms = 20000, ping_ms = 10000;
    Millis drain_ms = 30000, whole_answer_ms = 600000, engine_idle_ms = 15000;
    std::size_t engine_idle = 64;
};

// Pace of a fake engine of one kind.
struct FakeEngineSettings {
    int slots = 16, queue = 64, answer_tokens = 60;
    double read_per_s = 20000, fetch_per_s = 300000, kept_tokens = 50000;
    Millis step = 10, per_stream = 0.1, lease = 5000;
    bool cancels = true;
};

using Digest = std::array<unsigned char, 32>;

// A settings file's contents, validated.
struct Program {
    std::string listen, log_level = "info", fleet_file, source;
    Limits limits;
    std::vector<std::string> models, tenants, classes, zones, kinds;  // names, by index
    std::vector<std::pair<Digest, int>> keys;                         // SHA-256 of a key, its tenant
    std::vector<std::vector<std::string>> tenant_models;              // by tenant; empty: all
    std::map<int, int>
        unkeyed_class;  // class with_key -> its twin of effect once, for requests without a key
    std::vector<Route> routes;
    std::vector<Engine> engines;
    Settings router;
    std::optional<std::uint64_t> seed;
    std::map<int, FakeEngineSettings> fake_engines;  // by kind
};

Digest sha256(std::string_view text);
// The tenant whose key this is, -1 if none. Takes the same time whichever matches.
int tenant_of(const Program& program, std::string_view key);

// Null and faults if anything is wrong. `file` serves for the fleet file's folder.
std::optional<Program> parse(std::string_view text, const std::string& file, std::vector<FileFault>& faults);
std::optional<Program> load(const std::string& file, std::vector<FileFault>& faults);

// A fleet file's engines, by the names of `p`.
std::optional<std::vector<Engine>> parse_fleet(std::string_view text, const Program& program,
                                               std::vector<FileFault>& faults);
std::string write_fleet(const std::vector<Engine>& engines, const Program& program);

}  // namespace gorsenotch::settings
