/*
 * Changes of engines' records: kept for others, asked of others.
 */
#include "qr_gateway_share_parts.h"

#include <string.h>

#define ASK_AGAIN_MS 150
#define ASK_ALL_AGAIN_MS 500
#define ASK_ALL_TURN_MS 100 /* between two of a region that ask another one */
/* For an engine that lives to write its record again, and for readers to see
   it. */
#define CONFIRM_MS 2200
#define FORGET_MS 600000 /* engines that are gone */

/* The last change of an engine's record that says more than 'still here'. */
typedef struct EngineChange {
    uint64_t offset, noted_ms;
    GBytes *value; /* empty: gone */
} EngineChange;

static void change_free(void *p)
{
    EngineChange *c = p;

    g_bytes_unref(c->value);
    g_free(c);
}

GHashTable *qr_gateway_changes_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, change_free);
}

void qr_gateway_engine_changed(QRGateway *g, const QRStoreRecord *r)
{
    EngineChange *c = g_new0(EngineChange, 1);

    c->offset = r->offset;
    c->noted_ms = qr_gateway_now(g);
    c->value = g_bytes_ref(r->value);
    g_hash_table_replace(g->engine_changes, g_strdup(r->key), c);
    g->engines_changed = MAX(g->engines_changed, r->offset);
}

bool qr_gateway_engine_is_outdated(const QRGateway *g, const char *id,
                                   uint64_t offset)
{
    const EngineChange *c = g_hash_table_lookup(g->engine_changes, id);

    return c && c->offset > offset;
}

static gboolean is_forgotten(void *key, void *value, void *now)
{
    const EngineChange *c = value;

    (void)key;
    return g_bytes_get_size(c->value) == 0 &&
           *(const uint64_t *)now > c->noted_ms + FORGET_MS;
}

void qr_gateway_forget_changes(QRGateway *g, uint64_t now_ms)
{
    g_hash_table_foreach_remove(g->engine_changes, is_forgotten, &now_ms);
}

/*
 * Whether 'm' can tell what we lack: a fresh reader that knows of a change we
 * have not seen, and of all since what we have. One that has just started
 * listed what is there, and does not know what went before.
 */
static bool can_tell_changes(const QRGateway *g, const QRFleetMember *m,
                             uint64_t now_ms)
{
    uint64_t known = qr_share_seen(g);

    return qr_share_is_fresh(g, m, now_ms) && m->engines_changed > known &&
           m->engines_since <= known + 1;
}

/* Whether 'm' can tell us all engines: any that knows them. */
static bool can_tell_all(const QRGateway *g, const QRFleetMember *m,
                         uint64_t now_ms)
{
    return m->engines_since > 0 && qr_share_is_alive(g, m, now_ms);
}

static bool is_near(const QRGateway *g, const QRFleetMember *m)
{
    return g_strcmp0(m->region, g->set->region) == 0;
}

/* The connection of a gateway that passes 'test', of our region if any does. */
static QRPeerConn *choose_teller(const QRGateway *g, QRMemberTest test,
                                 uint64_t now_ms)
{
    QRPeerConn *best = NULL;
    bool best_is_near = false;

    for (unsigned i = 0; i < g->followers->len; i++) {
        const QRFleetMember *m = qr_peer_data(g->followers->pdata[i]);

        if (!m || strcmp(m->role, QR_ROLE_GATEWAY) != 0 || !test(g, m, now_ms))
            continue;
        if (best && (best_is_near || !is_near(g, m)))
            continue;
        best = g->followers->pdata[i];
        best_is_near = is_near(g, m);
    }
    return best;
}

static void ask_from(QRGateway *g, QRPeerConn *teller, uint64_t offset,
                     uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;

    g->engines_asked_ms = now_ms;
    fetch.offset = offset;
    fetch.engines = true;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(teller, &frame);
}

static void ask_changes(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *teller = choose_teller(g, can_tell_changes, now_ms);

    /* from the last one on: two may share an offset */
    if (teller && now_ms >= g->engines_asked_ms + ASK_AGAIN_MS)
        ask_from(g, teller, qr_share_seen(g), now_ms);
}

/*
 * The list of all engines is long, too: it crosses the link to another region
 * for the first gateway here that asks, and for the next ones only when nobody
 * near knows it after a moment.
 */
static void ask_all(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *teller = choose_teller(g, can_tell_all, now_ms);
    uint64_t turn = (uint64_t)qr_gateway_near_before(g, 0, now_ms);

    if (!teller || now_ms < g->engines_asked_ms + ASK_ALL_AGAIN_MS)
        return;
    if (is_near(g, qr_peer_data(teller)) ||
        now_ms >= g->started_ms + turn * ASK_ALL_TURN_MS)
        ask_from(g, teller, 0, now_ms);
}

/* Engines of the first listing of which nothing was heard since may have ended
   before it. Those that live write their record again, and readers see that. */
static void ask_confirmed(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *teller;

    if (g->confirm_ms == 0 || now_ms < g->confirm_ms)
        return;
    g->confirm_ms = 0;
    if (!qr_engines_any_unconfirmed(&g->engines))
        return;
    teller = choose_teller(g, qr_share_is_fresh, now_ms);
    g->confirm_ms = now_ms + CONFIRM_MS;
    if (teller)
        ask_from(g, teller, 0, now_ms);
}

void qr_share_ask(QRGateway *g, uint64_t now_ms)
{
    if (!g->engines_known)
        ask_all(g, now_ms);
    else
        ask_changes(g, now_ms);
    ask_confirmed(g, now_ms);
}

void qr_gateway_share_answer(QRGateway *g, QRPeerConn *peer, uint64_t offset)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Records records = QR__FLEET__RECORDS__INIT;
    g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, g->engine_changes);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const EngineChange *c = value;
        const QREngine *e = qr_engines_get(&g->engines, key);
        Qr__Fleet__Record *r;
        gsize len;

        if (c->offset < offset)
            continue;
        r = g_new(Qr__Fleet__Record, 1);
        qr__fleet__record__init(r);
        r->key = key;
        r->value.data = (uint8_t *)g_bytes_get_data(c->value, &len);
        r->value.len = len;
        r->offset = c->offset;
        r->confirmed = e && !e->unconfirmed;
        g_ptr_array_add(list, r);
    }
    records.records = (Qr__Fleet__Record **)list->pdata;
    records.n_records = list->len;
    records.end = g->engines_changed;
    records.engines = true;
    frame.body_case = QR__FLEET__FRAME__BODY_RECORDS;
    frame.records = &records;
    qr_peer_send(peer, &frame);
}

static void take_told(QRGateway *g, const Qr__Fleet__Record *told)
{
    g_autoptr(GBytes) value = g_bytes_new(told->value.data, told->value.len);
    QRStoreRecord r = {told->key, value, told->offset};
    QREngine *e = qr_engines_get(&g->engines, told->key);

    /* it had gone by our own listing, and nobody will tell us so again */
    if (!e && told->offset < g->engines_listed)
        return;
    qr_gateway_engine_record(g, &r);
    e = qr_engines_get(&g->engines, told->key);
    if (e && told->confirmed)
        e->unconfirmed = false;
}

void qr_gateway_share_records(QRGateway *g, const QRFleetMember *from,
                              const Qr__Fleet__Records *records)
{
    for (size_t i = 0; i < records->n_records; i++)
        take_told(g, records->records[i]);
    qr_logf(QR_LEVEL_INFO, "engines",
            "told by=%s records=%zu seen=%" G_GUINT64_FORMAT
            " end=%" G_GUINT64_FORMAT " all=%d",
            from->name, records->n_records, g->engines_seen, records->end,
            !g->engines_known);
    g->engines_seen = MAX(g->engines_seen, records->end);
    if (g->engines_known || from->engines_since == 0)
        return;
    g->engines_known = true;
    g->engines_since = from->engines_since;
    g->confirm_ms = qr_gateway_now(g) + CONFIRM_MS;
}
