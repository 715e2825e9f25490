/*
 * Requests that may crash engines: what lasts, in the store.
 *
 * One record for each request that is held back, or has ended two engines in a
 * row: if all gateways are killed before the third, those that start go on from
 * there. Written by the gateway that saw the deciding end; by another one if
 * that does not say soon that it has. Read at the start; and while there is a
 * suspect, so that one that is cut off from the others learns what they know.
 */
#include "qr_requests_parts.h"

#include "base/qr_json.h"

#define READ_MS 500
#define WRITE_AGAIN_MS 1000
#define CONNECT_MS 400
/* Ends of so long ago are no reason to read the store any more. */
#define HOT_MS 10000
/* Records of longer ago are passed over: of what is held, and of tries. */
#define FORGET_S 86400
#define FORGET_TRIES_S 600
#define TRIES_STORED 2
#define HOLDS_MOST 16
/* Before one that did not see the deciding end itself writes in place of one
   that did; then by turns. */
#define OTHERS_MS 2000
#define OTHERS_SPREAD_MS 4000

/* What the store is to know of a request, as a number that differs with it; 0:
   nothing. */
static unsigned mark_of(const QRSuspect *s)
{
    if (s->holds > 0)
        return TRIES_STORED + s->holds;
    return qr_suspect_tries(s) >= TRIES_STORED ? TRIES_STORED : 0;
}

static char *row_text(const QRSuspect *s, uint64_t now_ms)
{
    g_autoptr(json_object) o = json_object_new_object();
    uint64_t left_s = (MAX(s->held_until_ms, now_ms) - now_ms) / 1000;

    if (mark_of(s) == 0)
        return g_strdup("");
    qr_json_int(o, "held_until_s", (int64_t)(qr_wall_s() + left_s));
    qr_json_int(o, "holds", s->holds);
    qr_json_int(o, "tries", qr_suspect_tries(s));
    qr_json_int(o, "engines_ended", s->ends.total);
    return qr_json_text(o);
}

static void note_answer_epoch(QRGateway *g, const QRBufferedAnswer *a)
{
    g_auto(QRFindings) f = {0};

    qr_findings_init(&f, g->set->store);
    qr_gateway_note_epoch(g, g->platform->parse_epoch(a->headers, &f));
    if (qr_findings_count(&f) > 0)
        qr_logf(QR_LEVEL_WARN, "store", "answer to a record finding=%s",
                (const char *)f.lines->pdata[0]);
}

static void write_done(void *owner, unsigned ref, const QRBufferedAnswer *a)
{
    QRGateway *g = owner;
    QRRequests *q = &g->requests;
    QRSuspect *s = qr_suspects_get(&q->suspects, &q->writing);
    g_autoptr(GPtrArray) words = qr_request_words_new();
    uint64_t now = qr_gateway_now(g);
    char text[QR_FINGERPRINT_HEX];
    bool done = a->status == 200;
    uint64_t rest = qr_platform_rest(g->platform, a->status, a->headers);

    (void)ref;
    q->write = NULL;
    note_answer_epoch(g, a);
    q->write_ms = done ? 0 : now + MAX(WRITE_AGAIN_MS, rest);
    qr_fingerprint_text(&q->writing, text);
    qr_logf(done ? QR_LEVEL_INFO : QR_LEVEL_WARN, "requests",
            "%s request=%s mark=%u status=%u why=%s",
            done ? "stored" : "not stored", text, q->writing_mark, a->status,
            a->status ? "answered" : a->error);
    if (!s || mark_of(s) != q->writing_mark)
        return; /* what is to be stored has changed meanwhile */
    s->store_due_ms = done ? 0 : q->write_ms;
    s->stored = done && q->writing_mark > 0;
    s->stored_epoch = g->store_epoch;
    if (s->stored) {
        qr_request_word_all(words, s, now);
        qr_requests_tell(g, words);
    }
}

static void put(QRGateway *g, const char *key, const char *value,
                QRBufferedDone done)
{
    g_autoptr(GBytes) bytes = g_bytes_new(value, strlen(value));
    g_autoptr(GBytes) body = NULL;
    g_autofree char *path =
        g->platform->put_path(QR_TOPIC_HELD, key, bytes, &body);
    QRBufferedRequest r = {.address = g->set->store,
                           .method = "POST",
                           .path = path,
                           .content_type = "application/octet-stream",
                           .connect_ms = CONNECT_MS,
                           .timeout_ms = QR_STORE_TIMEOUT_MS};
    gsize len;

    r.body = g_bytes_get_data(body, &len);
    r.body_len = len;
    g->requests.write = qr_buffered_send(g->to_store, &r, done, g, 0);
}

static void write_row(QRGateway *g, const QRSuspect *s)
{
    QRRequests *q = &g->requests;
    char key[QR_FINGERPRINT_HEX];
    g_autofree char *value = row_text(s, qr_gateway_now(g));

    q->writing = s->fingerprint;
    q->writing_mark = mark_of(s);
    qr_fingerprint_text(&s->fingerprint, key);
    put(g, key, value, write_done);
}

void qr_requests_store_cleared(QRGateway *g, const QRFingerprint *f)
{
    QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);

    if (s)
        s->store_due_ms = MAX(qr_gateway_now(g), 1);
}

void qr_requests_store_due(QRGateway *g, QRSuspect *s)
{
    uint64_t now = qr_gateway_now(g);

    s->store_due_ms = MAX(now, 1);
    if (!qr_suspect_is_own(s))
        s->store_due_ms +=
            OTHERS_MS + qr_hash_str(g->set->host, now) % OTHERS_SPREAD_MS;
}

/* Some request ended two engines lately, and is not held back yet. */
static bool is_hot(const QRSuspect *s, uint64_t now_ms)
{
    return s->holds == 0 && now_ms < s->news_ms + HOT_MS &&
           qr_suspect_tries(s) >= TRIES_STORED;
}

void qr_requests_store_tick(QRGateway *g, uint64_t now_ms)
{
    QRRequests *q = &g->requests;
    const QRSuspect *due = NULL;
    bool hot = false;
    GHashTableIter it;
    void *value;

    qr_follower_tick(q->follow, now_ms);
    if (qr_suspects_is_empty(&q->suspects))
        return;
    g_hash_table_iter_init(&it, q->suspects.rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        hot |= is_hot(s, now_ms);
        if (!s->stored && s->store_due_ms == 0 && mark_of(s) == TRIES_STORED)
            qr_requests_store_due(g, s);
        if (s->store_due_ms && now_ms >= s->store_due_ms)
            due = s;
    }
    if (due && !q->write && now_ms >= q->write_ms)
        write_row(g, due);
    if (hot != q->reads && qr_follower_next(q->follow).offset > 0) {
        q->reads = hot;
        qr_follower_pause(q->follow, !hot);
    }
}

void qr_requests_store_again(QRGateway *g, uint64_t epoch)
{
    GHashTableIter it;
    void *value;
    unsigned n = 0;

    g_hash_table_iter_init(&it, g->requests.suspects.rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        /* who wrote it in this epoch may have told us before we heard of it */
        if (!s->stored || s->stored_epoch >= epoch)
            continue;
        s->stored = false;
        qr_requests_store_due(g, s);
        n++;
    }
    if (n > 0)
        qr_logf(QR_LEVEL_INFO, "requests", "to be stored again count=%u", n);
}

static void held_record(void *owner, const QRStoreRecord *r)
{
    QRGateway *g = owner;
    QRSuspects *t = &g->requests.suspects;
    uint64_t now = qr_gateway_now(g);
    g_auto(QRFindings) findings = {0};
    g_autoptr(json_object) o = NULL;
    QRFingerprint f;
    QRSuspect *s;
    int64_t left_s, holds;
    gsize len;
    const char *text = g_bytes_get_data(r->value, &len);

    if (len == 0)
        return; /* whoever clears one tells the others */
    qr_findings_init(&findings, r->key);
    o = qr_json_parse(text, len, &findings);
    if (!o || !json_object_is_type(o, json_type_object) ||
        !qr_fingerprint_parse(r->key, &f)) {
        qr_logf(QR_LEVEL_WARN, "requests", "unreadable record request=%s",
                r->key);
        return;
    }
    left_s = qr_json_get_int(o, "held_until_s") - (int64_t)qr_wall_s();
    holds = CLAMP(qr_json_get_int(o, "holds"), 0, HOLDS_MOST);
    s = qr_suspects_get(t, &f);
    if (left_s < (holds ? -FORGET_S : -FORGET_TRIES_S) ||
        (s && s->answered_ms > 0))
        return;
    left_s = CLAMP(left_s, 0, QR_HOLD_MOST_MS / 1000);
    if (holds > 0)
        s = qr_suspects_hold(t, &f, now + (uint64_t)left_s * 1000,
                             (unsigned)holds, now);
    else
        s = qr_suspects_tried(t, &f, TRIES_STORED, now);
    s->stored = true;
    s->stored_epoch = r->position.epoch;
    s->store_due_ms = 0;
    qr_logf(
        QR_LEVEL_WARN, "requests",
        "read held request=%s for_s=%d times=%u tries=%u " QR_POSITION_FORMAT,
        r->key, (int)left_s, s->holds, qr_suspect_tries(s),
        QR_POSITION_ARGS(r->position));
}

/* All is known; the rest is told by others. */
static void held_listed(void *owner, GHashTable *keys)
{
    QRGateway *g = owner;

    (void)keys;
    if (!g->requests.reads)
        qr_follower_pause(g->requests.follow, true);
}

static void held_reached(void *owner, bool reached, const char *why)
{
    (void)owner;
    qr_logf(reached ? QR_LEVEL_INFO : QR_LEVEL_WARN, "store",
            "%s topic=held why=%s", reached ? "reached" : "lost", why);
}

static void held_went_back(void *owner, uint64_t epoch)
{
    qr_gateway_note_epoch(owner, epoch);
}

static const QRFollowerHandlers handlers = {held_record, held_went_back,
                                            held_listed, held_reached};

void qr_requests_follow(QRGateway *g)
{
    QRFollowerOptions held = {
        .topic = QR_TOPIC_HELD,
        .address = g->set->store,
        .interval_ms = READ_MS,
        .timeout_ms = QR_STORE_TIMEOUT_MS,
    };

    g->requests.follow =
        qr_follower_new(g->to_store, g->platform, &held, &handlers, g);
}

void qr_requests_unfollow(QRGateway *g)
{
    qr_buffered_cancel(g->requests.write);
    qr_follower_free(g->requests.follow);
}
