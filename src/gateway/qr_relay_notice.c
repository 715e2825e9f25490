/*
 * What an engine says of itself in the head of an answer to a call.
 */
#include "qr_relay_parts.h"

static void log_limit(const QRRelay *r, const QREngine *e)
{
    const QRAnnouncedLimit *limit = &e->notices.limit;

    qr_logf(QR_LEVEL_INFO, "engines",
            "says limit=%.3f named=%d engine=%s id=%s", limit->per_s,
            limit->is_set, e->record->id, r->id);
}

/* Each change of belief once, with the call whose answer made it. */
static void log_news(const QRRelay *r, const QREngine *e,
                     const QRAnswerNotice *notice, unsigned news)
{
    if (news & QR_NOTICE_LEAVING)
        qr_logf(QR_LEVEL_INFO, "engines",
                "says leaving engine=%s id=%s draining=%d", e->record->id,
                r->id, e->record->draining);
    if (news & QR_NOTICE_BACKOFF)
        qr_logf(QR_LEVEL_INFO, "engines", "says rest_s=%.3f engine=%s id=%s",
                notice->retry_after_s, e->record->id, r->id);
    if (news & QR_NOTICE_LIMIT)
        log_limit(r, e);
    if (news & QR_NOTICE_MALFORMED)
        qr_logf(QR_LEVEL_WARN, "engines",
                "says what makes no sense engine=%s id=%s field=%s rest_s=%g "
                "limit=%g",
                e->record->id, r->id,
                notice->malformed_field ? notice->malformed_field : "-",
                notice->retry_after_s, notice->limit_per_s);
}

static void count_news(QRGateway *g, unsigned news)
{
    if (news & QR_NOTICE_LEAVING)
        qr_relay_count(g, QR_COUNTER_said_leaving);
    if (news & QR_NOTICE_BACKOFF)
        qr_relay_count(g, QR_COUNTER_said_rest);
    if (news & QR_NOTICE_LIMIT)
        qr_relay_count(g, QR_COUNTER_said_limit);
}

void qr_relay_notice(QRRelay *r, const QRSending *s, unsigned status,
                     const QRHeaders *headers)
{
    QREngine *e = qr_sending_engine(r, s);
    QRAnswerNotice notice;
    unsigned news;

    /* what an earlier run said is not true of the one that is known now */
    if (!e || e->record->born_ms != s->born_ms)
        return;
    r->g->platform->parse_notice(status, headers, &notice);
    news = qr_notices_update(&e->notices, &notice, s->sent_ms,
                             qr_gateway_now(r->g));
    if (qr_engine_must_report_limit(e) || news & QR_NOTICE_BACKOFF)
        qr_gateway_slots_changed(r->g, e);
    count_news(r->g, news);
    log_news(r, e, &notice, news);
}
