/*
 * A model of one engine's rate limit before many gateways: words between them
 * and the keeper are lost, doubled and late, answers overtake one another,
 * keepers change while gateways disagree on them, gateways start anew. What the
 * engine gets is summed as its promise says. The keeper's side and the words
 * are the program's; the gateway's few steps follow qr_relay_slot.c.
 */
#include "unit_limits.h"

#include "fleet/qr_notices.h"
#include "fleet/qr_slots.h"

#include <string.h>

enum {
    GATEWAYS = 9,
    RUN_MS = 40000,
    CALLS_PER_S = 12,  /* wanted of each gateway */
    ASK_MS = 60,       /* a reply that takes longer is given up */
    MUTE_MS = 1000,    /* and its keeper left alone */
    PACED_MS = 1000,   /* so long at most, for the limit */
    DISAGREE_MS = 400, /* between the first and the last to see a change */
    KEEPER_MS = 3500,  /* between two changes of the keeper */
    START_MS = 2500,   /* between two gateways that start anew */
    NAMED_MS = 2000,   /* the first limit */
    CHANGE_MS = 9000,  /* between two limits */
    CONTACT_MS = 3000, /* from the first one until the sum is owed */
    HEARD_MS = 500,    /* after which a gateway that was told counts */
    WINDOW_MS = 4000,
};

static const double limits[] = {8, 2.2, 0, 5, 0.5};

typedef enum EventKind {
    EVENT_ASK,    /* to the keeper */
    EVENT_REPLY,  /* of it */
    EVENT_ARRIVE, /* a request, at the engine */
    EVENT_ANSWER, /* of the engine */
} EventKind;

typedef struct Event {
    uint64_t at_ms;
    EventKind kind;
    unsigned gateway, keeper, life;
    uint32_t call;
    uint64_t sent_ms;
    QRAnnouncedLimit
        limit; /* told, or named; at_ms by the clock that all share */
    bool granted, paced;
    uint32_t wait_ms;
} Event;

typedef struct Gateway {
    QRNotices notices;
    QRAnnouncedLimit told; /* by keepers */
    uint32_t asked;        /* call that waits for a reply; 0: none */
    uint64_t asked_ms, mute_until_ms, paced_until_ms;
    unsigned keeper, life;
    uint64_t sees_ms; /* when it sees the newest keeper */
    QRSlots slots;    /* while it keeps them */
    bool keeps;
    uint64_t counted_ms; /* since when it counts as told; 0: not */
    char name[8];
} Gateway;

typedef struct Model {
    GRand *dice;
    uint64_t now_ms;
    GArray *events; /* Event */
    Gateway gateways[GATEWAYS];
    unsigned keeper;
    uint32_t calls;
    GArray *counted; /* uint64_t: arrivals that the promise counts */
    unsigned arrived;
    double worst; /* part of the allowance */
} Model;

static bool chance(Model *m, double p)
{
    return g_rand_double(m->dice) < p;
}

/* Late by up to 'most' ms; sometimes lost, sometimes twice. */
static void post(Model *m, Event e, unsigned most)
{
    for (unsigned n = chance(m, 0.03)   ? 0
                      : chance(m, 0.03) ? 2
                                        : 1;
         n > 0; n--) {
        e.at_ms = m->now_ms + 1 +
                  (uint64_t)g_rand_int_range(m->dice, 0, (gint32)most);
        g_array_append_val(m->events, e);
    }
}

static double limit_at(uint64_t ms)
{
    return limits[(ms - NAMED_MS) / CHANGE_MS % G_N_ELEMENTS(limits)];
}

static const QRAnnouncedLimit *in_force(const Gateway *g)
{
    return g->told.as_of_ms > g->notices.limit.as_of_ms ? &g->told
                                                        : &g->notices.limit;
}

static void ask(Model *m, unsigned i)
{
    Gateway *g = &m->gateways[i];
    Event e = {.kind = EVENT_ASK,
               .gateway = i,
               .keeper = g->keeper,
               .life = g->life,
               .call = ++m->calls,
               .limit = g->notices.limit};

    g->asked = m->calls;
    g->asked_ms = m->now_ms;
    post(m, e, 15);
}

static void send_call(Model *m, unsigned i)
{
    post(m,
         (Event){.kind = EVENT_ARRIVE,
                 .gateway = i,
                 .life = m->gateways[i].life,
                 .sent_ms = m->now_ms},
         20);
}

static void want_call(Model *m, unsigned i)
{
    Gateway *g = &m->gateways[i];
    bool mute = m->now_ms < g->mute_until_ms;

    if (g->asked || m->now_ms < g->paced_until_ms)
        return;
    if (!mute)
        ask(m, i);
    else if (!in_force(g)->is_set)
        send_call(m, i); /* as to an engine that nobody keeps */
}

static void on_ask(Model *m, const Event *e)
{
    Gateway *k = &m->gateways[e->keeper];
    Qr__Fleet__SlotRequest request = QR__FLEET__SLOT_REQUEST__INIT;
    Qr__Fleet__RateLimit limit;
    QRSlotReply reply;
    Event back = {.kind = EVENT_REPLY,
                  .gateway = e->gateway,
                  .keeper = e->keeper,
                  .life = e->life,
                  .call = e->call};

    if (!k->keeps) {
        qr_slots_init(&k->slots);
        k->keeps = true;
    }
    request.call = e->call;
    request.open_most = G_MAXUINT32;
    request.reading_most = G_MAXUINT32;
    if (e->limit.as_of_ms > 0) {
        qr_limit_encode(&e->limit, m->now_ms, &limit);
        request.limit = &limit;
    }
    (void)qr_slots_request(&k->slots, m->gateways[e->gateway].name, &request,
                           m->now_ms, &reply);
    back.granted = reply.head.granted;
    back.paced = reply.head.paced;
    back.wait_ms = reply.head.wait_ms;
    if (reply.head.limit)
        back.limit = qr_limit_decode(reply.head.limit, m->now_ms);
    post(m, back, 15);
}

static void on_reply(Model *m, const Event *e)
{
    Gateway *g = &m->gateways[e->gateway];

    if (g->life != e->life || g->asked != e->call)
        return;
    g->asked = 0;
    (void)qr_announced_limit_update(&g->told, &e->limit);
    if (in_force(g)->is_set && e->wait_ms > 0)
        g->paced_until_ms = m->now_ms + MIN(e->wait_ms, PACED_MS);
    if (e->granted && (e->paced || !in_force(g)->is_set))
        send_call(m, e->gateway);
}

static void check_sum(Model *m)
{
    uint64_t begin = m->now_ms - WINDOW_MS;
    double most = 0;
    unsigned got = 0;

    if (begin < NAMED_MS + CONTACT_MS)
        return;
    for (uint64_t t = begin - HEARD_MS; t <= m->now_ms; t += HEARD_MS)
        most = MAX(most, limit_at(t));
    for (unsigned i = m->counted->len; i > 0; i--) {
        if (g_array_index(m->counted, uint64_t, i - 1) <= begin)
            break;
        got++;
    }
    m->worst = MAX(m->worst, got / (1.5 * most * WINDOW_MS / 1000 + 5));
}

static void on_arrive(Model *m, const Event *e)
{
    const Gateway *g = &m->gateways[e->gateway];
    Event back = {.kind = EVENT_ANSWER,
                  .gateway = e->gateway,
                  .life = e->life,
                  .sent_ms = e->sent_ms};

    m->arrived++;
    if (m->now_ms >= NAMED_MS)
        back.limit = (QRAnnouncedLimit){true, limit_at(m->now_ms), m->now_ms};
    if (g->life == e->life && g->counted_ms > 0 &&
        m->now_ms >= g->counted_ms + HEARD_MS) {
        g_array_append_val(m->counted, m->now_ms);
        check_sum(m);
    }
    post(m, back, 80);
}

static void on_answer(Model *m, const Event *e)
{
    Gateway *g = &m->gateways[e->gateway];
    QRAnswerNotice notice = {.has_limit = e->limit.is_set,
                             .has_no_limit = !e->limit.is_set,
                             .limit_per_s = e->limit.per_s};

    if (g->life != e->life)
        return;
    (void)qr_notices_update(&g->notices, &notice, e->sent_ms, m->now_ms);
    if (notice.has_limit && g->counted_ms == 0)
        g->counted_ms = m->now_ms;
}

static void deliver(Model *m)
{
    static void (*const take[])(Model *, const Event *) = {
        on_ask, on_reply, on_arrive, on_answer};

    for (unsigned i = 0; i < m->events->len;) {
        Event e = g_array_index(m->events, Event, i);

        if (e.at_ms > m->now_ms) {
            i++;
            continue;
        }
        g_array_remove_index_fast(m->events, i);
        take[e.kind](m, &e);
    }
}

static void drop_slots(Gateway *g)
{
    if (g->keeps)
        qr_slots_clear(&g->slots);
    g->keeps = false;
}

/* Starts anew: it knows nothing, and nobody can have told it. */
static void restart(Model *m, unsigned i)
{
    Gateway *g = &m->gateways[i];
    unsigned life = g->life + 1;

    drop_slots(g);
    memset(g, 0, sizeof(*g));
    g->life = life;
    g->keeper = m->keeper;
    g_snprintf(g->name, sizeof(g->name), "g%u", i);
}

static void change_keeper(Model *m)
{
    m->keeper = (unsigned)g_rand_int_range(m->dice, 0, GATEWAYS);
    for (unsigned i = 0; i < GATEWAYS; i++)
        m->gateways[i].sees_ms =
            m->now_ms + (uint64_t)g_rand_int_range(m->dice, 0, DISAGREE_MS);
}

static void step_gateway(Model *m, unsigned i)
{
    Gateway *g = &m->gateways[i];

    if (g->sees_ms > 0 && m->now_ms >= g->sees_ms) {
        g->sees_ms = 0;
        g->keeper = m->keeper;
        g->mute_until_ms = 0;
        if (g->keeper != i)
            drop_slots(g);
    }
    if (g->asked && m->now_ms >= g->asked_ms + ASK_MS) {
        g->asked = 0;
        g->mute_until_ms = m->now_ms + MUTE_MS;
    }
    if (chance(m, CALLS_PER_S / 1000.0))
        want_call(m, i);
}

static void play(Model *m, uint32_t seed)
{
    m->dice = g_rand_new_with_seed(seed);
    m->events = g_array_new(FALSE, FALSE, sizeof(Event));
    m->counted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (unsigned i = 0; i < GATEWAYS; i++)
        restart(m, i);
    for (m->now_ms = 1; m->now_ms <= RUN_MS; m->now_ms++) {
        if (m->now_ms % KEEPER_MS == 0)
            change_keeper(m);
        if (m->now_ms % START_MS == 0)
            restart(m, (unsigned)g_rand_int_range(m->dice, 0, GATEWAYS));
        deliver(m);
        for (unsigned i = 0; i < GATEWAYS; i++)
            step_gateway(m, i);
    }
    for (unsigned i = 0; i < GATEWAYS; i++)
        drop_slots(&m->gateways[i]);
    g_array_unref(m->events);
    g_array_unref(m->counted);
    g_rand_free(m->dice);
}

START_TEST(limits_hold_whatever_is_lost)
{
    Model m = {0};

    play(&m, (uint32_t)_i);
    ck_assert_msg(m.worst <= 1, "seed %d: %.2f of the allowance", _i, m.worst);
    /* and the engine is still asked: a limit that ends is heard of */
    ck_assert_uint_gt(m.arrived, 50);
}
END_TEST

TCase *unit_limits_case(void)
{
    TCase *t = tcase_create("limits");

    tcase_set_timeout(t, 300);
    tcase_add_loop_test(t, limits_hold_whatever_is_lost, 1, 13);
    return t;
}
