/*
 * HTTP/1.1 client on a libuv loop: kept connections, one request at a time on
 * each, answers matched to their request by an id header.
 */
#ifndef QR_NET_CLIENT_H
#define QR_NET_CLIENT_H

#include "qr_message.h"

#include <uv.h>

typedef struct QRClient QRClient;         /* connections to any addresses */
typedef struct QRClientCall QRClientCall; /* one request under way */

/* How a request ended without a whole answer. */
typedef enum QRCallFault {
    QR_CALL_FAULT_UNSENT,  /* no byte of it reached the peer: surely not run */
    QR_CALL_FAULT_BROKEN,  /* sent, then the connection broke: may have run */
    QR_CALL_FAULT_GARBLED, /* sent, then bytes that are no answer came */
    QR_CALL_FAULT_TIMEOUT, /* sent, no answer in time: may have run */
} QRCallFault;

/* After 'end' or 'failed' the call is gone. */
typedef struct QRClientHandlers {
    void (*head)(void *owner, QRClientCall *call, unsigned status,
                 const QRHeaders *headers);
    void (*body)(void *owner, QRClientCall *call, const char *data, size_t len);
    void (*end)(void *owner, QRClientCall *call);
    void (*failed)(void *owner, QRClientCall *call, QRCallFault fault,
                   const char *why);
} QRClientHandlers;

typedef struct QRClientRequest {
    const char *address; /* "ip:port" */
    const void *data;    /* the whole request: head and body */
    size_t len;
    const char *id;      /* the answer must carry it back; NULL: any answer */
    bool head_only;      /* HEAD: the answer has no body */
    bool fresh;          /* on a new connection, not one that rests */
    uint32_t connect_ms; /* to open a connection */
    uint32_t timeout_ms; /* to the end of the answer; 0: none */
    uint32_t pause_ms;   /* an answer that has begun may pause for so long, and
                            take as long as it needs; 0: 'timeout_ms' stands */
} QRClientRequest;

/* 'id_name' is the header in which an answer carries its id back. */
QRClient *qr_client_new(uv_loop_t *loop, const char *id_name);
/* Cuts all requests under way; no handler is called. */
void qr_client_close(QRClient *c);
/* Never calls a handler before it returned. */
QRClientCall *qr_client_send(QRClient *c, const QRClientRequest *request,
                             const QRClientHandlers *handlers, void *owner);
/* Gives a request up: its connection is closed. No handler is called. */
void qr_client_cancel(QRClientCall *call);
/*
 * Nothing came for too long: other connections that were not heard meanwhile
 * are not used again either. The request goes on.
 */
void qr_client_doubt(QRClientCall *call);
/*
 * Whether the connection of the request went silent: it had worked before, and
 * the peer does not acknowledge what it is sent, or all answers under way
 * stopped at once. No handler is called for that. Not any more once bytes come.
 */
bool qr_client_is_mute(const QRClientCall *call);
/* What became of a connection that was opened to see whether anybody listens.
 */
typedef enum QRClientReached {
    QR_CLIENT_OPEN,    /* somebody does; it rests now, for the next request */
    QR_CLIENT_REFUSED, /* the machine answers that nobody does */
    QR_CLIENT_SILENT,  /* not known: no answer in time, or no way there */
} QRClientReached;

typedef void (*QRClientReachedDone)(void *owner, const char *address,
                                    QRClientReached reached);
/* 'done' is called later, unless the client is closed first. */
void qr_client_reach(QRClient *c, const char *address, uint32_t connect_ms,
                     QRClientReachedDone done, void *owner);
void qr_client_tick(QRClient *c, uint64_t now_ms);
/* Closes resting connections to 'address'. */
void qr_client_forget(QRClient *c, const char *address);
/* Of the loop that it runs on. */
uint64_t qr_client_now(const QRClient *c);
/* Connections opened so far. */
uint64_t qr_client_opened(const QRClient *c);
/* Requests so far whose connection went silent. */
uint64_t qr_client_mute(const QRClient *c);

#endif
