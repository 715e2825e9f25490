/*
 * Unit tests of the choice of sources for pieces of weights, and of the switch
 * times of sidecars.
 */
#include "unit_sources.h"

#include "sidecar/qr_sources.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define REGIONS 3

static void members_fill_regions(QRFleetMembers *m, unsigned n,
                                 unsigned regions)
{
    for (unsigned i = 0; i < n; i++) {
        Qr__Fleet__Hello h = QR__FLEET__HELLO__INIT;
        char name[16], address[24], region[4];

        g_snprintf(name, sizeof(name), "s%u", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", 2000 + i);
        g_snprintf(region, sizeof(region), "r%u", i % regions);
        h.name = name;
        h.role = (char *)QR_ROLE_SIDECAR;
        h.address = address;
        h.region = region;
        h.service = (char *)"s";
        ck_assert_ptr_nonnull(qr_members_hello(m, &h, true, 1));
    }
}

static void members_fill(QRFleetMembers *m, unsigned n)
{
    members_fill_regions(m, n, REGIONS);
}

#define SIDECARS 18
#define PIECES 72
#define ROOTS 8

static QRPieceSource source(const QRFleetMembers *m, const char *self,
                            unsigned index, unsigned relays, unsigned roots)
{
    g_autoptr(GPtrArray) list = qr_members_of(m, QR_ROLE_SIDECAR, "s");
    g_auto(QRSourcePlan) plan = {0};

    qr_source_plan_init(&plan, list, self, qr_members_get(m, self)->region,
                        ROOTS, "m", 2, PIECES);
    return qr_source_choose(&plan, index, (QRSourceAttempts){relays, roots},
                            QR_PIECE_ROLE_NONE);
}

/* The origin sends each piece once, and every sidecar about one copy. */
START_TEST(sources_one_copy_from_the_origin)
{
    QRFleetMembers m;
    unsigned origin = 0, across = 0, roots = 0;
    unsigned sends[SIDECARS] = {0}, drawn[SIDECARS] = {0};

    qr_members_init(&m);
    members_fill(&m, SIDECARS);
    for (unsigned piece = 0; piece < PIECES; piece++) {
        for (unsigned i = 0; i < SIDECARS; i++) {
            char self[16];
            QRPieceSource at;

            g_snprintf(self, sizeof(self), "s%u", i);
            at = source(&m, self, piece, 0, 0);
            if (!at.from) {
                origin++;
                drawn[i]++;
                continue;
            }
            ck_assert_str_ne(at.from->name, self);
            sends[atoi(at.from->name + 1)]++;
            across +=
                strcmp(at.from->region, qr_members_get(&m, self)->region) != 0;
        }
    }
    ck_assert_uint_eq(origin, PIECES); /* one sidecar per piece */
    for (unsigned i = 0; i < SIDECARS; i++)
        roots += drawn[i] > 0;
    ck_assert_uint_eq(roots, ROOTS); /* the origin accepts few connections */
    ck_assert_uint_eq(across, PIECES * (REGIONS - 1));
    for (unsigned i = 0; i < SIDECARS; i++)
        ck_assert_msg(sends[i] >= PIECES * 3 / 4 && sends[i] <= PIECES * 5 / 4,
                      "%u", sends[i]);
    qr_members_clear(&m);
}
END_TEST

/* Returns the number of hops from 'self' to the origin; 0: not reached. */
static unsigned hops_to_origin(const QRFleetMembers *m, const char *self,
                               unsigned piece, QRSourceAttempts tried)
{
    for (unsigned hops = 1; hops < 5; hops++) {
        QRPieceSource at = source(m, self, piece, tried.relays, tried.roots);

        if (!at.from)
            return hops;
        self = at.from->name;
    }
    return 0;
}

/* After failed attempts, the chain of sources must still end at the origin. */
START_TEST(sources_end_at_origin_after_failed_attempts)
{
    QRFleetMembers m;

    qr_members_init(&m);
    members_fill(&m, SIDECARS);
    for (unsigned piece = 0; piece < PIECES; piece++) {
        for (unsigned relays = 0; relays < 3; relays++) {
            for (unsigned roots = 0; roots < 3; roots++) {
                QRSourceAttempts tried = {relays, roots};

                ck_assert_uint_ge(hops_to_origin(&m, "s4", piece, tried), 1);
            }
        }
    }
    ck_assert_uint_ge(
        hops_to_origin(&m, "s4", QR_MANIFEST_INDEX, (QRSourceAttempts){0, 0}),
        1);
    qr_members_clear(&m);
}
END_TEST

/* A dead relay must not cause a second read of the origin; a dead root causes
   one. */
START_TEST(sources_next_relay_uses_same_root)
{
    QRFleetMembers m;
    unsigned relays_seen = 0;

    qr_members_init(&m);
    members_fill(&m, SIDECARS);
    for (unsigned i = 0; i < SIDECARS; i++) {
        char self[16];
        QRPieceSource first, second;

        g_snprintf(self, sizeof(self), "s%u", i);
        first = source(&m, self, 1, 0, 0);
        if (!first.from || first.role == QR_PIECE_ROLE_ROOT)
            continue;
        second = source(&m, self, 1, 1, 0);
        ck_assert(second.from != first.from);
        if (second.role != QR_PIECE_ROLE_ROOT) {
            ck_assert_str_eq(second.from->region, first.from->region);
            continue;
        }
        relays_seen++; /* the next relay asks the root of the first relay */
        ck_assert_ptr_eq(second.from,
                         source(&m, first.from->name, 1, 0, 0).from
                             ? source(&m, first.from->name, 1, 0, 0).from
                             : first.from);
        ck_assert(source(&m, self, 1, 1, 1).from != second.from);
    }
    ck_assert_uint_ge(relays_seen, 1);
    qr_members_clear(&m);
}
END_TEST

/* Each piece has exactly one relay per region. */
START_TEST(sources_one_relay_per_region)
{
    QRFleetMembers m;
    g_autoptr(GPtrArray) list = NULL;
    g_auto(QRSourcePlan) plan = {0};

    qr_members_init(&m);
    members_fill(&m, SIDECARS);
    list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    qr_source_plan_init(&plan, list, "s0", "r0", ROOTS, "m", 2, PIECES);
    for (unsigned piece = 0; piece < PIECES; piece++) {
        unsigned relays = 0;

        for (unsigned i = 0; i < list->len; i++)
            relays += qr_source_is_relay(&plan, piece, list->pdata[i]);
        ck_assert_uint_eq(relays, REGIONS);
    }
    qr_members_clear(&m);
}
END_TEST

static void member_holds(const QRFleetMembers *m, const char *name)
{
    QRFleetMember *holder = qr_members_get(m, name);

    holder->complete_version = 2;
    g_free(holder->model);
    holder->model = g_strdup("m");
}

/*
 * Sidecars that hold the version replace roots, and relays once half of the
 * region holds it. Region of s0: s0, s3, s6, s9 (12 sidecars, 3 regions).
 */
START_TEST(sources_holders_replace_roots_and_relays)
{
    QRFleetMembers m;
    unsigned at_holder = 0;

    qr_members_init(&m);
    members_fill(&m, 12);
    member_holds(&m, "s3");
    /* one holder of four replaces the roots, but not the relays */
    for (unsigned piece = 0; piece < 24; piece++) {
        QRPieceSource at = source(&m, "s0", piece, 0, 0);

        ck_assert_ptr_nonnull(at.from); /* no second read of the origin */
        if (at.role == QR_PIECE_ROLE_ROOT)
            ck_assert_str_eq(at.from->name, "s3");
        at_holder += strcmp(at.from->name, "s3") == 0;
    }
    ck_assert_uint_lt(at_holder, 24);
    /* holders may lack the manifest: it comes from the origin via the roots */
    member_holds(&m, "s3");
    for (unsigned i = 0; i < 12; i++) {
        char self[16];

        g_snprintf(self, sizeof(self), "s%u", i);
        ck_assert_uint_ge(hops_to_origin(&m, self, QR_MANIFEST_INDEX,
                                         (QRSourceAttempts){0, 0}),
                          1);
    }
    /* half of the region holds it: requests are spread over the holders */
    member_holds(&m, "s6");
    at_holder = 0;
    for (unsigned piece = 0; piece < 24; piece++) {
        QRPieceSource at = source(&m, "s0", piece, 0, 0);

        ck_assert(at.role != QR_PIECE_ROLE_ROOT &&
                  at.from->complete_version == 2);
        at_holder += strcmp(at.from->name, "s3") == 0;
    }
    ck_assert_uint_eq(at_holder, 12);
    /* after many failed relays, the origin is asked */
    for (unsigned piece = 0; piece < 24; piece++)
        ck_assert_ptr_null(source(&m, "s0", piece, 99, 0).from);
    for (unsigned i = 0; i < 12; i++) {
        char self[16];

        g_snprintf(self, sizeof(self), "s%u", i);
        member_holds(&m, self);
    }
    for (unsigned i = 0; i < 12; i++) {
        char self[16];

        g_snprintf(self, sizeof(self), "s%u", i);
        ck_assert_uint_ge(hops_to_origin(&m, self, QR_MANIFEST_INDEX,
                                         (QRSourceAttempts){0, 0}),
                          1);
    }
    qr_members_clear(&m);
}
END_TEST

/* A root whose engine is leaving may exit before it has fetched its pieces; it
   must not be chosen. */
START_TEST(sources_skip_leaving_members)
{
    QRFleetMembers m;

    qr_members_init(&m);
    members_fill(&m, 12);
    qr_members_get(&m, "s3")->leaving = true;
    for (unsigned piece = 0; piece < 48; piece++) {
        for (unsigned i = 0; i < 12; i++) {
            char self[16];
            QRPieceSource at;

            g_snprintf(self, sizeof(self), "s%u", i);
            at = source(&m, self, piece, 0, 0);
            ck_assert(!at.from || strcmp(at.from->name, "s3") != 0);
            ck_assert(at.from || i != 3); /* nor does it fetch for others */
        }
    }
    /* all members are marked leaving: they are chosen anyway */
    for (unsigned i = 0; i < 12; i++) {
        char self[16];

        g_snprintf(self, sizeof(self), "s%u", i);
        qr_members_get(&m, self)->leaving = true;
    }
    for (unsigned piece = 0; piece < 48; piece++)
        ck_assert_uint_ge(
            hops_to_origin(&m, "s0", piece, (QRSourceAttempts){0, 0}), 1);
    qr_members_clear(&m);
}
END_TEST

/* A removed member must not be chosen as a source. */
START_TEST(sources_skip_removed_members)
{
    QRFleetMembers m;

    qr_members_init(&m);
    members_fill(&m, 6);
    qr_members_remove(&m, "s3");
    for (unsigned piece = 0; piece < 12; piece++) {
        const QRFleetMember *from = source(&m, "s0", piece, 0, 0).from;

        ck_assert(!from || strcmp(from->name, "s3") != 0);
    }
    qr_members_clear(&m);
}
END_TEST

/* Load of the sidecars of one region, and length of the paths of pieces. */
typedef struct RegionLoad {
    unsigned max_sent; /* pieces sent by the busiest sidecar */
    unsigned max_hops; /* hops of a piece within the region */
} RegionLoad;

#define REGION_MOST 400
#define MODEL_PIECES 48

static RegionLoad region_simulate(unsigned sidecars)
{
    QRFleetMembers m;
    g_autoptr(GPtrArray) list = NULL;
    static unsigned from[REGION_MOST][MODEL_PIECES];
    unsigned sends[REGION_MOST] = {0};
    RegionLoad out = {0};

    qr_members_init(&m);
    members_fill_regions(&m, sidecars, 1);
    list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    for (unsigned i = 0; i < sidecars; i++) {
        g_auto(QRSourcePlan) plan = {0};
        char self[16];

        g_snprintf(self, sizeof(self), "s%u", i);
        qr_source_plan_init(&plan, list, self, "r0", ROOTS, "m", 2,
                            MODEL_PIECES);
        for (unsigned piece = 0; piece < MODEL_PIECES; piece++) {
            QRPieceSource at = qr_source_choose(
                &plan, piece, (QRSourceAttempts){0, 0}, QR_PIECE_ROLE_NONE);
            bool is_near = at.from && at.role != QR_PIECE_ROLE_ROOT;

            from[i][piece] = is_near ? (unsigned)atoi(at.from->name + 1) : i;
            sends[from[i][piece]] += is_near;
        }
    }
    for (unsigned i = 0; i < sidecars; i++) {
        out.max_sent = MAX(out.max_sent, sends[i]);
        for (unsigned piece = 0; piece < MODEL_PIECES; piece++) {
            unsigned hops = 0;

            for (unsigned at = i; from[at][piece] != at && hops < 9; hops++)
                at = from[at][piece];
            out.max_hops = MAX(out.max_hops, hops);
        }
    }
    qr_members_clear(&m);
    return out;
}

/*
 * A version is named to a region of 2 to 300 sidecars. A link receives and
 * sends one copy in the same time; a sidecar that sends two copies makes all
 * others wait for twice the transfer time of the link.
 */
START_TEST(sources_none_sends_much_more_than_one_copy)
{
    for (unsigned n = 2; n <= 300; n += n < 60 ? 1 : 13) {
        RegionLoad r = region_simulate(n);

        ck_assert_msg(2 * r.max_sent <= 3 * MODEL_PIECES, "of %u one sends %u",
                      n, r.max_sent);
        ck_assert_uint_le(r.max_hops, 2);
    }
}
END_TEST

/* Half of the sidecars do not know yet that the engine beside 'late' is
   leaving, and give that sidecar another rank. */
static QRPieceSource source_with_mixed_views(QRFleetMembers *m,
                                             const char *self, const char *late,
                                             unsigned piece, QRPieceRole role)
{
    g_autoptr(GPtrArray) list = qr_members_of(m, QR_ROLE_SIDECAR, "s");
    g_auto(QRSourcePlan) plan = {0};

    qr_members_get(m, late)->leaving = atoi(self + 1) % 2 == 0;
    qr_source_plan_init(&plan, list, self, qr_members_get(m, self)->region,
                        ROOTS, "m", 2, PIECES);
    return qr_source_choose(&plan, piece, (QRSourceAttempts){0, 0}, role);
}

/*
 * Engines are removed while a version is being fetched, and half of the
 * sidecars do not know yet. Two sidecars that wait for the same piece from each
 * other never receive it.
 */
START_TEST(sources_no_wait_cycle_with_different_members)
{
    QRFleetMembers m;

    qr_members_init(&m);
    members_fill(&m, SIDECARS);
    for (unsigned late = 0; late < SIDECARS; late++) {
        char away[16];

        g_snprintf(away, sizeof(away), "s%u", late);
        for (unsigned i = 0; i < SIDECARS * PIECES; i++) {
            char self[16];
            QRPieceRole role = QR_PIECE_ROLE_NONE;
            unsigned hops = 0;

            g_snprintf(self, sizeof(self), "s%u", i % SIDECARS);
            for (; hops < 6; hops++) {
                QRPieceSource at =
                    source_with_mixed_views(&m, self, away, i / SIDECARS, role);

                if (!at.from)
                    break;
                g_strlcpy(self, at.from->name, sizeof(self));
                role = at.role;
            }
            ck_assert_uint_lt(hops, 6);
        }
        qr_members_get(&m, away)->leaving = false;
    }
    qr_members_clear(&m);
}
END_TEST

/* Sidecars must not all switch at once: the switch times are spread evenly. */
START_TEST(switch_times_are_spread)
{
    QRFleetMembers m;
    g_autoptr(GPtrArray) list = NULL;
    unsigned at[10] = {0};

    qr_members_init(&m);
    members_fill(&m, 10);
    list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    for (unsigned i = 0; i < 10; i++) {
        g_auto(QRSourcePlan) plan = {0};
        char self[16];
        uint64_t due;

        g_snprintf(self, sizeof(self), "s%u", i);
        qr_source_plan_init(&plan, list, self, "r0", ROOTS, "m", 2, PIECES);
        due = qr_switch_time_ms(&plan, 1000, 1900);
        ck_assert(due >= 1000 && due <= 1900);
        at[(due - 1000) / 100]++;
    }
    for (unsigned i = 0; i < 10; i++)
        ck_assert_uint_eq(at[i], 1);
    qr_members_clear(&m);
}
END_TEST

TCase *unit_sources_case(void)
{
    TCase *t = tcase_create("sources");

    tcase_set_timeout(t, 300);
    tcase_add_test(t, sources_one_copy_from_the_origin);
    tcase_add_test(t, sources_end_at_origin_after_failed_attempts);
    tcase_add_test(t, sources_next_relay_uses_same_root);
    tcase_add_test(t, sources_one_relay_per_region);
    tcase_add_test(t, sources_holders_replace_roots_and_relays);
    tcase_add_test(t, sources_skip_removed_members);
    tcase_add_test(t, sources_skip_leaving_members);
    tcase_add_test(t, sources_none_sends_much_more_than_one_copy);
    tcase_add_test(t, sources_no_wait_cycle_with_different_members);
    tcase_add_test(t, switch_times_are_spread);
    return t;
}
