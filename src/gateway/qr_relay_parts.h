/*
 * What the parts of a relay share: the call's state, and the steps that one
 * part takes for another. Included by qr_relay*.c and qr_sending.c only.
 */
#ifndef QR_RELAY_PARTS_H
#define QR_RELAY_PARTS_H

#include "qr_attempt.h"
#include "qr_balance.h"
#include "qr_relay.h"
#include "qr_sse.h"

typedef enum AnswerMode {
    ANSWER_NONE,   /* no head yet */
    ANSWER_DROP,   /* surely not run, or not an engine's: read and dropped */
    ANSWER_BUFFER,   /* kept until it is whole */
    ANSWER_FORWARD,   /* too large to keep: passed on as it comes */
    ANSWER_EVENTS, /* a stream, passed on event by event */
} AnswerMode;

/* A whole answer that may still be passed on. */
typedef struct BufferedAnswer {
    unsigned status;
    QRHeaders headers;
    GByteArray *body;
} BufferedAnswer;

/* What the choice of an engine rested on. */
typedef struct QRRelayForecast {
    double first_ms, gap_ms; /* to the first byte; longest pause */
    unsigned open, slots;   /* calls seen open at that engine, and its slots */
    uint64_t age_ms;         /* of what others told last of it */
} QRRelayForecast;

/* One sending of a call to an engine. */
typedef struct QRAttempt {
    QRClientCall *call; /* under way, or NULL */
    char *engine;       /* id, or NULL: over, and its place free */
    uint64_t born_ms;   /* start of the engine's run, as its record said */
    uint64_t sent_ms, progress_ms;
    unsigned prompt_tokens;  /* our tokens at the engine, to be read */
    uint64_t version;  /* of weights there, as believed when it was sent */
    bool awaits_first_byte;     /* the first byte */
    bool on_trial;     /* one like it ended an engine: no other meanwhile */
    bool counted_open;  /* it counts among our open calls at the engine */
    uint64_t first_ms; /* from sending to the first byte */
    AnswerMode mode;
    BufferedAnswer answer;
    GString *partial; /* while put aside: of an event that is not whole */
} QRAttempt;

/* The slot that is asked for a call before it is sent. */
typedef struct QRRelaySlot {
    char *engine;  /* id; NULL: none is asked for */
    uint32_t request; /* number of the request */
    uint64_t asked_ms;
    unsigned requests, denied; /* requests so far, and those denied */
    bool at_full_limits;     /* the last one: see qr_balance_terms() */
    bool despite_rest;      /* the last one: also if it turned others away */
    bool is_repeat;         /* the last one: the call was sent before */
    unsigned full_denials;       /* so far, on full terms */
    unsigned rest_denials;        /* so far, as the engine had turned others away */
} QRRelaySlot;

struct QRRelay {
    QRGateway *g;
    QRExchange *x;
    unsigned index; /* in g->relays */
    /* the call */
    char *id, *team, *service, *route;
    QRRouteKind kind;
    bool repeatable;
    unsigned runs_max;
    uint32_t objective_ms, gap_objective_ms;
    uint64_t arrived_ms, expires_ms, wait_until_ms;
    uint32_t waited_before_ms; /* by the caller, at earlier tries */
    bool new_connection;                /* the next sending takes a new connection */
    bool late;    /* cannot be answered in time: others come first */
    bool waiting; /* in a queue of its service */
    bool awaits_trial;   /* waits, in no queue, for the trial of one like it */
    bool has_fingerprint;
    QRFingerprint fingerprint;
    QRRelaySlot slot;
    /* sendings */
    QRAttempt current;    /* the last one */
    QRAttempt stalled;   /* one that fell silent before it, and may speak again */
    GPtrArray *tried; /* ids */
    unsigned runs, attempts;
    uint64_t held_off_ms; /* as in QRBalanceChoice, at the last choice */
    bool has_retry_token;       /* taken from the budget, not sent yet */
    /* of the last sending that ended: how, for a repeat that gets no slot */
    QRAttemptEnd last_end;
    bool remainder_waits;              /* the rest of a stream waits for room */
    uint64_t remainder_until_ms;   /* and so long; 0: has not waited yet */
    uint64_t last_event_ms, gap_ms; /* last event passed on; longest pause */
    uint64_t start_ms;          /* from arrival to the first event passed on */
    unsigned prompt_tokens;            /* tokens, as the caller states */
    uint32_t deadline_ms;       /* what the caller said it would wait */
    QRRelayForecast forecast;   /* of the last sending */
    /* the answer */
    BufferedAnswer failure; /* an engine's failure, if nothing better comes */
    bool failure_kept, failure_hidden; /* own: its status must not be passed on */
    bool answer_started;                   /* part of an answer went to the caller */
    QRSse events;
};

/* A kept answer: made ready, freed, emptied for the next one. */
void qr_buffered_answer_init(BufferedAnswer *a);
void qr_buffered_answer_clear(BufferedAnswer *a);
void qr_buffered_answer_reset(BufferedAnswer *a);
/* One more of a counter. */
void qr_relay_count(QRGateway *g, QRCounter c);
/* Where a sending went; NULL: none, or the engine is forgotten. */
QREngine *qr_attempt_engine(const QRRelay *r, const QRAttempt *s);
/* The engine has read the prompt: the answer begins, or is given up. */
void qr_attempt_mark_read(QRRelay *r, QRAttempt *s);
/* The sending counts no longer, or counts, among our open calls at its
   engine. */
void qr_attempt_uncount_open(QRRelay *r, QRAttempt *s);
void qr_attempt_count_open(QRRelay *r, QRAttempt *s);
/* The sending is over, and its place is free. */
void qr_attempt_detach(QRRelay *r, QRAttempt *s);
/* Cuts a sending if it is under way, and frees what it holds. */
void qr_attempt_clear(QRRelay *r, QRAttempt *s);
/*
 * An engine is only given up for another that has begun: the sending under way
 * is put aside, so that the next one can be sent.
 */
void qr_relay_keep_stalled(QRRelay *r);
/* Gives the one put aside up, if there is any. */
void qr_relay_drop_stalled(QRRelay *r);
/* Gives up the last one for the one that was put aside before it. */
void qr_relay_resume_stalled(QRRelay *r, const char *why);
/* The calls that wait for an engine as this one does. */
GQueue *qr_relay_queue(const QRRelay *r);
/* Leaves the queue of calls that wait for an engine. */
void qr_relay_dequeue(QRRelay *r);
/* Ends the relay: what is under way is cut. The exchange stays. */
void qr_relay_free(QRRelay *r);
/* The last line of every call: what became of it, and on what grounds. */
void qr_relay_log(const QRRelay *r, const char *outcome, unsigned status,
                  const char *why);
/* An answer of our own; 503 says when to come back. */
void qr_relay_finish_locally(QRRelay *r, unsigned status, QRCounter counter,
                         const char *why);
/* Breaks an answer that has begun. */
void qr_relay_cut(QRRelay *r, const char *why);
/* Passes a kept answer on, headers and all. */
void qr_relay_forward_answer(QRRelay *r, BufferedAnswer *a);
/* Takes what the head of an answer says of the engine. */
void qr_relay_read_notice(QRRelay *r, const QRAttempt *s, unsigned status,
                     const QRHeaders *headers);
/* What the sending says of its engine. */
void qr_relay_report_outcome(QRRelay *r, QREngineOutcome outcome);
/* The request to the engine is over, with or without an answer. */
void qr_relay_end_attempt(QRRelay *r);
/* A status by which an engine that ran a call says that it failed. */
bool qr_relay_is_failure(unsigned status);
extern const QRClientHandlers qr_relay_answer_handlers;
/* The oldest version of weights that the call may begin on; 0: any. */
uint64_t qr_relay_min_version(const QRRelay *r, uint64_t margin_ms);
/* Sends the call to the engine that was chosen. */
void qr_relay_send(QRRelay *r, const QRBalanceChoice *c);
/* Asks for a slot at the engine that was chosen; the call is sent there once it
   is granted. 'is_repeat': it was sent elsewhere before. */
void qr_relay_request_slot(QRRelay *r, const QRBalanceChoice *c, bool is_repeat);
/* The slot is not needed any more. */
void qr_relay_drop_slot_request(QRRelay *r);
/* Gives a request up that is not answered. */
void qr_relay_slot_tick(QRRelay *r, uint64_t now_ms);
/* Whether a call may be sent to that engine still, and what it would find. */
bool qr_relay_may_use(QRRelay *r, QREngine *e, QRBalanceChoice *c);
/* What is known of requests like this one; see qr_relay_suspect.c. */
QRSuspicion qr_relay_suspicion(QRRelay *r);
/* A sending begins to an engine that was chosen. */
void qr_relay_begin_trial(QRRelay *r, QRAttempt *s);
/* It is over, whatever became of it. */
void qr_relay_end_trial(QRRelay *r, QRAttempt *s);
/* It broke off at its engine; or its answer is whole, and good. */
void qr_relay_note_broken(QRRelay *r, QRAttempt *s);
void qr_relay_note_answered(QRRelay *r);
/* Calls under way like one that has just become suspect are its trials. */
void qr_relay_join_trials(QRGateway *g);
/* The engine for the next sending, if any should take it. */
QRBalanceChoice qr_relay_choose(QRRelay *r);
/* The same for one that is sent without asking for a slot. */
QRBalanceChoice qr_relay_choose_unreserved(QRRelay *r);
/* The slot that was asked for a repeat is not to be had. */
void qr_relay_repeat_denied(QRRelay *r);
/* No engine has room: waits for a moment, then is told to come back. */
void qr_relay_wait(QRRelay *r, const QRBalanceChoice *c);
/* Sends if an engine has room, else waits or refuses. */
void qr_relay_dispatch(QRRelay *r);
/* Takes calls that wait for an engine of 'service', first come first. */
void qr_relay_dispatch_waiting(QRGateway *g, const char *service);
/* A sending has ended: sends again, passes on, refuses, fails or cuts. */
void qr_relay_attempt_ended(QRRelay *r, QRAttemptEnd end, const char *why);

#endif
