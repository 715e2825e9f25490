/*
 * Estimates from a call's deadline how long its caller has waited already.
 */
#include "qr_deadlines.h"

#include <math.h>

#define BUCKETS_PER_OCTAVE 8
#define MIN_SAMPLES 16 /* fewer do not show which deadlines are usual */
/* All counts are halved at this total, which fades out the deadlines that were
   usual a few hundred calls ago. */
#define MAX_SAMPLES 1024
/* A bucket whose count is at least this share of the largest count holds first
   tries of some kind of caller. Retries spread over several buckets, even if
   they are half of all calls. */
#define FIRST_TRY_SHARE 0.4

static unsigned bucket_of(uint32_t deadline_ms)
{
    double octave = log2(MAX(deadline_ms, 1u));

    return MIN((unsigned)(octave * BUCKETS_PER_OCTAVE),
               QR_DEADLINE_BUCKETS - 1);
}

static void halve_counts(QRDeadlines *d)
{
    d->total = 0;
    for (unsigned i = 0; i < QR_DEADLINE_BUCKETS; i++) {
        d->counts[i] /= 2;
        d->total += d->counts[i];
        if (d->counts[i] == 0)
            d->longest_ms[i] = 0;
    }
}

void qr_deadlines_record(QRDeadlines *d, uint32_t deadline_ms)
{
    unsigned i = bucket_of(deadline_ms);

    d->counts[i]++;
    d->longest_ms[i] = MAX(d->longest_ms[i], deadline_ms);
    d->total++;
    if (d->total >= MAX_SAMPLES)
        halve_counts(d);
}

uint32_t qr_deadlines_estimate_waited(const QRDeadlines *d,
                                      uint32_t deadline_ms)
{
    unsigned largest = 0;

    if (d->total < MIN_SAMPLES)
        return 0;
    for (unsigned i = 0; i < QR_DEADLINE_BUCKETS; i++)
        largest = MAX(largest, d->counts[i]);
    for (unsigned i = bucket_of(deadline_ms); i < QR_DEADLINE_BUCKETS; i++) {
        if (d->counts[i] >= largest * FIRST_TRY_SHARE &&
            d->longest_ms[i] >= deadline_ms)
            return d->longest_ms[i] - deadline_ms;
    }
    return 0;
}
