/*
 * Turns are placed at the pace at which slots become free. A token bucket over
 * the ring of future buckets keeps them within their share: each bucket adds
 * its part, and unused parts are kept only up to one turn, since first tries
 * take the slots that nobody returned for.
 */
#include "qr_retry_after.h"

#include <math.h>
#include <string.h>

/* Callers heed Retry-After up to this part of the time that they have left. */
#define HEEDED_DIVISOR 3
#define WAY_MS                                                                 \
    20 /* margin: the answer's way to the caller and the call's back */
#define MIN_USABLE_MS 40 /* with less, a delay changes nothing */
#define RATE_WINDOW_MS 4000.0
/* Slots in the window above which a rate counts as known. With fewer, a turn
   would come less than once in 4 s. */
#define MIN_FREED 4
#define RISE_MAX 2          /* expected rate over the one of the window */
#define MIN_OBSERVED_MS 500 /* calls may all end at once after a start */
/* No turn comes earlier than this part of a call's duration: in less time few
   of the calls that fill the engines end. */
#define MIN_DELAY_SHARE 0.25
/* Share of the usable time, its last part, for callers without a turn. */
#define LAST_SHARE 0.25
/* The first engines switch versions within this time of one another. */
#define READY_SPREAD_MS 500

static double decayed(const QRRetryAfter *t, uint64_t now_ms)
{
    double age_ms = now_ms > t->freed_ms ? (double)(now_ms - t->freed_ms) : 0;

    return t->freed * exp(-age_ms / RATE_WINDOW_MS);
}

void qr_retry_after_slot_freed(QRRetryAfter *t, uint64_t now_ms)
{
    if (t->observed_ms == 0)
        t->observed_ms = now_ms;
    t->freed = decayed(t, now_ms) + 1;
    t->freed_ms = MAX(t->freed_ms, now_ms);
}

double qr_retry_after_rate(const QRRetryAfter *t, uint64_t now_ms)
{
    double freed = decayed(t, now_ms), observed_ms;

    if (t->observed_ms == 0 || freed < MIN_FREED ||
        now_ms < t->observed_ms + MIN_OBSERVED_MS)
        return 0;
    /* soon after the start, the window is not filled yet */
    observed_ms = (double)(now_ms - t->observed_ms);
    return 1000 * freed /
           (RATE_WINDOW_MS * (1 - exp(-observed_ms / RATE_WINDOW_MS)));
}

/*
 * Slots that become free per second from now on. When demand has just risen,
 * the calls that are open now end at a higher rate than those before. Calls
 * that hang end at no rate, so the rise that is believed is bounded.
 */
static double expected_rate(const QRRetryAfter *t, const QRRefusedCaller *c)
{
    double rate = qr_retry_after_rate(t, c->now_ms);
    double open_rate = 1000.0 * c->open_calls / MAX(c->mean_call_ms, 1);

    return CLAMP(open_rate, rate, rate * RISE_MAX);
}

/* Turns that each bucket adds. */
static double bucket_share(double per_s)
{
    return QR_RETRY_SHARE * per_s * QR_RETRY_BUCKET_MS / 1000;
}

/* Moves the ring to the current time. */
static void advance(QRRetryAfter *t, double share, uint64_t now_ms)
{
    uint64_t first = now_ms / QR_RETRY_BUCKET_MS;

    if (first < t->first || first - t->first >= QR_RETRY_BUCKETS) {
        memset(t->turns, 0, sizeof(t->turns));
        memset(t->surplus, 0, sizeof(t->surplus));
        t->credit = 0;
        t->first = first;
    }
    for (; t->first < first; t->first++) {
        unsigned at = t->first % QR_RETRY_BUCKETS;

        t->credit = MIN(t->credit + share - t->turns[at], 1);
        t->turns[at] = 0;
        t->surplus[at] = 0;
    }
}

static unsigned slot_of(const QRRetryAfter *t, unsigned i)
{
    return (unsigned)((t->first + i) % QR_RETRY_BUCKETS);
}

/* The buckets, counted from the current one, that a caller can use. */
typedef struct Span {
    uint64_t now_ms;
    unsigned min_ms, max_ms; /* least and longest delay */
    unsigned first, last;
} Span;

/* Returns false if the caller has too little time left. */
static bool usable_span(const QRRefusedCaller *c, Span *s)
{
    uint64_t offset = c->now_ms % QR_RETRY_BUCKET_MS;
    uint64_t most =
        (uint64_t)QR_RETRY_BUCKETS * QR_RETRY_BUCKET_MS - offset - 1;
    uint64_t heeded = c->left_ms / HEEDED_DIVISOR;

    if (heeded < WAY_MS + MIN_USABLE_MS)
        return false;
    s->now_ms = c->now_ms;
    s->max_ms = (unsigned)MIN(heeded - WAY_MS, most);
    s->min_ms =
        (unsigned)CLAMP(c->mean_call_ms * MIN_DELAY_SHARE, 1, s->max_ms / 2.0);
    s->first = (unsigned)((offset + s->min_ms) / QR_RETRY_BUCKET_MS);
    s->last = (unsigned)((offset + s->max_ms) / QR_RETRY_BUCKET_MS);
    return true;
}

/* A random delay inside the part of bucket 'i' that the caller can use. */
static unsigned delay_in(const Span *s, unsigned i, uint64_t random)
{
    unsigned offset = (unsigned)(s->now_ms % QR_RETRY_BUCKET_MS);
    unsigned start = i * QR_RETRY_BUCKET_MS;
    unsigned from = MAX(s->min_ms, start > offset ? start - offset : 0);
    unsigned to = MIN(s->max_ms, start + QR_RETRY_BUCKET_MS - 1 - offset);

    return from + (unsigned)(random % (to - from + 1));
}

/*
 * Returns the first bucket of the span with room for one turn more, or
 * QR_RETRY_BUCKETS. There is room if the credit of that bucket, and of each
 * later one, suffices for the turns allocated so far and this one.
 */
static unsigned find_room(const QRRetryAfter *t, const Span *s, double share)
{
    double credit[QR_RETRY_BUCKETS]; /* left after each bucket's turns */
    double lost[QR_RETRY_BUCKETS];   /* unused and not kept for the next one */
    double spare = HUGE_VAL;         /* that this and later buckets can miss */
    unsigned found = QR_RETRY_BUCKETS;
    double kept = t->credit;

    for (unsigned i = 0; i < QR_RETRY_BUCKETS; i++) {
        credit[i] = kept + share - t->turns[slot_of(t, i)];
        kept = MIN(credit[i], 1);
        lost[i] = credit[i] - kept;
    }
    for (unsigned i = QR_RETRY_BUCKETS; i-- > s->first;) {
        spare = MIN(credit[i], lost[i] + spare);
        if (i <= s->last && spare >= 1)
            found = i;
    }
    return found;
}

/* Returns the bucket with the fewest callers in the last part of the span. */
static unsigned least_harm(const QRRetryAfter *t, const Span *s)
{
    unsigned span = s->last - s->first + 1, best = s->last;
    unsigned from = s->last + 1 - MAX(1, (unsigned)(span * LAST_SHARE));
    unsigned fewest = G_MAXUINT;

    for (unsigned i = from; i <= s->last; i++) {
        unsigned at = slot_of(t, i), callers = t->turns[at] + t->surplus[at];

        if (callers < fewest) {
            fewest = callers;
            best = i;
        }
    }
    return best;
}

static void add_one(uint16_t *n)
{
    *n += *n < UINT16_MAX;
}

QRTurn qr_retry_after_take_turn(QRRetryAfter *t, const QRRefusedCaller *c,
                                unsigned *delay_ms)
{
    double share = bucket_share(expected_rate(t, c));
    QRTurn turn = QR_TURN_FREE;
    unsigned i;
    Span s;

    if (share <= 0 || !usable_span(c, &s))
        return QR_TURN_NONE;
    advance(t, share, c->now_ms);
    i = find_room(t, &s, share);
    if (i == QR_RETRY_BUCKETS) {
        i = least_harm(t, &s);
        turn = QR_TURN_FULL;
    }
    add_one(turn == QR_TURN_FREE ? &t->turns[slot_of(t, i)]
                                 : &t->surplus[slot_of(t, i)]);
    *delay_ms = delay_in(&s, i, c->random);
    return turn;
}

QRTurn qr_retry_after_ready(const QRRefusedCaller *c, uint64_t ready_ms,
                            unsigned *delay_ms)
{
    unsigned last;
    Span s;

    if (!usable_span(c, &s))
        return QR_TURN_NONE;
    /* also if it is overdue */
    ready_ms = MAX(ready_ms, s.min_ms);
    if (ready_ms < s.max_ms) {
        last = (unsigned)MIN(s.max_ms - ready_ms, READY_SPREAD_MS);
        *delay_ms = (unsigned)(ready_ms + c->random % (last + 1));
        return QR_TURN_READY;
    }
    last = (unsigned)(s.max_ms * LAST_SHARE);
    *delay_ms = s.max_ms - (unsigned)(c->random % (last + 1));
    return QR_TURN_FULL;
}

const char *qr_turn_name(QRTurn turn)
{
    static const char *const names[] = {"none", "free", "full", "ready"};

    return names[turn];
}
