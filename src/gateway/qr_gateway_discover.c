/*
 * Discovery of other gateways.
 *
 * Each hello and heartbeat carries the number of gateways that its sender
 * knows. A gateway that knows fewer requests the list from one that knows more,
 * and then from the next. If each gateway sent its list with every hello,
 * hundreds of gateways that start at once would fill the links between regions
 * with the same names.
 */
#include "qr_gateway.h"

#include <string.h>

/* Time for the list to arrive and for hellos with the gateways on the list. */
#define DISCOVERY_RETRY_MS 300

unsigned qr_gateway_count(const QRGateway *g)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    unsigned n = g->stopping_ms == 0;

    for (unsigned i = 0; i < list->len; i++)
        n += !((const QRFleetMember *)list->pdata[i])->leaving;
    return n;
}

/* Returns the connection of a gateway that knows more gateways than this one
   and than the gateway knew when last asked, or NULL. */
static QRPeerConn *choose_member_source(const QRGateway *g)
{
    unsigned known = qr_gateway_count(g);
    QRPeerConn *best = NULL;
    uint64_t least_rank = 0;

    for (unsigned i = 0; i < g->subscribers->len; i++) {
        QRPeerConn *peer = g->subscribers->pdata[i];
        const QRFleetMember *m = qr_peer_data(peer);
        uint64_t rank;

        if (!m || strcmp(m->role, QR_ROLE_GATEWAY) != 0 ||
            m->gateways <= MAX(known, m->gateways_asked))
            continue;
        /* same region first; the hash varies the choice each time */
        rank = qr_hash_str(m->name, g->members_fetch_ms) >> 1;
        if (g_strcmp0(m->region, g->set->region) != 0)
            rank |= UINT64_C(1) << 63;
        if (!best || rank < least_rank) {
            best = peer;
            least_rank = rank;
        }
    }
    return best;
}

void qr_gateway_discover(QRGateway *g, uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;
    QRPeerConn *peer;
    QRFleetMember *member;

    if (now_ms < g->members_fetch_ms + DISCOVERY_RETRY_MS)
        return;
    peer = choose_member_source(g);
    if (!peer)
        return;
    member = qr_peer_data(peer);
    g->members_fetch_ms = now_ms;
    member->gateways_asked = member->gateways;
    fetch.gateways = true;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(peer, &frame);
    qr_logf(QR_LEVEL_INFO, "members",
            "gateway list requested known=%u asked=%s knows=%u",
            qr_gateway_count(g), member->name, member->gateways);
}

void qr_gateway_send_members(const QRGateway *g, QRPeerConn *peer)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    g_autofree Qr__Fleet__Hello *rows = g_new(Qr__Fleet__Hello, list->len + 1);
    g_autofree Qr__Fleet__Hello **hellos =
        g_new(Qr__Fleet__Hello *, list->len + 1);
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Members members = QR__FLEET__MEMBERS__INIT;
    const QRFleetMember *to = qr_peer_data(peer);

    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        if (m->leaving || !qr_gateway_concerns_member(g, to, m))
            continue;
        qr_member_describe(m, &rows[i]);
        rows[i].delegate = qr_gateway_is_delegate(g, m);
        rows[i].region_gateways = qr_gateway_region_size(g, m->region);
        hellos[members.n_members++] = &rows[i];
    }
    members.members = hellos;
    frame.body_case = QR__FLEET__FRAME__BODY_MEMBERS;
    frame.members = &members;
    qr_peer_send(peer, &frame);
}
