// One line of the simulator's wire: a word and fields, separated by tabs.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "gorsenotch/events.h"
#include "gorsenotch/settings.h"
#include "settings/text_values.h"

namespace gorsenotch::simulator_adapter {

// Malformed input; the text names the reason and, once it leaves the session, the line.
struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::vector<std::string> split(const std::string& text, char separator);

// All of the text as a number, "-" as `absent`. Throws WireError otherwise.
template <class Number>
Number parse_number(const std::string& text, Number absent = 0) {
    if (text == "-") return absent;
    const auto value = settings::to_number<Number>(text);
    if (!value) throw WireError("bad number '" + text + "'");
    return *value;
}

// Fields are counted from 0, the word. All readers throw WireError where a field is missing or malformed.
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
