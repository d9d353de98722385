// Kept connections to servers, with real sockets: what the server does to one in the moment in which it is
// used again. The server acts by system calls before the loop looks, so each order happens every time.
#include "proxy/connection_pool.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "net/timer.h"
#include "platform/upstream_exchange.h"

namespace gorsenotch::test {
namespace {

using proxy::ConnectionPool;

const std::string kAnswer = "HTTP/1.1 204 No Content\r\n\r\n";

// A listening server that acts by system calls, outside the loop.
class RawServer {
public:
    RawServer() : listening_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        EXPECT_EQ(::bind(listening_, reinterpret_cast<sockaddr*>(&at), size), 0);
        EXPECT_EQ(::listen(listening_, 16), 0);
        ::getsockname(listening_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
    }
    ~RawServer() {
        for (const int fd : taken) ::close(fd);
        ::close(listening_);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    void accept() {
        for (int fd; (fd = ::accept4(listening_, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) taken.push_back(fd);
    }
    // What has come on the n-th connection since it was last asked.
    std::string read(std::size_t n) {
        char buffer[4096];
        const ssize_t size = n < taken.size() ? ::recv(taken[n], buffer, sizeof buffer, 0) : 0;
        return std::string(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
    }
    void write(std::size_t n, const std::string& bytes) {
        EXPECT_EQ(::send(taken.at(n), bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }
    void shut(std::size_t n) { ::shutdown(taken.at(n), SHUT_WR); }
    std::vector<int> taken;

private:
    int listening_, port_ = 0;
};

struct UpstreamTest : ::testing::Test {
    net::EventLoop loop;
    RawServer server;
    ConnectionPool upstream{loop, config()};

    static ConnectionPool::Config config() {
        ConnectionPool::Config pool;
        pool.cooldown = pool.learn_reuse = true;
        return pool;
    }
    void run(net::Millis ms) {
        net::Timer end(loop, [this] { loop.stop(); });
        end.fire_after(ms);
        loop.run();
    }
    std::shared_ptr<platform::UpstreamExchange> start(std::optional<platform::AttemptOutcome>& end) {
        auto call =
            std::make_shared<platform::UpstreamExchange>(platform::UpstreamExchange::Kind::lease_call);
        call->on_ended = [&end](const platform::AttemptOutcome& outcome) { end = outcome; };
        upstream.start(server.address(), "DELETE /x HTTP/1.1\r\n\r\n", call);
        return call;
    }
    // One exchange on a new connection, which is kept and has rested.
    void exchange() {
        std::optional<platform::AttemptOutcome> end;
        start(end);
        run(10);
        server.accept();
        ASSERT_EQ(server.taken.size(), 1u);
        ASSERT_NE(server.read(0), "");
        server.write(0, kAnswer);
        run(40);
        ASSERT_TRUE(end && end->status == 204);
        ASSERT_TRUE(upstream.has_idle(server.address()));
    }
    // A request that must come on the second connection and be answered.
    void expect_on_another() {
        std::optional<platform::AttemptOutcome> end;
        start(end);
        run(10);
        server.accept();
        EXPECT_EQ(server.read(0), "");
        ASSERT_EQ(server.taken.size(), 2u);
        EXPECT_NE(server.read(1), "");
        server.write(1, kAnswer);
        run(10);
        ASSERT_TRUE(end);
        EXPECT_EQ(end->status, 204);
        EXPECT_EQ(end->result, AttemptResult::served);
    }
};

TEST_F(UpstreamTest, AKeptConnectionCarriesTheNextRequest) {
    exchange();
    std::optional<platform::AttemptOutcome> end;
    start(end);
    run(10);
    EXPECT_NE(server.read(0), "");
    server.write(0, kAnswer);
    run(10);
    EXPECT_TRUE(end && end->status == 204);
}

TEST_F(UpstreamTest, OneThatTheServerHasClosedUnreadIsNotUsed) {
    exchange();
    server.shut(0);
    expect_on_another();
}

TEST_F(UpstreamTest, OneOnWhichHalfALineLiesUnreadIsNotUsed) {
    exchange();
    server.write(0, "HTTP/1.1 2");
    expect_on_another();
}

// Found in the page of the fleet days: a second answer may come some milliseconds behind the first.
TEST_F(UpstreamTest, ASecondAnswerSomeMillisecondsLateIsNobodys) {
    std::optional<platform::AttemptOutcome> first;
    start(first);
    run(10);
    server.accept();
    ASSERT_EQ(server.taken.size(), 1u);
    server.read(0);
    server.write(0, kAnswer);
    run(5);
    ASSERT_TRUE(first);
    std::optional<platform::AttemptOutcome> next;
    start(next);
    server.write(0, kAnswer);  // the second one, right behind the next request's first byte
    run(10);
    EXPECT_FALSE(next) << "it is no answer to the next request";
    server.accept();
    ASSERT_EQ(server.taken.size(), 2u);
    server.write(1, kAnswer);
    run(10);
    EXPECT_TRUE(next && next->status == 204);
}

}  // namespace
}  // namespace gorsenotch::test
