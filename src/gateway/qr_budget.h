/*
 * Retry budget: over a sliding window, sendings beyond the first of each call
 * stay under a share of the calls plus an allowance.
 */
#ifndef QR_BUDGET_H
#define QR_BUDGET_H

#include "base/qr_base.h"

#define QR_BUDGET_SLICES 64 /* of a window */

typedef struct QRBudget {
    double ratio; /* retries per call */
    uint32_t window_ms, slice_ms;
    struct {
        uint64_t slice; /* number of the slice of time that it counts */
        uint32_t calls, retries;
    } slices[QR_BUDGET_SLICES + 1]; /* and the one under way */
} QRBudget;

/* What a process knows of the gateways that share the allowance. */
typedef struct QRBudgetFleet {
    double allowance;  /* retries a window beside the share, all gateways */
    unsigned gateways; /* the most known, this one too; 0: nobody knows yet */
    uint64_t age_ms;   /* since this process started */
} QRBudgetFleet;

void qr_budget_init(QRBudget *b, double ratio, uint32_t window_ms);
/* This process's part of the allowance. */
double qr_budget_part(const QRBudget *b, const QRBudgetFleet *fleet);
void qr_budget_call(QRBudget *b, uint64_t now_ms);
/*
 * Takes one retry if the window allows it. 'part' is this process's part of
 * the retries that are allowed beside the share.
 */
bool qr_budget_retry(QRBudget *b, double part, uint64_t now_ms);

#endif
