// Records of the traffic on the sockets of engines and clients: NDJSON, one event per line, times in ms on
// the machine's monotonic clock.
//
// Engines, clients and the scenario's runner each append to a file of their own, one line at a time,
// so that a killed process loses at most its last line. The invariant checker reads no other input.
//
//   engine: up(role, cold, start, warm), recv(id, op, key, cls, work), run(id, key), repeat(id, key),
//           held(id, did), taken(id), let_go(id), lease(id), first(id), end(id, how), left(id)
//   client: ask(c, cls, key, deadline), first(c, id), answer(c, id, status, ending), gone(c), lost(c),
//           overdue(c), after(c)
//   runner: kill_gateway(gateway, until), stop_gateway(gateway, until), down(server),
//           told(server, mode, gateway), trouble(server, what, until)
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace gorsenotch::invariants {

using Json = nlohmann::json;

// Writes a file of records. Owns the file descriptor.
class Recorder {
public:
    explicit Recorder(const std::string& file);  // appends; empty name: writes no records
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;
    bool good() const { return fd_ >= 0 || disabled_; }
    // Adds the fields "t" (`now`, ms) and "e" (`event`) and writes the line immediately. Write errors are
    // ignored.
    void write(double now, const char* event, Json fields = Json::object());

private:
    int fd_ = -1;
    bool disabled_ = false;
};

// One line of a file.
struct Record {
    double t = 0;
    std::string source;  // file name without folder and extension
    std::string event;
    Json fields;
    std::size_t line = 0;

    std::string text(const char* key) const;  // empty if absent
    double number(const char* key, double absent = 0) const;
};

// Reads all records, ordered by time; records with equal times keep the order of files and lines. An
// incomplete last line is ignored; any other malformed line throws std::runtime_error with file and line.
std::vector<Record> read(const std::vector<std::string>& files);

}  // namespace gorsenotch::invariants
