#include "net/file_watcher.h"

#include <sys/stat.h>

#include <utility>

namespace gorsenotch::net {

namespace {

// A text that differs after each change of the file; empty if the file does not exist.
std::string file_version(const std::string& file) {
    struct stat status {};
    if (::stat(file.c_str(), &status) != 0) return "";
    return std::to_string(status.st_ino) + ":" + std::to_string(status.st_size) + ":" +
           std::to_string(status.st_mtim.tv_sec) + ":" + std::to_string(status.st_mtim.tv_nsec);
}

}  // namespace

FileWatcher::FileWatcher(EventLoop& loop, std::string file, Millis interval, std::function<void()> on_change)
    : file_(std::move(file)),
      interval_(interval),
      on_change_(std::move(on_change)),
      timer_(loop, [this] { check_now(); }) {
    timer_.fire_after(0);
}

void FileWatcher::force_report() { last_version_.clear(); }

void FileWatcher::check_now() {
    const std::string version = file_version(file_);
    timer_.fire_after(interval_);
    if (version == last_version_) return;
    last_version_ = version;
    if (!version.empty()) on_change_();
}

}  // namespace gorsenotch::net
