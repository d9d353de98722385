#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <filesystem>
#include <set>
#include <sstream>
#include <stdexcept>

#include "gorsenotch/router.h"
#include "settings/fleet_file.h"
#include "settings/section_reader.h"
#include "settings/setting_words.h"
#include "settings/text_values.h"

namespace gorsenotch::settings {
namespace {

// ---- <limits> ----

void read_limits(SectionReader& reader, const Element& element) {
    if (!element) return;
    const auto size = [&](const char* attribute) {
        return static_cast<std::size_t>(element.number(attribute));
    };
    Limits& limits = reader.program().limits;
    limits.memory_bytes = size("memory-bytes");
    limits.header_bytes = size("header-bytes");
    limits.headers = size("headers");
    limits.body_bytes = size("body-bytes");
    limits.open_requests = size("open-requests");
    limits.stream_buffer_bytes = size("stream-buffer-bytes");
    limits.complete_answer_bytes = size("whole-answer-bytes");
    limits.event_bytes = size("event-bytes");
    limits.header_ms = element.number("header-ms");
    limits.body_ms = element.number("body-ms");
    limits.idle_ms = element.number("idle-ms");
    limits.stream_idle_ms = element.number("stream-idle-ms");
    limits.ping_ms = element.number("ping-ms");
    limits.drain_ms = element.number("drain-ms");
    limits.complete_answer_timeout_ms = element.number("whole-answer-ms");
    limits.engine_idle_ms = element.number("engine-idle-ms");
    limits.max_idle_engine_connections = size("engine-idle-connections");
}

// ---- <tenants> ----

// The schema has checked that `hex` has two digits per byte.
Digest parse_digest(const std::string& hex) {
    Digest digest{};
    for (std::size_t i = 0; i < digest.size(); ++i)
        digest[i] = static_cast<unsigned char>(std::stoi(hex.substr(2 * i, 2), nullptr, 16));
    return digest;
}

std::vector<std::string> read_tenant_models(SectionReader& reader, const Element& element) {
    const std::vector<std::string>& known = reader.program().models;
    std::vector<std::string> models;
    std::istringstream words(element.text("models"));
    for (std::string model; words >> model;) {
        if (std::find(known.begin(), known.end(), model) == known.end())
            reader.add_fault(element, "models: unknown name '" + model + "'");
        models.push_back(model);
    }
    return models;
}

void read_tenants(SectionReader& reader, const Element& list) {
    ProgramSettings& program = reader.program();
    reader.read_names(list, "tenant", program.tenants);
    int tenant = 0;
    std::set<std::string> digests;
    for (const auto& element : list.children("tenant")) {
        program.router.tenants.push_back({element.number("quota-per-s")});
        program.tenant_models.push_back(read_tenant_models(reader, element));
        for (const auto& key : element.children("key")) {
            const std::string hex = key.text("sha256");
            if (!digests.insert(hex).second) reader.add_fault(key, "duplicate key");
            program.keys.emplace_back(parse_digest(hex), tenant);
        }
        ++tenant;
    }
}

// ---- <classes> ----

ClassSettings read_class(const Element& element) {
    ClassSettings cls;
    cls.latency_objective = element.number("aim-ms");
    cls.latency_objective_per_1000_tokens = element.number("aim-ms-per-1000-tokens");
    cls.deadline = element.number("deadline-ms");
    cls.priority_weight = element.number("worth");
    cls.late_value_fraction = element.number("late-share");
    cls.inter_token_objective = element.number("token-aim-ms");
    cls.idempotency = to_one_of(element.text("effect"), kIdempotencyWords).value_or(Idempotency::idempotent);
    cls.dedup_scope = to_one_of(element.text("group"), kDedupScopeWords).value_or(DedupScope::all);
    cls.dedup_window = element.number("window-ms");
    return cls;
}

void check_class(SectionReader& reader, const Element& element, const ClassSettings& cls) {
    if (cls.latency_objective > cls.deadline)
        reader.add_fault(element, "aim-ms must not exceed deadline-ms, got " +
                                      escape_value(element.text("aim-ms")) + " and " +
                                      escape_value(element.text("deadline-ms")));
    // Without a window, a retry could arrive after the engines have forgotten the first attempt.
    if (cls.idempotency == Idempotency::with_key && cls.dedup_window <= 0)
        reader.add_fault(element,
                         "effect 'by_key' requires window-ms above 0: how long engines remember a key");
    if (cls.idempotency != Idempotency::with_key && cls.dedup_window > 0)
        reader.add_fault(element, "window-ms is valid only for effect 'by_key', got effect '" +
                                      escape_value(element.text("effect")) + "'");
}

// Without a key an engine cannot detect a duplicate: such a request counts as unsafe, in a class of its own.
void add_unkeyed_classes(ProgramSettings& program) {
    const std::size_t count = program.router.classes.size();
    for (std::size_t i = 0; i < count; ++i) {
        ClassSettings unkeyed = program.router.classes[i];
        if (unkeyed.idempotency != Idempotency::with_key) continue;
        unkeyed.idempotency = Idempotency::unsafe;
        unkeyed.dedup_window = 0;
        program.unkeyed_class[static_cast<int>(i)] = static_cast<int>(program.router.classes.size());
        program.router.classes.push_back(unkeyed);
        program.classes.push_back(program.classes[i]);
    }
}

void read_classes(SectionReader& reader, const Element& list) {
    ProgramSettings& program = reader.program();
    reader.read_names(list, "class", program.classes);
    for (const auto& element : list.children("class")) {
        const ClassSettings cls = read_class(element);
        check_class(reader, element, cls);
        program.router.classes.push_back(cls);
    }
    add_unkeyed_classes(program);
}

// ---- <kinds> ----

void read_kinds(SectionReader& reader, const Element& list) {
    ProgramSettings& program = reader.program();
    reader.read_names(list, "kind", program.kinds);
    for (const auto& element : list.children("kind")) {
        const Role role = to_one_of(element.text("role"), kRoleWords).value_or(Role::mixed);
        const double memory_tokens = element.number("memory-tokens");
        program.router.kinds.push_back({role, memory_tokens});
        if (memory_tokens < 1)
            reader.add_fault(element, "memory-tokens must be 1 or more, got " +
                                          escape_value(element.text("memory-tokens")));
    }
}

// ---- <routes> ----

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

Route read_route(SectionReader& reader, const Element& element) {
    const ProgramSettings& program = reader.program();
    Route route;
    route.cls = reader.index_of(element, "class", program.classes);
    route.model = element.text("model");
    if (!route.model.empty()) reader.index_of(element, "model", program.models);
    if (element.has("tenant")) route.tenant = reader.index_of(element, "tenant", program.tenants);
    route.header = lower_case(element.text("header"));
    route.value = element.text("value");
    if (route.header.empty() != !element.has("value"))
        reader.add_fault(element, "header and value must be given together");
    route.min_prompt_tokens = element.number("least-prompt-tokens");
    return route;
}

void read_routes(SectionReader& reader, const Element& list) {
    const auto elements = list.children("route");
    std::vector<Route>& routes = reader.program().routes;
    for (const auto& element : elements) {
        routes.push_back(read_route(reader, element));
        if (routes.back().matches_every_request() && &element != &elements.back())
            reader.add_fault(element, "matches every request, so no later route is ever reached");
    }
    if (!routes.back().matches_every_request())
        reader.add_fault(elements.back(), "the last route must match every request: give it a class only");
}

// ---- <routing> and <guarantees> ----

void set_routing_defaults(Settings& settings) {
    settings.max_attempts = 6;
    settings.cancellation = true;
    settings.retry_after = true;
    settings.max_retry_after = 5000;
    settings.connect_timeout = 250;
    settings.over_quota_weight = 0.05;
    settings.answer_slack = 50;
    settings.drain_grace = 250;
    settings.lease_release_timeout = 1000;
    settings.overload_factor = 2.5;
    settings.overload_window = 2000;
    settings.initial_capacity = 0.3;
    settings.slow_start_duration = 10000;
    settings.event_interval = 2;  // the event loop's timers have whole milliseconds; events are not delayed
}

void read_routing(SectionReader& reader, const Element& element) {
    if (!element) return;
    ProgramSettings& program = reader.program();
    Settings& settings = program.router;
    settings.gateways = element.integer("gateways");
    settings.max_attempts = element.integer("max-attempts");
    settings.cancellation = element.boolean("cancel");
    settings.local_prefill = element.boolean("local-read");
    settings.retry_after = element.boolean("retry-after");
    settings.max_retry_after = element.number("max-retry-after-ms");
    settings.connect_timeout = element.number("dial-timeout-ms");
    settings.over_quota_weight = element.number("over-share-worth");
    program.source = element.text("source");
    if (element.has("seed")) program.seed = element.unsigned_integer("seed");
    const bool reaches_deadline =
        std::any_of(settings.classes.begin(), settings.classes.end(),
                    [&](const ClassSettings& cls) { return settings.connect_timeout >= cls.deadline; });
    if (reaches_deadline)
        reader.add_fault(element, "dial-timeout-ms must be below every class's deadline-ms, got " +
                                      escape_value(element.text("dial-timeout-ms")) +
                                      ": no second engine could be tried");
}

void read_guarantees(SectionReader& reader, const Element& element) {
    if (!element) return;
    Settings& settings = reader.program().router;
    settings.answer_slack = element.number("answer-slack-ms");
    settings.drain_grace = element.number("drain-grace-ms");
    settings.lease_release_timeout = element.number("let-go-ms");
    settings.overload_factor = element.number("fall-multiple");
    settings.overload_window = element.number("fall-window-ms");
    settings.initial_capacity = element.number("start-capacity");
    settings.slow_start_duration = element.number("warm-ms");
    if (settings.initial_capacity <= 0)
        reader.add_fault(
            element, "start-capacity must be above 0, got " + escape_value(element.text("start-capacity")));
    if (settings.overload_factor < 1)
        reader.add_fault(
            element, "fall-multiple must be 1 or more, got " + escape_value(element.text("fall-multiple")));
}

// ---- <fleet> ----

// `file`: the settings file; a relative path of the fleet file is resolved against its directory.
void read_fleet(SectionReader& reader, const Element& element, const std::string& file) {
    ProgramSettings& program = reader.program();
    program.engines = read_engines(reader, element);
    program.fleet_file = element.text("file");
    if (program.fleet_file.empty() && program.engines.empty())
        reader.add_fault(element, "no engines: give engine elements, a file, or both");
    if (program.fleet_file.empty() || program.fleet_file.front() == '/') return;
    program.fleet_file = (std::filesystem::path(file).parent_path() / program.fleet_file).string();
}

// ---- <standins> ----

FakeEngineSettings read_fake_engine(const Element& element) {
    FakeEngineSettings settings;
    settings.slots = element.integer("slots");
    settings.queue = element.integer("queue");
    settings.prefill_tokens_per_s = element.number("read-tokens-per-s");
    settings.fetch_tokens_per_s = element.number("fetch-tokens-per-s");
    settings.step = element.number("step-ms");
    settings.per_stream = element.number("per-stream-ms");
    settings.answer_tokens = element.integer("answer-tokens");
    settings.cache_tokens = element.number("kept-tokens");
    settings.cancels = element.boolean("cancels");
    settings.lease = element.number("lease-ms");
    return settings;
}

void read_fake_engines(SectionReader& reader, const Element& list) {
    if (!list) return;
    ProgramSettings& program = reader.program();
    for (const auto& element : list.children("standin")) {
        const int kind = reader.index_of(element, "kind", program.kinds);
        if (!program.fake_engines.emplace(kind, read_fake_engine(element)).second)
            reader.add_fault(element, "duplicate kind '" + element.text("kind") + "'");
    }
}

// ---- all sections, in an order in which names are defined before they are referred to ----

void read_all(SectionReader& reader, const Element& root, const std::string& file) {
    ProgramSettings& program = reader.program();
    program.listen = root.child("listen").text("address");
    if (const Element log = root.child("log")) program.log_level = log.text("level");
    read_limits(reader, root.child("limits"));
    reader.read_names(root.child("models"), "model", program.models);
    read_tenants(reader, root.child("tenants"));
    read_classes(reader, root.child("classes"));
    reader.read_names(root.child("zones"), "zone", program.zones);
    program.router.own_zone = reader.index_of(root.child("zones"), "own", program.zones);
    read_kinds(reader, root.child("kinds"));
    read_routes(reader, root.child("routes"));
    set_routing_defaults(program.router);
    program.router.zones = static_cast<int>(program.zones.size());
    read_routing(reader, root.child("routing"));
    read_guarantees(reader, root.child("guarantees"));
    read_fleet(reader, root.child("fleet"), file);
    read_fake_engines(reader, root.child("standins"));
}

// Adds a fault for settings that the Router itself rejects.
void check_with_router(const ProgramSettings& program, const Element& root, std::vector<FileFault>& faults) {
    try {
        const Router router(program.router, 1);
    } catch (const std::invalid_argument& error) {
        faults.push_back({root.line(), root.name(), error.what()});
    }
}

}  // namespace

std::optional<ProgramSettings> parse(std::string_view text, const std::string& file,
                                     std::vector<FileFault>& faults) {
    const auto document = Document::parse(text, "gorsenotch", faults);
    if (!document) return std::nullopt;
    ProgramSettings program;
    SectionReader reader(program, faults);
    read_all(reader, document->root(), file);
    if (faults.empty()) check_with_router(program, document->root(), faults);
    if (!faults.empty()) return std::nullopt;
    return program;
}

std::optional<ProgramSettings> load(const std::string& file, std::vector<FileFault>& faults) {
    std::string text;
    std::string error;
    if (!read_file(file, text, error)) {
        faults.push_back({0, "", error});
        return std::nullopt;
    }
    return parse(text, file, faults);
}

}  // namespace gorsenotch::settings
