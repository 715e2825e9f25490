/*
 * Stores pieces at the engine. The engine reads what it has received, at its
 * own pace, even after the connection has ended: a put has ended only when the
 * engine answers it, when the piece is read at its place, or when the engine
 * has restarted. Until then no other version uses the place.
 */
#include "qr_sidecar.h"

#include <string.h>

/* Open requests that the engine has not answered for QR_STAGE_TIMEOUT_MS. */
#define LATE_PUTS_MAX 16
#define PLACE_READ_INTERVAL_MS 250

static void put_free(void *p)
{
    QRStagePut *put = p;

    qr_buffered_cancel(put->call);
    qr_buffered_cancel(put->place_read);
    g_free(put);
}

void qr_stage_puts_init(QRSidecar *s)
{
    s->stage_puts = g_ptr_array_new_with_free_func(put_free);
    s->stage_content = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void qr_stage_puts_clear(QRSidecar *s)
{
    g_ptr_array_unref(s->stage_puts);
    g_hash_table_unref(s->stage_content);
}

static bool has_put(const QRSidecar *s, unsigned index)
{
    for (unsigned i = 0; i < s->stage_puts->len; i++) {
        const QRStagePut *put = s->stage_puts->pdata[i];

        if (put->index == index)
            return true;
    }
    return false;
}

/* 'digest' NULL: it is not known what is stored there. */
static void set_content(QRSidecar *s, unsigned index, const char *digest)
{
    if (digest)
        g_hash_table_insert(s->stage_content, GUINT_TO_POINTER(index),
                            g_strdup(digest));
    else
        g_hash_table_remove(s->stage_content, GUINT_TO_POINTER(index));
}

void qr_stage_puts_note_content(QRSidecar *s, unsigned index,
                                const char *digest)
{
    if (!has_put(s, index))
        set_content(s, index, digest);
}

/* 'status' is that of the put; 0: no answer, so the piece is read back. */
static void note_stored(QRTarget *t, unsigned index, unsigned status)
{
    QRPiece *p = qr_piece(t, index);

    p->staged = status == 0 || status / 100 == 2;
    p->verified = false;
    if (!p->staged)
        qr_logf(QR_LEVEL_WARN, "stage",
                "engine refused to stage piece index=%u status=%u", index,
                status);
}

/* The engine has executed the put, or never will. Frees it. */
static void put_end(QRStagePut *put, unsigned status, const char *why)
{
    QRSidecar *s = put->sidecar;
    QRTarget *t = qr_target_find(s, s->model, put->version);

    if (t && qr_target_has_index(t, put->index))
        note_stored(t, put->index, status);
    else
        qr_logf(QR_LEVEL_INFO, "stage",
                "put of a dropped version ended index=%u "
                "version=%" G_GUINT64_FORMAT " status=%u why=%s",
                put->index, put->version, status, why);
    set_content(s, put->index, status / 100 == 2 ? put->digest : NULL);
    g_ptr_array_remove_fast(s->stage_puts, put);
}

static void handle_put_answer(void *owner, unsigned index,
                              const QRBufferedAnswer *a)
{
    QRStagePut *put = owner;
    QRSidecar *s = put->sidecar;
    QRTarget *t = qr_target_find(s, s->model, put->version);

    put->call = NULL;
    if (a->status) {
        put_end(put, a->status, "answered");
        return;
    }
    qr_logf(QR_LEVEL_WARN, "stage",
            "put not answered index=%u version=%" G_GUINT64_FORMAT
            " sent_ago_ms=%" G_GUINT64_FORMAT
            " maybe_stored=%d observable=%d why=%s",
            put->index, put->version, qr_sidecar_now(s) - put->sent_ms,
            a->maybe_executed, put->observable, a->error);
    if (!a->maybe_executed) { /* the place holds what it held before */
        if (t && qr_target_has_index(t, index))
            qr_piece(t, index)->staged = false;
        g_ptr_array_remove_fast(s->stage_puts, put);
        return;
    }
    put->settled_ms = qr_sidecar_now(s) + QR_ENGINE_SETTLE_MS;
    if (t && qr_target_has_index(t, index))
        note_stored(t, index, 0);
}

/* The piece replaces that of any other version. A read in progress may still
   return the replaced one. */
static void note_replaced(QRSidecar *s, uint64_t version, unsigned index)
{
    for (unsigned i = 0; i < s->targets->len; i++) {
        QRTarget *t = s->targets->pdata[i];
        QRPiece *p;

        if (t->version == version || !qr_target_has_index(t, index))
            continue;
        p = qr_piece(t, index);
        p->staged = p->verified = false;
        g_clear_pointer(&p->read_back, qr_buffered_cancel);
    }
}

/* Another put of the same piece follows: the piece no longer tells which of the
   two was executed. */
static void set_unobservable(QRSidecar *s, unsigned index)
{
    for (unsigned i = 0; i < s->stage_puts->len; i++) {
        QRStagePut *put = s->stage_puts->pdata[i];

        if (put->index == index)
            put->observable = false;
    }
}

void qr_stage_put_send(QRTarget *t, unsigned index)
{
    QRSidecar *s = t->sidecar;
    g_autofree char *path = s->platform->stage_path(s->model, index, true);
    const char *content =
        g_hash_table_lookup(s->stage_content, GUINT_TO_POINTER(index));
    QRStagePut *put = g_new0(QRStagePut, 1);
    QRBufferedRequest r = {0};
    gsize len;

    put->sidecar = s;
    put->version = t->version;
    put->index = index;
    put->sent_ms = qr_sidecar_now(s);
    g_strlcpy(put->digest, t->manifest->digests->pdata[index],
              sizeof(put->digest));
    put->observable =
        content && strcmp(content, put->digest) != 0 && !has_put(s, index);
    set_unobservable(s, index);
    r.address = s->set->engine;
    r.method = "PUT";
    r.path = path;
    r.body = g_bytes_get_data(qr_piece(t, index)->data, &len);
    r.body_len = len;
    r.connect_ms = QR_STAGE_CONNECT_MS;
    r.probe_peer = true;
    put->call =
        qr_buffered_send(s->engine_client, &r, handle_put_answer, put, index);
    g_ptr_array_add(s->stage_puts, put);
    s->staged_version = t->version;
    note_replaced(s, t->version, index);
}

static bool is_late(const QRStagePut *put)
{
    return qr_sidecar_now(put->sidecar) >= put->sent_ms + QR_STAGE_TIMEOUT_MS;
}

unsigned qr_stage_puts_open(const QRSidecar *s)
{
    unsigned open = 0;

    for (unsigned i = 0; i < s->stage_puts->len; i++) {
        const QRStagePut *put = s->stage_puts->pdata[i];

        open += put->call && !is_late(put);
    }
    return open;
}

bool qr_stage_puts_allow_more(const QRSidecar *s)
{
    unsigned late = 0;

    for (unsigned i = 0; i < s->stage_puts->len; i++) {
        const QRStagePut *put = s->stage_puts->pdata[i];

        late += put->call && is_late(put);
    }
    return late < LATE_PUTS_MAX;
}

bool qr_stage_put_blocks(const QRTarget *t, unsigned index)
{
    const GPtrArray *puts = t->sidecar->stage_puts;

    for (unsigned i = 0; i < puts->len; i++) {
        const QRStagePut *put = puts->pdata[i];

        /* one of the same version that is stored late changes nothing */
        if (put->index == index && (put->call || put->version != t->version))
            return true;
    }
    return false;
}

/* What was read at the place of a put that is not answered. */
static void handle_place_read(void *owner, unsigned index,
                              const QRBufferedAnswer *a)
{
    QRStagePut *put = owner;
    char digest[QR_SHA_HEX];

    put->place_read = NULL;
    if (a->status != 200 || !put->observable)
        return;
    qr_sha256_hex(a->data, a->len, digest);
    if (strcmp(digest, put->digest) != 0)
        return;
    qr_logf(QR_LEVEL_INFO, "stage",
            "put without an answer was executed index=%u "
            "version=%" G_GUINT64_FORMAT " sent_ago_ms=%" G_GUINT64_FORMAT,
            index, put->version, qr_sidecar_now(put->sidecar) - put->sent_ms);
    put_end(put, 200, "seen at the engine");
}

static void read_place(QRStagePut *put, uint64_t now_ms)
{
    QRSidecar *s = put->sidecar;
    g_autofree char *path =
        s->platform->stage_path(s->model, put->index, false);
    QRBufferedRequest r = {0};

    r.address = s->set->engine;
    r.method = "GET";
    r.path = path;
    r.connect_ms = QR_STAGE_CONNECT_MS;
    r.timeout_ms = QR_STAGE_TIMEOUT_MS;
    put->read_next_ms = now_ms + PLACE_READ_INTERVAL_MS;
    put->place_read = qr_buffered_send(s->engine_client, &r, handle_place_read,
                                       put, put->index);
}

void qr_stage_puts_tick(QRSidecar *s, uint64_t now_ms)
{
    for (unsigned i = s->stage_puts->len; i > 0; i--) {
        QRStagePut *put = s->stage_puts->pdata[i - 1];

        if (!put->call && now_ms >= put->settled_ms)
            put_end(put, 0, "taken for lost");
        else if (put->observable && !put->place_read && s->reachable &&
                 now_ms >= put->read_next_ms && (!put->call || is_late(put)))
            read_place(put, now_ms);
    }
}

void qr_stage_puts_note_restart(QRSidecar *s, uint64_t since_ms)
{
    for (unsigned i = s->stage_puts->len; i > 0; i--) {
        QRStagePut *put = s->stage_puts->pdata[i - 1];

        if (put->sent_ms <= since_ms)
            put_end(put, 0, "the engine restarted");
    }
}
