// Persists a text in two generations on disk, each with its length and checksum.
//
// At every moment during save() at least one generation is readable: the new one is written to a temporary
// file and synced before it replaces the older one. load() returns the newest intact generation; a torn or
// damaged one is skipped and reported.
//
// Ownership: the two files and the temporary file belong to one store. Not thread-safe.
// The file format is stored data.
#pragma once

#include <optional>
#include <string>

namespace gorsenotch::state {

// The kind of a snapshot error.
enum class SnapshotErrorCode {
    damaged_generation,  // one or both files were skipped
    // A system call failed. load() returns the previously saved text, or the new one if only the sync of the
    // folder failed.
    write_failed
};

// A failed save or a skipped generation.
struct SnapshotError {
    SnapshotErrorCode code;
    std::string message;  // the file and its fault
};

// The newest intact generation, if there is one, and the damaged ones.
struct LoadedSnapshot {
    std::optional<std::string> text;     // nullopt if no generation is intact
    std::optional<SnapshotError> error;  // names the skipped files; nullopt if none was skipped
};

// Stores one text in two generations on disk. Owns both files and takes no locks: use one writer at a time.
class SnapshotStore {
public:
    // `folder` must exist; the files in it are `name`.a and `name`.b.
    SnapshotStore(std::string folder, std::string name);

    // Returns nullopt once the text is synced to disk, else the error.
    [[nodiscard]] std::optional<SnapshotError> save(const std::string& text);
    // Returns the newest intact generation and reports damaged ones. A file that cannot be opened counts as
    // missing and is not reported.
    LoadedSnapshot load() const;

private:
    // One of the two files, by its extension; it holds one generation.
    enum class Slot : char { first = 'a', second = 'b' };
    struct Generation {
        unsigned long number = 0;  // counts the saves; 0: the file is missing, unreadable or damaged
        std::string text;
        std::string fault;
    };
    Generation read(Slot slot) const;
    std::string path(Slot slot) const;

    std::string folder_;
    std::string name_;
};

}  // namespace gorsenotch::state
