/*
 * How gateways come to know of one another.
 *
 * Each tells by hello and heartbeat how many it knows. One that knows fewer
 * asks one that knows more for its list, and then the next. Were each to send
 * its list to each that it greets, hundreds that start at once would fill the
 * links between regions with the same names.
 */
#include "qr_gateway.h"

#include <string.h>

/* For the list to come, and for those on it to be greeted. */
#define ASK_AGAIN_MS 300

unsigned qr_gateway_count(const QRGateway *g)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    unsigned n = g->stopping_ms == 0;

    for (unsigned i = 0; i < list->len; i++)
        n += !((const QRFleetMember *)list->pdata[i])->leaving;
    return n;
}

/* One that knows more gateways than we do and was not asked since. */
static QRPeerConn *choose_introducer(const QRGateway *g)
{
    unsigned known = qr_gateway_count(g);
    QRPeerConn *best = NULL;
    uint64_t least = 0;

    for (unsigned i = 0; i < g->subscribers->len; i++) {
        QRPeerConn *peer = g->subscribers->pdata[i];
        const QRFleetMember *m = qr_peer_data(peer);
        uint64_t dice;

        if (!m || strcmp(m->role, QR_ROLE_GATEWAY) != 0 ||
            m->gateways <= MAX(known, m->gateways_asked))
            continue;
        /* nearer ones first, then any, by turns */
        dice = qr_hash_str(m->name, g->members_fetch_ms) >> 1;
        if (g_strcmp0(m->region, g->set->region) != 0)
            dice |= UINT64_C(1) << 63;
        if (!best || dice < least) {
            best = peer;
            least = dice;
        }
    }
    return best;
}

void qr_gateway_meet(QRGateway *g, uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;
    QRPeerConn *peer;
    QRFleetMember *member;

    if (now_ms < g->members_fetch_ms + ASK_AGAIN_MS)
        return;
    peer = choose_introducer(g);
    if (!peer)
        return;
    member = qr_peer_data(peer);
    g->members_fetch_ms = now_ms;
    member->gateways_asked = member->gateways;
    fetch.gateways = true;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(peer, &frame);
    qr_logf(QR_LEVEL_INFO, "members", "gateways known=%u asked=%s knows=%u",
            qr_gateway_count(g), member->name, member->gateways);
}

void qr_gateway_introduce(const QRGateway *g, QRPeerConn *peer)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    g_autofree Qr__Fleet__Hello *rows = g_new(Qr__Fleet__Hello, list->len + 1);
    g_autofree Qr__Fleet__Hello **names =
        g_new(Qr__Fleet__Hello *, list->len + 1);
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Members members = QR__FLEET__MEMBERS__INIT;

    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        if (m->leaving)
            continue;
        qr_member_describe(m, &rows[i]);
        names[members.n_members++] = &rows[i];
    }
    members.members = names;
    frame.body_case = QR__FLEET__FRAME__BODY_MEMBERS;
    frame.members = &members;
    qr_peer_send(peer, &frame);
}
