/*
 * Service-level counts per team and service, kept in buckets of a minute.
 */
#ifndef QR_BURN_H
#define QR_BURN_H

#include "base/qr_json.h"

#define QR_BURN_BUCKETS 360 /* minutes: the longest window is six hours */

/* What became of a call; DEF(name, text, good). */
#define QR_OUTCOME_LIST                                                        \
    DEF(ANSWERED, "answered", true)                                            \
    DEF(LATE, "late", false)                                                   \
    DEF(FAILED, "failed", false)                                               \
    DEF(NOT_RUN, "not_run", false)                                             \
    DEF(UNKNOWN, "unknown", false)                                             \
    DEF(GONE, "caller_gone", true)

typedef enum QROutcome {
#define DEF(name, text, good) QR_OUTCOME_##name,
    QR_OUTCOME_LIST
#undef DEF
        QR_OUTCOME_COUNT
} QROutcome;

const char *qr_outcome_text(QROutcome o);

typedef struct QRBurnBucket {
    uint64_t minute;
    uint32_t good, bad;
} QRBurnBucket;

typedef struct QRBurn {
    uint64_t total[QR_OUTCOME_COUNT];
    QRBurnBucket buckets[QR_BURN_BUCKETS];
} QRBurn;

void qr_burn_count(QRBurn *b, QROutcome o, uint64_t now_ms);
/* Good and bad calls of the last 'minutes', the current one included. */
void qr_burn_window(const QRBurn *b, unsigned minutes, uint64_t now_ms,
                    uint64_t *good, uint64_t *bad);
/* {"totals": {...}, "windows": [{"minutes": n, "good": n, "bad": n}]} */
json_object *qr_burn_json(const QRBurn *b, uint64_t now_ms);

#endif
