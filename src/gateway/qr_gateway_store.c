/*
 * Takes the records that a gateway reads from the store.
 */
#include "qr_gateway.h"

#include <string.h>

/* Engines that still run have written lapsed records again so soon after an
   outage of the store. */
#define LAPSE_MS 2200
#define UNREADABLE_LINES_MAX 50 /* in UNREADABLE_LOG_MS */
#define UNREADABLE_LOG_MS 10000

/* Upper bound of a record's age, and the reason for the bound. */
typedef struct RecordAge {
    uint64_t ms;
    const char *from;
} RecordAge;

/*
 * Returns how long ago a record that is read now may have been written. Bounds
 * of versions do not run while the store is away: a record written before or
 * during an outage counts as new, because no process could have read the record
 * and acted on it in time.
 */
static RecordAge record_age(const QRGateway *g)
{
    uint64_t now = qr_gateway_now(g);
    uint64_t gap = qr_follower_max_record_age_ms(g->follow_operator);
    uint64_t current = qr_gateway_operator_current_ms(g);
    QROutage out = qr_follower_outage(g->follow_operator);

    if (qr_operator_is_empty(&g->operator) &&
        qr_position_is_none(qr_follower_next_position(g->follow_operator)))
        return (RecordAge){QR_AGE_UNKNOWN_MS, "start"};
    if (current == 0)
        return (RecordAge){QR_AGE_UNKNOWN_MS, "no complete read yet"};
    if (out.first_ms > current && qr_gateway_store_was_away(g))
        return (RecordAge){0, "outage of the store"};
    if (gap < now - current)
        return (RecordAge){gap, "long poll"};
    return (RecordAge){now - current, "since last complete read"};
}

static void operator_record(void *owner, const QRStoreRecord *r)
{
    QRGateway *g = owner;
    RecordAge age = record_age(g);
    uint64_t now = qr_gateway_now(g);
    QROutage out = qr_follower_outage(g->follow_operator);

    if (g->platform->operator_kind(r->key) == QR_OPERATOR_WEIGHTS)
        qr_logf(QR_LEVEL_INFO, "store",
                "age key=%s " QR_POSITION_FORMAT " age_ms=%" G_GUINT64_FORMAT
                " from=\"%s\" known_ago_ms=%" G_GUINT64_FORMAT
                " failed_first_ago_ms=%" G_GUINT64_FORMAT
                " failed_last_ago_ms=%" G_GUINT64_FORMAT,
                r->key, QR_POSITION_ARGS(r->position), age.ms, age.from,
                now - qr_gateway_operator_current_ms(g),
                out.first_ms ? now - out.first_ms : 0,
                out.last_ms ? now - out.last_ms : 0);
    qr_operator_apply(&g->operator, r, age.ms, now);
    if (age.ms == QR_AGE_UNKNOWN_MS) {
        g->ages_due_ms = MAX(now, 1);
        g->ages_requests = 0;
    }
}

static void note_new_epoch(void *owner, uint64_t epoch)
{
    qr_gateway_note_epoch(owner, epoch);
}

static void operator_listed(void *owner, GHashTable *keys)
{
    QRGateway *g = owner;
    QRPosition end = qr_follower_next_position(g->follow_operator);

    qr_gateway_note_epoch(g, end.epoch);
    qr_operator_lift_missing(&g->operator, keys, end, qr_gateway_now(g));
}

static void operator_reached(void *owner, bool reached, const char *why)
{
    (void)owner;
    qr_logf(reached ? QR_LEVEL_INFO : QR_LEVEL_WARN, "store",
            "%s topic=operator why=%s", reached ? "reached" : "lost", why);
}

const QRFollowerHandlers qr_gateway_operator_handlers = {
    operator_record, note_new_epoch, operator_listed, operator_reached};

/*
 * Whether the store came back a moment ago. Records that expired during the
 * outage belong to engines that could not renew them, and most are written
 * again.
 */
static bool may_have_lapsed(const QRGateway *g)
{
    uint64_t now = qr_gateway_now(g);

    /* the first answer after an outage arrives before its end is noted */
    return qr_gateway_store_is_away(g, now) ||
           (g->store_back_ms > 0 && now < g->store_back_ms + LAPSE_MS);
}

void qr_gateway_note_store_back(QRGateway *g)
{
    g->store_back_ms = MAX(qr_gateway_now(g), 1);
}

static void remove_engine(QRGateway *g, const QREngine *e)
{
    qr_engines_drop(&g->engines, e->record->id, qr_gateway_now(g));
    qr_logf(QR_LEVEL_INFO, "engines", "gone engine=%s", e->record->id);
    qr_requests_engine_ended(g, e->record->id);
    if (!qr_engines_at(&g->engines, e->record->address))
        qr_gateway_set_sidecar_leaving(g, e->record->address, true);
}

/*
 * An engine's record is gone; some engines never announce that they leave.
 * Other gateways receive the change at once. Each gateway decides for itself,
 * by when it reached the store again, whether the record may only have lapsed.
 */
static void mark_engine_gone(QRGateway *g, const char *id, QRPosition position)
{
    QREngine *e = qr_engines_get(&g->engines, id);
    QRStoreRecord r = {(char *)id, NULL, position};

    if (!e || e->gone || e->record_expired_ms > 0 ||
        qr_gateway_engine_record_is_outdated(g, id, position, true))
        return;
    r.value = g_bytes_new_static("", 0);
    qr_gateway_keep_engine_change(g, &r, true);
    g_bytes_unref(r.value);
    if (!may_have_lapsed(g)) {
        remove_engine(g, e);
        return;
    }
    e->record_expired_ms = MAX(qr_gateway_now(g), 1);
    qr_logf(QR_LEVEL_INFO, "engines", "lapsed engine=%s " QR_POSITION_FORMAT,
            id, QR_POSITION_ARGS(position));
}

/* Limits log lines, because unreadable records may be written as often as valid
   ones. */
static bool may_log_unreadable(QRGateway *g)
{
    uint64_t now = qr_gateway_now(g);

    if (now >= g->unreadable_since_ms + UNREADABLE_LOG_MS) {
        g->unreadable_since_ms = now;
        g->unreadable_lines = 0;
    }
    return g->unreadable_lines++ < UNREADABLE_LINES_MAX;
}

/*
 * Another writer has replaced an engine's record by one that cannot be parsed.
 * A known engine gets no new calls until it writes its own record again, one
 * heartbeat later if the engine runs. Its open calls continue, and its sidecar
 * stays a source of weights.
 */
static void engine_unreadable(QRGateway *g, const QRStoreRecord *r,
                              const QRFindings *f)
{
    QREngine *e = qr_engines_get(&g->engines, r->key);

    g->counters.counts[QR_COUNTER_unreadable]++;
    if (may_log_unreadable(g))
        qr_logf(QR_LEVEL_WARN, "engines",
                "unreadable record engine=%s " QR_POSITION_FORMAT
                " known=%d finding=%s",
                r->key, QR_POSITION_ARGS(r->position), e && !e->gone,
                f->lines->len > 0 ? (const char *)f->lines->pdata[0] : "-");
    if (!e || e->gone || e->unreadable)
        return;
    e->unreadable = true;
    qr_gateway_keep_engine_change(g, r, false);
}

/*
 * Only a record written after the first listing shows that the engine runs. A
 * record with a greater position but in a later epoch may be the same record,
 * restored with the store.
 */
static void update_position(QREngine *e, QRPosition position,
                            bool was_unconfirmed)
{
    bool is_known = !qr_position_is_none(e->position);

    if (is_known && position.epoch == e->position.epoch &&
        position.offset > e->position.offset)
        e->superseded = false;
    else
        e->unconfirmed = was_unconfirmed;
    e->position = qr_position_max(e->position, position);
}

/*
 * Whether the record belongs to an engine that left before the store was rolled
 * back, and whose address another engine has taken since. The older engine has
 * ended, even if the restored store keeps its record.
 */
static bool is_replaced(const QRGateway *g, const QREngineRecord *record,
                        QRPosition position)
{
    const QREngine *next = qr_engines_at(&g->engines, record->address);

    return !record->draining && next &&
           strcmp(next->record->id, record->id) != 0 &&
           qr_gateway_engine_left_in_other_epoch(g, record->id, position.epoch);
}

/*
 * Whether this very record is known already: lists are received again and
 * again, and hold thousands of records. A store that was restored, and names no
 * epochs, may hold another record at the same offset.
 */
static bool is_applied(const QRGateway *g, const QRStoreRecord *r,
                       uint64_t hash)
{
    const QREngine *e = qr_engines_get(&g->engines, r->key);

    return e && !e->gone && !e->unreadable && e->record_expired_ms == 0 &&
           e->record_hash == hash &&
           qr_position_cmp(e->position, r->position) == 0;
}

static void note_cold(QRGateway *g, QREngine *e)
{
    uint64_t now = qr_gateway_now(g);

    if (e->record->cold_ms > 0 && now >= e->cold_until_ms)
        qr_logf(QR_LEVEL_INFO, "engines", "cold engine=%s for_ms=%u",
                e->record->id, e->record->cold_ms);
    e->cold_until_ms = e->record->cold_ms > 0 ? now + e->record->cold_ms : 0;
    if (e->record->cold_ms > 0)
        qr_gateway_slots_changed(g, e); /* its coordinator has to know */
}

void qr_gateway_take_engine_record(QRGateway *g, const QRStoreRecord *r)
{
    g_auto(QRFindings) findings = {0};
    gsize len;
    const char *data = g_bytes_get_data(r->value, &len);
    uint64_t hash;
    QREngineRecord *record;
    QREngine *e;
    bool was_unconfirmed;
    bool is_fresh = g->engines_known; /* written a moment ago */
    const char *change;

    if (len == 0) {
        mark_engine_gone(g, r->key, r->position);
        return;
    }
    hash = qr_hash64(data, len, 0);
    if (is_applied(g, r, hash))
        return;
    qr_findings_init(&findings, r->key);
    record = g->platform->parse_engine(r->key, data, len, &findings);
    if (!record) {
        if (!qr_gateway_engine_record_is_outdated(g, r->key, r->position,
                                                  false))
            engine_unreadable(g, r, &findings);
        return;
    }
    /* another gateway has already sent a newer change */
    if (qr_gateway_engine_record_is_outdated(g, r->key, r->position,
                                             record->draining) ||
        is_replaced(g, record, r->position)) {
        qr_engine_record_free(record);
        return;
    }
    e = qr_engines_get(&g->engines, record->id);
    was_unconfirmed = e ? e->unconfirmed : !g->engines_known;
    change = qr_engines_update(&g->engines, record, qr_gateway_now(g));
    e = qr_engines_get(&g->engines, record->id);
    if (is_fresh && qr_position_cmp(r->position, e->position) > 0)
        note_cold(g, e);
    update_position(e, r->position, was_unconfirmed);
    e->record_hash = hash;
    if (change && qr_engines_supersede_earlier(
                      &g->engines, e, qr_gateway_epoch_is_settling(g)) > 0)
        qr_logf(QR_LEVEL_INFO, "engines",
                "earlier engines at the address ended address=%s "
                "seen=%s " QR_POSITION_FORMAT,
                record->address, record->id, QR_POSITION_ARGS(r->position));
    if (g_strcmp0(change, QR_CHANGE_STARTED) == 0)
        qr_requests_engine_ended(g, record->id);
    if (change) {
        qr_logf(QR_LEVEL_INFO, "engines",
                "%s engine=%s service=%s address=%s zone=%s draining=%d "
                "version=%" G_GUINT64_FORMAT " " QR_POSITION_FORMAT,
                change, record->id, record->service, record->address,
                record->zone, record->draining, record->version,
                QR_POSITION_ARGS(r->position));
        qr_gateway_keep_engine_change(g, r, record->draining);
    }
    qr_gateway_set_sidecar_leaving(g, record->address, record->draining);
}

static void engines_record(void *owner, const QRStoreRecord *r)
{
    qr_gateway_take_engine_record(owner, r);
}

static void engines_listed(void *owner, GHashTable *keys)
{
    QRGateway *g = owner;
    QRPosition next = qr_follower_next_position(g->follow_engines);
    g_autoptr(GPtrArray) gone = qr_engines_missing(&g->engines, keys);

    qr_gateway_note_epoch(g, next.epoch);
    /* a missing record went at the last listed change or before; the
       position after that is not written yet and must not count as known */
    for (unsigned i = 0; i < gone->len; i++)
        mark_engine_gone(g, gone->pdata[i], qr_position_before(next));
    g->own_listing_end = next;
    if (!qr_gateway_epoch_is_settling(g))
        g->settled_epoch = next.epoch;
    if (!g->engines_known)
        g->engines_since = next;
    g->engines_known = true;
    qr_logf(QR_LEVEL_INFO, "engines",
            "listed count=%u gone=%u " QR_POSITION_FORMAT,
            g_hash_table_size(keys), gone->len, QR_POSITION_ARGS(next));
}

/* Whether own reads, if any, have gone on long enough after the outage to show
   which records were written again. Resumes reads if they have not. */
static bool own_reads_cover_lapse(QRGateway *g)
{
    uint64_t due = g->store_back_ms + LAPSE_MS;

    if (g->store_reads_paused || !qr_follower_is_reachable(g->follow_engines) ||
        qr_follower_answered_ms(g->follow_engines) >= due)
        return true;
    qr_follower_pause(g->follow_engines, false);
    return false;
}

void qr_gateway_check_lapsed(QRGateway *g)
{
    g_autoptr(GPtrArray) late = g_ptr_array_new();
    GHashTableIter it;
    void *value;

    if (g->store_back_ms == 0 || may_have_lapsed(g) ||
        !own_reads_cover_lapse(g))
        return;
    g_hash_table_iter_init(&it, g->engines.by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((QREngine *)value)->record_expired_ms > 0)
            g_ptr_array_add(late, value);
    }
    for (unsigned i = 0; i < late->len; i++)
        remove_engine(g, late->pdata[i]);
    g->store_back_ms = 0;
}

static void engines_reached(void *owner, bool reached, const char *why)
{
    QRGateway *g = owner;

    /* a first read does not end an outage, if others sent the records before */
    if (reached && g->engines_known && g->engines_read_failed)
        qr_gateway_note_store_back(g);
    g->engines_read_failed = !reached;
    qr_logf(reached ? QR_LEVEL_INFO : QR_LEVEL_WARN, "store",
            "%s topic=engines why=%s", reached ? "reached" : "lost", why);
}

const QRFollowerHandlers qr_gateway_engines_handlers = {
    engines_record, note_new_epoch, engines_listed, engines_reached};

uint64_t qr_gateway_version_in_force(const QRGateway *g,
                                     const QRService *service,
                                     uint64_t margin_ms, uint64_t now_ms)
{
    uint64_t bound = (uint64_t)g->set->version_ms;

    bound -= MIN(bound, margin_ms);
    return service ? qr_operator_overdue_version(
                         &g->operator, service->engine.model, bound,
                         qr_gateway_bound_clock_ms(g, now_ms))
                   : 0;
}
