// Parses one line of the simulator's wire protocol: a word and its fields, separated by tabs.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "settings/text_values.h"

namespace gorsenotch::simulator_adapter {

// Thrown on malformed input. The text names the reason; Session::run() prepends the line number.
struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The parts of `text` between separators, including empty parts.
std::vector<std::string> split(const std::string& text, char separator);

// Converts the complete text to a number, or "-" to `absent`. Throws WireError otherwise.
template <class Number>
Number parse_number(const std::string& text, Number absent = 0) {
    if (text == "-") return absent;
    const auto value = settings::to_number<Number>(text);
    if (!value) throw WireError("expected a number or '-', got '" + text + "'");
    return *value;
}

// A parsed line. Field 0 is the word. All accessors throw WireError if the field is missing or malformed.
class Message {
public:
    explicit Message(const std::string& line) : fields_(split(line, '\t')) {}

    const std::string& word() const { return fields_[0]; }
    bool empty() const { return fields_.size() == 1 && fields_[0].empty(); }
    std::size_t size() const { return fields_.size(); }

    const std::string& text(std::size_t field) const;
    double number(std::size_t field, double absent = 0) const {
        return parse_number<double>(text(field), absent);
    }
    template <class Integer>
    Integer integer(std::size_t field) const {
        return parse_number<Integer>(text(field));
    }
    bool flag(std::size_t field) const;
    AttemptResult result(std::size_t field) const;
    EndpointStatus status(std::size_t field) const;
    EndpointUpdate::Kind update_kind(std::size_t field) const;
    LoadReport load_report(std::size_t field) const;

private:
    std::vector<std::string> fields_;
};

}  // namespace gorsenotch::simulator_adapter
