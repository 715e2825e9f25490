/*
 * Helpers for TCP sockets on a libuv loop.
 */
#include "qr_socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define READ_BUFFER_BYTES 65536

typedef struct PendingWrite {
    uv_write_t req;
    int *error; /* or NULL */
    char data[];
} PendingWrite;

static void write_done(uv_write_t *req, int status)
{
    PendingWrite *p = (PendingWrite *)req;

    if (status < 0 && p->error)
        *p->error = status;
    g_free(p);
}

static int socket_write(uv_tcp_t *tcp, const void *data, size_t len, int *error)
{
    uv_buf_t buf = uv_buf_init((char *)data, (unsigned)len);
    PendingWrite *p;
    int sent = 0;

    if (len == 0)
        return 0;
    if (uv_stream_get_write_queue_size((uv_stream_t *)tcp) == 0)
        sent = uv_try_write((uv_stream_t *)tcp, &buf, 1);
    if (sent == UV_EAGAIN)
        sent = 0;
    if (sent < 0)
        return sent;
    if ((size_t)sent == len)
        return 0;
    p = g_malloc(sizeof(*p) + len - (size_t)sent);
    p->error = error;
    memcpy(p->data, (const char *)data + sent, len - (size_t)sent);
    buf = uv_buf_init(p->data, (unsigned)(len - (size_t)sent));
    sent = uv_write(&p->req, (uv_stream_t *)tcp, &buf, 1, write_done);
    if (sent < 0)
        g_free(p);
    return sent;
}

/* The read callback reports a broken connection. */
int qr_socket_write(uv_tcp_t *tcp, const void *data, size_t len)
{
    return socket_write(tcp, data, len, NULL);
}

/* The rest of a request: a copy of its first bytes, and a reference to the
   body. */
typedef struct PendingRequest {
    uv_write_t req;
    int *error;
    QRBody *body;
    char data[];
} PendingRequest;

static void request_done(uv_write_t *req, int status)
{
    PendingRequest *p = (PendingRequest *)req;

    if (status < 0)
        *p->error = status;
    qr_body_unref(p->body);
    g_free(p);
}

/* Fills 'bufs' with the head and the segments of the body. */
static void request_buffers(uv_buf_t *bufs, const void *data, size_t len,
                            const QRBody *body)
{
    bufs[0] = uv_buf_init((char *)data, (unsigned)len);
    for (unsigned i = 0; i < qr_body_segments(body); i++) {
        const QRBodySegment *s = qr_body_segment(body, i);

        bufs[i + 1] = uv_buf_init(s->data, (unsigned)s->len);
    }
}

int qr_socket_write_request(uv_tcp_t *tcp, const void *data, size_t len,
                            QRBody *body, int *error)
{
    unsigned n = body ? qr_body_segments(body) + 1 : 1, first = 0;
    g_autofree uv_buf_t *bufs = g_new(uv_buf_t, n);
    size_t sent = 0, rest;
    PendingRequest *p;
    int rc = 0;

    if (!body)
        return socket_write(tcp, data, len, error);
    request_buffers(bufs, data, len, body);
    if (uv_stream_get_write_queue_size((uv_stream_t *)tcp) == 0)
        rc = uv_try_write((uv_stream_t *)tcp, bufs, n);
    if (rc < 0 && rc != UV_EAGAIN)
        return rc;
    sent = rc > 0 ? (size_t)rc : 0;
    if (sent == len + qr_body_len(body))
        return 0;
    while (first < n && sent >= bufs[first].len)
        sent -= bufs[first++].len;
    bufs[first].base += sent;
    bufs[first].len -= sent;
    rest = first == 0 ? bufs[0].len : 0;
    p = g_malloc(sizeof(*p) + rest);
    p->error = error;
    p->body = qr_body_ref(body);
    if (rest > 0) {
        memcpy(p->data, bufs[0].base, rest);
        bufs[0].base = p->data;
    }
    rc = uv_write(&p->req, (uv_stream_t *)tcp, bufs + first, n - first,
                  request_done);
    if (rc < 0)
        request_done(&p->req, rc);
    return rc;
}

void qr_socket_tune(uv_tcp_t *tcp, unsigned timeout_ms)
{
    uv_os_fd_t fd;

    uv_tcp_nodelay(tcp, 1);
    if (uv_fileno((uv_handle_t *)tcp, &fd) == 0)
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                   sizeof(timeout_ms));
}

void qr_socket_keep_alive(uv_tcp_t *tcp)
{
    int on = 1, interval_s = 1;
    uv_os_fd_t fd;

    if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
        return;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof(interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
}

/* A number of bytes that the kernel tells of a socket; 0 if unknown. */
static size_t socket_bytes(const uv_tcp_t *tcp, unsigned long request)
{
    uv_os_fd_t fd;
    int bytes;

    if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
        ioctl(fd, request, &bytes) != 0 || bytes < 0)
        return 0;
    return (size_t)bytes;
}

void qr_socket_set_receive_buffer(uv_tcp_t *tcp, int bytes)
{
    int clamp = 2 * bytes; /* the kernel doubles the size of the buffer, too */
    uv_os_fd_t fd;

    if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
        return;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    /* else the window stays within the buffer that the connection opened with
     */
    setsockopt(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &clamp, sizeof(clamp));
}

size_t qr_socket_unacked(const uv_tcp_t *tcp)
{
    /* a dead connection is also detected by other means */
    return socket_bytes(tcp, SIOCOUTQ);
}

bool qr_socket_closed_by_peer(const uv_tcp_t *tcp)
{
    int error = 0;
    socklen_t len = sizeof(error);
    uv_os_fd_t fd;
    char byte;

    return uv_stream_get_write_queue_size((const uv_stream_t *)tcp) == 0 &&
           qr_socket_unacked(tcp) == 0 &&
           uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 &&
           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0 &&
           error == 0;
}

void qr_socket_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static __thread char data[READ_BUFFER_BYTES];

    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(data, sizeof(data));
}

bool qr_socket_address(const char *text, struct sockaddr_in *out)
{
    g_autofree char *ip = NULL;
    int port;

    if (qr_parse_address(text, &ip, &port, NULL) != 0)
        return false;
    return uv_ip4_addr(ip, port, out) == 0;
}
