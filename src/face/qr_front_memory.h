/*
 * Memory that callers of an entry hold: bodies that are being received, and the
 * copies of whole ones until their requests are answered. Used by the thread of
 * the HTTP server only.
 */
#ifndef QR_FRONT_MEMORY_H
#define QR_FRONT_MEMORY_H

#include "net/qr_body.h"

typedef struct QRFrontMemory {
    QRAccount account;
    GPtrArray *receiving; /* QRFrontBody * */
} QRFrontMemory;

/* The body of one request. */
typedef struct QRFrontBody {
    QRFrontMemory *memory;
    QRBody *body;      /* NULL: empty, yielded or passed on */
    size_t charged;    /* bytes for the copies of a whole body */
    uint64_t since_ms; /* when its head arrived */
    bool yielded;      /* others needed its memory */
} QRFrontBody;

void qr_front_memory_init(QRFrontMemory *m, uint64_t memory_bytes);
void qr_front_memory_clear(QRFrontMemory *m);
/* Whether a body of this length could be held, if others yielded. */
bool qr_front_memory_may_fit(const QRFrontMemory *m, uint64_t length);
/* Starts to receive. 'length': as announced; 0: unknown. */
void qr_front_body_begin(QRFrontMemory *m, QRFrontBody *b, uint64_t length);
/* Appends what has arrived. Returns false if there is no memory for it; nothing
   of the body is held then. */
bool qr_front_body_append(QRFrontBody *b, const char *data, size_t len);
/* The body is whole. Returns it in one piece, and charges its copies until
   qr_front_body_end(). */
GByteArray *qr_front_body_take(QRFrontBody *b);
void qr_front_body_end(QRFrontBody *b);

#endif
