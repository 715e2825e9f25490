/*
 * Tests of the parser for engines' records in the platform's store, with valid
 * and malformed records. Keys and values follow the platform's documentation.
 */
#include "unit_entries.h"

#include "fleet/qr_platform.h"
#include "net/qr_clock.h"

#include <stdlib.h>
#include <string.h>

#define FUZZ_RUNS 20000

static const char good[] =
    "{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z\","
    "\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
    "\"cold-remaining-ms\":0,\"phase\":\"mixed\",\"models\":[{\"name\":\"m\","
    "\"version\":3,\"adapters\":[],\"layers\":[{\"source\":0,"
    "\"target-version\":16,\"version\":3}]}],\"sequence\":4,"
    "\"born\":1796260040325}";

static QREngineRecord *parse(const char *text, size_t len, char **finding)
{
    const QRPlatform *p = qr_platform_find("log-store");
    g_auto(QRFindings) f = {0};
    QREngineRecord *r;

    qr_findings_init(&f, "i-1");
    r = p->parse_engine("i-1", text, len, &f);
    ck_assert_int_eq(r == NULL, qr_findings_count(&f) > 0);
    if (finding)
        *finding = r ? NULL : g_strdup(f.lines->pdata[0]);
    return r;
}

START_TEST(parses_valid_record)
{
    g_autoptr(QREngineRecord) r = parse(good, strlen(good), NULL);

    ck_assert_ptr_nonnull(r);
    ck_assert_uint_eq(r->slots, 16);
    ck_assert_uint_eq(r->version, 3);
    ck_assert_uint_eq(r->born_ms, 1796260040325);
    ck_assert(!r->draining);
}
END_TEST

/* Text of the valid record, its replacement, and text of the expected error. */
static const struct {
    const char *original, *replacement, *error;
} malformed[] = {
    {"\"slots\":16", "\"slots\":0", "slots"},
    {"\"slots\":16", "\"slots\":99999999999999999999", "slots"},
    {"\"slots\":16", "\"slots\":1e2", "slots"},
    {"\"slots\":16", "\"slots\":null", "slots"},
    {"\"state\":\"ready\"", "\"state\":\"READY\"", "state"},
    {"\"sequence\":4", "\"sequence\":-1", "sequence"},
    {"\"born\":1796260040325", "\"born\":0", "born"},
    {"\"source\":0", "\"source\":\"0\"", "source"},
    {"\"zone\":\"z\"", "\"zone\":\"z\",\"zone\":\"y\"", "stands twice"},
    {"\"service\":\"s\"", "\"service\":\"\"", "service"},
};

START_TEST(rejects_malformed_record)
{
    g_auto(GStrv) parts = g_strsplit(good, malformed[_i].original, 2);
    g_autofree char *text =
        g_strconcat(parts[0], malformed[_i].replacement, parts[1], NULL);
    g_autofree char *finding = NULL;

    ck_assert_ptr_null(parse(text, strlen(text), &finding));
    ck_assert_msg(strstr(finding, malformed[_i].error) != NULL, "%s", finding);
}
END_TEST

/* Changes, removes and duplicates bytes. A record that is accepted must have
   valid fields. */
START_TEST(fuzzed_records_are_rejected_or_valid)
{
    GRand *rng = g_rand_new_with_seed(5);

    for (unsigned n = 0; n < FUZZ_RUNS; n++) {
        g_autoptr(GString) text = g_string_new(good);

        for (int i = g_rand_int_range(rng, 1, 5); i > 0; i--) {
            gssize at = g_rand_int_range(rng, 0, (int)text->len);
            gssize len = g_rand_int_range(rng, 0, 12);

            len = MIN(len, (gssize)text->len - at);
            if (g_rand_boolean(rng))
                text->str[at] = (char)g_rand_int_range(rng, 0, 256);
            else if (g_rand_boolean(rng) && (gsize)len < text->len)
                g_string_erase(text, at, len);
            else
                g_string_insert_len(text, at, good + at % 100, len);
        }
        g_autoptr(QREngineRecord) r = parse(text->str, text->len, NULL);

        if (!r)
            continue;
        ck_assert(r->slots >= 1 && *r->service && qr_address_ok(r->address));
        ck_assert(g_utf8_validate(r->zone, -1, NULL));
    }
    g_rand_free(rng);
}
END_TEST

static uint64_t suspension_ms;

static uint64_t suspended_ms(void)
{
    return suspension_ms;
}

START_TEST(clock_counts_suspended_time)
{
    uv_loop_t loop;
    uint64_t before;

    uv_loop_init(&loop);
    qr_clock_set_source(suspended_ms);
    before = qr_clock_ms(&loop);
    suspension_ms = 5000;
    ck_assert_uint_eq(qr_clock_ms(&loop),
                      before); /* within one loop iteration */
    g_usleep(3000);
    uv_update_time(&loop);
    ck_assert_uint_ge(qr_clock_ms(&loop), before + 5000);
    suspension_ms = 0; /* the clock never goes back */
    g_usleep(3000);
    uv_update_time(&loop);
    ck_assert_uint_ge(qr_clock_ms(&loop), before + 5000);
    qr_clock_set_source(NULL);
    uv_loop_close(&loop);
}
END_TEST

TCase *unit_entries_case(void)
{
    TCase *t = tcase_create("entries");

    tcase_add_test(t, parses_valid_record);
    tcase_add_loop_test(t, rejects_malformed_record, 0,
                        (int)G_N_ELEMENTS(malformed));
    tcase_add_test(t, fuzzed_records_are_rejected_or_valid);
    tcase_add_test(t, clock_counts_suspended_time);
    return t;
}
