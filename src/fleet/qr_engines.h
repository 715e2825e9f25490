/*
 * State of the engines as one gateway knows it: from records in the store, from
 * reports of sidecars and other gateways, and from the gateway's own calls.
 */
#ifndef QR_ENGINES_H
#define QR_ENGINES_H

#include "qr_notices.h"
#include "qr_policy.h"
#include "qr_position.h"

/* The record that an engine writes to the store. */
typedef struct QREngineRecord {
    char *id, *service, *address, *zone;
    unsigned slots;
    bool draining;
    uint64_t born_ms; /* start of this run, Unix time; 0: unknown */
    char *model;      /* NULL: the engine holds no weights */
    uint64_t version; /* of the completely loaded model; 0: none */
    uint32_t cold_ms; /* stays cold for so long after the record was written */
} QREngineRecord;

void qr_engine_record_free(QREngineRecord *r);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QREngineRecord, qr_engine_record_free)

/* Calls that another gateway reports to have open at an engine. */
typedef struct QRGatewayLoad {
    unsigned open;    /* calls */
    unsigned reading; /* prompt tokens of calls without a first byte */
    uint64_t reported_ms;
} QRGatewayLoad;

/*
 * The coordinator counts the slots of an engine that gateways hold. That is the
 * engine's sidecar, or else one gateway, which all gateways choose alike.
 */
typedef enum QRCoordinatorKind {
    QR_COORDINATOR_NONE,
    QR_COORDINATOR_SIDECAR, /* the sidecar of the engine */
    QR_COORDINATOR_GATEWAY, /* another gateway */
    QR_COORDINATOR_SELF,    /* this gateway */
} QRCoordinatorKind;

/* Slots of an engine, which its coordinator reserves for gateways. */
typedef struct QREngineSlots {
    QRCoordinatorKind coordinator_kind;
    void *coordinator; /* connection, not owned; only for _SIDECAR and
                          _GATEWAY */
    /* slots requested but not yet replied to, and their prompt tokens */
    unsigned requested, requested_reading;
    /* held by other gateways, by the coordinator's last reply */
    unsigned others_open, others_reading;
    uint64_t others_reported_ms; /* time of that reply; 0: none */
    bool unreported;      /* what this gateway holds has changed since its
                             last report to the coordinator */
    uint64_t reported_ms; /* time of that report */
    uint64_t unresponsive_until_ms; /* set when a request got no reply;
                                       the coordinator is not asked */
    /* Until then, no slot is requested for calls like those that were denied:
       of this rank and less urgent ones, and of this team if that is known. */
    uint64_t denied_until_ms;
    uint32_t denied_rank, denied_team;
    bool denied_one_team; /* slots were free: denied in favour of others */
    uint64_t rate_limited_until_ms;   /* the rate limit allowed no request */
    QRAnnouncedLimit limit;           /* as reported by the coordinator */
    uint64_t others_backoff_until_ms; /* the engine asked other gateways to
                                         back off */
} QREngineSlots;

typedef struct QREngine {
    QREngineRecord *record;
    uint64_t cold_until_ms;     /* by a record that was read when written */
    uint64_t record_changed_ms; /* last update or removal of the record */
    QRPosition position;        /* of the newest record, if any was seen */
    uint64_t record_hash;       /* of the bytes of that record */
    bool gone;                  /* the record was removed: no new calls */
    uint64_t record_expired_ms; /* when it expired in a store outage; 0: not */
    bool unreadable;     /* the newest record is malformed: no new calls */
    bool superseded;     /* another engine has a newer record with the same
                            address: no new calls */
    bool unconfirmed;    /* known from the first listing of the store only; the
                            engine may have ended long ago */
    unsigned own;        /* calls that this gateway has open there */
    unsigned reading;    /* prompt tokens of these calls without a first byte */
    GArray *awaiting_ms; /* uint64_t: send times of calls without a first
                            byte, oldest first */
    /* own and reading, as last reported to the other gateways */
    unsigned own_reported, reading_reported;
    GHashTable *reported_loads; /* gateway's name -> QRGatewayLoad * */
    /* reported by the sidecar; may be newer than the record */
    bool has_sidecar_report, sidecar_switching, sidecar_unreachable,
        sidecar_slow_link;
    uint64_t sidecar_version, sidecar_report_ms;
    double reported_pace;  /* by the sidecar; 1: normal, 2: half as fast; 0:
                              unknown */
    double observed_pace;  /* smoothed, from pauses of own streams; 0: none */
    bool pace_implausible; /* the last reported one */
    uint64_t pace_reported_ms, pace_observed_ms;
    uint32_t sidecar_ready_ms; /* 1 + time from that report until the engine is
                                  expected to serve the newest version; 0: not
                                  known */
    QREngineSlots slots;
    QRNotices notices; /* response headers of this run */
    /* circuit breaker and backoff, from this gateway's own calls */
    unsigned failures; /* in a row, weighted */
    uint64_t ejected_until_ms;
    unsigned ejections;         /* in a row */
    bool probing;               /* one call is open to test an ejected engine */
    double first_byte_ms;       /* smoothed time to the first byte */
    uint64_t refused_until_ms;  /* after a response 'full' or 'misdirected' */
    unsigned misdirected;       /* doublings of the pause so far */
    unsigned rejections;        /* rounds of calls in a row, engine full */
    uint64_t last_rejection_ms; /* when a call was last rejected as full */
    uint64_t deprioritized_until_ms; /* other engines are preferred, as
                                          this one may reject more calls */
} QREngine;

typedef struct QREngines {
    GHashTable *by_id;      /* id -> QREngine *, owned */
    GHashTable *by_service; /* service -> GPtrArray of QREngine * */
    GHashTable *by_address; /* address -> GPtrArray of QREngine * */
} QREngines;

/* Change of a record: the engine was restarted under the same id. */
#define QR_CHANGE_STARTED "started anew"

void qr_engines_init(QREngines *t);
void qr_engines_clear(QREngines *t);
/* Takes ownership of 'r', the new record of its engine. Returns a static text
   for the log that says what changed, or NULL. */
const char *qr_engines_update(QREngines *t, QREngineRecord *r, uint64_t now_ms);
/* Marks an engine as gone, because its record was removed. Returns false if the
   engine is not known or is gone already. */
bool qr_engines_drop(QREngines *t, const char *id, uint64_t now_ms);
/* Returns the ids of engines that are not gone and not in the set 'ids'. The
   caller owns the array, but not the ids. */
GPtrArray *qr_engines_missing(const QREngines *t, GHashTable *ids);
QREngine *qr_engines_get(const QREngines *t, const char *id);
/* Returns the engine with the newest record for 'address', or NULL. */
QREngine *qr_engines_at(const QREngines *t, const char *address);
/*
 * Marks engines as superseded that share the address of 'changed' with a newer
 * record. Only the newest record for an address belongs to a running engine;
 * the others remain in the store until their leases expire. Returns the number
 * of engines marked. While 'epochs_unsettled' is set, a record of a later epoch
 * may be the older one, and supersedes no record of an earlier epoch.
 */
unsigned qr_engines_supersede_earlier(QREngines *t, QREngine *changed,
                                      bool epochs_unsettled);
/* Returns the engines of 'service', owned by 't', or NULL if none is known. */
const GPtrArray *qr_engines_of(const QREngines *t, const char *service);
/* Whether any engine with weights in a zone of 'region' that is not gone is
   known from the first listing only. 'regions' maps zones to regions. */
bool qr_engines_any_unconfirmed(const QREngines *t, GHashTable *regions,
                                const char *region);
/*
 * Confirms engines outside 'region' whose record has not changed since
 * 'since_ms': their sidecars may not report to this process, and the record of
 * an ended engine does not last. Returns the number of engines confirmed.
 */
unsigned qr_engines_confirm_lasting(QREngines *t, GHashTable *regions,
                                    const char *region, uint64_t since_ms);
/* Frees engines that are gone and have no open call of this gateway. An engine
   that announced its shutdown is kept for some time longer. */
void qr_engines_sweep(QREngines *t, uint64_t now_ms);

/* Stores the load that 'gateway' reports for the engine 'id'. */
void qr_engines_report_load(QREngines *t, const char *id, const char *gateway,
                            const QRGatewayLoad *load);
/* Deletes all load reports of 'gateway'. */

void qr_engines_forget_gateway(QREngines *t, const char *gateway);
/* Calls open at the engine, from all gateways, and slots requested. */
unsigned qr_engine_open(const QREngine *e);
/* Calls of gateways that report to all gateways rather than to a coordinator.
 */
unsigned qr_engine_reported_open(const QREngine *e);
/* Age of the newest load report of another gateway; 0: there is none. */
uint64_t qr_engine_report_age_ms(const QREngine *e, uint64_t now_ms);
/* Estimate of the prompt tokens that the engine has yet to read. The engine is
   assumed to read 'per_ms' tokens per ms since each report. */
double qr_engine_reading(const QREngine *e, double per_ms, uint64_t now_ms);
/* Whether the engine's slots have a coordinator that responds. */
bool qr_engine_has_coordinator(const QREngine *e, uint64_t now_ms);
/* Notes that the coordinator denied a slot for a call. 'has_room': though slots
   were free, so that a call of another team may get one. */
void qr_engine_note_denied(QREngine *e, uint32_t rank, uint32_t team,
                           bool has_room, uint64_t now_ms);
/* Whether the denials that pause requests to the engine hold for such a call.
 */
bool qr_engine_was_denied(const QREngine *e, uint32_t rank, uint32_t team);
/* Whether its record or a response announced the engine's shutdown. */
bool qr_engine_is_leaving(const QREngine *e);
/* Whether it has ended unplanned if it refuses connections: it has not
   announced its shutdown, and does not switch versions, which cuts running
   calls. */
bool qr_engine_should_listen(const QREngine *e);
/* Remaining time in ms in which other engines are preferred, from this
   gateway's own calls alone. */
uint64_t qr_engine_deprioritized_ms(const QREngine *e, uint64_t now_ms);
/* Whether other engines are preferred, from own calls or other gateways. */
bool qr_engine_is_deprioritized(const QREngine *e, uint64_t now_ms);
/* The later one of the limits that this gateway and the coordinator know. */
const QRAnnouncedLimit *qr_engine_limit(const QREngine *e);
/* Whether the coordinator must learn the limit that this gateway was told, or
   that a limit has ended. */
bool qr_engine_must_report_limit(const QREngine *e);
/* This gateway's open calls and requested slots, and their prompt tokens. */
unsigned qr_engine_held(const QREngine *e);
unsigned qr_engine_held_reading(const QREngine *e);
/* Records that a call was sent at 'sent_ms'. */
void qr_engine_call_sent(QREngine *e, uint64_t sent_ms);
/* Records that the call sent at 'sent_ms' got its first byte, or ended. */
void qr_engine_call_heard(QREngine *e, uint64_t sent_ms);
/* Time in ms that the oldest call without a first byte has waited. */
uint64_t qr_engine_first_byte_wait_ms(const QREngine *e, uint64_t now_ms);
/* The version of weights that new calls run on; 0: none, or unknown. */
uint64_t qr_engine_version(const QREngine *e);
/*
 * Whether its sidecar has lately said when the engine is expected to serve the
 * newest version. Sets 'left_ms' to the time until then. 'version' is the one
 * that calls need: an engine that serves it already is not waited for.
 */
bool qr_engine_expects_version(const QREngine *e, uint64_t version,
                               uint64_t now_ms, uint64_t *left_ms);

/* Stores the pace that the sidecar reports, in percent; 0: unknown. Returns
   false if it is implausible, and is then taken for unknown. */
bool qr_engine_report_pace(QREngine *e, uint32_t percent, uint64_t now_ms);
/* Records how many times longer than usual a stream pauses there. */
void qr_engine_observe_pace(QREngine *e, double ratio, uint64_t now_ms);
/* How many times slower than normal the engine is: 1 if nothing is known, never
   less. */
double qr_engine_pace(const QREngine *e, uint64_t now_ms);

/* Result of a call to an engine. */
typedef enum QREngineOutcome {
    QR_OUTCOME_GOOD,    /* a complete response */
    QR_OUTCOME_ERROR,   /* a complete response that reports an error */
    QR_OUTCOME_FAILURE, /* broken connection, no response or a malformed one */
    QR_OUTCOME_FULL,    /* rejected, as the engine has no free capacity */
    QR_OUTCOME_MISDIRECTED, /* another engine has this address or version */
} QREngineOutcome;

/* Updates the circuit breaker after a call whose first byte took 'first_ms'.
   Returns true if the call ejected the engine. */
bool qr_engine_outcome(QREngine *e, QREngineOutcome outcome, double first_ms,
                       uint64_t now_ms);

#endif
