/*
 * Attempts of a call: what is counted at the engine for each, and the stalled
 * attempt that stays open while another engine is tried.
 */
#include "qr_relay_parts.h"

#include <string.h>

QREngine *qr_attempt_engine(const QRRelay *r, const QRAttempt *a)
{
    return a->engine ? qr_engines_get(&r->g->engines, a->engine) : NULL;
}

void qr_attempt_mark_read(QRRelay *r, QRAttempt *a)
{
    QREngine *e = qr_attempt_engine(r, a);

    if (!e || !a->awaits_first_byte)
        return;
    a->awaits_first_byte = false;
    e->reading -= MIN(e->reading, a->prompt_tokens);
    qr_gateway_slots_changed(r->g, e);
    qr_engine_call_heard(e, a->sent_ms);
}

/* Whether the engine runs or ran the call, rather than rejecting it. */
static bool was_accepted(const QRAttempt *a)
{
    return a->mode != ANSWER_NONE && a->mode != ANSWER_DROP &&
           !qr_relay_is_failure(a->answer.status);
}

void qr_attempt_uncount_open(QRRelay *r, QRAttempt *a)
{
    QREngine *e = qr_attempt_engine(r, a);

    if (e && e->own > 0 && a->counted_open) {
        e->own--;
        /* a call that waits may ask for that slot at once */
        e->slots.denied_until_ms = 0;
        if (was_accepted(a))
            qr_slot_rate_note_freed(
                &qr_gateway_stats(r->g, r->service)->slot_rate,
                qr_gateway_now(r->g));
        qr_gateway_slots_changed(r->g, e);
    }
    a->counted_open = false;
}

void qr_attempt_count_open(QRRelay *r, QRAttempt *a)
{
    QREngine *e = qr_attempt_engine(r, a);

    if (e && !a->counted_open) {
        e->own++;
        qr_gateway_slots_changed(r->g, e);
    }
    a->counted_open = e != NULL;
}

void qr_attempt_detach(QRRelay *r, QRAttempt *a)
{
    qr_attempt_mark_read(r, a);
    qr_attempt_uncount_open(r, a);
    qr_relay_end_trial(r, a);
    g_clear_pointer(&a->engine, g_free);
}

void qr_attempt_clear(QRRelay *r, QRAttempt *a)
{
    qr_attempt_detach(r, a);
    if (a->call)
        qr_client_cancel(a->call);
    qr_saved_answer_clear(&a->answer);
    if (a->partial)
        g_string_free(a->partial, TRUE);
    memset(a, 0, sizeof(*a));
}

void qr_relay_keep_stalled(QRRelay *r)
{
    qr_relay_drop_stalled(r);
    r->stalled = r->current;
    r->stalled.partial = qr_sse_detach_partial(&r->events);
    memset(&r->current, 0, sizeof(r->current));
    qr_saved_answer_init(&r->current.answer);
}

void qr_relay_drop_stalled(QRRelay *r)
{
    if (r->stalled.call || r->stalled.engine)
        qr_attempt_clear(r, &r->stalled);
}

void qr_relay_resume_stalled(QRRelay *r, const char *why)
{
    bool had_slot_request = r->slot.engine != NULL;

    /* its reply would send the call to a second engine */
    qr_relay_drop_slot_request(r);
    qr_attempt_clear(r, &r->current);
    r->current = r->stalled;
    memset(&r->stalled, 0, sizeof(r->stalled));
    r->current.is_slow = false;
    qr_sse_restore_partial(&r->events, g_steal_pointer(&r->current.partial));
    /* a new stall is timed from now */
    r->current.progress_ms = qr_gateway_now(r->g);
    qr_relay_count(r->g, QR_COUNTER_taken_back);
    qr_logf(QR_LEVEL_INFO, "call",
            "back id=%s engine=%s why=%s runs=%u started=%d "
            "silent_ms=%" G_GUINT64_FORMAT " slot_request_dropped=%d",
            r->id, r->current.engine, why, r->runs, r->answer_started,
            r->current.progress_ms - r->current.sent_ms, had_slot_request);
}
