// One connection of a client: reads HTTP requests one after another and writes their answers.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/request_intake.h"
#include "gorsenotch/settings.h"
#include "http/parser.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace gorsenotch::gateway {

class ClientConnection;

// What a connection asks of the server that owns it.
class ConnectionOwner {
public:
    virtual ~ConnectionOwner() = default;
    virtual std::string next_request_id() = 0;
    // Whether the server takes no new requests.
    virtual bool is_draining() const = 0;
    // flush() is to be called at the end of the loop's turn.
    virtual void schedule_flush(ClientConnection& connection) = 0;
    virtual void cancel_flush(ClientConnection& connection) = 0;
    // So many bytes wait for the client, beyond the kernel's own buffers.
    virtual void record_queued(std::size_t bytes) = 0;
    // The connection has closed; to be destroyed in a later turn.
    virtual void on_closed(ClientConnection& connection) = 0;
};

// Owns its socket and the request that is read or answered on it; later ones wait, unread or as bytes. A
// request that the intake accepts goes to the RequestLifecycle, which answers through the interface Client.
// What is written in one turn of the loop goes out in one write at its end. Threading: the loop's thread.
class ClientConnection : public Client {
public:
    // All references must outlive the connection. Starts reading.
    ClientConnection(net::EventLoop& loop, const settings::Program& program, RequestLifecycle& lifecycle,
                     ConnectionOwner& owner, std::unique_ptr<net::TcpStream> stream);

    // Answers 529 at once and closes: there are too many connections.
    void reject_overloaded();
    bool is_rejected() const { return rejected_; }
    // Closes if no request is read or answered. Guards against a request that came before the drain and is
    // lost with a reset: it is read and refused.
    void close_if_idle();
    // Writes what was gathered in this turn.
    void flush();

    void begin_stream() override;
    void send_body(std::string bytes) override;
    void finish_stream() override;
    void send_complete(int status, std::string bytes, Millis pause, std::optional<bool> retry) override;

    std::list<std::unique_ptr<ClientConnection>>::iterator self;  // in the owner's list; the owner's

private:
    enum class State {
        reading,       // a request is awaited or read
        replying,      // a request is answered here
        in_lifecycle,  // a request is answered by the RequestLifecycle
        closing,       // the last answer is written; what the client still sends is read and dropped
    };

    bool is_answering() const { return state_ == State::replying || state_ == State::in_lifecycle; }
    bool is_idle() const;
    bool is_chunked() const { return parser_.minor >= 1; }
    http::Headers common_headers();
    Reply overloaded_reply() const;
    Reply fault_reply() const;

    void on_data(std::string_view bytes);
    void on_drain();
    void on_timer();
    void on_disconnected();
    void parse(std::string_view bytes);
    void on_headers();
    void on_request();
    void refuse_faulty();
    void reply(const Reply& reply);
    void write(const std::string& bytes);
    void after_write();
    void end_answer();
    void close();

    net::EventLoop& loop_;
    const settings::Program& program_;
    RequestLifecycle& lifecycle_;
    ConnectionOwner& owner_;
    std::unique_ptr<net::TcpStream> stream_;  // null once closed
    http::Parser parser_;
    // Ends what takes too long: the next request, its head or body, a congested client, or the closing.
    net::Timer timer_;
    std::string id_;       // of the current request
    std::string pending_;  // bytes behind the current request
    std::string output_;   // gathered in this turn
    HttpRequest request_;
    std::optional<Reply> early_reply_;  // known from the head; sent when the body has come
    State state_ = State::reading;
    bool stream_begun_ = false;
    bool congested_ = false;
    bool keep_alive_ = false;
    bool flush_scheduled_ = false;
    bool rejected_ = false;
};

}  // namespace gorsenotch::gateway
