/*
 * Connections between our own processes: protobuf-c frames over TCP, kept
 * open, dialled again when they break or go silent.
 *
 * A connection may go silent for good without a reset, and the kernel finds out
 * on the side that writes only. So the side that dialled asks, where something
 * rests on the connection, when it has heard nothing for a moment. If no answer
 * comes either it does not judge the old connection: it dials a second one.
 * When that is greeted while the old one is still mute, it takes its place;
 * when the old one speaks again, the second is closed. A peer that stands
 * still, or whose link is full, answers on neither and loses nothing.
 */
#include "qr_peer.h"
#include "qr_clock.h"
#include "qr_socket.h"
#include "qr_ticks.h"

#include "io/qr_log.h"

#include <arpa/inet.h>
#include <string.h>

#define HEAD_BYTES 4
#define FRAME_MAX (4u << 20)
#define BACKLOG 512
#define SILENT_MS 2000 /* unacknowledged bytes break a connection */
#define CONNECT_MS 1000
/*
 * The opening packet to a host that is down is lost, and the kernel sends the
 * next one a second later: a host that comes up meanwhile is found late. So a
 * process that has no connection at all dials once more beside the attempt
 * under way; the first that opens counts. The older attempt is kept, since on a
 * full link the answer may be long in coming. Only while alone, and for a
 * while: hundreds that dial each dead host so often would fill links.
 */
#define RACE_MS 150
#define RACE_MOST_MS 3000
#define REDIAL_FIRST_MS 200
#define HURRY_MS 100 /* an attempt younger than that is left alone */
#define REDIAL_MOST_MS 2000
#define DOUBT_AGAIN_MS 1000 /* between two such tries */
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

/*
 * Nothing heard for 'probe_ms': the other side is asked. No answer either by
 * 'doubt_ms': a second connection is tried. Gateways under load tell theirs
 * every 100 ms, at rest every 800; a round trip takes some 10 ms, and a lost
 * packet is sent again after 200. What we only tell goes to each gateway from
 * each engine's host, and the kernel finds most dead connections there by
 * itself in 2 s.
 */
static const struct {
    uint64_t probe_ms, doubt_ms;
} cares[QR_PEER_CARE_COUNT] = {
    [QR_PEER_RESTS] = {UINT64_MAX, UINT64_MAX},
    [QR_PEER_TELLS] = {2000, 3000},
    [QR_PEER_HEARS] = {500, 900},
};

/* An address to which a connection is kept open. */
typedef struct Target {
    char *address;
    QRPeerConn *peer;   /* or NULL */
    QRPeerConn *second; /* tried because 'peer' is mute, or not open; or NULL */
    uint64_t next_ms, second_next_ms;
    uint32_t pause_ms;
    QRPeerCare care;
} Target;

struct QRPeerConn {
    uv_tcp_t tcp;
    uv_connect_t connect;
    QRPeerNet *peers;
    Target *target; /* or NULL: the other side dialled */
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
    GHashTable *targets; /* address -> Target */
    QRTraffic traffic, traffic_logged;
    uint64_t traffic_log_ms; /* when due next */
    QRTicks ticks;
    uint64_t replaced; /* connections that had gone silent */
    unsigned open;     /* connections */
    uint64_t alone_ms; /* since when none is open */
    bool closing;
};

static void target_free(void *p)
{
    Target *t = p;

    g_free(t->address);
    g_free(t);
}

static void peer_freed(uv_handle_t *h)
{
    QRPeerConn *peer = h->data;

    g_byte_array_unref(peer->in);
    g_free(peer);
}

/* No connection is open, and has not been for a short while only. */
static bool is_alone(const QRPeerNet *p, uint64_t now_ms)
{
    return p->open == 0 && now_ms <= p->alone_ms + RACE_MOST_MS;
}

/* The target has one connection less. */
static void target_lost(Target *t, const QRPeerConn *peer, uint64_t now_ms)
{
    if (t->second == peer) {
        t->second = NULL;
        t->second_next_ms = now_ms + DOUBT_AGAIN_MS;
        return;
    }
    t->peer = g_steal_pointer(&t->second);
    if (is_alone(peer->peers, now_ms)) {
        t->next_ms = now_ms + RACE_MS;
        return;
    }
    t->next_ms = now_ms + t->pause_ms;
    t->pause_ms = MIN(t->pause_ms * 2, REDIAL_MOST_MS);
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
        target_lost(peer->target, peer, qr_clock_ms(p->loop));
    uv_close((uv_handle_t *)&peer->tcp, peer_freed);
    if (peer->open && !p->closing)
        p->handlers->closed(p->owner, peer);
}

static QRPeerCare care_of(const QRPeerConn *peer)
{
    return peer->expect_ms > 0 ? QR_PEER_HEARS : peer->target->care;
}

/* How long nothing was heard that might have been. */
static uint64_t quiet_ms(const QRPeerConn *peer)
{
    uint64_t now = qr_clock_ms(peer->peers->loop);

    return now - MIN(MAX(peer->heard_ms, peer->expect_ms), now);
}

static void peer_probe(QRPeerConn *peer, bool answer)
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

/*
 * The second connection is answered. If the first is still mute, that is dead.
 * Returns whether the second counts now.
 */
static bool second_counts(QRPeerConn *second)
{
    Target *t = second->target;
    QRPeerConn *mute = t->peer;

    if (quiet_ms(mute) < cares[care_of(mute)].doubt_ms) {
        /* it spoke again; were it lost now, the second would take its place
           without having been greeted */
        qr_peer_close(second);
        return false;
    }
    qr_logf(QR_LEVEL_WARN, "peers",
            "replaced address=%s quiet_ms=%" G_GUINT64_FORMAT, t->address,
            quiet_ms(mute));
    second->peers->replaced++;
    t->peer = second;
    t->second = NULL;
    mute->target = NULL; /* the peer is not lost */
    qr_peer_close(mute);
    return true;
}

static void peer_frame(QRPeerConn *peer, const QRFrame *frame)
{
    QRPeerNet *p = peer->peers;

    if (peer->target && peer->target->second == peer && !second_counts(peer))
        return;
    if (frame->body_case != QR__FLEET__FRAME__BODY_PROBE)
        p->handlers->frame(p->owner, peer, frame);
    else if (!frame->probe->answer)
        peer_probe(peer, true);
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

static void peer_start(QRPeerConn *peer)
{
    QRPeerNet *p = peer->peers;
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Hello hello = QR__FLEET__HELLO__INIT;

    peer->open = true;
    p->open++;
    peer->heard_ms = qr_clock_ms(p->loop);
    if (peer->target)
        peer->target->pause_ms = REDIAL_FIRST_MS;
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

static QRPeerConn *peer_new(QRPeerNet *p)
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
    peer = peer_new(p);
    if (uv_accept(stream, (uv_stream_t *)&peer->tcp) != 0)
        qr_peer_close(peer);
    else
        peer_start(peer);
}

/* Of two attempts to reach a target one has opened: the other goes. */
static void race_won(QRPeerConn *peer)
{
    Target *t = peer->target;

    if (t->second == peer && !t->peer->open)
        qr_peer_close(t->peer); /* this one takes its place */
    else if (t->peer == peer && t->second)
        qr_peer_close(t->second);
}

static void peer_opened(uv_connect_t *req, int status)
{
    QRPeerConn *peer = req->data;

    if (peer->closing)
        return;
    if (status != 0) {
        qr_peer_close(peer);
        return;
    }
    race_won(peer);
    peer_start(peer);
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
    p->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
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

/* Dials into 'slot' of the target: its connection, or the second one. */
static void target_dial(QRPeerNet *p, Target *t, QRPeerConn **slot)
{
    struct sockaddr_in at;
    QRPeerConn *peer = peer_new(p);
    int rc = UV_EINVAL;

    peer->target = t;
    *slot = peer;
    if (qr_socket_address(t->address, &at))
        rc = uv_tcp_connect(&peer->connect, &peer->tcp,
                            (const struct sockaddr *)&at, peer_opened);
    if (rc != 0)
        qr_peer_close(peer);
}

/* There is reason to think that the address answers now. */
static void target_hurry(Target *t)
{
    QRPeerNet *p;

    t->next_ms = 0;
    t->pause_ms = REDIAL_FIRST_MS;
    if (!t->peer || t->peer->open)
        return;
    p = t->peer->peers;
    if (qr_clock_ms(p->loop) < t->peer->since_ms + HURRY_MS)
        return;
    qr_peer_close(t->peer); /* its opening packet may have been lost */
    t->next_ms = 0;
}

void qr_peers_dial(QRPeerNet *p, const char *address)
{
    Target *t = g_hash_table_lookup(p->targets, address);

    if (t) {
        target_hurry(t);
        return;
    }
    t = g_new0(Target, 1);
    t->address = g_strdup(address);
    t->pause_ms = REDIAL_FIRST_MS;
    g_hash_table_insert(p->targets, t->address, t);
    target_dial(p, t, &t->peer);
}

void qr_peers_redial(QRPeerNet *p, const char *address)
{
    Target *t = g_hash_table_lookup(p->targets, address);

    if (t && t->peer)
        qr_peer_close(t->peer);
    qr_peers_dial(p, address);
}

QRPeerConn *qr_peers_open_at(QRPeerNet *p, const char *address)
{
    Target *t;

    t = g_hash_table_lookup(p->targets, address);
    if (!t) {
        qr_peers_dial(p, address);
        t = g_hash_table_lookup(p->targets, address);
    }
    return t->peer && t->peer->open ? t->peer : NULL;
}

/* What is being dialled for too long is given up. */
static void check_dialled(QRPeerConn *peer, uint64_t now_ms)
{
    if (peer && !peer->open && now_ms >= peer->since_ms + CONNECT_MS)
        qr_peer_close(peer);
}

/* An open connection that we dialled: asks, doubts, or doubts no longer. */
static void check_quiet(QRPeerNet *p, Target *t, uint64_t now_ms)
{
    QRPeerConn *peer = t->peer;
    uint64_t quiet = quiet_ms(peer);
    uint64_t probe = cares[care_of(peer)].probe_ms;
    uint64_t doubt = cares[care_of(peer)].doubt_ms;

    if (quiet >= probe && now_ms >= peer->probed_ms + probe)
        peer_probe(peer, false);
    if (peer->closing)
        return;
    if (quiet < doubt) {
        if (t->second)
            qr_peer_close(t->second);
    } else if (!t->second && now_ms >= t->second_next_ms) {
        qr_logf(QR_LEVEL_INFO, "peers",
                "doubted address=%s quiet_ms=%" G_GUINT64_FORMAT, t->address,
                quiet);
        target_dial(p, t, &t->second);
    }
}

/* A connection being opened: tries once more beside it while we are alone. */
static void check_race(QRPeerNet *p, Target *t, uint64_t now_ms)
{
    QRPeerConn *last = t->second ? t->second : t->peer;

    if (!is_alone(p, now_ms) || now_ms < last->since_ms + RACE_MS)
        return;
    if (t->second)
        qr_peer_close(t->second);
    target_dial(p, t, &t->second);
}

static void target_tick(QRPeerNet *p, Target *t, uint64_t now_ms)
{
    if (!t->peer && now_ms >= t->next_ms)
        target_dial(p, t, &t->peer);
    check_dialled(t->second, now_ms);
    check_dialled(t->peer, now_ms);
    if (t->peer && !t->peer->open)
        check_race(p, t, now_ms);
    if (t->peer && t->peer->open)
        check_quiet(p, t, now_ms);
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
        target_tick(p, all->pdata[i], now_ms);
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
            quiet_ms(older) < SUPERSEDED_QUIET_MS)
            continue;
        qr_logf(QR_LEVEL_INFO, "peers",
                "superseded age_ms=%" G_GUINT64_FORMAT
                " quiet_ms=%" G_GUINT64_FORMAT,
                qr_clock_ms(peer->peers->loop) - older->since_ms,
                quiet_ms(older));
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
