// Fault library, preloaded into a process under test (LD_PRELOAD): makes its system calls fail and shifts its wall clock, as
// configured in a control file of fixed layout (FAULTS_FILE) that the tests write (see faults.mjs).
//
// The process needs no changes. Without FAULTS_FILE every call passes through. Faults are drawn by a generator of the library,
// seeded from the file. Only IPv4 sockets and, for disk calls, regular files are affected.
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

// System calls and the ways they can fail; the order is that of CALLS in faults.mjs.
enum Call {
    ACCEPT, SOCKET, CONNECT, LISTEN, POLL, WAIT, READ, WRITE, READ_SHORT, WRITE_SHORT, CONNECT_HANG,
    OPEN_FILE, WRITE_FILE, SYNC_FILE, WRITE_DELAY, CONNECT_DELAY, CALL_COUNT
};

struct Fault {
    int32_t error;                    // errno to return; maximum bytes of a short call; ms of a delayed call
    uint32_t failures_per_65536;      // of 65,536 calls, how many fail
    volatile uint32_t failure_count;  // calls that have failed
    volatile uint32_t call_count;     // calls made
};

// The control file.
struct Control {
    volatile int64_t wall_offset_ms;
    uint32_t seed;
    uint32_t unused;
    struct Fault faults[CALL_COUNT];
};

#define MAX_DESCRIPTORS 65536
static unsigned char stream_sockets[MAX_DESCRIPTORS];  // 1: an IPv4 stream socket that does not listen

// Maps the control file; NULL without one.
static struct Control* control(void) {
    static struct Control* mapped = NULL;
    static int initialized = 0;
    if (initialized) return mapped;
    initialized = 1;
    const char* name = getenv("FAULTS_FILE");
    if (!name) return NULL;
    static int (*real_open)(const char*, int, ...) = NULL;
    if (!real_open) real_open = dlsym(RTLD_NEXT, "open");
    const int fd = real_open(name, O_RDWR | O_CLOEXEC);
    if (fd < 0) return NULL;
    void* mapping = mmap(NULL, sizeof(struct Control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapping != MAP_FAILED) mapped = mapping;
    return mapped;
}

// Kills the process when the test that started it exits, for whatever reason.
__attribute__((constructor)) static void end_with_parent(void) {
    if (control()) prctl(PR_SET_PDEATHSIG, SIGKILL);
}

// Draws whether a call fails. Returns the configured errno, byte count or delay, or 0.
static int draw_fault(enum Call call) {
    struct Control* ctl = control();
    if (!ctl) return 0;
    struct Fault* fault = &ctl->faults[call];
    __atomic_add_fetch(&fault->call_count, 1, __ATOMIC_RELAXED);
    if (fault->failures_per_65536 == 0) return 0;
    static uint32_t state = 0;
    uint32_t draw = state ? state : ctl->seed | 1;
    draw ^= draw << 13, draw ^= draw >> 17, draw ^= draw << 5;
    state = draw;
    if ((draw & 0xffff) >= fault->failures_per_65536) return 0;
    __atomic_add_fetch(&fault->failure_count, 1, __ATOMIC_RELAXED);
    return fault->error;
}

#define REAL(name) ({ static __typeof__(&name) real_; if (!real_) real_ = dlsym(RTLD_NEXT, #name); real_; })
#define FAIL_IF(call) do { const int e_ = draw_fault(call); if (e_) { errno = e_; return -1; } } while (0)

// Delays a call, so that the clock value the process acts on is out of date.
static void delay_call(enum Call call) {
    const int ms = draw_fault(call);
    if (ms > 0) usleep((useconds_t)ms * 1000);
}

static void set_stream_socket(int fd, unsigned char value) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS) stream_sockets[fd] = value;
}
static int is_stream_socket(int fd) { return fd >= 0 && fd < MAX_DESCRIPTORS && stream_sockets[fd]; }

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET) FAIL_IF(SOCKET);
    const int fd = REAL(socket)(domain, type, protocol);
    set_stream_socket(fd, domain == AF_INET && (type & 0xf) == SOCK_STREAM);
    return fd;
}

int accept4(int listener, struct sockaddr* address, socklen_t* size, int flags) {
    const int error = draw_fault(ACCEPT);
    if (error) {
        // ECONNABORTED means that the connection is lost; after the other errors it stays in the queue.
        if (error == ECONNABORTED) {
            const int fd = REAL(accept4)(listener, address, size, flags);
            if (fd < 0) return fd;
            const struct linger immediately = {1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
            REAL(close)(fd);
        }
        errno = error;
        return -1;
    }
    const int fd = REAL(accept4)(listener, address, size, flags);
    set_stream_socket(fd, 1);
    return fd;
}
int accept(int listener, struct sockaddr* address, socklen_t* size) { return accept4(listener, address, size, 0); }

int close(int fd) {
    set_stream_socket(fd, 0);
    return REAL(close)(fd);
}

int listen(int fd, int backlog) {
    FAIL_IF(LISTEN);
    set_stream_socket(fd, 0);
    return REAL(listen)(fd, backlog);
}

// Returns the address of a listener with a full queue: a connection to it is never established.
static int hanging_listener(struct sockaddr_in* out) {
    static struct sockaddr_in address;
    static int created = 0;
    if (!created) {
        created = 1;
        const int listener = REAL(socket)(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (listener < 0 || bind(listener, (struct sockaddr*)&address, size) || REAL(listen)(listener, 0) ||
            getsockname(listener, (struct sockaddr*)&address, &size)) {
            address.sin_port = 0;
            return 0;
        }
        for (int i = 0; i < 2; ++i) {
            const int client = REAL(socket)(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            if (client >= 0) REAL(connect)(client, (struct sockaddr*)&address, sizeof address);
        }
    }
    *out = address;
    return address.sin_port != 0;
}

int connect(int fd, const struct sockaddr* address, socklen_t size) {
    if (address && address->sa_family == AF_INET) {
        struct sockaddr_in hanging;
        FAIL_IF(CONNECT);
        delay_call(CONNECT_DELAY);
        if (draw_fault(CONNECT_HANG) && hanging_listener(&hanging))
            return REAL(connect)(fd, (struct sockaddr*)&hanging, sizeof hanging);
    }
    return REAL(connect)(fd, address, size);
}

int poll(struct pollfd* descriptors, nfds_t count, int timeout) {
    FAIL_IF(POLL);
    return REAL(poll)(descriptors, count, timeout);
}

int epoll_pwait(int fd, struct epoll_event* events, int max_events, int timeout, const sigset_t* set) {
    FAIL_IF(WAIT);
    return REAL(epoll_pwait)(fd, events, max_events, timeout, set);
}
int epoll_wait(int fd, struct epoll_event* events, int max_events, int timeout) {
    FAIL_IF(WAIT);
    return REAL(epoll_wait)(fd, events, max_events, timeout);
}

// Draws an error for a connection. An error other than EINTR and EAGAIN ends it for both sides.
static int draw_connection_error(int fd, enum Call call) {
    const int error = draw_fault(call);
    if (error && error != EINTR && error != EAGAIN) {
        const struct linger immediately = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
        shutdown(fd, SHUT_RDWR);
    }
    return error;
}

ssize_t read(int fd, void* buffer, size_t size) {
    if (is_stream_socket(fd)) {
        const int error = draw_connection_error(fd, READ);
        if (error) return errno = error, -1;
        const int max_bytes = draw_fault(READ_SHORT);
        if (max_bytes > 0 && size > (size_t)max_bytes) size = (size_t)max_bytes;
    }
    return REAL(read)(fd, buffer, size);
}

static int is_regular_file(int fd) {
    struct stat status;
    return fd > 2 && fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

ssize_t write(int fd, const void* buffer, size_t size) {
    if (is_stream_socket(fd)) {
        delay_call(WRITE_DELAY);
        const int error = draw_connection_error(fd, WRITE);
        if (error) return errno = error, -1;
        const int max_bytes = draw_fault(WRITE_SHORT);
        if (max_bytes > 0 && size > (size_t)max_bytes) size = (size_t)max_bytes;
    } else if (is_regular_file(fd)) {
        FAIL_IF(WRITE_FILE);
    }
    return REAL(write)(fd, buffer, size);
}

ssize_t writev(int fd, const struct iovec* parts, int count) {
    if (is_stream_socket(fd)) {
        const int error = draw_connection_error(fd, WRITE);
        if (error) return errno = error, -1;
        if (count > 0 && draw_fault(WRITE_SHORT) > 0) count = 1;
    } else if (is_regular_file(fd)) {
        FAIL_IF(WRITE_FILE);
    }
    return REAL(writev)(fd, parts, count);
}

int fsync(int fd) {
    FAIL_IF(SYNC_FILE);
    return REAL(fsync)(fd);
}
int fdatasync(int fd) {
    FAIL_IF(SYNC_FILE);
    return REAL(fdatasync)(fd);
}

int open(const char* name, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, int) : 0;
    va_end(rest);
    if (strncmp(name, "/dev/", 5) != 0 && strncmp(name, "/proc/", 6) != 0) FAIL_IF(OPEN_FILE);
    return REAL(open)(name, flags, mode);
}

FILE* fopen(const char* name, const char* mode) {
    const int error = strncmp(name, "/dev/", 5) != 0 && strncmp(name, "/proc/", 6) != 0 ? draw_fault(OPEN_FILE) : 0;
    if (error) return errno = error, NULL;
    return REAL(fopen)(name, mode);
}
FILE* fopen64(const char* name, const char* mode) { return fopen(name, mode); }

static int64_t wall_offset_ms(void) {
    const struct Control* ctl = control();
    return ctl ? ctl->wall_offset_ms : 0;
}

int clock_gettime(clockid_t clock, struct timespec* now) {
    const int result = REAL(clock_gettime)(clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        const int64_t ns = (int64_t)now->tv_nsec + wall_offset_ms() % 1000 * 1000000;
        now->tv_sec += wall_offset_ms() / 1000 + (ns >= 1000000000) - (ns < 0);
        now->tv_nsec = (ns + 1000000000) % 1000000000;
    }
    return result;
}
int gettimeofday(struct timeval* now, void* zone) {
    (void)zone;
    struct timespec spec;
    const int result = clock_gettime(CLOCK_REALTIME, &spec);
    now->tv_sec = spec.tv_sec, now->tv_usec = spec.tv_nsec / 1000;
    return result;
}
time_t time(time_t* out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out) *out = now.tv_sec;
    return now.tv_sec;
}
