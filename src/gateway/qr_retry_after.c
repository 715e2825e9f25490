/*
 * Turns are placed at the pace at which slots become free beyond the usual
 * demand. A token bucket over the ring of future buckets keeps them to that
 * pace: each bucket adds its slots, and unused ones are kept only up to one,
 * since other calls take the slots that nobody returned for.
 */
#include "qr_retry_after.h"

#include <math.h>
#include <string.h>

/* Callers heed Retry-After up to this part of the time that they have left. */
#define HEEDED_DIVISOR 3
#define WAY_MS                                                                 \
    20 /* margin: the answer's way to the caller and the call's back */
#define CAME_WINDOW_MS 4000.0 /* as the window of qr_slot_rate_recent() */

/* Latest return that the caller heeds, in ms from now. */
static unsigned latest_ms(const QRRefusedCaller *c)
{
    uint64_t most = (uint64_t)QR_RETRY_BUCKETS * QR_RETRY_BUCKET_MS -
                    c->now_ms % QR_RETRY_BUCKET_MS - 1;
    uint64_t heeded = c->left_ms / HEEDED_DIVISOR;

    return (unsigned)MIN(heeded > WAY_MS ? heeded - WAY_MS : 0, most);
}

/* Within the duration of a call all slots become free once: callers that return
   spread over it meet different ones. */
static unsigned spread_ms(const QRRefusedCaller *c, unsigned most)
{
    unsigned span = (unsigned)CLAMP(c->mean_call_ms, 0, most);

    return (unsigned)(c->random % ((uint64_t)span + 1));
}

static unsigned as_late_as_heeded(const QRRefusedCaller *c)
{
    unsigned latest = latest_ms(c);

    return MAX(latest - spread_ms(c, latest), 1);
}

/* Moves the ring to the current time. */
static void advance(QRRetryAfter *t, double share, uint64_t now_ms)
{
    uint64_t first = now_ms / QR_RETRY_BUCKET_MS;

    if (first < t->first || first - t->first >= QR_RETRY_BUCKETS) {
        memset(t, 0, sizeof(*t));
        t->first = first;
    }
    for (; t->first < first; t->first++) {
        unsigned at = t->first % QR_RETRY_BUCKETS;

        t->credit = MIN(t->credit + share - t->turns[at], 1);
        t->came =
            t->came * exp(-QR_RETRY_BUCKET_MS / CAME_WINDOW_MS) + t->turns[at];
        t->turns[at] = 0;
    }
}

/* Slots per bucket for callers that return: those beyond the usual demand.
   Callers that returned are not part of that. */
static double bucket_share(const QRRetryAfter *t, const QRRefusedCaller *c)
{
    double came_per_s = 1000 * t->came / CAME_WINDOW_MS;
    double usual = MAX(c->recent_per_s - came_per_s, 0);

    return MAX(c->turnover_per_s - usual, 0) * QR_RETRY_BUCKET_MS / 1000;
}

static unsigned slot_of(const QRRetryAfter *t, unsigned i)
{
    return (unsigned)((t->first + i) % QR_RETRY_BUCKETS);
}

/*
 * Returns the first bucket with room for one turn more, or QR_RETRY_BUCKETS.
 * There is room if the credit of that bucket, and of each later one, suffices
 * for the calls in the queue, the turns so far and this one.
 */
static unsigned find_room(const QRRetryAfter *t, const QRRefusedCaller *c,
                          double share)
{
    double credit[QR_RETRY_BUCKETS]; /* left after each bucket's turns */
    double lost[QR_RETRY_BUCKETS];   /* unused and not kept for the next one */
    double spare = HUGE_VAL;         /* that this and later buckets can miss */
    unsigned found = QR_RETRY_BUCKETS;
    double kept = t->credit - c->queued;

    for (unsigned i = 0; i < QR_RETRY_BUCKETS; i++) {
        credit[i] = kept + share - t->turns[slot_of(t, i)];
        kept = MIN(credit[i], 1);
        lost[i] = credit[i] - kept;
    }
    for (unsigned i = QR_RETRY_BUCKETS; i-- > 0;) {
        spare = MIN(credit[i], lost[i] + spare);
        if (spare >= 1)
            found = i;
    }
    return found;
}

/* A random time in bucket 'i', counted from the current one. */
static unsigned delay_in(const QRRefusedCaller *c, unsigned i)
{
    unsigned offset = (unsigned)(c->now_ms % QR_RETRY_BUCKET_MS);
    unsigned start = i * QR_RETRY_BUCKET_MS;
    unsigned from = start > offset ? start - offset : 1;
    unsigned to = MAX(start + QR_RETRY_BUCKET_MS - 1 - offset, from);

    return from + (unsigned)(c->random % (to - from + 1));
}

QRTurn qr_retry_after_take_turn(QRRetryAfter *t, const QRRefusedCaller *c,
                                unsigned *delay_ms)
{
    unsigned latest = latest_ms(c), i;
    double share;

    if (c->turnover_per_s <= 0) {
        *delay_ms = MAX((unsigned)CLAMP(c->mean_call_ms, 0, latest), 1) +
                    spread_ms(c, latest);
        *delay_ms = MIN(*delay_ms, MAX(latest, 1));
        return QR_TURN_NONE;
    }
    advance(t, bucket_share(t, c), c->now_ms);
    share = bucket_share(t, c);
    i = find_room(t, c, share);
    *delay_ms = i < QR_RETRY_BUCKETS ? delay_in(c, i) : 0;
    if (i == QR_RETRY_BUCKETS || *delay_ms > latest) {
        *delay_ms = as_late_as_heeded(c);
        return QR_TURN_FULL;
    }
    if (t->turns[slot_of(t, i)] < UINT16_MAX)
        t->turns[slot_of(t, i)]++;
    return QR_TURN_FREE;
}

QRTurn qr_retry_after_ready(const QRRefusedCaller *c, uint64_t ready_ms,
                            unsigned *delay_ms)
{
    unsigned latest = latest_ms(c);

    if (ready_ms == UINT64_MAX || ready_ms > latest) {
        *delay_ms = as_late_as_heeded(c);
        return ready_ms == UINT64_MAX ? QR_TURN_NONE : QR_TURN_FULL;
    }
    *delay_ms =
        MAX((unsigned)ready_ms + spread_ms(c, latest - (unsigned)ready_ms), 1);
    return QR_TURN_READY;
}

const char *qr_turn_name(QRTurn turn)
{
    static const char *const names[] = {"none", "free", "full", "ready"};

    return names[turn];
}
