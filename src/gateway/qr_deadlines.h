/*
 * How long a caller has waited already, by the time that it has left.
 *
 * A caller tells how long it will wait. One that comes back after a refusal has
 * less left than it had at first, and a call says nothing else of that. What
 * callers have at first is learnt: most calls of a service are first tries, and
 * callers of one kind begin with the same time, while those that come back are
 * spread over many.
 */
#ifndef QR_DEADLINES_H
#define QR_DEADLINES_H

#include "base/qr_base.h"

/* Eight an octave of ms: 9 in 100 apart, which is more than the time that goes
   by before a first try reaches us. */
#define QR_DEADLINE_BUCKETS 256

typedef struct QRDeadlines {
    uint16_t counts[QR_DEADLINE_BUCKETS];
    uint32_t longest_ms[QR_DEADLINE_BUCKETS];
    unsigned total;
} QRDeadlines;

/* A call came whose caller will wait for so long. */
void qr_deadlines_note(QRDeadlines *d, uint32_t deadline_ms);
/* How long its caller has waited before, as far as can be told; else 0. */
uint32_t qr_deadlines_waited(const QRDeadlines *d, uint32_t deadline_ms);

#endif
