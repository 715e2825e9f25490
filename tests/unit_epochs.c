/*
 * A store that comes back without its last records and gives their offsets out
 * again: positions, the epoch that answers name, and what processes know of the
 * operator's records, by a model of the store.
 */
#include "unit_epochs.h"

#include "fleet/qr_operator.h"

#include <stdlib.h>
#include <string.h>

#define PROCESSES 5
#define STEPS 400
#define MESSAGES 32 /* under way at most */
#define SEEDS 200
#define CONFIG "config"
#define WEIGHTS "version/m"

START_TEST(positions_go_by_the_epoch_first)
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

static void no_news(void *owner, const QRStoreRecord *r)
{
    (void)owner;
    (void)r;
}

static void start(QROperator *o)
{
    qr_operator_init(o, qr_platform_find("log-store"), no_news, NULL);
}

static void take(QROperator *o, const char *key, uint64_t version,
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

static void hear(void *to, const Qr__Fleet__Frame *frame)
{
    qr_operator_apply_records(to, frame->records, 1000);
}

static uint64_t policy_of(const QROperator *o)
{
    return qr_operator_known_versions(o).policy;
}

/* Offsets that were given out again: what is written there counts. */
START_TEST(operator_takes_what_is_written_after)
{
    QROperator o = {0};

    start(&o);
    take(&o, CONFIG, 24, (QRPosition){1, 6});
    take(&o, CONFIG, 18, (QRPosition){2, 3}); /* the copy has it still */
    ck_assert_uint_eq(policy_of(&o), 24);
    take(&o, CONFIG, 31, (QRPosition){2, 4});
    ck_assert_uint_eq(policy_of(&o), 31);
    /* late, from before */
    take(&o, CONFIG, 24, (QRPosition){1, 6});
    ck_assert_uint_eq(policy_of(&o), 31);
    qr_operator_clear(&o);
}
END_TEST

/* One that started from the copy did not hear of what the store had lost. */
START_TEST(operator_tells_what_the_store_has_lost)
{
    QROperator old = {0}, fresh = {0};
    QRKnownVersions known, lost;

    start(&old);
    start(&fresh);
    take(&old, CONFIG, 24, (QRPosition){1, 6});
    /* offsets have been given out again, and more than before */
    take(&fresh, CONFIG, 18, (QRPosition){2, 9});
    known = qr_operator_known_versions(&fresh);
    lost = qr_operator_known_versions(&old);
    ck_assert(qr_known_versions_exceed(&lost, &known));
    ck_assert(!qr_known_versions_exceed(&known, &lost));
    qr_operator_send_missing(&old, &known, QR_FOR_GATEWAYS, 1000, hear, &fresh);
    ck_assert_uint_eq(policy_of(&fresh), 24);
    /* where the store has come to is not forgotten by that */
    ck_assert_int_eq(qr_position_cmp(fresh.end, (QRPosition){2, 10}), 0);
    ck_assert(!qr_known_versions_exceed(&lost, &lost));
    qr_operator_clear(&old);
    qr_operator_clear(&fresh);
}
END_TEST

/* A version that is written again began its bound when it was written first. */
START_TEST(operator_versions_written_again_are_no_younger)
{
    QROperator old = {0}, fresh = {0};
    QRKnownVersions nothing = {0};

    start(&old);
    start(&fresh);
    take(&old, WEIGHTS, 3, (QRPosition){1, 14});
    take(&fresh, WEIGHTS, 3, (QRPosition){2, 9});
    qr_operator_send_missing(&fresh, &nothing, QR_FOR_GATEWAYS, 9000, hear,
                             &old);
    ck_assert_uint_eq(qr_operator_newest_version(&old, "m")->since_ms, 1000);
    qr_operator_send_missing(&old, &nothing, QR_FOR_GATEWAYS, 1500, hear,
                             &fresh);
    ck_assert_uint_eq(qr_operator_newest_version(&fresh, "m")->since_ms, 500);
    qr_operator_clear(&old);
    qr_operator_clear(&fresh);
}
END_TEST

typedef struct Written {
    const char *key;
    uint64_t version;
} Written;

typedef struct Model {
    GArray *log; /* Written */
    uint64_t epoch, config, weights;
    QROperator processes[PROCESSES];
    uint64_t policy_before[PROCESSES];
    GBytes *messages[MESSAGES]; /* of no one in particular, told late */
    unsigned n_messages;
} Model;

static void model_write(Model *m, const char *key)
{
    Written w = {key, key == (const char *)CONFIG ? m->config : m->weights};

    if (w.version > 0)
        g_array_append_val(m->log, w);
}

static void model_list(const Model *m, QROperator *o)
{
    const char *const keys[] = {CONFIG, WEIGHTS};

    for (unsigned k = 0; k < G_N_ELEMENTS(keys); k++) {
        for (unsigned i = m->log->len; i > 0; i--) {
            const Written *w = &g_array_index(m->log, Written, i - 1);

            if (strcmp(w->key, keys[k]) != 0)
                continue;
            take(o, w->key, w->version, (QRPosition){m->epoch, i - 1});
            break;
        }
    }
}

static void keep(void *to, const Qr__Fleet__Frame *frame)
{
    Model *m = to;
    gsize len = qr__fleet__frame__get_packed_size(frame);
    uint8_t *data = g_malloc(len);
    unsigned at = m->n_messages < MESSAGES ? m->n_messages++
                                           : (unsigned)rand() % MESSAGES;

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
    hear(o, frame);
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
    case 3: /* written again, in any order */
        model_write(m, rand() % 2 ? CONFIG : WEIGHTS);
        break;
    case 4: /* killed, and started */
        qr_operator_clear(o);
        start(o);
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
        qr_operator_send_missing(o, &known, QR_FOR_GATEWAYS, 1000, keep, m);
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
    m->log = g_array_new(FALSE, FALSE, sizeof(Written));
    for (unsigned p = 0; p < PROCESSES; p++)
        start(&m->processes[p]);
}

static void model_clear(Model *m)
{
    for (unsigned p = 0; p < PROCESSES; p++)
        qr_operator_clear(&m->processes[p]);
    for (unsigned i = 0; i < m->n_messages; i++)
        g_bytes_unref(m->messages[i]);
    g_array_unref(m->log);
}

/* Whatever comes, and in whatever order: no process goes back, and all end with
   what was written last. */
START_TEST(operator_by_a_model_of_the_store)
{
    Model m;

    model_init(&m, (unsigned)_i);
    for (unsigned i = 0; i < STEPS; i++) {
        unsigned p = (unsigned)rand() % PROCESSES;

        model_step(&m, p);
        ck_assert_uint_ge(policy_of(&m.processes[p]), m.policy_before[p]);
        m.policy_before[p] = policy_of(&m.processes[p]);
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

    tcase_add_test(t, positions_go_by_the_epoch_first);
    tcase_add_loop_test(t, epochs_are_decoded, 0, (int)G_N_ELEMENTS(epochs));
    tcase_add_test(t, operator_takes_what_is_written_after);
    tcase_add_test(t, operator_tells_what_the_store_has_lost);
    tcase_add_test(t, operator_versions_written_again_are_no_younger);
    tcase_add_loop_test(t, operator_by_a_model_of_the_store, 0, SEEDS);
    return t;
}
