/*
 * Internal types of the HTTP server: connections and the exchange on each.
 * Included by qr_server*.c and qr_exchange.c only.
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
    QRBody *body;      /* NULL: empty */
    uint64_t expected; /* its length as announced; 0: none was */
    uint64_t arrived_ms;
    bool chunked, no_body;
    void *data;
};

struct QRConn {
    uv_tcp_t tcp;
    QRServer *server;
    QRMessage message;
    QRExchange exchange;
    GByteArray *read_ahead; /* received, not parsed yet; NULL: nothing */
    uint64_t since_ms;      /* when the current state began */
    uint32_t idle_limit_ms; /* idle timeout in force when it became idle */
    size_t unsent;          /* unsent bytes at the last tick, after an answer */
    size_t pending;         /* unsent bytes, as charged and counted in server */
    size_t
        charged;   /* bytes charged for all but the body, 'pending', 'window' */
    size_t window; /* bytes of a large receive buffer; 0: it is small */
    size_t receiving;   /* bytes of the body, while the request is not
                           whole; counted in the account */
    uint64_t read_ms;   /* when the caller last read, or had read all */
    bool request_begun; /* bytes of a request were received */
    bool closing, lingering;
    bool processing;    /* bytes of this connection are being parsed */
    bool close_after;   /* close after the current answer */
    bool ignores_input; /* until then, what arrives is dropped */
    unsigned index;     /* in server->conns */
};

struct QRServer {
    uv_tcp_t tcp;
    uv_loop_t *loop;
    GPtrArray *conns;   /* QRConn * */
    size_t pending;     /* unsent bytes of all connections, as last counted */
    unsigned lingering; /* connections that are about to be closed */
    QRServerLimits limits;
    QRAccount *account;
    const QRServerHandlers *handlers;
    void *owner;
    uint64_t random;
    bool listening, draining, closing;
    bool listener_closed; /* the close callback of the listener has run */
};

void qr_conn_free(uv_handle_t *h);
/* Marks the connection as closing and removes it from its server. */
void qr_conn_detach(QRConn *c);
void qr_conn_close(QRConn *c);
/* Resets a connection, which its caller cannot take for the end of a complete
   answer. */
void qr_conn_abort(QRConn *c, const char *why);
void qr_conn_write(QRConn *c, const void *data, size_t len);
/* Counts the unsent bytes of the connection, after it wrote 'written'. */
void qr_conn_count_pending(QRConn *c, size_t written);
/* Charges what the connection holds by now, beside its body and unsent bytes.
 */
void qr_conn_update_charge(QRConn *c);
/* Drops what arrived behind the current request, and closes the connection
   after its answer: the client has to send the rest again. */
void qr_conn_drop_pipelined(QRConn *c);
/* Releases the body of the request. */
void qr_conn_drop_body(QRConn *c);
/* Shuts down the sending side and keeps reading for a while: an immediate close
   could reset the connection before the caller has read the answer. */
void qr_conn_linger(QRConn *c);
/* Answers an unacceptable or incomplete request with an error status, and ends
   the connection. */
void qr_conn_refuse(QRConn *c, unsigned status, const char *why);
/* Parses requests from 'read_ahead', one at a time. */
void qr_conn_process_input(QRConn *c);
/* Applies the current size limits unless a request has begun. */
void qr_conn_apply_limits(QRConn *c);
/* Whether the connection has no request, no part of one and no unsent bytes. */
bool qr_conn_is_idle(const QRConn *c);
/* Whether a part of a request has arrived, but not all of it. */
bool qr_conn_is_unfinished(const QRConn *c);
void qr_append_status_line(GString *out, unsigned status);

/* Who yields when memory or connections are scarce, in qr_server_yield.c. */
/* Makes room for 'more' bytes that 'c' needs. Returns false if there is none.
 */
bool qr_conn_make_room(QRConn *c, QRAccountClass class, size_t more);
/* Ends what exceeds the limits, such as answers that nobody reads. */
void qr_server_relieve(QRServer *s);
/* Closes the connection that has lingered longest and has sent its answer. */
void qr_server_close_lingering(QRServer *s);
/* Makes room for a connection. Returns false if no other can yield. */
bool qr_server_make_room(QRServer *s);

#endif
