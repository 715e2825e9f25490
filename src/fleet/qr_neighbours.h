/*
 * Which gateways a process keeps connections to.
 *
 * Within a region every process is connected to every gateway. Between regions
 * only delegates of a region are connected: in a small region these are all of
 * its gateways, in a large one the few with the least hash of their name, which
 * all processes compute alike. Connections and messages between regions thus
 * do not grow with the number of gateways. The module does no I/O.
 *
 * XXX: delegates that were removed for good stay delegates for the processes
 * that knew them.
 */
#ifndef QR_NEIGHBOURS_H
#define QR_NEIGHBOURS_H

#include "base/qr_base.h"

/* A process, as far as its connections depend on it. Strings are borrowed. */
typedef struct QRNeighbour {
    const char *name, *region;
    bool is_gateway; /* else a sidecar */
} QRNeighbour;

typedef struct QRNeighbours {
    GHashTable *regions; /* region -> Region *, private to the module */
    unsigned known;      /* gateways of all regions */
} QRNeighbours;

void qr_neighbours_init(QRNeighbours *n);
void qr_neighbours_clear(QRNeighbours *n);
/* Adds a gateway. Returns whether the delegates of its region have changed. */
bool qr_neighbours_add(QRNeighbours *n, const char *name, const char *region);
/* Notes that a process knows 'size' gateways in 'region'. Returns whether the
   region has become large by that. */
bool qr_neighbours_note_size(QRNeighbours *n, const char *region,
                             unsigned size);
/* Most gateways that are known in 'region', here or elsewhere. */
unsigned qr_neighbours_size(const QRNeighbours *n, const char *region);
/* Whether the gateways of 'region' are too many to be delegates all. */
bool qr_neighbours_is_large(const QRNeighbours *n, const char *region);
bool qr_neighbours_is_delegate(const QRNeighbours *n, const char *name,
                               const char *region);
/* Returns the delegate number 'i' of a large region, or NULL: there is none. */
const char *qr_neighbours_delegate(const QRNeighbours *n, const char *region,
                                   unsigned i);
/*
 * Whether every gateway of one region is connected to every gateway of the
 * other.
 */
bool qr_neighbours_are_meshed(const QRNeighbours *n, const char *region,
                              const char *other);
/* Whether two processes, at least one of which is a gateway, keep connections
   to each other. */
bool qr_neighbours_connect(const QRNeighbours *n, const QRNeighbour *a,
                           const QRNeighbour *b);

#endif
