/*
 * What a sidecar says to gateways and to other sidecars, and hears from them.
 */
#include "qr_sidecar.h"

#include <string.h>

#define STATE_MS 1000 /* between two words on the engine that say no news */

static void peer_greet(void *owner, QRFrame *frame, Qr__Fleet__Hello *hello)
{
    QRSidecar *s = owner;
    QRKnowledge known = qr_operator_knowledge(&s->operator);

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

static void unlist_all(QRSidecar *s)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, s->members.by_name);
    while (g_hash_table_iter_next(&it, NULL, &value))
        ((QRFleetMember *)value)->listed = false;
}

/* Asks a gateway to tell us what it hears. */
static void follow(QRSidecar *s, QRPeerConn *peer)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Hello hello = QR__FLEET__HELLO__INIT;

    peer_greet(s, &frame, &hello);
    hello.follow = true;
    frame.body_case = QR__FLEET__FRAME__BODY_HELLO;
    frame.hello = &hello;
    s->followed = peer;
    qr_peer_set_liveness(peer, QR_PEER_RECEIVES);
    unlist_all(s); /* it will say who is there */
    qr_peer_send(peer, &frame);
}

static void state_fill(const QRSidecar *s, Qr__Fleet__EngineState *state)
{
    state->engine_address = s->set->engine;
    state->model = s->model ? s->model : (char *)"";
    state->serving = s->report.version;
    state->held = qr_sidecar_held(s);
    state->switching = s->switching;
    state->slow_link = s->slow_told;
    state->reachable = s->reachable;
    state->born_ms = s->report.born_ms;
    state->name = s->set->host;
}

static void state_send(QRSidecar *s, QRPeerConn *peer)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__EngineState state = QR__FLEET__ENGINE_STATE__INIT;
    const QRFleetMember *member = qr_peer_data(peer);
    QRSlotLoad others;

    state_fill(s, &state);
    if (member) {
        others = qr_slots_for(&s->slots, member->name, qr_sidecar_now(s));
        state.others_open = others.open;
        state.others_reading = others.reading;
    }
    frame.body_case = QR__FLEET__FRAME__BODY_ENGINE_STATE;
    frame.engine_state = &state;
    qr_peer_send(peer, &frame);
}

void qr_sidecar_tell_state(QRSidecar *s, bool news)
{
    uint64_t now = qr_sidecar_now(s);
    bool slow = qr_link_is_slow(s, now);

    if (slow != s->slow_told) {
        qr_logf(QR_LEVEL_INFO, "weights", "link %s window=%.0f",
                slow ? "slow" : "as usual", s->window);
        s->slow_told = slow;
        if (slow)
            qr_upload_decline(s);
        news = true;
    }
    if (!s->report_ms || (!news && now < s->state_ms + STATE_MS))
        return;
    s->state_ms = now;
    for (unsigned i = 0; i < s->gateways->len; i++)
        state_send(s, s->gateways->pdata[i]);
}

static void heard_of(QRSidecar *s, const QRFleetMember *member)
{
    if (strcmp(member->role, QR_ROLE_GATEWAY) == 0)
        qr_peers_dial(s->peers, member->address);
}

static void peer_hello(QRSidecar *s, QRPeerConn *peer,
                       const Qr__Fleet__Hello *h)
{
    QRFleetMember *news =
        qr_members_hello(&s->members, h, true, qr_sidecar_now(s));
    QRFleetMember *member = qr_members_get(&s->members, h->name);

    qr_peer_set_data(peer, member);
    qr_peer_set_cross_region(peer, g_strcmp0(h->region, s->set->region) != 0);
    if (member && !qr_peer_dialled(peer))
        qr_peer_close_older(peer);
    if (news)
        heard_of(s, news);
    if (!member || strcmp(member->role, QR_ROLE_GATEWAY) != 0 ||
        !qr_peer_dialled(peer) || g_ptr_array_find(s->gateways, peer, NULL))
        return;
    qr_logf(QR_LEVEL_INFO, "members", "gateway reached name=%s", member->name);
    g_ptr_array_add(s->gateways, peer);
    qr_peer_set_liveness(peer, QR_PEER_SENDS);
    if (s->report_ms)
        state_send(s, peer);
}

/*
 * Which sidecars count is for the gateway that we follow to say, not for our
 * own connections: so all sidecars see the same ones, and agree on the order.
 */
static void member_listed(QRSidecar *s, const Qr__Fleet__Hello *h)
{
    QRFleetMember *m = qr_members_get(&s->members, h->name);

    if (!m)
        return;
    m->leaving = h->leaving;
    if (strcmp(h->name, s->set->host) == 0)
        return;
    if (m->listed == h->gone)
        qr_logf(QR_LEVEL_INFO, "members", "%s name=%s role=%s",
                h->gone ? "gone" : "listed", m->name, m->role);
    m->listed = !h->gone;
    if (h->gone)
        m->held = 0;
}

static void peer_members(QRSidecar *s, const Qr__Fleet__Members *list)
{
    for (size_t i = 0; i < list->n_members; i++) {
        QRFleetMember *news = qr_members_hello(&s->members, list->members[i],
                                               false, qr_sidecar_now(s));

        if (news)
            heard_of(s, news);
        member_listed(s, list->members[i]);
    }
}

static void peer_engine_state(QRSidecar *s, const Qr__Fleet__EngineState *state)
{
    QRFleetMember *member = qr_members_get(&s->members, state->name);

    if (!member)
        return;
    member->held = state->held;
    g_free(member->model);
    member->model = g_strdup(state->model);
}

/* A gateway tells what it holds, and may want one slot more. */
static void peer_slot_request(QRSidecar *s, QRPeerConn *peer,
                              const char *gateway,
                              const Qr__Fleet__SlotRequest *request)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    QRSlotReply reply;
    const QRService *service = qr_sidecar_service(s);

    s->slots.read_per_ms = service ? service->engine.read_per_s / 1000 : 0;
    if (!qr_slots_request(&s->slots, gateway, request, qr_sidecar_now(s),
                          &reply))
        return;
    frame.body_case = QR__FLEET__FRAME__BODY_SLOT_REPLY;
    frame.slot_reply = &reply.head;
    qr_peer_send(peer, &frame);
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
    if (peer == s->followed)
        s->told_ms = qr_sidecar_now(s);
    switch (frame->body_case) {
    case QR__FLEET__FRAME__BODY_MEMBERS:
        peer_members(s, frame->members);
        break;
    case QR__FLEET__FRAME__BODY_ENGINE_STATE:
        peer_engine_state(s, frame->engine_state);
        break;
    case QR__FLEET__FRAME__BODY_RECORDS:
        qr_operator_heard(&s->operator, frame->records, qr_sidecar_now(s));
        break;
    case QR__FLEET__FRAME__BODY_WANT:
        qr_weights_want(s, peer, frame->want);
        break;
    case QR__FLEET__FRAME__BODY_PIECE:
        qr_weights_piece(s, peer, frame->piece);
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
    if (s->followed == peer) {
        s->followed = NULL;
        qr_peer_set_liveness(peer, QR_PEER_SENDS);
    }
    if (member && strcmp(member->role, QR_ROLE_GATEWAY) == 0) {
        qr_logf(QR_LEVEL_INFO, "members", "gateway lost name=%s", member->name);
        qr_slots_drop(&s->slots, member->name);
    }
    qr_weights_peer_closed(s, peer);
}

const QRPeerHandlers qr_sidecar_peer_handlers = {peer_greet, peer_frame,
                                                 peer_closed};

/* One gateway is followed: of our own zone if there is one. */
void qr_sidecar_peers_tick(QRSidecar *s)
{
    QRPeerConn *best = NULL;

    if (s->followed)
        return;
    for (unsigned i = 0; i < s->gateways->len; i++) {
        const QRFleetMember *m = qr_peer_data(s->gateways->pdata[i]);

        if (!best || g_strcmp0(m->zone, s->set->availability_zone) == 0)
            best = s->gateways->pdata[i];
    }
    if (best)
        follow(s, best);
}

QRPeerConn *qr_sidecar_peer_at(QRSidecar *s, const char *address)
{
    return qr_peers_get_open(s->peers, address);
}
