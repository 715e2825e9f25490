/*
 * Where a call may run: the regions that its route and its team allow, and the
 * availability zones that the operator has evacuated. The module does no I/O.
 */
#ifndef QR_PLACEMENT_H
#define QR_PLACEMENT_H

#include "base/qr_base.h"
#include "qr_evacuations.h"

/* The constraints of one call. Everything is borrowed. */
typedef struct QRPlacement {
    /* Region names; NULL: every region, empty: none. Both lists bind. */
    const GPtrArray *route_regions, *team_regions;
    GHashTable *regions;              /* zone -> region */
    const QREvacuations *evacuations; /* NULL: no zone is evacuated */
} QRPlacement;

typedef enum QRPlacementVerdict {
    QR_PLACEMENT_ALLOWED,
    QR_PLACEMENT_OTHER_REGION, /* not allowed by the route or the team */
    QR_PLACEMENT_EVACUATED,
} QRPlacementVerdict;

/* Whether a call may run at an engine in 'zone'. A zone of unknown region is
   allowed only if no list restricts the call. */
QRPlacementVerdict qr_placement_check(const QRPlacement *p, const char *zone);
/* Whether 'regions' is NULL or contains 'region'. */
bool qr_region_is_allowed(const GPtrArray *regions, const char *region);

#endif
