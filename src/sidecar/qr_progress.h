/*
 * Whether pieces of a version come at all. Where none do, its origin is away;
 * where others come, the source of one that does not is to be changed.
 */
#ifndef QR_PROGRESS_H
#define QR_PROGRESS_H

#include "base/qr_base.h"

typedef struct QRProgress {
    uint64_t last_ms;    /* when a piece last came, or the version was named */
    uint64_t resumed_ms; /* when one came after a long rest; 0: never */
} QRProgress;

/* A piece came. */
void qr_progress_note_piece(QRProgress *p, uint64_t now_ms);
/*
 * Whether a source has been waited for, since 'asked_ms', for longer than
 * 'most_ms' while other pieces came. While none come, others fare no better,
 * and each that took over would draw the piece once more.
 */
bool qr_progress_is_source_overdue(const QRProgress *p, uint64_t asked_ms,
                                   uint64_t most_ms, uint64_t now_ms);

#endif
