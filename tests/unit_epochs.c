/*
 * Tests of a store that is restored without its latest records and assigns
 * their offsets again: comparison of positions, decoding of the epoch, and the
 * operator's records that processes know, checked against a model of the store.
 */
#include "unit_epochs.h"

#include "fleet/qr_operator.h"

#include <stdlib.h>
#include <string.h>

#define PROCESSES 5
#define STEPS 400
#define MESSAGES_MAX 32 /* under way at most */
#define SEEDS 200
#define CONFIG "config"
#define WEIGHTS "version/m"

START_TEST(positions_compare_epoch_before_offset)
{
    QRPosition before = {1, 30}, copy = {2, 5}, none = {0};

    ck_assert_int_lt(qr_position_cmp(before, copy), 0);
    ck_assert_int_gt(qr_position_cmp(copy, before), 0);
    ck_assert_int_eq(qr_position_cmp(copy, copy), 0);
    ck_assert_int_lt(qr_position_cmp(none, before), 0);
    ck_assert_uint_eq(qr_position_max(before, copy).epoch, 2);
    ck_assert_uint_eq(qr_position_after(copy).offset, 6);
    ck_assert_uint_eq(qr_position_before(copy).offset, 4);
    ck_assert_uint_eq(qr_position_before((QRPosition){2, 0}).offset, 0);
    ck_assert_uint_eq(qr_position_from_peer(0, 5, 3).epoch, 3);
    ck_assert_uint_eq(qr_position_from_peer(2, 5, 3).epoch, 2);
}
END_TEST

static const struct {
    const char *value; /* NULL: no such header field */
    uint64_t epoch;
    unsigned findings;
} epochs[] = {
    {NULL, 0, 0},
    {"1", 1, 0},
    {"18446744073709551615", UINT64_MAX, 0},
    {"", 0, 1},
    {"x", 0, 1},
    {"-1", 0, 1},
    {"1.5", 0, 1},
    {"18446744073709551616", 0, 1},
};

START_TEST(epochs_are_decoded)
{
    const QRPlatform *p = qr_platform_find("log-store");
    g_auto(QRFindings) f = {0};
    QRHeaders h;

    qr_headers_init(&h);
    qr_findings_init(&f, "store");
    if (epochs[_i].value)
        qr_headers_add(&h, "store-era", epochs[_i].value);
    ck_assert_uint_eq(p->parse_epoch(&h, &f), epochs[_i].epoch);
    ck_assert_uint_eq(qr_findings_count(&f), epochs[_i].findings);
    qr_headers_clear(&h);
}
END_TEST

static void ignore_record(void *owner, const QRStoreRecord *r)
{
    (void)owner;
    (void)r;
}

static void init_operator(QROperator *o)
{
    qr_operator_init(o, qr_platform_find("log-store"), ignore_record, NULL);
}

static void apply_record(QROperator *o, const char *key, uint64_t version,
                         QRPosition at)
{
    g_autofree char *text =
        strcmp(key, CONFIG) == 0
            ? g_strdup_printf(
                  "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[]}", version)
            : g_strdup_printf("{\"model\":\"m\",\"version\":%" G_GUINT64_FORMAT
                              "}",
                              version);
    QRStoreRecord r = {(char *)key, g_bytes_new(text, strlen(text)), at};

    qr_operator_apply(o, &r, 0, 1000);
    g_bytes_unref(r.value);
}

static void apply_frame(void *to, const Qr__Fleet__Frame *frame)
{
    qr_operator_apply_records(to, frame->records, 1000);
}

static uint64_t policy_version(const QROperator *o)
{
    return qr_operator_known_versions(o).policy;
}

/* A restored store assigns offsets again. Guards against ignoring a newer
   record because its offset is not greater than that of a lost one. */
START_TEST(operator_applies_records_written_after_restore)
{
    QROperator o = {0};

    init_operator(&o);
    apply_record(&o, CONFIG, 24, (QRPosition){1, 6});
    apply_record(&o, CONFIG, 18,
                 (QRPosition){2, 3}); /* still in the restored copy */
    ck_assert_uint_eq(policy_version(&o), 24);
    apply_record(&o, CONFIG, 31, (QRPosition){2, 4});
    ck_assert_uint_eq(policy_version(&o), 31);
    /* a late message from before the restore */
    apply_record(&o, CONFIG, 24, (QRPosition){1, 6});
    ck_assert_uint_eq(policy_version(&o), 31);
    qr_operator_clear(&o);
}
END_TEST

/* A process that started from a restored store does not know the records that
   the store has lost. Guards against peers not sending these records. */
START_TEST(operator_sends_records_that_the_store_lost)
{
    QROperator old = {0}, fresh = {0};
    QRKnownVersions known, old_versions;

    init_operator(&old);
    init_operator(&fresh);
    apply_record(&old, CONFIG, 24, (QRPosition){1, 6});
    /* offsets were assigned again, beyond the former end */
    apply_record(&fresh, CONFIG, 18, (QRPosition){2, 9});
    known = qr_operator_known_versions(&fresh);
    old_versions = qr_operator_known_versions(&old);
    ck_assert(qr_known_versions_exceed(&old_versions, &known));
    ck_assert(!qr_known_versions_exceed(&known, &old_versions));
    qr_operator_send_missing(&old, &known, QR_FOR_GATEWAYS, 1000, apply_frame,
                             &fresh);
    ck_assert_uint_eq(policy_version(&fresh), 24);
    /* the older record does not move the known end of the store back */
    ck_assert_int_eq(qr_position_cmp(fresh.end, (QRPosition){2, 10}), 0);
    ck_assert(!qr_known_versions_exceed(&old_versions, &old_versions));
    qr_operator_clear(&old);
    qr_operator_clear(&fresh);
}
END_TEST

/* The bound of a version starts when the version was first written. Guards
   against a later start when the same version is written again. */
START_TEST(operator_rewritten_version_keeps_its_time)
{
    QROperator old = {0}, fresh = {0};
    QRKnownVersions nothing = {0};

    init_operator(&old);
    init_operator(&fresh);
    apply_record(&old, WEIGHTS, 3, (QRPosition){1, 14});
    apply_record(&fresh, WEIGHTS, 3, (QRPosition){2, 9});
    qr_operator_send_missing(&fresh, &nothing, QR_FOR_GATEWAYS, 9000,
                             apply_frame, &old);
    ck_assert_uint_eq(qr_operator_newest_version(&old, "m")->since_ms, 1000);
    qr_operator_send_missing(&old, &nothing, QR_FOR_GATEWAYS, 1500, apply_frame,
                             &fresh);
    ck_assert_uint_eq(qr_operator_newest_version(&fresh, "m")->since_ms, 500);
    qr_operator_clear(&old);
    qr_operator_clear(&fresh);
}
END_TEST

typedef struct WrittenRecord {
    const char *key;
    uint64_t version;
} WrittenRecord;

typedef struct Model {
    GArray *log; /* WrittenRecord */
    uint64_t epoch, config, weights;
    QROperator processes[PROCESSES];
    uint64_t policy_before[PROCESSES];
    GBytes *messages[MESSAGES_MAX]; /* for any process, delivered late */
    unsigned n_messages;
} Model;

static void model_write(Model *m, const char *key)
{
    WrittenRecord w = {key,
                       key == (const char *)CONFIG ? m->config : m->weights};

    if (w.version > 0)
        g_array_append_val(m->log, w);
}

static void model_list(const Model *m, QROperator *o)
{
    const char *const keys[] = {CONFIG, WEIGHTS};

    for (unsigned k = 0; k < G_N_ELEMENTS(keys); k++) {
        for (unsigned i = m->log->len; i > 0; i--) {
            const WrittenRecord *w =
                &g_array_index(m->log, WrittenRecord, i - 1);

            if (strcmp(w->key, keys[k]) != 0)
                continue;
            apply_record(o, w->key, w->version, (QRPosition){m->epoch, i - 1});
            break;
        }
    }
}

static void store_message(void *to, const Qr__Fleet__Frame *frame)
{
    Model *m = to;
    gsize len = qr__fleet__frame__get_packed_size(frame);
    uint8_t *data = g_malloc(len);
    unsigned at = m->n_messages < MESSAGES_MAX
                      ? m->n_messages++
                      : (unsigned)rand() % MESSAGES_MAX;

    qr__fleet__frame__pack(frame, data);
    g_clear_pointer(&m->messages[at], g_bytes_unref);
    m->messages[at] = g_bytes_new_take(data, len);
}

static void model_deliver(const Model *m, QROperator *o)
{
    gsize len;
    const void *data;
    Qr__Fleet__Frame *frame;

    if (m->n_messages == 0)
        return;
    data =
        g_bytes_get_data(m->messages[(unsigned)rand() % m->n_messages], &len);
    frame = qr__fleet__frame__unpack(NULL, len, data);
    apply_frame(o, frame);
    qr__fleet__frame__free_unpacked(frame, NULL);
}

static void model_step(Model *m, unsigned p)
{
    QROperator *o = &m->processes[p];
    QRKnownVersions known;

    switch (rand() % 12) {
    case 0:
        m->config += 1 + (unsigned)rand() % 3;
        model_write(m, CONFIG);
        break;
    case 1:
        m->weights++;
        model_write(m, WEIGHTS);
        break;
    case 2:
        g_array_set_size(m->log, m->log->len -
                                     (unsigned)rand() % (m->log->len + 1) / 2);
        m->epoch++;
        break;
    case 3: /* rewritten, in any order */
        model_write(m, rand() % 2 ? CONFIG : WEIGHTS);
        break;
    case 4: /* killed and started */
        qr_operator_clear(o);
        init_operator(o);
        m->policy_before[p] = 0;
        break;
    case 5:
    case 6:
    case 7:
        model_list(m, o);
        break;
    case 8:
    case 9:
        known = qr_operator_known_versions(&m->processes[rand() % PROCESSES]);
        qr_operator_send_missing(o, &known, QR_FOR_GATEWAYS, 1000,
                                 store_message, m);
        break;
    default:
        model_deliver(m, o);
        break;
    }
}

static void model_init(Model *m, unsigned seed)
{
    srand(seed);
    *m = (Model){.epoch = 1};
    m->log = g_array_new(FALSE, FALSE, sizeof(WrittenRecord));
    for (unsigned p = 0; p < PROCESSES; p++)
        init_operator(&m->processes[p]);
}

static void model_clear(Model *m)
{
    for (unsigned p = 0; p < PROCESSES; p++)
        qr_operator_clear(&m->processes[p]);
    for (unsigned i = 0; i < m->n_messages; i++)
        g_bytes_unref(m->messages[i]);
    g_array_unref(m->log);
}

/* Random writes, restores, restarts and late messages: no process returns to an
   older policy, and all processes end with the records written last. */
START_TEST(operator_converges_after_random_restores)
{
    Model m;

    model_init(&m, (unsigned)_i);
    for (unsigned i = 0; i < STEPS; i++) {
        unsigned p = (unsigned)rand() % PROCESSES;

        model_step(&m, p);
        ck_assert_uint_ge(policy_version(&m.processes[p]), m.policy_before[p]);
        m.policy_before[p] = policy_version(&m.processes[p]);
    }
    model_write(&m, CONFIG);
    model_write(&m, WEIGHTS);
    for (unsigned p = 0; p < PROCESSES; p++) {
        QRKnownVersions known;

        model_list(&m, &m.processes[p]);
        known = qr_operator_known_versions(&m.processes[p]);
        ck_assert_uint_eq(known.policy, m.config);
        ck_assert_uint_eq(known.weights, m.weights);
    }
    model_clear(&m);
}
END_TEST

TCase *unit_epochs_case(void)
{
    TCase *t = tcase_create("epochs");

    tcase_add_test(t, positions_compare_epoch_before_offset);
    tcase_add_loop_test(t, epochs_are_decoded, 0, (int)G_N_ELEMENTS(epochs));
    tcase_add_test(t, operator_applies_records_written_after_restore);
    tcase_add_test(t, operator_sends_records_that_the_store_lost);
    tcase_add_test(t, operator_rewritten_version_keeps_its_time);
    tcase_add_loop_test(t, operator_converges_after_random_restores, 0, SEEDS);
    return t;
}
