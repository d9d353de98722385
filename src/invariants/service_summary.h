// What clients were served, from their own records. Pure.
#pragma once

#include "invariants/record_checker.h"
#include "invariants/record_index.h"

namespace gorsenotch::invariants {

Service summarize_service(const RecordIndex& index);

}  // namespace gorsenotch::invariants
