/*
 * Limits how fast pieces are sent over a host's link.
 */
#include "qr_upload_limiter.h"

void qr_upload_limiter_refill(QRUploadLimiter *l, double rate,
                              unsigned saved_ms, uint64_t now_ms)
{
    double elapsed = (double)(now_ms - MIN(l->refilled_ms, now_ms));

    l->refilled_ms = now_ms;
    l->bytes = MIN(l->bytes + rate * elapsed, rate * saved_ms);
}
