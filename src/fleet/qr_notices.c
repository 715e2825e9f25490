/*
 * What one run of an engine has said of itself in its answers.
 */
#include "qr_notices.h"

/* Longer rests and higher limits than these are taken for mistakes. */
#define REST_MOST_S 3600
/* A rest is over later by the engine's clock: its answer was under way, and was
   read in a turn that had begun before. */
#define REST_MARGIN_MS 50
#define LIMIT_MOST_PER_S 1e6
#define LIMIT_LOG_MS 1000 /* between two lines on one engine's limit */

bool qr_limit_word_take(QRLimitWord *w, const QRLimitWord *news)
{
    bool changes;

    if (news->at_ms <= w->at_ms)
        return false;
    changes =
        news->named != w->named ||
        (news->named && (news->per_s < w->per_s || news->per_s > w->per_s));
    *w = *news;
    return changes;
}

static bool take_limit(QRNotices *n, const QRAnswerNotice *answer,
                       uint64_t sent_ms, uint64_t now_ms)
{
    QRLimitWord word = {answer->has_limit, answer->limit_per_s,
                        answer->has_limit ? now_ms : sent_ms};

    if (!qr_limit_word_take(&n->limit, &word) ||
        now_ms < n->limit_logged_ms + LIMIT_LOG_MS)
        return false;
    n->limit_logged_ms = now_ms;
    return true;
}

static bool take_rest(QRNotices *n, double rest_s, uint64_t now_ms)
{
    bool resting = now_ms < n->rest_until_ms;
    uint64_t until_ms = now_ms + (uint64_t)(rest_s * 1000) + REST_MARGIN_MS;

    n->rest_until_ms = MAX(n->rest_until_ms, until_ms);
    return !resting;
}

unsigned qr_notices_take(QRNotices *n, const QRAnswerNotice *answer,
                         uint64_t sent_ms, uint64_t now_ms)
{
    bool rest_is_odd = answer->has_rest && answer->rest_s > REST_MOST_S;
    bool limit_is_odd =
        answer->has_limit && answer->limit_per_s > LIMIT_MOST_PER_S;
    bool odd = answer->odd || rest_is_odd || limit_is_odd;
    unsigned news = 0;

    if (answer->leaving && !n->leaving)
        news |= QR_NOTICE_LEAVING;
    n->leaving = n->leaving || answer->leaving;
    if (answer->has_rest && answer->rest_s > 0 && !rest_is_odd &&
        take_rest(n, answer->rest_s, now_ms))
        news |= QR_NOTICE_REST;
    /* a limit that makes no sense is none that has ended */
    if ((answer->has_limit || answer->has_no_limit) && !limit_is_odd &&
        take_limit(n, answer, sent_ms, now_ms))
        news |= QR_NOTICE_LIMIT;
    if (odd && !n->odd)
        news |= QR_NOTICE_ODD;
    n->odd = n->odd || odd;
    return news;
}

uint64_t qr_notices_rest_ms(const QRNotices *n, uint64_t now_ms)
{
    return n->rest_until_ms - MIN(n->rest_until_ms, now_ms);
}
