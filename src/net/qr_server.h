/*
 * HTTP/1.1 server on a libuv loop: one exchange at a time on a connection.
 */
#ifndef QR_SERVER_H
#define QR_SERVER_H

#include "qr_message.h"

#include <uv.h>

typedef struct QRServer QRServer;
typedef struct QRExchange QRExchange;

/* Bounds on what a caller may send. Times in ms. */
typedef struct QRServerLimits {
    size_t head_max, body_max;
    uint32_t head_timeout_ms; /* from the first byte to the end of the head */
    uint32_t idle_timeout_ms; /* between two requests */
    unsigned connections_max;
} QRServerLimits;

typedef struct QRServerHandlers {
    /* A whole request came. It is answered now or later. */
    void (*request)(void *owner, QRExchange *x);
    /* The caller left, or the connection broke, before the answer's end. */
    void (*disconnected)(void *owner, QRExchange *x, const char *why);
} QRServerHandlers;

/* Listens on "ip:port". Returns NULL and sets 'err' if it cannot. */
QRServer *qr_server_new(uv_loop_t *loop, const char *address,
                        const QRServerHandlers *handlers, void *owner,
                        GError **err);
void qr_server_set_limits(QRServer *s, const QRServerLimits *limits);
/* Takes no further connection; those that are open go on. */
void qr_server_stop_listening(QRServer *s);
/* From now on, answers ask callers to open a new connection elsewhere. */
void qr_server_drain(QRServer *s);
/* Closes connections that carry no request, nor an answer that is still being
   read. Returns those that are left. */
unsigned qr_server_close_idle(QRServer *s);
/* Looks at time-outs; to be called a few times a second. */
void qr_server_tick(QRServer *s, uint64_t now_ms);
unsigned qr_server_connections(const QRServer *s);
void qr_server_close(QRServer *s);

const char *qr_exchange_method(const QRExchange *x);
const char *qr_exchange_target(const QRExchange *x);
const QRHeaders *qr_exchange_headers(const QRExchange *x);
const GByteArray *qr_exchange_body(const QRExchange *x);
uint64_t qr_exchange_arrived_ms(const QRExchange *x);
void qr_exchange_set_data(QRExchange *x, void *data);
void *qr_exchange_data(const QRExchange *x);

/* A whole answer. 'headers' may be NULL. */
void qr_exchange_reply(QRExchange *x, unsigned status, const QRHeaders *headers,
                       const void *body, size_t len);
/* An answer of unknown length: start, write any number of times, end. */
void qr_exchange_start(QRExchange *x, unsigned status,
                       const QRHeaders *headers);
void qr_exchange_write(QRExchange *x, const void *data, size_t len);
void qr_exchange_end(QRExchange *x);
/* Cuts the answer so that it cannot look whole. 'gone' is not called. */
void qr_exchange_abort(QRExchange *x);
/* Bytes written and not yet taken by the kernel. */
size_t qr_exchange_unsent(const QRExchange *x);

#endif
