/*
 * Our own processes as this one has heard of them.
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
    uint64_t heard_ms;        /* from itself; 0: only from others */
    bool listed;              /* a gateway counts it among the sidecars */
    uint64_t disconnected_ms; /* since when it has no connection; 0: it has */
    const void *conn;  /* connection on which it greeted us last; not owned */
    QRKnowledge known; /* of the operator's records */
    /* gateways: engines' records that they read from the store */
    uint64_t engines_read_ms; /* when the store last answered; 0: reads none */
    QRPosition engines_changed; /* of the last change */
    QRPosition engines_since;   /* it knows all changes from there on */
    uint64_t load_reported_ms;  /* when it told its load last; 0: none counts */
    unsigned gateways;          /* how many it knows */
    unsigned gateways_asked;    /* how many when we asked it for them last */
    bool leaving;
    bool reserves_slots; /* it said so itself: builds of before do not */
    /* sidecars, as told */
    char *model;
    uint64_t complete_version; /* version whose pieces it has all */
} QRFleetMember;

typedef struct QRFleetMembers {
    GHashTable *by_name; /* name -> QRFleetMember *, owned */
} QRFleetMembers;

void qr_members_init(QRFleetMembers *m);
void qr_members_clear(QRFleetMembers *m);
/*
 * Takes what a process said of itself ('direct'), or another one of it.
 * Returns the member if that was news, else NULL.
 */
QRFleetMember *qr_members_hello(QRFleetMembers *m,
                                const Qr__Fleet__Hello *hello, bool direct,
                                uint64_t now_ms);
/* Forgets a member. Returns false if it was not known. */
bool qr_members_remove(QRFleetMembers *m, const char *name);
QRFleetMember *qr_members_get(const QRFleetMembers *m, const char *name);
QRFleetMember *qr_members_at(const QRFleetMembers *m, const char *address);
void qr_members_heard(QRFleetMember *member, uint64_t now_ms);
bool qr_member_alive(const QRFleetMember *member, uint64_t lease_ms,
                     uint64_t now_ms);
/* Members of 'role', of 'service' if that is not NULL; by name. */
GPtrArray *qr_members_of(const QRFleetMembers *m, const char *role,
                         const char *service);
/* Fills a message that borrows the member's texts. */
void qr_member_describe(const QRFleetMember *member, Qr__Fleet__Hello *hello);

#endif
