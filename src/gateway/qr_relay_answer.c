/*
 * What an engine answers to a call, and what of it goes to the caller.
 */
#include "qr_relay_parts.h"

#define BUFFER_MAX (256u << 10) /* larger answers are not kept */
#define SMOOTHING 0.1
#define UNSENT_MOST (1u << 20) /* an answer that its caller does not read */

static void relay_measure(QRRelay *r)
{
    QRServiceStats *s = qr_gateway_stats(r->g, r->service);
    uint64_t now = qr_gateway_now(r->g);

    s->hold_ms += SMOOTHING * ((double)(now - r->now.sent_ms) - s->hold_ms);
}

static void pass_started(QRRelay *r)
{
    if (r->started)
        return;
    r->started = true;
    qr_exchange_start(r->x, r->now.answer.status, &r->now.answer.headers);
}

/* An engine's stream is out of order: it is no use going on with it. */
static void events_out_of_order(QRRelay *r)
{
    qr_client_cancel(r->now.call);
    r->now.call = NULL;
    qr_relay_outcome(r, QR_OUTCOME_FAILURE);
    qr_sending_leave_engine(r, &r->now);
    qr_relay_next(r, QR_ATTEMPT_BROKEN, "events out of order");
}

/* Keeps the longest pause between events, and the time to the first. */
static void events_note_time(QRRelay *r)
{
    uint64_t now = qr_gateway_now(r->g);

    qr_sending_read(r, &r->now);
    if (r->passed_ms == 0)
        r->start_ms = now - r->arrived_ms;
    else
        r->gap_ms = MAX(r->gap_ms, now - r->passed_ms);
    r->passed_ms = now;
}

static void events_body(QRRelay *r, const char *data, size_t len)
{
    g_autoptr(GString) out = g_string_sized_new(len);

    qr_sse_take(&r->events, data, len, out);
    if (out->len > 0) {
        qr_relay_drop_held(r);
        events_note_time(r);
        pass_started(r);
        qr_exchange_write(r->x, out->str, out->len);
    }
    if (!r->events.in_order) {
        r->events.in_order = true;
        events_out_of_order(r);
    } else if (qr_exchange_unsent(r->x) > UNSENT_MOST) {
        qr_relay_cut(r, "caller does not read");
    }
}

static AnswerMode mode_of(const QRRelay *r, unsigned status,
                          const QRHeaders *headers)
{
    const QRHeaderNames *names = &r->g->platform->headers;
    bool success = status >= 200 && status < 300;

    if (status == 421 || qr_headers_get(headers, names->not_run))
        return ANSWER_DROP;
    if (success && (!qr_headers_get(headers, names->signature) ||
                    qr_headers_get(headers, "Content-Encoding")))
        return ANSWER_DROP;
    if (r->kind == QR_ROUTE_STREAM && status == 200)
        return ANSWER_EVENTS;
    return ANSWER_KEEP;
}

/*
 * The sending of 'call', of which bytes came. Of two the one that speaks goes
 * on, if it is of use: the later one has not begun yet, else there were no two.
 */
static QRSending *spoken(QRRelay *r, const QRClientCall *call)
{
    if (call != r->held.call)
        return &r->now;
    if (r->held.mode == ANSWER_NONE || r->held.mode == ANSWER_DROP ||
        qr_relay_is_failure(r->held.answer.status))
        return &r->held;
    qr_relay_take_back(r, "speaks again");
    return &r->now;
}

static void answer_head(void *owner, QRClientCall *call, unsigned status,
                        const QRHeaders *headers)
{
    QRRelay *r = owner;
    QRSending *s = call == r->held.call ? &r->held : &r->now;

    qr_sending_hold_place(r, s);
    s->progress_ms = qr_gateway_now(r->g);
    s->first_ms = s->progress_ms - s->sent_ms;
    qr_latency_add(&r->g->counters.first_byte, s->first_ms);
    qr_kept_reset(&s->answer);
    s->answer.status = status;
    for (unsigned i = 0; i < qr_headers_count(headers); i++)
        qr_headers_add(&s->answer.headers, qr_headers_name(headers, i),
                       qr_headers_value(headers, i));
    qr_relay_notice(r, s, status, headers);
    s->mode = mode_of(r, status, headers);
    (void)spoken(r, call);
}

static void answer_body(void *owner, QRClientCall *call, const char *data,
                        size_t len)
{
    QRRelay *r = owner;

    if (spoken(r, call) == &r->held)
        return; /* of no use: the other one is waited for */
    qr_sending_hold_place(r, &r->now);
    r->now.progress_ms = qr_gateway_now(r->g);
    switch (r->now.mode) {
    case ANSWER_NONE:
    case ANSWER_DROP:
        break;
    case ANSWER_EVENTS:
        events_body(r, data, len);
        break;
    case ANSWER_KEEP:
        g_byte_array_append(r->now.answer.body, (const guint8 *)data,
                            (guint)len);
        if (r->now.answer.body->len <= BUFFER_MAX || r->started)
            break;
        r->now.mode = ANSWER_PASS;
        qr_relay_drop_held(r);
        pass_started(r);
        qr_exchange_write(r->x, r->now.answer.body->data,
                          r->now.answer.body->len);
        g_byte_array_set_size(r->now.answer.body, 0);
        break;
    case ANSWER_PASS:
        qr_exchange_write(r->x, data, len);
        if (qr_exchange_unsent(r->x) > UNSENT_MOST)
            qr_relay_cut(r, "caller does not read");
        break;
    }
}

static void relay_finish_stream(QRRelay *r)
{
    QRExchange *x = r->x;

    qr_relay_count(r->g, QR_COUNTER_answered);
    qr_latency_add(&r->g->counters.whole, qr_gateway_now(r->g) - r->arrived_ms);
    qr_relay_log(r, "answered", r->now.answer.status, "stream whole");
    qr_relay_free(r);
    qr_exchange_end(x);
}

/* Whether the engine says that it has not run the call, and will not. */
static bool says_not_run(const QRRelay *r, const QRSending *s)
{
    const char *header = r->g->platform->headers.not_run;

    return s->answer.status == 421 ||
           (s->answer.status > 0 && qr_headers_get(&s->answer.headers, header));
}

static void dropped_end(QRRelay *r)
{
    if (!says_not_run(r, &r->now)) {
        qr_relay_outcome(r, QR_OUTCOME_FAILURE);
        qr_relay_sending_over(r);
        qr_relay_next(r, QR_ATTEMPT_BROKEN, "not an engine's answer");
        return;
    }
    qr_relay_count(r->g, QR_COUNTER_not_run);
    qr_relay_outcome(r, r->now.answer.status == 421 ? QR_OUTCOME_MISDIRECTED
                                                    : QR_OUTCOME_FULL);
    qr_relay_sending_over(r);
    r->runs--;
    qr_relay_next(r, QR_ATTEMPT_NOT_RUN,
                  r->now.answer.status == 421 ? "engine moved" : "engine full");
}

/* The one that was put aside ended, and gave nothing that is of use. */
static void held_over(QRRelay *r, bool ran)
{
    r->held.call = NULL;
    r->runs -= !ran;
    qr_relay_drop_held(r);
}

bool qr_relay_is_failure(unsigned status)
{
    return status >= 500 || status == 429 || status == 408;
}

/* A whole answer that the engine gave after it ran the call. */
static void kept_end(QRRelay *r)
{
    unsigned status = r->now.answer.status;
    bool failed = qr_relay_is_failure(status);

    qr_relay_outcome(r, failed ? QR_OUTCOME_ERROR : QR_OUTCOME_GOOD);
    if (!failed)
        relay_measure(r);
    if (status / 100 == 2)
        qr_relay_suspect_answered(r);
    qr_relay_sending_over(r);
    if (!failed) {
        qr_relay_next(r, QR_ATTEMPT_ANSWER, "answered");
        return;
    }
    if (!r->failure_kept) {
        KeptAnswer spare = r->failure;

        r->failure = r->now.answer;
        r->now.answer = spare;
        r->failure_kept = true;
        /* these say that a call was not run; this one was */
        r->failure_own = status == 503 || status == 429 || status == 408;
    }
    qr_relay_next(r, QR_ATTEMPT_FAILURE, "engine failed");
}

static void answer_end(void *owner, QRClientCall *call)
{
    QRRelay *r = owner;
    QRGateway *g = r->g;
    g_autofree char *service = g_strdup(r->service);

    if (spoken(r, call) == &r->held) {
        held_over(r, !says_not_run(r, &r->held));
        qr_relay_pump(g, service);
        return;
    }
    switch (r->now.mode) {
    case ANSWER_NONE:
    case ANSWER_DROP:
        dropped_end(r);
        break;
    case ANSWER_KEEP:
        kept_end(r);
        break;
    case ANSWER_PASS:
    case ANSWER_EVENTS:
        r->now.call = NULL;
        if (r->now.mode == ANSWER_EVENTS && r->events.partial->len > 0) {
            qr_relay_outcome(r, QR_OUTCOME_FAILURE);
            qr_sending_leave_engine(r, &r->now);
            qr_relay_next(r, QR_ATTEMPT_BROKEN, "ended inside an event");
            break;
        }
        qr_relay_outcome(r, QR_OUTCOME_GOOD);
        relay_measure(r);
        qr_relay_suspect_answered(r);
        pass_started(r);
        relay_finish_stream(r);
        break;
    }
    qr_relay_pump(g, service);
}

static void answer_failed(void *owner, QRClientCall *call, QRCallFault fault,
                          const char *why)
{
    QRRelay *r = owner;
    QRGateway *g = r->g;
    g_autofree char *service = g_strdup(r->service);

    if (fault == QR_CALL_FAULT_BROKEN)
        qr_relay_suspect_broke(r, call == r->held.call ? &r->held : &r->now);
    if (call == r->held.call) {
        held_over(r, fault != QR_CALL_FAULT_UNSENT);
        qr_relay_pump(g, service);
        return;
    }
    qr_relay_outcome(r, QR_OUTCOME_FAILURE);
    qr_relay_sending_over(r);
    if (fault == QR_CALL_FAULT_UNSENT) {
        r->runs--;
        r->sendings--;
        qr_relay_next(r, QR_ATTEMPT_UNSENT, why);
    } else {
        qr_relay_count(g, QR_COUNTER_broken);
        qr_relay_next(r, QR_ATTEMPT_BROKEN, why);
    }
    qr_relay_pump(g, service);
}

const QRClientHandlers qr_relay_answer_handlers = {answer_head, answer_body,
                                                   answer_end, answer_failed};
