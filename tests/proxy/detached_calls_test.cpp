// Requests whose responses nobody waits for, with real sockets.
#include "proxy/detached_calls.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "net/free_ports.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::test {
namespace {

const std::string kRequest = "POST /release HTTP/1.1\r\n\r\n";

struct DetachedCallsTest : ::testing::Test {
    net::EventLoop loop;
    net::TcpListener listener{loop};
    std::vector<std::unique_ptr<net::TcpStream>> accepted;
    std::string received;
    proxy::DetachedCalls calls{loop, "", 250};

    DetachedCallsTest() {
        listener.on_stream = [this](std::unique_ptr<net::TcpStream> stream) {
            stream->on_data = [this](std::string_view bytes) { received += bytes; };
            stream->set_reading(true);
            accepted.push_back(std::move(stream));
        };
    }
    void run(net::Millis ms) {
        net::Timer end(loop, [this] { loop.stop(); });
        end.fire_after(ms);
        loop.run();
    }
};

TEST_F(DetachedCallsTest, WritesTheRequestOnOneConnection) {
    ASSERT_EQ(listener.listen("127.0.0.1:0"), 0);
    calls.send("127.0.0.1:" + std::to_string(listener.port()), kRequest, 1000);
    run(200);
    EXPECT_EQ(accepted.size(), 1u);
    EXPECT_EQ(received, kRequest);
}

TEST_F(DetachedCallsTest, RetriesConnectingUntilTheServerListens) {
    const auto ports = net::free_ports(loop, "127.254.3.8", 1);
    ASSERT_EQ(ports.size(), 1u);
    const std::string address = "127.254.3.8:" + std::to_string(ports[0]);
    calls.send(address, kRequest, 5000);
    run(120);
    ASSERT_EQ(listener.listen(address), 0);
    run(500);
    EXPECT_EQ(accepted.size(), 1u);
    EXPECT_EQ(received, kRequest);
}

TEST_F(DetachedCallsTest, StopsConnectingAfterTheTimeout) {
    const auto ports = net::free_ports(loop, "127.254.3.8", 1);
    ASSERT_EQ(ports.size(), 1u);
    const std::string address = "127.254.3.8:" + std::to_string(ports[0]);
    calls.send(address, kRequest, 100);
    run(400);
    ASSERT_EQ(listener.listen(address), 0);
    run(200);
    EXPECT_TRUE(accepted.empty());
    EXPECT_EQ(received, "");
}

}  // namespace
}  // namespace gorsenotch::test
