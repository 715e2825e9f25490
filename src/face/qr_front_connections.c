/*
 * Connections of callers of an entry.
 */
#include "qr_front_connections.h"

#include <sys/socket.h>

/* Connections that are ended are closed by the server a moment later: the last
   part of them is left for new ones meanwhile. */
#define SPARE_DIVISOR 8

typedef struct Connection {
    int fd;
    uint64_t since_ms; /* accepted, or its last request answered */
    bool busy, ended;
} Connection;

void qr_front_connections_init(QRFrontConnections *c, QRAccount *account,
                               unsigned most)
{
    c->list = g_ptr_array_new();
    c->most = most;
    c->account = account;
}

void qr_front_connections_clear(QRFrontConnections *c)
{
    g_ptr_array_unref(c->list);
}

static Connection *first_to_yield(const QRFrontConnections *c)
{
    Connection *first = NULL;

    for (unsigned i = 0; i < c->list->len; i++) {
        Connection *n = c->list->pdata[i];

        if (!n->busy && !n->ended && (!first || n->since_ms < first->since_ms))
            first = n;
    }
    return first;
}

static void make_room(QRFrontConnections *c)
{
    Connection *n;

    if (c->list->len <= c->most - c->most / SPARE_DIVISOR ||
        !(n = first_to_yield(c)))
        return;
    n->ended = true;
    c->account->counts[QR_ACCOUNT_COUNT_yielded_connection]++;
    shutdown(n->fd, SHUT_RDWR);
}

void qr_front_connection_notify(void *arg, struct MHD_Connection *conn,
                                void **context,
                                enum MHD_ConnectionNotificationCode code)
{
    QRFrontConnections *c = arg;
    const union MHD_ConnectionInfo *info;
    Connection *n;

    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        n = *context;
        g_ptr_array_remove_fast(c->list, n);
        c->account->connections--;
        g_free(n);
        *context = NULL;
        return;
    }
    info = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
    make_room(c);
    n = g_new0(Connection, 1);
    n->fd = info->connect_fd;
    n->since_ms = qr_now_ms();
    g_ptr_array_add(c->list, n);
    c->account->connections++;
    *context = n;
}

void qr_front_connection_busy(struct MHD_Connection *conn, bool busy)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    Connection *n = info ? info->socket_context : NULL;

    if (!n)
        return;
    n->busy = busy;
    n->since_ms = qr_now_ms();
}
