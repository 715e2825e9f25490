/*
 * Model of the retry budget of a whole fleet. Each gateway has a budget, and
 * its retries arrive at engines at once or late. The bound (see qr_budget.c) is
 * checked over every window, on the retries that arrive.
 */
#include "unit_budget.h"

#include "gateway/qr_budget.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define STEP_MS 20
#define WINDOW_MS 10000
#define WINDOW (WINDOW_MS / STEP_MS)
#define STEPS (70000 / STEP_MS)
#define RATIO 0.2
#define GATEWAYS 34 /* a fleet of the usual size, with the usual load */
#define CALLS_S 650.0
#define ALLOWANCE 102
#define UNLIMITED 100000 /* retries wanted: more than any budget allows */
/* Longest delay of a retry: an engine's machine may freeze for that long. */
#define MAX_LATE_MS 8000

typedef struct Gateway {
    QRBudget budget;
    uint64_t started_ms;
    unsigned gateways_known; /* this one included; 0: none heard of */
    double calls_due;        /* fraction of a call carried to the next step */
} Gateway;

typedef struct Fleet {
    Gateway *gateways;
    unsigned n;
    double allowance;
    unsigned step;
    unsigned calls[STEPS], retries[STEPS]; /* arrivals per step */
} Fleet;

static uint64_t now_ms(const Fleet *f)
{
    return 1000000 + (uint64_t)f->step * STEP_MS;
}

/* The gateway's process starts, or is killed and starts again at once. */
static void restart(Fleet *f, unsigned i, unsigned known)
{
    Gateway *g = &f->gateways[i];

    qr_budget_init(&g->budget, RATIO, WINDOW_MS);
    g->started_ms = now_ms(f);
    g->gateways_known = known;
}

static void restart_all(Fleet *f, unsigned known)
{
    for (unsigned i = 0; i < f->n; i++)
        restart(f, i, known);
}

static Fleet *fleet_new(unsigned n, double allowance)
{
    Fleet *f = g_new0(Fleet, 1);

    f->gateways = g_new0(Gateway, n);
    f->n = n;
    f->allowance = allowance;
    restart_all(f, n);
    return f;
}

static void add_calls(Fleet *f, unsigned i, double a_second)
{
    Gateway *g = &f->gateways[i];

    for (g->calls_due += a_second * STEP_MS / 1000; g->calls_due >= 1;
         g->calls_due--) {
        f->calls[f->step]++;
        qr_budget_add_call(&g->budget, now_ms(f));
    }
}

/* Sends up to 'wanted' retries, which arrive 'late_ms' later. */
static void take_retries(Fleet *f, unsigned i, unsigned wanted,
                         unsigned late_ms)
{
    Gateway *g = &f->gateways[i];
    QRBudgetFleet knowledge = {f->allowance, g->gateways_known,
                               now_ms(f) - g->started_ms};
    double part = qr_budget_allowance_share(&g->budget, &knowledge);
    unsigned at = f->step + late_ms / STEP_MS;

    while (wanted-- > 0 && qr_budget_take_retry(&g->budget, part, now_ms(f))) {
        if (at < STEPS)
            f->retries[at]++;
    }
}

/* Runs the fleet for 'ms'. All gateways get the same load. */
static void run_for(Fleet *f, unsigned ms, double a_second, unsigned wanted,
                    unsigned late_ms)
{
    for (unsigned end = f->step + ms / STEP_MS; f->step < end; f->step++) {
        for (unsigned i = 0; i < f->n; i++) {
            add_calls(f, i, a_second / f->n);
            take_retries(f, i, wanted, late_ms);
        }
    }
}

static unsigned sum(const unsigned *list, int from, int until)
{
    unsigned all = 0;

    for (int i = MAX(from, 0); i < MIN(until, STEPS); i++)
        all += list[i];
    return all;
}

/* Returns by how many retries the worst window exceeds the bound (negative if
   none does), and frees the fleet. */
static double free_and_get_excess(Fleet *f)
{
    double worst = -INFINITY;

    for (int t = 0; t < STEPS; t++) {
        unsigned most =
            MAX(sum(f->calls, t, t + WINDOW), sum(f->calls, t - WINDOW, t));
        unsigned half = sum(f->calls, t - WINDOW / 2, t + WINDOW / 2);
        double over = sum(f->retries, t, t + WINDOW) - RATIO * MAX(most, half) -
                      f->allowance;

        worst = MAX(worst, over);
    }
    g_free(f->gateways);
    g_free(f);
    return worst;
}

/*
 * Guards against twice the allowed retries in one window. Connections go
 * silent, and from then on more retries are wanted than allowed. The whole
 * budget is spent at once, and again as soon as the first burst leaves the
 * window. A budget that counts the current slice as a
 * whole one covers only 9.5 s of a window at times.
 */
START_TEST(budget_bursts_at_both_ends_of_window)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    run_for(f, 20400, CALLS_S, 0, 0);
    run_for(f, 40000, CALLS_S, UNLIMITED, 0);
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/*
 * Guards against retries of twice the ratio. Gateways spend their budgets and
 * are killed, and their next runs get calls and spend a share of these. A run
 * does not know what the previous run has spent.
 */
START_TEST(budget_restarted_runs_share_a_window)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    run_for(f, 20000, CALLS_S, 0, 0);
    run_for(f, 200, CALLS_S, UNLIMITED, 0);
    restart_all(f, GATEWAYS);
    run_for(f, 9000, CALLS_S, UNLIMITED, 0);
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/*
 * Guards against retries beyond the allowance in a fleet with hardly any
 * calls. Processes are killed once a second. Each run uses a share of the
 * allowance, however small, and nothing limits the number of runs in a window.
 */
START_TEST(budget_many_short_runs)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    for (unsigned i = 0; i < 20; i++) {
        run_for(f, 1000, 1, UNLIMITED, 0);
        restart_all(f, GATEWAYS);
    }
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/*
 * Guards against each gateway spending the whole allowance. All gateways start
 * while no connection between them works, for longer than a window. A
 * gateway that has heard of no other must not divide the allowance by one.
 */
START_TEST(budget_gateways_without_peers)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    restart_all(f, 0);
    run_for(f, 20000, CALLS_S, 0, 0);
    run_for(f, 1000, CALLS_S, UNLIMITED, 0);
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/*
 * Guards against a sum of 1.4 x the allowance. A permanent network partition
 * splits the fleet in halves, and the gateways on either side restart. Each
 * divides the allowance by the number of gateways that it knows.
 */
START_TEST(budget_gateways_that_know_half)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    restart_all(f, GATEWAYS / 2);
    run_for(f, 30000, 1, 0, 0);
    run_for(f, 1000, 1, UNLIMITED, 0);
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/*
 * Guards against twice as many retries arriving in a window as are sent in any.
 * Links lose packets, and retries arrive once the link has recovered, together
 * with those sent then; or the first attempt arrives after its retry. A retry
 * is counted when it is sent.
 */
START_TEST(budget_late_retries)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    run_for(f, 20400, CALLS_S, 0, 0);
    run_for(f, 500, CALLS_S, UNLIMITED, MAX_LATE_MS);
    run_for(f, 9600, CALLS_S, 0, 0);
    run_for(f, 1000, CALLS_S, UNLIMITED, 0);
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/*
 * Guards against retries beyond the ratio of the calls of any window. Two
 * peaks of calls come a window apart, and all retries come at the end of the
 * second. The window that ends then can hold twice the calls of the windows in
 * the bound.
 */
START_TEST(budget_two_call_peaks)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    run_for(f, 15000, 1, 0, 0);
    run_for(f, 1000, 10 * CALLS_S, 0, 0);
    run_for(f, 7400, 1, 0, 0);
    run_for(f, 1000, 10 * CALLS_S, 0, 0);
    run_for(f, 500, 1, UNLIMITED, 0);
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/*
 * Guards against retries of twice the ratio. All calls come to one half of the
 * gateways, which spends its budget, and then to the other half. The budget of
 * the other half grows with each call, and both are spent in one window.
 */
START_TEST(budget_calls_move_between_gateways)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    for (unsigned ms = 0; ms < 29000; ms += STEP_MS, f->step++) {
        for (unsigned i = 0; i < f->n; i++) {
            bool first = i < f->n / 2;

            if (first == (ms < 20000))
                add_calls(f, i, 2 * CALLS_S / f->n);
            take_retries(f, i,
                         first ? (ms >= 19800 ? UNLIMITED : 0) : UNLIMITED, 0);
        }
    }
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/* A fleet grows from 34 gateways to 50, with few calls, and all want more
   retries than the budget allows. */
START_TEST(budget_gateways_join)
{
    Fleet *f = fleet_new(50, ALLOWANCE);

    for (unsigned ms = 0; ms < 60000; ms += STEP_MS, f->step++) {
        for (unsigned i = 0; i < f->n; i++) {
            if (ms == 30000 && i >= GATEWAYS)
                restart(f, i, 50);
            if (ms < 30000 && i >= GATEWAYS)
                continue;
            f->gateways[i].gateways_known = ms < 30000 ? GATEWAYS : 50;
            add_calls(f, i, 0.1);
            take_retries(f, i, UNLIMITED, 0);
        }
    }
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/* A lone gateway may retry once at its start, in each of eight runs. */
START_TEST(budget_lone_gateway_starts)
{
    Fleet *f = fleet_new(1, 100);

    run_for(f, 14000, 1, UNLIMITED, 0);
    for (unsigned i = 0; i < 8; i++) {
        unsigned before = sum(f->retries, 0, STEPS);

        restart_all(f, 1);
        run_for(f, 1000, 1, UNLIMITED, 0);
        ck_assert_uint_gt(sum(f->retries, 0, STEPS), before);
    }
    ck_assert_double_le(free_and_get_excess(f), 0);
}
END_TEST

/* The budget still allows a single gateway and small fleets enough retries. */
START_TEST(budget_allows_enough)
{
    static const unsigned sizes[] = {1, 6, 34};

    for (unsigned i = 0; i < G_N_ELEMENTS(sizes); i++) {
        Fleet *f = fleet_new(sizes[i], 100);
        unsigned taken;

        run_for(f, 30000, CALLS_S, 0, 0);
        run_for(f, STEP_MS, CALLS_S, UNLIMITED, 0);
        taken = sum(f->retries, 0, STEPS);
        /* 0.1 x the calls of a window less two slices, plus 0.4 of the
           allowance; each gateway rounds down */
        ck_assert_uint_ge(taken, (unsigned)(CALLS_S * 62 / 64) + 40 - sizes[i]);
        ck_assert_double_le(free_and_get_excess(f), 0);
    }
}
END_TEST

static unsigned random_below(uint64_t *random, unsigned below)
{
    *random = qr_hash64(random, sizeof(*random), 3);
    return (unsigned)(*random >> 16) % below;
}

/* Conditions that hold for some seconds of a random course. */
typedef struct Phase {
    double a_second;
    unsigned wanted, late_ms, late_in_8, kills,
        moved; /* kills: processes killed at the start; moved: gateways without
                  calls */
} Phase;

static Phase random_phase(uint64_t *random, const Fleet *f)
{
    static const double loads[] = {0.02, 0.5, 1, 1, 1, 3};
    static const unsigned wants[] = {0, 0, 1, UNLIMITED, UNLIMITED};
    Phase p = {
        .a_second = CALLS_S * loads[random_below(random, G_N_ELEMENTS(loads))],
        .wanted = wants[random_below(random, G_N_ELEMENTS(wants))],
        .late_ms =
            random_below(random, 3) ? 0 : random_below(random, MAX_LATE_MS),
        .late_in_8 = 1 + random_below(random, 3),
    };

    if (random_below(random, 4) == 0)
        p.kills = random_below(random, 2) ? f->n : 1 + f->n / 6;
    if (random_below(random, 4) == 0)
        p.moved = f->n / 4;
    return p;
}

/* Returns how many gateways one knows: at least seven in ten. */
static unsigned random_known(uint64_t *random, unsigned n)
{
    unsigned least = (n * 7 + 9) / 10;

    return least + random_below(random, n - least + 1);
}

static double random_course(unsigned n, double allowance, uint64_t seed)
{
    Fleet *f = fleet_new(n, allowance);
    uint64_t random = seed;

    while (f->step < STEPS) {
        Phase p = random_phase(&random, f);
        unsigned end = f->step + (200 + random_below(&random, 6000)) / STEP_MS;

        for (unsigned i = 0; i < p.kills; i++) {
            unsigned which = p.kills == n ? i : random_below(&random, n);

            restart(f, which, random_known(&random, n));
        }
        for (; f->step < MIN(end, STEPS); f->step++) {
            for (unsigned i = 0; i < n; i++) {
                bool late = random_below(&random, 8) < p.late_in_8;

                add_calls(f, i, i < p.moved ? 0 : p.a_second / (n - p.moved));
                take_retries(f, i, p.wanted, late ? p.late_ms : 0);
            }
        }
    }
    return free_and_get_excess(f);
}

/* Random load, retries, kills, late arrivals and knowledge of peers. */
START_TEST(budget_random_courses)
{
    static const unsigned sizes[] = {1, 6, 34, 42, 380};
    static const double allowances[] = {100, 100, 102, 170, 242};
    unsigned n = sizes[_i], violations = 0, courses = n > 100 ? 8 : 40;
    double worst = -INFINITY;

    for (unsigned seed = 1; seed <= courses; seed++) {
        double over = random_course(n, allowances[_i], seed);

        worst = MAX(worst, over);
        violations += over > 0;
    }
    ck_assert_msg(violations == 0,
                  "gateways=%u: %u of %u courses, by %.0f at most", n,
                  violations, courses, worst);
}
END_TEST

TCase *unit_budget_case(void)
{
    TCase *t = tcase_create("budget");

    tcase_set_timeout(t, 300);
    tcase_add_test(t, budget_bursts_at_both_ends_of_window);
    tcase_add_test(t, budget_restarted_runs_share_a_window);
    tcase_add_test(t, budget_many_short_runs);
    tcase_add_test(t, budget_gateways_without_peers);
    tcase_add_test(t, budget_gateways_that_know_half);
    tcase_add_test(t, budget_late_retries);
    tcase_add_test(t, budget_two_call_peaks);
    tcase_add_test(t, budget_calls_move_between_gateways);
    tcase_add_test(t, budget_gateways_join);
    tcase_add_test(t, budget_lone_gateway_starts);
    tcase_add_test(t, budget_allows_enough);
    tcase_add_loop_test(t, budget_random_courses, 0, 5);
    return t;
}
