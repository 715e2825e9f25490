/*
 * HTTP/1.1 client on a libuv loop: kept connections, one request at a time on
 * each, answers matched to their request by an id header.
 */
#include "qr_client_parts.h"
#include "qr_socket.h"

#include <stdlib.h>
#include <string.h>

#define REST_MS 4000       /* a connection is kept so long unused */
#define REST_MARGIN_MS 300 /* closed so long before the peer would */
#define SILENT_MS 3000     /* unacknowledged bytes break a connection */
#define SURPLUS_MAX 4      /* answers to earlier requests, passed over */
static void link_freed(uv_handle_t *h)
{
    QRLink *l = h->data;

    qr_message_clear(&l->message);
    g_free(l->address);
    g_free(l);
}

void qr_link_close(QRLink *l)
{
    if (l->closing)
        return;
    l->closing = true;
    g_ptr_array_remove_fast(l->client->links, l);
    uv_close((uv_handle_t *)&l->tcp, link_freed);
}

/* As qr_link_close(); bytes that were not sent or taken yet are dropped. */
static void link_reset(QRLink *l)
{
    if (l->closing)
        return;
    l->closing = true;
    g_ptr_array_remove_fast(l->client->links, l);
    if (uv_tcp_close_reset(&l->tcp, link_freed) != 0)
        uv_close((uv_handle_t *)&l->tcp, link_freed);
}

static void call_free(QRClientCall *call)
{
    g_byte_array_unref(call->request);
    g_free(call->id);
    g_free(call);
}

static void call_fail(QRClientCall *call, QRCallFault fault, const char *why)
{
    call->handlers->failed(call->owner, call, fault, why);
    call_free(call);
}

static void link_reached(QRLink *l, QRClientReached reached)
{
    QRClientReachedDone done = l->reached;

    l->reached = NULL;
    if (done)
        done(l->reached_owner, l->address, reached);
}

/* The connection is of no more use; so is the request that it carries. */
static void link_break(QRLink *l, QRCallFault fault, const char *why)
{
    QRClientCall *call = l->call;

    l->call = NULL;
    if (call)
        link_reset(l); /* a request on its way must not run any more */
    else
        qr_link_close(l);
    link_reached(l, QR_CLIENT_SILENT);
    if (call)
        call_fail(call, fault, why);
}

static bool message_head(QRMessage *m, void *owner)
{
    QRLink *l = owner;
    QRClientCall *call = l->call;
    unsigned status = m->parser.status_code;
    const char *id;

    if (status < 200 || !call)
        return false;
    if (call->id) {
        id = qr_headers_get(&m->headers, l->client->id_name);
        if (!id) {
            link_break(l, QR_CALL_FAULT_GARBLED, "answer without an id");
            return false;
        }
        l->skipping = strcmp(id, call->id) != 0;
    }
    if (!l->skipping) {
        call->answered = true;
        call->handlers->head(call->owner, call, status, &m->headers);
    }
    /* the handler may have cancelled the call */
    return call == l->call && call->head_only;
}

static void message_body(QRMessage *m, void *owner, const char *data,
                         size_t len)
{
    QRLink *l = owner;

    (void)m;
    if (l->call && !l->skipping)
        l->call->handlers->body(l->call->owner, l->call, data, len);
}

static void link_rest(QRLink *l)
{
    const QRMessage *m = &l->message;
    const char *keep = qr_headers_get(&m->headers, "Keep-Alive");
    const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
    uint64_t now = qr_clock_ms(l->client->loop);
    long ms = REST_MS;

    if (timeout)
        ms = MIN(ms, atol(timeout + 8) * 1000 - REST_MARGIN_MS);
    l->since_ms = now;
    l->rest_until_ms = now + (uint64_t)MAX(ms, 0);
}

/* An answer is whole: the call's, or one that was passed over. */
static void message_end(QRMessage *m, void *owner)
{
    QRLink *l = owner;
    QRClientCall *call = l->call;
    bool keep = qr_message_keeps_open(m);

    if (l->closing)
        return;
    if (m->parser.status_code < 200) {
        qr_message_next(m);
        return;
    }
    if (l->skipping) {
        l->skipping = false;
        l->surplus++;
        qr_message_next(m);
        if (!keep || l->surplus > SURPLUS_MAX)
            link_break(l, QR_CALL_FAULT_BROKEN, "answer of another request");
        return;
    }
    /* answered before all of the request was sent: the rest would be read as
       the next request */
    if (uv_stream_get_write_queue_size((uv_stream_t *)&l->tcp) > 0)
        keep = false;
    l->call = NULL;
    if (keep) {
        link_rest(l);
        qr_message_next(m);
    } else {
        qr_link_close(l);
    }
    if (call) {
        call->handlers->end(call->owner, call);
        call_free(call);
    }
}

static const QRMessageHandlers message_handlers = {message_head, message_body,
                                                   message_end};

static void link_end_of_file(QRLink *l)
{
    QRClientCall *call = l->call;

    /* an answer without a length ends here, if it was not a reset */
    if (call && call->answered && qr_socket_closed_by_peer(&l->tcp) &&
        l->message.head_done && qr_message_end_of_file(&l->message))
        return;
    if (!l->closing)
        link_break(l, QR_CALL_FAULT_BROKEN, "connection closed");
}

static void link_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    QRLink *l = stream->data;
    size_t used = 0;

    if (l->closing || n == 0)
        return;
    if (n > 0)
        qr_link_heard(l);
    if (n == UV_ETIMEDOUT)
        qr_link_gave_nothing(l);
    l->reading = true;
    if (n == UV_EOF) {
        link_end_of_file(l);
        return;
    }
    if (n < 0) {
        link_break(l, QR_CALL_FAULT_BROKEN, uv_strerror((int)n));
        return;
    }
    /* giving up bytes that still come, to ask for them again, only fills the
       link that they are late on */
    if (l->call && l->call->due_ms && l->call->pause_ms)
        l->call->due_ms = MAX(l->call->due_ms,
                              qr_clock_ms(l->client->loop) + l->call->pause_ms);
    while (!l->closing && used < (size_t)n) {
        if (!l->call) { /* nothing was asked */
            link_break(l, QR_CALL_FAULT_GARBLED, "surplus bytes");
            return;
        }
        used +=
            qr_message_read(&l->message, buf->base + used, (size_t)n - used);
        if (!l->closing && l->message.fault != QR_MESSAGE_OK)
            link_break(l, QR_CALL_FAULT_GARBLED, "no answer of HTTP");
    }
    l->reading = false;
}

static int link_send(QRLink *l)
{
    GByteArray *data = l->call->request;

    qr_link_sends(l);
    return qr_socket_write(&l->tcp, data->data, data->len);
}

static void link_opened(uv_connect_t *req, int status)
{
    QRLink *l = req->data;

    if (l->closing)
        return;
    if (status != 0) {
        if (status == UV_ECONNREFUSED)
            link_reached(l, QR_CLIENT_REFUSED);
        link_break(l, QR_CALL_FAULT_UNSENT, uv_strerror(status));
        return;
    }
    l->open = true;
    l->opened_ms = qr_clock_ms(l->client->loop);
    qr_socket_tune(&l->tcp, SILENT_MS);
    uv_read_start((uv_stream_t *)&l->tcp, qr_socket_buffer, link_read);
    if (l->call && link_send(l) < 0) {
        link_break(l, QR_CALL_FAULT_UNSENT, "connection closed at once");
    } else if (l->reached) {
        l->since_ms = l->opened_ms;
        l->rest_until_ms = l->since_ms + REST_MS;
        link_reached(l, QR_CLIENT_OPEN);
    }
}

static QRLink *link_new(QRClient *c, const char *address, uint32_t connect_ms)
{
    QRLink *l = g_new0(QRLink, 1);

    l->client = c;
    l->address = g_strdup(address);
    l->tcp.data = l;
    l->connect.data = l;
    l->since_ms = qr_clock_ms(c->loop);
    l->connect_due_ms = l->since_ms + connect_ms;
    qr_message_init(&l->message, HTTP_RESPONSE, &message_handlers, l);
    uv_tcp_init(c->loop, &l->tcp);
    g_ptr_array_add(c->links, l);
    c->opened++;
    return l;
}

/* The connection to 'address' that rested least, for the least stale one. */
static QRLink *link_resting(QRClient *c, const char *address)
{
    uint64_t now = qr_clock_ms(c->loop);
    QRLink *best = NULL;

    for (unsigned i = 0; i < c->links->len; i++) {
        QRLink *l = c->links->pdata[i];

        if (!l->open || l->call || l->reading || now >= l->rest_until_ms ||
            strcmp(l->address, address) != 0)
            continue;
        if (!best || l->since_ms > best->since_ms)
            best = l;
    }
    return best;
}

static void link_connect(QRLink *l)
{
    struct sockaddr_in at;
    int rc = UV_EINVAL;

    if (qr_socket_address(l->address, &at))
        rc = uv_tcp_connect(&l->connect, &l->tcp, (const struct sockaddr *)&at,
                            link_opened);
    if (rc != 0)
        l->connect_due_ms = 0; /* found by the next tick */
}

void qr_client_reach(QRClient *c, const char *address, uint32_t connect_ms,
                     QRClientReachedDone done, void *owner)
{
    QRLink *l = link_new(c, address, connect_ms);

    l->reached = done;
    l->reached_owner = owner;
    link_connect(l);
}

static void call_start(QRClientCall *call, const char *address,
                       uint32_t connect_ms, bool fresh)
{
    QRClient *c = call->client;
    QRLink *l;

    while (!fresh && (l = link_resting(c, address))) {
        call->link = l;
        l->call = call;
        l->surplus = 0;
        if (link_send(l) >= 0)
            return;
        l->call = NULL; /* it was dead, and took no byte */
        qr_link_close(l);
    }
    l = link_new(c, address, connect_ms);
    call->link = l;
    l->call = call;
    link_connect(l);
}

QRClient *qr_client_new(uv_loop_t *loop, const char *id_name)
{
    QRClient *c = g_new0(QRClient, 1);

    c->loop = loop;
    c->id_name = g_strdup(id_name);
    c->links = g_ptr_array_new();
    return c;
}

void qr_client_close(QRClient *c)
{
    while (c->links->len > 0) {
        QRLink *l = c->links->pdata[0];

        if (l->call)
            call_free(l->call);
        l->call = NULL;
        qr_link_close(l);
    }
    g_ptr_array_unref(c->links);
    g_free(c->id_name);
    g_free(c->mute_address);
    g_free(c);
}

QRClientCall *qr_client_send(QRClient *c, const QRClientRequest *request,
                             const QRClientHandlers *handlers, void *owner)
{
    QRClientCall *call = g_new0(QRClientCall, 1);

    call->client = c;
    call->handlers = handlers;
    call->owner = owner;
    call->request = g_byte_array_sized_new((guint)request->len);
    g_byte_array_append(call->request, request->data, (guint)request->len);
    call->id = g_strdup(request->id);
    call->head_only = request->head_only;
    call->pause_ms = request->pause_ms;
    if (request->timeout_ms)
        call->due_ms = qr_clock_ms(c->loop) + request->timeout_ms;
    call_start(call, request->address, request->connect_ms, request->fresh);
    return call;
}

void qr_client_doubt(QRClientCall *call)
{
    qr_link_gave_nothing(call->link);
}

void qr_client_cancel(QRClientCall *call)
{
    QRLink *l = call->link;

    l->call = NULL;
    link_reset(l);
    call_free(call);
}

static void link_tick(QRLink *l, uint64_t now)
{
    qr_link_check_unacked(l, now);
    if (!l->open && now >= l->connect_due_ms)
        link_break(l, QR_CALL_FAULT_UNSENT, "no connection in time");
    else if (l->call && l->call->due_ms && now >= l->call->due_ms) {
        qr_link_gave_nothing(l);
        link_break(l, QR_CALL_FAULT_TIMEOUT, "no answer in time");
    } else if (l->open && !l->call && now >= l->rest_until_ms)
        qr_link_close(l);
}

void qr_client_tick(QRClient *c, uint64_t now_ms)
{
    g_autoptr(GPtrArray) all = g_ptr_array_new();

    qr_client_check_quiet(c, now_ms);
    /* a handler may close or open connections */
    for (unsigned i = 0; i < c->links->len; i++)
        g_ptr_array_add(all, c->links->pdata[i]);
    for (unsigned i = 0; i < all->len; i++) {
        QRLink *l = all->pdata[i];

        if (!l->closing)
            link_tick(l, now_ms);
    }
}

void qr_client_forget(QRClient *c, const char *address)
{
    for (unsigned i = c->links->len; i > 0; i--) {
        QRLink *l = c->links->pdata[i - 1];

        if (!l->call && strcmp(l->address, address) == 0)
            qr_link_close(l);
    }
}

uint64_t qr_client_now(const QRClient *c)
{
    return qr_clock_ms(c->loop);
}

uint64_t qr_client_opened(const QRClient *c)
{
    return c->opened;
}

uint64_t qr_client_mute(const QRClient *c)
{
    return c->mute;
}
