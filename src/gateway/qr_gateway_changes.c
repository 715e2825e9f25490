/*
 * Changes of engines' records: kept for others, asked of others.
 */
#include "qr_gateway_share_parts.h"

#include "base/qr_pack.h"

#include <string.h>

#define ASK_AGAIN_MS 150
#define ASK_ALL_AGAIN_MS 500
#define ASK_ALL_TURN_MS 100 /* between two of a region that ask another one */
/* For an engine that lives to write its record again, and for readers to see
   it. */
#define CONFIRM_MS 2200
#define FORGET_MS 600000 /* engines that are gone */
/* Records are alike: a few together are a fraction of their size compressed. */
#define PACK_LEAST_BYTES 512
/* All that rest ask the same at about the same time. */
#define TOLD_KEEP_MS 200

/* The last change of an engine's record that says more than 'still here'. */
typedef struct EngineChange {
    QRPosition position;
    uint64_t noted_ms;
    bool leaves;
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

void qr_gateway_engine_changed(QRGateway *g, const QRStoreRecord *r,
                               bool leaves)
{
    EngineChange *c = g_new0(EngineChange, 1);

    c->position = r->position;
    c->leaves = leaves;
    c->noted_ms = qr_gateway_now(g);
    c->value = g_bytes_ref(r->value);
    g_hash_table_replace(g->engine_changes, g_strdup(r->key), c);
    g->engines_changed = qr_position_max(g->engines_changed, r->position);
}

/*
 * The copy from which the store has come back may hold an engine's record of
 * before the engine left. Until those that live have written theirs again and
 * the others' have gone, what leaves stays so.
 */
bool qr_gateway_engine_is_outdated(const QRGateway *g, const char *id,
                                   QRPosition position, bool leaves)
{
    const EngineChange *c = g_hash_table_lookup(g->engine_changes, id);

    if (!c)
        return false;
    if (c->position.epoch != position.epoch && c->leaves != leaves &&
        qr_gateway_epochs_settle(g))
        return c->leaves;
    return qr_position_cmp(c->position, position) > 0;
}

bool qr_gateway_engine_left_before(const QRGateway *g, const char *id,
                                   uint64_t epoch)
{
    const EngineChange *c = g_hash_table_lookup(g->engine_changes, id);

    return c && c->leaves && c->position.epoch != epoch;
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
    QRPosition known = qr_share_seen(g);

    return qr_share_is_fresh(g, m, now_ms) &&
           qr_position_cmp(m->engines_changed, known) > 0 &&
           qr_position_cmp(m->engines_since, qr_position_after(known)) <= 0;
}

/* Whether 'm' can tell us all engines: any that knows them. */
static bool can_tell_all(const QRGateway *g, const QRFleetMember *m,
                         uint64_t now_ms)
{
    return !qr_position_is_none(m->engines_since) &&
           qr_share_is_alive(g, m, now_ms);
}

/* The connection of a gateway that passes 'test', of our region if any does. */
static QRPeerConn *choose_teller(const QRGateway *g, QRMemberTest test,
                                 uint64_t now_ms)
{
    QRPeerConn *best = NULL;
    uint64_t least = 0, dice = qr_hash_str(g->set->host, 0);

    for (unsigned i = 0; i < g->followers->len; i++) {
        const QRFleetMember *m = qr_peer_data(g->followers->pdata[i]);

        if (!m || strcmp(m->role, QR_ROLE_GATEWAY) != 0 || !test(g, m, now_ms))
            continue;
        if (best && qr_gateway_preference(g, m, dice) >= least)
            continue;
        best = g->followers->pdata[i];
        least = qr_gateway_preference(g, m, dice);
    }
    return best;
}

static void ask_from(QRGateway *g, QRPeerConn *teller, QRPosition position,
                     uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;

    g->engines_asked_ms = now_ms;
    fetch.offset = position.offset;
    fetch.epoch = position.epoch;
    fetch.engines = true;
    fetch.unpacks = true;
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
    if (qr_gateway_is_near(g, qr_peer_data(teller)) ||
        now_ms >= g->started_ms + turn * ASK_ALL_TURN_MS)
        ask_from(g, teller, (QRPosition){0}, now_ms);
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
        ask_from(g, teller, (QRPosition){0}, now_ms);
}

/*
 * What readers of a new epoch take only once it has settled stands at positions
 * that others may have passed, so that they ask for all of them.
 */
static void ask_settled(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *teller;

    if (g->relist_ms == 0 || now_ms < g->relist_ms)
        return;
    teller = choose_teller(g, qr_share_is_fresh, now_ms);
    if (!teller)
        return;
    g->relist_ms = 0;
    ask_from(g, teller, (QRPosition){g->store_epoch, 0}, now_ms);
}

void qr_share_ask(QRGateway *g, uint64_t now_ms)
{
    if (!g->engines_known)
        ask_all(g, now_ms);
    else
        ask_changes(g, now_ms);
    ask_confirmed(g, now_ms);
    ask_settled(g, now_ms);
}

/* Rows of all changes from a position on; they borrow from the changes. */
static GPtrArray *changes_from(const QRGateway *g, QRPosition from)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, g->engine_changes);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const EngineChange *c = value;
        const QREngine *e = qr_engines_get(&g->engines, key);
        Qr__Fleet__Record *r;
        gsize len;

        if (qr_position_cmp(c->position, from) < 0)
            continue;
        r = g_new(Qr__Fleet__Record, 1);
        qr__fleet__record__init(r);
        r->key = key;
        r->value.data = (uint8_t *)g_bytes_get_data(c->value, &len);
        r->value.len = len;
        r->offset = c->position.offset;
        r->epoch = c->position.epoch;
        r->confirmed = e && !e->unconfirmed;
        g_ptr_array_add(list, r);
    }
    return list;
}

static void records_send(const QRGateway *g, QRPeerConn *peer,
                         Qr__Fleet__Records *records)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;

    records->end = g->engines_changed.offset;
    records->epoch = g->engines_changed.epoch;
    records->engines = true;
    frame.body_case = QR__FLEET__FRAME__BODY_RECORDS;
    frame.records = records;
    qr_peer_send(peer, &frame);
}

static GBytes *records_pack(const Qr__Fleet__Records *records)
{
    gsize len = qr__fleet__records__get_packed_size(records);
    uint8_t *data = g_malloc(len);
    g_autoptr(GBytes) plain = NULL;

    qr__fleet__records__pack(records, data);
    plain = g_bytes_new_take(data, len);
    return qr_pack(plain);
}

static bool is_kept(const QRGateway *g, QRPosition from, uint64_t now_ms)
{
    const QRToldChanges *told = &g->told_changes;

    return told->packed && now_ms < told->made_ms + TOLD_KEEP_MS &&
           qr_position_cmp(told->from, from) == 0 &&
           qr_position_cmp(told->end, g->engines_changed) == 0;
}

static void told_keep(QRGateway *g, QRPosition from,
                      const Qr__Fleet__Records *records)
{
    QRToldChanges *told = &g->told_changes;

    g_clear_pointer(&told->packed, g_bytes_unref);
    told->from = from;
    told->end = g->engines_changed;
    told->made_ms = qr_gateway_now(g);
    told->size = (uint32_t)qr__fleet__records__get_packed_size(records);
    if (told->size >= PACK_LEAST_BYTES)
        told->packed = records_pack(records);
}

void qr_gateway_share_answer(QRGateway *g, QRPeerConn *peer,
                             const Qr__Fleet__Fetch *fetch)
{
    /* all are asked for from no position; builds that name no epoch ask for
       changes of that which we tell */
    QRPosition from = fetch->offset == 0 && fetch->epoch == 0
                          ? (QRPosition){0}
                          : qr_position_from_peer(fetch->epoch, fetch->offset,
                                                  g->engines_changed.epoch);
    Qr__Fleet__Records records = QR__FLEET__RECORDS__INIT;
    Qr__Fleet__Records packed = QR__FLEET__RECORDS__INIT;
    g_autoptr(GPtrArray) list = NULL;
    gsize len;

    if (!fetch->unpacks || !is_kept(g, from, qr_gateway_now(g))) {
        list = changes_from(g, from);
        records.records = (Qr__Fleet__Record **)list->pdata;
        records.n_records = list->len;
        if (fetch->unpacks)
            told_keep(g, from, &records);
    }
    if (!fetch->unpacks || !g->told_changes.packed) {
        records_send(g, peer, &records);
        return;
    }
    packed.packed.data =
        (uint8_t *)g_bytes_get_data(g->told_changes.packed, &len);
    packed.packed.len = len;
    packed.size = g->told_changes.size;
    records_send(g, peer, &packed);
}

static void take_told(QRGateway *g, const Qr__Fleet__Record *told)
{
    g_autoptr(GBytes) value = g_bytes_new(told->value.data, told->value.len);
    QRStoreRecord r = {
        told->key, value,
        qr_position_from_peer(told->epoch, told->offset, g->store_epoch)};
    QREngine *e = qr_engines_get(&g->engines, told->key);

    /* it had gone by our own listing, and nobody will tell us so again */
    if (!e && qr_position_cmp(r.position, g->engines_listed) < 0)
        return;
    qr_gateway_engine_record(g, &r);
    e = qr_engines_get(&g->engines, told->key);
    if (e && told->confirmed)
        e->unconfirmed = false;
}

/* The records that came compressed; NULL if they cannot be read. The caller
   frees them. */
static Qr__Fleet__Records *records_unpack(const Qr__Fleet__Records *records)
{
    g_autoptr(GBytes) plain =
        qr_unpack(records->packed.data, records->packed.len, records->size);
    Qr__Fleet__Records *unpacked = NULL;
    gsize len;
    const void *data;

    if (plain) {
        data = g_bytes_get_data(plain, &len);
        unpacked = qr__fleet__records__unpack(NULL, len, data);
    }
    if (!unpacked)
        qr_logf(QR_LEVEL_WARN, "engines",
                "told records cannot be unpacked bytes=%zu size=%u",
                records->packed.len, records->size);
    return unpacked;
}

void qr_gateway_share_records(QRGateway *g, const QRFleetMember *from,
                              const Qr__Fleet__Records *records)
{
    QRPosition end =
        qr_position_from_peer(records->epoch, records->end, g->store_epoch);
    Qr__Fleet__Records *unpacked = NULL;
    const Qr__Fleet__Records *rows = records;

    if (records->packed.len > 0) {
        rows = unpacked = records_unpack(records);
        if (!unpacked)
            return;
    }
    qr_gateway_note_epoch(g, end.epoch);
    for (size_t i = 0; i < rows->n_records; i++)
        take_told(g, rows->records[i]);
    qr_logf(QR_LEVEL_INFO, "engines",
            "told by=%s records=%zu seen=%" G_GUINT64_FORMAT
            " end=%" G_GUINT64_FORMAT " all=%d epoch=%" G_GUINT64_FORMAT,
            from->name, rows->n_records, g->engines_seen.offset, end.offset,
            !g->engines_known, end.epoch);
    if (unpacked)
        qr__fleet__records__free_unpacked(unpacked, NULL);
    g->engines_seen = qr_position_max(g->engines_seen, end);
    if (g->engines_known || qr_position_is_none(from->engines_since))
        return;
    g->engines_known = true;
    g->engines_since = from->engines_since;
    g->confirm_ms = qr_gateway_now(g) + CONFIRM_MS;
}
