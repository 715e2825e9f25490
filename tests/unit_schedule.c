/*
 * Unit tests of the schedule of versions of weights, of access to their origin
 * and of the owners of their pieces. The numbers are those of a deployment of
 * 45 engines whose origin sends 4.38 Mbit/s.
 */
#include "unit_schedule.h"

#include "sidecar/qr_origin.h"
#include "sidecar/qr_sources.h"
#include "sidecar/qr_version_schedule.h"

#include <stdlib.h>
#include <string.h>

#define PIECES 96
#define PIECE_BYTES 24576
#define ORIGIN_BYTES_PER_MS 547.5
#define LINK_BYTES_PER_MS 775.6 /* 85% of 7.3 Mbit/s */
#define BOUND_MS 13400
#define SWITCH_MS 4500
#define PIECE_MS 45 /* for the origin to send one */

static const QRTransferRates RATES = {
    .origin_bytes_per_ms = ORIGIN_BYTES_PER_MS,
    .link_bytes_per_ms = LINK_BYTES_PER_MS,
    .piece_bytes = PIECE_BYTES,
    .switch_ms = SWITCH_MS,
};

static QRScheduledVersion version(uint64_t number, uint64_t named_ms,
                                  unsigned missing)
{
    return (QRScheduledVersion){.version = number,
                                .pieces_missing = missing,
                                .due_ms = named_ms + BOUND_MS};
}

/*
 * Two versions are named 2 s apart. Fetched one after the other, the second was
 * complete 25 s after it was named, far beyond its bound.
 */
START_TEST(schedule_skips_older_of_two)
{
    /* the origin has sent 44 pieces of the older one */
    QRScheduledVersion v[] = {version(2, 0, 52), version(3, 2000, PIECES)};

    qr_version_schedule(v, 2, &RATES, 2000);
    ck_assert(v[0].skipped && !v[1].skipped && v[1].in_time);
    ck_assert_uint_le(v[1].complete_ms + SWITCH_MS, v[0].due_ms);
    ck_assert_uint_ge(v[1].complete_ms, 2000 + PIECES * (PIECE_MS - 1));
    /* a version without a newer one is never skipped, however late */
    qr_version_schedule(v + 1, 1, &RATES, 60000);
    ck_assert(!v[1].skipped && !v[1].in_time);
}
END_TEST

/* The newer version is named when the older one is nearly complete, too late
   for the older one's bound. Engines would serve neither in time. */
START_TEST(schedule_completes_older_first)
{
    QRScheduledVersion v[] = {version(2, 0, 5), version(3, 7000, PIECES)};

    qr_version_schedule(v, 2, &RATES, 7000);
    ck_assert(!v[0].skipped && !v[1].skipped);
    ck_assert(v[0].in_time && v[1].in_time);
    ck_assert_uint_lt(v[0].complete_ms, 7000 + 1100);
    ck_assert_uint_ge(v[1].complete_ms,
                      v[0].complete_ms + PIECES * (PIECE_MS - 1));
    /* a complete one costs nothing more, and is kept for its bound */
    v[0].pieces_missing = 0;
    qr_version_schedule(v, 2, &RATES, 2000);
    ck_assert(!v[0].skipped);
}
END_TEST

/* Of three versions named soon after one another, the origin sends the last. */
START_TEST(schedule_of_three_versions)
{
    QRScheduledVersion v[] = {version(2, 0, 70), version(3, 1000, 80),
                              version(4, 2000, PIECES)};

    qr_version_schedule(v, 3, &RATES, 2000);
    ck_assert(v[0].skipped && v[1].skipped && !v[2].skipped);
}
END_TEST

/*
 * The second version would replace the first, but the third replaces the
 * second. Nobody fetches the second then, so that engines without the first
 * would serve nothing until the third is complete.
 */
START_TEST(schedule_skipped_version_replaces_none)
{
    QRScheduledVersion v[] = {version(2, 0, 30), version(3, 10000, 20),
                              version(4, 10500, PIECES)};

    qr_version_schedule(v, 3, &RATES, 10500);
    ck_assert(!v[0].skipped && v[1].skipped && !v[2].skipped);
}
END_TEST

/* Counts how often the decision on the older version changes while the missing
   pieces of both vary by one. */
static unsigned count_changes(unsigned older_missing, unsigned newer_missing,
                              uint64_t now_ms)
{
    QRScheduledVersion v[] = {version(2, 0, older_missing),
                              version(3, 2000, newer_missing)};
    unsigned changes = 0;

    qr_version_schedule(v, 2, &RATES, now_ms);
    for (unsigned i = 0; i < 40; i++) {
        bool before = v[0].skipped;

        v[0].pieces_missing = older_missing + i % 2;
        v[1].pieces_missing = newer_missing + i / 2 % 3;
        qr_version_schedule(v, 2, &RATES, now_ms + i % 3 * PIECE_MS);
        changes += v[0].skipped != before;
    }
    return changes;
}

/* A version that is skipped and fetched in turn has pieces of both versions
   sent by the origin, and neither is complete. */
START_TEST(schedule_does_not_flap)
{
    unsigned skipped = 0;

    /* the newer one has about as much to come as the older one */
    for (unsigned missing = 1; missing <= PIECES; missing++)
        ck_assert_uint_le(count_changes(missing, missing, 12000), 1);
    /* the newer one is complete at about the bound of the older one */
    for (uint64_t now = 2000; now < 6000; now += 10) {
        QRScheduledVersion v[] = {version(2, 0, 10), version(3, 2000, PIECES)};

        ck_assert_uint_le(count_changes(10, PIECES, now), 1);
        qr_version_schedule(v, 2, &RATES, now);
        skipped += v[0].skipped;
    }
    ck_assert(skipped > 100 && skipped < 300); /* the range has both */
}
END_TEST

/* A skipped version is fetched again when the newer one is clearly late. */
START_TEST(schedule_after_loss_of_origin)
{
    QRScheduledVersion v[] = {version(2, 0, 52), version(3, 2000, PIECES)};
    QRScheduledVersion w[] = {version(2, 0, PIECES), version(3, 2000, PIECES)};

    /* the origin is lost at 2 s and returns at 8 s */
    for (uint64_t now = 2000; now <= 8000; now += 100) {
        qr_version_schedule(v, 2, &RATES, now);
        qr_version_schedule(w, 2, &RATES, now);
    }
    /* what is left of the older one is complete 2 s before the newer one */
    ck_assert(!v[0].skipped && !v[1].skipped);
    ck_assert_uint_lt(v[0].complete_ms, v[1].complete_ms);
    /* what this costs: see "Open" in docs/design/weights-schedule.md */
    ck_assert_uint_le(v[0].complete_ms + SWITCH_MS, v[1].due_ms + 300);
    ck_assert_uint_le(v[1].complete_ms, w[1].complete_ms + 3200);
    /* of an older one that had not begun, nothing is fetched */
    ck_assert(w[0].skipped && !w[1].skipped);
}
END_TEST

/* Deployments that do not state the rate of their origin are served as before:
   each version is fetched. */
START_TEST(schedule_without_rates)
{
    QRTransferRates no_origin = RATES, no_pieces = RATES, no_link = RATES;

    no_origin.origin_bytes_per_ms = 0;
    no_pieces.piece_bytes = 0;
    no_link.link_bytes_per_ms = 0;
    for (unsigned i = 0; i < 2; i++) {
        QRScheduledVersion v[] = {version(2, 0, 52), version(3, 2000, PIECES)};

        v[0].skipped = true;
        qr_version_schedule(v, 2, i ? &no_pieces : &no_origin, 2000);
        ck_assert(!v[0].skipped && !v[1].skipped);
        ck_assert(v[0].complete_ms == 0 && v[1].complete_ms == 0);
        ck_assert(!v[0].in_time && !v[1].in_time);
    }
    /* an unknown link limits nothing, a slow one does */
    {
        QRScheduledVersion v[] = {version(2, 0, PIECES)};
        uint64_t complete_ms;

        qr_version_schedule(v, 1, &no_link, 0);
        complete_ms = v[0].complete_ms;
        qr_version_schedule(v, 1, &RATES, 0);
        ck_assert_uint_eq(v[0].complete_ms, complete_ms);
        no_link.link_bytes_per_ms = ORIGIN_BYTES_PER_MS / 2;
        qr_version_schedule(v, 1, &no_link, 0);
        ck_assert_uint_ge(v[0].complete_ms, complete_ms * 3 / 2);
    }
}
END_TEST

/* Engines that switch all at once leave none to serve calls. */
START_TEST(switch_window_spreads_engines)
{
    QRSwitchWindow w = qr_switch_window(1000, BOUND_MS, 7000);

    ck_assert_uint_eq(w.first_ms, 7000);
    ck_assert_uint_lt(w.last_ms, 1000 + BOUND_MS);
    ck_assert_uint_ge(w.last_ms, w.first_ms + 5000);
    for (uint64_t bound = 3000; bound <= 20000; bound += 500) {
        for (uint64_t done = 0; done < bound - 1500; done += 100) {
            w = qr_switch_window(1000, bound, done ? 1000 + done : 0);
            ck_assert_uint_gt(w.last_ms, w.first_ms);
            ck_assert_uint_ge(w.first_ms, 1000 + done);
            ck_assert_uint_lt(w.last_ms, 1000 + bound);
        }
    }
}
END_TEST

/* A version that is complete after its bound: engines without it serve nothing,
   so that all switch at once. */
START_TEST(switch_window_after_bound)
{
    QRSwitchWindow w = qr_switch_window(1000, BOUND_MS, 20000);

    ck_assert(w.first_ms == 20000 && w.last_ms == 20000);
    w = qr_switch_window(1000, 0, 0);
    ck_assert(w.first_ms == 1000 && w.last_ms == 1000);
}
END_TEST

static uint64_t note_failure(QROrigin *o, bool probes, uint64_t random,
                             uint64_t now)
{
    QROriginFailure f = {.probes = probes, .random = random};

    qr_origin_note_failure(o, &f, now);
    return o->retry_ms - now;
}

/* Each of 45 sidecars asked an unreachable origin every 150 to 200 ms; 156
   connection attempts timed out. */
START_TEST(origin_is_asked_less_often)
{
    QROrigin o = {0};
    uint64_t now = 1000, least = 150;
    unsigned requests = 0;

    for (unsigned i = 0; i < 8; i++) {
        uint64_t delay = note_failure(&o, false, 7919 * i, now);

        ck_assert_uint_ge(delay, least);
        ck_assert_uint_le(delay, least + least / 4);
        ck_assert(!qr_origin_may_request(&o, now + delay - 1));
        ck_assert(qr_origin_may_request(&o, now + delay));
        now += delay;
        least = MIN(2 * least, 2000);
    }
    /* in 6 s */
    o = (QROrigin){0};
    for (now = 0; now < 6000; now++) {
        if (qr_origin_may_request(&o, now)) {
            note_failure(&o, false, 0, now);
            requests++;
        }
    }
    ck_assert_uint_le(requests, 7);
    qr_origin_note_answer(&o, now);
    ck_assert(qr_origin_may_request(&o, now));
    ck_assert_uint_lt(note_failure(&o, false, 0, now), 200); /* begins anew */
}
END_TEST

/* One sidecar finds out soon that the origin is back. */
START_TEST(origin_prober_goes_on)
{
    QROrigin o = {0};
    uint64_t now = 1000;

    ck_assert_uint_eq(qr_origin_connect_timeout_ms(&o), 700);
    for (unsigned i = 0; i < 40; i++) {
        uint64_t delay = note_failure(&o, true, 7919 * i, now);

        ck_assert(delay >= 200 && delay <= 320);
        now += delay;
    }
    /* attempts that began before the return are not answered */
    ck_assert_uint_le(qr_origin_connect_timeout_ms(&o), 400);
    qr_origin_note_answer(&o, now);
    ck_assert(qr_origin_take_report(&o, now)); /* without delay */
}
END_TEST

START_TEST(origin_retry_after_is_kept)
{
    QROrigin o = {0};
    QROriginFailure f = {.probes = true, .retry_after_ms = 3000, .random = 1};

    qr_origin_note_failure(&o, &f, 1000);
    ck_assert(!qr_origin_may_request(&o, 3999));
    ck_assert(qr_origin_may_request(&o, 1000 + 3000 * 5 / 4));
}
END_TEST

/* An origin that returns is used at once, but not by all in the same
   millisecond. */
START_TEST(origin_report_ends_backoff_without_burst)
{
    QROrigin o[64] = {0};
    unsigned at[64] = {0}, most = 0;

    for (unsigned i = 0; i < 64; i++) {
        for (unsigned k = 0; k < 6; k++)
            note_failure(&o[i], false, 0, 1000 + 1000 * k);
        ck_assert(!qr_origin_may_request(&o[i], 7900));
        /* of before the failures: says nothing */
        qr_origin_note_peer_answer(&o[i], 900, i, 6100);
        ck_assert(!qr_origin_may_request(&o[i], 7900));
        qr_origin_note_peer_answer(&o[i], 6150, qr_hash_str("r", i), 6200);
        ck_assert(o[i].retry_ms >= 6200 && o[i].retry_ms < 6264);
        at[o[i].retry_ms - 6200]++;
    }
    for (unsigned i = 0; i < 64; i++)
        most = MAX(most, at[i]);
    ck_assert_uint_le(most, 6);
    /* a report delays nobody who may already ask */
    o[0] = (QROrigin){0};
    note_failure(&o[0], false, 0, 1000);
    qr_origin_note_peer_answer(&o[0], 1999, 59, 2000);
    ck_assert(qr_origin_may_request(&o[0], 2000));
}
END_TEST

/* Pieces of an owner whose host cannot reach the origin are fetched by another
   one, but none moves while the origin is away for all: each owner that took
   over would fetch them again. */
START_TEST(origin_yields_only_if_others_are_answered)
{
    QROrigin o = {0};
    uint64_t now;

    for (now = 1000; now < 12000; now += 10) {
        if (qr_origin_may_request(&o, now))
            note_failure(&o, false, 0, now);
        ck_assert(!qr_origin_must_yield(&o, now));
        ck_assert_int_eq(qr_origin_is_failing(&o, now), now >= 1700);
    }
    ck_assert(!qr_origin_is_failing(&o, 60000));
    /* a report as old as the first failure */
    o = (QROrigin){0};
    note_failure(&o, false, 0, 1000);
    note_failure(&o, false, 0, 1700);
    qr_origin_note_peer_answer(&o, 1100, 0, 1700);
    ck_assert(!qr_origin_must_yield(&o, 1800));
    /* one failure may be a lost packet, or an attempt that began earlier */
    o = (QROrigin){0};
    note_failure(&o, false, 0, 1000);
    qr_origin_note_peer_answer(&o, 1400, 0, 1450);
    ck_assert(!qr_origin_must_yield(&o, 1800));
    note_failure(&o, false, 0, 1500);
    ck_assert(!qr_origin_must_yield(&o, 1800));
    note_failure(&o, false, 0, 1650);
    ck_assert(!qr_origin_must_yield(&o, 1690)); /* not for long enough */
    ck_assert(qr_origin_must_yield(&o, 1700));
    ck_assert(qr_origin_must_yield(&o, 4699));
    /* then it tries again, until new failures and reports */
    ck_assert(!qr_origin_must_yield(&o, 4700));
    note_failure(&o, false, 0, 4700);
    note_failure(&o, false, 0, 5500);
    ck_assert(!qr_origin_must_yield(&o, 5500));
    qr_origin_note_peer_answer(&o, 5400, 0, 5500);
    note_failure(&o, false, 0, 5550);
    note_failure(&o, false, 0, 5580);
    ck_assert(qr_origin_must_yield(&o, 5580));
    qr_origin_note_answer(&o, 5600);
    ck_assert(!qr_origin_must_yield(&o, 5600));
}
END_TEST

/*
 * The origin returns after 3 s, and answers a peer first. Owners that heard of
 * that before their next request yielded for 3 s: the rest of the version was
 * fetched by other owners, at a part of the bandwidth.
 */
START_TEST(origin_that_returns_is_tried_before_yielding)
{
    QROrigin o = {0};

    for (unsigned i = 0; i < 5; i++)
        note_failure(&o, true, 0, 1000 + 600 * i);
    qr_origin_note_peer_answer(&o, 4000, 0, 4050);
    ck_assert(!qr_origin_must_yield(&o, 4060));
    note_failure(&o, true, 0, 4070); /* of a request that began before */
    ck_assert(!qr_origin_must_yield(&o, 4080));
    qr_origin_note_answer(&o, 4400);
    ck_assert(!qr_origin_must_yield(&o, 4400));
}
END_TEST

/* Failures of the last version do not make an owner yield the next one. */
START_TEST(origin_failures_expire)
{
    QROrigin o = {0};

    for (unsigned i = 0; i < 6; i++)
        note_failure(&o, false, 0, 1000 + 1000 * i);
    qr_origin_note_peer_answer(&o, 6000, 0, 6000);
    note_failure(&o, false, 0, 6500);
    note_failure(&o, false, 0, 7000);
    qr_origin_note_peer_answer(&o, 60000, 0, 60000);
    ck_assert(!qr_origin_must_yield(&o, 60000));
    ck_assert_uint_lt(note_failure(&o, false, 0, 60010), 200);
    ck_assert_uint_eq(o.failures, 1);
    note_failure(&o, false, 0, 60200);
    ck_assert(!qr_origin_must_yield(&o, 60300));
}
END_TEST

/* The clock starts at any time, also at 0, and jumps ahead when the host was
   suspended. */
START_TEST(origin_clock)
{
    QROrigin o = {0};

    ck_assert(qr_origin_may_request(&o, 0));
    ck_assert(!qr_origin_must_yield(&o, 0));
    ck_assert(!qr_origin_take_report(&o, 0));
    note_failure(&o, false, 0, 0);
    note_failure(&o, false, 0, 400);
    /* a peer's answer of before this clock's start */
    qr_origin_note_peer_answer(&o, 0, 0, 400);
    ck_assert(!qr_origin_must_yield(&o, 800));
    qr_origin_note_peer_answer(&o, 700, 0, 700);
    note_failure(&o, false, 0, 710);
    note_failure(&o, false, 0, 780);
    ck_assert(qr_origin_must_yield(&o, 800));
    ck_assert(!qr_origin_must_yield(&o, 3600 * 1000));
    ck_assert(qr_origin_may_request(&o, 3600 * 1000));
    ck_assert_uint_lt(note_failure(&o, false, 0, 3600 * 1000), 200);
}
END_TEST

/* Reports cost a message to each owner; they are sent at most twice a second,
   and only on answers that are new. */
START_TEST(origin_reports_are_few)
{
    QROrigin o = {0};
    unsigned reports = 0;

    for (uint64_t now = 1000; now < 6000; now += PIECE_MS) {
        qr_origin_note_answer(&o, now);
        reports += qr_origin_take_report(&o, now);
    }
    ck_assert(reports >= 8 && reports <= 10);
    qr_origin_take_report(&o, 9000);             /* of the last answers */
    ck_assert(!qr_origin_take_report(&o, 9600)); /* no new answer */
    qr_origin_note_answer(&o, 9700);
    note_failure(&o, false, 0, 9701);
    ck_assert(!qr_origin_take_report(&o, 10200)); /* it may be away */
}
END_TEST

#define REGIONS 3
#define ROOTS 8

static void fill(QRFleetMembers *m, unsigned n)
{
    qr_members_init(m);
    for (unsigned i = 0; i < n; i++) {
        Qr__Fleet__Hello h = QR__FLEET__HELLO__INIT;
        char name[16], address[24], region[4];

        g_snprintf(name, sizeof(name), "s%u", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", 2000 + i);
        g_snprintf(region, sizeof(region), "r%u", i % REGIONS);
        h.name = name;
        h.role = (char *)QR_ROLE_SIDECAR;
        h.address = address;
        h.region = region;
        h.service = (char *)"s";
        ck_assert_ptr_nonnull(qr_members_hello(m, &h, true, 1));
    }
}

static void plan_init(QRSourcePlan *plan, const GPtrArray *list,
                      const char *self, uint64_t version)
{
    const char *region = NULL;

    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        if (strcmp(m->name, self) == 0)
            region = m->region;
    }
    qr_source_plan_init(plan, list, self, region, ROOTS, "m", version, PIECES);
}

static const int SIDECARS[] = {45, 110, 440};

/* Each owner fetches its pieces from the origin: a piece with two owners comes
   twice, and one without an owner late. */
START_TEST(owners_one_for_each_piece)
{
    unsigned n = (unsigned)SIDECARS[_i], owners[PIECES] = {0}, roots = 0;
    QRFleetMembers m;
    g_autoptr(GPtrArray) list = NULL;

    fill(&m, n);
    list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    for (unsigned i = 0; i < n; i++) {
        g_auto(QRSourcePlan) plan = {0};
        char self[16];
        unsigned owned = 0;

        g_snprintf(self, sizeof(self), "s%u", i);
        plan_init(&plan, list, self, 2);
        for (unsigned piece = 0; piece < PIECES; piece++) {
            bool is_owner = qr_source_is_owner(&plan, piece);

            owners[piece] += is_owner;
            owned += is_owner;
            ck_assert_int_eq(
                is_owner, !qr_source_choose(&plan, piece, (QRSourceAttempts){0},
                                            QR_PIECE_ROLE_FIRST_RELAY)
                               .from);
        }
        ck_assert(owned == 0 || owned == PIECES / ROOTS);
        roots += owned > 0;
    }
    for (unsigned piece = 0; piece < PIECES; piece++)
        ck_assert_uint_eq(owners[piece], 1);
    ck_assert_uint_eq(roots, ROOTS);
    qr_members_clear(&m);
}
END_TEST

/* Two versions that are fetched at the same time have the same owners: else
   twice as many connections share the origin's bandwidth. */
START_TEST(owners_are_those_of_other_versions)
{
    QRFleetMembers m;
    g_autoptr(GPtrArray) list = NULL;
    g_auto(QRSourcePlan) a = {0};
    g_auto(QRSourcePlan) b = {0};

    fill(&m, 45);
    list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    plan_init(&a, list, "s0", 2);
    plan_init(&b, list, "s0", 3);
    for (unsigned i = 0; i < ROOTS; i++)
        ck_assert_ptr_eq(a.roots->pdata[i], b.roots->pdata[i]);
    qr_members_clear(&m);
}
END_TEST

/*
 * A sidecar leaves, or joins while the others already fetch a version. Pieces
 * that change owners are fetched from the origin again: only those of the one
 * that left may, or those of the place that the new one takes.
 */
START_TEST(owners_keep_pieces_when_others_join_or_leave)
{
    unsigned n = (unsigned)SIDECARS[_i], moved = 0;
    QRFleetMembers m;
    g_autoptr(GPtrArray) with = NULL;
    g_auto(QRSourcePlan) before = {0};

    fill(&m, n);
    with = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    plan_init(&before, with, "s0", 2);
    for (unsigned gone = 0; gone < n; gone++) {
        g_autoptr(GPtrArray) without = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
        QRFleetMember *left = with->pdata[gone];
        g_auto(QRSourcePlan) after = {0};
        g_auto(QRSourcePlan) leaves = {0};

        g_ptr_array_remove(without, left);
        plan_init(&after, without, "s0", 2);
        left->leaving = true;
        plan_init(&leaves, with, "s0", 2);
        left->leaving = false;
        ck_assert_uint_eq(after.roots->len, ROOTS);
        for (unsigned i = 0; i < ROOTS; i++) {
            bool is_left = before.roots->pdata[i] == left;

            ck_assert_ptr_eq(after.roots->pdata[i], leaves.roots->pdata[i]);
            ck_assert_msg(
                (after.roots->pdata[i] == before.roots->pdata[i]) == !is_left,
                "of %u, without %s root %u changes", n, left->name, i);
            moved += is_left;
        }
    }
    ck_assert_uint_eq(moved, ROOTS);
    qr_members_clear(&m);
}
END_TEST

/* Few sidecars: every place is taken, by a different one. */
START_TEST(owners_of_few_sidecars)
{
    for (unsigned n = 1; n <= 24; n++) {
        QRFleetMembers m;
        g_autoptr(GPtrArray) list = NULL;
        g_auto(QRSourcePlan) plan = {0};

        fill(&m, n);
        list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
        plan_init(&plan, list, "s0", 2);
        ck_assert_uint_eq(plan.roots->len, MIN(n, ROOTS));
        for (unsigned i = 0; i < plan.roots->len; i++) {
            ck_assert_ptr_nonnull(plan.roots->pdata[i]);
            for (unsigned k = 0; k < i; k++)
                ck_assert_ptr_ne(plan.roots->pdata[i], plan.roots->pdata[k]);
        }
        qr_members_clear(&m);
    }
}
END_TEST

/* One sidecar probes an origin that is away. */
START_TEST(one_prober)
{
    QRFleetMembers m;
    g_autoptr(GPtrArray) list = NULL;
    unsigned probers = 0;

    fill(&m, 45);
    list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    for (unsigned i = 0; i < 45; i++) {
        g_auto(QRSourcePlan) plan = {0};
        char self[16];

        g_snprintf(self, sizeof(self), "s%u", i);
        plan_init(&plan, list, self, 2);
        probers += qr_source_is_prober(&plan);
    }
    ck_assert_uint_eq(probers, 1);
    qr_members_clear(&m);
}
END_TEST

/* As many requests as keep the origin busy for 0.4 s; with 11 to 30 open, new
   connections timed out. */
START_TEST(roots_keep_the_origin_busy)
{
    QROriginLimits l = {48, ORIGIN_BYTES_PER_MS, PIECE_BYTES};

    ck_assert_uint_eq(qr_source_root_count(&l), 8);
    l.bytes_per_ms = 742.5;
    l.piece_bytes = 32768;
    ck_assert_uint_eq(qr_source_root_count(&l), 9);
    l.bytes_per_ms = 1; /* slow: requests still overlap */
    ck_assert_uint_eq(qr_source_root_count(&l), 2);
    l.bytes_per_ms = 1e9; /* fast: what its connections allow */
    ck_assert_uint_eq(qr_source_root_count(&l), 16);
    l.connections = 2;
    ck_assert_uint_eq(qr_source_root_count(&l), 1);
    l.connections = 100000;
    ck_assert_uint_eq(qr_source_root_count(&l), 64);
    /* no rates: as many as before */
    l = (QROriginLimits){.connections = 24};
    ck_assert_uint_eq(qr_source_root_count(&l), 8);
    l = (QROriginLimits){0};
    ck_assert_uint_eq(qr_source_root_count(&l), 8);
}
END_TEST

/* A sidecar that replaces an owner asks one relay of each region whether it
   holds the piece: the first, which the owner sent it to. */
START_TEST(first_relay_of_each_region)
{
    unsigned n = (unsigned)SIDECARS[_i];
    QRFleetMembers m;
    g_autoptr(GPtrArray) list = NULL;

    fill(&m, n);
    list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    for (unsigned self = 0; self < 6; self++) {
        g_auto(QRSourcePlan) plan = {0};
        char name[16];

        g_snprintf(name, sizeof(name), "s%u", self);
        plan_init(&plan, list, name, 2);
        for (unsigned piece = 0; piece < PIECES; piece++) {
            g_autoptr(GPtrArray) relays = g_ptr_array_new();
            unsigned seen = 0, missing = 0;

            qr_source_first_relays(&plan, piece, relays);
            for (unsigned i = 0; i < relays->len; i++) {
                const QRFleetMember *r = relays->pdata[i];
                g_auto(QRSourcePlan) at = {0};

                plan_init(&at, list, r->name, 2);
                ck_assert_str_ne(r->name, name);
                ck_assert(qr_source_is_relay(&plan, piece, r));
                /* it fetches from the root, not from another relay */
                ck_assert_int_ne(qr_source_choose(&at, piece,
                                                  (QRSourceAttempts){0},
                                                  QR_PIECE_ROLE_NONE)
                                     .role,
                                 QR_PIECE_ROLE_FIRST_RELAY);
                seen |= 1U << (r->region[1] - '0');
            }
            missing = REGIONS - relays->len;
            ck_assert_uint_le(missing, 1); /* this sidecar, if it is one */
            ck_assert_int_eq(__builtin_popcount(seen), (int)relays->len);
            if (missing)
                ck_assert(
                    qr_source_is_relay(&plan, piece, qr_members_get(&m, name)));
            piece += n > 100 ? 11 : 0;
        }
    }
    qr_members_clear(&m);
}
END_TEST

TCase *unit_schedule_case(void)
{
    TCase *t = tcase_create("schedule");
    int sizes = (int)G_N_ELEMENTS(SIDECARS);

    tcase_set_timeout(t, 300);
    tcase_add_test(t, schedule_skips_older_of_two);
    tcase_add_test(t, schedule_completes_older_first);
    tcase_add_test(t, schedule_of_three_versions);
    tcase_add_test(t, schedule_skipped_version_replaces_none);
    tcase_add_test(t, schedule_does_not_flap);
    tcase_add_test(t, schedule_after_loss_of_origin);
    tcase_add_test(t, schedule_without_rates);
    tcase_add_test(t, switch_window_spreads_engines);
    tcase_add_test(t, switch_window_after_bound);
    tcase_add_test(t, origin_is_asked_less_often);
    tcase_add_test(t, origin_prober_goes_on);
    tcase_add_test(t, origin_retry_after_is_kept);
    tcase_add_test(t, origin_report_ends_backoff_without_burst);
    tcase_add_test(t, origin_yields_only_if_others_are_answered);
    tcase_add_test(t, origin_that_returns_is_tried_before_yielding);
    tcase_add_test(t, origin_failures_expire);
    tcase_add_test(t, origin_clock);
    tcase_add_test(t, origin_reports_are_few);
    tcase_add_loop_test(t, owners_one_for_each_piece, 0, sizes);
    tcase_add_test(t, owners_are_those_of_other_versions);
    tcase_add_loop_test(t, owners_keep_pieces_when_others_join_or_leave, 0,
                        sizes);
    tcase_add_test(t, owners_of_few_sidecars);
    tcase_add_test(t, one_prober);
    tcase_add_test(t, roots_keep_the_origin_busy);
    tcase_add_loop_test(t, first_relay_of_each_region, 0, sizes);
    return t;
}
