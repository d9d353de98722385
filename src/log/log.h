// Structured logs: one JSON object a line to standard error, by spdlog.
//
// Between open() and close() a thread of its own writes the lines, so that a slow terminal, pipe or disk
// delays no caller. Up to 8,192 lines wait for it; beyond that the oldest are dropped, and close() logs how
// many. Threading: all calls from one thread.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace gorsenotch::log {

// `level`: debug, info, warn or error; lines below it are not written.
void open(const std::string& level);
// Writes one line: `fields` with the time, the level and the event added. Before open() and after close() the
// line is written before the call returns.
void write(const char* level, const char* event, nlohmann::json fields);
// Returns when all lines are written.
void close();

}  // namespace gorsenotch::log
