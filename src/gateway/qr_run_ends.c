/*
 * Ends of runs of engines at which one request was at work. What is counted
 * does not depend on the order in which they are told, nor on how often.
 */
#include "qr_run_ends.h"

#include <stdlib.h>
#include <string.h>

/* Two words of ends of an engine that does not say when it started: within so
   long they are of the same end. No engine is back sooner. */
#define SAME_END_MS 1000

static bool is_same_run(const QRRunEnd *a, const QRRunEnd *b)
{
    uint64_t apart = a->ended_ms > b->ended_ms ? a->ended_ms - b->ended_ms
                                               : b->ended_ms - a->ended_ms;

    return a->engine == b->engine && a->born_ms == b->born_ms &&
           (a->born_ms != 0 || apart < SAME_END_MS);
}

bool qr_run_ends_have(const QRRunEnds *ends, const QRRunEnd *end)
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

    /* of several sendings to the same run the first one counts: it is the one
       that may have ended it */
    for (unsigned i = 0; i < ends->count; i++) {
        if (!is_same_run(&ends->rows[i], end))
            continue;
        if (end->sent_ms < ends->rows[i].sent_ms)
            ends->rows[i] = *end;
        return;
    }
    ends->total++;
    if (ends->count < QR_RUN_ENDS) {
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

void qr_run_ends_forget(QRRunEnds *ends, uint64_t until_ms)
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

static int by_end(const void *a, const void *b)
{
    const QRRunEnd *x = a, *y = b;

    return (x->ended_ms > y->ended_ms) - (x->ended_ms < y->ended_ms);
}

/* Whether 'next' is of another cause than 'last', as far as that shows. */
static bool follows(const QRRunEnd *next, const QRRunEnd *last)
{
    return next->sent_ms >= last->ended_ms &&
           next->ended_ms >= last->ended_ms + QR_RUN_ENDS_APART_MS &&
           !is_same_run(next, last);
}

unsigned qr_run_ends_in_a_row(const QRRunEnds *ends, uint64_t after_ms,
                              uint64_t sent_from_ms, QRRunEnd row[QR_RUN_ENDS])
{
    QRRunEnd sorted[QR_RUN_ENDS];
    unsigned n = 0;

    memcpy(sorted, ends->rows, sizeof(sorted));
    qsort(sorted, ends->count, sizeof(*sorted), by_end);
    /* of sendings that overlap the one that ended first: so most follow */
    for (unsigned i = 0; i < ends->count; i++) {
        const QRRunEnd *e = &sorted[i];

        if (e->ended_ms <= after_ms || e->sent_ms < sent_from_ms)
            continue;
        if (n == 0 || follows(e, &row[n - 1]))
            row[n++] = *e;
    }
    return n;
}
