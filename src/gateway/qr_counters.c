/*
 * A gateway's counters and latency histograms, in the text exposition format.
 */
#include "qr_counters.h"

#define FIRST_BOUND_MS 2

void qr_latency_add(QRLatency *l, uint64_t ms)
{
    unsigned i = 0;

    while (i + 1 < QR_LATENCY_BUCKETS && ms > (uint64_t)FIRST_BOUND_MS << i)
        i++;
    l->buckets[i]++;
    l->count++;
    l->sum_ms += ms;
}

static void latency_text(const QRLatency *l, const char *name, GString *out)
{
    uint64_t below = 0;

    g_string_append_printf(out, "# TYPE quayring_%s_ms histogram\n", name);
    for (unsigned i = 0; i + 1 < QR_LATENCY_BUCKETS; i++) {
        below += l->buckets[i];
        g_string_append_printf(
            out, "quayring_%s_ms_bucket{le=\"%u\"} %" G_GUINT64_FORMAT "\n",
            name, FIRST_BOUND_MS << i, below);
    }
    g_string_append_printf(
        out,
        "quayring_%s_ms_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
        "quayring_%s_ms_sum %" G_GUINT64_FORMAT "\n"
        "quayring_%s_ms_count %" G_GUINT64_FORMAT "\n",
        name, l->count, name, l->sum_ms, name, l->count);
}

void qr_counters_text(const QRCounters *c, GString *out)
{
    static const struct {
        const char *name, *help;
    } names[] = {
#define DEF(name, help) {#name, help},
        QR_COUNTER_LIST
#undef DEF
    };

    for (unsigned i = 0; i < QR_COUNTER_COUNT; i++)
        g_string_append_printf(out,
                               "# HELP quayring_%s_total %s\n"
                               "# TYPE quayring_%s_total counter\n"
                               "quayring_%s_total %" G_GUINT64_FORMAT "\n",
                               names[i].name, names[i].help, names[i].name,
                               names[i].name, c->counts[i]);
    latency_text(&c->first_byte, "first_byte", out);
    latency_text(&c->whole, "whole", out);
}
