// A library that is preloaded into a process under test (LD_PRELOAD) and makes its system calls and its wall clock
// misbehave as told in a file of fixed layout that the soak maps and writes (FAULTS_FILE; see faults.mjs).
//
// The process does not know of it. Without FAULTS_FILE every call passes through. Errors are drawn by a generator of
// its own, seeded from the file. Only IPv4 sockets and, for disk calls, regular files are touched.
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

enum Call {
    ACCEPT, SOCKET, CONNECT, LISTEN, POLL, WAIT, READ, WRITE, READ_SHORT, WRITE_SHORT, CONNECT_HANG,
    OPEN_FILE, WRITE_FILE, SYNC_FILE, WRITE_DELAY, CONNECT_DELAY, CALLS
};

struct Fault {
    int32_t error;             // errno to return; the most bytes that pass a short call; ms that a slow one takes
    uint32_t per_65536;        // part of the calls that fail, of 65,536
    volatile uint32_t given;   // how many have failed
    volatile uint32_t calls;   // how many were made
};

struct Control {
    volatile int64_t wall_offset_ms;
    uint32_t seed;
    uint32_t unused;
    struct Fault faults[CALLS];
};

#define MOST_DESCRIPTORS 65536
static unsigned char connected[MOST_DESCRIPTORS];  // 1: an IPv4 stream socket that is no listener

static struct Control* control(void) {
    static struct Control* mapped = NULL;
    static int tried = 0;
    if (tried) return mapped;
    tried = 1;
    const char* name = getenv("FAULTS_FILE");
    if (!name) return NULL;
    static int (*real_open)(const char*, int, ...) = NULL;
    if (!real_open) real_open = dlsym(RTLD_NEXT, "open");
    const int fd = real_open(name, O_RDWR | O_CLOEXEC);
    if (fd < 0) return NULL;
    void* at = mmap(NULL, sizeof(struct Control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (at != MAP_FAILED) mapped = at;
    return mapped;
}

// The process ends with the soak that started it, however that ends.
__attribute__((constructor)) static void end_with_parent(void) {
    if (control()) prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static int fails(enum Call call) {
    struct Control* c = control();
    if (!c) return 0;
    struct Fault* f = &c->faults[call];
    __atomic_add_fetch(&f->calls, 1, __ATOMIC_RELAXED);
    if (f->per_65536 == 0) return 0;
    static uint32_t state = 0;
    uint32_t x = state ? state : c->seed | 1;
    x ^= x << 13, x ^= x >> 17, x ^= x << 5;
    state = x;
    if ((x & 0xffff) >= f->per_65536) return 0;
    __atomic_add_fetch(&f->given, 1, __ATOMIC_RELAXED);
    return f->error;
}

#define REAL(name) ({ static __typeof__(&name) real_; if (!real_) real_ = dlsym(RTLD_NEXT, #name); real_; })
#define FAIL_IF(call) do { const int e_ = fails(call); if (e_) { errno = e_; return -1; } } while (0)

// The process stands still between the clock that it has read and what it does by that.
static void stand_still(enum Call call) {
    const int ms = fails(call);
    if (ms > 0) usleep((useconds_t)ms * 1000);
}

static void mark(int fd, unsigned char what) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS) connected[fd] = what;
}
static int marked(int fd) { return fd >= 0 && fd < MOST_DESCRIPTORS && connected[fd]; }

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET) FAIL_IF(SOCKET);
    const int fd = REAL(socket)(domain, type, protocol);
    mark(fd, domain == AF_INET && (type & 0xf) == SOCK_STREAM);
    return fd;
}

int accept4(int listener, struct sockaddr* a, socklen_t* n, int flags) {
    const int e = fails(ACCEPT);
    if (e) {
        // The connection of an ECONNABORTED is gone; of the others it waits on.
        if (e == ECONNABORTED) {
            const int fd = REAL(accept4)(listener, a, n, flags);
            if (fd < 0) return fd;
            const struct linger now = {1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            REAL(close)(fd);
        }
        errno = e;
        return -1;
    }
    const int fd = REAL(accept4)(listener, a, n, flags);
    mark(fd, 1);
    return fd;
}
int accept(int listener, struct sockaddr* a, socklen_t* n) { return accept4(listener, a, n, 0); }

int close(int fd) {
    mark(fd, 0);
    return REAL(close)(fd);
}

int listen(int fd, int backlog) {
    FAIL_IF(LISTEN);
    mark(fd, 0);
    return REAL(listen)(fd, backlog);
}

// A listener whose queue is full: a connection to it never comes up.
static int full_listener(struct sockaddr_in* out) {
    static struct sockaddr_in address;
    static int made = 0;
    if (!made) {
        made = 1;
        const int l = REAL(socket)(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (l < 0 || bind(l, (struct sockaddr*)&address, size) || REAL(listen)(l, 0) ||
            getsockname(l, (struct sockaddr*)&address, &size)) {
            address.sin_port = 0;
            return 0;
        }
        for (int i = 0; i < 2; ++i) {
            const int c = REAL(socket)(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            if (c >= 0) REAL(connect)(c, (struct sockaddr*)&address, sizeof address);
        }
    }
    *out = address;
    return address.sin_port != 0;
}

int connect(int fd, const struct sockaddr* a, socklen_t n) {
    if (a && a->sa_family == AF_INET) {
        struct sockaddr_in full;
        FAIL_IF(CONNECT);
        stand_still(CONNECT_DELAY);
        if (fails(CONNECT_HANG) && full_listener(&full))
            return REAL(connect)(fd, (struct sockaddr*)&full, sizeof full);
    }
    return REAL(connect)(fd, a, n);
}

int poll(struct pollfd* p, nfds_t n, int timeout) {
    FAIL_IF(POLL);
    return REAL(poll)(p, n, timeout);
}

int epoll_pwait(int fd, struct epoll_event* events, int most, int timeout, const sigset_t* set) {
    FAIL_IF(WAIT);
    return REAL(epoll_pwait)(fd, events, most, timeout, set);
}
int epoll_wait(int fd, struct epoll_event* events, int most, int timeout) {
    FAIL_IF(WAIT);
    return REAL(epoll_wait)(fd, events, most, timeout);
}

// An error other than EINTR and EAGAIN ends a connection for both sides.
static int broken(int fd, enum Call call) {
    const int e = fails(call);
    if (e && e != EINTR && e != EAGAIN) {
        const struct linger now = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        shutdown(fd, SHUT_RDWR);
    }
    return e;
}

ssize_t read(int fd, void* to, size_t n) {
    if (marked(fd)) {
        const int e = broken(fd, READ);
        if (e) return errno = e, -1;
        const int most = fails(READ_SHORT);
        if (most > 0 && n > (size_t)most) n = (size_t)most;
    }
    return REAL(read)(fd, to, n);
}

static int regular(int fd) {
    struct stat s;
    return fd > 2 && fstat(fd, &s) == 0 && S_ISREG(s.st_mode);
}

ssize_t write(int fd, const void* from, size_t n) {
    if (marked(fd)) {
        stand_still(WRITE_DELAY);
        const int e = broken(fd, WRITE);
        if (e) return errno = e, -1;
        const int most = fails(WRITE_SHORT);
        if (most > 0 && n > (size_t)most) n = (size_t)most;
    } else if (regular(fd)) {
        FAIL_IF(WRITE_FILE);
    }
    return REAL(write)(fd, from, n);
}

ssize_t writev(int fd, const struct iovec* parts, int count) {
    if (marked(fd)) {
        const int e = broken(fd, WRITE);
        if (e) return errno = e, -1;
        if (count > 0 && fails(WRITE_SHORT) > 0) count = 1;
    } else if (regular(fd)) {
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

FILE* fopen(const char* name, const char* how) {
    const int e = strncmp(name, "/dev/", 5) != 0 && strncmp(name, "/proc/", 6) != 0 ? fails(OPEN_FILE) : 0;
    if (e) return errno = e, NULL;
    return REAL(fopen)(name, how);
}
FILE* fopen64(const char* name, const char* how) { return fopen(name, how); }

static int64_t wall_offset_ms(void) {
    const struct Control* c = control();
    return c ? c->wall_offset_ms : 0;
}

int clock_gettime(clockid_t which, struct timespec* t) {
    const int r = REAL(clock_gettime)(which, t);
    if (r == 0 && (which == CLOCK_REALTIME || which == CLOCK_REALTIME_COARSE)) {
        const int64_t ns = (int64_t)t->tv_nsec + wall_offset_ms() % 1000 * 1000000;
        t->tv_sec += wall_offset_ms() / 1000 + (ns >= 1000000000) - (ns < 0);
        t->tv_nsec = (ns + 1000000000) % 1000000000;
    }
    return r;
}
int gettimeofday(struct timeval* t, void* zone) {
    (void)zone;
    struct timespec s;
    const int r = clock_gettime(CLOCK_REALTIME, &s);
    t->tv_sec = s.tv_sec, t->tv_usec = s.tv_nsec / 1000;
    return r;
}
time_t time(time_t* out) {
    struct timespec s;
    clock_gettime(CLOCK_REALTIME, &s);
    if (out) *out = s.tv_sec;
    return s.tv_sec;
}
