/*
 * The platform's host list over HTTP.
 *
 * GET /hosts answers {"hosts": [{"host", "role", "availability_zone",
 * "address", "caller_address", "state": "live" | "leaving"}, ...]}.
 */
#include "qr_face.h"

#include <string.h>

static GPtrArray *hosts_read(const QRSettings *set, GError **err)
{
    g_autoptr(json_object) o = qr_face_get_json(
        set->host_list, "/hosts", (unsigned)set->face_timeout_ms, err);
    json_object *a;
    GPtrArray *out;
    size_t n;

    if (!o)
        return NULL;
    if (!json_object_object_get_ex(o, "hosts", &a) ||
        !json_object_is_type(a, json_type_array)) {
        g_set_error(err, QR_ERROR, QR_ERROR_BAD_INPUT, "no list of hosts");
        return NULL;
    }
    out = g_ptr_array_new_with_free_func((GDestroyNotify)qr_host_free);
    n = json_object_array_length(a);
    for (size_t i = 0; i < n; i++) {
        json_object *e = json_object_array_get_idx(a, i);
        QRHost *h;

        if (!json_object_is_type(e, json_type_object) ||
            !qr_name_ok(qr_json_get_str(e, "host")))
            continue;
        h = g_new0(QRHost, 1);
        h->host = g_strdup(qr_json_get_str(e, "host"));
        h->role = g_strdup(qr_json_get_str(e, "role"));
        h->availability_zone =
            g_strdup(qr_json_get_str(e, "availability_zone"));
        h->address = g_strdup(qr_json_get_str(e, "address"));
        h->caller_address = g_strdup(qr_json_get_str(e, "caller_address"));
        h->leaving = strcmp(qr_json_get_str(e, "state"), "leaving") == 0;
        g_ptr_array_add(out, h);
    }
    return out;
}

const QRHostsFace qr_hosts_http = {hosts_read};
