/*
 * A sidecar process runs beside each engine. It fetches the weights that the
 * operator names, stages and verifies them, orders the engine to start them,
 * and reports to gateways which version the engine serves. This header holds
 * the state that the sidecar's modules share.
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
#include "qr_upload_limiter.h"
#include "qr_origin.h"
#include "qr_progress.h"
#include "fleet/qr_slots.h"
#include "qr_sources.h"
#include "qr_version_schedule.h"

#include <uv.h>

typedef struct QRSidecar QRSidecar;

/* A sidecar learns within this time after its start which others there are.
   Before that it would own the pieces of others. */
#define QR_MEMBERS_KNOWN_MS 1000

#define QR_STAGE_CONNECT_MS 500
#define QR_STAGE_TIMEOUT_MS 2000
/* A request whose connection ended without an answer, and of which nothing else
   tells whether the engine executed it, is taken for lost after so long. */
#define QR_ENGINE_SETTLE_MS 30000
/* The same for requests of the sidecar process before this one, of which
   nothing is known, from the start of this process. */
#define QR_PREDECESSOR_SETTLE_MS 2500

/* One piece of a version's weights, or its manifest. */
typedef struct QRPiece {
    GBytes *data;         /* its digest has been verified; or NULL */
    bool staged;          /* stored at the engine, as far as known */
    bool verified;        /* read back after staging and found intact */
    uint64_t verified_ms; /* when the request that read it back was sent */
    QRSourceAttempts attempts;
    QRPieceRole role;          /* role in which peers ask this sidecar for it */
    bool uses_role;            /* its source follows 'role': waiting failed */
    bool yielded;              /* another root fetches it for this sidecar */
    uint64_t yielded_ms;       /* since when */
    uint64_t probe_since_ms;   /* manifest: asks the origin since; 0: not yet */
    bool owned_at_first;       /* this sidecar owned it when it was named */
    uint64_t holders_asked_ms; /* when relays were asked whether they hold it,
                                  before it is fetched again; 0: never */
    uint64_t holder_found_ms;  /* a relay has queued it; 0: none has */
    bool from_root;            /* the peer asked is a root, not a relay */
    bool asked;                /* a peer was asked at 'asked_ms' */
    bool answered;             /* the peer asked has sent some reply */
    bool pending;              /* the peer will send a reply once it has it */
    uint64_t asked_ms;         /* of the request or the last PENDING reply */
    uint64_t first_asked_ms;   /* of the first request to 'source' */
    uint64_t dial_ms;          /* start of dialling the peer; 0: not dialling */
    char *source;              /* name of the peer asked */
    const void *asked_conn;    /* connection to it; not owned, may be closed */
    QRBufferedCall *fetch;     /* request to the origin, or NULL */
    QRBufferedCall *read_back; /* request to the engine, or NULL */
    uint64_t read_back_ms;     /* when it was sent */
} QRPiece;

/*
 * A piece that is being stored at the engine. It outlives its target: the
 * engine may store what it has received long after the connection has ended.
 */
typedef struct QRStagePut {
    QRSidecar *sidecar;
    uint64_t version;
    unsigned index;
    char digest[QR_SHA_HEX]; /* of the piece */
    bool observable;         /* the place held something else before, so the
                                piece is read there once the put was executed */
    uint64_t sent_ms;
    QRBufferedCall *call; /* NULL: ended without an answer */
    uint64_t settled_ms;  /* without 'call': taken for lost at this time */
    QRBufferedCall *place_read; /* reads the place, or NULL */
    uint64_t read_next_ms;
} QRStagePut;

/*
 * A version that this sidecar fetches. A newer version may be named while an
 * older one is being fetched; each version has its own deadline, so the fetch
 * of the older one continues.
 */
typedef struct QRTarget {
    QRSidecar *sidecar;
    uint64_t version;
    uint64_t named_ms;       /* when it was named; 0: age not known */
    QRManifest *manifest;    /* NULL: not fetched yet */
    QRPiece *manifest_piece; /* state of fetching the manifest; owned */
    GArray *pieces;          /* QRPiece; NULL without a manifest */
    unsigned held_pieces;    /* number of pieces in memory */
    QRProgress progress;
    uint64_t logged_ms;     /* when the progress was last logged */
    uint64_t first_tick_ms; /* when its pieces were first looked at; 0: not */
    /* not fetched: a newer version will be served within this one's bound */
    bool skipped;
    uint64_t complete_forecast_ms; /* by the schedule; 0: unknown */
    bool forecast_in_time;
    bool scanning;
    bool scanned;     /* pieces stored at the engine have been listed */
    bool found_whole; /* that scan found all pieces intact */
    bool scouted;     /* a piece was passed on, to learn whether the origin
                         answers another root */
} QRTarget;

/* A peer's request for a piece. */
typedef struct QRWaiter {
    QRPeerConn *peer;
    QRTarget *target; /* NULL: this sidecar does not know 'version' yet */
    uint64_t version;
    uint32_t index;
    unsigned upload_priority; /* lowest is sent first */
    /* what the request said; adopted once the piece is known */
    QRPieceRole role;
    QRSourceAttempts tried;
    bool passed_on;
    bool adopted;
} QRWaiter;

struct QRSidecar {
    uv_loop_t *loop;
    QRFleetSettings *set;
    const char *settings_file;
    const QRPlatform *platform;
    QROperator operator;
    QRFleetMembers members;
    QRClient *engine_client, *origin_client, *store_client;
    QRFollower *operator_follower;
    QRPeerNet *peers;
    QRPeerConn *followed_gateway; /* it relays operator records and members */
    uint64_t gateways_fetch_ms; /* when a list of gateways was last asked for */
    uint64_t followed_until_ms; /* when a gateway was last followed, or start */
    uint64_t gateway_heard_ms;  /* when that gateway last sent a frame */
    bool reads_store;           /* operator records are read from the store */
    GPtrArray *gateways;        /* QRPeerConn *: open, dialled by this side */
    QRAccount clients;          /* memory that clients of 'metrics' hold */
    QRServer *metrics;
    uv_timer_t timer;
    QRTicks ticks;
    uv_signal_t sigterm, sigint, sighup;
    double sent_pace; /* of the engine, as last sent to gateways */
    uint64_t incarnation, slow_tick_ms, state_sent_ms;
    /* the engine */
    QREngineReport report;
    bool report_unreadable; /* the last one; logged once in a row */
    bool reachable;         /* the engine answered its last report */
    uint64_t report_ms, report_next_ms, report_asked_ms;
    /* of the last report that was answered: when it was asked for, and what it
       said; an answer of 0 means that it does not say */
    uint64_t confirmed_ms, confirmed_born_ms, confirmed_sequence;
    QRBufferedCall *report_call;
    QRSlots slots;
    /* weights */
    char *model;
    GPtrArray *targets; /* QRTarget *, older first; the last is the newest */
    uint64_t staged_version;   /* last one staged at the engine; 0: not known */
    uint64_t staging_version;  /* version that is being staged */
    GPtrArray *stage_puts;     /* QRStagePut *: owned */
    GHashTable *stage_content; /* index of a piece -> digest of what is stored
                                  at the engine, "": nothing; owned */
    GArray *waiters;           /* QRWaiter: for pieces not held yet */
    GQueue uploads; /* QRWaiter *: pieces to send, by upload_priority */
    GArray *unconfirmed_uploads; /* sent, not yet confirmed by the peer */
    QRUploadLimiter upload_limiter;
    uint64_t link_slow_until_ms; /* see qr_link_is_slow() */
    uint64_t pending_refresh_ms; /* next PENDING reply to the waiters */
    QROrigin origin;
    uint64_t schedule_ms; /* when versions were last scheduled */
    uint64_t started_ms;
    uint64_t members_asked_ms; /* the followed gateway was asked for its list of
                                  members, and may still send it; 0: it was
                                  not, or that is over */
    uint64_t origin_used_ms;   /* its last reply; 0: no idle connection */
    double piece_window;       /* limit of pieces requested at once */
    /* the order to the engine to start a version */
    QRBufferedCall *order_call;
    uint64_t order_next_ms, order_answered_ms;
    uint64_t ordered_version, ordered_sequence; /* of the last order */
    uint64_t order_sent_ms;
    uint64_t order_settled_ms; /* an order without an answer is not executed
                                  later than this; 0: none is open */
    bool switching;        /* an order has been announced to gateways, was sent,
                              or is being executed by the engine */
    uint64_t announced_ms; /* when gateways were told; 0: no order is due */
    uint64_t origin_bytes, peer_pieces, orders;
    uint64_t origin_pieces, origin_failures, origin_yields, versions_skipped;
    bool reported_slow_link; /* last link state sent to gateways */
    bool stopped;
};

uint64_t qr_sidecar_now(const QRSidecar *s);
const QRService *qr_sidecar_service(const QRSidecar *s);
/* Initializes 'plan', which ranks the sidecars for fetching 'version'. The
   caller clears it. */
void qr_sidecar_plan(const QRSidecar *s, uint64_t version, QRSourcePlan *plan);
/* The newest version named by the operator; 0: none is known. */
uint64_t qr_sidecar_newest_version(const QRSidecar *s);
/* The expected time in ms until the engine serves the newest version; 0: it
   does already, or nothing is known. */
uint64_t qr_sidecar_ready_in_ms(const QRSidecar *s, uint64_t now_ms);
/* Whether the engine serves 'version' of the model, or a newer one. */
bool qr_sidecar_serves(const QRSidecar *s, uint64_t version);
/* The newest version that is fetched completely or served; 0: none. */
uint64_t qr_sidecar_held_version(const QRSidecar *s);

/* Weights: targets, their manifests and pieces. */
/* Adds a target if the operator has named a newer version. */
void qr_weights_update_targets(QRSidecar *s);
void qr_weights_tick(QRSidecar *s, uint64_t now_ms);
/* Sends pieces that peers asked for, within the link's rate limit. */
void qr_upload_send_queued(QRSidecar *s, uint64_t now_ms);
void qr_weights_handle_want(QRSidecar *s, QRPeerConn *peer,
                            const Qr__Fleet__Want *want);
void qr_weights_handle_piece(QRSidecar *s, QRPeerConn *peer,
                             const Qr__Fleet__Piece *piece);
void qr_weights_peer_closed(QRSidecar *s, const QRPeerConn *peer);
void qr_weights_clear(QRSidecar *s);
/* Parses the manifest; 'data' stays with the caller. Returns false if it is
   invalid or describes another version or model. */
bool qr_target_set_manifest(QRTarget *t, const void *data, size_t len);
/* Longest answer with a piece, in bytes; 0: the size of pieces is unknown. */
size_t qr_target_piece_max_bytes(const QRTarget *t);
/* Requests a piece, or the manifest, from its source if a request is due. */
void qr_piece_tick(QRTarget *t, uint32_t index, const QRSourcePlan *plan,
                   uint64_t now_ms);
/* Whether pieces arrive so slowly that calls to the engine queue behind them
   on the link. */
bool qr_link_is_slow(QRSidecar *s, uint64_t now_ms);
void qr_link_note_slow(QRSidecar *s, uint64_t now_ms);
/*
 * Checks and stores a received piece and notifies the peers that wait for it.
 * 'from' names the source for the log. Returns false if the bytes are not the
 * piece.
 */
bool qr_piece_accept(QRTarget *t, uint32_t index, const void *data, size_t len,
                     const char *from);
/* Requests the piece from the origin if the origin, the other requests and the
   members that are known allow. */
void qr_piece_request_from_origin(QRTarget *t, uint32_t index,
                                  const QRSourcePlan *plan, uint64_t now_ms);
/* Reports to the other roots that the origin answers, if that is due. */
void qr_pieces_report_origin(QRSidecar *s, uint64_t now_ms);
/* A peer reports that the origin answers it. */
void qr_pieces_handle_origin_state(QRSidecar *s,
                                   const Qr__Fleet__OriginState *state);
/* Number of open requests to the origin. */
unsigned qr_pieces_count_origin_requests(const QRSidecar *s);
/* Tells peers that wait for a piece that it has arrived. */
void qr_piece_notify_waiters(QRTarget *t, uint32_t index);
/* Repeats to waiting peers that their pieces are still pending. */
void qr_pieces_notify_pending(QRSidecar *s, uint64_t now_ms);
/* Closes connections to the origin that have been idle for a while. */
void qr_pieces_close_idle_origin(QRSidecar *s, uint64_t now_ms);

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
static inline bool qr_target_is_complete(const QRTarget *t)
{
    return t->pieces && t->held_pieces == t->pieces->len;
}

/* Returns the target of the version, or NULL. */
QRTarget *qr_target_find(const QRSidecar *s, const char *model,
                         uint64_t version);
/* Assigns a new target to peers that already wait for its version. */
void qr_upload_bind_target(QRSidecar *s, QRTarget *t);
/* Takes over what the waiting peers said of pieces that are known by now. */
void qr_upload_adopt_requests(QRTarget *t);
/* Sends a peer the state of the piece that it asked for. */
void qr_upload_send_state(const QRWaiter *w, Qr__Fleet__Piece__State state);
/*
 * Sends 'state' to waiters that were removed from the lists ('out' holds
 * QRWaiter). Sending may close a peer, which removes that peer's waiters from
 * the lists; for that reason no message is sent while a list is iterated.
 */
void qr_upload_send_state_all(const GArray *out, Qr__Fleet__Piece__State state);
/* Removes the waiters of 'target' or 'peer'; those of a target are notified. */
void qr_upload_drop_waiters(QRSidecar *s, const QRTarget *target,
                            const QRPeerConn *peer);
/* Notes that a piece sent to 'peer' has arrived. */
void qr_upload_note_received(QRSidecar *s, const QRPeerConn *peer);
GArray *qr_upload_in_flight_new(void);
/* Redirects peers that wait for pieces missing from the engine's stage. */
void qr_upload_reject_missing(QRTarget *t);
/* Redirects all peers that wait for pieces, because this link is slow. */
void qr_upload_reject_queued(QRSidecar *s);

/* Staging of pieces at the engine, and the order to start a version. */
void qr_stage_tick(QRSidecar *s, uint64_t now_ms);
/* Resets the staging state after a restart of the engine. */
void qr_stage_reset(QRSidecar *s);
/* A report shows whether an order without an answer was executed. */
void qr_stage_note_report(QRSidecar *s, const QREngineReport *report);
/* Whether the engine may still execute an order. */
bool qr_stage_order_is_open(const QRSidecar *s, uint64_t now_ms);
void qr_stage_puts_init(QRSidecar *s);
void qr_stage_puts_clear(QRSidecar *s);
/* Stores a piece that is in memory at the engine. */
void qr_stage_put_send(QRTarget *t, unsigned index);
/* Number of requests, of any version, that the engine is expected to answer
   soon. */
unsigned qr_stage_puts_open(const QRSidecar *s);
/* Whether the engine has not too many slow requests open for one more. */
bool qr_stage_puts_allow_more(const QRSidecar *s);
/* Whether the place of the piece at the engine must be left alone: a request
   that stores there is in progress, or the engine may still execute one of
   another version. */
bool qr_stage_put_blocks(const QRTarget *t, unsigned index);
/* Reads the places of unanswered requests, and forgets requests that the engine
   can no longer execute. */
void qr_stage_puts_tick(QRSidecar *s, uint64_t now_ms);
/* The engine was restarted after 'since_ms': it executes nothing that was sent
   by then. */
void qr_stage_puts_note_restart(QRSidecar *s, uint64_t since_ms);
/* A read of the place of a piece found bytes of this digest; "": none. */
void qr_stage_puts_note_content(QRSidecar *s, unsigned index,
                                const char *digest);

/* Connections to gateways and other sidecars. */
extern const QRPeerHandlers qr_sidecar_peer_handlers;
/* Sends the engine's state to all gateways: at once if 'changed', else once per
   interval. */
void qr_sidecar_send_state(QRSidecar *s, bool changed);
void qr_sidecar_peers_tick(QRSidecar *s);
/* Returns the open connection to a sidecar. Returns NULL, and dials, if there
   is none. */
QRPeerConn *qr_sidecar_open_peer(QRSidecar *s, const char *address);

/* Runs until SIGTERM or SIGINT. Returns the exit status of the process. */
int qr_sidecar_run(const char *settings_file, QRFleetSettings *set);

#endif
