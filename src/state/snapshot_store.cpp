#include "state/snapshot_store.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

namespace gorsenotch::state {
namespace {

constexpr const char* kMark = "gorsenotch-saved 1";

bool sync_folder(const std::string& folder) {
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return false;
    const bool ok = ::fsync(fd) == 0;
    ::close(fd);
    return ok;
}

bool write_all(int fd, const std::string& bytes) {
    for (std::size_t done = 0; done < bytes.size();) {
        const ssize_t n = ::write(fd, bytes.data() + done, bytes.size() - done);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        done += static_cast<std::size_t>(n);
    }
    return ::fsync(fd) == 0;
}

std::string head(unsigned long number, const std::string& text) {
    char line[128];
    std::snprintf(line, sizeof line, "%s %lu %zu %016llx\n", kMark, number, text.size(),
                  static_cast<unsigned long long>(XXH3_64bits_withSeed(text.data(), text.size(), number)));
    return line;
}

}  // namespace

SnapshotStore::SnapshotStore(std::string folder, std::string name)
    : folder_(std::move(folder)), name_(std::move(name)) {}

SnapshotStore::Generation SnapshotStore::read(char which) const {
    Generation store;
    std::ifstream in(file(which), std::ios::binary);
    if (!in) return store;
    std::string line;
    std::getline(in, line);
    std::ostringstream rest;
    rest << in.rdbuf();
    const std::string text = rest.str();
    unsigned long number = 0;
    if (std::sscanf(line.c_str(), "gorsenotch-saved 1 %lu", &number) != 1 || number == 0 ||
        line + "\n" != head(number, text)) {
        store.fault = file(which) + " is damaged";
        return store;
    }
    store.number = number, store.text = text;
    return store;
}

std::optional<std::string> SnapshotStore::load(std::string& why) const {
    why.clear();
    const Generation store = read('a'), b = read('b');
    for (const auto* g : {&store, &b}) {
        if (!g->fault.empty()) why += (why.empty() ? "" : "; ") + g->fault;
    }
    const Generation& newest = store.number >= b.number ? store : b;
    if (newest.number == 0) return std::nullopt;
    return newest.text;
}

bool SnapshotStore::save(const std::string& text, std::string& why) {
    const Generation store = read('a'), b = read('b');
    const char which = store.number < b.number ? 'a'
                       : store.number == 0     ? 'a'
                                               : 'b';  // the older, or the damaged one
    const std::string fresh = folder_ + "/" + name_ + ".new";
    const int fd = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    bool ok = fd >= 0 && write_all(fd, head(std::max(store.number, b.number) + 1, text) + text);
    if (fd >= 0) ok = ::close(fd) == 0 && ok;
    ok = ok && std::rename(fresh.c_str(), file(which).c_str()) == 0 && sync_folder(folder_);
    if (!ok) why = file(which) + ": " + std::strerror(errno);
    return ok;
}

}  // namespace gorsenotch::state
