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

/* One record that names what another one does as well. */
typedef struct Writing {
    QRPosition position;
    uint64_t since_ms;
} Writing;

/*
 * Of two records that name the same version, the first one put it into force.
 * Of one record that several know, each knows only that it is no older than
 * some age: the least is the nearest to the truth.
 */
static bool writing_counts(QRPosition known, uint64_t known_since_ms,
                           const Writing *other)
{
    int cmp = qr_position_is_none(other->position)
                  ? 0 /* told by a build that names no positions */
                  : qr_position_cmp(other->position, known);

    return cmp < 0 || (cmp == 0 && other->since_ms > known_since_ms);
}

static bool take_policy(QROperator *o, const QRStoreRecord *r,
                        const Writing *writing, uint64_t now_ms)
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
            QR_POSITION_ARGS(r->position), age_of(writing->since_ms, now_ms));
    qr_policy_free(o->policy);
    o->policy = p;
    o->policy_since_ms = writing->since_ms;
    o->policy_position = writing->position;
    return true;
}

/* Notes a version in its place. */
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
            Writing other = {named->position, named->since_ms};

            if (writing_counts(v->position, v->since_ms, &other))
                *v = *named;
            return;
        }
    }
    g_array_insert_val(list, at, *named);
    if (list->len > VERSIONS_KEPT)
        g_array_remove_index(list, 0);
}

static bool take_version(QROperator *o, const QRStoreRecord *r,
                         const Writing *writing, uint64_t now_ms)
{
    g_autofree char *model = NULL;
    const QRNamedVersion *known;
    QRNamedVersion named = {0, writing->position, writing->since_ms};
    gsize len;
    const char *data = g_bytes_get_data(r->value, &len);

    if (o->platform->parse_weights(data, len, &model, &named.version) != 0) {
        qr_logf(QR_LEVEL_WARN, "weights", "unreadable record key=%s", r->key);
        return false;
    }
    known = qr_operator_version(o, model);
    if (known && named.version <= known->version)
        return false;
    qr_logf(QR_LEVEL_INFO, "weights",
            "named model=%s version=%" G_GUINT64_FORMAT
            " age_ms=%" G_GUINT64_FORMAT " " QR_POSITION_FORMAT,
            model, named.version, age_of(named.since_ms, now_ms),
            QR_POSITION_ARGS(named.position));
    versions_add(o, model, &named);
    return true;
}

/* The version that a record names was put into force by another writing. */
static void version_is_of(QROperator *o, const QRStoreRecord *r,
                          const Writing *writing)
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

        if (v->version != version)
            continue;
        v->position = writing->position;
        v->since_ms = writing->since_ms;
    }
}

/* What is held was written or heard of once more. */
static void held_again(QROperator *o, QRHeldRecord *held,
                       const Writing *writing, uint64_t now_ms)
{
    bool later = writing->since_ms > held->since_ms;

    if (!writing_counts(held->record->position, held->since_ms, writing))
        return;
    held->record->position = writing->position;
    held->since_ms = writing->since_ms;
    if (o->platform->operator_kind(held->record->key) != QR_OPERATOR_WEIGHTS)
        return;
    version_is_of(o, held->record, writing);
    qr_logf(QR_LEVEL_INFO, "weights",
            "named %s than assumed key=%s age_ms=%" G_GUINT64_FORMAT
            " " QR_POSITION_FORMAT,
            later ? "later" : "earlier", held->record->key,
            age_of(writing->since_ms, now_ms),
            QR_POSITION_ARGS(writing->position));
}

/*
 * Configurations and versions rise in themselves. That order holds where that
 * of positions does not: the store may have come back from a copy that lacks
 * what is in force.
 */
static bool record_counts(QROperator *o, const QRHeldRecord *held,
                          const QRStoreRecord *r, const Writing *writing,
                          uint64_t now_ms)
{
    switch (o->platform->operator_kind(r->key)) {
    case QR_OPERATOR_POLICY:
        return take_policy(o, r, writing, now_ms);
    case QR_OPERATOR_WEIGHTS:
        return take_version(o, r, writing, now_ms);
    case QR_OPERATOR_OTHER:
        break;
    }
    return !held || qr_position_cmp(held->record->position, r->position) < 0;
}

bool qr_operator_take(QROperator *o, const QRStoreRecord *r, uint64_t age_ms,
                      uint64_t now_ms)
{
    QRHeldRecord *held = g_hash_table_lookup(o->records, r->key);
    Writing writing = {r->position, since(now_ms, age_ms)};

    if (g_bytes_get_size(r->value) == 0)
        return false; /* a dropped key takes nothing back */
    o->end = qr_position_max(o->end, qr_position_after(r->position));
    if (held && g_bytes_equal(held->record->value, r->value)) {
        held_again(o, held, &writing, now_ms);
        return false;
    }
    if (!record_counts(o, held, r, &writing, now_ms))
        return false;
    held = g_new0(QRHeldRecord, 1);
    held->record = g_new0(QRStoreRecord, 1);
    held->record->key = g_strdup(r->key);
    held->record->value = g_bytes_ref(r->value);
    held->record->position = r->position;
    held->since_ms = writing.since_ms;
    g_hash_table_replace(o->records, held->record->key, held);
    o->news(o->owner, r);
    return true;
}

bool qr_operator_is_empty(const QROperator *o)
{
    return g_hash_table_size(o->records) == 0;
}

QRKnowledge qr_operator_knowledge(const QROperator *o)
{
    QRKnowledge k = {.policy = o->policy ? o->policy->version : 0,
                     .offset = o->end.offset};
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, o->versions);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const GArray *list = value;

        k.weights += g_array_index(list, QRNamedVersion, list->len - 1).version;
    }
    return k;
}

static bool names_versions(const QRKnowledge *k)
{
    return k->policy > 0 || k->weights > 0;
}

bool qr_knowledge_exceeds(const QRKnowledge *a, const QRKnowledge *b)
{
    if (!names_versions(a) || !names_versions(b))
        return a->offset > b->offset;
    return a->policy > b->policy || a->weights > b->weights;
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
            least = MIN(least, held->record->position.offset);
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
    out->offset = held->record->position.offset;
    out->epoch = held->record->position.epoch;
    out->age_ms = age_of(held->since_ms, now_ms);
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
        rows[i].epoch = v->position.epoch;
        rows[i].offset = v->position.offset;
        rows[i].age_ms = age_of(v->since_ms, now_ms);
        out->earlier[out->n_earlier++] = &rows[i];
    }
}

/* Whether one that knows 'known' lacks what a record says. */
static bool is_lacked(const QROperator *o, const QRHeldRecord *held,
                      const QRKnowledge *own, const QRKnowledge *known)
{
    if (!names_versions(known))
        return held->record->position.offset >= known->offset;
    switch (o->platform->operator_kind(held->record->key)) {
    case QR_OPERATOR_POLICY:
        return own->policy > known->policy;
    case QR_OPERATOR_WEIGHTS:
        return own->weights > known->weights;
    case QR_OPERATOR_OTHER:
        break;
    }
    return false;
}

typedef struct Telling {
    const QROperator *o;
    QRAudience audience;
    uint64_t now_ms;
    GArray *rows;    /* Qr__Fleet__Record */
    GPtrArray *kept; /* what rows point at */
} Telling;

static void telling_init(Telling *t, const QROperator *o, QRAudience audience,
                         uint64_t now_ms)
{
    t->o = o;
    t->audience = audience;
    t->now_ms = now_ms;
    t->rows = g_array_new(FALSE, FALSE, sizeof(Qr__Fleet__Record));
    t->kept = g_ptr_array_new_with_free_func(g_free);
}

static void telling_clear(Telling *t)
{
    g_array_unref(t->rows);
    g_ptr_array_unref(t->kept);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(Telling, telling_clear)

static void telling_add(Telling *t, QRHeldRecord *held)
{
    Qr__Fleet__Record row;

    record_fill(t->o, held, t->audience, t->now_ms, &row);
    earlier_fill(t->o, held, t->now_ms, &row, t->kept);
    g_array_append_val(t->rows, row);
}

static void telling_send(const Telling *t, QROperatorSend send, void *to)
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

void qr_operator_tell(const QROperator *o, const QRKnowledge *known,
                      QRAudience audience, uint64_t now_ms, QROperatorSend send,
                      void *to)
{
    g_auto(Telling) telling = {0};
    QRKnowledge own = qr_operator_knowledge(o);
    GHashTableIter it;
    void *value;

    telling_init(&telling, o, audience, now_ms);
    g_hash_table_iter_init(&it, o->records);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (is_lacked(o, value, &own, known))
            telling_add(&telling, value);
    }
    telling_send(&telling, send, to);
}

void qr_operator_tell_one(const QROperator *o, const char *key,
                          QRAudience audience, uint64_t now_ms,
                          QROperatorSend send, void *to)
{
    g_auto(Telling) telling = {0};
    QRHeldRecord *held = g_hash_table_lookup(o->records, key);

    telling_init(&telling, o, audience, now_ms);
    if (held)
        telling_add(&telling, held);
    telling_send(&telling, send, to);
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
        const Qr__Fleet__EarlierVersion *row = told->earlier[i];
        QRNamedVersion named = {row->version,
                                {row->epoch, row->offset},
                                since(now_ms, row->age_ms)};

        versions_add(o, model, &named);
    }
}

unsigned qr_operator_heard(QROperator *o, const Qr__Fleet__Records *records,
                           uint64_t now_ms)
{
    unsigned news = 0;
    bool whole = true;

    for (size_t i = 0; i < records->n_records; i++) {
        const Qr__Fleet__Record *told = records->records[i];
        g_autoptr(GBytes) value = told_value(told);
        QRStoreRecord r = {
            told->key, value,
            qr_position_told(told->epoch, told->offset, o->end.epoch)};

        whole &= value != NULL;
        if (!value)
            continue;
        heard_earlier(o, told, value, now_ms);
        news += qr_operator_take(o, &r, told->age_ms, now_ms);
    }
    if (whole)
        o->end = qr_position_max(
            o->end,
            qr_position_told(records->epoch, records->end, o->end.epoch));
    return news;
}
