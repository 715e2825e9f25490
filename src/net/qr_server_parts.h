/*
 * What the parts of the HTTP server share: connections, and the exchange that
 * each carries. Included by qr_server.c and qr_exchange.c only.
 */
#ifndef QR_SERVER_PARTS_H
#define QR_SERVER_PARTS_H

#include "qr_clock.h"
#include "qr_server.h"

typedef enum QRExchangeState {
    QR_EXCHANGE_NONE,      /* reading a request */
    QR_EXCHANGE_WAITING,   /* whole request handed on, no answer yet */
    QR_EXCHANGE_ANSWERING, /* head of a streamed answer is out */
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
    GByteArray *read_ahead;   /* read while an answer is under way */
    uint64_t since_ms;        /* of the present state */
    uint32_t idle_timeout_ms; /* what its caller may rest, as told when it began
                                 to */
    size_t unsent;      /* of an answer that has ended, at the last tick */
    bool request_begun; /* bytes of a request came */
    bool closing, lingering;
    bool processing;  /* requests are being taken out of 'ahead' */
    bool close_after; /* no request after this one */
    unsigned index;   /* in server->conns */
};

struct QRServer {
    uv_tcp_t tcp;
    uv_loop_t *loop;
    GPtrArray *conns; /* QRConn * */
    QRServerLimits limits;
    const QRServerHandlers *handlers;
    void *owner;
    bool listening, draining, closing;
    bool listener_closed; /* the listener is closed for good */
};

void qr_conn_free(uv_handle_t *h);
/* Takes the connection out of its server's list. */
void qr_conn_detach(QRConn *c);
void qr_conn_write(QRConn *c, const void *data, size_t len);
/* Ends our side and reads on for a while: closing now would reset. */
void qr_conn_linger(QRConn *c);
/* Takes requests out of what was read, one after the other. */
void qr_conn_process_input(QRConn *c);
/* The next request is read under the limits of now. */
void qr_conn_apply_limits(QRConn *c);
void qr_append_status_line(GString *out, unsigned status);

#endif
