/*
 * The operator's records that this process knows.
 */
#include "qr_operator.h"

#include "base/qr_pack.h"
#include "io/qr_log.h"

#include <string.h>

#define VERSIONS_KEPT_MAX 16 /* per model; older ones are long in force */

static void known_record_free(void *p)
{
    QRKnownRecord *h = p;

    qr_store_record_free(h->record);
    g_bytes_unref(h->packed);
    g_free(h);
}

void qr_operator_init(QROperator *o, const QRPlatform *platform,
                      QROperatorRecordFunc on_record, void *owner)
{
    o->platform = platform;
    o->on_record = on_record;
    o->owner = owner;
    o->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, known_record_free);
    o->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_array_unref);
    qr_evacuations_init(&o->evacuations);
}

void qr_operator_clear(QROperator *o)
{
    g_clear_pointer(&o->records, g_hash_table_unref);
    g_clear_pointer(&o->versions, g_hash_table_unref);
    g_clear_pointer(&o->policy, qr_policy_free);
    qr_evacuations_clear(&o->evacuations);
}

/* Time of an event 'age_ms' ago; 0 means before the clock began. */
static uint64_t time_ago(uint64_t now_ms, uint64_t age_ms)
{
    return now_ms > age_ms ? now_ms - age_ms : 0;
}

static QRPolicy *parse_policy(const QROperator *o, const QRStoreRecord *r)
{
    g_auto(QRFindings) f = {0};
    gsize len;
    const char *data = g_bytes_get_data(r->value, &len);
    QRPolicy *p;

    qr_findings_init(&f, r->key);
    p = o->platform->parse_policy(data, len, &f);
    for (unsigned i = 0; i < f.lines->len; i++)
        qr_logf(QR_LEVEL_WARN, "policy", "finding %s",
                (char *)f.lines->pdata[i]);
    return p;
}

static uint64_t age_of(uint64_t since_ms, uint64_t now_ms)
{
    return since_ms > 0 ? now_ms - since_ms : QR_AGE_UNKNOWN_MS;
}

/* Position and time of a record, which may repeat the value of another one. */
typedef struct RecordStamp {
    QRPosition position;
    uint64_t since_ms;
} RecordStamp;

/*
 * Whether 'other' replaces the known stamp of the same version. Of two records
 * that name one version, the first one put it into force. For one record, each
 * process knows only an upper bound of its age; the least bound is the closest.
 */
static bool stamp_replaces(QRPosition known, uint64_t known_since_ms,
                           const RecordStamp *other)
{
    int cmp = qr_position_is_none(other->position)
                  ? 0 /* sent by a build without positions */
                  : qr_position_cmp(other->position, known);

    return cmp < 0 || (cmp == 0 && other->since_ms > known_since_ms);
}

static bool apply_policy(QROperator *o, const QRStoreRecord *r,
                         const RecordStamp *stamp, uint64_t now_ms)
{
    QRPolicy *p = parse_policy(o, r);
    gsize len = g_bytes_get_size(r->value);

    if (!p)
        return false;
    if (o->policy && p->version <= o->policy->version) {
        if (p->version < o->policy->version)
            qr_logf(QR_LEVEL_INFO, "policy",
                    "kept version=%" G_GUINT64_FORMAT
                    " passed_over=%" G_GUINT64_FORMAT " " QR_POSITION_FORMAT,
                    o->policy->version, p->version,
                    QR_POSITION_ARGS(r->position));
        qr_policy_free(p);
        return false;
    }
    qr_logf(QR_LEVEL_INFO, "policy",
            "in force version=%" G_GUINT64_FORMAT " routes=%u teams=%u "
            "bytes=%zu " QR_POSITION_FORMAT " age_ms=%" G_GUINT64_FORMAT,
            p->version, p->routes->len, p->teams->len, len,
            QR_POSITION_ARGS(r->position), age_of(stamp->since_ms, now_ms));
    qr_policy_free(o->policy);
    o->policy = p;
    o->policy_since_ms = stamp->since_ms;
    o->policy_position = stamp->position;
    return true;
}

/* Inserts a version in ascending order. */
static void add_version(QROperator *o, const char *model,
                        const QRNamedVersion *named)
{
    GArray *list = g_hash_table_lookup(o->versions, model);
    unsigned at;

    if (!list) {
        list = g_array_new(FALSE, FALSE, sizeof(QRNamedVersion));
        g_hash_table_insert(o->versions, g_strdup(model), list);
    }
    for (at = list->len; at > 0; at--) {
        QRNamedVersion *v = &g_array_index(list, QRNamedVersion, at - 1);

        if (v->version < named->version)
            break;
        if (v->version == named->version) {
            RecordStamp other = {named->position, named->since_ms};

            if (!v->settled && stamp_replaces(v->position, v->since_ms, &other))
                *v = *named;
            return;
        }
    }
    g_array_insert_val(list, at, *named);
    if (list->len > VERSIONS_KEPT_MAX)
        g_array_remove_index(list, 0);
}

static bool apply_version(QROperator *o, const QRStoreRecord *r,
                          const RecordStamp *stamp, uint64_t now_ms)
{
    g_autofree char *model = NULL;
    const QRNamedVersion *known;
    QRNamedVersion named = {.position = stamp->position,
                            .since_ms = stamp->since_ms};
    gsize len;
    const char *data = g_bytes_get_data(r->value, &len);

    if (o->platform->parse_weights(data, len, &model, &named.version) != 0) {
        qr_logf(QR_LEVEL_WARN, "weights", "unreadable record key=%s", r->key);
        return false;
    }
    known = qr_operator_newest_version(o, model);
    if (known && named.version <= known->version)
        return false;
    qr_logf(QR_LEVEL_INFO, "weights",
            "named model=%s version=%" G_GUINT64_FORMAT
            " age_ms=%" G_GUINT64_FORMAT " " QR_POSITION_FORMAT,
            model, named.version, age_of(named.since_ms, now_ms),
            QR_POSITION_ARGS(named.position));
    add_version(o, model, &named);
    return true;
}

static bool apply_evacuation(QROperator *o, const QRStoreRecord *r)
{
    const char *zone = o->platform->evacuated_zone(r->key);
    bool evacuated = g_bytes_get_size(r->value) > 0;
    bool before = qr_evacuations_has(&o->evacuations, zone);

    if (!*zone) {
        qr_logf(QR_LEVEL_WARN, "zones", "evacuation without a zone key=%s",
                r->key);
        return false;
    }
    if (!qr_evacuations_apply(&o->evacuations, zone, evacuated, r->position))
        return false;
    if (evacuated != before)
        qr_logf(QR_LEVEL_INFO, "zones", "%s zone=%s " QR_POSITION_FORMAT,
                evacuated ? "evacuated" : "evacuation lifted", zone,
                QR_POSITION_ARGS(r->position));
    return true;
}

/* Sets the stamp of the version that a record names. */
static void restamp_version(QROperator *o, const QRStoreRecord *r,
                            const RecordStamp *stamp)
{
    g_autofree char *model = NULL;
    uint64_t version;
    gsize len;
    const char *data = g_bytes_get_data(r->value, &len);
    GArray *list;

    if (o->platform->parse_weights(data, len, &model, &version) != 0)
        return;
    list = g_hash_table_lookup(o->versions, model);
    for (unsigned i = 0; list && i < list->len; i++) {
        QRNamedVersion *v = &g_array_index(list, QRNamedVersion, i);

        if (v->version != version || v->settled)
            continue;
        v->position = stamp->position;
        v->since_ms = stamp->since_ms;
    }
}

/* Updates the stamp of a known record whose value was received again. */
static void restamp_record(QROperator *o, QRKnownRecord *known_record,
                           const RecordStamp *stamp, uint64_t now_ms)
{
    bool later = stamp->since_ms > known_record->since_ms;

    if (!stamp_replaces(known_record->record->position, known_record->since_ms,
                        stamp))
        return;
    known_record->record->position = stamp->position;
    known_record->since_ms = stamp->since_ms;
    if (o->platform->operator_kind(known_record->record->key) !=
        QR_OPERATOR_WEIGHTS)
        return;
    restamp_version(o, known_record->record, stamp);
    qr_logf(QR_LEVEL_INFO, "weights",
            "named %s than assumed key=%s age_ms=%" G_GUINT64_FORMAT
            " " QR_POSITION_FORMAT,
            later ? "later" : "earlier", known_record->record->key,
            age_of(stamp->since_ms, now_ms), QR_POSITION_ARGS(stamp->position));
}

/*
 * Whether a record is newer than the known one; applies the record to the
 * policy or the versions. Both are compared by version number rather than by
 * position, since the store may have been restored from a copy without the
 * records in force.
 */
static bool accept_record(QROperator *o, const QRKnownRecord *known_record,
                          const QRStoreRecord *r, const RecordStamp *stamp,
                          uint64_t now_ms)
{
    switch (o->platform->operator_kind(r->key)) {
    case QR_OPERATOR_POLICY:
        return apply_policy(o, r, stamp, now_ms);
    case QR_OPERATOR_WEIGHTS:
        return apply_version(o, r, stamp, now_ms);
    case QR_OPERATOR_EVACUATION:
        return apply_evacuation(o, r);
    case QR_OPERATOR_OTHER:
        break;
    }
    return !known_record ||
           qr_position_cmp(known_record->record->position, r->position) < 0;
}

bool qr_operator_apply(QROperator *o, const QRStoreRecord *r, uint64_t age_ms,
                       uint64_t now_ms)
{
    QRKnownRecord *known_record = g_hash_table_lookup(o->records, r->key);
    RecordStamp stamp = {r->position, time_ago(now_ms, age_ms)};
    bool evacuation =
        o->platform->operator_kind(r->key) == QR_OPERATOR_EVACUATION;

    if (g_bytes_get_size(r->value) == 0 && !evacuation)
        return false; /* deleting any other key revokes nothing */
    o->end = qr_position_max(o->end, qr_position_after(r->position));
    if (!evacuation && known_record &&
        g_bytes_equal(known_record->record->value, r->value)) {
        restamp_record(o, known_record, &stamp, now_ms);
        return false;
    }
    if (!accept_record(o, known_record, r, &stamp, now_ms))
        return false;
    known_record = g_new0(QRKnownRecord, 1);
    known_record->record = g_new0(QRStoreRecord, 1);
    known_record->record->key = g_strdup(r->key);
    known_record->record->value = g_bytes_ref(r->value);
    known_record->record->position = r->position;
    known_record->since_ms = stamp.since_ms;
    g_hash_table_replace(o->records, known_record->record->key, known_record);
    o->on_record(o->owner, r);
    return true;
}

void qr_operator_lift_missing(QROperator *o, GHashTable *keys, QRPosition end,
                              uint64_t now_ms)
{
    g_autoptr(GPtrArray) lifted = g_ptr_array_new();
    g_autoptr(GBytes) deleted = g_bytes_new_static("", 0);
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, o->records);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        if (o->platform->operator_kind(key) == QR_OPERATOR_EVACUATION &&
            !g_hash_table_contains(keys, key) &&
            qr_evacuations_is_listed(&o->evacuations,
                                     o->platform->evacuated_zone(key), end))
            g_ptr_array_add(lifted, key);
    }
    for (unsigned i = 0; i < lifted->len; i++) {
        g_autofree char *name = g_strdup(lifted->pdata[i]);
        QRStoreRecord r = {name, deleted, qr_position_before(end)};

        qr_operator_apply(o, &r, 0, now_ms);
    }
}

bool qr_operator_is_empty(const QROperator *o)
{
    return g_hash_table_size(o->records) == 0;
}

QRKnownVersions qr_operator_known_versions(const QROperator *o)
{
    QRKnownVersions k = {.policy = o->policy ? o->policy->version : 0,
                         .offset = o->end.offset,
                         .evacuations = o->evacuations.newest};
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, o->versions);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const GArray *list = value;

        k.weights += g_array_index(list, QRNamedVersion, list->len - 1).version;
    }
    return k;
}

static bool has_versions(const QRKnownVersions *k)
{
    return k->policy > 0 || k->weights > 0;
}

bool qr_known_versions_exceed(const QRKnownVersions *a,
                              const QRKnownVersions *b)
{
    if (!has_versions(a) || !has_versions(b))
        return a->offset > b->offset;
    return a->policy > b->policy || a->weights > b->weights ||
           qr_position_cmp(a->evacuations, b->evacuations) > 0;
}

const QRNamedVersion *qr_operator_newest_version(const QROperator *o,
                                                 const char *model)
{
    GArray *list = model ? g_hash_table_lookup(o->versions, model) : NULL;

    return list ? &g_array_index(list, QRNamedVersion, list->len - 1) : NULL;
}

const QRNamedVersion *qr_operator_version_after(const QROperator *o,
                                                const char *model,
                                                uint64_t version)
{
    GArray *list = model ? g_hash_table_lookup(o->versions, model) : NULL;

    for (unsigned i = 0; list && i < list->len; i++) {
        const QRNamedVersion *v = &g_array_index(list, QRNamedVersion, i);

        if (v->version > version)
            return v;
    }
    return NULL;
}

static bool bound_has_passed(const QRNamedVersion *v, uint64_t bound_ms,
                             uint64_t now_ms)
{
    return v->since_ms == 0 || now_ms >= v->since_ms + bound_ms;
}

uint64_t qr_operator_overdue_version(const QROperator *o, const char *model,
                                     uint64_t bound_ms, uint64_t now_ms)
{
    GArray *list = model ? g_hash_table_lookup(o->versions, model) : NULL;
    uint64_t due = 0;

    for (unsigned i = 0; list && i < list->len; i++) {
        const QRNamedVersion *v = &g_array_index(list, QRNamedVersion, i);

        if (bound_has_passed(v, bound_ms, now_ms))
            due = v->version;
    }
    return due;
}

void qr_operator_log_in_force(QROperator *o, uint64_t bound_ms, uint64_t now_ms)
{
    GHashTableIter it;
    void *model, *value;

    g_hash_table_iter_init(&it, o->versions);
    while (g_hash_table_iter_next(&it, &model, &value)) {
        GArray *list = value;

        for (unsigned i = 0; i < list->len; i++) {
            QRNamedVersion *v = &g_array_index(list, QRNamedVersion, i);

            if (v->in_force || !bound_has_passed(v, bound_ms, now_ms))
                continue;
            v->in_force = true;
            v->settled =
                v->since_ms > 0 && now_ms < v->since_ms + QR_AGE_UNKNOWN_MS;
            qr_logf(QR_LEVEL_INFO, "weights",
                    "in force model=%s version=%" G_GUINT64_FORMAT
                    " age_ms=%" G_GUINT64_FORMAT " " QR_POSITION_FORMAT,
                    (const char *)model, v->version,
                    age_of(v->since_ms, now_ms), QR_POSITION_ARGS(v->position));
        }
    }
}

void qr_operator_append_metrics(const QROperator *o, uint64_t now_ms,
                                GString *out)
{
    GHashTableIter it;
    void *model, *value;

    g_string_append(out, "# HELP quayring_version_age_ms time since a version "
                         "of weights was named\n"
                         "# TYPE quayring_version_age_ms gauge\n");
    g_hash_table_iter_init(&it, o->versions);
    while (g_hash_table_iter_next(&it, &model, &value)) {
        const GArray *list = value;

        for (unsigned i = 0; i < list->len; i++) {
            const QRNamedVersion *v = &g_array_index(list, QRNamedVersion, i);
            g_autofree char *label = g_strescape(model, NULL);

            g_string_append_printf(
                out,
                "quayring_version_age_ms{model=\"%s\",version="
                "\"%" G_GUINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n",
                label, v->version, age_of(v->since_ms, now_ms));
        }
    }
}

static void restart_bound(uint64_t *since_ms, uint64_t bound_ms,
                          uint64_t from_ms, uint64_t now_ms)
{
    if (*since_ms > 0 && *since_ms + bound_ms > from_ms)
        *since_ms = now_ms;
}

void qr_operator_restart_bounds(QROperator *o, uint64_t bound_ms,
                                uint64_t from_ms, uint64_t now_ms)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, o->versions);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        GArray *list = value;

        for (unsigned i = 0; i < list->len; i++)
            restart_bound(&g_array_index(list, QRNamedVersion, i).since_ms,
                          bound_ms, from_ms, now_ms);
    }
    g_hash_table_iter_init(&it, o->records);
    while (g_hash_table_iter_next(&it, NULL, &value))
        restart_bound(&((QRKnownRecord *)value)->since_ms, bound_ms, from_ms,
                      now_ms);
}

uint64_t qr_operator_first_undated_offset(const QROperator *o, uint64_t now_ms)
{
    uint64_t least = UINT64_MAX;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, o->records);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRKnownRecord *known_record = value;
        bool unknown = known_record->since_ms == 0 ||
                       now_ms >= known_record->since_ms + QR_AGE_UNKNOWN_MS;

        if (unknown && o->platform->operator_kind(known_record->record->key) ==
                           QR_OPERATOR_WEIGHTS)
            least = MIN(least, known_record->record->position.offset);
    }
    return least;
}

/* Returns the compressed value, made at the first call; NULL if too short. */
static GBytes *compressed_value(QRKnownRecord *known_record)
{
    if (!known_record->packed &&
        g_bytes_get_size(known_record->record->value) >= QR_PACK_LEAST_BYTES)
        known_record->packed = qr_pack(known_record->record->value);
    return known_record->packed;
}

static void fill_record(const QROperator *o, QRKnownRecord *known_record,
                        QRAudience audience, uint64_t now_ms,
                        Qr__Fleet__Record *out)
{
    GBytes *value = known_record->record->value, *packed = NULL;
    gsize len;

    if (audience == QR_FOR_GATEWAYS)
        packed = compressed_value(known_record);
    else if (o->policy && o->platform->operator_kind(
                              known_record->record->key) == QR_OPERATOR_POLICY)
        value = o->policy->for_sidecars;
    qr__fleet__record__init(out);
    out->key = known_record->record->key;
    out->offset = known_record->record->position.offset;
    out->epoch = known_record->record->position.epoch;
    out->age_ms = age_of(known_record->since_ms, now_ms);
    if (packed) {
        out->packed.data = (uint8_t *)g_bytes_get_data(packed, &len);
        out->packed.len = len;
        out->size = (uint32_t)g_bytes_get_size(value);
    } else {
        out->value.data = (uint8_t *)g_bytes_get_data(value, &len);
        out->value.len = len;
    }
}

/*
 * Adds the versions named before that of the record. A starting process finds
 * only the newest version in the store, but older ones have bounds of their
 * own. 'allocations' owns the memory that 'out' points at.
 */
static void fill_earlier_versions(const QROperator *o,
                                  const QRKnownRecord *known_record,
                                  uint64_t now_ms, Qr__Fleet__Record *out,
                                  GPtrArray *allocations)
{
    g_autofree char *model = NULL;
    Qr__Fleet__EarlierVersion *rows;
    const GArray *list;
    uint64_t version;
    gsize len;
    const char *data = g_bytes_get_data(known_record->record->value, &len);

    if (o->platform->operator_kind(known_record->record->key) !=
            QR_OPERATOR_WEIGHTS ||
        o->platform->parse_weights(data, len, &model, &version) != 0)
        return;
    list = g_hash_table_lookup(o->versions, model);
    if (!list)
        return;
    rows = g_new(Qr__Fleet__EarlierVersion, list->len);
    out->earlier = g_new(Qr__Fleet__EarlierVersion *, list->len);
    g_ptr_array_add(allocations, rows);
    g_ptr_array_add(allocations, out->earlier);
    for (unsigned i = 0; i < list->len; i++) {
        const QRNamedVersion *v = &g_array_index(list, QRNamedVersion, i);

        if (v->version >= version)
            break;
        qr__fleet__earlier_version__init(&rows[i]);
        rows[i].version = v->version;
        rows[i].epoch = v->position.epoch;
        rows[i].offset = v->position.offset;
        rows[i].age_ms = age_of(v->since_ms, now_ms);
        out->earlier[out->n_earlier++] = &rows[i];
    }
}

/* Whether a process that knows 'known' lacks a record. */
static bool is_missing(const QROperator *o, const QRKnownRecord *known_record,
                       const QRKnownVersions *own, const QRKnownVersions *known)
{
    if (!has_versions(known))
        return known_record->record->position.offset >= known->offset;
    switch (o->platform->operator_kind(known_record->record->key)) {
    case QR_OPERATOR_POLICY:
        return own->policy > known->policy;
    case QR_OPERATOR_WEIGHTS:
        return own->weights > known->weights;
    case QR_OPERATOR_EVACUATION:
        return qr_position_cmp(known_record->record->position,
                               known->evacuations) > 0;
    case QR_OPERATOR_OTHER:
        break;
    }
    return false;
}

typedef struct RecordBatch {
    const QROperator *o;
    QRAudience audience;
    uint64_t now_ms;
    GArray *rows;           /* Qr__Fleet__Record */
    GPtrArray *allocations; /* memory that rows point at */
} RecordBatch;

static void batch_init(RecordBatch *t, const QROperator *o, QRAudience audience,
                       uint64_t now_ms)
{
    t->o = o;
    t->audience = audience;
    t->now_ms = now_ms;
    t->rows = g_array_new(FALSE, FALSE, sizeof(Qr__Fleet__Record));
    t->allocations = g_ptr_array_new_with_free_func(g_free);
}

static void batch_clear(RecordBatch *t)
{
    g_array_unref(t->rows);
    g_ptr_array_unref(t->allocations);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(RecordBatch, batch_clear)

static void batch_add(RecordBatch *t, QRKnownRecord *known_record)
{
    Qr__Fleet__Record row;

    fill_record(t->o, known_record, t->audience, t->now_ms, &row);
    fill_earlier_versions(t->o, known_record, t->now_ms, &row, t->allocations);
    g_array_append_val(t->rows, row);
}

static void batch_send(const RecordBatch *t, QROperatorSend send, void *to)
{
    g_autofree Qr__Fleet__Record **list =
        g_new(Qr__Fleet__Record *, t->rows->len + 1);
    Qr__Fleet__Frame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Records records = QR__FLEET__RECORDS__INIT;

    if (t->rows->len == 0)
        return;
    for (unsigned i = 0; i < t->rows->len; i++)
        list[i] = &g_array_index(t->rows, Qr__Fleet__Record, i);
    records.records = list;
    records.n_records = t->rows->len;
    records.end = t->o->end.offset;
    records.epoch = t->o->end.epoch;
    frame.body_case = QR__FLEET__FRAME__BODY_RECORDS;
    frame.records = &records;
    send(to, &frame);
}

void qr_operator_send_missing(const QROperator *o, const QRKnownVersions *known,
                              QRAudience audience, uint64_t now_ms,
                              QROperatorSend send, void *to)
{
    g_auto(RecordBatch) batch = {0};
    QRKnownVersions own = qr_operator_known_versions(o);
    GHashTableIter it;
    void *value;

    batch_init(&batch, o, audience, now_ms);
    g_hash_table_iter_init(&it, o->records);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (is_missing(o, value, &own, known))
            batch_add(&batch, value);
    }
    batch_send(&batch, send, to);
}

void qr_operator_send_record(const QROperator *o, const char *key,
                             QRAudience audience, uint64_t now_ms,
                             QROperatorSend send, void *to)
{
    g_auto(RecordBatch) batch = {0};
    QRKnownRecord *known_record = g_hash_table_lookup(o->records, key);

    batch_init(&batch, o, audience, now_ms);
    if (known_record)
        batch_add(&batch, known_record);
    batch_send(&batch, send, to);
}

static GBytes *received_value(const Qr__Fleet__Record *received)
{
    GBytes *value;

    if (received->packed.len == 0)
        return g_bytes_new(received->value.data, received->value.len);
    value =
        qr_unpack(received->packed.data, received->packed.len, received->size);
    if (!value)
        qr_logf(QR_LEVEL_WARN, "policy",
                "cannot unpack record from peer key=%s bytes=%zu size=%u",
                received->key, received->packed.len, received->size);
    return value;
}

/* Runs before the record itself is applied; otherwise the bounds of earlier
   versions would be missing for a moment and old weights would be accepted. */
static void apply_earlier_versions(QROperator *o,
                                   const Qr__Fleet__Record *received,
                                   GBytes *value, uint64_t now_ms)
{
    g_autofree char *model = NULL;
    uint64_t version;
    gsize len;
    const char *data = g_bytes_get_data(value, &len);

    if (received->n_earlier == 0 ||
        o->platform->parse_weights(data, len, &model, &version) != 0)
        return;
    for (size_t i = 0; i < received->n_earlier; i++) {
        const Qr__Fleet__EarlierVersion *row = received->earlier[i];
        QRNamedVersion named = {.version = row->version,
                                .position = {row->epoch, row->offset},
                                .since_ms = time_ago(now_ms, row->age_ms)};

        add_version(o, model, &named);
    }
}

void qr_operator_age_records(Qr__Fleet__Records *records, uint64_t transit_ms)
{
    for (size_t i = 0; i < records->n_records; i++) {
        Qr__Fleet__Record *r = records->records[i];

        r->age_ms += transit_ms;
        for (size_t k = 0; k < r->n_earlier; k++)
            r->earlier[k]->age_ms += transit_ms;
    }
}

unsigned qr_operator_apply_records(QROperator *o,
                                   const Qr__Fleet__Records *records,
                                   uint64_t now_ms)
{
    unsigned applied = 0;
    bool all_unpacked = true;

    for (size_t i = 0; i < records->n_records; i++) {
        const Qr__Fleet__Record *received = records->records[i];
        g_autoptr(GBytes) value = received_value(received);
        QRStoreRecord r = {received->key, value,
                           qr_position_from_peer(received->epoch,
                                                 received->offset,
                                                 o->end.epoch)};

        all_unpacked &= value != NULL;
        if (!value)
            continue;
        apply_earlier_versions(o, received, value, now_ms);
        applied += qr_operator_apply(o, &r, received->age_ms, now_ms);
    }
    if (all_unpacked)
        o->end = qr_position_max(
            o->end,
            qr_position_from_peer(records->epoch, records->end, o->end.epoch));
    return applied;
}
