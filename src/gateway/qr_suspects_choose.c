/*
 * Chooses the parts of a long prompt that are blamed for an engine's end.
 */
#include "qr_suspects.h"

#include <string.h>

/* Consecutive choices overlap, as fingerprints are not spread quite evenly. */
#define NEW_PARTS_STEP (0.75 * QR_MAX_NEW_PARTS)
#define FINGERPRINTS 4294967296.0 /* values of QRPlacedPart.place */

typedef struct QRPlacedPart {
    const QRFingerprint *part;
    uint32_t place; /* in the order in which parts are chosen */
} QRPlacedPart;

static int compare_places(const void *a, const void *b)
{
    const QRPlacedPart *x = a, *y = b;

    return (x->place > y->place) - (x->place < y->place);
}

/* Appends up to 'most' of the parts that are suspects of some end, or of those
   that are not. */
static void choose(const QRSuspects *t, const GArray *placed, bool suspects,
                   unsigned most, GArray *out)
{
    for (unsigned i = 0; i < placed->len && most > 0; i++) {
        const QRPlacedPart *p = &g_array_index(placed, QRPlacedPart, i);
        const QRSuspect *s = qr_suspects_get(t, p->part);

        if ((s && s->ends.count > 0) != suspects)
            continue;
        g_array_append_val(out, *p->part);
        most--;
    }
}

/*
 * In the order of fingerprints, the choice from a list begins where the one
 * before has left off, wherever callers put a part. So a part that all lists
 * have is chosen after at most n / NEW_PARTS_STEP lists.
 */
void qr_suspects_choose_parts(const QRSuspects *t, const QRFingerprint *parts,
                              unsigned n, unsigned rotation, GArray *out)
{
    g_autoptr(GArray) placed = g_array_new(FALSE, FALSE, sizeof(QRPlacedPart));
    double first;

    if (n <= QR_MAX_NEW_PARTS) {
        g_array_append_vals(out, parts, n);
        return;
    }
    first = NEW_PARTS_STEP / n * rotation * FINGERPRINTS;
    for (unsigned i = 0; i < n; i++) {
        QRPlacedPart p = {&parts[i], 0};

        memcpy(&p.place, parts[i].bytes, sizeof(p.place));
        p.place -= (uint32_t)(uint64_t)first;
        g_array_append_val(placed, p);
    }
    g_array_sort(placed, compare_places);
    choose(t, placed, true, QR_MAX_SUSPECT_PARTS, out);
    choose(t, placed, false, QR_MAX_NEW_PARTS, out);
}
