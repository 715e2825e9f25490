/*
 * Who yields when memory or connections are scarce: unfinished requests and
 * unread answers, in the order of bytes x time. See
 * docs/design/client-memory.md.
 */
#include "qr_server_parts.h"
#include "qr_socket.h"

#include "io/qr_log.h"

#define YIELD_MIN_MS 500 /* younger ones do not yield to each other */
#define SLACK_DIVISOR 16 /* part of the share that is freed beside */

/* A connection that may yield. */
typedef struct Candidate {
    QRConn *conn;
    double weight; /* bytes x ms */
} Candidate;

static uint64_t since(uint64_t then_ms, uint64_t now_ms)
{
    return now_ms - MIN(now_ms, then_ms);
}

static double unfinished_weight(const QRConn *c, QRAccountClass class,
                                uint64_t now)
{
    uint64_t age = since(c->since_ms, now);
    size_t bytes = c->receiving + c->window;

    if (!qr_conn_is_unfinished(c) || age < YIELD_MIN_MS)
        return 0;
    if (class == QR_ACCOUNT_LARGE && bytes <= QR_ACCOUNT_SMALL_BYTES)
        return 0;
    return (double)(bytes + c->charged) * (double)age;
}

static double unread_weight(const QRConn *c, uint64_t now)
{
    uint64_t age = since(c->read_ms, now);

    return age < YIELD_MIN_MS ? 0 : (double)c->pending * (double)age;
}

/* Bytes behind a request that is not answered yet. */
static double pipelined_weight(const QRConn *c, uint64_t now)
{
    uint64_t age = since(c->since_ms, now);

    if (c->exchange.state == QR_EXCHANGE_NONE || !c->read_ahead ||
        age < YIELD_MIN_MS)
        return 0;
    return (double)c->read_ahead->len * (double)age;
}

static double yield_weight(const QRConn *c, QRAccountClass class, uint64_t now)
{
    if (c->closing || c->processing)
        return 0;
    if (class == QR_ACCOUNT_SMALL && pipelined_weight(c, now) > 0)
        return pipelined_weight(c, now);
    return MAX(unfinished_weight(c, class, now), unread_weight(c, now));
}

static int heavier_first(const void *a, const void *b)
{
    const Candidate *x = a, *y = b;

    return (x->weight < y->weight) - (x->weight > y->weight);
}

static void add_candidates(GArray *list, const QRServer *s,
                           QRAccountClass class, uint64_t now)
{
    for (unsigned i = 0; i < s->conns->len; i++) {
        Candidate n = {.conn = s->conns->pdata[i]};

        n.weight = yield_weight(n.conn, class, now);
        if (n.weight > 0)
            g_array_append_val(list, n);
    }
}

void qr_conn_abort(QRConn *c, const char *why)
{
    bool open = c->exchange.state != QR_EXCHANGE_NONE;

    c->exchange.state = QR_EXCHANGE_NONE;
    qr_conn_detach(c);
    if (open)
        c->server->handlers->disconnected(c->server->owner, &c->exchange, why);
    if (uv_tcp_close_reset(&c->tcp, qr_conn_free) != 0)
        uv_close((uv_handle_t *)&c->tcp, qr_conn_free);
}

static void log_yield(const QRConn *c, const char *why)
{
    QRAccount *a = c->server->account;
    uint64_t now = qr_clock_ms(c->server->loop);
    unsigned dropped;

    if (qr_account_may_log(a, now, &dropped))
        qr_logf(QR_LEVEL_INFO, "callers",
                "yields why=%s unread=%zu since_ms=%" G_GUINT64_FORMAT
                " held=%zu limit=%zu lines_left_out=%u",
                why, c->pending, since(c->since_ms, now), qr_account_held(a),
                a->limit, dropped);
}

static void conn_yield_memory(QRConn *c)
{
    uint64_t *counts = c->server->account->counts;

    if (c->read_ahead && c->exchange.state != QR_EXCHANGE_NONE) {
        counts[QR_ACCOUNT_COUNT_yielded_memory]++;
        log_yield(c, "bytes behind its request");
        qr_conn_drop_pipelined(c);
    } else if (qr_conn_is_unfinished(c)) {
        counts[QR_ACCOUNT_COUNT_yielded_memory]++;
        qr_conn_refuse(c, 503, "others need its memory");
    } else {
        counts[QR_ACCOUNT_COUNT_yielded_unread]++;
        log_yield(c, "unread answer");
        qr_conn_abort(c, "aborted, as others need the memory of its answer");
    }
}

/* Lets others yield until there is room for 'more' bytes and some beside. */
static void account_yield(QRAccount *a, QRAccountClass class, size_t more,
                          uint64_t now)
{
    g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(Candidate));
    size_t slack = qr_account_share(a, class) / SLACK_DIVISOR;

    if (a->yielding)
        return; /* the end of an answer may lead back here */
    a->yielding = true;
    for (unsigned i = 0; i < a->servers->len; i++)
        add_candidates(list, a->servers->pdata[i], class, now);
    g_array_sort(list, heavier_first);
    for (unsigned i = 0;
         i < list->len && qr_account_excess(a, class, more + slack) > 0; i++) {
        QRConn *c = g_array_index(list, Candidate, i).conn;

        /* the end of one may have ended another */
        if (!c->closing && !c->lingering)
            conn_yield_memory(c);
    }
    a->yielding = false;
}

bool qr_conn_make_room(QRConn *c, QRAccountClass class, size_t more)
{
    QRAccount *a = c->server->account;
    bool processing = c->processing;

    if (qr_account_excess(a, class, more) == 0)
        return true;
    c->processing = true; /* does not yield to itself */
    account_yield(a, class, more, qr_clock_ms(c->server->loop));
    c->processing = processing;
    return qr_account_excess(a, class, more) == 0;
}

void qr_server_relieve(QRServer *s)
{
    static const QRAccountClass classes[] = {QR_ACCOUNT_LARGE,
                                             QR_ACCOUNT_SMALL};
    QRAccount *a = s->account;

    if (!qr_account_is_scarce(a))
        return;
    for (unsigned i = 0; i < G_N_ELEMENTS(classes); i++) {
        if (qr_account_excess(a, classes[i], 0) > 0)
            account_yield(a, classes[i], 0, qr_clock_ms(s->loop));
    }
}

/* In which order connections yield to new ones. */
typedef enum YieldRank {
    YIELD_LINGERING,  /* answered, about to be closed */
    YIELD_UNFINISHED, /* its request has been without an end for a while */
    YIELD_IDLE,
    YIELD_YOUNG, /* its request has just begun */
    YIELD_NOT,   /* a whole request, or an answer that is not read yet */
} YieldRank;

static YieldRank yield_rank(const QRConn *c, uint64_t now)
{
    bool unsent =
        uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp) > 0;

    if (c->closing || unsent)
        return YIELD_NOT;
    if (c->lingering)
        return YIELD_LINGERING;
    if (qr_conn_is_unfinished(c))
        return since(c->since_ms, now) >= YIELD_MIN_MS ? YIELD_UNFINISHED
                                                       : YIELD_YOUNG;
    return qr_conn_is_idle(c) ? YIELD_IDLE : YIELD_NOT;
}

/* Returns the connection that yields first, of those up to 'most', or NULL. */
static QRConn *server_first_to_yield(const QRServer *s, YieldRank most)
{
    uint64_t now = qr_clock_ms(s->loop);
    YieldRank lowest = most + 1;
    QRConn *first = NULL;

    for (unsigned i = 0; i < s->conns->len; i++) {
        QRConn *c = s->conns->pdata[i];
        YieldRank rank = yield_rank(c, now);

        if (rank < lowest ||
            (first && rank == lowest && c->since_ms < first->since_ms)) {
            lowest = rank;
            first = c;
        }
    }
    return first;
}

void qr_server_close_lingering(QRServer *s)
{
    QRConn *c = server_first_to_yield(s, YIELD_LINGERING);

    if (c)
        qr_conn_close(c);
}

bool qr_server_make_room(QRServer *s)
{
    QRConn *c = server_first_to_yield(s, YIELD_YOUNG);

    if (!c)
        return false;
    s->account->counts[QR_ACCOUNT_COUNT_yielded_connection]++;
    if (qr_conn_is_unfinished(c))
        qr_conn_refuse(c, 503, "a new connection needs its place");
    else
        log_yield(c, "a new connection needs its place");
    qr_conn_close(c);
    return true;
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
                c->pending, since(c->read_ms, now_ms), s->pending, limit);
        qr_conn_abort(c, "aborted, as unread answers exceed their memory");
        aborted++;
    }
    return aborted;
}
