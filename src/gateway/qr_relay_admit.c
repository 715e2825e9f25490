/*
 * Admits calls by a forecast of their duration: what callers state of their
 * calls, and what earlier answers took.
 */
#include "qr_relay_parts.h"

#define BAD_HINT_LOG_MS 1000 /* between two log lines on bad hints */

const QREngineModel *qr_relay_engine_model(const QRRelay *r)
{
    const QRService *service =
        r->g->operator.policy
            ? qr_policy_service(r->g->operator.policy, r->service)
            : NULL;

    return service ? &service->engine : NULL;
}

static void log_bad_hint(QRRelay *r, const char *what, const char *usage,
                         const char *hint)
{
    uint64_t now = qr_gateway_now(r->g);

    qr_relay_count(r->g, QR_COUNTER_hints_bad);
    if (r->g->bad_hint_ms > 0 && now < r->g->bad_hint_ms + BAD_HINT_LOG_MS)
        return;
    r->g->bad_hint_ms = now;
    qr_logf(QR_LEVEL_WARN, "call",
            "served without a hint id=%s team=%s not_usable=\"%s\" "
            "usage=%.40s hint=%.40s",
            r->id, r->team, what, usage ? usage : "-", hint ? hint : "-");
}

void qr_relay_read_needs(QRRelay *r)
{
    const QRHeaderNames *names = &r->g->platform->headers;
    const QRHeaders *headers = qr_exchange_headers(r->x);
    const char *usage = qr_headers_get(headers, names->usage);
    const char *hint = qr_headers_get(headers, names->length_hint);
    const QREngineModel *m = qr_relay_engine_model(r);
    QRCallNeeds needs;
    const char *bad = qr_call_needs_parse(usage, hint, m, &needs);

    r->prompt_tokens = needs.prompt_tokens;
    r->answer_limit_tokens = needs.output_limit_tokens;
    r->by_forecast = r->g->set->admission_forecast && qr_call_can_forecast(m);
    if (!r->by_forecast)
        return;
    if (bad)
        log_bad_hint(r, bad, usage, hint);
    /* of a stream that the caller resumes, the rest is not stated */
    if (qr_headers_get(headers, names->last_event))
        return;
    r->stated_tokens = qr_call_stated_tokens(&needs, m);
    r->expected_tokens = qr_call_expected_tokens(
        &needs, m,
        qr_call_corrections_factor(
            &qr_gateway_stats(r->g, r->service)->corrections, r->team,
            r->route));
}

static QRCallTime call_time(const QRRelay *r, uint64_t now_ms)
{
    return (QRCallTime){
        .model = qr_relay_engine_model(r),
        .prompt_tokens = r->prompt_tokens,
        .expected_tokens = r->expected_tokens,
        .left_ms = r->expires_ms > now_ms ? r->expires_ms - now_ms : 0,
    };
}

bool qr_relay_refuse_hopeless(QRRelay *r)
{
    QRCallTime t = call_time(r, qr_gateway_now(r->g));
    double end_ms;
    char why[120];

    if (!r->by_forecast || r->attempts > 0 || !qr_call_cannot_end(&t, &end_ms))
        return false;
    g_snprintf(why, sizeof(why),
               "cannot end in time left_ms=%" G_GUINT64_FORMAT
               " forecast_ms=%.0f tokens=%.0f stated=%.0f",
               t.left_ms, end_ms, r->expected_tokens, r->stated_tokens);
    qr_relay_finish_locally(r, 503, QR_COUNTER_refused_deadline, why);
    return true;
}

void qr_relay_learn_length(QRRelay *r, bool complete)
{
    const QREngineModel *m = qr_relay_engine_model(r);
    const QREngine *e = qr_attempt_engine(r, &r->current);
    double stated_ms, actual_ms;
    unsigned open;

    /* of a stream that moved, no engine wrote the whole */
    if (!r->by_forecast || r->attempts != 1 || r->last_event_ms == 0 || !e ||
        !qr_call_can_forecast(m))
        return;
    open = MAX((qr_engine_open(e) + r->forecast.open + 1) / 2, 1);
    stated_ms = qr_call_decode_ms(m, r->stated_tokens, open, 1);
    /* the first event holds the tokens of a pass, too */
    actual_ms =
        (double)(r->last_event_ms - r->arrived_ms - r->start_ms) +
        qr_call_decode_ms(m, MAX(m->admission_interval_steps, 1), open, 1);
    /* one that was cut shows only that it would have taken longer */
    if (complete || actual_ms > stated_ms)
        qr_call_corrections_learn(
            &qr_gateway_stats(r->g, r->service)->corrections, r->team, r->route,
            stated_ms, actual_ms, qr_gateway_now(r->g));
}
