/*
 * Stores pieces at the engine. A cancelled request may still be executed: what
 * the engine has received stays readable after a reset. So a request is never
 * cancelled when its version is dropped, and no other version uses its place
 * until it has ended.
 */
#include "qr_sidecar.h"

static void put_free(void *p)
{
    QRStagePut *put = p;

    qr_buffered_cancel(put->call);
    g_free(put);
}

GPtrArray *qr_stage_puts_new(void)
{
    return g_ptr_array_new_with_free_func(put_free);
}

static void log_unanswered(const QRStagePut *put, const QRBufferedAnswer *a)
{
    qr_logf(QR_LEVEL_WARN, "stage",
            "put not answered index=%u version=%" G_GUINT64_FORMAT
            " why=%s maybe_stored=%d",
            put->index, put->version, a->error, a->maybe_executed);
}

/* 'status' is that of the put; 0: no answer, so the piece is put again. */
static void note_stored(QRTarget *t, unsigned index, unsigned status)
{
    QRPiece *p = qr_piece(t, index);

    p->staged = status / 100 == 2;
    p->verified = false;
    if (status && !p->staged)
        qr_logf(QR_LEVEL_WARN, "stage",
                "engine refused to stage piece index=%u status=%u", index,
                status);
}

static void handle_put_answer(void *owner, unsigned index,
                              const QRBufferedAnswer *a)
{
    QRStagePut *put = owner;
    QRSidecar *s = put->sidecar;
    QRTarget *t = qr_target_find(s, s->model, put->version);

    put->call = NULL;
    if (a->status == 0)
        log_unanswered(put, a);
    if (t && qr_target_has_index(t, index))
        note_stored(t, index, a->status);
    else
        qr_logf(QR_LEVEL_INFO, "stage",
                "put of a dropped version ended index=%u "
                "version=%" G_GUINT64_FORMAT " status=%u",
                index, put->version, a->status);
    if (a->status || !a->maybe_executed)
        g_ptr_array_remove_fast(s->stage_puts, put);
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

void qr_stage_put_send(QRTarget *t, unsigned index)
{
    QRSidecar *s = t->sidecar;
    g_autofree char *path = s->platform->stage_path(s->model, index, true);
    QRStagePut *put = g_new0(QRStagePut, 1);
    QRBufferedRequest r = {0};
    gsize len;

    r.address = s->set->engine;
    r.method = "PUT";
    r.path = path;
    r.body = g_bytes_get_data(qr_piece(t, index)->data, &len);
    r.body_len = len;
    r.connect_ms = QR_STAGE_CONNECT_MS;
    r.timeout_ms = QR_STAGE_TIMEOUT_MS;
    put->sidecar = s;
    put->version = t->version;
    put->index = index;
    put->settled_ms = qr_sidecar_now(s) + QR_ENGINE_SETTLE_MS;
    put->call =
        qr_buffered_send(s->engine_client, &r, handle_put_answer, put, index);
    g_ptr_array_add(s->stage_puts, put);
    s->staged_version = t->version;
    note_replaced(s, t->version, index);
}

unsigned qr_stage_puts_open(const QRSidecar *s)
{
    unsigned open = 0;

    for (unsigned i = 0; i < s->stage_puts->len; i++)
        open += ((const QRStagePut *)s->stage_puts->pdata[i])->call != NULL;
    return open;
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

void qr_stage_puts_tick(QRSidecar *s, uint64_t now_ms)
{
    for (unsigned i = s->stage_puts->len; i > 0; i--) {
        const QRStagePut *put = s->stage_puts->pdata[i - 1];

        if (!put->call && now_ms >= put->settled_ms)
            g_ptr_array_remove_index_fast(s->stage_puts, i - 1);
    }
}
