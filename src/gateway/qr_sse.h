/*
 * A stream of events (text/event-stream) cut at whole events, with their ids.
 */
#ifndef QR_SSE_H
#define QR_SSE_H

#include "base/qr_base.h"

typedef struct QRSse {
    GString *partial; /* of the event that is not whole yet */
    char *last_id;    /* of the last whole event that had one, or NULL */
    bool in_order;    /* false: an event came twice, or one was left out */
    uint64_t last, count;
    bool numbered; /* ids are numbers, and 'last' is one */
} QRSse;

void qr_sse_init(QRSse *s, const char *last_id);
void qr_sse_clear(QRSse *s);
/* Forgets a partial event: its engine broke off. */
void qr_sse_break(QRSse *s);
/* Appends to 'out' what is whole by now. */
void qr_sse_take(QRSse *s, const char *data, size_t len, GString *out);

#endif
