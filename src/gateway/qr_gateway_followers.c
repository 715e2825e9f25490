/*
 * What a gateway tells the sidecars that follow it: members, held versions of
 * weights, and those of the operator's records that sidecars use.
 */
#include "qr_gateway_peers_parts.h"

#include <string.h>

bool qr_member_is_sidecar(const QRFleetMember *member)
{
    return member && strcmp(member->role, QR_ROLE_SIDECAR) == 0;
}

void qr_gateway_send_record(void *to, const QRFrame *frame)
{
    qr_peer_send(to, frame);
}

/*
 * Returns whether sidecars need the record. Sidecars do not use routes, teams
 * or limits, which can be long; a policy counts only if its services changed.
 * Weights are staged in evacuated zones too.
 */
static bool concerns_sidecars(QRGateway *g, const QRStoreRecord *r)
{
    const QRPolicy *policy = g->operator.policy;
    QROperatorKind kind = g->platform->operator_kind(r->key);

    if (kind != QR_OPERATOR_POLICY)
        return kind != QR_OPERATOR_EVACUATION;
    if (!policy || policy->services_hash == g->services_sent_hash)
        return false;
    g->services_sent_hash = policy->services_hash;
    return true;
}

void qr_gateway_forward_operator_record(void *owner, const QRStoreRecord *r)
{
    QRGateway *g = owner;

    qr_gateway_apply_limits(g);
    /* other gateways read the record from the store or request it: see
       qr_gateway_catchup.c */
    if (!concerns_sidecars(g, r))
        return;
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        QRPeerConn *peer = g->subscribers->pdata[i];

        if (qr_member_is_sidecar(qr_peer_data(peer)))
            qr_operator_send_record(&g->operator, r->key, QR_FOR_SIDECARS,
                                    qr_gateway_now(g), qr_gateway_send_record,
                                    peer);
    }
}

static void send_member(const QRGateway *g, QRPeerConn *peer,
                        const QRFleetMember *member, bool gone)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Members list = QR__FLEET__MEMBERS__INIT;
    Qr__Fleet__Hello hello, *one[1] = {&hello};

    qr_member_describe(member, &hello);
    hello.gone = gone;
    hello.delegate =
        !qr_member_is_sidecar(member) && qr_gateway_is_delegate(g, member);
    list.members = one;
    list.n_members = 1;
    frame.body_case = QR__FLEET__FRAME__BODY_MEMBERS;
    frame.members = &list;
    qr_peer_send(peer, &frame);
}

void qr_gateway_tell_sidecars(QRGateway *g, const QRFleetMember *member,
                              bool gone)
{
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        const QRFleetMember *to = qr_peer_data(g->subscribers->pdata[i]);

        if (qr_member_is_sidecar(to) && (!gone || to != member) &&
            qr_gateway_concerns_member(g, to, member))
            send_member(g, g->subscribers->pdata[i], member, gone);
    }
}

void qr_gateway_tell_of_gateway(QRGateway *g, QRFleetMember *member)
{
    ToldAs as = qr_gateway_is_delegate(g, member)      ? TOLD_DELEGATE
                : qr_gateway_is_same_region(g, member) ? TOLD_NEIGHBOUR
                                                       : TOLD_NOTHING;

    if (as == TOLD_DELEGATE && !qr_gateway_is_same_region(g, member) &&
        !qr_gateway_may_meet_regions(g))
        as = TOLD_NOTHING;
    if (as == TOLD_NOTHING || as == member->told_as)
        return;
    member->told_as = as;
    qr_gateway_tell_sidecars(g, member, false);
}

void qr_gateway_send_held_version(QRPeerConn *peer, const QRFleetMember *member)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__EngineState state = QR__FLEET__ENGINE_STATE__INIT;

    if (member->complete_version == 0)
        return;
    state.name = member->name;
    state.model = member->model;
    state.held = member->complete_version;
    state.engine_address = member->service_address;
    frame.body_case = QR__FLEET__FRAME__BODY_ENGINE_STATE;
    frame.engine_state = &state;
    qr_peer_send(peer, &frame);
}

/* Gateways request what they lack instead: see qr_gateway_discover.c and
   qr_gateway_catchup.c. */
void qr_gateway_send_initial_state(QRGateway *g, QRPeerConn *peer,
                                   const QRKnownVersions *known)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->members.by_name);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRFleetMember *member = value;

        if ((!qr_member_is_sidecar(member) && member->leaving) ||
            !qr_gateway_concerns_member(g, qr_peer_data(peer), member))
            continue;
        send_member(g, peer, value, false);
        qr_gateway_send_held_version(peer, value);
    }
    qr_operator_send_missing(&g->operator, known, QR_FOR_SIDECARS,
                             qr_gateway_now(g), qr_gateway_send_record, peer);
}

/* Tells the sidecars that follow this gateway whether it is a delegate. They
   follow another one if it no longer is. */
static void tell_of_self(QRGateway *g)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Members list = QR__FLEET__MEMBERS__INIT;
    Qr__Fleet__Hello hello = QR__FLEET__HELLO__INIT, *one[1] = {&hello};

    qr_gateway_fill_hello(g, &frame, &hello);
    list.members = one;
    list.n_members = 1;
    frame.body_case = QR__FLEET__FRAME__BODY_MEMBERS;
    frame.members = &list;
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        if (qr_member_is_sidecar(qr_peer_data(g->subscribers->pdata[i])))
            qr_peer_send(g->subscribers->pdata[i], &frame);
    }
}

void qr_gateway_send_gateways(QRGateway *g)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);

    if (g->told_as_delegate != qr_gateway_is_own_delegate(g)) {
        g->told_as_delegate = !g->told_as_delegate;
        tell_of_self(g);
    }

    for (unsigned i = 0; i < list->len; i++) {
        if (!((const QRFleetMember *)list->pdata[i])->leaving)
            qr_gateway_tell_of_gateway(g, list->pdata[i]);
    }
}

void qr_gateway_set_sidecar_leaving(QRGateway *g, const char *engine_address,
                                    bool leaves)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->members.by_name);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRFleetMember *m = value;

        if (!qr_member_is_sidecar(m) || m->leaving == leaves ||
            strcmp(m->service_address, engine_address) != 0)
            continue;
        m->leaving = leaves;
        qr_logf(QR_LEVEL_INFO, "members", "sidecar %s name=%s",
                leaves ? "leaving" : "staying", m->name);
        qr_gateway_tell_sidecars(g, m, false);
    }
}
