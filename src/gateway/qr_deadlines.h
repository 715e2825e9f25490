/*
 * Estimates from a call's deadline how long its caller has waited already.
 *
 * A call states how much longer its caller will wait. A caller that retries
 * after a refusal has less time left than at its first try, and nothing else in
 * the call marks a retry. The deadlines of first tries are learnt from a
 * histogram: most calls of a service are first tries, and callers of one kind
 * start with the same deadline, while the deadlines of retries spread over many
 * values.
 */
#ifndef QR_DEADLINES_H
#define QR_DEADLINES_H

#include "base/qr_base.h"

/* Eight buckets for each doubling of the deadline, each 9 % above the one
   before: more than a first try loses before it reaches the gateway. */
#define QR_DEADLINE_BUCKETS 256

typedef struct QRDeadlines {
    uint16_t counts[QR_DEADLINE_BUCKETS];
    uint32_t longest_ms[QR_DEADLINE_BUCKETS]; /* deadline seen in each */
    unsigned total;
} QRDeadlines;

/* Counts a call with this deadline. */
void qr_deadlines_record(QRDeadlines *d, uint32_t deadline_ms);
/* Returns the time in ms that the caller of a call with this deadline has
   probably waited before; 0 if that cannot be told. */
uint32_t qr_deadlines_estimate_waited(const QRDeadlines *d,
                                      uint32_t deadline_ms);

#endif
