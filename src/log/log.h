// Structured logs: one JSON object a line, on spdlog, wrapped once.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace gorsenotch::log {

// `level`: debug, info, warn or error. Lines go to standard error.
void open(const std::string& level);
void write(const char* level, const char* event, nlohmann::json fields);
void flush();

}  // namespace gorsenotch::log
