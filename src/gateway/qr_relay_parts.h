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
    ANSWER_KEEP,   /* kept until it is whole */
    ANSWER_PASS,   /* too large to keep: passed on as it comes */
    ANSWER_EVENTS, /* a stream, passed on event by event */
} AnswerMode;

/* A whole answer that may still be passed on. */
typedef struct KeptAnswer {
    unsigned status;
    QRHeaders headers;
    GByteArray *body;
} KeptAnswer;

/* What the choice of an engine rested on. */
typedef struct QRRelayForecast {
    double first_ms, gap_ms; /* to the first byte; longest pause */
    unsigned open, places;   /* calls seen open at that engine, and its slots */
    uint64_t age_ms;         /* of what others told last of it */
} QRRelayForecast;

/* One sending of a call to an engine. */
typedef struct QRSending {
    QRClientCall *call; /* under way, or NULL */
    char *engine;       /* id, or NULL: over, and its place free */
    uint64_t born_ms;   /* start of the engine's run, as its record said */
    uint64_t sent_ms, progress_ms;
    unsigned reading;  /* our tokens at the engine, to be read */
    uint64_t version;  /* of weights there, as believed when it was sent */
    bool awaiting;     /* the first byte */
    bool on_trial;     /* one like it ended an engine: no other meanwhile */
    bool holds_place;  /* it counts among our open calls at the engine */
    uint64_t first_ms; /* from sending to the first byte */
    AnswerMode mode;
    KeptAnswer answer;
    GString *partial; /* while put aside: of an event that is not whole */
} QRSending;

/* The slot that is asked for a call before it is sent. */
typedef struct QRRelaySlot {
    char *engine;  /* id; NULL: none is asked for */
    uint32_t call; /* number of the request */
    uint64_t asked_ms;
    unsigned asked, denied; /* requests so far, and those denied */
    bool on_full_terms;     /* the last one: see qr_balance_tighten_limits() */
    bool despite_rest;      /* the last one: also if it turned others away */
    bool is_repeat;         /* the last one: the call was sent before */
    unsigned denials;       /* so far, on full terms */
    unsigned rested;        /* so far, as the engine had turned others away */
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
    uint64_t arrived_ms, final_ms, wait_until_ms;
    uint32_t waited_before_ms; /* by the caller, at earlier tries */
    bool fresh;                /* the next sending takes a new connection */
    bool late;    /* cannot be answered in time: others come first */
    bool waiting; /* in a queue of its service */
    bool apart;   /* waits, in no queue, for the trial of one like it */
    bool has_fingerprint;
    QRFingerprint fingerprint;
    QRRelaySlot slot;
    /* sendings */
    QRSending now;    /* the last one */
    QRSending held;   /* one that fell silent before it, and may speak again */
    GPtrArray *tried; /* ids */
    unsigned runs, sendings;
    uint64_t held_off_ms; /* as in QRBalanceChoice, at the last choice */
    bool has_retry;       /* taken from the budget, not sent yet */
    /* of the last sending that ended: how, for a repeat that gets no slot */
    QRAttemptEnd last_end;
    bool resuming;              /* the rest of a stream waits for room */
    uint64_t resume_until_ms;   /* and so long; 0: has not waited yet */
    uint64_t passed_ms, gap_ms; /* last event passed on; longest pause */
    uint64_t start_ms;          /* from arrival to the first event passed on */
    unsigned prompt;            /* tokens, as the caller states */
    uint32_t deadline_ms;       /* what the caller said it would wait */
    QRRelayForecast forecast;   /* of the last sending */
    /* the answer */
    KeptAnswer failure; /* an engine's failure, if nothing better comes */
    bool failure_kept, failure_own; /* own: its status must not be passed on */
    bool started;                   /* part of an answer went to the caller */
    QRSse events;
};

/* A kept answer: made ready, freed, emptied for the next one. */
void qr_kept_init(KeptAnswer *a);
void qr_kept_clear(KeptAnswer *a);
void qr_kept_reset(KeptAnswer *a);
/* One more of a counter. */
void qr_relay_count(QRGateway *g, QRCounter c);
/* Where a sending went; NULL: none, or the engine is forgotten. */
QREngine *qr_sending_engine(const QRRelay *r, const QRSending *s);
/* The engine has read the prompt: the answer begins, or is given up. */
void qr_sending_read(QRRelay *r, QRSending *s);
/* The sending counts no longer, or counts, among our open calls at its
   engine. */
void qr_sending_free_place(QRRelay *r, QRSending *s);
void qr_sending_hold_place(QRRelay *r, QRSending *s);
/* The sending is over, and its place is free. */
void qr_sending_leave_engine(QRRelay *r, QRSending *s);
/* Cuts a sending if it is under way, and frees what it holds. */
void qr_sending_clear(QRRelay *r, QRSending *s);
/*
 * An engine is only given up for another that has begun: the sending under way
 * is put aside, so that the next one can be sent.
 */
void qr_relay_hold(QRRelay *r);
/* Gives the one put aside up, if there is any. */
void qr_relay_drop_held(QRRelay *r);
/* Gives up the last one for the one that was put aside before it. */
void qr_relay_take_back(QRRelay *r, const char *why);
/* The calls that wait for an engine as this one does. */
GQueue *qr_relay_queue(const QRRelay *r);
/* Leaves the queue of calls that wait for an engine. */
void qr_relay_unwait(QRRelay *r);
/* Ends the relay: what is under way is cut. The exchange stays. */
void qr_relay_free(QRRelay *r);
/* The last line of every call: what became of it, and on what grounds. */
void qr_relay_log(const QRRelay *r, const char *outcome, unsigned status,
                  const char *why);
/* An answer of our own; 503 says when to come back. */
void qr_relay_finish_own(QRRelay *r, unsigned status, QRCounter counter,
                         const char *why);
/* Breaks an answer that has begun. */
void qr_relay_cut(QRRelay *r, const char *why);
/* Passes a kept answer on, headers and all. */
void qr_relay_pass(QRRelay *r, KeptAnswer *a);
/* Takes what the head of an answer says of the engine. */
void qr_relay_notice(QRRelay *r, const QRSending *s, unsigned status,
                     const QRHeaders *headers);
/* What the sending says of its engine. */
void qr_relay_outcome(QRRelay *r, QREngineOutcome outcome);
/* The request to the engine is over, with or without an answer. */
void qr_relay_sending_over(QRRelay *r);
/* A status by which an engine that ran a call says that it failed. */
bool qr_relay_is_failure(unsigned status);
extern const QRClientHandlers qr_relay_answer_handlers;
/* The oldest version of weights that the call may begin on; 0: any. */
uint64_t qr_relay_version_least(const QRRelay *r, uint64_t margin_ms);
/* Sends the call to the engine that was chosen. */
void qr_relay_send(QRRelay *r, const QRBalanceChoice *c);
/* Asks for a slot at the engine that was chosen; the call is sent there once it
   is granted. 'is_repeat': it was sent elsewhere before. */
void qr_relay_slot_ask(QRRelay *r, const QRBalanceChoice *c, bool is_repeat);
/* The slot is not needed any more. */
void qr_relay_slot_drop(QRRelay *r);
/* Gives a request up that is not answered. */
void qr_relay_slot_tick(QRRelay *r, uint64_t now_ms);
/* Whether a call may be sent to that engine still, and what it would find. */
bool qr_relay_may_use(QRRelay *r, QREngine *e, QRBalanceChoice *c);
/* What is known of requests like this one; see qr_relay_suspect.c. */
QRSuspicion qr_relay_suspicion(QRRelay *r);
/* A sending begins to an engine that was chosen. */
void qr_relay_suspect_sent(QRRelay *r, QRSending *s);
/* It is over, whatever became of it. */
void qr_relay_suspect_over(QRRelay *r, QRSending *s);
/* It broke off at its engine; or its answer is whole, and good. */
void qr_relay_suspect_broke(QRRelay *r, QRSending *s);
void qr_relay_suspect_answered(QRRelay *r);
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
void qr_relay_try(QRRelay *r);
/* Takes calls that wait for an engine of 'service', first come first. */
void qr_relay_pump(QRGateway *g, const char *service);
/* A sending has ended: sends again, passes on, refuses, fails or cuts. */
void qr_relay_next(QRRelay *r, QRAttemptEnd end, const char *why);

#endif
