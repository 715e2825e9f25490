/*
 * A simulation of many gateways that share one engine's rate limit. Messages
 * between gateways and the coordinator are lost, duplicated, delayed and
 * reordered. The coordinator changes while gateways disagree about it, and
 * gateways restart. The test sums the requests that the engine gets in a
 * window, and checks the sum against the permitted excess. The coordinator and
 * its messages are the code under test; the few steps of a gateway are modelled
 * on qr_relay_slot.c.
 */
#include "unit_limits.h"

#include "fleet/qr_notices.h"
#include "fleet/qr_slots.h"

#include <string.h>

enum {
    GATEWAYS = 9,
    RUN_MS = 40000,
    CALLS_PER_S = 12,              /* calls of each gateway */
    REPLY_TIMEOUT_MS = 60,         /* timeout of a request for a slot */
    COORDINATOR_AVOID_MS = 1000,   /* no requests to it after a timeout */
    MAX_PACED_MS = 1000,           /* longest pause for the rate limit */
    COORDINATOR_VIEW_LAG_MS = 400, /* until all gateways see a new one */
    COORDINATOR_CHANGE_MS = 3500,  /* between two changes of the coordinator */
    RESTART_MS = 2500,             /* between two restarts of gateways */
    FIRST_LIMIT_MS = 2000,         /* when the engine first announces a limit */
    LIMIT_CHANGE_MS = 9000,        /* between two changes of the limit */
    SETTLE_MS = 3000,     /* from the first limit until sums are checked */
    TOLD_SETTLE_MS = 500, /* a gateway counts this long after it is told */
    WINDOW_MS = 4000,
};

static const double limits[] = {8, 2.2, 0, 5, 0.5};

typedef enum EventKind {
    EVENT_SLOT_REQUEST, /* a request for a slot, at the coordinator */
    EVENT_SLOT_REPLY,   /* the coordinator's reply, at the gateway */
    EVENT_CALL,         /* a call, at the engine */
    EVENT_ANSWER,       /* the engine's answer, at the gateway */
} EventKind;

typedef struct Event {
    uint64_t at_ms;
    EventKind kind;
    unsigned gateway, coordinator, run;
    uint32_t call;
    uint64_t sent_ms;
    QRAnnouncedLimit limit; /* told by a gateway or coordinator, or announced by
                          the engine; at_ms by the clock that all share */
    bool granted, paced;
    uint32_t wait_ms;
} Event;

typedef struct Gateway {
    QRNotices notices;
    QRAnnouncedLimit told; /* by coordinators */
    uint32_t asked;        /* number of the pending request; 0: none */
    uint64_t asked_ms, avoid_coordinator_until_ms, paced_until_ms;
    unsigned coordinator, run;
    uint64_t sees_coordinator_ms; /* when it will see the newest coordinator */
    QRSlots slots;                /* while this gateway is the coordinator */
    bool is_coordinator;
    uint64_t told_limit_ms; /* when it was first told a limit; 0: not yet */
    char name[8];
} Gateway;

typedef struct Model {
    GRand *random;
    uint64_t now_ms;
    GArray *events; /* Event */
    Gateway gateways[GATEWAYS];
    unsigned coordinator;
    uint32_t calls;
    GArray *checked; /* uint64_t: times of calls that are checked */
    unsigned arrived;
    double worst_share; /* largest sum, as a share of the permitted one */
} Model;

static bool chance(Model *m, double p)
{
    return g_rand_double(m->random) < p;
}

/* Delivers 'e' within 'max_delay_ms'; 3 % are lost, 3 % of the rest doubled. */
static void post(Model *m, Event e, unsigned max_delay_ms)
{
    for (unsigned n = chance(m, 0.03)   ? 0
                      : chance(m, 0.03) ? 2
                                        : 1;
         n > 0; n--) {
        e.at_ms =
            m->now_ms + 1 +
            (uint64_t)g_rand_int_range(m->random, 0, (gint32)max_delay_ms);
        g_array_append_val(m->events, e);
    }
}

static double limit_at(uint64_t ms)
{
    return limits[(ms - FIRST_LIMIT_MS) / LIMIT_CHANGE_MS %
                  G_N_ELEMENTS(limits)];
}

static const QRAnnouncedLimit *in_force(const Gateway *g)
{
    return g->told.as_of_ms > g->notices.limit.as_of_ms ? &g->told
                                                        : &g->notices.limit;
}

static void request_slot(Model *m, unsigned i)
{
    Gateway *g = &m->gateways[i];
    Event e = {.kind = EVENT_SLOT_REQUEST,
               .gateway = i,
               .coordinator = g->coordinator,
               .run = g->run,
               .call = ++m->calls,
               .limit = g->notices.limit};

    g->asked = m->calls;
    g->asked_ms = m->now_ms;
    post(m, e, 15);
}

static void send_call(Model *m, unsigned i)
{
    post(m,
         (Event){.kind = EVENT_CALL,
                 .gateway = i,
                 .run = m->gateways[i].run,
                 .sent_ms = m->now_ms},
         20);
}

static void start_call(Model *m, unsigned i)
{
    Gateway *g = &m->gateways[i];
    bool avoids_coordinator = m->now_ms < g->avoid_coordinator_until_ms;

    if (g->asked || m->now_ms < g->paced_until_ms)
        return;
    if (!avoids_coordinator)
        request_slot(m, i);
    else if (!in_force(g)->is_set)
        send_call(m, i); /* as without a coordinator */
}

static void on_slot_request(Model *m, const Event *e)
{
    Gateway *k = &m->gateways[e->coordinator];
    Qr__Fleet__SlotRequest request = QR__FLEET__SLOT_REQUEST__INIT;
    Qr__Fleet__RateLimit limit;
    QRSlotReply reply;
    Event back = {.kind = EVENT_SLOT_REPLY,
                  .gateway = e->gateway,
                  .coordinator = e->coordinator,
                  .run = e->run,
                  .call = e->call};

    if (!k->is_coordinator) {
        qr_slots_init(&k->slots);
        k->is_coordinator = true;
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

static void on_slot_reply(Model *m, const Event *e)
{
    Gateway *g = &m->gateways[e->gateway];

    if (g->run != e->run || g->asked != e->call)
        return;
    g->asked = 0;
    (void)qr_announced_limit_update(&g->told, &e->limit);
    if (in_force(g)->is_set && e->wait_ms > 0)
        g->paced_until_ms = m->now_ms + MIN(e->wait_ms, MAX_PACED_MS);
    if (e->granted && (e->paced || !in_force(g)->is_set))
        send_call(m, e->gateway);
}

static void check_sum(Model *m)
{
    uint64_t begin = m->now_ms - WINDOW_MS;
    double max_limit = 0;
    unsigned got = 0;

    if (begin < FIRST_LIMIT_MS + SETTLE_MS)
        return;
    for (uint64_t t = begin - TOLD_SETTLE_MS; t <= m->now_ms;
         t += TOLD_SETTLE_MS)
        max_limit = MAX(max_limit, limit_at(t));
    for (unsigned i = m->checked->len; i > 0; i--) {
        if (g_array_index(m->checked, uint64_t, i - 1) <= begin)
            break;
        got++;
    }
    m->worst_share =
        MAX(m->worst_share, got / (1.5 * max_limit * WINDOW_MS / 1000 + 5));
}

static void on_call(Model *m, const Event *e)
{
    const Gateway *g = &m->gateways[e->gateway];
    Event back = {.kind = EVENT_ANSWER,
                  .gateway = e->gateway,
                  .run = e->run,
                  .sent_ms = e->sent_ms};

    m->arrived++;
    if (m->now_ms >= FIRST_LIMIT_MS)
        back.limit = (QRAnnouncedLimit){true, limit_at(m->now_ms), m->now_ms};
    if (g->run == e->run && g->told_limit_ms > 0 &&
        m->now_ms >= g->told_limit_ms + TOLD_SETTLE_MS) {
        g_array_append_val(m->checked, m->now_ms);
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

    if (g->run != e->run)
        return;
    (void)qr_notices_update(&g->notices, &notice, e->sent_ms, m->now_ms);
    if (notice.has_limit && g->told_limit_ms == 0)
        g->told_limit_ms = m->now_ms;
}

static void deliver(Model *m)
{
    static void (*const handlers[])(Model *, const Event *) = {
        on_slot_request, on_slot_reply, on_call, on_answer};

    for (unsigned i = 0; i < m->events->len;) {
        Event e = g_array_index(m->events, Event, i);

        if (e.at_ms > m->now_ms) {
            i++;
            continue;
        }
        g_array_remove_index_fast(m->events, i);
        handlers[e.kind](m, &e);
    }
}

static void drop_slots(Gateway *g)
{
    if (g->is_coordinator)
        qr_slots_clear(&g->slots);
    g->is_coordinator = false;
}

/* Restarts a gateway, which then knows nothing; messages to its earlier run are
   dropped. */
static void restart(Model *m, unsigned i)
{
    Gateway *g = &m->gateways[i];
    unsigned run = g->run + 1;

    drop_slots(g);
    memset(g, 0, sizeof(*g));
    g->run = run;
    g->coordinator = m->coordinator;
    g_snprintf(g->name, sizeof(g->name), "g%u", i);
}

static void change_coordinator(Model *m)
{
    m->coordinator = (unsigned)g_rand_int_range(m->random, 0, GATEWAYS);
    for (unsigned i = 0; i < GATEWAYS; i++)
        m->gateways[i].sees_coordinator_ms =
            m->now_ms +
            (uint64_t)g_rand_int_range(m->random, 0, COORDINATOR_VIEW_LAG_MS);
}

static void step_gateway(Model *m, unsigned i)
{
    Gateway *g = &m->gateways[i];

    if (g->sees_coordinator_ms > 0 && m->now_ms >= g->sees_coordinator_ms) {
        g->sees_coordinator_ms = 0;
        g->coordinator = m->coordinator;
        g->avoid_coordinator_until_ms = 0;
        if (g->coordinator != i)
            drop_slots(g);
    }
    if (g->asked && m->now_ms >= g->asked_ms + REPLY_TIMEOUT_MS) {
        g->asked = 0;
        g->avoid_coordinator_until_ms = m->now_ms + COORDINATOR_AVOID_MS;
    }
    if (chance(m, CALLS_PER_S / 1000.0))
        start_call(m, i);
}

static void run_model(Model *m, uint32_t seed)
{
    m->random = g_rand_new_with_seed(seed);
    m->events = g_array_new(FALSE, FALSE, sizeof(Event));
    m->checked = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (unsigned i = 0; i < GATEWAYS; i++)
        restart(m, i);
    for (m->now_ms = 1; m->now_ms <= RUN_MS; m->now_ms++) {
        if (m->now_ms % COORDINATOR_CHANGE_MS == 0)
            change_coordinator(m);
        if (m->now_ms % RESTART_MS == 0)
            restart(m, (unsigned)g_rand_int_range(m->random, 0, GATEWAYS));
        deliver(m);
        for (unsigned i = 0; i < GATEWAYS; i++)
            step_gateway(m, i);
    }
    for (unsigned i = 0; i < GATEWAYS; i++)
        drop_slots(&m->gateways[i]);
    g_array_unref(m->events);
    g_array_unref(m->checked);
    g_rand_free(m->random);
}

START_TEST(rate_limit_holds_despite_lost_messages)
{
    Model m = {0};

    run_model(&m, (uint32_t)_i);
    ck_assert_msg(m.worst_share <= 1, "seed %d: %.2f of the allowance", _i,
                  m.worst_share);
    /* calls still reach the engine, and gateways learn of a limit that ends */
    ck_assert_uint_gt(m.arrived, 50);
}
END_TEST

TCase *unit_limits_case(void)
{
    TCase *t = tcase_create("limits");

    tcase_set_timeout(t, 300);
    tcase_add_loop_test(t, rate_limit_holds_despite_lost_messages, 1, 13);
    return t;
}
