/*
 * The agent's reducer: the one process on a backend server host. It admits
 * calls and remembers them, fetches weights and hands them to other agents,
 * and gives the engine its fenced orders.
 */
#ifndef QR_AGENT_H
#define QR_AGENT_H

#include "qr_config.h"
#include "qr_event.h"
#include "qr_fetch.h"
#include "qr_reason.h"
#include "qr_rollout.h"
#include "qr_settings.h"

/* Counters of an agent; DEF(name, help). */
#define QR_AGENT_COUNTERS                                                      \
    DEF(calls, "calls that entries handed on")                                 \
    DEF(run, "calls given to the backend server")                              \
    DEF(refused, "calls refused before they ran")                              \
    DEF(duplicates, "calls that were here already")                            \
    DEF(replayed, "answers given again from memory")                           \
    DEF(cut, "answers of the backend server that broke off")                   \
    DEF(mixed, "answers from another version than expected")                   \
    DEF(chunks_in, "chunks of weights taken")                                  \
    DEF(chunks_out, "chunks of weights given")                                 \
    DEF(chunks_corrupt, "chunks that were not what they should be")            \
    DEF(origin_bytes, "bytes drawn from the origin")                           \
    DEF(stalls, "sources given up as stalled")                                 \
    DEF(orders, "orders given to the engine")                                  \
    DEF(orders_failed, "orders that the engine refused or did not answer")     \
    DEF(switches, "switches of version")                                       \
    DEF(superseded, "versions given up for a newer one")                       \
    DEF(bad_frames, "frames that made no sense here")

typedef enum QRAgentCounter {
#define DEF(name, help) QR_AGENT_COUNT_##name,
    QR_AGENT_COUNTERS
#undef DEF
        QR_AGENT_COUNTER_COUNT
} QRAgentCounter;

/* An entry that this agent reports to. */
typedef struct QRAgentEntry {
    char *address;
    QRHandle conn;
    bool dialling, listed;
    bool in_step; /* it follows the log */
    uint64_t opened_ms, replied_ms;
    char *grant_intent;
    uint64_t grant_revision;
    uint32_t grant_wave;
    uint32_t handed_on; /* calls of this entry that run */
} QRAgentEntry;

/* A connection to another agent that this one dialled, to ask for chunks. */
typedef struct QRBulk {
    char *host;
    char *address; /* that was dialled last */
    QRHandle conn;
    bool dialling;
} QRBulk;

/* A chunk that another agent asked for. */
typedef struct QRWant {
    char manifest[QR_SHA_HEX];
    unsigned index;
} QRWant;

/* Another agent that asks us for chunks. */
typedef struct QRTaker {
    QRHandle conn;
    GArray *wants;      /* QRWant, in the order in which they came */
    unsigned in_flight; /* chunks given and not yet sent */
    uint64_t given_ms;
} QRTaker;

/* A call that the backend server runs. */
typedef struct QRRun {
    QRHandle self;
    QRHandle conn; /* of the entry, none when nobody waits any more */
    uint64_t call;
    uint32_t attempt;
    char *call_id;
    char *manifest; /* that was active when it began */
    uint64_t sent;  /* bytes of the answer so far */
    bool repeatable, cancelled;
} QRRun;

/* A call that may not be repeated, remembered. */
typedef struct QRSeen {
    char *call_id;
    uint64_t expires_s; /* until its ticket cannot be used any more */
    bool running, whole;
    GByteArray *answer; /* NULL if it was too large or is not kept */
    uint32_t status;
    char *manifest;
} QRSeen;

typedef struct QRAgent {
    const QRSettings *set;
    QRConfig *config;
    char *incarnation; /* current; renewed if it is retired */
    char *start_name;  /* what every incarnation of this process begins with */
    unsigned renewals;
    GPtrArray *entries; /* QRAgentEntry * */
    GPtrArray *bulks;   /* QRBulk * */
    GPtrArray *takers;  /* QRTaker * */
    unsigned give_turn; /* the taker that comes first next time */
    QRTable runs;       /* QRRun * */
    GHashTable *seen;   /* call id -> QRSeen *, owned */
    GQueue *seen_order; /* QRSeen *, borrowed, by arrival */
    uint64_t now_ms, wall_s, started_ms;
    uint64_t stop_at_ms, last_end_ms;
    bool listed_leaving, exited, hosts_known, hosts_reading;
    uint64_t hosts_next_ms, heartbeat_next_ms, register_next_ms;
    /* the engine and the version it is to serve */
    char *active;      /* manifest, "" if none */
    bool active_known; /* the engine said so */
    bool engine_reading;
    uint64_t engine_next_ms;
    QRStage stage;
    char *target;             /* manifest, "" if none */
    uint64_t target_revision; /* of the intent */
    QRFetch *fetch, *previous;
    bool manifest_reading;
    uint64_t manifest_next_ms;
    QRHandle order; /* the open one */
    QREffectType order_type;
    unsigned order_index;
    uint64_t orders, order_next_ms, drain_since_ms;
    unsigned failures;
    char *why;
    uint64_t count[QR_AGENT_COUNTER_COUNT];
} QRAgent;

/* 'start_name' tells this process from every other that ever ran. */
QRAgent *qr_agent_new(const QRSettings *set, const char *start_name,
                      uint64_t now_ms);
void qr_agent_free(QRAgent *s);
void qr_agent_reduce(QRAgent *s, const QREvent *ev, QREffects *out);

/* Between the agent's own files. */

bool qr_agent_is_engine(const QRAgent *s);
bool qr_agent_leaving(const QRAgent *s);
const QRMember *qr_agent_member(const QRAgent *s);
void qr_agent_set_text(char **to, const char *text);

/* qr_agent_peers.c */
void qr_agent_opened(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_frame(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_closed(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_hosts(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_peers_tick(QRAgent *s, QREffects *out);
void qr_agent_heartbeat(QRAgent *s, QREffects *out);
QRAgentEntry *qr_agent_entry_of_conn(const QRAgent *s, QRHandle conn);
void qr_agent_entry_free(void *p);

/* qr_agent_calls.c */
void qr_agent_call_start(QRAgent *s, QRHandle conn, const Qr__CallStart *m,
                         QREffects *out);
void qr_agent_call_cancel(QRAgent *s, QRHandle conn, const Qr__CallCancel *m,
                          QREffects *out);
void qr_agent_reply_data(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_reply_end(QRAgent *s, const QREvent *ev, QREffects *out);
/* The entry at the other end is gone. */
void qr_agent_calls_lost(QRAgent *s, QRHandle conn, QREffects *out);
void qr_agent_calls_tick(QRAgent *s);
void qr_run_free(void *p);
void qr_seen_free(void *p);

/* qr_agent_weights.c */
void qr_agent_manifest_read(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_chunk_read(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_chunk_want(QRAgent *s, QRHandle conn, const Qr__ChunkWant *m,
                         QREffects *out);
void qr_agent_chunk_give(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_chunk_progress(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_chunk_sent(QRAgent *s, const QREvent *ev, QREffects *out);
bool qr_agent_bulk_opened(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_bulk_closed(QRAgent *s, const QREvent *ev, QREffects *out);
/* Asks for what is missing, gives what is asked. */
void qr_agent_weights_step(QRAgent *s, QREffects *out);
void qr_bulk_free(void *p);
void qr_taker_free(void *p);

/* qr_agent_ops.c */
void qr_agent_metrics(QRAgent *s, const QREvent *ev, QREffects *out);
/* Whatever else is asked of an agent over HTTP is not served. */
void qr_agent_not_served(QRAgent *s, const QREvent *ev, QREffects *out);

/* qr_agent_switch.c */
void qr_agent_order_done(QRAgent *s, const QREvent *ev, QREffects *out);
void qr_agent_engine_state(QRAgent *s, const QREvent *ev, QREffects *out);
/* Brings the engine one step nearer to what the intent asks. */
void qr_agent_switch_step(QRAgent *s, QREffects *out);

#endif
