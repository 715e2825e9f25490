/*
 * Token bucket that limits the requests sent to one engine.
 */
#include "qr_rate.h"

#include <math.h>

/* Lower limits still admit this rate, because only the response to a request
   can show that the limit has ended. */
#define MIN_RATE_PER_S 0.2
/* Burst size after a pause, as seconds of the rate. The value is small to keep
   the sum over a few seconds close to the rate. */
#define BURST_S 0.25

static double burst(const QRRate *r)
{
    return MAX(1.0, r->per_s * BURST_S);
}

static double level_at(const QRRate *r, uint64_t now_ms)
{
    uint64_t since_ms = now_ms - MIN(r->level_ms, now_ms);

    return MIN(burst(r), r->level + r->per_s * (double)since_ms / 1000);
}

void qr_rate_set(QRRate *r, double per_s, uint64_t now_ms)
{
    double level = r->level_ms ? level_at(r, now_ms) : 0;

    r->per_s = MAX(per_s, MIN_RATE_PER_S);
    r->level = MIN(level, burst(r));
    r->level_ms = MAX(now_ms, 1);
}

void qr_rate_clear(QRRate *r)
{
    *r = (QRRate){0};
}

bool qr_rate_take(QRRate *r, uint64_t now_ms)
{
    double level = level_at(r, now_ms);

    if (level < 1)
        return false;
    r->level = level - 1;
    r->level_ms = MAX(now_ms, r->level_ms);
    return true;
}

uint64_t qr_rate_wait_ms(const QRRate *r, uint64_t now_ms)
{
    double missing = 1 - level_at(r, now_ms);

    return missing > 0 ? (uint64_t)ceil(missing * 1000 / r->per_s) : 0;
}
