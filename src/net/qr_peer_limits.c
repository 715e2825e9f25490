/*
 * Bounds on what connections between processes hold: incomplete frames, and
 * accepted connections that have sent no frame. Neither grows with the number
 * of connections.
 */
#include "qr_peer_parts.h"

#include "io/qr_log.h"

#define DEFAULT_MEMORY_BYTES (256u << 20)
#define FRAMES_MEMORY_DIVISOR 8
#define FRAMES_AT_LEAST 2 /* frames of the largest size that always fit */
#define FRAME_TIMEOUT_MS 30000
#define READ_BUFFER_KEPT (64u << 10) /* bytes */
#define UNHEARD_DIVISOR 16
#define UNHEARD_MIN 16
#define UNHEARD_MIN_MS 500 /* a frame takes this long to arrive */

void qr_peers_set_limits(QRPeerNet *p, uint64_t memory_bytes,
                         unsigned descriptors)
{
    uint64_t memory = memory_bytes ? memory_bytes : DEFAULT_MEMORY_BYTES;

    p->partial_max = (size_t)MAX(memory / FRAMES_MEMORY_DIVISOR,
                                 FRAMES_AT_LEAST * QR_PEER_FRAME_MAX);
    p->unheard_max = MAX(descriptors / UNHEARD_DIVISOR, UNHEARD_MIN);
}

/* The buffer of a large frame is not kept. */
static void shrink_buffer(QRPeerConn *peer)
{
    GByteArray *smaller;

    peer->read_size = MAX(peer->read_size, peer->read_buf->len);
    if (peer->read_size <= READ_BUFFER_KEPT ||
        peer->read_buf->len > READ_BUFFER_KEPT)
        return;
    smaller = g_byte_array_new();
    g_byte_array_append(smaller, peer->read_buf->data, peer->read_buf->len);
    g_byte_array_unref(peer->read_buf);
    peer->read_buf = smaller;
    peer->read_size = smaller->len;
}

void qr_peer_count_partial(QRPeerConn *peer)
{
    QRPeerNet *p = peer->peers;

    shrink_buffer(peer);
    p->partial = p->partial - peer->partial + peer->read_buf->len;
    peer->partial = peer->read_buf->len;
}

/* The incomplete frame with the most bytes x time. */
static QRPeerConn *heaviest_partial(const QRPeerNet *p)
{
    QRPeerConn *heaviest = NULL;
    double most = 0;

    for (unsigned i = 0; i < p->connections->len; i++) {
        QRPeerConn *peer = p->connections->pdata[i];
        double weight =
            (double)peer->partial * (double)(qr_peer_frame_ms(peer) + 1);

        if (weight > most) {
            most = weight;
            heaviest = peer;
        }
    }
    return heaviest;
}

static void close_frame(QRPeerConn *peer, const char *why)
{
    QRPeerNet *p = peer->peers;

    p->frames_dropped++;
    qr_logf(QR_LEVEL_WARN, "peers",
            "closed why=%s bytes=%zu since_ms=%" G_GUINT64_FORMAT
            " bytes_all=%zu limit=%zu",
            why, peer->partial, qr_peer_frame_ms(peer), p->partial,
            p->partial_max);
    qr_peer_close(peer);
}

void qr_peers_limit_partial(QRPeerNet *p)
{
    QRPeerConn *peer;

    while (p->partial > p->partial_max && (peer = heaviest_partial(p)))
        close_frame(peer, "incomplete frames exceed their memory");
}

void qr_peers_check_frames(QRPeerNet *p, uint64_t now_ms)
{
    for (unsigned i = p->connections->len; i > 0; i--) {
        QRPeerConn *peer =
            i <= p->connections->len ? p->connections->pdata[i - 1] : NULL;

        if (peer && peer->partial > 0 &&
            now_ms > peer->frame_start_ms + FRAME_TIMEOUT_MS)
            close_frame(peer, "frame incomplete for too long");
    }
}

bool qr_peers_make_room(QRPeerNet *p)
{
    uint64_t now = qr_clock_ms(p->loop);
    QRPeerConn *oldest = NULL;

    for (unsigned i = 0; i < p->connections->len; i++) {
        QRPeerConn *peer = p->connections->pdata[i];

        if (peer->accepted && !peer->heard && !peer->closing &&
            now >= peer->created_ms + UNHEARD_MIN_MS &&
            (!oldest || peer->created_ms < oldest->created_ms))
            oldest = peer;
    }
    if (!oldest)
        /* many processes may dial at once after a restart */
        return p->unheard < 2 * p->unheard_max;
    p->unheard_closed++;
    qr_peer_close(oldest);
    return true;
}

void qr_peers_append_metrics(const QRPeerNet *p, GString *out)
{
    g_string_append_printf(
        out,
        "quayring_peer_frame_bytes %zu\n"
        "quayring_peer_frame_limit_bytes %zu\n"
        "quayring_peer_frames_dropped_total %" G_GUINT64_FORMAT "\n"
        "quayring_peer_unheard %u\n"
        "quayring_peer_unheard_closed_total %" G_GUINT64_FORMAT "\n",
        p->partial, p->partial_max, p->frames_dropped, p->unheard,
        p->unheard_closed);
}
