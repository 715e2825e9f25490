/*
 * Where a call may run.
 */
#include "qr_placement.h"

#include <string.h>

bool qr_region_is_allowed(const GPtrArray *regions, const char *region)
{
    if (!regions)
        return true;
    for (unsigned i = 0; region && i < regions->len; i++) {
        if (strcmp(regions->pdata[i], region) == 0)
            return true;
    }
    return false;
}

QRPlacementVerdict qr_placement_check(const QRPlacement *p, const char *zone)
{
    const char *region;

    if (p->evacuations && qr_evacuations_has(p->evacuations, zone))
        return QR_PLACEMENT_EVACUATED;
    if (!p->route_regions && !p->team_regions)
        return QR_PLACEMENT_ALLOWED;
    region = p->regions ? g_hash_table_lookup(p->regions, zone) : NULL;
    return qr_region_is_allowed(p->route_regions, region) &&
                   qr_region_is_allowed(p->team_regions, region)
               ? QR_PLACEMENT_ALLOWED
               : QR_PLACEMENT_OTHER_REGION;
}
