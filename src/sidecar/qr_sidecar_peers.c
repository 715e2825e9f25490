/*
 * Messages between a sidecar and gateways or other sidecars.
 */
#include "qr_sidecar.h"

#include <string.h>

#define STATE_INTERVAL_MS 1000 /* between reports of an unchanged engine */
/* For so long only a delegate of the own region is followed. Others are asked
   for the gateways of this region meanwhile. */
#define DELEGATE_WAIT_MS 1000
#define GATEWAYS_FETCH_MS                                                      \
    300 /* for the list and for hellos of gateways on it */
/* For the list of members of a newly followed gateway. One that has just
   started meets the others within a second. */
#define LIST_WAIT_MS 1500
#define FOLLOW_SEED 17

static void peer_fill_hello(void *owner, QRFrame *frame,
                            Qr__Fleet__Hello *hello)
{
    QRSidecar *s = owner;
    QRKnownVersions known = qr_operator_known_versions(&s->operator);

    (void)frame;
    hello->name = s->set->host;
    hello->role = (char *)QR_ROLE_SIDECAR;
    hello->address = s->set->peers;
    hello->availability_zone = s->set->availability_zone;
    hello->region = s->set->region;
    hello->service_address = s->set->engine;
    hello->service = s->set->service;
    hello->incarnation = s->incarnation;
    hello->policy_version = known.policy;
    hello->weights_revision = known.weights;
    hello->control_offset = known.offset;
    hello->follow = false;
    hello->reserves_slots = true;
}

static void mark_all_unconfirmed(QRSidecar *s)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, s->members.by_name);
    while (g_hash_table_iter_next(&it, NULL, &value))
        ((QRFleetMember *)value)->confirmed = false;
}

/*
 * Ends the listing of members that the followed gateway did not list. They were
 * kept until now, because a gateway that has just started knows few members:
 * their pieces would change owners twice, and be fetched again each time.
 */
static void drop_unconfirmed(QRSidecar *s, uint64_t now_ms)
{
    GHashTableIter it;
    void *value;

    if (s->members_asked_ms == 0 || now_ms < s->members_asked_ms + LIST_WAIT_MS)
        return;
    s->members_asked_ms = 0;
    g_hash_table_iter_init(&it, s->members.by_name);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRFleetMember *m = value;

        if (m->confirmed || !m->listed)
            continue;
        qr_logf(QR_LEVEL_INFO, "members", "not listed name=%s role=%s", m->name,
                m->role);
        m->listed = false;
        m->complete_version = 0;
    }
}

/* Asks a gateway to relay members and operator records to this sidecar. */
static void follow_gateway(QRSidecar *s, QRPeerConn *peer)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Hello hello = QR__FLEET__HELLO__INIT;

    peer_fill_hello(s, &frame, &hello);
    hello.follow = true;
    frame.body_case = QR__FLEET__FRAME__BODY_HELLO;
    frame.hello = &hello;
    s->followed_gateway = peer;
    qr_logf(QR_LEVEL_INFO, "members", "follows name=%s delegate=%d",
            ((const QRFleetMember *)qr_peer_data(peer))->name,
            ((const QRFleetMember *)qr_peer_data(peer))->delegate);
    qr_peer_set_liveness(peer, QR_PEER_RECEIVES);
    mark_all_unconfirmed(s); /* the gateway will send the list of members */
    s->members_asked_ms = qr_sidecar_now(s);
    qr_peer_send(peer, &frame);
}

static void fill_state(const QRSidecar *s, Qr__Fleet__EngineState *state)
{
    uint64_t ready_ms;

    state->engine_address = s->set->engine;
    state->model = s->model ? s->model : (char *)"";
    state->serving = s->report.version;
    state->held = qr_sidecar_held_version(s);
    state->switching = s->switching;
    state->slow_link = s->reported_slow_link;
    state->reachable = s->reachable;
    state->born_ms = s->report.born_ms;
    ready_ms = qr_sidecar_ready_in_ms(s, qr_sidecar_now(s));
    state->ready_ms = ready_ms ? (uint32_t)MIN(ready_ms + 1, G_MAXUINT32) : 0;
    state->name = s->set->host;
    state->pace_percent = (uint32_t)(s->report.pace * 100 + 0.5);
}

static void send_state(QRSidecar *s, QRPeerConn *peer)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__EngineState state = QR__FLEET__ENGINE_STATE__INIT;
    const QRFleetMember *member = qr_peer_data(peer);
    QRSlotLoad others;

    fill_state(s, &state);
    if (member) {
        others =
            qr_slots_held_by_others(&s->slots, member->name, qr_sidecar_now(s));
        state.others_open = others.open;
        state.others_reading = others.reading;
    }
    frame.body_case = QR__FLEET__FRAME__BODY_ENGINE_STATE;
    frame.engine_state = &state;
    qr_peer_send(peer, &frame);
}

void qr_sidecar_send_state(QRSidecar *s, bool changed)
{
    uint64_t now = qr_sidecar_now(s);
    bool slow = qr_link_is_slow(s, now);

    if (slow != s->reported_slow_link) {
        qr_logf(QR_LEVEL_INFO, "weights", "link %s window=%.0f",
                slow ? "slow" : "normal", s->piece_window);
        s->reported_slow_link = slow;
        if (slow)
            qr_upload_reject_queued(s);
        changed = true;
    }
    if (!s->report_ms ||
        (!changed && now < s->state_sent_ms + STATE_INTERVAL_MS))
        return;
    s->state_sent_ms = now;
    s->sent_pace = s->report.pace;
    for (unsigned i = 0; i < s->gateways->len; i++)
        send_state(s, s->gateways->pdata[i]);
}

static bool is_gateway(const QRFleetMember *m)
{
    return m && strcmp(m->role, QR_ROLE_GATEWAY) == 0;
}

static bool is_same_region(const QRSidecar *s, const QRFleetMember *m)
{
    return g_strcmp0(m->region, s->set->region) == 0;
}

static void dial_if_gateway(QRSidecar *s, const QRFleetMember *member)
{
    if (is_gateway(member))
        qr_peers_dial(s->peers, member->address);
}

static void peer_hello(QRSidecar *s, QRPeerConn *peer,
                       const Qr__Fleet__Hello *h)
{
    QRFleetMember *changed =
        qr_members_hello(&s->members, h, true, qr_sidecar_now(s));
    QRFleetMember *member = qr_members_get(&s->members, h->name);

    qr_peer_set_data(peer, member);
    qr_peer_set_cross_region(peer, g_strcmp0(h->region, s->set->region) != 0);
    if (member && !qr_peer_dialled(peer))
        qr_peer_close_older(peer);
    if (changed)
        dial_if_gateway(s, changed);
    /* a gateway of another region that has dialled asks for reports */
    if (!is_gateway(member) || (!qr_peer_dialled(peer) && !h->follow) ||
        g_ptr_array_find(s->gateways, peer, NULL))
        return;
    qr_logf(QR_LEVEL_INFO, "members", "gateway reached name=%s", member->name);
    g_ptr_array_add(s->gateways, peer);
    if (qr_peer_dialled(peer))
        qr_peer_set_liveness(peer, QR_PEER_SENDS);
    if (s->report_ms)
        send_state(s, peer);
}

/*
 * The followed gateway, not this sidecar's own connections, decides which
 * sidecars are eligible. All sidecars then see the same members and compute the
 * same ranks.
 */
static void member_listed(QRSidecar *s, const Qr__Fleet__Hello *h)
{
    QRFleetMember *m = qr_members_get(&s->members, h->name);

    if (!m)
        return;
    m->leaving = h->leaving;
    m->delegate = h->delegate;
    if (strcmp(h->name, s->set->host) == 0)
        return;
    if (m->listed == h->gone)
        qr_logf(QR_LEVEL_INFO, "members", "%s name=%s role=%s",
                h->gone ? "gone" : "listed", m->name, m->role);
    m->listed = m->confirmed = !h->gone;
    if (h->gone)
        m->complete_version = 0;
}

static void peer_members(QRSidecar *s, const Qr__Fleet__Members *list)
{
    for (size_t i = 0; i < list->n_members; i++) {
        const Qr__Fleet__Hello *h = list->members[i];
        const QRFleetMember *changed =
            qr_members_hello(&s->members, h, false, qr_sidecar_now(s));
        const QRFleetMember *known = qr_members_get(&s->members, h->name);

        /* its connection may have been closed while it was not listed */
        if (changed || (known && !qr_peers_keeps(s->peers, known->address)))
            dial_if_gateway(s, known);
        member_listed(s, h);
    }
}

static void peer_engine_state(QRSidecar *s, const Qr__Fleet__EngineState *state)
{
    QRFleetMember *member = qr_members_get(&s->members, state->name);

    if (!member)
        return;
    member->complete_version = state->held;
    g_free(member->model);
    member->model = g_strdup(state->model);
}

/* A gateway reports the slots that it holds, and may request another. */
static void peer_slot_request(QRSidecar *s, QRPeerConn *peer,
                              const char *gateway,
                              const Qr__Fleet__SlotRequest *request)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    QRSlotReply reply;
    const QRService *service = qr_sidecar_service(s);
    bool asked;

    s->slots.read_per_ms = service ? service->engine.read_per_s / 1000 : 0;
    asked = qr_slots_request(&s->slots, gateway, request, qr_sidecar_now(s),
                             &reply);
    qr_slots_log_sharing(&s->slots, s->set->engine, qr_sidecar_now(s));
    if (!asked)
        return;
    frame.body_case = QR__FLEET__FRAME__BODY_SLOT_REPLY;
    frame.slot_reply = &reply.head;
    qr_peer_send(peer, &frame);
}

/* The records may have waited in the connection while this process was
   suspended. */
static void take_records(QRSidecar *s, Qr__Fleet__Records *records)
{
    uint64_t now = qr_sidecar_now(s);

    qr_operator_age_records(
        records, now - MIN(qr_ticks_received_after_ms(&s->ticks), now));
    qr_operator_apply_records(&s->operator, records, now);
}

static void peer_frame(void *owner, QRPeerConn *peer, const QRFrame *frame)
{
    QRSidecar *s = owner;
    QRFleetMember *member = qr_peer_data(peer);

    if (frame->body_case == QR__FLEET__FRAME__BODY_HELLO) {
        peer_hello(s, peer, frame->hello);
        return;
    }
    if (!member)
        return;
    qr_members_heard(member, qr_sidecar_now(s));
    if (peer == s->followed_gateway)
        s->gateway_heard_ms = qr_ticks_received_after_ms(&s->ticks);
    switch (frame->body_case) {
    case QR__FLEET__FRAME__BODY_MEMBERS:
        peer_members(s, frame->members);
        break;
    case QR__FLEET__FRAME__BODY_ENGINE_STATE:
        peer_engine_state(s, frame->engine_state);
        break;
    case QR__FLEET__FRAME__BODY_RECORDS:
        take_records(s, frame->records);
        break;
    case QR__FLEET__FRAME__BODY_WANT:
        qr_weights_handle_want(s, peer, frame->want);
        break;
    case QR__FLEET__FRAME__BODY_PIECE:
        qr_weights_handle_piece(s, peer, frame->piece);
        break;
    case QR__FLEET__FRAME__BODY_ORIGIN_STATE:
        qr_pieces_handle_origin_state(s, frame->origin_state);
        break;
    case QR__FLEET__FRAME__BODY_SLOT_REQUEST:
        peer_slot_request(s, peer, member->name, frame->slot_request);
        break;
    default:
        break;
    }
}

static void peer_closed(void *owner, QRPeerConn *peer)
{
    QRSidecar *s = owner;
    QRFleetMember *member = qr_peer_data(peer);

    g_ptr_array_remove_fast(s->gateways, peer);
    if (s->followed_gateway == peer) {
        s->followed_gateway = NULL;
        qr_peer_set_liveness(peer, QR_PEER_SENDS);
    }
    if (member && strcmp(member->role, QR_ROLE_GATEWAY) == 0) {
        qr_logf(QR_LEVEL_INFO, "members", "gateway lost name=%s", member->name);
        qr_slots_drop(&s->slots, member->name);
    }
    qr_weights_peer_closed(s, peer);
}

const QRPeerHandlers qr_sidecar_peer_handlers = {peer_fill_hello, peer_frame,
                                                 peer_closed};

/* How well a gateway serves to be followed, best first: only delegates know the
   sidecars of all regions. */
typedef enum FollowClass {
    FOLLOW_BEST, /* a delegate of the own region */
    FOLLOW_DELEGATE,
    FOLLOW_OTHER,
} FollowClass;

static FollowClass follow_class(const QRSidecar *s, const QRFleetMember *m)
{
    if (!m->delegate || m->leaving)
        return FOLLOW_OTHER;
    return is_same_region(s, m) ? FOLLOW_BEST : FOLLOW_DELEGATE;
}

/* Sort key, least first: class, zone, and a hash that spreads the sidecars. */
static uint64_t follow_rank(const QRSidecar *s, const QRFleetMember *m)
{
    uint64_t hash =
        qr_hash_str(m->name, qr_hash_str(s->set->host, FOLLOW_SEED)) >> 3;
    uint64_t zone = g_strcmp0(m->zone, s->set->availability_zone) != 0;

    return (uint64_t)follow_class(s, m) << 62 | zone << 61 | hash;
}

/* Returns the best connected gateway to follow, or NULL. */
static QRPeerConn *choose_gateway(const QRSidecar *s)
{
    QRPeerConn *best = NULL;

    for (unsigned i = 0; i < s->gateways->len; i++) {
        const QRFleetMember *m = qr_peer_data(s->gateways->pdata[i]);

        if (!qr_peer_dialled(s->gateways->pdata[i]))
            continue;
        if (!best || follow_rank(s, m) < follow_rank(s, qr_peer_data(best)))
            best = s->gateways->pdata[i];
    }
    return best;
}

/* Asks a gateway for the gateways of this region, when due. */
static void fetch_gateways(QRSidecar *s, QRPeerConn *from, uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;

    if (now_ms < s->gateways_fetch_ms + GATEWAYS_FETCH_MS)
        return;
    s->gateways_fetch_ms = now_ms;
    fetch.gateways = true;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(from, &frame);
}

/* Follows a better gateway than the present one, which then has to be told: a
   new connection to it starts without following. */
static void follow_better(QRSidecar *s, QRPeerConn *chosen)
{
    const QRFleetMember *now = qr_peer_data(s->followed_gateway);
    g_autofree char *address = NULL;

    /* a delegate is kept: each change lists all members anew */
    if (now && (now->delegate ||
                follow_class(s, qr_peer_data(chosen)) >= follow_class(s, now)))
        return;
    address = g_strdup(qr_peer_dialled(s->followed_gateway));
    if (address)
        qr_peers_redial(s->peers, address);
    follow_gateway(s, chosen);
}

void qr_sidecar_peers_tick(QRSidecar *s)
{
    QRPeerConn *chosen = choose_gateway(s);
    uint64_t now = qr_sidecar_now(s);

    drop_unconfirmed(s, now);
    if (!chosen)
        return;
    if (s->followed_gateway) {
        follow_better(s, chosen);
    } else if (follow_class(s, qr_peer_data(chosen)) == FOLLOW_BEST ||
               now >= s->followed_until_ms + DELEGATE_WAIT_MS) {
        follow_gateway(s, chosen);
    } else {
        fetch_gateways(s, chosen, now);
    }
}

QRPeerConn *qr_sidecar_open_peer(QRSidecar *s, const char *address)
{
    return qr_peers_get_open(s->peers, address);
}
