#include "settings/settings.h"

#include <openssl/sha.h>

#include <algorithm>
#include <filesystem>
#include <set>
#include <sstream>

namespace gorsenotch::settings {
namespace {

class Reader {
public:
    Reader(Program& program, std::vector<FileFault>& faults) : program_(program), faults_(faults) {}

    void fault(const Element& element, const std::string& reason) {
        faults_.push_back({element.line(), element.name(), reason});
    }

    int index(const Element& element, const char* attribute, const std::vector<std::string>& names) {
        const std::string name = element.text(attribute);
        const auto it = std::find(names.begin(), names.end(), name);
        if (it != names.end()) return static_cast<int>(it - names.begin());
        fault(element, std::string(attribute) + ": there is no '" + name + "'");
        return 0;
    }

    void names(const Element& list, const char* child, std::vector<std::string>& out) {
        for (const auto& element : list.children(child)) {
            const std::string name = element.text("name");
            if (std::find(out.begin(), out.end(), name) != out.end())
                fault(element, "'" + name + "' stands twice");
            out.push_back(name);
        }
    }

    std::vector<Engine> engines(const Element& list) {
        std::vector<Engine> all;
        std::set<EndpointId> ids;
        std::set<std::string> addresses;
        for (const auto& element : list.children("engine")) {
            Engine engine;
            engine.endpoint.id = static_cast<EndpointId>(element.large("id"));
            engine.endpoint.kind = index(element, "kind", program_.kinds);
            engine.endpoint.zone = index(element, "zone", program_.zones);
            engine.endpoint.cell = element.large("cell");
            engine.endpoint.weight = element.number("weight");
            engine.endpoint.started_at = element.number("started");
            const std::string mode = element.text("mode");
            engine.endpoint.status = mode == "draining" ? EndpointStatus::draining
                                     : mode == "gone"   ? EndpointStatus::removed
                                                        : EndpointStatus::healthy;
            engine.address = element.text("address");
            if (!ids.insert(engine.endpoint.id).second)
                fault(element, "id " + element.text("id") + " stands twice");
            // Two servers behind one address would each be counted for the other's work.
            if (!addresses.insert(engine.address).second)
                fault(element, "address " + engine.address + " stands twice");
            all.push_back(engine);
        }
        return all;
    }

    void classes(const Element& list) {
        names(list, "class", program_.classes);
        for (const auto& element : list.children("class")) {
            ClassSettings class_settings;
            class_settings.latency_objective = element.number("aim-ms");
            class_settings.latency_objective_per_1000_tokens = element.number("aim-ms-per-1000-tokens");
            class_settings.deadline = element.number("deadline-ms");
            class_settings.priority_weight = element.number("worth");
            class_settings.late_value_fraction = element.number("late-share");
            class_settings.inter_token_objective = element.number("token-aim-ms");
            const std::string effect = element.text("effect"), group = element.text("group");
            class_settings.idempotency = effect == "by_key" ? Idempotency::with_key
                                         : effect == "once" ? Idempotency::unsafe
                                                            : Idempotency::idempotent;
            class_settings.dedup_scope = group == "zone"   ? DedupScope::zone
                                         : group == "cell" ? DedupScope::cell
                                                           : DedupScope::all;
            class_settings.dedup_window = element.number("window-ms");
            if (class_settings.latency_objective > class_settings.deadline)
                fault(element, "aim-ms is beyond deadline-ms");
            // A second send could come after the servers have forgotten the first.
            if (class_settings.idempotency == Idempotency::with_key && class_settings.dedup_window <= 0)
                fault(element, "effect 'by_key' needs window-ms: how long engines remember a key");
            if (class_settings.idempotency != Idempotency::with_key && class_settings.dedup_window > 0)
                fault(element, "window-ms is for effect 'by_key' only");
            program_.router.classes.push_back(class_settings);
        }
        // Without a key nothing tells an engine of a repeat: such a request counts as one to be run once.
        for (std::size_t i = 0, n = program_.router.classes.size(); i < n; ++i) {
            ClassSettings twin = program_.router.classes[i];
            if (twin.idempotency != Idempotency::with_key) continue;
            twin.idempotency = Idempotency::unsafe, twin.dedup_window = 0;
            program_.unkeyed_class[static_cast<int>(i)] = static_cast<int>(program_.router.classes.size());
            program_.router.classes.push_back(twin);
            program_.classes.push_back(program_.classes[i]);
        }
    }

    void tenants(const Element& list) {
        names(list, "tenant", program_.tenants);
        int i = 0;
        std::set<std::string> digests;
        for (const auto& element : list.children("tenant")) {
            program_.router.tenants.push_back({element.number("quota-per-s")});
            std::istringstream models(element.text("models"));
            program_.tenant_models.emplace_back();
            for (std::string m; models >> m;) {
                if (std::find(program_.models.begin(), program_.models.end(), m) == program_.models.end())
                    fault(element, "models: there is no '" + m + "'");
                program_.tenant_models.back().push_back(m);
            }
            for (const auto& k : element.children("key")) {
                const std::string hex = k.text("sha256");
                if (!digests.insert(hex).second) fault(k, "this key stands twice");
                Digest d{};
                for (std::size_t b = 0; b < d.size(); ++b) {
                    d[b] = static_cast<unsigned char>(std::stoi(hex.substr(2 * b, 2), nullptr, 16));
                }
                program_.keys.emplace_back(d, i);
            }
            ++i;
        }
    }

    void routes(const Element& list) {
        const auto all = list.children("route");
        for (const auto& element : all) {
            Route route;
            route.cls = index(element, "class", program_.classes);
            route.model = element.text("model");
            if (!route.model.empty()) index(element, "model", program_.models);
            if (element.has("tenant")) route.tenant = index(element, "tenant", program_.tenants);
            route.header = element.text("header");
            std::transform(route.header.begin(), route.header.end(), route.header.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            route.value = element.text("value");
            if (route.header.empty() != !element.has("value")) fault(element, "header and value go together");
            route.min_prompt_tokens = element.number("least-prompt-tokens");
            if (route.any() && &element != &all.back())
                fault(element, "matches all, so no later route is ever reached");
            program_.routes.push_back(route);
        }
        if (!program_.routes.back().any())
            fault(all.back(), "the last route must match all: give it a class only");
    }

    void kinds(const Element& list) {
        names(list, "kind", program_.kinds);
        for (const auto& element : list.children("kind")) {
            const std::string role = element.text("role");
            program_.router.kinds.push_back({role == "read"    ? Role::prefill
                                             : role == "write" ? Role::decode
                                                               : Role::mixed,
                                             element.number("memory-tokens")});
            if (program_.router.kinds.back().memory_tokens < 1)
                fault(element, "memory-tokens should be 1 or more");
        }
    }

    void limits(const Element& element) {
        Limits& l = program_.limits;
        if (!element) return;
        const auto size = [&](const char* a) { return static_cast<std::size_t>(element.number(a)); };
        l.header_bytes = size("header-bytes"), l.headers = size("headers"), l.body_bytes = size("body-bytes");
        l.open_requests = size("open-requests"), l.stream_buffer = size("stream-buffer-bytes");
        l.whole_answer = size("whole-answer-bytes"), l.event_bytes = size("event-bytes");
        l.header_ms = element.number("header-ms"), l.body_ms = element.number("body-ms"),
        l.idle_ms = element.number("idle-ms");
        l.stream_idle_ms = element.number("stream-idle-ms"), l.ping_ms = element.number("ping-ms");
        l.drain_ms = element.number("drain-ms"), l.whole_answer_ms = element.number("whole-answer-ms");
        l.engine_idle_ms = element.number("engine-idle-ms"), l.engine_idle = size("engine-idle-connections");
    }

    void routing(const Element& element, const Element& g) {
        Settings& settings = program_.router;
        settings.max_attempts = 6, settings.cancellation = true, settings.retry_after = true;
        settings.max_retry_after = 5000, settings.connect_timeout = 250, settings.over_quota_weight = 0.05;
        settings.answer_slack = 50, settings.drain_grace = 250, settings.lease_release_timeout = 1000;
        settings.overload_factor = 2.5, settings.overload_window = 2000, settings.initial_capacity = 0.3,
        settings.slow_start_duration = 10000;
        settings.event_interval = 2;  // the loop's timers are whole milliseconds; events come at once
        settings.zones = static_cast<int>(program_.zones.size());
        if (element) {
            settings.gateways = element.whole("gateways"),
            settings.max_attempts = element.whole("max-attempts");
            settings.cancellation = element.yes("cancel"), settings.local_prefill = element.yes("local-read");
            settings.retry_after = element.yes("retry-after"),
            settings.max_retry_after = element.number("max-retry-after-ms");
            settings.connect_timeout = element.number("dial-timeout-ms");
            settings.over_quota_weight = element.number("over-share-worth");
            program_.source = element.text("source");
            if (element.has("seed")) program_.seed = element.large("seed");
            for (const auto& class_settings : settings.classes) {
                if (settings.connect_timeout >= class_settings.deadline) {
                    fault(element,
                          "dial-timeout-ms reaches a class's deadline-ms: no second server could be tried");
                    break;
                }
            }
        }
        if (g) {
            settings.answer_slack = g.number("answer-slack-ms"),
            settings.drain_grace = g.number("drain-grace-ms");
            settings.lease_release_timeout = g.number("let-go-ms"),
            settings.overload_factor = g.number("fall-multiple");
            settings.overload_window = g.number("fall-window-ms"),
            settings.initial_capacity = g.number("start-capacity");
            settings.slow_start_duration = g.number("warm-ms");
            if (settings.initial_capacity <= 0) fault(g, "start-capacity should be above 0");
            if (settings.overload_factor < 1) fault(g, "fall-multiple should be 1 or more");
        }
    }

    void standins(const Element& list) {
        if (!list) return;
        for (const auto& element : list.children("standin")) {
            FakeEngineSettings settings;
            settings.slots = element.whole("slots"), settings.queue = element.whole("queue");
            settings.read_per_s = element.number("read-tokens-per-s"),
            settings.fetch_per_s = element.number("fetch-tokens-per-s");
            settings.step = element.number("step-ms"), settings.per_stream = element.number("per-stream-ms");
            settings.answer_tokens = element.whole("answer-tokens"),
            settings.kept_tokens = element.number("kept-tokens");
            settings.cancels = element.yes("cancels"), settings.lease = element.number("lease-ms");
            if (!program_.fake_engines.emplace(index(element, "kind", program_.kinds), settings).second)
                fault(element, "this kind stands twice");
        }
    }

    void all(const Element& root, const std::string& file) {
        program_.listen = root.child("listen").text("address");
        if (const Element log = root.child("log")) program_.log_level = log.text("level");
        limits(root.child("limits"));
        names(root.child("models"), "model", program_.models);
        tenants(root.child("tenants"));
        classes(root.child("classes"));
        names(root.child("zones"), "zone", program_.zones);
        program_.router.own_zone = index(root.child("zones"), "own", program_.zones);
        kinds(root.child("kinds"));
        routes(root.child("routes"));
        routing(root.child("routing"), root.child("guarantees"));
        const Element fleet = root.child("fleet");
        program_.engines = engines(fleet);
        program_.fleet_file = fleet.text("file");
        if (program_.fleet_file.empty() && program_.engines.empty())
            fault(fleet, "give engines, a file, or both");
        if (!program_.fleet_file.empty() && program_.fleet_file.front() != '/') {
            program_.fleet_file = (std::filesystem::path(file).parent_path() / program_.fleet_file).string();
        }
        standins(root.child("standins"));
        if (!faults_.empty()) return;
        try {
            Router probe(program_.router, 1);  // what the module itself refuses
        } catch (const std::invalid_argument& e) {
            faults_.push_back({root.line(), root.name(), e.what()});
        }
    }

private:
    Program& program_;
    std::vector<FileFault>& faults_;
};

}  // namespace

Digest sha256(std::string_view text) {
    Digest d{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), d.data());
    return d;
}

int tenant_of(const Program& program, std::string_view key) {
    const Digest d = sha256(key);
    int found = -1;
    // Guards against keys guessed by time: every stored digest is compared, and whole.
    for (const auto& [stored, tenant] : program.keys) {
        unsigned differ = 0;
        for (std::size_t i = 0; i < d.size(); ++i) differ |= static_cast<unsigned>(stored[i] ^ d[i]);
        const int same = differ == 0 ? -1 : 0;
        found = (tenant & same) | (found & ~same);
    }
    return found;
}

std::optional<Program> parse(std::string_view text, const std::string& file, std::vector<FileFault>& faults) {
    const auto doc = Document::parse(text, "gorsenotch", faults);
    if (!doc) return std::nullopt;
    Program program;
    Reader(program, faults).all(doc->root(), file);
    if (!faults.empty()) return std::nullopt;
    return program;
}

std::optional<Program> load(const std::string& file, std::vector<FileFault>& faults) {
    std::string text, why;
    if (!read_file(file, text, why)) {
        faults.push_back({0, "", why});
        return std::nullopt;
    }
    return parse(text, file, faults);
}

std::optional<std::vector<Engine>> parse_fleet(std::string_view text, const Program& program,
                                               std::vector<FileFault>& faults) {
    const auto doc = Document::parse(text, "fleet", faults);
    if (!doc) return std::nullopt;
    Program names = program;
    auto engines = Reader(names, faults).engines(doc->root());
    if (!faults.empty()) return std::nullopt;
    return engines;
}

std::string write_fleet(const std::vector<Engine>& engines, const Program& program) {
    std::ostringstream out;
    out << "<fleet xmlns=\"urn:gorsenotch:1\">\n";
    for (const auto& engine : engines) {
        const char* mode = engine.endpoint.status == EndpointStatus::healthy    ? "healthy"
                           : engine.endpoint.status == EndpointStatus::draining ? "draining"
                                                                                : "gone";
        out << "  <engine id=\"" << engine.endpoint.id << "\" kind=\""
            << program.kinds[static_cast<std::size_t>(engine.endpoint.kind)] << "\" zone=\""
            << program.zones[static_cast<std::size_t>(engine.endpoint.zone)] << "\" cell=\""
            << engine.endpoint.cell << "\" address=\"" << engine.address << "\" mode=\"" << mode
            << "\" started=\"" << static_cast<std::uint64_t>(engine.endpoint.started_at) << "\"/>\n";
    }
    out << "</fleet>\n";
    return out.str();
}

}  // namespace gorsenotch::settings
