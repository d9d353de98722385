#include "control/client_progress.h"

namespace gorsenotch::control {

void ClientProgress::start(Millis now, std::uint64_t acknowledged_bytes) {
    last_progress_ = now;
    acknowledged_bytes_ = acknowledged_bytes;
}

void ClientProgress::record(Millis now, std::uint64_t acknowledged_bytes) {
    if (acknowledged_bytes <= acknowledged_bytes_) return;
    last_progress_ = now;
    acknowledged_bytes_ = acknowledged_bytes;
}

}  // namespace gorsenotch::control
