// Structured logs: one JSON object per line, written to standard error by spdlog.
//
// Between open() and close() a separate thread writes the lines, so that a slow terminal, pipe or disk does
// not delay callers. Up to 8,192 lines are queued; beyond that the oldest are dropped, and close() logs their
// number. Threading: all calls from one thread.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace gorsenotch::log {

// Starts the writing thread. `level`: debug, info, warn or error; lines below it are not written.
void open(const std::string& level);
// Writes one line: `fields` with the time, the level and the event added. Before open() and after close() the
// write is synchronous.
void write(const char* level, const char* event, nlohmann::json fields);
// Stops the writing thread; returns when all lines are written.
void close();

}  // namespace gorsenotch::log
