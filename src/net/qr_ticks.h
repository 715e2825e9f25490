/*
 * Whether a loop stood still between two of its ticks. A loop runs its timers
 * before it reads: whoever spoke meanwhile would be taken for silent, so what
 * judges by time first lets it read.
 */
#ifndef QR_TICKS_H
#define QR_TICKS_H

#include "base/qr_base.h"

typedef struct QRTicks {
    uint64_t last_ms; /* 0: none yet */
} QRTicks;

/* Notes a tick. Returns the ms since the last one if they are more than
   'most_ms', else 0. */
uint64_t qr_ticks_stood_still(QRTicks *t, uint64_t now_ms, uint64_t most_ms);

#endif
