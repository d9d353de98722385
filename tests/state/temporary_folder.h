// A temporary folder for tests.
#pragma once

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace gorsenotch::state {

// Creates a folder and removes it with its contents when destroyed.
struct TemporaryFolder {
    std::string path;
    TemporaryFolder() {
        char name[] = "/tmp/gorsenotch-state-XXXXXX";
        path = mkdtemp(name);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    std::string read_file(const std::string& name) const {
        std::ifstream in(path + "/" + name, std::ios::binary);
        std::ostringstream content;
        content << in.rdbuf();
        return content.str();
    }
    void write_file(const std::string& name, const std::string& text) const {
        std::ofstream(path + "/" + name, std::ios::binary | std::ios::trunc) << text;
    }
};

}  // namespace gorsenotch::state
