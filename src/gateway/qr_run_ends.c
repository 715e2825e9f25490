/*
 * The engine ends that one request is associated with. The count of tries does
 * not depend on the order in which ends are reported, nor on duplicates.
 */
#include "qr_run_ends.h"

#include <stdlib.h>
#include <string.h>

/* If an engine does not report its start time, two reported ends within this
   time are taken for the same end. No engine restarts faster. */
#define SAME_END_MS 1000

static bool is_same_run(const QRRunEnd *a, const QRRunEnd *b)
{
    uint64_t gap_ms = a->ended_ms > b->ended_ms ? a->ended_ms - b->ended_ms
                                                : b->ended_ms - a->ended_ms;

    return a->engine_hash == b->engine_hash && a->born_ms == b->born_ms &&
           (a->born_ms != 0 || gap_ms < SAME_END_MS);
}

bool qr_run_ends_contain(const QRRunEnds *ends, const QRRunEnd *end)
{
    for (unsigned i = 0; i < ends->count; i++) {
        if (is_same_run(&ends->rows[i], end))
            return true;
    }
    return false;
}

void qr_run_ends_add(QRRunEnds *ends, const QRRunEnd *end)
{
    unsigned oldest = 0;

    /* if the request was sent to the same run several times, only the first
       counts, since that one may have ended the run */
    for (unsigned i = 0; i < ends->count; i++) {
        bool same_team = ends->rows[i].team == end->team;

        if (!is_same_run(&ends->rows[i], end))
            continue;
        if (end->sent_ms < ends->rows[i].sent_ms)
            ends->rows[i] = *end;
        if (!same_team)
            ends->rows[i].team = QR_TEAM_SEVERAL;
        return;
    }
    ends->total++;
    if (ends->count < QR_MAX_RUN_ENDS) {
        ends->rows[ends->count++] = *end;
        return;
    }
    for (unsigned i = 1; i < ends->count; i++) {
        if (ends->rows[i].ended_ms < ends->rows[oldest].ended_ms)
            oldest = i;
    }
    ends->rows[oldest] = *end;
}

void qr_run_ends_remove(QRRunEnds *ends, const QRRunEnd *end)
{
    for (unsigned i = ends->count; i > 0; i--) {
        if (is_same_run(&ends->rows[i - 1], end))
            ends->rows[i - 1] = ends->rows[--ends->count];
    }
}

void qr_run_ends_remove_until(QRRunEnds *ends, uint64_t until_ms)
{
    for (unsigned i = ends->count; i > 0; i--) {
        if (ends->rows[i - 1].ended_ms <= until_ms)
            ends->rows[i - 1] = ends->rows[--ends->count];
    }
}

uint64_t qr_run_ends_last_ms(const QRRunEnds *ends)
{
    uint64_t last = 0;

    for (unsigned i = 0; i < ends->count; i++)
        last = MAX(last, ends->rows[i].ended_ms);
    return last;
}

static int compare_ended_ms(const void *a, const void *b)
{
    const QRRunEnd *x = a, *y = b;

    return (x->ended_ms > y->ended_ms) - (x->ended_ms < y->ended_ms);
}

/* Whether 'next' is a separate try: sent after the end 'last', and to a run
   that ended late enough after it to have another cause. */
static bool follows(const QRRunEnd *next, const QRRunEnd *last)
{
    return next->sent_ms >= last->ended_ms &&
           next->ended_ms >= last->ended_ms + QR_MIN_TRY_GAP_MS &&
           !is_same_run(next, last);
}

unsigned qr_run_ends_select(const QRRunEnds *ends, const QRRunEndFilter *filter,
                            QRRunEnd out[QR_MAX_RUN_ENDS])
{
    unsigned n = 0;

    for (unsigned i = 0; i < ends->count; i++) {
        const QRRunEnd *e = &ends->rows[i];

        if (e->ended_ms > filter->after_ms && e->ended_ms <= filter->until_ms &&
            e->sent_ms >= filter->sent_from_ms)
            out[n++] = *e;
    }
    qsort(out, n, sizeof(*out), compare_ended_ms);
    return n;
}

unsigned qr_run_ends_consecutive(const QRRunEnd *ends, unsigned count,
                                 QRRunEnd tries[QR_MAX_RUN_ENDS])
{
    unsigned n = 0;

    /* of overlapping tries, taking the earliest end gives the longest chain */
    for (unsigned i = 0; i < count; i++) {
        if (n == 0 || follows(&ends[i], &tries[n - 1]))
            tries[n++] = ends[i];
    }
    return n;
}
