/*
 * Tracks whether pieces of a version are arriving at all.
 */
#include "qr_progress.h"

/* After this time without any piece of a version from any source, the origin is
   considered unavailable, and not only one source. */
#define STALLED_AFTER_MS 1000

static bool is_stalled(const QRProgress *p, uint64_t now_ms)
{
    return now_ms >= p->last_ms + STALLED_AFTER_MS;
}

void qr_progress_note_piece(QRProgress *p, uint64_t now_ms)
{
    if (is_stalled(p, now_ms))
        p->resumed_ms = now_ms;
    p->last_ms = now_ms;
}

bool qr_progress_is_source_overdue(const QRProgress *p, uint64_t asked_ms,
                                   uint64_t most_ms, uint64_t now_ms)
{
    return !is_stalled(p, now_ms) &&
           now_ms > MAX(asked_ms, p->resumed_ms) + most_ms;
}
