/*
 * What an entry answers operators: plans, status, intents, burn, metrics.
 */
#include "qr_entry.h"
#include "qr_plan.h"
#include "qr_rollout.h"

#include <string.h>

void qr_entry_answer_json(QREffects *out, QRHandle request, unsigned status,
                          json_object *o, uint32_t retry_after_ms)
{
    g_autofree char *text = qr_json_text(o);
    QREffect *e = qr_effect(out, QR_EFFECT_ANSWER, request);
    size_t len = strlen(text);

    json_object_put(o);
    e->status = status;
    e->retry_after_ms = retry_after_ms;
    e->data = g_bytes_new_take(g_steal_pointer(&text), len);
}

static void ops_answer_findings(QREffects *out, QRHandle request,
                                const QRFindings *f)
{
    json_object *o = json_object_new_object();

    qr_json_str(o, "outcome", "refused");
    qr_json_add(o, "findings", qr_json_names(f->lines));
    qr_entry_answer_json(out, request, 422, o, 0);
}

void qr_entry_plan(QREntry *s, const QREvent *ev, QREffects *out)
{
    g_auto(QRFindings) f = {0};
    g_autoptr(json_object) declaration = NULL;
    g_autofree char *id = NULL;
    json_object *plan = NULL;

    qr_findings_init(&f, "declaration");
    /* unlike any other: the host, its start, the count of its plans */
    id = g_strdup_printf(
        "%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT, s->set->host,
        (s->wall_s << 20) ^ (s->started_ms & 0xfffff), ++s->plans);
    declaration = qr_json_parse(ev->text, strlen(ev->text), &f);
    if (declaration && qr_findings_count(&f) == 0)
        plan = qr_plan_make(s->config, declaration, id, &f);
    if (plan)
        qr_entry_answer_json(out, ev->ref, 200, plan, 0);
    else
        ops_answer_findings(out, ev->ref, &f);
}

static json_object *ops_host_json(const QREntry *s, const QRIntent *in,
                                  const char *host)
{
    const QRBackend *b = qr_entry_backend(s, host);
    json_object *o = json_object_new_object();
    bool alive = b && qr_backend_alive(s, b);

    qr_json_str(o, "host", host);
    qr_json_str(o, "availability_zone", b ? b->availability_zone : "");
    qr_json_bool(o, "away", !alive);
    qr_json_bool(o, "leaving", b && (b->leaving || b->listed_leaving));
    qr_json_str(o, "stage", alive ? qr_stage_text(b->stage) : "away");
    qr_json_str(o, "manifest", b ? b->manifest : "");
    qr_json_bool(o, "current", alive && !strcmp(b->manifest, in->manifest));
    qr_json_int(o, "chunks_have", b ? b->chunks_have : 0);
    qr_json_int(o, "chunks_total", b ? b->chunks_total : 0);
    qr_json_int(o, "in_flight", b ? b->in_flight : 0);
    qr_json_int(o, "slots", b ? b->slots : 0);
    qr_json_int(o, "origin_bytes", b ? (int64_t)b->origin_bytes : 0);
    qr_json_int(o, "wave", qr_intent_wave_of(in, host));
    qr_json_int(o, "revision", b ? (int64_t)b->revision : 0);
    qr_json_str(o, "why", b ? b->why : "");
    return o;
}

static json_object *ops_intent_status(QREntry *s, const QRIntent *in)
{
    json_object *o = json_object_new_object();
    json_object *hosts = json_object_new_array();
    const QRRollout *r = qr_entry_rollout(s, in);

    qr_json_str(o, "intent", in->name);
    qr_json_str(o, "service", in->service);
    qr_json_str(o, "kind", in->kind);
    qr_json_str(o, "version", in->version);
    qr_json_str(o, "manifest", in->manifest);
    qr_json_int(o, "revision", (int64_t)in->revision);
    qr_json_int(o, "hosts", in->hosts->len);
    qr_json_int(o, "serving", r->done);
    qr_json_int(o, "away", r->away);
    qr_json_bool(o, "complete", r->complete);
    qr_json_int(o, "wave", r->wave);
    qr_json_int(o, "waves", in->waves->len);
    qr_json_str(o, "waits", r->why);
    for (unsigned i = 0; i < in->hosts->len; i++)
        json_object_array_add(hosts, ops_host_json(s, in, in->hosts->pdata[i]));
    qr_json_add(o, "host_list", hosts);
    return o;
}

static json_object *ops_status(QREntry *s)
{
    json_object *o = json_object_new_object();
    json_object *a = json_object_new_array();
    unsigned peers = 0;

    for (unsigned i = 0; i < s->config->intents->len; i++)
        json_object_array_add(
            a, ops_intent_status(s, s->config->intents->pdata[i]));
    for (unsigned i = 0; i < s->peers->len; i++)
        peers += ((QRPeer *)s->peers->pdata[i])->conn != QR_HANDLE_NONE;
    qr_json_str(o, "entry", s->set->host);
    qr_json_int(o, "revision", (int64_t)s->config->revision);
    qr_json_int(o, "log_answered_ms_ago",
                s->log_answered_ms ? (int64_t)(s->now_ms - s->log_answered_ms)
                                   : -1);
    qr_json_int(o, "entries_connected", peers);
    qr_json_int(o, "bad_records", (int64_t)s->config->bad_records);
    qr_json_int(o, "calls_open", s->calls.count);
    qr_json_bool(o, "stopping", s->stop_at_ms != 0);
    qr_json_add(o, "intents", a);
    return o;
}

static json_object *ops_intents(QREntry *s)
{
    json_object *o = json_object_new_object();
    json_object *a = json_object_new_array();

    for (unsigned i = 0; i < s->config->intents->len; i++)
        json_object_array_add(a, qr_intent_json(s->config->intents->pdata[i]));
    qr_json_int(o, "revision", (int64_t)s->config->revision);
    qr_json_add(o, "intents", a);
    return o;
}

static json_object *ops_burn(QREntry *s)
{
    json_object *o = json_object_new_object();
    json_object *a = json_object_new_array();

    for (unsigned i = 0; i < s->shares->len; i++) {
        const QRShare *e = s->shares->pdata[i];
        json_object *row = qr_burn_json(&e->burn, s->now_ms);

        qr_json_str(row, "service", e->service);
        qr_json_str(row, "team", e->team);
        json_object_array_add(a, row);
    }
    qr_json_str(o, "entry", s->set->host);
    qr_json_int(o, "objective_permille", s->set->slo_permille);
    qr_json_int(o, "first_byte_ms", s->set->slo_first_ms);
    qr_json_add(o, "shares", a);
    return o;
}

static void ops_metrics(const QREntry *s, QRHandle request, QREffects *out)
{
    static const struct {
        const char *name, *help;
    } names[] = {
#define DEF(name, help) {#name, help},
        QR_ENTRY_COUNTERS
#undef DEF
    };
    GString *t = g_string_new(NULL);
    QREffect *e;

    for (unsigned i = 0; i < QR_ENTRY_COUNTER_COUNT; i++)
        g_string_append_printf(t,
                               "# HELP quayring_%s_total %s\n"
                               "# TYPE quayring_%s_total counter\n"
                               "quayring_%s_total %" G_GUINT64_FORMAT "\n",
                               names[i].name, names[i].help, names[i].name,
                               names[i].name, s->count[i]);
    g_string_append_printf(t,
                           "# TYPE quayring_revision gauge\n"
                           "quayring_revision %" G_GUINT64_FORMAT "\n"
                           "# TYPE quayring_calls_open gauge\n"
                           "quayring_calls_open %u\n",
                           s->config->revision, s->calls.count);
    g_string_append(t, "# TYPE quayring_outcome_total counter\n");
    for (unsigned i = 0; i < s->shares->len; i++) {
        const QRShare *h = s->shares->pdata[i];

        for (unsigned k = 0; k < QR_OUTCOME_COUNT; k++)
            g_string_append_printf(
                t,
                "quayring_outcome_total{service=\"%s\",team=\"%s\","
                "outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
                h->service, h->team, qr_outcome_text(k), h->burn.total[k]);
    }
    e = qr_effect(out, QR_EFFECT_METRICS, request);
    e->status = 200;
    e->data = g_string_free_to_bytes(t);
}

/* What an operator may ask to see; DEF(name). */
#define OPS_VIEWS                                                              \
    DEF(status)                                                                \
    DEF(intents)                                                               \
    DEF(burn)

void qr_entry_status(QREntry *s, const QREvent *ev, QREffects *out)
{
    static const struct {
        const char *name;
        json_object *(*make)(QREntry *s);
    } views[] = {
#define DEF(name) {#name, ops_##name},
        OPS_VIEWS
#undef DEF
    };

    if (strcmp(ev->text, "metrics") == 0) {
        ops_metrics(s, ev->ref, out);
        return;
    }
    for (unsigned i = 0; i < G_N_ELEMENTS(views); i++) {
        if (strcmp(ev->text, views[i].name) == 0)
            qr_entry_answer_json(out, ev->ref, 200, views[i].make(s), 0);
    }
}
