/*
 * The gateways and sidecars that this process knows.
 */
#ifndef QR_MEMBERS_H
#define QR_MEMBERS_H

#include "base/qr_base.h"
#include "qr_operator.h"
#include "wire/fleet.pb-c.h"

#define QR_ROLE_GATEWAY "gateway"
#define QR_ROLE_SIDECAR "sidecar"

typedef struct QRFleetMember {
    char *name, *role, *address, *zone, *region, *service_address, *service;
    uint64_t incarnation;
    uint64_t heard_ms; /* last message from the member itself; 0: none */
    bool listed;       /* a gateway lists the member among the sidecars */
    bool confirmed;    /* listed by the gateway that is followed now */
    uint64_t disconnected_ms; /* when its connection was lost; 0: connected */
    const void *conn;         /* of its last Hello message; not owned */
    QRKnownVersions known; /* which of the operator's records the member has */
    /* gateways only: state of their reads of engines' records */
    uint64_t engines_read_ms;   /* last answer of the store; 0: does not read */
    QRPosition engines_changed; /* position of the last change */
    QRPosition engines_since;   /* the member knows all changes from here on */
    uint64_t settled_epoch; /* engines were listed since it settled; 0: unknown
                             */
    uint64_t load_reported_ms; /* last load report; 0: no valid report */
    unsigned gateways;         /* number of gateways that the member knows */
    unsigned gateways_asked;   /* 'gateways' when the list was last requested */
    bool leaving;
    bool reserves_slots; /* in its own Hello; older builds do not set this */
    bool delegate;       /* gateways only: connected to all regions */
    uint8_t told_as; /* gateways only: what this gateway last told its sidecars
                        of the member, see ToldAs in qr_gateway_peers_parts.h */
    unsigned fleet_gateways; /* most gateways that the member knows to have
                                been counted; 0: older build */
    /* sidecars only, as reported */
    char *model;
    uint64_t complete_version; /* version of which the member has all pieces */
} QRFleetMember;

typedef struct QRFleetMembers {
    GHashTable *by_name; /* name -> QRFleetMember *, owned */
} QRFleetMembers;

void qr_members_init(QRFleetMembers *m);
void qr_members_clear(QRFleetMembers *m);
/*
 * Applies a Hello message, either from the process itself ('direct') or relayed
 * by another process. Returns the member if it is new or was restarted, else
 * NULL. A malformed message is ignored, and so is a relayed one for a member
 * that has sent messages itself.
 */
QRFleetMember *qr_members_hello(QRFleetMembers *m,
                                const Qr__Fleet__Hello *hello, bool direct,
                                uint64_t now_ms);
/* Frees a member. Returns false if there is no such member. */
bool qr_members_remove(QRFleetMembers *m, const char *name);
QRFleetMember *qr_members_get(const QRFleetMembers *m, const char *name);
/* Returns a member with this address for peers, or NULL. */
QRFleetMember *qr_members_at(const QRFleetMembers *m, const char *address);
/* Records that a message from the member itself arrived. */
void qr_members_heard(QRFleetMember *member, uint64_t now_ms);
/* Whether the member itself sent a message within the lease. */
bool qr_member_alive(const QRFleetMember *member, uint64_t lease_ms,
                     uint64_t now_ms);
/* Returns the members with 'role', and with 'service' unless that is NULL,
   sorted by name. The caller owns the array, but not the members. */
GPtrArray *qr_members_of(const QRFleetMembers *m, const char *role,
                         const char *service);
/* Fills 'hello', whose strings remain owned by the member. */
void qr_member_describe(const QRFleetMember *member, Qr__Fleet__Hello *hello);

#endif
