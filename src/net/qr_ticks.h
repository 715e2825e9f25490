/*
 * Detects that a loop was stalled between two of its ticks. A loop runs its
 * timers before it reads sockets, so a peer that sent data during the stall
 * would be taken for silent. Timeouts are therefore checked after the loop has
 * read.
 */
#ifndef QR_TICKS_H
#define QR_TICKS_H

#include "base/qr_base.h"

typedef struct QRTicks {
    uint64_t last_ms; /* 0: no tick yet */
    uint64_t prev_ms; /* the tick before; 0: none */
} QRTicks;

/* Records a tick. Returns the milliseconds since the previous tick if they
   exceed 'max_gap_ms', else 0. */
uint64_t qr_ticks_stall_ms(QRTicks *t, uint64_t now_ms, uint64_t max_gap_ms);

/* Whatever the loop has read since its last tick arrived after this time, that
   of the tick before: a loop runs its timers before it reads sockets. */
uint64_t qr_ticks_received_after_ms(const QRTicks *t);

#endif
