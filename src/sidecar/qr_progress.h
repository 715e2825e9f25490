/*
 * Tracks whether pieces of a version are arriving at all. If none arrive, the
 * version's origin is unavailable. If other pieces arrive, a piece that does
 * not arrive has to be requested from another source.
 */
#ifndef QR_PROGRESS_H
#define QR_PROGRESS_H

#include "base/qr_base.h"

typedef struct QRProgress {
    uint64_t last_ms; /* when a piece last arrived, or the version was named */
    uint64_t resumed_ms; /* when one arrived after a stall; 0: never */
} QRProgress;

/* Records that a piece arrived. */
void qr_progress_note_piece(QRProgress *p, uint64_t now_ms);
/*
 * Whether a source that was asked at 'asked_ms' has been waited for longer
 * than 'most_ms' while other pieces arrived. While no piece arrives, another
 * source would do no better, and each source that took over would fetch the
 * piece from the origin once more.
 */
bool qr_progress_is_source_overdue(const QRProgress *p, uint64_t asked_ms,
                                   uint64_t most_ms, uint64_t now_ms);

#endif
