/*
 * Access of one sidecar to the origin of weights: when it may send a request,
 * and whether the origin is unreachable for all or only from this host. Makes
 * no request itself.
 *
 * While the origin is unreachable, one sidecar probes it and the others back
 * off, so that it is not flooded when it returns. Sidecars report to each other
 * that it answers; the report ends their backoff.
 */
#ifndef QR_ORIGIN_H
#define QR_ORIGIN_H

#include "base/qr_base.h"

typedef struct QROrigin {
    uint64_t answered_ms;      /* last answer to this sidecar; 0: none */
    uint64_t failing_since_ms; /* first failure since that answer; 0: none */
    unsigned failures;         /* since that answer */
    unsigned failures_here;    /* of these, after the origin answered a peer */
    uint64_t retry_ms;         /* no request before this time */
    /* last answer that a peer reported; 0: none */
    uint64_t peer_answered_ms;
    uint64_t yield_until_ms; /* other owners fetch for this sidecar */
    uint64_t reported_ms;    /* last report to the other owners */
} QROrigin;

/* A failed request. */
typedef struct QROriginFailure {
    bool probes;             /* this sidecar probes the origin for all */
    uint64_t retry_after_ms; /* as the origin asked; 0: it did not */
    uint64_t random;
} QROriginFailure;

bool qr_origin_may_request(const QROrigin *o, uint64_t now_ms);
void qr_origin_note_answer(QROrigin *o, uint64_t now_ms);
void qr_origin_note_failure(QROrigin *o, const QROriginFailure *f,
                            uint64_t now_ms);
/* A peer reports that the origin answered it at 'answered_ms'. */
void qr_origin_note_peer_answer(QROrigin *o, uint64_t answered_ms,
                                uint64_t random, uint64_t now_ms);
/* Whether other owners have to fetch the pieces of this sidecar: the origin
   answers them, but not this sidecar. */
bool qr_origin_must_yield(QROrigin *o, uint64_t now_ms);
/* Whether the origin has not answered this sidecar for so long that another one
   has to try, although nobody is known to be answered. */
bool qr_origin_is_failing(const QROrigin *o, uint64_t now_ms);
/* Whether to report to the other owners that the origin answers. If so, the
   report counts as sent. */
bool qr_origin_take_report(QROrigin *o, uint64_t now_ms);
/* Longest time for a connection to be accepted. */
unsigned qr_origin_connect_timeout_ms(const QROrigin *o);

#endif
