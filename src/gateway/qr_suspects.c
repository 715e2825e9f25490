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

#include <string.h>

#define TRIES_TO_HOLD 3
/* Two requests that were at work at the same ends: it may be either, or
   neither. So many tries apart would show it; then both are held back. */
#define TRIES_TIED 5
/* A crashed engine takes seconds to come back, new weights minutes; each trial
   costs up to an engine's places of others. */
#define HOLD_FIRST_MS 120000
#define KEPT_MS 600000 /* without news: a request that comes once a minute */
#define ROWS_MOST 1024 /* 0.5 MB */

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

static unsigned tries_of(const QRSuspect *s, QRRunEnd row[QR_RUN_ENDS])
{
    /* what was sent before it was held back last counted then */
    return qr_run_ends_in_a_row(&s->ends, s->answered_ms, s->held_until_ms,
                                row);
}

unsigned qr_suspect_tries(const QRSuspect *s)
{
    QRRunEnd row[QR_RUN_ENDS];

    return tries_of(s, row) + s->tries_before;
}

/* Whether another request was at work at all of these ends, too. */
static bool is_tied(const QRSuspects *t, const QRSuspect *s,
                    const QRRunEnd *row, unsigned n)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRSuspect *other = value;
        unsigned same = 0;

        if (other == s || other->ends.count < n ||
            other->tries_before < s->tries_before)
            continue;
        while (same < n && qr_run_ends_have(&other->ends, &row[same]))
            same++;
        if (same == n)
            return true;
    }
    return false;
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

        if (s != held && s->holds == 0)
            qr_run_ends_remove(&s->ends, end);
    }
}

static void explain_all(QRSuspects *t, const QRSuspect *held)
{
    for (unsigned i = 0; i < held->ends.count; i++)
        explain(t, held, &held->ends.rows[i]);
}

static bool is_explained(const QRSuspects *t, const QRRunEnd *end)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRSuspect *s = value;

        if (s->holds > 0 && qr_run_ends_have(&s->ends, end))
            return true;
    }
    return false;
}

/*
 * Judges anew whether the request is to be held back: once others have told
 * what else was at work at its last end. Nothing is sent on trial before.
 */
static void judge(QRSuspects *t, QRSuspect *s, uint64_t now_ms)
{
    QRRunEnd row[QR_RUN_ENDS];
    unsigned n, tries, needed = s->holds > 0 ? 1 : TRIES_TO_HOLD;

    if (qr_suspect_is_held(s, now_ms) ||
        now_ms < qr_run_ends_last_ms(&s->ends) + QR_RUN_ENDS_APART_MS)
        return;
    s->is_due = false;
    n = tries_of(s, row);
    tries = n + s->tries_before;
    if (n == 0 || tries < needed ||
        (s->holds == 0 && tries < TRIES_TIED && is_tied(t, s, row, n)))
        return;
    s->held_until_ms =
        now_ms + MIN((uint64_t)HOLD_FIRST_MS << MIN(s->holds, 8u),
                     (uint64_t)QR_HOLD_MOST_MS);
    s->holds++;
    s->tries_before = 0;
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
    if (a->ends.count != b->ends.count)
        return a->ends.count < b->ends.count;
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

QRSuspect *qr_suspects_ended(QRSuspects *t, const QRFingerprint *f,
                             const QRRunEnd *end, uint64_t now_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);

    if (s && end->ended_ms <= s->answered_ms)
        return NULL;
    if ((!s || s->holds == 0) && is_explained(t, end))
        return NULL;
    s = row_of(t, f, now_ms);
    qr_run_ends_add(&s->ends, end);
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
    return s->ends.count > 0 && s->own_end_ms >= qr_run_ends_last_ms(&s->ends);
}

bool qr_suspects_answered(QRSuspects *t, const QRFingerprint *f, uint64_t at_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);
    bool was_suspect;

    if (!s || at_ms <= s->answered_ms)
        return false;
    s->answered_ms = at_ms;
    s->news_ms = MAX(s->news_ms, at_ms);
    was_suspect = s->ends.count > 0 || s->holds > 0 || s->tries_before > 0;
    s->tries_before = 0;
    qr_run_ends_forget(&s->ends, at_ms);
    if (s->ends.count > 0) /* told late: it says nothing of later ends */
        return was_suspect;
    s->held_until_ms = 0;
    s->holds = 0;
    s->others_until_ms = 0;
    s->stored = false;
    s->store_due_ms = 0;
    t->news -= s->held_is_news;
    s->held_is_news = false;
    return was_suspect;
}

QRSuspect *qr_suspects_tried(QRSuspects *t, const QRFingerprint *f,
                             unsigned tries, uint64_t now_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);

    if (s && s->answered_ms > 0)
        return NULL;
    s = row_of(t, f, now_ms);
    /* one that knows ends itself may know these */
    if (s->ends.count == 0)
        s->tries_before = MAX(s->tries_before, tries);
    return s;
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
    if (s->holds == 0 && qr_suspect_tries(s) == 0)
        return QR_SUSPICION_NONE;
    return s->own_trials > 0 || now_ms < s->others_until_ms ||
                   now_ms < qr_run_ends_last_ms(&s->ends) + QR_RUN_ENDS_APART_MS
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
