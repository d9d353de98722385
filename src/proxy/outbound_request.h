// The bytes of a request to a server.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace gorsenotch::proxy {

// The body is shared by the caller, which may need it for a further attempt, and by each connection that
// still has to send it: whatever their number, it is in memory once.
struct OutboundRequest {
    // Not explicit: a request without a body, or with a small one, is a text.
    OutboundRequest(std::string head_text = {}, std::shared_ptr<const std::string> shared_body = nullptr)
        : head(std::move(head_text)), body(std::move(shared_body)) {}

    std::size_t size() const { return head.size() + (body ? body->size() : 0); }
    // All of it as one text.
    std::string text() const { return body ? head + *body : head; }

    std::string head;                         // through the empty line; may include a body that is not shared
    std::shared_ptr<const std::string> body;  // null: none
};

}  // namespace gorsenotch::proxy
