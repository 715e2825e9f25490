/*
 * Token bucket that limits the requests sent to one engine by all gateways
 * together. The coordinator of the engine's slots holds the bucket. The caller
 * passes the time.
 */
#ifndef QR_RATE_H
#define QR_RATE_H

#include "base/qr_base.h"

typedef struct QRRate {
    double per_s;      /* effective rate, at least one probe per 5 s */
    double level;      /* requests that may be sent at level_ms */
    uint64_t level_ms; /* 0: no rate is set */
} QRRate;

/* Sets the rate. A bucket without a rate starts empty, because another
   coordinator may just have granted the share of the last moment. */
void qr_rate_set(QRRate *r, double per_s, uint64_t now_ms);
void qr_rate_clear(QRRate *r);
/* Takes one request from the bucket. Returns false if the rate forbids it. */
bool qr_rate_take(QRRate *r, uint64_t now_ms);
/* Time in ms until the next request is allowed; 0: now. */
uint64_t qr_rate_wait_ms(const QRRate *r, uint64_t now_ms);

#endif
