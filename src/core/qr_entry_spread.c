/*
 * The entry hands the configuration on: records to those that are a little
 * behind, the whole state to others.
 */
#include "qr_entry.h"

#include <string.h>

/* A process that still has an old configuration is sent it again by then. */
#define STATE_AGAIN_MS 2000
/* Records kept for those that are a little behind; others get the state. */
#define RECENT_MAX 256

static GBytes *entry_state_frame(const QREntry *s)
{
    g_autofree char *text = qr_config_snapshot(s->config);
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__State m = QR__STATE__INIT;

    m.revision = s->config->revision;
    m.snapshot.data = (uint8_t *)text;
    m.snapshot.len = strlen(text);
    frame.body_case = QR__FRAME__BODY_STATE;
    frame.state = &m;
    return qr_frame_pack(&frame);
}

/* Records from 'from' up to our revision; they are among the recent ones. */
static GBytes *entry_records_frame(const QREntry *s, uint64_t from)
{
    unsigned n = (unsigned)(s->config->revision + 1 - from);
    unsigned skip = s->recent->length - n;
    g_autofree ProtobufCBinaryData *rows = g_new(ProtobufCBinaryData, n);
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__Records m = QR__RECORDS__INIT;

    for (unsigned i = 0; i < n; i++) {
        GBytes *b = g_queue_peek_nth(s->recent, skip + i);
        gsize len;

        rows[i].data = (uint8_t *)g_bytes_get_data(b, &len);
        rows[i].len = len;
    }
    m.from = from;
    m.n_record = n;
    m.record = rows;
    frame.body_case = QR__FRAME__BODY_RECORDS;
    frame.records = &m;
    return qr_frame_pack(&frame);
}

/* What one round of spreading has packed, for receivers that need the same. */
typedef struct Spread {
    GBytes *state, *records;
    uint64_t records_from;
} Spread;

static GBytes *spread_frame(QREntry *s, Spread *p, uint64_t have)
{
    if (s->config->revision - have > s->recent->length) {
        if (!p->state)
            p->state = entry_state_frame(s);
        return p->state;
    }
    if (!p->records || p->records_from != have + 1) {
        g_clear_pointer(&p->records, g_bytes_unref);
        p->records = entry_records_frame(s, have + 1);
        p->records_from = have + 1;
    }
    return p->records;
}

/*
 * One receiver, an agent or an entry: what it has not got and was not sent
 * on this connection; after STATE_AGAIN_MS what was sent counts no more.
 */
static void spread_to(QREntry *s, Spread *p, QRHandle conn, uint64_t have,
                      QRSentState *sent, QREffects *out)
{
    QREffect *e;

    if (s->now_ms - sent->at_ms < STATE_AGAIN_MS)
        have = MAX(have, sent->revision);
    if (conn == QR_HANDLE_NONE || have >= s->config->revision)
        return;
    e = qr_effect(out, QR_EFFECT_SEND, conn);
    e->data = g_bytes_ref(spread_frame(s, p, have));
    sent->revision = s->config->revision;
    sent->at_ms = s->now_ms;
    s->count[QR_ENTRY_COUNT_state_sent]++;
}

void qr_entry_spread(QREntry *s, QREffects *out)
{
    Spread p = {0};

    for (unsigned i = 0; i < s->backends->len; i++) {
        QRBackend *b = s->backends->pdata[i];

        spread_to(s, &p, b->conn, b->revision, &b->sent, out);
    }
    for (unsigned i = 0; i < s->peers->len; i++) {
        QRPeer *e = s->peers->pdata[i];

        spread_to(s, &p, e->conn, e->revision, &e->sent, out);
    }
    g_clear_pointer(&p.state, g_bytes_unref);
    g_clear_pointer(&p.records, g_bytes_unref);
}

bool qr_entry_apply(QREntry *s, uint64_t offset, GBytes *record)
{
    gsize len;
    const char *data = g_bytes_get_data(record, &len);

    if (qr_config_apply(s->config, offset, data, len))
        return false;
    g_queue_push_tail(s->recent, g_bytes_ref(record));
    if (s->recent->length > RECENT_MAX)
        g_bytes_unref(g_queue_pop_head(s->recent));
    return true;
}

void qr_entry_moved(QREntry *s, QREffects *out)
{
    qr_effect_log(out, QR_LEVEL_INFO, "log",
                  "Revision %" G_GUINT64_FORMAT " is in force.",
                  s->config->revision);
    qr_entry_publish(s, out);
    qr_entry_spread(s, out);
}

void qr_entry_take_config(QREntry *s, QRConfig *c, QREffects *out)
{
    if (c->revision <= s->config->revision) {
        qr_config_free(c);
        return;
    }
    qr_config_free(s->config);
    s->config = c;
    while (!g_queue_is_empty(s->recent)) /* they do not lead up to it */
        g_bytes_unref(g_queue_pop_head(s->recent));
    qr_entry_moved(s, out);
}
