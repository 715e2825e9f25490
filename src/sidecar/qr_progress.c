/*
 * Whether pieces of a version come at all.
 */
#include "qr_progress.h"

/* No piece of a version for so long: its origin is away, not one source. */
#define REST_MS 1000

static bool is_resting(const QRProgress *p, uint64_t now_ms)
{
    return now_ms >= p->last_ms + REST_MS;
}

void qr_progress_note(QRProgress *p, uint64_t now_ms)
{
    if (is_resting(p, now_ms))
        p->resumed_ms = now_ms;
    p->last_ms = now_ms;
}

bool qr_progress_passed_by(const QRProgress *p, uint64_t asked_ms,
                           uint64_t most_ms, uint64_t now_ms)
{
    return !is_resting(p, now_ms) &&
           now_ms > MAX(asked_ms, p->resumed_ms) + most_ms;
}
