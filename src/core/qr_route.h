/*
 * Routing policies: which backend server a call is handed on to.
 */
#ifndef QR_ROUTE_H
#define QR_ROUTE_H

#include "qr_entry.h"

typedef struct QRRoutePick {
    const QREntry *s;
    const QRCall *call;
    QRBackend **from; /* those with room, one at least */
    unsigned n;
} QRRoutePick;

struct QRRoute {
    const char *name;
    QRBackend *(*pick)(const QRRoutePick *p);
};

/* DEF(name) */
#define QR_ROUTE_LIST                                                          \
    DEF(random)                                                                \
    DEF(least_reported)                                                        \
    DEF(two_choices)                                                           \
    DEF(affinity)

/* NULL if there is none of that name. */
const QRRoute *qr_route_by_name(const char *name);
#define QR_ROUTE_DEFAULT "affinity"

#endif
