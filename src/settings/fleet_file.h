// Reads the list of engines, in the settings file or in a separate fleet file.
#pragma once

#include <vector>

#include "settings/section_reader.h"
#include "settings/settings.h"
#include "settings/xml.h"

namespace gorsenotch::settings {

// The engines of a <fleet> element. Kinds and zones are resolved by the names in the reader's
// ProgramSettings.
std::vector<Engine> read_engines(SectionReader& reader, const Element& list);

}  // namespace gorsenotch::settings
