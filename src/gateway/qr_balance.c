/*
 * Chooses the engine that takes a call, or none if no engine should.
 *
 * For each engine the time to the first byte is predicted from the rest of the
 * current pass, the prompts that wait to be read, the prompt of this call and
 * the first token steps. An engine writes no tokens while it reads a prompt.
 * The pause that the other calls there would see is therefore predicted too.
 * Of a few engines sampled at random, the one with the shortest time to the
 * first byte is chosen. No engine gets more calls than it has slots, a call
 * that could not end in time there, or a call whose prompt would lengthen a
 * pause of other calls over what is promised.
 */
#include "qr_balance.h"

#include <string.h>

/* An engine in another zone, or another region, is chosen only if its first
   byte comes earlier by more than this. */
#define ZONE_COST_MS 6
#define REGION_COST_MS 12
#define OPEN_CALL_COST_MS 3 /* for each open call: spreads calls evenly */
/* The best of a few engines sampled at random is chosen. Gateways learn of one
   another's calls a heartbeat late, and would all choose the same engine if
   each took the best of all. Two engines of the own zone and one of other zones
   are sampled: 2 + 1, 2 + 2 and 3 + 1 were tried on two sites. */
#define ZONE_SAMPLES 2
#define REMOTE_SAMPLES 1
/* Calls from other regions leave one slot in REMOTE_SLOTS_DIVISOR free, if the
   caller's region is large: when all regions are full, each one's own calls
   come first. */
#define REMOTE_SLOTS_DIVISOR 4
/* The prompts ahead of a call may take at most this part of the time for
   reading between two events of a stream: prompts that take the rest or less
   find the same room whatever their size. With the whole as the limit, short
   prompts would join where a long one finds too little left. */
#define AHEAD_DIVISOR 2
/* Half of the current pass and one whole pass. */
#define PASSES_TO_FIRST_BYTE 1.5
#define MIN_SILENCE_MS 200       /* a longer wait for an answer is added */
#define SIDECAR_SILENT_MS 1600   /* sidecars report once a second */
#define DEFAULT_FIRST_BYTE_MS 10 /* for a service without a model */
#define DEFAULT_SLOTS 4          /* if neither engine nor operator states any */

/*
 * The first and the second engine that a call asks for a slot may have only
 * this share of the permitted unread prompt tokens. An engine with nothing to
 * read is the best choice, and most engines are in this state unless the
 * service is overloaded. Asking another engine is cheap: a reply takes about
 * 4 ms, reading a prompt about 45 ms.
 */
static const double unread_shares[] = {0, 0.3};

/* The predicted state of an engine for one call. */
typedef struct Forecast {
    double first_ms, gap_ms;
    double pace; /* relative to the fastest engine that can serve */
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
 * Whether the engine's sidecar sent no report lately. The sidecar may be
 * stalled or its link congested, and a call could wait there until after the
 * deadline of a weights version.
 */
static bool is_sidecar_silent(const QREngine *e, uint64_t now_ms)
{
    return !e->has_sidecar_report ||
           now_ms > e->sidecar_report_ms + SIDECAR_SILENT_MS;
}

static bool is_running(const QREngine *e)
{
    return !e->gone && !e->superseded && !e->unreadable &&
           !qr_engine_is_leaving(e);
}

/* Whether the engine may serve the call, not counting pauses it asked for. */
static bool can_serve(const QREngine *e, const QRBalanceInput *in)
{
    uint64_t version;

    if (!is_running(e))
        return false;
    if (needs_weights(in)) {
        version = qr_engine_version(e);
        if (e->unconfirmed || version == 0 || version < in->min_version)
            return false;
        if (version < in->min_version_soon && is_sidecar_silent(e, in->now_ms))
            return false;
        /* over a slow link a call may begin after a version's deadline */
        if (e->has_sidecar_report &&
            (e->sidecar_switching || e->sidecar_unreachable ||
             e->sidecar_slow_link))
            return false;
    }
    return in->now_ms >= e->ejected_until_ms && !e->probing;
}

static bool is_usable(const QREngine *e, const QRBalanceInput *in)
{
    return can_serve(e, in) &&
           qr_notices_backoff_ms(&e->notices, in->now_ms) == 0;
}

static double distance_cost_ms(const QREngine *e, const QRBalanceInput *in)
{
    const char *region;

    if (strcmp(e->record->zone, in->zone) == 0)
        return 0;
    region = g_hash_table_lookup(in->regions, e->record->zone);
    return region && strcmp(region, in->region) == 0 ? ZONE_COST_MS
                                                     : REGION_COST_MS;
}

static unsigned slot_count(const QREngine *e, const QRBalanceInput *in)
{
    if (e->record->slots > 0)
        return e->record->slots;
    return in->model && in->model->slots ? in->model->slots : DEFAULT_SLOTS;
}

static double pass_ms_of(const QREngineModel *m, unsigned open)
{
    return MAX(m->admission_interval_steps, 1u) *
           (m->step_ms + m->per_sequence_ms * open);
}

/* Of the engines that can serve, the pace of the fastest one. Usually that of
   the first one looked at. */
static double least_pace(const QREngines *engines, const QRBalanceInput *in)
{
    const GPtrArray *list = qr_engines_of(engines, in->service);
    double least = 0;

    for (unsigned i = 0; list && i < list->len && least != 1; i++) {
        const QREngine *e = list->pdata[i];
        double pace = qr_engine_pace(e, in->now_ms);

        if ((least == 0 || pace < least) && can_serve(e, in))
            least = pace;
    }
    return MAX(least, 1);
}

/* How many times slower the engine is than 'least', the fastest one: where all
   are slow none is avoided. */
static double relative_pace(const QREngine *e, double least,
                            const QRBalanceInput *in)
{
    return MAX(qr_engine_pace(e, in->now_ms) / least, 1);
}

static Forecast forecast(const QREngine *e, double least,
                         const QRBalanceInput *in)
{
    Forecast f = {.first_ms = DEFAULT_FIRST_BYTE_MS,
                  .pace = relative_pace(e, least, in),
                  .open = qr_engine_open(e),
                  .slots = slot_count(e, in)};
    const QREngineModel *m = in->model;
    double per_ms, pass_ms, reading_ms, silence_ms;

    if (needs_weights(in) && m->read_per_s > 0) {
        per_ms = m->read_per_s / 1000 / f.pace;
        pass_ms = pass_ms_of(m, MIN(f.open, f.slots)) * f.pace;
        reading_ms =
            (qr_engine_reading(e, per_ms, in->now_ms) + in->prompt_tokens) /
            per_ms;
        f.gap_ms = pass_ms + reading_ms;
        f.first_ms = (f.open > 0 ? pass_ms / 2 : 0) + reading_ms + pass_ms;
    } else {
        f.first_ms *= f.pace;
    }
    silence_ms = (double)qr_engine_first_byte_wait_ms(e, in->now_ms);
    if (silence_ms > MIN_SILENCE_MS)
        f.first_ms += silence_ms;
    return f;
}

/* Time in which the engine reads the call's own prompt. */
static double own_reading_ms(const QRBalanceInput *in)
{
    return in->prompt_tokens * 1000 / in->model->read_per_s;
}

/*
 * Returns the time that reading the prompts ahead of the call may take: the
 * call must end in time, and the pauses of other streams must not exceed what
 * is promised. A prompt that is too long for that at any engine needs one with
 * nothing unread, where it could not do better.
 */
static double unread_ahead_ms(const QRBalanceInput *in, double pass_ms)
{
    double ahead_ms = in->slack_ms, budget_ms;

    if (in->gap_objective_ms) {
        budget_ms = in->gap_objective_ms - pass_ms;
        ahead_ms = MIN(ahead_ms, MIN(budget_ms / AHEAD_DIVISOR,
                                     budget_ms - own_reading_ms(in)));
    }
    return MAX(ahead_ms, 0);
}

/* Whether the call would leave a region whose gateways know only a few engines
   elsewhere. */
static bool leaves_region(const QREngine *e, const QRBalanceInput *in)
{
    return in->knows_region_only &&
           g_strcmp0(g_hash_table_lookup(in->regions, e->record->zone),
                     in->region) != 0;
}

/* Computes the limits for a request for a slot. */
static void compute_limits(const QREngine *e, double pace,
                           const QRBalanceInput *in, QRBalanceLimits *l)
{
    const QREngineModel *m = in->model;
    unsigned slots = slot_count(e, in);

    l->max_open_calls = slots;
    if (leaves_region(e, in))
        l->max_open_calls =
            MIN(l->max_open_calls, slots - slots / REMOTE_SLOTS_DIVISOR);
    /* gateways of older builds use slots that no coordinator knows of */
    l->max_open_calls -= MIN(l->max_open_calls, qr_engine_reported_open(e));
    l->max_unread_tokens = UINT32_MAX;
    if (needs_weights(in) && m->read_per_s > 0)
        l->max_unread_tokens =
            (unsigned)MIN(unread_ahead_ms(in, pass_ms_of(m, slots) * pace) *
                              m->read_per_s / 1000 / pace,
                          1e9);
}

static bool is_claimed(const QREngine *e, const QRBalanceInput *in)
{
    return in->claimed && strcmp(in->claimed, e->record->id) == 0;
}

/* Whether to request a slot there. The reported calls of other gateways may be
   outdated, and a denied request costs a round trip. */
static bool may_request_slot(const QREngine *e, const Forecast *f,
                             const QRBalanceInput *in)
{
    QRBalanceLimits l;

    if (in->now_ms < e->slots.denied_until_ms && !is_claimed(e, in) &&
        (!in->is_queued || qr_engine_was_denied(e, in->rank, in->team)))
        return false;
    compute_limits(e, f->pace, in, &l);
    return l.max_open_calls > (leaves_region(e, in) ? f->open : 0);
}

/* Whether a call may join others at an engine without a coordinator, by the
   same limits. An engine that is silent counts as busy with prompts. */
static bool may_send_directly(const Forecast *f, const QRBalanceInput *in)
{
    double pass_ms;

    /* no engine can answer sooner than an idle one */
    if (f->open == 0)
        return true;
    /* a call that queues inside an engine cannot move to another one */
    if (f->open >= f->slots)
        return false;
    if (!needs_weights(in) || in->model->read_per_s <= 0)
        return f->first_ms <= in->slack_ms;
    pass_ms = pass_ms_of(in->model, MIN(f->open, f->slots));
    return f->first_ms - PASSES_TO_FIRST_BYTE * pass_ms - own_reading_ms(in) <=
           unread_ahead_ms(in, pass_ms) + 1;
}

static bool is_limited(const QREngine *e, const QRBalanceInput *in)
{
    return qr_engine_limit(e)->is_set ||
           (in->limits_cold && in->now_ms < e->cold_until_ms);
}

/*
 * Whether the engine's rate limit permits a request now. The coordinator of its
 * slots divides the rate among gateways; without a coordinator that answers,
 * the requests of other gateways are unknown.
 */
static bool is_within_rate_limit(const QREngine *e, const QRBalanceInput *in)
{
    return !is_limited(e, in) ||
           (!in->unreserved && qr_engine_has_coordinator(e, in->now_ms) &&
            in->now_ms >= e->slots.rate_limited_until_ms);
}

/* An engine that may take the call. */
typedef struct Candidate {
    QREngine *engine;
    Forecast forecast;
    uint64_t random_key; /* the smallest keys are sampled */
} Candidate;

/* A few candidates, sampled at random. */
typedef struct Sample {
    Candidate rows[MAX(ZONE_SAMPLES, REMOTE_SAMPLES)];
    unsigned count, max;
} Sample;

/* Adds 'c' if its key is among the smallest so far. */
static void sample_add(Sample *s, const Candidate *c)
{
    unsigned largest = 0;

    if (s->count < s->max) {
        s->rows[s->count++] = *c;
        return;
    }
    for (unsigned i = 1; i < s->count; i++) {
        if (s->rows[i].random_key > s->rows[largest].random_key)
            largest = i;
    }
    if (c->random_key < s->rows[largest].random_key)
        s->rows[largest] = *c;
}

static double cost_of(const Candidate *c, const QRBalanceInput *in)
{
    return c->forecast.first_ms + distance_cost_ms(c->engine, in) +
           OPEN_CALL_COST_MS * c->forecast.open;
}

static bool is_better(const Candidate *x, const Candidate *y,
                      const QRBalanceInput *in)
{
    double cost_x = cost_of(x, in), cost_y = cost_of(y, in);

    return cost_x < cost_y ||
           (cost_x <= cost_y && x->random_key < y->random_key);
}

/* Returns the best of the sample and 'best', which may be NULL. */
static const Candidate *sample_best(const Sample *s, const Candidate *best,
                                    const QRBalanceInput *in)
{
    for (unsigned i = 0; i < s->count; i++) {
        if (!best || is_better(&s->rows[i], best, in))
            best = &s->rows[i];
    }
    return best;
}

static void fill_choice(QRBalanceChoice *c, const Candidate *best,
                        const QRBalanceInput *in)
{
    c->engine = best->engine;
    c->first_byte_ms = best->forecast.first_ms;
    c->gap_ms = best->forecast.gap_ms;
    c->engine_open = best->forecast.open;
    c->engine_slots = best->forecast.slots;
    c->needs_slot = qr_engine_has_coordinator(best->engine, in->now_ms);
    compute_limits(best->engine, best->forecast.pace, in, &c->limits);
}

/* Returns for how long an engine that can serve wants no request, because it
   asked for a pause or reached its rate limit; 0: it takes requests. */
static uint64_t pause_ms(const QREngine *e, const QRBalanceInput *in)
{
    uint64_t rest_ms = qr_notices_backoff_ms(&e->notices, in->now_ms);

    if (is_limited(e, in) && e->slots.rate_limited_until_ms > in->now_ms)
        return MAX(rest_ms, e->slots.rate_limited_until_ms - in->now_ms);
    return rest_ms;
}

/* How many engines that can serve a call want no request now. */
typedef struct Backoff {
    unsigned able, paused; /* engines that can serve; of these, paused */
    uint64_t shortest_ms;  /* until the first paused engine takes requests */
} Backoff;

static void count_backoff(Backoff *b, const QREngine *e,
                          const QRBalanceInput *in)
{
    uint64_t ms = pause_ms(e, in);

    b->able++;
    if (ms == 0)
        return;
    b->shortest_ms = b->paused > 0 ? MIN(b->shortest_ms, ms) : ms;
    b->paused++;
}

/* Whether the call may be sent to a usable engine now, or may request a slot
   there. */
static bool is_candidate(const Candidate *x, const QRBalanceInput *in)
{
    const QREngine *e = x->engine;

    if (is_tried(in, e->record->id) || in->now_ms < e->refused_until_ms ||
        !is_within_rate_limit(e, in))
        return false;
    return qr_engine_has_coordinator(e, in->now_ms)
               ? may_request_slot(e, &x->forecast, in)
               : may_send_directly(&x->forecast, in);
}

/* Whether the load at the engine is unknown: it may be full, though this
   gateway has few calls there. */
static bool is_load_unknown(const QREngine *e, const QRBalanceInput *in)
{
    return leaves_region(e, in) && !qr_engine_has_coordinator(e, in->now_ms);
}

/* Whether the call may run at the engine; counts it in 'c' if not. */
static bool is_allowed_there(const QREngine *e, const QRBalanceInput *in,
                             QRBalanceChoice *c)
{
    QRPlacementVerdict verdict =
        qr_placement_check(&in->placement, e->record->zone);

    if (verdict == QR_PLACEMENT_OTHER_REGION)
        c->other_region += is_running(e);
    else if (verdict == QR_PLACEMENT_EVACUATED)
        c->evacuated += is_running(e);
    return verdict == QR_PLACEMENT_ALLOWED;
}

/* Separate samples of the own zone and of other zones. */
typedef struct Samples {
    Sample zone, remote;
} Samples;

static const Candidate *samples_best(const Samples *s, const QRBalanceInput *in)
{
    return sample_best(&s->remote, sample_best(&s->zone, NULL, in), in);
}

QRBalanceChoice qr_balance_choose(const QREngines *engines,
                                  const QRBalanceInput *in)
{
    const GPtrArray *list = qr_engines_of(engines, in->service);
    Samples preferred = {{.max = ZONE_SAMPLES}, {.max = REMOTE_SAMPLES}};
    /* engines that rejected calls lately: used only if there is no other */
    Samples overloaded = preferred;
    /* used only if no engine of known load can serve */
    Samples unknown = preferred;
    unsigned known = 0; /* usable engines of known load */
    double least = least_pace(engines, in);
    const Candidate *best;
    Candidate claimed = {0};
    QRBalanceChoice c = {0};
    Backoff backoff = {0};

    for (unsigned i = 0; list && i < list->len; i++) {
        Candidate x = {.engine = list->pdata[i]};
        Samples *samples = qr_engine_is_deprioritized(x.engine, in->now_ms)
                               ? &overloaded
                               : &preferred;

        if (!is_allowed_there(x.engine, in, &c))
            continue;
        if (can_serve(x.engine, in))
            count_backoff(&backoff, x.engine, in);
        if (is_running(x.engine))
            c.running_slots += slot_count(x.engine, in);
        if (!is_usable(x.engine, in)) {
            c.not_ready += is_running(x.engine);
            c.switching += is_running(x.engine) &&
                           x.engine->has_sidecar_report &&
                           x.engine->sidecar_switching;
            continue;
        }
        x.forecast = forecast(x.engine, least, in);
        if (is_load_unknown(x.engine, in))
            samples = &unknown;
        else
            known++;
        c.usable++;
        c.near += !leaves_region(x.engine, in);
        c.total_open += MIN(x.forecast.open, x.forecast.slots);
        c.total_slots += x.forecast.slots;
        if (!is_candidate(&x, in))
            continue;
        if (is_claimed(x.engine, in))
            claimed = x;
        x.random_key = qr_hash64(&in->random, sizeof(in->random), i);
        sample_add(distance_cost_ms(x.engine, in) > 0 ? &samples->remote
                                                      : &samples->zone,
                   &x);
    }
    best = claimed.engine ? &claimed : samples_best(&preferred, in);
    if (!best) {
        best = samples_best(&overloaded, in);
        c.ignores_backoff = best != NULL;
    }
    if (!best && known == 0)
        best = samples_best(&unknown, in);
    if (best)
        fill_choice(&c, best, in);
    else if (backoff.paused == backoff.able)
        c.backoff_ms = backoff.shortest_ms;
    return c;
}

bool qr_balance_evaluate(QREngine *e, const QRBalanceInput *in,
                         QRBalanceChoice *c)
{
    Candidate only = {.engine = e};

    if (!is_usable(e, in) || is_tried(in, e->record->id) ||
        qr_placement_check(&in->placement, e->record->zone) !=
            QR_PLACEMENT_ALLOWED)
        return false;
    only.forecast = forecast(e, 1, in); /* by its pace alone */
    fill_choice(c, &only, in);
    return true;
}

QRBalanceLimits qr_balance_tighten_limits(const QRBalanceLimits *l,
                                          unsigned asked)
{
    QRBalanceLimits limits = *l;

    if (asked < G_N_ELEMENTS(unread_shares))
        limits.max_unread_tokens =
            (unsigned)(l->max_unread_tokens * unread_shares[asked]);
    return limits;
}
