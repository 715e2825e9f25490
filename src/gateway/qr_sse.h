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
/* The part of an event that has come so far, for as long as another engine
   is asked for it; owned by the caller. */
GString *qr_sse_put_aside(QRSse *s);
/* Goes on behind that part. */
void qr_sse_take_up(QRSse *s, GString *partial);
/* Appends to 'out' what is whole by now. */
void qr_sse_take(QRSse *s, const char *data, size_t len, GString *out);

#endif
