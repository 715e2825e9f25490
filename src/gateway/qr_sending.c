/*
 * Sendings of a call to engines: what each holds there, and the one that is put
 * aside while another is tried.
 */
#include "qr_relay_parts.h"

#include <string.h>

QREngine *qr_sending_engine(const QRRelay *r, const QRSending *s)
{
    return s->engine ? qr_engines_get(&r->g->engines, s->engine) : NULL;
}

void qr_sending_read(QRRelay *r, QRSending *s)
{
    QREngine *e = qr_sending_engine(r, s);

    if (!e || !s->awaiting)
        return;
    s->awaiting = false;
    e->reading -= MIN(e->reading, s->reading);
    qr_gateway_slots_changed(r->g, e);
    qr_engine_call_heard(e, s->sent_ms);
}

void qr_sending_free_place(QRRelay *r, QRSending *s)
{
    QREngine *e = qr_sending_engine(r, s);

    if (e && e->own > 0 && s->holds_place) {
        e->own--;
        qr_gateway_slots_changed(r->g, e);
    }
    s->holds_place = false;
}

void qr_sending_hold_place(QRRelay *r, QRSending *s)
{
    QREngine *e = qr_sending_engine(r, s);

    if (e && !s->holds_place) {
        e->own++;
        qr_gateway_slots_changed(r->g, e);
    }
    s->holds_place = e != NULL;
}

void qr_sending_leave_engine(QRRelay *r, QRSending *s)
{
    qr_sending_read(r, s);
    qr_sending_free_place(r, s);
    qr_relay_suspect_over(r, s);
    g_clear_pointer(&s->engine, g_free);
}

void qr_sending_clear(QRRelay *r, QRSending *s)
{
    qr_sending_leave_engine(r, s);
    if (s->call)
        qr_client_cancel(s->call);
    qr_kept_clear(&s->answer);
    if (s->partial)
        g_string_free(s->partial, TRUE);
    memset(s, 0, sizeof(*s));
}

void qr_relay_hold(QRRelay *r)
{
    qr_relay_drop_held(r);
    r->held = r->now;
    r->held.partial = qr_sse_put_aside(&r->events);
    memset(&r->now, 0, sizeof(r->now));
    qr_kept_init(&r->now.answer);
}

void qr_relay_drop_held(QRRelay *r)
{
    if (r->held.call || r->held.engine)
        qr_sending_clear(r, &r->held);
}

void qr_relay_take_back(QRRelay *r, const char *why)
{
    qr_sending_clear(r, &r->now);
    r->now = r->held;
    memset(&r->held, 0, sizeof(r->held));
    qr_sse_take_up(&r->events, g_steal_pointer(&r->now.partial));
    /* from here on it may fall silent once more */
    r->now.progress_ms = qr_gateway_now(r->g);
    qr_relay_count(r->g, QR_COUNTER_taken_back);
    qr_logf(QR_LEVEL_INFO, "call",
            "back id=%s engine=%s why=%s runs=%u started=%d "
            "silent_ms=%" G_GUINT64_FORMAT,
            r->id, r->now.engine, why, r->runs, r->started,
            r->now.progress_ms - r->now.sent_ms);
}
