// Child processes of a benchmark, each pinned to a core, and their resource use as /proc reports it.
#pragma once

#include <fcntl.h>
#include <sched.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace gorsenotch::bench {

// Pins the calling thread to `core`, counted modulo the number of online cores.
inline void pin_to_core(int core) {
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(static_cast<unsigned>(core) % static_cast<unsigned>(sysconf(_SC_NPROCESSORS_ONLN)), &set);
    sched_setaffinity(0, sizeof set, &set);
}

// How long the main thread of a process has run and how long it has waited in the run queue of a core, in ms.
struct SchedulerTimes {
    double run_ms = 0, wait_ms = 0;
};
// Reads /proc/PID/schedstat; zeros if that fails.
inline SchedulerTimes read_scheduler_times(int pid) {
    char name[64];
    char text[128] = "";
    std::snprintf(name, sizeof name, "/proc/%d/schedstat", pid);
    const int fd = open(name, O_RDONLY | O_CLOEXEC);
    if (fd < 0) return {};
    const auto length = read(fd, text, sizeof text - 1);
    close(fd);
    SchedulerTimes times;
    if (length > 0 && std::sscanf(text, "%lf %lf", &times.run_ms, &times.wait_ms) == 2) {
        times.run_ms /= 1e6;
        times.wait_ms /= 1e6;
    }
    return times;
}

// A child process, killed by the destructor. The constructor waits for the first line of its standard output.
struct Process {
    pid_t pid = -1;
    std::string ready_line;  // empty if the process ended without one
    // `log`: file that receives standard error; discarded if empty.
    Process(std::vector<std::string> args, int core, const std::string& log = "") {
        int fds[2];
        if (pipe(fds) != 0) return;
        pid = fork();
        if (pid == 0) {
            pin_to_core(core);
            dup2(fds[1], 1);
            close(fds[0]);
            close(fds[1]);
            const int error_output =
                open(log.empty() ? "/dev/null" : log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            dup2(error_output, 2);
            std::vector<char*> argv;
            argv.reserve(args.size() + 1);
            for (auto& argument : args) argv.push_back(argument.data());
            argv.push_back(nullptr);
            execv(argv[0], argv.data());
            _exit(127);
        }
        close(fds[1]);
        char next = 0;
        while (read(fds[0], &next, 1) == 1 && next != '\n') ready_line += next;
        close(fds[0]);
    }
    ~Process() {
        if (pid < 0) return;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    double cpu_seconds() const {  // user and system time
        std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
        std::string text((std::istreambuf_iterator<char>(in)), {});
        std::istringstream rest(text.substr(text.rfind(')') + 2));
        std::string field;
        double ticks = 0;
        for (int i = 3; i <= 15 && rest >> field; ++i) {
            if (i >= 14) ticks += std::stod(field);
        }
        return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    double rss_mb() const {
        std::ifstream in("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(in, line);) {
            if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6)) / 1024;
        }
        return 0;
    }
};

}  // namespace gorsenotch::bench
