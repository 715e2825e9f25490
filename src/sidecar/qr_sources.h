/*
 * Where a sidecar draws a piece of weights from, and when it switches.
 *
 * The sidecars stand in an order that all agree on who see the same members.
 * The first few, no more than the origin takes connections from, are roots:
 * each draws its share of the pieces from the origin. In each region one
 * sidecar a piece, its relay there, draws it from the root; all others of the
 * region draw it from the relay. So the origin sends one copy over few
 * connections, each link between regions carries one, and every sidecar sends
 * about one. Pieces that are left when all relays have the same number of them
 * are passed on by groups of relays, lest a few send twice what the others do,
 * or in a large region each relay to hundreds. Those that hold the whole
 * version stand in for the roots, and once half of a region holds it, for its
 * relays.
 */
#ifndef QR_SOURCES_H
#define QR_SOURCES_H

#include "fleet/qr_members.h"

/* Stands for the manifest where pieces are numbered. */
#define QR_MANIFEST_INDEX UINT32_MAX

/* The sidecars of one service, in the order for one version. */
typedef struct QRSourcePlan {
    const char *self, *region;
    GPtrArray *all, *local; /* QRFleetMember *: all, of the region */
    GPtrArray *holders, *local_holders; /* those that hold the version */
    unsigned roots;  /* the first of 'all' that draw from the origin */
    unsigned relays; /* the first of 'near' whose engines do not leave */
    unsigned rank;   /* of this sidecar in 'near' */
    unsigned pieces; /* of the version; 0: not known */
} QRSourcePlan;

/* Sources that gave nothing so far. */
typedef struct QRSourceAttempts {
    unsigned relays; /* of our own region */
    unsigned roots;
} QRSourceAttempts;

/*
 * What others take a sidecar for. They may see other members than it does for a
 * while, and so another order: were each to go by its own, some would wait for
 * one another. Who is asked as a relay draws the piece from a root, or from the
 * first relay of its group, whatever it is by its own order; who is asked as
 * the first one from a root, and who is asked as a root from the origin.
 */
typedef enum QRPieceRole {
    QR_PIECE_ROLE_NONE, /* nobody asked */
    QR_PIECE_ROLE_RELAY,
    QR_PIECE_ROLE_FIRST_RELAY,
    QR_PIECE_ROLE_ROOT,
} QRPieceRole;

typedef struct QRPieceSource {
    const QRFleetMember *from; /* NULL: the origin */
    QRPieceRole role;          /* as which it is asked */
} QRPieceSource;

/*
 * 'members' are QRFleetMember *: sidecars that count, this one too.
 * 'origin_connections' are those that the origin takes; 'pieces' those of the
 * version; 0: not known.
 */
void qr_source_plan_init(QRSourcePlan *plan, const GPtrArray *members,
                         const char *self, const char *region,
                         unsigned origin_connections, const char *model,
                         uint64_t version, unsigned pieces);
void qr_source_plan_clear(QRSourcePlan *plan);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRSourcePlan, qr_source_plan_clear)

/* The source of a piece, or of the manifest; 'role': what others take us for.
 */
QRPieceSource qr_source_choose(const QRSourcePlan *plan, uint32_t index,
                               QRSourceAttempts tried, QRPieceRole role);
/* Whether 'member' passes the piece on to others of its region. */
bool qr_source_is_relay(const QRSourcePlan *plan, uint32_t index,
                        const QRFleetMember *member);

/* The place of a sidecar in the order; the first switch first. */
unsigned qr_source_rank(const QRSourcePlan *plan, const char *name);

/*
 * When this sidecar's engine starts a version: sidecars follow one another
 * over the time between 'first_ms' and 'last_ms', by their place.
 */
uint64_t qr_switch_time_ms(const QRSourcePlan *plan, uint64_t first_ms,
                           uint64_t last_ms);

#endif
