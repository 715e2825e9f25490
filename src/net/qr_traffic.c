/*
 * Counts bytes sent between quayring processes, by kind of frame.
 */
#include "qr_traffic.h"

#include "io/qr_log.h"

static const char *const kind_names[QR_FRAME_KIND_COUNT] = {
#define X(upper, lower) [QR_FRAME_##upper] = #lower,
    QR_FRAME_KINDS(X)
#undef X
};

/* The values of body_case start at 1, those of QRFrameKind at 0. */
static QRFrameKind kind_of(const Qr__Fleet__Frame *frame)
{
#define X(upper, lower)                                                        \
    G_STATIC_ASSERT((int)QR__FLEET__FRAME__BODY_##upper ==                     \
                    (int)QR_FRAME_##upper + 1);
    QR_FRAME_KINDS(X)
#undef X
    return (QRFrameKind)(frame->body_case - 1);
}

void qr_traffic_add(QRTraffic *t, const Qr__Fleet__Frame *frame,
                    bool cross_region, size_t bytes)
{
    if (cross_region)
        t->cross_region[kind_of(frame)] += bytes;
    else
        t->in_region[kind_of(frame)] += bytes;
}

uint64_t qr_traffic_total(const QRTraffic *t)
{
    uint64_t sum = 0;

    for (unsigned i = 0; i < QR_FRAME_KIND_COUNT; i++)
        sum += t->in_region[i] + t->cross_region[i];
    return sum;
}

static void append_metric(GString *out, unsigned kind, const char *reach,
                          uint64_t bytes)
{
    if (bytes == 0)
        return;
    g_string_append_printf(out,
                           "quayring_peer_sent_bytes_total"
                           "{kind=\"%s\",reach=\"%s\"} %" G_GUINT64_FORMAT "\n",
                           kind_names[kind], reach, bytes);
}

void qr_traffic_append_metrics(const QRTraffic *t, GString *out)
{
    for (unsigned i = 0; i < QR_FRAME_KIND_COUNT; i++) {
        append_metric(out, i, "region", t->in_region[i]);
        append_metric(out, i, "far", t->cross_region[i]);
    }
}

void qr_traffic_log(const QRTraffic *t, QRTraffic *before)
{
    g_autoptr(GString) line = g_string_new("sent bytes");

    for (unsigned i = 0; i < QR_FRAME_KIND_COUNT; i++) {
        uint64_t in_region = t->in_region[i] - before->in_region[i];
        uint64_t cross_region = t->cross_region[i] - before->cross_region[i];

        if (in_region > 0)
            g_string_append_printf(line, " %s=%" G_GUINT64_FORMAT,
                                   kind_names[i], in_region);
        if (cross_region > 0)
            g_string_append_printf(line, " %s_far=%" G_GUINT64_FORMAT,
                                   kind_names[i], cross_region);
    }
    *before = *t;
    qr_logf(QR_LEVEL_INFO, "peers", "%s", line->str);
}
