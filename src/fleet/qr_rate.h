/*
 * The rate at which requests may reach one engine, as the keeper of its slots
 * deals it out to all gateways: a token bucket. No clock of its own.
 */
#ifndef QR_RATE_H
#define QR_RATE_H

#include "base/qr_base.h"

typedef struct QRRate {
    double per_s;      /* as dealt out: a limit near 0 still admits a probe */
    double level;      /* requests that may be sent at level_ms */
    uint64_t level_ms; /* 0: no rate is set */
} QRRate;

/* Sets the rate. A bucket that had none starts empty: another keeper may have
   dealt out the last moment's share. */
void qr_rate_set(QRRate *r, double per_s, uint64_t now_ms);
void qr_rate_clear(QRRate *r);
/* Takes one request if the rate allows it now. */
bool qr_rate_take(QRRate *r, uint64_t now_ms);
/* Until it allows the next one; 0: now. */
uint64_t qr_rate_wait_ms(const QRRate *r, uint64_t now_ms);

#endif
