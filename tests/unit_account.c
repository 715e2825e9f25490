/*
 * Memory that clients hold: shares of the account, and bodies in segments.
 */
#include "unit_account.h"

#include "gateway/qr_fingerprint.h"
#include "net/qr_body.h"

#include <string.h>

#define MB (1u << 20)
#define SMALLEST_MACHINE (112u * MB)
#define LARGEST_BODY (4u * MB)

static QRAccount account;

static void set_up(void)
{
    qr_account_init(&account);
    qr_account_set_memory(&account, SMALLEST_MACHINE);
}

static void tear_down(void)
{
    ck_assert_uint_eq(qr_account_held(&account), 0);
    qr_account_clear(&account);
}

static void append(QRBody *b, const char *data, size_t len)
{
    while (len > 0) {
        size_t n = qr_body_append(b, data, len);

        data += n;
        len -= n;
    }
}

static char *joined(const QRBody *b)
{
    GString *s = g_string_new(NULL);

    for (unsigned i = 0; i < qr_body_segments(b); i++) {
        const QRBodySegment *p = qr_body_segment(b, i);

        g_string_append_len(s, p->data, (gssize)p->len);
    }
    return g_string_free(s, FALSE);
}

/* Large requests leave a part of the memory to small ones. */
START_TEST(account_large_requests_leave_the_reserve)
{
    size_t share = qr_account_share(&account, QR_ACCOUNT_LARGE);

    ck_assert_uint_gt(share, LARGEST_BODY);
    ck_assert_uint_le(share, account.limit - account.limit / 8);
    qr_account_charge(&account, QR_ACCOUNT_LARGE, share);
    ck_assert_uint_eq(qr_account_excess(&account, QR_ACCOUNT_LARGE, 1), 1);
    ck_assert_uint_eq(
        qr_account_excess(&account, QR_ACCOUNT_SMALL, account.limit - share),
        0);
    ck_assert_uint_eq(qr_account_excess(&account, QR_ACCOUNT_SMALL,
                                        account.limit - share + 5),
                      5);
    ck_assert(!qr_account_may_fit(&account, LARGEST_BODY));
    qr_account_release(&account, QR_ACCOUNT_LARGE, share);
}
END_TEST

/* The memory of a machine is not exceeded whatever clients hold. */
START_TEST(account_is_a_part_of_the_memory)
{
    qr_account_charge(&account, QR_ACCOUNT_SMALL, account.limit);
    ck_assert_uint_lt(account.limit, SMALLEST_MACHINE / 2);
    ck_assert_uint_eq(qr_account_excess(&account, QR_ACCOUNT_SMALL, 1), 1);
    ck_assert_uint_eq(qr_account_excess(&account, QR_ACCOUNT_LARGE, 1), 1);
    qr_account_release(&account, QR_ACCOUNT_SMALL, account.limit);
    qr_account_set_memory(&account, 0);
    ck_assert_uint_gt(account.limit, 0);
}
END_TEST

/* What unfinished requests hold may be taken from them; the rest may not. */
START_TEST(account_unfinished_requests_may_yield)
{
    size_t share = qr_account_share(&account, QR_ACCOUNT_LARGE);

    qr_account_charge(&account, QR_ACCOUNT_LARGE, share);
    account.receiving = LARGEST_BODY;
    ck_assert(qr_account_may_fit(&account, LARGEST_BODY));
    ck_assert(!qr_account_may_fit(&account, LARGEST_BODY + 1));
    account.receiving = share;
    ck_assert(!qr_account_may_fit(&account, share + 1));
    account.receiving = 0;
    qr_account_release(&account, QR_ACCOUNT_LARGE, share);
}
END_TEST

/* Receive buffers of large bodies leave room for the bodies. */
START_TEST(account_receive_buffers_are_bounded)
{
    size_t share = qr_account_share(&account, QR_ACCOUNT_LARGE);
    size_t most = share / 4;

    ck_assert(qr_account_may_grow_window(&account, most));
    ck_assert(!qr_account_may_grow_window(&account, most + 1));
    account.windows = most;
    ck_assert(!qr_account_may_grow_window(&account, 1));
    account.windows = 0;
    qr_account_charge(&account, QR_ACCOUNT_LARGE, share);
    ck_assert(!qr_account_may_grow_window(&account, 1));
    qr_account_release(&account, QR_ACCOUNT_LARGE, share);
}
END_TEST

START_TEST(account_log_lines_are_bounded)
{
    unsigned dropped = 0, logged = 0;

    for (unsigned i = 0; i < 1000; i++)
        logged += qr_account_may_log(&account, 5000 + i, &dropped);
    ck_assert_uint_le(logged, 20);
    ck_assert_uint_gt(logged, 0);
    ck_assert(qr_account_may_log(&account, 6000, &dropped));
    ck_assert_uint_eq(dropped, 1000 - logged);
}
END_TEST

/* A body holds no more than a segment beyond its bytes, however it arrives. */
START_TEST(body_holds_what_it_received)
{
    static const size_t pieces[] = {1, 7, 4096, 70000};
    g_autofree char *data = g_malloc(LARGEST_BODY / 8);
    size_t len = LARGEST_BODY / 8;

    for (size_t i = 0; i < len; i++)
        data[i] = (char)('a' + i % 23);
    for (unsigned k = 0; k < G_N_ELEMENTS(pieces); k++) {
        for (unsigned known = 0; known < 2; known++) {
            g_autoptr(QRBody) b = qr_body_new(&account);
            g_autofree char *text = NULL;

            qr_body_expect(b, known ? len : 0);
            for (size_t at = 0; at < len; at += pieces[k])
                append(b, data + at, MIN(pieces[k], len - at));
            ck_assert_uint_eq(qr_body_len(b), len);
            ck_assert_uint_le(qr_body_held(b),
                              len + (known ? 0 : QR_ACCOUNT_SMALL_BYTES));
            ck_assert_uint_eq(account.held[QR_ACCOUNT_LARGE], qr_body_held(b));
            ck_assert_uint_eq(account.held[QR_ACCOUNT_SMALL], 0);
            text = joined(b);
            ck_assert_int_eq(memcmp(text, data, len), 0);
        }
    }
}
END_TEST

/* The charge that is announced is the one that is made, also when a body
   becomes large. */
START_TEST(body_announces_its_charge)
{
    g_autoptr(QRBody) b = qr_body_new(&account);
    char byte = 'x';

    for (size_t i = 0; i < (size_t)4 * QR_ACCOUNT_SMALL_BYTES; i++) {
        QRAccountClass class = QR_ACCOUNT_SMALL;
        size_t more = qr_body_next_charge(b, &class);
        size_t before = account.held[class];

        append(b, &byte, 1);
        if (more > 0)
            ck_assert_uint_eq(account.held[class], before + more);
        ck_assert_uint_eq(qr_account_held(&account), qr_body_held(b));
    }
    ck_assert_uint_eq(account.held[QR_ACCOUNT_SMALL], 0);
}
END_TEST

/* A request in progress keeps the body of a caller that left. */
START_TEST(body_lives_until_its_last_user)
{
    QRBody *b = qr_body_new(&account), *other;

    append(b, "hello", 5);
    other = qr_body_ref(b);
    qr_body_unref(b);
    ck_assert_uint_eq(qr_body_len(other), 5);
    ck_assert_uint_gt(qr_account_held(&account), 0);
    qr_body_unref(other);
}
END_TEST

/* Equal bodies have equal fingerprints, in whatever pieces they arrived. */
START_TEST(body_fingerprint_ignores_segments)
{
    g_autofree char *data = g_malloc0(50000);
    g_autoptr(QRBody) one = qr_body_new(&account);
    g_autoptr(QRBody) two = qr_body_new(&account);
    QRFingerprintParts parts = {"POST", "h", "/t", "team", one};
    QRFingerprint a, b;

    qr_body_expect(one, 50000);
    append(one, data, 50000);
    for (unsigned i = 0; i < 50000; i += 100)
        append(two, data + i, 100);
    ck_assert_uint_ne(qr_body_segment(one, 0)->len,
                      qr_body_segment(two, 0)->len);
    ck_assert(qr_fingerprint_make(&parts, &a));
    parts.body = two;
    ck_assert(qr_fingerprint_make(&parts, &b));
    ck_assert(qr_fingerprint_equal(&a, &b));
    append(two, "x", 1);
    ck_assert(qr_fingerprint_make(&parts, &b));
    ck_assert(!qr_fingerprint_equal(&a, &b));
}
END_TEST

TCase *unit_account_case(void)
{
    TCase *c = tcase_create("account");

    tcase_add_checked_fixture(c, set_up, tear_down);
    tcase_add_test(c, account_large_requests_leave_the_reserve);
    tcase_add_test(c, account_is_a_part_of_the_memory);
    tcase_add_test(c, account_unfinished_requests_may_yield);
    tcase_add_test(c, account_receive_buffers_are_bounded);
    tcase_add_test(c, account_log_lines_are_bounded);
    tcase_add_test(c, body_holds_what_it_received);
    tcase_add_test(c, body_announces_its_charge);
    tcase_add_test(c, body_lives_until_its_last_user);
    tcase_add_test(c, body_fingerprint_ignores_segments);
    return c;
}
