/*
 * Schedule of the versions of weights that a sidecar fetches.
 */
#include "qr_version_schedule.h"

/* From the last byte that the origin sends to the last sidecar that has it: a
   piece passes an owner, a relay of the region and the sidecar's queue. */
#define DISTRIBUTE_MS 800
/* A skipped version is fetched again only if the newer one is this late: both
   forecasts move by some 100 ms as pieces arrive. */
#define SKIP_HYSTERESIS_MS 600
/* The first engines switch this long after the naming: by then the first
   sidecars have all pieces. */
#define SWITCH_LEAD_MS 2200
/* The last engine is ordered to start this long before the bound. */
#define LAST_ORDER_MARGIN_MS 1200

static double transfer_ms(const QRScheduledVersion *v,
                          const QRTransferRates *rates)
{
    double bytes = (double)v->pieces_missing * rates->piece_bytes;
    double rate = rates->origin_bytes_per_ms;

    /* each sidecar receives as much as the origin sends */
    if (rates->link_bytes_per_ms > 0)
        rate = MIN(rate, rates->link_bytes_per_ms);
    return v->pieces_missing > 0 ? bytes / rate + DISTRIBUTE_MS : 0;
}

static bool is_served_by(const QRScheduledVersion *v, double complete_ms,
                         const QRTransferRates *rates)
{
    return complete_ms + rates->switch_ms <= (double)v->due_ms;
}

/* Whether the newer version, fetched alone, makes the older one needless. */
static bool replaces(const QRScheduledVersion *newer,
                     const QRScheduledVersion *older,
                     const QRTransferRates *rates, uint64_t now_ms)
{
    double older_ms = (double)now_ms + transfer_ms(older, rates);
    double newer_ms = (double)now_ms + transfer_ms(newer, rates);
    double slack_ms = older->skipped ? SKIP_HYSTERESIS_MS : 0;

    /* an older version that is complete costs nothing more */
    if (older->pieces_missing == 0)
        return false;
    return newer_ms <= older_ms + slack_ms ||
           is_served_by(older, newer_ms - slack_ms, rates);
}

void qr_version_schedule(QRScheduledVersion *versions, unsigned n,
                         const QRTransferRates *rates, uint64_t now_ms)
{
    double at_ms = (double)now_ms;

    if (rates->origin_bytes_per_ms <= 0 || rates->piece_bytes == 0) {
        for (unsigned i = 0; i < n; i++) {
            versions[i].skipped = versions[i].in_time = false;
            versions[i].complete_ms = 0;
        }
        return;
    }
    /* a skipped version is not fetched, so that it replaces no other */
    for (unsigned i = n; i > 0; i--) {
        bool skipped = false;

        for (unsigned k = i; k < n && !skipped; k++)
            skipped = !versions[k].skipped &&
                      replaces(&versions[k], &versions[i - 1], rates, now_ms);
        versions[i - 1].skipped = skipped;
    }
    for (unsigned i = 0; i < n; i++) {
        QRScheduledVersion *v = &versions[i];
        double complete_ms = at_ms + transfer_ms(v, rates);

        if (!v->skipped)
            at_ms = complete_ms;
        v->complete_ms = (uint64_t)complete_ms;
        v->in_time = is_served_by(v, complete_ms, rates);
    }
}

QRSwitchWindow qr_switch_window(uint64_t named_ms, uint64_t bound_ms,
                                uint64_t complete_ms)
{
    QRSwitchWindow w = {
        .first_ms = named_ms + MIN(SWITCH_LEAD_MS, bound_ms / 3),
        .last_ms = named_ms + bound_ms - MIN(bound_ms, LAST_ORDER_MARGIN_MS),
    };

    w.first_ms = MAX(w.first_ms, complete_ms);
    w.last_ms = MAX(w.first_ms, w.last_ms);
    return w;
}
