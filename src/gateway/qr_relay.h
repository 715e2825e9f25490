/*
 * Relays one call of a caller to engines, and the answer back to the caller.
 */
#ifndef QR_RELAY_H
#define QR_RELAY_H

#include "qr_gateway.h"

typedef struct QRRelay QRRelay;

/* A call that the gateway has admitted. The relay copies the strings. */
typedef struct QRRelayCall {
    const QRPolicyRoute *route;
    const char *service, *team, *id;
    unsigned team_priority;
    GPtrArray *team_regions; /* see QRPolicyTeam; NULL: every region */
    uint32_t deadline_ms;    /* how long the caller waits for the answer */
} QRRelayCall;

/* Starts to relay the call of 'x'. The relay replies to 'x', or aborts it, and
   frees itself. */
void qr_relay_start(QRGateway *g, QRExchange *x, const QRRelayCall *call);
/* Ends and frees 'r': its caller closed the connection, or the connection
   broke. */
void qr_relay_caller_gone(QRRelay *r, const char *why);
/* Ends and frees 'r' when the process stops: replies with an error, or aborts
   an answer that has begun. */
void qr_relay_stop(QRRelay *r);

/* The reply of the process that keeps an engine's slots. */
typedef struct QRSlotResult {
    bool granted;
    bool within_limit; /* granted within the rate limit that the engine named */
    unsigned others_open, others_reading; /* calls and unread prompt tokens of
                                             other gateways at the engine */
    QRAnnouncedLimit limit; /* the latest that the coordinator knows */
    uint32_t limit_wait_ms; /* until the limit allows another request; 0: no
                               need to wait */
    uint32_t rest_ms;       /* the engine asked another gateway for no requests
                               during this time */
    uint32_t claim_ms;      /* denied, but room is kept for the call for this
                               time; 0: none is */
} QRSlotResult;

/* Handles the reply to the slot request of 'r'. May free 'r'. */
void qr_relay_slot_reply(QRRelay *r, const QRSlotResult *result);
/* Checks all relays for timeouts, stalls and engines that have become free. */
void qr_relay_tick(QRGateway *g, uint64_t now_ms);
/* The Retry-After in ms of a refusal by a gateway that ends: others take the
   call at once. */
#define QR_RETRY_ELSEWHERE_MS 50
/* The same, where nothing is known of when the call can be served: as late as a
   caller with 'left_ms' until its deadline heeds. */
unsigned qr_relay_retry_after_ms(QRGateway *g, uint32_t left_ms);
/* Replies with an empty body, and with Retry-After if 'retry_ms' is not 0. */
void qr_relay_send_local_reply(QRExchange *x, unsigned status,
                               unsigned retry_ms);

#endif
