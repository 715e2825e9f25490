/*
 * Unit tests of the slots of engines, and of who is served under load: each
 * names the pattern of load that it plays, and the grounds of its bounds.
 */
#include "unit_load.h"

#include "load_model.h"
#include "fleet/qr_slots.h"

#define LEASE_MS 2000

static const QRSlotCall any = {
    .prompt = 100, .max_open = 4, .max_reading = 1000};

static bool reserve(QRSlots *s, const char *gateway, uint64_t now_ms)
{
    return qr_slots_reserve(s, gateway, &any, now_ms);
}

START_TEST(slots_are_granted_once)
{
    QRSlots s;

    qr_slots_init(&s);
    for (unsigned i = 0; i < 4; i++)
        ck_assert(reserve(&s, i % 2 ? "a" : "b", 1));
    ck_assert(!reserve(&s, "a", 1));
    ck_assert(!reserve(&s, "c", 1));
    ck_assert_uint_eq(qr_slots_held_by_others(&s, "a", 1).open, 2);
    ck_assert_uint_eq(qr_slots_held_by_others(&s, "c", 1).open, 4);
    /* what a gateway says that it holds goes before what was granted */
    qr_slots_report(&s, "a", &(QRSlotLoad){1, 0}, 2);
    ck_assert(reserve(&s, "c", 2));
    ck_assert(!reserve(&s, "c", 2));
    qr_slots_clear(&s);
}
END_TEST

/* A gateway that is killed, cut off or silent strands nothing for longer than
   its lease, and nothing at all if its connection is seen to close. */
START_TEST(slots_of_gateways_that_are_gone)
{
    QRSlots s;

    qr_slots_init(&s);
    qr_slots_report(&s, "a", &(QRSlotLoad){4, 0}, 1);
    ck_assert(!reserve(&s, "b", LEASE_MS));
    ck_assert(reserve(&s, "b", LEASE_MS + 2));
    qr_slots_report(&s, "a", &(QRSlotLoad){4, 0}, LEASE_MS + 3);
    qr_slots_drop(&s, "b");
    ck_assert(!reserve(&s, "b", LEASE_MS + 4));
    qr_slots_drop(&s, "a");
    ck_assert(reserve(&s, "b", LEASE_MS + 4));
    qr_slots_clear(&s);
}
END_TEST

START_TEST(slots_heed_what_is_to_be_read)
{
    QRSlotCall wish = {.prompt = 600, .max_open = 4, .max_reading = 500};
    QRSlots s;

    qr_slots_init(&s);
    s.read_per_ms = 10;
    /* an idle engine can do no better */
    wish.max_reading = 0;
    ck_assert(qr_slots_reserve(&s, "a", &wish, 1));
    wish.max_reading = 500;
    ck_assert(!qr_slots_reserve(&s, "a", &wish, 1));
    /* 100 of 600 tokens are read in 20 ms, though no gateway has said so */
    ck_assert(!qr_slots_reserve(&s, "b", &wish, 11));
    ck_assert(qr_slots_reserve(&s, "b", &wish, 21));
    /* a call that has ended unread is read no more */
    qr_slots_report(&s, "a", &(QRSlotLoad){0, 0}, 22);
    qr_slots_report(&s, "b", &(QRSlotLoad){1, 0}, 22);
    wish.max_reading = 0;
    ck_assert(qr_slots_reserve(&s, "a", &wish, 22));
    qr_slots_clear(&s);
}
END_TEST

/* Slots that fall free are for first tries while any find none anywhere. */
START_TEST(slots_yield_to_first_tries)
{
    QRSlotCall first = any, back = any;
    QRSlots s;

    qr_slots_init(&s);
    back.is_caller_retry = true;
    qr_slots_report(&s, "a", &(QRSlotLoad){4, 0}, 1000);
    ck_assert(!qr_slots_reserve(&s, "b", &first, 1000));
    qr_slots_report(&s, "a", &(QRSlotLoad){3, 0}, 1010);
    /* one denial is chance */
    ck_assert(qr_slots_reserve(&s, "b", &back, 1010));
    first.denials = 5;
    ck_assert(!qr_slots_reserve(&s, "b", &first, 1020));
    qr_slots_report(&s, "a", &(QRSlotLoad){2, 0}, 1030);
    ck_assert(!qr_slots_reserve(&s, "c", &back, 1030));
    ck_assert(qr_slots_reserve(&s, "c", &first, 1030));
    qr_slots_report(&s, "a", &(QRSlotLoad){1, 0}, 1040);
    /* nobody has been turned away for a while */
    ck_assert(qr_slots_reserve(&s, "c", &back, 3000));
    qr_slots_clear(&s);
}
END_TEST

/* What one gateway alone, which knows all, has in aim at the same load. */
static double limit_in_aim(const LoadSetup *s)
{
    LoadSetup alone = *s;
    LoadOutcome o;

    alone.way = LOAD_TOLD;
    alone.gateways = 1;
    o = load_run(&alone);
    return (double)o.in_aim / o.callers;
}

/*
 * Many choosers, fewer free slots than calls: 41 gateways before 45 engines,
 * offered what these carry and up to twice that. Bound: the stated aim, 0.9 of
 * what could be in aim.
 */
START_TEST(load_many_gateways_too_many_calls)
{
    static const double offered[] = {1, 1.35, 2};
    LoadSetup s = load_setup(LOAD_RESERVED);
    LoadOutcome o;
    double limit, in_aim;

    s.calls_per_s *= offered[_i];
    s.length_ms = 6000;
    o = load_run(&s);
    limit = limit_in_aim(&s);
    in_aim = (double)o.in_aim / o.callers;
    ck_assert_msg(in_aim >= 0.9 * limit, "offered %.2f: %.3f in aim of %.3f",
                  offered[_i], in_aim, limit);
    ck_assert_uint_eq(o.overfull, 0);
}
END_TEST

/*
 * Slots to spare: 0.7 of what the engines carry, few large and many small
 * engines, from few gateways to more than slots an engine. Bounds: the stated
 * aim, under 2 in 100 sendings turned away, under 1 in 100 calls refused.
 */
START_TEST(load_slots_to_spare)
{
    static const struct {
        unsigned gateways, slots;
    } sizes[] = {{3, 4}, {16, 4}, {64, 4}, {3, 16}, {16, 16}, {64, 16}};
    LoadSetup s = load_setup(LOAD_RESERVED);
    LoadOutcome o;

    s.gateways = sizes[_i].gateways;
    s.slots = sizes[_i].slots;
    s.engines = 12;
    s.calls_per_s = 0.7 * load_capacity(&s);
    o = load_run(&s);
    ck_assert_msg(o.overfull * 50 <= o.sent, "%u of %u sendings", o.overfull,
                  o.sent);
    ck_assert_msg(o.firsts_refused * 100 <= o.callers, "%u of %u first tries",
                  o.firsts_refused, o.callers);
}
END_TEST

/*
 * Far too many calls of several kinds and sizes. Bounds: the stated aim, no
 * kind and not the largest tenth served less than 0.8 as often as the rest.
 */
START_TEST(load_kinds_and_sizes)
{
    LoadSetup s = load_setup(LOAD_RESERVED);
    LoadOutcome o;
    double most = 0, least = 1, served;

    s.calls_per_s *= 1.35;
    o = load_run(&s);
    for (unsigned k = 0; k < LOAD_KINDS; k++) {
        double share = (double)o.kind_in_aim[k] / o.kind_callers[k];

        most = MAX(most, share);
        least = MIN(least, share);
    }
    ck_assert_msg(least >= 0.8 * most, "kinds in aim: %.3f to %.3f", least,
                  most);
    served = 1 - (double)o.refused / o.callers;
    ck_assert_msg(o.largest_served >= 0.8 * served * o.largest,
                  "largest served: %u of %u, all: %.3f", o.largest_served,
                  o.largest, served);
}
END_TEST

TCase *unit_load_case(void)
{
    TCase *t = tcase_create("load");

    tcase_set_timeout(t, 300);
    tcase_add_test(t, slots_are_granted_once);
    tcase_add_test(t, slots_of_gateways_that_are_gone);
    tcase_add_test(t, slots_heed_what_is_to_be_read);
    tcase_add_test(t, slots_yield_to_first_tries);
    tcase_add_loop_test(t, load_many_gateways_too_many_calls, 0, 3);
    tcase_add_loop_test(t, load_slots_to_spare, 0, 6);
    tcase_add_test(t, load_kinds_and_sizes);
    return t;
}
