/*
 * Reads what an engine states about itself in the head of an answer: its rate
 * limit, a rest, its shutdown.
 */
#include "qr_relay_parts.h"

static void log_limit(const QRRelay *r, const QREngine *e)
{
    const QRAnnouncedLimit *limit = &e->notices.limit;

    qr_logf(QR_LEVEL_INFO, "engines",
            "engine stated limit=%.3f named=%d engine=%s id=%s", limit->per_s,
            limit->is_set, e->record->id, r->id);
}

/* Logs each change once, with the call whose answer caused it. */
static void log_changes(const QRRelay *r, const QREngine *e,
                        const QRAnswerNotice *notice, unsigned changes)
{
    if (changes & QR_NOTICE_LEAVING)
        qr_logf(QR_LEVEL_INFO, "engines",
                "engine announced its end engine=%s id=%s draining=%d",
                e->record->id, r->id, e->record->draining);
    if (changes & QR_NOTICE_BACKOFF)
        qr_logf(QR_LEVEL_INFO, "engines",
                "engine asked for rest_s=%.3f engine=%s id=%s",
                notice->retry_after_s, e->record->id, r->id);
    if (changes & QR_NOTICE_LIMIT)
        log_limit(r, e);
    if (changes & QR_NOTICE_MALFORMED)
        qr_logf(QR_LEVEL_WARN, "engines",
                "says what makes no sense engine=%s id=%s field=%s rest_s=%g "
                "limit=%g",
                e->record->id, r->id,
                notice->malformed_field ? notice->malformed_field : "-",
                notice->retry_after_s, notice->limit_per_s);
}

static void count_changes(QRGateway *g, unsigned changes)
{
    if (changes & QR_NOTICE_LEAVING)
        qr_relay_count(g, QR_COUNTER_said_leaving);
    if (changes & QR_NOTICE_BACKOFF)
        qr_relay_count(g, QR_COUNTER_said_rest);
    if (changes & QR_NOTICE_LIMIT)
        qr_relay_count(g, QR_COUNTER_said_limit);
}

void qr_relay_read_notice(QRRelay *r, const QRAttempt *a, unsigned status,
                          const QRHeaders *headers)
{
    QREngine *e = qr_attempt_engine(r, a);
    QRAnswerNotice notice;
    unsigned changes;

    /* a notice of an earlier engine process does not hold for this one */
    if (!e || e->record->born_ms != a->born_ms)
        return;
    r->g->platform->parse_notice(status, headers, &notice);
    changes = qr_notices_update(&e->notices, &notice, a->sent_ms,
                                qr_gateway_now(r->g));
    if (qr_engine_must_report_limit(e) || changes & QR_NOTICE_BACKOFF)
        qr_gateway_slots_changed(r->g, e);
    count_changes(r->g, changes);
    log_changes(r, e, &notice, changes);
}
