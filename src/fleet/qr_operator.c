/*
 * What the operator has put into force, as far as this process knows.
 */
#include "qr_operator.h"

#include "io/qr_log.h"

#include <string.h>

#define VERSIONS_KEPT 16 /* of a model; older ones are long in force */

static void held_free(void *p)
{
    QRHeldRecord *h = p;

    qr_store_record_free(h->record);
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

static void take_version(QROperator *o, const QRStoreRecord *r, uint64_t age_ms,
                         uint64_t now_ms)
{
    g_autofree char *model = NULL;
    const QRNamedVersion *known;
    QRNamedVersion new = {0, since(now_ms, age_ms)};
    GArray *list;
    gsize len;
    const char *data = g_bytes_get_data(r->value, &len);

    if (o->platform->parse_weights(data, len, &model, &new.version) != 0) {
        qr_logf(QR_LEVEL_WARN, "weights", "unreadable record key=%s", r->key);
        return;
    }
    known = qr_operator_version(o, model);
    if (known && new.version <= known->version)
        return;
    qr_logf(QR_LEVEL_INFO, "weights",
            "named model=%s version=%" G_GUINT64_FORMAT
            " age_ms=%" G_GUINT64_FORMAT,
            model, new.version, age_ms);
    list = g_hash_table_lookup(o->versions, model);
    if (!list) {
        list = g_array_new(FALSE, FALSE, sizeof(QRNamedVersion));
        g_hash_table_insert(o->versions, g_strdup(model), list);
    }
    if (list->len >= VERSIONS_KEPT)
        g_array_remove_index(list, 0);
    g_array_append_val(list, new);
}

bool qr_operator_take(QROperator *o, const QRStoreRecord *r, uint64_t age_ms,
                      uint64_t now_ms)
{
    QRHeldRecord *held = g_hash_table_lookup(o->records, r->key);

    if (g_bytes_get_size(r->value) == 0)
        return false; /* a dropped key takes nothing back */
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
    o->news(o->owner, r, age_ms);
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

void qr_operator_tell(const QROperator *o, uint64_t offset, uint64_t now_ms,
                      void (*send)(void *to, const Qr__Fleet__Frame *frame),
                      void *to)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, o->records);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRHeldRecord *held = value;
        Qr__Fleet__Frame frame = QR__FLEET__FRAME__INIT;
        Qr__Fleet__Records records = QR__FLEET__RECORDS__INIT;
        Qr__Fleet__Record record = QR__FLEET__RECORD__INIT;
        Qr__Fleet__Record *list[1] = {&record};
        gsize len;

        if (held->record->offset < offset)
            continue;
        record.key = held->record->key;
        record.value.data =
            (uint8_t *)g_bytes_get_data(held->record->value, &len);
        record.value.len = len;
        record.offset = held->record->offset;
        record.age_ms =
            held->since_ms ? now_ms - held->since_ms : QR_AGE_UNKNOWN_MS;
        records.records = list;
        records.n_records = 1;
        records.end = o->end;
        frame.body_case = QR__FLEET__FRAME__BODY_RECORDS;
        frame.records = &records;
        send(to, &frame);
    }
}

unsigned qr_operator_heard(QROperator *o, const Qr__Fleet__Records *records,
                           uint64_t now_ms)
{
    unsigned news = 0;

    for (size_t i = 0; i < records->n_records; i++) {
        const Qr__Fleet__Record *told = records->records[i];
        QRStoreRecord r = {told->key, NULL, told->offset};

        r.value = g_bytes_new(told->value.data, told->value.len);
        news += qr_operator_take(o, &r, told->age_ms, now_ms);
        g_bytes_unref(r.value);
    }
    return news;
}
