/*
 * Decides when a refused caller should return: when room is expected for it.
 *
 * The slots that become free beyond the usual demand go to the calls in the
 * queue, then to the callers that were told to return before. A caller that
 * returns is served like any other; the turns only keep callers from returning
 * together. No clock and no random source.
 */
#ifndef QR_RETRY_AFTER_H
#define QR_RETRY_AFTER_H

#include "qr_slot_rate.h"

#define QR_RETRY_BUCKET_MS 100
/* Turns are given up to 12.8 s ahead: a third of the time left of a caller that
   waits for 38 s. */
#define QR_RETRY_BUCKETS 128

/* The turns that one gateway gave for one service. Zeroed memory: none. */
typedef struct QRRetryAfter {
    uint64_t first; /* number of the current bucket */
    double credit;  /* slots left over from earlier buckets */
    double came;    /* callers whose turn has passed; a decayed count */
    uint16_t turns[QR_RETRY_BUCKETS]; /* a ring */
} QRRetryAfter;

typedef enum QRTurn {
    QR_TURN_NONE,  /* nothing is known of when there will be room */
    QR_TURN_FREE,  /* a slot is expected to become free for the caller */
    QR_TURN_FULL,  /* no slot within the time that the caller can use */
    QR_TURN_READY, /* an engine is expected to take calls again */
} QRTurn;

/* A caller that is refused. */
typedef struct QRRefusedCaller {
    uint64_t now_ms;
    uint64_t left_ms;      /* until its deadline */
    double mean_call_ms;   /* of calls of the service */
    double turnover_per_s; /* see qr_slot_rate_turnover() */
    double recent_per_s;   /* see qr_slot_rate_recent() */
    unsigned queued;       /* calls that wait for slots here */
    uint64_t random;
} QRRefusedCaller;

/* Gives a turn. 'delay_ms' is set in any case, to 1 or more: without a turn, to
   a duration of a call, in which the slots that are in use become free. */
QRTurn qr_retry_after_take_turn(QRRetryAfter *t, const QRRefusedCaller *c,
                                unsigned *delay_ms);
/* The same while no engine takes calls and the first one is expected to in
   'ready_ms'; UINT64_MAX: that is not known. Counts no turn. */
QRTurn qr_retry_after_ready(const QRRefusedCaller *c, uint64_t ready_ms,
                            unsigned *delay_ms);
/* The word for the log. */
const char *qr_turn_name(QRTurn turn);

#endif
