/*
 * Which engine takes a call, and whether any should.
 *
 * Each engine's time to the first byte is predicted from the calls that are
 * open there: beyond its slots, one place comes free every hold/slots ms. The
 * least wins; a call is only given out if that meets the objective.
 */
#include "qr_balance.h"

#include <string.h>

#define ZONE_COST 0.8   /* calls that a nearer engine may have more */
#define REGION_COST 1.6
#define RANDOM_COST 0.6 /* keeps gateways from choosing alike */
#define OBJECTIVE_SHARE 0.9
#define QUEUE_MOST 0.5  /* of the slots: never more wait at an engine */

static bool is_tried(const QRBalanceInput *in, const char *id)
{
    for (unsigned i = 0; in->tried && i < in->tried->len; i++) {
        if (strcmp(in->tried->pdata[i], id) == 0)
            return true;
    }
    return false;
}

static bool is_usable(const QREngine *e, const QRBalanceInput *in)
{
    uint64_t version;

    if (e->gone || e->record->draining)
        return false;
    if (in->needs_weights) {
        version = qr_engine_version(e);
        if (version == 0 || (in->version && version != in->version))
            return false;
        if (e->told && (e->told_switching || e->told_unreachable))
            return false;
    }
    return in->now_ms >= e->ejected_until_ms && !e->trial;
}

static double distance(const QREngine *e, const QRBalanceInput *in)
{
    const char *region;

    if (strcmp(e->record->zone, in->zone) == 0)
        return 0;
    region = g_hash_table_lookup(in->regions, e->record->zone);
    return region && strcmp(region, in->region) == 0 ? ZONE_COST : REGION_COST;
}

static double predict(unsigned open, unsigned slots, const QRBalanceInput *in)
{
    double ahead = open < slots ? 0 : (double)(open - slots + 1);

    return in->first_ms + ahead * in->hold_ms / slots;
}

static double jitter(const QRBalanceInput *in, unsigned i)
{
    return (double)(qr_hash64(&in->random, sizeof(in->random), i) % 1000) /
           1000 * RANDOM_COST;
}

QRBalanceChoice qr_balance_choose(const QREngines *engines,
                                  const QRBalanceInput *in)
{
    const GPtrArray *list = qr_engines_of(engines, in->service);
    QRBalanceChoice c = {0};
    double best = 0;

    for (unsigned i = 0; list && i < list->len; i++) {
        QREngine *e = list->pdata[i];
        unsigned slots = MAX(e->record->slots ? e->record->slots : in->slots,
                             1u);
        unsigned open;
        double cost, predicted;

        if (!is_usable(e, in))
            continue;
        open = qr_engine_open(e);
        c.usable++;
        c.open += MIN(open, slots);
        c.places += slots;
        if (is_tried(in, e->record->id) || in->now_ms < e->refused_until_ms)
            continue;
        predicted = predict(open, slots, in);
        if (predicted + in->waited_ms > in->objective_ms * OBJECTIVE_SHARE &&
            open >= slots)
            continue;
        if (open >= slots + (unsigned)(slots * QUEUE_MOST))
            continue;
        cost = (double)open * 16 / slots + distance(e, in) + jitter(in, i);
        if (!c.engine || cost < best) {
            best = cost;
            c.engine = e;
            c.predicted_ms = predicted;
        }
    }
    return c;
}
