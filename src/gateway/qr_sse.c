/*
 * Splits a stream of server-sent events into whole events and follows their
 * ids.
 */
#include "qr_sse.h"

#include <string.h>

void qr_sse_init(QRSse *s, const char *last_id)
{
    memset(s, 0, sizeof(*s));
    s->partial = g_string_new(NULL);
    s->in_order = true;
    if (last_id && *last_id) {
        s->last_id = g_strdup(last_id);
        s->is_numbered = g_ascii_isdigit(*last_id);
        s->last_number = g_ascii_strtoull(last_id, NULL, 10);
    }
}

void qr_sse_clear(QRSse *s)
{
    if (s->partial)
        g_string_free(s->partial, TRUE);
    s->partial = NULL;
    g_clear_pointer(&s->last_id, g_free);
}

void qr_sse_discard_partial(QRSse *s)
{
    g_string_truncate(s->partial, 0);
    s->scanned = 0;
}

GString *qr_sse_detach_partial(QRSse *s)
{
    GString *partial = s->partial;

    s->partial = g_string_new(NULL);
    s->scanned = 0;
    return partial;
}

void qr_sse_restore_partial(QRSse *s, GString *partial)
{
    g_string_free(s->partial, TRUE);
    s->partial = partial;
    s->scanned = 0;
}

static void read_id(QRSse *s, const char *id, size_t len)
{
    g_autofree char *text = g_strstrip(g_strndup(id, len));
    bool number = g_ascii_isdigit(*text);
    uint64_t n = number ? g_ascii_strtoull(text, NULL, 10) : 0;

    if (number && s->is_numbered && n != s->last_number + 1) {
        s->in_order = false; /* the event due is still last_number + 1 */
        return;
    }
    s->is_numbered = number;
    s->last_number = n;
    g_free(s->last_id);
    s->last_id = g_steal_pointer(&text);
}

/* Reads the id, if any, from the lines of one whole event. */
static void read_event(QRSse *s, const char *event, size_t len)
{
    const char *p = event, *end = event + len;

    s->count++;
    while (p < end) {
        const char *eol = memchr(p, '\n', (size_t)(end - p));

        if (!eol)
            eol = end;
        if (eol - p > 3 && memcmp(p, "id:", 3) == 0)
            read_id(s, p + 3, (size_t)(eol - p - 3));
        p = eol + 1;
    }
}

/* Returns the length of the first whole event in 'text', its blank line
   included; 0 if none is whole. No blank line begins before 'from'. */
static size_t event_length(const char *text, size_t len, size_t from)
{
    for (size_t i = from; i + 1 < len; i++) {
        if (text[i] != '\n')
            continue;
        if (text[i + 1] == '\n')
            return i + 2;
        if (text[i + 1] == '\r' && i + 2 < len && text[i + 2] == '\n')
            return i + 3;
    }
    return 0;
}

void qr_sse_feed(QRSse *s, const char *data, size_t len, GString *out)
{
    size_t at = 0, n, from = s->scanned;

    g_string_append_len(s->partial, data, (gssize)len);
    while (s->in_order && (n = event_length(s->partial->str + at,
                                            s->partial->len - at, from)) > 0) {
        read_event(s, s->partial->str + at, n);
        if (s->in_order)
            g_string_append_len(out, s->partial->str + at, (gssize)n);
        at += n;
        from = 0;
    }
    g_string_erase(s->partial, 0, (gssize)at);
    /* a blank line may have arrived in part */
    s->scanned = s->in_order ? s->partial->len - MIN(s->partial->len, 2) : 0;
}
