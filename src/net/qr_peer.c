/*
 * TCP connections between quayring processes, which carry protobuf-c frames
 * with a 4-byte length prefix in network byte order. qr_peer_dial.c dials them
 * and detects silence.
 */
#include "qr_peer_parts.h"
#include "qr_socket.h"

#include "io/qr_log.h"

#include <arpa/inet.h>
#include <string.h>

#define HEADER_BYTES 4
#define BACKLOG 512
#define UNACKED_TIMEOUT_MS 2000 /* TCP_USER_TIMEOUT */
/* Idle time before TCP keepalive probes an accepted connection. */
#define KEEPALIVE_IDLE_S 5
/* An accepted connection that has been silent this long is closed when the
   other side sends its Hello on a newer one. The limit is below every
   suspect_ms, after which a dialling process opens a second connection. A
   connection that received bytes since may be alive, and is left for the
   dialling process to close. */
#define SUPERSEDED_SILENT_MS 300
/* A longer gap between two ticks, which are due every 100 ms, means that this
   process did not run and has not read the bytes that arrived meanwhile. */
#define PROCESS_STALL_MS 400
#define TRAFFIC_LOG_INTERVAL_MS 1000
/* A connection with more queued bytes is closed: its peer does not read. */
#define UNSENT_MAX_BYTES (4u << 20)
#define DEFAULT_DESCRIPTORS 1024
/* Bytes of an accepted connection that the kernel holds until they are read. */
#define RECEIVE_BYTES (128 << 10)

static void free_peer(uv_handle_t *h)
{
    QRPeerConn *peer = h->data;

    g_byte_array_unref(peer->read_buf);
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
        p->disconnected_ms = qr_clock_ms(p->loop);
    p->partial -= peer->partial;
    if (peer->accepted && !peer->heard)
        p->unheard--;
    g_ptr_array_remove_fast(p->connections, peer);
    if (peer->target)
        qr_peer_target_lost(peer->target, peer, qr_clock_ms(p->loop));
    uv_close((uv_handle_t *)&peer->tcp, free_peer);
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

static void dispatch_frame(QRPeerConn *peer, const QRFrame *frame)
{
    QRPeerNet *p = peer->peers;

    if (peer->accepted && !peer->heard)
        p->unheard--;
    peer->heard = true;
    if (peer->target && peer->target->standby == peer &&
        !qr_peer_promote_standby(peer))
        return;
    if (frame->body_case != QR__FLEET__FRAME__BODY_PROBE)
        p->handlers->frame(p->owner, peer, frame);
    else if (!frame->probe->answer)
        qr_peer_probe(peer, true);
}

/* A frame without any field is invalid. A frame kind that only a newer build
   defines appears as an unknown field, and is ignored. */
static bool is_empty(const QRFrame *frame)
{
    return frame->body_case == QR__FLEET__FRAME__BODY__NOT_SET &&
           frame->base.n_unknown_fields == 0;
}

static void unpack_frame(QRPeerConn *peer, const uint8_t *data, size_t len)
{
    QRFrame *frame = qr__fleet__frame__unpack(NULL, len, data);

    if (!frame || is_empty(frame)) {
        if (frame)
            qr__fleet__frame__free_unpacked(frame, NULL);
        qr_peer_close(peer);
        return;
    }
    if (frame->body_case != QR__FLEET__FRAME__BODY__NOT_SET)
        dispatch_frame(peer, frame);
    qr__fleet__frame__free_unpacked(frame, NULL);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    QRPeerConn *peer = stream->data;
    size_t used = 0;

    if (n < 0) {
        qr_peer_close(peer);
        return;
    }
    peer->received_ms = qr_clock_ms(peer->peers->loop);
    peer->awaiting_since_ms = 0;
    if (peer->read_buf->len == 0)
        peer->frame_start_ms = peer->received_ms;
    g_byte_array_append(peer->read_buf, (const guint8 *)buf->base, (guint)n);
    while (!peer->closing && peer->read_buf->len - used >= HEADER_BYTES) {
        uint32_t len;

        memcpy(&len, peer->read_buf->data + used, HEADER_BYTES);
        len = ntohl(len);
        if (len > QR_PEER_FRAME_MAX) {
            qr_peer_close(peer);
            return;
        }
        if (peer->read_buf->len - used < HEADER_BYTES + (size_t)len)
            break;
        unpack_frame(peer, peer->read_buf->data + used + HEADER_BYTES, len);
        used += HEADER_BYTES + (size_t)len;
        peer->frame_start_ms = qr_clock_ms(peer->peers->loop);
    }
    if (peer->closing)
        return;
    if (used > 0)
        g_byte_array_remove_range(peer->read_buf, 0, (guint)used);
    qr_peer_count_partial(peer);
    qr_peers_limit_partial(peer->peers);
}

void qr_peer_start(QRPeerConn *peer)
{
    QRPeerNet *p = peer->peers;
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Hello hello = QR__FLEET__HELLO__INIT;

    peer->open = true;
    p->open++;
    peer->received_ms = qr_clock_ms(p->loop);
    if (peer->target)
        qr_peer_target_connected(peer->target);
    qr_socket_tune(&peer->tcp, UNACKED_TIMEOUT_MS);
    if (!peer->target)
        uv_tcp_keepalive(&peer->tcp, 1, KEEPALIVE_IDLE_S);
    frame.body_case = QR__FLEET__FRAME__BODY_HELLO;
    frame.hello = &hello;
    p->handlers->greet(p->owner, &frame, &hello);
    qr_peer_send(peer, &frame);
    if (!peer->closing)
        uv_read_start((uv_stream_t *)&peer->tcp, qr_socket_buffer, on_read);
}

QRPeerConn *qr_peer_new(QRPeerNet *p)
{
    QRPeerConn *peer = g_new0(QRPeerConn, 1);

    peer->peers = p;
    peer->read_buf = g_byte_array_new();
    peer->tcp.data = peer;
    peer->connect.data = peer;
    peer->created_ms = qr_clock_ms(p->loop);
    uv_tcp_init(p->loop, &peer->tcp);
    g_ptr_array_add(p->connections, peer);
    return peer;
}

static void on_accept(uv_stream_t *stream, int status)
{
    QRPeerNet *p = stream->data;
    QRPeerConn *peer;
    bool has_room;

    if (status < 0)
        return;
    has_room = p->unheard < p->unheard_max || qr_peers_make_room(p);
    peer = qr_peer_new(p);
    peer->accepted = true;
    p->unheard++;
    if (uv_accept(stream, (uv_stream_t *)&peer->tcp) != 0 || !has_room)
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
    int receive_bytes = RECEIVE_BYTES;

    p->loop = loop;
    p->handlers = handlers;
    p->owner = owner;
    p->connections = g_ptr_array_new();
    p->disconnected_ms = qr_clock_ms(loop);
    qr_peers_set_limits(p, 0, DEFAULT_DESCRIPTORS);
    p->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                       qr_peer_target_free);
    p->tcp.data = p;
    uv_tcp_init(loop, &p->tcp);
    if (rc == 0)
        rc = uv_tcp_bind(&p->tcp, (const struct sockaddr *)&at, 0);
    if (rc == 0)
        rc = uv_recv_buffer_size((uv_handle_t *)&p->tcp, &receive_bytes);
    if (rc == 0)
        rc = uv_listen((uv_stream_t *)&p->tcp, BACKLOG, on_accept);
    if (rc != 0) {
        g_set_error(err, QR_ERROR, QR_ERROR_IO, "cannot listen on %s: %s",
                    listen, uv_strerror(rc));
        qr_peers_close(p);
        return NULL;
    }
    return p;
}

static void free_peers(uv_handle_t *h)
{
    QRPeerNet *p = h->data;

    g_ptr_array_unref(p->connections);
    g_hash_table_unref(p->targets);
    g_free(p);
}

void qr_peers_close(QRPeerNet *p)
{
    p->closing = true;
    while (p->connections->len > 0)
        qr_peer_close(p->connections->pdata[0]);
    uv_close((uv_handle_t *)&p->tcp, free_peers);
}

/* After a stall of this process, resets the silence of all connections: bytes
   that arrived during the stall have not been read yet. */
static void check_process_stall(QRPeerNet *p, uint64_t now_ms)
{
    bool stalled = qr_ticks_stall_ms(&p->ticks, now_ms, PROCESS_STALL_MS) > 0;

    for (unsigned i = 0; stalled && i < p->connections->len; i++)
        ((QRPeerConn *)p->connections->pdata[i])->received_ms = now_ms;
}

void qr_peers_tick(QRPeerNet *p, uint64_t now_ms)
{
    g_autoptr(GPtrArray) all = g_ptr_array_new();
    GHashTableIter it;
    void *value;

    if (now_ms >= p->traffic_log_ms) {
        p->traffic_log_ms = now_ms + TRAFFIC_LOG_INTERVAL_MS;
        qr_traffic_log(&p->traffic, &p->traffic_logged);
    }
    check_process_stall(p, now_ms);
    qr_peers_check_frames(p, now_ms);
    /* the 'closed' handler may add targets: iterate over a copy */
    g_hash_table_iter_init(&it, p->targets);
    while (g_hash_table_iter_next(&it, NULL, &value))
        g_ptr_array_add(all, value);
    for (unsigned i = 0; i < all->len; i++)
        qr_peer_target_tick(p, all->pdata[i], now_ms);
}

void qr_peer_send(QRPeerConn *peer, const QRFrame *frame)
{
    size_t len = qr__fleet__frame__get_packed_size(frame);
    g_autofree uint8_t *buf = g_malloc(HEADER_BYTES + len);
    uint32_t header = htonl((uint32_t)len);

    if (!peer->open || peer->closing)
        return;
    memcpy(buf, &header, HEADER_BYTES);
    qr__fleet__frame__pack(frame, buf + HEADER_BYTES);
    qr_traffic_add(&peer->peers->traffic, frame, peer->cross_region,
                   HEADER_BYTES + len);
    if (qr_socket_write(&peer->tcp, buf, HEADER_BYTES + len) < 0 ||
        qr_peer_unsent(peer) > UNSENT_MAX_BYTES)
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
    for (unsigned i = 0; i < p->connections->len; i++) {
        QRPeerConn *peer = p->connections->pdata[i];

        if (peer->data == data)
            peer->data = NULL;
    }
}

void qr_peer_close_older(QRPeerConn *peer)
{
    const GPtrArray *all = peer->peers->connections;

    for (unsigned i = all->len; i > 0; i--) {
        QRPeerConn *older = i <= all->len ? all->pdata[i - 1] : NULL;

        if (!older || older->target || older->data != peer->data ||
            older->created_ms >= peer->created_ms ||
            qr_peer_silent_ms(older) < SUPERSEDED_SILENT_MS)
            continue;
        qr_logf(QR_LEVEL_INFO, "peers",
                "superseded age_ms=%" G_GUINT64_FORMAT
                " quiet_ms=%" G_GUINT64_FORMAT,
                qr_clock_ms(peer->peers->loop) - older->created_ms,
                qr_peer_silent_ms(older));
        qr_peer_close(older);
    }
}

void qr_peer_set_liveness(QRPeerConn *peer, QRPeerLiveness liveness)
{
    if (peer->target)
        peer->target->liveness = liveness;
}

void qr_peer_expect_answer(QRPeerConn *peer)
{
    if (peer->awaiting_since_ms == 0)
        peer->awaiting_since_ms = qr_clock_ms(peer->peers->loop);
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

    return now - MIN(peer->frame_start_ms, now);
}

void qr_peer_set_cross_region(QRPeerConn *peer, bool cross_region)
{
    peer->cross_region = cross_region;
}

unsigned qr_peers_open(const QRPeerNet *p)
{
    return p->open;
}

uint64_t qr_peers_replaced(const QRPeerNet *p)
{
    return p->replaced;
}

const QRTraffic *qr_peers_traffic(const QRPeerNet *p)
{
    return &p->traffic;
}
