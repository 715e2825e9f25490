/*
 * How many slots become free for the calls of one service at one gateway.
 */
#include "qr_slot_rate.h"

#include <math.h>

#define WINDOW_MS 4000.0
/* Slots in the window above which a rate counts as known. */
#define MIN_FREED 4
#define MIN_OBSERVED_MS 500 /* calls may all end at once after a start */
/* With one slot in use, 1 in 20 gaps between two ends is longer than so many
   durations. */
#define GAP_DURATIONS 3
/* From the end of a call until the next one uses its slot: the end reaches the
   gateway, which requests the slot and sends the call. */
#define HANDOVER_MS 5

static double decayed(const QRSlotRate *r, uint64_t now_ms)
{
    double age_ms = now_ms > r->freed_ms ? (double)(now_ms - r->freed_ms) : 0;

    return r->freed * exp(-age_ms / WINDOW_MS);
}

void qr_slot_rate_note_freed(QRSlotRate *r, uint64_t now_ms)
{
    if (r->observed_ms == 0)
        r->observed_ms = now_ms;
    r->freed = decayed(r, now_ms) + 1;
    r->freed_ms = MAX(r->freed_ms, now_ms);
}

double qr_slot_rate_recent(const QRSlotRate *r, uint64_t now_ms)
{
    double freed = decayed(r, now_ms), observed_ms;

    if (r->observed_ms == 0 || freed < MIN_FREED ||
        now_ms < r->observed_ms + MIN_OBSERVED_MS)
        return 0;
    /* soon after the start, the window is not filled yet */
    observed_ms = (double)(now_ms - r->observed_ms);
    return 1000 * freed / (WINDOW_MS * (1 - exp(-observed_ms / WINDOW_MS)));
}

double qr_slot_rate_turnover(const QRSlotRate *r, uint64_t now_ms,
                             unsigned open, double mean_call_ms)
{
    double gap_ms = now_ms > r->freed_ms ? (double)(now_ms - r->freed_ms) : 0;

    if (r->freed_ms == 0 || open == 0 ||
        gap_ms > GAP_DURATIONS * MAX(mean_call_ms, 1))
        return 0;
    return 1000.0 * open / (MAX(mean_call_ms, 1) + HANDOVER_MS);
}
