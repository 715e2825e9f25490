/*
 * Where a sidecar draws a piece of weights from, and when it switches.
 *
 * For each piece a rendezvous order over the sidecars names one that draws it
 * from the origin, and one in each region that draws it from that one; the
 * others draw from their region's. So the origin sends one copy and each link
 * between regions carries about one. Whoever holds the whole version already
 * goes before all these. All sidecars that see the same members agree without
 * a word.
 */
#ifndef QR_SOURCES_H
#define QR_SOURCES_H

#include "fleet/qr_members.h"

typedef struct QRSourceInput {
    const GPtrArray *members; /* QRFleetMember *: live sidecars, this one too */
    const char *self, *region;
    const char *model;
    uint64_t version;
} QRSourceInput;

/*
 * The source of piece 'index' at the given attempt (0 first). NULL: the
 * origin.
 */
const QRFleetMember *qr_source_choose(const QRSourceInput *in, unsigned index,
                                 unsigned attempt);

/*
 * When this sidecar's engine starts a version: sidecars follow one another
 * over the time between 'first_ms' and 'last_ms', by rank.
 */
uint64_t qr_switch_at(const QRSourceInput *in, uint64_t first_ms,
                      uint64_t last_ms);

#endif
