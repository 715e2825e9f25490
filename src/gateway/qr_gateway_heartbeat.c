/*
 * What gateways tell one another at each heartbeat: their open calls at
 * engines, what they know of records, and how many gateways.
 */
#include "qr_gateway.h"

#include <string.h>

#define HEARTBEAT_REST 8 /* heartbeats between two that say all anew */
#define READER_REST 2    /* ... of one in whose place others do not read */
/* What a gateway told counts for so long: two of its whole lists, which come
   every 800 ms, may be late or lost. Longer, and its calls, which are over by
   then, keep places from those of others. */
#define LOAD_LEASE_MS 2000
#define LISTEN_LEASES 2 /* to know how many gateways there are */

void qr_gateway_load_told(QRGateway *g, QRFleetMember *member,
                          const Qr__Fleet__Load *load)
{
    qr_gateway_peer_knows(g, member, load->control_offset);
    member->gateways = load->gateways;
    qr_gateway_share_told(g, member, load);
    member->load_ms = qr_gateway_now(g);
    if (load->whole)
        qr_engines_forget_gateway(&g->engines, member->name);
    for (size_t i = 0; i < load->n_engines; i++) {
        QRToldLoad told = {load->engines[i]->open, load->engines[i]->reading,
                           qr_gateway_now(g)};

        qr_engines_told_load(&g->engines, load->engines[i]->engine,
                             member->name, &told);
    }
    if (member->leaving != load->leaving)
        qr_logf(QR_LEVEL_INFO, "members", "%s name=%s",
                load->leaving ? "leaving" : "staying", member->name);
    member->leaving = load->leaving;
}

void qr_gateway_check_loads(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    /* after a standstill: what came meanwhile is not read yet */
    uint64_t heard_ms = qr_gateway_sent_ms(g);

    for (unsigned i = 0; i < list->len; i++) {
        QRFleetMember *m = list->pdata[i];

        if (m->load_ms == 0 || heard_ms <= m->load_ms + LOAD_LEASE_MS)
            continue;
        qr_logf(QR_LEVEL_WARN, "members",
                "load expired name=%s age_ms=%" G_GUINT64_FORMAT, m->name,
                now_ms - m->load_ms);
        m->load_ms = 0;
        qr_engines_forget_gateway(&g->engines, m->name);
    }
}

/* The load message: engines whose open calls changed since it was last told. */
static void load_collect(QRGateway *g, GArray *rows, bool whole)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->engines.by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QREngine *e = value;
        Qr__Fleet__EngineLoad row = QR__FLEET__ENGINE_LOAD__INIT;

        bool changed = e->own != e->own_told || e->reading != e->reading_told;

        e->own_told = e->own;
        e->reading_told = e->reading;
        if (whole ? e->own == 0 : !changed)
            continue;
        row.engine = e->record->id;
        row.open = e->own;
        row.reading = e->reading;
        g_array_append_val(rows, row);
    }
}

static void load_send(QRGateway *g, GArray *rows, Qr__Fleet__Load *load)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    g_autofree Qr__Fleet__EngineLoad **list =
        g_new0(Qr__Fleet__EngineLoad *, rows->len + 1);

    for (unsigned i = 0; i < rows->len; i++)
        list[i] = &g_array_index(rows, Qr__Fleet__EngineLoad, i);
    load->engines = list;
    load->n_engines = rows->len;
    load->leaving = g->stopping_ms > 0;
    load->control_offset = g->operator.end;
    load->gateways = qr_gateway_count(g);
    frame.body_case = QR__FLEET__FRAME__BODY_LOAD;
    frame.load = load;
    /* gateways that dialled us hear us on that connection */
    for (unsigned i = 0; i < g->followers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->followers->pdata[i]);

        if (to && strcmp(to->role, QR_ROLE_GATEWAY) == 0)
            qr_peer_send(g->followers->pdata[i], &frame);
    }
}

static bool has_other_seeds(const QRGateway *g)
{
    for (unsigned i = 0; i < g->set->seeds->len; i++) {
        if (strcmp(g->set->seeds->pdata[i], g->set->peers) != 0)
            return true;
    }
    return false;
}

/*
 * Gateways that we know, or one that we know does: the most so far. 0: there
 * are others, and nobody was heard of yet, or we have not listened for long
 * enough to know how many.
 */
static unsigned gateways_known(const QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    uint64_t listen_ms = LISTEN_LEASES * (uint64_t)g->set->lease_ms;
    unsigned known = MAX(g->gateways_known, list->len + 1);

    if (has_other_seeds(g) &&
        (list->len == 0 || now_ms < g->started_ms + listen_ms))
        return 0;
    for (unsigned i = 0; i < list->len; i++)
        known = MAX(known, ((const QRFleetMember *)list->pdata[i])->gateways);
    return known;
}

void qr_gateway_heartbeat(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GArray) rows =
        g_array_new(FALSE, FALSE, sizeof(Qr__Fleet__EngineLoad));
    Qr__Fleet__Load load = QR__FLEET__LOAD__INIT;
    unsigned turn = ++g->heartbeats;
    bool is_due, is_news;

    qr_gateway_meet(g, now_ms);
    qr_gateway_catch_up(g, now_ms);
    qr_gateway_share_tick(g, now_ms);
    g->gateways_known = gateways_known(g, now_ms);
    load.whole = turn % HEARTBEAT_REST == 0 || g->follower_is_new;
    g->follower_is_new = false;
    load_collect(g, rows, load.whole);
    is_news = qr_gateway_share_tell(g, &load);
    is_due = load.reads_engines && turn % READER_REST == 0;
    if (rows->len > 0 || load.whole || is_news || is_due)
        load_send(g, rows, &load);
}

void qr_gateway_tell_leaving(QRGateway *g)
{
    g_autoptr(GArray) rows =
        g_array_new(FALSE, FALSE, sizeof(Qr__Fleet__EngineLoad));
    Qr__Fleet__Load load = QR__FLEET__LOAD__INIT;

    qr_gateway_share_tell(g, &load);
    load_send(g, rows, &load);
}
