/*
 * Retry budget over a sliding window, and its bound over all gateways.
 *
 * The bound: in any window, the retries that arrive at engines from all
 * gateways are at most the ratio x the calls + the allowance. The calls are
 * those of that window or of the window before, whichever are more. No gateway
 * knows the retries of the others, nor those of its own previous run (a run is
 * one process from start to exit). Each gateway therefore uses half of the
 * bound:
 *
 * - A run retries at most half the ratio x its own calls of the last window.
 *   These calls came in the window under consideration or in the one before,
 *   and each call counts for one run only. The sum over all runs is half the
 *   ratio x the calls of both windows, which is at most the ratio x the
 *   greater number, however runs end and calls move between gateways.
 * - A run uses its share of 0.4 of the allowance once the retries of the
 *   previous run are a window old. Until then the run uses its share of 0.1,
 *   divided by eight runs. If there are other gateways, no run uses any before
 *   two leases (2 s) of listening, which leaves at most six runs per window.
 *   The sum is half of the allowance if each gateway knows all gateways, and
 *   the whole allowance if each knows half of them.
 * - Retries that arrive up to a window late coincide with those sent a window
 *   later. The sum is twice the half, if calls come evenly and each gateway
 *   knows all gateways.
 *
 * Not covered: late retries for calls from before the two windows, if neither
 * window has as many calls.
 */
#include "qr_budget.h"

#include <string.h>

#define RATIO_FRACTION 0.5
#define ALLOWANCE_FRACTION 0.4
#define NEW_RUN_FRACTION 0.1
#define MAX_NEW_RUNS 8 /* of one gateway in a window */

void qr_budget_init(QRBudget *b, double ratio, uint32_t window_ms)
{
    memset(b, 0, sizeof(*b));
    b->ratio = ratio;
    b->window_ms = window_ms;
    b->slice_ms = (window_ms + QR_BUDGET_SLICES - 1) / QR_BUDGET_SLICES;
}

double qr_budget_allowance_share(const QRBudget *b, const QRBudgetFleet *fleet)
{
    double fraction = fleet->age_ms < b->window_ms
                          ? NEW_RUN_FRACTION / MAX_NEW_RUNS
                          : ALLOWANCE_FRACTION;

    return fleet->gateways ? fleet->allowance * fraction / fleet->gateways : 0;
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

void qr_budget_add_call(QRBudget *b, uint64_t now_ms)
{
    b->slices[current_slice(b, now_ms)].calls++;
}

bool qr_budget_take_retry(QRBudget *b, double allowance_share, uint64_t now_ms)
{
    unsigned at = current_slice(b, now_ms);
    uint64_t newest = b->slices[at].slice;
    /* retries count for at least a window, calls for at most a window */
    unsigned call_slices = b->window_ms / b->slice_ms;
    double calls = 0, retries = 1;

    for (unsigned i = 0; i < G_N_ELEMENTS(b->slices); i++) {
        if (b->slices[i].slice + QR_BUDGET_SLICES < newest)
            continue;
        retries += b->slices[i].retries;
        if (b->slices[i].slice + call_slices > newest)
            calls += b->slices[i].calls;
    }
    if (retries > b->ratio * RATIO_FRACTION * calls + allowance_share)
        return false;
    b->slices[at].retries++;
    return true;
}
