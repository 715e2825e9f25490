/*
 * HTTP/1.1 client on a libuv loop: kept connections, one request at a time on
 * each, answers matched to their request by an id header.
 */
#include "qr_client.h"
#include "qr_socket.h"

#include "io/qr_log.h"

#include <stdlib.h>
#include <string.h>

#define REST_MS 4000       /* a connection is kept so long unused */
#define REST_MARGIN_MS 300 /* closed so long before the peer would */
#define SILENT_MS 3000     /* unacknowledged bytes break a connection */
#define SURPLUS_MAX 4      /* answers to earlier requests, passed over */
/* A request on a kept connection of which the peer has acknowledged nothing
   more for so long: sent once more by the kernel after 200 ms, it would have
   arrived but for two losses in a row. Well before the time-outs of calls. */
#define UNACKED_MS 250
#define UNACKED_LOOK_MS 100 /* the first look, and between two */
/* Answers under way on several connections pause for so long all at once: more
   than the pauses that streams are allowed, and each engine makes its own. */
#define ALL_QUIET_MS 450
#define ALL_QUIET_LEAST 3 /* answers that had begun, not all of one address */
/* Two addresses whose connections go silent within so long, a stalled call
   apart: it is none of the addresses, and those to others are suspect too. */
#define SPREAD_MS 2000
/* Between two ticks, which come every 20 ms: this process stood still, and what
   came meanwhile is read after the first tick. */
#define STOOD_STILL_MS 150
#define AWAKE_MS 60

typedef struct Link Link;

struct QRClientCall {
    QRClient *client;
    Link *link;
    const QRClientHandlers *handlers;
    void *owner;
    GByteArray *request;
    char *id;
    bool head_only, answered;
    bool mute;        /* its connection has gone silent */
    uint64_t sent_ms; /* when the connection got the request; 0: not yet */
    uint64_t due_ms;  /* 0: none */
    uint32_t pause_ms;
};

/* A connection. */
struct Link {
    uv_tcp_t tcp;
    uv_connect_t connect;
    QRClient *client;
    char *address;
    QRMessage message;
    QRClientCall *call; /* under way, or NULL */
    uint64_t since_ms, connect_due_ms, rest_until_ms;
    uint64_t opened_ms;
    uint64_t heard_ms;            /* when bytes came last; 0: none yet */
    size_t unacked;               /* bytes of the request, at the last look */
    uint64_t unacked_ms, look_ms; /* since when so many; when to look next */
    unsigned surplus;             /* answers passed over for this request */
    bool open, closing, skipping;
    bool reading; /* bytes of the last read are still being looked at */
};

struct QRClient {
    uv_loop_t *loop;
    char *id_name;
    GPtrArray *links;           /* Link * */
    uint64_t opened, mute;      /* connections so far; requests on dead ones */
    uint64_t tick_ms, awake_ms; /* last tick; since when they come in time */
    uint64_t mute_ms;           /* when a connection was found dead last */
    char *mute_address;         /* of that one */
};

static void link_freed(uv_handle_t *h)
{
    Link *l = h->data;

    qr_message_clear(&l->message);
    g_free(l->address);
    g_free(l);
}

static void link_close(Link *l)
{
    if (l->closing)
        return;
    l->closing = true;
    g_ptr_array_remove_fast(l->client->links, l);
    uv_close((uv_handle_t *)&l->tcp, link_freed);
}

/* As link_close(); bytes that were not sent or taken yet are dropped. */
static void link_reset(Link *l)
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

/*
 * Closes connections that rest, to 'address' or to all if that is NULL, and
 * were not heard after 'since_ms'.
 */
static void close_resting(QRClient *c, const char *address, uint64_t since_ms)
{
    uint64_t now = uv_now(c->loop);
    unsigned closed = 0;

    for (unsigned i = c->links->len; i > 0; i--) {
        Link *l = c->links->pdata[i - 1];

        if (!l->open || l->call || l->reading || l->heard_ms > since_ms ||
            (address && strcmp(address, l->address) != 0))
            continue;
        link_close(l);
        closed++;
    }
    qr_logf(QR_LEVEL_WARN, "connections",
            "mute address=%s quiet_ms=%" G_GUINT64_FORMAT " resting_closed=%u",
            address ? address : "all", now - MIN(since_ms, now), closed);
}

/*
 * A connection that had worked says nothing more. What broke it may have broken
 * the others that were open then: those that rest, and were not heard since,
 * are closed, so that no request is handed to one of them and waits for its own
 * time-out. Costs a new connection each where they were good. Where losses
 * alone might have done it ('unsure') only those to the same address are, until
 * a second address is found so.
 */
static void distrust_resting(QRClient *c, const Link *mute, bool unsure)
{
    uint64_t now = uv_now(c->loop);
    bool spread = c->mute_address && now < c->mute_ms + SPREAD_MS &&
                  strcmp(c->mute_address, mute->address) != 0;

    if (now < c->awake_ms + AWAKE_MS)
        return;
    mute->call->mute = true;
    c->mute++;
    close_resting(c, unsure && !spread ? mute->address : NULL,
                  MAX(mute->heard_ms, mute->call->sent_ms));
    c->mute_ms = now;
    g_free(c->mute_address);
    c->mute_address = g_strdup(mute->address);
}

/* Whether the connection had worked, and has said nothing to the request, or
   since what it said to it last. */
static bool had_worked(const Link *l)
{
    return l->heard_ms > 0 && l->call && !l->call->mute;
}

/* The connection is of no more use; so is the request that it carries. */
static void link_break(Link *l, QRCallFault fault, const char *why)
{
    QRClientCall *call = l->call;

    l->call = NULL;
    if (call)
        link_reset(l); /* a request on its way must not run any more */
    else
        link_close(l);
    if (call)
        call_fail(call, fault, why);
}

static bool message_head(QRMessage *m, void *owner)
{
    Link *l = owner;
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
    Link *l = owner;

    (void)m;
    if (l->call && !l->skipping)
        l->call->handlers->body(l->call->owner, l->call, data, len);
}

static void link_rest(Link *l)
{
    const QRMessage *m = &l->message;
    const char *keep = qr_headers_get(&m->headers, "Keep-Alive");
    const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
    uint64_t now = uv_now(l->client->loop);
    long ms = REST_MS;

    if (timeout)
        ms = MIN(ms, atol(timeout + 8) * 1000 - REST_MARGIN_MS);
    l->since_ms = now;
    l->rest_until_ms = now + (uint64_t)MAX(ms, 0);
}

/* An answer is whole: the call's, or one that was passed over. */
static void message_end(QRMessage *m, void *owner)
{
    Link *l = owner;
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
        link_close(l);
    }
    if (call) {
        call->handlers->end(call->owner, call);
        call_free(call);
    }
}

static const QRMessageHandlers message_handlers = {message_head, message_body,
                                                   message_end};

static void link_end_of_file(Link *l)
{
    QRClientCall *call = l->call;

    /* an answer without a length ends here, if it was not a reset */
    if (call && call->answered && qr_socket_ended(&l->tcp) &&
        l->message.head_done && qr_message_end_of_file(&l->message))
        return;
    if (!l->closing)
        link_break(l, QR_CALL_FAULT_BROKEN, "connection closed");
}

/* If it was taken for dead, that was wrong. */
static void link_heard(Link *l)
{
    l->heard_ms = uv_now(l->client->loop);
    if (l->call)
        l->call->mute = false;
}

static void link_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    Link *l = stream->data;
    size_t used = 0;

    if (l->closing || n == 0)
        return;
    if (n > 0)
        link_heard(l);
    if (n == UV_ETIMEDOUT && had_worked(l))
        distrust_resting(l->client, l, false);
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
        l->call->due_ms =
            MAX(l->call->due_ms, uv_now(l->client->loop) + l->call->pause_ms);
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

static int link_send(Link *l)
{
    GByteArray *data = l->call->request;

    l->call->sent_ms = uv_now(l->client->loop);
    l->unacked = 0;
    l->look_ms = l->call->sent_ms + UNACKED_LOOK_MS;
    return qr_socket_write(&l->tcp, data->data, data->len);
}

static void link_opened(uv_connect_t *req, int status)
{
    Link *l = req->data;

    if (l->closing)
        return;
    if (status != 0) {
        link_break(l, QR_CALL_FAULT_UNSENT, uv_strerror(status));
        return;
    }
    l->open = true;
    l->opened_ms = uv_now(l->client->loop);
    qr_socket_tune(&l->tcp, SILENT_MS);
    uv_read_start((uv_stream_t *)&l->tcp, qr_socket_buffer, link_read);
    if (l->call && link_send(l) < 0)
        link_break(l, QR_CALL_FAULT_UNSENT, "connection closed at once");
}

static Link *link_new(QRClient *c, const char *address, uint32_t connect_ms)
{
    Link *l = g_new0(Link, 1);

    l->client = c;
    l->address = g_strdup(address);
    l->tcp.data = l;
    l->connect.data = l;
    l->since_ms = uv_now(c->loop);
    l->connect_due_ms = l->since_ms + connect_ms;
    qr_message_init(&l->message, HTTP_RESPONSE, &message_handlers, l);
    uv_tcp_init(c->loop, &l->tcp);
    g_ptr_array_add(c->links, l);
    c->opened++;
    return l;
}

/* The connection to 'address' that rested least, for the least stale one. */
static Link *link_resting(QRClient *c, const char *address)
{
    uint64_t now = uv_now(c->loop);
    Link *best = NULL;

    for (unsigned i = 0; i < c->links->len; i++) {
        Link *l = c->links->pdata[i];

        if (!l->open || l->call || l->reading || now >= l->rest_until_ms ||
            strcmp(l->address, address) != 0)
            continue;
        if (!best || l->since_ms > best->since_ms)
            best = l;
    }
    return best;
}

static void call_start(QRClientCall *call, const char *address,
                       uint32_t connect_ms, bool fresh)
{
    QRClient *c = call->client;
    Link *l;
    struct sockaddr_in at;
    int rc = UV_EINVAL;

    while (!fresh && (l = link_resting(c, address))) {
        call->link = l;
        l->call = call;
        l->surplus = 0;
        if (link_send(l) >= 0)
            return;
        l->call = NULL; /* it was dead, and took no byte */
        link_close(l);
    }
    l = link_new(c, address, connect_ms);
    call->link = l;
    l->call = call;
    if (qr_socket_address(address, &at))
        rc = uv_tcp_connect(&l->connect, &l->tcp, (const struct sockaddr *)&at,
                            link_opened);
    if (rc != 0)
        l->connect_due_ms = 0; /* found by the next tick */
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
        Link *l = c->links->pdata[0];

        if (l->call)
            call_free(l->call);
        l->call = NULL;
        link_close(l);
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
        call->due_ms = uv_now(c->loop) + request->timeout_ms;
    call_start(call, request->address, request->connect_ms, request->fresh);
    return call;
}

void qr_client_abandon(QRClientCall *call)
{
    if (had_worked(call->link))
        distrust_resting(call->client, call->link, false);
    qr_client_cancel(call);
}

bool qr_client_is_mute(const QRClientCall *call)
{
    return call->mute;
}

void qr_client_cancel(QRClientCall *call)
{
    Link *l = call->link;

    l->call = NULL;
    link_reset(l);
    call_free(call);
}

/* A request on a kept connection that the peer does not even acknowledge. */
static void check_unacked(Link *l, uint64_t now)
{
    size_t unacked;

    if (!l->open || !had_worked(l) || l->heard_ms > l->call->sent_ms ||
        now < l->look_ms)
        return;
    l->look_ms = now + UNACKED_LOOK_MS;
    unacked = qr_socket_unacked(&l->tcp);
    if (unacked == 0 || unacked != l->unacked) {
        l->unacked = unacked;
        l->unacked_ms = now;
    } else if (now >= l->unacked_ms + UNACKED_MS) {
        distrust_resting(l->client, l, true);
    }
}

static void link_timeout(Link *l)
{
    if (had_worked(l))
        distrust_resting(l->client, l, false);
    link_break(l, QR_CALL_FAULT_TIMEOUT, "no answer in time");
}

static void link_tick(Link *l, uint64_t now)
{
    check_unacked(l, now);
    if (!l->open && now >= l->connect_due_ms)
        link_break(l, QR_CALL_FAULT_UNSENT, "no connection in time");
    else if (l->call && l->call->due_ms && now >= l->call->due_ms)
        link_timeout(l);
    else if (l->open && !l->call && now >= l->rest_until_ms)
        link_close(l);
}

/* It is open for long, and was not heard lately, nor given anything to do. */
static bool is_quiet(const Link *l, uint64_t since_ms)
{
    return l->open && l->opened_ms <= since_ms && l->heard_ms <= since_ms &&
           l->call && l->call->sent_ms <= since_ms;
}

/*
 * Whether all answers that were under way stopped at the same moment. Younger
 * connections are new since then, and younger requests say nothing yet.
 */
static bool all_are_quiet(const QRClient *c, uint64_t since_ms)
{
    const Link *first = NULL;
    unsigned stopped = 0, elsewhere = 0;

    for (unsigned i = 0; i < c->links->len; i++) {
        const Link *l = c->links->pdata[i];

        if (l->open && l->opened_ms <= since_ms && l->heard_ms > since_ms)
            return false;
        if (!is_quiet(l, since_ms) || !l->call->answered)
            continue;
        if (!first)
            first = l;
        stopped++;
        elsewhere += strcmp(l->address, first->address) != 0;
    }
    return stopped >= ALL_QUIET_LEAST && elsewhere > 0;
}

static void check_all_quiet(QRClient *c, uint64_t now)
{
    uint64_t since = now - MIN(now, ALL_QUIET_MS);
    bool news = false;

    if (c->tick_ms > 0 && now > c->tick_ms + STOOD_STILL_MS)
        c->awake_ms = now;
    c->tick_ms = now;
    if (since < c->awake_ms || !all_are_quiet(c, since))
        return;
    for (unsigned i = 0; i < c->links->len; i++) {
        Link *l = c->links->pdata[i];

        if (!is_quiet(l, since) || l->call->mute)
            continue;
        l->call->mute = news = true;
        c->mute++;
    }
    if (news)
        close_resting(c, NULL, since);
}

void qr_client_tick(QRClient *c, uint64_t now_ms)
{
    g_autoptr(GPtrArray) all = g_ptr_array_new();

    check_all_quiet(c, now_ms);
    /* a handler may close or open connections */
    for (unsigned i = 0; i < c->links->len; i++)
        g_ptr_array_add(all, c->links->pdata[i]);
    for (unsigned i = 0; i < all->len; i++) {
        Link *l = all->pdata[i];

        if (!l->closing)
            link_tick(l, now_ms);
    }
}

void qr_client_forget(QRClient *c, const char *address)
{
    for (unsigned i = c->links->len; i > 0; i--) {
        Link *l = c->links->pdata[i - 1];

        if (!l->call && strcmp(l->address, address) == 0)
            link_close(l);
    }
}

uint64_t qr_client_now(const QRClient *c)
{
    return uv_now(c->loop);
}

uint64_t qr_client_opened(const QRClient *c)
{
    return c->opened;
}

uint64_t qr_client_mute(const QRClient *c)
{
    return c->mute;
}
