/*
 * A call whose like may crash engines: where it is asked about, and what its
 * sendings say. What follows is judged in qr_suspects.c.
 */
#include "qr_relay_parts.h"

/* Only while something is suspect, or for a call that broke off: it costs 0.8
   us, and 0.8 a KB of the body (make measure WHAT=cost). */
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

QRSuspicion qr_relay_suspicion(QRRelay *r)
{
    if (!qr_requests_suspects_any(r->g) || !make_fingerprint(r))
        return QR_SUSPICION_NONE;
    return qr_requests_ask(r->g, &r->fingerprint);
}

/* Its sending counts as a trial if the request is suspect. */
static void join_trial(QRRelay *r, QRSending *s)
{
    if (s->on_trial || qr_relay_suspicion(r) == QR_SUSPICION_NONE)
        return;
    s->on_trial = true;
    qr_requests_trial(r->g, &r->fingerprint);
}

void qr_relay_suspect_sent(QRRelay *r, QRSending *s)
{
    join_trial(r, s);
}

void qr_relay_suspect_over(QRRelay *r, QRSending *s)
{
    if (!s->on_trial)
        return;
    s->on_trial = false;
    qr_requests_trial_over(r->g, &r->fingerprint);
}

void qr_relay_suspect_broke(QRRelay *r, QRSending *s)
{
    const QREngine *e = qr_sending_engine(r, s);
    QRBrokenCall call = {r->id, &r->fingerprint, s->sent_ms, s->on_trial};

    /* one that said that it would leave, or whose record went, has ended as
       planned; one that starts new weights cuts what still runs */
    if (!e || e->gone || qr_engine_is_leaving(e) ||
        (e->has_sidecar_report && e->sidecar_switching) || !make_fingerprint(r))
        return;
    s->on_trial = false; /* until it is known whether the engine has ended */
    qr_requests_broke(r->g, e, &call);
}

/* An answer that ends with its connection looks whole, too, where its engine
   has ended. */
static bool is_surely_whole(const QRRelay *r)
{
    const QRHeaders *h = &r->now.answer.headers;

    return qr_headers_get(h, "Content-Length") ||
           qr_headers_get(h, "Transfer-Encoding");
}

void qr_relay_suspect_answered(QRRelay *r)
{
    if (qr_requests_suspects_any(r->g) && is_surely_whole(r) &&
        make_fingerprint(r))
        qr_requests_answered(r->g, &r->fingerprint);
}

void qr_relay_join_trials(QRGateway *g)
{
    for (unsigned i = 0; i < g->relays->len; i++) {
        QRRelay *r = g->relays->pdata[i];

        if (r->now.call)
            join_trial(r, &r->now);
        if (r->held.call)
            join_trial(r, &r->held);
    }
}
