/*
 * When refused callers return: turns by the slots that become free, and by the
 * engines that become ready.
 */
#include "unit_retry.h"

#include "fleet/qr_engines.h"
#include "gateway/qr_retry_after.h"

#include <string.h>
#include <time.h>

#define START_MS 1000000
#define LEARN_MS 10000 /* of slots becoming free, until the rate is known */
#define CALL_MS 1000
#define NOBODY 100000 /* no delay was given */
/* A turn within each bucket, and one carried over from the bucket before. */
#define BUCKET_MAX(per_s)                                                      \
    (1 + QR_RETRY_SHARE * (per_s)*QR_RETRY_BUCKET_MS / 1e3)

typedef struct Service {
    QRRetryAfter turns;
    uint64_t now_ms, random;
    double freed_due; /* fraction of a slot carried to the next step */
} Service;

/* Slots become free at 'per_s' for 'ms'. */
static void run(Service *s, double per_s, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        s->now_ms++;
        s->freed_due += per_s / 1000;
        while (s->freed_due >= 1) {
            s->freed_due -= 1;
            qr_retry_after_slot_freed(&s->turns, s->now_ms);
        }
    }
}

static Service service_at(double per_s)
{
    Service s = {.now_ms = START_MS, .random = 7};

    run(&s, per_s, LEARN_MS);
    return s;
}

static QRRefusedCaller caller_at(Service *s, uint64_t left_ms)
{
    s->random = qr_hash64(&s->random, sizeof(s->random), 3);
    return (QRRefusedCaller){.now_ms = s->now_ms,
                             .left_ms = left_ms,
                             .mean_call_ms = CALL_MS,
                             .random = s->random};
}

static QRTurn refuse(Service *s, uint64_t left_ms, unsigned *delay_ms)
{
    QRRefusedCaller c = caller_at(s, left_ms);

    *delay_ms = NOBODY;
    return qr_retry_after_take_turn(&s->turns, &c, delay_ms);
}

START_TEST(retry_rate_follows_ended_calls)
{
    static const double rates[] = {2, 10, 50, 400};

    for (unsigned i = 0; i < G_N_ELEMENTS(rates); i++) {
        Service s = service_at(rates[i]);
        double rate = qr_retry_after_rate(&s.turns, s.now_ms);

        ck_assert_msg(rate > 0.8 * rates[i] && rate < 1.25 * rates[i],
                      "%g of %g", rate, rates[i]);
        /* soon after the start, too */
        s = (Service){.now_ms = START_MS};
        run(&s, 50, 1500);
        rate = qr_retry_after_rate(&s.turns, s.now_ms);
        ck_assert_msg(rate > 40 && rate < 62, "%g", rate);
    }
}
END_TEST

/*
 * Load: a moment without engines; 100 callers are refused at once, and slots
 * become free at 50 a second. Guards against a return of all within a second,
 * in which most would be refused again.
 */
START_TEST(retry_burst_is_spread_over_free_slots)
{
    unsigned at[200] = {0}, latest = 0, given = 0, delay_ms;
    Service s = service_at(50);

    for (unsigned i = 0; i < 100; i++) {
        ck_assert_int_eq(refuse(&s, 40000, &delay_ms), QR_TURN_FREE);
        ck_assert_uint_ge(delay_ms, CALL_MS / 4);
        at[(s.now_ms + delay_ms) / 100 - s.now_ms / 100]++;
        latest = MAX(latest, delay_ms);
        given++;
    }
    /* 12.5 a second, from 0.25 s on */
    ck_assert_msg(latest > 7400 && latest < 9500, "latest %u", latest);
    for (unsigned i = 0; i < 200; i++)
        ck_assert_uint_le(at[i], (unsigned)BUCKET_MAX(55));
    /* evenly: each second but the first and the last has its part */
    for (unsigned i = 10; i + 10 < latest / 100; i += 10) {
        unsigned n = 0;

        for (unsigned j = i; j < i + 10; j++)
            n += at[j];
        ck_assert_msg(n >= 10 && n <= 15, "%u in second %u", n, i / 10);
    }
    ck_assert_uint_eq(given, 100);
}
END_TEST

/* Guards against a Retry-After that the caller does not heed: it returns at
   once, or not at all. */
START_TEST(retry_return_is_within_a_third_of_the_time_left)
{
    static const uint64_t left[] = {200, 800, 1500, 5000, 20000, 3600000};

    for (unsigned i = 0; i < G_N_ELEMENTS(left); i++) {
        Service s = service_at(20);
        unsigned delay_ms, full = 0;

        for (unsigned n = 0; n < 200; n++) {
            QRTurn turn = refuse(&s, left[i], &delay_ms);

            ck_assert_int_ne(turn, QR_TURN_NONE);
            ck_assert_msg(delay_ms + 20 <= left[i] / 3, "%u ms of %u left",
                          delay_ms, (unsigned)left[i]);
            full += turn == QR_TURN_FULL;
            /* without room: as late as is of use, spread over that part */
            if (turn == QR_TURN_FULL && left[i] <= 20000 && left[i] >= 5000)
                ck_assert_uint_ge(delay_ms, (unsigned)left[i] / 6);
            run(&s, 20, 3);
        }
        ck_assert_uint_gt(full, 0);
    }
}
END_TEST

/* Guards against one bucket that takes all callers without room. */
START_TEST(retry_callers_without_room_are_spread)
{
    unsigned at[100] = {0}, delay_ms, used = 0;
    Service s = service_at(20);

    for (unsigned n = 0; n < 100; n++) {
        if (refuse(&s, 6000, &delay_ms) == QR_TURN_FULL)
            at[delay_ms / 100]++;
    }
    for (unsigned i = 0; i < 100; i++) {
        used += at[i] > 0;
        ck_assert_uint_le(at[i], 36);
    }
    ck_assert_uint_ge(used, 4);
}
END_TEST

/* Load: demand rises from half of the capacity to all of it. Guards against
   turns by the rate of the time before, and against belief in calls that
   hang. */
START_TEST(retry_rate_rises_with_open_calls)
{
    static const struct {
        unsigned open, least, most; /* open calls, callers given turns in 3 s */
    } rows[] = {{0, 12, 17}, {20, 12, 17}, {30, 18, 25}, {5000, 25, 33}};

    for (unsigned i = 0; i < G_N_ELEMENTS(rows); i++) {
        Service s = service_at(20);
        unsigned given = 0, delay_ms;

        for (unsigned n = 0; n < 100; n++) {
            QRRefusedCaller c = caller_at(&s, 9000);

            c.open_calls = rows[i].open;
            given += qr_retry_after_take_turn(&s.turns, &c, &delay_ms) ==
                     QR_TURN_FREE;
        }
        ck_assert_msg(given >= rows[i].least && given <= rows[i].most,
                      "%u turns with %u open", given, rows[i].open);
    }
}
END_TEST

/*
 * Load: 1.3 times as many calls as end, for 60 s. Guards against promises of
 * more than the share: first tries would find no slot, and each answer would
 * come late.
 */
START_TEST(retry_overload_gets_no_more_than_the_share)
{
    static const double rates[] = {3, 20, 50};

    for (unsigned k = 0; k < G_N_ELEMENTS(rates); k++) {
        enum { STEPS = 700 };
        unsigned promised[STEPS + QR_RETRY_BUCKETS + 1] = {0}, given = 0;
        Service s = service_at(rates[k]);
        uint64_t origin = s.now_ms / 100;
        double refused_due = 0;
        unsigned delay_ms;

        for (unsigned i = 0; i < STEPS; i++) {
            run(&s, rates[k], 100);
            /* of 1.3 arriving, 0.3 find no slot, and 0.25 returned before */
            refused_due += 0.55 * rates[k] / 10;
            while (refused_due >= 1) {
                refused_due -= 1;
                if (refuse(&s, 9000, &delay_ms) != QR_TURN_FREE)
                    continue;
                promised[(s.now_ms + delay_ms) / 100 - origin]++;
                given++;
            }
        }
        /* over any 5 s; the learned rate wavers by some percent */
        for (unsigned i = 0; i + 50 < STEPS; i++) {
            unsigned n = 0;

            for (unsigned j = i; j < i + 50; j++)
                n += promised[j];
            ck_assert_msg(n <= QR_RETRY_SHARE * rates[k] * 5 * 1.1 + 2,
                          "%u turns in 5 s at %g a second", n, rates[k]);
        }
        /* and the share is used */
        ck_assert_msg(given >= QR_RETRY_SHARE * rates[k] * 70 * 0.85,
                      "%u turns at %g a second", given, rates[k]);
    }
}
END_TEST

/* Guards against a rate of a few calls, or of the time before an outage. */
START_TEST(retry_unknown_rate_gives_no_turn)
{
    unsigned delay_ms;
    Service s = {.now_ms = START_MS};

    ck_assert_int_eq(refuse(&s, 9000, &delay_ms), QR_TURN_NONE);
    run(&s, 50, 300); /* 15 calls, all within 0.3 s */
    ck_assert_int_eq(refuse(&s, 9000, &delay_ms), QR_TURN_NONE);
    s = service_at(0.5);
    ck_assert_int_eq(refuse(&s, 9000, &delay_ms), QR_TURN_NONE);
    s = service_at(20);
    ck_assert_int_eq(refuse(&s, 9000, &delay_ms), QR_TURN_FREE);
    run(&s, 0, 20000);
    ck_assert_int_eq(refuse(&s, 9000, &delay_ms), QR_TURN_NONE);
    ck_assert_uint_eq(delay_ms, NOBODY);
}
END_TEST

/* Guards against long loops and turns of another time after the process was
   suspended, and against division by zero for callers without time. */
START_TEST(retry_absurd_input)
{
    static const uint64_t jumps[] = {240000, (uint64_t)1 << 50};
    unsigned delay_ms;
    uint64_t before;
    clock_t began = clock();

    for (unsigned i = 0; i < G_N_ELEMENTS(jumps); i++) {
        Service s = service_at(50);

        for (unsigned n = 0; n < 200; n++)
            (void)refuse(&s, 9000, &delay_ms);
        before = s.now_ms;
        s.now_ms += jumps[i];
        ck_assert_int_eq(refuse(&s, 9000, &delay_ms), QR_TURN_NONE);
        run(&s, 50, 1000);
        ck_assert_int_eq(refuse(&s, 9000, &delay_ms), QR_TURN_FREE);
        ck_assert_msg(delay_ms < 600, "old turns are kept: %u", delay_ms);
        s.now_ms = before; /* back */
        (void)refuse(&s, 9000, &delay_ms);
    }
    ck_assert_int_lt((int)((clock() - began) / CLOCKS_PER_SEC), 5);
    for (unsigned i = 0; i < 200; i++) {
        Service s = service_at(50);
        QRRefusedCaller c = caller_at(&s, 9000);

        c.mean_call_ms = 0;
        c.random = i;
        (void)qr_retry_after_take_turn(&s.turns, &c, &delay_ms);
        ck_assert_uint_ge(delay_ms, 1); /* 0: no Retry-After */
    }
    for (uint64_t left = 0; left < 180; left++) {
        Service s = service_at(50);

        ck_assert_int_eq(refuse(&s, left, &delay_ms), QR_TURN_NONE);
    }
}
END_TEST

/* Guards against a turn in front of others that makes them too many: 10 slots
   a second, one turn each 400 ms. */
START_TEST(retry_turns_keep_their_distance)
{
    Service s = service_at(10);
    QRRefusedCaller late = caller_at(&s, 40000), soon = late;
    unsigned late_ms, soon_ms, n = 0;

    late.mean_call_ms = 8000; /* not before 2 s */
    ck_assert_int_eq(qr_retry_after_take_turn(&s.turns, &late, &late_ms),
                     QR_TURN_FREE);
    do {
        ck_assert_int_eq(qr_retry_after_take_turn(&s.turns, &soon, &soon_ms),
                         QR_TURN_FREE);
        n++;
        ck_assert_msg(soon_ms + 200 < late_ms || soon_ms > late_ms + 200,
                      "%u beside %u", soon_ms, late_ms);
    } while (soon_ms < late_ms);
    ck_assert_uint_le(n, 7);
}
END_TEST

/* Guards against a counter of a bucket that wraps around to none. */
START_TEST(retry_crowd_is_bounded)
{
    Service s = service_at(2);
    unsigned delay_ms, crowd = 0;

    for (unsigned n = 0; n < 300000; n++)
        (void)refuse(&s, 600, &delay_ms);
    for (unsigned i = 0; i < QR_RETRY_BUCKETS; i++) {
        ck_assert_uint_le(s.turns.turns[i], 1);
        crowd = MAX(crowd, s.turns.surplus[i]);
    }
    ck_assert_uint_eq(crowd, UINT16_MAX);
    ck_assert_uint_le(delay_ms, 180);
}
END_TEST

/* Guards against callers that return while no engine serves, and against a
   return of all of them in one moment. */
START_TEST(retry_when_the_first_engine_is_ready)
{
    Service s = {.now_ms = START_MS, .random = 9};
    unsigned least = NOBODY, most = 0, delay_ms = 0;

    for (unsigned n = 0; n < 1000; n++) {
        QRRefusedCaller c = caller_at(&s, 9000);

        ck_assert_int_eq(qr_retry_after_ready(&c, 1200, &delay_ms),
                         QR_TURN_READY);
        least = MIN(least, delay_ms);
        most = MAX(most, delay_ms);
        /* later than the caller can use: the last part of that time */
        ck_assert_int_eq(qr_retry_after_ready(&c, 60000, &delay_ms),
                         QR_TURN_FULL);
        ck_assert(delay_ms >= 2200 && delay_ms <= 2980);
        ck_assert_int_eq(qr_retry_after_ready(&c, 2900, &delay_ms),
                         QR_TURN_READY);
        ck_assert(delay_ms >= 2900 && delay_ms <= 2980);
        ck_assert_int_eq(qr_retry_after_ready(&c, 0, &delay_ms), QR_TURN_READY);
        ck_assert_uint_ge(delay_ms, CALL_MS / 4); /* 0: no Retry-After */
        c.left_ms = 0;
        ck_assert_int_eq(qr_retry_after_ready(&c, 0, &delay_ms), QR_TURN_NONE);
    }
    ck_assert(least >= 1200 && least < 1230);
    ck_assert(most > 1500 && most <= 1800);
}
END_TEST

/* Guards against an expectation that is old, met or meant for another state of
   the engine. */
START_TEST(retry_expected_version_counts_down)
{
    QREngineRecord record = {.version = 6};
    QREngine e = {.record = &record,
                  .has_sidecar_report = true,
                  .sidecar_version = 6,
                  .sidecar_report_ms = START_MS,
                  .sidecar_ready_ms = 1 + 1500};
    uint64_t left_ms = 0;

    ck_assert(qr_engine_expects_version(&e, 7, START_MS + 400, &left_ms));
    ck_assert_uint_eq(left_ms, 1100);
    ck_assert(qr_engine_expects_version(&e, 7, START_MS + 1800, &left_ms));
    ck_assert_uint_eq(left_ms, 0);
    ck_assert(!qr_engine_expects_version(&e, 7, START_MS + 2001, &left_ms));
    ck_assert(qr_engine_expects_version(&e, 7, START_MS - 5, &left_ms));
    ck_assert_uint_eq(left_ms, 1500);
    ck_assert(!qr_engine_expects_version(&e, 6, START_MS, &left_ms));
    e.sidecar_switching = true; /* the older version still counts */
    ck_assert(qr_engine_expects_version(&e, 6, START_MS, &left_ms));
    e.sidecar_ready_ms = 0;
    ck_assert(!qr_engine_expects_version(&e, 7, START_MS, &left_ms));
    e.sidecar_ready_ms = 1;
    ck_assert(qr_engine_expects_version(&e, 7, START_MS, &left_ms));
    ck_assert_uint_eq(left_ms, 0);
    e.gone = true;
    ck_assert(!qr_engine_expects_version(&e, 7, START_MS, &left_ms));
}
END_TEST

TCase *unit_retry_case(void)
{
    TCase *c = tcase_create("turns of refused callers");

    tcase_add_test(c, retry_rate_follows_ended_calls);
    tcase_add_test(c, retry_burst_is_spread_over_free_slots);
    tcase_add_test(c, retry_return_is_within_a_third_of_the_time_left);
    tcase_add_test(c, retry_callers_without_room_are_spread);
    tcase_add_test(c, retry_rate_rises_with_open_calls);
    tcase_add_test(c, retry_overload_gets_no_more_than_the_share);
    tcase_add_test(c, retry_unknown_rate_gives_no_turn);
    tcase_add_test(c, retry_absurd_input);
    tcase_add_test(c, retry_turns_keep_their_distance);
    tcase_add_test(c, retry_crowd_is_bounded);
    tcase_add_test(c, retry_when_the_first_engine_is_ready);
    tcase_add_test(c, retry_expected_version_counts_down);
    return c;
}
