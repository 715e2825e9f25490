/*
 * The weight store and the origin of weights over HTTP.
 *
 * GET /manifests/ID answers a manifest, GET /chunks/HASH a chunk.
 */
#include "qr_face.h"
#include "core/qr_fetch.h"
#include "io/qr_http.h"

#define MANIFEST_MAX (16u << 20)

typedef struct PacedBody {
    GString *body;
    QRBucket *link;
} PacedBody;

static void weights_piece(void *arg, const char *p, size_t len)
{
    PacedBody *b = arg;

    if (b->link)
        qr_bucket_wait(b->link, len);
    g_string_append_len(b->body, p, (gssize)len);
}

static GBytes *weights_get(const char *address, const char *path, size_t most,
                           unsigned timeout_ms, QRBucket *link, GError **err)
{
    g_auto(QRHttpAnswer) a = {0};
    PacedBody body = {g_string_new(NULL), link};
    QRHttpRequest r = {
        .address = address,
        .method = "GET",
        .path = path,
        .timeout_ms = timeout_ms,
        .answer_max = most,
        .piece = weights_piece,
        .arg = &body,
    };

    if (qr_http_do(&r, &a, err) == 0 && a.status == 200)
        return g_string_free_to_bytes(body.body);
    if (err && !*err)
        g_set_error(err, QR_ERROR, QR_ERROR_REFUSED, "%s answered %u", path,
                    a.status);
    g_string_free(body.body, TRUE);
    return NULL;
}

static GBytes *store_manifest(const QRSettings *set, const char *id,
                              GError **err)
{
    g_autofree char *path = g_strdup_printf("/manifests/%s", id);

    return weights_get(set->weight_store, path, MANIFEST_MAX,
                       (unsigned)set->face_timeout_ms, NULL, err);
}

static GBytes *origin_chunk(const QRSettings *set, const char *hash,
                            QRBucket *link, GError **err)
{
    g_autofree char *path = g_strdup_printf("/chunks/%s", hash);

    /* a stall ends the read */
    return weights_get(set->origin, path, QR_CHUNK_BYTES_MAX,
                       (unsigned)set->origin_timeout_ms, link, err);
}

const QRStoreFace qr_store_http = {store_manifest};
const QROriginFace qr_origin_http = {origin_chunk};
