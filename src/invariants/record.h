// Records of what sockets carried: NDJSON, a line an event, times in ms on the machine's monotonic clock.
//
// Engines, clients and the scenario's runner each write a file of their own, a whole line at a time, so that
// a process that is killed loses at most the line under way. The checker reads nothing else.
//
//   engine: up(server, role, kind..), recv(id, op, key, work), run(id, key), repeat(id), held(id), taken(id),
//           release_request(id), lease(id), first(id), end(id, how)
//   client: ask(c, cls, key, deadline), first(c, id), answer(c, id, status, ending), gone(c), lost(c)
//   runner: start/kill of gateways, down/up of servers, told(server, mode), trouble
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace gorsenotch::invariants {

using Json = nlohmann::json;

// Writes one file of records, which it owns.
class Recorder {
public:
    explicit Recorder(const std::string& file);  // appends; empty: records nothing
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;
    bool good() const { return fd_ >= 0 || off_; }
    // Adds "t" and writes the line at once.
    void write(double now, const char* event, Json fields = Json::object());

private:
    int fd_ = -1;
    bool off_ = false;
};

// One line of a file.
struct Record {
    double t = 0;
    std::string source;  // file it stands in, without folder and ending
    std::string event;
    Json fields;
    std::size_t line = 0;

    std::string text(const char* key) const;  // empty if absent
    double number(const char* key, double absent = 0) const;
};

// All records of the files, by time (those of one file in their order). A last line without its end is passed
// over; any other damage throws std::runtime_error naming file and line.
std::vector<Record> read(const std::vector<std::string>& files);

}  // namespace gorsenotch::invariants
