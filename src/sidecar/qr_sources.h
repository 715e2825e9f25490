/*
 * Choice of the source of each piece of weights, and of the time at which a
 * sidecar switches its engine to a version.
 *
 * Rendezvous hashing ranks the sidecars; all sidecars that see the same members
 * compute the same ranks. A few are roots, see qr_source_root_count(): each
 * root owns a share of the pieces and fetches them from the origin. The same
 * sidecars are the roots of all versions of a model, and a root keeps its
 * pieces when other sidecars join or leave: a piece that changes its owner
 * while it is being fetched is sent by the origin twice. In each region, one
 * sidecar per piece (the relay) fetches the piece from the root, and all others
 * of the region fetch it from the relay. With this scheme the origin sends one
 * copy over few connections, each link between regions carries one copy, and
 * every sidecar sends about one copy. Pieces that remain after each relay has
 * an equal number are passed on by groups of relays; otherwise a few relays
 * would send twice as much as the others, or, in a large region, each would
 * send to hundreds. Sidecars that hold the whole version replace the roots, and
 * once half of a region holds the version, they replace the relays of that
 * region.
 */
#ifndef QR_SOURCES_H
#define QR_SOURCES_H

#include "fleet/qr_members.h"

/* Index of the manifest among the pieces of a version. */
#define QR_MANIFEST_INDEX UINT32_MAX

/* The sidecars of one service, ranked for one version. */
typedef struct QRSourcePlan {
    const char *self, *region;
    GPtrArray *all, *local;             /* QRFleetMember *: all, own region */
    GPtrArray *holders, *local_holders; /* members that hold the version */
    GPtrArray *roots; /* QRFleetMember *: root n owns the pieces whose index
                         modulo the number of roots is n */
    unsigned relays;  /* the first of 'local', whose engines stay */
    unsigned rank;    /* of this sidecar in 'local' */
    unsigned pieces;  /* of the version; 0: not known */
} QRSourcePlan;

/* Number of sources that have not delivered the piece. */
typedef struct QRSourceAttempts {
    unsigned relays; /* in the own region */
    unsigned roots;
} QRSourceAttempts;

/*
 * The role in which a sidecar is asked for a piece. Sidecars may temporarily
 * see different members and compute different ranks; if each followed only its
 * own ranks, some would wait for one another. Whatever its own rank, a sidecar
 * asked as a relay fetches the piece from a root or from the first relay of its
 * group, one asked as the first relay fetches it from a root, and one asked as
 * a root fetches it from the origin.
 */
typedef enum QRPieceRole {
    QR_PIECE_ROLE_NONE, /* no peer has asked: the own ranks apply */
    QR_PIECE_ROLE_RELAY,
    QR_PIECE_ROLE_FIRST_RELAY,
    QR_PIECE_ROLE_ROOT,
} QRPieceRole;

typedef struct QRPieceSource {
    const QRFleetMember *from; /* NULL: the origin */
    QRPieceRole role;          /* role in which 'from' is asked */
} QRPieceSource;

/* What limits the requests that the origin can serve at the same time. */
typedef struct QROriginLimits {
    unsigned connections; /* that it accepts; 0: unknown */
    double bytes_per_ms;  /* that it sends; 0: unknown */
    uint32_t piece_bytes; /* 0: unknown */
} QROriginLimits;

/*
 * Returns the number of roots. Each has one request open at the origin. More
 * roots than the bandwidth keeps busy make each request wait longer, and new
 * connections time out behind the pieces that are being sent.
 */
unsigned qr_source_root_count(const QROriginLimits *limits);

/*
 * Initializes 'plan'; the caller clears it. 'members' holds QRFleetMember *:
 * the eligible sidecars, including this one; they and the strings must outlive
 * the plan. 'roots' is the number of roots wanted, 'pieces' the number of
 * pieces of the version; 0: not known.
 */
void qr_source_plan_init(QRSourcePlan *plan, const GPtrArray *members,
                         const char *self, const char *region, unsigned roots,
                         const char *model, uint64_t version, unsigned pieces);
void qr_source_plan_clear(QRSourcePlan *plan);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRSourcePlan, qr_source_plan_clear)

/* Returns the source of a piece or of the manifest. 'role' is the role in which
   peers ask this sidecar for it. */
QRPieceSource qr_source_choose(const QRSourcePlan *plan, uint32_t index,
                               QRSourceAttempts tried, QRPieceRole role);
/* Whether the piece belongs to this sidecar: it is the root that all ask
   first. */
bool qr_source_is_owner(const QRSourcePlan *plan, uint32_t index);
/* Whether this sidecar probes an unreachable origin for the others. */
bool qr_source_is_prober(const QRSourcePlan *plan);
/* Appends the first relay of the piece of each region, without this sidecar, to
   'out' (QRFleetMember *). */
void qr_source_first_relays(const QRSourcePlan *plan, uint32_t index,
                            GPtrArray *out);
/* Whether 'member' relays the piece to others of its region. */
bool qr_source_is_relay(const QRSourcePlan *plan, uint32_t index,
                        const QRFleetMember *member);

/* The rank of a sidecar; low ranks switch first. Returns the number of sidecars
   if the name is unknown. */
unsigned qr_source_rank(const QRSourcePlan *plan, const char *name);

/*
 * When this sidecar's engine starts a version. The starts of all sidecars are
 * spread evenly from 'first_ms' to 'last_ms' by rank.
 */
uint64_t qr_switch_time_ms(const QRSourcePlan *plan, uint64_t first_ms,
                           uint64_t last_ms);

#endif
