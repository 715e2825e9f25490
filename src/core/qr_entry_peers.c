/*
 * The entry's connections: agents that dial it, and other entries.
 */
#include "qr_entry.h"
#include "qr_rollout.h"

#include <string.h>

#define BACKENDS_MAX 4096
#define PEERS_MAX 1024

void qr_backend_free(void *p)
{
    QRBackend *b = p;

    g_free(b->host);
    g_free(b->incarnation);
    g_free(b->service);
    g_free(b->availability_zone);
    g_free(b->address);
    g_free(b->manifest);
    g_free(b->target);
    g_free(b->why);
    g_free(b);
}

void qr_peer_free(void *p)
{
    QRPeer *e = p;

    g_free(e->host);
    g_free(e->address);
    g_free(e->caller_address);
    g_free(e->availability_zone);
    g_free(e);
}

static void entry_set(char **to, const char *text)
{
    if (g_strcmp0(*to, text) != 0) {
        g_free(*to);
        *to = g_strdup(text);
    }
}

static QRPeer *entry_peer_by_address(QREntry *s, const char *address)
{
    for (unsigned i = 0; i < s->peers->len; i++) {
        QRPeer *e = s->peers->pdata[i];

        if (strcmp(e->address, address) == 0)
            return e;
    }
    return NULL;
}

static QRPeer *entry_peer_by_conn(QREntry *s, QRHandle conn)
{
    for (unsigned i = 0; i < s->peers->len; i++) {
        QRPeer *e = s->peers->pdata[i];

        if (e->conn == conn || e->in_conn == conn)
            return e;
    }
    return NULL;
}

/* Finds or makes the row of the entry at 'address'; NULL for ourselves. */
static QRPeer *entry_peer(QREntry *s, const char *address)
{
    QRPeer *e = entry_peer_by_address(s, address);

    if (e || strcmp(address, s->set->listen) == 0 || s->peers->len >= PEERS_MAX)
        return e;
    e = g_new0(QRPeer, 1);
    e->address = g_strdup(address);
    e->host = g_strdup("");
    e->caller_address = g_strdup("");
    e->availability_zone = g_strdup("");
    g_ptr_array_add(s->peers, e);
    return e;
}

static void entry_hello(QREntry *s, QRHandle conn, QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__Hello m = QR__HELLO__INIT;

    m.host = s->set->host;
    m.role = "entry";
    m.availability_zone = s->set->availability_zone;
    m.address = s->set->listen;
    m.caller_address = s->set->callers;
    frame.body_case = QR__FRAME__BODY_HELLO;
    frame.hello = &m;
    qr_effect_send(out, conn, &frame);
}

static void entry_announce(QREntry *s, QRPeer *e, QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__PeerInfo m = QR__PEER_INFO__INIT;

    m.revision = s->config->revision;
    m.leaving = s->stop_at_ms != 0;
    frame.body_case = QR__FRAME__BODY_PEER_INFO;
    frame.peer_info = &m;
    qr_effect_send(out, e->conn, &frame);
}

void qr_entry_opened(QREntry *s, const QREvent *ev, QREffects *out)
{
    QRPeer *e = ev->text ? entry_peer_by_address(s, ev->text) : NULL;

    if (!e)
        return; /* it was accepted: a Hello will say whose it is */
    e->conn = ev->ref;
    e->dialling = false;
    e->sent = (QRSentState){0};
    entry_hello(s, ev->ref, out);
    entry_announce(s, e, out);
}

void qr_entry_closed(QREntry *s, const QREvent *ev, QREffects *out)
{
    QRPeer *e = ev->text ? entry_peer_by_address(s, ev->text) : NULL;
    QRBackend *b = NULL;

    if (e)
        e->dialling = false;
    if (ev->ref == QR_HANDLE_NONE)
        return; /* a dial that failed */
    e = entry_peer_by_conn(s, ev->ref);
    if (e && e->conn == ev->ref)
        e->conn = QR_HANDLE_NONE;
    if (e && e->in_conn == ev->ref)
        e->in_conn = QR_HANDLE_NONE;
    if (!e)
        b = qr_entry_backend_of_conn(s, ev->ref);
    if (b) {
        b->conn = QR_HANDLE_NONE;
        qr_effect_log(out, QR_LEVEL_WARN, "entry", "Agent %s is gone.",
                      b->host);
        qr_entry_calls_lost(s, b, out);
    }
}

static void entry_hello_agent(QREntry *s, const Qr__Hello *m, QRHandle conn,
                              QREffects *out)
{
    QRBackend *b = qr_entry_backend(s, m->host);

    if (!b) {
        if (s->backends->len >= BACKENDS_MAX) {
            qr_effect(out, QR_EFFECT_CLOSE, conn);
            return;
        }
        b = g_new0(QRBackend, 1);
        b->host = g_strdup(m->host);
        b->manifest = g_strdup("");
        b->target = g_strdup("");
        b->why = g_strdup("");
        g_ptr_array_add(s->backends, b);
        g_hash_table_insert(s->backend_by_host, b->host, b);
    }
    if (b->conn != QR_HANDLE_NONE && b->conn != conn) {
        const QRMember *known = qr_config_member(s->config, m->incarnation);
        QRHandle old = b->conn;

        if (known && known->retired != 0) {
            /* an earlier process that woke up: the host is another's now */
            qr_effect(out, QR_EFFECT_CLOSE, conn);
            return;
        }
        b->conn = QR_HANDLE_NONE;
        qr_entry_calls_lost(s, b, out);
        qr_effect(out, QR_EFFECT_CLOSE, old);
    }
    entry_set(&b->incarnation, m->incarnation);
    entry_set(&b->service, m->service);
    entry_set(&b->availability_zone, m->availability_zone);
    entry_set(&b->address, m->address);
    entry_set(&b->manifest, "");
    b->conn = conn;
    b->heard_ms = 0; /* a heartbeat must say that it is ready */
    b->revision = 0;
    b->sent = (QRSentState){0};
    b->leaving = false;
    b->listed_leaving = g_hash_table_contains(s->listed_leaving, b->host);
    b->full_until_ms = 0;
    qr_effect_log(out, QR_LEVEL_INFO, "entry", "Agent %s is here.", b->host);
}

static void entry_on_hello(QREntry *s, QRHandle conn, const Qr__Frame *frame,
                           QREffects *out)
{
    const Qr__Hello *m = frame->hello;
    QRPeer *e;

    if (!qr_name_ok(m->host) || !qr_address_ok(m->address)) {
        s->count[QR_ENTRY_COUNT_bad_frames]++;
        qr_effect(out, QR_EFFECT_CLOSE, conn);
        return;
    }
    if (strcmp(m->role, "agent") == 0) {
        entry_hello_agent(s, m, conn, out);
        return;
    }
    e = entry_peer(s, m->address);
    if (!e)
        return;
    e->in_conn = conn;
    entry_set(&e->host, m->host);
    entry_set(&e->caller_address, m->caller_address);
    entry_set(&e->availability_zone, m->availability_zone);
}

static void entry_views(const QREntry *s, const QRIntent *in, QRHostView *views)
{
    bool settled = s->now_ms - s->started_ms > 2 * (uint64_t)s->set->lease_ms;

    for (unsigned i = 0; i < in->hosts->len; i++) {
        const QRBackend *b = qr_entry_backend(s, in->hosts->pdata[i]);
        const QRMember *m =
            qr_config_member_of_host(s->config, in->hosts->pdata[i]);
        QRHostView *v = &views[i];

        *v = (QRHostView){.manifest = "", .why = ""};
        v->slots = m ? m->slots : 0;
        if (!b || b->heard_ms == 0) {
            v->unknown = !settled;
            v->away = settled;
            continue;
        }
        v->away = !qr_backend_alive(s, b) || b->leaving || b->listed_leaving;
        v->manifest = b->manifest;
        v->stage = b->stage;
        v->why = b->why;
    }
}

void qr_entry_rollout_free(void *p)
{
    QREntryRollout *e = p;

    g_free(e->intent);
    qr_rollout_clear(&e->r);
    g_free(e);
}

static QREntryRollout *entry_rollout_row(QREntry *s, const char *intent)
{
    QREntryRollout *e;

    for (unsigned i = 0; i < s->rollouts->len; i++) {
        e = s->rollouts->pdata[i];
        if (strcmp(e->intent, intent) == 0)
            return e;
    }
    e = g_new0(QREntryRollout, 1);
    e->intent = g_strdup(intent);
    g_ptr_array_add(s->rollouts, e);
    return e;
}

const QRRollout *qr_entry_rollout(QREntry *s, const QRIntent *in)
{
    QREntryRollout *e = entry_rollout_row(s, in->name);
    g_autofree QRHostView *views = NULL;

    if (e->r.why && e->revision == in->revision &&
        s->now_ms - e->looked_ms < (uint64_t)s->set->tick_ms)
        return &e->r;
    views = g_new0(QRHostView, in->hosts->len);
    entry_views(s, in, views);
    qr_rollout_clear(&e->r);
    qr_rollout_look(in, views, &e->r);
    e->looked_ms = s->now_ms;
    e->revision = in->revision;
    return &e->r;
}

static void entry_heartbeat_reply(QREntry *s, const QRBackend *b,
                                  QREffects *out)
{
    const QRIntent *in = qr_config_intent_of_host(s->config, b->host);
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__HeartbeatReply m = QR__HEARTBEAT_REPLY__INIT;
    Qr__Grant grant = QR__GRANT__INIT;
    Qr__Grant *grants[] = {&grant};
    const QRRollout *r;
    int wave;

    m.revision = s->config->revision;
    m.in_step = s->in_step;
    if (in && qr_intent_is_engine(in)) {
        r = qr_entry_rollout(s, in);
        wave = qr_rollout_grant(in, r, b->manifest, b->host);
        if (wave >= 0) {
            grant.intent = in->name;
            grant.revision = in->revision;
            grant.wave = (uint32_t)wave;
            m.n_grants = 1;
            m.grants = grants;
        }
    }
    frame.body_case = QR__FRAME__BODY_HEARTBEAT_REPLY;
    frame.heartbeat_reply = &m;
    qr_effect_send(out, b->conn, &frame);
}

static void entry_on_heartbeat(QREntry *s, QRHandle conn,
                               const Qr__Frame *frame, QREffects *out)
{
    const Qr__Heartbeat *m = frame->heartbeat;
    QRBackend *b = qr_entry_backend_of_conn(s, conn);

    if (!b)
        return;
    b->heard_ms = s->now_ms;
    b->in_flight = m->in_flight;
    b->handed_on = m->handed_on;
    b->slots = m->slots;
    b->chunks_have = m->chunks_have;
    b->chunks_total = m->chunks_total;
    b->stage = m->stage;
    b->leaving = m->leaving;
    b->revision = m->revision;
    b->origin_bytes = m->origin_bytes;
    entry_set(&b->manifest, m->manifest);
    entry_set(&b->target, m->target);
    entry_set(&b->why, m->why);
    entry_heartbeat_reply(s, b, out);
    qr_entry_dispatch(s, out);
}

static void entry_on_state(QREntry *s, QRHandle conn, const Qr__Frame *frame,
                           QREffects *out)
{
    const Qr__State *m = frame->state;
    g_auto(QRFindings) f = {0};
    QRConfig *c;

    (void)conn;
    if (m->revision <= s->config->revision)
        return;
    qr_findings_init(&f, "state");
    c = qr_config_from_snapshot((const char *)m->snapshot.data, m->snapshot.len,
                                &f);
    if (!c) {
        s->count[QR_ENTRY_COUNT_bad_frames]++;
        return;
    }
    s->count[QR_ENTRY_COUNT_state_taken]++;
    qr_entry_take_config(s, c, out);
}

static void entry_on_records(QREntry *s, QRHandle conn, const Qr__Frame *frame,
                             QREffects *out)
{
    const Qr__Records *m = frame->records;
    uint64_t before = s->config->revision;

    (void)conn;
    for (size_t i = 0; i < m->n_record; i++) {
        g_autoptr(GBytes) b = g_bytes_new(m->record[i].data, m->record[i].len);

        if (m->from + i > s->config->revision &&
            !qr_entry_apply(s, m->from + i, b))
            break; /* some are missing between */
    }
    if (s->config->revision != before)
        qr_entry_moved(s, out);
}

static void entry_on_peer_info(QREntry *s, QRHandle conn,
                               const Qr__Frame *frame, QREffects *out)
{
    QRPeer *e = entry_peer_by_conn(s, conn);
    bool left;

    if (!e)
        return;
    left = e->leaving;
    e->leaving = frame->peer_info->leaving;
    e->revision = frame->peer_info->revision;
    if (left != e->leaving)
        qr_entry_publish(s, out);
    qr_entry_spread(s, out);
}

static void entry_on_refused(QREntry *s, QRHandle conn, const Qr__Frame *frame,
                             QREffects *out)
{
    QRBackend *b = qr_entry_backend_of_conn(s, conn);

    if (b)
        qr_entry_call_refused(s, b, frame->call_refused, out);
}

static void entry_on_data(QREntry *s, QRHandle conn, const Qr__Frame *frame,
                          QREffects *out)
{
    QRBackend *b = qr_entry_backend_of_conn(s, conn);

    if (b)
        qr_entry_call_data(s, b, frame->call_data, out);
}

static void entry_on_end(QREntry *s, QRHandle conn, const Qr__Frame *frame,
                         QREffects *out)
{
    QRBackend *b = qr_entry_backend_of_conn(s, conn);

    if (b)
        qr_entry_call_end(s, b, frame->call_end, out);
}

/* Frames that an entry takes; DEF(body, handler). */
#define ENTRY_FRAMES                                                           \
    DEF(HELLO, entry_on_hello)                                                 \
    DEF(HEARTBEAT, entry_on_heartbeat)                                         \
    DEF(RECORDS, entry_on_records)                                             \
    DEF(STATE, entry_on_state)                                                 \
    DEF(PEER_INFO, entry_on_peer_info)                                         \
    DEF(CALL_REFUSED, entry_on_refused)                                        \
    DEF(CALL_DATA, entry_on_data)                                              \
    DEF(CALL_END, entry_on_end)

void qr_entry_frame(QREntry *s, const QREvent *ev, QREffects *out)
{
    s->count[QR_ENTRY_COUNT_frames_in]++;
    switch (ev->frame->body_case) {
#define DEF(body, handler)                                                     \
    case QR__FRAME__BODY_##body:                                               \
        handler(s, ev->ref, ev->frame, out);                                   \
        break;
        ENTRY_FRAMES
#undef DEF
    default:
        s->count[QR_ENTRY_COUNT_bad_frames]++;
    }
}

static void entry_take_host(QREntry *s, const QRHost *h)
{
    QRBackend *b;
    QRPeer *e;

    if (strcmp(h->role, "entry") != 0) {
        if (h->leaving)
            g_hash_table_add(s->listed_leaving, g_strdup(h->host));
        b = qr_entry_backend(s, h->host);
        if (b)
            b->listed_leaving = h->leaving;
        return;
    }
    e = entry_peer(s, h->address);
    if (!e)
        return;
    entry_set(&e->host, h->host);
    entry_set(&e->caller_address, h->caller_address);
    entry_set(&e->availability_zone, h->availability_zone);
    e->listed = true;
    e->leaving = e->leaving || h->leaving;
}

void qr_entry_hosts(QREntry *s, const QREvent *ev, QREffects *out)
{
    s->hosts_reading = false;
    s->hosts_next_ms = s->now_ms + (uint64_t)s->set->hosts_poll_ms;
    if (!ev->ok)
        return; /* the last list stays */
    s->hosts_known = true;
    g_hash_table_remove_all(s->listed_leaving);
    for (unsigned i = 0; i < s->peers->len; i++)
        ((QRPeer *)s->peers->pdata[i])->listed = false;
    for (unsigned i = 0; i < ev->hosts->len; i++)
        entry_take_host(s, ev->hosts->pdata[i]);
    qr_entry_publish(s, out);
}

static void entry_dial(QREntry *s, QRPeer *e, QREffects *out)
{
    if (e->conn != QR_HANDLE_NONE || e->dialling)
        return;
    if (!e->listed && s->hosts_known)
        return;
    e->dialling = true;
    qr_effect_text(out, QR_EFFECT_DIAL, QR_HANDLE_NONE, e->address)->status =
        QR_LANE_CONTROL;
}

/*
 * An agent that is unheard for long and no longer on the host list is taken
 * out of the membership, so that new tickets name others. Each entry waits a
 * little longer than the one before it, so that mostly one asks.
 */
static void entry_retire(QREntry *s, QREffects *out)
{
    uint64_t turn = qr_hash_str(s->set->host, 0) % 8;
    uint64_t after = (uint64_t)s->set->retire_after_ms * (8 + turn) / 8;

    if (s->now_ms - s->started_ms < after)
        return;
    for (unsigned i = 0; i < s->config->members->len; i++) {
        const QRMember *m = s->config->members->pdata[i];
        const QRBackend *b = qr_entry_backend(s, m->host);
        uint64_t heard = b ? b->heard_ms : s->started_ms;
        uint64_t *asked;
        g_autofree char *text = NULL;

        if (m->retired != 0 || s->now_ms - heard < after)
            continue;
        asked = g_hash_table_lookup(s->retiring, m->incarnation);
        if (asked && s->now_ms - (uint64_t)(uintptr_t)asked < after)
            continue;
        g_hash_table_insert(s->retiring, g_strdup(m->incarnation),
                            (void *)(uintptr_t)s->now_ms);
        text = qr_record_retire(m->incarnation);
        qr_effect_text(out, QR_EFFECT_APPEND, QR_HANDLE_NONE, text);
        s->count[QR_ENTRY_COUNT_retired]++;
    }
}

void qr_entry_peers_tick(QREntry *s, QREffects *out)
{
    if (!s->hosts_reading && s->now_ms >= s->hosts_next_ms) {
        s->hosts_reading = true;
        qr_effect(out, QR_EFFECT_READ_HOSTS, QR_HANDLE_NONE);
    }
    for (unsigned i = 0; !s->hosts_known && i < s->set->entries->len; i++)
        entry_peer(s, s->set->entries->pdata[i]);
    if (s->now_ms >= s->publish_next_ms)
        qr_entry_publish(s, out);
    if (s->now_ms < s->announce_next_ms)
        return;
    s->announce_next_ms = s->now_ms + (uint64_t)s->set->heartbeat_ms;
    for (unsigned i = 0; i < s->peers->len; i++) {
        QRPeer *e = s->peers->pdata[i];

        entry_dial(s, e, out);
        if (e->conn != QR_HANDLE_NONE)
            entry_announce(s, e, out);
    }
    entry_retire(s, out);
    qr_entry_spread(s, out);
}

static json_object *entry_address(const char *address, const char *host,
                                  const char *zone)
{
    json_object *o = json_object_new_object();

    qr_json_str(o, "address", address);
    qr_json_str(o, "host", host);
    qr_json_str(o, "availability_zone", zone);
    return o;
}

void qr_entry_publish(QREntry *s, QREffects *out)
{
    g_autoptr(json_object) o = json_object_new_object();
    g_autofree char *text = NULL;
    json_object *a = json_object_new_array();
    g_autofree char *ticket = g_strdup_printf(
        "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, s->config->revision,
        s->wall_s + (uint64_t)s->set->ticket_life_s);

    for (unsigned i = 0; i < s->peers->len; i++) {
        const QRPeer *e = s->peers->pdata[i];

        if (e->conn != QR_HANDLE_NONE && !e->leaving && *e->caller_address)
            json_object_array_add(a, entry_address(e->caller_address, e->host,
                                                   e->availability_zone));
    }
    if (!s->stop_at_ms || json_object_array_length(a) == 0)
        json_object_array_add(a, entry_address(s->set->callers, s->set->host,
                                               s->set->availability_zone));
    qr_json_int(o, "revision", (int64_t)s->config->revision);
    qr_json_int(o, "valid_for_ms", s->set->address_valid_ms);
    qr_json_str(o, "ticket", ticket);
    qr_json_add(o, "addresses", a);
    text = qr_json_text(o);
    qr_effect_text(out, QR_EFFECT_PUBLISH, QR_HANDLE_NONE, text);
    s->publish_next_ms = s->now_ms + 1000;
}
