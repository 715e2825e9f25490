/*
 * A running process: a reducer, and the threads that carry its effects out.
 */
#ifndef QR_NODE_H
#define QR_NODE_H

#include "core/qr_agent.h"
#include "core/qr_entry.h"
#include "face/qr_face.h"
#include "io/qr_net.h"
#include "io/qr_pool.h"

typedef struct QRNode {
    const QRSettings *set;
    QRFaces faces;
    QREventQueue *queue;
    QRNet *net;
    QRFront *front; /* an entry's callers, an agent's metrics */
    QRBucket link_in, link_out;
    QRPool *platform, *orders, *origin, *calls;
    QREntry *entry; /* one of the two */
    QRAgent *agent;
    /* running calls of an agent that may be cancelled */
    pthread_mutex_t lock;
    GHashTable *running; /* QRHandle -> atomic_bool *, borrowed */
    bool exiting;
} QRNode;

/* Runs until a planned stop is over. Returns the exit status. */
int qr_node_run(const QRSettings *set);

/* Starts and frees the pools and what they need. */
void qr_jobs_start(QRNode *n);
void qr_jobs_stop(QRNode *n);
/* Carries out the effects that block, on the threads of a pool. */
void qr_jobs_add(QRNode *n, const QREffect *e);
void qr_jobs_cancel(QRNode *n, QRHandle call);

#endif
