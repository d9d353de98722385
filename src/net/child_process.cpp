#include "net/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <string_view>
#include <utility>

extern char** environ;

namespace gorsenotch::net {
namespace {

constexpr const char* kParent = "GORSENOTCH_PARENT";
constexpr std::size_t kLongestLine = 4096;

}  // namespace

struct ChildProcess::Handle {
    uv_process_t uv{};
    uv_pipe_t out{};
    uv_loop_t* loop = nullptr;
    ChildProcess* owner = nullptr;
    Exited exited;
    bool running = false;
    int pid = 0, open = 0;
    std::string line;
    char buffer[1024];

    void close(uv_handle_t* handle) {
        if (uv_is_closing(handle)) return;
        uv_close(handle, [](uv_handle_t* closed) {
            auto* h = static_cast<Handle*>(closed->data);
            if (--h->open == 0 && !h->owner) delete h;
        });
    }
    void take(std::string_view bytes) {
        for (const char c : bytes) {
            if (c != '\n') {
                if (line.size() < kLongestLine) line += c;
                continue;
            }
            const std::string whole = std::exchange(line, {});
            if (!owner) return;
            const auto f = owner->on_line;
            if (f) f(whole);
        }
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
    if (handle_->open == 0) {
        delete handle_;
        return;
    }
    handle_->close(reinterpret_cast<uv_handle_t*>(&handle_->uv));
    handle_->close(reinterpret_cast<uv_handle_t*>(&handle_->out));
}

int ChildProcess::spawn(const std::vector<std::string>& args, const std::string& log) {
    std::vector<char*> argv;
    for (const auto& a : args) argv.push_back(const_cast<char*>(a.c_str()));
    argv.push_back(nullptr);
    const std::string parent = std::string(kParent) + "=" + std::to_string(::getpid());
    std::vector<char*> environment;
    for (char** e = environ; *e; ++e) {
        if (std::string_view(*e).rfind(std::string(kParent) + "=", 0) != 0) environment.push_back(*e);
    }
    environment.push_back(const_cast<char*>(parent.c_str()));
    environment.push_back(nullptr);
    const int fd = log.empty() ? -1 : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    handle_->uv.data = handle_->out.data = handle_;
    uv_pipe_init(handle_->loop, &handle_->out, 0);
    uv_stdio_container_t handle[3];
    handle[0].flags = UV_IGNORE;
    handle[1].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
    handle[1].data.stream = reinterpret_cast<uv_stream_t*>(&handle_->out);
    handle[2].flags = log.empty() || fd >= 0 ? UV_INHERIT_FD : UV_IGNORE;
    handle[2].data.fd = log.empty() ? 2 : fd;
    uv_process_options_t o{};
    o.file = argv[0];
    o.args = argv.data();
    o.env = environment.data();
    o.stdio = handle;
    o.stdio_count = 3;
    o.flags = UV_PROCESS_DETACHED;
    o.exit_cb = [](uv_process_t* p, std::int64_t status, int signal) {
        auto* h = static_cast<Handle*>(p->data);
        h->running = false;
        if (!h->owner) return;
        const auto f = h->exited;
        if (f) f(static_cast<int>(status), signal);
    };
    handle_->open = 2;
    const int e = uv_spawn(handle_->loop, &handle_->uv, &o);
    if (fd >= 0) ::close(fd);
    if (e != 0) return e;
    handle_->running = true;
    handle_->pid = handle_->uv.pid;
    return uv_read_start(
        reinterpret_cast<uv_stream_t*>(&handle_->out),
        [](uv_handle_t* u, std::size_t, uv_buf_t* buf) {
            auto* h = static_cast<Handle*>(u->data);
            *buf = uv_buf_init(h->buffer, sizeof h->buffer);
        },
        [](uv_stream_t* s, ssize_t n, const uv_buf_t* buf) {
            auto* h = static_cast<Handle*>(s->data);
            if (n < 0) return h->close(reinterpret_cast<uv_handle_t*>(s));
            if (n > 0) h->take(std::string_view(buf->base, static_cast<std::size_t>(n)));
        });
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
    const bool there = ::getppid() == std::atoi(parent);
    ::unsetenv(kParent);
    return there;
}

}  // namespace gorsenotch::net
