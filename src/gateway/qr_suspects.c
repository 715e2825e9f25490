/*
 * Requests that may crash the engines that run them.
 *
 * At the end of an engine all that is at work there breaks off, up to as many
 * requests as it has places, and one that is asked often is nearly always among
 * them. So being there says little. What tells a request that crashes engines
 * from one that is only there: it is never answered, and each of its tries ends
 * an engine. Three tries count that came one after the other: engines that end
 * together, by whatever cause, are one try of all that was at work at them. A
 * single whole answer, anywhere, clears a request of all that was before.
 *
 * With engines that crash by themselves once in t seconds each, and requests
 * that take d, three tries in a row fail with probability (d / t)^3: for 40 ms
 * and 6 s 3e-7, for 1.3 s and 6 s 0.01, and only if no other like it is
 * answered meanwhile. What is asked often is, many times over.
 */
#include "qr_suspects.h"

#include <stdlib.h>
#include <string.h>

#define ROUNDS_TO_HOLD 3
/* Two requests that were at work at the same ends: it may be either, or
   neither. So many tries apart would show it; then both are held back. */
#define ROUNDS_TIED 5
/* A crashed engine takes seconds to come back, new weights minutes; each trial
   costs up to an engine's places of others. */
#define HOLD_FIRST_MS 120000
#define KEPT_MS 600000 /* without news: a request that comes once a minute */
#define ROWS_MOST 1024 /* 0.5 MB */
/* Two words of ends of an engine that does not say when it started: within so
   long they are of the same end. No engine is back sooner. */
#define SAME_END_MS 1000

void qr_suspects_init(QRSuspects *t)
{
    t->rows = g_hash_table_new_full(qr_fingerprint_hash, qr_fingerprint_equal,
                                    NULL, g_free);
    t->news = 0;
}

void qr_suspects_clear(QRSuspects *t)
{
    g_clear_pointer(&t->rows, g_hash_table_unref);
}

bool qr_suspects_is_empty(const QRSuspects *t)
{
    return g_hash_table_size(t->rows) == 0;
}

QRSuspect *qr_suspects_get(const QRSuspects *t, const QRFingerprint *f)
{
    return g_hash_table_lookup(t->rows, f);
}

bool qr_suspect_is_held(const QRSuspect *s, uint64_t now_ms)
{
    return now_ms < s->held_until_ms;
}

static bool is_same_run(const QRRunEnd *a, const QRRunEnd *b)
{
    uint64_t apart = a->ended_ms > b->ended_ms ? a->ended_ms - b->ended_ms
                                               : b->ended_ms - a->ended_ms;

    return a->engine == b->engine && a->born_ms == b->born_ms &&
           (a->born_ms != 0 || apart < SAME_END_MS);
}

static bool has_run(const QRSuspect *s, const QRRunEnd *end)
{
    for (unsigned i = 0; i < s->ends_count; i++) {
        if (is_same_run(&s->ends[i], end))
            return true;
    }
    return false;
}

static int by_end(const void *a, const void *b)
{
    const QRRunEnd *x = a, *y = b;

    return (x->ended_ms > y->ended_ms) - (x->ended_ms < y->ended_ms);
}

/*
 * The most ends that follow one another: of sendings that overlap, the one that
 * ended first. Returns their number, and the ends in 'chain'.
 */
static unsigned chain_of(const QRSuspect *s, QRRunEnd chain[QR_SUSPECT_ENDS])
{
    QRRunEnd sorted[QR_SUSPECT_ENDS];
    unsigned n = 0;

    memcpy(sorted, s->ends, sizeof(sorted));
    qsort(sorted, s->ends_count, sizeof(*sorted), by_end);
    for (unsigned i = 0; i < s->ends_count; i++) {
        const QRRunEnd *e = &sorted[i];

        /* what was sent before it was held back last counted then */
        if (e->ended_ms <= s->answered_ms || e->sent_ms < s->held_until_ms)
            continue;
        if (n > 0 &&
            (e->sent_ms < chain[n - 1].ended_ms ||
             e->ended_ms < chain[n - 1].ended_ms + QR_SUSPECT_APART_MS ||
             is_same_run(e, &chain[n - 1])))
            continue;
        chain[n++] = *e;
    }
    return n;
}

unsigned qr_suspect_rounds(const QRSuspect *s)
{
    QRRunEnd chain[QR_SUSPECT_ENDS];

    return chain_of(s, chain);
}

/* Whether another request was at work at all of these ends, too. */
static bool is_tied(const QRSuspects *t, const QRSuspect *s,
                    const QRRunEnd *chain, unsigned n)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRSuspect *other = value;
        unsigned same = 0;

        if (other == s || other->ends_count < n)
            continue;
        while (same < n && has_run(other, &chain[same]))
            same++;
        if (same == n)
            return true;
    }
    return false;
}

static void drop_end(QRSuspect *s, unsigned i)
{
    s->ends[i] = s->ends[--s->ends_count];
}

/* The request that is held back explains this end: it says nothing of others.
 */
static void explain(QRSuspects *t, const QRSuspect *held, const QRRunEnd *end)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        if (s == held || s->holds > 0)
            continue;
        for (unsigned i = s->ends_count; i > 0; i--) {
            if (is_same_run(&s->ends[i - 1], end))
                drop_end(s, i - 1);
        }
    }
}

static void explain_all(QRSuspects *t, const QRSuspect *held)
{
    for (unsigned i = 0; i < held->ends_count; i++)
        explain(t, held, &held->ends[i]);
}

static bool is_explained(const QRSuspects *t, const QRRunEnd *end)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRSuspect *s = value;

        if (s->holds > 0 && has_run(s, end))
            return true;
    }
    return false;
}

static uint64_t last_end_ms(const QRSuspect *s)
{
    uint64_t last = 0;

    for (unsigned i = 0; i < s->ends_count; i++)
        last = MAX(last, s->ends[i].ended_ms);
    return last;
}

/*
 * Judges anew whether the request is to be held back: once others have told
 * what else was at work at its last end. Nothing is sent on trial before.
 */
static void judge(QRSuspects *t, QRSuspect *s, uint64_t now_ms)
{
    QRRunEnd chain[QR_SUSPECT_ENDS];
    unsigned n, needed = s->holds > 0 ? 1 : ROUNDS_TO_HOLD;

    if (qr_suspect_is_held(s, now_ms) ||
        now_ms < last_end_ms(s) + QR_SUSPECT_APART_MS)
        return;
    s->is_due = false;
    n = chain_of(s, chain);
    if (n < needed ||
        (s->holds == 0 && n < ROUNDS_TIED && is_tied(t, s, chain, n)))
        return;
    s->held_until_ms =
        now_ms + MIN((uint64_t)HOLD_FIRST_MS << MIN(s->holds, 8u),
                     (uint64_t)QR_HOLD_MOST_MS);
    s->holds++;
    s->stored = false;
    if (!s->held_is_news)
        t->news++;
    s->held_is_news = true;
    explain_all(t, s);
}

/* Which row is dropped for another one: of few ends, of long ago. */
static bool is_worth_less(const QRSuspect *a, const QRSuspect *b)
{
    if ((a->holds > 0) != (b->holds > 0))
        return a->holds == 0;
    if (a->ends_count != b->ends_count)
        return a->ends_count < b->ends_count;
    return a->news_ms < b->news_ms;
}

static void remove_row(QRSuspects *t, QRSuspect *s)
{
    t->news -= s->held_is_news;
    g_hash_table_remove(t->rows, &s->fingerprint);
}

static void make_room(QRSuspects *t)
{
    QRSuspect *least = NULL;
    GHashTableIter it;
    void *value;

    if (g_hash_table_size(t->rows) < ROWS_MOST)
        return;
    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (!least || is_worth_less(value, least))
            least = value;
    }
    if (least)
        remove_row(t, least);
}

static QRSuspect *row_of(QRSuspects *t, const QRFingerprint *f, uint64_t now_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);

    if (!s) {
        make_room(t);
        s = g_new0(QRSuspect, 1);
        s->fingerprint = *f;
        g_hash_table_insert(t->rows, &s->fingerprint, s);
    }
    s->news_ms = MAX(s->news_ms, now_ms);
    return s;
}

static void add_end(QRSuspect *s, const QRRunEnd *end)
{
    unsigned oldest = 0;

    /* of several sendings to the same run the first one counts: it is the one
       that may have ended it */
    for (unsigned i = 0; i < s->ends_count; i++) {
        if (!is_same_run(&s->ends[i], end))
            continue;
        if (end->sent_ms < s->ends[i].sent_ms)
            s->ends[i] = *end;
        return;
    }
    s->ends_total++;
    if (s->ends_count < QR_SUSPECT_ENDS) {
        s->ends[s->ends_count++] = *end;
        return;
    }
    for (unsigned i = 1; i < s->ends_count; i++) {
        if (s->ends[i].ended_ms < s->ends[oldest].ended_ms)
            oldest = i;
    }
    s->ends[oldest] = *end;
}

QRSuspect *qr_suspects_ended(QRSuspects *t, const QRFingerprint *f,
                             const QRRunEnd *end, uint64_t now_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);

    if (s && end->ended_ms <= s->answered_ms)
        return NULL;
    if ((!s || s->holds == 0) && is_explained(t, end))
        return NULL;
    s = row_of(t, f, now_ms);
    add_end(s, end);
    if (s->holds > 0)
        explain(t, s, end);
    s->is_due = true;
    return s;
}

void qr_suspects_judge(QRSuspects *t, uint64_t now_ms)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        if (s->is_due)
            judge(t, s, now_ms);
    }
}

bool qr_suspect_is_own(const QRSuspect *s)
{
    return s->ends_count > 0 && s->own_end_ms >= last_end_ms(s);
}

bool qr_suspects_answered(QRSuspects *t, const QRFingerprint *f, uint64_t at_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);
    bool was_suspect;

    if (!s || at_ms <= s->answered_ms)
        return false;
    s->answered_ms = at_ms;
    s->news_ms = MAX(s->news_ms, at_ms);
    was_suspect = s->ends_count > 0 || s->holds > 0;
    for (unsigned i = s->ends_count; i > 0; i--) {
        if (s->ends[i - 1].ended_ms <= at_ms)
            drop_end(s, i - 1);
    }
    s->held_until_ms = 0;
    s->holds = 0;
    s->others_until_ms = 0;
    s->stored = false;
    s->store_due_ms = 0;
    t->news -= s->held_is_news;
    s->held_is_news = false;
    return was_suspect;
}

QRSuspect *qr_suspects_hold(QRSuspects *t, const QRFingerprint *f,
                            uint64_t until_ms, unsigned holds, uint64_t now_ms)
{
    QRSuspect *s = row_of(t, f, now_ms);

    s->held_until_ms = MAX(s->held_until_ms, until_ms);
    s->holds = MAX(s->holds, holds);
    explain_all(t, s);
    return s;
}

QRSuspicion qr_suspects_ask(QRSuspects *t, const QRFingerprint *f,
                            uint64_t now_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);

    if (!s)
        return QR_SUSPICION_NONE;
    judge(t, s, now_ms); /* a tie may be over */
    if (qr_suspect_is_held(s, now_ms))
        return QR_SUSPICION_HELD;
    if (s->holds == 0 && qr_suspect_rounds(s) == 0)
        return QR_SUSPICION_NONE;
    return s->own_trials > 0 || now_ms < s->others_until_ms ||
                   now_ms < last_end_ms(s) + QR_SUSPECT_APART_MS
               ? QR_SUSPICION_WAIT
               : QR_SUSPICION_TRIAL;
}

QRSuspect *qr_suspects_next_news(QRSuspects *t)
{
    GHashTableIter it;
    void *value;

    if (t->news == 0)
        return NULL;
    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        if (!s->held_is_news)
            continue;
        s->held_is_news = false;
        t->news--;
        return s;
    }
    return NULL;
}

void qr_suspects_sweep(QRSuspects *t, uint64_t now_ms)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        if (s->own_trials > 0 ||
            now_ms < MAX(s->news_ms, s->held_until_ms) + KEPT_MS)
            continue;
        t->news -= s->held_is_news;
        g_hash_table_iter_remove(&it);
    }
}
