// Structured logs: one JSON object a line to standard error, on spdlog, wrapped once.
//
// Between open() and close() the lines are written by a thread of their own, so that a slow terminal, pipe or
// disk holds nobody up. Up to 8,192 lines wait for it; of more the oldest are dropped, and close() says how
// many. Threading: all calls from one thread.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace gorsenotch::log {

// `level`: debug, info, warn or error.
void open(const std::string& level);
// Before open() and after close() the line is written at once.
void write(const char* level, const char* event, nlohmann::json fields);
// Returns when all lines are written.
void close();

}  // namespace gorsenotch::log
