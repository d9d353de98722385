// A child process on the loop: started, heard, ended, and never outliving its parent.
//
// Ownership: the process belongs to its Child. ~Child kills it and returns when it is gone, so that nothing
// is left running and its ports are free again; a parent that is itself killed outright takes its children
// along (the kernel's parent-death signal, asked for by the child in die_with_parent()). A child has a
// session of its own: a terminal's Ctrl-C reaches the parent alone, which ends what it has to in order.
// Errors: 0 or a negative libuv code, as in net/event_loop.h. Callbacks may destroy the Child.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/event_loop.h"

namespace gorsenotch::net {

class ChildProcess {
public:
    // With what the process ended: its exit status and the signal that ended it (0: none).
    using Exited = std::function<void(int status, int signal)>;
    std::function<void(const std::string& line)> on_line;  // of its standard output, without the line end

    ChildProcess(EventLoop& loop, Exited exited);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    // Standard error goes to the file `log` (appended), or where the parent's goes if that is empty; input is
    // empty. Lines of standard output longer than 4 KiB are cut.
    int spawn(const std::vector<std::string>& args, const std::string& log);
    void kill(int signal);
    bool running() const;
    int pid() const;  // 0: never started

private:
    struct Handle;
    Handle* handle_;
};

// To be called first in a program that may have been started by a Child: from then on the process is killed
// when its parent ends, however that ends. Does nothing in a process that was started otherwise. False: the
// parent is gone already, so that this process should end at once.
bool die_with_parent();

}  // namespace gorsenotch::net
