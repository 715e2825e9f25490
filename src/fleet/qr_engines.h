/*
 * What a gateway believes of the engines: from the store, from sidecars, from
 * other gateways, and from its own calls.
 */
#ifndef QR_ENGINES_H
#define QR_ENGINES_H

#include "qr_notices.h"
#include "qr_policy.h"
#include "qr_position.h"

/* An engine's own record in the store. */
typedef struct QREngineRecord {
    char *id, *service, *address, *zone;
    unsigned slots;
    bool draining;
    uint64_t born_ms; /* start of this run of it, in Unix time; 0: not said */
    char *model;      /* NULL: holds no weights */
    uint64_t version; /* of the model, whole; 0: none */
} QREngineRecord;

void qr_engine_record_free(QREngineRecord *r);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QREngineRecord, qr_engine_record_free)

/* What another gateway told of its calls at an engine. */
typedef struct QRGatewayLoad {
    unsigned open, reading;
    uint64_t reported_ms;
} QRGatewayLoad;

/*
 * Who keeps count of the slots of an engine: the process beside it, or else one
 * of the gateways, on which all agree.
 */
typedef enum QRCoordinatorKind {
    QR_COORDINATOR_NONE,
    QR_COORDINATOR_SIDECAR, /* the process beside the engine */
    QR_COORDINATOR_GATEWAY, /* another gateway */
    QR_COORDINATOR_SELF,    /* this gateway */
} QRCoordinatorKind;

/* Slots of an engine, as its keeper reserves them for gateways. */
typedef struct QREngineSlots {
    QRCoordinatorKind coordinator_kind;
    void *coordinator; /* connection to it, of QR_COORDINATOR_SIDECAR and
                          _GATEWAY */
    unsigned requested,
        requested_reading; /* slots asked for, no reply yet; tokens */
    unsigned others_open, others_reading; /* what other gateways held there, */
    uint64_t others_reported_ms;          /* as told then; 0: not yet */
    bool unreported;                /* what we hold is not what we told last */
    uint64_t reported_ms;           /* when we told it */
    uint64_t unresponsive_until_ms; /* a request was not answered: not asked */
    uint64_t denied_until_ms;       /* it had none free a moment ago */
    uint64_t rate_limited_until_ms; /* its rate allowed no request then */
    QRAnnouncedLimit limit;         /* that the keeper told */
    uint64_t others_backoff_until_ms; /* it has turned other gateways away */
} QREngineSlots;

typedef struct QREngine {
    QREngineRecord *record;
    uint64_t record_changed_ms; /* when the record last changed here */
    QRPosition position;        /* of its newest record, if any was seen */
    bool gone;                  /* no record any more; no new calls */
    uint64_t
        record_expired_ms; /* its record went while the store was away; 0: no */
    bool unreadable;       /* its newest record is none: no new calls */
    bool superseded;       /* a later run is at its address: no new calls */
    bool unconfirmed;    /* from our first listing, and nothing heard since: it
                            may have ended long ago */
    unsigned own;        /* calls that we have open there */
    unsigned reading;    /* prompt tokens of ours whose answer has not begun */
    GArray *awaiting_ms; /* uint64_t: when calls were sent that have no first
                        byte yet, oldest first */
    unsigned own_reported,
        reading_reported;       /* what the other gateways know of it */
    GHashTable *reported_loads; /* gateway's name -> QRGatewayLoad * */
    /* told by the sidecar; newer than the record */
    bool has_sidecar_report, sidecar_switching, sidecar_unreachable,
        sidecar_slow_link;
    uint64_t sidecar_version, sidecar_report_ms;
    QREngineSlots slots;
    QRNotices notices; /* what this run of it said in its answers */
    /* from our own calls */
    unsigned failures; /* in a row, by weight */
    uint64_t ejected_until_ms;
    unsigned ejections;         /* in a row */
    bool probing;               /* one call is out to see if it works again */
    double first_byte_ms;       /* smoothed time to the first byte */
    uint64_t refused_until_ms;  /* it said that it is full, or not the one */
    unsigned misdirected;       /* times in a row that it was not the one */
    unsigned rejections;        /* rounds of calls in a row, for want of room */
    uint64_t last_rejection_ms; /* when the last call was */
    uint64_t deprioritized_until_ms; /* others rather: it may turn more away */
} QREngine;

typedef struct QREngines {
    GHashTable *by_id;      /* id -> QREngine *, owned */
    GHashTable *by_service; /* service -> GPtrArray of QREngine * */
} QREngines;

/* The engine runs anew under its id. */
#define QR_CHANGE_STARTED "started anew"

void qr_engines_init(QREngines *t);
void qr_engines_clear(QREngines *t);
/* Takes a record over. Returns what changed, for the log, or NULL. */
const char *qr_engines_update(QREngines *t, QREngineRecord *r, uint64_t now_ms);
/* The engine's record is gone. Returns false if it was not known. */
bool qr_engines_drop(QREngines *t, const char *id, uint64_t now_ms);
/* Ids of those that are not gone and not among 'ids' (a set); borrowed. */
GPtrArray *qr_engines_missing(const QREngines *t, GHashTable *ids);
QREngine *qr_engines_get(const QREngines *t, const char *id);
/* The engine at an address, whose record was written last there; or NULL. */
QREngine *qr_engines_at(const QREngines *t, const char *address);
/*
 * Of all records with the address of 'changed' only the one that was written
 * last is of an engine that runs: the others stand in the store until their
 * leases run out. Returns how many engines have ended. While 'epochs_unsettled'
 * a record of a later epoch may be the older one, and ends none of an earlier
 * epoch.
 */
unsigned qr_engines_supersede_earlier(QREngines *t, QREngine *changed,
                                      bool epochs_unsettled);
const GPtrArray *qr_engines_of(const QREngines *t, const char *service);
/* Whether an engine that is not gone was not heard of since our first listing.
 */
bool qr_engines_any_unconfirmed(const QREngines *t);
/* Forgets engines that are gone and carry no call of ours. */
void qr_engines_sweep(QREngines *t, uint64_t now_ms);

/* What 'gateway' told of its open calls. */
void qr_engines_report_load(QREngines *t, const char *id, const char *gateway,
                            const QRGatewayLoad *load);
/* Nothing that 'gateway' told counts any more. */
void qr_engines_forget_gateway(QREngines *t, const char *gateway);
unsigned qr_engine_open(const QREngine *e);
/* Calls there of gateways that tell them to all, and not to a keeper. */
unsigned qr_engine_reported_open(const QREngine *e);
/* Age of the newest word of another gateway's calls there; 0: none came. */
uint64_t qr_engine_report_age_ms(const QREngine *e, uint64_t now_ms);
/* Prompt tokens still to be read there, at 'per_ms' since they were told. */
double qr_engine_reading(const QREngine *e, double per_ms, uint64_t now_ms);
/* The slots there have a keeper that answers. */
bool qr_engine_has_coordinator(const QREngine *e, uint64_t now_ms);
/* It leaves, as its record says or an answer of it. */
bool qr_engine_is_leaving(const QREngine *e);
/* For how long yet engines that turn nobody away are rather taken, as far as we
   know ourselves. */
uint64_t qr_engine_deprioritized_ms(const QREngine *e, uint64_t now_ms);
/* Whether they are, as we know it or another gateway told. */
bool qr_engine_is_deprioritized(const QREngine *e, uint64_t now_ms);
/* The limit on requests there, as we were told or its keeper was. */
const QRAnnouncedLimit *qr_engine_limit(const QREngine *e);
/* What we were told of its limit, or that it has none any more, is for the
   keeper to know. */
bool qr_engine_must_report_limit(const QREngine *e);
/* Calls of ours there, and those for which a slot was asked. */
unsigned qr_engine_held(const QREngine *e);
unsigned qr_engine_held_reading(const QREngine *e);
/* A call was sent there at 'sent_ms'; its first byte came, or it is over. */
void qr_engine_call_sent(QREngine *e, uint64_t sent_ms);
void qr_engine_call_heard(QREngine *e, uint64_t sent_ms);
/* How long the oldest call there has waited for its first byte. */
uint64_t qr_engine_first_byte_wait_ms(const QREngine *e, uint64_t now_ms);
/* The version of weights that calls begin on there; 0: none, or unknown. */
uint64_t qr_engine_version(const QREngine *e);

/* How a call at the engine went. */
typedef enum QREngineOutcome {
    QR_OUTCOME_GOOD,        /* a whole answer */
    QR_OUTCOME_ERROR,       /* a whole answer that says that it failed */
    QR_OUTCOME_FAILURE,     /* a break, no answer, bytes that are none */
    QR_OUTCOME_FULL,        /* it turned the call away for want of room */
    QR_OUTCOME_MISDIRECTED, /* another engine has the address, or version */
} QREngineOutcome;

/* Returns true if the engine was ejected by this. */
bool qr_engine_outcome(QREngine *e, QREngineOutcome outcome, double first_ms,
                       uint64_t now_ms);

#endif
