/*
 * What one run of an engine announces about itself in its response headers, as
 * seen by one gateway: shutdown, backoff and rate limit. The module does no
 * I/O; the caller passes the time.
 */
#ifndef QR_NOTICES_H
#define QR_NOTICES_H

#include "base/qr_base.h"

/* Response headers that describe the engine rather than the call. */
typedef struct QRAnswerNotice {
    bool leaving; /* the engine shuts down soon and accepts no new calls */
    bool has_limit, has_retry_after;
    bool has_no_limit;    /* success from the engine itself, without a limit */
    double limit_per_s;   /* requests from all gateways together */
    double retry_after_s; /* call rejected; this gateway must wait so long */
    const char *malformed_field; /* name of a malformed header, or NULL */
} QRAnswerNotice;

/*
 * A rate limit, or the statement that there is none. The statement with the
 * later as_of_ms applies. A limit dates from its response. The absence of a
 * limit dates from the request, because responses on several connections
 * overtake one another.
 */
typedef struct QRAnnouncedLimit {
    bool is_set;
    double per_s;
    uint64_t as_of_ms; /* 0: nothing was announced yet */
} QRAnnouncedLimit;

typedef struct QRNotices {
    bool leaving;
    bool malformed;            /* a header was malformed */
    uint64_t backoff_until_ms; /* 0: the engine never asked for a backoff */
    QRAnnouncedLimit limit;
    uint64_t limit_logged_ms;
} QRNotices;

/* Flags for what a response changed. */
typedef enum QRNoticeChange {
    QR_NOTICE_LEAVING = 1,
    QR_NOTICE_BACKOFF = 2,
    QR_NOTICE_LIMIT = 4,
    QR_NOTICE_MALFORMED = 8,
} QRNoticeChange;

/* Replaces 'limit' with 'latest' if that is later. Returns true if the limit
   itself changed, and not only its date. */
bool qr_announced_limit_update(QRAnnouncedLimit *limit,
                               const QRAnnouncedLimit *latest);
/* Applies the response to a request sent at 'sent_ms'. Returns the set of
   QRNoticeChange that are worth a log line. */
unsigned qr_notices_update(QRNotices *n, const QRAnswerNotice *answer,
                           uint64_t sent_ms, uint64_t now_ms);
/* Remaining time in ms in which this gateway must not send to the engine. */
uint64_t qr_notices_backoff_ms(const QRNotices *n, uint64_t now_ms);

#endif
