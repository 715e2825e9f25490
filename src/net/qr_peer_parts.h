/*
 * Structures shared by qr_peer.c (connections and their frames) and
 * qr_peer_dial.c (dialled addresses).
 */
#ifndef QR_PEER_PARTS_H
#define QR_PEER_PARTS_H

#include "qr_clock.h"
#include "qr_peer.h"
#include "qr_ticks.h"

#define QR_PEER_FRAME_MAX (4u << 20) /* bytes */

/* An address to which a connection is kept open. */
typedef struct QRPeerTarget {
    char *address;
    QRPeerConn *peer; /* or NULL */
    QRPeerConn
        *standby; /* dialled while 'peer' is silent or not open; or NULL */
    uint64_t next_dial_ms, next_standby_ms;
    uint32_t backoff_ms;
    QRPeerLiveness liveness;
} QRPeerTarget;

struct QRPeerConn {
    uv_tcp_t tcp;
    uv_connect_t connect;
    QRPeerNet *peers;
    QRPeerTarget *target; /* NULL: accepted connection */
    GByteArray *read_buf;
    uint64_t created_ms;
    uint64_t received_ms; /* when bytes last arrived */
    uint64_t
        awaiting_since_ms; /* when an unanswered request was sent; 0: none */
    uint64_t probed_ms;    /* when the last probe was sent */
    uint64_t
        frame_start_ms; /* when the first byte of the current frame arrived */
    bool open, closing;
    bool accepted;     /* rather than dialled */
    bool heard;        /* a valid frame has arrived */
    size_t partial;    /* bytes of an incomplete frame, counted in 'peers' */
    size_t read_size;  /* of 'read_buf', at least */
    bool cross_region; /* the other side is in another region */
    void *data;
};

struct QRPeerNet {
    uv_tcp_t tcp;
    uv_loop_t *loop;
    const QRPeerHandlers *handlers;
    void *owner;
    GPtrArray *connections; /* QRPeerConn * */
    size_t partial,
        partial_max; /* bytes of incomplete frames, and their limit */
    unsigned unheard, unheard_max; /* accepted connections without a frame */
    uint64_t frames_dropped, unheard_closed;
    GHashTable *targets; /* address -> QRPeerTarget */
    QRTraffic traffic, traffic_logged;
    uint64_t traffic_log_ms; /* when the next traffic log line is due */
    QRTicks ticks;
    uint64_t replaced; /* number of silent connections that were replaced */
    unsigned open;     /* number of open connections */
    uint64_t
        disconnected_ms; /* when the last open connection closed, or start */
    bool closing;
};

/* Creates a connection that is neither dialled nor accepted yet. */
QRPeerConn *qr_peer_new(QRPeerNet *p);
/* Marks a connection as open, sends the Hello frame and starts reading. */
void qr_peer_start(QRPeerConn *peer);
/* Counts the bytes of the incomplete frame of the connection. */
void qr_peer_count_partial(QRPeerConn *peer);
/* Closes connections until incomplete frames are within their limit. */
void qr_peers_limit_partial(QRPeerNet *p);
/* Makes room for one more accepted connection that has sent no frame. Returns
   false if none can be closed for it. */
bool qr_peers_make_room(QRPeerNet *p);
/* Closes connections whose frame has been incomplete for too long. */
void qr_peers_check_frames(QRPeerNet *p, uint64_t now_ms);
/* Sends a probe, or the answer to one. */
void qr_peer_probe(QRPeerConn *peer, bool answer);

/* Milliseconds since bytes last arrived, or since the unanswered request was
   sent if that was later. */
uint64_t qr_peer_silent_ms(const QRPeerConn *peer);

void qr_peer_target_free(void *target);
/* Clears 'peer' from the target and schedules the next attempt. */
void qr_peer_target_lost(QRPeerTarget *t, const QRPeerConn *peer,
                         uint64_t now_ms);
/* Resets the backoff after a dialled connection opened. */
void qr_peer_target_connected(QRPeerTarget *t);
/*
 * Called when a frame arrives on the standby connection of a target. Replaces
 * the first connection if that is still silent and returns true; otherwise
 * closes the standby connection and returns false.
 */
bool qr_peer_promote_standby(QRPeerConn *standby);
/* Dials, probes and gives up connections to one target as they are due. */
void qr_peer_target_tick(QRPeerNet *p, QRPeerTarget *t, uint64_t now_ms);

#endif
