/*
 * What the parts of sharing the store's records share: who reads them, and who
 * tells the others. Included by qr_gateway_share.c and qr_gateway_changes.c
 * only.
 */
#ifndef QR_GATEWAY_SHARE_PARTS_H
#define QR_GATEWAY_SHARE_PARTS_H

#include "qr_gateway.h"

typedef bool (*QRMemberTest)(const QRGateway *g, const QRFleetMember *m,
                             uint64_t now_ms);

/* Another gateway that stays, and was heard within its lease. */
bool qr_share_is_alive(const QRGateway *g, const QRFleetMember *m,
                       uint64_t now_ms);
/* One whose own reading of engines' records was answered a moment ago. */
bool qr_share_is_fresh_reader(const QRGateway *g, const QRFleetMember *m,
                              uint64_t now_ms);
/* Our own was. */
bool qr_share_own_reads_are_fresh(const QRGateway *g, uint64_t now_ms);
/* The last change of engines' records that we know of. */
QRPosition qr_share_known_position(const QRGateway *g);
/* Asks others for what they know of engines and we do not, when due. */
void qr_share_fetch_engines(QRGateway *g, uint64_t now_ms);

#endif
