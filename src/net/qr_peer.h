/*
 * TCP connections between quayring processes, which carry protobuf-c frames.
 * A connection that breaks or goes silent is dialled again.
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
    /* Fills in the Hello frame, the first one sent on every connection. The
       frame is packed on return, so its pointers need not outlive the call. */
    void (*greet)(void *owner, QRFrame *frame, Qr__Fleet__Hello *hello);
    /* A frame arrived; 'frame' is valid during the call only. */
    void (*frame)(void *owner, QRPeerConn *peer, const QRFrame *frame);
    /* An open connection closed; 'peer' is freed after the call. */
    void (*closed)(void *owner, QRPeerConn *peer);
} QRPeerHandlers;

/*
 * Listens on 'listen' ("ip:port"). 'handlers' and 'owner' are borrowed. Returns
 * NULL and sets 'err' if the address is invalid or cannot be bound.
 */
QRPeerNet *qr_peers_new(uv_loop_t *loop, const char *listen,
                        const QRPeerHandlers *handlers, void *owner,
                        GError **err);
/* Sets the limits of incomplete frames and of connections without a frame by
   the memory of the process in bytes (0: a default) and its descriptors. */
void qr_peers_set_limits(QRPeerNet *p, uint64_t memory_bytes,
                         unsigned descriptors);
/* Appends counters and gauges of these as metrics text. */
void qr_peers_append_metrics(const QRPeerNet *p, GString *out);
/* Closes all connections without calling 'closed'. The loop frees 'p' later. */
void qr_peers_close(QRPeerNet *p);
/*
 * Keeps a connection to 'address' ("ip:port") open from now on. Cuts short the
 * backoff after a failed attempt.
 */
void qr_peers_dial(QRPeerNet *p, const char *address);
/* The process at 'address' has restarted: closes the connection that was
   dialled before and dials again. */
void qr_peers_redial(QRPeerNet *p, const char *address);
/* Closes the connection dialled to 'address' and does not dial it again. */
void qr_peers_hang_up(QRPeerNet *p, const char *address);
/* Whether a connection to 'address' is kept open or dialled. */
bool qr_peers_keeps(const QRPeerNet *p, const char *address);
/* Returns the connection dialled to 'address' if it is open, else NULL. Dials
   an address that has not been dialled before. */
QRPeerConn *qr_peers_get_open(QRPeerNet *p, const char *address);
/* Redials, probes and replaces connections; to be called every 100 ms. */
void qr_peers_tick(QRPeerNet *p, uint64_t now_ms);
/* Packs and sends 'frame'. Does nothing if the connection is not open; closes
   the connection if the write fails or too many bytes are queued. */
void qr_peer_send(QRPeerConn *peer, const QRFrame *frame);
void qr_peer_close(QRPeerConn *peer);
/* Attaches a pointer of the owner's, which is borrowed. */
void qr_peer_set_data(QRPeerConn *peer, void *data);
void *qr_peer_data(const QRPeerConn *peer);
/* Detaches 'data' from all connections; to be called before 'data' is freed. */
void qr_peers_clear_data(QRPeerNet *p, const void *data);
/*
 * To be called when the other side has sent its Hello on a connection that it
 * dialled. A process keeps one dialled connection to each address, and the end
 * of an earlier one may never be reported here. Closes the earlier connections
 * with the same data that are silent, to avoid sending on them.
 */
void qr_peer_close_older(QRPeerConn *peer);
/* How quickly silence on a connection dialled by this process is detected. */
typedef enum QRPeerLiveness {
    QR_PEER_UNMONITORED, /* never, unless an answer is awaited */
    QR_PEER_SENDS,       /* carries data that the other side depends on */
    QR_PEER_RECEIVES,    /* carries data that this process depends on */
    QR_PEER_LIVENESS_COUNT
} QRPeerLiveness;

void qr_peer_set_liveness(QRPeerConn *peer, QRPeerLiveness liveness);
/* A request was sent: until bytes arrive, the connection is monitored as
   QR_PEER_RECEIVES, and silence counts from the time of this call at least. */
void qr_peer_expect_answer(QRPeerConn *peer);
/* The address that was dialled, or NULL for an accepted connection. */
const char *qr_peer_dialled(const QRPeerConn *peer);
/* Bytes queued for writing that the kernel has not accepted yet. */
size_t qr_peer_unsent(const QRPeerConn *peer);
/* Milliseconds from the first byte of the frame being handled until now. */
uint64_t qr_peer_frame_ms(const QRPeerConn *peer);
/* Sets whether the other side is in another region, for traffic counts. */
void qr_peer_set_cross_region(QRPeerConn *peer, bool cross_region);
/* Number of open connections, dialled and accepted. */
unsigned qr_peers_open(const QRPeerNet *p);
/* Number of silent connections that were replaced so far. */
uint64_t qr_peers_replaced(const QRPeerNet *p);
/* Bytes sent over all connections so far; owned by 'p'. */
const QRTraffic *qr_peers_traffic(const QRPeerNet *p);

#endif
