#include <algorithm>
#include <filesystem>

#include "fault_scenario/scenario.h"

namespace gorsenotch::fault_scenario {

namespace {

int index(const settings::Element& element, const char* attribute, const std::vector<std::string>& names,
          std::vector<settings::FileFault>& faults) {
    const std::string name = element.text(attribute);
    const auto it = std::find(names.begin(), names.end(), name);
    if (it != names.end()) return static_cast<int>(it - names.begin());
    faults.push_back(
        {element.line(), element.name(), std::string(attribute) + ": the settings have no '" + name + "'"});
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
    for (const auto& element : root.children("engines")) {
        EnginePool pool;
        pool.kind = index(element, "kind", p.kinds, faults),
        pool.zone = index(element, "zone", p.zones, faults);
        pool.count = element.whole("count"), pool.cell = element.large("cell");
        if (!p.fake_engines.count(pool.kind))
            faults.push_back(
                {element.line(), element.name(), "the settings say nothing of stand-ins of this kind"});
        plan.pools.push_back(pool);
    }
    for (const auto& element : root.children("load")) {
        Load l;
        l.tenant = p.tenants[static_cast<std::size_t>(index(element, "tenant", p.tenants, faults))];
        l.key = element.text("key");
        if (settings::tenant_of(p, l.key) < 0)
            faults.push_back({element.line(), element.name(), "key: no tenant has it"});
        l.cls = p.classes[static_cast<std::size_t>(index(element, "class", p.classes, faults))];
        l.model = p.models.front();
        l.per_s = element.number("per-s"), l.impatient = element.number("impatient");
        l.prompt_tokens = element.whole("prompt-tokens"), l.prefix_tokens = element.whole("prefix-tokens");
        l.prefixes = element.whole("prefixes"), l.max_tokens = element.whole("max-tokens"),
        l.turns = element.whole("turns");
        l.retries = element.whole("retries"), l.think = element.number("think-ms"),
        l.patience = element.number("patience-ms");
        l.stream = element.yes("stream"), l.keyed = element.yes("keyed");
        l.from = element.number("from-ms"), l.until = element.number("until-ms");
        if (l.from >= plan.length || (l.until > 0 && l.until <= l.from))
            faults.push_back(
                {element.line(), element.name(), "nothing would arrive between from-ms and until-ms"});
        for (const auto& [kind, s] : p.fake_engines) {
            if (p.router.kinds[static_cast<std::size_t>(kind)].role != Role::prefill)
                l.usual_answer = s.answer_tokens;
        }
        plan.loads.push_back(l);
    }
    for (const auto& element : root.children("trouble")) {
        Fault fault;
        fault.what = element.text("what"), fault.at = element.number("at-ms"),
        fault.length = element.number("for-ms");
        fault.part = element.number("part"), fault.size = element.number("size"),
        fault.notice = element.number("notice-ms");
        if (element.has("kind")) fault.kind = index(element, "kind", p.kinds, faults);
        if (element.has("zone")) fault.zone = index(element, "zone", p.zones, faults);
        if (element.has("cell")) fault.cell = static_cast<long>(element.large("cell"));
        if (element.has("class"))
            fault.cls = p.classes[static_cast<std::size_t>(index(element, "class", p.classes, faults))];
        if (fault.what == "cut" && fault.zone < 0)
            faults.push_back({element.line(), element.name(), "a cut needs its zone"});
        if (fault.at >= plan.length)
            faults.push_back({element.line(), element.name(), "at-ms is past the day's end"});
        plan.faults.push_back(fault);
    }
    if (!faults.empty()) return out = settings::render(file, faults), std::nullopt;
    return plan;
}

}  // namespace gorsenotch::fault_scenario
