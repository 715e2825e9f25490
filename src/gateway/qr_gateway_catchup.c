/*
 * Operator's records from other gateways, for one that the store leaves out.
 *
 * Each gateway tells by hello and heartbeat which record it knows last. One
 * that is behind for a moment asks one of those that know more, and then the
 * next: were all to tell it, the same configuration would come from each.
 */
#include "qr_gateway.h"

#include <string.h>

#define BEHIND_MS 100 /* the store may take so long to tell us itself */
#define ASK_AGAIN_MS 250

void qr_gateway_peer_knows(QRGateway *g, QRFleetMember *member, uint64_t offset)
{
    member->control_offset = offset;
    if (offset > g->operator.end && g->behind_ms == 0)
        g->behind_ms = MAX(qr_gateway_now(g), 1);
}

/* How gladly a gateway is asked: the nearer, then any, by turns. */
static uint64_t preference(const QRGateway *g, const QRFleetMember *m)
{
    bool near = g_strcmp0(m->region, g->set->region) == 0;
    uint64_t dice = qr_hash_str(m->name, g->fetches) >> 1;

    return near ? dice : dice | UINT64_C(1) << 63;
}

/* The connection of a gateway that knows more than we do, or NULL. */
static QRPeerConn *choose_teller(const QRGateway *g)
{
    QRPeerConn *best = NULL;
    uint64_t least = 0;

    for (unsigned i = 0; i < g->followers->len; i++) {
        QRPeerConn *peer = g->followers->pdata[i];
        const QRFleetMember *m = qr_peer_data(peer);

        if (!m || strcmp(m->role, QR_ROLE_GATEWAY) != 0 ||
            m->control_offset <= g->operator.end)
            continue;
        if (!best || preference(g, m) < least) {
            best = peer;
            least = preference(g, m);
        }
    }
    return best;
}

void qr_gateway_catch_up(QRGateway *g, uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;
    QRPeerConn *teller;

    if (g->behind_ms == 0 || now_ms < g->behind_ms + BEHIND_MS ||
        now_ms < g->fetch_ms + ASK_AGAIN_MS)
        return;
    teller = choose_teller(g);
    if (!teller) {
        g->behind_ms = 0;
        return;
    }
    g->fetch_ms = now_ms;
    g->fetches++;
    fetch.offset = g->operator.end;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(teller, &frame);
    qr_logf(QR_LEVEL_INFO, "members",
            "behind own=%" G_GUINT64_FORMAT " behind_for_ms=%" G_GUINT64_FORMAT
            " asked=%s",
            g->operator.end, now_ms - g->behind_ms,
            ((const QRFleetMember *)qr_peer_data(teller))->name);
}
