// Child processes on an event loop, which never outlive their parent.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/event_loop.h"

namespace gorsenotch::net {

// Owns one process: ~ChildProcess kills it and returns when it has ended, so that nothing is left running and
// its ports are free again. If the parent itself is killed, the kernel's parent-death signal, which the child
// asks for in die_with_parent(), ends the child too. A child has a session of its own: a terminal's Ctrl-C
// reaches the parent alone, which then ends its children in order. Errors: 0 or a negative libuv code, see
// error_text(). Callbacks may destroy the object.
class ChildProcess {
public:
    // The process has ended, with this exit status and by this signal (0: none).
    using Exited = std::function<void(int status, int signal)>;
    std::function<void(const std::string& line)> on_line;  // of its standard output, without the line end

    ChildProcess(EventLoop& loop, Exited exited);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    // Starts the program args[0]; to be called once. Standard error is appended to the file `log`, or goes
    // where the parent's goes if that is empty; input is empty. Lines of standard output longer than 4 KiB
    // are cut.
    int spawn(const std::vector<std::string>& args, const std::string& log);
    void kill(int signal);
    bool running() const;
    int pid() const;  // 0: never started

private:
    struct Handle;
    Handle* handle_;
};

// To be called first in a program that may have been started by a ChildProcess: from then on the process is
// killed when its parent ends, however that ends. Does nothing in a process that was started otherwise.
// False: the parent is gone already, so that this process should end at once.
bool die_with_parent();

}  // namespace gorsenotch::net
