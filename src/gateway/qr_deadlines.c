/*
 * How long a caller has waited already, by the time that it has left.
 */
#include "qr_deadlines.h"

#include <math.h>

#define BUCKETS_AN_OCTAVE 8
#define SAMPLES_LEAST 16 /* fewer say nothing of what is usual */
/* Then all counts are halved: what was usual a few hundred calls ago fades. */
#define SAMPLES_MOST 1024
/* A bucket with so large a part of the fullest one holds first tries of some
   kind of caller. Those that come back lie in several, even if they are half of
   all calls. */
#define FIRST_TRIES_SHARE 0.4

static unsigned bucket_of(uint32_t deadline_ms)
{
    double octave = log2(MAX(deadline_ms, 1u));

    return MIN((unsigned)(octave * BUCKETS_AN_OCTAVE), QR_DEADLINE_BUCKETS - 1);
}

static void halve(QRDeadlines *d)
{
    d->total = 0;
    for (unsigned i = 0; i < QR_DEADLINE_BUCKETS; i++) {
        d->counts[i] /= 2;
        d->total += d->counts[i];
        if (d->counts[i] == 0)
            d->longest_ms[i] = 0;
    }
}

void qr_deadlines_note(QRDeadlines *d, uint32_t deadline_ms)
{
    unsigned i = bucket_of(deadline_ms);

    d->counts[i]++;
    d->longest_ms[i] = MAX(d->longest_ms[i], deadline_ms);
    d->total++;
    if (d->total >= SAMPLES_MOST)
        halve(d);
}

uint32_t qr_deadlines_waited(const QRDeadlines *d, uint32_t deadline_ms)
{
    unsigned most = 0;

    if (d->total < SAMPLES_LEAST)
        return 0;
    for (unsigned i = 0; i < QR_DEADLINE_BUCKETS; i++)
        most = MAX(most, d->counts[i]);
    for (unsigned i = bucket_of(deadline_ms); i < QR_DEADLINE_BUCKETS; i++) {
        if (d->counts[i] >= most * FIRST_TRIES_SHARE &&
            d->longest_ms[i] >= deadline_ms)
            return d->longest_ms[i] - deadline_ms;
    }
    return 0;
}
