// A TCP client for tests that depend on the order in which the server's loop sees input.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>

#include "support/text_search.h"

namespace gorsenotch::test {

// A client that uses system calls directly, outside the event loop: what it sends is in the kernel's buffers
// before the loop runs. Only connecting blocks; reading takes what is available.
class BlockingClient {
public:
    // `receive_buffer_bytes`: size of the kernel's buffer for what this client has not read; 0: the default.
    explicit BlockingClient(int port, int receive_buffer_bytes = 0) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
        if (receive_buffer_bytes > 0) {
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        ::fcntl(fd_, F_SETFL, O_NONBLOCK);
    }
    ~BlockingClient() { close(); }
    BlockingClient(const BlockingClient&) = delete;
    BlockingClient& operator=(const BlockingClient&) = delete;
    void send(const std::string& bytes) {
        EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    // Sends as much of `bytes` as the kernel accepts at once; returns their number.
    std::size_t send_available(std::string_view bytes) {
        return static_cast<std::size_t>(
            std::max<ssize_t>(0, ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL)));
    }
    // This client's own port.
    int port() const {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        EXPECT_EQ(::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size), 0);
        return ntohs(address.sin_port);
    }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    // Reads what is available, up to about `most` bytes: updates the received text, and whether and how the
    // connection ended.
    void read_available(std::size_t most = SIZE_MAX) {
        char buffer[4096];
        for (const std::size_t before = text.size(); text.size() - before < most;) {
            const ssize_t received = ::recv(fd_, buffer, sizeof buffer, 0);
            if (received > 0) {
                text.append(buffer, static_cast<std::size_t>(received));
                continue;
            }
            ended |= received == 0;
            int error = 0;  // a reset after the FIN is reported only here
            socklen_t size = sizeof error;
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            reset |= (received < 0 && errno != EAGAIN) || error != 0;
            return;
        }
    }
    // Reads what is available until about `total_bytes` have been received since the start.
    void read_up_to(double total_bytes) {
        const auto total = static_cast<std::size_t>(total_bytes);
        if (total > text.size()) read_available(total - text.size());
    }
    // How often `part` occurs in the received text.
    std::size_t count(std::string_view part) const { return count_occurrences(text, part); }
    std::string text;    // received so far
    bool ended = false;  // the server has sent its FIN
    bool reset = false;  // the connection ended with an error

private:
    int fd_;
};

}  // namespace gorsenotch::test
