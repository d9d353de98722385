// A text that must survive this process: two generations on disk, each with its length and checksum.
//
// save() never leaves a moment in which neither generation can be read: the new one is written aside and
// synced before it replaces the older. load() gives the newest generation that is intact; a torn or damaged
// one is passed over and reported.
//
// Ownership: the two files and a temporary one belong to one store. Not for use by two threads at once.
// The file format is stored data.
#pragma once

#include <optional>
#include <string>

namespace gorsenotch::state {

// What went wrong with a snapshot.
enum class SnapshotErrorCode {
    damaged_generation,  // one or both files were passed over
    write_failed         // the system refused; what was saved before stays
};

// A failed save, or a generation that was passed over; the message says which.
struct SnapshotError {
    SnapshotErrorCode code;
    std::string message;  // the file and what is wrong
};

// The newest intact generation, if there is one, and what was passed over.
struct LoadedSnapshot {
    std::optional<std::string> text;     // nothing if no generation is intact
    std::optional<SnapshotError> error;  // names what was passed over; nothing if nothing was
};

// One text in two generations on disk. Owns both files; no locks: one writer at a time.
class SnapshotStore {
public:
    // `folder` must exist; the files are `name`.a and `name`.b there.
    SnapshotStore(std::string folder, std::string name);

    // Nothing if the text is on disk, else why not.
    [[nodiscard]] std::optional<SnapshotError> save(const std::string& text);
    LoadedSnapshot load() const;

private:
    enum class Slot : char { first = 'a', second = 'b' };  // the files' endings
    struct Generation {
        unsigned long number = 0;  // 0: there is none
        std::string text;
        std::string fault;
    };
    Generation read(Slot slot) const;
    std::string path(Slot slot) const;

    std::string folder_;
    std::string name_;
};

}  // namespace gorsenotch::state
