/*
 * Internal types of the HTTP server: connections and the exchange on each.
 * Included by qr_server.c and qr_exchange.c only.
 */
#ifndef QR_SERVER_PARTS_H
#define QR_SERVER_PARTS_H

#include "qr_clock.h"
#include "qr_server.h"

typedef enum QRExchangeState {
    QR_EXCHANGE_NONE,      /* reading a request */
    QR_EXCHANGE_WAITING,   /* request passed to its handler, no answer yet */
    QR_EXCHANGE_ANSWERING, /* head of a streamed answer was sent */
} QRExchangeState;

typedef struct QRConn QRConn;

struct QRExchange {
    QRConn *conn;
    QRExchangeState state;
    GByteArray *body;
    uint64_t arrived_ms;
    bool chunked, no_body;
    void *data;
};

struct QRConn {
    uv_tcp_t tcp;
    QRServer *server;
    QRMessage message;
    QRExchange exchange;
    GByteArray *read_ahead; /* received, not parsed yet */
    uint64_t since_ms;      /* when the current state began */
    uint32_t idle_limit_ms; /* idle timeout in force when it became idle */
    size_t unsent;          /* unsent bytes at the last tick, after an answer */
    size_t pending;         /* unsent bytes counted in server->pending */
    uint64_t read_ms;       /* when the caller last read, or had read all */
    bool request_begun;     /* bytes of a request were received */
    bool closing, lingering;
    bool processing;  /* qr_conn_process_input() is running */
    bool close_after; /* close after the current answer */
    unsigned index;   /* in server->conns */
};

struct QRServer {
    uv_tcp_t tcp;
    uv_loop_t *loop;
    GPtrArray *conns; /* QRConn * */
    size_t pending;   /* unsent bytes of all connections, as last counted */
    QRServerLimits limits;
    const QRServerHandlers *handlers;
    void *owner;
    bool listening, draining, closing;
    bool listener_closed; /* the close callback of the listener has run */
};

void qr_conn_free(uv_handle_t *h);
/* Marks the connection as closing and removes it from its server. */
void qr_conn_detach(QRConn *c);
void qr_conn_write(QRConn *c, const void *data, size_t len);
/* Counts the unsent bytes of the connection, after it wrote 'written'. */
void qr_conn_count_pending(QRConn *c, size_t written);
/* Shuts down the sending side and keeps reading for a while: an immediate close
   could reset the connection before the caller has read the answer. */
void qr_conn_linger(QRConn *c);
/* Parses requests from 'read_ahead', one at a time. */
void qr_conn_process_input(QRConn *c);
/* Applies the current size limits unless a request has begun. */
void qr_conn_apply_limits(QRConn *c);
void qr_append_status_line(GString *out, unsigned status);

#endif
