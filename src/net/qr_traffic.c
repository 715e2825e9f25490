/*
 * Bytes sent between our own processes, by kind of frame.
 */
#include "qr_traffic.h"

#include "io/qr_log.h"

static const char *const kind_names[QR_FRAME_KIND_COUNT] = {
#define X(upper, lower) [QR_FRAME_##upper] = #lower,
    QR_FRAME_KINDS(X)
#undef X
};

/* The cases of the protocol count from 1. */
static QRFrameKind kind_of(const Qr__Fleet__Frame *frame)
{
#define X(upper, lower)                                                        \
    G_STATIC_ASSERT((int)QR__FLEET__FRAME__BODY_##upper ==                     \
                    (int)QR_FRAME_##upper + 1);
    QR_FRAME_KINDS(X)
#undef X
    return (QRFrameKind)(frame->body_case - 1);
}

void qr_traffic_add(QRTraffic *t, const Qr__Fleet__Frame *frame, bool far,
                    size_t bytes)
{
    if (far)
        t->far[kind_of(frame)] += bytes;
    else
        t->near[kind_of(frame)] += bytes;
}

uint64_t qr_traffic_sum(const QRTraffic *t)
{
    uint64_t sum = 0;

    for (unsigned i = 0; i < QR_FRAME_KIND_COUNT; i++)
        sum += t->near[i] + t->far[i];
    return sum;
}

static void text_row(GString *out, unsigned kind, const char *reach,
                     uint64_t bytes)
{
    if (bytes == 0)
        return;
    g_string_append_printf(out,
                           "quayring_peer_sent_bytes_total"
                           "{kind=\"%s\",reach=\"%s\"} %" G_GUINT64_FORMAT "\n",
                           kind_names[kind], reach, bytes);
}

void qr_traffic_text(const QRTraffic *t, GString *out)
{
    for (unsigned i = 0; i < QR_FRAME_KIND_COUNT; i++) {
        text_row(out, i, "region", t->near[i]);
        text_row(out, i, "far", t->far[i]);
    }
}

void qr_traffic_log(const QRTraffic *t, QRTraffic *before)
{
    g_autoptr(GString) line = g_string_new("sent bytes");

    for (unsigned i = 0; i < QR_FRAME_KIND_COUNT; i++) {
        uint64_t near = t->near[i] - before->near[i];
        uint64_t far = t->far[i] - before->far[i];

        if (near > 0)
            g_string_append_printf(line, " %s=%" G_GUINT64_FORMAT,
                                   kind_names[i], near);
        if (far > 0)
            g_string_append_printf(line, " %s_far=%" G_GUINT64_FORMAT,
                                   kind_names[i], far);
    }
    *before = *t;
    qr_logf(QR_LEVEL_INFO, "peers", "%s", line->str);
}
