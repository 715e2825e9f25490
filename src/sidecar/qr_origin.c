/*
 * Access of one sidecar to the origin of weights.
 */
#include "qr_origin.h"

#define RETRY_MIN_MS 150
/* The prober detects the return of the origin within this time and one
   connection attempt. */
#define PROBE_INTERVAL_MS 250
/* Longest delay of the others, in case that the prober's report is lost. */
#define RETRY_MAX_MS 2000
#define RETRY_DOUBLINGS_MAX 4
#define JITTER_DIVISOR 4
/* After a report the owners start within this time, not all at once. */
#define RESUME_SPREAD_MS 60
/* Failures for so long, while the origin answers others, mean that only this
   host cannot reach it. One lost packet costs less. */
#define UNREACHABLE_AFTER_MS 700
/* A report as old as the first failure says nothing about the time since. */
#define REPORT_MARGIN_MS 300
/* The first of them may have begun before the origin was reachable. */
#define FAILURES_HERE_MIN 2
#define YIELD_MS 3000
/* A sidecar that still fetches tries again within this time. */
#define FAILURES_EXPIRE_MS 5000
#define REPORT_INTERVAL_MS 500
/* A connection attempt waits behind the pieces that the origin sends. */
#define CONNECT_TIMEOUT_MS 700
/* An origin that returns does not answer attempts begun before. */
#define PROBE_CONNECT_TIMEOUT_MS 400

bool qr_origin_may_request(const QROrigin *o, uint64_t now_ms)
{
    return now_ms >= o->retry_ms;
}

void qr_origin_note_answer(QROrigin *o, uint64_t now_ms)
{
    if (o->failures > 1)
        o->reported_ms = 0;
    o->answered_ms = now_ms;
    o->failing_since_ms = 0;
    o->failures = o->failures_here = 0;
    o->retry_ms = 0;
    o->yield_until_ms = 0;
}

static uint64_t retry_delay_ms(const QROrigin *o, bool probes)
{
    unsigned doublings = MIN(o->failures - 1, RETRY_DOUBLINGS_MAX);

    if (probes)
        return PROBE_INTERVAL_MS;
    return MIN((uint64_t)RETRY_MIN_MS << doublings, RETRY_MAX_MS);
}

void qr_origin_note_failure(QROrigin *o, const QROriginFailure *f,
                            uint64_t now_ms)
{
    uint64_t delay_ms;

    /* failures of an earlier fetch say nothing about this one */
    if (now_ms > o->retry_ms + FAILURES_EXPIRE_MS)
        o->failures = o->failures_here = 0;
    if (o->failures++ == 0)
        o->failing_since_ms = MAX(now_ms, 1);
    else if (o->peer_answered_ms >= o->failing_since_ms + REPORT_MARGIN_MS)
        o->failures_here++;
    delay_ms = MAX(retry_delay_ms(o, f->probes), f->retry_after_ms);
    o->retry_ms = now_ms + delay_ms + f->random % (delay_ms / JITTER_DIVISOR);
}

void qr_origin_note_peer_answer(QROrigin *o, uint64_t answered_ms,
                                uint64_t random, uint64_t now_ms)
{
    o->peer_answered_ms = MAX(o->peer_answered_ms, answered_ms);
    if (o->failures > 0 && answered_ms > o->failing_since_ms)
        o->retry_ms = MIN(o->retry_ms, now_ms + random % RESUME_SPREAD_MS);
}

bool qr_origin_must_yield(QROrigin *o, uint64_t now_ms)
{
    if (now_ms < o->yield_until_ms)
        return true;
    if (o->failures_here < FAILURES_HERE_MIN ||
        now_ms > o->retry_ms + FAILURES_EXPIRE_MS ||
        now_ms < o->failing_since_ms + UNREACHABLE_AFTER_MS)
        return false;
    o->yield_until_ms = now_ms + YIELD_MS;
    /* the next decision needs new failures and a new report */
    o->failures = o->failures_here = 0;
    o->failing_since_ms = 0;
    return true;
}

bool qr_origin_is_failing(const QROrigin *o, uint64_t now_ms)
{
    return o->failures > 1 && now_ms <= o->retry_ms + FAILURES_EXPIRE_MS &&
           now_ms >= o->failing_since_ms + UNREACHABLE_AFTER_MS;
}

bool qr_origin_take_report(QROrigin *o, uint64_t now_ms)
{
    if (o->answered_ms == 0 || o->failures > 0 ||
        (o->reported_ms > 0 && (o->answered_ms <= o->reported_ms ||
                                now_ms < o->reported_ms + REPORT_INTERVAL_MS)))
        return false;
    o->reported_ms = MAX(now_ms, 1);
    return true;
}

unsigned qr_origin_connect_timeout_ms(const QROrigin *o)
{
    return o->failures > 1 ? PROBE_CONNECT_TIMEOUT_MS : CONNECT_TIMEOUT_MS;
}
