/*
 * Splits a stream of server-sent events (text/event-stream) into whole events
 * and follows their ids.
 */
#ifndef QR_SSE_H
#define QR_SSE_H

#include "base/qr_base.h"

typedef struct QRSse {
    GString *partial; /* bytes of an event whose end is still missing */
    size_t scanned;   /* bytes of it in which no event ends */
    char *last_id;    /* of the last whole event with an id, or NULL */
    bool in_order;    /* false: an event was repeated, or one is missing */
    uint64_t last_number, count; /* last_id as a number; number of whole
                                    events */
    bool is_numbered;            /* ids are numbers, last_number is valid */
} QRSse;

/* 'last_id': the last event that the caller has already, or NULL. */
void qr_sse_init(QRSse *s, const char *last_id);
void qr_sse_clear(QRSse *s);
/* Drops a partial event whose engine broke off. */
void qr_sse_discard_partial(QRSse *s);
/* Removes the partial event and returns it, owned by the caller, while another
   engine is asked for the same event. */
GString *qr_sse_detach_partial(QRSse *s);
/* Continues behind a partial event that was detached; takes ownership. */
void qr_sse_restore_partial(QRSse *s, GString *partial);
/* Adds data of the stream, and appends the events that are whole to 'out'.
   Stops at an event that clears in_order. */
void qr_sse_feed(QRSse *s, const char *data, size_t len, GString *out);

#endif
