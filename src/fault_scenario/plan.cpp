#include "fault_scenario/plan.h"

#include <algorithm>
#include <filesystem>
#include <map>

namespace gorsenotch::fault_scenario {

namespace {

// Parses the elements of one day file, checks names against its settings and collects errors.
class PlanParser {
public:
    PlanParser(ScenarioPlan& plan, std::vector<settings::FileFault>& errors)
        : plan_(plan), program_(plan.program), errors_(errors) {}

    EnginePool parse_pool(const settings::Element& element);
    Load parse_load(const settings::Element& element);
    Fault parse_fault(const settings::Element& element);

private:
    // The index of the attribute's value in `names`; adds an error and returns 0 if it is not there.
    int index_of(const settings::Element& element, const char* attribute,
                 const std::vector<std::string>& names);
    void add_error(const settings::Element& element, const std::string& message) {
        errors_.push_back({element.line(), element.name(), message});
    }

    const ScenarioPlan& plan_;
    const settings::ProgramSettings& program_;
    std::vector<settings::FileFault>& errors_;
};

int PlanParser::index_of(const settings::Element& element, const char* attribute,
                         const std::vector<std::string>& names) {
    const std::string name = element.text(attribute);
    const auto it = std::find(names.begin(), names.end(), name);
    if (it != names.end()) return static_cast<int>(it - names.begin());
    add_error(element, std::string(attribute) + ": '" + name + "' is not defined in the settings");
    return 0;
}

EnginePool PlanParser::parse_pool(const settings::Element& element) {
    EnginePool pool;
    pool.kind = index_of(element, "kind", program_.kinds);
    pool.zone = index_of(element, "zone", program_.zones);
    pool.count = element.integer("count");
    pool.cell = element.unsigned_integer("cell");
    if (!program_.fake_engines.count(pool.kind))
        add_error(element, "kind: the settings define no stand-in of this kind");
    return pool;
}

Load PlanParser::parse_load(const settings::Element& element) {
    Load load;
    load.tenant = program_.tenants[static_cast<std::size_t>(index_of(element, "tenant", program_.tenants))];
    load.key = element.text("key");
    if (settings::tenant_of(program_, load.key) < 0)
        add_error(element, "key: not the key of any tenant in the settings");
    load.cls = program_.classes[static_cast<std::size_t>(index_of(element, "class", program_.classes))];
    load.model = program_.models.front();
    load.per_s = element.number("per-s");
    load.impatient = element.number("impatient");
    load.prompt_tokens = element.integer("prompt-tokens");
    load.prefix_tokens = element.integer("prefix-tokens");
    load.prefixes = element.integer("prefixes");
    load.max_tokens = element.integer("max-tokens");
    load.turns = element.integer("turns");
    load.retries = element.integer("retries");
    load.think = element.number("think-ms");
    load.patience = element.number("patience-ms");
    load.stream = element.boolean("stream");
    load.keyed = element.boolean("keyed");
    load.from = element.number("from-ms");
    load.until = element.number("until-ms");
    if (load.from >= plan_.length || (load.until > 0 && load.until <= load.from))
        add_error(element, "from-ms must be less than until-ms and than the day's length-ms");
    for (const auto& [kind, fake_engine] : program_.fake_engines) {
        const Role role = program_.router.kinds[static_cast<std::size_t>(kind)].role;
        if (role != Role::prefill) load.usual_answer = fake_engine.answer_tokens;
    }
    return load;
}

Fault PlanParser::parse_fault(const settings::Element& element) {
    // Values of `what` that are not orders to an engine.
    static const std::map<std::string, FaultKind> kinds_by_word = {
        {"crash", FaultKind::crash_engine},
        {"drain", FaultKind::drain_engine},
        {"cut", FaultKind::cut_zone},
        {"kill-gateway", FaultKind::kill_gateway},
        {"stop-gateway", FaultKind::suspend_gateway},
        {"starve-gateways", FaultKind::suspend_gateways},
    };
    Fault fault;
    const std::string what = element.text("what");
    const auto kind = kinds_by_word.find(what);
    fault.kind = kind == kinds_by_word.end() ? FaultKind::order_engine : kind->second;
    if (fault.kind == FaultKind::order_engine)
        fault.engine_order = what == "late-reports" ? "late_reports" : what;
    fault.start = element.number("at-ms");
    fault.duration = element.number("for-ms");
    fault.fraction = element.number("part");
    fault.magnitude = element.number("size");
    fault.list_update_delay = element.number("notice-ms");
    if (element.has("kind")) fault.engine_kind = index_of(element, "kind", program_.kinds);
    if (element.has("zone")) fault.zone = index_of(element, "zone", program_.zones);
    if (element.has("cell")) fault.cell = element.unsigned_integer("cell");
    if (element.has("class"))
        fault.cls = program_.classes[static_cast<std::size_t>(index_of(element, "class", program_.classes))];
    if (fault.kind == FaultKind::cut_zone && !fault.zone)
        add_error(element, "what=\"cut\" requires the attribute zone");
    if (fault.start >= plan_.length) add_error(element, "at-ms must be less than the day's length-ms");
    return fault;
}

}  // namespace

std::optional<ScenarioPlan> load_plan(const std::string& file, std::string& errors) {
    std::vector<settings::FileFault> errors_found;
    const auto document = settings::Document::load(file, "day", errors_found);
    if (!document) {
        errors = settings::render(file, errors_found);
        return std::nullopt;
    }
    const auto root = document->root();
    ScenarioPlan plan;
    plan.name = root.text("name");
    plan.settings_file = (std::filesystem::path(file).parent_path() / root.text("settings")).string();
    plan.length = root.number("length-ms");
    plan.seed = root.unsigned_integer("seed");
    auto program = settings::load(plan.settings_file, errors_found);
    if (!program) {
        errors = settings::render(plan.settings_file, errors_found);
        return std::nullopt;
    }
    plan.program = std::move(*program);
    plan.gateways = root.child("gateways").integer("count");
    PlanParser parser(plan, errors_found);
    for (const auto& element : root.children("engines")) plan.pools.push_back(parser.parse_pool(element));
    for (const auto& element : root.children("load")) plan.loads.push_back(parser.parse_load(element));
    for (const auto& element : root.children("trouble")) plan.faults.push_back(parser.parse_fault(element));
    if (!errors_found.empty()) {
        errors = settings::render(file, errors_found);
        return std::nullopt;
    }
    return plan;
}

}  // namespace gorsenotch::fault_scenario
