/*
 * Internal functions of qr_gateway_peers.c and qr_gateway_followers.c, which
 * exchange messages with peers. Other files do not include this header.
 */
#ifndef QR_GATEWAY_PEERS_PARTS_H
#define QR_GATEWAY_PEERS_PARTS_H

#include "qr_gateway.h"

/* How sidecars know another gateway: not at all, as one of their region, or as
   a delegate. */
typedef enum ToldAs {
    TOLD_NOTHING,
    TOLD_NEIGHBOUR,
    TOLD_DELEGATE,
} ToldAs;

bool qr_member_is_sidecar(const QRFleetMember *member);
/* Sends a frame; 'to' is a QRPeerConn. For functions that send records. */
void qr_gateway_send_record(void *to, const QRFrame *frame);
/* Sends a member's state to all sidecars that follow this gateway; 'gone': the
   member was removed. */
void qr_gateway_tell_sidecars(QRGateway *g, const QRFleetMember *member,
                              bool gone);
/* Tells the sidecars that follow this gateway of another one, unless they know
   it as it is. */
void qr_gateway_tell_of_gateway(QRGateway *g, QRFleetMember *member);
/* Sends the version of which a sidecar holds all pieces, if any. */
void qr_gateway_send_held_version(QRPeerConn *peer,
                                  const QRFleetMember *member);
/* Sends a newly connected sidecar all members, held weight versions and
   operator records that it needs. */
void qr_gateway_send_initial_state(QRGateway *g, QRPeerConn *peer,
                                   const QRKnownVersions *known);

#endif
