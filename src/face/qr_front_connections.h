/*
 * Connections of callers of an entry. While nearly all are taken, each new one
 * ends the one that has gone without a whole request for longest. Used by the
 * thread of the HTTP server only.
 */
#ifndef QR_FRONT_CONNECTIONS_H
#define QR_FRONT_CONNECTIONS_H

#include "net/qr_account.h"

#include <microhttpd.h>

typedef struct QRFrontConnections {
    GPtrArray *list; /* Connection * */
    unsigned most;   /* that the server accepts */
    QRAccount *account;
} QRFrontConnections;

/* Connections are counted in 'account'. */
void qr_front_connections_init(QRFrontConnections *c, QRAccount *account,
                               unsigned most);
void qr_front_connections_clear(QRFrontConnections *c);
/* For MHD_OPTION_NOTIFY_CONNECTION; 'arg' is a QRFrontConnections. */
void qr_front_connection_notify(void *arg, struct MHD_Connection *conn,
                                void **context,
                                enum MHD_ConnectionNotificationCode code);
/* A whole request has arrived on the connection, or its answer is sent. */
void qr_front_connection_busy(struct MHD_Connection *conn, bool busy);

#endif
