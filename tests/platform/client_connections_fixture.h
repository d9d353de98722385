// The fixture for tests of client connections: a listener on loopback with real sockets, and a fake
// environment in place of the endpoints. The peer's bytes are in the kernel before the gateway acts, so that
// the order of events is the same in every run.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/timer.h"
#include "platform/client_connections.h"
#include "platform/platform_world.h"
#include "support/blocking_client.h"

namespace gorsenotch::test {

inline std::string post_request(const std::string& txn, const std::string& body = "{}") {
    return "POST /v1/chat/completions HTTP/1.1\r\nx-txn: " + txn +
           "\r\nx-lane: chat\r\nx-org: acme\r\nx-remaining: 5000m\r\ncontent-length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct ClientConnectionsTest : ::testing::Test {
    control::MemoryBudget memory;  // outlives the loop
    net::EventLoop loop;
    platform::Config config = parse_config(kConfig, "", "");
    FakeEnvironment environment;
    EndpointList endpoints{config.named, 0};
    RequestLifecycle lifecycle{config.named, 1, endpoints, environment};
    std::unique_ptr<ClientConnections> clients;

    void start(ClientConnections::Config listener_config) {
        std::string rejection;
        auto list = endpoints.apply(config.cached_list, EndpointList::Source::same_address, 0, rejection);
        ASSERT_TRUE(list) << rejection;
        lifecycle.on_endpoint_update(std::move(*list));
        listener_config.listen = "127.0.0.1:0";
        clients = std::make_unique<ClientConnections>(loop, config.named, lifecycle, memory, listener_config);
        ASSERT_EQ(clients->listen(), 0);
    }
    void SetUp() override { start(ClientConnections::Config()); }
    void run(Millis duration) {
        net::Timer end(loop, [this] { loop.stop(); });
        end.fire_after(duration);
        loop.run();
    }
    // Runs the loop until `condition` is true, for two seconds at most.
    void run_until(const std::function<bool()>& condition) {
        for (const Millis end = net::now() + 2000; !condition() && net::now() < end;) run(2);
        EXPECT_TRUE(condition());
    }
    // How often a request with this transaction id was sent to an endpoint.
    std::size_t times_sent(const std::string& txn) const {
        return static_cast<std::size_t>(
            std::count_if(environment.exchanges.begin(), environment.exchanges.end(),
                          [&](const FakeEnvironment::StartedExchange& call) {
                              return call.request.find("x-txn: " + txn + "\r\n") != std::string::npos;
                          }));
    }
    // Answers all exchanges in flight: releases and prefills succeed, decodes stream one event.
    void answer_exchanges() {
        for (std::size_t i = 0; i < environment.exchanges.size(); ++i) {
            const auto started = environment.exchanges[i];
            if (started.exchange->has_outcome() || started.closed) continue;
            if (started.request.rfind("DELETE", 0) == 0) {
                started.exchange->on_data("HTTP/1.1 204 No Content\r\n\r\n");
            } else if (started.address == "10.0.0.3:1") {
                started.exchange->on_data(kWholeAnswer);
            } else {
                started.exchange->on_data(kPrefillAnswer);
            }
        }
    }
    // An idle connection on which one request was answered.
    std::unique_ptr<BlockingClient> idle_connection(const std::string& txn) {
        auto peer = std::make_unique<BlockingClient>(clients->port());
        peer->send(post_request(txn));
        run_until([&] { return times_sent(txn) > 0; });
        answer_exchanges();
        run_until([&] { return peer->read_available(), peer->text.find("0\r\n\r\n") != std::string::npos; });
        peer->text.clear();
        return peer;
    }
};

}  // namespace gorsenotch::test
