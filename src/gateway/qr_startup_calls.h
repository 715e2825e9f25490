/*
 * Calls that arrive before the gateway has its first configuration.
 *
 * A gateway that starts learns its configuration from other gateways, or from
 * the store, in well under a second. A call that arrives before then waits for
 * the configuration, for a part of its caller's time at most. Refusing the call
 * would cost more: many callers retry only once, and a caller whose connection
 * broke when the previous process ended has spent its first try already.
 */
#ifndef QR_STARTUP_CALLS_H
#define QR_STARTUP_CALLS_H

#include "net/qr_server.h"

typedef struct QRGateway QRGateway;

typedef struct QRStartupCall {
    QRExchange *x;
    uint64_t wait_until_ms;
} QRStartupCall;

/*
 * Queues the call of 'x', whose caller waits 'deadline_ms', if a configuration
 * may arrive soon. Returns false if the call is not queued, and has to be
 * handled by the caller of this function.
 */
bool qr_startup_calls_add(QRGateway *g, QRExchange *x, uint32_t deadline_ms);
/* Handles the queued calls once there is a configuration, and each call whose
   waiting time is over. */
void qr_startup_calls_tick(QRGateway *g, uint64_t now_ms);
/* Removes the call of 'x' from the queue: its caller disconnected. */
void qr_startup_calls_remove(QRGateway *g, const QRExchange *x);
/* Answers all queued calls at once, because the process ends. */
void qr_startup_calls_refuse_all(QRGateway *g);

#endif
