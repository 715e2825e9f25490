/*
 * Small helpers for TCP on a libuv loop.
 */
#ifndef QR_SOCKET_H
#define QR_SOCKET_H

#include "base/qr_base.h"

#include <uv.h>

/*
 * Writes now what the kernel takes and queues a copy of the rest. Returns a
 * negative libuv error if the connection is broken.
 */
int qr_socket_write(uv_tcp_t *tcp, const void *data, size_t len);
/* No delay; a peer that is silent for 'silent_ms' breaks the connection. */
void qr_socket_tune(uv_tcp_t *tcp, unsigned silent_ms);
/*
 * Whether the peer ended the connection in order. libuv reports a reset that
 * comes right behind data as an end of file.
 */
bool qr_socket_ended(const uv_tcp_t *tcp);
/* Bytes given to the kernel that the peer's has not acknowledged. */
size_t qr_socket_unacked(const uv_tcp_t *tcp);
/* One buffer for all reads of a thread: data is consumed before the next. */
void qr_socket_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buf);
/* "ip:port" as a socket address; false if it is none. */
bool qr_socket_address(const char *text, struct sockaddr_in *out);

#endif
