/*
 * The entry's reducer: it answers callers, admits, queues and routes calls,
 * follows the log, and lets waves of a rollout go.
 */
#ifndef QR_ENTRY_H
#define QR_ENTRY_H

#include "qr_burn.h"
#include "qr_config.h"
#include "qr_event.h"
#include "qr_reason.h"
#include "qr_rollout.h"
#include "qr_settings.h"

/* Counters of an entry; DEF(name, help). */
#define QR_ENTRY_COUNTERS                                                      \
    DEF(calls, "calls that callers sent")                                      \
    DEF(answered, "calls answered whole")                                      \
    DEF(refused, "calls answered not_run")                                     \
    DEF(unknown, "calls answered unknown")                                     \
    DEF(retried, "calls handed on again")                                      \
    DEF(retry_denied, "retries that the budget did not allow")                 \
    DEF(late_frames, "frames for a call that was no longer open")              \
    DEF(frames_in, "frames from other processes")                              \
    DEF(bad_frames, "frames that made no sense here")                          \
    DEF(state_taken, "configurations taken from another process")              \
    DEF(state_sent, "configurations sent to another process")                  \
    DEF(log_reads, "reads of the log that were answered")                      \
    DEF(log_failures, "reads of the log that failed")                          \
    DEF(appends, "appends asked for")                                          \
    DEF(snapshots, "snapshots appended")                                       \
    DEF(retired, "agents asked to be retired")                                 \
    DEF(cut_off_at_stop, "calls cut off at the bound of a stop")

typedef enum QREntryCounter {
#define DEF(name, help) QR_ENTRY_COUNT_##name,
    QR_ENTRY_COUNTERS
#undef DEF
        QR_ENTRY_COUNTER_COUNT
} QREntryCounter;

/* How much of the configuration was sent on a connection, and when. */
typedef struct QRSentState {
    uint64_t revision, at_ms;
} QRSentState;

/* An agent as this entry sees it. Rows are never freed, only emptied. */
typedef struct QRBackend {
    char *host, *incarnation, *service, *availability_zone, *address;
    char *manifest, *target, *why;
    QRHandle conn;       /* QR_HANDLE_NONE while it is not connected */
    bool leaving;        /* by its own word */
    bool listed_leaving; /* by the host list's */
    uint64_t heard_ms, revision, full_until_ms;
    QRSentState sent;
    uint64_t origin_bytes;
    unsigned stage; /* QRStage */
    uint32_t in_flight, handed_on, slots, chunks_have, chunks_total;
    uint32_t open_calls; /* handed on by this entry, not ended */
} QRBackend;

/* Another entry. */
typedef struct QRPeer {
    char *host, *address, *caller_address, *availability_zone;
    QRHandle conn;    /* the one that this entry dialled */
    QRHandle in_conn; /* the one that the peer dialled */
    bool dialling, leaving, listed;
    uint64_t revision;
    QRSentState sent;
} QRPeer;

typedef struct QRShare {
    char *service, *team;
    uint32_t waiting, sent;
    QRBurn burn;
} QRShare;

/* A service's waiting calls and what is known of its speed. */
typedef struct QRQueue {
    char *service;
    GPtrArray *waiting; /* QRCall *, by arrival */
    double mean_ms;     /* of an answered call */
    double retry_tokens;
} QRQueue;

typedef struct QRCall {
    QRHandle self, request;
    QRRequest *r;
    QRQueue *queue;
    QRShare *share;
    QRBackend *backend; /* it was handed on to, NULL while it waits */
    char *home;         /* the incarnation that alone may run it, or NULL */
    uint64_t arrived_ms, deadline_ms, sent_ms, first_ms;
    uint64_t ticket_expires_s;
    uint64_t received;  /* bytes of the open attempt */
    GByteArray *answer; /* of a call that is not streamed */
    uint32_t attempt;
    bool streaming;    /* bytes went out to the caller */
    bool in_doubt;     /* it was handed on and not refused */
    bool doubt_before; /* what in_doubt was before the open attempt */
} QRCall;

typedef struct QRConfirm {
    QRHandle self, request;
    char *id;
    uint64_t since_ms;
} QRConfirm;

/* How far an intent was when last looked at. */
typedef struct QREntryRollout {
    char *intent;
    uint64_t looked_ms, revision;
    QRRollout r;
} QREntryRollout;

typedef struct QRRoute QRRoute;

typedef struct QREntry {
    const QRSettings *set;
    QRConfig *config;
    const QRRoute *route;
    GPtrArray *backends;         /* QRBackend * */
    GHashTable *backend_by_host; /* borrowed */
    GPtrArray *rollouts;         /* QREntryRollout * */
    GPtrArray *peers;            /* QRPeer * */
    GPtrArray *queues;           /* QRQueue * */
    GPtrArray *shares;           /* QRShare * */
    QRTable calls;               /* QRCall * */
    QRTable confirms;            /* QRConfirm * */
    GHashTable *listed_leaving;  /* hosts, by the last list */
    GQueue *recent;       /* GBytes *: the last records, up to our revision */
    GHashTable *retiring; /* incarnation -> when it was last asked for */
    uint64_t now_ms, wall_s, started_ms;
    uint64_t stop_at_ms;  /* 0 while it runs */
    uint64_t last_end_ms; /* of a call */
    uint64_t log_next_ms, hosts_next_ms, publish_next_ms, announce_next_ms;
    uint64_t snapshot_asked_ms, snapshot_seen_ms, snapshot_seen_at;
    uint64_t log_answered_ms;
    bool log_reading, hosts_reading, hosts_known, exited;
    bool in_step; /* nothing is missing between our state and the log */
    uint64_t plans;
    uint64_t count[QR_ENTRY_COUNTER_COUNT];
} QREntry;

/* 'set' must outlive the entry. */
QREntry *qr_entry_new(const QRSettings *set, uint64_t now_ms);
void qr_entry_free(QREntry *s);
void qr_entry_reduce(QREntry *s, const QREvent *ev, QREffects *out);

/* Between the entry's own files. */

/* qr_entry_peers.c */
void qr_entry_opened(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_frame(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_closed(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_hosts(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_peers_tick(QREntry *s, QREffects *out);
void qr_entry_publish(QREntry *s, QREffects *out);
void qr_backend_free(void *p);
void qr_peer_free(void *p);

/*
 * How far 'in' is rolled out, as this entry sees it; looked at anew once a
 * tick at most. Borrowed, until the next call.
 */
const QRRollout *qr_entry_rollout(QREntry *s, const QRIntent *in);
void qr_entry_rollout_free(void *p);

/* qr_entry_spread.c */
/* Applies the record at 'offset'; false if it is not the next one. */
bool qr_entry_apply(QREntry *s, uint64_t offset, GBytes *record);
/* Takes over 'c' if it is newer; otherwise frees it. */
void qr_entry_take_config(QREntry *s, QRConfig *c, QREffects *out);
/* The configuration moved on: all who have to know are told. */
void qr_entry_moved(QREntry *s, QREffects *out);
/* Sends the configuration to all that have an older one. */
void qr_entry_spread(QREntry *s, QREffects *out);

/* qr_entry_log.c */
void qr_entry_log_read(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_log_failed(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_appended(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_confirm(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_log_tick(QREntry *s, QREffects *out);
void qr_confirm_free(void *p);

/* qr_entry_calls.c */
void qr_entry_call(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_caller_gone(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_call_refused(QREntry *s, QRBackend *b, const Qr__CallRefused *m,
                           QREffects *out);
void qr_entry_call_data(QREntry *s, QRBackend *b, const Qr__CallData *m,
                        QREffects *out);
void qr_entry_call_end(QREntry *s, QRBackend *b, const Qr__CallEnd *m,
                       QREffects *out);
/* The connection to 'b' is gone, and with it whatever it had been handed. */
void qr_entry_calls_lost(QREntry *s, QRBackend *b, QREffects *out);
/* Hands on waiting calls for as long as there is room. */
void qr_entry_dispatch(QREntry *s, QREffects *out);
void qr_entry_calls_tick(QREntry *s, QREffects *out);
/* Ends every open call: the bound of a stop is reached. */
void qr_entry_calls_abandon(QREntry *s, QREffects *out);
void qr_call_free(void *p);
void qr_queue_free(void *p);
void qr_share_free(void *p);

/* qr_entry_ops.c */
void qr_entry_plan(QREntry *s, const QREvent *ev, QREffects *out);
void qr_entry_status(QREntry *s, const QREvent *ev, QREffects *out);
/* Answers an operator; 'o' is taken over. */
void qr_entry_answer_json(QREffects *out, QRHandle request, unsigned status,
                          json_object *o, uint32_t retry_after_ms);

/* Asks of the state. */
QRBackend *qr_entry_backend(const QREntry *s, const char *host);
QRBackend *qr_entry_backend_of_conn(const QREntry *s, QRHandle conn);
/* Not unheard for longer than the lease. */
bool qr_backend_alive(const QREntry *s, const QRBackend *b);
/* May new calls be handed on to it? */
bool qr_backend_takes(const QREntry *s, const QRBackend *b);
/* Calls it runs, as reported, corrected by what was handed on since. */
uint32_t qr_backend_load(const QRBackend *b);

#endif
