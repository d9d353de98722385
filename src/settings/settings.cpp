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
    Reader(Program& p, std::vector<FileFault>& faults) : program_(p), faults_(faults) {}

    void fault(const Element& e, const std::string& reason) {
        faults_.push_back({e.line(), e.name(), reason});
    }

    int index(const Element& e, const char* attribute, const std::vector<std::string>& names) {
        const std::string name = e.text(attribute);
        const auto it = std::find(names.begin(), names.end(), name);
        if (it != names.end()) return static_cast<int>(it - names.begin());
        fault(e, std::string(attribute) + ": there is no '" + name + "'");
        return 0;
    }

    void names(const Element& list, const char* child, std::vector<std::string>& out) {
        for (const auto& e : list.children(child)) {
            const std::string name = e.text("name");
            if (std::find(out.begin(), out.end(), name) != out.end()) fault(e, "'" + name + "' stands twice");
            out.push_back(name);
        }
    }

    std::vector<Engine> engines(const Element& list) {
        std::vector<Engine> all;
        std::set<EndpointId> ids;
        std::set<std::string> addresses;
        for (const auto& e : list.children("engine")) {
            Engine en;
            en.endpoint.id = static_cast<EndpointId>(e.large("id"));
            en.endpoint.kind = index(e, "kind", program_.kinds);
            en.endpoint.zone = index(e, "zone", program_.zones);
            en.endpoint.cell = e.large("cell");
            en.endpoint.weight = e.number("weight");
            en.endpoint.started_at = e.number("started");
            const std::string mode = e.text("mode");
            en.endpoint.status = mode == "draining" ? EndpointStatus::draining
                                 : mode == "gone"   ? EndpointStatus::removed
                                                    : EndpointStatus::healthy;
            en.address = e.text("address");
            if (!ids.insert(en.endpoint.id).second) fault(e, "id " + e.text("id") + " stands twice");
            // Two servers behind one address would each be counted for the other's work.
            if (!addresses.insert(en.address).second) fault(e, "address " + en.address + " stands twice");
            all.push_back(en);
        }
        return all;
    }

    void classes(const Element& list) {
        names(list, "class", program_.classes);
        for (const auto& e : list.children("class")) {
            ClassSettings c;
            c.latency_objective = e.number("aim-ms");
            c.latency_objective_per_1000_tokens = e.number("aim-ms-per-1000-tokens");
            c.deadline = e.number("deadline-ms");
            c.priority_weight = e.number("worth");
            c.late_value_fraction = e.number("late-share");
            c.inter_token_objective = e.number("token-aim-ms");
            const std::string effect = e.text("effect"), group = e.text("group");
            c.idempotency = effect == "by_key" ? Idempotency::with_key
                            : effect == "once" ? Idempotency::unsafe
                                               : Idempotency::idempotent;
            c.dedup_scope = group == "zone"   ? DedupScope::zone
                            : group == "cell" ? DedupScope::cell
                                              : DedupScope::all;
            c.dedup_window = e.number("window-ms");
            if (c.latency_objective > c.deadline) fault(e, "aim-ms is beyond deadline-ms");
            // A second send could come after the servers have forgotten the first.
            if (c.idempotency == Idempotency::with_key && c.dedup_window <= 0)
                fault(e, "effect 'by_key' needs window-ms: how long engines remember a key");
            if (c.idempotency != Idempotency::with_key && c.dedup_window > 0)
                fault(e, "window-ms is for effect 'by_key' only");
            program_.router.classes.push_back(c);
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
        for (const auto& e : list.children("tenant")) {
            program_.router.tenants.push_back({e.number("quota-per-s")});
            std::istringstream models(e.text("models"));
            program_.tenant_models.emplace_back();
            for (std::string m; models >> m;) {
                if (std::find(program_.models.begin(), program_.models.end(), m) == program_.models.end())
                    fault(e, "models: there is no '" + m + "'");
                program_.tenant_models.back().push_back(m);
            }
            for (const auto& k : e.children("key")) {
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
        for (const auto& e : all) {
            Route r;
            r.cls = index(e, "class", program_.classes);
            r.model = e.text("model");
            if (!r.model.empty()) index(e, "model", program_.models);
            if (e.has("tenant")) r.tenant = index(e, "tenant", program_.tenants);
            r.header = e.text("header");
            std::transform(r.header.begin(), r.header.end(), r.header.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            r.value = e.text("value");
            if (r.header.empty() != !e.has("value")) fault(e, "header and value go together");
            r.min_prompt_tokens = e.number("least-prompt-tokens");
            if (r.any() && &e != &all.back()) fault(e, "matches all, so no later route is ever reached");
            program_.routes.push_back(r);
        }
        if (!program_.routes.back().any())
            fault(all.back(), "the last route must match all: give it a class only");
    }

    void kinds(const Element& list) {
        names(list, "kind", program_.kinds);
        for (const auto& e : list.children("kind")) {
            const std::string role = e.text("role");
            program_.router.kinds.push_back({role == "read"    ? Role::prefill
                                             : role == "write" ? Role::decode
                                                               : Role::mixed,
                                             e.number("memory-tokens")});
            if (program_.router.kinds.back().memory_tokens < 1) fault(e, "memory-tokens should be 1 or more");
        }
    }

    void limits(const Element& e) {
        Limits& l = program_.limits;
        if (!e) return;
        const auto size = [&](const char* a) { return static_cast<std::size_t>(e.number(a)); };
        l.header_bytes = size("header-bytes"), l.headers = size("headers"), l.body_bytes = size("body-bytes");
        l.open_requests = size("open-requests"), l.stream_buffer = size("stream-buffer-bytes");
        l.whole_answer = size("whole-answer-bytes"), l.event_bytes = size("event-bytes");
        l.header_ms = e.number("header-ms"), l.body_ms = e.number("body-ms"), l.idle_ms = e.number("idle-ms");
        l.stream_idle_ms = e.number("stream-idle-ms"), l.ping_ms = e.number("ping-ms");
        l.drain_ms = e.number("drain-ms"), l.whole_answer_ms = e.number("whole-answer-ms");
        l.engine_idle_ms = e.number("engine-idle-ms"), l.engine_idle = size("engine-idle-connections");
    }

    void routing(const Element& e, const Element& g) {
        Settings& s = program_.router;
        s.max_attempts = 6, s.cancellation = true, s.retry_after = true;
        s.max_retry_after = 5000, s.connect_timeout = 250, s.over_quota_weight = 0.05;
        s.answer_slack = 50, s.drain_grace = 250, s.lease_release_timeout = 1000;
        s.overload_factor = 2.5, s.overload_window = 2000, s.initial_capacity = 0.3,
        s.slow_start_duration = 10000;
        s.event_interval = 2;  // the loop's timers are whole milliseconds; events come at once
        s.zones = static_cast<int>(program_.zones.size());
        if (e) {
            s.gateways = e.whole("gateways"), s.max_attempts = e.whole("max-attempts");
            s.cancellation = e.yes("cancel"), s.local_prefill = e.yes("local-read");
            s.retry_after = e.yes("retry-after"), s.max_retry_after = e.number("max-retry-after-ms");
            s.connect_timeout = e.number("dial-timeout-ms");
            s.over_quota_weight = e.number("over-share-worth");
            program_.source = e.text("source");
            if (e.has("seed")) program_.seed = e.large("seed");
            for (const auto& c : s.classes) {
                if (s.connect_timeout >= c.deadline) {
                    fault(e,
                          "dial-timeout-ms reaches a class's deadline-ms: no second server could be tried");
                    break;
                }
            }
        }
        if (g) {
            s.answer_slack = g.number("answer-slack-ms"), s.drain_grace = g.number("drain-grace-ms");
            s.lease_release_timeout = g.number("let-go-ms"), s.overload_factor = g.number("fall-multiple");
            s.overload_window = g.number("fall-window-ms"), s.initial_capacity = g.number("start-capacity");
            s.slow_start_duration = g.number("warm-ms");
            if (s.initial_capacity <= 0) fault(g, "start-capacity should be above 0");
            if (s.overload_factor < 1) fault(g, "fall-multiple should be 1 or more");
        }
    }

    void standins(const Element& list) {
        if (!list) return;
        for (const auto& e : list.children("standin")) {
            FakeEngineSettings s;
            s.slots = e.whole("slots"), s.queue = e.whole("queue");
            s.read_per_s = e.number("read-tokens-per-s"), s.fetch_per_s = e.number("fetch-tokens-per-s");
            s.step = e.number("step-ms"), s.per_stream = e.number("per-stream-ms");
            s.answer_tokens = e.whole("answer-tokens"), s.kept_tokens = e.number("kept-tokens");
            s.cancels = e.yes("cancels"), s.lease = e.number("lease-ms");
            if (!program_.fake_engines.emplace(index(e, "kind", program_.kinds), s).second)
                fault(e, "this kind stands twice");
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

int tenant_of(const Program& p, std::string_view key) {
    const Digest d = sha256(key);
    int found = -1;
    // Guards against keys guessed by time: every stored digest is compared, and whole.
    for (const auto& [stored, tenant] : p.keys) {
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
    Program p;
    Reader(p, faults).all(doc->root(), file);
    if (!faults.empty()) return std::nullopt;
    return p;
}

std::optional<Program> load(const std::string& file, std::vector<FileFault>& faults) {
    std::string text, why;
    if (!read_file(file, text, why)) {
        faults.push_back({0, "", why});
        return std::nullopt;
    }
    return parse(text, file, faults);
}

std::optional<std::vector<Engine>> parse_fleet(std::string_view text, const Program& p,
                                               std::vector<FileFault>& faults) {
    const auto doc = Document::parse(text, "fleet", faults);
    if (!doc) return std::nullopt;
    Program names = p;
    auto engines = Reader(names, faults).engines(doc->root());
    if (!faults.empty()) return std::nullopt;
    return engines;
}

std::string write_fleet(const std::vector<Engine>& engines, const Program& p) {
    std::ostringstream out;
    out << "<fleet xmlns=\"urn:gorsenotch:1\">\n";
    for (const auto& e : engines) {
        const char* mode = e.endpoint.status == EndpointStatus::healthy    ? "healthy"
                           : e.endpoint.status == EndpointStatus::draining ? "draining"
                                                                           : "gone";
        out << "  <engine id=\"" << e.endpoint.id << "\" kind=\""
            << p.kinds[static_cast<std::size_t>(e.endpoint.kind)] << "\" zone=\""
            << p.zones[static_cast<std::size_t>(e.endpoint.zone)] << "\" cell=\"" << e.endpoint.cell
            << "\" address=\"" << e.address << "\" mode=\"" << mode << "\" started=\""
            << static_cast<std::uint64_t>(e.endpoint.started_at) << "\"/>\n";
    }
    out << "</fleet>\n";
    return out.str();
}

}  // namespace gorsenotch::settings
