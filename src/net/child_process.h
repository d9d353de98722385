// Child processes on an event loop. A child process never outlives its parent.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/event_loop.h"

namespace gorsenotch::net {

// Owns one process. The destructor kills it and waits for its exit, so that no process is left running and
// its ports are free again. If the parent itself is killed, the kernel's parent-death signal, which the child
// requests in die_with_parent(), kills the child too. A child runs in a session of its own: a terminal's
// Ctrl-C reaches only the parent, which then shuts down its children in order. Errors: 0 or a negative libuv
// code, see error_text(). Callbacks may destroy the object.
class ChildProcess {
public:
    // Called when the process has ended, with its exit status and the signal that ended it (0: none).
    using ExitCallback = std::function<void(int status, int signal)>;
    // Called for each line of standard output, without the line end.
    std::function<void(const std::string& line)> on_line;

    ChildProcess(EventLoop& loop, ExitCallback exit_callback);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    // Starts the program args[0]; must be called at most once. Standard error is appended to the file
    // `log_path`, or inherited from the parent if `log_path` is empty; standard input is empty. Lines of
    // standard output are truncated to 4 KiB.
    int spawn(const std::vector<std::string>& args, const std::string& log_path);
    // Sends `signal` to the process; no effect if it is not running.
    void kill(int signal);
    bool running() const;
    int pid() const;  // 0: not started

private:
    struct Handle;
    Handle* handle_;
};

// To be called first in a program that may have been started by a ChildProcess: from then on the kernel kills
// the process when its parent ends, for whatever reason. No effect in a process that was started otherwise.
// False: the parent has already ended, so this process should exit at once.
bool die_with_parent();

}  // namespace gorsenotch::net
