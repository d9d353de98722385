#include "state/snapshot_store.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

namespace gorsenotch::state {
namespace {

// The header is a file's first line: format and version, generation number, length in bytes, checksum.
constexpr const char* kFormat = "gorsenotch-saved 1";
constexpr std::size_t kMaxHeaderBytes = 128;
constexpr int kFileMode = 0600;

bool sync_folder(const std::string& folder) {
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return false;
    const bool ok = ::fsync(fd) == 0;
    ::close(fd);
    return ok;
}

bool write_and_sync(int fd, const std::string& bytes) {
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::write(fd, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return false;
        written += static_cast<std::size_t>(count);
    }
    return ::fsync(fd) == 0;
}

bool write_file(const std::string& path, const std::string& bytes) {
    const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
    if (fd < 0) return false;
    const bool written = write_and_sync(fd, bytes);
    return ::close(fd) == 0 && written;
}

std::string format_header(unsigned long number, const std::string& text) {
    const auto checksum =
        static_cast<unsigned long long>(XXH3_64bits_withSeed(text.data(), text.size(), number));
    std::array<char, kMaxHeaderBytes> line{};
    std::snprintf(line.data(), line.size(), "%s %lu %zu %016llx\n", kFormat, number, text.size(), checksum);
    return line.data();
}

// The generation number in a header line, which begins with kFormat; 0 if the line is not a header.
unsigned long parse_generation_number(const std::string& header_line) {
    unsigned long number = 0;
    if (std::sscanf(header_line.c_str(), "gorsenotch-saved 1 %lu", &number) != 1) return 0;
    return number;
}

}  // namespace

SnapshotStore::SnapshotStore(std::string folder, std::string name)
    : folder_(std::move(folder)), name_(std::move(name)) {}

std::string SnapshotStore::path(Slot slot) const {
    return folder_ + "/" + name_ + "." + static_cast<char>(slot);
}

SnapshotStore::Generation SnapshotStore::read(Slot slot) const {
    Generation generation;
    std::ifstream in(path(slot), std::ios::binary);
    if (!in) return generation;  // a file that cannot be opened counts as missing
    std::string header_line;
    std::getline(in, header_line);
    std::ostringstream body;
    body << in.rdbuf();
    const std::string text = body.str();
    const unsigned long number = parse_generation_number(header_line);
    if (number == 0 || header_line + "\n" != format_header(number, text)) {
        generation.fault = path(slot) + " is damaged";
        return generation;
    }
    generation.number = number;
    generation.text = text;
    return generation;
}

LoadedSnapshot SnapshotStore::load() const {
    const Generation first = read(Slot::first);
    const Generation second = read(Slot::second);
    LoadedSnapshot loaded;
    std::string faults = first.fault;
    if (!first.fault.empty() && !second.fault.empty()) faults += "; ";
    faults += second.fault;
    if (!faults.empty()) loaded.error = SnapshotError{SnapshotErrorCode::damaged_generation, faults};
    const Generation& newest = first.number >= second.number ? first : second;
    if (newest.number > 0) loaded.text = newest.text;
    return loaded;
}

std::optional<SnapshotError> SnapshotStore::save(const std::string& text) {
    const unsigned long first = read(Slot::first).number;
    const unsigned long second = read(Slot::second).number;
    // Replace the slot whose file is missing or damaged, else the one with the lower generation number.
    const Slot slot = first < second || first == 0 ? Slot::first : Slot::second;
    const std::string temporary = folder_ + "/" + name_ + ".new";
    const bool saved = write_file(temporary, format_header(std::max(first, second) + 1, text) + text) &&
                       std::rename(temporary.c_str(), path(slot).c_str()) == 0 && sync_folder(folder_);
    if (saved) return std::nullopt;
    return SnapshotError{SnapshotErrorCode::write_failed, path(slot) + ": " + std::strerror(errno)};
}

}  // namespace gorsenotch::state
