/*
 * Plans: what a change of intents would do, step by step.
 */
#include "qr_plan.h"
#include "qr_rollout.h"
#include "qr_tree.h"

#include <string.h>

#define PLAN_TREES 16 /* shown in a plan; agents have their own setting */
#define PLAN_FAN_OUT 2

typedef struct PlanSlots {
    int64_t total, most;
} PlanSlots;

static PlanSlots plan_slots(const QRConfig *c, const QRIntent *in,
                            const char *place, QRFindings *f)
{
    PlanSlots s = {0};

    for (unsigned i = 0; i < in->hosts->len; i++) {
        const QRMember *m = qr_config_member_of_host(c, in->hosts->pdata[i]);

        if (!m) {
            qr_findings_add(f, place, "host %s has no registered agent",
                            (char *)in->hosts->pdata[i]);
            continue;
        }
        if (strcmp(m->service, in->service) != 0)
            qr_findings_add(f, place, "host %s serves %s", m->host, m->service);
        s.total += m->slots;
        s.most = MAX(s.most, m->slots);
    }
    return s;
}

/* Hosts in turn from each availability zone, so that waves spread. */
static GPtrArray *plan_order(const QRConfig *c, const QRIntent *in)
{
    GPtrArray *order = g_ptr_array_new();
    g_autoptr(GPtrArray) left = g_ptr_array_new();
    const char *last = "";

    for (unsigned i = 0; i < in->hosts->len; i++)
        g_ptr_array_add(left, in->hosts->pdata[i]);
    while (left->len > 0) {
        unsigned pick = 0;
        const QRMember *m;

        for (unsigned i = 0; i < left->len; i++) {
            m = qr_config_member_of_host(c, left->pdata[i]);
            if (m && strcmp(m->availability_zone, last) != 0) {
                pick = i;
                break;
            }
        }
        m = qr_config_member_of_host(c, left->pdata[pick]);
        last = m ? m->availability_zone : "";
        g_ptr_array_add(order, left->pdata[pick]);
        g_ptr_array_remove_index(left, pick);
    }
    return order;
}

/* The first wave is one host, to try the version; the rest take 'size'. */
static void plan_waves(const QRConfig *c, QRIntent *in, unsigned size,
                       bool first_version)
{
    g_autoptr(GPtrArray) order = plan_order(c, in);
    unsigned done = 0;

    while (done < order->len) {
        GPtrArray *wave = g_ptr_array_new_with_free_func(g_free);
        unsigned n = first_version ? order->len : done == 0 ? 1 : size;

        for (; n > 0 && done < order->len; n--, done++)
            g_ptr_array_add(wave, g_strdup(order->pdata[done]));
        g_ptr_array_add(in->waves, wave);
    }
}

/* Capacity left per team while one wave is away: shares are cut alike. */
static json_object *plan_step(const QRConfig *c, const QRIntent *in, unsigned n,
                              int64_t total)
{
    json_object *o = json_object_new_object();
    json_object *teams = json_object_new_object();
    const GPtrArray *wave = in->waves->pdata[n];
    int64_t declared = qr_intent_declared(in);
    int64_t left = total;

    for (unsigned i = 0; i < wave->len; i++) {
        const QRMember *m = qr_config_member_of_host(c, wave->pdata[i]);

        left -= m ? m->slots : 0;
    }
    for (unsigned i = 0; i < in->teams->len; i++) {
        const QRTeam *t = in->teams->pdata[i];
        int64_t share = t->capacity;

        if (left < declared && declared > 0)
            share = t->capacity * left / declared;
        qr_json_int(teams, t->name, share);
    }
    qr_json_int(o, "wave", n);
    qr_json_add(o, "hosts", qr_json_names(wave));
    qr_json_int(o, "slots_left", left);
    qr_json_add(o, "teams", teams);
    return o;
}

static bool plan_all_usable(void *arg, unsigned place)
{
    (void)arg;
    (void)place;
    return true;
}

/* Each host's sources in the first tree, and who draws from the origin. */
static json_object *plan_sources(const QRIntent *in)
{
    json_object *o = json_object_new_object();
    unsigned roots = qr_tree_roots(in->objective, in->hosts->len);

    for (unsigned i = 0; i < in->hosts->len; i++) {
        const char *host = in->hosts->pdata[i];
        json_object *a = json_object_new_array();
        g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
        QRTree t;

        qr_tree_init(&t, in->hosts, in->manifest, host, PLAN_TREES,
                     PLAN_FAN_OUT, roots);
        for (unsigned k = 0; k < t.trees; k++) {
            int at = qr_tree_source(&t, k, plan_all_usable, NULL);
            const char *from =
                at == QR_TREE_ORIGIN ? "origin" : t.ring->pdata[at];

            if (g_hash_table_add(seen, (char *)from))
                json_object_array_add(a, json_object_new_string(from));
        }
        qr_json_add(o, host, a);
        qr_tree_clear(&t);
    }
    return o;
}

static json_object *plan_intent(const QRConfig *c, QRIntent *in,
                                const char *place, QRFindings *f)
{
    const QRIntent *old = qr_config_intent(c, in->name);
    bool weights = qr_intent_is_engine(in);
    bool first_version = !weights || !old || !*old->manifest;
    PlanSlots s = plan_slots(c, in, place, f);
    unsigned spare = qr_rollout_spare(in, s.total, s.most);
    json_object *o, *steps;

    if (s.total < qr_intent_declared(in) && !in->allow_short)
        qr_findings_add(f, place,
                        "teams are declared %" G_GINT64_FORMAT
                        " calls at once, the hosts have %" G_GINT64_FORMAT,
                        qr_intent_declared(in), s.total);
    if (spare == 0 && !first_version && !in->allow_short &&
        strcmp(old->manifest, in->manifest) != 0)
        qr_findings_add(f, place,
                        "no host can be spared for a switch; lower the "
                        "teams' capacity, add hosts, or set allow_short");
    g_ptr_array_set_size(in->waves, 0);
    if (weights)
        plan_waves(c, in, MAX(spare, 1), first_version);
    o = json_object_new_object();
    qr_json_str(o, "intent", in->name);
    qr_json_str(o, "service", in->service);
    qr_json_str(o, "from_version", old ? old->version : "");
    qr_json_str(o, "to_version", in->version);
    qr_json_int(o, "slots", s.total);
    qr_json_int(o, "declared", qr_intent_declared(in));
    if (weights)
        qr_json_add(o, "sources", plan_sources(in));
    steps = json_object_new_array();
    for (unsigned i = 0; i < in->waves->len; i++)
        json_object_array_add(steps, plan_step(c, in, i, s.total));
    qr_json_add(o, "steps", steps);
    return o;
}

static const QRField declaration_fields[] = {
    {"intents", QR_FIELD_VALUE, 0, false, 0, 0, 0},
    {"remove", QR_FIELD_NAMES, sizeof(void *), false, 0, 0, 0},
    {0},
};

typedef struct Declaration {
    json_object *intents;
    GPtrArray *remove;
} Declaration;
G_STATIC_ASSERT(offsetof(Declaration, remove) == sizeof(void *));

static void plan_add_intents(const QRConfig *c, json_object *list,
                             json_object *set, json_object *intents,
                             QRFindings *f)
{
    size_t n = list && json_object_is_type(list, json_type_array)
                   ? json_object_array_length(list)
                   : 0;

    if (list && !json_object_is_type(list, json_type_array))
        qr_findings_add(f, "intents", "must be a list");
    for (size_t i = 0; i < n; i++) {
        g_autofree char *at = g_strdup_printf("intents[%zu]", i);
        QRIntent *in =
            qr_intent_read(json_object_array_get_idx(list, i), at, f);

        if (!in)
            continue;
        json_object_array_add(intents, plan_intent(c, in, at, f));
        json_object_array_add(set, qr_intent_json(in));
        qr_intent_free(in);
    }
}

json_object *qr_plan_make(const QRConfig *c, json_object *declaration,
                          const char *id, QRFindings *f)
{
    g_autoptr(json_object) plan = json_object_new_object();
    json_object *change = json_object_new_object();
    json_object *set = json_object_new_array();
    json_object *intents = json_object_new_array();
    Declaration d;

    qr_json_str(change, "kind", "change");
    qr_json_str(change, "id", id);
    qr_json_int(change, "base", (int64_t)c->revision);
    qr_json_add(change, "set", set);
    qr_json_add(plan, "change", change);
    qr_json_add(plan, "intents", intents);
    qr_json_read(declaration, "", declaration_fields, &d, f);
    if (d.remove) {
        for (unsigned i = 0; i < d.remove->len; i++) {
            if (!qr_config_intent(c, d.remove->pdata[i]))
                qr_findings_add(f, "remove", "there is no intent %s",
                                (char *)d.remove->pdata[i]);
        }
        qr_json_add(change, "remove", qr_json_names(d.remove));
        plan_add_intents(c, d.intents, set, intents, f);
        if (json_object_array_length(set) + d.remove->len == 0)
            qr_findings_add(f, "intents", "the declaration is empty");
    }
    qr_json_release(declaration_fields, &d);
    return qr_findings_count(f) > 0 ? NULL : g_steal_pointer(&plan);
}

char *qr_plan_record(json_object *plan, char **id, GError **err)
{
    json_object *change = NULL;
    char *text;

    if (!json_object_is_type(plan, json_type_object) ||
        !json_object_object_get_ex(plan, "change", &change) ||
        !qr_name_ok(qr_json_get_str(change, "id")) ||
        strcmp(qr_json_get_str(change, "kind"), "change") != 0) {
        g_set_error(err, QR_ERROR, QR_ERROR_BAD_INPUT,
                    "a plan as it was answered is needed");
        return NULL;
    }
    text = qr_json_text(change);
    if (strlen(text) > QR_RECORD_MAX) {
        g_free(text);
        g_set_error(err, QR_ERROR, QR_ERROR_TOO_LARGE,
                    "the change is over %d bytes", QR_RECORD_MAX);
        return NULL;
    }
    *id = g_strdup(qr_json_get_str(change, "id"));
    return text;
}
