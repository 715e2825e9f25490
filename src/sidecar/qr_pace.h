/*
 * How fast pieces are sent over a machine's link: a token bucket that may go
 * into debt by one piece, and by default saves nothing.
 */
#ifndef QR_PACE_H
#define QR_PACE_H

#include "base/qr_base.h"

typedef struct QRTokenBucket {
    double bytes;         /* that may be sent now; below 0: in debt */
    uint64_t refilled_ms; /* when that was last looked at */
} QRTokenBucket;

/*
 * Time passes, at 'rate' bytes a ms. What was not used is kept for at most
 * 'saved_ms': a burst delays whatever else uses the link.
 */
void qr_token_bucket_refill(QRTokenBucket *p, double rate, unsigned saved_ms,
                            uint64_t now_ms);
static inline bool qr_token_bucket_may_send(const QRTokenBucket *p)
{
    return p->bytes >= 0;
}
static inline void qr_token_bucket_spend(QRTokenBucket *p, size_t bytes)
{
    p->bytes -= (double)bytes;
}

#endif
