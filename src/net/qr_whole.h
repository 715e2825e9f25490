/*
 * A request whose answer is kept until it is whole, and handed over at once.
 */
#ifndef QR_WHOLE_H
#define QR_WHOLE_H

#include "qr_client.h"

typedef struct QRWhole QRWhole;

typedef struct QRWholeAnswer {
    unsigned status; /* 0: no whole answer came */
    bool maybe_done; /* of status 0: the peer may have acted on it */
    const char *data;
    size_t len;
    const char *why;          /* of status 0 */
    size_t received;          /* bytes of the body that came, whole or not */
    const QRHeaders *headers; /* of status 0: empty */
} QRWholeAnswer;

/* 'ref' is what qr_whole_send() was given. The request is over. */
typedef void (*QRWholeDone)(void *owner, unsigned ref,
                            const QRWholeAnswer *answer);

typedef struct QRWholeRequest {
    const char *address, *method, *path; /* address: "ip:port" */
    const char *content_type;            /* of the body, or NULL */
    const void *body;                    /* NULL: none */
    size_t body_len;
    uint32_t connect_ms, timeout_ms, pause_ms; /* as in QRClientRequest */
} QRWholeRequest;

QRWhole *qr_whole_send(QRClient *client, const QRWholeRequest *request,
                       QRWholeDone done, void *owner, unsigned ref);
/* Whether the head of the answer has come. */
bool qr_whole_began(const QRWhole *w);
/* 'done' is not called. NULL is allowed. */
void qr_whole_cancel(QRWhole *w);

#endif
