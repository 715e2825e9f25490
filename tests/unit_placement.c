/*
 * Unit tests of where calls may run: allowed regions of routes and teams, and
 * evacuations of availability zones as processes learn of them.
 */
#include "unit_placement.h"

#include "fleet/qr_operator.h"
#include "fleet/qr_placement.h"
#include "fleet/qr_slots.h"
#include "gateway/qr_balance.h"

#include <math.h>
#include <string.h>

#define ZONES 3
#define PROCESSES 4
#define STEPS 400

static QRPosition at(uint64_t epoch, uint64_t offset)
{
    return (QRPosition){epoch, offset};
}

/* Both lists bind, and a zone of unknown region is in none of them. */
START_TEST(placement_needs_both_lists)
{
    g_autoptr(GHashTable) regions = g_hash_table_new(g_str_hash, g_str_equal);
    g_autoptr(GPtrArray) r1 = g_ptr_array_new(), r12 = g_ptr_array_new();
    g_autoptr(GPtrArray) none = g_ptr_array_new();
    QRPlacement p = {.regions = regions};

    g_hash_table_insert(regions, (void *)"z1", (void *)"r1");
    g_hash_table_insert(regions, (void *)"z2", (void *)"r2");
    g_ptr_array_add(r1, (void *)"r1");
    g_ptr_array_add(r12, (void *)"r1");
    g_ptr_array_add(r12, (void *)"r2");
    ck_assert_int_eq(qr_placement_check(&p, "z9"), QR_PLACEMENT_ALLOWED);
    p.route_regions = r12;
    ck_assert_int_eq(qr_placement_check(&p, "z2"), QR_PLACEMENT_ALLOWED);
    ck_assert_int_eq(qr_placement_check(&p, "z9"), QR_PLACEMENT_OTHER_REGION);
    p.team_regions = r1;
    ck_assert_int_eq(qr_placement_check(&p, "z1"), QR_PLACEMENT_ALLOWED);
    ck_assert_int_eq(qr_placement_check(&p, "z2"), QR_PLACEMENT_OTHER_REGION);
    p.route_regions = none;
    ck_assert_int_eq(qr_placement_check(&p, "z1"), QR_PLACEMENT_OTHER_REGION);
}
END_TEST

/* Guards against records that arrive in another order than they were written:
   the last one written decides. */
START_TEST(evacuation_follows_the_latest_record)
{
    QREvacuations e;

    qr_evacuations_init(&e);
    ck_assert(!qr_evacuations_has(&e, "z1"));
    ck_assert(qr_evacuations_apply(&e, "z1", true, at(1, 5)));
    ck_assert(!qr_evacuations_apply(&e, "z1", true, at(1, 5)));
    ck_assert(!qr_evacuations_apply(&e, "z1", false, at(1, 4)));
    ck_assert(qr_evacuations_has(&e, "z1"));
    ck_assert(!qr_evacuations_has(&e, "z2"));
    ck_assert(qr_evacuations_apply(&e, "z1", false, at(1, 9)));
    ck_assert(!qr_evacuations_apply(&e, "z1", true, at(1, 5)));
    ck_assert(!qr_evacuations_has(&e, "z1"));
    /* a later epoch is later, whatever its offset */
    ck_assert(qr_evacuations_apply(&e, "z1", true, at(2, 3)));
    ck_assert(qr_evacuations_has(&e, "z1"));
    ck_assert_uint_eq(e.count, 1);
    qr_evacuations_clear(&e);
}
END_TEST

static void ignore_record(void *owner, const QRStoreRecord *r)
{
    (void)owner;
    (void)r;
}

static void apply(QROperator *o, const char *key, const char *value,
                  QRPosition position)
{
    g_autoptr(GBytes) bytes = g_bytes_new(value, strlen(value));
    QRStoreRecord r = {(char *)key, bytes, position};

    qr_operator_apply(o, &r, 0, 1000);
}

/* Guards against an evacuation that stays for good because its deletion was
   written while the process did not read, and against one that ends because
   the store was restored without its record. */
START_TEST(listing_lifts_evacuations_of_its_epoch)
{
    g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
    QROperator o = {0};

    qr_operator_init(&o, qr_platform_find("log-store"), ignore_record, NULL);
    apply(&o, "evacuate/z1", "{}", at(1, 3));
    apply(&o, "evacuate/z2", "{}", at(1, 4));
    apply(&o, "evacuate/", "{}", at(1, 5)); /* names no zone */
    g_hash_table_add(keys, (void *)"evacuate/z2");
    qr_operator_lift_missing(&o, keys, at(2, 2), 1000);
    ck_assert_uint_eq(o.evacuations.count, 2);
    qr_operator_lift_missing(&o, keys, at(1, 9), 1000);
    ck_assert(!qr_evacuations_has(&o.evacuations, "z1"));
    ck_assert(qr_evacuations_has(&o.evacuations, "z2"));
    /* deleting any other key revokes nothing */
    apply(&o, "version/m", "{\"model\":\"m\",\"version\":2}", at(1, 10));
    apply(&o, "version/m", "", at(1, 11));
    ck_assert_uint_eq(qr_operator_known_versions(&o).weights, 2);
    qr_operator_clear(&o);
}
END_TEST

static void take_frame(void *to, const Qr__Fleet__Frame *frame)
{
    qr_operator_apply_records(to, frame->records, 1000);
}

/* Processes that miss changes and ask one another in any order agree with the
   store as soon as no process knows more than another. */
START_TEST(processes_agree_on_evacuations)
{
    const QRPlatform *platform = qr_platform_find("log-store");
    QROperator o[PROCESSES] = {0};
    bool evacuated[ZONES] = {false};

    srand((unsigned)_i);
    for (unsigned p = 0; p < PROCESSES; p++)
        qr_operator_init(&o[p], platform, ignore_record, NULL);
    for (unsigned p = 0; p < PROCESSES; p++)
        apply(&o[p], "version/m", "{\"model\":\"m\",\"version\":1}", at(1, 0));
    for (uint64_t offset = 1; offset < STEPS; offset++) {
        unsigned zone = (unsigned)rand() % ZONES;
        g_autofree char *key = g_strdup_printf("evacuate/z%u", zone);
        unsigned a = (unsigned)rand() % PROCESSES;
        unsigned b = (unsigned)rand() % PROCESSES;
        QRKnownVersions known = qr_operator_known_versions(&o[b]);

        evacuated[zone] = rand() % 2;
        /* only the reader of this moment sees the change */
        apply(&o[0], key, evacuated[zone] ? "{}" : "", at(1, offset));
        qr_operator_send_missing(&o[a], &known, QR_FOR_GATEWAYS, 1000,
                                 take_frame, &o[b]);
    }
    for (unsigned p = 1; p < PROCESSES; p++) {
        QRKnownVersions known = qr_operator_known_versions(&o[p]);

        qr_operator_send_missing(&o[0], &known, QR_FOR_GATEWAYS, 1000,
                                 take_frame, &o[p]);
        for (unsigned z = 0; z < ZONES; z++) {
            g_autofree char *name = g_strdup_printf("z%u", z);

            ck_assert_int_eq(qr_evacuations_has(&o[p].evacuations, name),
                             evacuated[z]);
        }
    }
    for (unsigned p = 0; p < PROCESSES; p++)
        qr_operator_clear(&o[p]);
}
END_TEST

static QREngine *add_engine(QREngines *t, const char *id, const char *zone)
{
    QREngineRecord *r = g_new0(QREngineRecord, 1);

    r->id = g_strdup(id);
    r->service = g_strdup("s");
    r->address = g_strdup_printf("127.0.0.1:%u", 1000 + id[0]);
    r->zone = g_strdup(zone);
    r->slots = 4;
    qr_engines_update(t, r, 1000);
    return qr_engines_get(t, id);
}

/* Guards against calls that leave a large region for engines whose load is not
   known there, and against a region without engines that is not served. */
START_TEST(engines_of_unknown_load_are_the_last_choice)
{
    g_autoptr(GHashTable) regions = g_hash_table_new(g_str_hash, g_str_equal);
    QRBalanceInput in = {.service = "s",
                         .zone = "z1",
                         .region = "r1",
                         .regions = regions,
                         .placement = {.regions = regions},
                         .knows_region_only = true,
                         .now_ms = 2000};
    QREngines t;
    QREngine *near, *far;

    g_hash_table_insert(regions, (void *)"z1", (void *)"r1");
    g_hash_table_insert(regions, (void *)"z2", (void *)"r2");
    qr_engines_init(&t);
    near = add_engine(&t, "near", "z1");
    far = add_engine(&t, "far", "z2");
    ck_assert_ptr_eq(qr_balance_choose(&t, &in).engine, near);
    near->own = 4; /* full: the call waits */
    ck_assert_ptr_null(qr_balance_choose(&t, &in).engine);
    far->slots.coordinator_kind = QR_COORDINATOR_SIDECAR;
    ck_assert_ptr_eq(qr_balance_choose(&t, &in).engine, far);
    ck_assert_uint_eq(qr_balance_choose(&t, &in).limits.max_open_calls, 3);
    far->own = 3; /* the last slot is for calls of its own region */
    ck_assert_ptr_null(qr_balance_choose(&t, &in).engine);
    far->own = 0;
    far->slots.coordinator_kind = QR_COORDINATOR_NONE;
    near->gone = true;
    ck_assert_ptr_eq(qr_balance_choose(&t, &in).engine, far);
    qr_engines_clear(&t);
}
END_TEST

/* Guards against engines of other regions that are never used, because their
   sidecars report elsewhere. */
START_TEST(engines_are_confirmed_by_lasting_records)
{
    g_autoptr(GHashTable) regions = g_hash_table_new(g_str_hash, g_str_equal);
    QREngines t;
    QREngine *near, *far;

    g_hash_table_insert(regions, (void *)"z1", (void *)"r1");
    g_hash_table_insert(regions, (void *)"z2", (void *)"r2");
    qr_engines_init(&t);
    near = add_engine(&t, "near", "z1");
    far = add_engine(&t, "far", "z2");
    near->unconfirmed = far->unconfirmed = true;
    ck_assert_uint_eq(qr_engines_confirm_lasting(&t, regions, "r1", 999), 0);
    ck_assert_uint_eq(qr_engines_confirm_lasting(&t, regions, "r1", 1000), 1);
    ck_assert(near->unconfirmed && !far->unconfirmed);
    ck_assert(!qr_engines_any_unconfirmed(&t, regions, "r1"));
    near->record->model = g_strdup("m"); /* plain engines need no confirming */
    ck_assert(qr_engines_any_unconfirmed(&t, regions, "r1"));
    near->unconfirmed = false;
    far->unconfirmed = true;
    ck_assert(!qr_engines_any_unconfirmed(&t, regions, "r1"));
    qr_engines_clear(&t);
}
END_TEST

/* Guards against a cold engine that gets more than it bears: the grants of all
   gateways together count, whichever of them knows that it is cold. */
START_TEST(cold_engine_is_granted_its_rate)
{
    Qr__Fleet__SlotRequest request = QR__FLEET__SLOT_REQUEST__INIT;
    QRSlotReply reply;
    QRSlots s;
    unsigned granted = 0;

    qr_slots_init(&s);
    request.call = 1;
    request.open_most = request.reading_most = 1000;
    for (uint64_t now = 1000; now < 4000; now += 10) {
        bool knows = now % 30 == 0;

        request.cold_ms = knows ? (uint32_t)(4000 - now) : 0;
        request.cold_per_s = knows ? 10 : 0;
        qr_slots_request(&s, knows ? "a" : "b", &request, now, &reply);
        granted += now >= 1030 && reply.head.granted;
        if (now >= 1030)
            ck_assert_int_eq(reply.head.paced, reply.head.granted);
    }
    ck_assert_uint_ge(granted, 25);
    ck_assert_uint_le(granted, 31);
    request.cold_ms = 0;
    qr_slots_request(&s, "b", &request, 4001, &reply);
    ck_assert(reply.head.granted && !reply.head.paced);
    /* malformed rates are ignored */
    qr_slots_note_cold(&s, 1000, -1, 5000);
    qr_slots_note_cold(&s, 1000, NAN, 5000);
    ck_assert(qr_slots_request(&s, "b", &request, 5000, &reply));
    ck_assert(reply.head.granted);
    qr_slots_clear(&s);
}
END_TEST

TCase *unit_placement_case(void)
{
    TCase *t = tcase_create("placement");

    tcase_add_test(t, engines_of_unknown_load_are_the_last_choice);
    tcase_add_test(t, engines_are_confirmed_by_lasting_records);
    tcase_add_test(t, cold_engine_is_granted_its_rate);
    tcase_add_test(t, placement_needs_both_lists);
    tcase_add_test(t, evacuation_follows_the_latest_record);
    tcase_add_test(t, listing_lifts_evacuations_of_its_epoch);
    tcase_add_loop_test(t, processes_agree_on_evacuations, 0, 20);
    return t;
}
