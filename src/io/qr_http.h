/*
 * An HTTP client for the faces: a connection of its own for each request.
 */
#ifndef QR_HTTP_H
#define QR_HTTP_H

#include "base/qr_base.h"

#include <stdatomic.h>

typedef struct QRHttpHeader {
    const char *name, *value;
} QRHttpHeader;

typedef struct QRHttpRequest {
    const char *address; /* ip:port */
    const char *method, *path;
    const QRHttpHeader *headers; /* ended by a NULL name, or NULL */
    const void *body;
    size_t body_len;
    unsigned timeout_ms; /* of connecting, and between two reads */
    size_t answer_max;
    const char *want_header; /* whose value is kept in the answer */
    atomic_bool *cancelled;  /* looked at between reads, or NULL */
    /* called with each piece as it comes, or NULL to gather the answer */
    void (*piece)(void *arg, const char *p, size_t len);
    void *arg;
} QRHttpRequest;

typedef struct QRHttpAnswer {
    unsigned status;
    GString *body;
    char *header;
} QRHttpAnswer;

/*
 * Returns 0 if a whole answer came, whatever its status. Else -1 with the
 * error set: QR_ERROR_IO if the request surely was not sent,
 * QR_ERROR_MAYBE_DONE if it may have been.
 */
int qr_http_do(const QRHttpRequest *r, QRHttpAnswer *a, GError **err);
void qr_http_answer_clear(QRHttpAnswer *a);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRHttpAnswer, qr_http_answer_clear)

#endif
