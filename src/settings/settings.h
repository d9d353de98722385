// A gateway's settings at start: the settings file, validated, with names resolved to indices. Times are ms,
// sizes bytes. Errors: all faults of a file, each with its line.
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

// An engine of the settings file or of the fleet file.
struct Engine {
    Endpoint endpoint;    // `started_at` in ms since 1970; the gateway converts it to its own clock
    std::string address;  // "host:port", numeric
};

// Assigns a class to the requests that match all given conditions.
struct Route {
    int cls = 0;
    std::string model, header, value;  // header name in lower case
    int tenant = -1;                   // -1: any
    double min_prompt_tokens = 0;
    bool matches_every_request() const {
        return model.empty() && header.empty() && tenant < 0 && min_prompt_tokens <= 0;
    }
};

// Limits of a gateway: sizes in bytes, times in ms, and counts.
struct Limits {
    std::size_t memory_bytes = 536870912;  // of the process
    std::size_t header_bytes = 16384, headers = 100, body_bytes = 4194304, open_requests = 20000;
    std::size_t stream_buffer_bytes = 32768, complete_answer_bytes = 4194304, event_bytes = 1048576;
    Millis header_ms = 10000, body_ms = 30000, idle_ms = 75000, stream_idle_ms = 20000, ping_ms = 10000;
    Millis drain_ms = 30000, complete_answer_timeout_ms = 600000, engine_idle_ms = 15000;
    std::size_t max_idle_engine_connections = 64;
};

// Capacity and speed of the fake engines of one kind. Times are ms, rates are tokens per second.
struct FakeEngineSettings {
    int slots = 16, queue = 64, answer_tokens = 60;
    double prefill_tokens_per_s = 20000, fetch_tokens_per_s = 300000, cache_tokens = 50000;
    Millis step = 10, per_stream = 0.1, lease = 5000;
    bool cancels = true;
};

// A SHA-256 digest.
using Digest = std::array<unsigned char, 32>;

// The contents of a valid settings file.
struct ProgramSettings {
    std::string listen, log_level = "info", fleet_file, source;
    Limits limits;
    std::vector<std::string> models, tenants, classes, zones, kinds;  // names, by index
    std::vector<std::pair<Digest, int>> keys;                         // digest of a key, and its tenant
    std::vector<std::vector<std::string>> tenant_models;              // by tenant; empty: all
    // For each class with idempotency with_key, its unsafe copy for requests without a key.
    std::map<int, int> unkeyed_class;
    std::vector<Route> routes;
    std::vector<Engine> engines;
    Settings router;
    std::optional<std::uint64_t> seed;
    std::map<int, FakeEngineSettings> fake_engines;  // by kind
};

Digest sha256(std::string_view text);
// The tenant that the key belongs to; -1 if none. Takes the same time whichever key matches.
int tenant_of(const ProgramSettings& program, std::string_view key);

// Nothing, with faults added, if the settings are invalid. `file`: the settings file, to whose directory the
// fleet file's path is relative.
std::optional<ProgramSettings> parse(std::string_view text, const std::string& file,
                                     std::vector<FileFault>& faults);
std::optional<ProgramSettings> load(const std::string& file, std::vector<FileFault>& faults);

// The engines of a fleet file, whose kinds and zones are resolved by the names in `program`. Nothing, with
// faults added, if the text is invalid.
std::optional<std::vector<Engine>> parse_fleet(std::string_view text, const ProgramSettings& program,
                                               std::vector<FileFault>& faults);
// The text of a fleet file with these engines.
std::string write_fleet(const std::vector<Engine>& engines, const ProgramSettings& program);

}  // namespace gorsenotch::settings
