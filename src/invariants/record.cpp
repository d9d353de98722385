#include "invariants/record.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace gorsenotch::invariants {

Recorder::Recorder(const std::string& file) : disabled_(file.empty()) {
    if (!disabled_) fd_ = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

Recorder::~Recorder() {
    if (fd_ >= 0) ::close(fd_);
}

void Recorder::write(double now, const char* event, Json fields) {
    if (fd_ < 0) return;
    fields["t"] = now;
    fields["e"] = event;
    const std::string line = fields.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    std::size_t written = 0;
    while (written < line.size()) {
        const ssize_t count = ::write(fd_, line.data() + written, line.size() - written);
        if (count <= 0) return;
        written += static_cast<std::size_t>(count);
    }
}

std::string Record::text(const char* key) const {
    const auto it = fields.find(key);
    return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string();
}

double Record::number(const char* key, double absent) const {
    const auto it = fields.find(key);
    return it != fields.end() && it->is_number() ? it->get<double>() : absent;
}

namespace {

Record parse_record(const std::string& line, const std::string& file, std::size_t line_number) {
    Record record;
    record.fields = Json::parse(line, nullptr, false);
    const Json& fields = record.fields;
    const bool valid = fields.is_object() && fields.contains("t") && fields["t"].is_number() &&
                       fields.contains("e") && fields["e"].is_string();
    if (!valid)
        throw std::runtime_error(file + ":" + std::to_string(line_number) +
                                 ": expected a JSON object with a number t and a string e");
    record.t = fields["t"];
    record.event = fields["e"];
    record.line = line_number;
    return record;
}

void read_file(const std::string& file, std::vector<Record>& records) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw std::runtime_error(file + ": cannot be opened");
    const std::string source = std::filesystem::path(file).stem().string();
    std::size_t line_number = 0;
    for (std::string line; std::getline(in, line);) {
        ++line_number;
        if (in.eof()) break;
        Record record = parse_record(line, file, line_number);
        record.source = source;
        records.push_back(std::move(record));
    }
}

}  // namespace

std::vector<Record> read(const std::vector<std::string>& files) {
    std::vector<Record> all;
    for (const auto& file : files) read_file(file, all);
    std::stable_sort(all.begin(), all.end(),
                     [](const Record& left, const Record& right) { return left.t < right.t; });
    return all;
}

}  // namespace gorsenotch::invariants
