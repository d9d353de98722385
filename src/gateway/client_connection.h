// A client's connection: reads HTTP requests one after another and writes their responses.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "control/client_progress.h"
#include "control/memory_budget.h"
#include "gateway/request_intake.h"
#include "gorsenotch/settings.h"
#include "http/parser.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::gateway {

class ClientConnection;

// The interface of the server that owns the connections.
class ConnectionOwner {
public:
    virtual ~ConnectionOwner() = default;
    virtual std::string next_request_id() = 0;
    // Whether the server is draining: new requests are rejected.
    virtual bool is_draining() const = 0;
    // Has flush() called at the end of the current loop turn.
    virtual void schedule_flush(ClientConnection& connection) = 0;
    virtual void cancel_flush(ClientConnection& connection) = 0;
    // Reports the number of bytes queued for the client, beyond the kernel's buffers.
    virtual void record_queued_bytes(std::size_t bytes) = 0;
    // The connection has closed; the owner destroys it in a later loop turn.
    virtual void on_closed(ClientConnection& connection) = 0;
};

// Owns its socket and the current request, which is being read or answered. Pipelined requests behind it stay
// buffered or unread until its response has ended. A request that the intake accepts goes to the
// RequestLifecycle, which responds through the Client interface. Output of one loop turn is gathered and sent
// in one write at the end of the turn. Threading: the loop's thread.
class ClientConnection : public Client {
public:
    // Starts reading. All references must outlive the connection.
    ClientConnection(net::EventLoop& loop, const settings::ProgramSettings& program,
                     RequestLifecycle& lifecycle, control::MemoryBudget& memory, ConnectionOwner& owner,
                     std::unique_ptr<net::TcpStream> stream);

    // Answers with 529 and closes, because there are too many connections.
    void reject_overloaded();
    bool is_rejected() const { return rejected_; }
    // Closes the connection unless a request is being read or answered on it. A connection with unread input
    // stays open, so that a request sent before the drain is rejected with a response and not lost to a
    // reset.
    void close_if_idle();
    // Rejects a request of which only a part has been received.
    void reject_incomplete();
    // Writes the output gathered in this loop turn.
    void flush();

    void begin_stream() override;
    void send_body(std::string bytes) override;
    void finish_stream() override;
    void send_complete(int status, std::string bytes, Millis retry_after,
                       std::optional<bool> should_retry) override;

    std::list<std::unique_ptr<ClientConnection>>::iterator owner_position;  // set and used by the owner

private:
    enum class State {
        reading,       // waiting for a request or reading it
        replying,      // answering a request without the RequestLifecycle
        in_lifecycle,  // the RequestLifecycle answers the request
        closing,       // the last response is being written; further input is read and discarded
    };

    bool is_answering() const { return state_ == State::replying || state_ == State::in_lifecycle; }
    bool is_idle() const;
    bool is_reading_head() const { return state_ == State::reading && id_.empty(); }
    bool is_chunked() const { return parser_.http_minor >= 1; }
    http::Headers common_headers();
    Reply overloaded_reply() const;
    Reply fault_reply() const;

    void on_data(std::string_view bytes);
    void update_reading();
    void on_drain();
    void on_timer();
    bool still_takes_output();
    void await_output_taken();
    void on_disconnected();
    void parse(std::string_view bytes);
    void on_headers();
    void on_body(std::string_view bytes);
    bool reserve_body(std::size_t bytes);
    bool reserve_buffers();
    bool reserve_accepted(NewRequest& request, std::size_t body_bytes);
    void update_memory();
    std::size_t buffered_bytes() const;
    std::size_t max_queued_bytes() const;
    void refuse_memory();
    void on_request();
    void reject_malformed();
    void abandon_request();
    void reply(const Reply& reply);
    void write(std::string bytes);
    void schedule_output();
    void finish_response();
    void await_next_request();
    void linger();
    void close();

    net::EventLoop& loop_;
    const settings::ProgramSettings& program_;
    RequestLifecycle& lifecycle_;
    ConnectionOwner& owner_;
    std::unique_ptr<net::TcpStream> stream_;  // null once closed
    http::Parser parser_;
    // The timeout of the current step: idle, request head, request body, congested client or closing.
    net::Timer timer_;
    control::ClientProgress progress_;  // of a client for which output is queued
    std::string id_;                    // of the current request
    std::string buffered_input_;        // bytes received behind the current request
    std::string output_;                // gathered in this loop turn
    HttpRequest request_;
    control::MemoryBudget& budget_;
    control::MemoryCharge request_memory_;  // for request_
    control::MemoryCharge buffer_memory_;   // for everything else that this connection buffers
    std::optional<Reply> early_reply_;      // determined by the head; sent once the body was received
    State state_ = State::reading;
    bool stream_begun_ = false;
    bool congested_ = false;
    bool awaits_client_ = false;  // the next request is read once the client has taken what is queued
    bool keep_alive_ = false;
    bool flush_scheduled_ = false;
    bool rejected_ = false;
};

}  // namespace gorsenotch::gateway
