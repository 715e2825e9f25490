/*
 * A sidecar: one beside each engine. Fetches the weights that are named,
 * stages and checks them, orders the engine to start them, and tells gateways
 * what the engine serves. This header is the state that its parts share.
 */
#ifndef QR_SIDECAR_H
#define QR_SIDECAR_H

#include "fleet/qr_fleet_settings.h"
#include "fleet/qr_follower.h"
#include "fleet/qr_members.h"
#include "fleet/qr_operator.h"
#include "io/qr_log.h"
#include "net/qr_peer.h"
#include "net/qr_server.h"
#include "net/qr_whole.h"
#include "qr_sources.h"

#include <uv.h>

/* A piece of the target version. */
typedef struct QRPiece {
    GBytes *data;       /* checked against its digest, or NULL */
    bool staged;        /* lies at the engine, as far as we know */
    bool verified;      /* read back since, and found right */
    unsigned attempt;   /* sources that were tried and gave nothing */
    bool asked;         /* a peer was asked, at 'asked_ms' */
    bool pending;       /* it has none yet, and will tell */
    uint64_t asked_ms;
    char *source;       /* name of the peer asked */
    QRWhole *fetch; /* from the origin */
    QRWhole *stage; /* put or read back */
    bool reading;        /* 'stage' reads */
} QRPiece;

/* A peer that waits for a piece that is not here yet. */
typedef struct QRWaiter {
    QRPeerConn *peer;
    unsigned index;
} QRWaiter;

typedef struct QRSidecar {
    uv_loop_t *loop;
    QRFleetSettings *set;
    const char *settings_file;
    const QRPlatform *platform;
    QROperator operator;
    QRFleetMembers members;
    QRClient *to_engine, *to_origin, *to_store;
    QRFollower *follow_operator;
    QRPeerNet *peers;
    QRPeerConn *followed;     /* the gateway that tells us what it hears */
    GPtrArray *gateways;  /* QRPeerConn *: dialled and open */
    QRServer *metrics;
    uv_timer_t timer;
    uv_signal_t sigterm, sigint, sighup;
    uint64_t incarnation, slow_tick_ms, state_ms;
    /* the engine */
    QREngineReport report;
    bool reachable;       /* the engine answered its last report */
    uint64_t report_ms, report_next_ms, report_asked_ms;
    QRWhole *report_call;
    /* the target */
    char *model;
    uint64_t version, since_ms;
    QRManifest *manifest;
    QRWhole *manifest_call;
    uint64_t manifest_next_ms;
    GArray *pieces;       /* QRPiece */
    GArray *waiters;      /* QRWaiter: their pieces are not here yet */
    GQueue uploads;       /* QRWaiter *: pieces to send, first asked first */
    double upload_bytes;  /* that may be sent now; below 0: in debt */
    uint64_t upload_ms;   /* when that was last looked at */
    unsigned held;        /* pieces here */
    double window;        /* pieces that may be on their way to us at once */
    bool stage_scanned;   /* what lay at the engine was looked at */
    uint64_t progress_ms; /* when a piece last came */
    uint64_t verified_ms; /* when all pieces were last read back and right */
    /* the order */
    QRWhole *order_call;
    uint64_t order_next_ms, order_answered_ms;
    bool switching;       /* gateways were told that an order is coming, it is
                             out, or the engine is at work on it */
    uint64_t announced_ms; /* when gateways were told; 0: no order is coming */
    uint64_t origin_bytes, peer_pieces, orders;
    bool stopped;
} QRSidecar;

uint64_t qr_sidecar_now(const QRSidecar *s);
const QRService *qr_sidecar_service(const QRSidecar *s);
/* The order of the sidecars for the target version. */
void qr_sidecar_plan(const QRSidecar *s, QRSourcePlan *plan);
bool qr_sidecar_serves_target(const QRSidecar *s);

/* Weights: the target, its manifest, its pieces. */
void qr_weights_retarget(QRSidecar *s);
void qr_weights_tick(QRSidecar *s, uint64_t now_ms);
/* Sends pieces that peers asked for, no faster than the link may carry. */
void qr_weights_upload(QRSidecar *s, uint64_t now_ms);
void qr_weights_want(QRSidecar *s, QRPeerConn *peer, const Qr__Fleet__Want *want);
void qr_weights_piece(QRSidecar *s, QRPeerConn *peer,
                      const Qr__Fleet__Piece *piece);
void qr_weights_peer_closed(QRSidecar *s, const QRPeerConn *peer);
void qr_weights_clear(QRSidecar *s);

/* Staging at the engine, and the order to start. */
void qr_stage_tick(QRSidecar *s, uint64_t now_ms);
void qr_stage_scan(QRSidecar *s);

/* Peers. */
extern const QRPeerHandlers qr_sidecar_peer_handlers;
void qr_sidecar_tell_state(QRSidecar *s, bool news);
void qr_sidecar_peers_tick(QRSidecar *s);
/* The open connection to a sidecar, dialled if there is none yet; or NULL. */
QRPeerConn *qr_sidecar_peer_at(QRSidecar *s, const char *address);

int qr_sidecar_run(const char *settings_file, QRFleetSettings *set);

#endif
