// What is wrong with a journal that cannot be replayed.
#pragma once

#include <stdexcept>
#include <string>

namespace gorsenotch::state {

// What is wrong with a journal.
enum class JournalErrorCode {
    malformed_line,       // not a JSON object, or a field is missing or of another type
    number_out_of_range,  // a number that its field cannot hold
    unknown_value,        // no such enumerator
    unknown_event,
    missing_seed  // an event before the line that starts a Router
};

// A journal that cannot be written or replayed; the message names the file or line.
class JournalError : public std::runtime_error {
public:
    JournalError(JournalErrorCode code, const std::string& message)
        : std::runtime_error(message), code_(code) {}
    JournalErrorCode code() const { return code_; }

private:
    JournalErrorCode code_;
};

}  // namespace gorsenotch::state
