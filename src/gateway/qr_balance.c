/*
 * Which engine takes a call, and whether any should.
 *
 * For each engine the time to the first byte is predicted: what is left of
 * the pass that runs, all prompts that wait to be read and this one's, the
 * first token steps. Reading holds up everything that the engine writes
 * meanwhile, so the pause that the others there would see is predicted too. The
 * least first byte of a few engines drawn at random wins; no engine gets more
 * calls than it has slots, a call
 * that would miss its objective, or one whose reading would make others miss
 * theirs. Calls that are late already get what is to spare.
 */
#include "qr_balance.h"

#include <string.h>

#define ZONE_COST_MS 6 /* later first byte that a nearer engine may have */
#define REGION_COST_MS 12
#define OPEN_COST_MS 3 /* a call: keeps slots even */
/* Of the engines that may take a call a few are drawn, and the best of them
   taken: all gateways know of one another's calls a heartbeat late, and would
   all choose the one that seems best. Two of the own zone and one of others:
   trials of 2 + 1, 2 + 2, 3 + 1 on two sites. */
#define NEAR_DRAWN 2
#define FAR_DRAWN 1
#define FIRST_SHARE 0.92 /* of the objectives, what may be planned on */
#define GAP_SHARE 0.85
/* Late calls leave one place in so many, and engines on which a call that comes
   next would begin after this share of its objective (a pass, a prompt read and
   the first tokens take a third of it). Trials of 0.4 to 0.8 on two sites. */
#define SPARE_PART 16
#define SPARE_FIRST_SHARE 0.6
#define PASSES_TO_FIRST 1.5 /* half of the one that runs, and a whole one */
#define NO_LIMIT_MS 1e6     /* longer than any call */
#define SILENCE_MS 200      /* an answer that is longer in coming counts */
#define QUIET_MS 1600       /* sidecars tell their state once a second */
#define PLAIN_FIRST_MS 10   /* of a service without a model */
#define PLAIN_SLOTS 4       /* if neither engine nor operator states them */

/*
 * Of the prompts that may wait to be read at an engine, what the first one that
 * is asked for a slot is held to, and the second. One with nothing to read is
 * the best there is, and most are like that unless calls are too many; a reply
 * comes within some 4 ms, a prompt takes some 45 to read.
 */
static const double reading_shares[] = {0, 0.3};

/* What a call would find at an engine. */
typedef struct Forecast {
    double first_ms, gap_ms;
    unsigned open, slots;
} Forecast;

static bool is_tried(const QRBalanceInput *in, const char *id)
{
    for (unsigned i = 0; in->tried && i < in->tried->len; i++) {
        if (strcmp(in->tried->pdata[i], id) == 0)
            return true;
    }
    return false;
}

static bool needs_weights(const QRBalanceInput *in)
{
    return in->model && in->model->model;
}

/*
 * No word came from the engine's sidecar lately: it stands still, or its link
 * is jammed, and a call may lie there until a version's bound is past.
 */
static bool is_quiet(const QREngine *e, uint64_t now_ms)
{
    return !e->has_sidecar_report || now_ms > e->sidecar_report_ms + QUIET_MS;
}

static bool is_running(const QREngine *e)
{
    return !e->gone && !e->superseded && !e->unreadable &&
           !qr_engine_is_leaving(e);
}

/* It may serve the call, if it wants any now. */
static bool is_fit(const QREngine *e, const QRBalanceInput *in)
{
    uint64_t version;

    if (!is_running(e))
        return false;
    if (needs_weights(in)) {
        version = qr_engine_version(e);
        if (e->unconfirmed || version == 0 || version < in->version_least)
            return false;
        if (version < in->version_soon && is_quiet(e, in->now_ms))
            return false;
        /* over a slow link a call may begin behind a version's bound */
        if (e->has_sidecar_report &&
            (e->sidecar_switching || e->sidecar_unreachable ||
             e->sidecar_slow_link))
            return false;
    }
    return in->now_ms >= e->ejected_until_ms && !e->probing;
}

static bool is_usable(const QREngine *e, const QRBalanceInput *in)
{
    return is_fit(e, in) && qr_notices_backoff_ms(&e->notices, in->now_ms) == 0;
}

static double distance_ms(const QREngine *e, const QRBalanceInput *in)
{
    const char *region;

    if (strcmp(e->record->zone, in->zone) == 0)
        return 0;
    region = g_hash_table_lookup(in->regions, e->record->zone);
    return region && strcmp(region, in->region) == 0 ? ZONE_COST_MS
                                                     : REGION_COST_MS;
}

static unsigned slots_of(const QREngine *e, const QRBalanceInput *in)
{
    if (e->record->slots > 0)
        return e->record->slots;
    return in->model && in->model->slots ? in->model->slots : PLAIN_SLOTS;
}

static double pass_ms_of(const QREngineModel *m, unsigned open)
{
    return MAX(m->stride, 1u) * (m->step_ms + m->per_sequence_ms * open);
}

static Forecast forecast(const QREngine *e, const QRBalanceInput *in)
{
    Forecast f = {PLAIN_FIRST_MS, 0, qr_engine_open(e), slots_of(e, in)};
    const QREngineModel *m = in->model;
    double per_ms, pass_ms, reading_ms, silence_ms;

    if (needs_weights(in) && m->read_per_s > 0) {
        per_ms = m->read_per_s / 1000;
        pass_ms = pass_ms_of(m, MIN(f.open, f.slots));
        reading_ms =
            (qr_engine_reading(e, per_ms, in->now_ms) + in->prompt) / per_ms;
        f.gap_ms = pass_ms + reading_ms;
        f.first_ms = (f.open > 0 ? pass_ms / 2 : 0) + reading_ms + pass_ms;
    }
    silence_ms = (double)qr_engine_first_byte_wait_ms(e, in->now_ms);
    if (silence_ms > SILENCE_MS)
        f.first_ms += silence_ms;
    return f;
}

/* Time left for reading what is ahead of the call, and the call's prompt. */
static double reading_time_ms(const QRBalanceInput *in, double pass_ms)
{
    double first_ms = NO_LIMIT_MS, gap_ms = NO_LIMIT_MS;

    if (in->objective_ms && in->late)
        first_ms =
            in->objective_ms * SPARE_FIRST_SHARE - PASSES_TO_FIRST * pass_ms;
    else if (in->objective_ms)
        first_ms = in->objective_ms * FIRST_SHARE - in->waited_ms -
                   PASSES_TO_FIRST * pass_ms;
    if (in->gap_ms)
        gap_ms = in->gap_ms * GAP_SHARE - pass_ms;
    return MIN(first_ms, gap_ms);
}

/*
 * On which terms a slot is asked for. Returns false if the call would be too
 * late even if nothing were to be read before it.
 */
static bool limits_of(const QREngine *e, const QRBalanceInput *in,
                      QRBalanceLimits *l)
{
    const QREngineModel *m = in->model;
    unsigned slots = slots_of(e, in);
    double tokens;

    l->open_most = in->late ? slots - slots / SPARE_PART : slots;
    /* builds of before hold slots that no keeper knows of */
    l->open_most -= MIN(l->open_most, qr_engine_reported_open(e));
    l->reading_most = UINT32_MAX;
    if (!needs_weights(in) || m->read_per_s <= 0)
        return true;
    tokens = reading_time_ms(in, pass_ms_of(m, slots)) * m->read_per_s / 1000 -
             in->prompt;
    l->reading_most = tokens > 0 ? (unsigned)MIN(tokens, 1e9) : 0;
    return tokens >= 0;
}

/* Whether a call that would begin at once still finds its engine in time. */
static bool has_to_spare(const Forecast *f, const QRBalanceInput *in)
{
    return f->open + f->slots / SPARE_PART < f->slots &&
           (!in->objective_ms ||
            f->first_ms <= in->objective_ms * SPARE_FIRST_SHARE);
}

/* Whether a slot there is worth a request: what others hold may have changed
   since it was told, and a request that is denied costs a round trip. */
static bool may_ask(const QREngine *e, const Forecast *f,
                    const QRBalanceInput *in)
{
    QRBalanceLimits l;

    if (in->now_ms < e->slots.denied_until_ms)
        return false;
    return (limits_of(e, in, &l) || f->open == 0) && l.open_most > 0;
}

static bool may_take(const Forecast *f, const QRBalanceInput *in)
{
    /* an idle engine can do no better, whatever the objective */
    if (f->open == 0)
        return true;
    /* who waits inside an engine can be served by no other */
    if (f->open >= f->slots)
        return false;
    if (in->late && !has_to_spare(f, in))
        return false;
    if (!in->late && in->objective_ms &&
        f->first_ms + in->waited_ms > in->objective_ms * FIRST_SHARE)
        return false;
    return !in->gap_ms || f->gap_ms <= in->gap_ms * GAP_SHARE;
}

/*
 * The rate of an engine that has named a limit is dealt out by the keeper of
 * its slots: without one that answers nobody knows what others send.
 */
static bool is_within_limit(const QREngine *e, const QRBalanceInput *in)
{
    return !qr_engine_limit(e)->is_set ||
           (!in->unreserved && qr_engine_has_coordinator(e, in->now_ms) &&
            in->now_ms >= e->slots.rate_limited_until_ms);
}

/* An engine that may take the call. */
typedef struct Candidate {
    QREngine *engine;
    Forecast forecast;
    uint64_t dice;
} Candidate;

/* A few candidates, drawn at random. */
typedef struct Draw {
    Candidate rows[MAX(NEAR_DRAWN, FAR_DRAWN)];
    unsigned count, most;
} Draw;

/* Keeps those with the least dice. */
static void draw_add(Draw *d, const Candidate *c)
{
    unsigned at = 0;

    if (d->count < d->most) {
        d->rows[d->count++] = *c;
        return;
    }
    for (unsigned i = 1; i < d->count; i++) {
        if (d->rows[i].dice > d->rows[at].dice)
            at = i;
    }
    if (c->dice < d->rows[at].dice)
        d->rows[at] = *c;
}

static double cost_of(const Candidate *c, const QRBalanceInput *in)
{
    return c->forecast.first_ms + distance_ms(c->engine, in) +
           OPEN_COST_MS * c->forecast.open;
}

static bool is_better(const Candidate *x, const Candidate *y,
                      const QRBalanceInput *in)
{
    double cost_x = cost_of(x, in), cost_y = cost_of(y, in);

    return cost_x < cost_y || (cost_x <= cost_y && x->dice < y->dice);
}

/* The one of the least cost, if it is better than 'best'. */
static const Candidate *draw_best(const Draw *d, const Candidate *best,
                                  const QRBalanceInput *in)
{
    for (unsigned i = 0; i < d->count; i++) {
        if (!best || is_better(&d->rows[i], best, in))
            best = &d->rows[i];
    }
    return best;
}

static void choose(QRBalanceChoice *c, const Candidate *best,
                   const QRBalanceInput *in)
{
    c->engine = best->engine;
    c->predicted_ms = best->forecast.first_ms;
    c->gap_ms = best->forecast.gap_ms;
    c->engine_open = best->forecast.open;
    c->engine_slots = best->forecast.slots;
    c->is_reserved = qr_engine_has_coordinator(best->engine, in->now_ms);
    (void)limits_of(best->engine, in, &c->limits);
}

/* How long an engine that is fit wants no request; 0: it takes them. */
static uint64_t held_off_ms(const QREngine *e, const QRBalanceInput *in)
{
    uint64_t rest_ms = qr_notices_backoff_ms(&e->notices, in->now_ms);

    if (qr_engine_limit(e)->is_set &&
        e->slots.rate_limited_until_ms > in->now_ms)
        return MAX(rest_ms, e->slots.rate_limited_until_ms - in->now_ms);
    return rest_ms;
}

/* What the engines that are fit for a call come to. */
typedef struct HeldOff {
    unsigned fit, off; /* of these, held off */
    uint64_t least_ms; /* until one of those is not */
} HeldOff;

static void count_held(HeldOff *h, const QREngine *e, const QRBalanceInput *in)
{
    uint64_t ms = held_off_ms(e, in);

    h->fit++;
    if (ms == 0)
        return;
    h->least_ms = h->off > 0 ? MIN(h->least_ms, ms) : ms;
    h->off++;
}

/* Whether the call may be sent to a usable engine now, or a slot be asked for
   there. */
static bool is_candidate(const Candidate *x, const QRBalanceInput *in)
{
    const QREngine *e = x->engine;

    if (is_tried(in, e->record->id) || in->now_ms < e->refused_until_ms ||
        !is_within_limit(e, in))
        return false;
    return qr_engine_has_coordinator(e, in->now_ms)
               ? may_ask(e, &x->forecast, in)
               : may_take(&x->forecast, in);
}

/* The best of the near and the far ones drawn. */
typedef struct Draws {
    Draw near, far;
} Draws;

static const Candidate *draws_best(const Draws *d, const QRBalanceInput *in)
{
    return draw_best(&d->far, draw_best(&d->near, NULL, in), in);
}

QRBalanceChoice qr_balance_choose(const QREngines *engines,
                                  const QRBalanceInput *in)
{
    const GPtrArray *list = qr_engines_of(engines, in->service);
    Draws rested = {{.most = NEAR_DRAWN}, {.most = FAR_DRAWN}};
    /* those that have turned calls away: rather not */
    Draws tired = rested;
    const Candidate *best;
    QRBalanceChoice c = {0};
    HeldOff held = {0};

    for (unsigned i = 0; list && i < list->len; i++) {
        Candidate x = {.engine = list->pdata[i]};
        Draws *draws =
            qr_engine_is_deprioritized(x.engine, in->now_ms) ? &tired : &rested;

        if (is_fit(x.engine, in))
            count_held(&held, x.engine, in);
        if (!is_usable(x.engine, in)) {
            c.coming += is_running(x.engine);
            c.switching += is_running(x.engine) &&
                           x.engine->has_sidecar_report &&
                           x.engine->sidecar_switching;
            continue;
        }
        x.forecast = forecast(x.engine, in);
        c.usable++;
        c.open += MIN(x.forecast.open, x.forecast.slots);
        c.places += x.forecast.slots;
        if (!is_candidate(&x, in))
            continue;
        x.dice = qr_hash64(&in->random, sizeof(in->random), i);
        draw_add(distance_ms(x.engine, in) > 0 ? &draws->far : &draws->near,
                 &x);
    }
    best = draws_best(&rested, in);
    if (!best) {
        best = draws_best(&tired, in);
        c.despite_rest = best != NULL;
    }
    if (best)
        choose(&c, best, in);
    else if (held.off == held.fit)
        c.held_off_ms = held.least_ms;
    return c;
}

bool qr_balance_of(QREngine *e, const QRBalanceInput *in, QRBalanceChoice *c)
{
    Candidate only = {.engine = e};

    if (!is_usable(e, in) || is_tried(in, e->record->id))
        return false;
    only.forecast = forecast(e, in);
    choose(c, &only, in);
    return true;
}

QRBalanceLimits qr_balance_terms(const QRBalanceLimits *l, unsigned asked)
{
    QRBalanceLimits terms = *l;

    if (asked < G_N_ELEMENTS(reading_shares))
        terms.reading_most =
            (unsigned)(l->reading_most * reading_shares[asked]);
    return terms;
}
