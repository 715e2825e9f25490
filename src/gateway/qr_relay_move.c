/*
 * Moves a stream that cannot end in time at its engine to another one. The slow
 * attempt stays open, as the stalled one, until the other engine has sent an
 * event. What it sends meanwhile is held, to be forwarded if it is taken back.
 */
#include "qr_relay_parts.h"

/* Events come every 100 ms or so; a check at each tick would find the same. */
#define MOVE_CHECK_MS 100
/* More than a slow engine sends until another one begins. */
#define HELD_MAX_BYTES (64u << 10)

static const char no_attempt[] = "route allows no further attempt";
static const char no_engine[] = "no engine has room";
static const char no_time[] = "not in time elsewhere";
static const char no_budget[] = "retry budget spent";

/* The time of a token step with 'open' calls at the engine, in ms; 1 if the
   service has no model. */
static double step_ms(const QRRelay *r, unsigned open)
{
    const QRService *service =
        r->g->operator.policy
            ? qr_policy_service(r->g->operator.policy, r->service)
            : NULL;
    double ms;

    if (!service || !service->engine.model)
        return 1;
    ms = service->engine.step_ms + service->engine.per_sequence_ms * open;
    return ms > 0 ? ms : 1;
}

static QRStreamLengths *stream_lengths(const QRRelay *r)
{
    GHashTable *table = qr_gateway_stats(r->g, r->service)->stream_lengths;
    QRStreamLengths *l = g_hash_table_lookup(table, r->route);

    if (!l) {
        l = g_new0(QRStreamLengths, 1);
        g_hash_table_insert(table, g_strdup(r->route), l);
    }
    return l;
}

/* Whether the caller itself resumes the stream: its length says nothing. */
static bool is_resumed_by_caller(const QRRelay *r)
{
    return qr_headers_get(qr_exchange_headers(r->x),
                          r->g->platform->headers.last_event) != NULL;
}

static void read_stated(QRRelay *r)
{
    const QRHeaderNames *names = &r->g->platform->headers;
    const QRHeaders *h = qr_exchange_headers(r->x);
    const char *hint = qr_headers_get(h, names->length_hint);

    r->has_stated = true;
    r->stated = qr_tokens_stated(hint, qr_headers_get(h, names->usage));
    if (qr_tokens_are_invalid(hint, r->stated.hint))
        qr_logf(QR_LEVEL_INFO, "call", "length hint ignored id=%s hint=%.20s",
                r->id, hint);
}

/* Records the latest pauses for the engine's pace, and logs when they begin to
   count. */
static void observe_pace(QREngine *e, double pause_ms, double usual_ms,
                         uint64_t now)
{
    double before = qr_engine_pace(e, now), pace;

    qr_engine_observe_pace(e, pause_ms / usual_ms, now);
    pace = qr_engine_pace(e, now);
    if (before <= 1 && pace > 1)
        qr_logf(QR_LEVEL_INFO, "engines",
                "observed pace=%.2f engine=%s pause_ms=%.0f usual_ms=%.0f",
                pace, e->record->id, pause_ms, usual_ms);
}

void qr_relay_note_events(QRRelay *r, unsigned n)
{
    QRUsualPause *usual = &qr_gateway_stats(r->g, r->service)->usual_pause;
    QREngine *e = qr_attempt_engine(r, &r->current);
    uint64_t now = qr_gateway_now(r->g);
    double step = step_ms(r, e ? qr_engine_open(e) : 0);
    double expected = qr_usual_pause_ms(usual, step);
    double latest;

    if (!r->has_stated)
        read_stated(r);
    qr_usual_pause_add(usual, qr_stream_pace_add(&r->pace, n, now), step);
    latest = qr_stream_pace_latest_ms(&r->pace);
    if (e && expected > 0 && latest > 0)
        observe_pace(e, latest, expected, now);
}

void qr_relay_note_stream_end(QRRelay *r)
{
    if (!is_resumed_by_caller(r))
        qr_stream_lengths_add(stream_lengths(r), r->events.count, &r->stated);
}

bool qr_relay_is_moving(const QRRelay *r)
{
    return r->stalled.is_slow;
}

void qr_relay_hold_slow(QRRelay *r, const char *data, size_t len)
{
    g_string_append_len(r->stalled.partial, data, (gssize)len);
    r->stalled.progress_ms = qr_gateway_now(r->g);
    if (r->stalled.partial->len > HELD_MAX_BYTES)
        qr_relay_take_back(r, "the slow engine sends too much");
}

/* A stream is resumed by the ids of its events. Without numbers, repeated or
   missing events would not be noticed. */
static bool may_consider(const QRRelay *r, uint64_t now)
{
    return r->g->set->move_slow_streams && r->repeatable && !r->moved &&
           r->current.call && r->current.mode == ANSWER_EVENTS &&
           !r->stalled.call && r->answer_started && r->events.is_numbered &&
           now >= r->move_check_ms;
}

static void log_move(const QRRelay *r, const char *what, const char *why,
                     const QREngine *to, const QRStreamFacts *f,
                     const QRStreamForecast *forecast)
{
    qr_logf(QR_LEVEL_INFO, "call",
            "%s id=%s why=%s engine=%s to=%s events=%" G_GUINT64_FORMAT
            " expected=%.0f hint=%.0f most=%.0f pause_ms=%.0f usual_ms=%.0f"
            " other_pause_ms=%.0f here_ms=%.0f there_ms=%.0f"
            " left_ms=%" G_GUINT64_FORMAT " runs=%u runs_max=%u",
            what, r->id, why, r->current.engine ? r->current.engine : "-",
            to ? to->record->id : "-", f->events, f->expected_events,
            r->stated.hint, r->stated.most, forecast->pause_ms, f->usual_ms,
            f->other_pause_ms, forecast->here_ms, forecast->there_ms,
            f->expires_ms - f->now_ms, r->runs, r->runs_max);
}

/* Chooses the other engine and judges by its forecast. Returns NULL if the
   stream may move there, else the reason why not. */
static const char *choose_other(QRRelay *r, QRStreamFacts *f,
                                QRStreamForecast *forecast, QRBalanceChoice *c)
{
    const QRUsualPause *usual =
        &qr_gateway_stats(r->g, r->service)->usual_pause;

    if (r->runs >= r->runs_max)
        return no_attempt;
    *c = qr_relay_choose_unreserved(r);
    if (!c->engine)
        return no_engine;
    f->other_first_ms = c->first_byte_ms;
    f->other_pause_ms =
        qr_usual_pause_ms(usual, step_ms(r, c->engine_open + 1)) *
        qr_engine_pace(c->engine, f->now_ms);
    return qr_stream_pace_judge(&r->pace, f, forecast) == QR_STREAM_MOVE
               ? NULL
               : no_time;
}

static void refuse_move(QRRelay *r, const char *why, const QRStreamFacts *f,
                        const QRStreamForecast *forecast)
{
    if (r->move_refused)
        return;
    r->move_refused = true;
    qr_relay_count(r->g, QR_COUNTER_moves_refused);
    log_move(r, "slow stream stays", why, NULL, f, forecast);
}

static QRStreamFacts stream_facts(const QRRelay *r, uint64_t now)
{
    const QRUsualPause *usual =
        &qr_gateway_stats(r->g, r->service)->usual_pause;
    const QREngine *e = qr_attempt_engine(r, &r->current);
    double usual_ms =
        qr_usual_pause_ms(usual, step_ms(r, e ? qr_engine_open(e) : 0));

    return (QRStreamFacts){
        .expected_events =
            is_resumed_by_caller(r)
                ? 0
                : qr_stream_lengths_expect(stream_lengths(r), r->events.count,
                                           &r->stated),
        .events = r->events.count,
        .usual_ms = usual_ms,
        .other_pause_ms = usual_ms,
        .now_ms = now,
        .expires_ms = r->expires_ms,
    };
}

double qr_relay_remainder_ms(const QRRelay *r)
{
    QRStreamFacts f = stream_facts(r, qr_gateway_now(r->g));
    const QREngineModel *m = qr_relay_engine_model(r);
    double events = f.expected_events - (double)f.events;

    if (f.expected_events <= 0)
        return qr_relay_work_ms(r);
    return (qr_call_can_forecast(m) ? qr_call_prefill_ms(m, r->prompt_tokens, 1)
                                    : 0) +
           MAX(events, 1) * f.usual_ms;
}

void qr_relay_consider_move(QRRelay *r, uint64_t now_ms)
{
    QRStreamForecast forecast = {0};
    QRStreamFacts facts;
    QRBalanceChoice c = {0};
    const char *why;

    if (!may_consider(r, now_ms))
        return;
    r->move_check_ms = now_ms + MOVE_CHECK_MS;
    facts = stream_facts(r, now_ms);
    if (qr_stream_pace_judge(&r->pace, &facts, &forecast) != QR_STREAM_MOVE)
        return;
    if (!r->is_slow)
        qr_relay_count(r->g, QR_COUNTER_streams_slow);
    r->is_slow = true;
    why = choose_other(r, &facts, &forecast, &c);
    if (why) {
        refuse_move(r, why, &facts, &forecast);
        return;
    }
    if (!qr_relay_take_retry_token(r)) {
        refuse_move(r, no_budget, &facts, &forecast);
        return;
    }
    log_move(r, "slow stream moves", "cannot end in time", c.engine, &facts,
             &forecast);
    qr_relay_count(r->g, QR_COUNTER_streams_moved);
    r->moved = true;
    qr_relay_move(r, &c);
}
