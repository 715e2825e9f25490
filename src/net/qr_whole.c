/*
 * A request whose answer is kept until it is whole, and handed over at once.
 */
#include "qr_whole.h"

#define ANSWER_MAX (8u << 20)

struct QRWhole {
    QRClientCall *call;
    QRWholeDone done;
    void *owner;
    unsigned ref, status;
    QRHeaders headers;
    GByteArray *body;
};

static void whole_free(QRWhole *w)
{
    g_byte_array_unref(w->body);
    qr_headers_clear(&w->headers);
    g_free(w);
}

static void whole_head(void *owner, QRClientCall *call, unsigned status,
                       const QRHeaders *headers)
{
    QRWhole *w = owner;

    (void)call;
    w->status = status;
    qr_headers_copy(&w->headers, headers);
}

static void whole_over(QRWhole *w, QRWholeAnswer *answer)
{
    QRWholeDone done = w->done;
    void *owner = w->owner;
    unsigned ref = w->ref;

    w->call = NULL;
    answer->received = w->body->len;
    if (answer->status == 0)
        qr_headers_reset(&w->headers);
    answer->headers = &w->headers;
    done(owner, ref, answer);
    whole_free(w);
}

static void whole_body(void *owner, QRClientCall *call, const char *data,
                       size_t len)
{
    QRWhole *w = owner;
    QRWholeAnswer answer = {.maybe_done = true, .why = "answer too large"};

    g_byte_array_append(w->body, (const guint8 *)data, (guint)len);
    if (w->body->len <= ANSWER_MAX)
        return;
    qr_client_cancel(call);
    whole_over(w, &answer);
}

static void whole_end(void *owner, QRClientCall *call)
{
    QRWhole *w = owner;
    QRWholeAnswer answer = {.status = w->status,
                            .data = (const char *)w->body->data,
                            .len = w->body->len};

    (void)call;
    whole_over(w, &answer);
}

static void whole_failed(void *owner, QRClientCall *call, QRCallFault fault,
                         const char *why)
{
    QRWhole *w = owner;
    QRWholeAnswer answer = {.maybe_done = fault != QR_CALL_FAULT_UNSENT,
                            .why = why};

    (void)call;
    whole_over(w, &answer);
}

static const QRClientHandlers whole_handlers = {whole_head, whole_body,
                                                whole_end, whole_failed};

static GString *request_text(const QRWholeRequest *r)
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

QRWhole *qr_whole_send(QRClient *client, const QRWholeRequest *request,
                       QRWholeDone done, void *owner, unsigned ref)
{
    g_autoptr(GString) text = request_text(request);
    QRWhole *w = g_new0(QRWhole, 1);
    QRClientRequest r = {0};

    w->done = done;
    w->owner = owner;
    w->ref = ref;
    w->body = g_byte_array_new();
    qr_headers_init(&w->headers);
    r.address = request->address;
    r.data = text->str;
    r.len = text->len;
    r.connect_ms = request->connect_ms;
    r.timeout_ms = request->timeout_ms;
    r.pause_ms = request->pause_ms;
    w->call = qr_client_send(client, &r, &whole_handlers, w);
    return w;
}

bool qr_whole_began(const QRWhole *w)
{
    return w->status != 0;
}

void qr_whole_cancel(QRWhole *w)
{
    if (!w)
        return;
    qr_client_cancel(w->call);
    whole_free(w);
}
