/*
 * How fast pieces are sent over a machine's link.
 */
#include "qr_pace.h"

void qr_token_bucket_refill(QRTokenBucket *p, double rate, unsigned saved_ms,
                            uint64_t now_ms)
{
    double elapsed = (double)(now_ms - MIN(p->refilled_ms, now_ms));

    p->refilled_ms = now_ms;
    p->bytes = MIN(p->bytes + rate * elapsed, rate * saved_ms);
}
