// Keeps one watch on discovery alive: the whole list first, then a call that waits, one after another. After
// a fault it starts again with the whole list, soon and with jitter.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "http/parser.h"
#include "net/loop.h"

namespace gorsenotch::platform {

class Watch {
public:
    // Takes an answer's text; the version to wait beyond, or nothing where it was refused.
    std::function<std::optional<std::uint64_t>(const std::string&)> on_list;
    std::function<void(const std::string&)> on_fault;  // once for a row of faults, with the reason

    Watch(net::Loop& loop, std::uint64_t seed);
    void point(const std::string& address);  // starts, or moves to another address at once

private:
    void connect();
    void ask();
    void data(std::string_view bytes);
    void fault(const std::string& why);

    net::Loop& loop_;
    std::mt19937_64 random_;
    std::string address_, body_;
    std::unique_ptr<net::Stream> stream_, old_;
    std::unique_ptr<http::Parser> parser_;
    net::Timer timer_, burier_;
    std::optional<std::uint64_t> from_;
    int faults_ = 0;
};

}  // namespace gorsenotch::platform
