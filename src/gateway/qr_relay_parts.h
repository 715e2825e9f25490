/*
 * State and internal functions shared by the source files of the relay.
 * Not for other files.
 */
#ifndef QR_RELAY_PARTS_H
#define QR_RELAY_PARTS_H

#include "qr_admission.h"
#include "qr_attempt.h"
#include "qr_balance.h"
#include "qr_relay.h"
#include "qr_sse.h"

#include "fleet/qr_shares.h"

/* What is done with the body of an engine's answer. */
typedef enum AnswerMode {
    ANSWER_NONE,    /* the head has not arrived */
    ANSWER_DROP,    /* not run, or not an engine's answer: discarded */
    ANSWER_BUFFER,  /* kept in memory until it is complete */
    ANSWER_FORWARD, /* too large to buffer: forwarded as it arrives */
    ANSWER_EVENTS,  /* an event stream, forwarded event by event */
} AnswerMode;

/* A complete answer in memory, to be forwarded or replaced by a better one. */
typedef struct SavedAnswer {
    unsigned status;
    QRHeaders headers;
    GByteArray *body;
} SavedAnswer;

/* The data by which an engine was chosen; for the log. */
typedef struct QRRelayForecast {
    double first_ms, gap_ms; /* to the first byte; longest pause */
    unsigned open, slots;    /* known open calls at the engine, and its slots */
    uint64_t age_ms;         /* of the last report of another gateway on it */
} QRRelayForecast;

/* One attempt: the call is sent to one engine. */
typedef struct QRAttempt {
    QRClientCall *call; /* in progress, or NULL */
    char *engine;       /* id; NULL: the attempt no longer counts there */
    uint64_t born_ms;   /* start of the engine process, from its record */
    uint64_t sent_ms, progress_ms;
    unsigned prompt_tokens; /* added to QREngine.reading until they are read */
    uint64_t version;       /* of the engine's weights, as known at sending */
    bool awaits_first_byte; /* the engine has not answered yet */
    GArray *trials;         /* QRFingerprint: the suspects of which the attempt
                               counts as a trial; NULL: none */
    bool counted_open;      /* counted in QREngine.own */
    uint64_t first_ms;      /* from sending to the first byte */
    uint64_t body_ms;       /* when the answer's body began; 0: it has not */
    size_t dropped_bytes;   /* of an answer that is not forwarded */
    AnswerMode mode;
    SavedAnswer answer;
    GString *partial; /* of a stalled attempt: bytes of an incomplete event;
                         of one that is slow, all bytes held since */
    bool is_slow; /* of a stalled attempt: it runs, but cannot end in time */
} QRAttempt;

/* The request for a slot at an engine, made before the call is sent there. An
   engine is in backoff while it asks some gateway to send no requests. */
typedef struct QRRelaySlot {
    /* open only while no attempt is current; see docs/design/relay-states.md */
    char *engine;     /* id; NULL: no request is open */
    uint32_t request; /* its number */
    uint64_t requested_ms;
    unsigned requests, denied;      /* requests so far; denied ones */
    unsigned max_open, max_reading; /* the last one: its limits */
    bool at_full_limits;   /* the last one: its limits were the full ones, see
                              qr_balance_tighten_limits() */
    bool ignores_backoff;  /* the last one: also during the engine's backoff */
    bool is_retry;         /* the last one: for a retry */
    unsigned full_denials; /* denied requests with full limits */
    /* denied requests by cause: no free slot; too many unread prompt tokens;
       the slot is left to other calls */
    unsigned denied_open, denied_unread, denied_yields;
    char *claimed; /* id of the engine that keeps room for the call, until
                      claimed_until_ms; NULL: none */
    uint64_t claimed_until_ms;
    unsigned backoff_denials; /* denied because of the engine's backoff */
} QRRelaySlot;

struct QRRelay {
    QRGateway *g;
    QRExchange *x;
    unsigned index; /* in g->relays */
    /* the call */
    char *id, *team, *service, *route;
    /* where the call may run; NULL: everywhere. Kept when a newer policy
       replaces that of the call's arrival. */
    GPtrArray *route_regions, *team_regions;
    QRRouteKind kind;
    /* see qr_share_rank(), qr_share_team(); 0 if slots are not shared */
    uint32_t rank, share_team;
    bool repeatable;
    unsigned runs_max;
    uint64_t arrived_ms, expires_ms;
    unsigned usual_open; /* calls at a usable engine when it last looked */
    bool new_connection; /* the next attempt opens a new connection */
    bool waiting;        /* in the queue of its service */
    /* in no queue; a request with the same fingerprint or part is on trial */
    bool awaits_trial;
    GArray *fingerprints; /* QRFingerprint: of the request, then of the shared
                             parts of its prompt; NULL: not needed so far */
    uint64_t team_hash;   /* set with 'fingerprints' */
    bool is_held;         /* when it was last checked */
    unsigned held_by;     /* index of the fingerprint for which it is held */
    QRRelaySlot slot;
    /* attempts */
    QRAttempt current; /* the last attempt */
    QRAttempt stalled; /* the one before; made no progress, may resume */
    GPtrArray *tried;  /* ids of engines */
    /* attempts that ran or may have run; all that reached an engine */
    unsigned runs, attempts;
    uint64_t held_off_ms;  /* from the last QRBalanceChoice */
    bool has_retry_token;  /* taken from the retry budget, not used yet */
    QRAttemptEnd last_end; /* used if a retry gets no slot */
    bool remainder_waits;  /* the remainder of a stream waits for an engine */
    bool remainder_waited; /* now or earlier */
    uint64_t remainder_try_ms, remainder_gap_ms; /* its next try; time between
                                                    the last two */
    uint64_t last_event_ms, gap_ms; /* last forwarded event; longest pause */
    uint64_t start_ms;      /* from arrival to the first forwarded event */
    unsigned prompt_tokens; /* as the caller states */
    unsigned answer_limit_tokens; /* the same; 0: not stated */
    bool by_forecast;             /* admitted by a forecast of its duration */
    double stated_tokens;         /* of its answer; 0: unknown */
    double expected_tokens;       /* the same, corrected */
    uint32_t deadline_ms;         /* how long the caller waits, as it stated */
    QRRelayForecast forecast;     /* of the last attempt */
    /* the answer */
    SavedAnswer failure; /* an engine's error, used if nothing better comes */
    /* hidden: the status of the failure would say that the call was not run */
    bool failure_kept, failure_hidden;
    bool answer_started; /* part of an answer was sent to the caller */
    QRSse events;
    QRStreamPace pace;     /* of the events, at the current engine */
    QRTokensStated stated; /* read at the first event */
    bool has_stated;
    bool is_slow, moved, move_refused; /* it could not end in time; each is
                                          counted once */
    uint64_t move_check_ms;            /* when that is checked next */
};

void qr_saved_answer_init(SavedAnswer *a);
void qr_saved_answer_clear(SavedAnswer *a);
void qr_saved_answer_reset(SavedAnswer *a);
void qr_relay_count(QRGateway *g, QRCounter c);
/* The engine of the attempt; NULL: none, or its record is gone. */
QREngine *qr_attempt_engine(const QRRelay *r, const QRAttempt *a);
/* The engine's answer begins, or the attempt ends: its prompt tokens no longer
   count as unread at the engine. */
void qr_attempt_mark_read(QRRelay *r, QRAttempt *a);
/* Removes the attempt from, or adds it to, our open calls at its engine. No
   effect if that is already the case. */
void qr_attempt_uncount_open(QRRelay *r, QRAttempt *a);
void qr_attempt_count_open(QRRelay *r, QRAttempt *a);
/* Removes everything that is counted at the engine for the attempt. */
void qr_attempt_detach(QRRelay *r, QRAttempt *a);
/* Cancels the attempt if it is in progress, and frees its data. */
void qr_attempt_clear(QRRelay *r, QRAttempt *a);
/*
 * Moves the current attempt to 'stalled', where it stays open until the next
 * attempt begins to answer.
 */
void qr_relay_keep_stalled(QRRelay *r);
/* Cancels the stalled attempt, if there is one. */
void qr_relay_drop_stalled(QRRelay *r);
/* Cancels the current attempt and the slot request of a further one, and makes
   the stalled attempt current again. */
void qr_relay_resume_stalled(QRRelay *r, const char *why);
/* The same, and forwards the events that were held of a slow one. May free
   'r'. */
void qr_relay_take_back(QRRelay *r, const char *why);
/* Takes one retry from the budget of the service, unless the relay already has
   an unused one. Returns false if the budget is spent. */
bool qr_relay_take_retry_token(QRRelay *r);
/* Sends the remainder of a slow stream to another engine. The slow attempt
   becomes the stalled one. */
void qr_relay_move(QRRelay *r, const QRBalanceChoice *c);
/* Records that 'n' events of the current attempt arrived together. */
void qr_relay_note_events(QRRelay *r, unsigned n);
/* Records the length of a stream that is complete. */
void qr_relay_note_stream_end(QRRelay *r);
/* Moves the stream if it cannot end in time here but can elsewhere. */
void qr_relay_consider_move(QRRelay *r, uint64_t now_ms);
/* Whether the stalled attempt is a slow one, and the other engine has not begun
   to answer. */
bool qr_relay_is_moving(const QRRelay *r);
/* Holds data of the slow attempt of a stream that is moving. May free 'r'. */
void qr_relay_hold_slow(QRRelay *r, const char *data, size_t len);
/* Removes the call from the queue, if it is in the queue. */
void qr_relay_dequeue(QRRelay *r);
/* Frees the relay and cancels its attempts. The exchange stays. */
void qr_relay_free(QRRelay *r);
/* Writes the last log line of a call: its outcome and the reason. */
void qr_relay_log(const QRRelay *r, const char *outcome, unsigned status,
                  const char *why);
/* Replies without an engine's answer and frees 'r'. 503 has Retry-After. */
void qr_relay_finish_locally(QRRelay *r, unsigned status, QRCounter counter,
                             const char *why);
/* Aborts an answer that has begun, and frees 'r'. */
void qr_relay_cut(QRRelay *r, const char *why);
/* Forwards a buffered answer with its headers, and frees 'r'. */
void qr_relay_forward_answer(QRRelay *r, SavedAnswer *a);
/* Reads what the head of an answer states about the engine: its rate limit, its
   shutdown, or a time in which the engine wants no requests (a rest). */
void qr_relay_read_notice(QRRelay *r, const QRAttempt *a, unsigned status,
                          const QRHeaders *headers);
/* Reports the outcome of the current attempt for the engine's health. */
void qr_relay_report_outcome(QRRelay *r, QREngineOutcome outcome);
/* Ends an answer that is dropped but does not end. May free 'r'. */
void qr_relay_check_dropped(QRRelay *r, uint64_t now_ms);
/* The current attempt has ended, with or without an answer. */
void qr_relay_end_attempt(QRRelay *r);
/* Whether an engine that ran a call reports a failure by this status. */
bool qr_relay_is_failure(unsigned status);
extern const QRClientHandlers qr_relay_answer_handlers;
/* The oldest version of weights on which the call may begin 'margin_ms' from
   now; 0: any. */
uint64_t qr_relay_min_version(const QRRelay *r, uint64_t margin_ms);
/* Where the call may run. */
QRPlacement qr_relay_placement(const QRRelay *r);
/* Sends the call to the engine that was chosen. */
void qr_relay_send(QRRelay *r, const QRBalanceChoice *c);
/* Requests a slot at the chosen engine; the call is sent there once the slot is
   granted. 'is_retry': the call was sent before. */
void qr_relay_request_slot(QRRelay *r, const QRBalanceChoice *c, bool is_retry);
/* Forgets the open slot request, if there is one. */
void qr_relay_drop_slot_request(QRRelay *r);
/* Whether the call waits for room that an engine keeps for it. */
bool qr_relay_awaits_claim(const QRRelay *r, uint64_t now_ms);
/* Times out an unanswered slot request. */
void qr_relay_slot_tick(QRRelay *r, uint64_t now_ms);
/* Whether the call may still be sent to that engine; fills 'c'. */
bool qr_relay_may_use(QRRelay *r, QREngine *e, QRBalanceChoice *c);
/* Whether the request, or a part of its prompt, is suspected of crashing
   engines. */
QRSuspicion qr_relay_suspicion(QRRelay *r);
/* Of a call that qr_relay_suspicion() found to be held: for which suspect, and
   the reason in words. */
const QRFingerprint *qr_relay_held_by(const QRRelay *r);
const char *qr_relay_held_reason(const QRRelay *r);
/* Counts the attempt as a trial of each suspect in it. */
void qr_relay_begin_trial(QRRelay *r, QRAttempt *a);
/* Ends these trials when the attempt is over, with any outcome. */
void qr_relay_end_trial(QRRelay *r, QRAttempt *a);
/* The connection broke during the attempt. */
void qr_relay_note_broken(QRRelay *r, QRAttempt *a);
/* The current attempt got a complete, successful answer. */
void qr_relay_note_answered(QRRelay *r);
/* Counts calls in progress as trials of what has become suspect. */
void qr_relay_join_trials(QRGateway *g);
/* Chooses the engine for the next attempt; 'engine' is NULL if none can take
   the call. */
QRBalanceChoice qr_relay_choose(QRRelay *r);
/* The same for an attempt that is sent without a slot request. */
QRBalanceChoice qr_relay_choose_unreserved(QRRelay *r);
/* The slot request of a retry was denied or not answered. */
void qr_relay_retry_denied(QRRelay *r);
/* Queues the call, or refuses it if it cannot begin in time. */
void qr_relay_wait(QRRelay *r, const QRBalanceChoice *c);
/* Reads what the caller states of its call, and corrects it by earlier
   answers. */
void qr_relay_read_needs(QRRelay *r);
/* Refuses the call, and returns true, if it cannot end before its deadline. */
bool qr_relay_refuse_hopeless(QRRelay *r);
/* Learns how long the answer took to write. 'complete': it ended by itself,
   rather than at its deadline. */
void qr_relay_learn_length(QRRelay *r, bool complete);
/* The engines of the call's service; NULL: not configured. */
const QREngineModel *qr_relay_engine_model(const QRRelay *r);
/* How long the call takes from being sent to its end, as forecast, or as calls
   of its service took; 0: unknown. */
double qr_relay_work_ms(const QRRelay *r);
/* How long another engine takes for what is left of a stream that has begun. */
double qr_relay_remainder_ms(const QRRelay *r);
/* Latest time at which the call may be sent to end in time. */
uint64_t qr_relay_latest_start_ms(const QRRelay *r);
/* Slots that become free per second for this gateway's calls of the service,
   while calls wait; 0: not known. */
double qr_relay_turnover_per_s(QRGateway *g, const char *service);
/* Open calls of this gateway at engines of the service. */
unsigned qr_relay_open_calls(const QRGateway *g, const char *service);
/* Finds the engine that is expected first to have the version that the call
   needs. Returns false if no engine says so. */
bool qr_relay_first_ready_ms(const QRRelay *r, uint64_t *ready_ms);
/* Dispatches all queued calls in their order. */
void qr_relay_wait_tick(QRGateway *g);
/* Sends the call if an engine has room, else queues or refuses it. */
void qr_relay_dispatch(QRRelay *r);
/* Dispatches the queued calls of 'service' in order, until one finds no room.
 */
void qr_relay_dispatch_waiting(QRGateway *g, const char *service);
/* An attempt has ended: retries, forwards the answer, refuses, fails, waits or
   aborts. */
void qr_relay_attempt_ended(QRRelay *r, QRAttemptEnd end, const char *why);

#endif
