// What an error of a socket's system call means for its caller. No I/O. Codes are libuv's: negative errno
// values.
#pragma once

namespace gorsenotch::net {

enum class ErrorClass {
    none,            // no error
    retry_now,       // the call was interrupted, or concerned something that is gone already: call again
    retry_later,     // nothing is there yet
    host_resources,  // this host is short of descriptors, memory, ports or routes: try again soon, blame no
                     // peer
    address_held,    // another process listens there, perhaps the one before, which has yet to end
    peer,            // the peer or the way to it: refused, unreachable, no answer
    other,           // a fault of the caller or of the configuration
};

// Of opening a connection: socket and connect.
ErrorClass classify_connect_error(int code);
// Of opening a listener: socket, bind and listen. An address that this host does not have is no passing want.
ErrorClass classify_listen_error(int code);
// Of accept: Linux passes pending network errors of the new connection on, which say nothing of the listener.
ErrorClass classify_accept_error(int code);

}  // namespace gorsenotch::net
