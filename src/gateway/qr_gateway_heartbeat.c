/*
 * Heartbeats between gateways. Each carries the sender's open calls at engines,
 * the versions of the operator records that the sender knows, and the number of
 * gateways that the sender knows.
 */
#include "qr_gateway.h"

#include <string.h>

/* Every 8th heartbeat carries all loads. Others are sent only with changes, but
   every 2nd one of a gateway that reads the store for others is always sent. */
#define FULL_LOAD_HEARTBEATS 8
#define READER_LOAD_HEARTBEATS 2
/* How long a reported load counts. Two of the full lists, which come every
   800 ms, may be late or lost. With a longer time, calls that have already
   ended would keep slots from the calls of other gateways. */
#define LOAD_VALID_MS 2000
#define DISCOVERY_LEASES 2 /* time to discover all gateways */

void qr_gateway_take_load(QRGateway *g, QRFleetMember *member,
                          const Qr__Fleet__Load *load)
{
    QRKnownVersions known = {
        load->policy_version,
        load->weights_revision,
        load->control_offset,
        {load->evacuations_epoch, load->evacuations_offset}};

    qr_gateway_note_peer_knowledge(g, member, &known);
    member->gateways = load->gateways;
    member->fleet_gateways = load->fleet_gateways;
    qr_gateway_note_region_size(g, member->region, load->region_gateways);
    qr_gateway_share_take_load(g, member, load);
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

void qr_gateway_expire_loads(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    /* after this process was paused, messages that arrived meanwhile are not
       read yet */
    uint64_t sent_ms = qr_gateway_earliest_send_ms(g);

    for (unsigned i = 0; i < list->len; i++) {
        QRFleetMember *m = list->pdata[i];

        if (m->load_reported_ms == 0 ||
            sent_ms <= m->load_reported_ms + LOAD_VALID_MS)
            continue;
        qr_logf(QR_LEVEL_WARN, "members",
                "load expired name=%s age_ms=%" G_GUINT64_FORMAT, m->name,
                now_ms - m->load_reported_ms);
        m->load_reported_ms = 0;
        qr_engines_forget_gateway(&g->engines, m->name);
    }
}

/* Rows of the load message, for peers that request slots and peers that do not.
 */
typedef struct LoadRows {
    GArray *unreserved; /* Qr__Fleet__EngineLoad: engines without a slot
                           coordinator */
    GArray *all;        /* every engine: for builds that request no slots */
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

/* Collects engines whose load changed since the last message; 'whole': all
   engines with open calls. */
static void collect_loads(QRGateway *g, LoadRows *rows, bool whole)
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

static void set_load_rows(Qr__Fleet__Load *load, GPtrArray *list)
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

/* Sends the load message to the gateways that dialled this one. Unless
   'is_due', a gateway to which no row applies gets no message. */
static void send_load(QRGateway *g, const LoadRows *rows, Qr__Fleet__Load *load,
                      bool is_due)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    g_autoptr(GPtrArray) all = pointers_to(rows->all);
    g_autoptr(GPtrArray) unreserved = pointers_to(rows->unreserved);
    QRKnownVersions known = qr_operator_known_versions(&g->operator);

    load->leaving = g->stopping_ms > 0;
    load->policy_version = known.policy;
    load->weights_revision = known.weights;
    load->control_offset = known.offset;
    load->evacuations_epoch = known.evacuations.epoch;
    load->evacuations_offset = known.evacuations.offset;
    load->gateways = qr_gateway_count(g);
    load->fleet_gateways = g->fleet_gateways;
    load->region_gateways = qr_gateway_region_size(g, g->set->region);
    frame.body_case = QR__FLEET__FRAME__BODY_LOAD;
    frame.load = load;
    /* a gateway receives loads on the connection that it dialled */
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->subscribers->pdata[i]);

        if (!to || strcmp(to->role, QR_ROLE_GATEWAY) != 0)
            continue;
        set_load_rows(load, to->reserves_slots ? unreserved : all);
        if (is_due || load->n_engines > 0)
            qr_peer_send(g->subscribers->pdata[i], &frame);
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
 * Updates the highest number of gateways, this one included, that this gateway
 * or another process has counted so far. Gateways hear of the others' counts
 * from their neighbours: few gateways know those of all regions.
 */
static void count_fleet(QRGateway *g)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);

    g->fleet_gateways = MAX(g->fleet_gateways, list->len + 1);
    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        g->fleet_gateways =
            MAX(g->fleet_gateways, MAX(m->gateways, m->fleet_gateways));
    }
}

/*
 * Returns the number of gateways that share the retry budget, or 0 if other
 * seeds are configured and no gateway is known yet, or fewer than
 * DISCOVERY_LEASES leases have passed since the start.
 */
static unsigned estimate_gateways(const QRGateway *g, uint64_t now_ms)
{
    uint64_t discovery_ms = DISCOVERY_LEASES * (uint64_t)g->set->lease_ms;

    if (has_other_seeds(g) &&
        (g->fleet_gateways <= 1 || now_ms < g->started_ms + discovery_ms))
        return 0;
    return g->fleet_gateways;
}

void qr_gateway_heartbeat(QRGateway *g, uint64_t now_ms)
{
    g_auto(LoadRows) rows = load_rows_new();
    Qr__Fleet__Load load = QR__FLEET__LOAD__INIT;
    unsigned beat = ++g->heartbeats;
    bool is_due, is_awaited;

    qr_gateway_update_neighbours(g, now_ms);
    qr_gateway_remote_tick(g, now_ms);
    qr_gateway_discover(g, now_ms);
    qr_gateway_catch_up(g, now_ms);
    qr_gateway_share_tick(g, now_ms);
    qr_gateway_slots_heartbeat(g, now_ms);
    count_fleet(g);
    g->retry_budget_gateways = estimate_gateways(g, now_ms);
    load.whole = beat % FULL_LOAD_HEARTBEATS == 0 || g->peer_lacks_load;
    g->peer_lacks_load = false;
    collect_loads(g, &rows, load.whole);
    is_awaited = qr_gateway_share_fill_load(g, &load);
    is_due = load.whole || is_awaited ||
             (load.reads_engines && beat % READER_LOAD_HEARTBEATS == 0);
    send_load(g, &rows, &load, is_due);
}

void qr_gateway_send_leaving(QRGateway *g)
{
    g_auto(LoadRows) rows = load_rows_new();
    Qr__Fleet__Load load = QR__FLEET__LOAD__INIT;

    qr_gateway_share_fill_load(g, &load);
    send_load(g, &rows, &load, true);
}
