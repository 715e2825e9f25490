/*
 * What the parts of the HTTP client share: connections, and the requests that
 * they carry. Included by qr_client*.c only.
 */
#ifndef QR_CLIENT_PARTS_H
#define QR_CLIENT_PARTS_H

#include "qr_client.h"
#include "qr_clock.h"
#include "qr_ticks.h"

typedef struct QRLink QRLink;

struct QRClientCall {
    QRClient *client;
    QRLink *link;
    const QRClientHandlers *handlers;
    void *owner;
    GByteArray *request;
    char *id;
    bool head_only, answered;
    bool mute;        /* its connection has gone silent */
    uint64_t sent_ms; /* when the connection got the request; 0: not yet */
    uint64_t due_ms;  /* 0: none */
    uint32_t pause_ms;
};

/* A connection. */
struct QRLink {
    uv_tcp_t tcp;
    uv_connect_t connect;
    QRClient *client;
    char *address;
    QRMessage message;
    QRClientCall *call; /* under way, or NULL */
    uint64_t since_ms, connect_due_ms, rest_until_ms;
    uint64_t opened_ms;
    uint64_t heard_ms;            /* when bytes came last; 0: none yet */
    size_t unacked;               /* bytes of the request, at the last look */
    uint64_t unacked_ms, look_ms; /* since when so many; when to look next */
    QRClientReachedDone reached;  /* opened to see who listens; else NULL */
    void *reached_owner;
    unsigned surplus; /* answers passed over for this request */
    bool open, closing, skipping;
    bool reading; /* bytes of the last read are still being looked at */
};

struct QRClient {
    uv_loop_t *loop;
    char *id_name;
    GPtrArray *links;      /* QRLink * */
    uint64_t opened, mute; /* connections so far; requests on dead ones */
    QRTicks ticks;
    uint64_t awake_ms;  /* since when they come in time */
    uint64_t mute_ms;   /* when a connection was found dead last */
    char *mute_address; /* of that one */
};

void qr_link_close(QRLink *l);

/* Of connections that go silent: see qr_client_silence.c. */
/* The request of the connection is about to be written. */
void qr_link_sends(QRLink *l);
/* Bytes came. */
void qr_link_heard(QRLink *l);
/* The request is given up, for nothing came in time. */
void qr_link_gave_nothing(QRLink *l);
void qr_link_check_unacked(QRLink *l, uint64_t now);
/* Looks at all connections together; with every tick. */
void qr_client_check_quiet(QRClient *c, uint64_t now);

#endif
