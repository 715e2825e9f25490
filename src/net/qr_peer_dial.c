/*
 * Addresses to which connections of our own processes are kept open: dialled,
 * dialled again, and doubted.
 *
 * A connection may go silent for good without a reset, and the kernel finds out
 * on the side that writes only. So the side that dialled asks, where something
 * rests on the connection, when it has heard nothing for a moment. If no answer
 * comes either it does not judge the old connection: it dials a second one.
 * When that is greeted while the old one is still mute, it takes its place;
 * when the old one speaks again, the second is closed. A peer that stands
 * still, or whose link is full, answers on neither and loses nothing.
 */
#include "qr_peer_parts.h"
#include "qr_socket.h"

#include "io/qr_log.h"

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

void qr_peer_target_free(void *p)
{
    QRPeerTarget *t = p;

    g_free(t->address);
    g_free(t);
}

/* No connection is open, and has not been for a short while only. */
static bool is_alone(const QRPeerNet *p, uint64_t now_ms)
{
    return p->open == 0 && now_ms <= p->alone_ms + RACE_MOST_MS;
}

void qr_peer_target_lost(QRPeerTarget *t, const QRPeerConn *peer,
                         uint64_t now_ms)
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

void qr_peer_target_reached(QRPeerTarget *t)
{
    t->pause_ms = REDIAL_FIRST_MS;
}

static QRPeerCare care_of(const QRPeerConn *peer)
{
    return peer->expect_ms > 0 ? QR_PEER_HEARS : peer->target->care;
}

uint64_t qr_peer_quiet_ms(const QRPeerConn *peer)
{
    uint64_t now = qr_clock_ms(peer->peers->loop);

    return now - MIN(MAX(peer->heard_ms, peer->expect_ms), now);
}

bool qr_peer_second_counts(QRPeerConn *second)
{
    QRPeerTarget *t = second->target;
    QRPeerConn *mute = t->peer;

    if (qr_peer_quiet_ms(mute) < cares[care_of(mute)].doubt_ms) {
        /* it spoke again; were it lost now, the second would take its place
           without having been greeted */
        qr_peer_close(second);
        return false;
    }
    qr_logf(QR_LEVEL_WARN, "peers",
            "replaced address=%s quiet_ms=%" G_GUINT64_FORMAT, t->address,
            qr_peer_quiet_ms(mute));
    second->peers->replaced++;
    t->peer = second;
    t->second = NULL;
    mute->target = NULL; /* the peer is not lost */
    qr_peer_close(mute);
    return true;
}

/* Of two attempts to reach a target one has opened: the other goes. */
static void race_won(QRPeerConn *peer)
{
    QRPeerTarget *t = peer->target;

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
    qr_peer_start(peer);
}

/* Dials into 'slot' of the target: its connection, or the second one. */
static void target_dial(QRPeerNet *p, QRPeerTarget *t, QRPeerConn **slot)
{
    struct sockaddr_in at;
    QRPeerConn *peer = qr_peer_new(p);
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
static void target_hurry(QRPeerTarget *t)
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
    QRPeerTarget *t = g_hash_table_lookup(p->targets, address);

    if (t) {
        target_hurry(t);
        return;
    }
    t = g_new0(QRPeerTarget, 1);
    t->address = g_strdup(address);
    t->pause_ms = REDIAL_FIRST_MS;
    g_hash_table_insert(p->targets, t->address, t);
    target_dial(p, t, &t->peer);
}

void qr_peers_redial(QRPeerNet *p, const char *address)
{
    QRPeerTarget *t = g_hash_table_lookup(p->targets, address);

    if (t && t->peer)
        qr_peer_close(t->peer);
    qr_peers_dial(p, address);
}

QRPeerConn *qr_peers_open_at(QRPeerNet *p, const char *address)
{
    QRPeerTarget *t;

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
static void check_quiet(QRPeerNet *p, QRPeerTarget *t, uint64_t now_ms)
{
    QRPeerConn *peer = t->peer;
    uint64_t quiet = qr_peer_quiet_ms(peer);
    uint64_t probe = cares[care_of(peer)].probe_ms;
    uint64_t doubt = cares[care_of(peer)].doubt_ms;

    if (quiet >= probe && now_ms >= peer->probed_ms + probe)
        qr_peer_probe(peer, false);
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
static void check_race(QRPeerNet *p, QRPeerTarget *t, uint64_t now_ms)
{
    QRPeerConn *last = t->second ? t->second : t->peer;

    if (!is_alone(p, now_ms) || now_ms < last->since_ms + RACE_MS)
        return;
    if (t->second)
        qr_peer_close(t->second);
    target_dial(p, t, &t->second);
}

void qr_peer_target_tick(QRPeerNet *p, QRPeerTarget *t, uint64_t now_ms)
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
