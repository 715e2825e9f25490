/*
 * Chooses the engine that takes a call, or none if no engine should.
 */
#ifndef QR_BALANCE_H
#define QR_BALANCE_H

#include "fleet/qr_engines.h"
#include "fleet/qr_placement.h"

/* What the choice depends on, apart from the state of the engines. */
typedef struct QRBalanceInput {
    const char *service;
    const char *zone, *region;  /* of this gateway */
    GHashTable *regions;        /* zone -> region */
    QRPlacement placement;      /* where the call may run */
    const QREngineModel *model; /* of the service's engines, or NULL */
    uint64_t min_version;       /* older weights may not serve; 0: any */
    /* older weights may not serve before long: engines with them are used only
       while their sidecar is heard; 0: any */
    uint64_t min_version_soon;
    unsigned prompt_tokens;
    uint32_t rank, team; /* as in its requests for slots */
    bool is_queued;      /* it found no engine at once */
    uint32_t slack_ms;   /* until the latest start of the call; UINT32_MAX: no
                            engine is too slow */
    /* longest pause between events that a route of the service promises; 0:
       none does */
    uint32_t gap_objective_ms;
    /* loads at engines of other regions are unknown, unless a coordinator of
       their slots is connected */
    bool knows_region_only;
    bool limits_cold;       /* cold engines bear a limited rate */
    bool unreserved;        /* sent without a request for a slot */
    const char *claimed;    /* id of the engine that keeps room for the call, or
                               NULL: it is asked before others */
    const GPtrArray *tried; /* ids of engines to leave out, or NULL */
    uint64_t now_ms;
    uint64_t random;
} QRBalanceInput;

/* The conditions on which the coordinator of an engine's slots may grant one.
 */
typedef struct QRBalanceLimits {
    unsigned max_open_calls;    /* granted only while fewer calls are open */
    unsigned max_unread_tokens; /* of prompts that wait there to be read */
} QRBalanceLimits;

typedef struct QRBalanceChoice {
    QREngine *engine;   /* NULL: none can serve the call in time */
    unsigned usable;    /* engines that may serve now */
    unsigned near;      /* of these, in the regions that this gateway knows */
    unsigned not_ready; /* other engines that run, and may serve later */
    unsigned switching; /* of these, those that are switching weights */
    /* engines that run but where the call is not allowed */
    unsigned other_region, evacuated;
    unsigned total_open, total_slots; /* at all usable engines */
    unsigned running_slots; /* the same, and at those that are not ready */
    /* > 0: no engine takes the call only because every engine that could serve
       asked for a pause or reached its rate limit; time until the first of
       them takes calls again */
    uint64_t backoff_ms;
    double first_byte_ms; /* predicted time to the first byte at 'engine' */
    double gap_ms;        /* predicted longest pause for other calls there */
    unsigned engine_open, engine_slots; /* at 'engine' */
    bool needs_slot;        /* a slot has to be requested there first */
    QRBalanceLimits limits; /* conditions of that request */
    bool ignores_backoff;   /* 'engine' is in backoff after it rejected calls */
} QRBalanceChoice;

/* Chooses among the engines of in->service. */
QRBalanceChoice qr_balance_choose(const QREngines *engines,
                                  const QRBalanceInput *in);
/* Returns the limits for the next request for a slot after 'asked' earlier
   ones: the first requests of a call have stricter limits. */
QRBalanceLimits qr_balance_tighten_limits(const QRBalanceLimits *l,
                                          unsigned asked);
/* Fills 'c' with the forecast for a call at 'e'. Returns false, with 'c'
   untouched, if the call may not be sent there now. */
bool qr_balance_evaluate(QREngine *e, const QRBalanceInput *in,
                         QRBalanceChoice *c);

#endif
