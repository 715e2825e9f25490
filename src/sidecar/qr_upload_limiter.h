/*
 * Limits how fast pieces are sent over a host's link: a token bucket that
 * may go into debt by one piece. By default, unused time is not saved up.
 */
#ifndef QR_UPLOAD_LIMITER_H
#define QR_UPLOAD_LIMITER_H

#include "base/qr_base.h"

typedef struct QRUploadLimiter {
    double bytes;         /* that may be sent now; below 0: in debt */
    uint64_t refilled_ms; /* when 'bytes' was last updated */
} QRUploadLimiter;

/*
 * Adds the bytes for the time since the last refill, at 'rate' bytes a ms.
 * Unused bytes of at most 'saved_ms' are kept, because a burst delays
 * whatever else uses the link.
 */
void qr_upload_limiter_refill(QRUploadLimiter *l, double rate,
                              unsigned saved_ms, uint64_t now_ms);
static inline bool qr_upload_limiter_may_send(const QRUploadLimiter *l)
{
    return l->bytes >= 0;
}
static inline void qr_upload_limiter_spend(QRUploadLimiter *l, size_t bytes)
{
    l->bytes -= (double)bytes;
}

#endif
