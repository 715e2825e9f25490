/*
 * Engines and plain services over HTTP.
 *
 * Orders carry X-Fence: "registration.revision". An engine answers 409 to an
 * order whose fence is behind one that it has seen.
 */
#include "qr_face.h"
#include "io/qr_http.h"

#define ANSWER_MAX (64u << 20)

static int engine_order(const QRSettings *set, const char *method,
                        const char *path, const char *fence, GBytes *body,
                        GError **err)
{
    g_auto(QRHttpAnswer) a = {0};
    const QRHttpHeader headers[] = {{"X-Fence", fence}, {NULL, NULL}};
    QRHttpRequest r = {
        .address = set->backend,
        .method = method,
        .path = path,
        .headers = headers,
        .timeout_ms = (unsigned)set->face_timeout_ms,
        .answer_max = ANSWER_MAX,
    };
    gsize len = 0;

    r.body = body ? g_bytes_get_data(body, &len) : "";
    r.body_len = len;
    if (qr_http_do(&r, &a, err))
        return -1;
    if (a.status == 200)
        return 0;
    if (a.status == 409)
        g_set_error(err, QR_ERROR, QR_ERROR_CONFLICT, "fenced");
    else
        g_set_error(err, QR_ERROR, QR_ERROR_REFUSED, "the engine says %u %s",
                    a.status, a.body->str);
    return -1;
}

static int engine_load(const QRSettings *set, const char *fence,
                       const char *manifest, uint32_t index, GBytes *data,
                       GError **err)
{
    g_autofree char *path =
        g_strdup_printf("/load?manifest=%s&index=%u", manifest, index);

    return engine_order(set, "PUT", path, fence, data, err);
}

static int engine_verify(const QRSettings *set, const char *fence,
                         const char *manifest, GBytes *text, GError **err)
{
    g_autofree char *path = g_strdup_printf("/verify?manifest=%s", manifest);

    return engine_order(set, "POST", path, fence, text, err);
}

static int engine_activate(const QRSettings *set, const char *fence,
                           const char *manifest, GError **err)
{
    g_autofree char *path = g_strdup_printf("/activate?manifest=%s", manifest);

    return engine_order(set, "POST", path, fence, NULL, err);
}

static char *engine_active(const QRSettings *set, GError **err)
{
    g_autoptr(json_object) o = qr_face_get_json(
        set->backend, "/state", (unsigned)set->face_timeout_ms, err);

    return o ? g_strdup(qr_json_get_str(o, "manifest")) : NULL;
}

static int backend_run(const QRSettings *set, const char *path,
                       const QRRunRequest *run, unsigned *status,
                       char **manifest, GError **err)
{
    g_auto(QRHttpAnswer) a = {0};
    g_autofree char *priority = g_strdup_printf("%u", run->priority);
    const QRHttpHeader headers[] = {
        {"X-Call-Id", run->call_id},
        {"X-Priority", priority},
        {NULL, NULL},
    };
    QRHttpRequest r = {
        .address = set->backend,
        .method = "POST",
        .path = path,
        .headers = headers,
        .timeout_ms = run->deadline_ms,
        .answer_max = ANSWER_MAX,
        .want_header = "X-Manifest",
        .cancelled = run->cancelled,
        .piece = run->piece,
        .arg = run->arg,
    };
    gsize len;

    r.body = g_bytes_get_data(run->body, &len);
    r.body_len = len;
    if (!r.body)
        r.body = "";
    if (qr_http_do(&r, &a, err))
        return -1;
    *status = a.status;
    *manifest = g_steal_pointer(&a.header);
    return 0;
}

static int engine_run(const QRSettings *set, const QRRunRequest *run,
                      unsigned *status, char **manifest, GError **err)
{
    return backend_run(set, "/generate", run, status, manifest, err);
}

static int plain_run(const QRSettings *set, const QRRunRequest *run,
                     unsigned *status, char **manifest, GError **err)
{
    return backend_run(set, "/call", run, status, manifest, err);
}

const QREngineFace qr_engine_http = {engine_load, engine_verify,
                                     engine_activate, engine_active};
const QRBackendFace qr_engine_run_http = {engine_run};
const QRBackendFace qr_plain_run_http = {plain_run};
