#include "net/socket_error.h"

#include <uv.h>

#include <cerrno>

namespace gorsenotch::net {
namespace {

bool is_resource_shortage(int code) {
    switch (code) {
        case UV_EMFILE:
        case UV_ENFILE:
        case UV_ENOBUFS:
        case UV_ENOMEM:
            return true;
        default:
            return false;
    }
}

}  // namespace

ErrorClass classify_listen_error(int code) {
    if (code == 0) return ErrorClass::none;
    if (code == UV_EADDRINUSE) return ErrorClass::address_in_use;
    return is_resource_shortage(code) ? ErrorClass::host_resources : ErrorClass::other;
}

ErrorClass classify_connect_error(int code) {
    if (code == 0) return ErrorClass::none;
    if (is_resource_shortage(code)) return ErrorClass::host_resources;
    switch (code) {
        case UV_EINTR:
            return ErrorClass::retry_now;
        case UV_EAGAIN:         // no local port is free
        case UV_EADDRNOTAVAIL:  // no local port is free
        case UV_ENETUNREACH:    // no route from this host
        case UV_ENETDOWN:
            return ErrorClass::host_resources;
        case UV_EINVAL:
        case UV_EADDRINUSE:
        case UV_EACCES:
        case UV_EPERM:
            return ErrorClass::other;
        default:
            return ErrorClass::peer;
    }
}

ErrorClass classify_accept_error(int code) {
    if (code == 0) return ErrorClass::none;
    if (is_resource_shortage(code)) return ErrorClass::host_resources;
    switch (code) {
        case UV_EAGAIN:
            return ErrorClass::retry_later;
        case UV_EINTR:
        case UV_ECONNABORTED:
        case UV_ENETDOWN:
        case UV_EPROTO:
        case UV_ENOPROTOOPT:
        case UV_EHOSTDOWN:
        case -ENONET:
        case UV_EHOSTUNREACH:
        case -EOPNOTSUPP:
        case UV_ENETUNREACH:
        case UV_ETIMEDOUT:
        case UV_EPERM:  // a firewall rejects this one connection
            return ErrorClass::retry_now;
        default:
            return ErrorClass::other;
    }
}

}  // namespace gorsenotch::net
