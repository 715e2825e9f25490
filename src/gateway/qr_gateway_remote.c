/*
 * Engines of other regions, for a gateway of a large region.
 *
 * Sidecars report to the gateways of their own region and to the delegates of
 * others. A gateway that is no delegate therefore knows no load and no slots
 * elsewhere. When its region has no usable engine for a call, it asks a
 * delegate for some sidecars of each other region, and dials them: they then
 * report to it and grant it slots, as those of its region do. The connections
 * are closed when the region has had engines for a while. A region whose
 * engines are merely full keeps its calls: in an overload of all regions, calls
 * that leave theirs arrive late and take the slots of others.
 */
#include "qr_gateway.h"

#include <string.h>

#define SIDECARS_PER_REGION 4
#define SIDECAR_SEED                                                           \
    19                /* of the hash that gives gateways different sidecars    \
                       */
#define KEEP_MS 10000 /* after the last shortage */
#define FETCH_RETRY_MS 500

static bool is_remote_sidecar(const QRGateway *g, const QRFleetMember *m)
{
    return strcmp(m->role, QR_ROLE_SIDECAR) == 0 &&
           !qr_gateway_is_same_region(g, m);
}

/* Delegates are dialled by the sidecars of all regions. */
static bool needs_remote_sidecars(const QRGateway *g)
{
    return qr_gateway_region_is_large(g) && !qr_gateway_is_own_delegate(g);
}

void qr_gateway_note_shortage(QRGateway *g)
{
    g->shortage_ms = MAX(qr_gateway_now(g), 1);
}

void qr_gateway_dial_remote_sidecar(QRGateway *g, const QRFleetMember *m)
{
    if (needs_remote_sidecars(g) && is_remote_sidecar(g, m))
        qr_peers_dial(g->peers, m->address);
}

void qr_gateway_follow_sidecar(QRGateway *g, QRPeerConn *peer)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Hello hello = QR__FLEET__HELLO__INIT;

    qr_gateway_fill_hello(g, &frame, &hello);
    hello.follow = true;
    frame.body_case = QR__FLEET__FRAME__BODY_HELLO;
    frame.hello = &hello;
    qr_peer_send(peer, &frame);
}

/* Returns the connection of a delegate of our region, or NULL. */
static QRPeerConn *find_delegate(const QRGateway *g)
{
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        const QRFleetMember *m = qr_peer_data(g->subscribers->pdata[i]);

        if (m && strcmp(m->role, QR_ROLE_GATEWAY) == 0 &&
            qr_gateway_is_same_region(g, m) && qr_gateway_is_delegate(g, m))
            return g->subscribers->pdata[i];
    }
    return NULL;
}

static void fetch_remote_sidecars(QRGateway *g, uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;
    QRPeerConn *delegate = find_delegate(g);

    if (!delegate || now_ms < g->remote_fetch_ms + FETCH_RETRY_MS)
        return;
    g->remote_fetch_ms = now_ms;
    fetch.sidecars = true;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(delegate, &frame);
    qr_logf(
        QR_LEVEL_INFO, "members",
        "remote sidecars requested asked=%s short_ago_ms=%" G_GUINT64_FORMAT,
        ((const QRFleetMember *)qr_peer_data(delegate))->name,
        now_ms - g->shortage_ms);
}

static void forget_remote_sidecars(QRGateway *g, const GPtrArray *sidecars)
{
    for (unsigned i = 0; i < sidecars->len; i++) {
        QRFleetMember *m = sidecars->pdata[i];

        if (!is_remote_sidecar(g, m))
            continue;
        qr_peers_hang_up(g->peers, m->address);
        qr_peers_clear_data(g->peers, m);
        qr_members_remove(&g->members, m->name);
    }
    qr_logf(QR_LEVEL_INFO, "members", "remote sidecars dropped");
}

void qr_gateway_remote_tick(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) sidecars = NULL;
    unsigned remote = 0;

    if (g->shortage_ms == 0 || !needs_remote_sidecars(g))
        return;
    sidecars = qr_members_of(&g->members, QR_ROLE_SIDECAR, NULL);
    for (unsigned i = 0; i < sidecars->len; i++)
        remote += is_remote_sidecar(g, sidecars->pdata[i]);
    if (now_ms < g->shortage_ms + KEEP_MS) {
        if (remote == 0)
            fetch_remote_sidecars(g, now_ms);
        return;
    }
    g->shortage_ms = 0;
    if (remote > 0)
        forget_remote_sidecars(g, sidecars);
}

/* Some sidecars of one region: those of the least rank. */
typedef struct Picked {
    const QRFleetMember *rows[SIDECARS_PER_REGION];
    uint64_t ranks[SIDECARS_PER_REGION];
    unsigned count;
} Picked;

static void pick(Picked *p, const QRFleetMember *m, uint64_t rank)
{
    unsigned i;

    if (p->count < SIDECARS_PER_REGION)
        i = p->count++;
    else if (rank < p->ranks[SIDECARS_PER_REGION - 1])
        i = SIDECARS_PER_REGION - 1;
    else
        return;
    for (; i > 0 && p->ranks[i - 1] > rank; i--) {
        p->ranks[i] = p->ranks[i - 1];
        p->rows[i] = p->rows[i - 1];
    }
    p->ranks[i] = rank;
    p->rows[i] = m;
}

/* Returns a map region -> Picked *: other sidecars for each gateway that asks,
   so that their calls spread. */
static GHashTable *pick_sidecars(const QRGateway *g, const QRFleetMember *to)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_SIDECAR, NULL);
    GHashTable *regions =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    uint64_t seed = qr_hash_str(to->name, SIDECAR_SEED);

    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];
        Picked *p;

        if (m->leaving || !m->region || g_strcmp0(m->region, to->region) == 0)
            continue;
        p = g_hash_table_lookup(regions, m->region);
        if (!p) {
            p = g_new0(Picked, 1);
            g_hash_table_insert(regions, m->region, p);
        }
        pick(p, m, qr_hash_str(m->name, seed));
    }
    return regions;
}

void qr_gateway_send_remote_sidecars(const QRGateway *g, QRPeerConn *peer)
{
    g_autoptr(GHashTable) regions = pick_sidecars(g, qr_peer_data(peer));
    unsigned most = g_hash_table_size(regions) * SIDECARS_PER_REGION;
    g_autofree Qr__Fleet__Hello *rows = g_new(Qr__Fleet__Hello, most + 1);
    g_autofree Qr__Fleet__Hello **hellos = g_new(Qr__Fleet__Hello *, most + 1);
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Members members = QR__FLEET__MEMBERS__INIT;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, regions);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Picked *p = value;

        for (unsigned i = 0; i < p->count; i++) {
            qr_member_describe(p->rows[i], &rows[members.n_members]);
            hellos[members.n_members] = &rows[members.n_members];
            members.n_members++;
        }
    }
    members.members = hellos;
    frame.body_case = QR__FLEET__FRAME__BODY_MEMBERS;
    frame.members = &members;
    qr_peer_send(peer, &frame);
}
