#include "state/journal_replay.h"

#include <cstddef>
#include <cstdint>
#include <istream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "gorsenotch/router.h"
#include "state/action_codec.h"
#include "state/event_codec.h"
#include "state/journal_error.h"
#include "state/json_values.h"

namespace gorsenotch::state {
namespace {

using Json = nlohmann::json;

[[noreturn]] void throw_at_line(std::size_t line_number, JournalErrorCode code, const std::string& message) {
    throw JournalError(code, "line " + std::to_string(line_number) + ": " + message);
}

// Owns the Router of the run that is being replayed, and its actions for the latest event.
class Replayer {
public:
    explicit Replayer(const Settings& settings) : settings_(settings) {}

    // Handles one line, without its line end.
    void on_line(const std::string& line) {
        ++line_number_;
        const Json json = Json::parse(line, nullptr, false);
        check_torn_line(json);
        if (json.is_discarded()) {
            torn_line_ = line_number_;
            return;
        }
        try {
            dispatch(json, line);
        } catch (const JournalError& error) {
            throw_at_line(line_number_, error.code(), error.what());
        } catch (const std::exception& error) {
            throw_at_line(line_number_, JournalErrorCode::malformed_line, error.what());
        }
    }
    const ReplayResult& result() const { return result_; }

private:
    // A line may be torn only at the end of a run, so the next line must start a new run.
    void check_torn_line(const Json& next) {
        if (torn_line_ > 0 && !(next.is_object() && next.contains("seed")))
            throw_at_line(torn_line_, JournalErrorCode::malformed_line, "not a JSON object");
        torn_line_ = 0;
    }

    void dispatch(const Json& json, const std::string& line) {
        if (!json.is_object()) throw JournalError(JournalErrorCode::malformed_line, "not a JSON object");
        if (json.contains("seed")) {
            start_run(json);
        } else if (json.contains("e")) {
            on_event(json);
        } else {
            on_action(json, line);
        }
    }

    void start_run(const Json& json) {
        router_ = std::make_unique<Router>(settings_, to_integer<std::uint64_t>(json.at("seed")));
        actions_.clear();
        next_action_ = 0;
    }

    void on_event(const Json& json) {
        if (!router_)
            throw JournalError(JournalErrorCode::missing_seed, "event before the first line with a seed");
        if (next_action_ < actions_.size())
            report_difference("action only in the replay: " + action_to_json(actions_[next_action_]).dump());
        actions_.clear();
        next_action_ = 0;
        const Millis now = json.at("t");
        router_->handle(now, event_from_json(json), actions_);
        ++result_.events;
    }

    void on_action(const Json& json, const std::string& line) {
        ++result_.actions;
        if (next_action_ >= actions_.size()) {
            report_difference("action only in the journal: " + line);
        } else if (const Json replayed = action_to_json(actions_[next_action_]); replayed != json) {
            report_difference("journal has " + line + ", replay has " + replayed.dump());
        }
        ++next_action_;
    }

    void report_difference(const std::string& detail) {
        if (!result_.difference.empty()) return;
        result_.difference = "line " + std::to_string(line_number_) + ": " + detail;
    }

    const Settings& settings_;
    std::unique_ptr<Router> router_;
    std::vector<Action> actions_;  // of the latest event
    std::size_t next_action_ = 0;  // index in actions_ of the next action to compare
    std::size_t line_number_ = 0;  // from 1
    std::size_t torn_line_ = 0;    // number of the previous line if it was torn, else 0
    ReplayResult result_;
};

}  // namespace

ReplayResult replay(std::istream& journal, const Settings& settings) {
    Replayer replayer(settings);
    for (std::string line; std::getline(journal, line);) {
        // A last line without a line end was being written when the gateway was killed.
        if (journal.eof()) break;
        replayer.on_line(line);
    }
    return replayer.result();
}

}  // namespace gorsenotch::state
