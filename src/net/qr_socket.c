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
    char data[];
} PendingWrite;

static void write_done(uv_write_t *req, int status)
{
    (void)status; /* the read callback reports a broken connection */
    g_free(req);
}

int qr_socket_write(uv_tcp_t *tcp, const void *data, size_t len)
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
    memcpy(p->data, (const char *)data + sent, len - (size_t)sent);
    buf = uv_buf_init(p->data, (unsigned)(len - (size_t)sent));
    sent = uv_write(&p->req, (uv_stream_t *)tcp, &buf, 1, write_done);
    if (sent < 0)
        g_free(p);
    return sent;
}

void qr_socket_tune(uv_tcp_t *tcp, unsigned timeout_ms)
{
    uv_os_fd_t fd;

    uv_tcp_nodelay(tcp, 1);
    if (uv_fileno((uv_handle_t *)tcp, &fd) == 0)
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                   sizeof(timeout_ms));
}

bool qr_socket_closed_by_peer(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    char byte;

    return uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

size_t qr_socket_unacked(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    int bytes;

    if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
        ioctl(fd, SIOCOUTQ, &bytes) != 0 || bytes < 0)
        return 0; /* unknown: a dead connection is also detected by other means
                   */
    return (size_t)bytes;
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
