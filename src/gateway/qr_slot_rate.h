/*
 * How many slots become free for the calls of one service at one gateway.
 * Zeroed memory is a rate of which nothing is known. No clock.
 */
#ifndef QR_SLOT_RATE_H
#define QR_SLOT_RATE_H

#include "base/qr_base.h"

typedef struct QRSlotRate {
    double freed;         /* slots that became free; a decayed count */
    uint64_t freed_ms;    /* when the last one did; 0: none so far */
    uint64_t observed_ms; /* when the first one did */
} QRSlotRate;

/* A call ended at an engine, and its slot became free. */
void qr_slot_rate_note_freed(QRSlotRate *r, uint64_t now_ms);
/* Slots that became free per second lately: the demand that was served. 0: not
   known. */
double qr_slot_rate_recent(const QRSlotRate *r, uint64_t now_ms);
/*
 * Slots that become free per second while 'open' calls of 'mean_call_ms' stay
 * in progress (Little's law). 0: not known, as no call has ended, or none for
 * so long that calls must be taking longer than before.
 */
double qr_slot_rate_turnover(const QRSlotRate *r, uint64_t now_ms,
                             unsigned open, double mean_call_ms);

#endif
