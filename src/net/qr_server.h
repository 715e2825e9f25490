/*
 * HTTP/1.1 server on a libuv loop. Each connection handles one exchange, that
 * is a request and its answer, at a time.
 */
#ifndef QR_SERVER_H
#define QR_SERVER_H

#include "qr_account.h"
#include "qr_body.h"
#include "qr_message.h"

#include <uv.h>

typedef struct QRServer QRServer;
typedef struct QRExchange QRExchange;

/* Limits on what a caller may send. Sizes are in bytes. */
typedef struct QRServerLimits {
    size_t head_max, body_max;
    uint32_t head_timeout_ms; /* from the first byte to the end of the head */
    uint32_t idle_timeout_ms; /* how long a connection may stay idle */
    unsigned connections_max;
    bool discards_bodies; /* handlers need no body: none is kept */
} QRServerLimits;

typedef struct QRServerHandlers {
    /* A complete request has arrived. The answer may be sent now or later. */
    void (*request)(void *owner, QRExchange *x);
    /* The connection closed or broke before the end of the answer. */
    void (*disconnected)(void *owner, QRExchange *x, const char *why);
} QRServerHandlers;

/* Listens on "ip:port". Returns NULL and sets 'err' on failure. What clients
   hold is charged to 'account'. 'account', 'handlers' and 'owner' must outlive
   the server. */
QRServer *qr_server_new(uv_loop_t *loop, const char *address,
                        QRAccount *account, const QRServerHandlers *handlers,
                        void *owner, GError **err);
/* The limits in force; valid until they are set. */
const QRServerLimits *qr_server_limits(const QRServer *s);
/* Copies 'limits'. A request that has begun keeps its size limits. */
void qr_server_set_limits(QRServer *s, const QRServerLimits *limits);
/* Accepts no new connections; open ones continue. */
void qr_server_stop_listening(QRServer *s);
/* From now on every answer carries "Connection: close", which makes callers
   open their next connection elsewhere. */
void qr_server_drain(QRServer *s);
/* Closes connections without a request or unsent bytes of an answer. Returns
   the number of connections left. */
unsigned qr_server_close_idle(QRServer *s);
/* Checks timeouts; to be called a few times a second. */
void qr_server_tick(QRServer *s, uint64_t now_ms);
/*
 * While more than 'limit' bytes are unsent over all connections, aborts the
 * answer to the caller that has read nothing for the longest time. 0: no limit.
 * Returns the number of answers aborted.
 */
unsigned qr_server_limit_unsent(QRServer *s, size_t limit, uint64_t now_ms);
unsigned qr_server_connections(const QRServer *s);
/* Closes all connections without calling handlers, and frees the server. */
void qr_server_close(QRServer *s);

/* Borrowed pointers, valid until the answer ends. */
const char *qr_exchange_method(const QRExchange *x);
const char *qr_exchange_target(const QRExchange *x);
const QRHeaders *qr_exchange_headers(const QRExchange *x);
QRBody *qr_exchange_body(const QRExchange *x); /* NULL: empty */
/* When the request was complete, on the clock of the loop. */
uint64_t qr_exchange_arrived_ms(const QRExchange *x);
void qr_exchange_set_data(QRExchange *x, void *data);
void *qr_exchange_data(const QRExchange *x);

/* Sends a complete answer. 'headers' may be NULL. */
void qr_exchange_reply(QRExchange *x, unsigned status, const QRHeaders *headers,
                       const void *body, size_t len);
/* Send an answer of unknown length: start, any number of writes, end. */
void qr_exchange_start(QRExchange *x, unsigned status,
                       const QRHeaders *headers);
void qr_exchange_write(QRExchange *x, const void *data, size_t len);
void qr_exchange_end(QRExchange *x);
/* Resets the connection, which the caller cannot take for the end of a complete
   answer. Does not call 'disconnected'. */
void qr_exchange_abort(QRExchange *x);
/* Bytes written that the kernel has not accepted yet. */
size_t qr_exchange_unsent(const QRExchange *x);

#endif
