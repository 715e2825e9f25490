/*
 * Where a sidecar draws a piece of weights from, and when it switches.
 *
 * The sidecars stand in an order that all agree on who see the same members.
 * Piece i is drawn from the origin by the sidecar of place i, once in each
 * region from that one by the region's sidecar of place i, and by the others
 * from their region's. So the origin sends one copy, each link between regions
 * carries about one, and every sidecar sends about one. Whoever holds the
 * whole version already goes before all these.
 */
#ifndef QR_SOURCES_H
#define QR_SOURCES_H

#include "fleet/qr_members.h"

/* The sidecars of one service, in the order for one version. */
typedef struct QRSourcePlan {
    const char *self, *region;
    GPtrArray *all, *near;             /* QRFleetMember *: all, of the region */
    GPtrArray *holders, *near_holders; /* those that hold the version */
} QRSourcePlan;

/* 'members' are QRFleetMember *: sidecars that count, this one too. */
void qr_source_plan_init(QRSourcePlan *plan, const GPtrArray *members,
                         const char *self, const char *region,
                         const char *model, uint64_t version);
void qr_source_plan_clear(QRSourcePlan *plan);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRSourcePlan, qr_source_plan_clear)

/*
 * The source of piece 'index' at the given attempt (0 first). NULL: the
 * origin.
 */
const QRFleetMember *qr_source_choose(const QRSourcePlan *plan, unsigned index,
                                      unsigned attempt);

/* The place of a sidecar in the order; the first switch first. */
unsigned qr_source_place(const QRSourcePlan *plan, const char *name);

/*
 * When this sidecar's engine starts a version: sidecars follow one another
 * over the time between 'first_ms' and 'last_ms', by their place.
 */
uint64_t qr_switch_at(const QRSourcePlan *plan, uint64_t first_ms,
                      uint64_t last_ms);

#endif
