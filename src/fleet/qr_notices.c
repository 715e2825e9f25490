/*
 * What one run of an engine announces about itself in its response headers.
 */
#include "qr_notices.h"

/* Longer backoffs and higher limits than these count as malformed. */
#define RETRY_AFTER_MAX_S 3600
/* Added to a backoff, which ends later by the engine's clock: the response was
   in transit, and is stamped with the start of the event loop iteration that
   read the response. */
#define BACKOFF_MARGIN_MS 50
#define LIMIT_MAX_PER_S 1e6
#define LIMIT_LOG_INTERVAL_MS 1000 /* between log lines per engine */

bool qr_announced_limit_update(QRAnnouncedLimit *limit,
                               const QRAnnouncedLimit *latest)
{
    bool changes;

    if (latest->as_of_ms <= limit->as_of_ms)
        return false;
    changes = latest->is_set != limit->is_set ||
              (latest->is_set &&
               (latest->per_s < limit->per_s || latest->per_s > limit->per_s));
    *limit = *latest;
    return changes;
}

static bool update_limit(QRNotices *n, const QRAnswerNotice *answer,
                         uint64_t sent_ms, uint64_t now_ms)
{
    QRAnnouncedLimit announced = {answer->has_limit, answer->limit_per_s,
                                  answer->has_limit ? now_ms : sent_ms};

    if (!qr_announced_limit_update(&n->limit, &announced) ||
        now_ms < n->limit_logged_ms + LIMIT_LOG_INTERVAL_MS)
        return false;
    n->limit_logged_ms = now_ms;
    return true;
}

static bool update_backoff(QRNotices *n, double retry_after_s, uint64_t now_ms)
{
    bool backing_off = now_ms < n->backoff_until_ms;
    uint64_t until_ms =
        now_ms + (uint64_t)(retry_after_s * 1000) + BACKOFF_MARGIN_MS;

    n->backoff_until_ms = MAX(n->backoff_until_ms, until_ms);
    return !backing_off;
}

unsigned qr_notices_update(QRNotices *n, const QRAnswerNotice *answer,
                           uint64_t sent_ms, uint64_t now_ms)
{
    bool retry_after_malformed =
        answer->has_retry_after && answer->retry_after_s > RETRY_AFTER_MAX_S;
    bool limit_malformed =
        answer->has_limit && answer->limit_per_s > LIMIT_MAX_PER_S;
    bool malformed =
        answer->malformed_field || retry_after_malformed || limit_malformed;
    unsigned changes = 0;

    if (answer->leaving && !n->leaving)
        changes |= QR_NOTICE_LEAVING;
    n->leaving = n->leaving || answer->leaving;
    if (answer->has_retry_after && answer->retry_after_s > 0 &&
        !retry_after_malformed &&
        update_backoff(n, answer->retry_after_s, now_ms))
        changes |= QR_NOTICE_BACKOFF;
    /* a malformed limit does not mean that the limit has ended */
    if ((answer->has_limit || answer->has_no_limit) && !limit_malformed &&
        update_limit(n, answer, sent_ms, now_ms))
        changes |= QR_NOTICE_LIMIT;
    if (malformed && !n->malformed)
        changes |= QR_NOTICE_MALFORMED;
    n->malformed = n->malformed || malformed;
    return changes;
}

uint64_t qr_notices_backoff_ms(const QRNotices *n, uint64_t now_ms)
{
    return n->backoff_until_ms - MIN(n->backoff_until_ms, now_ms);
}
