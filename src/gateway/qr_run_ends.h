/*
 * Ends of runs of engines at which one request was at work.
 */
#ifndef QR_RUN_ENDS_H
#define QR_RUN_ENDS_H

#include "base/qr_base.h"

#define QR_RUN_ENDS 8 /* the last ones that are kept */
/* Engines that end by one cause do so within a moment (eight killed one after
   the other: 10 ms), and a call is sent on from one to the next within it. So
   the next try begins, and the next end counts, this much after the last. */
#define QR_RUN_ENDS_APART_MS 250

/* One run of an engine ended while the request was at work there. */
typedef struct QRRunEnd {
    uint64_t engine;  /* hash of its id */
    uint64_t born_ms; /* start of that run, as the engine says; 0: not said */
    uint64_t sent_ms, ended_ms;
} QRRunEnd;

typedef struct QRRunEnds {
    QRRunEnd rows[QR_RUN_ENDS];
    unsigned count, total; /* kept; all that were ever added */
} QRRunEnds;

/* Whether the end of the same run is among them. */
bool qr_run_ends_have(const QRRunEnds *ends, const QRRunEnd *end);
/* Adds the end of a run, or what another one told of the same. */
void qr_run_ends_add(QRRunEnds *ends, const QRRunEnd *end);
/* Removes the end of a run; all of 'until_ms' or before. */
void qr_run_ends_remove(QRRunEnds *ends, const QRRunEnd *end);
void qr_run_ends_forget(QRRunEnds *ends, uint64_t until_ms);
/* When the last one was; 0: none is known. */
uint64_t qr_run_ends_last_ms(const QRRunEnds *ends);
/*
 * The most of those that ended after 'after_ms', of sendings from
 * 'sent_from_ms' on, that followed one another. Returns their number, and them
 * in 'row'.
 */
unsigned qr_run_ends_in_a_row(const QRRunEnds *ends, uint64_t after_ms,
                              uint64_t sent_from_ms, QRRunEnd row[QR_RUN_ENDS]);

#endif
