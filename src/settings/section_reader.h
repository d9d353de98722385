// What the readers of the settings file's sections share: they fill in a Program and gather faults, each with
// its element, instead of stopping at the first.
#pragma once

#include <string>
#include <vector>

#include "settings/settings.h"
#include "settings/xml.h"

namespace gorsenotch::settings {

// Refers to the Program and the faults, which its user owns.
class SectionReader {
public:
    SectionReader(Program& program, std::vector<FileFault>& faults) : program_(program), faults_(faults) {}

    Program& program() { return program_; }
    const std::vector<FileFault>& faults() const { return faults_; }

    void add_fault(const Element& element, const std::string& reason) {
        faults_.push_back({element.line(), element.name(), reason});
    }
    // The index of the name in `attribute` among `names`; 0 and a fault if it is not there.
    int index_of(const Element& element, const char* attribute, const std::vector<std::string>& names);
    // Appends the names of the list's children; a fault for each that is there already.
    void read_names(const Element& list, const char* child, std::vector<std::string>& names);

private:
    Program& program_;
    std::vector<FileFault>& faults_;
};

}  // namespace gorsenotch::settings
