/*
 * Where a sidecar draws a piece of weights from, and when it switches.
 */
#include "qr_sources.h"

#include <string.h>

#define ATTEMPTS_BEFORE_ORIGIN 3

static uint64_t weight(const QRSourceInput *in, const QRFleetMember *m,
                       unsigned index)
{
    char key[QR_NAME_MAX + 48];

    g_snprintf(key, sizeof(key), "%s/%" G_GUINT64_FORMAT "/%u", in->model,
               in->version, index);
    return qr_rendezvous(key, m->name);
}

static bool holds(const QRSourceInput *in, const QRFleetMember *m)
{
    return m->held == in->version && g_strcmp0(m->model, in->model) == 0;
}

static bool in_region(const QRSourceInput *in, const QRFleetMember *m)
{
    return g_strcmp0(m->region, in->region) == 0;
}

/*
 * The member of rank 'rank' for the piece, among those that pass. 'region'
 * and 'holder' narrow the choice.
 */
static const QRFleetMember *ranked(const QRSourceInput *in, unsigned index,
                              unsigned rank, bool region, bool holder)
{
    const QRFleetMember *found = NULL;
    uint64_t below = UINT64_MAX;

    for (unsigned r = 0; r <= rank; r++) {
        uint64_t best = 0;

        found = NULL;
        for (unsigned i = 0; i < in->members->len; i++) {
            const QRFleetMember *m = in->members->pdata[i];
            uint64_t w = weight(in, m, index);

            if ((region && !in_region(in, m)) || (holder && !holds(in, m)))
                continue;
            if (w < below && (!found || w > best)) {
                found = m;
                best = w;
            }
        }
        if (!found)
            return NULL;
        below = best;
    }
    return found;
}

static bool is_self(const QRSourceInput *in, const QRFleetMember *m)
{
    return strcmp(m->name, in->self) == 0;
}

/* Holders spread their askers over themselves by the asker's name. */
static const QRFleetMember *holder(const QRSourceInput *in, unsigned index,
                              unsigned attempt, bool region)
{
    unsigned holders = 0, rank;

    for (unsigned i = 0; i < in->members->len; i++) {
        const QRFleetMember *m = in->members->pdata[i];

        holders += holds(in, m) && !is_self(in, m) &&
                   (!region || in_region(in, m));
    }
    if (holders == 0)
        return NULL;
    rank = (unsigned)((qr_hash_str(in->self, index) + attempt) % holders);
    return ranked(in, index, rank, region, true);
}

const QRFleetMember *qr_source_choose(const QRSourceInput *in, unsigned index,
                                 unsigned attempt)
{
    const QRFleetMember *first, *regional;

    if (attempt >= ATTEMPTS_BEFORE_ORIGIN)
        return NULL;
    regional = holder(in, index, attempt, true);
    if (regional && !is_self(in, regional))
        return regional;
    first = holder(in, index, attempt, false);
    if (!first || is_self(in, first))
        first = ranked(in, index, attempt, false, false);
    if (!first || is_self(in, first))
        return NULL;
    regional = ranked(in, index, attempt, true, false);
    if (!regional || is_self(in, regional) || in_region(in, first))
        return first;
    return regional;
}

uint64_t qr_switch_at(const QRSourceInput *in, uint64_t first_ms,
                      uint64_t last_ms)
{
    unsigned rank = 0, n = in->members->len;
    uint64_t own = 0;

    for (unsigned i = 0; i < n; i++) {
        if (is_self(in, in->members->pdata[i]))
            own = weight(in, in->members->pdata[i], 0);
    }
    for (unsigned i = 0; i < n; i++)
        rank += weight(in, in->members->pdata[i], 0) > own;
    if (n < 2 || last_ms <= first_ms)
        return first_ms;
    return first_ms + (last_ms - first_ms) * rank / (n - 1);
}
