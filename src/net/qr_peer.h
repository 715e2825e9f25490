/*
 * Connections between our own processes: protobuf-c frames over TCP, kept
 * open, dialled again when they break or go silent.
 */
#ifndef QR_PEER_H
#define QR_PEER_H

#include "base/qr_base.h"
#include "qr_traffic.h"
#include "wire/fleet.pb-c.h"

#include <uv.h>

typedef Qr__Fleet__Frame QRFrame;

typedef struct QRPeerNet QRPeerNet;
typedef struct QRPeerConn QRPeerConn; /* one connection */

typedef struct QRPeerHandlers {
    /* Our greeting, sent first on every connection; packed at once. */
    void (*greet)(void *owner, QRFrame *frame, Qr__Fleet__Hello *hello);
    void (*frame)(void *owner, QRPeerConn *peer, const QRFrame *frame);
    void (*closed)(void *owner, QRPeerConn *peer);
} QRPeerHandlers;

QRPeerNet *qr_peers_new(uv_loop_t *loop, const char *listen,
                        const QRPeerHandlers *handlers, void *owner,
                        GError **err);
void qr_peers_close(QRPeerNet *p);
/*
 * Sees to it that a connection to 'address' is open or being tried, at once if
 * it was resting after a failure.
 */
void qr_peers_dial(QRPeerNet *p, const char *address);
/* The process there has started anew: what we dialled before is of no use. */
void qr_peers_redial(QRPeerNet *p, const char *address);
/* As qr_peers_dial(); returns the connection if it is open by now, else NULL.
 */
QRPeerConn *qr_peers_open_at(QRPeerNet *p, const char *address);
void qr_peers_tick(QRPeerNet *p, uint64_t now_ms);
void qr_peer_send(QRPeerConn *peer, const QRFrame *frame);
void qr_peer_close(QRPeerConn *peer);
void qr_peer_set_data(QRPeerConn *peer, void *data);
void *qr_peer_data(const QRPeerConn *peer);
/* 'data' is about to go: no connection may name it any more. */
void qr_peers_clear_data(QRPeerNet *p, const void *data);
/*
 * The other side has just greeted us on a connection that it dialled. It keeps
 * one: those that it dialled before are dead to it, though nothing may ever
 * tell us. Closes them, so that nothing is asked or told there.
 */
void qr_peer_close_older(QRPeerConn *peer);
/* How soon it matters that a connection which we dialled has gone silent. */
typedef enum QRPeerCare {
    QR_PEER_RESTS, /* not at all, until something is asked there */
    QR_PEER_TELLS, /* we tell on it what others rest on */
    QR_PEER_HEARS, /* words come on it that we rest on */
    QR_PEER_CARE_COUNT
} QRPeerCare;

void qr_peer_care(QRPeerConn *peer, QRPeerCare care);
/* Something was asked there: until anything comes it is as if it were heard. */
void qr_peer_expect(QRPeerConn *peer);
/* The address that was dialled, or NULL if the other side did. */
const char *qr_peer_dialled(const QRPeerConn *peer);
/* Bytes written and not yet taken by the kernel. */
size_t qr_peer_unsent(const QRPeerConn *peer);
/* How long the frame being handled took from its first byte to its last. */
uint64_t qr_peer_frame_ms(const QRPeerConn *peer);
/* The other side is in another region. */
void qr_peer_set_far(QRPeerConn *peer, bool far);
/* Connections so far that had gone silent and were replaced. */
uint64_t qr_peers_replaced(const QRPeerNet *p);
/* What was sent over all connections so far. */
const QRTraffic *qr_peers_traffic(const QRPeerNet *p);

#endif
