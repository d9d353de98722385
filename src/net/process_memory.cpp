#include "net/process_memory.h"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <cstdio>

namespace gorsenotch::net {
namespace {

// Blocks from this size on are mapped by themselves. By default the allocator raises the size to that of the
// largest block ever freed, so that after one burst of large requests their memory stays in the heap.
constexpr int kMappedBlockBytes = 64 * 1024;

}  // namespace

void return_large_blocks_at_once() { mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes); }

HeapSize heap_size() {
    const auto heap = mallinfo2();
    return {heap.uordblks + heap.hblkhd, heap.fordblks};
}

void return_free_heap() { malloc_trim(0); }

std::size_t resident_bytes() {
    const int fd = ::open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
    if (fd < 0) return 0;
    char text[128];
    const ssize_t size = ::read(fd, text, sizeof text - 1);
    ::close(fd);
    if (size <= 0) return 0;
    text[size] = 0;
    unsigned long total_pages = 0;
    unsigned long resident_pages = 0;
    if (std::sscanf(text, "%lu %lu", &total_pages, &resident_pages) != 2) return 0;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace gorsenotch::net
