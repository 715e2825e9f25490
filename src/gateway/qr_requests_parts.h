/*
 * Shared by the parts of qr_requests. Included by qr_requests*.c only.
 */
#ifndef QR_REQUESTS_PARTS_H
#define QR_REQUESTS_PARTS_H

#include "qr_gateway.h"
#include "qr_relay_parts.h"
#include "qr_requests.h"

#include <string.h>

/* Messages to other gateways, owned by the arrays. */
typedef struct QRRequestMessages {
    GPtrArray *requests, *parts; /* Qr__Fleet__RequestWord * */
} QRRequestMessages;

void qr_request_messages_init(QRRequestMessages *m);
void qr_request_messages_clear(QRRequestMessages *m);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRRequestMessages, qr_request_messages_clear)
/* Returns the message about a suspect, which 'm' owns; adds an empty one if
   there is none. */
Qr__Fleet__RequestWord *qr_request_message_add(QRRequestMessages *m,
                                               const QRFingerprint *f);
/* Adds an end. If the message has the same end, keeps the earlier sending. */
void qr_request_message_add_end(Qr__Fleet__RequestWord *msg,
                                const QRRunEnd *end, uint64_t now_ms);
/* Adds a message with all that is known of a suspect. */
void qr_request_messages_add_suspect(QRRequestMessages *m, const QRSuspect *s,
                                     uint64_t now_ms);
/* Sends the messages to every gateway that has connected to this one. */
void qr_requests_broadcast(QRGateway *g, const QRRequestMessages *m);
void qr_requests_broadcast_trial(QRGateway *g, const QRSuspect *s, bool over);
void qr_requests_broadcast_answered(QRGateway *g);
/* Logs the holds decided here. Broadcasts those whose last engine end this
   gateway detected. */
void qr_requests_report_held(QRGateway *g);

void qr_requests_store_tick(QRGateway *g, uint64_t now_ms);
/* Schedules a write of the suspect's record to the store: at once if this
   gateway detected the last engine end, otherwise after a delay. */
void qr_requests_schedule_write(QRGateway *g, QRSuspect *s);
/* Schedules an immediate write of the record of a request that was answered. */
void qr_requests_schedule_clear(QRGateway *g, const QRFingerprint *f);

#endif
