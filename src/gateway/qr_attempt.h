/*
 * What follows when one sending of a call to an engine has ended. Decides
 * only; the relay carries it out.
 */
#ifndef QR_ATTEMPT_H
#define QR_ATTEMPT_H

#include "base/qr_base.h"

/* How the sending ended. */
typedef enum QRAttemptEnd {
    QR_ATTEMPT_UNSENT,  /* never reached an engine */
    QR_ATTEMPT_NOT_RUN, /* the engine said that it did not run it */
    QR_ATTEMPT_BROKEN,  /* sent, no whole answer: it may have run */
    QR_ATTEMPT_FAILURE, /* the engine answered that it failed */
    QR_ATTEMPT_ANSWER,  /* any other whole answer */
} QRAttemptEnd;

/* Where a call stands. */
typedef struct QRAttemptFacts {
    bool repeatable;
    bool answer_started;  /* part of an answer went to the caller */
    unsigned runs; /* sendings that ran or may have run, this one too */
    unsigned runs_max;
    unsigned attempts; /* that reached an engine, this one too */
    uint64_t time_left_ms;  /* until the final answer is due */
    bool engine_available;  /* another engine might take it */
} QRAttemptFacts;

typedef enum QRAttemptStep {
    QR_STEP_FORWARD,       /* pass the answer on as it is */
    QR_STEP_RETRY,      /* send to another engine; needs the retry budget */
    QR_STEP_RETRY_FREE, /* as before; nothing reached an engine yet */
    QR_STEP_REFUSE,     /* 503: surely not run; come back */
    QR_STEP_FAIL,       /* 502: it may have run */
    QR_STEP_WAIT,       /* the rest of a stream waits for an engine */
    QR_STEP_CUT,        /* break the answer that has begun */
} QRAttemptStep;

QRAttemptStep qr_attempt_next(const QRAttemptFacts *facts, QRAttemptEnd end);
/* The step in place of QR_STEP_RETRY when the budget is spent. */
QRAttemptStep qr_attempt_no_budget(const QRAttemptFacts *facts,
                                   QRAttemptEnd end);

#endif
