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
    QRKnowledge known = {load->policy_version, load->weights_revision,
                         load->control_offset};

    qr_gateway_peer_knows(g, member, &known);
    member->gateways = load->gateways;
    qr_gateway_share_told(g, member, load);
    member->load_reported_ms = qr_gateway_now(g);
    if (load->whole)
        qr_engines_forget_gateway(&g->engines, member->name);
    for (size_t i = 0; i < load->n_engines; i++) {
        QRGatewayLoad told = {load->engines[i]->open, load->engines[i]->reading,
                              qr_gateway_now(g)};

        qr_engines_report_load(&g->engines, load->engines[i]->engine,
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

        if (m->load_reported_ms == 0 ||
            heard_ms <= m->load_reported_ms + LOAD_LEASE_MS)
            continue;
        qr_logf(QR_LEVEL_WARN, "members",
                "load expired name=%s age_ms=%" G_GUINT64_FORMAT, m->name,
                now_ms - m->load_reported_ms);
        m->load_reported_ms = 0;
        qr_engines_forget_gateway(&g->engines, m->name);
    }
}

/* Rows of the load message, for gateways of two kinds. */
typedef struct LoadRows {
    GArray *unreserved; /* Qr__Fleet__EngineLoad: engines whose slots have no
                           keeper */
    GArray *all;        /* also the others: for builds that ask for no slots */
} LoadRows;

static LoadRows load_rows_new(void)
{
    return (LoadRows){
        g_array_new(FALSE, FALSE, sizeof(Qr__Fleet__EngineLoad)),
        g_array_new(FALSE, FALSE, sizeof(Qr__Fleet__EngineLoad)),
    };
}

static void load_rows_clear(LoadRows *rows)
{
    g_array_unref(rows->unreserved);
    g_array_unref(rows->all);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(LoadRows, load_rows_clear)

/* The load message: engines whose open calls changed since it was last told. */
static void load_collect(QRGateway *g, LoadRows *rows, bool whole)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->engines.by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QREngine *e = value;
        Qr__Fleet__EngineLoad row = QR__FLEET__ENGINE_LOAD__INIT;

        bool changed =
            e->own != e->own_reported || e->reading != e->reading_reported;

        e->own_reported = e->own;
        e->reading_reported = e->reading;
        if (whole ? e->own == 0 : !changed)
            continue;
        row.engine = e->record->id;
        row.open = e->own;
        row.reading = e->reading;
        g_array_append_val(rows->all, row);
        if (!qr_engine_has_coordinator(e, qr_gateway_now(g)))
            g_array_append_val(rows->unreserved, row);
    }
}

static void load_set_rows(Qr__Fleet__Load *load, GPtrArray *list)
{
    load->engines = (Qr__Fleet__EngineLoad **)list->pdata;
    load->n_engines = list->len;
}

static GPtrArray *pointers_to(const GArray *rows)
{
    GPtrArray *list = g_ptr_array_sized_new(rows->len);

    for (unsigned i = 0; i < rows->len; i++)
        g_ptr_array_add(list, &g_array_index(rows, Qr__Fleet__EngineLoad, i));
    return list;
}

/* A word that says nothing new is kept from who would hear it in vain. */
static void load_send(QRGateway *g, const LoadRows *rows, Qr__Fleet__Load *load,
                      bool is_due)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    g_autoptr(GPtrArray) all = pointers_to(rows->all);
    g_autoptr(GPtrArray) unreserved = pointers_to(rows->unreserved);
    QRKnowledge known = qr_operator_knowledge(&g->operator);

    load->leaving = g->stopping_ms > 0;
    load->policy_version = known.policy;
    load->weights_revision = known.weights;
    load->control_offset = known.offset;
    load->gateways = qr_gateway_count(g);
    frame.body_case = QR__FLEET__FRAME__BODY_LOAD;
    frame.load = load;
    /* gateways that dialled us hear us on that connection */
    for (unsigned i = 0; i < g->followers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->followers->pdata[i]);

        if (!to || strcmp(to->role, QR_ROLE_GATEWAY) != 0)
            continue;
        load_set_rows(load, to->reserves_slots ? unreserved : all);
        if (is_due || load->n_engines > 0)
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
    g_auto(LoadRows) rows = load_rows_new();
    Qr__Fleet__Load load = QR__FLEET__LOAD__INIT;
    unsigned turn = ++g->heartbeats;
    bool is_due, is_news;

    qr_gateway_meet(g, now_ms);
    qr_gateway_catch_up(g, now_ms);
    qr_gateway_share_tick(g, now_ms);
    qr_gateway_slots_beat(g, now_ms);
    g->gateways_known = gateways_known(g, now_ms);
    load.whole = turn % HEARTBEAT_REST == 0 || g->follower_is_new;
    g->follower_is_new = false;
    load_collect(g, &rows, load.whole);
    is_news = qr_gateway_share_tell(g, &load);
    is_due = load.whole || is_news ||
             (load.reads_engines && turn % READER_REST == 0);
    load_send(g, &rows, &load, is_due);
}

void qr_gateway_tell_leaving(QRGateway *g)
{
    g_auto(LoadRows) rows = load_rows_new();
    Qr__Fleet__Load load = QR__FLEET__LOAD__INIT;

    qr_gateway_share_tell(g, &load);
    load_send(g, &rows, &load, true);
}
