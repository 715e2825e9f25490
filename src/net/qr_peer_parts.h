/*
 * What the parts of connections between our own processes share: connections
 * and their frames (qr_peer.c), and the addresses that are dialled
 * (qr_peer_dial.c).
 */
#ifndef QR_PEER_PARTS_H
#define QR_PEER_PARTS_H

#include "qr_clock.h"
#include "qr_peer.h"
#include "qr_ticks.h"

/* An address to which a connection is kept open. */
typedef struct QRPeerTarget {
    char *address;
    QRPeerConn *peer;   /* or NULL */
    QRPeerConn *second; /* tried because 'peer' is mute, or not open; or NULL */
    uint64_t next_ms, second_next_ms;
    uint32_t pause_ms;
    QRPeerCare care;
} QRPeerTarget;

struct QRPeerConn {
    uv_tcp_t tcp;
    uv_connect_t connect;
    QRPeerNet *peers;
    QRPeerTarget *target; /* or NULL: the other side dialled */
    GByteArray *in;
    uint64_t since_ms;
    uint64_t heard_ms;       /* when bytes came last */
    uint64_t expect_ms;      /* since when an answer is due; 0: none is */
    uint64_t probed_ms;      /* when the other side was asked last */
    uint64_t frame_since_ms; /* when the frame being read began to come */
    bool open, closing;
    bool far; /* the other side is in another region */
    void *data;
};

struct QRPeerNet {
    uv_tcp_t tcp;
    uv_loop_t *loop;
    const QRPeerHandlers *handlers;
    void *owner;
    GPtrArray *all;      /* QRPeerConn * */
    GHashTable *targets; /* address -> QRPeerTarget */
    QRTraffic traffic, traffic_logged;
    uint64_t traffic_log_ms; /* when due next */
    QRTicks ticks;
    uint64_t replaced; /* connections that had gone silent */
    unsigned open;     /* connections */
    uint64_t alone_ms; /* since when none is open */
    bool closing;
};

/* A new connection, neither dialled nor accepted yet. */
QRPeerConn *qr_peer_new(QRPeerNet *p);
/* It is open: greets the other side, and reads. */
void qr_peer_start(QRPeerConn *peer);
/* Asks whether the other side is there, or answers that we are. */
void qr_peer_probe(QRPeerConn *peer, bool answer);

/* How long nothing was heard that might have been. */
uint64_t qr_peer_quiet_ms(const QRPeerConn *peer);

void qr_peer_target_free(void *target);
/* The target has one connection less. */
void qr_peer_target_lost(QRPeerTarget *t, const QRPeerConn *peer,
                         uint64_t now_ms);
/* A connection that was dialled is open: the next one is dialled soon. */
void qr_peer_target_reached(QRPeerTarget *t);
/*
 * The second connection to a target is answered. If the first is still mute,
 * that is dead. Returns whether the second counts now.
 */
bool qr_peer_second_counts(QRPeerConn *second);
void qr_peer_target_tick(QRPeerNet *p, QRPeerTarget *t, uint64_t now_ms);

#endif
