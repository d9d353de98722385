// A client for tests of what happens in the very moment in which bytes come.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>

namespace gorsenotch::test {

// A client that acts by system calls, outside the loop: what it sends lies in the kernel before the loop
// runs. Its reads take what is there and do not wait.
class BlockingClient {
public:
    explicit BlockingClient(int port) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
        ::fcntl(fd_, F_SETFL, O_NONBLOCK);
    }
    ~BlockingClient() { close(); }
    BlockingClient(const BlockingClient&) = delete;
    BlockingClient& operator=(const BlockingClient&) = delete;
    void send(const std::string& bytes) {
        EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    // Takes what has come: the text so far, and whether and how the connection ended.
    void look() {
        char buffer[4096];
        for (;;) {
            const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
            if (n > 0) {
                text.append(buffer, static_cast<std::size_t>(n));
                continue;
            }
            ended |= n == 0;
            int error = 0;  // a reset that comes after the FIN is told here alone
            socklen_t size = sizeof error;
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            reset |= (n < 0 && errno != EAGAIN) || error != 0;
            return;
        }
    }
    std::string text;
    bool ended = false, reset = false;

private:
    int fd_;
};

}  // namespace gorsenotch::test
