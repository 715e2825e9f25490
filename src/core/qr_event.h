/*
 * Events and effects: all that goes into a reducer and all that comes out.
 *
 * A reducer has no clock, no random source, no lock and does no I/O. The
 * threads around it turn the world into events and carry the effects out.
 */
#ifndef QR_EVENT_H
#define QR_EVENT_H

#include "base/qr_base.h"
#include "wire/qr_frame.h"

/* DEF(name): what happened. 'ref' names the connection, request or job. */
#define QR_EVENT_LIST                                                          \
    DEF(TICK)          /* time passed */                                       \
    DEF(STOP)          /* a planned stop was asked for */                      \
    DEF(LOG_READ)      /* records from 'offset' on, oldest kept 'first' */     \
    DEF(LOG_FAILED)    /* the log did not answer the read */                   \
    DEF(APPENDED)      /* ref: append; ok, maybe, offset */                    \
    DEF(HOSTS_READ)    /* hosts */                                             \
    DEF(OPENED)        /* ref: connection; text: dialled address or NULL */    \
    DEF(FRAME)         /* ref: connection; frame */                            \
    DEF(SENT)          /* ref: connection; a frame with 'notify' is out */     \
    DEF(PROGRESS)      /* ref: connection; part of a chunk came */             \
    DEF(CLOSED)        /* ref: connection or none; text: dialled address */    \
    DEF(CALL)          /* ref: request; call */                                \
    DEF(CALLER_GONE)   /* ref: request */                                      \
    DEF(PLAN)          /* ref: request; text: declaration */                   \
    DEF(CONFIRM)       /* ref: request; text: plan */                          \
    DEF(STATUS)        /* ref: request; text: "status", "intents", "burn" */   \
    DEF(MANIFEST_READ) /* text: manifest; data; ok */                          \
    DEF(CHUNK_READ)    /* text: manifest; index; data; digest; ok */           \
    DEF(ORDER_DONE)    /* ref: order; ok, maybe, text: why not */              \
    DEF(ENGINE_STATE)  /* ok; text: active manifest */                         \
    DEF(REPLY_DATA)    /* ref: call; data from the backend server */           \
    DEF(REPLY_END)     /* ref: call; ok, maybe, status, text: manifest */

typedef enum QREventType {
#define DEF(name) QR_EVENT_##name,
    QR_EVENT_LIST
#undef DEF
        QR_EVENT_COUNT
} QREventType;

/* DEF(name): what is to be done. */
#define QR_EFFECT_LIST                                                         \
    DEF(READ_LOG) /* offset: from where */                                     \
    DEF(APPEND)   /* ref; text: record */                                      \
    DEF(READ_HOSTS)                                                            \
    DEF(DIAL)          /* text: address; status: QRLane */                     \
    DEF(SEND)          /* ref: connection; data: packed frame; notify */       \
    DEF(CLOSE)         /* ref: connection */                                   \
    DEF(ANSWER_START)  /* ref: request; a streamed answer begins */            \
    DEF(ANSWER_DATA)   /* ref: request; data */                                \
    DEF(ANSWER_END)    /* ref: request; text: last line */                     \
    DEF(ANSWER)        /* ref: request; status, data, retry_after_ms */        \
    DEF(METRICS)       /* ref: request; data: the reducer's own counters */    \
    DEF(PUBLISH)       /* text: address answers for the other threads */       \
    DEF(READ_MANIFEST) /* text: manifest */                                    \
    DEF(READ_CHUNK)    /* text: manifest; index; key: hash */                  \
    DEF(LOAD_CHUNK)    /* ref: order; text: manifest; index; data */           \
    DEF(VERIFY)        /* ref: order; text: manifest; data: manifest text */   \
    DEF(ACTIVATE)      /* ref: order; text: manifest */                        \
    DEF(READ_ENGINE)                                                           \
    DEF(RUN_CALL)    /* ref: call; data: body; status: priority */             \
    DEF(CANCEL_CALL) /* ref: call */                                           \
    DEF(LOG_LINE)    /* status: QRLevel; key: part; text */                    \
    DEF(EXIT)

typedef enum QREffectType {
#define DEF(name) QR_EFFECT_##name,
    QR_EFFECT_LIST
#undef DEF
        QR_EFFECT_COUNT
} QREffectType;

const char *qr_event_name(QREventType type);
const char *qr_effect_name(QREffectType type);

/* Whether a connection carries calls and control, or weights. */
typedef enum QRLane { QR_LANE_CONTROL, QR_LANE_BULK } QRLane;

typedef enum QRLevel { QR_LEVEL_ERROR, QR_LEVEL_WARN, QR_LEVEL_INFO } QRLevel;

/* A host as the platform's host list shows it. */
typedef struct QRHost {
    char *host, *role, *availability_zone;
    char *address;        /* frame listener */
    char *caller_address; /* entries: where callers connect */
    bool leaving;
} QRHost;

void qr_host_free(QRHost *h);

typedef enum QRPriority {
    QR_PRIORITY_URGENT,
    QR_PRIORITY_NORMAL,
    QR_PRIORITY_BATCH,
    QR_PRIORITY_COUNT
} QRPriority;

/* A call as its caller sent it. */
typedef struct QRRequest {
    char *service, *team, *call_id, *ticket;
    QRPriority priority;
    uint32_t deadline_ms; /* from now on */
    uint32_t attempt;     /* 1: the caller never sent it before; 0: unsaid */
    bool repeatable, stream;
    GBytes *body;
} QRRequest;

void qr_request_free(QRRequest *r);

typedef struct QREvent {
    QREventType type;
    uint64_t now_ms; /* monotonic */
    uint64_t wall_s;
    QRHandle ref;
    bool ok, maybe;
    uint64_t offset, first;
    GPtrArray *records; /* GBytes * */
    GPtrArray *hosts;   /* QRHost * */
    Qr__Frame *frame;
    QRRequest *call;
    char *text;
    GBytes *data;
    uint32_t status, index;
    char digest[QR_SHA_HEX];
} QREvent;

QREvent *qr_event_new(QREventType type);
void qr_event_free(QREvent *e);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QREvent, qr_event_free)

typedef struct QREffect {
    QREffectType type;
    QRHandle ref;
    uint64_t offset;
    char *text, *key;
    GBytes *data;
    uint32_t status, index, retry_after_ms;
    bool notify;
} QREffect;

/* Effects in the order in which they are to be carried out. */
typedef struct QREffects {
    GPtrArray *list; /* QREffect * */
} QREffects;

void qr_effects_init(QREffects *out);
void qr_effects_clear(QREffects *out);
QREffect *qr_effect(QREffects *out, QREffectType type, QRHandle ref);
/* As above with a copy of 'text'. */
QREffect *qr_effect_text(QREffects *out, QREffectType type, QRHandle ref,
                         const char *text);
/* Sends 'frame', packed now. */
void qr_effect_send(QREffects *out, QRHandle conn, const Qr__Frame *frame);
void qr_effect_log(QREffects *out, QRLevel level, const char *part,
                   const char *fmt, ...) G_GNUC_PRINTF(4, 5);

#endif
