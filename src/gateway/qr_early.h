/*
 * Calls that come before the first configuration.
 *
 * A gateway that starts learns it from others, or from the store, in well under
 * a second. A call that comes meanwhile waits for that, a part of its caller's
 * time at most: many callers have one more try only, and one that lost its
 * connection as this process ended has spent the first already.
 */
#ifndef QR_EARLY_H
#define QR_EARLY_H

#include "net/qr_server.h"

typedef struct QRGateway QRGateway;

typedef struct QREarlyCall {
    QRExchange *x;
    uint64_t until_ms;
} QREarlyCall;

/*
 * Keeps the call of 'x', whose caller waits 'deadline_ms', if a configuration
 * may come soon. Returns false if it is not kept.
 */
bool qr_early_add(QRGateway *g, QRExchange *x, uint32_t deadline_ms);
/* Lets calls in once there is a configuration, or their time is over. */
void qr_early_tick(QRGateway *g, uint64_t now_ms);
/* The caller of 'x' left. */
void qr_early_gone(QRGateway *g, const QRExchange *x);
/* The process ends: who waits is told so. */
void qr_early_refuse_all(QRGateway *g);

#endif
