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
#include "net/qr_clock.h"
#include "net/qr_peer.h"
#include "net/qr_server.h"
#include "net/qr_ticks.h"
#include "net/qr_buffered_call.h"
#include "qr_pace.h"
#include "qr_progress.h"
#include "fleet/qr_slots.h"
#include "qr_sources.h"

#include <uv.h>

typedef struct QRSidecar QRSidecar;

/* A piece of a version. */
typedef struct QRPiece {
    GBytes *data;         /* checked against its digest, or NULL */
    bool staged;          /* lies at the engine, as far as we know */
    bool verified;        /* read back since, and found right */
    uint64_t verified_ms; /* when that was */
    QRSourceAttempts tried;
    QRPieceRole role;        /* what those who ask for it take us for */
    bool goes_by_role;       /* it is drawn so: waiting for others was vain */
    bool from_root;          /* the peer asked is a root, else a relay */
    bool asked;              /* a peer was asked, at 'asked_ms' */
    bool heard;              /* it answered, with whatever */
    bool pending;            /* it has none yet, and will tell */
    uint64_t asked_ms;       /* or when it last said that it is pending */
    uint64_t first_asked_ms; /* this source */
    uint64_t dial_ms;        /* since when the peer is dialled for it; 0: not */
    char *source;            /* name of the peer asked */
    const void *asked_on;    /* its connection; not owned, may be closed */
    QRBufferedCall *fetch;   /* from the origin */
    QRBufferedCall *stage;   /* put or read back */
    bool reading;            /* 'stage' reads */
} QRPiece;

/*
 * A version that this sidecar brings here. A newer one may be named while the
 * older one is on its way; each has its own bound, so both go on.
 */
typedef struct QRTarget {
    QRSidecar *sidecar;
    uint64_t version;
    uint64_t since_ms;       /* when it was named; 0: long ago */
    QRManifest *manifest;    /* NULL: not here yet */
    QRPiece *manifest_piece; /* its bytes, and how they are drawn; owned */
    GArray *pieces;          /* QRPiece; NULL without a manifest */
    unsigned held;           /* pieces here */
    QRProgress progress;
    uint64_t told_ms; /* when its progress was last logged */
    bool scanning;
    bool scanned; /* what lay at the engine was looked at */
} QRTarget;

/* A peer that waits for a piece. */
typedef struct QRWaiter {
    QRPeerConn *peer;
    QRTarget *target; /* NULL: its version has not been heard of here yet */
    uint64_t version;
    uint32_t index;
    unsigned order; /* among those whose pieces are to be sent */
} QRWaiter;

struct QRSidecar {
    uv_loop_t *loop;
    QRFleetSettings *set;
    const char *settings_file;
    const QRPlatform *platform;
    QROperator operator;
    QRFleetMembers members;
    QRClient *to_engine, *to_origin, *to_store;
    QRFollower *follow_operator;
    QRPeerNet *peers;
    QRPeerConn *followed; /* the gateway that tells us what it hears */
    uint64_t followed_ms; /* until when one was followed, or the start */
    uint64_t told_ms;     /* when it last said anything */
    bool reads_store;     /* we read the operator's records ourselves */
    GPtrArray *gateways;  /* QRPeerConn *: dialled and open */
    QRServer *metrics;
    uv_timer_t timer;
    QRTicks ticks;
    uv_signal_t sigterm, sigint, sighup;
    uint64_t incarnation, slow_tick_ms, state_ms;
    /* the engine */
    QREngineReport report;
    bool report_unreadable; /* the last one; told once */
    bool reachable;         /* the engine answered its last report */
    uint64_t report_ms, report_next_ms, report_asked_ms;
    QRBufferedCall *report_call;
    QRSlots slots;
    /* weights */
    char *model;
    GPtrArray *targets; /* QRTarget *, older first; the last is the newest */
    uint64_t staged_version;  /* that we last put at the engine; 0: not known */
    uint64_t staging_version; /* whose turn it is to be staged */
    GArray *waiters;          /* QRWaiter: their pieces are not here yet */
    GQueue uploads; /* QRWaiter *: pieces to send, first asked first */
    GArray *sent;   /* pieces sent that have not arrived yet */
    QRPace upload_pace;
    uint64_t slow_until_ms;  /* see qr_link_is_slow() */
    uint64_t refresh_ms;     /* when those who wait here are told so next */
    uint64_t origin_next_ms; /* the origin failed: not asked before */
    uint64_t origin_used_ms; /* it last answered; 0: nothing rests open */
    double window;           /* pieces that may be on their way to us at once */
    /* the order */
    QRBufferedCall *order_call;
    uint64_t order_next_ms, order_answered_ms;
    uint64_t ordered_version;
    bool switching;        /* gateways were told that an order is coming, it is
                              out, or the engine is at work on it */
    uint64_t announced_ms; /* when gateways were told; 0: no order is coming */
    uint64_t origin_bytes, peer_pieces, orders;
    bool slow_told; /* what gateways were told of that */
    bool stopped;
};

uint64_t qr_sidecar_now(const QRSidecar *s);
const QRService *qr_sidecar_service(const QRSidecar *s);
/* The order of the sidecars for a version. */
void qr_sidecar_plan(const QRSidecar *s, uint64_t version, QRSourcePlan *plan);
/* The newest version named; 0: none is known. */
uint64_t qr_sidecar_newest(const QRSidecar *s);
/* Whether the engine serves that version of the model, or a newer one. */
bool qr_sidecar_serves(const QRSidecar *s, uint64_t version);
/* The newest version of which all pieces are here or at the engine; 0: none. */
uint64_t qr_sidecar_held(const QRSidecar *s);

/* Weights: targets, their manifests and pieces. */
void qr_weights_retarget(QRSidecar *s);
void qr_weights_tick(QRSidecar *s, uint64_t now_ms);
/* Sends pieces that peers asked for, no faster than the link may carry. */
void qr_weights_upload(QRSidecar *s, uint64_t now_ms);
void qr_weights_want(QRSidecar *s, QRPeerConn *peer,
                     const Qr__Fleet__Want *want);
void qr_weights_piece(QRSidecar *s, QRPeerConn *peer,
                      const Qr__Fleet__Piece *piece);
void qr_weights_peer_closed(QRSidecar *s, const QRPeerConn *peer);
void qr_weights_clear(QRSidecar *s);
/* Takes the manifest's bytes over. Returns false if they are not of it. */
bool qr_target_manifest(QRTarget *t, const void *data, size_t len);
/* Draws a piece, or the manifest, from where it is to be had, if it is due. */
void qr_piece_tick(QRTarget *t, uint32_t index, const QRSourcePlan *plan,
                   uint64_t now_ms);
/* Whether pieces come so slowly that calls to the engine wait behind them. */
bool qr_link_is_slow(QRSidecar *s, uint64_t now_ms);
void qr_link_note_slow(QRSidecar *s, uint64_t now_ms);
/* Requests to the origin that are under way. */
unsigned qr_pieces_from_origin(const QRSidecar *s);
/* Tells those who wait for a piece that it is here now. */
void qr_piece_came(QRTarget *t, uint32_t index);
/* Tells those who wait for pieces that we still see to it. */
void qr_pieces_refresh(QRSidecar *s, uint64_t now_ms);
/* Closes connections to the origin that have rested for a while. */
void qr_pieces_rest(QRSidecar *s, uint64_t now_ms);

static inline bool qr_target_has_index(const QRTarget *t, uint32_t index)
{
    return index == QR_MANIFEST_INDEX || (t->pieces && index < t->pieces->len);
}
static inline QRPiece *qr_piece(const QRTarget *t, uint32_t index)
{
    return index == QR_MANIFEST_INDEX
               ? t->manifest_piece
               : &g_array_index(t->pieces, QRPiece, index);
}
static inline bool qr_target_whole(const QRTarget *t)
{
    return t->pieces && t->held == t->pieces->len;
}

/* The target of that version, or NULL. */
QRTarget *qr_target_of(const QRSidecar *s, const char *model, uint64_t version);
/* A target is new: some may wait for it already. */
void qr_upload_target_came(QRSidecar *s, QRTarget *t);
/* Tells a peer how it stands with the piece that it wants. */
void qr_upload_tell(const QRWaiter *w, Qr__Fleet__Piece__State state);
/*
 * Tells those that were taken out of the lists (QRWaiter). Sending may close a
 * peer, and whatever waits there is then taken out, too: so nobody is told
 * while a list is walked.
 */
void qr_upload_tell_all(const GArray *out, Qr__Fleet__Piece__State state);
/* Forgets waiters of 'target' or 'peer'; those of a target are told so. */
void qr_upload_drop(QRSidecar *s, const QRTarget *target,
                    const QRPeerConn *peer);
/* A piece that was sent to 'peer' has arrived there. */
void qr_upload_taken(QRSidecar *s, const QRPeerConn *peer);
GArray *qr_upload_sent_new(void);
/* Sends those elsewhere who wait for pieces that the engine's stage lacked. */
void qr_upload_missing(QRTarget *t);
/* Sends those who wait for pieces elsewhere: our link is slow. */
void qr_upload_decline(QRSidecar *s);

/* Staging at the engine, and the order to start. */
void qr_stage_tick(QRSidecar *s, uint64_t now_ms);
/* The engine started anew: what lies there is not known. */
void qr_stage_forget(QRSidecar *s);

/* Peers. */
extern const QRPeerHandlers qr_sidecar_peer_handlers;
void qr_sidecar_tell_state(QRSidecar *s, bool news);
void qr_sidecar_peers_tick(QRSidecar *s);
/* The open connection to a sidecar, dialled if there is none yet; or NULL. */
QRPeerConn *qr_sidecar_peer_at(QRSidecar *s, const char *address);

int qr_sidecar_run(const char *settings_file, QRFleetSettings *set);

#endif
