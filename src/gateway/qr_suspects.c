/*
 * Table of suspects: requests, and parts of prompts, that may crash the engines
 * that run them. qr_suspects_hold.c decides which are held.
 *
 * When an engine ends, all requests that it was running are interrupted, up to
 * its number of slots. A frequent request is nearly always among them, which
 * alone proves nothing. A request that crashes engines differs in two ways: the
 * request is never answered, and each try ends an engine. A request is held
 * after three consecutive tries. Engines that end together, from whatever
 * cause, count as one try of every request that was running there. One complete
 * answer to a request, from any engine, clears all earlier suspicion.
 *
 * If each engine crashes by itself once in t seconds and a request takes d, an
 * innocent request fails three consecutive tries with probability (d / t)^3:
 * 3e-7 for 40 ms and 6 s, 0.01 for 1.3 s and 6 s. The request is held only if
 * none with the same fingerprint is answered in the meantime; a frequent
 * request gets many answers in that time.
 */
#include "qr_suspects_parts.h"

#include <string.h>

/* Time without a report after which a suspect is removed: long enough for a
   request that comes once a minute. */
#define EXPIRY_MS 600000
#define MAX_ROWS 1024 /* about 0.5 MB */

void qr_suspects_init(QRSuspects *t)
{
    t->rows = g_hash_table_new_full(qr_fingerprint_hash, qr_fingerprint_equal,
                                    NULL, g_free);
    t->unreported = 0;
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

unsigned qr_suspect_count_tries(const QRSuspect *s, uint64_t until_ms,
                                QRRunEnd tries[QR_MAX_RUN_ENDS])
{
    /* requests sent before the last hold began were counted for that hold */
    QRRunEndFilter filter = {s->answered_ms, until_ms, s->held_until_ms};
    QRRunEnd ends[QR_MAX_RUN_ENDS];
    unsigned n = qr_run_ends_select(&s->ends, &filter, ends);

    return qr_run_ends_consecutive(ends, n, tries);
}

unsigned qr_suspect_tries(const QRSuspect *s)
{
    QRRunEnd tries[QR_MAX_RUN_ENDS];

    return qr_suspect_count_tries(s, UINT64_MAX, tries) + s->stored_tries;
}

/* Eviction order: rows without a hold first, then those with fewer ends, then
   the ones without a report for longest. */
static bool is_evicted_before(const QRSuspect *a, const QRSuspect *b)
{
    unsigned a_ends = a->ends.count + a->stored_tries;
    unsigned b_ends = b->ends.count + b->stored_tries;

    if ((a->hold_count > 0) != (b->hold_count > 0))
        return a->hold_count == 0;
    if (a_ends != b_ends)
        return a_ends < b_ends;
    return a->updated_ms < b->updated_ms;
}

static void remove_row(QRSuspects *t, QRSuspect *s)
{
    t->unreported -= s->hold_unreported;
    g_hash_table_remove(t->rows, &s->fingerprint);
}

static void evict_if_full(QRSuspects *t)
{
    QRSuspect *least = NULL;
    GHashTableIter it;
    void *value;

    if (g_hash_table_size(t->rows) < MAX_ROWS)
        return;
    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (!least || is_evicted_before(value, least))
            least = value;
    }
    if (least)
        remove_row(t, least);
}

static QRSuspect *find_or_add(QRSuspects *t, const QRFingerprint *f,
                              uint64_t now_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);

    if (!s) {
        evict_if_full(t);
        s = g_new0(QRSuspect, 1);
        s->fingerprint = *f;
        g_hash_table_insert(t->rows, &s->fingerprint, s);
    }
    s->updated_ms = MAX(s->updated_ms, now_ms);
    return s;
}

/* Of a part: widens the hold to the team whose requests were at the end. */
static void note_team(QRSuspect *s, uint64_t team)
{
    if (!s->has_team)
        s->team = team;
    else if (s->team != team)
        s->team = QR_TEAM_SEVERAL;
    s->has_team = true;
}

QRSuspect *qr_suspects_add_end(QRSuspects *t, const QRFingerprint *f,
                               const QRRunEnd *end, uint64_t now_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);
    bool was_held = s && s->hold_count > 0;
    bool explained;

    if (s && end->ended_ms <= s->answered_ms)
        return NULL;
    explained = qr_suspects_is_explained(t, end, s);
    if (!was_held && explained)
        return NULL;
    s = find_or_add(t, f, now_ms);
    qr_run_ends_add(&s->ends, end);
    if (!explained)
        note_team(s, end->team);
    if (was_held)
        qr_suspects_remove_explained_end(t, s, end);
    s->needs_evaluation = true;
    return s;
}

bool qr_suspect_last_end_is_local(const QRSuspect *s)
{
    return s->ends.count > 0 &&
           s->local_end_ms >= qr_run_ends_last_ms(&s->ends);
}

bool qr_suspects_note_answer(QRSuspects *t, const QRFingerprint *f,
                             uint64_t at_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);
    bool was_suspect;

    if (!s || at_ms <= s->answered_ms)
        return false;
    s->answered_ms = at_ms;
    s->updated_ms = MAX(s->updated_ms, at_ms);
    was_suspect = s->ends.count > 0 || s->hold_count > 0 || s->stored_tries > 0;
    s->stored_tries = 0;
    qr_run_ends_remove_until(&s->ends, at_ms);
    /* a late report of the answer does not cover later ends */
    if (s->ends.count > 0)
        return was_suspect;
    s->held_until_ms = 0;
    s->hold_count = 0;
    s->has_team = s->is_leading = false;
    s->remote_trial_until_ms = 0;
    s->stored = false;
    s->write_due_ms = 0;
    t->unreported -= s->hold_unreported;
    s->hold_unreported = false;
    return was_suspect;
}

QRSuspect *qr_suspects_add_stored_tries(QRSuspects *t, const QRFingerprint *f,
                                        unsigned tries, uint64_t now_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);

    if (s && s->answered_ms > 0)
        return NULL;
    s = find_or_add(t, f, now_ms);
    /* a suspect with known ends may already include the stored tries */
    if (s->ends.count == 0)
        s->stored_tries = MAX(s->stored_tries, tries);
    return s;
}

QRSuspect *qr_suspects_hold(QRSuspects *t, const QRFingerprint *f,
                            const QRHold *hold, uint64_t now_ms)
{
    QRSuspect *s = find_or_add(t, f, now_ms);

    s->held_until_ms = MAX(s->held_until_ms, hold->until_ms);
    s->hold_count = MAX(s->hold_count, hold->count);
    note_team(s, hold->team);
    qr_suspects_remove_explained(t, s);
    return s;
}

static bool concerns_team(const QRSuspect *s, uint64_t team)
{
    return s->fingerprint.kind == QR_FINGERPRINT_REQUEST ||
           s->team == QR_TEAM_SEVERAL || s->team == team;
}

QRSuspicion qr_suspects_check(QRSuspects *t, const QRFingerprint *f,
                              uint64_t team, uint64_t now_ms)
{
    QRSuspect *s = qr_suspects_get(t, f);

    if (!s || !concerns_team(s, team))
        return QR_SUSPICION_NONE;
    /* the tie with another suspect may be resolved */
    qr_suspects_evaluate_row(t, s, now_ms);
    if (qr_suspect_is_held(s, now_ms))
        return QR_SUSPICION_HELD;
    /* most suspect parts are harmless, and often asked for */
    if (s->hold_count == 0 &&
        (f->kind == QR_FINGERPRINT_PART || qr_suspect_tries(s) == 0))
        return QR_SUSPICION_NONE;
    return s->local_trials > 0 || now_ms < s->remote_trial_until_ms ||
                   now_ms < qr_run_ends_last_ms(&s->ends) + QR_MIN_TRY_GAP_MS
               ? QR_SUSPICION_WAIT
               : QR_SUSPICION_TRIAL;
}

QRSuspect *qr_suspects_next_unreported(QRSuspects *t)
{
    GHashTableIter it;
    void *value;

    if (t->unreported == 0)
        return NULL;
    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        if (!s->hold_unreported)
            continue;
        s->hold_unreported = false;
        t->unreported--;
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

        if (s->local_trials > 0 ||
            now_ms < MAX(s->updated_ms, s->held_until_ms) + EXPIRY_MS)
            continue;
        t->unreported -= s->hold_unreported;
        g_hash_table_iter_remove(&it);
    }
}
