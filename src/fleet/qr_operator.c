/*
 * What the operator has put into force, as far as this process knows.
 */
#include "qr_operator.h"

#include "base/qr_pack.h"
#include "io/qr_log.h"

#include <string.h>

#define VERSIONS_KEPT 16 /* of a model; older ones are long in force */

static void held_free(void *p)
{
    QRHeldRecord *h = p;

    qr_store_record_free(h->record);
    g_bytes_unref(h->packed);
    g_free(h);
}

void qr_operator_init(QROperator *o, const QRPlatform *platform,
                      QROperatorNews news, void *owner)
{
    o->platform = platform;
    o->news = news;
    o->owner = owner;
    o->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, held_free);
    o->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_array_unref);
}

void qr_operator_clear(QROperator *o)
{
    g_clear_pointer(&o->records, g_hash_table_unref);
    g_clear_pointer(&o->versions, g_hash_table_unref);
    g_clear_pointer(&o->policy, qr_policy_free);
}

/* Time of the event 'age_ms' ago; 0 stands for before this clock began. */
static uint64_t since(uint64_t now_ms, uint64_t age_ms)
{
    return now_ms > age_ms ? now_ms - age_ms : 0;
}

static void take_policy(QROperator *o, const QRStoreRecord *r, uint64_t age_ms,
                        uint64_t now_ms)
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
    if (!p)
        return;
    if (o->policy && p->version <= o->policy->version) {
        qr_policy_free(p);
        return;
    }
    qr_logf(QR_LEVEL_INFO, "policy",
            "in force version=%" G_GUINT64_FORMAT " routes=%u teams=%u "
            "bytes=%zu offset=%" G_GUINT64_FORMAT " age_ms=%" G_GUINT64_FORMAT,
            p->version, p->routes->len, p->teams->len, len, r->offset, age_ms);
    qr_policy_free(o->policy);
    o->policy = p;
    o->policy_since_ms = since(now_ms, age_ms);
}

/* Notes a version in its place; of one that is known the lesser age counts. */
static void versions_add(QROperator *o, const char *model,
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
            v->since_ms = MAX(v->since_ms, named->since_ms);
            return;
        }
    }
    g_array_insert_val(list, at, *named);
    if (list->len > VERSIONS_KEPT)
        g_array_remove_index(list, 0);
}

static void take_version(QROperator *o, const QRStoreRecord *r, uint64_t age_ms,
                         uint64_t now_ms)
{
    g_autofree char *model = NULL;
    const QRNamedVersion *known;
    QRNamedVersion named = {0, since(now_ms, age_ms)};
    gsize len;
    const char *data = g_bytes_get_data(r->value, &len);

    if (o->platform->parse_weights(data, len, &model, &named.version) != 0) {
        qr_logf(QR_LEVEL_WARN, "weights", "unreadable record key=%s", r->key);
        return;
    }
    known = qr_operator_version(o, model);
    if (known && named.version <= known->version)
        return;
    qr_logf(QR_LEVEL_INFO, "weights",
            "named model=%s version=%" G_GUINT64_FORMAT
            " age_ms=%" G_GUINT64_FORMAT,
            model, named.version, age_ms);
    versions_add(o, model, &named);
}

static void version_is_younger(QROperator *o, const QRStoreRecord *r,
                               uint64_t since_ms)
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

        if (v->version == version)
            v->since_ms = since_ms;
    }
}

/*
 * Each process knows only that a record is no older than some age. The least
 * of them all is the nearest to the truth.
 */
static void held_is_younger(QROperator *o, QRHeldRecord *held, uint64_t age_ms,
                            uint64_t now_ms)
{
    uint64_t since_ms = since(now_ms, age_ms);

    if (since_ms <= held->since_ms)
        return;
    held->since_ms = since_ms;
    if (o->platform->operator_kind(held->record->key) != QR_OPERATOR_WEIGHTS)
        return;
    version_is_younger(o, held->record, since_ms);
    qr_logf(QR_LEVEL_INFO, "weights",
            "named later than assumed key=%s age_ms=%" G_GUINT64_FORMAT,
            held->record->key, age_ms);
}

bool qr_operator_take(QROperator *o, const QRStoreRecord *r, uint64_t age_ms,
                      uint64_t now_ms)
{
    QRHeldRecord *held = g_hash_table_lookup(o->records, r->key);

    if (g_bytes_get_size(r->value) == 0)
        return false; /* a dropped key takes nothing back */
    if (held && r->offset == held->record->offset)
        held_is_younger(o, held, age_ms, now_ms);
    if (held && r->offset <= held->record->offset)
        return false;
    held = g_new0(QRHeldRecord, 1);
    held->record = g_new0(QRStoreRecord, 1);
    held->record->key = g_strdup(r->key);
    held->record->value = g_bytes_ref(r->value);
    held->record->offset = r->offset;
    held->since_ms = since(now_ms, age_ms);
    g_hash_table_replace(o->records, held->record->key, held);
    o->end = MAX(o->end, r->offset + 1);
    switch (o->platform->operator_kind(r->key)) {
    case QR_OPERATOR_POLICY:
        take_policy(o, r, age_ms, now_ms);
        break;
    case QR_OPERATOR_WEIGHTS:
        take_version(o, r, age_ms, now_ms);
        break;
    case QR_OPERATOR_OTHER:
        break;
    }
    o->news(o->owner, r);
    return true;
}

const QRNamedVersion *qr_operator_version(const QROperator *o,
                                          const char *model)
{
    GArray *list = model ? g_hash_table_lookup(o->versions, model) : NULL;

    return list ? &g_array_index(list, QRNamedVersion, list->len - 1) : NULL;
}

uint64_t qr_operator_version_due(const QROperator *o, const char *model,
                                 uint64_t bound_ms, uint64_t now_ms)
{
    GArray *list = model ? g_hash_table_lookup(o->versions, model) : NULL;
    uint64_t due = 0;

    for (unsigned i = 0; list && i < list->len; i++) {
        const QRNamedVersion *v = &g_array_index(list, QRNamedVersion, i);

        if (v->since_ms == 0 || now_ms >= v->since_ms + bound_ms)
            due = v->version;
    }
    return due;
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
        restart_bound(&((QRHeldRecord *)value)->since_ms, bound_ms, from_ms,
                      now_ms);
}

uint64_t qr_operator_unsure(const QROperator *o, uint64_t now_ms)
{
    uint64_t least = UINT64_MAX;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, o->records);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRHeldRecord *held = value;
        bool unknown =
            held->since_ms == 0 || now_ms >= held->since_ms + QR_AGE_UNKNOWN_MS;

        if (unknown && o->platform->operator_kind(held->record->key) ==
                           QR_OPERATOR_WEIGHTS)
            least = MIN(least, held->record->offset);
    }
    return least;
}

/* Compresses a long value when it is first told. */
static GBytes *held_packed(QRHeldRecord *held)
{
    if (!held->packed &&
        g_bytes_get_size(held->record->value) >= QR_PACK_LEAST_BYTES)
        held->packed = qr_pack(held->record->value);
    return held->packed;
}

static void record_fill(const QROperator *o, QRHeldRecord *held,
                        QRAudience audience, uint64_t now_ms,
                        Qr__Fleet__Record *out)
{
    GBytes *value = held->record->value, *packed = NULL;
    gsize len;

    if (audience == QR_FOR_GATEWAYS)
        packed = held_packed(held);
    else if (o->policy && o->platform->operator_kind(held->record->key) ==
                              QR_OPERATOR_POLICY)
        value = o->policy->for_sidecars;
    qr__fleet__record__init(out);
    out->key = held->record->key;
    out->offset = held->record->offset;
    out->age_ms = held->since_ms ? now_ms - held->since_ms : QR_AGE_UNKNOWN_MS;
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
 * Versions named before that of the record: one that starts finds the newest
 * only in the store, and older ones have bounds of their own. What is sent
 * stays in 'kept'.
 */
static void earlier_fill(const QROperator *o, const QRHeldRecord *held,
                         uint64_t now_ms, Qr__Fleet__Record *out,
                         GPtrArray *kept)
{
    g_autofree char *model = NULL;
    Qr__Fleet__EarlierVersion *rows;
    const GArray *list;
    uint64_t version;
    gsize len;
    const char *data = g_bytes_get_data(held->record->value, &len);

    if (o->platform->operator_kind(held->record->key) != QR_OPERATOR_WEIGHTS ||
        o->platform->parse_weights(data, len, &model, &version) != 0)
        return;
    list = g_hash_table_lookup(o->versions, model);
    if (!list)
        return;
    rows = g_new(Qr__Fleet__EarlierVersion, list->len);
    out->earlier = g_new(Qr__Fleet__EarlierVersion *, list->len);
    g_ptr_array_add(kept, rows);
    g_ptr_array_add(kept, out->earlier);
    for (unsigned i = 0; i < list->len; i++) {
        const QRNamedVersion *v = &g_array_index(list, QRNamedVersion, i);

        if (v->version >= version)
            break;
        qr__fleet__earlier_version__init(&rows[i]);
        rows[i].version = v->version;
        rows[i].age_ms = v->since_ms ? now_ms - v->since_ms : QR_AGE_UNKNOWN_MS;
        out->earlier[out->n_earlier++] = &rows[i];
    }
}

void qr_operator_tell(const QROperator *o, uint64_t offset, QRAudience audience,
                      uint64_t now_ms,
                      void (*send)(void *to, const Qr__Fleet__Frame *frame),
                      void *to)
{
    unsigned most = g_hash_table_size(o->records), n = 0;
    g_autofree Qr__Fleet__Record *rows = g_new(Qr__Fleet__Record, most + 1);
    g_autofree Qr__Fleet__Record **list = g_new(Qr__Fleet__Record *, most + 1);
    g_autoptr(GPtrArray) kept = g_ptr_array_new_with_free_func(g_free);
    Qr__Fleet__Frame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Records records = QR__FLEET__RECORDS__INIT;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, o->records);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRHeldRecord *held = value;

        if (held->record->offset < offset)
            continue;
        record_fill(o, held, audience, now_ms, &rows[n]);
        earlier_fill(o, held, now_ms, &rows[n], kept);
        list[n] = &rows[n];
        n++;
    }
    if (n == 0)
        return;
    records.records = list;
    records.n_records = n;
    records.end = o->end;
    frame.body_case = QR__FLEET__FRAME__BODY_RECORDS;
    frame.records = &records;
    send(to, &frame);
}

static GBytes *told_value(const Qr__Fleet__Record *told)
{
    GBytes *value;

    if (told->packed.len == 0)
        return g_bytes_new(told->value.data, told->value.len);
    value = qr_unpack(told->packed.data, told->packed.len, told->size);
    if (!value)
        qr_logf(QR_LEVEL_WARN, "policy",
                "told record cannot be unpacked key=%s bytes=%zu size=%u",
                told->key, told->packed.len, told->size);
    return value;
}

/* Before the record itself: a moment without them would let old weights in. */
static void heard_earlier(QROperator *o, const Qr__Fleet__Record *told,
                          GBytes *value, uint64_t now_ms)
{
    g_autofree char *model = NULL;
    uint64_t version;
    gsize len;
    const char *data = g_bytes_get_data(value, &len);

    if (told->n_earlier == 0 ||
        o->platform->parse_weights(data, len, &model, &version) != 0)
        return;
    for (size_t i = 0; i < told->n_earlier; i++) {
        QRNamedVersion named = {told->earlier[i]->version,
                                since(now_ms, told->earlier[i]->age_ms)};

        versions_add(o, model, &named);
    }
}

unsigned qr_operator_heard(QROperator *o, const Qr__Fleet__Records *records,
                           uint64_t now_ms)
{
    unsigned news = 0;

    for (size_t i = 0; i < records->n_records; i++) {
        const Qr__Fleet__Record *told = records->records[i];
        g_autoptr(GBytes) value = told_value(told);
        QRStoreRecord r = {told->key, value, told->offset};

        if (!value)
            continue;
        heard_earlier(o, told, value, now_ms);
        news += qr_operator_take(o, &r, told->age_ms, now_ms);
    }
    return news;
}
