#include "invariants/record.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace gorsenotch::invariants {

Recorder::Recorder(const std::string& file) : off_(file.empty()) {
    if (!off_) fd_ = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

Recorder::~Recorder() {
    if (fd_ >= 0) ::close(fd_);
}

void Recorder::write(double now, const char* event, Json fields) {
    if (fd_ < 0) return;
    fields["t"] = now;
    fields["e"] = event;
    const std::string line = fields.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    std::size_t done = 0;
    while (done < line.size()) {
        const ssize_t n = ::write(fd_, line.data() + done, line.size() - done);
        if (n <= 0) return;
        done += static_cast<std::size_t>(n);
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

std::vector<Record> read(const std::vector<std::string>& files) {
    std::vector<Record> all;
    for (const auto& file : files) {
        std::ifstream in(file, std::ios::binary);
        if (!in) throw std::runtime_error(file + ": can't be read");
        const std::string source = std::filesystem::path(file).stem().string();
        std::size_t n = 0;
        for (std::string line; std::getline(in, line);) {
            ++n;
            if (in.eof()) break;
            Record record;
            record.fields = Json::parse(line, nullptr, false);
            if (!record.fields.is_object() || !record.fields.contains("t") ||
                !record.fields["t"].is_number() || !record.fields.contains("e") ||
                !record.fields["e"].is_string())
                throw std::runtime_error(file + ":" + std::to_string(n) + ": not a record");
            record.t = record.fields["t"], record.event = record.fields["e"];
            record.source = source, record.line = n;
            all.push_back(std::move(record));
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const Record& a, const Record& b) { return a.t < b.t; });
    return all;
}

}  // namespace gorsenotch::invariants
