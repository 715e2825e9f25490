/*
 * Changes of engines' records: kept for other gateways, and fetched from them.
 */
#include "qr_gateway_share_parts.h"

#include "base/qr_pack.h"

#include <string.h>

#define FETCH_RETRY_MS 150
#define FETCH_ALL_RETRY_MS 500
/* Between gateways of a region that ask another region for all engines. */
#define FETCH_ALL_STAGGER_MS 100
/* For a reader that settles late, as on a busy host, to list the engines. */
#define EPOCH_FETCH_RETRY_MS 1000
#define EPOCH_FETCHES_MAX 5
/* For running engines to write their records again and readers to read them. */
#define CONFIRM_MS 2200
#define GONE_KEEP_MS 600000 /* for changes of engines that are gone */
/* Records are alike: even a few compress to a fraction of their size. */
#define PACK_MIN_BYTES 512
/* Gateways with paused reads send the same request at about the same time. */
#define REPLY_CACHE_MS 200

/* The last record that changed an engine's state, not a mere renewal. */
typedef struct EngineChange {
    QRPosition position;
    uint64_t noted_ms;
    bool leaves;
    GBytes *value; /* empty: the record is gone */
} EngineChange;

static void change_free(void *p)
{
    EngineChange *c = p;

    g_bytes_unref(c->value);
    g_free(c);
}

GHashTable *qr_gateway_engine_changes_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, change_free);
}

void qr_gateway_keep_engine_change(QRGateway *g, const QRStoreRecord *r,
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
 * The backup from which the store was restored may hold an engine's record from
 * before the engine left. While the epoch settles, an engine that leaves stays
 * marked so: running engines then write their records again and records of
 * ended engines expire.
 */
bool qr_gateway_engine_record_is_outdated(const QRGateway *g, const char *id,
                                          QRPosition position, bool leaves)
{
    const EngineChange *c = g_hash_table_lookup(g->engine_changes, id);

    if (!c)
        return false;
    if (c->position.epoch != position.epoch && c->leaves != leaves &&
        qr_gateway_epoch_is_settling(g))
        return c->leaves;
    return qr_position_cmp(c->position, position) > 0;
}

bool qr_gateway_engine_left_in_other_epoch(const QRGateway *g, const char *id,
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
           *(const uint64_t *)now > c->noted_ms + GONE_KEEP_MS;
}

void qr_gateway_expire_engine_changes(QRGateway *g, uint64_t now_ms)
{
    g_hash_table_foreach_remove(g->engine_changes, is_forgotten, &now_ms);
}

/*
 * Whether 'm' is a fresh reader that knows a change we lack, and all changes
 * since the position that we know. A reader that has just started only listed
 * present records, and does not know which records went before.
 */
static bool has_missing_changes(const QRGateway *g, const QRFleetMember *m,
                                uint64_t now_ms)
{
    QRPosition known = qr_share_known_position(g);

    return qr_share_is_fresh_reader(g, m, now_ms) &&
           qr_position_cmp(m->engines_changed, known) > 0 &&
           qr_position_cmp(m->engines_since, qr_position_after(known)) <= 0;
}

/* Whether 'm' is alive and knows all engines. */
static bool has_all_engines(const QRGateway *g, const QRFleetMember *m,
                            uint64_t now_ms)
{
    return !qr_position_is_none(m->engines_since) &&
           qr_share_is_alive(g, m, now_ms);
}

/* Returns the connection of a gateway that passes 'test', preferably one of our
   region, or NULL. */
static QRPeerConn *choose_source(const QRGateway *g, QRMemberTest test,
                                 uint64_t now_ms)
{
    QRPeerConn *best = NULL;
    uint64_t least = 0, dice = qr_hash_str(g->set->host, 0);

    for (unsigned i = 0; i < g->subscribers->len; i++) {
        const QRFleetMember *m = qr_peer_data(g->subscribers->pdata[i]);

        if (!m || strcmp(m->role, QR_ROLE_GATEWAY) != 0 || !test(g, m, now_ms))
            continue;
        if (best && qr_gateway_peer_rank(g, m, dice) >= least)
            continue;
        best = g->subscribers->pdata[i];
        least = qr_gateway_peer_rank(g, m, dice);
    }
    return best;
}

static void send_fetch(QRGateway *g, QRPeerConn *source, QRPosition position,
                       uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;

    g->engines_fetch_ms = now_ms;
    fetch.offset = position.offset;
    fetch.epoch = position.epoch;
    fetch.engines = true;
    fetch.unpacks = true;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(source, &frame);
}

static void fetch_changes(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *source = choose_source(g, has_missing_changes, now_ms);

    /* includes the last known position: two changes may share an offset */
    if (source && now_ms >= g->engines_fetch_ms + FETCH_RETRY_MS)
        send_fetch(g, source, qr_share_known_position(g), now_ms);
}

/*
 * Fetches the list of all engines. The list is long: only the first gateway of
 * a region asks another region at once. The next ones do so after a delay each,
 * if no gateway of their region knows the list by then.
 */
static void fetch_all(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *source = choose_source(g, has_all_engines, now_ms);
    uint64_t turn = (uint64_t)qr_gateway_region_rank(g, 0, now_ms);

    if (!source || now_ms < g->engines_fetch_ms + FETCH_ALL_RETRY_MS)
        return;
    if (qr_gateway_is_same_region(g, qr_peer_data(source)) ||
        now_ms >= g->started_ms + turn * FETCH_ALL_STAGGER_MS)
        send_fetch(g, source, (QRPosition){0}, now_ms);
}

/* Asks a reader which engines of the first list are confirmed. Engines without
   a later record may have ended before that list was made; running engines
   write their records again, and readers see that. */
static void fetch_unconfirmed(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *source;

    if (g->confirm_due_ms == 0 || now_ms < g->confirm_due_ms)
        return;
    g->confirm_due_ms = 0;
    /* sidecars of other regions may not report here, and neither do readers
       know more of their engines */
    if (!qr_engines_any_unconfirmed(&g->engines, g->regions, g->set->region))
        return;
    source = choose_source(g, qr_share_is_fresh_reader, now_ms);
    g->confirm_due_ms = now_ms + CONFIRM_MS;
    if (source)
        send_fetch(g, source, (QRPosition){0}, now_ms);
}

/* Whether 'm' is a fresh reader that has listed the engines since the epoch
   settled. */
static bool has_settled_epoch(const QRGateway *g, const QRFleetMember *m,
                              uint64_t now_ms)
{
    return qr_share_is_fresh_reader(g, m, now_ms) && m->settled_epoch > 0 &&
           m->settled_epoch >= g->store_epoch;
}

/* Whether 'm' is a fresh reader that names no settled epoch: it is an earlier
   build, or it has seen no epoch settle yet. */
static bool names_no_settled_epoch(const QRGateway *g, const QRFleetMember *m,
                                   uint64_t now_ms)
{
    return qr_share_is_fresh_reader(g, m, now_ms) && m->settled_epoch == 0;
}

/*
 * Fetches all changes of a new epoch once the epoch has settled. Readers accept
 * some records only then, at positions that other gateways may have passed. A
 * reader that names no settled epoch may not have listed them yet, so the
 * request is repeated.
 */
static void fetch_settled_epoch(QRGateway *g, uint64_t now_ms)
{
    const QRFleetMember *reader;
    QRPeerConn *source;

    if (g->epoch_fetch_due_ms == 0 || now_ms < g->epoch_fetch_due_ms)
        return;
    source = choose_source(g, has_settled_epoch, now_ms);
    if (!source)
        source = choose_source(g, names_no_settled_epoch, now_ms);
    if (!source)
        return;
    reader = qr_peer_data(source);
    g->epoch_fetches++;
    g->epoch_fetch_due_ms =
        reader->settled_epoch > 0 || g->epoch_fetches >= EPOCH_FETCHES_MAX
            ? 0
            : now_ms + EPOCH_FETCH_RETRY_MS;
    qr_logf(QR_LEVEL_INFO, "engines",
            "asked for settled epoch=%" G_GUINT64_FORMAT
            " reader=%s settled_epoch=%" G_GUINT64_FORMAT,
            g->store_epoch, reader->name, reader->settled_epoch);
    send_fetch(g, source, (QRPosition){g->store_epoch, 0}, now_ms);
}

void qr_share_fetch_engines(QRGateway *g, uint64_t now_ms)
{
    if (!g->engines_known)
        fetch_all(g, now_ms);
    else
        fetch_changes(g, now_ms);
    fetch_unconfirmed(g, now_ms);
    fetch_settled_epoch(g, now_ms);
}

/* Returns all changes from a position on. The caller frees the array; keys and
   values are borrowed from the table of changes. */
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

static void send_records(const QRGateway *g, QRPeerConn *peer,
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

static GBytes *pack_records(const Qr__Fleet__Records *records)
{
    gsize len = qr__fleet__records__get_packed_size(records);
    uint8_t *data = g_malloc(len);
    g_autoptr(GBytes) plain = NULL;

    qr__fleet__records__pack(records, data);
    plain = g_bytes_new_take(data, len);
    return qr_pack(plain);
}

static bool reply_is_cached(const QRGateway *g, QRPosition from,
                            uint64_t now_ms)
{
    const QRChangesReply *told = &g->changes_reply;

    return told->packed && now_ms < told->made_ms + REPLY_CACHE_MS &&
           qr_position_cmp(told->from, from) == 0 &&
           qr_position_cmp(told->end, g->engines_changed) == 0;
}

static void cache_reply(QRGateway *g, QRPosition from,
                        const Qr__Fleet__Records *records)
{
    QRChangesReply *told = &g->changes_reply;

    g_clear_pointer(&told->packed, g_bytes_unref);
    told->from = from;
    told->end = g->engines_changed;
    told->made_ms = qr_gateway_now(g);
    told->size_unpacked =
        (uint32_t)qr__fleet__records__get_packed_size(records);
    if (told->size_unpacked >= PACK_MIN_BYTES)
        told->packed = pack_records(records);
}

void qr_gateway_send_engine_changes(QRGateway *g, QRPeerConn *peer,
                                    const Qr__Fleet__Fetch *fetch)
{
    /* position none asks for all engines; builds that send no epoch ask for
       changes of the epoch that we name in heartbeats */
    QRPosition from = fetch->offset == 0 && fetch->epoch == 0
                          ? (QRPosition){0}
                          : qr_position_from_peer(fetch->epoch, fetch->offset,
                                                  g->engines_changed.epoch);
    Qr__Fleet__Records records = QR__FLEET__RECORDS__INIT;
    Qr__Fleet__Records packed = QR__FLEET__RECORDS__INIT;
    g_autoptr(GPtrArray) list = NULL;
    gsize len;

    if (!fetch->unpacks || !reply_is_cached(g, from, qr_gateway_now(g))) {
        list = changes_from(g, from);
        records.records = (Qr__Fleet__Record **)list->pdata;
        records.n_records = list->len;
        if (fetch->unpacks)
            cache_reply(g, from, &records);
    }
    if (!fetch->unpacks || !g->changes_reply.packed) {
        send_records(g, peer, &records);
        return;
    }
    packed.packed.data =
        (uint8_t *)g_bytes_get_data(g->changes_reply.packed, &len);
    packed.packed.len = len;
    packed.size = g->changes_reply.size_unpacked;
    send_records(g, peer, &packed);
}

static void take_record(QRGateway *g, const Qr__Fleet__Record *told)
{
    g_autoptr(GBytes) value = g_bytes_new(told->value.data, told->value.len);
    QRStoreRecord r = {
        told->key, value,
        qr_position_from_peer(told->epoch, told->offset, g->store_epoch)};
    QREngine *e = qr_engines_get(&g->engines, told->key);

    /* the record had gone before our own listing: no change that says so will
       come, and the engine would stay */
    if (!e && qr_position_cmp(r.position, g->own_listing_end) < 0)
        return;
    qr_gateway_take_engine_record(g, &r);
    e = qr_engines_get(&g->engines, told->key);
    if (e && told->confirmed)
        e->unconfirmed = false;
}

/* Returns the records that came compressed, to be freed by the caller, or NULL
   if they cannot be decompressed. */
static Qr__Fleet__Records *unpack_records(const Qr__Fleet__Records *records)
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

void qr_gateway_take_engine_changes(QRGateway *g, const QRFleetMember *from,
                                    const Qr__Fleet__Records *records)
{
    QRPosition end =
        qr_position_from_peer(records->epoch, records->end, g->store_epoch);
    Qr__Fleet__Records *unpacked = NULL;
    const Qr__Fleet__Records *rows = records;

    if (records->packed.len > 0) {
        rows = unpacked = unpack_records(records);
        if (!unpacked)
            return;
    }
    qr_gateway_note_epoch(g, end.epoch);
    for (size_t i = 0; i < rows->n_records; i++)
        take_record(g, rows->records[i]);
    qr_logf(QR_LEVEL_INFO, "engines",
            "told by=%s records=%zu seen=%" G_GUINT64_FORMAT
            " end=%" G_GUINT64_FORMAT " all=%d epoch=%" G_GUINT64_FORMAT,
            from->name, rows->n_records, g->engines_received.offset, end.offset,
            !g->engines_known, end.epoch);
    if (unpacked)
        qr__fleet__records__free_unpacked(unpacked, NULL);
    g->engines_received = qr_position_max(g->engines_received, end);
    if (g->engines_known || qr_position_is_none(from->engines_since))
        return;
    g->engines_known = true;
    g->engines_since = from->engines_since;
    g->confirm_due_ms = qr_gateway_now(g) + CONFIRM_MS;
}
