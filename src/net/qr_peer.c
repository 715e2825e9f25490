/*
 * Connections between our own processes: protobuf-c frames over TCP, kept
 * open, dialled again when they break or go silent (qr_peer_dial.c).
 */
#include "qr_peer_parts.h"
#include "qr_socket.h"

#include "io/qr_log.h"

#include <arpa/inet.h>
#include <string.h>

#define HEAD_BYTES 4
#define FRAME_MAX (4u << 20)
#define BACKLOG 512
#define SILENT_MS 2000 /* unacknowledged bytes break a connection */
/* An accepted connection on which nothing comes: the kernel asks. */
#define ACCEPTED_IDLE_S 5
/* An accepted connection is dead if its dialler greets us on another and this
   one has been quiet for so long: less than any dialler waits (doubt_ms). One
   that was heard since may be alive, and is the dialler's to close. */
#define SUPERSEDED_QUIET_MS 300
/* Between two ticks, which come every 100 ms: this process stood still, and
   what came meanwhile is not read yet. */
#define STOOD_STILL_MS 400
#define TRAFFIC_LOG_MS 1000   /* between two log lines of what was sent */
#define UNSENT_MAX (4u << 20) /* a peer that does not read is cut off */

static void peer_freed(uv_handle_t *h)
{
    QRPeerConn *peer = h->data;

    g_byte_array_unref(peer->in);
    g_free(peer);
}

void qr_peer_close(QRPeerConn *peer)
{
    QRPeerNet *p = peer->peers;

    if (peer->closing)
        return;
    peer->closing = true;
    p->open -= peer->open;
    if (peer->open && p->open == 0)
        p->alone_ms = qr_clock_ms(p->loop);
    g_ptr_array_remove_fast(p->all, peer);
    if (peer->target)
        qr_peer_target_lost(peer->target, peer, qr_clock_ms(p->loop));
    uv_close((uv_handle_t *)&peer->tcp, peer_freed);
    if (peer->open && !p->closing)
        p->handlers->closed(p->owner, peer);
}

void qr_peer_probe(QRPeerConn *peer, bool answer)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Probe probe = QR__FLEET__PROBE__INIT;

    if (!answer)
        peer->probed_ms = qr_clock_ms(peer->peers->loop);
    probe.answer = answer;
    frame.body_case = QR__FLEET__FRAME__BODY_PROBE;
    frame.probe = &probe;
    qr_peer_send(peer, &frame);
}

static void peer_frame(QRPeerConn *peer, const QRFrame *frame)
{
    QRPeerNet *p = peer->peers;

    if (peer->target && peer->target->second == peer &&
        !qr_peer_second_counts(peer))
        return;
    if (frame->body_case != QR__FLEET__FRAME__BODY_PROBE)
        p->handlers->frame(p->owner, peer, frame);
    else if (!frame->probe->answer)
        qr_peer_probe(peer, true);
}

/* Not a frame of ours. One of a kind that only a newer build knows is passed
   over: it has a field, if an unknown one. */
static bool is_empty(const QRFrame *frame)
{
    return frame->body_case == QR__FLEET__FRAME__BODY__NOT_SET &&
           frame->base.n_unknown_fields == 0;
}

static void peer_take(QRPeerConn *peer, const uint8_t *data, size_t len)
{
    QRFrame *frame = qr__fleet__frame__unpack(NULL, len, data);

    if (!frame || is_empty(frame)) {
        if (frame)
            qr__fleet__frame__free_unpacked(frame, NULL);
        qr_peer_close(peer);
        return;
    }
    if (frame->body_case != QR__FLEET__FRAME__BODY__NOT_SET)
        peer_frame(peer, frame);
    qr__fleet__frame__free_unpacked(frame, NULL);
}

static void peer_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    QRPeerConn *peer = stream->data;
    size_t used = 0;

    if (n < 0) {
        qr_peer_close(peer);
        return;
    }
    peer->heard_ms = qr_clock_ms(peer->peers->loop);
    peer->expect_ms = 0;
    if (peer->in->len == 0)
        peer->frame_since_ms = peer->heard_ms;
    g_byte_array_append(peer->in, (const guint8 *)buf->base, (guint)n);
    while (!peer->closing && peer->in->len - used >= HEAD_BYTES) {
        uint32_t len;

        memcpy(&len, peer->in->data + used, HEAD_BYTES);
        len = ntohl(len);
        if (len > FRAME_MAX) {
            qr_peer_close(peer);
            return;
        }
        if (peer->in->len - used < HEAD_BYTES + (size_t)len)
            break;
        peer_take(peer, peer->in->data + used + HEAD_BYTES, len);
        used += HEAD_BYTES + (size_t)len;
        peer->frame_since_ms = qr_clock_ms(peer->peers->loop);
    }
    if (!peer->closing && used > 0)
        g_byte_array_remove_range(peer->in, 0, (guint)used);
}

void qr_peer_start(QRPeerConn *peer)
{
    QRPeerNet *p = peer->peers;
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Hello hello = QR__FLEET__HELLO__INIT;

    peer->open = true;
    p->open++;
    peer->heard_ms = qr_clock_ms(p->loop);
    if (peer->target)
        qr_peer_target_reached(peer->target);
    qr_socket_tune(&peer->tcp, SILENT_MS);
    if (!peer->target)
        uv_tcp_keepalive(&peer->tcp, 1, ACCEPTED_IDLE_S);
    frame.body_case = QR__FLEET__FRAME__BODY_HELLO;
    frame.hello = &hello;
    p->handlers->greet(p->owner, &frame, &hello);
    qr_peer_send(peer, &frame);
    if (!peer->closing)
        uv_read_start((uv_stream_t *)&peer->tcp, qr_socket_buffer, peer_read);
}

QRPeerConn *qr_peer_new(QRPeerNet *p)
{
    QRPeerConn *peer = g_new0(QRPeerConn, 1);

    peer->peers = p;
    peer->in = g_byte_array_new();
    peer->tcp.data = peer;
    peer->connect.data = peer;
    peer->since_ms = qr_clock_ms(p->loop);
    uv_tcp_init(p->loop, &peer->tcp);
    g_ptr_array_add(p->all, peer);
    return peer;
}

static void peers_accept(uv_stream_t *stream, int status)
{
    QRPeerNet *p = stream->data;
    QRPeerConn *peer;

    if (status < 0)
        return;
    peer = qr_peer_new(p);
    if (uv_accept(stream, (uv_stream_t *)&peer->tcp) != 0)
        qr_peer_close(peer);
    else
        qr_peer_start(peer);
}

QRPeerNet *qr_peers_new(uv_loop_t *loop, const char *listen,
                        const QRPeerHandlers *handlers, void *owner,
                        GError **err)
{
    QRPeerNet *p = g_new0(QRPeerNet, 1);
    struct sockaddr_in at;
    int rc = qr_socket_address(listen, &at) ? 0 : UV_EINVAL;

    p->loop = loop;
    p->handlers = handlers;
    p->owner = owner;
    p->all = g_ptr_array_new();
    p->alone_ms = qr_clock_ms(loop);
    p->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                       qr_peer_target_free);
    p->tcp.data = p;
    uv_tcp_init(loop, &p->tcp);
    if (rc == 0)
        rc = uv_tcp_bind(&p->tcp, (const struct sockaddr *)&at, 0);
    if (rc == 0)
        rc = uv_listen((uv_stream_t *)&p->tcp, BACKLOG, peers_accept);
    if (rc != 0) {
        g_set_error(err, QR_ERROR, QR_ERROR_IO, "cannot listen on %s: %s",
                    listen, uv_strerror(rc));
        qr_peers_close(p);
        return NULL;
    }
    return p;
}

static void peers_freed(uv_handle_t *h)
{
    QRPeerNet *p = h->data;

    g_ptr_array_unref(p->all);
    g_hash_table_unref(p->targets);
    g_free(p);
}

void qr_peers_close(QRPeerNet *p)
{
    p->closing = true;
    while (p->all->len > 0)
        qr_peer_close(p->all->pdata[0]);
    uv_close((uv_handle_t *)&p->tcp, peers_freed);
}

/* Whoever spoke while we stood still could not be heard. */
static void check_stood_still(QRPeerNet *p, uint64_t now_ms)
{
    bool stood = qr_ticks_stood_still(&p->ticks, now_ms, STOOD_STILL_MS) > 0;

    for (unsigned i = 0; stood && i < p->all->len; i++)
        ((QRPeerConn *)p->all->pdata[i])->heard_ms = now_ms;
}

void qr_peers_tick(QRPeerNet *p, uint64_t now_ms)
{
    g_autoptr(GPtrArray) all = g_ptr_array_new();
    GHashTableIter it;
    void *value;

    if (now_ms >= p->traffic_log_ms) {
        p->traffic_log_ms = now_ms + TRAFFIC_LOG_MS;
        qr_traffic_log(&p->traffic, &p->traffic_logged);
    }
    check_stood_still(p, now_ms);
    /* what is told of a connection that closes may have others dialled */
    g_hash_table_iter_init(&it, p->targets);
    while (g_hash_table_iter_next(&it, NULL, &value))
        g_ptr_array_add(all, value);
    for (unsigned i = 0; i < all->len; i++)
        qr_peer_target_tick(p, all->pdata[i], now_ms);
}

void qr_peer_send(QRPeerConn *peer, const QRFrame *frame)
{
    size_t len = qr__fleet__frame__get_packed_size(frame);
    g_autofree uint8_t *buf = g_malloc(HEAD_BYTES + len);
    uint32_t head = htonl((uint32_t)len);

    if (!peer->open || peer->closing)
        return;
    memcpy(buf, &head, HEAD_BYTES);
    qr__fleet__frame__pack(frame, buf + HEAD_BYTES);
    qr_traffic_add(&peer->peers->traffic, frame, peer->far, HEAD_BYTES + len);
    if (qr_socket_write(&peer->tcp, buf, HEAD_BYTES + len) < 0 ||
        qr_peer_unsent(peer) > UNSENT_MAX)
        qr_peer_close(peer);
}

void qr_peer_set_data(QRPeerConn *peer, void *data)
{
    peer->data = data;
}

void *qr_peer_data(const QRPeerConn *peer)
{
    return peer->data;
}

void qr_peers_clear_data(QRPeerNet *p, const void *data)
{
    for (unsigned i = 0; i < p->all->len; i++) {
        QRPeerConn *peer = p->all->pdata[i];

        if (peer->data == data)
            peer->data = NULL;
    }
}

void qr_peer_close_older(QRPeerConn *peer)
{
    const GPtrArray *all = peer->peers->all;

    for (unsigned i = all->len; i > 0; i--) {
        QRPeerConn *older = i <= all->len ? all->pdata[i - 1] : NULL;

        if (!older || older->target || older->data != peer->data ||
            older->since_ms >= peer->since_ms ||
            qr_peer_quiet_ms(older) < SUPERSEDED_QUIET_MS)
            continue;
        qr_logf(QR_LEVEL_INFO, "peers",
                "superseded age_ms=%" G_GUINT64_FORMAT
                " quiet_ms=%" G_GUINT64_FORMAT,
                qr_clock_ms(peer->peers->loop) - older->since_ms,
                qr_peer_quiet_ms(older));
        qr_peer_close(older);
    }
}

void qr_peer_care(QRPeerConn *peer, QRPeerCare care)
{
    if (peer->target)
        peer->target->care = care;
}

void qr_peer_expect(QRPeerConn *peer)
{
    if (peer->expect_ms == 0)
        peer->expect_ms = qr_clock_ms(peer->peers->loop);
}

const char *qr_peer_dialled(const QRPeerConn *peer)
{
    return peer->target ? peer->target->address : NULL;
}

size_t qr_peer_unsent(const QRPeerConn *peer)
{
    if (peer->closing)
        return 0;
    return uv_stream_get_write_queue_size((const uv_stream_t *)&peer->tcp);
}

uint64_t qr_peer_frame_ms(const QRPeerConn *peer)
{
    uint64_t now = qr_clock_ms(peer->peers->loop);

    return now - MIN(peer->frame_since_ms, now);
}

void qr_peer_set_far(QRPeerConn *peer, bool far)
{
    peer->far = far;
}

uint64_t qr_peers_replaced(const QRPeerNet *p)
{
    return p->replaced;
}

const QRTraffic *qr_peers_traffic(const QRPeerNet *p)
{
    return &p->traffic;
}
