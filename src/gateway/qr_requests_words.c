/*
 * Requests that may crash engines: what gateways tell one another.
 *
 * Ends are told at once and to all, since the next try comes at any gateway.
 * Times go as ages: clocks differ. What is told twice, late or in another order
 * adds up to the same.
 */
#include "qr_requests_parts.h"

#define TRIAL_LEASE_MS                                                         \
    3000                /* a try that tells no end is no longer waited for */
#define WELCOME_MOST 64 /* rows told to one that has just come */

static void word_free(void *p)
{
    Qr__Fleet__RequestWord *w = p;

    for (size_t i = 0; i < w->n_ends; i++)
        g_free(w->ends[i]);
    g_free(w->ends);
    g_free(w->fingerprint.data);
    g_free(w);
}

GPtrArray *qr_request_words_new(void)
{
    return g_ptr_array_new_with_free_func(word_free);
}

Qr__Fleet__RequestWord *qr_request_word(GPtrArray *words,
                                        const QRFingerprint *f)
{
    Qr__Fleet__RequestWord *w = g_new(Qr__Fleet__RequestWord, 1);

    qr__fleet__request_word__init(w);
    w->fingerprint.len = sizeof(f->bytes);
    w->fingerprint.data = g_memdup2(f->bytes, sizeof(f->bytes));
    w->ends = g_new0(Qr__Fleet__RequestEnd *, QR_RUN_ENDS);
    g_ptr_array_add(words, w);
    return w;
}

static uint32_t age(uint64_t now_ms, uint64_t then_ms)
{
    return (uint32_t)MIN(now_ms - MIN(then_ms, now_ms), G_MAXUINT32);
}

void qr_request_word_end(Qr__Fleet__RequestWord *word, const QRRunEnd *end,
                         uint64_t now_ms)
{
    Qr__Fleet__RequestEnd *e;

    if (word->n_ends == QR_RUN_ENDS)
        return;
    e = g_new(Qr__Fleet__RequestEnd, 1);
    qr__fleet__request_end__init(e);
    e->engine = end->engine;
    e->born_ms = end->born_ms;
    e->sent_ago_ms = age(now_ms, end->sent_ms);
    e->ended_ago_ms = age(now_ms, end->ended_ms);
    word->ends[word->n_ends++] = e;
}

static void send_words(QRPeerConn *peer, GPtrArray *words)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Requests list = QR__FLEET__REQUESTS__INIT;

    list.words = (Qr__Fleet__RequestWord **)words->pdata;
    list.n_words = words->len;
    frame.body_case = QR__FLEET__FRAME__BODY_REQUESTS;
    frame.requests = &list;
    qr_peer_send(peer, &frame);
}

void qr_requests_tell(QRGateway *g, GPtrArray *words)
{
    if (words->len == 0)
        return;
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->subscribers->pdata[i]);

        if (to && strcmp(to->role, QR_ROLE_GATEWAY) == 0)
            send_words(g->subscribers->pdata[i], words);
    }
}

void qr_requests_tell_trial(QRGateway *g, const QRSuspect *s, bool over)
{
    g_autoptr(GPtrArray) words = qr_request_words_new();
    Qr__Fleet__RequestWord *w = qr_request_word(words, &s->fingerprint);

    w->over = over;
    w->under_way_ms = over ? 0 : TRIAL_LEASE_MS;
    qr_requests_tell(g, words);
}

void qr_requests_tell_answered(QRGateway *g)
{
    GArray *answered = g->requests.answered;
    g_autoptr(GPtrArray) words = qr_request_words_new();

    for (unsigned i = 0; i < answered->len; i++) {
        const QRFingerprint *f = &g_array_index(answered, QRFingerprint, i);
        const QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);

        if (s && s->answered_ms)
            qr_request_word(words, f)->answered_ago_ms =
                1 + age(qr_gateway_now(g), s->answered_ms);
    }
    g_array_set_size(answered, 0);
    qr_requests_tell(g, words);
}

void qr_request_word_all(GPtrArray *words, const QRSuspect *s, uint64_t now_ms)
{
    Qr__Fleet__RequestWord *w = qr_request_word(words, &s->fingerprint);

    for (unsigned i = 0; i < s->ends.count; i++)
        qr_request_word_end(w, &s->ends.rows[i], now_ms);
    w->held_ms =
        s->held_until_ms > now_ms ? (uint32_t)(s->held_until_ms - now_ms) : 0;
    w->holds = s->holds;
    w->stored = s->stored;
    w->stored_epoch = s->stored_epoch;
}

void qr_requests_report(QRGateway *g)
{
    uint64_t now = qr_gateway_now(g);
    g_autoptr(GPtrArray) words = qr_request_words_new();
    QRSuspect *s;

    while ((s = qr_suspects_next_news(&g->requests.suspects))) {
        char text[QR_FINGERPRINT_HEX];
        bool own = qr_suspect_is_own(s);

        qr_fingerprint_text(&s->fingerprint, text);
        qr_relay_count(g, QR_COUNTER_requests_held);
        qr_logf(QR_LEVEL_WARN, "requests",
                "held request=%s for_ms=%" G_GUINT64_FORMAT
                " times=%u engines_ended=%u seen_here=%d",
                text, s->held_until_ms - now, s->holds, s->ends.total, own);
        qr_requests_store_due(g, s);
        if (own)
            qr_request_word_all(words, s, now);
    }
    qr_requests_tell(g, words);
}

void qr_requests_welcome(QRGateway *g, QRPeerConn *peer)
{
    uint64_t now = qr_gateway_now(g);
    g_autoptr(GPtrArray) words = qr_request_words_new();
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->requests.suspects.rows);
    while (words->len < WELCOME_MOST &&
           g_hash_table_iter_next(&it, NULL, &value)) {
        const QRSuspect *s = value;

        if (s->holds > 0 || qr_suspect_tries(s) > 0)
            qr_request_word_all(words, s, now);
    }
    if (words->len > 0)
        send_words(peer, words);
}

/* Whether we know of an answer that came after all ends that were told. */
static bool is_outdated(const QRSuspect *s, const Qr__Fleet__RequestWord *w,
                        uint64_t base_ms)
{
    uint64_t newest = 0;

    for (size_t i = 0; i < w->n_ends; i++)
        newest = MAX(newest, base_ms - MIN(base_ms, w->ends[i]->ended_ago_ms));
    return s && s->answered_ms > 0 && s->answered_ms >= newest;
}

static void hear_held(QRGateway *g, const QRFingerprint *f,
                      const Qr__Fleet__RequestWord *w, uint64_t base_ms)
{
    QRSuspects *t = &g->requests.suspects;
    QRSuspect *s = qr_suspects_get(t, f);
    uint64_t now = qr_gateway_now(g);
    char text[QR_FINGERPRINT_HEX];
    bool was_held = s && qr_suspect_is_held(s, now);

    if (is_outdated(s, w, base_ms)) { /* who told it does not know that yet */
        g_array_append_val(g->requests.answered, *f);
        return;
    }
    qr_suspects_hold(t, f, base_ms + w->held_ms, w->holds, now);
    qr_fingerprint_text(f, text);
    if (!was_held)
        qr_logf(QR_LEVEL_WARN, "requests",
                "told held request=%s for_ms=%u times=%u stored=%d", text,
                w->held_ms, w->holds, w->stored);
}

static void hear_ends(QRGateway *g, const QRFingerprint *f,
                      const Qr__Fleet__RequestWord *w, uint64_t base_ms)
{
    for (size_t i = 0; i < w->n_ends; i++) {
        const Qr__Fleet__RequestEnd *e = w->ends[i];
        QRRunEnd end = {e->engine, e->born_ms,
                        base_ms - MIN(base_ms, e->sent_ago_ms),
                        base_ms - MIN(base_ms, e->ended_ago_ms)};

        qr_suspects_ended(&g->requests.suspects, f, &end, qr_gateway_now(g));
    }
}

/* What was stored in an earlier epoch may be lost. */
static void hear_stored(QRSuspect *s, uint64_t epoch, uint64_t own_epoch)
{
    if (epoch < own_epoch)
        return;
    s->stored = true;
    s->stored_epoch = epoch;
    s->store_due_ms = 0;
}

/* 'base_ms': when the word was sent, at the earliest. */
static void hear(QRGateway *g, const Qr__Fleet__RequestWord *w,
                 uint64_t base_ms)
{
    QRSuspects *t = &g->requests.suspects;
    QRFingerprint f;
    QRSuspect *s;

    if (w->fingerprint.len != sizeof(f.bytes))
        return;
    memcpy(f.bytes, w->fingerprint.data, sizeof(f.bytes));
    hear_ends(g, &f, w, base_ms);
    if (w->holds > 0)
        hear_held(g, &f, w, base_ms);
    if (w->answered_ago_ms > 0)
        qr_suspects_answered(t, &f, base_ms - MIN(base_ms, w->answered_ago_ms));
    s = qr_suspects_get(t, &f);
    if (s && w->stored && s->holds == w->holds)
        hear_stored(s, w->stored_epoch ? w->stored_epoch : g->store_epoch,
                    g->store_epoch);
    if (s && w->under_way_ms > 0)
        s->others_until_ms = MAX(s->others_until_ms, base_ms + w->under_way_ms);
    if (s && w->over)
        s->others_until_ms = 0;
}

void qr_requests_heard(QRGateway *g, const Qr__Fleet__Requests *words)
{
    uint64_t base = qr_gateway_earliest_send_ms(g);
    bool ends = false;

    for (size_t i = 0; i < words->n_words; i++) {
        hear(g, words->words[i], base);
        ends |= words->words[i]->n_ends > 0;
    }
    if (ends)
        qr_relay_join_trials(g);
}
