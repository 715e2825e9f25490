/*
 * The engine ends that one suspect, a request or a part of prompts, is
 * associated with: an entry says that the process of an engine ended while the
 * engine was running the request, or a request with that part.
 */
#ifndef QR_RUN_ENDS_H
#define QR_RUN_ENDS_H

#include "base/qr_base.h"

#define QR_MAX_RUN_ENDS 16 /* the latest ends are kept */
/* Engines that end from one cause end within a moment (eight that were killed
   one after the other: 10 ms), and a call is retried on the next engine within
   that moment. Only an end at least this long after the last one counts as
   another try, and the next try waits this long. */
#define QR_MIN_TRY_GAP_MS 250

/* A run is one process of an engine, from its start to its end. */
typedef struct QRRunEnd {
    uint64_t engine_hash; /* hash of the engine's id */
    uint64_t born_ms; /* start of the run as the engine reports; 0: unknown */
    uint64_t sent_ms, ended_ms; /* request sent to the run; run ended */
    uint64_t team; /* hash of the team of the requests there; only for parts of
                      prompts */
} QRRunEnd;

#define QR_TEAM_SEVERAL ((uint64_t)0) /* not a single team */

typedef struct QRRunEnds {
    QRRunEnd rows[QR_MAX_RUN_ENDS];
    unsigned count, total; /* rows in use; ends ever added */
} QRRunEnds;

/* Whether an end of the same run is stored. */
bool qr_run_ends_contain(const QRRunEnds *ends, const QRRunEnd *end);
/* Adds an end. If an end of the same run is stored, keeps the one whose request
   was sent first. If the list is full, replaces the oldest end. */
void qr_run_ends_add(QRRunEnds *ends, const QRRunEnd *end);
void qr_run_ends_remove(QRRunEnds *ends, const QRRunEnd *end);
/* Removes the ends at or before 'until_ms'. */
void qr_run_ends_remove_until(QRRunEnds *ends, uint64_t until_ms);
/* Returns the time of the latest end, or 0 if none is stored. */
uint64_t qr_run_ends_last_ms(const QRRunEnds *ends);
/* Which ends count. */
typedef struct QRRunEndFilter {
    uint64_t after_ms;     /* ended after this */
    uint64_t until_ms;     /* ended at or before this */
    uint64_t sent_from_ms; /* request sent at or after this */
} QRRunEndFilter;

/* Copies the ends that count to 'out', in order of time. Returns their number.
 */
unsigned qr_run_ends_select(const QRRunEnds *ends, const QRRunEndFilter *filter,
                            QRRunEnd out[QR_MAX_RUN_ENDS]);
/*
 * Finds the longest chain of ends in which each try was sent after the previous
 * run had ended, among ends in order of time. Fills 'tries' and returns their
 * number.
 */
unsigned qr_run_ends_consecutive(const QRRunEnd *ends, unsigned count,
                                 QRRunEnd tries[QR_MAX_RUN_ENDS]);

#endif
