/*
 * Decides which suspects are held.
 *
 * A request is held after three consecutive tries without an answer, unless
 * another one was at work at all three ends as well.
 *
 * Many requests with a part of a prompt are at work at a time, at several
 * engines, so that ends follow one another too closely for a row of tries; and
 * the part's neighbours, the other parts of those prompts, are there at the
 * same ends. A part is held if it was at the ends of enough engines, in at
 * least two consecutive tries, while no request with it was answered. Of two
 * parts the one with more ends explains those of the other, which then has to
 * wait.
 */
#include "qr_suspects_parts.h"

#define TRIES_TO_HOLD 3
/* For two suspects that were at work at the same engine ends: either may be the
   cause, or neither. This many separate tries would tell them apart; if not,
   both are held. */
#define TRIES_TO_HOLD_TIED 5
/* Of a part that was answered before: it crashes no engine as long as weights
   do not change, and is then only by chance at several ends in a row. */
#define TRIES_TO_HOLD_ANSWERED 5
/* Engine ends, in two consecutive tries or more, after which a part is held. */
#define PART_TRIES_MIN 2
#define PART_ENDS_TO_HOLD 5
#define PART_ENDS_TO_HOLD_TIED 10
/* A crashed engine takes seconds to return, and a change of weights takes
   minutes. Each trial can interrupt as many other requests as an engine has
   slots. The duration doubles with each hold. */
#define FIRST_HOLD_MS 120000

/* How another suspect compares by the ends at which both were at work. */
typedef enum Rival {
    RIVAL_NONE,
    RIVAL_EQUAL,  /* it was at all of these ends */
    RIVAL_LARGER, /* at these and at others */
} Rival;

static bool contains_all(const QRSuspect *s, const QRRunEnd *ends, unsigned n)
{
    unsigned same = 0;

    while (same < n && qr_run_ends_contain(&s->ends, &ends[same]))
        same++;
    return same == n;
}

static bool is_part(const QRSuspect *s)
{
    return s->fingerprint.kind == QR_FINGERPRINT_PART;
}

/* Ends that are not explained by an answer or by an earlier hold, and of which
   other gateways have reported what was at work there. */
static unsigned count_ends(const QRSuspect *s, uint64_t now_ms,
                           QRRunEnd out[QR_MAX_RUN_ENDS])
{
    QRRunEndFilter filter = {s->answered_ms, now_ms - QR_MIN_TRY_GAP_MS,
                             s->held_until_ms};

    return qr_run_ends_select(&s->ends, &filter, out);
}

/* Whether another request was running at all of these ends as well. A part is
   no rival of a request, which is the narrower explanation. */
static bool is_request_tied(const QRSuspects *t, const QRSuspect *s,
                            const QRRunEnd *tries, unsigned n)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRSuspect *other = value;

        if (other != s && !is_part(other) && other->ends.count >= n &&
            other->stored_tries >= s->stored_tries &&
            contains_all(other, tries, n))
            return true;
    }
    return false;
}

/* The strongest other explanation of the part's ends. */
static Rival find_rival(const QRSuspects *t, const QRSuspect *s,
                        const QRRunEnd *ends, unsigned n, uint64_t now_ms)
{
    Rival found = RIVAL_NONE;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRSuspect *other = value;
        QRRunEnd others[QR_MAX_RUN_ENDS];

        if (other == s || other->ends.count < n ||
            other->stored_tries < s->stored_tries ||
            !contains_all(other, ends, n))
            continue;
        if (count_ends(other, now_ms, others) > n)
            return RIVAL_LARGER;
        found = RIVAL_EQUAL;
    }
    return found;
}

static bool may_hold_part(QRSuspects *t, QRSuspect *s, uint64_t now_ms)
{
    QRRunEnd ends[QR_MAX_RUN_ENDS], tries_in_row[QR_MAX_RUN_ENDS];
    unsigned n = count_ends(s, now_ms, ends);
    unsigned tries =
        s->stored_tries + qr_run_ends_consecutive(ends, n, tries_in_row);
    bool answered = s->answered_ms > 0;
    Rival rival;

    s->is_leading = false;
    if (n == 0 || tries < PART_TRIES_MIN)
        return s->hold_count > 0 && n > 0;
    rival = find_rival(t, s, ends, n, now_ms);
    s->is_leading =
        rival == RIVAL_NONE || (rival == RIVAL_EQUAL && tries >= TRIES_TO_HOLD);
    if (s->hold_count > 0)
        return true;
    if (rival == RIVAL_LARGER)
        return false;
    if (rival == RIVAL_EQUAL)
        return tries >= TRIES_TO_HOLD_TIED ||
               (!answered && n >= PART_ENDS_TO_HOLD_TIED);
    if (answered)
        return tries >= TRIES_TO_HOLD_ANSWERED;
    return tries >= TRIES_TO_HOLD || n >= PART_ENDS_TO_HOLD;
}

static bool may_hold_request(QRSuspects *t, QRSuspect *s)
{
    QRRunEnd tries_in_row[QR_MAX_RUN_ENDS];
    unsigned n = qr_suspect_count_tries(s, UINT64_MAX, tries_in_row);
    unsigned tries = n + s->stored_tries;

    if (s->hold_count > 0)
        return n > 0;
    return n > 0 && tries >= TRIES_TO_HOLD &&
           (tries >= TRIES_TO_HOLD_TIED ||
            !is_request_tied(t, s, tries_in_row, n));
}

static void hold(QRSuspects *t, QRSuspect *s, uint64_t now_ms)
{
    s->held_until_ms =
        now_ms + MIN((uint64_t)FIRST_HOLD_MS << MIN(s->hold_count, 8u),
                     (uint64_t)QR_MAX_HOLD_MS);
    s->hold_count++;
    s->stored_tries = 0;
    s->stored = false;
    if (!s->hold_unreported)
        t->unreported++;
    s->hold_unreported = true;
    qr_suspects_remove_explained(t, s);
}

/*
 * Waits QR_MIN_TRY_GAP_MS after an engine end until other gateways have
 * reported what was at work there. No trial of a request starts before that,
 * whereas ends under a part go on.
 */
void qr_suspects_evaluate_row(QRSuspects *t, QRSuspect *s, uint64_t now_ms)
{
    bool settled = now_ms >= qr_run_ends_last_ms(&s->ends) + QR_MIN_TRY_GAP_MS;

    if (qr_suspect_is_held(s, now_ms) || (!settled && !is_part(s)))
        return;
    s->needs_evaluation = !settled;
    if (is_part(s) ? may_hold_part(t, s, now_ms) : may_hold_request(t, s))
        hold(t, s, now_ms);
}

void qr_suspects_evaluate(QRSuspects *t, uint64_t now_ms)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        if (s->needs_evaluation)
            qr_suspects_evaluate_row(t, s, now_ms);
    }
}

void qr_suspects_remove_explained_end(QRSuspects *t, const QRSuspect *held,
                                      const QRRunEnd *end)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        if (s == held || s->hold_count > 0)
            continue;
        qr_run_ends_remove(&s->ends, end);
        if (s->ends.count == 0)
            s->has_team = s->is_leading = false;
    }
}

void qr_suspects_remove_explained(QRSuspects *t, const QRSuspect *held)
{
    for (unsigned i = 0; i < held->ends.count; i++)
        qr_suspects_remove_explained_end(t, held, &held->ends.rows[i]);
}

bool qr_suspects_is_explained(const QRSuspects *t, const QRRunEnd *end,
                              const QRSuspect *except)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRSuspect *s = value;

        if (s != except && s->hold_count > 0 &&
            qr_run_ends_contain(&s->ends, end))
            return true;
    }
    return false;
}
