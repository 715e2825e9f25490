/*
 * Header fields of one HTTP message, in the order of arrival.
 */
#include "qr_headers.h"

#include <string.h>

void qr_headers_init(QRHeaders *h)
{
    h->text = g_string_sized_new(512);
    h->fields = g_array_new(FALSE, FALSE, sizeof(QRHeaderField));
}

void qr_headers_clear(QRHeaders *h)
{
    if (h->text)
        g_string_free(h->text, TRUE);
    if (h->fields)
        g_array_unref(h->fields);
    h->text = NULL;
    h->fields = NULL;
}

void qr_headers_reset(QRHeaders *h)
{
    g_string_truncate(h->text, 0);
    g_array_set_size(h->fields, 0);
}

void qr_headers_copy(QRHeaders *h, const QRHeaders *from)
{
    qr_headers_reset(h);
    g_string_append_len(h->text, from->text->str, (gssize)from->text->len);
    g_array_append_vals(h->fields, from->fields->data, from->fields->len);
}

void qr_headers_add(QRHeaders *h, const char *name, const char *value)
{
    QRHeaderField f;

    f.name = (uint32_t)h->text->len;
    g_string_append_len(h->text, name, (gssize)strlen(name) + 1);
    f.value = (uint32_t)h->text->len;
    g_string_append_len(h->text, value, (gssize)strlen(value) + 1);
    g_array_append_val(h->fields, f);
}

unsigned qr_headers_count(const QRHeaders *h)
{
    return h->fields->len;
}

const char *qr_headers_name(const QRHeaders *h, unsigned i)
{
    return h->text->str + g_array_index(h->fields, QRHeaderField, i).name;
}

const char *qr_headers_value(const QRHeaders *h, unsigned i)
{
    return h->text->str + g_array_index(h->fields, QRHeaderField, i).value;
}

const char *qr_headers_get(const QRHeaders *h, const char *name)
{
    for (unsigned i = 0; i < h->fields->len; i++) {
        if (g_ascii_strcasecmp(qr_headers_name(h, i), name) == 0)
            return qr_headers_value(h, i);
    }
    return NULL;
}

unsigned qr_headers_count_of(const QRHeaders *h, const char *name)
{
    unsigned n = 0;

    for (unsigned i = 0; i < h->fields->len; i++)
        n += g_ascii_strcasecmp(qr_headers_name(h, i), name) == 0;
    return n;
}

bool qr_headers_list_has(const char *value, const char *token)
{
    size_t len = strlen(token);

    while (value && *value) {
        const char *end = strchrnul(value, ',');
        const char *last = end;

        while (value < end && g_ascii_isspace(*value))
            value++;
        while (last > value && g_ascii_isspace(last[-1]))
            last--;
        if ((size_t)(last - value) == len &&
            g_ascii_strncasecmp(value, token, len) == 0)
            return true;
        value = *end ? end + 1 : end;
    }
    return false;
}

bool qr_headers_is_hop_by_hop(const QRHeaders *h, const char *name)
{
    static const char *const hop_by_hop[] = {
        "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
        "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",
        "Expect",     "Proxy-Authenticate"};

    for (unsigned i = 0; i < G_N_ELEMENTS(hop_by_hop); i++) {
        if (g_ascii_strcasecmp(hop_by_hop[i], name) == 0)
            return true;
    }
    for (unsigned i = 0; i < h->fields->len; i++) {
        if (g_ascii_strcasecmp(qr_headers_name(h, i), "Connection") == 0 &&
            qr_headers_list_has(qr_headers_value(h, i), name))
            return true;
    }
    return false;
}
