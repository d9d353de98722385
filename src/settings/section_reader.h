// Shared by the readers of the settings file's sections, which fill in a ProgramSettings and collect all
// faults, each with its element, instead of stopping at the first.
#pragma once

#include <string>
#include <vector>

#include "settings/settings.h"
#include "settings/xml.h"

namespace gorsenotch::settings {

// Refers to the ProgramSettings and the faults, which the caller owns.
class SectionReader {
public:
    SectionReader(ProgramSettings& program, std::vector<FileFault>& faults)
        : program_(program), faults_(faults) {}

    ProgramSettings& program() { return program_; }
    const std::vector<FileFault>& faults() const { return faults_; }

    void add_fault(const Element& element, const std::string& reason) {
        faults_.push_back({element.line(), element.name(), reason});
    }
    // The index in `names` of the name in `attribute`; 0, with a fault added, if the name is unknown.
    int index_of(const Element& element, const char* attribute, const std::vector<std::string>& names);
    // Appends the attribute `name` of each <child_element> of the list; adds a fault for each duplicate,
    // which is appended too.
    void read_names(const Element& list, const char* child_element, std::vector<std::string>& names);

private:
    ProgramSettings& program_;
    std::vector<FileFault>& faults_;
};

}  // namespace gorsenotch::settings
