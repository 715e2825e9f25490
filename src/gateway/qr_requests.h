/*
 * Requests that may crash engines, as a gateway learns of them: from calls of
 * its own that break off where an engine ends, from other gateways, and from
 * the store, where it stands which are held back. qr_suspects judges.
 */
#ifndef QR_REQUESTS_H
#define QR_REQUESTS_H

#include "fleet/qr_engines.h"
#include "fleet/qr_follower.h"
#include "net/qr_peer.h"
#include "qr_suspects.h"

/* On the metrics address: requests that are held back. */
#define QR_HELD_PATH "/held"

typedef struct QRGateway QRGateway;

typedef struct QRRequests {
    QRSuspects suspects;
    GPtrArray *broken; /* BrokenRun *: runs of engines that may have ended */
    GArray *answered;  /* QRFingerprint: to be told to other gateways */
    QRFollower *follow;
    QRBufferedCall *write; /* to the store, under way, or NULL */
    QRFingerprint writing;
    bool reads;            /* the store goes on being read */
    unsigned writing_mark; /* what is written: see qr_requests_store.c */
    uint64_t write_ms;     /* when the store is written to next */
    uint64_t sweep_ms;
} QRRequests;

/* A call that broke off at an engine before its answer was whole. */
typedef struct QRBrokenCall {
    const char *id;
    const QRFingerprint *fingerprint;
    uint64_t sent_ms;
    bool on_trial; /* taken over: it is over once that is known of the engine */
} QRBrokenCall;

void qr_requests_init(QRGateway *g);
/* Begins to read what the store holds. */
void qr_requests_follow(QRGateway *g);
/* The store may have lost what was stored there: it is written again. */
void qr_requests_store_again(QRGateway *g, uint64_t epoch);
/* To be called before the connections to the store are closed. */
void qr_requests_unfollow(QRGateway *g);
void qr_requests_clear(QRGateway *g);
void qr_requests_tick(QRGateway *g, uint64_t now_ms);
/* Whether any request is suspect: else nobody needs fingerprints. */
bool qr_requests_suspects_any(const QRGateway *g);
QRSuspicion qr_requests_ask(QRGateway *g, const QRFingerprint *f);
/* For how long it is held back still; 0: it is not. */
uint64_t qr_requests_held_ms(const QRGateway *g, const QRFingerprint *f);
/* A sending of a request that is suspect begins, or is over. */
void qr_requests_trial(QRGateway *g, const QRFingerprint *f);
void qr_requests_trial_over(QRGateway *g, const QRFingerprint *f);
void qr_requests_broke(QRGateway *g, const QREngine *engine,
                       const QRBrokenCall *call);
void qr_requests_answered(QRGateway *g, const QRFingerprint *f);
/* The run of an engine that was known until now is over. */
void qr_requests_engine_over(QRGateway *g, const char *engine);
/* What another gateway knows. */
void qr_requests_heard(QRGateway *g, const Qr__Fleet__Requests *words);
/* Tells one that has just come all that is known. */
void qr_requests_welcome(QRGateway *g, QRPeerConn *peer);
/* Requests that are held back, or of which each try is told to all, as JSON.
   The caller frees it. */
char *qr_requests_json(const QRGateway *g);

#endif
