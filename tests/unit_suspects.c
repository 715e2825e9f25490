/*
 * Requests that may crash engines: what counts, and a model of a fleet whose
 * gateways tell one another late, twice, in any order or not at all.
 */
#include "unit_suspects.h"

#include "gateway/qr_suspects.h"

#include <stdlib.h>
#include <string.h>

#define START_MS 1000000
#define ORDERS 200 /* in which the same words are told */

static QRFingerprint print_of(unsigned n)
{
    QRFingerprint f = {{0}};

    memcpy(f.bytes, &n, sizeof(n));
    f.bytes[15] = 1;
    return f;
}

static QRRunEnd end_of(unsigned engine, uint64_t sent, uint64_t ended)
{
    return (QRRunEnd){engine, 0, START_MS + sent, START_MS + ended};
}

/* The n-th try in a row: 50 ms each, a second apart. */
static void try_once(QRSuspects *t, unsigned request, unsigned n)
{
    QRFingerprint f = print_of(request);
    QRRunEnd end = end_of(n, n * 1000, n * 1000 + 50);

    qr_suspects_add_end(t, &f, &end, end.ended_ms);
}

static QRSuspicion ask(QRSuspects *t, unsigned request, uint64_t at)
{
    QRFingerprint f = print_of(request);

    return qr_suspects_check(t, &f, START_MS + at);
}

START_TEST(suspects_three_tries_in_a_row)
{
    QRSuspects t;

    qr_suspects_init(&t);
    ck_assert_int_eq(ask(&t, 1, 0), QR_SUSPICION_NONE);
    try_once(&t, 1, 1);
    ck_assert_int_eq(ask(&t, 1, 1900), QR_SUSPICION_TRIAL);
    try_once(&t, 1, 2);
    try_once(&t, 1, 3);
    ck_assert_int_eq(ask(&t, 1, 4000), QR_SUSPICION_HELD);
    ck_assert_ptr_nonnull(qr_suspects_next_unreported(&t));
    ck_assert_ptr_null(qr_suspects_next_unreported(&t));
    /* after the time for which it is held back one try is made */
    ck_assert_int_eq(ask(&t, 1, 123999), QR_SUSPICION_HELD);
    ck_assert_int_eq(ask(&t, 1, 124000), QR_SUSPICION_TRIAL);
    try_once(&t, 1, 130);
    qr_suspects_evaluate(&t, START_MS + 130300);
    ck_assert_int_eq(ask(&t, 1, 130300 + 239999), QR_SUSPICION_HELD);
    ck_assert_int_eq(ask(&t, 1, 130300 + 240000), QR_SUSPICION_TRIAL);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_an_answer_clears)
{
    QRFingerprint f = print_of(1);
    QRRunEnd late = end_of(1, 1000, 1050);
    QRSuspects t;

    qr_suspects_init(&t);
    try_once(&t, 1, 1);
    try_once(&t, 1, 2);
    ck_assert(qr_suspects_note_answer(&t, &f, START_MS + 2500));
    ck_assert_int_eq(ask(&t, 1, 2500), QR_SUSPICION_NONE);
    /* an end of before it that is told late says nothing */
    ck_assert_ptr_null(qr_suspects_add_end(&t, &f, &late, START_MS + 2600));
    try_once(&t, 1, 3);
    try_once(&t, 1, 4);
    ck_assert_int_eq(ask(&t, 1, 5000), QR_SUSPICION_TRIAL);
    try_once(&t, 1, 5);
    ck_assert_int_eq(ask(&t, 1, 6000), QR_SUSPICION_HELD);
    ck_assert(qr_suspects_note_answer(&t, &f, START_MS + 6500));
    ck_assert_int_eq(ask(&t, 1, 6500), QR_SUSPICION_NONE);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_a_late_answer_frees_nothing)
{
    QRFingerprint f = print_of(1);
    QRSuspects t;

    qr_suspects_init(&t);
    /* told by others, with the last of its ends */
    qr_suspects_hold(&t, &f, START_MS + 100000, 1, START_MS + 4400);
    try_once(&t, 1, 4);
    qr_suspects_note_answer(&t, &f, START_MS + 3000);
    ck_assert_int_eq(ask(&t, 1, 6000), QR_SUSPICION_HELD);
    qr_suspects_note_answer(&t, &f, START_MS + 7000);
    ck_assert_int_eq(ask(&t, 1, 7000), QR_SUSPICION_NONE);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_tries_that_the_store_knows)
{
    QRFingerprint f = print_of(1);
    QRSuspects t;

    qr_suspects_init(&t);
    ck_assert_ptr_nonnull(qr_suspects_add_stored_tries(&t, &f, 2, START_MS));
    ck_assert_int_eq(ask(&t, 1, 100), QR_SUSPICION_TRIAL);
    try_once(&t, 2, 1); /* is at work beside it, for the first time */
    try_once(&t, 1, 1);
    ck_assert_int_eq(ask(&t, 1, 1400), QR_SUSPICION_HELD);
    ck_assert(qr_suspects_note_answer(&t, &f, START_MS + 2000));
    ck_assert_ptr_null(
        qr_suspects_add_stored_tries(&t, &f, 2, START_MS + 2100));
    ck_assert_int_eq(ask(&t, 1, 2200), QR_SUSPICION_NONE);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_ends_together_are_one_try)
{
    QRFingerprint f = print_of(1);
    QRSuspects t;

    qr_suspects_init(&t);
    /* at work at twelve engines that end within a moment, and sent on from one
       to the next meanwhile */
    for (unsigned i = 0; i < 12; i++) {
        QRRunEnd end = end_of(i, i * 10, i * 10 + 9);

        qr_suspects_add_end(&t, &f, &end, end.ended_ms);
    }
    ck_assert_int_eq(qr_suspect_tries(qr_suspects_get(&t, &f)), 1);
    /* the next try waits until that is over */
    ck_assert_int_eq(ask(&t, 1, 130), QR_SUSPICION_WAIT);
    ck_assert_int_eq(ask(&t, 1, 400), QR_SUSPICION_TRIAL);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_one_run_counts_once)
{
    QRFingerprint f = print_of(1);
    QRRunEnd end = {7, START_MS, START_MS + 100, START_MS + 150};
    QRSuspects t;

    qr_suspects_init(&t);
    for (unsigned i = 0; i < 5; i++) { /* told by five, each later */
        qr_suspects_add_end(&t, &f, &end, end.ended_ms);
        end.sent_ms += 400;
        end.ended_ms += 400;
    }
    ck_assert_int_eq(qr_suspect_tries(qr_suspects_get(&t, &f)), 1);
    end.born_ms += 3000; /* it has started anew under its id */
    qr_suspects_add_end(&t, &f, &end, end.ended_ms);
    ck_assert_int_eq(qr_suspect_tries(qr_suspects_get(&t, &f)), 2);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_one_at_a_time)
{
    QRFingerprint f = print_of(1);
    QRSuspects t;
    QRSuspect *s;

    qr_suspects_init(&t);
    try_once(&t, 1, 1);
    s = qr_suspects_get(&t, &f);
    s->local_trials = 1;
    ck_assert_int_eq(ask(&t, 1, 1500), QR_SUSPICION_WAIT);
    s->local_trials = 0;
    s->remote_trial_until_ms = START_MS + 3000;
    ck_assert_int_eq(ask(&t, 1, 1500), QR_SUSPICION_WAIT);
    ck_assert_int_eq(ask(&t, 1, 3001), QR_SUSPICION_TRIAL);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_what_is_explained_says_nothing)
{
    QRSuspects t;
    QRFingerprint f = print_of(2);

    qr_suspects_init(&t);
    /* 2 was at work beside 1 at two ends, and is told late of the third */
    for (unsigned n = 1; n <= 3; n++) {
        if (n < 3)
            try_once(&t, 2, n);
        try_once(&t, 1, n);
    }
    ck_assert_int_eq(ask(&t, 1, 3400), QR_SUSPICION_HELD);
    try_once(&t, 2, 3);
    ck_assert_int_eq(ask(&t, 2, 3400), QR_SUSPICION_NONE);
    ck_assert_int_eq(qr_suspects_get(&t, &f)->ends.count, 0);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_either_may_be_it)
{
    QRFingerprint f = print_of(2);
    QRSuspects t;

    qr_suspects_init(&t);
    for (unsigned n = 1; n <= 3; n++) {
        try_once(&t, 1, n);
        try_once(&t, 2, n);
    }
    ck_assert_int_eq(ask(&t, 1, 3400), QR_SUSPICION_TRIAL);
    ck_assert_int_eq(ask(&t, 2, 3400), QR_SUSPICION_TRIAL);
    /* once one of them is answered, it is the other */
    ck_assert(qr_suspects_note_answer(&t, &f, START_MS + 3500));
    ck_assert_int_eq(ask(&t, 1, 3600), QR_SUSPICION_HELD);
    ck_assert_int_eq(ask(&t, 2, 3600), QR_SUSPICION_NONE);
    qr_suspects_clear(&t);
}
END_TEST

START_TEST(suspects_are_bounded)
{
    QRFingerprint f = print_of(1);
    QRSuspects t;

    qr_suspects_init(&t);
    for (unsigned n = 1; n <= 3; n++)
        try_once(&t, 1, n);
    for (unsigned i = 0; i < 5000; i++)
        try_once(&t, 100 + i, 10 + i);
    ck_assert_uint_le(g_hash_table_size(t.rows), 1024);
    ck_assert_ptr_nonnull(qr_suspects_get(&t, &f)); /* it is held back */
    qr_suspects_sweep(&t, START_MS + 100000000);
    ck_assert(qr_suspects_is_empty(&t));
    ck_assert_uint_eq(t.unreported, 0);
    qr_suspects_clear(&t);
}
END_TEST

/* Random numbers that a seed fixes. */
static unsigned dice(uint64_t *state, unsigned most)
{
    *state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (unsigned)(*state >> 33) % most;
}

START_TEST(suspects_in_any_order)
{
    uint64_t random = 11;
    QRFingerprint f = print_of(1);
    QRRunEnd ends[QR_MAX_RUN_ENDS];
    unsigned rounds = 0;

    for (unsigned i = 0; i < QR_MAX_RUN_ENDS; i++)
        ends[i] = end_of(i, dice(&random, 2000), 2000 + dice(&random, 2000));
    for (unsigned order = 0; order < ORDERS; order++) {
        unsigned told[QR_MAX_RUN_ENDS] = {0}, left = QR_MAX_RUN_ENDS;
        QRSuspects t;

        qr_suspects_init(&t);
        while (left > 0) { /* some of them several times */
            unsigned i = dice(&random, QR_MAX_RUN_ENDS);

            left -= told[i]++ == 0;
            qr_suspects_add_end(&t, &f, &ends[i], START_MS + 5000);
        }
        if (order == 0)
            rounds = qr_suspect_tries(qr_suspects_get(&t, &f));
        ck_assert_int_eq(qr_suspect_tries(qr_suspects_get(&t, &f)), rounds);
        qr_suspects_clear(&t);
    }
}
END_TEST

/*
 * The model. Gateways before engines that end under one request, or by
 * themselves. Honest requests come at random; one of them all the time.
 */
#define GATEWAYS 4
#define ENGINES 12
#define STEP_MS 10
#define STEPS 3000
#define CALLS 64
#define AWAY_MS 1500
#define WORDS 4096
#define CRASHES 1  /* the request that does */
#define FREQUENT 2 /* asked all the time */

typedef struct Call {
    unsigned request, gateway, engine;
    uint64_t sent_ms, due_ms; /* due 0: none */
} Call;

typedef struct Word {
    uint64_t at_ms; /* 0: none */
    unsigned request, to;
    bool answered;
    QRRunEnd end;
    uint64_t answered_ms;
} Word;

typedef struct Model {
    uint64_t random, now_ms;
    unsigned lost_in_100;
    QRSuspects tables[GATEWAYS];
    uint64_t up_ms[ENGINES]; /* when it serves again */
    Call calls[CALLS];
    Word words[WORDS];
    unsigned word;
    unsigned ends_under; /* engines that ended under the one that crashes */
    unsigned frequent_refused, frequent_sent;
} Model;

static void tell(Model *m, const Word *w)
{
    for (unsigned g = 0; g < GATEWAYS; g++) {
        unsigned copies = 1 + (dice(&m->random, 10) == 0);

        if (dice(&m->random, 100) < m->lost_in_100)
            continue;
        while (copies-- > 0) {
            Word *out = &m->words[m->word++ % WORDS];

            *out = *w;
            out->to = g;
            out->at_ms = m->now_ms + 1 + dice(&m->random, 60);
        }
    }
}

static void end_engine(Model *m, unsigned engine)
{
    m->up_ms[engine] = m->now_ms + AWAY_MS;
    for (unsigned i = 0; i < CALLS; i++) {
        Call *c = &m->calls[i];
        Word w = {.request = c->request};
        QRFingerprint f = print_of(c->request);
        QRSuspect *s;

        if (!c->due_ms || c->engine != engine)
            continue;
        m->ends_under += c->request == CRASHES;
        c->due_ms = 0;
        w.end = (QRRunEnd){engine, 0, c->sent_ms, m->now_ms};
        qr_suspects_add_end(&m->tables[c->gateway], &f, &w.end, m->now_ms);
        s = qr_suspects_get(&m->tables[c->gateway], &f);
        if (s && s->local_trials > 0)
            s->local_trials--;
        tell(m, &w);
    }
}

static void finish_call(Model *m, Call *c)
{
    QRFingerprint f = print_of(c->request);
    Word w = {
        .request = c->request, .answered = true, .answered_ms = m->now_ms};
    QRSuspect *s = qr_suspects_get(&m->tables[c->gateway], &f);

    if (c->request == CRASHES) {
        end_engine(m, c->engine);
        return;
    }
    c->due_ms = 0;
    if (s && s->local_trials > 0)
        s->local_trials--;
    if (qr_suspects_note_answer(&m->tables[c->gateway], &f, m->now_ms))
        tell(m, &w);
}

static void send_call(Model *m, unsigned request)
{
    unsigned gateway = dice(&m->random, GATEWAYS);
    unsigned engine = dice(&m->random, ENGINES);
    QRSuspects *t = &m->tables[gateway];
    QRFingerprint f = print_of(request);
    QRSuspicion suspicion = qr_suspects_check(t, &f, m->now_ms);
    bool refused =
        suspicion == QR_SUSPICION_WAIT || suspicion == QR_SUSPICION_HELD;

    while (m->up_ms[engine] > m->now_ms) /* some are up, mostly */
        engine = dice(&m->random, ENGINES);
    m->frequent_sent += request == FREQUENT;
    m->frequent_refused += request == FREQUENT && refused;
    for (unsigned i = 0; i < CALLS && !refused; i++) {
        Call *c = &m->calls[i];

        if (c->due_ms)
            continue;
        *c = (Call){request, gateway, engine, m->now_ms,
                    m->now_ms + 30 + dice(&m->random, 100)};
        if (suspicion == QR_SUSPICION_TRIAL)
            qr_suspects_get(t, &f)->local_trials++;
        return;
    }
}

static void hear_words(Model *m)
{
    for (unsigned i = 0; i < WORDS; i++) {
        Word *w = &m->words[i];
        QRFingerprint f = print_of(w->request);

        if (!w->at_ms || w->at_ms > m->now_ms)
            continue;
        w->at_ms = 0;
        if (w->answered)
            qr_suspects_note_answer(&m->tables[w->to], &f, w->answered_ms);
        else
            qr_suspects_add_end(&m->tables[w->to], &f, &w->end, m->now_ms);
    }
}

/* 'crashes': the request that does comes; 'alone_in': engines end by
   themselves, one in so many steps. */
static Model *play(unsigned seed, bool crashes, unsigned alone_in,
                   unsigned lost_in_100)
{
    Model *m = g_new0(Model, 1);

    m->random = seed;
    m->now_ms = START_MS;
    m->lost_in_100 = lost_in_100;
    for (unsigned g = 0; g < GATEWAYS; g++)
        qr_suspects_init(&m->tables[g]);
    for (unsigned step = 0; step < STEPS; step++) {
        unsigned engine = dice(&m->random, ENGINES);

        m->now_ms += STEP_MS;
        hear_words(m);
        for (unsigned i = 0; i < CALLS; i++) {
            if (m->calls[i].due_ms && m->calls[i].due_ms <= m->now_ms)
                finish_call(m, &m->calls[i]);
        }
        if (alone_in && dice(&m->random, alone_in) == 0 &&
            m->up_ms[engine] <= m->now_ms)
            end_engine(m, engine);
        send_call(m, FREQUENT);
        send_call(m, 100 + step);
        if (crashes && step % 15 == 0)
            send_call(m, CRASHES);
    }
    return m;
}

static void model_free(Model *m)
{
    for (unsigned g = 0; g < GATEWAYS; g++)
        qr_suspects_clear(&m->tables[g]);
    g_free(m);
}

/* Of 100 words 0, 10, 40 are lost, 10 come twice, all up to 60 ms late. */
START_TEST(suspects_model_is_held_back)
{
    static const unsigned lost[] = {0, 10, 40};
    static const unsigned ends_most[] = {8, 10, 14};

    for (unsigned seed = 1; seed <= 40; seed++) {
        Model *m = play(seed, true, 60, lost[_i]);

        ck_assert_msg(m->ends_under <= ends_most[_i], "seed %u: %u ends", seed,
                      m->ends_under);
        model_free(m);
    }
}
END_TEST

START_TEST(suspects_model_frequent_is_not)
{
    for (unsigned seed = 1; seed <= 40; seed++) {
        Model *m = play(seed, false, 30, 10);
        QRFingerprint f = print_of(FREQUENT);

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
    tcase_add_test(t, suspects_three_tries_in_a_row);
    tcase_add_test(t, suspects_an_answer_clears);
    tcase_add_test(t, suspects_a_late_answer_frees_nothing);
    tcase_add_test(t, suspects_tries_that_the_store_knows);
    tcase_add_test(t, suspects_ends_together_are_one_try);
    tcase_add_test(t, suspects_one_run_counts_once);
    tcase_add_test(t, suspects_one_at_a_time);
    tcase_add_test(t, suspects_what_is_explained_says_nothing);
    tcase_add_test(t, suspects_either_may_be_it);
    tcase_add_test(t, suspects_are_bounded);
    tcase_add_test(t, suspects_in_any_order);
    tcase_add_loop_test(t, suspects_model_is_held_back, 0, 3);
    tcase_add_test(t, suspects_model_frequent_is_not);
    return t;
}
