/*
 * Detects that a loop was stalled between two of its ticks.
 */
#include "qr_ticks.h"

uint64_t qr_ticks_stall_ms(QRTicks *t, uint64_t now_ms, uint64_t max_gap_ms)
{
    uint64_t gap = t->last_ms > 0 ? now_ms - MIN(t->last_ms, now_ms) : 0;

    t->prev_ms = t->last_ms;
    t->last_ms = MAX(now_ms, 1);
    return gap > max_gap_ms ? gap : 0;
}

uint64_t qr_ticks_received_after_ms(const QRTicks *t)
{
    return t->prev_ms > 0 ? t->prev_ms : t->last_ms;
}
