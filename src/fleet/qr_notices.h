/*
 * What one run of an engine has said of itself in its answers, as one gateway
 * knows it: that it leaves, that it wants rest, and how many requests a second
 * it takes. No clock and no I/O: times are the caller's.
 */
#ifndef QR_NOTICES_H
#define QR_NOTICES_H

#include "base/qr_base.h"

/* The part of an answer's head that an engine says of itself. */
typedef struct QRAnswerNotice {
    bool leaving; /* it ends soon, and wants nothing new */
    bool has_limit, has_retry_after;
    bool has_no_limit;  /* a good answer of the engine itself that names none */
    double limit_per_s; /* requests that it takes, of all gateways together */
    double retry_after_s; /* turned away: nothing more from us for so long */
    const char
        *malformed_field; /* name of a field that makes no sense, or NULL */
} QRAnswerNotice;

/*
 * A rate limit, or that there is none. The later word holds: a limit is as late
 * as its answer, none as late as the request whose answer lacked it, since
 * answers on several connections overtake one another.
 */
typedef struct QRAnnouncedLimit {
    bool is_set;
    double per_s;
    uint64_t as_of_ms; /* 0: nothing was ever said */
} QRAnnouncedLimit;

typedef struct QRNotices {
    bool leaving;
    bool malformed;            /* a field made no sense */
    uint64_t backoff_until_ms; /* 0: it never wanted any */
    QRAnnouncedLimit limit;
    uint64_t limit_logged_ms;
} QRNotices;

/* What an answer has changed. */
typedef enum QRNoticeChange {
    QR_NOTICE_LEAVING = 1,
    QR_NOTICE_BACKOFF = 2,
    QR_NOTICE_LIMIT = 4,
    QR_NOTICE_MALFORMED = 8,
} QRNoticeChange;

/* Takes over the later one of two words. Returns true if that changed 'w'. */
bool qr_announced_limit_update(QRAnnouncedLimit *w,
                               const QRAnnouncedLimit *news);
/* Takes what the answer to a request sent at 'sent_ms' says. Returns the set of
   QRNoticeChange. */
unsigned qr_notices_update(QRNotices *n, const QRAnswerNotice *answer,
                           uint64_t sent_ms, uint64_t now_ms);
/* For how long yet it wants nothing more from us. */
uint64_t qr_notices_backoff_ms(const QRNotices *n, uint64_t now_ms);

#endif
