/*
 * What the operator has put into force, as far as this process knows: the
 * newest record of each key, the configuration, and the versions of weights.
 * Records come from the store or from peers; only newer ones count, by the
 * version that they name, and nothing is taken back that the store has lost.
 */
#ifndef QR_OPERATOR_H
#define QR_OPERATOR_H

#include "qr_platform.h"
#include "wire/fleet.pb-c.h"

/* Of a record that was there when the process started. */
#define QR_AGE_UNKNOWN_MS 3600000

/* A version of a model's weights that engines are to serve. */
typedef struct QRNamedVersion {
    uint64_t version;
    QRPosition position; /* of the record that named it first */
    uint64_t since_ms;   /* when the first of us heard of it; may be long ago */
} QRNamedVersion;

typedef struct QRHeldRecord {
    QRStoreRecord *record;
    GBytes *packed;    /* the value compressed, once it was told; or NULL */
    uint64_t since_ms; /* may lie before the clock's zero: signed use */
} QRHeldRecord;

/* A record that was not known before, from wherever it came. */
typedef void (*QROperatorNews)(void *owner, const QRStoreRecord *r);

typedef struct QROperator {
    const QRPlatform *platform;
    QROperatorNews news;
    void *owner;
    GHashTable *records;  /* key -> QRHeldRecord * */
    GHashTable *versions; /* model -> GArray of QRNamedVersion, rising */
    QRPolicy *policy;     /* NULL: none is known yet */
    uint64_t policy_since_ms;
    QRPosition policy_position; /* of its record */
    QRPosition end; /* behind the newest record of the store that was seen */
} QROperator;

/*
 * How much a process knows of the operator's records. Versions rise, so one
 * that names a greater one knows what the other does not.
 */
typedef struct QRKnowledge {
    uint64_t policy;  /* version of the configuration, 0: none */
    uint64_t weights; /* sum of the newest version named of each model */
    uint64_t offset;  /* behind the newest record: for builds that name no
                         versions */
} QRKnowledge;

/* Whether one that knows 'a' can tell something to one that knows 'b'. */
bool qr_knowledge_exceeds(const QRKnowledge *a, const QRKnowledge *b);

void qr_operator_init(QROperator *o, const QRPlatform *platform,
                      QROperatorNews news, void *owner);
void qr_operator_clear(QROperator *o);
/*
 * Takes a record that is no older than 'age_ms'. Returns true if it was newer
 * than what was known under its key.
 */
bool qr_operator_take(QROperator *o, const QRStoreRecord *r, uint64_t age_ms,
                      uint64_t now_ms);
/* No record is known yet. */
bool qr_operator_is_empty(const QROperator *o);
QRKnowledge qr_operator_knowledge(const QROperator *o);
/* The newest version named, or NULL. */
const QRNamedVersion *qr_operator_version(const QROperator *o,
                                          const char *model);
/*
 * The newest version that was named 'bound_ms' ago or earlier; 0: none. Each
 * named version has its own bound, whatever was named after it.
 */
uint64_t qr_operator_version_due(const QROperator *o, const char *model,
                                 uint64_t bound_ms, uint64_t now_ms);
/*
 * The store was away from 'from_ms' until now: bounds that were running then
 * begin anew, those that were past stay so.
 */
void qr_operator_restart_bounds(QROperator *o, uint64_t bound_ms,
                                uint64_t from_ms, uint64_t now_ms);
/* Offset of the first version named at a time that is not known; UINT64_MAX:
   none. */
uint64_t qr_operator_unsure(const QROperator *o, uint64_t now_ms);
/* For whom records are: sidecars are not told what only calls need. */
typedef enum QRAudience {
    QR_FOR_GATEWAYS,
    QR_FOR_SIDECARS,
} QRAudience;

typedef void (*QROperatorSend)(void *to, const Qr__Fleet__Frame *frame);

/* Sends what one that knows 'known' lacks by 'send', in one frame; nothing if
   that is nothing. */
void qr_operator_tell(const QROperator *o, const QRKnowledge *known,
                      QRAudience audience, uint64_t now_ms, QROperatorSend send,
                      void *to);
/* Sends the record of one key. */
void qr_operator_tell_one(const QROperator *o, const char *key,
                          QRAudience audience, uint64_t now_ms,
                          QROperatorSend send, void *to);
/* Takes records that a peer told; returns how many were news. */
unsigned qr_operator_heard(QROperator *o, const Qr__Fleet__Records *records,
                           uint64_t now_ms);

#endif
