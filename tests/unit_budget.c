/*
 * The retry budget of a whole fleet, as a model: gateways with a budget each,
 * whose retries arrive at engines at once or late. The rule is checked over
 * every window by what arrives there.
 */
#include "unit_budget.h"

#include "gateway/qr_budget.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define STEP_MS 20
#define WINDOW_MS 10000
#define WINDOW (WINDOW_MS / STEP_MS)
#define DAY (70000 / STEP_MS)
#define RATIO 0.2
#define GATEWAYS 34 /* a fleet of the usual size, and what clients send it */
#define CALLS_S 650.0
#define ALLOWANCE 102
#define ALL 100000 /* retries wanted: more than any budget has */
/* On its way at most: an engine's machine may stand still for as long. */
#define LATE_MS 8000

typedef struct Gateway {
    QRBudget budget;
    uint64_t started_ms;
    unsigned known; /* gateways, itself too; 0: it heard of nobody yet */
    double owed;    /* calls, of the steps so far */
} Gateway;

typedef struct Fleet {
    Gateway *gateways;
    unsigned n;
    double allowance;
    unsigned step;
    unsigned calls[DAY], beyond[DAY]; /* sent by clients; arrived again */
} Fleet;

static uint64_t now_ms(const Fleet *f)
{
    return 1000000 + (uint64_t)f->step * STEP_MS;
}

/* Its process is killed and runs again at once, or runs for the first time. */
static void restart(Fleet *f, unsigned i, unsigned known)
{
    Gateway *g = &f->gateways[i];

    qr_budget_init(&g->budget, RATIO, WINDOW_MS);
    g->started_ms = now_ms(f);
    g->known = known;
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

static void calls(Fleet *f, unsigned i, double a_second)
{
    Gateway *g = &f->gateways[i];

    for (g->owed += a_second * STEP_MS / 1000; g->owed >= 1; g->owed--) {
        f->calls[f->step]++;
        qr_budget_add_call(&g->budget, now_ms(f));
    }
}

/* Sends up to 'wanted' calls again, which arrive 'late_ms' later. */
static void retries(Fleet *f, unsigned i, unsigned wanted, unsigned late_ms)
{
    Gateway *g = &f->gateways[i];
    QRBudgetFleet facts = {f->allowance, g->known, now_ms(f) - g->started_ms};
    double part = qr_budget_allowance_share(&g->budget, &facts);
    unsigned at = f->step + late_ms / STEP_MS;

    while (wanted-- > 0 && qr_budget_take_retry(&g->budget, part, now_ms(f))) {
        if (at < DAY)
            f->beyond[at]++;
    }
}

/* Time passes, with as many calls and retries at each gateway. */
static void pass(Fleet *f, unsigned ms, double a_second, unsigned wanted,
                 unsigned late_ms)
{
    for (unsigned end = f->step + ms / STEP_MS; f->step < end; f->step++) {
        for (unsigned i = 0; i < f->n; i++) {
            calls(f, i, a_second / f->n);
            retries(f, i, wanted, late_ms);
        }
    }
}

static unsigned sum(const unsigned *list, int from, int to)
{
    unsigned all = 0;

    for (int i = MAX(from, 0); i < MIN(to, DAY); i++)
        all += list[i];
    return all;
}

/* By how much the worst window passes what is allowed; frees the fleet. */
static double fleet_worst(Fleet *f)
{
    double worst = -INFINITY;

    for (int t = 0; t < DAY; t++) {
        unsigned most =
            MAX(sum(f->calls, t, t + WINDOW), sum(f->calls, t - WINDOW, t));
        unsigned half = sum(f->calls, t - WINDOW / 2, t + WINDOW / 2);
        double over = sum(f->beyond, t, t + WINDOW) - RATIO * MAX(most, half) -
                      f->allowance;

        worst = MAX(worst, over);
    }
    g_free(f->gateways);
    g_free(f);
    return worst;
}

/*
 * Seen: nothing else is wrong, and twice as much is sent again as may be.
 * Course: connections go silent, and from then on more calls want to be sent
 * again than may be; what the budget has goes out at once, and at once again
 * when that has slid out. Cause: the slice under way counts as a whole one, so
 * that no more than 9.5 s are looked back on at times.
 */
START_TEST(budget_bursts_at_both_ends_of_a_window)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    pass(f, 20400, CALLS_S, 0, 0);
    pass(f, 40000, CALLS_S, ALL, 0);
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/*
 * Seen: twice the share of the calls. Course: gateways spend what they have
 * and are killed; their next runs get calls, and spend a share of these. Cause:
 * a run does not know what the one before it has spent.
 */
START_TEST(budget_restarts_forget_what_was_spent)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    pass(f, 20000, CALLS_S, 0, 0);
    pass(f, 200, CALLS_S, ALL, 0);
    restart_all(f, GATEWAYS);
    pass(f, 9000, CALLS_S, ALL, 0);
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/*
 * Seen: retries beyond the allowance in a fleet with hardly any calls. Course:
 * processes are killed once a second. Cause: each run takes a part of the
 * allowance, however small, and nothing bounds the runs in a window.
 */
START_TEST(budget_of_many_short_runs)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    for (unsigned i = 0; i < 20; i++) {
        pass(f, 1000, 1, ALL, 0);
        restart_all(f, GATEWAYS);
    }
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/*
 * Seen: each gateway spends the whole allowance. Course: all start while no
 * connection among them works, and it stays so for longer than a window.
 * Cause: one that has heard of nobody takes itself for the only one.
 */
START_TEST(budget_of_gateways_that_know_nobody)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    restart_all(f, 0);
    pass(f, 20000, CALLS_S, 0, 0);
    pass(f, 1000, CALLS_S, ALL, 0);
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/*
 * Seen: 1.4 of the allowance. Course: members are parted for good, and half of
 * the gateways start again on either side. Cause: each divides the allowance
 * by those that it sees.
 */
START_TEST(budget_of_gateways_that_know_half)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    restart_all(f, GATEWAYS / 2);
    pass(f, 30000, 1, 0, 0);
    pass(f, 1000, 1, ALL, 0);
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/*
 * Seen: twice as many arrivals as retries in any window. Course: links lose
 * packets, and what was sent again arrives when the link is sound, with what
 * is sent then; or a first sending arrives after the one that replaced it.
 * Cause: a retry is counted when it is sent.
 */
START_TEST(budget_of_retries_that_arrive_late)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    pass(f, 20400, CALLS_S, 0, 0);
    pass(f, 500, CALLS_S, ALL, LATE_MS);
    pass(f, 9600, CALLS_S, 0, 0);
    pass(f, 1000, CALLS_S, ALL, 0);
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/*
 * Seen: more than a share of the calls of any window. Course: two peaks of
 * calls, a window apart, and all retries at the end of the second. Cause: the
 * window that ends now may hold twice the calls of those that the rule takes.
 */
START_TEST(budget_of_two_peaks_of_calls)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    pass(f, 15000, 1, 0, 0);
    pass(f, 1000, 10 * CALLS_S, 0, 0);
    pass(f, 7400, 1, 0, 0);
    pass(f, 1000, 10 * CALLS_S, 0, 0);
    pass(f, 500, 1, ALL, 0);
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/*
 * Seen: twice the share of the calls. Course: all calls come to one half of
 * the gateways, which spends its share; then they come to the other half.
 * Cause: the share of the first is spent, that of the second grows anew with
 * each call, and both fall into one window.
 */
START_TEST(budget_of_calls_that_move)
{
    Fleet *f = fleet_new(GATEWAYS, ALLOWANCE);

    for (unsigned ms = 0; ms < 29000; ms += STEP_MS, f->step++) {
        for (unsigned i = 0; i < f->n; i++) {
            bool first = i < f->n / 2;

            if (first == (ms < 20000))
                calls(f, i, 2 * CALLS_S / f->n);
            retries(f, i, first ? (ms >= 19800 ? ALL : 0) : ALL, 0);
        }
    }
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/* 34 become 50, and all want more retries than there are, with few calls. */
START_TEST(budget_of_gateways_that_join)
{
    Fleet *f = fleet_new(50, ALLOWANCE);

    for (unsigned ms = 0; ms < 60000; ms += STEP_MS, f->step++) {
        for (unsigned i = 0; i < f->n; i++) {
            if (ms == 30000 && i >= GATEWAYS)
                restart(f, i, 50);
            if (ms < 30000 && i >= GATEWAYS)
                continue;
            f->gateways[i].known = ms < 30000 ? GATEWAYS : 50;
            calls(f, i, 0.1);
            retries(f, i, ALL, 0);
        }
    }
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/* A lone gateway may send one call again at once, in each of eight runs. */
START_TEST(budget_of_a_lone_gateway_that_starts)
{
    Fleet *f = fleet_new(1, 100);

    pass(f, 14000, 1, ALL, 0);
    for (unsigned i = 0; i < 8; i++) {
        unsigned before = sum(f->beyond, 0, DAY);

        restart_all(f, 1);
        pass(f, 1000, 1, ALL, 0);
        ck_assert_uint_gt(sum(f->beyond, 0, DAY), before);
    }
    ck_assert_double_le(fleet_worst(f), 0);
}
END_TEST

/* What a fleet of one, and a small one, may still send again. */
START_TEST(budget_leaves_enough)
{
    static const unsigned sizes[] = {1, 6, 34};

    for (unsigned i = 0; i < G_N_ELEMENTS(sizes); i++) {
        Fleet *f = fleet_new(sizes[i], 100);
        unsigned taken;

        pass(f, 30000, CALLS_S, 0, 0);
        pass(f, STEP_MS, CALLS_S, ALL, 0);
        taken = sum(f->beyond, 0, DAY);
        /* one call in ten of a window less two slices, and four tenths of
           the allowance; each gateway rounds down */
        ck_assert_uint_ge(taken, (unsigned)(CALLS_S * 62 / 64) + 40 - sizes[i]);
        ck_assert_double_le(fleet_worst(f), 0);
    }
}
END_TEST

static unsigned draw(uint64_t *random, unsigned below)
{
    *random = qr_hash64(random, sizeof(*random), 3);
    return (unsigned)(*random >> 16) % below;
}

/* What is so for some seconds of a day. */
typedef struct Phase {
    double a_second;
    unsigned wanted, late_ms, late_in_8, kills, moved; /* calls of these */
} Phase;

static Phase phase_draw(uint64_t *random, const Fleet *f)
{
    static const double loads[] = {0.02, 0.5, 1, 1, 1, 3};
    static const unsigned wants[] = {0, 0, 1, ALL, ALL};
    Phase p = {
        .a_second = CALLS_S * loads[draw(random, G_N_ELEMENTS(loads))],
        .wanted = wants[draw(random, G_N_ELEMENTS(wants))],
        .late_ms = draw(random, 3) ? 0 : draw(random, LATE_MS),
        .late_in_8 = 1 + draw(random, 3),
    };

    if (draw(random, 4) == 0)
        p.kills = draw(random, 2) ? f->n : 1 + f->n / 6;
    if (draw(random, 4) == 0)
        p.moved = f->n / 4;
    return p;
}

/* Gateways know seven in ten of the others at least. */
static unsigned known_draw(uint64_t *random, unsigned n)
{
    unsigned least = (n * 7 + 9) / 10;

    return least + draw(random, n - least + 1);
}

static double random_day(unsigned n, double allowance, uint64_t seed)
{
    Fleet *f = fleet_new(n, allowance);
    uint64_t random = seed;

    while (f->step < DAY) {
        Phase p = phase_draw(&random, f);
        unsigned end = f->step + (200 + draw(&random, 6000)) / STEP_MS;

        for (unsigned i = 0; i < p.kills; i++) {
            unsigned which = p.kills == n ? i : draw(&random, n);

            restart(f, which, known_draw(&random, n));
        }
        for (; f->step < MIN(end, DAY); f->step++) {
            for (unsigned i = 0; i < n; i++) {
                bool late = draw(&random, 8) < p.late_in_8;

                calls(f, i, i < p.moved ? 0 : p.a_second / (n - p.moved));
                retries(f, i, p.wanted, late ? p.late_ms : 0);
            }
        }
    }
    return fleet_worst(f);
}

/* Load, silence, kills, late arrivals, partial knowledge: all at random. */
START_TEST(budget_of_random_days)
{
    static const unsigned sizes[] = {1, 6, 34, 42, 380};
    static const double allowances[] = {100, 100, 102, 170, 242};
    unsigned n = sizes[_i], broken = 0, days = n > 100 ? 8 : 40;
    double worst = -INFINITY;

    for (unsigned seed = 1; seed <= days; seed++) {
        double over = random_day(n, allowances[_i], seed);

        worst = MAX(worst, over);
        broken += over > 0;
    }
    ck_assert_msg(broken == 0, "gateways=%u: %u of %u days, by %.0f at most", n,
                  broken, days, worst);
}
END_TEST

TCase *unit_budget_case(void)
{
    TCase *t = tcase_create("budget");

    tcase_set_timeout(t, 300);
    tcase_add_test(t, budget_bursts_at_both_ends_of_a_window);
    tcase_add_test(t, budget_restarts_forget_what_was_spent);
    tcase_add_test(t, budget_of_many_short_runs);
    tcase_add_test(t, budget_of_gateways_that_know_nobody);
    tcase_add_test(t, budget_of_gateways_that_know_half);
    tcase_add_test(t, budget_of_retries_that_arrive_late);
    tcase_add_test(t, budget_of_two_peaks_of_calls);
    tcase_add_test(t, budget_of_calls_that_move);
    tcase_add_test(t, budget_of_gateways_that_join);
    tcase_add_test(t, budget_of_a_lone_gateway_that_starts);
    tcase_add_test(t, budget_leaves_enough);
    tcase_add_loop_test(t, budget_of_random_days, 0, 5);
    return t;
}
