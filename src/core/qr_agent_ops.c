/*
 * What an agent answers over HTTP: its counters, and nothing else.
 */
#include "qr_agent.h"

#include <string.h>

static void metrics_gauge(GString *t, const char *name, uint64_t value)
{
    g_string_append_printf(t,
                           "# TYPE quayring_agent_%s gauge\n"
                           "quayring_agent_%s %" G_GUINT64_FORMAT "\n",
                           name, name, value);
}

void qr_agent_metrics(QRAgent *s, const QREvent *ev, QREffects *out)
{
    static const struct {
        const char *name, *help;
    } names[] = {
#define DEF(name, help) {#name, help},
        QR_AGENT_COUNTERS
#undef DEF
    };
    GString *t;
    QREffect *e;

    if (strcmp(ev->text, "metrics") != 0) {
        qr_agent_not_served(s, ev, out);
        return;
    }
    t = g_string_new(NULL);
    for (unsigned i = 0; i < QR_AGENT_COUNTER_COUNT; i++)
        g_string_append_printf(t,
                               "# HELP quayring_agent_%s_total %s\n"
                               "# TYPE quayring_agent_%s_total counter\n"
                               "quayring_agent_%s_total %" G_GUINT64_FORMAT
                               "\n",
                               names[i].name, names[i].help, names[i].name,
                               names[i].name, s->count[i]);
    metrics_gauge(t, "revision", s->config->revision);
    metrics_gauge(t, "calls_running", s->runs.count);
    metrics_gauge(t, "calls_remembered", g_hash_table_size(s->seen));
    metrics_gauge(t, "stage", s->stage);
    e = qr_effect(out, QR_EFFECT_METRICS, ev->ref);
    e->status = 200;
    e->data = g_string_free_to_bytes(t);
}

void qr_agent_not_served(QRAgent *s, const QREvent *ev, QREffects *out)
{
    static const char text[] = "{\"outcome\":\"bad_request\","
                               "\"reason\":\"an agent serves /metrics\"}";
    QREffect *e = qr_effect(out, QR_EFFECT_ANSWER, ev->ref);

    (void)s;
    e->status = 404;
    e->data = g_bytes_new_static(text, strlen(text));
}
