/*
 * The configuration: a fold over the platform's log.
 */
#include "qr_config.h"

#include <string.h>

typedef struct MemberFields {
    QRMember m; /* first: the allocation is freed as a QRMember */
    json_object *kind;
    int64_t registered, retired;
} MemberFields;

#define SLOTS_MAX 4096

static const QRField member_fields[] = {
    {"kind", QR_FIELD_VALUE, offsetof(MemberFields, kind), false, 0, 0, 0},
    {"host", QR_FIELD_NAME, offsetof(MemberFields, m.host), true, 0, 0, 0},
    {"incarnation", QR_FIELD_NAME, offsetof(MemberFields, m.incarnation), true,
     0, 0, 0},
    {"service", QR_FIELD_NAME, offsetof(MemberFields, m.service), true, 0, 0,
     0},
    {"availability_zone", QR_FIELD_NAME,
     offsetof(MemberFields, m.availability_zone), true, 0, 0, 0},
    {"address", QR_FIELD_ADDRESS, offsetof(MemberFields, m.address), true, 0, 0,
     0},
    {"slots", QR_FIELD_INT, offsetof(MemberFields, m.slots), true, 1, SLOTS_MAX,
     0},
    {"registered", QR_FIELD_INT, offsetof(MemberFields, registered), false, 0,
     G_MAXINT64, 0},
    {"retired", QR_FIELD_INT, offsetof(MemberFields, retired), false, 0,
     G_MAXINT64, 0},
    {0},
};

static void member_free(void *p)
{
    qr_json_release(member_fields, p);
    g_free(p);
}

static void applied_free(void *p)
{
    QRApplied *a = p;

    g_free(a->id);
    g_free(a->reason);
    g_free(a);
}

static void tombstone_free(void *p)
{
    QRTombstone *t = p;

    g_free(t->name);
    g_free(t);
}

QRConfig *qr_config_new(void)
{
    QRConfig *c = g_new0(QRConfig, 1);

    c->intents = g_ptr_array_new_with_free_func((GDestroyNotify)qr_intent_free);
    c->members = g_ptr_array_new_with_free_func(member_free);
    c->current = g_hash_table_new(g_str_hash, g_str_equal);
    c->applied = g_ptr_array_new_with_free_func(applied_free);
    c->removed = g_ptr_array_new_with_free_func(tombstone_free);
    return c;
}

void qr_config_free(QRConfig *c)
{
    if (!c)
        return;
    g_ptr_array_unref(c->intents);
    g_hash_table_unref(c->current);
    g_ptr_array_unref(c->members);
    g_ptr_array_unref(c->applied);
    g_ptr_array_unref(c->removed);
    g_free(c);
}

/* Forgets the oldest retired members beyond QR_RETIRED_MAX. */
static void config_forget_members(QRConfig *c)
{
    unsigned retired = 0;

    for (unsigned i = 0; i < c->members->len; i++)
        retired += ((QRMember *)c->members->pdata[i])->retired != 0;
    while (retired > QR_RETIRED_MAX) {
        unsigned oldest = 0;
        uint64_t at = G_MAXUINT64;

        for (unsigned i = 0; i < c->members->len; i++) {
            const QRMember *m = c->members->pdata[i];

            if (m->retired != 0 && m->retired < at) {
                at = m->retired;
                oldest = i;
            }
        }
        c->history_from = MAX(c->history_from, at);
        g_ptr_array_remove_index(c->members, oldest);
        retired--;
    }
}

static void config_retire(QRConfig *c, QRMember *m, uint64_t offset)
{
    if (m && m->retired == 0) {
        m->retired = offset;
        g_hash_table_remove(c->current, m->host);
        config_forget_members(c);
    }
}

/* 'm' is taken over. */
static void config_add_member(QRConfig *c, QRMember *m)
{
    g_ptr_array_add(c->members, m);
    if (m->retired == 0)
        g_hash_table_replace(c->current, m->host, m);
}

static QRMember *member_read(json_object *o, QRFindings *f)
{
    MemberFields *x = g_new0(MemberFields, 1);

    if (qr_json_read(o, "member", member_fields, x, f)) {
        member_free(&x->m);
        return NULL;
    }
    x->m.registered = (uint64_t)x->registered;
    x->m.retired = (uint64_t)x->retired;
    return &x->m; /* first member of its allocation */
}

static int config_apply_register(QRConfig *c, uint64_t offset, json_object *o,
                                 QRFindings *f)
{
    QRMember *m = member_read(o, f);

    if (!m)
        return -1;
    if (qr_config_member(c, m->incarnation)) {
        member_free(m); /* the append was sent again: the first one holds */
        return 0;
    }
    m->registered = offset;
    m->retired = 0;
    config_retire(c, qr_config_member_of_host(c, m->host), offset);
    config_add_member(c, m);
    return 0;
}

/* Offset at which 'name' was last set or removed, 0 if never. */
static uint64_t config_touched_at(const QRConfig *c, const char *name)
{
    const QRIntent *in = qr_config_intent(c, name);
    uint64_t at = in ? in->revision : 0;

    for (unsigned i = 0; i < c->removed->len; i++) {
        const QRTombstone *t = c->removed->pdata[i];

        if (strcmp(t->name, name) == 0)
            at = MAX(at, t->offset);
    }
    return at;
}

typedef struct Change {
    const char *id;
    uint64_t base;
    GPtrArray *set;    /* QRIntent * */
    GPtrArray *remove; /* char *, borrowed */
} Change;

static bool change_removes(const Change *ch, const char *name)
{
    for (unsigned i = 0; i < ch->remove->len; i++) {
        if (strcmp(ch->remove->pdata[i], name) == 0)
            return true;
    }
    return false;
}

static bool change_sets(const Change *ch, const char *name)
{
    for (unsigned i = 0; i < ch->set->len; i++) {
        if (strcmp(((QRIntent *)ch->set->pdata[i])->name, name) == 0)
            return true;
    }
    return false;
}

static void change_lose(QRApplied *a, uint64_t to, const char *fmt,
                        const char *x, const char *y)
{
    a->accepted = false;
    a->lost_to = MAX(a->lost_to, to);
    g_free(a->reason);
    a->reason = g_strdup_printf(fmt, x, y);
}

/* A host is in one intent at most, also after the change. */
static void change_check_hosts(const QRConfig *c, const Change *ch,
                               const QRIntent *in, QRApplied *a)
{
    for (unsigned i = 0; i < in->hosts->len; i++) {
        const char *host = in->hosts->pdata[i];
        const QRIntent *other = qr_config_intent_of_host(c, host);

        if (other && !change_sets(ch, other->name) &&
            !change_removes(ch, other->name))
            change_lose(a, other->revision, "host %s is in intent %s", host,
                        other->name);
        for (unsigned j = 0; j < ch->set->len; j++) {
            const QRIntent *same = ch->set->pdata[j];

            if (same != in && qr_intent_has_host(same, host))
                change_lose(a, 0, "host %s stands also in intent %s", host,
                            same->name);
        }
    }
}

static void change_check(const QRConfig *c, const Change *ch, QRApplied *a)
{
    a->accepted = true;
    for (unsigned i = 0; i < ch->set->len + ch->remove->len; i++) {
        bool sets = i < ch->set->len;
        const QRIntent *in = sets ? ch->set->pdata[i] : NULL;
        const char *name =
            sets ? in->name : ch->remove->pdata[i - ch->set->len];
        uint64_t at = config_touched_at(c, name);

        if (at > ch->base)
            change_lose(a, at, "intent %s was changed%s", name, " meanwhile");
        if (sets)
            change_check_hosts(c, ch, in, a);
    }
}

static void config_drop_intent(QRConfig *c, const char *name)
{
    QRIntent *in = qr_config_intent(c, name);

    if (in)
        g_ptr_array_remove(c->intents, in);
}

static void config_enforce(QRConfig *c, Change *ch, uint64_t offset)
{
    for (unsigned i = 0; i < ch->remove->len; i++) {
        QRTombstone *t = g_new0(QRTombstone, 1);

        config_drop_intent(c, ch->remove->pdata[i]);
        t->name = g_strdup(ch->remove->pdata[i]);
        t->offset = offset;
        g_ptr_array_add(c->removed, t);
        if (c->removed->len > QR_REMOVED_MAX)
            g_ptr_array_remove_index(c->removed, 0);
    }
    while (ch->set->len > 0) {
        QRIntent *in = g_ptr_array_steal_index(ch->set, 0);

        config_drop_intent(c, in->name);
        in->revision = offset;
        g_ptr_array_add(c->intents, in);
    }
}

static int change_read(json_object *o, Change *ch, QRFindings *f)
{
    json_object *set = NULL, *remove = NULL;
    size_t n = 0, m = 0;

    ch->id = qr_json_get_str(o, "id");
    ch->base = (uint64_t)qr_json_get_int(o, "base");
    if (!qr_name_ok(ch->id))
        qr_findings_add(f, "id", "is no name");
    if (json_object_object_get_ex(o, "set", &set) &&
        json_object_is_type(set, json_type_array))
        n = json_object_array_length(set);
    if (json_object_object_get_ex(o, "remove", &remove) &&
        json_object_is_type(remove, json_type_array))
        m = json_object_array_length(remove);
    for (size_t i = 0; i < n; i++) {
        g_autofree char *at = g_strdup_printf("set[%zu]", i);
        QRIntent *in = qr_intent_read(json_object_array_get_idx(set, i), at, f);

        if (in)
            g_ptr_array_add(ch->set, in);
    }
    for (size_t i = 0; i < m; i++) {
        const char *s =
            json_object_get_string(json_object_array_get_idx(remove, i));

        if (!qr_name_ok(s))
            qr_findings_add(f, "remove", "holds what is no name");
        else
            g_ptr_array_add(ch->remove, (char *)s);
    }
    if (n + m == 0)
        qr_findings_add(f, "set", "the change changes nothing");
    return qr_findings_count(f) > 0 ? -1 : 0;
}

static int config_apply_change(QRConfig *c, uint64_t offset, json_object *o,
                               QRFindings *f)
{
    Change ch = {0};
    QRApplied *a;
    int ret = -1;

    ch.set = g_ptr_array_new_with_free_func((GDestroyNotify)qr_intent_free);
    ch.remove = g_ptr_array_new();
    if (change_read(o, &ch, f))
        goto done;
    ret = 0;
    if (qr_config_applied(c, ch.id))
        goto done; /* a retry of confirm: the first one holds */
    a = g_new0(QRApplied, 1);
    a->id = g_strdup(ch.id);
    a->offset = offset;
    a->reason = g_strdup("");
    change_check(c, &ch, a);
    if (a->accepted)
        config_enforce(c, &ch, offset);
    g_ptr_array_add(c->applied, a);
    if (c->applied->len > QR_APPLIED_MAX)
        g_ptr_array_remove_index(c->applied, 0);
done:
    g_ptr_array_unref(ch.set);
    g_ptr_array_unref(ch.remove);
    return ret;
}

static int config_apply_retire(QRConfig *c, uint64_t offset, json_object *o,
                               QRFindings *f)
{
    QRMember *m = qr_config_member(c, qr_json_get_str(o, "incarnation"));

    (void)f;
    config_retire(c, m, offset);
    return 0;
}

static int config_apply_snapshot(QRConfig *c, uint64_t offset, json_object *o,
                                 QRFindings *f)
{
    (void)o;
    (void)f;
    c->snapshot_at = offset; /* the state is already here */
    return 0;
}

/* Kinds of record; DEF(name). */
#define RECORD_KINDS                                                           \
    DEF(change)                                                                \
    DEF(register)                                                              \
    DEF(retire)                                                                \
    DEF(snapshot)

static const struct RecordKind {
    const char *name;
    int (*apply)(QRConfig *c, uint64_t offset, json_object *o, QRFindings *f);
} record_kinds[] = {
#define DEF(name) {#name, config_apply_##name},
    RECORD_KINDS
#undef DEF
};

static int config_apply_object(QRConfig *c, uint64_t offset, json_object *o,
                               QRFindings *f)
{
    const char *kind = qr_json_get_str(o, "kind");

    for (unsigned i = 0; i < G_N_ELEMENTS(record_kinds); i++) {
        if (strcmp(kind, record_kinds[i].name) == 0)
            return record_kinds[i].apply(c, offset, o, f);
    }
    return -1;
}

int qr_config_apply(QRConfig *c, uint64_t offset, const char *data, size_t len)
{
    g_auto(QRFindings) f = {0};
    g_autoptr(json_object) o = NULL;

    if (offset != c->revision + 1)
        return -1;
    qr_findings_init(&f, "log");
    if (len <= QR_RECORD_MAX)
        o = qr_json_parse(data, len, &f);
    if (!o || qr_findings_count(&f) > 0 ||
        !json_object_is_type(o, json_type_object) ||
        config_apply_object(c, offset, o, &f))
        c->bad_records++;
    c->revision = offset;
    return 0;
}

static json_object *member_json(const QRMember *m, bool in_snapshot)
{
    json_object *o = json_object_new_object();

    qr_json_str(o, "host", m->host);
    qr_json_str(o, "incarnation", m->incarnation);
    qr_json_str(o, "service", m->service);
    qr_json_str(o, "availability_zone", m->availability_zone);
    qr_json_str(o, "address", m->address);
    qr_json_int(o, "slots", m->slots);
    if (in_snapshot) {
        qr_json_int(o, "registered", (int64_t)m->registered);
        qr_json_int(o, "retired", (int64_t)m->retired);
    }
    return o;
}

static json_object *applied_json(const QRApplied *a)
{
    json_object *o = json_object_new_object();

    qr_json_str(o, "id", a->id);
    qr_json_int(o, "offset", (int64_t)a->offset);
    qr_json_bool(o, "accepted", a->accepted);
    qr_json_int(o, "lost_to", (int64_t)a->lost_to);
    qr_json_str(o, "reason", a->reason);
    return o;
}

static json_object *config_json(const QRConfig *c)
{
    json_object *o = json_object_new_object();
    json_object *a = json_object_new_array();

    qr_json_int(o, "revision", (int64_t)c->revision);
    qr_json_int(o, "history_from", (int64_t)c->history_from);
    qr_json_int(o, "snapshot_at", (int64_t)c->snapshot_at);
    for (unsigned i = 0; i < c->intents->len; i++)
        json_object_array_add(a, qr_intent_json(c->intents->pdata[i]));
    qr_json_add(o, "intents", a);
    a = json_object_new_array();
    for (unsigned i = 0; i < c->members->len; i++)
        json_object_array_add(a, member_json(c->members->pdata[i], true));
    qr_json_add(o, "members", a);
    a = json_object_new_array();
    for (unsigned i = 0; i < c->applied->len; i++)
        json_object_array_add(a, applied_json(c->applied->pdata[i]));
    qr_json_add(o, "applied", a);
    a = json_object_new_array();
    for (unsigned i = 0; i < c->removed->len; i++) {
        const QRTombstone *t = c->removed->pdata[i];
        json_object *e = json_object_new_object();

        qr_json_str(e, "name", t->name);
        qr_json_int(e, "offset", (int64_t)t->offset);
        json_object_array_add(a, e);
    }
    qr_json_add(o, "removed", a);
    return o;
}

char *qr_config_snapshot(const QRConfig *c)
{
    g_autoptr(json_object) o = config_json(c);

    return qr_json_text(o);
}

typedef struct StateFields {
    int64_t revision, history_from, snapshot_at;
    json_object *intents, *members, *applied, *removed;
} StateFields;

#define F(name, type)                                                          \
    {                                                                          \
#name, type, offsetof(StateFields, name), true, 0, G_MAXINT64, 0       \
    }

static const QRField state_fields[] = {
    F(revision, QR_FIELD_INT),    F(history_from, QR_FIELD_INT),
    F(intents, QR_FIELD_VALUE),   F(members, QR_FIELD_VALUE),
    F(applied, QR_FIELD_VALUE),   F(removed, QR_FIELD_VALUE),
    F(snapshot_at, QR_FIELD_INT), {0},
};
#undef F

static void state_read_intent(QRConfig *c, json_object *o, QRFindings *f)
{
    QRIntent *in = qr_intent_read(o, "intents", f);

    if (in)
        g_ptr_array_add(c->intents, in);
}

static void state_read_member(QRConfig *c, json_object *o, QRFindings *f)
{
    QRMember *m = member_read(o, f);

    if (m)
        config_add_member(c, m);
}

static void state_read_applied(QRConfig *c, json_object *o, QRFindings *f)
{
    QRApplied *a = g_new0(QRApplied, 1);
    json_object *v;

    (void)f;
    a->id = g_strdup(qr_json_get_str(o, "id"));
    a->offset = (uint64_t)qr_json_get_int(o, "offset");
    a->lost_to = (uint64_t)qr_json_get_int(o, "lost_to");
    a->reason = g_strdup(qr_json_get_str(o, "reason"));
    a->accepted = json_object_object_get_ex(o, "accepted", &v) &&
                  json_object_get_boolean(v);
    g_ptr_array_add(c->applied, a);
}

static void state_read_removed(QRConfig *c, json_object *o, QRFindings *f)
{
    QRTombstone *t = g_new0(QRTombstone, 1);

    (void)f;
    t->name = g_strdup(qr_json_get_str(o, "name"));
    t->offset = (uint64_t)qr_json_get_int(o, "offset");
    g_ptr_array_add(c->removed, t);
}

static void state_read_list(QRConfig *c, json_object *a, const char *place,
                            void (*read)(QRConfig *, json_object *,
                                         QRFindings *),
                            QRFindings *f)
{
    size_t n;

    if (!json_object_is_type(a, json_type_array)) {
        qr_findings_add(f, place, "must be a list");
        return;
    }
    n = json_object_array_length(a);
    for (size_t i = 0; i < n; i++)
        read(c, json_object_array_get_idx(a, i), f);
}

static QRConfig *config_from_json(json_object *o, QRFindings *f)
{
    g_autoptr(QRConfig) c = qr_config_new();
    unsigned before = qr_findings_count(f);
    StateFields x;

    if (qr_json_read(o, "state", state_fields, &x, f))
        return NULL;
    c->revision = (uint64_t)x.revision;
    c->history_from = (uint64_t)x.history_from;
    c->snapshot_at = (uint64_t)x.snapshot_at;
    state_read_list(c, x.intents, "intents", state_read_intent, f);
    state_read_list(c, x.members, "members", state_read_member, f);
    state_read_list(c, x.applied, "applied", state_read_applied, f);
    state_read_list(c, x.removed, "removed", state_read_removed, f);
    return qr_findings_count(f) > before ? NULL : g_steal_pointer(&c);
}

QRConfig *qr_config_from_snapshot(const char *text, size_t len, QRFindings *f)
{
    g_autoptr(json_object) o = qr_json_parse(text, len, f);

    return o ? config_from_json(o, f) : NULL;
}

QRConfig *qr_config_from_record(const char *data, size_t len, uint64_t offset,
                                uint64_t first)
{
    g_auto(QRFindings) f = {0};
    g_autoptr(json_object) o = NULL;
    g_autoptr(QRConfig) c = NULL;
    json_object *state;

    qr_findings_init(&f, "log");
    o = qr_json_parse(data, len, &f);
    if (!o || strcmp(qr_json_get_str(o, "kind"), "snapshot") != 0 ||
        !json_object_object_get_ex(o, "state", &state))
        return NULL;
    c = config_from_json(state, &f);
    if (!c || c->revision >= offset)
        return NULL;
    if (c->revision + 1 < first && c->revision + 1 != offset)
        return NULL; /* what lies between is gone from the log */
    if (c->revision + 1 == offset) {
        c->revision = offset;
        c->snapshot_at = offset;
    }
    return g_steal_pointer(&c);
}

char *qr_record_register(const QRMember *m)
{
    g_autoptr(json_object) o = member_json(m, false);

    qr_json_str(o, "kind", "register");
    return qr_json_text(o);
}

char *qr_record_retire(const char *incarnation)
{
    g_autoptr(json_object) o = json_object_new_object();

    qr_json_str(o, "kind", "retire");
    qr_json_str(o, "incarnation", incarnation);
    return qr_json_text(o);
}

char *qr_record_snapshot(const QRConfig *c)
{
    g_autoptr(json_object) o = json_object_new_object();

    qr_json_str(o, "kind", "snapshot");
    qr_json_int(o, "covers", (int64_t)c->revision);
    qr_json_add(o, "state", config_json(c));
    return qr_json_text(o);
}
