/*
 * Retry budget over a sliding window.
 */
#include "qr_budget.h"

#include <string.h>

#define ALLOWANCE_SHARE 0.7  /* the window slides, and is counted coarsely */
#define GATEWAYS_UNKNOWN 64u /* assumed during the first window */

void qr_budget_init(QRBudget *b, double ratio, uint32_t window_ms)
{
    memset(b, 0, sizeof(*b));
    b->ratio = ratio;
    b->window_ms = MAX(window_ms, QR_BUDGET_SLICES);
}

/*
 * One that has just started does not know how many others there are, nor what
 * was sent again before.
 */
double qr_budget_part(const QRBudget *b, const QRBudgetFleet *fleet)
{
    bool is_new = fleet->age_ms < b->window_ms;

    return fleet->allowance * ALLOWANCE_SHARE /
           MAX(fleet->gateways, is_new ? GATEWAYS_UNKNOWN : 1u);
}

static uint64_t slice_of(const QRBudget *b, uint64_t now_ms)
{
    return now_ms / (b->window_ms / QR_BUDGET_SLICES) + 1;
}

static unsigned current_slice(QRBudget *b, uint64_t now_ms)
{
    uint64_t slice = slice_of(b, now_ms);
    unsigned i = (unsigned)(slice % QR_BUDGET_SLICES);

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
    double calls = 0, retries = 1;

    for (unsigned i = 0; i < QR_BUDGET_SLICES; i++) {
        if (b->slices[i].slice + QR_BUDGET_SLICES <= newest)
            continue;
        calls += b->slices[i].calls;
        retries += b->slices[i].retries;
    }
    if (retries > b->ratio * calls + part)
        return false;
    b->slices[at].retries++;
    return true;
}
