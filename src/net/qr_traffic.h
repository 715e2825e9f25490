/*
 * Bytes sent between our own processes, by kind of frame and by whether they
 * cross regions: what fills a link is to be seen in metrics and in the log.
 */
#ifndef QR_TRAFFIC_H
#define QR_TRAFFIC_H

#include "wire/fleet.pb-c.h"

#include <glib.h>
#include <stdbool.h>

/* Kinds of frames: name in metrics and logs. In the order of the protocol. */
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
    X(SLOT_REPLY, slot_reply)

typedef enum QRFrameKind {
#define X(upper, lower) QR_FRAME_##upper,
    QR_FRAME_KINDS(X)
#undef X
        QR_FRAME_KIND_COUNT
} QRFrameKind;

typedef struct QRTraffic {
    uint64_t near[QR_FRAME_KIND_COUNT]; /* bytes, inside the region */
    uint64_t far[QR_FRAME_KIND_COUNT];  /* bytes, to other regions */
} QRTraffic;

void qr_traffic_add(QRTraffic *t, const Qr__Fleet__Frame *frame, bool far,
                    size_t bytes);
uint64_t qr_traffic_sum(const QRTraffic *t);
/* Appends metrics, one line a kind and reach. */
void qr_traffic_text(const QRTraffic *t, GString *out);
/* Logs what was sent since 'before', and takes the counts over there. */
void qr_traffic_log(const QRTraffic *t, QRTraffic *before);

#endif
