/*
 * One call of a caller on its way through engines and back.
 */
#ifndef QR_RELAY_H
#define QR_RELAY_H

#include "qr_gateway.h"

typedef struct QRRelay QRRelay;

/* What is known of a call when it is let in. The relay copies all of it. */
typedef struct QRRelayCall {
    const QRPolicyRoute *route;
    const char *service, *team, *id;
    unsigned team_priority;
    uint32_t deadline_ms; /* what the caller will wait */
} QRRelayCall;

/* Starts the call of 'x', which is answered sooner or later. */
void qr_relay_start(QRGateway *g, QRExchange *x, const QRRelayCall *call);
/* The caller of 'r' left, or its connection broke. */
void qr_relay_gone(QRRelay *r, const char *why);
/* The process ends: the caller is told, or its answer is cut. */
void qr_relay_stop(QRRelay *r);
/* What the keeper of an engine's slots replies. */
typedef struct QRSlotWord {
    bool granted;
    bool paced; /* ... within the limit that the engine has named */
    unsigned others_open, others_reading; /* what others hold there */
    QRAnnouncedLimit limit;               /* as the keeper knows it */
    uint32_t wait_ms; /* until the limit allows another request */
    uint32_t rest_ms; /* the engine wants nothing from another gateway */
} QRSlotWord;

/* A slot that was asked for 'r' is granted, or there was none for it. */
void qr_relay_slot_reply(QRRelay *r, const QRSlotWord *word);
/* Looks at time-outs and at calls that wait for an engine. */
void qr_relay_tick(QRGateway *g, uint64_t now_ms);
/* When a refused caller may come back; 'none_serves': not only too many. */
unsigned qr_relay_come_back_ms(QRGateway *g, bool none_serves);
/* An answer of our own, with when to come back if 'retry_ms' is not 0. */
void qr_relay_own_answer(QRExchange *x, unsigned status, unsigned retry_ms);

#endif
