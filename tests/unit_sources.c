/*
 * Unit tests of where sidecars draw pieces of weights from, and of when they
 * switch.
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
#define ORIGIN_CONNECTIONS 24 /* so 8 roots */
#define ROOTS 8

static QRPieceSource source(const QRFleetMembers *m, const char *self,
                            unsigned index, unsigned relays, unsigned roots)
{
    g_autoptr(GPtrArray) list = qr_members_of(m, QR_ROLE_SIDECAR, "s");
    g_auto(QRSourcePlan) plan = {0};

    qr_source_plan_init(&plan, list, self, qr_members_get(m, self)->region,
                        ORIGIN_CONNECTIONS, "m", 2, PIECES);
    return qr_source_choose(&plan, index, (QRSourceAttempts){relays, roots},
                            QR_PIECE_OWN);
}

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
    ck_assert_uint_eq(origin, PIECES); /* one sidecar a piece */
    for (unsigned i = 0; i < SIDECARS; i++)
        roots += drawn[i] > 0;
    ck_assert_uint_eq(roots, ROOTS); /* the origin takes few connections */
    ck_assert_uint_eq(across, PIECES * (REGIONS - 1));
    for (unsigned i = 0; i < SIDECARS; i++)
        ck_assert_msg(sends[i] >= PIECES * 3 / 4 && sends[i] <= PIECES * 5 / 4,
                      "%u", sends[i]);
    qr_members_clear(&m);
}
END_TEST

/* Follows a piece to the origin; returns how many hops that took. */
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

START_TEST(sources_end_at_the_origin_whoever_gave_nothing)
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

/* A dead relay costs no second read of the origin, a dead root just one. */
START_TEST(sources_next_relay_same_root)
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
        if (!first.from || first.role == QR_PIECE_ROOT)
            continue;
        second = source(&m, self, 1, 1, 0);
        ck_assert(second.from != first.from);
        if (second.role != QR_PIECE_ROOT) {
            ck_assert_str_eq(second.from->region, first.from->region);
            continue;
        }
        relays_seen++; /* it is the next relay: asks the root of the first */
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

START_TEST(relays_are_known_to_all)
{
    QRFleetMembers m;
    g_autoptr(GPtrArray) list = NULL;
    g_auto(QRSourcePlan) plan = {0};

    qr_members_init(&m);
    members_fill(&m, SIDECARS);
    list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    qr_source_plan_init(&plan, list, "s0", "r0", ORIGIN_CONNECTIONS, "m", 2,
                        PIECES);
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

/* Region of s0: s0, s3, s6, s9 (12 sidecars, 3 regions). */
START_TEST(sources_holders_stand_in)
{
    QRFleetMembers m;
    unsigned at_holder = 0;

    qr_members_init(&m);
    members_fill(&m, 12);
    member_holds(&m, "s3");
    /* one holder of four: in place of the roots, not of the relays */
    for (unsigned piece = 0; piece < 24; piece++) {
        QRPieceSource at = source(&m, "s0", piece, 0, 0);

        ck_assert_ptr_nonnull(at.from); /* nobody reads the origin again */
        if (at.role == QR_PIECE_ROOT)
            ck_assert_str_eq(at.from->name, "s3");
        at_holder += strcmp(at.from->name, "s3") == 0;
    }
    ck_assert_uint_lt(at_holder, 24);
    /* nobody need have the manifest: the origin has it, through the roots */
    member_holds(&m, "s3");
    for (unsigned i = 0; i < 12; i++) {
        char self[16];

        g_snprintf(self, sizeof(self), "s%u", i);
        ck_assert_uint_ge(hops_to_origin(&m, self, QR_MANIFEST_INDEX,
                                         (QRSourceAttempts){0, 0}),
                          1);
    }
    /* half of the region: all ask holders, each others */
    member_holds(&m, "s6");
    at_holder = 0;
    for (unsigned piece = 0; piece < 24; piece++) {
        QRPieceSource at = source(&m, "s0", piece, 0, 0);

        ck_assert(at.role != QR_PIECE_ROOT && at.from->complete_version == 2);
        at_holder += strcmp(at.from->name, "s3") == 0;
    }
    ck_assert_uint_eq(at_holder, 12);
    /* whoever gives nothing is passed over, at last the origin */
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

/* A root whose engine is leaving may go with pieces undrawn. */
START_TEST(sources_pass_over_who_leaves)
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
            ck_assert(at.from || i != 3); /* nor does it draw for others */
        }
    }
    /* all leave, as it seems: better they than nobody */
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

START_TEST(sources_forget_who_is_gone)
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

/* What the sidecars of one region send, and how far pieces come. */
typedef struct Region {
    unsigned most;    /* pieces that any of them sends there */
    unsigned deepest; /* hops of a piece within it */
} Region;

#define REGION_MOST 400
#define MODEL_PIECES 48

static Region region_play(unsigned sidecars)
{
    QRFleetMembers m;
    g_autoptr(GPtrArray) list = NULL;
    static unsigned from[REGION_MOST][MODEL_PIECES];
    unsigned sends[REGION_MOST] = {0};
    Region out = {0};

    qr_members_init(&m);
    members_fill_regions(&m, sidecars, 1);
    list = qr_members_of(&m, QR_ROLE_SIDECAR, "s");
    for (unsigned i = 0; i < sidecars; i++) {
        g_auto(QRSourcePlan) plan = {0};
        char self[16];

        g_snprintf(self, sizeof(self), "s%u", i);
        qr_source_plan_init(&plan, list, self, "r0", ORIGIN_CONNECTIONS, "m", 2,
                            MODEL_PIECES);
        for (unsigned piece = 0; piece < MODEL_PIECES; piece++) {
            QRPieceSource at = qr_source_choose(
                &plan, piece, (QRSourceAttempts){0, 0}, QR_PIECE_OWN);
            bool is_near = at.from && at.role != QR_PIECE_ROOT;

            from[i][piece] = is_near ? (unsigned)atoi(at.from->name + 1) : i;
            sends[from[i][piece]] += is_near;
        }
    }
    for (unsigned i = 0; i < sidecars; i++) {
        out.most = MAX(out.most, sends[i]);
        for (unsigned piece = 0; piece < MODEL_PIECES; piece++) {
            unsigned hops = 0;

            for (unsigned at = i; from[at][piece] != at && hops < 9; hops++)
                at = from[at][piece];
            out.deepest = MAX(out.deepest, hops);
        }
    }
    qr_members_clear(&m);
    return out;
}

/*
 * Pattern: a version is named to a region of any size. A link carries one copy
 * in, and one out, in the same time; so a sidecar that sends two makes all
 * others wait twice as long as the link itself takes.
 */
START_TEST(sources_nobody_sends_much_more_than_one_copy)
{
    for (unsigned n = 2; n <= 300; n += n < 60 ? 1 : 13) {
        Region r = region_play(n);

        ck_assert_msg(2 * r.most <= 3 * MODEL_PIECES, "of %u one sends %u", n,
                      r.most);
        ck_assert_uint_le(r.deepest, 2);
    }
}
END_TEST

/* Some do not know yet that the engine beside 'late' leaves: it stands
   elsewhere in the order that they see. */
static QRPieceSource mixed_source(QRFleetMembers *m, const char *self,
                                  const char *late, unsigned piece,
                                  QRPieceRole role)
{
    g_autoptr(GPtrArray) list = qr_members_of(m, QR_ROLE_SIDECAR, "s");
    g_auto(QRSourcePlan) plan = {0};

    qr_members_get(m, late)->leaving = atoi(self + 1) % 2 == 0;
    qr_source_plan_init(&plan, list, self, qr_members_get(m, self)->region,
                        ORIGIN_CONNECTIONS, "m", 2, PIECES);
    return qr_source_choose(&plan, piece, (QRSourceAttempts){0, 0}, role);
}

/*
 * Pattern: engines are taken away while a version is on its way, and half of
 * the sidecars have not heard of it. A piece that each of two waits for from
 * the other comes to neither.
 */
START_TEST(sources_that_see_other_members_do_not_wait_for_one_another)
{
    QRFleetMembers m;

    qr_members_init(&m);
    members_fill(&m, SIDECARS);
    for (unsigned late = 0; late < SIDECARS; late++) {
        char away[16];

        g_snprintf(away, sizeof(away), "s%u", late);
        for (unsigned i = 0; i < SIDECARS * PIECES; i++) {
            char self[16];
            QRPieceRole role = QR_PIECE_OWN;
            unsigned hops = 0;

            g_snprintf(self, sizeof(self), "s%u", i % SIDECARS);
            for (; hops < 6; hops++) {
                QRPieceSource at =
                    mixed_source(&m, self, away, i / SIDECARS, role);

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

START_TEST(switches_follow_one_another)
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
        qr_source_plan_init(&plan, list, self, "r0", ORIGIN_CONNECTIONS, "m", 2,
                            PIECES);
        due = qr_switch_at(&plan, 1000, 1900);
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
    tcase_add_test(t, sources_end_at_the_origin_whoever_gave_nothing);
    tcase_add_test(t, sources_next_relay_same_root);
    tcase_add_test(t, relays_are_known_to_all);
    tcase_add_test(t, sources_holders_stand_in);
    tcase_add_test(t, sources_forget_who_is_gone);
    tcase_add_test(t, sources_pass_over_who_leaves);
    tcase_add_test(t, sources_nobody_sends_much_more_than_one_copy);
    tcase_add_test(t,
                   sources_that_see_other_members_do_not_wait_for_one_another);
    tcase_add_test(t, switches_follow_one_another);
    return t;
}
