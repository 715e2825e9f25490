/*
 * Which faces are in use.
 */
#include "qr_face.h"
#include "io/qr_http.h"

#include <string.h>

#define JSON_ANSWER_MAX (64u << 20)

void qr_face_all(const QRSettings *set, QRFaces *out)
{
    bool engine = set->kind && strcmp(set->kind, "engine") == 0;

    out->log = &qr_log_http;
    out->hosts = &qr_hosts_http;
    out->store = &qr_store_http;
    out->origin = &qr_origin_http;
    out->engine = &qr_engine_http;
    out->front = &qr_front_http;
    out->backend = engine ? &qr_engine_run_http : &qr_plain_run_http;
}

json_object *qr_face_get_json(const char *address, const char *path,
                              unsigned timeout_ms, GError **err)
{
    g_auto(QRHttpAnswer) a = {0};
    g_auto(QRFindings) f = {0};
    QRHttpRequest r = {
        .address = address,
        .method = "GET",
        .path = path,
        .timeout_ms = timeout_ms,
        .answer_max = JSON_ANSWER_MAX,
    };
    json_object *o;

    if (qr_http_do(&r, &a, err))
        return NULL;
    if (a.status != 200) {
        g_set_error(err, QR_ERROR, QR_ERROR_REFUSED, "%s%s answered %u",
                    address, path, a.status);
        return NULL;
    }
    qr_findings_init(&f, path);
    o = qr_json_parse(a.body->str, a.body->len, &f);
    if (!o || !json_object_is_type(o, json_type_object) ||
        qr_findings_count(&f) > 0) {
        g_set_error(err, QR_ERROR, QR_ERROR_BAD_INPUT,
                    "%s%s answered what is no object", address, path);
        json_object_put(o);
        return NULL;
    }
    return o;
}
