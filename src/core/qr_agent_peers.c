/*
 * The agent's connections to entries: registration, heartbeats, frames.
 */
#include "qr_agent.h"

#include <string.h>

#define ENTRIES_MAX 1024
/* A registration that is not in the log by then is appended again. */
#define REGISTER_AGAIN_MS 2000

void qr_agent_entry_free(void *p)
{
    QRAgentEntry *e = p;

    g_free(e->address);
    g_free(e->grant_intent);
    g_free(e);
}

static QRAgentEntry *agent_entry(const QRAgent *s, const char *address)
{
    for (unsigned i = 0; i < s->entries->len; i++) {
        QRAgentEntry *e = s->entries->pdata[i];

        if (strcmp(e->address, address) == 0)
            return e;
    }
    return NULL;
}

QRAgentEntry *qr_agent_entry_of_conn(const QRAgent *s, QRHandle conn)
{
    for (unsigned i = 0; i < s->entries->len; i++) {
        QRAgentEntry *e = s->entries->pdata[i];

        if (e->conn == conn)
            return e;
    }
    return NULL;
}

static void agent_add_entry(QRAgent *s, const char *address)
{
    QRAgentEntry *e = agent_entry(s, address);

    if (!e && s->entries->len < ENTRIES_MAX) {
        e = g_new0(QRAgentEntry, 1);
        e->address = g_strdup(address);
        e->grant_intent = g_strdup("");
        g_ptr_array_add(s->entries, e);
    }
    if (e)
        e->listed = true;
}

static void agent_hello(QRAgent *s, QRHandle conn, QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__Hello m = QR__HELLO__INIT;

    m.host = s->set->host;
    m.incarnation = s->incarnation;
    m.role = "agent";
    m.availability_zone = s->set->availability_zone;
    m.service = s->set->service;
    m.address = s->set->listen;
    frame.body_case = QR__FRAME__BODY_HELLO;
    frame.hello = &m;
    qr_effect_send(out, conn, &frame);
}

/* What a plain service serves, in place of a manifest. */
#define PLAIN_VERSION "plain"

static void agent_heartbeat_to(QRAgent *s, const QRAgentEntry *e,
                               QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__Heartbeat m = QR__HEARTBEAT__INIT;

    m.manifest = qr_agent_is_engine(s) ? s->active : PLAIN_VERSION;
    m.target = s->target;
    m.in_flight = s->runs.count;
    m.handed_on = e->handed_on;
    m.slots = (uint32_t)s->set->slots;
    m.chunks_have = s->fetch ? s->fetch->have : 0;
    m.chunks_total = s->fetch ? s->fetch->n : 0;
    m.stage = s->stage;
    m.leaving = qr_agent_leaving(s);
    m.revision = s->config->revision;
    m.why = s->why;
    m.origin_bytes = s->count[QR_AGENT_COUNT_origin_bytes];
    frame.body_case = QR__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &m;
    qr_effect_send(out, e->conn, &frame);
}

void qr_agent_heartbeat(QRAgent *s, QREffects *out)
{
    for (unsigned i = 0; i < s->entries->len; i++) {
        QRAgentEntry *e = s->entries->pdata[i];

        if (e->conn != QR_HANDLE_NONE)
            agent_heartbeat_to(s, e, out);
    }
}

void qr_agent_opened(QRAgent *s, const QREvent *ev, QREffects *out)
{
    QRAgentEntry *e = ev->text ? agent_entry(s, ev->text) : NULL;

    if (!e) {
        qr_agent_bulk_opened(s, ev, out);
        return;
    }
    e->conn = ev->ref;
    e->dialling = false;
    e->opened_ms = s->now_ms;
    agent_hello(s, e->conn, out);
    agent_heartbeat_to(s, e, out);
}

void qr_agent_closed(QRAgent *s, const QREvent *ev, QREffects *out)
{
    QRAgentEntry *e = ev->text ? agent_entry(s, ev->text) : NULL;

    if (!e) {
        qr_agent_bulk_closed(s, ev, out);
        return;
    }
    e->dialling = false;
    if (ev->ref == QR_HANDLE_NONE || e->conn != ev->ref)
        return;
    e->conn = QR_HANDLE_NONE;
    e->handed_on = 0;
    qr_agent_calls_lost(s, ev->ref, out);
}

static void agent_on_reply(QRAgent *s, const QREvent *ev, QREffects *out)
{
    const Qr__HeartbeatReply *m = ev->frame->heartbeat_reply;
    QRAgentEntry *e = qr_agent_entry_of_conn(s, ev->ref);

    (void)out;
    if (!e)
        return;
    e->replied_ms = s->now_ms;
    e->in_step = m->in_step;
    e->grant_revision = 0;
    if (m->n_grants > 0) {
        qr_agent_set_text(&e->grant_intent, m->grants[0]->intent);
        e->grant_revision = m->grants[0]->revision;
        e->grant_wave = m->grants[0]->wave;
    }
}

static void agent_on_state(QRAgent *s, const QREvent *ev, QREffects *out)
{
    const Qr__State *m = ev->frame->state;
    g_auto(QRFindings) f = {0};
    QRConfig *c;

    if (m->revision <= s->config->revision)
        return;
    qr_findings_init(&f, "state");
    c = qr_config_from_snapshot((const char *)m->snapshot.data, m->snapshot.len,
                                &f);
    if (!c || c->revision <= s->config->revision) {
        s->count[QR_AGENT_COUNT_bad_frames]++;
        qr_config_free(c);
        return;
    }
    qr_config_free(s->config);
    s->config = c;
    qr_agent_heartbeat(s, out); /* who sent it learns that it is here */
}

static void agent_on_records(QRAgent *s, const QREvent *ev, QREffects *out)
{
    const Qr__Records *m = ev->frame->records;
    uint64_t before = s->config->revision;

    for (size_t i = 0; i < m->n_record; i++) {
        if (m->from + i > s->config->revision &&
            qr_config_apply(s->config, m->from + i,
                            (const char *)m->record[i].data, m->record[i].len))
            break; /* some are missing between: the state will come */
    }
    if (s->config->revision != before)
        qr_agent_heartbeat(s, out);
}

static void agent_on_call(QRAgent *s, const QREvent *ev, QREffects *out)
{
    qr_agent_call_start(s, ev->ref, ev->frame->call_start, out);
}

static void agent_on_cancel(QRAgent *s, const QREvent *ev, QREffects *out)
{
    qr_agent_call_cancel(s, ev->ref, ev->frame->call_cancel, out);
}

static void agent_on_want(QRAgent *s, const QREvent *ev, QREffects *out)
{
    qr_agent_chunk_want(s, ev->ref, ev->frame->chunk_want, out);
}

/* Frames that an agent takes; DEF(body, handler). */
#define AGENT_FRAMES                                                           \
    DEF(HEARTBEAT_REPLY, agent_on_reply)                                       \
    DEF(RECORDS, agent_on_records)                                             \
    DEF(STATE, agent_on_state)                                                 \
    DEF(CALL_START, agent_on_call)                                             \
    DEF(CALL_CANCEL, agent_on_cancel)                                          \
    DEF(CHUNK_WANT, agent_on_want)                                             \
    DEF(CHUNK_GIVE, qr_agent_chunk_give)

void qr_agent_frame(QRAgent *s, const QREvent *ev, QREffects *out)
{
    switch (ev->frame->body_case) {
#define DEF(body, handler)                                                     \
    case QR__FRAME__BODY_##body:                                               \
        handler(s, ev, out);                                                   \
        break;
        AGENT_FRAMES
#undef DEF
    case QR__FRAME__BODY_HELLO:
        break; /* another agent, or an entry that dialled us by mistake */
    default:
        s->count[QR_AGENT_COUNT_bad_frames]++;
    }
}

void qr_agent_hosts(QRAgent *s, const QREvent *ev, QREffects *out)
{
    bool leaving = qr_agent_leaving(s);

    s->hosts_reading = false;
    s->hosts_next_ms = s->now_ms + (uint64_t)s->set->hosts_poll_ms;
    if (!ev->ok)
        return; /* the last list stays */
    s->hosts_known = true;
    for (unsigned i = 0; i < s->entries->len; i++)
        ((QRAgentEntry *)s->entries->pdata[i])->listed = false;
    for (unsigned i = 0; i < ev->hosts->len; i++) {
        const QRHost *h = ev->hosts->pdata[i];

        if (strcmp(h->role, "entry") == 0)
            agent_add_entry(s, h->address);
        else if (strcmp(h->host, s->set->host) == 0)
            s->listed_leaving = h->leaving;
    }
    if (leaving != qr_agent_leaving(s))
        qr_agent_heartbeat(s, out);
}

static void agent_dial(QRAgent *s, QRAgentEntry *e, QREffects *out)
{
    if (e->conn != QR_HANDLE_NONE || e->dialling)
        return;
    if (!e->listed && s->hosts_known)
        return;
    e->dialling = true;
    qr_effect_text(out, QR_EFFECT_DIAL, QR_HANDLE_NONE, e->address)->status =
        QR_LANE_CONTROL;
}

/* An entry that does not reply for long is frozen or cut off. */
static void agent_hang_up(QRAgent *s, const QRAgentEntry *e, QREffects *out)
{
    uint64_t since = MAX(e->replied_ms, e->opened_ms);

    if (e->conn != QR_HANDLE_NONE &&
        s->now_ms - since > 2 * (uint64_t)s->set->lease_ms)
        qr_effect(out, QR_EFFECT_CLOSE, e->conn);
}

static bool agent_entry_in_step(const QRAgent *s)
{
    for (unsigned i = 0; i < s->entries->len; i++) {
        const QRAgentEntry *e = s->entries->pdata[i];

        if (e->conn != QR_HANDLE_NONE && e->in_step)
            return true;
    }
    return false;
}

/*
 * Makes sure that the log knows this incarnation, once an entry follows the
 * log: registrations that nobody folds would push the last snapshot out. One
 * that was retired while we were away is given up for a new one.
 */
static void agent_register(QRAgent *s, QREffects *out)
{
    const QRMember *known = qr_config_member(s->config, s->incarnation);
    const QRMember *now = qr_config_member_of_host(s->config, s->set->host);
    g_autofree char *text = NULL;
    QRMember m = {0};

    if (qr_agent_member(s) || s->now_ms < s->register_next_ms ||
        s->stop_at_ms || !agent_entry_in_step(s))
        return;
    if (known && now) {
        /* the host's one slot has gone to a later process */
        qr_effect_log(out, QR_LEVEL_WARN, "agent",
                      "%s has taken this host over. Leaving.",
                      now->incarnation);
        s->stop_at_ms = s->now_ms;
        return;
    }
    s->register_next_ms = s->now_ms + REGISTER_AGAIN_MS;
    if (known) {
        g_free(s->incarnation);
        s->incarnation = g_strdup_printf("%s.%u", s->start_name, ++s->renewals);
        for (unsigned i = 0; i < s->entries->len; i++) {
            QRAgentEntry *e = s->entries->pdata[i];

            if (e->conn != QR_HANDLE_NONE)
                agent_hello(s, e->conn, out);
        }
    }
    m.host = s->set->host;
    m.incarnation = s->incarnation;
    m.service = s->set->service;
    m.availability_zone = s->set->availability_zone;
    m.address = s->set->listen;
    m.slots = s->set->slots;
    text = qr_record_register(&m);
    qr_effect_text(out, QR_EFFECT_APPEND, QR_HANDLE_NONE, text);
}

void qr_agent_peers_tick(QRAgent *s, QREffects *out)
{
    if (!s->hosts_reading && s->now_ms >= s->hosts_next_ms) {
        s->hosts_reading = true;
        qr_effect(out, QR_EFFECT_READ_HOSTS, QR_HANDLE_NONE);
    }
    for (unsigned i = 0; !s->hosts_known && i < s->set->entries->len; i++)
        agent_add_entry(s, s->set->entries->pdata[i]);
    agent_register(s, out);
    if (s->now_ms < s->heartbeat_next_ms)
        return;
    s->heartbeat_next_ms = s->now_ms + (uint64_t)s->set->heartbeat_ms;
    for (unsigned i = 0; i < s->entries->len; i++) {
        agent_hang_up(s, s->entries->pdata[i], out);
        agent_dial(s, s->entries->pdata[i], out);
    }
    qr_agent_heartbeat(s, out);
}
