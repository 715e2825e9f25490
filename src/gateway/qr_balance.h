/*
 * Which engine takes a call, and whether any should.
 */
#ifndef QR_BALANCE_H
#define QR_BALANCE_H

#include "fleet/qr_engines.h"

/* What the choice rests on, beside the engines themselves. */
typedef struct QRBalanceInput {
    const char *service;
    const char *zone, *region;    /* of this gateway */
    GHashTable *regions;          /* zone -> region */
    bool needs_weights;
    unsigned slots;               /* of an engine, as the operator states */
    uint64_t version;             /* only this one may serve; 0: any */
    double hold_ms;               /* a call occupies a slot for so long */
    double first_ms;              /* an idle engine's time to the first byte */
    uint32_t objective_ms;        /* for the first byte */
    uint32_t waited_ms;           /* by the call so far */
    const GPtrArray *tried;       /* ids of engines to leave out, or NULL */
    uint64_t now_ms;
    uint64_t random;
} QRBalanceInput;

typedef struct QRBalanceChoice {
    QREngine *engine;      /* NULL: none has room in time */
    unsigned usable;       /* engines that may serve at all */
    unsigned open, places; /* calls open there, and slots */
    double predicted_ms;   /* to the first byte, of the best one */
} QRBalanceChoice;

QRBalanceChoice qr_balance_choose(const QREngines *engines,
                                  const QRBalanceInput *in);

#endif
