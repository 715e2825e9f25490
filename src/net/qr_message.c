/*
 * Incremental reader of HTTP/1.1 messages, based on http-parser.
 */
#include "qr_message.h"

#include <string.h>

#define MESSAGE_HEAD_MAX_DEFAULT 65536 /* bytes */
/* Memory that a reader keeps from one message to the next, in bytes. */
#define KEPT_MAX 4096
#define NO_LENGTH UINT64_MAX /* in http_parser: no Content-Length was read */

static int set_fault(QRMessage *m, QRMessageFault why)
{
    if (m->fault == QR_MESSAGE_OK)
        m->fault = why;
    return -1;
}

static void finish_field(QRMessage *m)
{
    if (!m->in_value)
        return;
    while (m->value->len > 0 &&
           g_ascii_isspace(m->value->str[m->value->len - 1]))
        g_string_truncate(m->value, m->value->len - 1);
    qr_headers_add(&m->headers, m->name->str, m->value->str);
    g_string_truncate(m->name, 0);
    g_string_truncate(m->value, 0);
    m->in_value = false;
}

static int count_head_bytes(QRMessage *m, size_t len)
{
    m->head_bytes += len;
    if (m->head_bytes > m->head_max)
        return set_fault(m, QR_MESSAGE_HEAD_TOO_LARGE);
    return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
    QRMessage *m = p->data;

    g_string_append_len(m->target, at, (gssize)len);
    return count_head_bytes(m, len);
}

static int on_field(http_parser *p, const char *at, size_t len)
{
    QRMessage *m = p->data;

    if (m->head_done) /* trailer fields are ignored */
        return count_head_bytes(m, len);
    finish_field(m);
    g_string_append_len(m->name, at, (gssize)len);
    return count_head_bytes(m, len);
}

static int on_value(http_parser *p, const char *at, size_t len)
{
    QRMessage *m = p->data;

    if (m->head_done)
        return count_head_bytes(m, len);
    m->in_value = true;
    g_string_append_len(m->value, at, (gssize)len);
    return count_head_bytes(m, len);
}

static int on_head(http_parser *p)
{
    QRMessage *m = p->data;
    bool no_body;

    finish_field(m);
    m->head_done = true;
    if (!qr_grammar_framing_ok(&m->headers, p->http_minor) ||
        (p->type == HTTP_RESPONSE &&
         p->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS))
        return set_fault(m, QR_MESSAGE_MALFORMED);
    if (p->type == HTTP_REQUEST && p->method != HTTP_CONNECT)
        p->upgrade = 0; /* protocol upgrades are not supported */
    if (m->body_max && p->content_length != NO_LENGTH &&
        p->content_length > m->body_max)
        return set_fault(m, QR_MESSAGE_BODY_TOO_LARGE);
    no_body = m->handlers->head(m, m->owner);
    if (m->fault != QR_MESSAGE_OK)
        return -1;
    return no_body ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
    QRMessage *m = p->data;

    m->body_bytes += len;
    if (m->body_max && m->body_bytes > m->body_max)
        return set_fault(m, QR_MESSAGE_BODY_TOO_LARGE);
    m->handlers->body(m, m->owner, at, len);
    return m->fault == QR_MESSAGE_OK ? 0 : -1;
}

static int on_complete(http_parser *p)
{
    QRMessage *m = p->data;

    m->done = true;
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void qr_message_init(QRMessage *m, enum http_parser_type type,
                     const QRMessageHandlers *handlers, void *owner)
{
    memset(m, 0, sizeof(*m));
    http_parser_init(&m->parser, type);
    m->parser.data = m;
    qr_grammar_init(&m->grammar, type == HTTP_RESPONSE);
    m->handlers = handlers;
    m->owner = owner;
    qr_headers_init(&m->headers);
    m->target = g_string_new(NULL);
    m->name = g_string_new(NULL);
    m->value = g_string_new(NULL);
    m->head_max = MESSAGE_HEAD_MAX_DEFAULT;
}

void qr_message_clear(QRMessage *m)
{
    qr_headers_clear(&m->headers);
    g_string_free(m->target, TRUE);
    g_string_free(m->name, TRUE);
    g_string_free(m->value, TRUE);
}

void qr_message_fail(QRMessage *m, QRMessageFault why)
{
    (void)set_fault(m, why);
}

static void reset_text(GString **text)
{
    if ((*text)->allocated_len > KEPT_MAX) {
        g_string_free(*text, TRUE);
        *text = g_string_new(NULL);
    }
    g_string_truncate(*text, 0);
}

void qr_message_next(QRMessage *m)
{
    enum http_parser_type type = m->parser.type;

    http_parser_init(&m->parser, type);
    m->parser.data = m;
    qr_grammar_init(&m->grammar, type == HTTP_RESPONSE);
    if (m->headers.text->allocated_len > KEPT_MAX) {
        qr_headers_clear(&m->headers);
        qr_headers_init(&m->headers);
    }
    qr_headers_reset(&m->headers);
    reset_text(&m->target);
    reset_text(&m->name);
    reset_text(&m->value);
    m->in_value = m->head_done = m->done = false;
    m->head_bytes = m->body_bytes = 0;
    m->fault = QR_MESSAGE_OK;
}

/* Parses a part of the message that ends at the latest with its head. */
static size_t read_part(QRMessage *m, const char *data, size_t len)
{
    bool valid;
    size_t n = qr_grammar_check(&m->grammar, data, len, &valid), used = 0;

    if (n > 0) /* no bytes would mean the end of the connection */
        used = http_parser_execute(&m->parser, &parser_settings, data, n);
    if (m->done || HTTP_PARSER_ERRNO(&m->parser) != HPE_OK)
        return used;
    if (m->grammar.state == QR_GRAMMAR_HEAD_END) {
        valid = valid && m->head_done;
        qr_grammar_begin_body(&m->grammar, m->parser.flags & F_CHUNKED);
    }
    if (!valid)
        set_fault(m, QR_MESSAGE_MALFORMED);
    return used;
}

size_t qr_message_read(QRMessage *m, const char *data, size_t len)
{
    enum http_errno err = HPE_OK;
    size_t used = 0;

    while (used < len && !m->done && err == HPE_OK &&
           m->fault == QR_MESSAGE_OK) {
        used += read_part(m, data + used, len - used);
        err = HTTP_PARSER_ERRNO(&m->parser);
    }
    if (m->done && err == HPE_PAUSED)
        http_parser_pause(&m->parser, 0);
    else if (err == HPE_HEADER_OVERFLOW)
        set_fault(m, QR_MESSAGE_HEAD_TOO_LARGE);
    else if (err != HPE_OK || m->parser.upgrade)
        set_fault(m, QR_MESSAGE_MALFORMED);
    if (m->done)
        m->handlers->end(m, m->owner);
    return used;
}

bool qr_message_ends_with_connection(const QRMessage *m)
{
    return m->head_done && !m->done && m->grammar.state == QR_GRAMMAR_OPAQUE &&
           m->parser.content_length == NO_LENGTH;
}

bool qr_message_end_of_file(QRMessage *m)
{
    if (m->done)
        return true;
    http_parser_execute(&m->parser, &parser_settings, NULL, 0);
    if (!m->done)
        return false;
    m->handlers->end(m, m->owner);
    return true;
}

bool qr_message_keeps_open(const QRMessage *m)
{
    return http_should_keep_alive(&m->parser) != 0;
}
