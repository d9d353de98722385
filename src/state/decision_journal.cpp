#include "state/decision_journal.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "state/action_codec.h"
#include "state/event_codec.h"

namespace gorsenotch::state {
namespace {

using Json = nlohmann::json;

// Whether the file's last line is incomplete, as after a run that was killed during a write.
bool has_torn_last_line(const std::string& file) {
    std::ifstream existing(file, std::ios::binary | std::ios::ate);
    return existing && existing.tellg() > 0 && existing.seekg(-1, std::ios::end).get() != '\n';
}

// Appends a seed line, then one line per event and action. Ends an incomplete last line first, and writes
// nothing after a failed write.
class Journal : public DecisionObserver {
public:
    Journal(const std::string& file, std::uint64_t seed,
            std::function<void(const std::string&)> on_write_failed)
        : file_(file), on_write_failed_(std::move(on_write_failed)) {
        const bool torn = has_torn_last_line(file);
        out_.open(file, std::ios::app);
        if (torn) out_ << '\n';
        out_ << Json{{"seed", seed}}.dump() << '\n';
    }
    bool good() const { return out_.good(); }

    void on_event(Millis now, const Event& event) override {
        Json line = event_to_json(event);
        line["t"] = now;
        write(line);
    }
    void on_action(const Action& action) override { write(action_to_json(action)); }

private:
    void write(const Json& line) {
        if (!out_) return;
        out_ << line.dump() << '\n';
        if (!out_ && on_write_failed_)
            on_write_failed_(file_ + ": write failed, no further events are recorded");
    }

    const std::string file_;
    const std::function<void(const std::string&)> on_write_failed_;
    std::ofstream out_;
};

}  // namespace

std::unique_ptr<DecisionObserver> open_journal(const std::string& file, std::uint64_t seed,
                                               std::function<void(const std::string&)> on_write_failed) {
    auto journal = std::make_unique<Journal>(file, seed, std::move(on_write_failed));
    if (!journal->good()) return nullptr;
    return journal;
}

}  // namespace gorsenotch::state
