/*
 * Decides the next step after an attempt has ended.
 */
#include "qr_attempt.h"

#define ATTEMPTS_MAX 4
#define RETRY_TIME_LEFT_MIN_MS 60 /* too short for another attempt */

/* The caller has part of a stream, and no engine can send the remainder now. */
static QRAttemptStep step_for_remainder(const QRAttemptFacts *facts)
{
    return facts->repeatable && facts->runs < facts->runs_max &&
                   facts->time_left_ms >= RETRY_TIME_LEFT_MIN_MS
               ? QR_STEP_WAIT
               : QR_STEP_CUT;
}

QRAttemptStep qr_attempt_step_without_budget(const QRAttemptFacts *facts,
                                             QRAttemptEnd end)
{
    bool may_have_run = facts->runs > 0;

    if (facts->answer_started)
        return end == QR_ATTEMPT_ANSWER ? QR_STEP_CUT
                                        : step_for_remainder(facts);
    if (end == QR_ATTEMPT_FAILURE || end == QR_ATTEMPT_ANSWER)
        return QR_STEP_FORWARD;
    return may_have_run ? QR_STEP_FAIL : QR_STEP_REFUSE;
}

static bool may_send_again(const QRAttemptFacts *facts, QRAttemptEnd end)
{
    if (!facts->engine_available ||
        facts->time_left_ms < RETRY_TIME_LEFT_MIN_MS ||
        facts->attempts >= ATTEMPTS_MAX)
        return false;
    /* applies also if an earlier attempt, not this one, may have run */
    if (facts->runs > 0 && !facts->repeatable)
        return false;
    if (end == QR_ATTEMPT_BROKEN || end == QR_ATTEMPT_FAILURE)
        return facts->runs < facts->runs_max;
    return facts->runs < facts->runs_max || facts->runs == 0;
}

QRAttemptStep qr_attempt_next_step(const QRAttemptFacts *facts,
                                   QRAttemptEnd end)
{
    if (end == QR_ATTEMPT_ANSWER)
        return facts->answer_started ? QR_STEP_CUT : QR_STEP_FORWARD;
    if (!may_send_again(facts, end))
        return qr_attempt_step_without_budget(facts, end);
    return end == QR_ATTEMPT_UNSENT && facts->attempts == 0 ? QR_STEP_RETRY_FREE
                                                            : QR_STEP_RETRY;
}
