/*
 * Which engine takes a call, and whether any should.
 */
#ifndef QR_BALANCE_H
#define QR_BALANCE_H

#include "fleet/qr_engines.h"

/* What the choice rests on, beside the engines themselves. */
typedef struct QRBalanceInput {
    const char *service;
    const char *zone, *region;  /* of this gateway */
    GHashTable *regions;        /* zone -> region */
    const QREngineModel *model; /* of the service's engines, or NULL */
    uint64_t version_least;     /* older weights may not serve; 0: any */
    uint64_t version_soon;      /* ... before long: engines that have them need
                                   a sidecar that is heard; 0: any */
    unsigned prompt;            /* tokens to read */
    uint32_t objective_ms;      /* for the first byte; 0: none */
    uint32_t gap_ms;            /* for pauses between events; 0: none */
    uint32_t waited_ms;         /* by the caller so far */
    bool late;                  /* only where places are to spare */
    bool unreserved;            /* sent without asking for a slot */
    const GPtrArray *tried;     /* ids of engines to leave out, or NULL */
    uint64_t now_ms;
    uint64_t random;
} QRBalanceInput;

/* What the process beside an engine is asked to hold a call to. */
typedef struct QRBalanceLimits {
    unsigned open_most;    /* calls there, this one not counted */
    unsigned reading_most; /* prompt tokens that wait there to be read */
} QRBalanceLimits;

typedef struct QRBalanceChoice {
    QREngine *engine;      /* NULL: none has room in time */
    unsigned usable;       /* engines that may serve at all */
    unsigned coming;       /* others that run, and may serve later */
    unsigned switching;    /* of these, those that only finish an order */
    unsigned open, places; /* calls open at all of them, and slots */
    /* no engine takes the call only since all that may serve have asked for
       rest, or for fewer requests: until one of them does; 0: not so */
    uint64_t held_off_ms;
    double predicted_ms; /* to the first byte, of the best one */
    double gap_ms;       /* longest pause that others would see there */
    unsigned engine_open, engine_slots; /* of the best one */
    bool is_reserved;       /* a slot is to be asked for there first */
    QRBalanceLimits limits; /* then: on these terms */
    bool despite_rest;      /* and it has turned calls away */
} QRBalanceChoice;

QRBalanceChoice qr_balance_choose(const QREngines *engines,
                                  const QRBalanceInput *in);
/* What the engine is held to that is asked after 'asked' others. */
QRBalanceLimits qr_balance_terms(const QRBalanceLimits *l, unsigned asked);
/* What a call would find at 'e'; false: it may not be sent there now. */
bool qr_balance_of(QREngine *e, const QRBalanceInput *in, QRBalanceChoice *c);

#endif
