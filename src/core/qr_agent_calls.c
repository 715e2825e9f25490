/*
 * The agent and its calls: what is taken, what is remembered.
 *
 * A call that may not be repeated runs only on the incarnation that its id
 * and ticket name, and there at most once: its id is remembered for as long
 * as the ticket can be used, with the answer if it is small.
 */
#include "qr_agent.h"

#include <string.h>

/* Clocks of hosts may differ by so much. */
#define CLOCK_SKEW_S 60

void qr_run_free(void *p)
{
    QRRun *r = p;

    g_free(r->call_id);
    g_free(r->manifest);
    g_free(r);
}

void qr_seen_free(void *p)
{
    QRSeen *e = p;

    g_free(e->call_id);
    g_free(e->manifest);
    g_clear_pointer(&e->answer, g_byte_array_unref);
    g_free(e);
}

static void agent_send_refused(QRAgent *s, QRHandle conn, uint64_t call,
                               uint32_t attempt, QRReason reason, bool not_run,
                               QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__CallRefused m = QR__CALL_REFUSED__INIT;

    m.call = call;
    m.attempt = attempt;
    m.reason = reason;
    m.not_run = not_run;
    frame.body_case = QR__FRAME__BODY_CALL_REFUSED;
    frame.call_refused = &m;
    qr_effect_send(out, conn, &frame);
    s->count[QR_AGENT_COUNT_refused]++;
}

static void agent_send_data(QRHandle conn, uint64_t call, uint32_t attempt,
                            uint64_t at, const void *p, size_t len,
                            QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__CallData m = QR__CALL_DATA__INIT;

    m.call = call;
    m.attempt = attempt;
    m.at = at;
    m.data.data = (uint8_t *)p;
    m.data.len = len;
    frame.body_case = QR__FRAME__BODY_CALL_DATA;
    frame.call_data = &m;
    qr_effect_send(out, conn, &frame);
}

static void agent_send_end(QRHandle conn, const Qr__CallEnd *m, QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;

    frame.body_case = QR__FRAME__BODY_CALL_END;
    frame.call_end = (Qr__CallEnd *)m;
    qr_effect_send(out, conn, &frame);
}

static bool agent_is_home(const QRAgent *s, const char *home)
{
    size_t n = strlen(s->start_name);

    return strncmp(home, s->start_name, n) == 0 && home[n] == '.';
}

/* Why the call cannot run here now, or QR_REASON_NONE. */
static QRReason agent_look(const QRAgent *s, const Qr__CallStart *m)
{
    if (qr_agent_leaving(s))
        return QR_REASON_LEAVING;
    if (qr_agent_is_engine(s) &&
        (s->stage == QR_STAGE_DRAINING || s->stage == QR_STAGE_SWITCHING))
        return QR_REASON_SWITCHING;
    if (qr_agent_is_engine(s) && *s->active == '\0')
        return QR_REASON_NO_VERSION;
    if (!m->repeatable && !agent_is_home(s, m->home))
        return QR_REASON_NOT_HOME;
    if (s->runs.count >= (unsigned)s->set->slots)
        return QR_REASON_BUSY;
    if (!m->repeatable &&
        g_hash_table_size(s->seen) >= (unsigned)s->set->dedup_max)
        return QR_REASON_TABLE_FULL;
    return QR_REASON_NONE;
}

/* The call was here before: its answer again, or nothing is known of it. */
static void agent_replay(QRAgent *s, QRHandle conn, const Qr__CallStart *m,
                         const QRSeen *e, QREffects *out)
{
    Qr__CallEnd end = QR__CALL_END__INIT;

    s->count[QR_AGENT_COUNT_duplicates]++;
    if (e->running || !e->whole || !e->answer) {
        agent_send_refused(s, conn, m->call, m->attempt, QR_REASON_DUPLICATE,
                           false, out);
        return;
    }
    s->count[QR_AGENT_COUNT_replayed]++;
    if (e->answer->len > 0)
        agent_send_data(conn, m->call, m->attempt, 0, e->answer->data,
                        e->answer->len, out);
    end.call = m->call;
    end.attempt = m->attempt;
    end.length = e->answer->len;
    end.status = e->status;
    end.manifest = e->manifest;
    end.whole = true;
    agent_send_end(conn, &end, out);
}

static void agent_remember(QRAgent *s, const Qr__CallStart *m)
{
    QRSeen *e = g_new0(QRSeen, 1);

    e->call_id = g_strdup(m->call_id);
    e->expires_s = m->ticket_expires_s + CLOCK_SKEW_S;
    e->running = true;
    e->answer = g_byte_array_new();
    e->manifest = g_strdup("");
    g_hash_table_insert(s->seen, e->call_id, e); /* 'e' is taken over */
    g_queue_push_tail(s->seen_order, e);
}

static void agent_run(QRAgent *s, QRHandle conn, const Qr__CallStart *m,
                      QREffects *out)
{
    QRAgentEntry *entry = qr_agent_entry_of_conn(s, conn);
    QRRun *r = g_new0(QRRun, 1);
    QREffect *e;

    r->conn = conn;
    r->call = m->call;
    r->attempt = m->attempt;
    r->call_id = g_strdup(m->call_id);
    r->manifest = g_strdup(s->active);
    r->repeatable = m->repeatable;
    r->self = qr_table_add(&s->runs, r);
    if (entry)
        entry->handed_on++;
    e = qr_effect_text(out, QR_EFFECT_RUN_CALL, r->self, m->call_id);
    e->data = g_bytes_new(m->body.data, m->body.len);
    e->status = m->priority;
    e->retry_after_ms = m->deadline_ms;
    s->count[QR_AGENT_COUNT_run]++;
}

void qr_agent_call_start(QRAgent *s, QRHandle conn, const Qr__CallStart *m,
                         QREffects *out)
{
    QRSeen *e = NULL;
    QRReason reason;

    s->count[QR_AGENT_COUNT_calls]++;
    if (!m->repeatable)
        e = g_hash_table_lookup(s->seen, m->call_id);
    if (e) {
        agent_replay(s, conn, m, e, out);
        return;
    }
    if (!m->repeatable && m->ticket_expires_s < s->wall_s) {
        /* it may have run and been forgotten */
        agent_send_refused(s, conn, m->call, m->attempt, QR_REASON_BAD_TICKET,
                           false, out);
        return;
    }
    reason = agent_look(s, m);
    if (reason != QR_REASON_NONE) {
        agent_send_refused(s, conn, m->call, m->attempt, reason, true, out);
        return;
    }
    if (!m->repeatable)
        agent_remember(s, m);
    agent_run(s, conn, m, out);
}

static void agent_cancel(QRRun *r, QREffects *out)
{
    r->conn = QR_HANDLE_NONE;
    if (r->cancelled || !r->repeatable)
        return; /* what may run once only is let finish */
    r->cancelled = true;
    qr_effect(out, QR_EFFECT_CANCEL_CALL, r->self);
}

void qr_agent_call_cancel(QRAgent *s, QRHandle conn, const Qr__CallCancel *m,
                          QREffects *out)
{
    QRAgentEntry *entry = qr_agent_entry_of_conn(s, conn);
    QRRun *r;

    QR_TABLE_FOR(&s->runs, i, r)
    {
        if (r->conn != conn || r->call != m->call || r->attempt != m->attempt)
            continue;
        agent_cancel(r, out);
        if (entry)
            entry->handed_on--;
    }
}

void qr_agent_calls_lost(QRAgent *s, QRHandle conn, QREffects *out)
{
    QRRun *r;

    QR_TABLE_FOR(&s->runs, i, r)
    {
        if (r->conn == conn)
            agent_cancel(r, out);
    }
}

void qr_agent_reply_data(QRAgent *s, const QREvent *ev, QREffects *out)
{
    QRRun *r = qr_table_get(&s->runs, ev->ref);
    QRSeen *e;
    gsize len;
    const void *p;

    if (!r)
        return;
    p = g_bytes_get_data(ev->data, &len);
    e = r->repeatable ? NULL : g_hash_table_lookup(s->seen, r->call_id);
    if (e && e->answer) {
        if (e->answer->len + len <= (size_t)s->set->replay_max)
            g_byte_array_append(e->answer, p, (guint)len);
        else
            g_clear_pointer(&e->answer, g_byte_array_unref);
    }
    if (r->conn != QR_HANDLE_NONE)
        agent_send_data(r->conn, r->call, r->attempt, r->sent, p, len, out);
    r->sent += len;
}

static void agent_forget(QRAgent *s, QRSeen *e)
{
    g_queue_remove(s->seen_order, e);
    g_hash_table_remove(s->seen, e->call_id); /* frees 'e' */
}

static void agent_settle_seen(QRAgent *s, const QRRun *r, const QREvent *ev,
                              bool whole)
{
    QRSeen *e = g_hash_table_lookup(s->seen, r->call_id);

    if (!e)
        return;
    if (!ev->ok && !ev->maybe) {
        agent_forget(s, e); /* it never reached the backend server */
        return;
    }
    e->running = false;
    e->whole = whole;
    e->status = ev->status;
    qr_agent_set_text(&e->manifest, ev->text);
    if (!whole)
        g_clear_pointer(&e->answer, g_byte_array_unref);
}

static void agent_finish(QRAgent *s, const QRRun *r, const QREvent *ev,
                         bool whole, QREffects *out)
{
    Qr__CallEnd end = QR__CALL_END__INIT;

    if (!ev->ok && !ev->maybe) {
        agent_send_refused(s, r->conn, r->call, r->attempt,
                           QR_REASON_BACKEND_DOWN, true, out);
        return;
    }
    end.call = r->call;
    end.attempt = r->attempt;
    end.length = r->sent;
    end.status = ev->status;
    end.manifest = ev->text ? ev->text : "";
    end.whole = whole;
    agent_send_end(r->conn, &end, out);
}

void qr_agent_reply_end(QRAgent *s, const QREvent *ev, QREffects *out)
{
    QRRun *r = qr_table_get(&s->runs, ev->ref);
    QRAgentEntry *entry;
    bool whole;

    if (!r)
        return;
    s->last_end_ms = s->now_ms;
    whole = ev->ok;
    if (!ev->ok && ev->maybe)
        s->count[QR_AGENT_COUNT_cut]++;
    if (whole && qr_agent_is_engine(s) &&
        g_strcmp0(ev->text, r->manifest) != 0) {
        s->count[QR_AGENT_COUNT_mixed]++;
        whole = false;
    }
    if (!r->repeatable)
        agent_settle_seen(s, r, ev, whole);
    if (r->conn != QR_HANDLE_NONE) {
        entry = qr_agent_entry_of_conn(s, r->conn);
        if (entry)
            entry->handed_on--;
        agent_finish(s, r, ev, whole, out);
    }
    qr_run_free(qr_table_remove(&s->runs, ev->ref));
}

void qr_agent_calls_tick(QRAgent *s)
{
    QRSeen *e;

    while ((e = g_queue_peek_head(s->seen_order)) != NULL && !e->running &&
           e->expires_s < s->wall_s)
        agent_forget(s, e);
}
