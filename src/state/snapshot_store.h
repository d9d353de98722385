// A text that must survive this process: two generations on disk, each with its length and checksum.
//
// save() never leaves a moment in which neither generation can be read: the new one is written aside and
// synced before it takes the place of the older. load() gives the newest generation that is whole; a torn or
// damaged one is passed over, and said so.
#pragma once

#include <optional>
#include <string>

namespace gorsenotch::state {

class SnapshotStore {
public:
    // `folder` must exist; the files are `name`.a and `name`.b there.
    SnapshotStore(std::string folder, std::string name);

    // False and `why` if the system refused; what was saved before stays.
    bool save(const std::string& text, std::string& why);
    // Nothing if no generation is whole. `why` names what was passed over; empty: nothing was.
    std::optional<std::string> load(std::string& why) const;

private:
    struct Generation {
        unsigned long number = 0;  // 0: there is none
        std::string text, fault;
    };
    Generation read(char which) const;
    std::string file(char which) const { return folder_ + "/" + name_ + "." + which; }
    std::string folder_, name_;
};

}  // namespace gorsenotch::state
