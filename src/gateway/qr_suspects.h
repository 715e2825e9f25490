/*
 * Table of suspects: requests, and parts of prompts, that may crash the engines
 * that run them. This module does no I/O and reads no clock: the caller passes
 * the time, in milliseconds.
 *
 * A suspect records at which engine ends the request, or a request with the
 * part, was running, and when any gateway last got a complete answer to one.
 * The result does not depend on the order in which reports arrive, nor on
 * duplicates.
 */
#ifndef QR_SUSPECTS_H
#define QR_SUSPECTS_H

#include "qr_fingerprint.h"
#include "qr_run_ends.h"

#define QR_MAX_HOLD_MS 3600000
/* Parts of one call that are blamed for one engine end, those that are suspects
   already and others: bounds the messages and the rows of the table that a
   caller can cause by listing many parts. A call that is sent again lists the
   same parts, so that all others are suspects by then. */
#define QR_MAX_SUSPECT_PARTS 96
#define QR_MAX_NEW_PARTS 80

/*
 * A held request is refused and sent to no engine until the hold expires. A
 * trial is a sending of a suspect; only one trial at a time is allowed.
 *
 * A part is held for one team if only that team's requests were at the engine
 * ends: the list of parts that another team sends must not shut it out.
 */
typedef struct QRSuspect {
    QRFingerprint fingerprint;
    QRRunEnds ends;
    uint64_t updated_ms;    /* last report of any kind */
    uint64_t answered_ms;   /* last complete answer: earlier ends are ignored */
    uint64_t held_until_ms; /* 0: never held */
    unsigned hold_count;    /* holds without an answer in between */
    unsigned stored_tries;  /* consecutive tries that only the store reported */
    unsigned local_trials;  /* trials in progress at this gateway */
    uint64_t remote_trial_until_ms; /* another gateway's trial ends by then */
    uint64_t local_end_ms; /* last engine end that this gateway detected */
    uint64_t team;         /* hash of the only team whose requests were at the
                              ends, or QR_TEAM_SEVERAL; for parts */
    bool has_team;         /* 'team' is known */
    bool is_leading;       /* a part with several tries that no other suspect
                              explains: what the store has to know of */
    bool needs_evaluation; /* an end was added since the last evaluation */
    bool hold_unreported;  /* held by this gateway's own evaluation, and not
                              yet reported */
    bool stored;           /* the store has the current state */
    uint64_t stored_epoch; /* epoch of the store in which it was stored */
    uint64_t write_due_ms; /* when to write the state to the store; 0: this
                              gateway has nothing to write */
} QRSuspect;

typedef struct QRSuspects {
    GHashTable *rows;    /* QRFingerprint -> QRSuspect *, owned */
    unsigned unreported; /* rows whose 'hold_unreported' is set */
} QRSuspects;

/* A hold as a peer or the store reports it. */
typedef struct QRHold {
    uint64_t until_ms;
    unsigned count; /* holds without an answer in between */
    uint64_t team;  /* of a part: hash of the team, or QR_TEAM_SEVERAL */
} QRHold;

typedef enum QRSuspicion {
    QR_SUSPICION_NONE,  /* may be sent without restriction */
    QR_SUSPICION_TRIAL, /* may be sent while no other trial is in progress */
    QR_SUSPICION_WAIT,  /* has to wait until another trial is over */
    QR_SUSPICION_HELD,  /* must not be sent */
} QRSuspicion;

void qr_suspects_init(QRSuspects *t);
void qr_suspects_clear(QRSuspects *t);
bool qr_suspects_is_empty(const QRSuspects *t);
/* Returns the suspect, which the table owns, or NULL. */
QRSuspect *qr_suspects_get(const QRSuspects *t, const QRFingerprint *f);
/* Adds an engine end that this gateway detected or a peer reported. Returns the
   suspect, or NULL if the end is older than an answer to the request or is
   attributed to a held request. */
QRSuspect *qr_suspects_add_end(QRSuspects *t, const QRFingerprint *f,
                               const QRRunEnd *end, uint64_t now_ms);
/*
 * Appends to 'out' the parts, of the 'n' listed, that are blamed for an
 * engine's end: at most QR_MAX_PARTS_BLAMED, suspects first, but no more than
 * half. 'rotation': lists blamed in part before, at any gateway.
 */
void qr_suspects_choose_parts(const QRSuspects *t, const QRFingerprint *parts,
                              unsigned n, unsigned rotation, GArray *out);
/* Decides on holds for suspects with new ends. To be called at each tick. */
void qr_suspects_evaluate(QRSuspects *t, uint64_t now_ms);
/* Whether this gateway itself detected the suspect's last end. */
bool qr_suspect_last_end_is_local(const QRSuspect *s);
/* Records a complete answer, which clears all earlier suspicion. Returns false
   if the request was no suspect. */
bool qr_suspects_note_answer(QRSuspects *t, const QRFingerprint *f,
                             uint64_t at_ms);
/* Records consecutive tries that the store lists. Returns the suspect, or NULL
   if the request was answered. */
QRSuspect *qr_suspects_add_stored_tries(QRSuspects *t, const QRFingerprint *f,
                                        unsigned tries, uint64_t now_ms);
/* Records a hold that a peer or the store reports. Returns the suspect. */
QRSuspect *qr_suspects_hold(QRSuspects *t, const QRFingerprint *f,
                            const QRHold *hold, uint64_t now_ms);
/* Returns whether the request, or a request of that team with the part, may be
   sent now. */
QRSuspicion qr_suspects_check(QRSuspects *t, const QRFingerprint *f,
                              uint64_t team, uint64_t now_ms);
/* Returns the number of consecutive tries that each ended an engine, since the
   last answer and since the last hold. */
unsigned qr_suspect_tries(const QRSuspect *s);
bool qr_suspect_is_held(const QRSuspect *s, uint64_t now_ms);
/* Returns a suspect whose hold was decided here and is not yet reported, and
   marks the hold as reported. Returns NULL if there is none. */
QRSuspect *qr_suspects_next_unreported(QRSuspects *t);
/* Removes suspects without a report for a long time. */
void qr_suspects_sweep(QRSuspects *t, uint64_t now_ms);

#endif
