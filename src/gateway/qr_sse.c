/*
 * A stream of events cut at whole events, with their ids.
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
        s->numbered = g_ascii_isdigit(*last_id);
        s->last = g_ascii_strtoull(last_id, NULL, 10);
    }
}

void qr_sse_clear(QRSse *s)
{
    if (s->partial)
        g_string_free(s->partial, TRUE);
    s->partial = NULL;
    g_clear_pointer(&s->last_id, g_free);
}

void qr_sse_break(QRSse *s)
{
    g_string_truncate(s->partial, 0);
}

GString *qr_sse_put_aside(QRSse *s)
{
    GString *partial = s->partial;

    s->partial = g_string_new(NULL);
    return partial;
}

void qr_sse_take_up(QRSse *s, GString *partial)
{
    g_string_free(s->partial, TRUE);
    s->partial = partial;
}

static void take_id(QRSse *s, const char *id, size_t len)
{
    g_autofree char *text = g_strstrip(g_strndup(id, len));
    bool number = g_ascii_isdigit(*text);
    uint64_t n = number ? g_ascii_strtoull(text, NULL, 10) : 0;

    if (number && s->numbered && n != s->last + 1) {
        s->in_order = false; /* what comes next is still the one after 'last' */
        return;
    }
    s->numbered = number;
    s->last = n;
    g_free(s->last_id);
    s->last_id = g_steal_pointer(&text);
}

/* Looks for an id among the lines of one whole event. */
static void take_event(QRSse *s, const char *event, size_t len)
{
    const char *p = event, *end = event + len;

    s->count++;
    while (p < end) {
        const char *eol = memchr(p, '\n', (size_t)(end - p));

        if (!eol)
            eol = end;
        if (eol - p > 3 && memcmp(p, "id:", 3) == 0)
            take_id(s, p + 3, (size_t)(eol - p - 3));
        p = eol + 1;
    }
}

/* Length of the first whole event in 'text', its blank line included. */
static size_t event_length(const char *text, size_t len)
{
    for (size_t i = 0; i + 1 < len; i++) {
        if (text[i] != '\n')
            continue;
        if (text[i + 1] == '\n')
            return i + 2;
        if (text[i + 1] == '\r' && i + 2 < len && text[i + 2] == '\n')
            return i + 3;
    }
    return 0;
}

void qr_sse_take(QRSse *s, const char *data, size_t len, GString *out)
{
    size_t at = 0, n;

    g_string_append_len(s->partial, data, (gssize)len);
    while (s->in_order &&
           (n = event_length(s->partial->str + at, s->partial->len - at)) > 0) {
        take_event(s, s->partial->str + at, n);
        if (s->in_order)
            g_string_append_len(out, s->partial->str + at, (gssize)n);
        at += n;
    }
    g_string_erase(s->partial, 0, (gssize)at);
}
