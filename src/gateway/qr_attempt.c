/*
 * What follows when one sending of a call to an engine has ended.
 */
#include "qr_attempt.h"

#define SENDINGS_MOST 4
#define LEFT_MIN_MS 60 /* less is not worth another sending */

/* The caller has part of an answer, and nobody to give the rest just now. */
static QRAttemptStep rest_of_stream(const QRAttemptFacts *facts)
{
    return facts->repeatable && facts->runs < facts->runs_max &&
                   facts->left_ms >= LEFT_MIN_MS
               ? QR_STEP_WAIT
               : QR_STEP_CUT;
}

QRAttemptStep qr_attempt_no_budget(const QRAttemptFacts *facts,
                                   QRAttemptEnd end)
{
    bool may_have_run = facts->runs > 0;

    if (facts->started)
        return end == QR_ATTEMPT_ANSWER ? QR_STEP_CUT : rest_of_stream(facts);
    if (end == QR_ATTEMPT_FAILURE || end == QR_ATTEMPT_ANSWER)
        return QR_STEP_PASS;
    return may_have_run ? QR_STEP_FAIL : QR_STEP_REFUSE;
}

static bool may_send_again(const QRAttemptFacts *facts, QRAttemptEnd end)
{
    if (!facts->engine_left || facts->left_ms < LEFT_MIN_MS ||
        facts->sendings >= SENDINGS_MOST)
        return false;
    /* an earlier sending that may have run forbids it as much as this one */
    if (facts->runs > 0 && !facts->repeatable)
        return false;
    if (end == QR_ATTEMPT_BROKEN || end == QR_ATTEMPT_FAILURE)
        return facts->runs < facts->runs_max;
    return facts->runs < facts->runs_max || facts->runs == 0;
}

QRAttemptStep qr_attempt_next(const QRAttemptFacts *facts, QRAttemptEnd end)
{
    if (end == QR_ATTEMPT_ANSWER)
        return facts->started ? QR_STEP_CUT : QR_STEP_PASS;
    if (!may_send_again(facts, end))
        return qr_attempt_no_budget(facts, end);
    return end == QR_ATTEMPT_UNSENT && facts->sendings == 0 ? QR_STEP_AGAIN_FREE
                                                            : QR_STEP_AGAIN;
}
