// The memory of this process, as the system and the allocator see it.
#pragma once

#include <cstddef>

namespace gorsenotch::net {

// Makes the allocator give large blocks back to the system as soon as they are freed. To be called once, at
// the start of the process.
void return_large_blocks_at_once();

// Bytes of the heap.
struct HeapSize {
    std::size_t used = 0;
    std::size_t free = 0;  // kept by the allocator for further use
};
HeapSize heap_size();

// Gives free heap memory back to the system.
void return_free_heap();

// Resident bytes of this process, with files that it maps; 0 if the system does not tell.
std::size_t resident_bytes();

}  // namespace gorsenotch::net
