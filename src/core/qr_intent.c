/*
 * Intents: reading, writing, and what is asked of one.
 */
#include "qr_config.h"

#include <string.h>

#define CAPACITY_MAX 1000000

typedef struct IntentFields {
    QRIntent in;
    json_object *teams, *waves;
    int64_t revision;
} IntentFields;

#define F(name, type, member, required)                                        \
    {                                                                          \
        name, type, offsetof(IntentFields, member), required, 0, 0, 0          \
    }

static const QRField intent_fields[] = {
    F("name", QR_FIELD_NAME, in.name, true),
    F("service", QR_FIELD_NAME, in.service, true),
    F("kind", QR_FIELD_NAME, in.kind, true),
    F("model", QR_FIELD_NAME, in.model, false),
    F("adapter", QR_FIELD_NAME, in.adapter, false),
    F("version", QR_FIELD_NAME, in.version, false),
    F("manifest", QR_FIELD_NAME, in.manifest, false),
    F("role", QR_FIELD_NAME, in.role, false),
    F("objective", QR_FIELD_NAME, in.objective, false),
    F("allow_short", QR_FIELD_BOOL, in.allow_short, false),
    F("hosts", QR_FIELD_NAMES, in.hosts, true),
    F("teams", QR_FIELD_VALUE, teams, true),
    F("waves", QR_FIELD_VALUE, waves, false),
    {"revision", QR_FIELD_INT, offsetof(IntentFields, revision), false, 0,
     G_MAXINT64, 0},
    {0},
};
#undef F

static const QRField team_fields[] = {
    {"team", QR_FIELD_NAME, offsetof(QRTeam, name), true, 0, 0, 0},
    {"capacity", QR_FIELD_INT, offsetof(QRTeam, capacity), true, 0,
     CAPACITY_MAX, 0},
    {0},
};

static void team_free(void *p)
{
    qr_json_release(team_fields, p);
    g_free(p);
}

static void wave_free(void *p)
{
    g_ptr_array_unref(p);
}

void qr_intent_free(QRIntent *in)
{
    if (!in)
        return;
    qr_json_release(intent_fields, in);
    g_ptr_array_unref(in->teams);
    g_ptr_array_unref(in->waves);
    g_free(in);
}

static void intent_read_teams(QRIntent *in, json_object *a, const char *place,
                              QRFindings *f)
{
    size_t n = json_object_is_type(a, json_type_array)
                   ? json_object_array_length(a)
                   : 0;

    if (!json_object_is_type(a, json_type_array))
        qr_findings_add(f, place, "must be a list of teams");
    for (size_t i = 0; i < n; i++) {
        g_autofree char *at = g_strdup_printf("%s[%zu]", place, i);
        QRTeam *t = g_new0(QRTeam, 1);

        qr_json_read(json_object_array_get_idx(a, i), at, team_fields, t, f);
        if (t->name && qr_intent_capacity(in, t->name) > 0)
            qr_findings_add(f, at, "team '%s' stands twice", t->name);
        g_ptr_array_add(in->teams, t);
    }
}

static void intent_read_waves(QRIntent *in, json_object *a, const char *place,
                              QRFindings *f)
{
    const QRField fields[] = {
        {"hosts", QR_FIELD_NAMES, 0, true, 0, 0, 0},
        {0},
    };
    size_t n = a && json_object_is_type(a, json_type_array)
                   ? json_object_array_length(a)
                   : 0;

    if (a && !json_object_is_type(a, json_type_array))
        qr_findings_add(f, place, "must be a list of waves");
    for (size_t i = 0; i < n; i++) {
        g_autofree char *at = g_strdup_printf("%s[%zu]", place, i);
        GPtrArray *hosts = NULL;

        qr_json_read(json_object_array_get_idx(a, i), at, fields, &hosts, f);
        if (hosts)
            g_ptr_array_add(in->waves, hosts);
    }
}

static void intent_check(const QRIntent *in, const char *place, QRFindings *f)
{
    g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

    if (in->kind && !g_str_equal(in->kind, "engine") &&
        !g_str_equal(in->kind, "plain"))
        qr_findings_add(f, place, "kind must be engine or plain");
    if (qr_intent_is_engine(in) && (!in->manifest || !in->version))
        qr_findings_add(f, place, "an engine needs version and manifest");
    if (in->objective && !g_str_equal(in->objective, "time") &&
        !g_str_equal(in->objective, "origin_bytes"))
        qr_findings_add(f, place, "objective must be time or origin_bytes");
    if (in->manifest && *in->manifest &&
        strspn(in->manifest, "0123456789abcdef") != QR_SHA_HEX - 1)
        qr_findings_add(f, place, "manifest must be 64 hex digits");
    if (in->hosts->len == 0)
        qr_findings_add(f, place, "hosts is empty");
    for (unsigned i = 0; i < in->hosts->len; i++) {
        if (!g_hash_table_add(seen, in->hosts->pdata[i]))
            qr_findings_add(f, place, "host '%s' stands twice",
                            (char *)in->hosts->pdata[i]);
    }
}

/* Every text is present afterwards, empty where it was left out. */
static void intent_fill(QRIntent *in)
{
    char **texts[] = {&in->model, &in->adapter, &in->version, &in->manifest};

    for (unsigned i = 0; i < G_N_ELEMENTS(texts); i++) {
        if (!*texts[i])
            *texts[i] = g_strdup("");
    }
    if (!in->role)
        in->role = g_strdup("serve");
    if (!in->objective)
        in->objective = g_strdup("time");
}

QRIntent *qr_intent_read(json_object *o, const char *place, QRFindings *f)
{
    g_autofree char *teams_at = g_strdup_printf("%s.teams", place);
    g_autofree char *waves_at = g_strdup_printf("%s.waves", place);
    unsigned before = qr_findings_count(f);
    IntentFields *x = g_new0(IntentFields, 1);
    QRIntent *in = &x->in; /* first member: freed as an intent */

    qr_json_read(o, place, intent_fields, x, f);
    in->teams = g_ptr_array_new_with_free_func(team_free);
    in->waves = g_ptr_array_new_with_free_func(wave_free);
    in->revision = (uint64_t)x->revision;
    if (x->teams)
        intent_read_teams(in, x->teams, teams_at, f);
    intent_read_waves(in, x->waves, waves_at, f);
    intent_check(in, place, f);
    if (qr_findings_count(f) > before) {
        qr_intent_free(in);
        return NULL;
    }
    intent_fill(in);
    return in;
}

static json_object *intent_waves_json(const QRIntent *in)
{
    json_object *a = json_object_new_array();

    for (unsigned i = 0; i < in->waves->len; i++) {
        json_object *w = json_object_new_object();

        qr_json_add(w, "hosts", qr_json_names(in->waves->pdata[i]));
        json_object_array_add(a, w);
    }
    return a;
}

json_object *qr_intent_json(const QRIntent *in)
{
    json_object *o = json_object_new_object();
    json_object *teams = json_object_new_array();

    qr_json_str(o, "name", in->name);
    qr_json_str(o, "service", in->service);
    qr_json_str(o, "kind", in->kind);
    /* an empty text is no name: left out, and filled in again on reading */
    if (*in->model)
        qr_json_str(o, "model", in->model);
    if (*in->adapter)
        qr_json_str(o, "adapter", in->adapter);
    if (*in->version)
        qr_json_str(o, "version", in->version);
    if (*in->manifest)
        qr_json_str(o, "manifest", in->manifest);
    qr_json_str(o, "role", in->role);
    qr_json_str(o, "objective", in->objective);
    if (in->allow_short)
        qr_json_bool(o, "allow_short", true);
    qr_json_add(o, "hosts", qr_json_names(in->hosts));
    for (unsigned i = 0; i < in->teams->len; i++) {
        const QRTeam *t = in->teams->pdata[i];
        json_object *e = json_object_new_object();

        qr_json_str(e, "team", t->name);
        qr_json_int(e, "capacity", t->capacity);
        json_object_array_add(teams, e);
    }
    qr_json_add(o, "teams", teams);
    qr_json_add(o, "waves", intent_waves_json(in));
    qr_json_int(o, "revision", (int64_t)in->revision);
    return o;
}

int qr_intent_wave_of(const QRIntent *in, const char *host)
{
    for (unsigned i = 0; i < in->waves->len; i++) {
        const GPtrArray *hosts = in->waves->pdata[i];

        for (unsigned j = 0; j < hosts->len; j++) {
            if (strcmp(hosts->pdata[j], host) == 0)
                return (int)i;
        }
    }
    return -1;
}

bool qr_intent_has_host(const QRIntent *in, const char *host)
{
    for (unsigned i = 0; i < in->hosts->len; i++) {
        if (strcmp(in->hosts->pdata[i], host) == 0)
            return true;
    }
    return false;
}

bool qr_intent_is_engine(const QRIntent *in)
{
    return in->kind && strcmp(in->kind, "engine") == 0;
}

int64_t qr_intent_declared(const QRIntent *in)
{
    int64_t sum = 0;

    for (unsigned i = 0; i < in->teams->len; i++)
        sum += ((QRTeam *)in->teams->pdata[i])->capacity;
    return sum;
}

int64_t qr_intent_capacity(const QRIntent *in, const char *team)
{
    for (unsigned i = 0; i < in->teams->len; i++) {
        const QRTeam *t = in->teams->pdata[i];

        if (t->name && strcmp(t->name, team) == 0)
            return t->capacity;
    }
    return 0;
}
