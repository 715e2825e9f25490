/*
 * Detects and shares suspects: requests, and parts of prompts, that may crash
 * engines. A gateway learns of them from its own calls that break off when an
 * engine ends, from other gateways, and from the store, which lists what is
 * held. qr_suspects decides what is held.
 */
#ifndef QR_REQUESTS_H
#define QR_REQUESTS_H

#include "fleet/qr_members.h"
#include "fleet/qr_engines.h"
#include "fleet/qr_follower.h"
#include "net/qr_peer.h"
#include "qr_suspects.h"

/* Path on the metrics address that lists the held requests. */
#define QR_HELD_PATH "/held"

typedef struct QRGateway QRGateway;

typedef struct QRRequests {
    QRSuspects suspects;
    GPtrArray *runs; /* EngineRun *: runs of engines that may have ended */
    GArray *cleared; /* QRFingerprint: answers to be reported to gateways */
    QRFollower *follower;
    QRBufferedCall *write;         /* write to the store in progress, or NULL */
    QRFingerprint writing_request; /* the request that 'write' is about */
    bool is_polling;               /* keeps reading the store */
    unsigned writing_level;        /* record_level() of what is being written */
    uint64_t next_write_ms;        /* earliest time of the next write */
    uint64_t next_sweep_ms;
    unsigned long_lists; /* lists of parts, of any gateway, blamed in part */
} QRRequests;

/* A call whose connection ended before the engine's answer was complete, or was
   known to be complete. */
typedef struct QRInterruptedCall {
    const char *id;
    const char *parts;    /* shared parts of its prompt, for the log */
    GArray *fingerprints; /* QRFingerprint: of the request, then of its parts */
    uint64_t team;        /* hash of its name */
    uint64_t sent_ms;
    bool answered;     /* nothing is missing if the engine has not ended */
    bool blames_parts; /* a part may have crashed the engine */
    GArray *trials; /* QRFingerprint, or NULL; given to the callee, which ends
                       the trials once the engine's state is known */
} QRInterruptedCall;

void qr_requests_init(QRGateway *g);
/* Starts reading the store's records of held requests. */
void qr_requests_follow(QRGateway *g);
/* Schedules new writes of the records that the store may have lost when it went
   back to an earlier state and began 'epoch'. */
void qr_requests_rewrite_lost(QRGateway *g, uint64_t epoch);
/* To be called before the connections to the store are closed. */
void qr_requests_unfollow(QRGateway *g);
void qr_requests_clear(QRGateway *g);
void qr_requests_tick(QRGateway *g, uint64_t now_ms);
/* Whether any request is suspect. If not, no fingerprint is needed. */
bool qr_requests_has_suspects(const QRGateway *g);
/* Returns whether the request, or one of that team with the part, may be sent
   now. */
QRSuspicion qr_requests_check(QRGateway *g, const QRFingerprint *f,
                              uint64_t team);
/* Returns for how many ms the suspect stays held; 0: it is not held. */
uint64_t qr_requests_hold_left_ms(const QRGateway *g, const QRFingerprint *f);
/* A sending of a suspect begins, or is over. */
void qr_requests_trial_started(QRGateway *g, const QRFingerprint *f);
void qr_requests_trial_ended(QRGateway *g, const QRFingerprint *f);
/* Checks whether the engine has ended, and records the call in that case. */
void qr_requests_call_interrupted(QRGateway *g, const QREngine *engine,
                                  const QRInterruptedCall *call);
/* The engine's answer to the request was complete. */
void qr_requests_note_answer(QRGateway *g, const GArray *fingerprints);
/* The known run of the engine has ended. */
void qr_requests_engine_ended(QRGateway *g, const char *engine);
/* Takes in what another gateway reports. */
void qr_requests_receive(QRGateway *g, const Qr__Fleet__Requests *list);
/* Passes a report on between our region and others, if that is up to this
   gateway. */
void qr_requests_relay(QRGateway *g, const QRFleetMember *from,
                       const Qr__Fleet__Requests *list);
/* Sends the known suspects to a gateway that has just connected. */
void qr_requests_send_known(QRGateway *g, QRPeerConn *peer);
/* Returns the suspects whose trials are reported to all gateways, the held ones
   and the leading parts, as JSON. The caller frees the text. */
char *qr_requests_json(const QRGateway *g);

#endif
