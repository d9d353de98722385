// The loop's ownership and its child processes.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <set>

#include "net/child_process.h"
#include "net/deferred_call.h"
#include "net/event_loop.h"
#include "net/free_ports.h"
#include "net/signal_watcher.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::net {
namespace {

bool alive(int pid) { return ::kill(pid, 0) == 0; }

TEST(Loop, NamesWhatOutlivesIt) {
    const auto outlived = [] {
        auto loop = std::make_unique<EventLoop>();
        auto timer = std::make_unique<Timer>(*loop, [] {});
        auto listener = std::make_unique<TcpListener>(*loop);
        loop.reset();
    };
    EXPECT_DEATH(outlived(), "destroyed before what was made on it: (timer tcp|tcp timer)");
}

TEST(Loop, FreesWhatIsClosingWithoutATurn) {
    EventLoop loop;
    {
        Timer timer(loop, [] {});
        timer.fire_after(1000);
        DeferredCall turn(loop, [] {});
        turn.schedule();
        SignalWatcher signal(loop, SIGUSR2, [] {});
        TcpListener listener(loop);
        ASSERT_EQ(listener.listen("127.0.0.1:0"), 0);
        TcpStream stream(loop);
        TcpStream unconnected(loop);
        ASSERT_EQ(stream.connect("127.0.0.1:" + std::to_string(listener.port()), "", [](int) { FAIL(); }), 0);
        // Two timers, a turn's two handles, a signal, a listener's socket and poll, two streams.
        EXPECT_EQ(loop.open_handles().size(), 9u);
    }
    EXPECT_TRUE(loop.open_handles().empty());
}

// What happens first in a process that is stopped while it waits: its time-out, or the byte that came
// meanwhile. `registers`: each of its waits begins with a socket to register, where libuv does not say how
// long it will wait.
char first_after_a_stop(bool registers) {
    int told[2] = {-1, -1};
    int port[2] = {-1, -1};
    EXPECT_EQ(::pipe(told), 0);
    EXPECT_EQ(::pipe(port), 0);
    const pid_t child = ::fork();
    if (child == 0) {
        EventLoop loop;
        TcpListener listener(loop);
        std::unique_ptr<TcpStream> stream;
        const auto tell = [&](char what) {
            if (::write(told[1], &what, 1) != 1) ::_exit(2);
            ::_exit(0);
        };
        Timer overdue(loop, [&] { tell('t'); });
        Timer busy(loop, [&] {
            if (registers && stream) {
                stream->set_reading(false);
                stream->set_reading(true);
            }
            busy.fire_after(20);
        });
        listener.on_stream = [&](std::unique_ptr<TcpStream> accepted) {
            stream = std::move(accepted);
            stream->on_data = [&](std::string_view) { tell('d'); };
            stream->on_end = [](int) {};
            stream->set_reading(true);
            overdue.fire_after_poll(400);
            busy.fire_after(20);
        };
        const int number = listener.listen("127.0.0.1:0") == 0 ? listener.port() : 0;
        if (::write(port[1], &number, sizeof number) != sizeof number) ::_exit(2);
        loop.run();
        ::_exit(1);
    }
    int number = 0;
    EXPECT_EQ(::read(port[0], &number, sizeof number), static_cast<ssize_t>(sizeof number));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(number));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    ::usleep(150000);
    ::kill(child, SIGSTOP);
    ::usleep(50000);
    EXPECT_EQ(::send(fd, "x", 1, MSG_NOSIGNAL), 1);
    ::usleep(400000);
    ::kill(child, SIGCONT);
    char what = '?';
    EXPECT_EQ(::read(told[0], &what, 1), 1);
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    for (const int one : {fd, told[0], told[1], port[0], port[1]}) ::close(one);
    return what;
}

// Guards against time-outs that are judged over unread bytes once a stop of the process has interrupted its
// wait: the wait has not looked at its sockets.
TEST(Loop, WhatCameInAStopIsReadBeforeATimeOutIsJudged) {
    EXPECT_EQ(first_after_a_stop(false), 'd');
    EXPECT_EQ(first_after_a_stop(true), 'd');
}

// Guards against two processes, or two listeners of one, that are given the same port: a day whose engine got
// one port for its calls and its control did not start (about one day of ten engines in 660).
TEST(Ports, OfOneAddressAreAllDifferent) {
    EventLoop loop;
    constexpr std::size_t kCount =
        512;  // of some 7000 that the system picks from: two alike but once in 10^8
    const std::vector<int> ports = free_ports(loop, "127.254.3.7", kCount);
    ASSERT_EQ(ports.size(), kCount);
    EXPECT_EQ(std::set<int>(ports.begin(), ports.end()).size(), kCount);
}

TEST(Child, TellsItsLinesAndItsEnd) {
    EventLoop loop;
    std::vector<std::string> lines;
    int status = -1;
    int signal = -1;
    ChildProcess child(loop, [&](int exit_status, int exit_signal) {
        status = exit_status;
        signal = exit_signal;
    });
    child.on_line = [&](const std::string& line) { lines.push_back(line); };
    ASSERT_EQ(child.spawn({"/bin/sh", "-c", "echo one; printf 'two\nhalf'; exit 7"}, "/dev/null"), 0);
    loop.run();
    EXPECT_EQ(lines, (std::vector<std::string>{"one", "two"}));
    EXPECT_EQ(status, 7);
    EXPECT_EQ(signal, 0);
    EXPECT_FALSE(child.running());
}

TEST(Child, ALongLineIsCutAndAProgramThatIsNotThereIsAnError) {
    EventLoop loop;
    std::size_t size = 0;
    ChildProcess child(loop, [](int, int) {});
    child.on_line = [&](const std::string& line) { size = line.size(); };
    ASSERT_EQ(child.spawn({"/bin/sh", "-c", "head -c 100000 /dev/zero | tr '\\0' x; echo"}, "/dev/null"), 0);
    ChildProcess none(loop, [](int, int) { FAIL(); });
    EXPECT_EQ(none.spawn({"/nowhere/at/all"}, "/dev/null"), UV_ENOENT);
    EXPECT_FALSE(none.running());
    loop.run();
    EXPECT_EQ(size, 4096u);
}

TEST(Child, IsGoneWhenItsOwnerIs) {
    EventLoop loop;
    int pid = 0;
    {
        ChildProcess child(loop, [](int, int) { FAIL() << "told of an end that its owner made"; });
        ASSERT_EQ(child.spawn({"/bin/sleep", "60"}, "/dev/null"), 0);
        pid = child.pid();
        ASSERT_TRUE(alive(pid));
    }
    EXPECT_FALSE(alive(pid));
    ChildProcess never(loop, [](int, int) {});  // never started
}

TEST(Child, MayBeDestroyedByItsOwnCallbacks) {
    EventLoop loop;
    auto child = std::make_unique<ChildProcess>(loop, [](int, int) {});
    child->on_line = [&](const std::string&) { child.reset(); };
    ASSERT_EQ(child->spawn({"/bin/sh", "-c", "echo a; echo b; sleep 60"}, "/dev/null"), 0);
    loop.run();
    EXPECT_EQ(child, nullptr);
    child = std::make_unique<ChildProcess>(loop, [&](int, int) { child.reset(); });
    ASSERT_EQ(child->spawn({"/bin/true"}, "/dev/null"), 0);
    loop.run();
    EXPECT_EQ(child, nullptr);
}

}  // namespace
}  // namespace gorsenotch::net
