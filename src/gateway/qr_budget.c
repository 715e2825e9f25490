/*
 * Retry budget over a sliding window, and what all gateways' budgets add up to.
 *
 * Allowed, in any window: the ratio x the calls of that window or of the one
 * before it, whichever are more, + the allowance; of what arrives at engines,
 * from all gateways. No gateway knows what the others do, nor what its own last
 * run did. So each takes half of all that, and by design:
 *
 * - A run of a gateway sends half the ratio x its own calls of the last window
 *   again. These came in the window that is looked at, or in the one before,
 *   and each counts for one run only. All runs together: half the ratio x the
 *   calls of both windows, that is the ratio x the greater at most, however
 *   runs end and calls move.
 * - A run takes its part of four tenths of the allowance once what the run
 *   before it sent is a window old. Until then it takes its part of a tenth,
 *   which is enough for eight runs. Where there are others, none takes any
 *   before it has listened for two leases (2 s), so there are six at most. All
 *   together: half of the allowance if each knows all gateways, the whole if
 *   each knows one in two.
 * - What is late by a window at most meets what is sent a window later: twice
 *   the half, if calls come evenly and each knows all gateways.
 *
 * Not covered: retries that come late, for calls of before the two windows,
 * where neither has as many.
 */
#include "qr_budget.h"

#include <string.h>

#define RATIO_SHARE 0.5
#define ALLOWANCE_SHARE 0.4
#define YOUNG_SHARE 0.1
#define YOUNG_RUNS 8 /* of a gateway in a window */

void qr_budget_init(QRBudget *b, double ratio, uint32_t window_ms)
{
    memset(b, 0, sizeof(*b));
    b->ratio = ratio;
    b->window_ms = window_ms;
    b->slice_ms = (window_ms + QR_BUDGET_SLICES - 1) / QR_BUDGET_SLICES;
}

double qr_budget_part(const QRBudget *b, const QRBudgetFleet *fleet)
{
    double share = fleet->age_ms < b->window_ms ? YOUNG_SHARE / YOUNG_RUNS
                                                : ALLOWANCE_SHARE;

    return fleet->gateways ? fleet->allowance * share / fleet->gateways : 0;
}

static unsigned current_slice(QRBudget *b, uint64_t now_ms)
{
    uint64_t slice = now_ms / b->slice_ms + 1;
    unsigned i = (unsigned)(slice % G_N_ELEMENTS(b->slices));

    if (b->slices[i].slice != slice) {
        b->slices[i].slice = slice;
        b->slices[i].calls = b->slices[i].retries = 0;
    }
    return i;
}

void qr_budget_call(QRBudget *b, uint64_t now_ms)
{
    b->slices[current_slice(b, now_ms)].calls++;
}

bool qr_budget_retry(QRBudget *b, double part, uint64_t now_ms)
{
    unsigned at = current_slice(b, now_ms);
    uint64_t newest = b->slices[at].slice;
    /* retries count for a window at least, calls for a window at most */
    unsigned call_slices = b->window_ms / b->slice_ms;
    double calls = 0, retries = 1;

    for (unsigned i = 0; i < G_N_ELEMENTS(b->slices); i++) {
        if (b->slices[i].slice + QR_BUDGET_SLICES < newest)
            continue;
        retries += b->slices[i].retries;
        if (b->slices[i].slice + call_slices > newest)
            calls += b->slices[i].calls;
    }
    if (retries > b->ratio * RATIO_SHARE * calls + part)
        return false;
    b->slices[at].retries++;
    return true;
}
