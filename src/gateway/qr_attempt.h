/*
 * Decides the next step after an attempt to run a call on an engine has ended.
 * The relay carries the step out.
 */
#ifndef QR_ATTEMPT_H
#define QR_ATTEMPT_H

#include "base/qr_base.h"

/* How the attempt ended. */
typedef enum QRAttemptEnd {
    QR_ATTEMPT_UNSENT,  /* did not reach an engine */
    QR_ATTEMPT_NOT_RUN, /* the engine stated that it did not run the call */
    QR_ATTEMPT_BROKEN,  /* sent, no complete answer: it may have run */
    QR_ATTEMPT_FAILURE, /* the engine answered with an error */
    QR_ATTEMPT_ANSWER,  /* any other complete answer */
} QRAttemptEnd;

/* State of the call. */
typedef struct QRAttemptFacts {
    bool repeatable;
    bool answer_started; /* part of an answer was sent to the caller */
    unsigned runs;       /* attempts that ran or may have run, with this one */
    unsigned runs_max;
    unsigned attempts;     /* that reached an engine, with this one */
    uint64_t time_left_ms; /* until the call must be answered */
    bool engine_available; /* an engine was found for another attempt */
} QRAttemptFacts;

typedef enum QRAttemptStep {
    QR_STEP_FORWARD,    /* forward the engine's answer unchanged */
    QR_STEP_RETRY,      /* send to another engine; uses the retry budget */
    QR_STEP_RETRY_FREE, /* the same without the budget: no attempt has reached
                           an engine */
    QR_STEP_REFUSE,     /* 503 with Retry-After: the call was not run */
    QR_STEP_FAIL,       /* 502: it may have run */
    QR_STEP_WAIT,       /* the remainder of a stream waits for an engine */
    QR_STEP_CUT,        /* abort the answer that has begun */
} QRAttemptStep;

QRAttemptStep qr_attempt_next_step(const QRAttemptFacts *facts,
                                   QRAttemptEnd end);
/* The step that replaces QR_STEP_RETRY when the retry budget is spent. */
QRAttemptStep qr_attempt_step_without_budget(const QRAttemptFacts *facts,
                                             QRAttemptEnd end);

#endif
