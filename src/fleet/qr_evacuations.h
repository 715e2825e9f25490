/*
 * Availability zones that the operator has evacuated: engines there get no new
 * calls until the evacuation is lifted.
 *
 * Each zone holds the last change by its position in the store, whatever the
 * order in which changes arrive from the store and from other processes. A
 * lifted evacuation stays known, since an older record may still arrive. The
 * module does no I/O.
 */
#ifndef QR_EVACUATIONS_H
#define QR_EVACUATIONS_H

#include "base/qr_base.h"
#include "qr_position.h"

typedef struct QREvacuations {
    GHashTable *by_zone; /* zone -> Evacuation *, private to the module */
    unsigned count;      /* zones that are evacuated now */
    QRPosition newest;   /* of the last known change; none: no change known */
} QREvacuations;

void qr_evacuations_init(QREvacuations *e);
void qr_evacuations_clear(QREvacuations *e);
/* Applies a change. Returns false if a later one, or this one, is known. */
bool qr_evacuations_apply(QREvacuations *e, const char *zone, bool evacuated,
                          QRPosition position);
bool qr_evacuations_has(const QREvacuations *e, const char *zone);
/*
 * Whether 'zone' is evacuated by a record that a complete listing of the store
 * which ends at 'end' would hold. A store that was restored to an earlier
 * state, in a later epoch, may have lost the record; that does not lift the
 * evacuation.
 */
bool qr_evacuations_is_listed(const QREvacuations *e, const char *zone,
                              QRPosition end);

#endif
