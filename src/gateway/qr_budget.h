/*
 * Retry budget: over a sliding window, a process may send a share of its calls
 * again, plus an allowance.
 */
#ifndef QR_BUDGET_H
#define QR_BUDGET_H

#include "base/qr_base.h"

#define QR_BUDGET_SLICES 64 /* of a window */

typedef struct QRBudget {
    double ratio; /* retries per call */
    uint32_t window_ms, slice_ms;
    struct {
        uint64_t slice; /* number of the time slice that the entry counts */
        uint32_t calls, retries;
    } slices[QR_BUDGET_SLICES + 1]; /* a window and the current slice */
} QRBudget;

/* What a process knows of the gateways that share the allowance. */
typedef struct QRBudgetFleet {
    double allowance;  /* retries per window beyond the ratio, all gateways */
    unsigned gateways; /* largest number known, this one included; 0: not yet
                          known */
    uint64_t age_ms;   /* since this process started */
} QRBudgetFleet;

void qr_budget_init(QRBudget *b, double ratio, uint32_t window_ms);
/* Returns this process's share of the allowance, in retries per window. */
double qr_budget_allowance_share(const QRBudget *b, const QRBudgetFleet *fleet);
void qr_budget_add_call(QRBudget *b, uint64_t now_ms);
/*
 * Takes one retry from the budget. Returns false if the window allows none.
 * 'allowance_share' is what qr_budget_allowance_share() returns.
 */
bool qr_budget_take_retry(QRBudget *b, double allowance_share, uint64_t now_ms);

#endif
