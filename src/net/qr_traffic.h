/*
 * Counts bytes sent between quayring processes, by kind of frame and by whether
 * they cross regions. Metrics and logs show which kind of frame fills a link.
 */
#ifndef QR_TRAFFIC_H
#define QR_TRAFFIC_H

#include "wire/fleet.pb-c.h"

#include <glib.h>
#include <stdbool.h>

/* Kinds of frames: enum suffix and name in metrics and logs. The order is that
   of Frame.body in the protocol. */
#define QR_FRAME_KINDS(X)                                                      \
    X(HELLO, hello)                                                            \
    X(MEMBERS, members)                                                        \
    X(LOAD, load)                                                              \
    X(ENGINE_STATE, engine_state)                                              \
    X(RECORDS, records)                                                        \
    X(WANT, want)                                                              \
    X(PIECE, piece)                                                            \
    X(FETCH, fetch)                                                            \
    X(PROBE, probe)                                                            \
    X(REQUESTS, requests)                                                      \
    X(SLOT_REQUEST, slot_request)                                              \
    X(SLOT_REPLY, slot_reply)                                                  \
    X(ORIGIN_STATE, origin_state)

typedef enum QRFrameKind {
#define X(upper, lower) QR_FRAME_##upper,
    QR_FRAME_KINDS(X)
#undef X
        QR_FRAME_KIND_COUNT
} QRFrameKind;

typedef struct QRTraffic {
    uint64_t in_region[QR_FRAME_KIND_COUNT];    /* bytes, inside the region */
    uint64_t cross_region[QR_FRAME_KIND_COUNT]; /* bytes, to other regions */
} QRTraffic;

void qr_traffic_add(QRTraffic *t, const Qr__Fleet__Frame *frame,
                    bool cross_region, size_t bytes);
uint64_t qr_traffic_total(const QRTraffic *t);
/* Appends one metrics line per kind and reach; zero counts are left out. */
void qr_traffic_append_metrics(const QRTraffic *t, GString *out);
/* Logs the bytes sent since 'before' and copies the counts to 'before'. */
void qr_traffic_log(const QRTraffic *t, QRTraffic *before);

#endif
