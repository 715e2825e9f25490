/*
 * Internal types of the HTTP client: connections and the requests they carry.
 * Included by qr_client*.c only.
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
    QRBody *body; /* follows 'request'; NULL: nothing */
    char *id;
    bool head_only, answered, probe_peer;
    bool unresponsive;   /* the connection worked before, then went silent */
    uint64_t sent_ms;    /* when the request was written; 0: not yet */
    uint64_t due_ms;     /* deadline of the answer; 0: none */
    uint64_t send_by_ms; /* for a connection that is being opened; 0: none */
    uint32_t pause_ms;
    size_t progress_bytes; /* received since 'due_ms' was last moved */
    bool prolonged;        /* 'due_ms' was moved before */
};

/* A client connection. */
struct QRLink {
    uv_tcp_t tcp;
    uv_connect_t connect;
    QRClient *client;
    char *address;
    QRMessage message;
    QRClientCall *call; /* request in flight, or NULL */
    uint64_t idle_since_ms, connect_due_ms, idle_until_ms;
    uint64_t opened_ms;
    uint64_t received_ms; /* last received bytes; 0: none yet */
    size_t unacked;       /* unacknowledged bytes at the last check */
    /* last change and next check of 'unacked' */
    uint64_t unacked_since_ms, next_check_ms;
    QRClientProbeDone probe_done; /* NULL unless opened by qr_client_probe() */
    void *probe_owner;
    uint64_t probe_hold_ms; /* least time for which a probe must stay open */
    /* the probe that confirms the end of the answer, and the link that waits
       for this probe */
    QRLink *confirmed_by, *confirms;
    bool unconfirmed;        /* that probe has ended without a result */
    unsigned skipped;        /* answers to earlier requests, ignored */
    size_t unanswered_bytes; /* received before the answer to 'call' began */
    int write_error;         /* of a write that failed; 0: none */
    bool open, closing, skipping;
    bool reading; /* link_read() is still parsing received bytes */
};

struct QRClient {
    uv_loop_t *loop;
    char *id_name;
    GPtrArray *links;              /* QRLink * */
    uint64_t opened, unresponsive; /* connections opened; requests marked so */
    QRTicks ticks;
    uint64_t ticks_regular_since_ms; /* end of the last gap in the ticks */
    uint64_t unresponsive_ms;        /* last time a request was marked so */
    char *unresponsive_address;      /* address of that request */
};

void qr_link_close(QRLink *l);

/* Detection of silent connections, in qr_client_silence.c. */
/* Called just before the request of the connection is written. */
void qr_link_note_send(QRLink *l);
/* Called when bytes were received. Clears the unresponsive mark. */
void qr_link_note_received(QRLink *l);
/* Called when a request has waited too long for bytes. */
void qr_link_note_silence(QRLink *l);
/* Called with every tick: checks whether the peer acknowledges the request. */
void qr_link_check_unacked(QRLink *l, uint64_t now);
/* Called with every tick: checks whether all answers stopped at once. */
void qr_client_check_quiet(QRClient *c, uint64_t now);

#endif
