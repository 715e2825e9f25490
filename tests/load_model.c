/*
 * A model of engines, gateways and callers under load.
 */
#include "load_model.h"

#include "gateway/qr_balance.h"
#include "fleet/qr_slots.h"

#include <math.h>
#include <string.h>

#define TICK_MS 20       /* of a gateway */
#define HEARTBEAT_MS 100 /* between two words of a gateway to the others */
#define STATE_MS 1000    /* between two of an engine's process to a gateway */
#define DEADLINE_MS 6000
#define WAIT_SHARE 4 /* of the objective: how long a first try waits */
#define WAIT_MARGIN_MS 12
#define LATE_WAIT_MS 500   /* how long one waits who came back */
#define BACK_MS 300        /* who is refused comes back after that and ... */
#define BACK_SPREAD_MS 900 /* at random, so much at most */
#define WARM_MS 1000
#define ASKS_AT_ONCE 6
#define DENIED_MS 25
#define QUEUE_MOST 24   /* calls that an engine without a free slot takes */
#define LONG_PROMPT 2.3 /* times the mean: a tenth of exponential ones */

typedef struct Engine Engine;
typedef struct Gateway Gateway;

typedef struct Call {
    unsigned kind, prompt, events;
    uint64_t arrived_ms; /* first try */
    uint64_t try_ms;     /* this one */
    bool returned, waiting;
    Gateway *gateway;
    unsigned engine;
    unsigned asked, denials;
    bool full_terms, asking;
    /* at the engine */
    unsigned unread;
    uint64_t event_ms; /* of the last event; 0: none yet */
    bool gap_missed, in_time;
} Call;

struct Engine {
    GQueue active, queue; /* Call * */
    uint64_t free_ms;     /* when the pass that runs is over */
    GPtrArray *in_pass;   /* Call *: that write an event at its end */
    QRSlots slots;
};

struct Gateway {
    QREngines engines;
    char name[16];
    GQueue waiting, late_waiting; /* Call * */
};

typedef enum WordKind {
    WORD_SEND,  /* a call arrives at its engine */
    WORD_FIRST, /* its first event, at the gateway */
    WORD_END,
    WORD_FULL, /* the engine took no more */
    WORD_ASK,
    WORD_GRANT,
    WORD_DENY,
    WORD_HELD,  /* what a gateway holds, at the engine's process */
    WORD_STATE, /* what others hold, at a gateway */
    WORD_LOAD,  /* what a gateway holds, at another one */
    WORD_CALL,  /* a caller arrives */
} WordKind;

typedef struct Word {
    WordKind kind;
    uint64_t due_ms, order;
    Call *call;
    Gateway *from, *to;
    unsigned engine;
    QRSlotLoad load;
    QRSlotCall wish;
} Word;

typedef struct Model {
    const LoadSetup *s;
    Engine *engines;
    Gateway *gateways;
    QREngineModel costs;
    GHashTable *regions;
    GSequence *words; /* Word *, by due time */
    uint64_t now_ms, random, order;
    double owed;
    LoadOutcome out;
    double taken_sum;
    unsigned taken_times;
} Model;

static double draw(Model *m)
{
    m->random = qr_hash64(&m->random, sizeof(m->random), 3);
    return (double)(m->random >> 11) / (double)(1ull << 53);
}

static int word_order(const void *a, const void *b, void *data)
{
    const Word *x = a, *y = b;

    (void)data;
    if (x->due_ms != y->due_ms)
        return x->due_ms < y->due_ms ? -1 : 1;
    return x->order < y->order ? -1 : x->order > y->order;
}

static void post(Model *m, unsigned after_ms, const Word *w)
{
    Word *copy = g_memdup2(w, sizeof(*w));

    copy->due_ms = m->now_ms + after_ms;
    copy->order = m->order++;
    g_sequence_insert_sorted(m->words, copy, word_order, NULL);
}

static QREngine *known(Gateway *g, unsigned engine)
{
    char id[16];

    g_snprintf(id, sizeof(id), "e%u", engine);
    return qr_engines_get(&g->engines, id);
}

static unsigned index_of(const QREngine *e)
{
    return (unsigned)g_ascii_strtoull(e->record->id + 1, NULL, 10);
}

/* -- callers ------------------------------------------------------------- */

static bool counts(const Call *c)
{
    return c->arrived_ms >= WARM_MS;
}

static bool is_long(const Model *m, const Call *c)
{
    return c->prompt >= m->s->kinds[c->kind].prompt * LONG_PROMPT;
}

static void call_over(Model *m, Call *c, bool served)
{
    LoadOutcome *o = &m->out;

    if (counts(c)) {
        o->callers++;
        o->kind_callers[c->kind]++;
        o->largest += is_long(m, c);
        o->largest_served += is_long(m, c) && served;
        o->refused += !served;
        o->in_aim += served && c->in_time && !c->gap_missed;
        o->kind_in_aim[c->kind] += served && c->in_time && !c->gap_missed;
        o->late += served && (!c->in_time || c->gap_missed);
    }
    g_free(c);
}

static void refuse(Model *m, Call *c)
{
    unsigned back = BACK_MS + (unsigned)(draw(m) * BACK_SPREAD_MS);
    Word w = {.kind = WORD_CALL, .call = c};

    m->out.firsts_refused += !c->returned && counts(c);
    if (c->returned) {
        call_over(m, c, false);
        return;
    }
    c->returned = true;
    c->waiting = c->asking = false;
    c->asked = c->denials = 0;
    post(m, back, &w);
}

/* Poisson: the sum of many drawings of a small chance. */
static void callers_arrive(Model *m)
{
    static const unsigned draws_a_ms = 8;

    for (unsigned i = 0; i < draws_a_ms; i++) {
        double which = draw(m), sum = 0;
        Word w = {.kind = WORD_CALL};
        Call *c;

        if (draw(m) >= m->s->calls_per_s / 1000 / draws_a_ms)
            continue;
        c = g_new0(Call, 1);
        for (unsigned k = 0; k < LOAD_KINDS; k++) {
            c->kind = k;
            sum += m->s->kinds[k].share;
            if (which < sum)
                break;
        }
        c->arrived_ms = m->now_ms;
        c->prompt = (unsigned)(-log(1 - draw(m)) * m->s->kinds[c->kind].prompt);
        c->prompt = MAX(c->prompt, 1);
        c->events = m->s->kinds[c->kind].events;
        w.call = c;
        post(m, 0, &w);
    }
}

/* -- gateways ------------------------------------------------------------ */

static QRBalanceInput input_of(Model *m, const Call *c)
{
    const LoadSetup *s = m->s;
    QRBalanceInput in = {
        .service = "s",
        .zone = "z",
        .region = "r",
        .regions = m->regions,
        .model = &m->costs,
        .prompt = c->prompt,
        .objective_ms = s->kinds[0].objective_ms,
        .gap_ms = s->kinds[c->kind].gap_ms,
        .waited_ms = (uint32_t)(m->now_ms - c->arrived_ms),
        .late = c->returned,
        .now_ms = m->now_ms,
    };

    for (unsigned k = 1; k < LOAD_KINDS; k++)
        in.objective_ms = MIN(in.objective_ms, s->kinds[k].objective_ms);
    in.random = (uint64_t)(draw(m) * 1e15);
    return in;
}

static uint64_t wait_until(const Model *m, const Call *c)
{
    unsigned first =
        m->s->kinds[c->kind].objective_ms / WAIT_SHARE - WAIT_MARGIN_MS;

    return c->try_ms + (c->returned ? LATE_WAIT_MS : first);
}

static void wait_or_refuse(Model *m, Call *c)
{
    Gateway *g = c->gateway;
    GQueue *queue = c->returned ? &g->late_waiting : &g->waiting;

    if (m->now_ms < wait_until(m, c)) {
        if (!c->waiting)
            g_queue_push_tail(queue, c);
        c->waiting = true;
        return;
    }
    if (c->waiting)
        g_queue_remove(queue, c);
    refuse(m, c);
}

static void send(Model *m, Call *c, QREngine *e)
{
    Word w = {.kind = WORD_SEND, .call = c, .engine = index_of(e)};

    if (c->waiting)
        g_queue_remove(
            c->returned ? &c->gateway->late_waiting : &c->gateway->waiting, c);
    c->waiting = false;
    c->engine = w.engine;
    e->own++;
    e->reading += c->prompt;
    c->unread = c->prompt;
    c->event_ms = 0;
    m->out.sent += counts(c);
    post(m, m->s->word_ms, &w);
}

static void ask(Model *m, Call *c, const QRBalanceChoice *choice)
{
    QREngine *e = choice->engine;
    QRBalanceLimits terms = qr_balance_terms(&choice->limits, c->asked);
    Word w = {
        .kind = WORD_ASK,
        .call = c,
        .from = c->gateway,
        .engine = index_of(e),
        .load = {qr_engine_held(e), qr_engine_held_reading(e)},
        .wish = {c->prompt, terms.open_most, terms.reading_most, c->returned,
                 c->denials},
    };

    c->asking = true;
    c->asked++;
    c->full_terms = terms.reading_most == choice->limits.reading_most;
    e->slots.requested++;
    e->slots.requested_reading += c->prompt;
    e->slots.unreported = false;
    m->out.asked++;
    post(m, m->s->word_ms, &w);
}

static void try_call(Model *m, Call *c)
{
    Gateway *g = c->gateway;
    QRBalanceInput in = input_of(m, c);
    QRBalanceChoice choice;

    if (c->asking)
        return;
    choice = qr_balance_choose(&g->engines, &in);
    if (c->returned && !g_queue_is_empty(&g->waiting))
        choice.engine = NULL;
    if (!choice.engine)
        wait_or_refuse(m, c);
    else if (choice.is_reserved)
        ask(m, c, &choice);
    else
        send(m, c, choice.engine);
}

static void take_reply(Model *m, const Word *w)
{
    Call *c = w->call;
    QREngine *e = known(c->gateway, w->engine);

    c->asking = false;
    e->slots.requested--;
    e->slots.requested_reading -= c->prompt;
    e->slots.unreported = true;
    e->slots.others_open = w->load.open;
    e->slots.others_reading = w->load.reading;
    e->slots.others_reported_ms = m->now_ms;
    if (w->kind == WORD_GRANT) {
        send(m, c, e);
        return;
    }
    m->out.denied++;
    c->denials += c->full_terms;
    e->slots.denied_until_ms = m->now_ms + DENIED_MS;
    if (c->asked > ASKS_AT_ONCE)
        wait_or_refuse(m, c);
    else
        try_call(m, c);
}

static void try_queue(Model *m, GQueue *queue)
{
    g_autoptr(GList) all = g_list_copy(queue->head);

    for (GList *l = all; l; l = l->next)
        try_call(m, l->data);
}

static void tell_held(Model *m, Gateway *g, QREngine *e)
{
    Word w = {
        .kind = WORD_HELD,
        .from = g,
        .engine = index_of(e),
        .load = {qr_engine_held(e), qr_engine_held_reading(e)},
    };

    e->slots.unreported = false;
    post(m, m->s->word_ms, &w);
}

static void tell_load(Model *m, Gateway *g, const QREngine *e)
{
    Word w = {
        .kind = WORD_LOAD,
        .from = g,
        .engine = index_of(e),
        .load = {e->own, e->reading},
    };

    for (unsigned i = 0; i < m->s->gateways; i++) {
        w.to = &m->gateways[i];
        if (w.to != g)
            post(m, m->s->word_ms + m->s->news_ms, &w);
    }
}

static void gateway_tell(Model *m, Gateway *g, bool heartbeat)
{
    for (unsigned i = 0; i < m->s->engines; i++) {
        QREngine *e = known(g, i);
        bool changed =
            e->own != e->own_reported || e->reading != e->reading_reported;

        if (m->s->way == LOAD_RESERVED && e->slots.unreported)
            tell_held(m, g, e);
        if (m->s->way == LOAD_TOLD && heartbeat && changed) {
            e->own_reported = e->own;
            e->reading_reported = e->reading;
            tell_load(m, g, e);
        }
    }
}

static void gateway_tick(Model *m, unsigned i)
{
    Gateway *g = &m->gateways[i];

    try_queue(m, &g->waiting);
    try_queue(m, &g->late_waiting);
    gateway_tell(m, g,
                 m->now_ms % HEARTBEAT_MS ==
                     i % HEARTBEAT_MS / TICK_MS * TICK_MS + i % TICK_MS);
}

/* -- engines ------------------------------------------------------------- */

static void call_event(Model *m, unsigned at, Call *c)
{
    const LoadSetup *s = m->s;
    Word w = {.kind = WORD_FIRST, .call = c, .engine = at};

    if (c->event_ms == 0) {
        c->in_time = m->now_ms + s->word_ms <=
                     c->arrived_ms + s->kinds[c->kind].objective_ms;
        post(m, s->word_ms, &w);
    } else if (m->now_ms > c->event_ms + s->kinds[c->kind].gap_ms) {
        c->gap_missed = true;
    }
    c->event_ms = m->now_ms;
    if (--c->events > 0)
        return;
    g_queue_remove(&m->engines[at].active, c);
    w.kind = WORD_END;
    post(m, s->word_ms, &w);
}

/* Tokens that are read in the pass: of the oldest calls first. */
static unsigned read_chunk(const LoadSetup *s, Engine *e)
{
    unsigned left = s->chunk;

    for (GList *l = e->active.head; l && left > 0; l = l->next) {
        Call *c = l->data;
        unsigned n = MIN(left, c->unread);

        c->unread -= n;
        left -= n;
    }
    return s->chunk - left;
}

static void engine_pass(Model *m, unsigned at)
{
    const LoadSetup *s = m->s;
    Engine *e = &m->engines[at];
    unsigned tokens;

    if (m->now_ms < e->free_ms)
        return;
    for (unsigned i = 0; i < e->in_pass->len; i++)
        call_event(m, at, e->in_pass->pdata[i]);
    g_ptr_array_set_size(e->in_pass, 0);
    while (e->active.length < s->slots && e->queue.length > 0)
        g_queue_push_tail(&e->active, g_queue_pop_head(&e->queue));
    if (e->active.length == 0)
        return;
    tokens = read_chunk(s, e);
    for (GList *l = e->active.head; l; l = l->next) {
        if (((Call *)l->data)->unread == 0)
            g_ptr_array_add(e->in_pass, l->data);
    }
    e->free_ms = m->now_ms + (uint64_t)(tokens / s->read_per_ms) +
                 (e->in_pass->len > 0 ? (uint64_t)(s->stride * s->step_ms) : 0);
}

static void call_at_engine(Model *m, const Word *w)
{
    Engine *e = &m->engines[w->engine];
    Word full = {.kind = WORD_FULL, .call = w->call, .engine = w->engine};

    if (e->active.length < m->s->slots) {
        g_queue_push_tail(&e->active, w->call);
        return;
    }
    m->out.overfull += counts(w->call);
    if (e->queue.length < QUEUE_MOST)
        g_queue_push_tail(&e->queue, w->call);
    else
        post(m, m->s->word_ms, &full);
}

static void answer_ask(Model *m, const Word *w)
{
    QRSlots *slots = &m->engines[w->engine].slots;
    Word reply = *w;
    bool granted;

    qr_slots_report(slots, w->from->name, &w->load, m->now_ms);
    granted = qr_slots_reserve(slots, w->from->name, &w->wish, m->now_ms);
    reply.kind = granted ? WORD_GRANT : WORD_DENY;
    reply.load = qr_slots_held_by_others(slots, w->from->name, m->now_ms);
    post(m, m->s->word_ms, &reply);
}

static void engine_state(Model *m, unsigned at)
{
    for (unsigned i = 0; i < m->s->gateways; i++) {
        Word w = {.kind = WORD_STATE, .to = &m->gateways[i], .engine = at};

        w.load = qr_slots_held_by_others(&m->engines[at].slots, w.to->name,
                                         m->now_ms);
        post(m, m->s->word_ms, &w);
    }
}

/* -- all ----------------------------------------------------------------- */

static void take_progress(Model *m, const Word *w)
{
    Call *c = w->call;
    QREngine *e = known(c->gateway, w->engine);

    if (w->kind == WORD_FIRST) {
        e->reading -= MIN(e->reading, c->prompt);
        e->slots.unreported = true;
        return;
    }
    e->own--;
    e->slots.unreported = true;
    if (w->kind == WORD_END) {
        call_over(m, c, true);
        return;
    }
    e->reading -= MIN(e->reading, c->prompt);
    qr_engine_outcome(e, QR_OUTCOME_FULL, 0, m->now_ms);
    refuse(m, c);
}

static void take_word(Model *m, const Word *w)
{
    QRGatewayLoad told = {w->load.open, w->load.reading, m->now_ms};
    QREngine *e;

    switch (w->kind) {
    case WORD_CALL:
        w->call->gateway = &m->gateways[(unsigned)(draw(m) * m->s->gateways)];
        w->call->try_ms = m->now_ms;
        try_call(m, w->call);
        break;
    case WORD_SEND:
        call_at_engine(m, w);
        break;
    case WORD_FIRST:
    case WORD_END:
    case WORD_FULL:
        take_progress(m, w);
        break;
    case WORD_ASK:
        answer_ask(m, w);
        break;
    case WORD_GRANT:
    case WORD_DENY:
        take_reply(m, w);
        break;
    case WORD_HELD:
        qr_slots_report(&m->engines[w->engine].slots, w->from->name, &w->load,
                        m->now_ms);
        break;
    case WORD_STATE:
        e = known(w->to, w->engine);
        e->slots.others_open = w->load.open;
        e->slots.others_reading = w->load.reading;
        e->slots.others_reported_ms = m->now_ms;
        break;
    case WORD_LOAD:
        e = known(w->to, w->engine);
        qr_engines_report_load(&w->to->engines, e->record->id, w->from->name,
                               &told);
        break;
    }
}

static void take_words(Model *m)
{
    GSequenceIter *it;

    while ((it = g_sequence_get_begin_iter(m->words)),
           !g_sequence_iter_is_end(it)) {
        Word w = *(Word *)g_sequence_get(it);

        if (w.due_ms > m->now_ms)
            return;
        g_sequence_remove(it);
        take_word(m, &w);
    }
}

static void model_step(Model *m)
{
    if (m->now_ms < m->s->length_ms)
        callers_arrive(m);
    take_words(m);
    for (unsigned i = 0; i < m->s->engines; i++) {
        engine_pass(m, i);
        if (m->now_ms >= WARM_MS && m->now_ms < m->s->length_ms) {
            m->taken_sum += m->engines[i].active.length;
            m->taken_times += m->s->slots;
        }
        if (m->s->way == LOAD_RESERVED &&
            m->now_ms % STATE_MS == i * STATE_MS / m->s->engines)
            engine_state(m, i);
    }
    for (unsigned i = 0; i < m->s->gateways; i++) {
        if (m->now_ms % TICK_MS == i % TICK_MS)
            gateway_tick(m, i);
    }
}

static void gateway_init(Model *m, unsigned at)
{
    Gateway *g = &m->gateways[at];

    g_snprintf(g->name, sizeof(g->name), "g%u", at);
    qr_engines_init(&g->engines);
    for (unsigned i = 0; i < m->s->engines; i++) {
        QREngineRecord *r = g_new0(QREngineRecord, 1);

        r->id = g_strdup_printf("e%u", i);
        r->service = g_strdup("s");
        r->address = g_strdup_printf("127.0.0.1:%u", 1000 + i);
        r->zone = g_strdup("z");
        r->slots = m->s->slots;
        r->model = g_strdup("m");
        r->version = 1;
        qr_engines_update(&g->engines, r, 1);
        if (m->s->way == LOAD_RESERVED)
            known(g, i)->slots.coordinator_kind = QR_COORDINATOR_SIDECAR;
    }
}

static void model_init(Model *m, const LoadSetup *s)
{
    memset(m, 0, sizeof(*m));
    m->s = s;
    m->random = s->seed;
    m->words = g_sequence_new(g_free);
    m->regions = g_hash_table_new(g_str_hash, g_str_equal);
    m->costs.model = (char *)"m";
    m->costs.read_per_s = s->read_per_ms * 1000;
    m->costs.step_ms = s->step_ms;
    m->costs.stride = s->stride;
    m->engines = g_new0(Engine, s->engines);
    m->gateways = g_new0(Gateway, s->gateways);
    for (unsigned i = 0; i < s->engines; i++) {
        m->engines[i].in_pass = g_ptr_array_new();
        qr_slots_init(&m->engines[i].slots);
        m->engines[i].slots.read_per_ms = s->read_per_ms;
    }
    for (unsigned i = 0; i < s->gateways; i++)
        gateway_init(m, i);
}

static void model_clear(Model *m)
{
    for (unsigned i = 0; i < m->s->engines; i++) {
        g_ptr_array_unref(m->engines[i].in_pass);
        qr_slots_clear(&m->engines[i].slots);
    }
    for (unsigned i = 0; i < m->s->gateways; i++)
        qr_engines_clear(&m->gateways[i].engines);
    g_sequence_free(m->words);
    g_hash_table_unref(m->regions);
    g_free(m->engines);
    g_free(m->gateways);
}

LoadSetup load_setup(LoadWay way)
{
    LoadSetup s = {
        .way = way,
        .gateways = 41,
        .engines = 45,
        .slots = 12,
        .read_per_ms = 20.7,
        .step_ms = 9.5,
        .stride = 5,
        .chunk = 2048,
        .kinds = {{0.34, 1330, 21, 500, 400},
                  {0.42, 827, 21, 400, 400},
                  {0.24, 647, 14, 400, 400}},
        .word_ms = 2,
        .news_ms = 20,
        .length_ms = 10000,
        .seed = 1,
    };

    s.calls_per_s = load_capacity(&s);
    return s;
}

double load_capacity(const LoadSetup *s)
{
    double ms = 0;

    for (unsigned k = 0; k < LOAD_KINDS; k++)
        ms += s->kinds[k].share *
              (s->kinds[k].prompt / s->read_per_ms +
               s->kinds[k].events * s->stride * s->step_ms / s->slots);
    return s->engines * 1000 / ms;
}

LoadOutcome load_run(const LoadSetup *s)
{
    Model m;
    LoadOutcome out;

    model_init(&m, s);
    for (; m.now_ms < s->length_ms + 2 * DEADLINE_MS; m.now_ms++)
        model_step(&m);
    out = m.out;
    out.taken = m.taken_sum / MAX(m.taken_times, 1u);
    model_clear(&m);
    return out;
}
