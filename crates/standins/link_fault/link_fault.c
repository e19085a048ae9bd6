/* Library for tests: the links from one process to the targets or to daemons can fail, in the ways of a network
 * partition.
 *
 * Loopback has no links that differ by process, so the library is loaded into the process under test and intercepts
 * its calls. Targets have the addresses 127.0.0.2 and up to 127.0.0.9, daemons 127.0.1.1 and up to 127.0.1.9, and the
 * store has 127.0.2.1 where its link can fail; all other addresses are not affected.
 *
 * Controlled by one byte in the file that LINK_FAULT names, so that a test can change the fault at any time:
 *   '-'  no fault
 *   'h'  new connections hang; on open ones nothing arrives in either direction, and what was sent is lost
 *   'r'  new connections are refused, open ones are reset
 *   'n'  new connections are refused, open ones work
 *   'p'  as 'h', only for targets with an even port
 *   'd'  as 'h', only for all daemons
 *   's'  as 'h', only for the store
 *   '1'  and up to '9': as 'h', only for the daemon at 127.0.1.1 and so on
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define MAX_FDS 65536
/* Values of `tracked`: not a connection whose link can fail, one to a target with an odd port, with an even port, one
 * to the store, and from DAEMON on those to daemons by the last number of their addresses. */
enum { OTHER = 0, ODD_PORT = 1, EVEN_PORT = 2, STORE = 3, DAEMON = 16 };

static volatile const char *fault;
static unsigned char tracked[MAX_FDS];
static struct sockaddr_in black_hole;

static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static ssize_t (*real_send)(int, const void *, size_t, int);
static ssize_t (*real_sendmsg)(int, const struct msghdr *, int);
static ssize_t (*real_writev)(int, const struct iovec *, int);
static ssize_t (*real_recv)(int, void *, size_t, int);
static int (*real_close)(int);

/* Binds a listener whose queue of new connections is full: the system drops further ones without an answer. */
static void open_black_hole(void) {
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    socklen_t length = sizeof black_hole;
    black_hole.sin_family = AF_INET;
    black_hole.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(listener, (struct sockaddr *)&black_hole, length);
    listen(listener, 0);
    getsockname(listener, (struct sockaddr *)&black_hole, &length);
    for (int i = 0; i < 4; i++) {
        int filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        real_connect(filler, (struct sockaddr *)&black_hole, length);
    }
}

__attribute__((constructor)) static void start(void) {
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_send = dlsym(RTLD_NEXT, "send");
    real_sendmsg = dlsym(RTLD_NEXT, "sendmsg");
    real_writev = dlsym(RTLD_NEXT, "writev");
    real_recv = dlsym(RTLD_NEXT, "recv");
    real_close = dlsym(RTLD_NEXT, "close");
    const char *path = getenv("LINK_FAULT");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *mapped = mmap(NULL, 1, PROT_READ, MAP_SHARED, file, 0);
    real_close(file);
    if (mapped == MAP_FAILED) return;
    open_black_hole();
    fault = mapped;
}

/* Returns the fault that holds for a connection. */
static char fault_of(int kind) {
    if (!fault || kind == OTHER) return '-';
    char code = *fault;
    int one_daemon = code >= '1' && code <= '9' ? DAEMON + code - '0' : OTHER;
    if (kind >= DAEMON) return code == 'd' || kind == one_daemon ? 'h' : '-';
    if (kind == STORE) return code == 's' ? 'h' : '-';
    if (code == 'd' || code == 's' || one_daemon != OTHER) return '-';
    if (code != 'p') return code;
    return kind == EVEN_PORT ? 'h' : '-';
}

static char fault_on(int fd) {
    return fd >= 0 && fd < MAX_FDS ? fault_of(tracked[fd]) : '-';
}

static int kind_of(const struct sockaddr *address) {
    if (address->sa_family != AF_INET) return OTHER;
    const struct sockaddr_in *to = (const struct sockaddr_in *)address;
    unsigned int host = ntohl(to->sin_addr.s_addr);
    if (host >= 0x7f000101u && host <= 0x7f000109u) return DAEMON + (int)(host & 0xffu);
    if (host == 0x7f000201u) return STORE;
    if (host < 0x7f000002u || host > 0x7f000009u) return OTHER;
    return ntohs(to->sin_port) % 2 ? ODD_PORT : EVEN_PORT;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int kind = kind_of(address);
    if (fd >= 0 && fd < MAX_FDS) tracked[fd] = kind;
    switch (fault_of(kind)) {
    case 'h':
        return real_connect(fd, (struct sockaddr *)&black_hole, sizeof black_hole);
    case 'r':
    case 'n':
        errno = ECONNREFUSED;
        return -1;
    default:
        return real_connect(fd, address, length);
    }
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    switch (fault_on(fd)) {
    case 'h':
        return (ssize_t)length;
    case 'r':
        errno = ECONNRESET;
        return -1;
    default:
        return real_send(fd, bytes, length, flags);
    }
}

static ssize_t length_of(const struct iovec *parts, size_t count) {
    ssize_t length = 0;
    for (size_t i = 0; i < count; i++) length += (ssize_t)parts[i].iov_len;
    return length;
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    switch (fault_on(fd)) {
    case 'h':
        return length_of(message->msg_iov, message->msg_iovlen);
    case 'r':
        errno = ECONNRESET;
        return -1;
    default:
        return real_sendmsg(fd, message, flags);
    }
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    switch (fault_on(fd)) {
    case 'h':
        return length_of(parts, (size_t)count);
    case 'r':
        errno = ECONNRESET;
        return -1;
    default:
        return real_writev(fd, parts, count);
    }
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    switch (fault_on(fd)) {
    case 'h':
        errno = EAGAIN;
        return -1;
    case 'r':
        errno = ECONNRESET;
        return -1;
    default:
        return real_recv(fd, bytes, length, flags);
    }
}

int close(int fd) {
    if (fd >= 0 && fd < MAX_FDS) tracked[fd] = OTHER;
    return real_close(fd);
}
