/*
 * Receives an engine's answer to a call and forwards it to the caller.
 */
#include "qr_relay_parts.h"

/* Larger answers are forwarded as they arrive. */
#define SAVED_ANSWER_MAX_BYTES (256u << 10)
#define SMOOTHING_CALLS 10 /* mean durations are those of about so many */
#define UNSENT_MAX_BYTES (1u << 20) /* more unread by the caller: aborted */
/* An answer that is not forwarded is read to its end, so that its connection
   can be kept, within these bounds. */
#define DROPPED_MAX_BYTES (64u << 10)
#define DROPPED_MAX_MS 500
#define EVENT_MAX_BYTES (256u << 10) /* longer ones are no events */

static void measure_duration(QRRelay *r)
{
    QRServiceStats *s = qr_gateway_stats(r->g, r->service);
    uint64_t now = qr_gateway_now(r->g);
    double ms = (double)(now - r->current.sent_ms);

    s->calls_measured = MIN(s->calls_measured + 1, SMOOTHING_CALLS);
    s->usual_call_ms += (ms - s->usual_call_ms) / s->calls_measured;
    s->mean_call_ms += (ms - s->mean_call_ms) / SMOOTHING_CALLS;
}

static void start_answer(QRRelay *r)
{
    if (r->answer_started)
        return;
    r->answer_started = true;
    qr_exchange_start(r->x, r->current.answer.status,
                      &r->current.answer.headers);
}

/* Cancels an attempt whose events are not usable, and retries. */
static void retry_bad_events(QRRelay *r, const char *why)
{
    if (r->current.call)
        qr_client_cancel(r->current.call);
    r->current.call = NULL;
    qr_relay_report_outcome(r, QR_OUTCOME_FAILURE);
    qr_attempt_detach(r, &r->current);
    qr_sse_discard_partial(&r->events);
    qr_relay_attempt_ended(r, QR_ATTEMPT_BROKEN, why);
}

/* Notes an answer that begins on a version that is too old by now: the call
   waited at its engine, or this gateway learned of the newer version late. */
static void check_version(const QRRelay *r)
{
    uint64_t least;

    if (!r->current.awaits_first_byte || r->current.version == 0)
        return;
    least = qr_relay_min_version(r, 0);
    if (r->current.version >= least)
        return;
    qr_relay_count(r->g, QR_COUNTER_begun_outdated);
    qr_logf(QR_LEVEL_WARN, "call",
            "begun outdated id=%s engine=%s version=%" G_GUINT64_FORMAT
            " in_force=%" G_GUINT64_FORMAT " sent_ago_ms=%" G_GUINT64_FORMAT,
            r->id, r->current.engine ? r->current.engine : "-",
            r->current.version, least,
            qr_gateway_now(r->g) - r->current.sent_ms);
}

/* Records the longest pause between events and the time to the first one. 'n'
   events have arrived. */
static void record_event_time(QRRelay *r, unsigned n)
{
    uint64_t now = qr_gateway_now(r->g);

    check_version(r);
    qr_attempt_mark_read(r, &r->current);
    if (r->last_event_ms == 0)
        r->start_ms = now - r->arrived_ms;
    else
        r->gap_ms = MAX(r->gap_ms, now - r->last_event_ms);
    r->last_event_ms = now;
    qr_relay_note_events(r, n);
}

/* Returns false if the attempt was given up or the relay has ended. */
static bool forward_events(QRRelay *r, const char *data, size_t len)
{
    g_autoptr(GString) out = g_string_sized_new(len);
    uint64_t before = r->events.count;

    qr_sse_feed(&r->events, data, len, out);
    if (out->len > 0) {
        qr_relay_drop_stalled(r);
        record_event_time(r, (unsigned)(r->events.count - before));
        start_answer(r);
        qr_exchange_write(r->x, out->str, out->len);
    }
    if (!r->events.in_order) {
        r->events.in_order = true;
        retry_bad_events(r, "events out of order");
        return false;
    }
    if (r->events.partial->len > EVENT_MAX_BYTES) {
        retry_bad_events(r, "event without end");
        return false;
    }
    if (qr_exchange_unsent(r->x) > UNSENT_MAX_BYTES) {
        qr_relay_cut(r, "caller does not read");
        return false;
    }
    return true;
}

/* Makes the slow attempt current again. Returns what forward_events() does. */
static bool resume_slow(QRRelay *r, const char *why)
{
    qr_relay_resume_stalled(r, why);
    qr_stream_pace_reset(&r->pace);
    return forward_events(r, "", 0);
}

void qr_relay_take_back(QRRelay *r, const char *why)
{
    if (qr_relay_is_moving(r))
        (void)resume_slow(r, why);
    else
        qr_relay_resume_stalled(r, why);
}

static AnswerMode choose_mode(const QRRelay *r, unsigned status,
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
    return ANSWER_BUFFER;
}

/*
 * Returns the attempt of 'call', for which bytes arrived. If it is the stalled
 * one and its answer is usable, it becomes current and the later attempt is
 * canceled: the later one has not begun, as that would have ended the stalled
 * one.
 */
static QRAttempt *choose_speaker(QRRelay *r, const QRClientCall *call)
{
    if (call != r->stalled.call)
        return &r->current;
    if (r->stalled.mode == ANSWER_NONE || r->stalled.mode == ANSWER_DROP ||
        qr_relay_is_failure(r->stalled.answer.status))
        return &r->stalled;
    qr_relay_resume_stalled(r, "stalled engine resumed");
    return &r->current;
}

static void answer_head(void *owner, QRClientCall *call, unsigned status,
                        const QRHeaders *headers)
{
    QRRelay *r = owner;
    QRAttempt *a = call == r->stalled.call ? &r->stalled : &r->current;

    qr_attempt_count_open(r, a);
    a->progress_ms = qr_gateway_now(r->g);
    a->first_ms = a->progress_ms - a->sent_ms;
    qr_latency_add(&r->g->counters.first_byte, a->first_ms);
    qr_saved_answer_reset(&a->answer);
    a->answer.status = status;
    for (unsigned i = 0; i < qr_headers_count(headers); i++)
        qr_headers_add(&a->answer.headers, qr_headers_name(headers, i),
                       qr_headers_value(headers, i));
    qr_relay_read_notice(r, a, status, headers);
    a->mode = choose_mode(r, status, headers);
    (void)choose_speaker(r, call);
}

/* Whether the engine states that it has not run the call and will not. */
static bool says_not_run(const QRRelay *r, const QRAttempt *a)
{
    const char *header = r->g->platform->headers.not_run;

    return a->answer.status == 421 ||
           (a->answer.status > 0 && qr_headers_get(&a->answer.headers, header));
}

static void end_dropped_answer(QRRelay *r)
{
    if (!says_not_run(r, &r->current)) {
        qr_relay_report_outcome(r, QR_OUTCOME_FAILURE);
        qr_relay_end_attempt(r);
        qr_relay_attempt_ended(r, QR_ATTEMPT_BROKEN, "not an engine's answer");
        return;
    }
    qr_relay_count(r->g, QR_COUNTER_not_run);
    qr_relay_report_outcome(r, r->current.answer.status == 421
                                   ? QR_OUTCOME_MISDIRECTED
                                   : QR_OUTCOME_FULL);
    qr_relay_end_attempt(r);
    r->runs--;
    qr_relay_attempt_ended(r, QR_ATTEMPT_NOT_RUN,
                           r->current.answer.status == 421 ? "engine moved"
                                                           : "engine full");
}

/* The stalled attempt ended without a usable answer. */
static void end_stalled_attempt(QRRelay *r, bool ran)
{
    r->stalled.call = NULL;
    r->runs -= !ran;
    qr_relay_drop_stalled(r);
}

/* Closes the connection of an answer that is dropped, before its end. May free
   'r'. */
static void end_dropped_early(QRRelay *r, QRAttempt *a, const char *why)
{
    QRGateway *g = r->g;
    g_autofree char *service = g_strdup(r->service);

    qr_logf(QR_LEVEL_WARN, "call",
            "closed before the end of its answer id=%s engine=%s bytes=%zu "
            "why=%s",
            r->id, a->engine ? a->engine : "-", a->dropped_bytes, why);
    qr_client_cancel(a->call);
    a->call = NULL;
    if (a == &r->stalled)
        end_stalled_attempt(r, !says_not_run(r, a));
    else
        end_dropped_answer(r);
    qr_relay_dispatch_waiting(g, service);
}

static void drop_bytes(QRRelay *r, QRAttempt *a, size_t len)
{
    a->dropped_bytes += len;
    if (a->dropped_bytes > DROPPED_MAX_BYTES)
        end_dropped_early(r, a, "too many bytes of an answer that is dropped");
}

void qr_relay_check_dropped(QRRelay *r, uint64_t now_ms)
{
    QRAttempt *a = &r->current;

    if (a->call && a->mode == ANSWER_DROP &&
        now_ms >= a->progress_ms + DROPPED_MAX_MS)
        end_dropped_early(r, a, "an answer that is dropped takes too long");
}

/* Closes the connection of a failure whose body does not end. May free 'r'. */
static void end_failure_early(QRRelay *r)
{
    static const char why[] = "failure with too long a body";
    QRGateway *g = r->g;
    g_autofree char *service = g_strdup(r->service);

    qr_logf(QR_LEVEL_WARN, "call",
            "closed before the end of its answer id=%s engine=%s bytes=%u "
            "why=%s",
            r->id, r->current.engine, r->current.answer.body->len, why);
    qr_client_cancel(r->current.call);
    r->current.call = NULL;
    qr_relay_report_outcome(r, QR_OUTCOME_FAILURE);
    qr_relay_end_attempt(r);
    qr_relay_attempt_ended(r, QR_ATTEMPT_BROKEN, why);
    qr_relay_dispatch_waiting(g, service);
}

static void answer_body(void *owner, QRClientCall *call, const char *data,
                        size_t len)
{
    QRRelay *r = owner;

    if (call == r->stalled.call && qr_relay_is_moving(r)) {
        qr_relay_hold_slow(r, data, len);
        return;
    }
    if (choose_speaker(r, call) == &r->stalled) {
        /* not usable: the other attempt is waited for */
        drop_bytes(r, &r->stalled, len);
        return;
    }
    qr_attempt_count_open(r, &r->current);
    if (r->current.mode == ANSWER_DROP) {
        drop_bytes(r, &r->current, len);
        return;
    }
    r->current.progress_ms = qr_gateway_now(r->g);
    if (r->current.body_ms == 0)
        r->current.body_ms = r->current.progress_ms;
    switch (r->current.mode) {
    case ANSWER_NONE:
    case ANSWER_DROP:
        break;
    case ANSWER_EVENTS:
        (void)forward_events(r, data, len);
        break;
    case ANSWER_BUFFER:
        g_byte_array_append(r->current.answer.body, (const guint8 *)data,
                            (guint)len);
        if (r->current.answer.body->len <= SAVED_ANSWER_MAX_BYTES ||
            r->answer_started)
            break;
        if (qr_relay_is_failure(r->current.answer.status)) {
            end_failure_early(r);
            break;
        }
        r->current.mode = ANSWER_FORWARD;
        qr_relay_drop_stalled(r);
        start_answer(r);
        qr_exchange_write(r->x, r->current.answer.body->data,
                          r->current.answer.body->len);
        g_byte_array_set_size(r->current.answer.body, 0);
        break;
    case ANSWER_FORWARD:
        qr_exchange_write(r->x, data, len);
        if (qr_exchange_unsent(r->x) > UNSENT_MAX_BYTES)
            qr_relay_cut(r, "caller does not read");
        break;
    }
}

static void relay_finish_stream(QRRelay *r)
{
    QRExchange *x = r->x;

    qr_relay_learn_length(r, true);
    qr_relay_count(r->g, QR_COUNTER_answered);
    qr_latency_add(&r->g->counters.whole, qr_gateway_now(r->g) - r->arrived_ms);
    qr_relay_log(r, "answered", r->current.answer.status, "stream complete");
    qr_relay_free(r);
    qr_exchange_end(x);
}

bool qr_relay_is_failure(unsigned status)
{
    return status >= 500 || status == 429 || status == 408;
}

/* Handles a complete answer of an engine that ran the call. */
static void end_saved_answer(QRRelay *r)
{
    unsigned status = r->current.answer.status;
    bool failed = qr_relay_is_failure(status);

    qr_relay_report_outcome(r, failed ? QR_OUTCOME_ERROR : QR_OUTCOME_GOOD);
    if (!failed) {
        check_version(r);
        measure_duration(r);
    }
    if (status / 100 == 2)
        qr_relay_note_answered(r);
    qr_relay_end_attempt(r);
    if (!failed) {
        qr_relay_attempt_ended(r, QR_ATTEMPT_ANSWER, "answered");
        return;
    }
    if (!r->failure_kept) {
        SavedAnswer spare = r->failure;

        r->failure = r->current.answer;
        r->current.answer = spare;
        r->failure_kept = true;
        /* to a caller these mean that the call was not run; it was */
        r->failure_hidden = status == 503 || status == 429 || status == 408;
    }
    qr_relay_attempt_ended(r, QR_ATTEMPT_FAILURE, "engine failed");
}

/* The slow attempt of a moving stream is complete before the other engine has
   begun. Returns false if it turned out to be unusable. */
static bool end_slow_attempt(QRRelay *r)
{
    r->stalled.call = NULL;
    return resume_slow(r, "the slow engine has ended first");
}

/* The other engine ended the answer of a moving stream without an event. */
static void end_empty_remainder(QRRelay *r)
{
    qr_relay_report_outcome(r, QR_OUTCOME_FAILURE);
    qr_relay_end_attempt(r);
    qr_relay_attempt_ended(r, QR_ATTEMPT_BROKEN, "no event in the remainder");
}

static void answer_end(void *owner, QRClientCall *call)
{
    QRRelay *r = owner;
    QRGateway *g = r->g;
    g_autofree char *service = g_strdup(r->service);

    if (qr_relay_is_moving(r) && call == r->stalled.call &&
        !end_slow_attempt(r)) {
        qr_relay_dispatch_waiting(g, service);
        return;
    }
    if (choose_speaker(r, call) == &r->stalled) {
        end_stalled_attempt(r, !says_not_run(r, &r->stalled));
        qr_relay_dispatch_waiting(g, service);
        return;
    }
    switch (r->current.mode) {
    case ANSWER_NONE:
    case ANSWER_DROP:
        end_dropped_answer(r);
        break;
    case ANSWER_BUFFER:
        end_saved_answer(r);
        break;
    case ANSWER_FORWARD:
    case ANSWER_EVENTS:
        if (qr_relay_is_moving(r)) {
            end_empty_remainder(r);
            break;
        }
        r->current.call = NULL;
        if (r->current.mode == ANSWER_EVENTS && r->events.partial->len > 0) {
            qr_relay_note_broken(r, &r->current);
            qr_relay_report_outcome(r, QR_OUTCOME_FAILURE);
            qr_attempt_detach(r, &r->current);
            qr_relay_attempt_ended(r, QR_ATTEMPT_BROKEN,
                                   "ended inside an event");
            break;
        }
        qr_relay_report_outcome(r, QR_OUTCOME_GOOD);
        measure_duration(r);
        qr_relay_note_answered(r);
        qr_relay_note_stream_end(r);
        start_answer(r);
        relay_finish_stream(r);
        break;
    }
    qr_relay_dispatch_waiting(g, service);
}

static void answer_failed(void *owner, QRClientCall *call, QRCallFault fault,
                          const char *why)
{
    QRRelay *r = owner;
    QRGateway *g = r->g;
    g_autofree char *service = g_strdup(r->service);

    if (fault == QR_CALL_FAULT_BROKEN)
        qr_relay_note_broken(r, call == r->stalled.call ? &r->stalled
                                                        : &r->current);
    if (call == r->stalled.call) {
        end_stalled_attempt(r, fault != QR_CALL_FAULT_UNSENT);
        qr_relay_dispatch_waiting(g, service);
        return;
    }
    qr_relay_report_outcome(r, QR_OUTCOME_FAILURE);
    qr_relay_end_attempt(r);
    if (fault == QR_CALL_FAULT_UNSENT) {
        r->runs--;
        r->attempts--;
        qr_relay_attempt_ended(r, QR_ATTEMPT_UNSENT, why);
    } else {
        qr_relay_count(g, QR_COUNTER_broken);
        qr_relay_attempt_ended(r, QR_ATTEMPT_BROKEN, why);
    }
    qr_relay_dispatch_waiting(g, service);
}

/* The connections of an engine that crashes end in order, too. One that has
   announced its end, or switches versions, may refuse others as planned. */
static bool answer_confirms_end(void *owner, QRClientCall *call)
{
    QRRelay *r = owner;
    const QREngine *e = qr_attempt_engine(
        r, call == r->stalled.call ? &r->stalled : &r->current);

    return e && qr_engine_should_listen(e);
}

const QRClientHandlers qr_relay_answer_handlers = {
    answer_head, answer_body, answer_end, answer_failed, answer_confirms_end};
