/*
 * HTTP/1.1 client on a libuv loop. Connections are kept open and reused, each
 * carries one request at a time, and an id header matches answer to request.
 */
#include "qr_client_parts.h"
#include "qr_socket.h"

#include <stdlib.h>
#include <string.h>

#define IDLE_MS 4000       /* how long an idle connection is kept */
#define IDLE_MARGIN_MS 300 /* closed this long before the peer closes it */
/* TCP user timeout: unacknowledged bytes break the connection. */
#define UNACKED_TIMEOUT_MS 3000

#define CONFIRM_CONNECT_MS 700 /* for a peer to accept the connection */
/* The kernel of a process that ends closes its connections one by one: one that
   comes meanwhile is accepted, and then reset. */
#define CONFIRM_HOLD_MS 5
#define NOT_LISTENING "connection closed, and the peer no longer listens"

/* Answers to earlier requests that are ignored. */
#define SKIPPED_ANSWERS_MAX 4
/* Bytes that may arrive before the answer to a request begins: interim answers,
   answers to earlier requests, and its own head. */
#define UNANSWERED_MAX_BYTES (256u << 10)
/* Least bytes that prolong a time limit, as a connection at 16 kbit/s receives
   in 2 s: a peer that trickles must not hold a request for good. */
#define PROGRESS_MIN_BYTES (4u << 10)

static void link_free(uv_handle_t *h)
{
    QRLink *l = h->data;

    qr_message_clear(&l->message);
    g_free(l->address);
    g_free(l);
}

/* Separates a link that closes from its probe, or from the link that waits for
   it; that one fails with the next tick. */
static void link_end_confirmation(QRLink *l)
{
    if (l->confirmed_by) {
        l->confirmed_by->confirms = NULL;
        l->confirmed_by->probe_done = NULL;
    }
    if (l->confirms) {
        l->confirms->confirmed_by = NULL;
        l->confirms->unconfirmed = true;
        l->probe_done = NULL;
    }
    l->confirmed_by = l->confirms = NULL;
}

void qr_link_close(QRLink *l)
{
    if (l->closing)
        return;
    link_end_confirmation(l);
    l->closing = true;
    g_ptr_array_remove_fast(l->client->links, l);
    uv_close((uv_handle_t *)&l->tcp, link_free);
}

/* As qr_link_close(), but with a TCP reset, which drops unsent bytes. */
static void link_reset(QRLink *l)
{
    if (l->closing)
        return;
    link_end_confirmation(l);
    l->closing = true;
    g_ptr_array_remove_fast(l->client->links, l);
    if (uv_tcp_close_reset(&l->tcp, link_free) != 0)
        uv_close((uv_handle_t *)&l->tcp, link_free);
}

static void call_free(QRClientCall *call)
{
    g_byte_array_unref(call->request);
    g_clear_pointer(&call->body, qr_body_unref);
    g_free(call->id);
    g_free(call);
}

static void call_fail(QRClientCall *call, QRCallFault fault, const char *why)
{
    call->handlers->failed(call->owner, call, fault, why);
    call_free(call);
}

static void link_finish_probe(QRLink *l, QRClientProbeResult result)
{
    QRClientProbeDone done = l->probe_done;

    l->probe_done = NULL;
    if (done)
        done(l->probe_owner, l->address, result);
}

/* Closes the connection and fails the request that it carries, if any. */
static void link_break(QRLink *l, QRCallFault fault, const char *why)
{
    QRClientCall *call = l->call;

    l->call = NULL;
    if (call)
        link_reset(l); /* the reset keeps a request in transit from running */
    else
        qr_link_close(l);
    link_finish_probe(l, QR_CLIENT_PROBE_NO_REPLY);
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
            link_break(l, QR_CALL_FAULT_GARBLED, "answer has no id header");
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

static void link_set_idle(QRLink *l)
{
    const QRMessage *m = &l->message;
    const char *keep = qr_headers_get(&m->headers, "Keep-Alive");
    const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
    uint64_t now = qr_clock_ms(l->client->loop);
    long ms = IDLE_MS;

    if (timeout)
        ms = MIN(ms, atol(timeout + 8) * 1000 - IDLE_MARGIN_MS);
    l->idle_since_ms = now;
    l->idle_until_ms = now + (uint64_t)MAX(ms, 0);
}

/* An answer is complete: that of the call, or one that is skipped. */
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
        l->skipped++;
        qr_message_next(m);
        if (!keep || l->skipped > SKIPPED_ANSWERS_MAX)
            link_break(l, QR_CALL_FAULT_BROKEN, "answer to another request");
        return;
    }
    /* the peer answered before the whole request was sent: it would parse the
       unsent part as the next request */
    if (uv_stream_get_write_queue_size((uv_stream_t *)&l->tcp) > 0)
        keep = false;
    l->call = NULL;
    if (keep) {
        link_set_idle(l);
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

static void confirm_end(QRLink *l);

static void link_end_of_file(QRLink *l)
{
    QRClientCall *call = l->call;

    /* without a Content-Length, an orderly close ends the answer */
    if (call && call->answered && !l->write_error &&
        qr_socket_closed_by_peer(&l->tcp) && l->message.head_done) {
        if (!qr_message_ends_with_connection(&l->message)) {
            link_break(l, QR_CALL_FAULT_BROKEN, "connection closed");
        } else if (call->handlers->confirms_end &&
                   call->handlers->confirms_end(call->owner, call)) {
            confirm_end(l);
        } else {
            qr_message_end_of_file(&l->message);
        }
        return;
    }
    link_break(l, QR_CALL_FAULT_BROKEN,
               l->write_error ? uv_strerror(l->write_error)
                              : "connection closed");
}

/* Moves the time limit of a request that makes progress: a timeout and a retry
   would only add load to the slow network link. The first bytes count, too. */
static void call_note_progress(QRClientCall *call, size_t n, uint64_t now_ms)
{
    if (!call->due_ms || !call->pause_ms)
        return;
    call->progress_bytes += n;
    if (call->prolonged && call->progress_bytes < PROGRESS_MIN_BYTES)
        return;
    call->due_ms = MAX(call->due_ms, now_ms + call->pause_ms);
    call->prolonged = true;
    call->progress_bytes = 0;
}

static void link_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    QRLink *l = stream->data;
    size_t used = 0;

    if (l->closing || n == 0)
        return;
    if (n > 0)
        qr_link_note_received(l);
    if (n == UV_ETIMEDOUT)
        qr_link_note_silence(l);
    l->reading = true;
    if (n == UV_EOF) {
        link_end_of_file(l);
        return;
    }
    if (n < 0) {
        link_break(l, QR_CALL_FAULT_BROKEN, uv_strerror((int)n));
        return;
    }
    if (l->call)
        call_note_progress(l->call, (size_t)n, qr_clock_ms(l->client->loop));
    while (!l->closing && used < (size_t)n) {
        if (!l->call) { /* no request in flight */
            link_break(l, QR_CALL_FAULT_GARBLED,
                       "bytes received without a request");
            return;
        }
        used +=
            qr_message_read(&l->message, buf->base + used, (size_t)n - used);
        if (!l->closing && l->message.fault != QR_MESSAGE_OK)
            link_break(l, QR_CALL_FAULT_GARBLED, "answer is not valid HTTP");
    }
    if (l->closing)
        return;
    l->unanswered_bytes += (size_t)n;
    if (!l->call || l->call->answered)
        l->unanswered_bytes = 0;
    else if (l->unanswered_bytes > UNANSWERED_MAX_BYTES) {
        link_break(l, QR_CALL_FAULT_GARBLED,
                   "too many bytes before the answer");
        return;
    }
    l->reading = false;
}

static int link_send(QRLink *l)
{
    GByteArray *data = l->call->request;

    qr_link_note_send(l);
    if (l->call->probe_peer)
        qr_socket_keep_alive(&l->tcp);
    return qr_socket_write_request(&l->tcp, data->data, data->len,
                                   l->call->body, &l->write_error);
}

static void link_opened(uv_connect_t *req, int status)
{
    QRLink *l = req->data;

    if (l->closing)
        return;
    if (status != 0) {
        if (status == UV_ECONNREFUSED)
            link_finish_probe(l, QR_CLIENT_PROBE_REFUSED);
        link_break(l, QR_CALL_FAULT_UNSENT, uv_strerror(status));
        return;
    }
    l->open = true;
    l->opened_ms = qr_clock_ms(l->client->loop);
    qr_socket_tune(&l->tcp, UNACKED_TIMEOUT_MS);
    uv_read_start((uv_stream_t *)&l->tcp, qr_socket_buffer, link_read);
    if (l->call && l->call->send_by_ms && l->opened_ms >= l->call->send_by_ms) {
        link_break(l, QR_CALL_FAULT_UNSENT, "too late to send");
    } else if (l->call && link_send(l) < 0) {
        link_break(l, QR_CALL_FAULT_UNSENT, "write failed right after connect");
    } else if (l->probe_done) {
        l->idle_since_ms = l->opened_ms;
        l->idle_until_ms = l->idle_since_ms + IDLE_MS;
        if (l->probe_hold_ms == 0)
            link_finish_probe(l, QR_CLIENT_PROBE_OPEN);
    }
}

static QRLink *link_new(QRClient *c, const char *address, uint32_t connect_ms)
{
    QRLink *l = g_new0(QRLink, 1);

    l->client = c;
    l->address = g_strdup(address);
    l->tcp.data = l;
    l->connect.data = l;
    l->idle_since_ms = qr_clock_ms(c->loop);
    l->connect_due_ms = l->idle_since_ms + connect_ms;
    qr_message_init(&l->message, HTTP_RESPONSE, &message_handlers, l);
    uv_tcp_init(c->loop, &l->tcp);
    g_ptr_array_add(c->links, l);
    c->opened++;
    return l;
}

/* Returns the idle connection to 'address' that was used last, or NULL: the
   peer is least likely to have closed that one. */
static QRLink *link_find_idle(QRClient *c, const char *address)
{
    uint64_t now = qr_clock_ms(c->loop);
    QRLink *best = NULL;

    for (unsigned i = 0; i < c->links->len; i++) {
        QRLink *l = c->links->pdata[i];

        if (!l->open || l->call || l->probe_done || l->reading ||
            now >= l->idle_until_ms || strcmp(l->address, address) != 0)
            continue;
        if (!best || l->idle_since_ms > best->idle_since_ms)
            best = l;
    }
    return best;
}

static void link_connect(QRLink *l)
{
    struct sockaddr_in addr;
    int rc = UV_EINVAL;

    if (qr_socket_address(l->address, &addr))
        rc = uv_tcp_connect(&l->connect, &l->tcp,
                            (const struct sockaddr *)&addr, link_opened);
    if (rc != 0)
        l->connect_due_ms = 0; /* the next tick fails the request */
}

void qr_client_probe(QRClient *c, const char *address, uint32_t connect_ms,
                     QRClientProbeDone done, void *owner)
{
    QRLink *l = link_new(c, address, connect_ms);

    l->probe_done = done;
    l->probe_owner = owner;
    link_connect(l);
}

static void end_confirmed(void *owner, const char *address,
                          QRClientProbeResult result)
{
    QRLink *l = owner;

    (void)address;
    l->confirmed_by->confirms = NULL;
    l->confirmed_by = NULL;
    if (result == QR_CLIENT_PROBE_OPEN)
        qr_message_end_of_file(&l->message);
    else
        l->unconfirmed = true;
}

/* The answer ends once the peer accepts another connection, which is kept for
   the next request. */
static void confirm_end(QRLink *l)
{
    QRLink *probe = link_new(l->client, l->address, CONFIRM_CONNECT_MS);

    uv_read_stop((uv_stream_t *)&l->tcp);
    l->confirmed_by = probe;
    probe->confirms = l;
    probe->probe_hold_ms = CONFIRM_HOLD_MS;
    probe->probe_done = end_confirmed;
    probe->probe_owner = l;
    link_connect(probe);
}

static void call_start(QRClientCall *call, const char *address,
                       uint32_t connect_ms, bool fresh)
{
    QRClient *c = call->client;
    QRLink *l;

    while (!fresh && (l = link_find_idle(c, address))) {
        call->link = l;
        l->call = call;
        l->skipped = 0;
        if (link_send(l) >= 0)
            return;
        l->call = NULL; /* the write failed: no byte was sent */
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
    g_free(c->unresponsive_address);
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
    if (request->body)
        call->body = qr_body_ref(request->body);
    call->id = g_strdup(request->id);
    call->head_only = request->head_only;
    call->probe_peer = request->probe_peer;
    call->pause_ms = request->pause_ms;
    if (request->send_within_ms)
        call->send_by_ms = qr_clock_ms(c->loop) + request->send_within_ms;
    if (request->timeout_ms)
        call->due_ms = qr_clock_ms(c->loop) + request->timeout_ms;
    call_start(call, request->address, request->connect_ms,
               request->new_connection);
    return call;
}

void qr_client_note_silence(QRClientCall *call)
{
    qr_link_note_silence(call->link);
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
    if (l->open && l->probe_done && now >= l->opened_ms + l->probe_hold_ms)
        link_finish_probe(l, QR_CLIENT_PROBE_OPEN);
    if (l->unconfirmed)
        link_break(l, QR_CALL_FAULT_BROKEN, NOT_LISTENING);
    else if (!l->open && now >= l->connect_due_ms)
        link_break(l, QR_CALL_FAULT_UNSENT, "connect timed out");
    else if (l->call && l->call->due_ms && now >= l->call->due_ms) {
        qr_link_note_silence(l);
        link_break(l, QR_CALL_FAULT_TIMEOUT, "answer timed out");
    } else if (l->open && !l->call && now >= l->idle_until_ms)
        qr_link_close(l);
}

void qr_client_tick(QRClient *c, uint64_t now_ms)
{
    g_autoptr(GPtrArray) all = g_ptr_array_new();

    qr_client_check_quiet(c, now_ms);
    /* iterates over a copy: a handler may close or open connections */
    for (unsigned i = 0; i < c->links->len; i++)
        g_ptr_array_add(all, c->links->pdata[i]);
    for (unsigned i = 0; i < all->len; i++) {
        QRLink *l = all->pdata[i];

        if (!l->closing)
            link_tick(l, now_ms);
    }
}

void qr_client_close_idle(QRClient *c, const char *address)
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

uint64_t qr_client_connections_opened(const QRClient *c)
{
    return c->opened;
}

uint64_t qr_client_unresponsive_requests(const QRClient *c)
{
    return c->unresponsive;
}
