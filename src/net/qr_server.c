/*
 * HTTP/1.1 server on a libuv loop. Each connection handles one exchange, that
 * is a request and its answer, at a time.
 */
#include "qr_server_parts.h"
#include "qr_socket.h"

#include "io/qr_log.h"

#include <string.h>

#define BACKLOG 1024
#define SEND_STALL_MS 10000 /* longest time a caller may accept no byte */
/* Bytes kept that are received before the current answer ends. */
#define PIPELINE_MAX (64u << 10)

#define DEFAULT_HEAD_MAX 16384
#define DEFAULT_BODY_MAX (1u << 20)
#define DEFAULT_HEAD_MS 5000
#define DEFAULT_IDLE_MS 15000
#define DEFAULT_CONNECTIONS 1000
#define LINGER_MS 1000 /* how long bytes of a refused caller are still read */

void qr_conn_free(uv_handle_t *h)
{
    QRConn *c = h->data;

    qr_message_clear(&c->message);
    g_byte_array_unref(c->exchange.body);
    g_byte_array_unref(c->read_ahead);
    g_free(c);
}

void qr_conn_detach(QRConn *c)
{
    QRServer *s = c->server;
    QRConn *moved = s->conns->pdata[s->conns->len - 1];

    c->closing = true;
    s->pending -= c->pending;
    c->pending = 0;
    s->conns->pdata[c->index] = moved;
    moved->index = c->index;
    g_ptr_array_set_size(s->conns, (int)s->conns->len - 1);
}

static void conn_close(QRConn *c)
{
    if (c->closing)
        return;
    qr_conn_detach(c);
    uv_close((uv_handle_t *)&c->tcp, qr_conn_free);
}

/* Closes a connection on the decision of the server, and logs the reason. */
static void conn_close_logged(QRConn *c, const char *why)
{
    qr_logf(QR_LEVEL_WARN, "callers",
            "closed why=%s unsent=%zu since_ms=%" G_GUINT64_FORMAT, why,
            uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp),
            qr_clock_ms(c->server->loop) - c->since_ms);
    conn_close(c);
}

/* Closes a broken connection and reports an unfinished exchange, if any. */
static void conn_break(QRConn *c, const char *why)
{
    bool open = c->exchange.state != QR_EXCHANGE_NONE;

    if (c->closing)
        return;
    c->exchange.state = QR_EXCHANGE_NONE;
    if (open)
        c->server->handlers->disconnected(c->server->owner, &c->exchange, why);
    conn_close(c);
}

static void on_shutdown(uv_shutdown_t *req, int status)
{
    (void)status;
    g_free(req);
}

void qr_conn_linger(QRConn *c)
{
    uv_shutdown_t *req;

    if (c->closing || c->lingering)
        return;
    c->lingering = true;
    c->since_ms = qr_clock_ms(c->server->loop);
    req = g_new0(uv_shutdown_t, 1);
    if (uv_shutdown(req, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
        g_free(req);
}

/* Answers an unacceptable or incomplete request with an error status, and ends
   the connection. */
static void conn_refuse(QRConn *c, unsigned status)
{
    g_autoptr(GString) out = g_string_new(NULL);

    qr_logf(QR_LEVEL_INFO, "callers",
            "refused status=%u head_whole=%d rested_ms=%" G_GUINT64_FORMAT,
            status, c->message.head_done,
            qr_clock_ms(c->server->loop) - c->since_ms);
    qr_append_status_line(out, status);
    g_string_append(out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
    qr_conn_write(c, out->str, out->len);
    qr_conn_linger(c);
}

static bool message_head(QRMessage *m, void *owner)
{
    QRConn *c = owner;
    const char *expect = qr_headers_get(&m->headers, "Expect");

    if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0)
        qr_conn_write(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    return false;
}

static void message_body(QRMessage *m, void *owner, const char *data,
                         size_t len)
{
    QRConn *c = owner;

    (void)m;
    g_byte_array_append(c->exchange.body, (const guint8 *)data, (guint)len);
}

static bool request_ok(const QRMessage *m)
{
    if (m->target->len == 0 || m->target->str[0] != '/')
        return false;
    if (m->parser.http_major != 1 || m->parser.method == HTTP_CONNECT)
        return false;
    return qr_headers_count_of(&m->headers, "Host") == 1 ||
           (m->parser.http_minor == 0 &&
            qr_headers_count_of(&m->headers, "Host") == 0);
}

static void message_end(QRMessage *m, void *owner)
{
    QRConn *c = owner;
    QRServer *s = c->server;

    if (!request_ok(m)) {
        conn_refuse(c, 400);
        return;
    }
    c->exchange.state = QR_EXCHANGE_WAITING;
    c->exchange.arrived_ms = qr_clock_ms(s->loop);
    c->exchange.data = NULL;
    c->since_ms = c->exchange.arrived_ms;
    c->close_after = s->draining || !qr_message_keeps_open(m);
    s->handlers->request(s->owner, &c->exchange);
}

static const QRMessageHandlers message_handlers = {message_head, message_body,
                                                   message_end};

static unsigned fault_status(QRMessageFault fault)
{
    if (fault == QR_MESSAGE_HEAD_TOO_LARGE)
        return 431;
    return fault == QR_MESSAGE_BODY_TOO_LARGE ? 413 : 400;
}

void qr_conn_process_input(QRConn *c)
{
    if (c->processing)
        return;
    c->processing = true;
    while (!c->closing && !c->lingering &&
           c->exchange.state == QR_EXCHANGE_NONE && c->read_ahead->len > 0) {
        size_t used;

        if (!c->request_begun) {
            c->request_begun = true;
            c->since_ms = qr_clock_ms(c->server->loop);
        }
        used = qr_message_read(&c->message, (const char *)c->read_ahead->data,
                               c->read_ahead->len);
        g_byte_array_remove_range(c->read_ahead, 0,
                                  (guint)MIN(used, c->read_ahead->len));
        if (c->message.fault != QR_MESSAGE_OK) {
            conn_refuse(c, fault_status(c->message.fault));
            break;
        }
    }
    c->processing = false;
}

static void conn_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    QRConn *c = stream->data;

    if (n < 0) {
        conn_break(c, uv_strerror((int)n));
        return;
    }
    if (n == 0 || c->lingering || c->closing)
        return;
    if (c->exchange.state != QR_EXCHANGE_NONE &&
        c->read_ahead->len + (size_t)n > PIPELINE_MAX) {
        conn_break(c, "too many bytes of pipelined requests");
        return;
    }
    g_byte_array_append(c->read_ahead, (const guint8 *)buf->base, (guint)n);
    qr_conn_process_input(c);
}

/* Whether the connection has no request, no part of one and no unsent bytes. */
static bool conn_is_idle(const QRConn *c)
{
    return c->exchange.state == QR_EXCHANGE_NONE && !c->request_begun &&
           uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp) == 0;
}

/* Makes room for a new connection by closing the one that is idle longest. */
static void server_close_oldest_idle(QRServer *s)
{
    QRConn *oldest = NULL;

    for (unsigned i = 0; i < s->conns->len; i++) {
        QRConn *c = s->conns->pdata[i];

        if (conn_is_idle(c) && (!oldest || c->since_ms < oldest->since_ms))
            oldest = c;
    }
    if (oldest)
        conn_close_logged(oldest,
                          "connection limit reached, closing the longest idle");
}

static void server_accept(uv_stream_t *stream, int status)
{
    QRServer *s = stream->data;
    QRConn *c;

    if (status < 0)
        return;
    c = g_new0(QRConn, 1);
    c->server = s;
    c->tcp.data = c;
    c->exchange.conn = c;
    c->exchange.body = g_byte_array_new();
    c->read_ahead = g_byte_array_new();
    qr_message_init(&c->message, HTTP_REQUEST, &message_handlers, c);
    c->message.head_max = s->limits.head_max;
    c->message.body_max = s->limits.body_max;
    c->since_ms = qr_clock_ms(s->loop);
    c->idle_limit_ms = s->limits.idle_timeout_ms;
    uv_tcp_init(s->loop, &c->tcp);
    if (s->conns->len >= s->limits.connections_max)
        server_close_oldest_idle(s);
    c->index = s->conns->len;
    g_ptr_array_add(s->conns, c);
    if (uv_accept(stream, (uv_stream_t *)&c->tcp) != 0 ||
        s->conns->len > s->limits.connections_max) {
        conn_close_logged(c, "accept failed or connection limit reached");
        return;
    }
    qr_socket_tune(&c->tcp, SEND_STALL_MS);
    uv_read_start((uv_stream_t *)&c->tcp, qr_socket_buffer, conn_read);
}

QRServer *qr_server_new(uv_loop_t *loop, const char *address,
                        const QRServerHandlers *handlers, void *owner,
                        GError **err)
{
    QRServer *s = g_new0(QRServer, 1);
    struct sockaddr_in addr;
    int rc;

    s->loop = loop;
    s->handlers = handlers;
    s->owner = owner;
    s->conns = g_ptr_array_new();
    s->limits =
        (QRServerLimits){DEFAULT_HEAD_MAX, DEFAULT_BODY_MAX, DEFAULT_HEAD_MS,
                         DEFAULT_IDLE_MS, DEFAULT_CONNECTIONS};
    uv_tcp_init(loop, &s->tcp);
    s->tcp.data = s;
    rc = qr_socket_address(address, &addr) ? 0 : UV_EINVAL;
    if (rc == 0)
        rc = uv_tcp_bind(&s->tcp, (const struct sockaddr *)&addr, 0);
    if (rc == 0)
        rc = uv_listen((uv_stream_t *)&s->tcp, BACKLOG, server_accept);
    s->listening = rc == 0;
    if (rc != 0) {
        g_set_error(err, QR_ERROR, QR_ERROR_IO, "cannot listen on %s: %s",
                    address, uv_strerror(rc));
        qr_server_close(s);
        return NULL;
    }
    return s;
}

/* A request keeps the size limits in force when it began. */
void qr_conn_apply_limits(QRConn *c)
{
    if (c->request_begun)
        return;
    c->message.head_max = c->server->limits.head_max;
    c->message.body_max = c->server->limits.body_max;
}

void qr_server_set_limits(QRServer *s, const QRServerLimits *limits)
{
    s->limits = *limits;
    for (unsigned i = 0; i < s->conns->len; i++)
        qr_conn_apply_limits(s->conns->pdata[i]);
}

static void server_free(QRServer *s)
{
    g_ptr_array_unref(s->conns);
    g_free(s);
}

static void on_listener_closed(uv_handle_t *h)
{
    QRServer *s = h->data;

    s->listener_closed = true;
    if (s->closing)
        server_free(s);
}

void qr_server_stop_listening(QRServer *s)
{
    if (s->listening && !uv_is_closing((uv_handle_t *)&s->tcp))
        uv_close((uv_handle_t *)&s->tcp, on_listener_closed);
    s->listening = false;
}

void qr_server_drain(QRServer *s)
{
    s->draining = true;
}

unsigned qr_server_close_idle(QRServer *s)
{
    for (unsigned i = s->conns->len; i > 0; i--) {
        QRConn *c = s->conns->pdata[i - 1];

        if (conn_is_idle(c))
            conn_close(c);
    }
    return s->conns->len;
}

/*
 * Whether bytes of the last answer are still unsent: a close now would truncate
 * the answer. The idle and linger times start when the last byte was accepted.
 */
static bool conn_is_sending(QRConn *c, uint64_t now)
{
    size_t unsent = uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp);

    if (unsent != c->unsent) {
        c->unsent = unsent;
        c->since_ms = now;
    } else if (unsent > 0 && now > c->since_ms + SEND_STALL_MS) {
        conn_close_logged(c, "caller does not read");
        return true;
    }
    return unsent > 0;
}

static void conn_tick(QRConn *c, uint64_t now)
{
    const QRServerLimits *l = &c->server->limits;
    uint64_t elapsed_ms;

    if ((c->lingering ||
         (c->exchange.state == QR_EXCHANGE_NONE && !c->request_begun)) &&
        conn_is_sending(c, now))
        return;
    elapsed_ms = now - MIN(now, c->since_ms);
    if (c->lingering) {
        if (elapsed_ms > LINGER_MS)
            conn_close(c);
        return;
    }
    if (c->exchange.state != QR_EXCHANGE_NONE)
        return;
    if (!c->request_begun) {
        /* a limit lowered since then may be unknown to the caller */
        if (elapsed_ms > MAX(c->idle_limit_ms, l->idle_timeout_ms))
            conn_close(c);
        return;
    }
    if (!c->message.head_done && elapsed_ms > l->head_timeout_ms)
        conn_refuse(c, 408);
    else if (elapsed_ms > l->head_timeout_ms + l->idle_timeout_ms)
        conn_refuse(c, 408);
}

void qr_server_tick(QRServer *s, uint64_t now_ms)
{
    for (unsigned i = s->conns->len; i > 0; i--)
        conn_tick(s->conns->pdata[i - 1], now_ms);
}

/* Resets a connection, which its caller cannot take for the end of a complete
   answer. */
static void conn_abort(QRConn *c, const char *why)
{
    bool open = c->exchange.state != QR_EXCHANGE_NONE;

    c->exchange.state = QR_EXCHANGE_NONE;
    qr_conn_detach(c);
    if (open)
        c->server->handlers->disconnected(c->server->owner, &c->exchange, why);
    if (uv_tcp_close_reset(&c->tcp, qr_conn_free) != 0)
        uv_close((uv_handle_t *)&c->tcp, qr_conn_free);
}

/* Returns the connection with unsent bytes whose caller has read nothing for
   the longest time, or NULL. */
static QRConn *server_longest_unread(const QRServer *s)
{
    QRConn *longest = NULL;

    for (unsigned i = 0; i < s->conns->len; i++) {
        QRConn *c = s->conns->pdata[i];

        if (c->pending > 0 && (!longest || c->read_ms < longest->read_ms))
            longest = c;
    }
    return longest;
}

unsigned qr_server_limit_unsent(QRServer *s, size_t limit, uint64_t now_ms)
{
    unsigned aborted = 0;
    QRConn *c;

    if (limit == 0 || s->pending <= limit)
        return 0;
    for (unsigned i = 0; i < s->conns->len; i++)
        qr_conn_count_pending(s->conns->pdata[i], 0);
    while (s->pending > limit && (c = server_longest_unread(s))) {
        qr_logf(QR_LEVEL_WARN, "callers",
                "aborted why=unread answers exceed their memory unsent=%zu "
                "unread_ms=%" G_GUINT64_FORMAT " unsent_all=%zu limit=%zu",
                c->pending, now_ms - MIN(now_ms, c->read_ms), s->pending,
                limit);
        conn_abort(c, "aborted, as unread answers exceed their memory");
        aborted++;
    }
    return aborted;
}

unsigned qr_server_connections(const QRServer *s)
{
    return s->conns->len;
}

void qr_server_close(QRServer *s)
{
    while (s->conns->len > 0) {
        QRConn *c = s->conns->pdata[s->conns->len - 1];

        c->exchange.state = QR_EXCHANGE_NONE;
        conn_close(c);
    }
    s->closing = true;
    if (s->listener_closed)
        server_free(s);
    else if (!uv_is_closing((uv_handle_t *)&s->tcp))
        uv_close((uv_handle_t *)&s->tcp, on_listener_closed);
}
