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
/* State of a connection and of one call of it, and what the kernel holds of it
   in a small receive buffer; bytes. */
#define CONNECTION_BYTES 8192
/* A head is held as text and as an index of its fields, both of which grow by
   doubling. */
#define HEAD_COPIES 3
/* Unsent bytes of answers with which no further request is parsed while memory
   is scarce. */
#define UNSENT_MAX (16u << 10)
#define RETRY_MIN_MS 500
/* Receive buffers in bytes, small and for large bodies, and what the kernel
   holds at most in a large one. */
#define RECEIVE_BYTES (4 << 10)
#define RECEIVE_LARGE_BYTES (32 << 10)
#define WINDOW_BYTES (RECEIVE_LARGE_BYTES * 3 / 2)
/* Refused clients may go on sending: what they send takes memory of the kernel.
 */
#define LINGERING_MAX 64
#define LINGER_MS 1000 /* how long bytes of a refused caller are still read */

/* 'c->charged' and 'bytes' may differ in either direction. */
static void conn_set_charge(QRConn *c, size_t bytes)
{
    qr_account_charge(c->server->account, QR_ACCOUNT_SMALL, bytes);
    qr_account_release(c->server->account, QR_ACCOUNT_SMALL, c->charged);
    c->charged = bytes;
}

void qr_conn_update_charge(QRConn *c)
{
    size_t bytes = CONNECTION_BYTES;

    bytes += c->message.head_bytes * HEAD_COPIES;
    if (c->read_ahead)
        bytes += c->read_ahead->len;
    conn_set_charge(c, bytes);
}

static void conn_charge_window(QRConn *c, size_t bytes)
{
    QRAccount *a = c->server->account;

    qr_account_charge(a, QR_ACCOUNT_LARGE, bytes);
    qr_account_release(a, QR_ACCOUNT_LARGE, c->window);
    a->windows = a->windows - c->window + bytes;
    c->window = bytes;
}

/* A large body gets a large receive buffer while there is room for that. */
static void conn_grow_window(QRConn *c)
{
    if (c->window > 0 ||
        !qr_account_may_grow_window(c->server->account, WINDOW_BYTES))
        return;
    conn_charge_window(c, WINDOW_BYTES);
    qr_socket_set_receive_buffer(&c->tcp, RECEIVE_LARGE_BYTES);
}

static void conn_shrink_window(QRConn *c)
{
    if (c->window == 0)
        return;
    conn_charge_window(c, 0);
    qr_socket_set_receive_buffer(&c->tcp, RECEIVE_BYTES);
}

static void conn_set_receiving(QRConn *c, size_t bytes)
{
    QRAccount *a = c->server->account;

    a->receiving = a->receiving - c->receiving + bytes;
    c->receiving = bytes;
}

void qr_conn_drop_pipelined(QRConn *c)
{
    c->close_after = c->ignores_input = true;
    g_clear_pointer(&c->read_ahead, g_byte_array_unref);
    qr_conn_update_charge(c);
}

void qr_conn_drop_body(QRConn *c)
{
    conn_set_receiving(c, 0);
    g_clear_pointer(&c->exchange.body, qr_body_unref);
}

void qr_conn_free(uv_handle_t *h)
{
    QRConn *c = h->data;

    qr_message_clear(&c->message);
    g_clear_pointer(&c->exchange.body, qr_body_unref);
    g_clear_pointer(&c->read_ahead, g_byte_array_unref);
    g_free(c);
}

void qr_conn_detach(QRConn *c)
{
    QRServer *s = c->server;
    QRConn *moved = s->conns->pdata[s->conns->len - 1];

    c->closing = true;
    s->lingering -= c->lingering;
    s->pending -= c->pending;
    qr_account_release(s->account, QR_ACCOUNT_LARGE, c->pending);
    c->pending = 0;
    conn_set_receiving(c, 0);
    conn_charge_window(c, 0);
    conn_set_charge(c, 0);
    s->account->connections--;
    s->conns->pdata[c->index] = moved;
    moved->index = c->index;
    g_ptr_array_set_size(s->conns, (int)s->conns->len - 1);
}

void qr_conn_close(QRConn *c)
{
    if (c->closing)
        return;
    qr_conn_detach(c);
    uv_close((uv_handle_t *)&c->tcp, qr_conn_free);
}

/* Closes a connection on the decision of the server, and logs the reason. */
static void conn_close_logged(QRConn *c, const char *why)
{
    uint64_t now = qr_clock_ms(c->server->loop);
    unsigned dropped;

    if (qr_account_may_log(c->server->account, now, &dropped))
        qr_logf(QR_LEVEL_WARN, "callers",
                "closed why=%s unsent=%zu since_ms=%" G_GUINT64_FORMAT
                " lines_left_out=%u",
                why, uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp),
                now - c->since_ms, dropped);
    qr_conn_close(c);
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
    qr_conn_close(c);
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
    c->server->lingering++;
    conn_shrink_window(c);
    qr_conn_drop_body(c);
    g_clear_pointer(&c->read_ahead, g_byte_array_unref);
    qr_conn_update_charge(c);
    c->since_ms = qr_clock_ms(c->server->loop);
    req = g_new0(uv_shutdown_t, 1);
    if (uv_shutdown(req, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
        g_free(req);
    if (c->server->lingering > LINGERING_MAX)
        qr_server_close_lingering(c->server);
}

/* From RETRY_MIN_MS to under a second, at random: clients that are refused
   together do not return together. */
static unsigned retry_after_ms(QRServer *s)
{
    s->random = qr_hash64(&s->random, sizeof(s->random), 1);
    return RETRY_MIN_MS + (unsigned)(s->random % (1000 - RETRY_MIN_MS));
}

void qr_conn_refuse(QRConn *c, unsigned status, const char *why)
{
    QRServer *s = c->server;
    g_autoptr(GString) out = g_string_new(NULL);
    uint64_t now = qr_clock_ms(s->loop);
    unsigned dropped;

    if (qr_account_may_log(s->account, now, &dropped))
        qr_logf(QR_LEVEL_INFO, "callers",
                "refused status=%u why=%s head_whole=%d "
                "rested_ms=%" G_GUINT64_FORMAT
                " body=%zu held=%zu receiving=%zu lines_left_out=%u",
                status, why, c->message.head_done, now - c->since_ms,
                c->message.body_bytes, qr_account_held(s->account),
                s->account->receiving, dropped);
    qr_append_status_line(out, status);
    if (status == 503)
        g_string_append_printf(out, "Retry-After: 0.%03u\r\n",
                               retry_after_ms(s));
    g_string_append(out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
    qr_conn_write(c, out->str, out->len);
    qr_conn_linger(c);
}

/* A refusal that is certain is sent at the head: before 100 Continue, and
   before a body that would be dropped. */
static bool message_head(QRMessage *m, void *owner)
{
    QRConn *c = owner;
    QRServer *s = c->server;
    const char *expect = qr_headers_get(&m->headers, "Expect");
    uint64_t length = m->parser.content_length;

    if (length == UINT64_MAX)
        length = 0;
    if (!s->limits.discards_bodies) {
        if (length > qr_account_share(s->account, QR_ACCOUNT_LARGE)) {
            qr_message_fail(m, QR_MESSAGE_BODY_TOO_LARGE);
            return false;
        }
        if (!qr_account_may_fit(s->account, (size_t)length)) {
            qr_message_fail(m, QR_MESSAGE_NO_MEMORY);
            return false;
        }
        c->exchange.expected = length;
        if (length > RECEIVE_BYTES)
            conn_grow_window(c);
    }
    if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0)
        qr_conn_write(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    return false;
}

/* Makes room for the next segment of the body. */
static bool body_make_room(QRConn *c)
{
    QRAccountClass class;
    size_t more = qr_body_next_charge(c->exchange.body, &class);

    if (more == 0 || qr_conn_make_room(c, class, more))
        return true;
    conn_shrink_window(c); /* the body goes before its receive buffer */
    return qr_account_excess(c->server->account, class, more) == 0;
}

static void message_body(QRMessage *m, void *owner, const char *data,
                         size_t len)
{
    QRConn *c = owner;
    QRExchange *x = &c->exchange;

    if (c->server->limits.discards_bodies)
        return;
    if (!x->body) {
        x->body = qr_body_new(c->server->account);
        qr_body_expect(x->body, x->expected);
    }
    if (m->body_bytes > RECEIVE_BYTES)
        conn_grow_window(c);
    while (len > 0) {
        size_t n;

        if (!body_make_room(c)) {
            qr_message_fail(m, QR_MESSAGE_NO_MEMORY);
            return;
        }
        n = qr_body_append(x->body, data, len);
        data += n;
        len -= n;
        conn_set_receiving(c, qr_body_held(x->body));
    }
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
        qr_conn_refuse(c, 400, "malformed");
        return;
    }
    conn_set_receiving(c, 0);
    conn_shrink_window(c);
    c->exchange.state = QR_EXCHANGE_WAITING;
    c->exchange.arrived_ms = qr_clock_ms(s->loop);
    c->exchange.data = NULL;
    c->since_ms = c->exchange.arrived_ms;
    c->close_after = s->draining || !qr_message_keeps_open(m);
    s->handlers->request(s->owner, &c->exchange);
}

static const QRMessageHandlers message_handlers = {message_head, message_body,
                                                   message_end};

static void conn_refuse_fault(QRConn *c, QRMessageFault fault)
{
    static const struct {
        unsigned status;
        const char *why;
    } faults[] = {
        [QR_MESSAGE_MALFORMED] = {400, "malformed"},
        [QR_MESSAGE_HEAD_TOO_LARGE] = {431, "head too large"},
        [QR_MESSAGE_BODY_TOO_LARGE] = {413, "body too large"},
        [QR_MESSAGE_NO_MEMORY] = {503, "no memory"},
    };
    uint64_t *counts = c->server->account->counts;

    if (fault == QR_MESSAGE_BODY_TOO_LARGE)
        counts[QR_ACCOUNT_COUNT_bodies_too_large]++;
    if (fault == QR_MESSAGE_NO_MEMORY)
        counts[QR_ACCOUNT_COUNT_refused_memory]++;
    qr_conn_refuse(c, faults[fault].status, faults[fault].why);
}

/* Whether the next request may be parsed. While memory is scarce, a client that
   does not read its answers gets no more of them. */
static bool conn_may_parse(const QRConn *c)
{
    return !c->closing && !c->lingering &&
           c->exchange.state == QR_EXCHANGE_NONE &&
           (!qr_account_is_scarce(c->server->account) ||
            uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp) <=
                UNSENT_MAX);
}

/* Parses requests, one at a time. Returns the number of bytes used. */
static size_t conn_parse(QRConn *c, const char *data, size_t len)
{
    size_t used = 0;

    c->processing = true;
    while (used < len && conn_may_parse(c)) {
        size_t n;

        if (!c->request_begun) {
            c->request_begun = true;
            c->since_ms = qr_clock_ms(c->server->loop);
        }
        n = qr_message_read(&c->message, data + used, len - used);
        used += MIN(n, len - used);
        if (c->message.fault != QR_MESSAGE_OK && !c->closing)
            conn_refuse_fault(c, c->message.fault);
    }
    c->processing = false;
    return used;
}

void qr_conn_process_input(QRConn *c)
{
    size_t used;

    if (c->processing || !c->read_ahead || !conn_may_parse(c))
        return;
    used = conn_parse(c, (const char *)c->read_ahead->data, c->read_ahead->len);
    if (!c->read_ahead)
        return; /* the connection was refused */
    if (used == c->read_ahead->len)
        g_clear_pointer(&c->read_ahead, g_byte_array_unref);
    else
        g_byte_array_remove_range(c->read_ahead, 0, (guint)used);
    if (!c->closing)
        qr_conn_update_charge(c);
}

/* Keeps bytes behind the current request. Without memory for them they are
   dropped. Returns false if the connection is to be closed. */
static bool conn_keep(QRConn *c, const char *data, size_t len)
{
    size_t kept = c->read_ahead ? c->read_ahead->len : 0;

    if (kept + len > PIPELINE_MAX)
        return false;
    if (!qr_conn_make_room(c, QR_ACCOUNT_SMALL, len)) {
        if (c->exchange.state == QR_EXCHANGE_NONE)
            return false;
        c->server->account->counts[QR_ACCOUNT_COUNT_refused_memory]++;
        qr_conn_drop_pipelined(c);
        return true;
    }
    if (!c->read_ahead)
        c->read_ahead = g_byte_array_sized_new((guint)len);
    g_byte_array_append(c->read_ahead, (const guint8 *)data, (guint)len);
    return true;
}

/* The head has grown: without room for it, the request is refused. */
static void conn_check_head(QRConn *c)
{
    if (qr_conn_is_unfinished(c) && !c->message.head_done &&
        !qr_conn_make_room(c, QR_ACCOUNT_SMALL, 0))
        conn_refuse_fault(c, QR_MESSAGE_NO_MEMORY);
}

static void conn_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    QRConn *c = stream->data;
    size_t used = 0;

    if (n < 0) {
        conn_break(c, uv_strerror((int)n));
        return;
    }
    if (n == 0 || c->lingering || c->closing || c->ignores_input)
        return;
    if (!c->read_ahead)
        used = conn_parse(c, buf->base, (size_t)n);
    if (c->closing || c->lingering)
        return;
    if (used < (size_t)n && !conn_keep(c, buf->base + used, (size_t)n - used)) {
        conn_break(c, "too many bytes of pipelined requests");
        return;
    }
    qr_conn_update_charge(c);
    conn_check_head(c);
    qr_conn_process_input(c);
}

bool qr_conn_is_idle(const QRConn *c)
{
    return c->exchange.state == QR_EXCHANGE_NONE && !c->request_begun &&
           uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp) == 0;
}

bool qr_conn_is_unfinished(const QRConn *c)
{
    return c->exchange.state == QR_EXCHANGE_NONE && c->request_begun &&
           !c->lingering && !c->closing;
}

static void server_accept(uv_stream_t *stream, int status)
{
    QRServer *s = stream->data;
    QRConn *c;
    bool has_room;

    if (status < 0)
        return;
    c = g_new0(QRConn, 1);
    c->server = s;
    c->tcp.data = c;
    c->exchange.conn = c;
    qr_message_init(&c->message, HTTP_REQUEST, &message_handlers, c);
    c->message.head_max = s->limits.head_max;
    c->message.body_max = s->limits.body_max;
    c->since_ms = qr_clock_ms(s->loop);
    c->idle_limit_ms = s->limits.idle_timeout_ms;
    uv_tcp_init(s->loop, &c->tcp);
    has_room =
        s->conns->len < s->limits.connections_max || qr_server_make_room(s);
    c->index = s->conns->len;
    g_ptr_array_add(s->conns, c);
    s->account->connections++;
    qr_conn_update_charge(c);
    if (uv_accept(stream, (uv_stream_t *)&c->tcp) != 0 || !has_room) {
        s->account->counts[QR_ACCOUNT_COUNT_refused_connection]++;
        conn_close_logged(c, "accept failed or connection limit reached");
        return;
    }
    qr_socket_tune(&c->tcp, SEND_STALL_MS);
    uv_read_start((uv_stream_t *)&c->tcp, qr_socket_buffer, conn_read);
}

QRServer *qr_server_new(uv_loop_t *loop, const char *address,
                        QRAccount *account, const QRServerHandlers *handlers,
                        void *owner, GError **err)
{
    QRServer *s = g_new0(QRServer, 1);
    struct sockaddr_in addr;
    int receive_bytes = RECEIVE_BYTES, rc;

    s->loop = loop;
    s->account = account;
    g_ptr_array_add(account->servers, s);
    s->random = (uint64_t)g_random_int() << 32 | g_random_int();
    s->handlers = handlers;
    s->owner = owner;
    s->conns = g_ptr_array_new();
    s->limits = (QRServerLimits){.head_max = DEFAULT_HEAD_MAX,
                                 .body_max = DEFAULT_BODY_MAX,
                                 .head_timeout_ms = DEFAULT_HEAD_MS,
                                 .idle_timeout_ms = DEFAULT_IDLE_MS,
                                 .connections_max = DEFAULT_CONNECTIONS};
    uv_tcp_init(loop, &s->tcp);
    s->tcp.data = s;
    rc = qr_socket_address(address, &addr) ? 0 : UV_EINVAL;
    if (rc == 0)
        rc = uv_tcp_bind(&s->tcp, (const struct sockaddr *)&addr, 0);
    if (rc == 0)
        rc = uv_recv_buffer_size((uv_handle_t *)&s->tcp, &receive_bytes);
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

const QRServerLimits *qr_server_limits(const QRServer *s)
{
    return &s->limits;
}

void qr_server_set_limits(QRServer *s, const QRServerLimits *limits)
{
    s->limits = *limits;
    for (unsigned i = 0; i < s->conns->len; i++)
        qr_conn_apply_limits(s->conns->pdata[i]);
}

static void server_free(QRServer *s)
{
    g_ptr_array_remove_fast(s->account->servers, s);
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

        if (qr_conn_is_idle(c))
            qr_conn_close(c);
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

    qr_conn_count_pending(c, 0);
    qr_conn_process_input(c);
    if (c->closing)
        return;

    if ((c->lingering ||
         (c->exchange.state == QR_EXCHANGE_NONE && !c->request_begun)) &&
        conn_is_sending(c, now))
        return;
    elapsed_ms = now - MIN(now, c->since_ms);
    if (c->lingering) {
        if (elapsed_ms > LINGER_MS)
            qr_conn_close(c);
        return;
    }
    if (c->exchange.state != QR_EXCHANGE_NONE)
        return;
    if (!c->request_begun) {
        /* a limit lowered since then may be unknown to the caller */
        if (elapsed_ms > MAX(c->idle_limit_ms, l->idle_timeout_ms))
            qr_conn_close(c);
        return;
    }
    if (!c->message.head_done && elapsed_ms > l->head_timeout_ms)
        qr_conn_refuse(c, 408, "too slow");
    else if (elapsed_ms > l->head_timeout_ms + l->idle_timeout_ms)
        qr_conn_refuse(c, 408, "too slow");
}

void qr_server_tick(QRServer *s, uint64_t now_ms)
{
    qr_server_relieve(s);
    for (unsigned i = s->conns->len; i > 0; i--) {
        if (i <= s->conns->len) /* others may have yielded */
            conn_tick(s->conns->pdata[i - 1], now_ms);
    }
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
        qr_conn_close(c);
    }
    s->closing = true;
    if (s->listener_closed)
        server_free(s);
    else if (!uv_is_closing((uv_handle_t *)&s->tcp))
        uv_close((uv_handle_t *)&s->tcp, on_listener_closed);
}
