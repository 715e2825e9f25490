/*
 * Dials the addresses to which this process keeps connections open, and
 * replaces connections that go silent.
 *
 * A connection may go silent for good without a reset, and only the kernel of a
 * side that writes detects this. Therefore the dialling side probes a silent
 * connection whose data matters. If the probe is not answered, the dialling
 * side keeps the connection and dials a standby connection. If a frame arrives
 * on the standby while the first connection is still silent, the standby
 * replaces the first; if the first receives bytes again, the standby is closed.
 * A peer that is stalled, or whose link is full, answers on neither connection
 * and keeps the first.
 */
#include "qr_peer_parts.h"
#include "qr_socket.h"

#include "io/qr_log.h"

#define CONNECT_TIMEOUT_MS 1000
/*
 * A SYN to a host that is down is lost, and the kernel sends the next one after
 * 1 s, which delays the connection if the host comes up meanwhile. Therefore a
 * process without any open connection starts a second attempt in parallel, and
 * the attempt that opens first is used. The older attempt is kept because the
 * answer may take long on a full link. The period is limited because hundreds
 * of processes that dial each dead host at this rate would fill links.
 */
#define PARALLEL_DIAL_MS 150
#define PARALLEL_DIAL_PERIOD_MS 3000
#define BACKOFF_MIN_MS 200
#define RETRY_MIN_AGE_MS 100 /* a younger attempt is not restarted */
#define BACKOFF_MAX_MS 2000
#define STANDBY_RETRY_MS 1000 /* between two standby attempts */

/*
 * A connection that is silent for 'probe_ms' is probed, and for 'suspect_ms' a
 * standby connection is dialled. Gateways send their state every 100 ms under
 * load and every 800 ms when idle; a round trip takes some 10 ms, and a lost
 * packet is retransmitted after 200 ms. QR_PEER_SENDS is slower because each
 * engine's host has such a connection to each gateway, and the kernel detects
 * most dead ones within 2 s.
 */
static const struct {
    uint64_t probe_ms, suspect_ms;
} silence_limits[QR_PEER_LIVENESS_COUNT] = {
    [QR_PEER_UNMONITORED] = {UINT64_MAX, UINT64_MAX},
    [QR_PEER_SENDS] = {2000, 3000},
    [QR_PEER_RECEIVES] = {500, 900},
};

void qr_peer_target_free(void *p)
{
    QRPeerTarget *t = p;

    g_free(t->address);
    g_free(t);
}

/* No connection is open, and the period of parallel attempts has not ended. */
static bool is_disconnected(const QRPeerNet *p, uint64_t now_ms)
{
    return p->open == 0 &&
           now_ms <= p->disconnected_ms + PARALLEL_DIAL_PERIOD_MS;
}

void qr_peer_target_lost(QRPeerTarget *t, const QRPeerConn *peer,
                         uint64_t now_ms)
{
    if (t->standby == peer) {
        t->standby = NULL;
        t->next_standby_ms = now_ms + STANDBY_RETRY_MS;
        return;
    }
    t->peer = g_steal_pointer(&t->standby);
    if (is_disconnected(peer->peers, now_ms)) {
        t->next_dial_ms = now_ms + PARALLEL_DIAL_MS;
        return;
    }
    t->next_dial_ms = now_ms + t->backoff_ms;
    t->backoff_ms = MIN(t->backoff_ms * 2, BACKOFF_MAX_MS);
}

void qr_peer_target_connected(QRPeerTarget *t)
{
    t->backoff_ms = BACKOFF_MIN_MS;
}

static QRPeerLiveness liveness_of(const QRPeerConn *peer)
{
    return peer->awaiting_since_ms > 0 ? QR_PEER_RECEIVES
                                       : peer->target->liveness;
}

uint64_t qr_peer_silent_ms(const QRPeerConn *peer)
{
    uint64_t now = qr_clock_ms(peer->peers->loop);

    return now - MIN(MAX(peer->received_ms, peer->awaiting_since_ms), now);
}

bool qr_peer_promote_standby(QRPeerConn *standby)
{
    QRPeerTarget *t = standby->target;
    QRPeerConn *silent = t->peer;

    if (qr_peer_silent_ms(silent) <
        silence_limits[liveness_of(silent)].suspect_ms) {
        /* The first connection received bytes again. If it were lost now, the
           standby would replace it although its Hello was not handled. */
        qr_peer_close(standby);
        return false;
    }
    qr_logf(QR_LEVEL_WARN, "peers",
            "replaced address=%s quiet_ms=%" G_GUINT64_FORMAT, t->address,
            qr_peer_silent_ms(silent));
    standby->peers->replaced++;
    t->peer = standby;
    t->standby = NULL;
    silent->target = NULL; /* keeps the target from being redialled */
    qr_peer_close(silent);
    return true;
}

/* 'peer' has opened: closes the other attempt to the same target. */
static void close_slower_attempt(QRPeerConn *peer)
{
    QRPeerTarget *t = peer->target;

    if (t->standby == peer && !t->peer->open)
        qr_peer_close(t->peer); /* 'peer' replaces the closed attempt */
    else if (t->peer == peer && t->standby)
        qr_peer_close(t->standby);
}

static void on_connect(uv_connect_t *req, int status)
{
    QRPeerConn *peer = req->data;

    if (peer->closing)
        return;
    if (status != 0) {
        qr_peer_close(peer);
        return;
    }
    close_slower_attempt(peer);
    qr_peer_start(peer);
}

/* Dials the target; 'slot' points to its 'peer' or 'standby' field. */
static void dial_target(QRPeerNet *p, QRPeerTarget *t, QRPeerConn **slot)
{
    struct sockaddr_in at;
    QRPeerConn *peer = qr_peer_new(p);
    int rc = UV_EINVAL;

    peer->target = t;
    *slot = peer;
    if (qr_socket_address(t->address, &at))
        rc = uv_tcp_connect(&peer->connect, &peer->tcp,
                            (const struct sockaddr *)&at, on_connect);
    if (rc != 0)
        qr_peer_close(peer);
}

/* Retries without backoff: the address probably accepts connections now. */
static void retry_target(QRPeerTarget *t)
{
    QRPeerNet *p;

    t->next_dial_ms = 0;
    t->backoff_ms = BACKOFF_MIN_MS;
    if (!t->peer || t->peer->open)
        return;
    p = t->peer->peers;
    if (qr_clock_ms(p->loop) < t->peer->created_ms + RETRY_MIN_AGE_MS)
        return;
    qr_peer_close(t->peer); /* its SYN may have been lost */
    t->next_dial_ms = 0;
}

void qr_peers_dial(QRPeerNet *p, const char *address)
{
    QRPeerTarget *t = g_hash_table_lookup(p->targets, address);

    if (t) {
        retry_target(t);
        return;
    }
    t = g_new0(QRPeerTarget, 1);
    t->address = g_strdup(address);
    t->backoff_ms = BACKOFF_MIN_MS;
    g_hash_table_insert(p->targets, t->address, t);
    dial_target(p, t, &t->peer);
}

void qr_peers_redial(QRPeerNet *p, const char *address)
{
    QRPeerTarget *t = g_hash_table_lookup(p->targets, address);

    if (t && t->peer)
        qr_peer_close(t->peer);
    qr_peers_dial(p, address);
}

void qr_peers_hang_up(QRPeerNet *p, const char *address)
{
    QRPeerTarget *t = g_hash_table_lookup(p->targets, address);

    if (!t)
        return;
    if (t->standby)
        qr_peer_close(t->standby);
    if (t->peer)
        qr_peer_close(t->peer);
    g_hash_table_remove(p->targets, address);
}

bool qr_peers_keeps(const QRPeerNet *p, const char *address)
{
    return g_hash_table_contains(p->targets, address);
}

QRPeerConn *qr_peers_get_open(QRPeerNet *p, const char *address)
{
    QRPeerTarget *t;

    t = g_hash_table_lookup(p->targets, address);
    if (!t) {
        qr_peers_dial(p, address);
        t = g_hash_table_lookup(p->targets, address);
    }
    return t->peer && t->peer->open ? t->peer : NULL;
}

/* Gives up an attempt that has not opened in time. */
static void check_connect_timeout(QRPeerConn *peer, uint64_t now_ms)
{
    if (peer && !peer->open && now_ms >= peer->created_ms + CONNECT_TIMEOUT_MS)
        qr_peer_close(peer);
}

/* For an open connection: probes it and opens or closes the standby, depending
   on how long the connection has been silent. */
static void check_silence(QRPeerNet *p, QRPeerTarget *t, uint64_t now_ms)
{
    QRPeerConn *peer = t->peer;
    uint64_t silent_ms = qr_peer_silent_ms(peer);
    uint64_t probe = silence_limits[liveness_of(peer)].probe_ms;
    uint64_t suspect = silence_limits[liveness_of(peer)].suspect_ms;

    if (silent_ms >= probe && now_ms >= peer->probed_ms + probe)
        qr_peer_probe(peer, false);
    if (peer->closing)
        return;
    if (silent_ms < suspect) {
        if (t->standby)
            qr_peer_close(t->standby);
    } else if (!t->standby && now_ms >= t->next_standby_ms) {
        qr_logf(QR_LEVEL_INFO, "peers",
                "doubted address=%s quiet_ms=%" G_GUINT64_FORMAT, t->address,
                silent_ms);
        dial_target(p, t, &t->standby);
    }
}

/* Starts a parallel attempt while no connection at all is open. */
static void check_parallel_dial(QRPeerNet *p, QRPeerTarget *t, uint64_t now_ms)
{
    QRPeerConn *last = t->standby ? t->standby : t->peer;

    if (!is_disconnected(p, now_ms) ||
        now_ms < last->created_ms + PARALLEL_DIAL_MS)
        return;
    if (t->standby)
        qr_peer_close(t->standby);
    dial_target(p, t, &t->standby);
}

void qr_peer_target_tick(QRPeerNet *p, QRPeerTarget *t, uint64_t now_ms)
{
    if (!t->peer && now_ms >= t->next_dial_ms)
        dial_target(p, t, &t->peer);
    check_connect_timeout(t->standby, now_ms);
    check_connect_timeout(t->peer, now_ms);
    if (t->peer && !t->peer->open)
        check_parallel_dial(p, t, now_ms);
    if (t->peer && t->peer->open)
        check_silence(p, t, now_ms);
}
