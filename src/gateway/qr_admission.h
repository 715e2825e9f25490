/*
 * Decides whether a call for which no engine has room waits for a slot, and its
 * place in the queue.
 *
 * A call may wait until its latest start: with a later one it could not end in
 * the time that its caller has. The queue is there for calls that happen to
 * arrive together. While all slots of the service become free once, the number
 * of calls that arrive at random varies by about the square root of the slots;
 * the queues of all gateways hold twice that, each its part. Longer ones form
 * only while more calls arrive than end. They then never empty: they delay
 * every answer, and serve nobody more.
 *
 * No clock; times are inputs. The reasons are in
 * docs/design/time-work-and-waiting.md.
 */
#ifndef QR_ADMISSION_H
#define QR_ADMISSION_H

#include "base/qr_base.h"

/* A call that has no slot yet. */
typedef struct QRSlotDemand {
    uint32_t rank;       /* see qr_share_rank(); lower ones go first */
    uint32_t team;       /* see qr_share_team(); 0: slots are not shared */
    unsigned team_open;  /* calls of its team in progress; only for
                            qr_admission_displaced() */
    uint64_t expires_ms; /* deadline of the caller or the route, whichever is
                            earlier */
    double work_ms;      /* from sending to the end of the answer; 0: unknown */
} QRSlotDemand;

/* When slots become available to the calls of one service at this gateway. */
typedef struct QRSlotSupply {
    uint64_t now_ms;
    uint64_t ready_ms;  /* until any engine takes calls; 0: some do */
    double freed_per_s; /* slots that become free; 0: not known */
    unsigned slots;     /* that the calls of this gateway get */
    unsigned all_slots; /* of the service's engines */
} QRSlotSupply;

typedef enum QRAdmission {
    QR_ADMISSION_WAITS,
    QR_ADMISSION_TOO_LATE,   /* no slot before its latest start */
    QR_ADMISSION_QUEUE_FULL, /* the queue is as long as it may be */
} QRAdmission;

/* Latest time at which the call has to be sent to end in time; 0: it is past.
 */
uint64_t qr_admission_latest_start_ms(const QRSlotDemand *d);
/* Expected time until 'ahead' calls have got a slot, in ms; those of which
   nothing is known count as immediate. */
double qr_admission_wait_ms(const QRSlotSupply *s, unsigned ahead);
/* Longest queue of a gateway whose calls get 'slots' of 'all' slots. */
unsigned qr_admission_queue_max(unsigned slots, unsigned all);
/* Decides about a call with 'ahead' calls before it in the queue. */
QRAdmission qr_admission_decide(const QRSlotDemand *d, const QRSlotSupply *s,
                                unsigned ahead);
/*
 * Whether the call at place 'at' of the queue, counted from 0, lets 'd' go
 * before it: 'd' is more urgent; or both are of one rank, 'd' would miss its
 * latest start behind it, and the call itself still begins in time one place
 * later.
 */
bool qr_admission_goes_before(const QRSlotDemand *d,
                              const QRSlotDemand *waiting, unsigned at,
                              const QRSlotSupply *s);
/*
 * Chooses, of the 'n' calls in a full queue, the one that leaves it for 'd':
 * the last one of the team with most calls in progress and in the queue, among
 * those that are not more urgent, if that team has more than the team of 'd'
 * would have. Otherwise one team's callers could keep those of all others out.
 * Returns -1 if none leaves.
 */
int qr_admission_displaced(const QRSlotDemand *waiting, unsigned n,
                           const QRSlotDemand *d);
/* The word for the log. */
const char *qr_admission_name(QRAdmission a);

#endif
