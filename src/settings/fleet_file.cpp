#include "settings/fleet_file.h"

#include <array>
#include <cstdint>
#include <set>
#include <sstream>
#include <string>

#include "settings/text_values.h"

namespace gorsenotch::settings {
namespace {

// Values of the attribute `mode`.
constexpr std::array<NamedValue<EndpointStatus>, 3> kModes = {{{"healthy", EndpointStatus::healthy},
                                                               {"draining", EndpointStatus::draining},
                                                               {"gone", EndpointStatus::removed}}};

const char* mode_name(EndpointStatus status) {
    for (const auto& mode : kModes) {
        if (mode.value == status) return mode.name;
    }
    return kModes.back().name;
}

Engine read_engine(SectionReader& reader, const Element& element) {
    Engine engine;
    engine.endpoint.id = static_cast<EndpointId>(element.unsigned_integer("id"));
    engine.endpoint.kind = reader.index_of(element, "kind", reader.program().kinds);
    engine.endpoint.zone = reader.index_of(element, "zone", reader.program().zones);
    engine.endpoint.cell = element.unsigned_integer("cell");
    engine.endpoint.weight = element.number("weight");
    engine.endpoint.started_at = element.number("started");
    engine.endpoint.status = to_one_of(element.text("mode"), kModes).value_or(EndpointStatus::healthy);
    engine.address = element.text("address");
    return engine;
}

}  // namespace

std::vector<Engine> read_engines(SectionReader& reader, const Element& list) {
    std::vector<Engine> engines;
    std::set<EndpointId> ids;
    std::set<std::string> addresses;
    for (const auto& element : list.children("engine")) {
        const Engine engine = read_engine(reader, element);
        if (!ids.insert(engine.endpoint.id).second)
            reader.add_fault(element, "duplicate id " + element.text("id"));
        // Of two engines at one address, each would be charged with the other's load.
        if (!addresses.insert(engine.address).second)
            reader.add_fault(element, "duplicate address " + engine.address);
        engines.push_back(engine);
    }
    return engines;
}

std::optional<std::vector<Engine>> parse_fleet(std::string_view text, const ProgramSettings& program,
                                               std::vector<FileFault>& faults) {
    const auto document = Document::parse(text, "fleet", faults);
    if (!document) return std::nullopt;
    ProgramSettings known_names = program;
    SectionReader reader(known_names, faults);
    auto engines = read_engines(reader, document->root());
    if (!faults.empty()) return std::nullopt;
    return engines;
}

std::string write_fleet(const std::vector<Engine>& engines, const ProgramSettings& program) {
    std::ostringstream out;
    out << "<fleet xmlns=\"urn:gorsenotch:1\">\n";
    for (const auto& engine : engines) {
        out << "  <engine id=\"" << engine.endpoint.id << "\" kind=\""
            << program.kinds[static_cast<std::size_t>(engine.endpoint.kind)] << "\" zone=\""
            << program.zones[static_cast<std::size_t>(engine.endpoint.zone)] << "\" cell=\""
            << engine.endpoint.cell << "\" address=\"" << engine.address << "\" mode=\""
            << mode_name(engine.endpoint.status) << "\" started=\""
            << static_cast<std::uint64_t>(engine.endpoint.started_at) << "\"/>\n";
    }
    out << "</fleet>\n";
    return out.str();
}

}  // namespace gorsenotch::settings
