/*
 * Decides when a refused caller returns. The slots that become free for this
 * gateway's calls of a service in the coming seconds are allocated to the
 * callers that it refuses, one turn each. No clock and no random source.
 */
#ifndef QR_RETRY_AFTER_H
#define QR_RETRY_AFTER_H

#include "base/qr_base.h"

#define QR_RETRY_BUCKET_MS 100
/* Turns are allocated up to 12.8 s ahead: a third of the time left of a caller
   that waits for 38 s. */
#define QR_RETRY_BUCKETS 128
/* The part of the slots becoming free that is promised to retrying callers. In
   a lasting overload, with all of them, every first try would be refused once
   and every answer would be late. */
#define QR_RETRY_SHARE 0.25

/* The turns that one gateway allocated for one service. */
typedef struct QRRetryAfter {
    /* slots that became free */
    double freed;         /* decayed count */
    uint64_t freed_ms;    /* when 'freed' was last updated */
    uint64_t observed_ms; /* first slot that became free; 0: none so far */
    /* turns: a ring of buckets, each of QR_RETRY_BUCKET_MS */
    uint64_t first;                     /* number of the current bucket */
    double credit;                      /* turns carried from earlier buckets */
    uint16_t turns[QR_RETRY_BUCKETS];   /* within the share */
    uint16_t surplus[QR_RETRY_BUCKETS]; /* callers without room for a turn */
} QRRetryAfter;

typedef enum QRTurn {
    QR_TURN_NONE,  /* nothing is known, or too little time is left */
    QR_TURN_FREE,  /* a slot is expected to become free for the caller */
    QR_TURN_FULL,  /* no capacity within the time that the caller can use */
    QR_TURN_READY, /* an engine is expected to have its version */
} QRTurn;

/* A caller that is refused. */
typedef struct QRRefusedCaller {
    uint64_t now_ms;
    uint64_t left_ms;    /* until its deadline */
    double mean_call_ms; /* of calls of the service */
    unsigned open_calls; /* of this gateway, at engines of the service */
    uint64_t random;
} QRRefusedCaller;

/* Zeroed memory is a table without turns and without a known rate. */

/* A call of the service ended at an engine, and its slot became free. */
void qr_retry_after_slot_freed(QRRetryAfter *t, uint64_t now_ms);
/* Slots that become free for this gateway per second; 0: not known. */
double qr_retry_after_rate(const QRRetryAfter *t, uint64_t now_ms);
/* Allocates a turn. Sets 'delay_ms' unless it returns QR_TURN_NONE. */
QRTurn qr_retry_after_take_turn(QRRetryAfter *t, const QRRefusedCaller *c,
                                unsigned *delay_ms);
/* The same while no engine can serve and the first one is expected to in
   'ready_ms'. Allocates nothing. */
QRTurn qr_retry_after_ready(const QRRefusedCaller *c, uint64_t ready_ms,
                            unsigned *delay_ms);
/* The word for the log. */
const char *qr_turn_name(QRTurn turn);

#endif
