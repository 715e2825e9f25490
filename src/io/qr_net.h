/*
 * Connections between our own processes: one thread, framed TCP.
 */
#ifndef QR_NET_H
#define QR_NET_H

#include "io/qr_bucket.h"
#include "io/qr_queue.h"

typedef struct QRNet QRNet;

/* Counters of the connections; DEF(name, help). */
#define QR_NET_COUNTERS                                                        \
    DEF(net_bytes_in, "bytes of frames taken")                                 \
    DEF(net_bytes_out, "bytes of frames sent")                                 \
    DEF(net_bad_frames, "connections closed for what was no frame")            \
    DEF(net_slow_closed, "connections closed for a torn frame or a full "      \
                         "queue")

typedef enum QRNetCounter {
#define DEF(name, help) QR_NET_COUNT_##name,
    QR_NET_COUNTERS
#undef DEF
        QR_NET_COUNTER_COUNT
} QRNetCounter;

/*
 * Listens on 'address'. Connections that others dial are of 'lane'. Weights
 * pass 'in' and 'out'. Incomplete frames of these take an eighth of
 * 'memory_bytes' at most. Events go to 'queue'. NULL with the error set if it
 * cannot listen.
 */
QRNet *qr_net_new(const char *address, QRLane lane, uint64_t memory_bytes,
                  QRBucket *in, QRBucket *out, QREventQueue *queue,
                  GError **err);
void qr_net_free(QRNet *n);

/* From any thread. What becomes of them is told by events. */
void qr_net_dial(QRNet *n, const char *address, QRLane lane);
void qr_net_send(QRNet *n, QRHandle conn, GBytes *frame, bool notify);
void qr_net_close(QRNet *n, QRHandle conn);
uint64_t qr_net_count(const QRNet *n, QRNetCounter c);

#endif
