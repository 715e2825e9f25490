/*
 * Unit tests of what engines announce in response headers (shutdown, backoff
 * and rate limit): how a gateway decodes and applies the headers, and how all
 * gateways together respect them.
 */
#include "unit_notices.h"

#include "fleet/qr_engines.h"
#include "fleet/qr_platform.h"
#include "fleet/qr_slots.h"
#include "gateway/qr_balance.h"

#include <math.h>
#include <string.h>

static QRAnswerNotice parse(unsigned status, const char *const *fields)
{
    const QRPlatform *platform = qr_platform_find("log-store");
    QRAnswerNotice notice;
    QRHeaders h;

    qr_headers_init(&h);
    for (; *fields; fields += 2)
        qr_headers_add(&h, fields[0], fields[1]);
    platform->parse_notice(status, &h, &notice);
    qr_headers_clear(&h);
    return notice;
}

START_TEST(decodes_notices)
{
    const char *const all[] = {"server-limit",   "2.25", "Retry-After", "1.5",
                               "Server-Leaving", "1",    NULL};
    const char *const none[] = {"Server-Leaving", "0", NULL};
    QRAnswerNotice n = parse(503, all);

    ck_assert(n.leaving && n.has_limit && n.has_retry_after);
    ck_assert_double_eq(n.limit_per_s, 2.25);
    ck_assert_double_eq(n.retry_after_s, 1.5);
    ck_assert_ptr_null(n.malformed_field);
    /* a backoff needs a response that rejects the call */
    ck_assert(!parse(200, all).has_retry_after);
    /* status 429 is about one team's quota, not about the engine */
    ck_assert(!parse(429, all).has_retry_after);
    n = parse(200, none);
    ck_assert(!n.leaving && !n.has_limit && !n.has_retry_after &&
              !n.malformed_field);
}
END_TEST

/* A response without a limit ends the limit, but only if the response is from
   the engine itself and not from something else at its address. */
START_TEST(only_the_engine_itself_ends_its_limit)
{
    const char *const good[] = {"X-Server-Signature", "s", NULL};
    const char *const named[] = {"X-Server-Signature", "s", "Server-Limit", "?",
                                 NULL};
    const char *const nothing[] = {NULL};
    const char *const leaves[] = {"Server-Leaving", "1", "Server-Limit", "1",
                                  NULL};

    ck_assert(parse(200, good).has_no_limit);
    ck_assert(!parse(200, named).has_no_limit);
    ck_assert(!parse(200, nothing).has_no_limit);
    ck_assert(!parse(500, good).has_no_limit);
    ck_assert(!parse(503, nothing).has_no_limit);
    ck_assert(!parse(421, leaves).leaving && !parse(421, leaves).has_limit);
}
END_TEST

/* Malformed headers of one engine must neither slow its service nor end a
   limit. */
START_TEST(rejects_malformed_notices)
{
    static const char *const odd[] = {"-1",
                                      "many",
                                      "",
                                      "nan",
                                      "inf",
                                      "1e400",
                                      "1,2",
                                      "0x10",
                                      "1.2.3",
                                      ".",
                                      "Wed, 21 Oct 2026 07:28:00 GMT"};
    const char *const twice[] = {"Server-Limit", "1", "Server-Limit", "2",
                                 NULL};

    for (unsigned i = 0; i < G_N_ELEMENTS(odd); i++) {
        const char *const fields[] = {"Server-Limit", odd[i], "Retry-After",
                                      odd[i], NULL};
        QRAnswerNotice n = parse(503, fields);

        ck_assert_msg(!n.has_limit && !n.has_retry_after && n.malformed_field,
                      "%s", odd[i]);
    }
    ck_assert(!parse(200, twice).has_limit &&
              parse(200, twice).malformed_field);
}
END_TEST

START_TEST(malformed_notices_change_nothing)
{
    QRAnswerNotice limit = {.has_limit = true, .limit_per_s = 2};
    QRAnswerNotice odd = {.malformed_field = "Server-Limit"};
    QRAnswerNotice too_long = {.has_retry_after = true, .retry_after_s = 1e12};
    QRAnswerNotice too_high = {.has_limit = true, .limit_per_s = 1e300};
    QRNotices n = {0};

    ck_assert_uint_eq(qr_notices_update(&n, &limit, 900, 1000),
                      QR_NOTICE_LIMIT);
    ck_assert_uint_eq(qr_notices_update(&n, &odd, 2000, 2100),
                      QR_NOTICE_MALFORMED);
    ck_assert_uint_eq(qr_notices_update(&n, &odd, 2000, 2200), 0);
    ck_assert_uint_eq(qr_notices_update(&n, &too_long, 900, 2300), 0);
    ck_assert_uint_eq(qr_notices_update(&n, &too_high, 2000, 2400), 0);
    ck_assert(n.limit.is_set && n.limit.per_s == 2);
    ck_assert_uint_eq(qr_notices_backoff_ms(&n, 2500), 0);
}
END_TEST

/* A response without a limit ends the limit only if its request was sent after
   the limit arrived, because responses overtake one another. */
START_TEST(limits_end_in_request_order)
{
    QRAnswerNotice limit = {.has_limit = true, .limit_per_s = 2};
    QRAnswerNotice none = {.has_no_limit = true};
    QRNotices n = {0};

    qr_notices_update(&n, &limit, 900, 1000);
    qr_notices_update(&n, &none, 950, 1100);
    ck_assert(n.limit.is_set);
    qr_notices_update(&n, &none, 1001, 1300);
    ck_assert(!n.limit.is_set);
    /* a limit in a later response to an earlier request applies again */
    qr_notices_update(&n, &limit, 990, 1400);
    ck_assert(n.limit.is_set);
}
END_TEST

START_TEST(rate_holds_in_each_window)
{
    static const double rates[] = {0, 0.7, 2.2, 5, 40};
    enum { WINDOW_MS = 4000, RUN_MS = 40000 };

    for (unsigned i = 0; i < G_N_ELEMENTS(rates); i++) {
        g_autofree unsigned *sent = g_new0(unsigned, RUN_MS + 1);
        double most = MAX(rates[i], 0.2) * WINDOW_MS / 1000;
        QRRate r = {0};

        qr_rate_set(&r, rates[i], 1);
        ck_assert(!qr_rate_take(&r, 1));
        for (unsigned t = 1; t <= RUN_MS; t++) {
            /* steady requests, with one pause in which the bucket fills */
            sent[t] =
                sent[t - 1] + ((t < 9000 || t > 20000) && qr_rate_take(&r, t));
            if (t > WINDOW_MS)
                ck_assert_double_le(sent[t] - sent[t - WINDOW_MS],
                                    most + MAX(1, rates[i] / 4) + 1);
        }
        /* the rate must also be used */
        ck_assert_double_ge(sent[9000], MAX(rates[i], 0.2) * 9 - 2);
        ck_assert_double_ge(sent[RUN_MS], MAX(rates[i], 0.2) * 29 - 2);
    }
}
END_TEST

/* Messages from other processes may be malformed. */
START_TEST(rejects_malformed_limit_messages)
{
    Qr__Fleet__RateLimit told = QR__FLEET__RATE_LIMIT__INIT;

    told.named = true;
    told.per_s = NAN;
    ck_assert_uint_eq(qr_limit_decode(&told, 1000).as_of_ms, 0);
    told.per_s = -1;
    ck_assert_uint_eq(qr_limit_decode(&told, 1000).as_of_ms, 0);
    told.per_s = 2;
    told.age_ms = G_MAXUINT32;
    ck_assert_uint_eq(qr_limit_decode(&told, 1000).as_of_ms, 1);
    told.age_ms = 10;
    ck_assert_uint_eq(qr_limit_decode(&told, 1000).as_of_ms, 990);
}
END_TEST

static QREngineRecord *record_of(uint64_t born_ms)
{
    QREngineRecord *r = g_new0(QREngineRecord, 1);

    r->id = g_strdup("e1");
    r->service = g_strdup("s");
    r->address = g_strdup("10.0.0.1:80");
    r->zone = g_strdup("z1");
    r->slots = 4;
    r->born_ms = born_ms;
    return r;
}

/* During a store outage the record of an engine that announced its shutdown
   expires and comes back as ready. The gateway must still send no new calls. */
START_TEST(leaving_outlasts_the_record)
{
    QRAnswerNotice leaving = {.leaving = true};
    QREngines t;

    qr_engines_init(&t);
    qr_engines_update(&t, record_of(7), 1000);
    qr_notices_update(&qr_engines_get(&t, "e1")->notices, &leaving, 1000, 1100);
    qr_engines_drop(&t, "e1", 2000);
    qr_engines_sweep(&t, 60000);
    qr_engines_update(&t, record_of(7), 61000);
    ck_assert(qr_engines_get(&t, "e1")->notices.leaving);
    /* a new run has announced nothing */
    qr_engines_update(&t, record_of(8), 62000);
    ck_assert(!qr_engines_get(&t, "e1")->notices.leaving);
    qr_notices_update(&qr_engines_get(&t, "e1")->notices, &leaving, 62000,
                      62100);
    qr_engines_drop(&t, "e1", 63000);
    qr_engines_sweep(&t, 63000 + 600000);
    ck_assert_ptr_null(qr_engines_get(&t, "e1"));
    qr_engines_clear(&t);
}
END_TEST

/* The coordinator reports one gateway's backoff to the others, which may ignore
   the backoff: the engine may mean that gateway alone. */
START_TEST(coordinator_reports_backoff_to_others)
{
    Qr__Fleet__SlotRequest report = QR__FLEET__SLOT_REQUEST__INIT;
    Qr__Fleet__SlotRequest slot_request = QR__FLEET__SLOT_REQUEST__INIT;
    QRSlotReply reply;
    QRSlots s;

    qr_slots_init(&s);
    report.rest_ms = 3000;
    ck_assert(!qr_slots_request(&s, "a", &report, 1000, &reply));
    slot_request.call = 1;
    slot_request.open_most = 4;
    slot_request.reading_most = 1000;
    slot_request.heeds_rest = true;
    ck_assert(qr_slots_request(&s, "b", &slot_request, 1500, &reply));
    ck_assert(!reply.head.granted);
    ck_assert_uint_eq(reply.head.rest_ms, 2500);
    slot_request.heeds_rest = false;
    ck_assert(qr_slots_request(&s, "b", &slot_request, 1500, &reply));
    ck_assert(
        reply.head.granted); /* like older builds, which ignore backoffs */
    slot_request.heeds_rest = true;
    ck_assert(qr_slots_request(&s, "b", &slot_request, 4000, &reply));
    ck_assert(reply.head.granted);
    qr_slots_clear(&s);
}
END_TEST

/* Engines of one service, and the input of a call that chooses one. */
typedef struct Choice {
    QREngines engines;
    GHashTable *regions;
    QRBalanceInput in;
} Choice;

static void choice_init(Choice *c)
{
    *c = (Choice){0};
    qr_engines_init(&c->engines);
    qr_engines_update(&c->engines, record_of(7), 1000);
    c->regions = g_hash_table_new(g_str_hash, g_str_equal);
    c->in = (QRBalanceInput){.service = "s",
                             .zone = "z1",
                             .region = "r1",
                             .regions = c->regions,
                             .now_ms = 2000};
}

static void choice_clear(Choice *c)
{
    g_hash_table_unref(c->regions);
    qr_engines_clear(&c->engines);
}

START_TEST(balance_respects_backoff)
{
    QRAnswerNotice rest = {.has_retry_after = true, .retry_after_s = 3};
    QRBalanceChoice found;
    Choice c;
    QREngine *e;

    choice_init(&c);
    e = qr_engines_get(&c.engines, "e1");
    qr_notices_update(&e->notices, &rest, 1900, 2000);
    found = qr_balance_choose(&c.engines, &c.in);
    ck_assert_ptr_null(found.engine);
    /* the caller can be told when to retry */
    ck_assert_uint_ge(found.backoff_ms, 3000);
    ck_assert_uint_lt(found.backoff_ms, 3500);
    ck_assert(!qr_balance_evaluate(e, &c.in, &found));
    c.in.now_ms += found.backoff_ms;
    found = qr_balance_choose(&c.engines, &c.in);
    ck_assert_ptr_eq(found.engine, e);
    ck_assert_uint_eq(found.backoff_ms, 0);
    /* an engine that others back off from is used if it is the only one */
    e->slots.others_backoff_until_ms = c.in.now_ms + 1000;
    found = qr_balance_choose(&c.engines, &c.in);
    ck_assert(found.engine == e && found.ignores_backoff);
    choice_clear(&c);
}
END_TEST

START_TEST(balance_needs_a_coordinator_for_a_limit)
{
    QRAnswerNotice limit = {.has_limit = true, .limit_per_s = 2};
    QRBalanceChoice found;
    Choice c;
    QREngine *e;

    choice_init(&c);
    e = qr_engines_get(&c.engines, "e1");
    qr_notices_update(&e->notices, &limit, 1900, 2000);
    ck_assert_ptr_null(qr_balance_choose(&c.engines, &c.in).engine);
    e->slots.coordinator_kind = QR_COORDINATOR_SELF;
    found = qr_balance_choose(&c.engines, &c.in);
    ck_assert(found.engine == e && found.needs_slot);
    /* an unreserved call asks no coordinator */
    c.in.unreserved = true;
    ck_assert_ptr_null(qr_balance_choose(&c.engines, &c.in).engine);
    c.in.unreserved = false;
    e->slots.unresponsive_until_ms = 2500;
    ck_assert_ptr_null(qr_balance_choose(&c.engines, &c.in).engine);
    e->slots.unresponsive_until_ms = 0;
    e->slots.rate_limited_until_ms = 2400;
    found = qr_balance_choose(&c.engines, &c.in);
    ck_assert(!found.engine && found.backoff_ms == 400);
    choice_clear(&c);
}
END_TEST

TCase *unit_notices_case(void)
{
    TCase *t = tcase_create("notices");

    tcase_add_test(t, decodes_notices);
    tcase_add_test(t, only_the_engine_itself_ends_its_limit);
    tcase_add_test(t, rejects_malformed_notices);
    tcase_add_test(t, malformed_notices_change_nothing);
    tcase_add_test(t, limits_end_in_request_order);
    tcase_add_test(t, rate_holds_in_each_window);
    tcase_add_test(t, rejects_malformed_limit_messages);
    tcase_add_test(t, leaving_outlasts_the_record);
    tcase_add_test(t, coordinator_reports_backoff_to_others);
    tcase_add_test(t, balance_respects_backoff);
    tcase_add_test(t, balance_needs_a_coordinator_for_a_limit);
    return t;
}
