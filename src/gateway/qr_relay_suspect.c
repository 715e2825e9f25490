/*
 * Calls with requests that may crash engines: looks their fingerprints up and
 * reports the outcome of their attempts. qr_suspects.c decides.
 */
#include "qr_relay_parts.h"

#define MAX_PARTS_LOGGED 8u
#define MAX_PART_ID_LOGGED 16u /* characters */

/* Called only while some request is suspect, or after a connection broke: a
   fingerprint costs 0.8 us, plus 0.8 us per KB of the body (make measure
   WHAT=cost). */
static bool make_fingerprint(QRRelay *r)
{
    const GByteArray *body = qr_exchange_body(r->x);
    QRFingerprintParts parts = {
        .method = qr_exchange_method(r->x),
        .host = qr_headers_get(qr_exchange_headers(r->x), "Host"),
        .target = qr_exchange_target(r->x),
        .team = r->team,
        .body = body->data,
        .body_len = body->len,
    };

    if (!r->has_fingerprint)
        r->has_fingerprint = qr_fingerprint_make(&parts, &r->fingerprint);
    return r->has_fingerprint;
}

/* The first shared parts of the prompt, for the log. */
static char *describe_parts(const QRRelay *r)
{
    g_autoptr(GArray) parts = g_array_new(FALSE, FALSE, sizeof(QRPromptPart));
    GString *text = g_string_new(NULL);

    r->g->platform->parse_shared_parts(qr_exchange_headers(r->x), parts);
    for (unsigned i = 0; i < MIN(parts->len, MAX_PARTS_LOGGED); i++) {
        const QRPromptPart *p = &g_array_index(parts, QRPromptPart, i);

        g_string_append_printf(text, "%s%.*s", i > 0 ? "," : "",
                               (int)MIN(p->id_len, MAX_PART_ID_LOGGED), p->id);
    }
    if (parts->len > MAX_PARTS_LOGGED)
        g_string_append_printf(text, ",+%u", parts->len - MAX_PARTS_LOGGED);
    if (parts->len == 0)
        g_string_append_c(text, '-');
    return g_string_free(text, FALSE);
}

QRSuspicion qr_relay_suspicion(QRRelay *r)
{
    if (!qr_requests_has_suspects(r->g) || !make_fingerprint(r))
        return QR_SUSPICION_NONE;
    return qr_requests_check(r->g, &r->fingerprint);
}

/* Counts the attempt as a trial if the request is suspect. */
static void join_trial(QRRelay *r, QRAttempt *a)
{
    if (a->on_trial || qr_relay_suspicion(r) == QR_SUSPICION_NONE)
        return;
    a->on_trial = true;
    qr_requests_trial_started(r->g, &r->fingerprint);
}

void qr_relay_begin_trial(QRRelay *r, QRAttempt *a)
{
    join_trial(r, a);
}

void qr_relay_end_trial(QRRelay *r, QRAttempt *a)
{
    if (!a->on_trial)
        return;
    a->on_trial = false;
    qr_requests_trial_ended(r->g, &r->fingerprint);
}

/* Has the engine checked whether it has ended. 'answered': nothing seems to be
   missing in its answer. */
static void check_engine(QRRelay *r, QRAttempt *a, bool answered)
{
    const QREngine *e = qr_attempt_engine(r, a);
    g_autofree char *parts = describe_parts(r);
    QRInterruptedCall call = {r->id,      parts,    &r->fingerprint,
                              a->sent_ms, answered, a->on_trial};

    /* an engine that announced its shutdown, or whose record is gone, ended as
       planned; an engine that switches versions cuts running calls */
    if (!e || e->gone || qr_engine_is_leaving(e) ||
        (e->has_sidecar_report && e->sidecar_switching) || !make_fingerprint(r))
        return;
    a->on_trial = false; /* until it is known whether the engine has ended */
    qr_requests_call_interrupted(r->g, e, &call);
}

void qr_relay_note_broken(QRRelay *r, QRAttempt *a)
{
    check_engine(r, a, false);
}

/* Without a length and chunks, an answer that its engine's crash cut looks
   whole. */
static bool is_surely_whole(const QRRelay *r)
{
    const QRHeaders *h = &r->current.answer.headers;

    return qr_headers_get(h, "Content-Length") ||
           qr_headers_get(h, "Transfer-Encoding");
}

void qr_relay_note_answered(QRRelay *r)
{
    if (!is_surely_whole(r))
        check_engine(r, &r->current, true);
    else if (qr_requests_has_suspects(r->g) && make_fingerprint(r))
        qr_requests_note_answer(r->g, &r->fingerprint);
}

void qr_relay_join_trials(QRGateway *g)
{
    for (unsigned i = 0; i < g->relays->len; i++) {
        QRRelay *r = g->relays->pdata[i];

        if (r->current.call)
            join_trial(r, &r->current);
        if (r->stalled.call)
            join_trial(r, &r->stalled);
    }
}
