#include "api/chat.h"

#include <xxhash.h>

namespace gorsenotch::api {

double estimate_tokens(std::string_view text) {
    constexpr std::size_t kBytesPerToken = 4;
    const std::size_t tokens = (text.size() + kBytesPerToken - 1) / kBytesPerToken;
    return static_cast<double>(tokens);
}

std::uint64_t hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::size_t ChatRequest::memory() const {
    std::size_t bytes = messages.capacity() * sizeof(Message) + stop.capacity() * sizeof(std::string);
    for (const Message& message : messages) bytes += message.role.capacity() + message.text.capacity();
    for (const std::string& sequence : stop) bytes += sequence.capacity();
    return bytes + model.capacity() + user.capacity();
}

std::size_t ChatRequest::expected_answer_bytes() const {
    constexpr std::size_t kMaxBytesPerToken = 8;  // of scripts with three bytes a letter
    return kMaxBytesPerToken * static_cast<std::size_t>(max_tokens);
}

std::string ResponseWriter::begin() {
    if (begun_ || ended_) return ++ignored_calls_, std::string();
    begun_ = true;
    return on_begin();
}

std::string ResponseWriter::text(std::string_view piece) {
    if (ended_) return ++ignored_calls_, std::string();
    std::string out = begun_ ? std::string() : begin();
    return out + on_text(piece);
}

std::string ResponseWriter::finish(StopReason stop, const Usage& usage, const std::string& sequence) {
    if (ended_) return ++ignored_calls_, std::string();
    std::string out = begun_ ? std::string() : begin();
    ended_ = true;
    return out + on_finish(stop, usage, sequence);
}

std::string ResponseWriter::fail(const ApiError& error) {
    if (ended_) return ++ignored_calls_, std::string();
    ended_ = true;
    return on_fail(error);
}

std::string ResponseWriter::ping() {
    if (!begun_ || ended_) return ++ignored_calls_, std::string();
    return on_ping();
}

}  // namespace gorsenotch::api
