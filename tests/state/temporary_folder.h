// A folder of the test's own, removed with everything in it at the end.
#pragma once

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace gorsenotch::state {

struct TemporaryFolder {
    std::string path;
    TemporaryFolder() {
        char name[] = "/tmp/gorsenotch-state-XXXXXX";
        path = mkdtemp(name);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    std::string text(const std::string& name) const {
        std::ifstream in(path + "/" + name, std::ios::binary);
        std::ostringstream all;
        all << in.rdbuf();
        return all.str();
    }
    void put(const std::string& name, const std::string& text) const {
        std::ofstream(path + "/" + name, std::ios::binary | std::ios::trunc) << text;
    }
};

}  // namespace gorsenotch::state
