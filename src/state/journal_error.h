// Errors of reading a decision journal.
#pragma once

#include <stdexcept>
#include <string>

namespace gorsenotch::state {

// The kind of fault in a journal.
enum class JournalErrorCode {
    malformed_line,       // not a JSON object, or a field is missing or of another type
    number_out_of_range,  // a number outside its field's range
    unknown_value,        // a number that is no enumerator of its field's type
    unknown_event,
    missing_seed  // an event before the first line with a seed
};

// Thrown for a journal that cannot be replayed. The message that leaves replay() begins with the line number.
class JournalError : public std::runtime_error {
public:
    JournalError(JournalErrorCode code, const std::string& message)
        : std::runtime_error(message), code_(code) {}
    JournalErrorCode code() const { return code_; }

private:
    JournalErrorCode code_;
};

}  // namespace gorsenotch::state
