/*
 * Messages between a gateway and its peers: other gateways and sidecars.
 * Handles hellos, member lists and engine states. What sidecars are told stands
 * in qr_gateway_followers.c.
 */
#include "qr_gateway_peers_parts.h"

#include <math.h>
#include <string.h>

#define SIDECAR_TIMEOUT_MS 2500  /* a sidecar sends its state every 1 s */
#define PACE_LOGGED 0.25         /* smaller changes of a pace are not logged */
#define SIDECAR_RECONNECT_MS 700 /* allowed after a connection is lost */

void qr_gateway_fill_hello(void *owner, QRFrame *frame, Qr__Fleet__Hello *hello)
{
    QRGateway *g = owner;
    QRKnownVersions known = qr_operator_known_versions(&g->operator);

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
    hello->evacuations_epoch = known.evacuations.epoch;
    hello->evacuations_offset = known.evacuations.offset;
    hello->leaving = g->stopping_ms > 0;
    hello->gateways = qr_gateway_count(g);
    hello->fleet_gateways = g->fleet_gateways;
    hello->region_gateways = qr_gateway_region_size(g, g->set->region);
    hello->delegate = qr_gateway_is_own_delegate(g);
    hello->reserves_slots = true;
}

/* Last known state of the previous run of a restarted process. A killed process
   cannot report how its run ended. */
typedef struct FormerRun {
    const char *end; /* logged: whether the run announced that it was leaving */
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
 * Handles a new member or a new run of a known one. A new gateway is dialled
 * and dials back. Other gateways see in the next heartbeat that this gateway
 * knows more members and request the list. Sidecars are sent the member,
 * because each sidecar follows only one gateway.
 */
static void announce_member(QRGateway *g, QRFleetMember *member,
                            const FormerRun *former)
{
    qr_logf(QR_LEVEL_INFO, "members",
            "new name=%s role=%s address=%s zone=%s "
            "incarnation=%016" G_GINT64_MODIFIER
            "x before=%s heard_ago_ms=%" G_GUINT64_FORMAT,
            member->name, member->role, member->address, member->zone,
            member->incarnation, former->end, former->heard_ago_ms);
    if (qr_member_is_sidecar(member)) {
        qr_gateway_tell_sidecars(g, member, false);
        return;
    }
    qr_gateway_add_neighbour(g, member);
    member->told_as = TOLD_NOTHING;
    qr_gateway_tell_of_gateway(g, member);
}

/* Marks a sidecar as leaving if the engine's record is draining. The sidecar
   does not know that its engine leaves, and the record may have said so before
   the sidecar connected. */
static void set_leaving_from_engine(const QRGateway *g, QRFleetMember *sidecar)
{
    const QREngine *e = qr_engines_at(&g->engines, sidecar->service_address);

    sidecar->leaving = e && e->record->draining;
}

static void take_hello(QRGateway *g, QRPeerConn *peer,
                       const Qr__Fleet__Hello *h)
{
    QRKnownVersions knows = {h->policy_version,
                             h->weights_revision,
                             h->control_offset,
                             {h->evacuations_epoch, h->evacuations_offset}};
    const QRFleetMember *known = qr_members_get(&g->members, h->name);
    bool is_restarted = known && known->incarnation != h->incarnation;
    FormerRun former = former_run(known, qr_gateway_now(g));
    QRFleetMember *added;

    if (strcmp(h->name, g->set->host) == 0)
        return;
    added = qr_members_hello(&g->members, h, true, qr_gateway_now(g));
    /* a host that lost power did not close the connection that this gateway
       had dialled */
    if (is_restarted && !qr_peer_dialled(peer) &&
        strcmp(h->role, QR_ROLE_GATEWAY) == 0)
        qr_peers_redial(g->peers, h->address);
    qr_peer_set_data(peer, qr_members_get(&g->members, h->name));
    qr_peer_set_cross_region(peer, g_strcmp0(h->region, g->set->region) != 0);
    if (added)
        announce_member(g, added, &former);
    if (strcmp(h->role, QR_ROLE_GATEWAY) == 0 && qr_peer_data(peer)) {
        qr_gateway_note_peer_knowledge(g, qr_peer_data(peer), &knows);
        ((QRFleetMember *)qr_peer_data(peer))->gateways = h->gateways;
        ((QRFleetMember *)qr_peer_data(peer))->fleet_gateways =
            h->fleet_gateways;
        qr_gateway_note_region_size(g, h->region, h->region_gateways);
    }
    if (qr_peer_dialled(peer)) { /* the peer sends its load here */
        qr_peer_set_liveness(peer, QR_PEER_RECEIVES);
        if (qr_member_is_sidecar(qr_peer_data(peer)))
            qr_gateway_follow_sidecar(g, peer);
        return;
    }
    if (qr_peer_data(peer))
        qr_peer_close_older(peer);
    if (qr_member_is_sidecar(qr_peer_data(peer)))
        set_leaving_from_engine(g, qr_peer_data(peer));
    if (strcmp(h->role, QR_ROLE_SIDECAR) == 0 && qr_peer_data(peer)) {
        ((QRFleetMember *)qr_peer_data(peer))->conn = peer;
        ((QRFleetMember *)qr_peer_data(peer))->disconnected_ms = 0;
        if (!g_ptr_array_find(g->sidecars, peer, NULL))
            g_ptr_array_add(g->sidecars, peer);
    }
    if (!g_ptr_array_find(g->subscribers, peer, NULL) &&
        (h->follow || strcmp(h->role, QR_ROLE_GATEWAY) == 0)) {
        g_ptr_array_add(g->subscribers, peer);
        g->peer_lacks_load |= !qr_member_is_sidecar(qr_peer_data(peer));
        if (qr_member_is_sidecar(qr_peer_data(peer)))
            qr_gateway_send_initial_state(g, peer, &knows);
        else
            qr_requests_send_known(g, peer);
    }
}

/*
 * Takes a list of members from another gateway. The list only adds unknown
 * members: which of two incarnations of a known member is newer can be learned
 * only from the member itself.
 */
static void take_members(QRGateway *g, const Qr__Fleet__Members *list)
{
    const FormerRun none = former_run(NULL, 0);

    for (size_t i = 0; i < list->n_members; i++) {
        const Qr__Fleet__Hello *hello = list->members[i];
        QRFleetMember *added;

        qr_gateway_note_region_size(g, hello->region, hello->region_gateways);
        if (strcmp(hello->name, g->set->host) == 0 ||
            qr_members_get(&g->members, hello->name))
            continue;
        added = qr_members_hello(&g->members, hello, false, qr_gateway_now(g));
        if (!added)
            continue;
        announce_member(g, added, &none);
        if (qr_member_is_sidecar(added))
            qr_gateway_dial_remote_sidecar(g, added);
    }
}

/*
 * Returns whether the engine's record is of an earlier run than the state that
 * its sidecar reports. After a restart of an engine, the record of the previous
 * run stays in the store until its lease expires.
 */
static bool is_earlier_run(const QREngine *e,
                           const Qr__Fleet__EngineState *state)
{
    return state->born_ms > 0 && e->record->born_ms > 0 &&
           state->born_ms > e->record->born_ms;
}

static void end_earlier_run(QRGateway *g, QREngine *e, uint64_t born_ms)
{
    qr_logf(QR_LEVEL_INFO, "engines",
            "earlier run ended engine=%s address=%s born_ms=%" G_GUINT64_FORMAT
            " later_run_ms=%" G_GUINT64_FORMAT,
            e->record->id, e->record->address, e->record->born_ms, born_ms);
    e->superseded = true;
    qr_requests_engine_ended(g, e->record->id);
    qr_gateway_poll_engines_faster(g);
}

/* Logs a pace that differs much from the last one, or is implausible. */
static void take_pace(QREngine *e, uint32_t percent, uint64_t now)
{
    double before = qr_engine_pace(e, now);
    bool was_known = !e->pace_implausible;
    bool known = qr_engine_report_pace(e, percent, now);
    double pace = qr_engine_pace(e, now);

    if (known != was_known || fabs(pace - before) >= PACE_LOGGED)
        qr_logf(known ? QR_LEVEL_INFO : QR_LEVEL_WARN, "engines",
                "told pace=%.2f before=%.2f reported_percent=%u plausible=%d "
                "engine=%s",
                pace, before, percent, known, e->record->id);
}

static void take_engine_state(QRGateway *g, QRPeerConn *peer,
                              const Qr__Fleet__EngineState *state)
{
    const QRFleetMember *member = qr_peer_data(peer);
    QREngine *e = qr_engines_at(&g->engines, state->engine_address);

    while (e && is_earlier_run(e, state)) {
        end_earlier_run(g, e, state->born_ms);
        e = qr_engines_at(&g->engines, state->engine_address);
    }
    if (!e)
        return;
    if (!e->has_sidecar_report || e->sidecar_version != state->serving ||
        e->sidecar_switching != state->switching ||
        e->sidecar_slow_link != state->slow_link)
        qr_logf(QR_LEVEL_INFO, "engines",
                "told engine=%s version=%" G_GUINT64_FORMAT
                " switching=%d reachable=%d slow_link=%d",
                e->record->id, state->serving, state->switching,
                state->reachable, state->slow_link);
    if (e->sidecar_version != state->serving)
        e->misdirected = 0;
    e->has_sidecar_report = true;
    e->unconfirmed = false;
    e->sidecar_report_ms = qr_gateway_now(g);
    e->sidecar_version = state->serving;
    e->sidecar_ready_ms = state->ready_ms;
    e->sidecar_switching = state->switching;
    e->sidecar_unreachable = !state->reachable;
    e->sidecar_slow_link = state->slow_link;
    take_pace(e, state->pace_percent, qr_gateway_now(g));
    if (!member->reserves_slots)
        return;
    qr_gateway_set_sidecar_coordinator(g, e, peer);
    qr_gateway_set_others_load(e, state->others_open, state->others_reading,
                               qr_gateway_now(g));
}

static void peer_engine_state(QRGateway *g, QRPeerConn *peer,
                              QRFleetMember *member,
                              const Qr__Fleet__EngineState *state)
{
    take_engine_state(g, peer, state);
    if (member->complete_version == state->held)
        return;
    member->complete_version = state->held;
    g_free(member->model);
    member->model = g_strdup(state->model);
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->subscribers->pdata[i]);

        if (qr_member_is_sidecar(to))
            qr_gateway_send_held_version(g->subscribers->pdata[i], member);
    }
}

static void send_missing_records(QRGateway *g, QRPeerConn *peer,
                                 const Qr__Fleet__Fetch *fetch)
{
    QRKnownVersions known = {
        fetch->policy_version,
        fetch->weights_revision,
        fetch->offset,
        {fetch->evacuations_epoch, fetch->evacuations_offset}};

    qr_operator_send_missing(&g->operator, & known, QR_FOR_GATEWAYS,
                             qr_gateway_now(g), qr_gateway_send_record, peer);
}

static void take_frame(void *owner, QRPeerConn *peer, const QRFrame *frame)
{
    QRGateway *g = owner;
    QRFleetMember *member = qr_peer_data(peer);

    if (frame->body_case == QR__FLEET__FRAME__BODY_HELLO) {
        take_hello(g, peer, frame->hello);
        return;
    }
    if (!member)
        return;
    qr_members_heard(member, qr_gateway_now(g));
    switch (frame->body_case) {
    case QR__FLEET__FRAME__BODY_MEMBERS:
        take_members(g, frame->members);
        break;
    case QR__FLEET__FRAME__BODY_LOAD:
        qr_gateway_take_load(g, member, frame->load);
        break;
    case QR__FLEET__FRAME__BODY_ENGINE_STATE:
        peer_engine_state(g, peer, member, frame->engine_state);
        break;
    case QR__FLEET__FRAME__BODY_FETCH:
        if (frame->fetch->sidecars) {
            qr_gateway_send_remote_sidecars(g, peer);
            break;
        }
        if (frame->fetch->gateways) {
            qr_gateway_send_members(g, peer);
            break;
        }
        if (frame->fetch->engines) {
            qr_gateway_send_engine_changes(g, peer, frame->fetch);
            break;
        }
        send_missing_records(g, peer, frame->fetch);
        break;
    case QR__FLEET__FRAME__BODY_RECORDS:
        if (frame->records->engines) {
            qr_gateway_take_engine_changes(g, member, frame->records);
            break;
        }
        qr_gateway_take_operator_records(g, frame->records);
        break;
    case QR__FLEET__FRAME__BODY_SLOT_REQUEST:
        qr_gateway_answer_slot_request(g, peer, frame->slot_request);
        break;
    case QR__FLEET__FRAME__BODY_SLOT_REPLY:
        qr_gateway_slot_reply(g, frame->slot_reply);
        break;
    case QR__FLEET__FRAME__BODY_REQUESTS:
        qr_requests_receive(g, frame->requests);
        qr_requests_relay(g, member, frame->requests);
        break;
    default:
        break;
    }
}

/* Removes a lost sidecar and tells the others, which must not wait for weight
   pieces from the lost one. */
static void remove_sidecar(QRGateway *g, QRFleetMember *member)
{
    qr_logf(QR_LEVEL_INFO, "members",
            "sidecar lost name=%s heard_ms=%" G_GUINT64_FORMAT, member->name,
            qr_gateway_now(g) - MIN(member->heard_ms, qr_gateway_now(g)));
    qr_gateway_tell_sidecars(g, member, true);
    qr_peers_clear_data(g->peers, member);
    qr_members_remove(&g->members, member->name);
}

/* Returns a remaining connection of a sidecar after another connection closed,
   or NULL. */
static QRPeerConn *find_sidecar_conn(const QRGateway *g,
                                     const QRFleetMember *member)
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

    g_ptr_array_remove_fast(g->subscribers, peer);
    g_ptr_array_remove_fast(g->sidecars, peer);
    qr_gateway_coordinator_lost(g, peer);
    if (qr_member_is_sidecar(member) && member->conn == peer) {
        member->conn = find_sidecar_conn(g, member);
        /* the sidecar may reconnect; see qr_gateway_expire_sidecars() */
        if (!member->conn)
            member->disconnected_ms = MAX(qr_gateway_now(g), 1);
        return;
    }
    /* a gateway sends its load on the connection that this gateway dialled */
    if (!member || qr_member_is_sidecar(member) || !qr_peer_dialled(peer))
        return;
    qr_logf(QR_LEVEL_INFO, "members", "gateway connection lost name=%s",
            member->name);
    qr_engines_forget_gateway(&g->engines, member->name);
}

const QRPeerHandlers qr_gateway_peer_handlers = {qr_gateway_fill_hello,
                                                 take_frame, peer_closed};

/* Removes sidecars that did not reconnect in time. */
static void remove_lost_sidecars(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_SIDECAR, NULL);

    for (unsigned i = 0; i < list->len; i++) {
        QRFleetMember *m = list->pdata[i];

        if (m->disconnected_ms &&
            now_ms > m->disconnected_ms + SIDECAR_RECONNECT_MS)
            remove_sidecar(g, m);
    }
}

void qr_gateway_expire_sidecars(QRGateway *g, uint64_t now_ms)
{
    for (unsigned i = g->sidecars->len; i > 0; i--) {
        QRPeerConn *peer = g->sidecars->pdata[i - 1];
        const QRFleetMember *m = qr_peer_data(peer);

        if (m && now_ms > m->heard_ms + SIDECAR_TIMEOUT_MS)
            qr_peer_close(peer);
    }
    remove_lost_sidecars(g, now_ms);
}
