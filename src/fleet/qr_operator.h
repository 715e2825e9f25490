/*
 * The operator's records that this process knows: the newest record of each
 * key, the configuration, and the versions of weights. Records come from the
 * store or from peers. A record is applied only if the version that it names is
 * newer. Records that the store has lost stay in force. Only evacuations end
 * with their records.
 */
#ifndef QR_OPERATOR_H
#define QR_OPERATOR_H

#include "qr_evacuations.h"
#include "qr_platform.h"
#include "wire/fleet.pb-c.h"

/* Age of a record that was written before this process started. */
#define QR_AGE_UNKNOWN_MS 3600000

/* A version of a model's weights that engines are to serve. */
typedef struct QRNamedVersion {
    uint64_t version;
    QRPosition position; /* of the record that named the version first */
    uint64_t since_ms;   /* when the first process learned of it; 0: before the
                            clock began */
    bool in_force;       /* its bound has passed, and this was logged */
    bool settled;        /* in force by a known age: no later time counts */
} QRNamedVersion;

typedef struct QRKnownRecord {
    QRStoreRecord *record;
    GBytes *packed; /* compressed value, made at the first sending; or NULL */
    uint64_t since_ms; /* when the record was written at the earliest; 0: before
                          the clock began */
} QRKnownRecord;

/* Called for each newly applied record, from the store or from a peer. */
typedef void (*QROperatorRecordFunc)(void *owner, const QRStoreRecord *r);

typedef struct QROperator {
    const QRPlatform *platform;
    QROperatorRecordFunc on_record;
    void *owner;
    GHashTable *records;  /* key -> QRKnownRecord * */
    GHashTable *versions; /* model -> GArray of QRNamedVersion, ascending */
    QREvacuations evacuations;
    QRPolicy *policy; /* NULL: none known yet */
    uint64_t policy_since_ms;
    QRPosition policy_position; /* of the policy's record */
    QRPosition end; /* one past the newest record of the store that was seen */
} QROperator;

/*
 * Versions of the operator's records that a process knows. Versions only rise,
 * which means that the process with the greater version knows more.
 */
typedef struct QRKnownVersions {
    uint64_t policy;  /* version of the configuration; 0: none */
    uint64_t weights; /* sum of the newest versions of all models */
    uint64_t offset;  /* one past the newest record; compared with builds that
                         send no versions */
    QRPosition evacuations; /* of the last change of an evacuation */
} QRKnownVersions;

/* Whether a process with 'a' knows records that a process with 'b' lacks. */
bool qr_known_versions_exceed(const QRKnownVersions *a,
                              const QRKnownVersions *b);

void qr_operator_init(QROperator *o, const QRPlatform *platform,
                      QROperatorRecordFunc on_record, void *owner);
void qr_operator_clear(QROperator *o);
/*
 * Applies a record that is at most 'age_ms' old. Returns true if the record is
 * newer than the one known under its key.
 */
bool qr_operator_apply(QROperator *o, const QRStoreRecord *r, uint64_t age_ms,
                       uint64_t now_ms);
/*
 * Lifts the evacuations whose records a complete listing of the store, which
 * ends at 'end', lacks: they were deleted. 'keys' is the set of listed keys.
 */
void qr_operator_lift_missing(QROperator *o, GHashTable *keys, QRPosition end,
                              uint64_t now_ms);
/* Whether no record is known yet. */
bool qr_operator_is_empty(const QROperator *o);
QRKnownVersions qr_operator_known_versions(const QROperator *o);
/* Returns the newest version of a model's weights, or NULL. */
const QRNamedVersion *qr_operator_newest_version(const QROperator *o,
                                                 const char *model);
/* Returns the oldest known version newer than 'version', or NULL. */
const QRNamedVersion *qr_operator_version_after(const QROperator *o,
                                                const char *model,
                                                uint64_t version);
/*
 * Returns the newest version that was named at least 'bound_ms' ago; 0: none.
 * Each version keeps its own bound when later versions are named.
 */
uint64_t qr_operator_overdue_version(const QROperator *o, const char *model,
                                     uint64_t bound_ms, uint64_t now_ms);
/* Logs each version whose bound has passed since the last call. */
void qr_operator_log_in_force(QROperator *o, uint64_t bound_ms,
                              uint64_t now_ms);
/* Appends the age of each known version, in ms, as metrics text. */
void qr_operator_append_metrics(const QROperator *o, uint64_t now_ms,
                                GString *out);
/*
 * The store was unreachable from 'from_ms' until now. Restarts the bounds that
 * had not passed at 'from_ms'; bounds that had passed stay passed.
 */
void qr_operator_restart_bounds(QROperator *o, uint64_t bound_ms,
                                uint64_t from_ms, uint64_t now_ms);
/* Returns the least offset of a weights record of unknown age; UINT64_MAX:
   none. */
uint64_t qr_operator_first_undated_offset(const QROperator *o, uint64_t now_ms);
/* Recipients of records. Sidecars get the policy without its routes and other
   parts that only gateways use. */
typedef enum QRAudience {
    QR_FOR_GATEWAYS,
    QR_FOR_SIDECARS,
} QRAudience;

typedef void (*QROperatorSend)(void *to, const Qr__Fleet__Frame *frame);

/* Sends the records that a process with 'known' lacks through 'send', in one
   frame. Sends nothing if no record is lacking. */
void qr_operator_send_missing(const QROperator *o, const QRKnownVersions *known,
                              QRAudience audience, uint64_t now_ms,
                              QROperatorSend send, void *to);
/* Sends the record of one key, if known. */
void qr_operator_send_record(const QROperator *o, const char *key,
                             QRAudience audience, uint64_t now_ms,
                             QROperatorSend send, void *to);
/* Adds the time that a message was on its way to the ages that it states. */
void qr_operator_age_records(Qr__Fleet__Records *records, uint64_t transit_ms);
/* Applies records from a peer; returns how many of them were newer. */
unsigned qr_operator_apply_records(QROperator *o,
                                   const Qr__Fleet__Records *records,
                                   uint64_t now_ms);

#endif
