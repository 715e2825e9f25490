/*
 * An HTTP request whose answer is buffered and passed on when it is complete.
 */
#ifndef QR_BUFFERED_CALL_H
#define QR_BUFFERED_CALL_H

#include "qr_client.h"

typedef struct QRBufferedCall QRBufferedCall;

typedef struct QRBufferedAnswer {
    unsigned status;     /* 0: no complete answer arrived */
    bool maybe_executed; /* if status is 0: the peer may have acted */
    const char *data;
    size_t len;
    const char *error; /* if status is 0: what went wrong */
    size_t received;   /* bytes of the body that arrived, even if incomplete */
    const QRHeaders *headers; /* empty if status is 0 */
} QRBufferedAnswer;

/* The request has ended and its handle is freed after the call; 'answer' is
   valid during the call only. 'ref' is that of qr_buffered_send(). */
typedef void (*QRBufferedDone)(void *owner, unsigned ref,
                               const QRBufferedAnswer *answer);

typedef struct QRBufferedRequest {
    const char *address, *method, *path; /* address: "ip:port" */
    const char *content_type;            /* of the body, or NULL */
    const void *body;                    /* NULL: none */
    size_t body_len;
    /* as in QRClientRequest */
    uint32_t connect_ms, timeout_ms, send_within_ms, pause_ms;
    bool probe_peer;
    size_t answer_max; /* bytes of the answer's body; 0: 8 MB */
} QRBufferedRequest;

/* Starts a request. The content of 'request' is copied; 'owner' is borrowed. */
QRBufferedCall *qr_buffered_send(QRClient *client,
                                 const QRBufferedRequest *request,
                                 QRBufferedDone done, void *owner,
                                 unsigned ref);
/* Whether the head of the answer has arrived. */
bool qr_buffered_has_head(const QRBufferedCall *b);
/* Cancels and frees the request without calling 'done'. NULL is allowed. */
void qr_buffered_cancel(QRBufferedCall *b);

#endif
