/*
 * An HTTP request whose answer is buffered and passed on when it is complete.
 */
#include "qr_buffered_call.h"

#define ANSWER_MAX_BYTES (8u << 20)

struct QRBufferedCall {
    QRClientCall *call;
    QRBufferedDone done;
    void *owner;
    unsigned ref, status;
    size_t answer_max;
    QRHeaders headers;
    GByteArray *body;
};

static void call_free(QRBufferedCall *b)
{
    g_byte_array_unref(b->body);
    qr_headers_clear(&b->headers);
    g_free(b);
}

static void on_head(void *owner, QRClientCall *call, unsigned status,
                    const QRHeaders *headers)
{
    QRBufferedCall *b = owner;

    (void)call;
    b->status = status;
    qr_headers_copy(&b->headers, headers);
}

static void finish_call(QRBufferedCall *b, QRBufferedAnswer *answer)
{
    QRBufferedDone done = b->done;
    void *owner = b->owner;
    unsigned ref = b->ref;

    b->call = NULL;
    answer->received = b->body->len;
    if (answer->status == 0)
        qr_headers_reset(&b->headers);
    answer->headers = &b->headers;
    done(owner, ref, answer);
    call_free(b);
}

static void on_body(void *owner, QRClientCall *call, const char *data,
                    size_t len)
{
    QRBufferedCall *b = owner;
    QRBufferedAnswer answer = {.maybe_executed = true,
                               .error = "answer too large"};

    if (len <= b->answer_max - b->body->len) {
        g_byte_array_append(b->body, (const guint8 *)data, (guint)len);
        return;
    }
    qr_client_cancel(call);
    finish_call(b, &answer);
}

static void on_end(void *owner, QRClientCall *call)
{
    QRBufferedCall *b = owner;
    QRBufferedAnswer answer = {.status = b->status,
                               .data = (const char *)b->body->data,
                               .len = b->body->len};

    (void)call;
    finish_call(b, &answer);
}

static void on_failed(void *owner, QRClientCall *call, QRCallFault fault,
                      const char *why)
{
    QRBufferedCall *b = owner;
    QRBufferedAnswer answer = {.maybe_executed = fault != QR_CALL_FAULT_UNSENT,
                               .error = why};

    (void)call;
    finish_call(b, &answer);
}

static const QRClientHandlers call_handlers = {on_head, on_body, on_end,
                                               on_failed, NULL};

static GString *request_text(const QRBufferedRequest *r)
{
    GString *text = g_string_sized_new(256 + r->body_len);

    g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n", r->method,
                           r->path, r->address);
    if (r->content_type)
        g_string_append_printf(text, "Content-Type: %s\r\n", r->content_type);
    if (r->body)
        g_string_append_printf(text, "Content-Length: %zu\r\n", r->body_len);
    g_string_append(text, "\r\n");
    if (r->body)
        g_string_append_len(text, r->body, (gssize)r->body_len);
    return text;
}

QRBufferedCall *qr_buffered_send(QRClient *client,
                                 const QRBufferedRequest *request,
                                 QRBufferedDone done, void *owner, unsigned ref)
{
    g_autoptr(GString) text = request_text(request);
    QRBufferedCall *b = g_new0(QRBufferedCall, 1);
    QRClientRequest r = {0};

    b->done = done;
    b->owner = owner;
    b->ref = ref;
    b->answer_max =
        request->answer_max ? request->answer_max : ANSWER_MAX_BYTES;
    b->body = g_byte_array_new();
    qr_headers_init(&b->headers);
    r.address = request->address;
    r.data = text->str;
    r.len = text->len;
    r.connect_ms = request->connect_ms;
    r.timeout_ms = request->timeout_ms;
    r.send_within_ms = request->send_within_ms;
    r.pause_ms = request->pause_ms;
    r.probe_peer = request->probe_peer;
    b->call = qr_client_send(client, &r, &call_handlers, b);
    return b;
}

bool qr_buffered_has_head(const QRBufferedCall *b)
{
    return b->status != 0;
}

void qr_buffered_cancel(QRBufferedCall *b)
{
    if (!b)
        return;
    qr_client_cancel(b->call);
    call_free(b);
}
