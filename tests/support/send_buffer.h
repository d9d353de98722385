// Limits a kernel buffer of this process, so that a test's client lags behind after few bytes.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace gorsenotch::test {

// Has the kernel accept little output for the client at `client_port`: limits the send buffer of this
// process's end of the connection.
inline void limit_send_buffer(int client_port) {
    constexpr int kSmallBufferBytes = 4096;
    constexpr int kMaxDescriptor = 256;
    for (int descriptor = 0; descriptor < kMaxDescriptor; ++descriptor) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0) continue;
        if (ntohs(peer.sin_port) != client_port) continue;
        EXPECT_EQ(
            ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kSmallBufferBytes, sizeof kSmallBufferBytes), 0);
    }
}

}  // namespace gorsenotch::test
