/*
 * Connections to other gateways: dials the neighbours of this gateway (see
 * fleet/qr_neighbours.h) and closes connections to other gateways. A starting
 * gateway has some of these, because it dials the seeds in any region, and
 * because it cannot tell the delegates while it knows few gateways.
 */
#include "qr_gateway_peers_parts.h"

#include <string.h>

/* With more gateways, those of other regions are met only once no new gateway
   has become known for SETTLE_MS: until then most look like delegates. */
#define UNSETTLED_MAX 24
#define SETTLE_MS 150

static QRNeighbour self(const QRGateway *g)
{
    return (QRNeighbour){g->set->host, g->set->region, true};
}

static QRNeighbour neighbour_of(const QRFleetMember *m)
{
    return (QRNeighbour){m->name, m->region ? m->region : "",
                         strcmp(m->role, QR_ROLE_GATEWAY) == 0};
}

bool qr_gateway_is_neighbour(const QRGateway *g, const QRFleetMember *m)
{
    QRNeighbour own = self(g), other = neighbour_of(m);

    return qr_neighbours_connect(&g->neighbours, &own, &other);
}

bool qr_gateway_may_meet_regions(const QRGateway *g)
{
    return g->neighbours_settled || g->neighbours.known <= UNSETTLED_MAX;
}

bool qr_gateway_concerns_member(const QRGateway *g, const QRFleetMember *to,
                                const QRFleetMember *about)
{
    QRNeighbour row = neighbour_of(about);

    if (!row.is_gateway || g_strcmp0(to->region, about->region) == 0)
        return true;
    return qr_gateway_may_meet_regions(g) &&
           qr_neighbours_is_delegate(&g->neighbours, row.name, row.region);
}

bool qr_gateway_is_delegate(const QRGateway *g, const QRFleetMember *m)
{
    return qr_neighbours_is_delegate(&g->neighbours, m->name,
                                     m->region ? m->region : "");
}

bool qr_gateway_is_own_delegate(const QRGateway *g)
{
    return qr_neighbours_is_delegate(&g->neighbours, g->set->host,
                                     g->set->region);
}

bool qr_gateway_region_is_large(const QRGateway *g)
{
    return qr_neighbours_is_large(&g->neighbours, g->set->region);
}

bool qr_gateway_is_meshed_with(const QRGateway *g, const char *region)
{
    return qr_neighbours_are_meshed(&g->neighbours, g->set->region,
                                    region ? region : "");
}

bool qr_gateway_relays_between_regions(const QRGateway *g, uint64_t now_ms)
{
    const char *name;

    if (!qr_gateway_region_is_large(g))
        return false;
    for (unsigned i = 0;
         (name = qr_neighbours_delegate(&g->neighbours, g->set->region, i)) !=
         NULL;
         i++) {
        const QRFleetMember *m = qr_members_get(&g->members, name);

        if (strcmp(name, g->set->host) == 0)
            return true;
        if (m && !m->leaving &&
            qr_member_alive(m, (uint64_t)g->set->lease_ms, now_ms))
            return false;
    }
    return false;
}

void qr_gateway_note_region_size(QRGateway *g, const char *region,
                                 unsigned size)
{
    g->neighbours_changed |=
        qr_neighbours_note_size(&g->neighbours, region ? region : "", size);
}

unsigned qr_gateway_region_size(const QRGateway *g, const char *region)
{
    return qr_neighbours_size(&g->neighbours, region ? region : "");
}

void qr_gateway_add_neighbour(QRGateway *g, const QRFleetMember *m)
{
    QRNeighbour added = neighbour_of(m);

    g->neighbours_changed |=
        qr_neighbours_add(&g->neighbours, added.name, added.region);
    g->neighbour_added_ms = qr_gateway_now(g);
    if (qr_gateway_is_neighbour(g, m) &&
        (qr_gateway_is_same_region(g, m) || qr_gateway_may_meet_regions(g)))
        qr_peers_dial(g->peers, m->address);
}

/* Notes that most gateways are known, and asks others once more for the rest:
   so far they named only those of our region. */
static void settle(QRGateway *g, const GPtrArray *gateways, uint64_t now_ms)
{
    if (g->neighbours_settled || gateways->len == 0 ||
        now_ms < g->neighbour_added_ms + SETTLE_MS)
        return;
    g->neighbours_settled = g->neighbours_changed = true;
    for (unsigned i = 0;
         g->neighbours.known > UNSETTLED_MAX && i < gateways->len; i++) {
        QRFleetMember *m = gateways->pdata[i];

        m->gateways_asked = 0;
        /* sidecars that began to follow since UNSETTLED_MAX was exceeded were
           not told of the gateways of other regions */
        m->told_as = TOLD_NOTHING;
    }
    qr_logf(QR_LEVEL_INFO, "members",
            "gateways settled known=%u region=%u delegate=%d", gateways->len,
            qr_gateway_region_size(g, g->set->region),
            qr_gateway_is_own_delegate(g));
}

/* Whether any neighbour was heard lately. Until then, connections to other
   gateways are kept: only they can name the neighbours. */
static bool has_live_neighbour(const QRGateway *g, const GPtrArray *gateways,
                               uint64_t now_ms)
{
    for (unsigned i = 0; i < gateways->len; i++) {
        const QRFleetMember *m = gateways->pdata[i];

        if (qr_gateway_is_neighbour(g, m) &&
            qr_member_alive(m, (uint64_t)g->set->lease_ms, now_ms))
            return true;
    }
    return false;
}

void qr_gateway_update_neighbours(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list = NULL;

    if (!g->neighbours_changed && g->neighbours_settled)
        return;
    list = qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    settle(g, list, now_ms);
    if (!g->neighbours_changed || !qr_gateway_may_meet_regions(g))
        return;
    if (list->len > 0 && !has_live_neighbour(g, list, now_ms))
        return; /* checked again at the next heartbeat */
    g->neighbours_changed = false;
    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        if (!qr_gateway_is_neighbour(g, m))
            qr_peers_hang_up(g->peers, m->address);
        else if (!qr_peers_keeps(g->peers, m->address))
            qr_peers_dial(g->peers, m->address);
    }
    qr_gateway_send_gateways(g);
}
