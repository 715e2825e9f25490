/*
 * Internal functions of qr_gateway_share.c and qr_gateway_changes.c, which
 * share the store's records among gateways. Other files do not include this
 * header.
 */
#ifndef QR_GATEWAY_SHARE_PARTS_H
#define QR_GATEWAY_SHARE_PARTS_H

#include "qr_gateway.h"

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
/* Position of the last known change of engines' records. */
QRPosition qr_share_known_position(const QRGateway *g);
/* Asks other gateways for changes of engines that we lack, when due. */
void qr_share_fetch_engines(QRGateway *g, uint64_t now_ms);

#endif
