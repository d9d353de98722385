// Classifies errors of socket system calls by what they mean for the caller. No I/O. Codes are libuv's:
// negative errno values.
#pragma once

namespace gorsenotch::net {

// What an error means for the caller of the system call.
enum class ErrorClass {
    none,            // no error
    retry_now,       // the call was interrupted, or its connection is already gone: call again
    retry_later,     // nothing is pending yet
    host_resources,  // this host lacks descriptors, memory, ports or routes: retry soon, do not blame the
                     // peer
    address_in_use,  // another process listens there, perhaps a predecessor that has yet to exit
    peer,            // the peer or the network path to it: refused, unreachable, no response
    other,           // a fault of the caller or of the configuration
};

// Errors of opening a connection: socket and connect.
ErrorClass classify_connect_error(int code);
// Errors of opening a listener: socket, bind and listen. An address that this host does not have is `other`,
// as a retry cannot help.
ErrorClass classify_listen_error(int code);
// Errors of accept. Linux also returns pending network errors of the new connection, which do not concern the
// listener.
ErrorClass classify_accept_error(int code);

}  // namespace gorsenotch::net
