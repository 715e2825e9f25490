/*
 * Unit tests of which gateways a process keeps connections to.
 */
#include "unit_neighbours.h"

#include "fleet/qr_neighbours.h"

#include <string.h>

#define REGIONS 5
#define SIZE 200

static char *gateway_name(unsigned region, unsigned i)
{
    return g_strdup_printf("gateway-%u-%u", region, i);
}

/* Adds the gateways of each region, in an order that depends on 'first'. */
static void fill(QRNeighbours *n, unsigned size, unsigned first)
{
    for (unsigned k = 0; k < size; k++) {
        for (unsigned r = 0; r < REGIONS; r++) {
            g_autofree char *name = gateway_name(r, (first + k * 7) % size);
            g_autofree char *region = g_strdup_printf("r%u", r);

            qr_neighbours_add(n, name, region);
        }
    }
}

static unsigned connections_of(const QRNeighbours *n, const QRNeighbour *own,
                               unsigned size)
{
    unsigned count = 0;

    for (unsigned r = 0; r < REGIONS; r++) {
        for (unsigned i = 0; i < size; i++) {
            g_autofree char *name = gateway_name(r, i);
            g_autofree char *region = g_strdup_printf("r%u", r);
            QRNeighbour other = {name, region, true};

            count += strcmp(name, own->name) != 0 &&
                     qr_neighbours_connect(n, own, &other);
        }
    }
    return count;
}

START_TEST(small_regions_are_meshed)
{
    QRNeighbours n;
    QRNeighbour own = {"gateway-0-1", "r0", true};
    QRNeighbour sidecar = {"sidecar", "r0", false};

    qr_neighbours_init(&n);
    fill(&n, 20, 0);
    ck_assert_uint_eq(connections_of(&n, &own, 20), REGIONS * 20 - 1);
    ck_assert_uint_eq(connections_of(&n, &sidecar, 20), REGIONS * 20);
    ck_assert(qr_neighbours_are_meshed(&n, "r0", "r4"));
    qr_neighbours_clear(&n);
}
END_TEST

/* Guards against connections that grow with the gateways of other regions, and
   against gateways that disagree on who connects to whom. */
START_TEST(large_regions_meet_through_delegates)
{
    QRNeighbours a, b;
    unsigned delegates = 0;

    qr_neighbours_init(&a);
    qr_neighbours_init(&b);
    fill(&a, SIZE, 0);
    fill(&b, SIZE, 93);
    ck_assert(!qr_neighbours_are_meshed(&a, "r0", "r4"));
    for (unsigned i = 0; i < SIZE; i++) {
        g_autofree char *name = gateway_name(3, i);
        QRNeighbour own = {name, "r3", true};
        bool is_delegate = qr_neighbours_is_delegate(&a, name, "r3");

        ck_assert_int_eq(is_delegate,
                         qr_neighbours_is_delegate(&b, name, "r3"));
        ck_assert_uint_eq(connections_of(&a, &own, SIZE),
                          SIZE - 1 + (is_delegate ? (REGIONS - 1) * 3 : 0));
        delegates += is_delegate;
    }
    ck_assert_uint_eq(delegates, 3);
    for (unsigned i = 0; i < 3; i++)
        ck_assert_str_eq(qr_neighbours_delegate(&a, "r3", i),
                         qr_neighbours_delegate(&b, "r3", i));
    ck_assert_ptr_null(qr_neighbours_delegate(&a, "r3", 3));
    {
        QRNeighbour sidecar = {"sidecar", "r0", false};

        ck_assert_uint_eq(connections_of(&a, &sidecar, SIZE),
                          SIZE + (REGIONS - 1) * 3);
    }
    qr_neighbours_clear(&a);
    qr_neighbours_clear(&b);
}
END_TEST

/* A change must be reported whenever it changes who connects to whom. */
START_TEST(change_of_delegates_is_reported)
{
    QRNeighbours n;

    qr_neighbours_init(&n);
    for (unsigned i = 0; i < SIZE; i++) {
        g_autofree char *name = gateway_name(0, i);
        GString *before = g_string_new(NULL), *after = g_string_new(NULL);
        bool changed;

        for (unsigned k = 0; k < SIZE; k++) {
            g_autofree char *other = gateway_name(0, k);

            g_string_append_c(before,
                              '0' + qr_neighbours_is_delegate(&n, other, "r0"));
        }
        changed = qr_neighbours_add(&n, name, "r0");
        ck_assert(!qr_neighbours_add(&n, name, "r0"));
        for (unsigned k = 0; k < SIZE; k++) {
            g_autofree char *other = gateway_name(0, k);

            g_string_append_c(after,
                              '0' + qr_neighbours_is_delegate(&n, other, "r0"));
        }
        ck_assert(changed || strcmp(before->str, after->str) == 0);
        g_string_free(before, TRUE);
        g_string_free(after, TRUE);
    }
    qr_neighbours_clear(&n);
}
END_TEST

TCase *unit_neighbours_case(void)
{
    TCase *t = tcase_create("neighbours");

    tcase_add_test(t, small_regions_are_meshed);
    tcase_add_test(t, large_regions_meet_through_delegates);
    tcase_add_test(t, change_of_delegates_is_reported);
    return t;
}
