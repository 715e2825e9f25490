/*
 * The platform's log service over HTTP.
 *
 * GET /records?from=N answers {"first", "from", "records": [text, ...]};
 * POST /records appends the body and answers {"offset"}.
 */
#include "qr_face.h"
#include "io/qr_http.h"

#include <string.h>

#define ANSWER_MAX (64u << 20)

static int log_read(const QRSettings *set, uint64_t from, QRLogRecords *out,
                    GError **err)
{
    g_autofree char *path =
        g_strdup_printf("/records?from=%" G_GUINT64_FORMAT, from);
    g_autoptr(json_object) o =
        qr_face_get_json(set->log, path, (unsigned)set->face_timeout_ms, err);
    json_object *a;
    size_t n;

    if (!o)
        return -1;
    if (!json_object_object_get_ex(o, "records", &a) ||
        !json_object_is_type(a, json_type_array)) {
        g_set_error(err, QR_ERROR, QR_ERROR_BAD_INPUT, "no list of records");
        return -1;
    }
    out->first = (uint64_t)qr_json_get_int(o, "first");
    out->from = (uint64_t)qr_json_get_int(o, "from");
    out->records =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    n = json_object_array_length(a);
    for (size_t i = 0; i < n; i++) {
        json_object *e = json_object_array_get_idx(a, i);

        g_ptr_array_add(out->records,
                        g_bytes_new(json_object_get_string(e),
                                    (gsize)json_object_get_string_len(e)));
    }
    return 0;
}

static int log_append(const QRSettings *set, const char *record,
                      uint64_t *offset, GError **err)
{
    g_auto(QRHttpAnswer) a = {0};
    g_auto(QRFindings) f = {0};
    g_autoptr(json_object) o = NULL;
    QRHttpRequest r = {
        .address = set->log,
        .method = "POST",
        .path = "/records",
        .body = record,
        .body_len = strlen(record),
        .timeout_ms = (unsigned)set->face_timeout_ms,
        .answer_max = ANSWER_MAX,
    };

    if (qr_http_do(&r, &a, err))
        return -1;
    if (a.status == 429) {
        g_set_error(err, QR_ERROR, QR_ERROR_REFUSED, "the log is full up");
        return -1;
    }
    qr_findings_init(&f, "log");
    o = qr_json_parse(a.body->str, a.body->len, &f);
    if (a.status != 200 || !o) {
        g_set_error(err, QR_ERROR, QR_ERROR_MAYBE_DONE, "the log answered %u",
                    a.status);
        return -1;
    }
    *offset = (uint64_t)qr_json_get_int(o, "offset");
    return 0;
}

const QRLogFace qr_log_http = {log_read, log_append};
