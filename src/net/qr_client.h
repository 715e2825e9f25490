/*
 * HTTP/1.1 client on a libuv loop. Connections are kept open and reused, each
 * carries one request at a time, and an id header matches answer to request.
 */
#ifndef QR_NET_CLIENT_H
#define QR_NET_CLIENT_H

#include "qr_body.h"
#include "qr_message.h"

#include <uv.h>

typedef struct QRClient QRClient; /* pool of connections to all addresses */
typedef struct QRClientCall QRClientCall; /* one request in flight */

/* Why a request ended without a complete answer. */
typedef enum QRCallFault {
    QR_CALL_FAULT_UNSENT,  /* no byte was sent: the peer did not run it */
    QR_CALL_FAULT_BROKEN,  /* sent, connection broke: may have run */
    QR_CALL_FAULT_GARBLED, /* sent, the bytes received are not a valid answer */
    QR_CALL_FAULT_TIMEOUT, /* sent, answer timed out: may have run */
} QRCallFault;

/* The client frees the call after 'end' or 'failed' returns. */
typedef struct QRClientHandlers {
    void (*head)(void *owner, QRClientCall *call, unsigned status,
                 const QRHeaders *headers);
    void (*body)(void *owner, QRClientCall *call, const char *data, size_t len);
    void (*end)(void *owner, QRClientCall *call);
    void (*failed)(void *owner, QRClientCall *call, QRCallFault fault,
                   const char *why);
    /*
     * An answer without a length has ended in order with its connection, as it
     * also does when the peer's process crashes. Whether it counts only if the
     * peer still listens. NULL: it counts.
     */
    bool (*confirms_end)(void *owner, QRClientCall *call);
} QRClientHandlers;

typedef struct QRClientRequest {
    const char *address; /* "ip:port" */
    const void *data;    /* the request, or what is before 'body'; copied */
    size_t len;
    QRBody *body;        /* the rest, kept by reference; NULL: none */
    const char *id;      /* expected id of the answer; NULL: not checked */
    bool head_only;      /* HEAD request: the answer has no body */
    bool new_connection; /* never reuse an idle connection */
    bool probe_peer;     /* an idle peer is probed, so that the connection of a
                            request without a time limit ends with the peer */
    uint32_t connect_ms; /* time limit for opening a connection */
    uint32_t timeout_ms; /* time limit up to the end of the answer; 0: none */
    uint32_t send_within_ms; /* a connection that opens later is not used: the
                                request fails unsent; 0: no limit */
    uint32_t pause_ms; /* the first bytes, and then each few kB, move the time
                          limit to at least this far ahead; 0: 'timeout_ms' is
                          final */
} QRClientRequest;

/* 'id_name' names the answer header that repeats the id of the request. */
QRClient *qr_client_new(uv_loop_t *loop, const char *id_name);
/* Aborts all requests and frees the client. Calls no request handler. */
void qr_client_close(QRClient *c);
/*
 * Sends a copy of 'request'. 'handlers' and 'owner' must outlive the call.
 * Handlers are only called from the loop, after this function has returned.
 */
QRClientCall *qr_client_send(QRClient *c, const QRClientRequest *request,
                             const QRClientHandlers *handlers, void *owner);
/* Closes the connection of the request and frees the call. Calls no handler. */
void qr_client_cancel(QRClientCall *call);
/*
 * Reports that the peer has sent nothing for too long. Closes idle connections
 * that received nothing in that time either, provided that the connection of
 * the request worked before. The request itself continues.
 */
void qr_client_note_silence(QRClientCall *call);
/*
 * Whether the connection of the request worked before and is now unresponsive:
 * the peer acknowledges nothing, all answers in flight stopped at once, or
 * silence was reported. Received bytes clear the state. Calls no handler.
 */
bool qr_client_is_unresponsive(const QRClientCall *call);
/* Result of opening a connection to learn whether a process listens. */
typedef enum QRClientProbeResult {
    QR_CLIENT_PROBE_OPEN,     /* connected; kept idle for the next request */
    QR_CLIENT_PROBE_REFUSED,  /* the host refused: no process listens */
    QR_CLIENT_PROBE_NO_REPLY, /* unknown: timed out or no route */
} QRClientProbeResult;

typedef void (*QRClientProbeDone)(void *owner, const char *address,
                                  QRClientProbeResult result);
/* Opens a connection. Calls 'done' later unless the client is closed first. */
void qr_client_probe(QRClient *c, const char *address, uint32_t connect_ms,
                     QRClientProbeDone done, void *owner);
/* Checks time limits and silent connections; to be called about every 20 ms. */
void qr_client_tick(QRClient *c, uint64_t now_ms);
/* Closes the connections to 'address' that carry no request. */
void qr_client_close_idle(QRClient *c, const char *address);
/* Clock of the loop of the client, in ms. */
uint64_t qr_client_now(const QRClient *c);
/* Number of connections opened since the start. */
uint64_t qr_client_connections_opened(const QRClient *c);
/* Number of times a request was marked unresponsive since the start. */
uint64_t qr_client_unresponsive_requests(const QRClient *c);

#endif
