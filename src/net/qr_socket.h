/*
 * Helpers for TCP sockets on a libuv loop.
 */
#ifndef QR_SOCKET_H
#define QR_SOCKET_H

#include "qr_body.h"

#include <uv.h>

/*
 * Writes as much as the kernel accepts and queues a copy of the rest. Returns
 * 0, or a negative libuv error if the connection is broken.
 */
int qr_socket_write(uv_tcp_t *tcp, const void *data, size_t len);
/*
 * The same for 'data' and a body behind it. What is queued of the body refers
 * to it and is not copied. 'body' may be NULL. If writing what was queued
 * fails,
 * '*error' is set to the libuv error; it must live until 'tcp' is closed.
 */
int qr_socket_write_request(uv_tcp_t *tcp, const void *data, size_t len,
                            QRBody *body, int *error);
/* Disables Nagle's algorithm. The connection breaks if sent bytes remain
   unacknowledged for 'timeout_ms'. */
void qr_socket_tune(uv_tcp_t *tcp, unsigned timeout_ms);
/* Probes the peer each second while the connection is idle. The connection
   breaks if the probes stay unanswered for the time set by qr_socket_tune(). */
void qr_socket_keep_alive(uv_tcp_t *tcp);
/*
 * Whether the peer closed the connection with FIN, no reset has followed, and
 * its kernel has received all that was written. libuv reports a reset that
 * directly follows data as an end of file, and so does the kernel once a failed
 * write has reported the reset.
 */
bool qr_socket_closed_by_peer(const uv_tcp_t *tcp);
/* Sets the receive buffer, in bytes of payload: the kernel may hold half as
   much again. */
void qr_socket_set_receive_buffer(uv_tcp_t *tcp, int bytes);
/* Bytes passed to the kernel that the peer's kernel has not acknowledged; 0 if
   unknown. */
size_t qr_socket_unacked(const uv_tcp_t *tcp);
/* Allocation callback for uv_read_start(). All reads of a thread share one
   buffer, which the read callback must consume before it returns. */
void qr_socket_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buf);
/* Parses "ip:port" (IPv4); returns false if 'text' is not a valid address. */
bool qr_socket_address(const char *text, struct sockaddr_in *out);

#endif
