// A listener of ClientConnections on loopback for tests, with real sockets and a fake environment behind it.
// The peer's bytes lie in the kernel before the gateway acts, so each order of events happens every time.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/timer.h"
#include "platform/client_connections.h"
#include "platform/platform_world.h"
#include "support/blocking_client.h"

namespace gorsenotch::test {

inline std::string post(const std::string& txn, const std::string& body = "{}") {
    return "POST /v1/chat/completions HTTP/1.1\r\nx-txn: " + txn +
           "\r\nx-lane: chat\r\nx-org: acme\r\nx-remaining: 5000m\r\ncontent-length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct ClientConnectionsTest : ::testing::Test {
    net::EventLoop loop;
    platform::Config config = parse_config(kConfig, "", "");
    FakeEnvironment world;
    EndpointList hosts{config.named, 0};
    RequestLifecycle relay{config.named, 1, hosts, world};
    std::unique_ptr<ClientConnections> clients;

    void start(ClientConnections::Config listener_config) {
        std::string why;
        auto list = hosts.take(config.cached_list, EndpointList::Source::same_address, 0, why);
        ASSERT_TRUE(list) << why;
        relay.on_endpoint_update(std::move(*list));
        listener_config.listen = "127.0.0.1:0";
        clients = std::make_unique<ClientConnections>(loop, config.named, relay, listener_config);
        ASSERT_EQ(clients->listen(), 0);
    }
    void SetUp() override { start(ClientConnections::Config()); }
    void run(Millis ms) {
        net::Timer end(loop, [this] { loop.stop(); });
        end.fire_after(ms);
        loop.run();
    }
    // Runs the loop until `holds`, two seconds at most.
    void until(const std::function<bool()>& holds) {
        for (const Millis end = net::now() + 2000; !holds() && net::now() < end;) run(2);
        EXPECT_TRUE(holds());
    }
    std::size_t sent(const std::string& txn) const {
        return static_cast<std::size_t>(
            std::count_if(world.sent.begin(), world.sent.end(), [&](const FakeEnvironment::Sent& call) {
                return call.request.find("x-txn: " + txn + "\r\n") != std::string::npos;
            }));
    }
    // Serves whatever is out: reads are done, writes stream one event.
    void serve() {
        for (std::size_t i = 0; i < world.sent.size(); ++i) {
            const auto sent = world.sent[i];
            if (sent.attempt->is_over() || sent.closed) continue;
            if (sent.request.rfind("DELETE", 0) == 0) {
                sent.attempt->on_data("HTTP/1.1 204 No Content\r\n\r\n");
            } else if (sent.address == "10.0.0.3:1") {
                sent.attempt->on_data(kStream + chunked("data: a\n\n") + "0\r\n\r\n");
            } else {
                sent.attempt->on_data("HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}");
            }
        }
    }
    // A connection on which one request has been answered.
    std::unique_ptr<BlockingClient> rested(const std::string& txn) {
        auto peer = std::make_unique<BlockingClient>(clients->port());
        peer->send(post(txn));
        until([&] { return sent(txn) > 0; });
        serve();
        until([&] { return peer->look(), peer->text.find("0\r\n\r\n") != std::string::npos; });
        peer->text.clear();
        return peer;
    }
};

}  // namespace gorsenotch::test
