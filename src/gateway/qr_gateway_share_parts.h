/*
 * Internal functions of qr_gateway_share.c, qr_gateway_readers.c and
 * qr_gateway_changes.c, which share the store's records among gateways. Other
 * files do not include this header.
 */
#ifndef QR_GATEWAY_SHARE_PARTS_H
#define QR_GATEWAY_SHARE_PARTS_H

#include "qr_gateway.h"

#define QR_READER_ORDER_SEED 7 /* of the order in which gateways read */

typedef bool (*QRMemberTest)(const QRGateway *g, const QRFleetMember *m,
                             uint64_t now_ms);

/* Whether a gateway is not leaving and was heard within its lease. */
bool qr_share_is_alive(const QRGateway *g, const QRFleetMember *m,
                       uint64_t now_ms);
/* Whether a gateway is alive and the store answered its read of engines'
   records a moment ago. */
bool qr_share_is_fresh_reader(const QRGateway *g, const QRFleetMember *m,
                              uint64_t now_ms);
/* Whether the store answered our own read of engines' records a moment ago. */
bool qr_share_own_reads_are_fresh(const QRGateway *g, uint64_t now_ms);
unsigned qr_share_count_fresh_readers(const QRGateway *g, uint64_t now_ms);
/* Starts or pauses our reads if too few or enough other gateways read. */
void qr_share_update_reading(QRGateway *g, uint64_t now_ms);
/* Starts our reads, with a new listing of engines, or pauses them. */
void qr_share_set_reading(QRGateway *g, bool reads);
/* Between two reads of engines' records, ms. */
unsigned qr_share_poll_interval_ms(const QRGateway *g, uint64_t now_ms);
/* Position of the last known change of engines' records. */
QRPosition qr_share_known_position(const QRGateway *g);
/* Asks other gateways for changes of engines that we lack, when due. */
void qr_share_fetch_engines(QRGateway *g, uint64_t now_ms);

#endif
