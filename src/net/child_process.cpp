#include "net/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <utility>

extern char** environ;

namespace gorsenotch::net {
namespace {

// The environment variable with the parent's process id, which die_with_parent() compares with getppid().
constexpr const char* kParentPidVariable = "GORSENOTCH_PARENT";
const std::string kParentPidPrefix = std::string(kParentPidVariable) + "=";
constexpr std::size_t kMaxLineBytes = 4096;

// This process's environment as execve() expects it, with the entry `parent_pid` ("NAME=VALUE") in place of
// an inherited entry of that name.
std::vector<char*> make_child_environment(const std::string& parent_pid) {
    std::vector<char*> variables;
    for (char** variable = environ; *variable; ++variable) {
        if (std::string_view(*variable).rfind(kParentPidPrefix, 0) != 0) variables.push_back(*variable);
    }
    variables.push_back(const_cast<char*>(parent_pid.c_str()));
    variables.push_back(nullptr);
    return variables;
}

}  // namespace

struct ChildProcess::Handle {
    uv_process_t uv{};
    uv_pipe_t stdout_pipe{};
    uv_loop_t* loop = nullptr;
    ChildProcess* owner = nullptr;
    ExitCallback exit_callback;
    bool running = false;
    int pid = 0;
    int open_handles = 0;
    std::string partial_line;  // output since the last line end
    char buffer[1024];

    void close(uv_handle_t* handle) {
        if (uv_is_closing(handle)) return;
        uv_close(handle, [](uv_handle_t* closed) {
            auto* child = static_cast<Handle*>(closed->data);
            if (--child->open_handles == 0 && !child->owner) delete child;
        });
    }
    void on_output(std::string_view bytes) {
        for (const char byte : bytes) {
            if (byte != '\n') {
                if (partial_line.size() < kMaxLineBytes) partial_line += byte;
                continue;
            }
            const std::string line = std::exchange(partial_line, {});
            if (!owner) return;
            const auto callback = owner->on_line;
            if (callback) callback(line);
        }
    }
    int start_reading_output() {
        return uv_read_start(
            reinterpret_cast<uv_stream_t*>(&stdout_pipe),
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buf) {
                auto* child = static_cast<Handle*>(handle->data);
                *buf = uv_buf_init(child->buffer, sizeof child->buffer);
            },
            [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buf) {
                auto* child = static_cast<Handle*>(stream->data);
                if (size < 0) return child->close(reinterpret_cast<uv_handle_t*>(stream));
                if (size > 0) child->on_output(std::string_view(buf->base, static_cast<std::size_t>(size)));
            });
    }
    static void on_exit(uv_process_t* process, std::int64_t status, int signal) {
        auto* child = static_cast<Handle*>(process->data);
        child->running = false;
        if (!child->owner) return;
        const auto callback = child->exit_callback;
        if (callback) callback(static_cast<int>(status), signal);
    }
};

ChildProcess::ChildProcess(EventLoop& loop, ExitCallback exit_callback) : handle_(new Handle) {
    handle_->loop = loop.raw();
    handle_->exit_callback = std::move(exit_callback);
    handle_->owner = this;
}

ChildProcess::~ChildProcess() {
    handle_->owner = nullptr;
    if (handle_->running) {
        // Guards against a process that outlives its parent and keeps its ports. Waits here, since the loop
        // may not run again. A killed process exits in about a millisecond; one that is blocked in the kernel
        // (by a failed disk, for example) blocks the parent here for as long.
        ::kill(handle_->pid, SIGKILL);
        while (::waitpid(handle_->pid, nullptr, 0) < 0 && errno == EINTR) {
        }
    }
    if (handle_->open_handles == 0) {
        delete handle_;
        return;
    }
    handle_->close(reinterpret_cast<uv_handle_t*>(&handle_->uv));
    handle_->close(reinterpret_cast<uv_handle_t*>(&handle_->stdout_pipe));
}

int ChildProcess::spawn(const std::vector<std::string>& args, const std::string& log_path) {
    std::vector<char*> argv;
    argv.reserve(args.size() + 1);
    for (const auto& arg : args) argv.push_back(const_cast<char*>(arg.c_str()));
    argv.push_back(nullptr);
    const std::string parent_pid = kParentPidPrefix + std::to_string(::getpid());
    std::vector<char*> environment = make_child_environment(parent_pid);
    const int log_fd =
        log_path.empty() ? -1 : ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    handle_->uv.data = handle_;
    handle_->stdout_pipe.data = handle_;
    uv_pipe_init(handle_->loop, &handle_->stdout_pipe, 0);
    uv_stdio_container_t stdio[3];
    stdio[0].flags = UV_IGNORE;
    stdio[1].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
    stdio[1].data.stream = reinterpret_cast<uv_stream_t*>(&handle_->stdout_pipe);
    stdio[2].flags = log_path.empty() || log_fd >= 0 ? UV_INHERIT_FD : UV_IGNORE;
    stdio[2].data.fd = log_path.empty() ? STDERR_FILENO : log_fd;
    uv_process_options_t options{};
    options.file = argv[0];
    options.args = argv.data();
    options.env = environment.data();
    options.stdio = stdio;
    options.stdio_count = 3;
    options.flags = UV_PROCESS_DETACHED;
    options.exit_cb = Handle::on_exit;
    handle_->open_handles = 2;
    const int error = uv_spawn(handle_->loop, &handle_->uv, &options);
    if (log_fd >= 0) ::close(log_fd);
    if (error != 0) return error;
    handle_->running = true;
    handle_->pid = handle_->uv.pid;
    return handle_->start_reading_output();
}

void ChildProcess::kill(int signal) {
    if (handle_->running) uv_process_kill(&handle_->uv, signal);
}

bool ChildProcess::running() const { return handle_->running; }
int ChildProcess::pid() const { return handle_->pid; }

bool die_with_parent() {
    const char* parent_pid = std::getenv(kParentPidVariable);
    if (!parent_pid) return true;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The parent may have ended before prctl() requested the signal.
    const bool parent_is_alive = ::getppid() == std::atoi(parent_pid);
    ::unsetenv(kParentPidVariable);
    return parent_is_alive;
}

}  // namespace gorsenotch::net
