/*
 * Requests that may crash engines: messages between gateways.
 *
 * Engine ends are reported to all gateways at once, since the next try can
 * arrive at any of them. Times are sent as ages because clocks differ.
 * Messages that arrive twice, late or in another order lead to the same state.
 */
#include "qr_requests_parts.h"

/* Other gateways wait this long for the end of a trial. */
#define TRIAL_LEASE_MS 3000
#define MAX_INITIAL_MESSAGES 64 /* to a gateway that has just connected */

static void message_free(void *p)
{
    Qr__Fleet__RequestWord *msg = p;

    for (size_t i = 0; i < msg->n_ends; i++)
        g_free(msg->ends[i]);
    g_free(msg->ends);
    g_free(msg->fingerprint.data);
    g_free(msg);
}

void qr_request_messages_init(QRRequestMessages *m)
{
    m->requests = g_ptr_array_new_with_free_func(message_free);
    m->parts = g_ptr_array_new_with_free_func(message_free);
}

void qr_request_messages_clear(QRRequestMessages *m)
{
    g_clear_pointer(&m->requests, g_ptr_array_unref);
    g_clear_pointer(&m->parts, g_ptr_array_unref);
}

Qr__Fleet__RequestWord *qr_request_message_add(QRRequestMessages *m,
                                               const QRFingerprint *f)
{
    GPtrArray *list = f->kind == QR_FINGERPRINT_PART ? m->parts : m->requests;
    Qr__Fleet__RequestWord *msg;

    for (unsigned i = 0; i < list->len; i++) {
        msg = list->pdata[i];
        if (memcmp(msg->fingerprint.data, f->bytes, sizeof(f->bytes)) == 0)
            return msg;
    }
    msg = g_new(Qr__Fleet__RequestWord, 1);
    qr__fleet__request_word__init(msg);
    msg->fingerprint.len = sizeof(f->bytes);
    msg->fingerprint.data = g_memdup2(f->bytes, sizeof(f->bytes));
    msg->ends = g_new0(Qr__Fleet__RequestEnd *, QR_MAX_RUN_ENDS);
    g_ptr_array_add(list, msg);
    return msg;
}

static uint32_t age_ms(uint64_t now_ms, uint64_t then_ms)
{
    return (uint32_t)MIN(now_ms - MIN(then_ms, now_ms), G_MAXUINT32);
}

void qr_request_message_add_end(Qr__Fleet__RequestWord *msg,
                                const QRRunEnd *end, uint64_t now_ms)
{
    Qr__Fleet__RequestEnd *e;

    for (size_t i = 0; i < msg->n_ends; i++) {
        e = msg->ends[i];
        if (e->engine != end->engine_hash || e->born_ms != end->born_ms ||
            e->ended_ago_ms != age_ms(now_ms, end->ended_ms))
            continue;
        e->sent_ago_ms = MAX(e->sent_ago_ms, age_ms(now_ms, end->sent_ms));
        if (e->team != end->team)
            e->team = QR_TEAM_SEVERAL;
        return;
    }
    if (msg->n_ends == QR_MAX_RUN_ENDS)
        return;
    e = g_new(Qr__Fleet__RequestEnd, 1);
    qr__fleet__request_end__init(e);
    e->engine = end->engine_hash;
    e->born_ms = end->born_ms;
    e->sent_ago_ms = age_ms(now_ms, end->sent_ms);
    e->ended_ago_ms = age_ms(now_ms, end->ended_ms);
    e->team = end->team;
    msg->ends[msg->n_ends++] = e;
}

static void send_messages(QRPeerConn *peer, const QRRequestMessages *m)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Requests list = QR__FLEET__REQUESTS__INIT;

    list.words = (Qr__Fleet__RequestWord **)m->requests->pdata;
    list.n_words = m->requests->len;
    list.parts = (Qr__Fleet__RequestWord **)m->parts->pdata;
    list.n_parts = m->parts->len;
    frame.body_case = QR__FLEET__FRAME__BODY_REQUESTS;
    frame.requests = &list;
    qr_peer_send(peer, &frame);
}

void qr_requests_broadcast(QRGateway *g, const QRRequestMessages *m)
{
    if (m->requests->len + m->parts->len == 0)
        return;
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->subscribers->pdata[i]);

        if (to && strcmp(to->role, QR_ROLE_GATEWAY) == 0)
            send_messages(g->subscribers->pdata[i], m);
    }
}

void qr_requests_relay(QRGateway *g, const QRFleetMember *from,
                       const Qr__Fleet__Requests *list)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    bool is_local = qr_gateway_is_same_region(g, from);

    if (!qr_gateway_relays_between_regions(g, qr_gateway_now(g)))
        return;
    frame.body_case = QR__FLEET__FRAME__BODY_REQUESTS;
    frame.requests = (Qr__Fleet__Requests *)list;
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->subscribers->pdata[i]);

        if (to && strcmp(to->role, QR_ROLE_GATEWAY) == 0 &&
            qr_gateway_is_same_region(g, to) != is_local)
            qr_peer_send(g->subscribers->pdata[i], &frame);
    }
}

void qr_requests_broadcast_trial(QRGateway *g, const QRSuspect *s, bool over)
{
    g_auto(QRRequestMessages) messages = {0};
    Qr__Fleet__RequestWord *msg;

    qr_request_messages_init(&messages);
    msg = qr_request_message_add(&messages, &s->fingerprint);
    msg->over = over;
    msg->under_way_ms = over ? 0 : TRIAL_LEASE_MS;
    qr_requests_broadcast(g, &messages);
}

void qr_requests_broadcast_answered(QRGateway *g)
{
    GArray *cleared = g->requests.cleared;
    g_auto(QRRequestMessages) messages = {0};

    qr_request_messages_init(&messages);
    for (unsigned i = 0; i < cleared->len; i++) {
        const QRFingerprint *f = &g_array_index(cleared, QRFingerprint, i);
        const QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);

        if (s && s->answered_ms)
            qr_request_message_add(&messages, f)->answered_ago_ms =
                1 + age_ms(qr_gateway_now(g), s->answered_ms);
    }
    g_array_set_size(cleared, 0);
    qr_requests_broadcast(g, &messages);
}

void qr_request_messages_add_suspect(QRRequestMessages *m, const QRSuspect *s,
                                     uint64_t now_ms)
{
    Qr__Fleet__RequestWord *msg = qr_request_message_add(m, &s->fingerprint);

    for (unsigned i = 0; i < s->ends.count; i++)
        qr_request_message_add_end(msg, &s->ends.rows[i], now_ms);
    msg->held_ms =
        s->held_until_ms > now_ms ? (uint32_t)(s->held_until_ms - now_ms) : 0;
    msg->holds = s->hold_count;
    msg->team = s->team;
    msg->stored = s->stored;
    msg->stored_epoch = s->stored_epoch;
}

void qr_requests_report_held(QRGateway *g)
{
    uint64_t now = qr_gateway_now(g);
    g_auto(QRRequestMessages) messages = {0};
    QRSuspect *s;

    qr_request_messages_init(&messages);
    while ((s = qr_suspects_next_unreported(&g->requests.suspects))) {
        char text[QR_FINGERPRINT_TEXT];
        bool own = qr_suspect_last_end_is_local(s);

        qr_fingerprint_text(&s->fingerprint, text);
        qr_relay_count(g, QR_COUNTER_requests_held);
        qr_logf(QR_LEVEL_WARN, "requests",
                "held request=%s for_ms=%" G_GUINT64_FORMAT
                " times=%u engines_ended=%u seen_here=%d",
                text, s->held_until_ms - now, s->hold_count, s->ends.total,
                own);
        qr_requests_schedule_write(g, s);
        if (own)
            qr_request_messages_add_suspect(&messages, s, now);
    }
    qr_requests_broadcast(g, &messages);
}

static void add_known(const QRSuspects *t, bool held, uint64_t now_ms,
                      QRRequestMessages *m)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->rows);
    while (m->requests->len + m->parts->len < MAX_INITIAL_MESSAGES &&
           g_hash_table_iter_next(&it, NULL, &value)) {
        const QRSuspect *s = value;

        if ((s->hold_count > 0) == held && (held || qr_suspect_tries(s) > 0))
            qr_request_messages_add_suspect(m, s, now_ms);
    }
}

void qr_requests_send_known(QRGateway *g, QRPeerConn *peer)
{
    uint64_t now = qr_gateway_now(g);
    g_auto(QRRequestMessages) messages = {0};

    qr_request_messages_init(&messages);
    add_known(&g->requests.suspects, true, now, &messages);
    add_known(&g->requests.suspects, false, now, &messages);
    if (messages.requests->len + messages.parts->len > 0)
        send_messages(peer, &messages);
}

/* Whether an answer is known that is newer than all ends in the message. */
static bool is_outdated(const QRSuspect *s, const Qr__Fleet__RequestWord *msg,
                        uint64_t msg_sent_ms)
{
    uint64_t newest = 0;

    for (size_t i = 0; i < msg->n_ends; i++)
        newest = MAX(newest, msg_sent_ms -
                                 MIN(msg_sent_ms, msg->ends[i]->ended_ago_ms));
    return s && s->answered_ms > 0 && s->answered_ms >= newest;
}

static void receive_hold(QRGateway *g, const QRFingerprint *f,
                         const Qr__Fleet__RequestWord *msg,
                         uint64_t msg_sent_ms)
{
    QRSuspects *t = &g->requests.suspects;
    QRSuspect *s = qr_suspects_get(t, f);
    uint64_t now = qr_gateway_now(g);
    char text[QR_FINGERPRINT_TEXT];
    bool was_held = s && qr_suspect_is_held(s, now);
    QRHold hold = {msg_sent_ms + msg->held_ms, msg->holds, msg->team};

    /* the sender does not know of the answer yet */
    if (is_outdated(s, msg, msg_sent_ms)) {
        g_array_append_val(g->requests.cleared, *f);
        return;
    }
    qr_suspects_hold(t, f, &hold, now);
    qr_fingerprint_text(f, text);
    if (!was_held)
        qr_logf(QR_LEVEL_WARN, "requests",
                "peer reports held request=%s for_ms=%u times=%u stored=%d",
                text, msg->held_ms, msg->holds, msg->stored);
}

static void receive_ends(QRGateway *g, const QRFingerprint *f,
                         const Qr__Fleet__RequestWord *msg,
                         uint64_t msg_sent_ms)
{
    for (size_t i = 0; i < msg->n_ends; i++) {
        const Qr__Fleet__RequestEnd *e = msg->ends[i];
        QRRunEnd end = {e->engine, e->born_ms,
                        msg_sent_ms - MIN(msg_sent_ms, e->sent_ago_ms),
                        msg_sent_ms - MIN(msg_sent_ms, e->ended_ago_ms),
                        e->team};

        qr_suspects_add_end(&g->requests.suspects, f, &end, qr_gateway_now(g));
    }
}

/* Ignores writes of an earlier epoch of the store, which may be lost. */
static void receive_stored(QRSuspect *s, uint64_t epoch, uint64_t own_epoch)
{
    if (epoch < own_epoch)
        return;
    s->stored = true;
    s->stored_epoch = epoch;
    s->write_due_ms = 0;
}

/* 'msg_sent_ms': the earliest time at which the message can have been sent. */
static void receive_message(QRGateway *g, const Qr__Fleet__RequestWord *msg,
                            QRFingerprintKind kind, uint64_t msg_sent_ms)
{
    QRSuspects *t = &g->requests.suspects;
    QRFingerprint f = {{0}, kind};
    QRSuspect *s;

    if (msg->fingerprint.len != sizeof(f.bytes))
        return;
    memcpy(f.bytes, msg->fingerprint.data, sizeof(f.bytes));
    receive_ends(g, &f, msg, msg_sent_ms);
    if (msg->holds > 0)
        receive_hold(g, &f, msg, msg_sent_ms);
    if (msg->answered_ago_ms > 0)
        qr_suspects_note_answer(
            t, &f, msg_sent_ms - MIN(msg_sent_ms, msg->answered_ago_ms));
    s = qr_suspects_get(t, &f);
    if (s && msg->stored && s->hold_count == msg->holds)
        receive_stored(s,
                       msg->stored_epoch ? msg->stored_epoch : g->store_epoch,
                       g->store_epoch);
    if (s && msg->under_way_ms > 0)
        s->remote_trial_until_ms =
            MAX(s->remote_trial_until_ms, msg_sent_ms + msg->under_way_ms);
    if (s && msg->over)
        s->remote_trial_until_ms = 0;
}

/* Returns whether the messages report engine ends. */
static bool receive_list(QRGateway *g, Qr__Fleet__RequestWord **list, size_t n,
                         QRFingerprintKind kind)
{
    uint64_t msg_sent_ms = qr_gateway_earliest_send_ms(g);
    bool ends = false;

    for (size_t i = 0; i < n; i++) {
        receive_message(g, list[i], kind, msg_sent_ms);
        ends |= list[i]->n_ends > 0;
    }
    return ends;
}

void qr_requests_receive(QRGateway *g, const Qr__Fleet__Requests *list)
{
    bool ends =
        receive_list(g, list->words, list->n_words, QR_FINGERPRINT_REQUEST);

    ends |= receive_list(g, list->parts, list->n_parts, QR_FINGERPRINT_PART);
    g->requests.long_lists += list->n_parts >= QR_MAX_NEW_PARTS;
    if (ends)
        qr_relay_join_trials(g);
}
