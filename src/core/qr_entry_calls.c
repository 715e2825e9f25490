/*
 * The entry and its calls: handing on, and each of the three outcomes.
 *
 * Answered: the whole answer of the open attempt. Not run: the call was
 * never handed on, or each time refused before it ran. Unknown: all else.
 * Only what was not run, or may be repeated, is handed on again.
 */
#include "qr_entry.h"
#include "qr_admit.h"

#include <string.h>

/* An agent that said it is full gets nothing new for so long. */
#define FULL_MS 50
#define MEAN_WEIGHT 0.1 /* of the newest answer in the mean */
#define RETRY_TOKENS_MAX 20.0

void qr_call_free(void *p)
{
    QRCall *c = p;

    qr_request_free(c->r);
    g_clear_pointer(&c->answer, g_byte_array_unref);
    g_free(c->home);
    g_free(c);
}

static void call_count_outcome(QREntry *s, const QRCall *c, QROutcome o)
{
    QROutcome as = o;

    if (o == QR_OUTCOME_ANSWERED && c->first_ms &&
        c->first_ms - c->arrived_ms > (uint64_t)s->set->slo_first_ms)
        as = QR_OUTCOME_LATE;
    if (o == QR_OUTCOME_ANSWERED || o == QR_OUTCOME_FAILED)
        s->count[QR_ENTRY_COUNT_answered]++;
    if (o == QR_OUTCOME_NOT_RUN)
        s->count[QR_ENTRY_COUNT_refused]++;
    if (o == QR_OUTCOME_UNKNOWN)
        s->count[QR_ENTRY_COUNT_unknown]++;
    qr_burn_count(&c->share->burn, as, s->now_ms);
}

/* Takes the call back from the agent it was handed on to. */
static void call_unbind(QRCall *c)
{
    if (!c->backend)
        return;
    c->backend->open_calls--;
    c->share->sent--;
    c->backend = NULL;
}

/* Removes the call from every table and frees it. */
static void call_drop(QREntry *s, QRCall *c, QROutcome o)
{
    call_count_outcome(s, c, o);
    s->last_end_ms = s->now_ms;
    if (c->backend)
        call_unbind(c);
    else if (g_ptr_array_remove(c->queue->waiting, c))
        c->share->waiting--;
    qr_call_free(qr_table_remove(&s->calls, c->self));
}

/*
 * May we say "not run" of the request, not only of this sending? A sending
 * before this one may have run, unless the caller says there was none.
 */
static bool call_provably_not_run(const QRCall *c)
{
    if (c->in_doubt)
        return false;
    return c->r->attempt == 1 || (c->r->repeatable && c->r->attempt == 0);
}

static json_object *call_outcome_json(QREntry *s, const QRCall *c,
                                      const char *outcome, QRReason reason,
                                      uint32_t retry_ms)
{
    json_object *o = json_object_new_object();

    qr_json_str(o, "outcome", outcome);
    qr_json_str(o, "reason", qr_reason_text(reason));
    qr_json_str(o, "call_id", c->r->call_id);
    qr_json_int(o, "revision", (int64_t)s->config->revision);
    if (retry_ms)
        qr_json_int(o, "retry_after_ms", retry_ms);
    return o;
}

/* The final answer of a call that is not answered: at once, never later. */
static void call_fail(QREntry *s, QRCall *c, QRReason reason, QREffects *out)
{
    bool not_run = call_provably_not_run(c);
    uint32_t retry_ms = qr_admit_retry_ms(s, c);
    json_object *o = call_outcome_json(s, c, not_run ? "not_run" : "unknown",
                                       reason, retry_ms);

    if (c->streaming) {
        g_autofree char *line = qr_json_text(o);

        qr_effect_text(out, QR_EFFECT_ANSWER_END, c->request, line);
        json_object_put(o);
    } else {
        qr_entry_answer_json(out, c->request, qr_reason_status(reason), o,
                             retry_ms);
    }
    call_drop(s, c, not_run ? QR_OUTCOME_NOT_RUN : QR_OUTCOME_UNKNOWN);
}

static void call_wait(QRCall *c)
{
    c->share->waiting++;
    g_ptr_array_add(c->queue->waiting, c);
}

/*
 * Hands the call on again if it may run again and the budget allows; the
 * budget is a share of fresh calls, so a brown-out is not multiplied.
 */
static void call_again(QREntry *s, QRCall *c, QRReason reason, QREffects *out)
{
    bool may = (c->r->repeatable || !c->in_doubt) && !c->streaming;

    call_unbind(c);
    if (!may || s->now_ms >= c->deadline_ms) {
        call_fail(s, c, reason, out);
        return;
    }
    if (c->queue->retry_tokens < 1.0) {
        s->count[QR_ENTRY_COUNT_retry_denied]++;
        call_fail(s, c, reason, out);
        return;
    }
    c->queue->retry_tokens -= 1.0;
    c->received = 0;
    if (c->answer)
        g_byte_array_set_size(c->answer, 0);
    s->count[QR_ENTRY_COUNT_retried]++;
    call_wait(c);
}

static void call_send_cancel(const QRCall *c, QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__CallCancel m = QR__CALL_CANCEL__INIT;

    if (!c->backend || c->backend->conn == QR_HANDLE_NONE)
        return;
    m.call = c->self;
    m.attempt = c->attempt;
    frame.body_case = QR__FRAME__BODY_CALL_CANCEL;
    frame.call_cancel = &m;
    qr_effect_send(out, c->backend->conn, &frame);
}

static void call_hand_on(QREntry *s, QRCall *c, QRBackend *b, QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__CallStart m = QR__CALL_START__INIT;
    gsize len;

    g_ptr_array_remove(c->queue->waiting, c);
    c->share->waiting--;
    c->backend = b;
    c->attempt++;
    c->sent_ms = s->now_ms;
    c->doubt_before = c->in_doubt;
    c->in_doubt = true;
    b->open_calls++;
    c->share->sent++;
    m.call = c->self;
    m.attempt = c->attempt;
    m.call_id = c->r->call_id;
    m.team = c->r->team;
    m.repeatable = c->r->repeatable;
    m.home = c->home ? c->home : "";
    m.deadline_ms = (uint32_t)(c->deadline_ms - s->now_ms);
    m.priority = c->r->priority;
    m.ticket_expires_s = c->ticket_expires_s;
    m.body.data = (uint8_t *)g_bytes_get_data(c->r->body, &len);
    m.body.len = len;
    frame.body_case = QR__FRAME__BODY_CALL_START;
    frame.call_start = &m;
    qr_effect_send(out, b->conn, &frame);
}

void qr_entry_dispatch(QREntry *s, QREffects *out)
{
    for (unsigned i = 0; i < s->queues->len; i++) {
        QRBackend *b;
        QRCall *c;

        while ((c = qr_admit_next(s, s->queues->pdata[i], &b)) != NULL)
            call_hand_on(s, c, b, out);
    }
}

/* "revision.expiry", as an address answer gave it out. */
static int call_read_ticket(const char *text, uint64_t *revision,
                            uint64_t *expires_s)
{
    char *end;

    if (!text || !g_ascii_isdigit(*text))
        return -1;
    *revision = g_ascii_strtoull(text, &end, 10);
    if (*end != '.' || !g_ascii_isdigit(end[1]))
        return -1;
    *expires_s = g_ascii_strtoull(end + 1, &end, 10);
    return *end == '\0' ? 0 : -1;
}

/*
 * A call that may not be repeated has one home, fixed by its id and its
 * ticket's revision. Returns the reason why it has none that can be used.
 */
static QRReason call_find_home(QREntry *s, QRCall *c)
{
    uint64_t revision;
    const QRMember *m;
    const QRBackend *b;

    if (!c->r->ticket)
        return QR_REASON_NO_TICKET;
    if (call_read_ticket(c->r->ticket, &revision, &c->ticket_expires_s) ||
        c->ticket_expires_s < s->wall_s)
        return QR_REASON_BAD_TICKET;
    m = qr_config_home(s->config, c->r->service, c->r->call_id, revision);
    if (!m)
        return QR_REASON_BAD_TICKET;
    b = qr_entry_backend(s, m->host);
    if (!b || b->conn == QR_HANDLE_NONE ||
        strcmp(b->incarnation, m->incarnation) != 0)
        return QR_REASON_HOME_AWAY;
    c->home = g_strdup(m->incarnation);
    return QR_REASON_NONE;
}

static QRReason call_admit(QREntry *s, QRCall *c, QREffects *out)
{
    const QRIntent *in = qr_config_intent_of_service(s->config, c->r->service);
    QRReason reason;
    QRCall *loser = NULL;

    if (!in)
        return QR_REASON_NO_SERVICE;
    if (qr_intent_capacity(in, c->r->team) <= 0)
        return QR_REASON_NO_CAPACITY;
    if (!c->r->repeatable) {
        reason = call_find_home(s, c);
        if (reason != QR_REASON_NONE)
            return reason;
    }
    reason = qr_admit_look(s, c, &loser);
    if (loser)
        call_fail(s, loser, QR_REASON_DISPLACED, out);
    return reason;
}

static QRShare *entry_share(QREntry *s, const QRRequest *r)
{
    QRShare *e;

    for (unsigned i = 0; i < s->shares->len; i++) {
        e = s->shares->pdata[i];
        if (strcmp(e->team, r->team) == 0 &&
            strcmp(e->service, r->service) == 0)
            return e;
    }
    e = g_new0(QRShare, 1);
    e->service = g_strdup(r->service);
    e->team = g_strdup(r->team);
    g_ptr_array_add(s->shares, e);
    return e;
}

static QRQueue *entry_queue(QREntry *s, const char *service)
{
    QRQueue *q;

    for (unsigned i = 0; i < s->queues->len; i++) {
        q = s->queues->pdata[i];
        if (strcmp(q->service, service) == 0)
            return q;
    }
    q = g_new0(QRQueue, 1);
    q->service = g_strdup(service);
    q->waiting = g_ptr_array_new();
    q->retry_tokens = RETRY_TOKENS_MAX / 2;
    g_ptr_array_add(s->queues, q);
    return q;
}

void qr_queue_free(void *p)
{
    QRQueue *q = p;

    g_free(q->service);
    g_ptr_array_unref(q->waiting);
    g_free(q);
}

void qr_share_free(void *p)
{
    QRShare *e = p;

    g_free(e->service);
    g_free(e->team);
    g_free(e);
}

static QRRequest *request_copy(const QRRequest *r)
{
    QRRequest *c = g_new(QRRequest, 1);

    *c = *r;
    c->service = g_strdup(r->service);
    c->team = g_strdup(r->team);
    c->call_id = g_strdup(r->call_id);
    c->ticket = g_strdup(r->ticket);
    c->body = g_bytes_ref(r->body);
    return c;
}

/*
 * Names that no configuration knows get no row of their own: callers could
 * fill the tables with them.
 */
static bool call_is_known(const QREntry *s, const QRRequest *r)
{
    const QRIntent *in = qr_config_intent_of_service(s->config, r->service);

    return in && qr_intent_capacity(in, r->team) > 0;
}

static void call_refuse_stranger(QREntry *s, const QREvent *ev, QREffects *out)
{
    bool service = qr_config_intent_of_service(s->config, ev->call->service);
    QRReason reason = service ? QR_REASON_NO_CAPACITY : QR_REASON_NO_SERVICE;
    bool not_run = ev->call->attempt == 1 ||
                   (ev->call->repeatable && ev->call->attempt == 0);
    json_object *o = json_object_new_object();

    qr_json_str(o, "outcome", not_run ? "not_run" : "unknown");
    qr_json_str(o, "reason", qr_reason_text(reason));
    qr_json_str(o, "call_id", ev->call->call_id);
    qr_json_int(o, "revision", (int64_t)s->config->revision);
    s->count[QR_ENTRY_COUNT_refused]++;
    qr_entry_answer_json(out, ev->ref, qr_reason_status(reason), o, 0);
}

void qr_entry_call(QREntry *s, const QREvent *ev, QREffects *out)
{
    QRReason reason;
    QRCall *c;

    s->count[QR_ENTRY_COUNT_calls]++;
    if (!call_is_known(s, ev->call)) {
        call_refuse_stranger(s, ev, out);
        return;
    }
    c = g_new0(QRCall, 1);
    c->request = ev->ref;
    c->r = request_copy(ev->call);
    c->queue = entry_queue(s, c->r->service);
    c->share = entry_share(s, c->r);
    c->arrived_ms = s->now_ms;
    c->deadline_ms =
        s->now_ms +
        (c->r->deadline_ms ? c->r->deadline_ms : (uint64_t)s->set->deadline_ms);
    c->self = qr_table_add(&s->calls, c);
    c->queue->retry_tokens =
        MIN(c->queue->retry_tokens + (double)s->set->retry_percent / 100,
            RETRY_TOKENS_MAX);
    reason = call_admit(s, c, out);
    if (reason != QR_REASON_NONE) {
        call_fail(s, c, reason, out);
        return;
    }
    call_wait(c);
    qr_entry_dispatch(s, out);
}

void qr_entry_caller_gone(QREntry *s, const QREvent *ev, QREffects *out)
{
    QRCall *c;

    QR_TABLE_FOR(&s->calls, i, c)
    {
        if (c->request != ev->ref)
            continue;
        call_send_cancel(c, out);
        call_drop(s, c, QR_OUTCOME_GONE);
    }
    qr_entry_dispatch(s, out);
}

/* The call that a frame belongs to, if its attempt is still the open one. */
static QRCall *call_of_frame(QREntry *s, const QRBackend *b, uint64_t handle,
                             uint32_t attempt)
{
    QRCall *c = qr_table_get(&s->calls, handle);

    if (c && c->backend == b && c->attempt == attempt)
        return c;
    s->count[QR_ENTRY_COUNT_late_frames]++;
    return NULL;
}

void qr_entry_call_refused(QREntry *s, QRBackend *b, const Qr__CallRefused *m,
                           QREffects *out)
{
    QRCall *c = call_of_frame(s, b, m->call, m->attempt);

    if (!c)
        return;
    if (m->reason == QR_REASON_BUSY || m->reason == QR_REASON_SWITCHING)
        b->full_until_ms = s->now_ms + FULL_MS;
    if (m->reason == QR_REASON_LEAVING)
        b->leaving = true;
    if (m->not_run)
        c->in_doubt = c->doubt_before;
    if (m->reason == QR_REASON_BUSY && !c->in_doubt &&
        s->now_ms < c->deadline_ms) {
        call_unbind(c); /* others came first: it waits on, at no cost */
        call_wait(c);
    } else {
        call_again(s, c, m->reason, out);
    }
    qr_entry_dispatch(s, out);
}

static void call_stream(QRCall *c, const Qr__CallData *m, QREffects *out)
{
    if (!c->streaming) {
        c->streaming = true;
        qr_effect(out, QR_EFFECT_ANSWER_START, c->request);
    }
    qr_effect(out, QR_EFFECT_ANSWER_DATA, c->request)->data =
        g_bytes_new(m->data.data, m->data.len);
}

void qr_entry_call_data(QREntry *s, QRBackend *b, const Qr__CallData *m,
                        QREffects *out)
{
    QRCall *c = call_of_frame(s, b, m->call, m->attempt);

    if (!c)
        return;
    if (m->at != c->received) { /* a piece is missing or stands twice */
        call_send_cancel(c, out);
        call_again(s, c, QR_REASON_CUT, out);
        return;
    }
    if (c->received + m->data.len > (uint64_t)s->set->answer_max) {
        call_send_cancel(c, out);
        call_unbind(c);
        call_fail(s, c, QR_REASON_TOO_LARGE, out);
        return;
    }
    if (!c->first_ms)
        c->first_ms = s->now_ms;
    c->received += m->data.len;
    if (c->r->stream) {
        call_stream(c, m, out);
        return;
    }
    if (!c->answer)
        c->answer = g_byte_array_new();
    g_byte_array_append(c->answer, m->data.data, (guint)m->data.len);
}

static void call_answer(QREntry *s, QRCall *c, const Qr__CallEnd *m,
                        QREffects *out)
{
    QREffect *e;

    if (c->r->stream) {
        json_object *o = call_outcome_json(s, c, "answered", QR_REASON_NONE, 0);
        g_autofree char *line = NULL;

        qr_json_int(o, "length", (int64_t)c->received);
        qr_json_int(o, "status", m->status);
        qr_json_str(o, "manifest", m->manifest);
        line = qr_json_text(o);
        json_object_put(o);
        if (!c->streaming)
            qr_effect(out, QR_EFFECT_ANSWER_START, c->request);
        qr_effect_text(out, QR_EFFECT_ANSWER_END, c->request, line);
        return;
    }
    e = qr_effect_text(out, QR_EFFECT_ANSWER, c->request, m->manifest);
    e->status = m->status;
    e->data = c->answer ? g_bytes_new(c->answer->data, c->answer->len)
                        : g_bytes_new(NULL, 0);
}

void qr_entry_call_end(QREntry *s, QRBackend *b, const Qr__CallEnd *m,
                       QREffects *out)
{
    QRCall *c = call_of_frame(s, b, m->call, m->attempt);
    double took;

    if (!c)
        return;
    if (!m->whole || m->length != c->received) {
        call_again(s, c, QR_REASON_CUT, out);
        qr_entry_dispatch(s, out);
        return;
    }
    took = (double)(s->now_ms - c->sent_ms);
    c->queue->mean_ms += (took - c->queue->mean_ms) *
                         (c->queue->mean_ms == 0 ? 1.0 : MEAN_WEIGHT);
    if (!c->first_ms)
        c->first_ms = s->now_ms;
    call_answer(s, c, m, out);
    call_drop(s, c, m->status < 500 ? QR_OUTCOME_ANSWERED : QR_OUTCOME_FAILED);
    qr_entry_dispatch(s, out);
}

void qr_entry_calls_lost(QREntry *s, QRBackend *b, QREffects *out)
{
    QRCall *c;

    QR_TABLE_FOR(&s->calls, i, c)
    {
        if (c->backend == b)
            call_again(s, c, QR_REASON_LOST, out);
        else if (!c->backend && c->home && b->incarnation &&
                 strcmp(c->home, b->incarnation) == 0)
            call_fail(s, c, QR_REASON_HOME_AWAY, out);
    }
    b->open_calls = 0;
}

void qr_entry_calls_tick(QREntry *s, QREffects *out)
{
    QRCall *c;

    QR_TABLE_FOR(&s->calls, i, c)
    {
        if (s->now_ms >= c->deadline_ms) {
            call_send_cancel(c, out);
            call_unbind(c);
            call_fail(s, c, QR_REASON_EXPIRED, out);
        } else if (!c->backend && s->now_ms > qr_admit_latest_start_ms(c)) {
            call_fail(s, c, QR_REASON_NO_TIME, out);
        }
    }
}

void qr_entry_calls_abandon(QREntry *s, QREffects *out)
{
    QRCall *c;

    QR_TABLE_FOR(&s->calls, i, c)
    {
        s->count[QR_ENTRY_COUNT_cut_off_at_stop]++;
        call_send_cancel(c, out);
        call_unbind(c);
        call_fail(s, c, QR_REASON_STOPPING, out);
    }
}
