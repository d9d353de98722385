#include "settings/section_reader.h"

#include <algorithm>

namespace gorsenotch::settings {

int SectionReader::index_of(const Element& element, const char* attribute,
                            const std::vector<std::string>& names) {
    const std::string name = element.text(attribute);
    const auto it = std::find(names.begin(), names.end(), name);
    if (it != names.end()) return static_cast<int>(it - names.begin());
    add_fault(element, std::string(attribute) + ": unknown name '" + name + "'");
    return 0;
}

void SectionReader::read_names(const Element& list, const char* child_element,
                               std::vector<std::string>& names) {
    for (const auto& element : list.children(child_element)) {
        const std::string name = element.text("name");
        if (std::find(names.begin(), names.end(), name) != names.end())
            add_fault(element, "duplicate name '" + name + "'");
        names.push_back(name);
    }
}

}  // namespace gorsenotch::settings
