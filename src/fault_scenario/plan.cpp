#include <algorithm>
#include <filesystem>

#include "fault_scenario/scenario.h"

namespace gorsenotch::fault_scenario {

namespace {

int index(const settings::Element& e, const char* attribute, const std::vector<std::string>& names,
          std::vector<settings::FileFault>& faults) {
    const std::string name = e.text(attribute);
    const auto it = std::find(names.begin(), names.end(), name);
    if (it != names.end()) return static_cast<int>(it - names.begin());
    faults.push_back({e.line(), e.name(), std::string(attribute) + ": the settings have no '" + name + "'"});
    return 0;
}

}  // namespace

std::optional<ScenarioPlan> load_plan(const std::string& file, std::string& out) {
    std::vector<settings::FileFault> faults;
    const auto doc = settings::Document::load(file, "day", faults);
    if (!doc) return out = settings::render(file, faults), std::nullopt;
    const auto root = doc->root();
    ScenarioPlan plan;
    plan.name = root.text("name");
    plan.settings_file = (std::filesystem::path(file).parent_path() / root.text("settings")).string();
    plan.length = root.number("length-ms");
    plan.seed = root.large("seed");
    auto program = settings::load(plan.settings_file, faults);
    if (!program) return out = settings::render(plan.settings_file, faults), std::nullopt;
    plan.program = std::move(*program);
    const auto& p = plan.program;
    plan.gateways = root.child("gateways").whole("count");
    for (const auto& e : root.children("engines")) {
        EnginePool pool;
        pool.kind = index(e, "kind", p.kinds, faults), pool.zone = index(e, "zone", p.zones, faults);
        pool.count = e.whole("count"), pool.cell = e.large("cell");
        if (!p.fake_engines.count(pool.kind))
            faults.push_back({e.line(), e.name(), "the settings say nothing of stand-ins of this kind"});
        plan.pools.push_back(pool);
    }
    for (const auto& e : root.children("load")) {
        Load l;
        l.tenant = p.tenants[static_cast<std::size_t>(index(e, "tenant", p.tenants, faults))];
        l.key = e.text("key");
        if (settings::tenant_of(p, l.key) < 0)
            faults.push_back({e.line(), e.name(), "key: no tenant has it"});
        l.cls = p.classes[static_cast<std::size_t>(index(e, "class", p.classes, faults))];
        l.model = p.models.front();
        l.per_s = e.number("per-s"), l.impatient = e.number("impatient");
        l.prompt_tokens = e.whole("prompt-tokens"), l.prefix_tokens = e.whole("prefix-tokens");
        l.prefixes = e.whole("prefixes"), l.max_tokens = e.whole("max-tokens"), l.turns = e.whole("turns");
        l.retries = e.whole("retries"), l.think = e.number("think-ms"), l.patience = e.number("patience-ms");
        l.stream = e.yes("stream"), l.keyed = e.yes("keyed");
        l.from = e.number("from-ms"), l.until = e.number("until-ms");
        if (l.from >= plan.length || (l.until > 0 && l.until <= l.from))
            faults.push_back({e.line(), e.name(), "nothing would arrive between from-ms and until-ms"});
        for (const auto& [kind, s] : p.fake_engines) {
            if (p.router.kinds[static_cast<std::size_t>(kind)].role != Role::prefill)
                l.usual_answer = s.answer_tokens;
        }
        plan.loads.push_back(l);
    }
    for (const auto& e : root.children("trouble")) {
        Fault t;
        t.what = e.text("what"), t.at = e.number("at-ms"), t.length = e.number("for-ms");
        t.part = e.number("part"), t.size = e.number("size"), t.notice = e.number("notice-ms");
        if (e.has("kind")) t.kind = index(e, "kind", p.kinds, faults);
        if (e.has("zone")) t.zone = index(e, "zone", p.zones, faults);
        if (e.has("cell")) t.cell = static_cast<long>(e.large("cell"));
        if (e.has("class")) t.cls = p.classes[static_cast<std::size_t>(index(e, "class", p.classes, faults))];
        if (t.what == "cut" && t.zone < 0) faults.push_back({e.line(), e.name(), "a cut needs its zone"});
        if (t.at >= plan.length) faults.push_back({e.line(), e.name(), "at-ms is past the day's end"});
        plan.faults.push_back(t);
    }
    if (!faults.empty()) return out = settings::render(file, faults), std::nullopt;
    return plan;
}

}  // namespace gorsenotch::fault_scenario
