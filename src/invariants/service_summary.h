// Summary of how clients were served, from the records of clients and engines.
#pragma once

#include "invariants/record_checker.h"
#include "invariants/record_index.h"

namespace gorsenotch::invariants {

Service summarize_service(const RecordIndex& index);

}  // namespace gorsenotch::invariants
