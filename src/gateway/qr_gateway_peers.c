/*
 * What a gateway hears from peers, and tells them.
 */
#include "qr_gateway.h"

#include <string.h>

#define SIDECAR_LEASE_MS 2500 /* it tells its state once a second */
#define REDIAL_MS 700         /* for a lost connection to come back */

static bool is_sidecar(const QRFleetMember *member)
{
    return member && strcmp(member->role, QR_ROLE_SIDECAR) == 0;
}

static void tell_follower(void *to, const QRFrame *frame)
{
    qr_peer_send(to, frame);
}

/* Routes, teams and limits are nothing to sidecars, and may be long. */
static bool is_for_sidecars(QRGateway *g, const QRStoreRecord *r)
{
    const QRPolicy *policy = g->operator.policy;

    if (g->platform->operator_kind(r->key) != QR_OPERATOR_POLICY)
        return true;
    if (!policy || policy->services_hash == g->services_told)
        return false;
    g->services_told = policy->services_hash;
    return true;
}

void qr_gateway_operator_news(void *owner, const QRStoreRecord *r)
{
    QRGateway *g = owner;

    qr_gateway_apply_limits(g);
    /* gateways hear it from the store, or ask: see qr_gateway_catchup.c */
    if (!is_for_sidecars(g, r))
        return;
    for (unsigned i = 0; i < g->followers->len; i++) {
        QRPeerConn *peer = g->followers->pdata[i];

        if (is_sidecar(qr_peer_data(peer)))
            qr_operator_tell_one(&g->operator, r->key, QR_FOR_SIDECARS,
                                 qr_gateway_now(g), tell_follower, peer);
    }
}

static void peer_greet(void *owner, QRFrame *frame, Qr__Fleet__Hello *hello)
{
    QRGateway *g = owner;
    QRKnowledge known = qr_operator_knowledge(&g->operator);

    (void)frame;
    hello->name = g->set->host;
    hello->role = (char *)QR_ROLE_GATEWAY;
    hello->address = g->set->peers;
    hello->availability_zone = g->set->availability_zone;
    hello->region = g->set->region;
    hello->service_address = g->set->callers;
    hello->incarnation = g->incarnation;
    hello->policy_version = known.policy;
    hello->weights_revision = known.weights;
    hello->control_offset = known.offset;
    hello->leaving = g->stopping_ms > 0;
    hello->gateways = qr_gateway_count(g);
    hello->reserves_slots = true;
}

static void send_member(QRPeerConn *peer, const QRFleetMember *member,
                        bool gone)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Members list = QR__FLEET__MEMBERS__INIT;
    Qr__Fleet__Hello hello, *one[1] = {&hello};

    qr_member_describe(member, &hello);
    hello.gone = gone;
    list.members = one;
    list.n_members = 1;
    frame.body_case = QR__FLEET__FRAME__BODY_MEMBERS;
    frame.members = &list;
    qr_peer_send(peer, &frame);
}

static void send_held(QRPeerConn *peer, const QRFleetMember *member)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__EngineState state = QR__FLEET__ENGINE_STATE__INIT;

    if (member->held == 0)
        return;
    state.name = member->name;
    state.model = member->model;
    state.held = member->held;
    state.engine_address = member->service_address;
    frame.body_case = QR__FLEET__FRAME__BODY_ENGINE_STATE;
    frame.engine_state = &state;
    qr_peer_send(peer, &frame);
}

/*
 * All that a sidecar needs to know that has just come. Gateways ask for what
 * they lack: see qr_gateway_meet.c and qr_gateway_catchup.c.
 */
static void welcome_sidecar(QRGateway *g, QRPeerConn *peer,
                            const QRKnowledge *known)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->members.by_name);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRFleetMember *member = value;

        if (!is_sidecar(member) && member->leaving)
            continue;
        send_member(peer, value, false);
        send_held(peer, value);
    }
    qr_operator_tell(&g->operator, known, QR_FOR_SIDECARS, qr_gateway_now(g),
                     tell_follower, peer);
}

/* The run of a process that another one of the same name follows, as far as
   we knew it: what a process that was killed cannot tell of itself. */
typedef struct FormerRun {
    const char *end; /* whether it had said that it would leave */
    uint64_t heard_ago_ms;
} FormerRun;

static FormerRun former_run(const QRFleetMember *m, uint64_t now_ms)
{
    if (!m)
        return (FormerRun){"none", 0};
    if (m->heard_ms == 0)
        return (FormerRun){"unheard", 0};
    return (FormerRun){m->leaving ? "announced" : "unannounced",
                       now_ms - m->heard_ms};
}

/*
 * A member is new. A new gateway is dialled, and dials back; other gateways
 * see that we know more than they do, and ask. Sidecars have only the one
 * gateway that they follow.
 */
static void heard_of(QRGateway *g, const QRFleetMember *member,
                     const FormerRun *former)
{
    qr_logf(QR_LEVEL_INFO, "members",
            "new name=%s role=%s address=%s zone=%s "
            "incarnation=%016" G_GINT64_MODIFIER
            "x before=%s heard_ago_ms=%" G_GUINT64_FORMAT,
            member->name, member->role, member->address, member->zone,
            member->incarnation, former->end, former->heard_ago_ms);
    if (strcmp(member->role, QR_ROLE_GATEWAY) == 0)
        qr_peers_dial(g->peers, member->address);
    for (unsigned i = 0; i < g->followers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->followers->pdata[i]);

        if (is_sidecar(to) && to != member)
            send_member(g->followers->pdata[i], member, false);
    }
}

/* A sidecar does not know that its engine leaves; its record may have said so
   before the sidecar was met. */
static void sidecar_leaves_with(const QRGateway *g, QRFleetMember *sidecar)
{
    const QREngine *e = qr_engines_at(&g->engines, sidecar->service_address);

    sidecar->leaving = e && e->record->draining;
}

static void peer_hello(QRGateway *g, QRPeerConn *peer,
                       const Qr__Fleet__Hello *h)
{
    QRKnowledge knows = {h->policy_version, h->weights_revision,
                         h->control_offset};
    const QRFleetMember *known = qr_members_get(&g->members, h->name);
    bool is_restarted = known && known->incarnation != h->incarnation;
    FormerRun former = former_run(known, qr_gateway_now(g));
    QRFleetMember *news;

    if (strcmp(h->name, g->set->host) == 0)
        return;
    news = qr_members_hello(&g->members, h, true, qr_gateway_now(g));
    /* a machine that lost power has not closed what we had dialled */
    if (is_restarted && !qr_peer_dialled(peer) &&
        strcmp(h->role, QR_ROLE_GATEWAY) == 0)
        qr_peers_redial(g->peers, h->address);
    qr_peer_set_data(peer, qr_members_get(&g->members, h->name));
    qr_peer_set_cross_region(peer, g_strcmp0(h->region, g->set->region) != 0);
    if (news)
        heard_of(g, news, &former);
    if (strcmp(h->role, QR_ROLE_GATEWAY) == 0 && qr_peer_data(peer)) {
        qr_gateway_peer_knows(g, qr_peer_data(peer), &knows);
        ((QRFleetMember *)qr_peer_data(peer))->gateways = h->gateways;
    }
    if (qr_peer_dialled(
            peer)) { /* the other side welcomes us, tells its load */
        qr_peer_set_liveness(peer, QR_PEER_RECEIVES);
        return;
    }
    if (qr_peer_data(peer))
        qr_peer_close_older(peer);
    if (is_sidecar(qr_peer_data(peer)))
        sidecar_leaves_with(g, qr_peer_data(peer));
    if (strcmp(h->role, QR_ROLE_SIDECAR) == 0 && qr_peer_data(peer)) {
        ((QRFleetMember *)qr_peer_data(peer))->conn = peer;
        ((QRFleetMember *)qr_peer_data(peer))->lost_ms = 0;
        if (!g_ptr_array_find(g->sidecars, peer, NULL))
            g_ptr_array_add(g->sidecars, peer);
    }
    if (!g_ptr_array_find(g->followers, peer, NULL) &&
        (h->follow || strcmp(h->role, QR_ROLE_GATEWAY) == 0)) {
        g_ptr_array_add(g->followers, peer);
        g->follower_is_new |= !is_sidecar(qr_peer_data(peer));
        if (is_sidecar(qr_peer_data(peer)))
            welcome_sidecar(g, peer, &knows);
        else
            qr_requests_welcome(g, peer);
    }
}

/*
 * Hearsay only introduces. Of a member that is known it says nothing: which of
 * two incarnations is the newer one only the member itself can tell.
 */
static void peer_members(QRGateway *g, const Qr__Fleet__Members *list)
{
    const FormerRun none = former_run(NULL, 0);

    for (size_t i = 0; i < list->n_members; i++) {
        const Qr__Fleet__Hello *told = list->members[i];
        QRFleetMember *news;

        if (strcmp(told->name, g->set->host) == 0 ||
            qr_members_get(&g->members, told->name))
            continue;
        news = qr_members_hello(&g->members, told, false, qr_gateway_now(g));
        if (news)
            heard_of(g, news, &none);
    }
}

/*
 * The engine at the address has started anew, and says so to the process beside
 * it; its record of before stands in the store until its lease runs out.
 */
static bool is_earlier_run(const QREngine *e,
                           const Qr__Fleet__EngineState *state)
{
    return state->born_ms > 0 && e->record->born_ms > 0 &&
           state->born_ms > e->record->born_ms;
}

static void earlier_run_ended(QRGateway *g, QREngine *e, uint64_t born_ms)
{
    qr_logf(QR_LEVEL_INFO, "engines",
            "ended engine=%s address=%s born_ms=%" G_GUINT64_FORMAT
            " later_run_ms=%" G_GUINT64_FORMAT,
            e->record->id, e->record->address, e->record->born_ms, born_ms);
    e->ended = true;
    qr_requests_engine_over(g, e->record->id);
    qr_gateway_share_hurry(g);
}

static void engine_told(QRGateway *g, QRPeerConn *peer,
                        const Qr__Fleet__EngineState *state)
{
    const QRFleetMember *member = qr_peer_data(peer);
    QREngine *e = qr_engines_at(&g->engines, state->engine_address);

    while (e && is_earlier_run(e, state)) {
        earlier_run_ended(g, e, state->born_ms);
        e = qr_engines_at(&g->engines, state->engine_address);
    }
    if (!e)
        return;
    if (!e->told || e->told_version != state->serving ||
        e->told_switching != state->switching ||
        e->told_slow_link != state->slow_link)
        qr_logf(QR_LEVEL_INFO, "engines",
                "told engine=%s version=%" G_GUINT64_FORMAT
                " switching=%d reachable=%d slow_link=%d",
                e->record->id, state->serving, state->switching,
                state->reachable, state->slow_link);
    if (e->told_version != state->serving)
        e->moved = 0;
    e->told = true;
    e->unconfirmed = false;
    e->told_ms = qr_gateway_now(g);
    e->told_version = state->serving;
    e->told_switching = state->switching;
    e->told_unreachable = !state->reachable;
    e->told_slow_link = state->slow_link;
    if (!member->reserves_slots)
        return;
    qr_gateway_slots_beside(g, e, peer);
    qr_gateway_slots_others(e, state->others_open, state->others_reading,
                            qr_gateway_now(g));
}

static void peer_engine_state(QRGateway *g, QRPeerConn *peer,
                              QRFleetMember *member,
                              const Qr__Fleet__EngineState *state)
{
    engine_told(g, peer, state);
    if (member->held == state->held)
        return;
    member->held = state->held;
    g_free(member->model);
    member->model = g_strdup(state->model);
    for (unsigned i = 0; i < g->followers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->followers->pdata[i]);

        if (is_sidecar(to))
            send_held(g->followers->pdata[i], member);
    }
}

static void tell_lacked(QRGateway *g, QRPeerConn *peer,
                        const Qr__Fleet__Fetch *fetch)
{
    QRKnowledge known = {fetch->policy_version, fetch->weights_revision,
                         fetch->offset};

    qr_operator_tell(&g->operator, & known, QR_FOR_GATEWAYS, qr_gateway_now(g),
                     tell_follower, peer);
}

static void peer_frame(void *owner, QRPeerConn *peer, const QRFrame *frame)
{
    QRGateway *g = owner;
    QRFleetMember *member = qr_peer_data(peer);

    if (frame->body_case == QR__FLEET__FRAME__BODY_HELLO) {
        peer_hello(g, peer, frame->hello);
        return;
    }
    if (!member)
        return;
    qr_members_heard(member, qr_gateway_now(g));
    switch (frame->body_case) {
    case QR__FLEET__FRAME__BODY_MEMBERS:
        peer_members(g, frame->members);
        break;
    case QR__FLEET__FRAME__BODY_LOAD:
        qr_gateway_load_told(g, member, frame->load);
        break;
    case QR__FLEET__FRAME__BODY_ENGINE_STATE:
        peer_engine_state(g, peer, member, frame->engine_state);
        break;
    case QR__FLEET__FRAME__BODY_FETCH:
        if (frame->fetch->gateways) {
            qr_gateway_introduce(g, peer);
            break;
        }
        if (frame->fetch->engines) {
            qr_gateway_share_answer(g, peer, frame->fetch);
            break;
        }
        tell_lacked(g, peer, frame->fetch);
        break;
    case QR__FLEET__FRAME__BODY_RECORDS:
        if (frame->records->engines) {
            qr_gateway_share_records(g, member, frame->records);
            break;
        }
        qr_gateway_operator_heard(g, frame->records);
        break;
    case QR__FLEET__FRAME__BODY_SLOT_REQUEST:
        qr_gateway_slots_request(g, peer, frame->slot_request);
        break;
    case QR__FLEET__FRAME__BODY_SLOT_REPLY:
        qr_gateway_slot_reply(g, frame->slot_reply);
        break;
    case QR__FLEET__FRAME__BODY_REQUESTS:
        qr_requests_heard(g, frame->requests);
        break;
    default:
        break;
    }
}

/* What became of a member. */
static void tell_sidecars(QRGateway *g, const QRFleetMember *member, bool gone)
{
    for (unsigned i = 0; i < g->followers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->followers->pdata[i]);

        if (is_sidecar(to) && (!gone || to != member))
            send_member(g->followers->pdata[i], member, gone);
    }
}

void qr_gateway_sidecar_leaves(QRGateway *g, const char *engine_address,
                               bool leaves)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_SIDECAR, NULL);

    for (unsigned i = 0; i < list->len; i++) {
        QRFleetMember *m = list->pdata[i];

        if (m->leaving == leaves ||
            strcmp(m->service_address, engine_address) != 0)
            continue;
        m->leaving = leaves;
        qr_logf(QR_LEVEL_INFO, "members", "sidecar %s name=%s",
                leaves ? "leaving" : "staying", m->name);
        tell_sidecars(g, m, false);
    }
}

/* A sidecar is lost: others must not wait for pieces from it. */
static void sidecar_lost(QRGateway *g, QRFleetMember *member)
{
    qr_logf(QR_LEVEL_INFO, "members",
            "sidecar lost name=%s heard_ms=%" G_GUINT64_FORMAT, member->name,
            qr_gateway_now(g) - MIN(member->heard_ms, qr_gateway_now(g)));
    tell_sidecars(g, member, true);
    qr_peers_clear_data(g->peers, member);
    qr_members_remove(&g->members, member->name);
}

/* The connection of a sidecar that is left when another one has gone. */
static QRPeerConn *sidecar_conn(const QRGateway *g, const QRFleetMember *member)
{
    for (unsigned i = 0; i < g->sidecars->len; i++) {
        if (qr_peer_data(g->sidecars->pdata[i]) == member)
            return g->sidecars->pdata[i];
    }
    return NULL;
}

static void peer_closed(void *owner, QRPeerConn *peer)
{
    QRGateway *g = owner;
    QRFleetMember *member = qr_peer_data(peer);

    g_ptr_array_remove_fast(g->followers, peer);
    g_ptr_array_remove_fast(g->sidecars, peer);
    qr_gateway_slots_lost(g, peer);
    if (is_sidecar(member) && member->conn == peer) {
        member->conn = sidecar_conn(g, member);
        /* it may only have to dial again; see qr_gateway_check_sidecars() */
        if (!member->conn)
            member->lost_ms = MAX(qr_gateway_now(g), 1);
        return;
    }
    /* a gateway tells its load on the connection that we dialled */
    if (!member || !qr_peer_dialled(peer))
        return;
    qr_logf(QR_LEVEL_INFO, "members", "connection lost name=%s", member->name);
    qr_engines_forget_gateway(&g->engines, member->name);
}

const QRPeerHandlers qr_gateway_peer_handlers = {peer_greet, peer_frame,
                                                 peer_closed};

/* Sidecars that did not dial again. */
static void check_lost(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_SIDECAR, NULL);

    for (unsigned i = 0; i < list->len; i++) {
        QRFleetMember *m = list->pdata[i];

        if (m->lost_ms && now_ms > m->lost_ms + REDIAL_MS)
            sidecar_lost(g, m);
    }
}

void qr_gateway_check_sidecars(QRGateway *g, uint64_t now_ms)
{
    for (unsigned i = g->sidecars->len; i > 0; i--) {
        QRPeerConn *peer = g->sidecars->pdata[i - 1];
        const QRFleetMember *m = qr_peer_data(peer);

        if (m && now_ms > m->heard_ms + SIDECAR_LEASE_MS)
            qr_peer_close(peer);
    }
    check_lost(g, now_ms);
}
