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

// The parent's process id, which die_with_parent() compares with the actual one.
constexpr const char* kParent = "GORSENOTCH_PARENT";
const std::string kParentVariable = std::string(kParent) + "=";
constexpr std::size_t kMaxLine = 4096;

// This process's environment with `parent` in place of its own such variable, as execve wants it.
std::vector<char*> environment_with(const std::string& parent) {
    std::vector<char*> variables;
    for (char** variable = environ; *variable; ++variable) {
        if (std::string_view(*variable).rfind(kParentVariable, 0) != 0) variables.push_back(*variable);
    }
    variables.push_back(const_cast<char*>(parent.c_str()));
    variables.push_back(nullptr);
    return variables;
}

}  // namespace

struct ChildProcess::Handle {
    uv_process_t uv{};
    uv_pipe_t out{};
    uv_loop_t* loop = nullptr;
    ChildProcess* owner = nullptr;
    Exited exited;
    bool running = false;
    int pid = 0;
    int open_handles = 0;
    std::string line;
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
                if (line.size() < kMaxLine) line += byte;
                continue;
            }
            const std::string complete = std::exchange(line, {});
            if (!owner) return;
            const auto callback = owner->on_line;
            if (callback) callback(complete);
        }
    }
    int read_output() {
        return uv_read_start(
            reinterpret_cast<uv_stream_t*>(&out),
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buf) {
                auto* child = static_cast<Handle*>(handle->data);
                *buf = uv_buf_init(child->buffer, sizeof child->buffer);
            },
            [](uv_stream_t* stream, ssize_t n, const uv_buf_t* buf) {
                auto* child = static_cast<Handle*>(stream->data);
                if (n < 0) return child->close(reinterpret_cast<uv_handle_t*>(stream));
                if (n > 0) child->on_output(std::string_view(buf->base, static_cast<std::size_t>(n)));
            });
    }
    static void on_exit(uv_process_t* process, std::int64_t status, int signal) {
        auto* child = static_cast<Handle*>(process->data);
        child->running = false;
        if (!child->owner) return;
        const auto callback = child->exited;
        if (callback) callback(static_cast<int>(status), signal);
    }
};

ChildProcess::ChildProcess(EventLoop& loop, Exited exited) : handle_(new Handle) {
    handle_->loop = loop.raw();
    handle_->exited = std::move(exited);
    handle_->owner = this;
}

ChildProcess::~ChildProcess() {
    handle_->owner = nullptr;
    if (handle_->running) {
        // Guards against a process that outlives its parent and keeps its ports: it is waited for here, since
        // the loop may not turn again. A killed process ends in about a millisecond; one that hangs in the
        // kernel (a dead disk) would hold the parent here as long.
        ::kill(handle_->pid, SIGKILL);
        while (::waitpid(handle_->pid, nullptr, 0) < 0 && errno == EINTR) {
        }
    }
    if (handle_->open_handles == 0) {
        delete handle_;
        return;
    }
    handle_->close(reinterpret_cast<uv_handle_t*>(&handle_->uv));
    handle_->close(reinterpret_cast<uv_handle_t*>(&handle_->out));
}

int ChildProcess::spawn(const std::vector<std::string>& args, const std::string& log) {
    std::vector<char*> argv;
    argv.reserve(args.size() + 1);
    for (const auto& arg : args) argv.push_back(const_cast<char*>(arg.c_str()));
    argv.push_back(nullptr);
    const std::string parent = kParentVariable + std::to_string(::getpid());
    std::vector<char*> environment = environment_with(parent);
    const int log_file =
        log.empty() ? -1 : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    handle_->uv.data = handle_;
    handle_->out.data = handle_;
    uv_pipe_init(handle_->loop, &handle_->out, 0);
    uv_stdio_container_t stdio[3];
    stdio[0].flags = UV_IGNORE;
    stdio[1].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
    stdio[1].data.stream = reinterpret_cast<uv_stream_t*>(&handle_->out);
    stdio[2].flags = log.empty() || log_file >= 0 ? UV_INHERIT_FD : UV_IGNORE;
    stdio[2].data.fd = log.empty() ? STDERR_FILENO : log_file;
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
    if (log_file >= 0) ::close(log_file);
    if (error != 0) return error;
    handle_->running = true;
    handle_->pid = handle_->uv.pid;
    return handle_->read_output();
}

void ChildProcess::kill(int signal) {
    if (handle_->running) uv_process_kill(&handle_->uv, signal);
}

bool ChildProcess::running() const { return handle_->running; }
int ChildProcess::pid() const { return handle_->pid; }

bool die_with_parent() {
    const char* parent = std::getenv(kParent);
    if (!parent) return true;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The parent may have ended before the signal was asked for.
    const bool parent_lives = ::getppid() == std::atoi(parent);
    ::unsetenv(kParent);
    return parent_lives;
}

}  // namespace gorsenotch::net
