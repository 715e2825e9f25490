/*
 * How fast pieces are sent over a machine's link.
 */
#include "qr_pace.h"

void qr_pace_refill(QRPace *p, double rate, unsigned saved_ms, uint64_t now_ms)
{
    double elapsed = (double)(now_ms - MIN(p->at_ms, now_ms));

    p->at_ms = now_ms;
    p->bytes = MIN(p->bytes + rate * elapsed, rate * saved_ms);
}
