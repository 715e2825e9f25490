/*
 * One exchange of the HTTP server: a request and its answer.
 */
#include "qr_server_parts.h"
#include "qr_socket.h"

#include <string.h>

void qr_conn_write(QRConn *c, const void *data, size_t len)
{
    if (c->closing)
        return;
    (void)qr_socket_write(&c->tcp, data, len);
    qr_conn_count_pending(c, len);
}

void qr_conn_count_pending(QRConn *c, size_t written)
{
    size_t now = uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp);

    /* fewer than before and written since: the caller has read some */
    if (c->pending == 0 || now < c->pending + written)
        c->read_ms = qr_clock_ms(c->server->loop);
    c->server->pending = c->server->pending - c->pending + now;
    qr_account_charge(c->server->account, QR_ACCOUNT_LARGE, now);
    qr_account_release(c->server->account, QR_ACCOUNT_LARGE, c->pending);
    c->pending = now;
}

void qr_append_status_line(GString *out, unsigned status)
{
    g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
                           http_status_str((enum http_status)status));
}

static void append_headers(GString *out, const QRHeaders *headers)
{
    for (unsigned i = 0; headers && i < qr_headers_count(headers); i++) {
        const char *name = qr_headers_name(headers, i);

        if (qr_headers_is_hop_by_hop(headers, name))
            continue;
        g_string_append(out, name);
        g_string_append(out, ": ");
        g_string_append(out, qr_headers_value(headers, i));
        g_string_append(out, "\r\n");
    }
}

static void append_connection(GString *out, const QRConn *c)
{
    if (c->close_after)
        g_string_append(out, "Connection: close\r\n");
    else if (c->message.parser.http_minor == 0)
        g_string_append(out, "Connection: keep-alive\r\n");
}

const char *qr_exchange_method(const QRExchange *x)
{
    return http_method_str((enum http_method)x->conn->message.parser.method);
}

const char *qr_exchange_target(const QRExchange *x)
{
    return x->conn->message.target->str;
}

const QRHeaders *qr_exchange_headers(const QRExchange *x)
{
    return &x->conn->message.headers;
}

QRBody *qr_exchange_body(const QRExchange *x)
{
    return x->body;
}

uint64_t qr_exchange_arrived_ms(const QRExchange *x)
{
    return x->arrived_ms;
}

void qr_exchange_set_data(QRExchange *x, void *data)
{
    x->data = data;
}

void *qr_exchange_data(const QRExchange *x)
{
    return x->data;
}

/* The answer is written: the connection may take its next request. */
static void exchange_finish(QRExchange *x)
{
    QRConn *c = x->conn;

    x->state = QR_EXCHANGE_NONE;
    x->data = NULL;
    if (c->closing)
        return;
    if (c->close_after) {
        qr_conn_linger(c);
        return;
    }
    qr_conn_drop_body(c);
    qr_message_next(&c->message);
    c->request_begun = false;
    qr_conn_update_charge(c);
    qr_conn_apply_limits(c);
    c->since_ms = qr_clock_ms(c->server->loop);
    c->idle_limit_ms = c->server->limits.idle_timeout_ms;
    qr_conn_process_input(c);
}

static bool status_has_body(unsigned status)
{
    return status >= 200 && status != 204 && status != 304;
}

void qr_exchange_reply(QRExchange *x, unsigned status, const QRHeaders *headers,
                       const void *body, size_t len)
{
    QRConn *c = x->conn;
    g_autoptr(GString) out = g_string_sized_new(512 + len);
    bool head_only = c->message.parser.method == HTTP_HEAD;

    if (x->state != QR_EXCHANGE_WAITING)
        return;
    c->close_after = c->close_after || c->server->draining;
    qr_append_status_line(out, status);
    append_headers(out, headers);
    if (status_has_body(status) && !head_only)
        g_string_append_printf(out, "Content-Length: %zu\r\n", len);
    append_connection(out, c);
    g_string_append(out, "\r\n");
    if (status_has_body(status) && !head_only)
        g_string_append_len(out, body, (gssize)len);
    qr_conn_write(c, out->str, out->len);
    exchange_finish(x);
}

void qr_exchange_start(QRExchange *x, unsigned status, const QRHeaders *headers)
{
    QRConn *c = x->conn;
    g_autoptr(GString) out = g_string_sized_new(512);

    if (x->state != QR_EXCHANGE_WAITING)
        return;
    x->chunked = c->message.parser.http_minor > 0;
    x->no_body = c->message.parser.method == HTTP_HEAD;
    c->close_after = c->close_after || c->server->draining || !x->chunked;
    qr_append_status_line(out, status);
    append_headers(out, headers);
    if (x->chunked)
        g_string_append(out, "Transfer-Encoding: chunked\r\n");
    append_connection(out, c);
    g_string_append(out, "\r\n");
    qr_conn_write(c, out->str, out->len);
    x->state = QR_EXCHANGE_ANSWERING;
}

void qr_exchange_write(QRExchange *x, const void *data, size_t len)
{
    g_autoptr(GString) out = NULL;

    if (x->state != QR_EXCHANGE_ANSWERING || x->no_body || len == 0)
        return;
    if (!x->chunked) {
        qr_conn_write(x->conn, data, len);
        return;
    }
    out = g_string_sized_new(len + 16);
    g_string_append_printf(out, "%zx\r\n", len);
    g_string_append_len(out, data, (gssize)len);
    g_string_append(out, "\r\n");
    qr_conn_write(x->conn, out->str, out->len);
}

void qr_exchange_end(QRExchange *x)
{
    if (x->state != QR_EXCHANGE_ANSWERING)
        return;
    if (x->chunked && !x->no_body)
        qr_conn_write(x->conn, "0\r\n\r\n", 5);
    exchange_finish(x);
}

void qr_exchange_abort(QRExchange *x)
{
    QRConn *c = x->conn;

    x->state = QR_EXCHANGE_NONE;
    if (c->closing)
        return;
    qr_conn_detach(c);
    /* without a Content-Length, an orderly close would look like a complete
       answer; a reset does not */
    if (uv_tcp_close_reset(&c->tcp, qr_conn_free) != 0)
        uv_close((uv_handle_t *)&c->tcp, qr_conn_free);
}

size_t qr_exchange_unsent(const QRExchange *x)
{
    if (x->conn->closing)
        return 0;
    return uv_stream_get_write_queue_size((uv_stream_t *)&x->conn->tcp);
}
