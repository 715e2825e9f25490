/*
 * Requests that may crash engines: records in the store.
 *
 * There is one record for each request that is held or has ended two engines in
 * consecutive tries: if all gateways are killed before the third try, the new
 * ones continue the count from the record. The gateway that detected the
 * deciding engine end writes the record; another gateway does if the first does
 * not soon report the write. A gateway reads the records when it starts, and
 * after recent tries of a suspect, since a gateway that is cut off from the
 * others learns their findings from the store.
 */
#include "qr_requests_parts.h"

#include "base/qr_json.h"

#define POLL_INTERVAL_MS 500
#define WRITE_RETRY_MS 1000
#define CONNECT_TIMEOUT_MS 400
/* The store is read for this long after the last report on a suspect. */
#define POLL_AFTER_END_MS 10000
/* Older records are ignored: those of holds, and those of tries only. */
#define HELD_MAX_AGE_S 86400
#define TRIES_MAX_AGE_S 600
#define MIN_STORED_TRIES 2
#define MAX_HOLDS 16
/* Delay before a gateway that did not detect the deciding end writes the
   record, and the range over which these gateways spread their writes. */
#define BACKUP_WRITE_DELAY_MS 2000
#define BACKUP_WRITE_SPREAD_MS 4000

/* Returns a number that identifies the state to be stored for a suspect; 0: no
   state. */
static unsigned record_level(const QRSuspect *s)
{
    if (s->hold_count > 0)
        return MIN_STORED_TRIES + s->hold_count;
    /* the harmless neighbours of a part have several tries at times */
    if (s->fingerprint.kind == QR_FINGERPRINT_PART && !s->is_leading &&
        s->stored_tries == 0)
        return 0;
    return qr_suspect_tries(s) >= MIN_STORED_TRIES ? MIN_STORED_TRIES : 0;
}

static char *record_text(const QRSuspect *s, uint64_t now_ms)
{
    g_autoptr(json_object) o = json_object_new_object();
    uint64_t left_s = (MAX(s->held_until_ms, now_ms) - now_ms) / 1000;

    if (record_level(s) == 0)
        return g_strdup("");
    qr_json_int(o, "held_until_s", (int64_t)(qr_wall_s() + left_s));
    qr_json_int(o, "holds", s->hold_count);
    qr_json_int(o, "tries", qr_suspect_tries(s));
    qr_json_int(o, "engines_ended", s->ends.total);
    qr_json_int(o, "team", (int64_t)s->team);
    return qr_json_text(o);
}

static void note_store_epoch(QRGateway *g, const QRBufferedAnswer *a)
{
    g_auto(QRFindings) f = {0};

    qr_findings_init(&f, g->set->store);
    qr_gateway_note_epoch(g, g->platform->parse_epoch(a->headers, &f));
    if (qr_findings_count(&f) > 0)
        qr_logf(QR_LEVEL_WARN, "store",
                "unreadable answer to a write finding=%s",
                (const char *)f.lines->pdata[0]);
}

static void handle_written(void *owner, unsigned ref, const QRBufferedAnswer *a)
{
    QRGateway *g = owner;
    QRRequests *q = &g->requests;
    QRSuspect *s = qr_suspects_get(&q->suspects, &q->writing_request);
    g_auto(QRRequestMessages) messages = {0};
    uint64_t now = qr_gateway_now(g);
    char text[QR_FINGERPRINT_TEXT];
    bool stored = a->status == 200;
    uint64_t rest =
        qr_platform_retry_delay_ms(g->platform, a->status, a->headers);

    (void)ref;
    q->write = NULL;
    note_store_epoch(g, a);
    q->next_write_ms = stored ? 0 : now + MAX(WRITE_RETRY_MS, rest);
    qr_fingerprint_text(&q->writing_request, text);
    qr_logf(stored ? QR_LEVEL_INFO : QR_LEVEL_WARN, "requests",
            "%s request=%s mark=%u status=%u why=%s",
            stored ? "stored" : "not stored", text, q->writing_level, a->status,
            a->status ? "answered" : a->error);
    if (!s || record_level(s) != q->writing_level)
        return; /* the state changed during the write */
    s->write_due_ms = stored ? 0 : q->next_write_ms;
    s->stored = stored && q->writing_level > 0;
    s->stored_epoch = g->store_epoch;
    if (s->stored) {
        qr_request_messages_init(&messages);
        qr_request_messages_add_suspect(&messages, s, now);
        qr_requests_broadcast(g, &messages);
    }
}

static void post_record(QRGateway *g, const char *key, const char *value,
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
                           .connect_ms = CONNECT_TIMEOUT_MS,
                           .timeout_ms = QR_STORE_TIMEOUT_MS};
    gsize len;

    r.body = g_bytes_get_data(body, &len);
    r.body_len = len;
    g->requests.write = qr_buffered_send(g->to_store, &r, done, g, 0);
}

static void write_record(QRGateway *g, const QRSuspect *s)
{
    QRRequests *q = &g->requests;
    char key[QR_FINGERPRINT_TEXT];
    g_autofree char *value = record_text(s, qr_gateway_now(g));

    q->writing_request = s->fingerprint;
    q->writing_level = record_level(s);
    qr_fingerprint_text(&s->fingerprint, key);
    post_record(g, key, value, handle_written);
}

void qr_requests_schedule_clear(QRGateway *g, const QRFingerprint *f)
{
    QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);

    if (s)
        s->write_due_ms = MAX(qr_gateway_now(g), 1);
}

void qr_requests_schedule_write(QRGateway *g, QRSuspect *s)
{
    uint64_t now = qr_gateway_now(g);

    s->write_due_ms = MAX(now, 1);
    if (!qr_suspect_last_end_is_local(s))
        s->write_due_ms +=
            BACKUP_WRITE_DELAY_MS +
            qr_hash_str(g->set->host, now) % BACKUP_WRITE_SPREAD_MS;
}

/* Whether the suspect ended two engines recently and is not held yet. */
static bool awaits_next_try(const QRSuspect *s, uint64_t now_ms)
{
    return s->hold_count == 0 && now_ms < s->updated_ms + POLL_AFTER_END_MS &&
           record_level(s) >= MIN_STORED_TRIES;
}

void qr_requests_store_tick(QRGateway *g, uint64_t now_ms)
{
    QRRequests *q = &g->requests;
    const QRSuspect *due = NULL;
    bool should_poll = false;
    GHashTableIter it;
    void *value;

    qr_follower_tick(q->follower, now_ms);
    if (qr_suspects_is_empty(&q->suspects))
        return;
    g_hash_table_iter_init(&it, q->suspects.rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        should_poll |= awaits_next_try(s, now_ms);
        if (!s->stored && s->write_due_ms == 0 &&
            record_level(s) == MIN_STORED_TRIES)
            qr_requests_schedule_write(g, s);
        if (s->write_due_ms && now_ms >= s->write_due_ms)
            due = s;
    }
    if (due && !q->write && now_ms >= q->next_write_ms)
        write_record(g, due);
    if (should_poll != q->is_polling &&
        qr_follower_next_position(q->follower).offset > 0) {
        q->is_polling = should_poll;
        qr_follower_pause(q->follower, !should_poll);
    }
}

void qr_requests_rewrite_lost(QRGateway *g, uint64_t epoch)
{
    GHashTableIter it;
    void *value;
    unsigned n = 0;

    g_hash_table_iter_init(&it, g->requests.suspects.rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRSuspect *s = value;

        /* the gateway that wrote the record in this epoch may have reported the
           write before this gateway learned of the epoch */
        if (!s->stored || s->stored_epoch >= epoch)
            continue;
        s->stored = false;
        qr_requests_schedule_write(g, s);
        n++;
    }
    if (n > 0)
        qr_logf(QR_LEVEL_INFO, "requests",
                "records to be written to the store again count=%u", n);
}

static void handle_record(void *owner, const QRStoreRecord *r)
{
    QRGateway *g = owner;
    QRSuspects *t = &g->requests.suspects;
    uint64_t now = qr_gateway_now(g);
    g_auto(QRFindings) findings = {0};
    g_autoptr(json_object) o = NULL;
    QRFingerprint f;
    QRHold hold;
    QRSuspect *s;
    int64_t left_s, holds;
    gsize len;
    const char *text = g_bytes_get_data(r->value, &len);

    /* the gateway that clears a record reports that to the others */
    if (len == 0)
        return;
    qr_findings_init(&findings, r->key);
    o = qr_json_parse(text, len, &findings);
    if (!o || !json_object_is_type(o, json_type_object) ||
        !qr_fingerprint_parse(r->key, &f)) {
        qr_logf(QR_LEVEL_WARN, "requests", "unreadable record request=%s",
                r->key);
        return;
    }
    left_s = qr_json_get_int(o, "held_until_s") - (int64_t)qr_wall_s();
    holds = CLAMP(qr_json_get_int(o, "holds"), 0, MAX_HOLDS);
    s = qr_suspects_get(t, &f);
    if (left_s < (holds ? -HELD_MAX_AGE_S : -TRIES_MAX_AGE_S) ||
        (s && s->answered_ms > 0))
        return;
    left_s = CLAMP(left_s, 0, QR_MAX_HOLD_MS / 1000);
    hold = (QRHold){now + (uint64_t)left_s * 1000, (unsigned)holds,
                    (uint64_t)qr_json_get_int(o, "team")};
    if (holds > 0)
        s = qr_suspects_hold(t, &f, &hold, now);
    else
        s = qr_suspects_add_stored_tries(t, &f, MIN_STORED_TRIES, now);
    s->stored = true;
    s->stored_epoch = r->position.epoch;
    s->write_due_ms = 0;
    qr_logf(
        QR_LEVEL_WARN, "requests",
        "read held request=%s for_s=%d times=%u tries=%u " QR_POSITION_FORMAT,
        r->key, (int)left_s, s->hold_count, qr_suspect_tries(s),
        QR_POSITION_ARGS(r->position));
}

/* All records were read. Further changes are reported by other gateways. */
static void handle_listed(void *owner, GHashTable *keys)
{
    QRGateway *g = owner;

    (void)keys;
    if (!g->requests.is_polling)
        qr_follower_pause(g->requests.follower, true);
}

static void handle_reachability(void *owner, bool reached, const char *why)
{
    (void)owner;
    qr_logf(reached ? QR_LEVEL_INFO : QR_LEVEL_WARN, "store",
            "%s topic=held why=%s", reached ? "reached" : "lost", why);
}

static void handle_rollback(void *owner, uint64_t epoch)
{
    qr_gateway_note_epoch(owner, epoch);
}

static const QRFollowerHandlers handlers = {handle_record, handle_rollback,
                                            handle_listed, handle_reachability};

void qr_requests_follow(QRGateway *g)
{
    QRFollowerOptions held = {
        .topic = QR_TOPIC_HELD,
        .address = g->set->store,
        .interval_ms = POLL_INTERVAL_MS,
        .timeout_ms = QR_STORE_TIMEOUT_MS,
    };

    g->requests.follower =
        qr_follower_new(g->to_store, g->platform, &held, &handlers, g);
}

void qr_requests_unfollow(QRGateway *g)
{
    qr_buffered_cancel(g->requests.write);
    qr_follower_free(g->requests.follower);
}
