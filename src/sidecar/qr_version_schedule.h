/*
 * Schedule of the versions of weights that a sidecar fetches: in which order,
 * which version is skipped in favor of a newer one, and when its engine
 * switches.
 *
 * Each version has its own bound, counted from the time when it was named.
 * Engines that serve a newer version within the bound of an older one need not
 * switch to the older one at all, and the origin then sends one copy, not two.
 */
#ifndef QR_VERSION_SCHEDULE_H
#define QR_VERSION_SCHEDULE_H

#include "base/qr_base.h"

/* How fast a version is transferred. A rate of 0 is unknown. */
typedef struct QRTransferRates {
    double origin_bytes_per_ms; /* that the origin sends to all sidecars */
    double link_bytes_per_ms;   /* of this host, for weights */
    uint32_t piece_bytes;
    uint32_t
        switch_ms; /* from a complete version to an engine that serves it */
} QRTransferRates;

/* A version that is being fetched. */
typedef struct QRScheduledVersion {
    uint64_t version;
    unsigned pieces_missing; /* here, of this version */
    uint64_t due_ms;         /* engines have to serve it by this time */
    bool skipped;            /* result: not to be fetched */
    uint64_t complete_ms;    /* result: forecast, fetched in order; for a
                                skipped version, if it were not skipped */
    bool in_time;            /* result: engines serve it by 'due_ms' */
} QRScheduledVersion;

/*
 * Decides on 'n' versions, oldest first, from what is missing of each. The
 * 'skipped' flags of the last call are inputs too: a skipped version is fetched
 * again only if the newer one will clearly miss its bound. Without known rates
 * nothing is skipped, and the results are 0.
 */
void qr_version_schedule(QRScheduledVersion *versions, unsigned n,
                         const QRTransferRates *rates, uint64_t now_ms);

/* Times between which the engines of all sidecars switch. */
typedef struct QRSwitchWindow {
    uint64_t first_ms, last_ms;
} QRSwitchWindow;

/*
 * Returns the time in which engines switch to a version that is complete here
 * since 'complete_ms'; 0: it is not. 'named_ms' and 'bound_ms' are those of the
 * oldest version that is newer than what the engine serves.
 */
QRSwitchWindow qr_switch_window(uint64_t named_ms, uint64_t bound_ms,
                                uint64_t complete_ms);

#endif
