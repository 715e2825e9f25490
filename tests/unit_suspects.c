/*
 * Detection of requests that crash engines: rules for holds, and a model of a
 * fleet whose messages between gateways arrive late, twice, in any order or not
 * at all.
 */
#include "unit_suspects.h"

#include "gateway/qr_suspects.h"

#include <stdlib.h>
#include <string.h>

#define START_MS 1000000
#define REPORT_ORDERS 200 /* in which the same ends are reported */

static QRFingerprint fingerprint_of(unsigned n)
{
    QRFingerprint f = {{0}, QR_FINGERPRINT_REQUEST};

    memcpy(f.bytes, &n, sizeof(n));
    f.bytes[15] = 1;
    return f;
}

static QRRunEnd end_of(unsigned engine, uint64_t sent, uint64_t ended)
{
    return (QRRunEnd){engine, 0, START_MS + sent, START_MS + ended,
                      QR_TEAM_SEVERAL};
}

/* Adds the n-th consecutive try: each takes 50 ms, and they are 1 s apart. */
static void add_try(QRSuspects *t, unsigned request, unsigned n)
{
    QRFingerprint f = fingerprint_of(request);
    QRRunEnd end = end_of(n, n * 1000, n * 1000 + 50);

    qr_suspects_add_end(t, &f, &end, end.ended_ms);
}

static QRSuspicion check(QRSuspects *t, unsigned request, uint64_t at)
{
    QRFingerprint f = fingerprint_of(request);

    return qr_suspects_check(t, &f, QR_TEAM_SEVERAL, START_MS + at);
}

START_TEST(suspects_held_after_three_consecutive_tries)
{
    QRSuspects t;

    qr_suspects_init(&t);
    ck_assert_int_eq(check(&t, 1, 0), QR_SUSPICION_NONE);
    add_try(&t, 1, 1);
    ck_assert_int_eq(check(&t, 1, 1900), QR_SUSPICION_TRIAL);
    add_try(&t, 1, 2);
    add_try(&t, 1, 3);
    ck_assert_int_eq(check(&t, 1, 4000), QR_SUSPICION_HELD);
    ck_assert_ptr_nonnull(qr_suspects_next_unreported(&t));
    ck_assert_ptr_null(qr_suspects_next_unreported(&t));
    /* one trial is allowed after the hold */
    ck_assert_int_eq(check(&t, 1, 123999), QR_SUSPICION_HELD);
    ck_assert_int_eq(check(&t, 1, 124000), QR_SUSPICION_TRIAL);
    add_try(&t, 1, 130);
    qr_suspects_evaluate(&t, START_MS + 130300);
    ck_assert_int_eq(check(&t, 1, 130300 + 239999), QR_SUSPICION_HELD);
    ck_assert_int_eq(check(&t, 1, 130300 + 240000), QR_SUSPICION_TRIAL);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_cleared_by_answer)
{
    QRFingerprint f = fingerprint_of(1);
    QRRunEnd late = end_of(1, 1000, 1050);
    QRSuspects t;

    qr_suspects_init(&t);
    add_try(&t, 1, 1);
    add_try(&t, 1, 2);
    ck_assert(qr_suspects_note_answer(&t, &f, START_MS + 2500));
    ck_assert_int_eq(check(&t, 1, 2500), QR_SUSPICION_NONE);
    /* a late report of an end before the answer is ignored */
    ck_assert_ptr_null(qr_suspects_add_end(&t, &f, &late, START_MS + 2600));
    add_try(&t, 1, 3);
    add_try(&t, 1, 4);
    ck_assert_int_eq(check(&t, 1, 5000), QR_SUSPICION_TRIAL);
    add_try(&t, 1, 5);
    ck_assert_int_eq(check(&t, 1, 6000), QR_SUSPICION_HELD);
    ck_assert(qr_suspects_note_answer(&t, &f, START_MS + 6500));
    ck_assert_int_eq(check(&t, 1, 6500), QR_SUSPICION_NONE);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_late_answer_report_keeps_hold)
{
    QRFingerprint f = fingerprint_of(1);
    QRHold hold = {START_MS + 100000, 1, QR_TEAM_SEVERAL};
    QRSuspects t;

    qr_suspects_init(&t);
    /* reported by another gateway, with the last engine end */
    qr_suspects_hold(&t, &f, &hold, START_MS + 4400);
    add_try(&t, 1, 4);
    qr_suspects_note_answer(&t, &f, START_MS + 3000);
    ck_assert_int_eq(check(&t, 1, 6000), QR_SUSPICION_HELD);
    qr_suspects_note_answer(&t, &f, START_MS + 7000);
    ck_assert_int_eq(check(&t, 1, 7000), QR_SUSPICION_NONE);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_stored_tries_count)
{
    QRFingerprint f = fingerprint_of(1);
    QRSuspects t;

    qr_suspects_init(&t);
    ck_assert_ptr_nonnull(qr_suspects_add_stored_tries(&t, &f, 2, START_MS));
    ck_assert_int_eq(check(&t, 1, 100), QR_SUSPICION_TRIAL);
    add_try(&t, 2, 1); /* runs beside request 1 for the first time */
    add_try(&t, 1, 1);
    ck_assert_int_eq(check(&t, 1, 1400), QR_SUSPICION_HELD);
    ck_assert(qr_suspects_note_answer(&t, &f, START_MS + 2000));
    ck_assert_ptr_null(
        qr_suspects_add_stored_tries(&t, &f, 2, START_MS + 2100));
    ck_assert_int_eq(check(&t, 1, 2200), QR_SUSPICION_NONE);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_simultaneous_ends_are_one_try)
{
    QRFingerprint f = fingerprint_of(1);
    QRSuspects t;

    qr_suspects_init(&t);
    /* twelve engines end within a moment, and the request is retried on each */
    for (unsigned i = 0; i < 12; i++) {
        QRRunEnd end = end_of(i, i * 10, i * 10 + 9);

        qr_suspects_add_end(&t, &f, &end, end.ended_ms);
    }
    ck_assert_int_eq(qr_suspect_tries(qr_suspects_get(&t, &f)), 1);
    /* the next trial waits until no such end can follow */
    ck_assert_int_eq(check(&t, 1, 130), QR_SUSPICION_WAIT);
    ck_assert_int_eq(check(&t, 1, 400), QR_SUSPICION_TRIAL);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_each_run_counts_once)
{
    QRFingerprint f = fingerprint_of(1);
    QRRunEnd end = {7, START_MS, START_MS + 100, START_MS + 150,
                    QR_TEAM_SEVERAL};
    QRSuspects t;

    qr_suspects_init(&t);
    for (unsigned i = 0; i < 5; i++) { /* five reports, each later */
        qr_suspects_add_end(&t, &f, &end, end.ended_ms);
        end.sent_ms += 400;
        end.ended_ms += 400;
    }
    ck_assert_int_eq(qr_suspect_tries(qr_suspects_get(&t, &f)), 1);
    end.born_ms += 3000; /* the engine has restarted with the same id */
    qr_suspects_add_end(&t, &f, &end, end.ended_ms);
    ck_assert_int_eq(qr_suspect_tries(qr_suspects_get(&t, &f)), 2);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_one_trial_at_a_time)
{
    QRFingerprint f = fingerprint_of(1);
    QRSuspects t;
    QRSuspect *s;

    qr_suspects_init(&t);
    add_try(&t, 1, 1);
    s = qr_suspects_get(&t, &f);
    s->local_trials = 1;
    ck_assert_int_eq(check(&t, 1, 1500), QR_SUSPICION_WAIT);
    s->local_trials = 0;
    s->remote_trial_until_ms = START_MS + 3000;
    ck_assert_int_eq(check(&t, 1, 1500), QR_SUSPICION_WAIT);
    ck_assert_int_eq(check(&t, 1, 3001), QR_SUSPICION_TRIAL);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_ends_of_held_request_are_ignored)
{
    QRSuspects t;
    QRFingerprint f = fingerprint_of(2);

    qr_suspects_init(&t);
    /* request 2 ran beside request 1 at two ends; the third is reported late */
    for (unsigned n = 1; n <= 3; n++) {
        if (n < 3)
            add_try(&t, 2, n);
        add_try(&t, 1, n);
    }
    ck_assert_int_eq(check(&t, 1, 3400), QR_SUSPICION_HELD);
    add_try(&t, 2, 3);
    ck_assert_int_eq(check(&t, 2, 3400), QR_SUSPICION_NONE);
    ck_assert_int_eq(qr_suspects_get(&t, &f)->ends.count, 0);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_tie_is_resolved_by_answer)
{
    QRFingerprint f = fingerprint_of(2);
    QRSuspects t;

    qr_suspects_init(&t);
    for (unsigned n = 1; n <= 3; n++) {
        add_try(&t, 1, n);
        add_try(&t, 2, n);
    }
    ck_assert_int_eq(check(&t, 1, 3400), QR_SUSPICION_TRIAL);
    ck_assert_int_eq(check(&t, 2, 3400), QR_SUSPICION_TRIAL);
    /* once one of the two is answered, the other is held */
    ck_assert(qr_suspects_note_answer(&t, &f, START_MS + 3500));
    ck_assert_int_eq(check(&t, 1, 3600), QR_SUSPICION_HELD);
    ck_assert_int_eq(check(&t, 2, 3600), QR_SUSPICION_NONE);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_table_is_bounded)
{
    QRFingerprint f = fingerprint_of(1);
    QRSuspects t;

    qr_suspects_init(&t);
    for (unsigned n = 1; n <= 3; n++)
        add_try(&t, 1, n);
    for (unsigned i = 0; i < 5000; i++)
        add_try(&t, 100 + i, 10 + i);
    ck_assert_uint_le(g_hash_table_size(t.rows), 1024);
    /* a held request is not evicted */
    ck_assert_ptr_nonnull(qr_suspects_get(&t, &f));
    qr_suspects_sweep(&t, START_MS + 100000000);
    ck_assert(qr_suspects_is_empty(&t));
    ck_assert_uint_eq(t.unreported, 0);
    qr_suspects_clear(&t);
}
END_TEST

/* Returns a pseudo-random number below 'most'. */
static unsigned random_below(uint64_t *state, unsigned most)
{
    *state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (unsigned)(*state >> 33) % most;
}

START_TEST(suspects_report_order_is_irrelevant)
{
    uint64_t random = 11;
    QRFingerprint f = fingerprint_of(1);
    QRRunEnd ends[QR_MAX_RUN_ENDS];
    unsigned expected = 0;

    for (unsigned i = 0; i < QR_MAX_RUN_ENDS; i++)
        ends[i] = end_of(i, random_below(&random, 2000),
                         2000 + random_below(&random, 2000));
    for (unsigned order = 0; order < REPORT_ORDERS; order++) {
        unsigned reports[QR_MAX_RUN_ENDS] = {0}, left = QR_MAX_RUN_ENDS;
        QRSuspects t;

        qr_suspects_init(&t);
        while (left > 0) { /* reports some ends several times */
            unsigned i = random_below(&random, QR_MAX_RUN_ENDS);

            left -= reports[i]++ == 0;
            qr_suspects_add_end(&t, &f, &ends[i], START_MS + 5000);
        }
        if (order == 0)
            expected = qr_suspect_tries(qr_suspects_get(&t, &f));
        ck_assert_int_eq(qr_suspect_tries(qr_suspects_get(&t, &f)), expected);
        qr_suspects_clear(&t);
    }
}
END_TEST

/*
 * The model: gateways in front of engines that crash when they run one
 * particular request, or spontaneously. At each step, one new harmless request
 * and the frequent one arrive at random gateways.
 */
#define GATEWAYS 4
#define ENGINES 12
#define STEP_MS 10
#define STEPS 3000
#define CALLS 64
#define RESTART_MS 1500
#define MESSAGES 4096
#define CRASHING 1 /* the request that crashes engines */
#define FREQUENT 2 /* the harmless request that arrives at every step */

typedef struct Call {
    unsigned request, gateway, engine;
    uint64_t sent_ms, finish_ms; /* finish_ms 0: unused */
} Call;

typedef struct Message {
    uint64_t at_ms; /* delivery time; 0: unused */
    unsigned request, to;
    bool answered;
    QRRunEnd end;
    uint64_t answered_ms;
} Message;

typedef struct Model {
    uint64_t random, now_ms;
    unsigned lost_percent;
    QRSuspects tables[GATEWAYS];
    uint64_t restarted_ms[ENGINES]; /* when the engine serves again */
    Call calls[CALLS];
    Message messages[MESSAGES];
    unsigned next_message;
    unsigned crashes_caused; /* engine ends while running CRASHING */
    unsigned frequent_refused, frequent_sent;
} Model;

static void broadcast(Model *m, const Message *msg)
{
    for (unsigned g = 0; g < GATEWAYS; g++) {
        unsigned copies = 1 + (random_below(&m->random, 10) == 0);

        if (random_below(&m->random, 100) < m->lost_percent)
            continue;
        while (copies-- > 0) {
            Message *out = &m->messages[m->next_message++ % MESSAGES];

            *out = *msg;
            out->to = g;
            out->at_ms = m->now_ms + 1 + random_below(&m->random, 60);
        }
    }
}

static void crash_engine(Model *m, unsigned engine)
{
    m->restarted_ms[engine] = m->now_ms + RESTART_MS;
    for (unsigned i = 0; i < CALLS; i++) {
        Call *c = &m->calls[i];
        Message msg = {.request = c->request};
        QRFingerprint f = fingerprint_of(c->request);
        QRSuspect *s;

        if (!c->finish_ms || c->engine != engine)
            continue;
        m->crashes_caused += c->request == CRASHING;
        c->finish_ms = 0;
        msg.end = (QRRunEnd){engine, 0, c->sent_ms, m->now_ms, QR_TEAM_SEVERAL};
        qr_suspects_add_end(&m->tables[c->gateway], &f, &msg.end, m->now_ms);
        s = qr_suspects_get(&m->tables[c->gateway], &f);
        if (s && s->local_trials > 0)
            s->local_trials--;
        broadcast(m, &msg);
    }
}

static void finish_call(Model *m, Call *c)
{
    QRFingerprint f = fingerprint_of(c->request);
    Message msg = {
        .request = c->request, .answered = true, .answered_ms = m->now_ms};
    QRSuspect *s = qr_suspects_get(&m->tables[c->gateway], &f);

    if (c->request == CRASHING) {
        crash_engine(m, c->engine);
        return;
    }
    c->finish_ms = 0;
    if (s && s->local_trials > 0)
        s->local_trials--;
    if (qr_suspects_note_answer(&m->tables[c->gateway], &f, m->now_ms))
        broadcast(m, &msg);
}

static void send_call(Model *m, unsigned request)
{
    unsigned gateway = random_below(&m->random, GATEWAYS);
    unsigned engine = random_below(&m->random, ENGINES);
    QRSuspects *t = &m->tables[gateway];
    QRFingerprint f = fingerprint_of(request);
    QRSuspicion suspicion =
        qr_suspects_check(t, &f, QR_TEAM_SEVERAL, m->now_ms);
    bool refused =
        suspicion == QR_SUSPICION_WAIT || suspicion == QR_SUSPICION_HELD;

    /* some engine is nearly always up */
    while (m->restarted_ms[engine] > m->now_ms)
        engine = random_below(&m->random, ENGINES);
    m->frequent_sent += request == FREQUENT;
    m->frequent_refused += request == FREQUENT && refused;
    for (unsigned i = 0; i < CALLS && !refused; i++) {
        Call *c = &m->calls[i];

        if (c->finish_ms)
            continue;
        *c = (Call){request, gateway, engine, m->now_ms,
                    m->now_ms + 30 + random_below(&m->random, 100)};
        if (suspicion == QR_SUSPICION_TRIAL)
            qr_suspects_get(t, &f)->local_trials++;
        return;
    }
}

static void deliver_messages(Model *m)
{
    for (unsigned i = 0; i < MESSAGES; i++) {
        Message *msg = &m->messages[i];
        QRFingerprint f = fingerprint_of(msg->request);

        if (!msg->at_ms || msg->at_ms > m->now_ms)
            continue;
        msg->at_ms = 0;
        if (msg->answered)
            qr_suspects_note_answer(&m->tables[msg->to], &f, msg->answered_ms);
        else
            qr_suspects_add_end(&m->tables[msg->to], &f, &msg->end, m->now_ms);
    }
}

/* Runs the model. 'has_crashing': whether the crashing request arrives;
   'spontaneous_in': mean steps between spontaneous crashes; 0: none. */
static Model *run_model(unsigned seed, bool has_crashing,
                        unsigned spontaneous_in, unsigned lost_percent)
{
    Model *m = g_new0(Model, 1);

    m->random = seed;
    m->now_ms = START_MS;
    m->lost_percent = lost_percent;
    for (unsigned g = 0; g < GATEWAYS; g++)
        qr_suspects_init(&m->tables[g]);
    for (unsigned step = 0; step < STEPS; step++) {
        unsigned engine = random_below(&m->random, ENGINES);

        m->now_ms += STEP_MS;
        deliver_messages(m);
        for (unsigned i = 0; i < CALLS; i++) {
            if (m->calls[i].finish_ms && m->calls[i].finish_ms <= m->now_ms)
                finish_call(m, &m->calls[i]);
        }
        if (spontaneous_in && random_below(&m->random, spontaneous_in) == 0 &&
            m->restarted_ms[engine] <= m->now_ms)
            crash_engine(m, engine);
        send_call(m, FREQUENT);
        send_call(m, 100 + step);
        if (has_crashing && step % 15 == 0)
            send_call(m, CRASHING);
    }
    return m;
}

static void model_free(Model *m)
{
    for (unsigned g = 0; g < GATEWAYS; g++)
        qr_suspects_clear(&m->tables[g]);
    g_free(m);
}

/* Of 100 messages 0, 10 or 40 are lost and 10 arrive twice. All arrive up to
   60 ms late. */
START_TEST(suspects_model_crashing_request_is_held)
{
    static const unsigned lost_percents[] = {0, 10, 40};
    static const unsigned max_crashes[] = {8, 10, 14};

    for (unsigned seed = 1; seed <= 40; seed++) {
        Model *m = run_model(seed, true, 60, lost_percents[_i]);

        ck_assert_msg(m->crashes_caused <= max_crashes[_i], "seed %u: %u ends",
                      seed, m->crashes_caused);
        model_free(m);
    }
}
END_TEST

START_TEST(suspects_model_frequent_request_is_not_held)
{
    for (unsigned seed = 1; seed <= 40; seed++) {
        Model *m = run_model(seed, false, 30, 10);
        QRFingerprint f = fingerprint_of(FREQUENT);

        for (unsigned g = 0; g < GATEWAYS; g++) {
            const QRSuspect *s = qr_suspects_get(&m->tables[g], &f);

            ck_assert_msg(!s || s->hold_count == 0, "seed %u: held back", seed);
        }
        ck_assert_msg(m->frequent_refused * 20 < m->frequent_sent,
                      "seed %u: %u of %u made to wait", seed,
                      m->frequent_refused, m->frequent_sent);
        model_free(m);
    }
}
END_TEST

TCase *unit_suspects_case(void)
{
    TCase *t = tcase_create("suspects");

    tcase_set_timeout(t, 120);
    tcase_add_test(t, suspects_held_after_three_consecutive_tries);
    tcase_add_test(t, suspects_cleared_by_answer);
    tcase_add_test(t, suspects_late_answer_report_keeps_hold);
    tcase_add_test(t, suspects_stored_tries_count);
    tcase_add_test(t, suspects_simultaneous_ends_are_one_try);
    tcase_add_test(t, suspects_each_run_counts_once);
    tcase_add_test(t, suspects_one_trial_at_a_time);
    tcase_add_test(t, suspects_ends_of_held_request_are_ignored);
    tcase_add_test(t, suspects_tie_is_resolved_by_answer);
    tcase_add_test(t, suspects_table_is_bounded);
    tcase_add_test(t, suspects_report_order_is_irrelevant);
    tcase_add_loop_test(t, suspects_model_crashing_request_is_held, 0, 3);
    tcase_add_test(t, suspects_model_frequent_request_is_not_held);
    return t;
}
