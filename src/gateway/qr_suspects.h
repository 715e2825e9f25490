/*
 * Requests that may crash the engines that run them. Counts and judges; knows
 * no socket and no clock: times are the caller's, in milliseconds.
 *
 * What is known of a request: at which ends of engines it was at work there,
 * and when it was last answered whole, by whichever gateway. None of that
 * depends on the order in which it is told, nor on how often.
 */
#ifndef QR_SUSPECTS_H
#define QR_SUSPECTS_H

#include "qr_fingerprint.h"
#include "qr_run_ends.h"

#define QR_HOLD_MOST_MS 3600000
typedef struct QRSuspect {
    QRFingerprint fingerprint;
    QRRunEnds ends;
    uint64_t news_ms;         /* of anything */
    uint64_t answered_ms;     /* ends before that say nothing */
    uint64_t held_until_ms;   /* not sent before; 0: never was held back */
    unsigned holds;           /* times in a row */
    unsigned tries_before;    /* in a row, of which only the store told us */
    unsigned own_trials;      /* sendings of ours under way */
    uint64_t others_until_ms; /* on trial at another gateway until then */
    uint64_t own_end_ms;      /* the last one that we saw ourselves */
    bool is_due;              /* an end has come since it was judged last */
    bool held_is_news;        /* judged so here, not reported yet */
    bool stored;              /* the store has it */
    uint64_t stored_epoch;    /* ... since it went back last, if it did */
    uint64_t store_due_ms;    /* to be written there then; 0: not by us */
} QRSuspect;

typedef struct QRSuspects {
    GHashTable *rows; /* QRFingerprint -> QRSuspect *, owned */
    unsigned news;    /* rows whose 'held_is_news' is set */
} QRSuspects;

typedef enum QRSuspicion {
    QR_SUSPICION_NONE,  /* sent like any other */
    QR_SUSPICION_TRIAL, /* sent, and no other like it meanwhile */
    QR_SUSPICION_WAIT,  /* one like it is on trial */
    QR_SUSPICION_HELD,  /* not sent */
} QRSuspicion;

void qr_suspects_init(QRSuspects *t);
void qr_suspects_clear(QRSuspects *t);
bool qr_suspects_is_empty(const QRSuspects *t);
QRSuspect *qr_suspects_get(const QRSuspects *t, const QRFingerprint *f);
/* Takes an end that was seen or told. Returns the row, or NULL if the end says
   nothing of the request. */
QRSuspect *qr_suspects_ended(QRSuspects *t, const QRFingerprint *f,
                             const QRRunEnd *end, uint64_t now_ms);
/* Judges those of which an end has come: call it with every tick. */
void qr_suspects_judge(QRSuspects *t, uint64_t now_ms);
/* Whether we saw its last end ourselves. */
bool qr_suspect_is_own(const QRSuspect *s);
/* It was answered whole. Returns false if it was no suspect. */
bool qr_suspects_answered(QRSuspects *t, const QRFingerprint *f,
                          uint64_t at_ms);
/* The store tells of tries in a row that we do not know of. Returns the row, or
   NULL if it has been answered since. */
QRSuspect *qr_suspects_tried(QRSuspects *t, const QRFingerprint *f,
                             unsigned tries, uint64_t now_ms);
/* Others, or the store, hold it back. */
QRSuspect *qr_suspects_hold(QRSuspects *t, const QRFingerprint *f,
                            uint64_t until_ms, unsigned holds, uint64_t now_ms);
QRSuspicion qr_suspects_ask(QRSuspects *t, const QRFingerprint *f,
                            uint64_t now_ms);
/* Tries in a row, each of which ended an engine; without an answer since, and
   since it was held back last. */
unsigned qr_suspect_tries(const QRSuspect *s);
bool qr_suspect_is_held(const QRSuspect *s, uint64_t now_ms);
/* The next row that was judged to be held back here and not reported, or NULL.
 */
QRSuspect *qr_suspects_next_news(QRSuspects *t);
/* Forgets rows of which nothing was heard for long. */
void qr_suspects_sweep(QRSuspects *t, uint64_t now_ms);

#endif
