/*
 * Slots of engines: the messages between gateways and the coordinators of slots
 * (fleet/qr_slots.h), and the choice of the gateway that coordinates the slots
 * of an engine without a sidecar.
 */
#include "qr_gateway.h"
#include "qr_relay.h"

#include "fleet/qr_slots.h"

#include <string.h>

/* Longest interval between reports of what this gateway holds at an engine; the
   lease of a report is 2 s. */
#define REPORT_INTERVAL_MS 700
/* What other gateways hold is forgotten after this time: a sidecar reports that
   once a second, any other coordinator with each reply. */
#define OTHERS_EXPIRE_MS 1500
#define COORDINATOR_SEED 11 /* of the hash that assigns engines to gateways */

static void slots_free(void *p)
{
    qr_slots_clear(p);
    g_free(p);
}

GHashTable *qr_gateway_coordinated_slots_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, slots_free);
}

static QRSlots *get_coordinated_slots(QRGateway *g, const char *engine)
{
    QRSlots *s = g_hash_table_lookup(g->slots_coordinated, engine);

    if (!s) {
        s = g_new0(QRSlots, 1);
        qr_slots_init(s);
        s->shares_slots = g->set->share_slots != 0;
        g_hash_table_insert(g->slots_coordinated, g_strdup(engine), s);
    }
    return s;
}

double qr_gateway_cold_rate(const QRGateway *g, const QREngine *e)
{
    const QRService *service =
        g->operator.policy
            ? qr_policy_service(g->operator.policy, e->record->service)
            : NULL;

    return service && qr_gateway_now(g) < e->cold_until_ms ? service->cold_per_s
                                                           : 0;
}

bool qr_gateway_engine_is_limited(const QRGateway *g, const QREngine *e)
{
    return qr_engine_limit(e)->is_set || qr_gateway_cold_rate(g, e) > 0;
}

/* Handles a message to this gateway as the coordinator of the engine's slots.
   Returns whether 'reply' was filled. */
static bool coordinate(QRGateway *g, const char *engine, const char *gateway,
                       const Qr__Fleet__SlotRequest *request,
                       QRSlotReply *reply)
{
    static const QRCounter counters[QR_SHARE_VERDICT_COUNT] = {
        [QR_SHARE_YIELDS_TO_RANK] = QR_COUNTER_slots_yielded_rank,
        [QR_SHARE_YIELDS_TO_TEAM] = QR_COUNTER_slots_yielded_team,
        [QR_SHARE_YIELDS_TO_CLAIM] = QR_COUNTER_slots_yielded_claim,
    };
    QRSlots *s = get_coordinated_slots(g, engine);
    uint64_t now = qr_gateway_now(g);
    bool asked = qr_slots_request(s, gateway, request, now, reply);

    if (asked && s->last_verdict >= QR_SHARE_YIELDS_TO_RANK)
        g->counters.counts[counters[s->last_verdict]]++;
    qr_slots_log_sharing(s, engine, now);
    return asked;
}

/* Sends the coordinator of the engine's slots what this gateway holds there,
   what the engine stated, and the slot request, if there is one (wish.call is
   not 0). */
static void send_to_coordinator(QRGateway *g, QREngine *e,
                                const QRSlotRequest *wish)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__SlotRequest request = QR__FLEET__SLOT_REQUEST__INIT;
    Qr__Fleet__RateLimit limit;
    QRSlotReply reply;
    uint64_t now = qr_gateway_now(g);

    request.call = wish->call;
    request.prompt = wish->prompt;
    request.open_most = wish->max_open;
    request.reading_most = wish->max_reading;
    request.denials = wish->denials;
    request.rank = wish->rank;
    request.team = wish->team;
    request.heeds_rest = !wish->ignores_backoff;
    request.open = qr_engine_held(e);
    request.reading = qr_engine_held_reading(e);
    request.rest_ms = (uint32_t)qr_engine_deprioritized_ms(e, now);
    if (qr_engine_must_report_limit(e)) {
        qr_limit_encode(&e->notices.limit, now, &limit);
        request.limit = &limit;
    }
    request.cold_per_s = qr_gateway_cold_rate(g, e);
    if (request.cold_per_s > 0)
        request.cold_ms = (uint32_t)(e->cold_until_ms - now);
    e->slots.requested += wish->call != 0;
    e->slots.requested_reading += wish->prompt;
    e->slots.unreported = false;
    e->slots.reported_ms = now;
    if (e->slots.coordinator_kind == QR_COORDINATOR_SELF) {
        if (coordinate(g, e->record->id, g->set->host, &request, &reply))
            qr_gateway_slot_reply(g, &reply.head);
        return;
    }
    if (e->slots.coordinator_kind == QR_COORDINATOR_GATEWAY)
        request.engine = e->record->id;
    frame.body_case = QR__FLEET__FRAME__BODY_SLOT_REQUEST;
    frame.slot_request = &request;
    qr_peer_send(e->slots.coordinator, &frame);
}

void qr_gateway_request_slot(QRGateway *g, QREngine *e,
                             const QRSlotRequest *wish)
{
    send_to_coordinator(g, e, wish);
}

void qr_gateway_slots_changed(QRGateway *g, QREngine *e)
{
    if (e->slots.unreported)
        return;
    e->slots.unreported = true;
    g_ptr_array_add(g->slots_unsent, g_strdup(e->record->id));
}

void qr_gateway_slot_request_done(QRGateway *g, QREngine *e, unsigned prompt)
{
    e->slots.requested -= MIN(e->slots.requested, 1);
    e->slots.requested_reading -= MIN(e->slots.requested_reading, prompt);
    qr_gateway_slots_changed(g, e);
}

void qr_gateway_slot_reply(QRGateway *g, const Qr__Fleet__SlotReply *reply)
{
    QRRelay *r =
        g_hash_table_lookup(g->slot_requests, GUINT_TO_POINTER(reply->call));

    QRSlotResult result = {
        .granted = reply->granted,
        .within_limit = reply->paced,
        .others_open = reply->others_open,
        .others_reading = reply->others_reading,
        .limit_wait_ms = reply->wait_ms,
        .rest_ms = reply->rest_ms,
        .claim_ms = reply->claim_ms,
    };

    if (reply->limit)
        result.limit = qr_limit_decode(reply->limit, qr_gateway_now(g));
    /* without 'r' the call has ended or uses another engine; the next report to
       the coordinator shows that the call holds no slot */
    if (r)
        qr_relay_slot_reply(r, &result);
}

void qr_gateway_answer_slot_request(QRGateway *g, QRPeerConn *peer,
                                    const Qr__Fleet__SlotRequest *request)
{
    const QRFleetMember *member = qr_peer_data(peer);
    QRFrame frame = QR__FLEET__FRAME__INIT;
    QRSlotReply reply;

    /* only for known engines: invented ids must not use memory */
    if (!qr_engines_get(&g->engines, request->engine) ||
        !coordinate(g, request->engine, member->name, request, &reply))
        return;
    frame.body_case = QR__FLEET__FRAME__BODY_SLOT_REPLY;
    frame.slot_reply = &reply.head;
    qr_peer_send(peer, &frame);
}

static void report_held(QRGateway *g, QREngine *e)
{
    static const QRSlotRequest nothing;

    e->slots.unreported = false;
    if (e->slots.coordinator_kind != QR_COORDINATOR_NONE)
        send_to_coordinator(g, e, &nothing);
}

void qr_gateway_slots_tick(QRGateway *g)
{
    for (unsigned i = 0; i < g->slots_unsent->len; i++) {
        QREngine *e = qr_engines_get(&g->engines, g->slots_unsent->pdata[i]);

        if (e && e->slots.unreported)
            report_held(g, e);
    }
    g_ptr_array_set_size(g->slots_unsent, 0);
}

/* Renews the report of what is held before its lease ends, and forgets what was
   heard too long ago. */
static void refresh(QRGateway *g, QREngine *e, uint64_t now_ms)
{
    if (qr_engine_held(e) > 0 &&
        now_ms >= e->slots.reported_ms + REPORT_INTERVAL_MS)
        report_held(g, e);
    if (now_ms >= e->slots.others_reported_ms + OTHERS_EXPIRE_MS)
        e->slots.others_open = e->slots.others_reading = 0;
}

void qr_gateway_set_others_load(QREngine *e, unsigned open, unsigned reading,
                                uint64_t now_ms)
{
    e->slots.others_open = open;
    e->slots.others_reading = reading;
    e->slots.others_reported_ms = now_ms;
}

static void set_coordinator(QRGateway *g, QREngine *e, QRCoordinatorKind kind,
                            QRPeerConn *peer)
{
    if (e->slots.coordinator_kind == kind && e->slots.coordinator == peer)
        return;
    e->slots.coordinator_kind = kind;
    e->slots.coordinator = peer;
    e->slots.unresponsive_until_ms = e->slots.denied_until_ms = 0;
    e->slots.rate_limited_until_ms = e->slots.others_backoff_until_ms = 0;
    e->slots.others_open = e->slots.others_reading = 0;
    qr_gateway_slots_changed(g, e);
    /* without a coordinator other gateways are told our load, even if unchanged
     */
    e->own_reported = G_MAXUINT;
}

void qr_gateway_set_sidecar_coordinator(QRGateway *g, QREngine *e,
                                        QRPeerConn *peer)
{
    set_coordinator(g, e, QR_COORDINATOR_SIDECAR, peer);
}

static void forget_holder(QRGateway *g, const char *gateway)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->slots_coordinated);
    while (g_hash_table_iter_next(&it, NULL, &value))
        qr_slots_drop(value, gateway);
}

void qr_gateway_coordinator_lost(QRGateway *g, const QRPeerConn *peer)
{
    const QRFleetMember *member = qr_peer_data(peer);
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->engines.by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QREngine *e = value;

        if (e->slots.coordinator == peer)
            set_coordinator(g, e, QR_COORDINATOR_NONE, NULL);
    }
    g->coordinators_hash = 0; /* reassigned at the next heartbeat */
    if (member)
        forget_holder(g, member->name);
}

static gboolean is_forgotten(void *engine, void *slots, void *engines)
{
    (void)slots;
    return qr_engines_get(engines, engine) == NULL;
}

void qr_gateway_slots_sweep(QRGateway *g)
{
    g_hash_table_foreach_remove(g->slots_coordinated, is_forgotten,
                                &g->engines);
}

/* The connection on which we send reports to another gateway; NULL: none. */
static QRPeerConn *find_follower(const QRGateway *g, const QRFleetMember *m)
{
    for (unsigned i = 0; i < g->subscribers->len; i++) {
        if (qr_peer_data(g->subscribers->pdata[i]) == m)
            return g->subscribers->pdata[i];
    }
    return NULL;
}

/* Gateways that may keep slots: QRFleetMember *, and NULL for this one. The
   caller frees the array. */
static GPtrArray *list_coordinators(const QRGateway *g, uint64_t now_ms)
{
    GPtrArray *list = qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);

    for (unsigned i = list->len; i > 0; i--) {
        const QRFleetMember *m = list->pdata[i - 1];

        if (m->leaving || !m->reserves_slots ||
            !qr_gateway_is_meshed_with(g, m->region) ||
            !qr_member_alive(m, (uint64_t)g->set->lease_ms, now_ms))
            g_ptr_array_remove_index_fast(list, i - 1);
    }
    if (g->stopping_ms == 0)
        g_ptr_array_add(list, NULL);
    return list;
}

static const char *coordinator_name(const QRGateway *g, const QRFleetMember *m)
{
    return m ? m->name : g->set->host;
}

/* Does not depend on the order of the list. */
static uint64_t coordinators_hash(const QRGateway *g, const GPtrArray *list)
{
    uint64_t hash = 1;

    for (unsigned i = 0; i < list->len; i++)
        hash +=
            qr_hash_str(coordinator_name(g, list->pdata[i]), COORDINATOR_SEED);
    return hash;
}

/* Rendezvous hashing: gateways that know the same gateways choose the same
   coordinator. */
static void assign_coordinator(QRGateway *g, QREngine *e, const GPtrArray *list)
{
    uint64_t seed = qr_hash_str(e->record->id, COORDINATOR_SEED), most = 0;
    const QRFleetMember *best = NULL;
    QRPeerConn *peer;

    /* the coordinator is a gateway near the engine, to which we have no
       connection */
    if (!qr_gateway_is_meshed_with(
            g, g_hash_table_lookup(g->regions, e->record->zone))) {
        set_coordinator(g, e, QR_COORDINATOR_NONE, NULL);
        return;
    }
    for (unsigned i = 0; i < list->len; i++) {
        uint64_t weight =
            qr_hash_str(coordinator_name(g, list->pdata[i]), seed);

        if (i > 0 && weight <= most)
            continue;
        most = weight;
        best = list->pdata[i];
    }
    peer = best ? find_follower(g, best) : NULL;
    if (list->len == 0 || (best && !peer))
        set_coordinator(g, e, QR_COORDINATOR_NONE, NULL);
    else
        set_coordinator(
            g, e, best ? QR_COORDINATOR_GATEWAY : QR_COORDINATOR_SELF, peer);
    if (e->slots.coordinator_kind != QR_COORDINATOR_SELF)
        g_hash_table_remove(g->slots_coordinated, e->record->id);
}

void qr_gateway_slots_heartbeat(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list = list_coordinators(g, now_ms);
    uint64_t hash = coordinators_hash(g, list);
    bool changed = hash != g->coordinators_hash;
    GHashTableIter it;
    void *value;

    g->coordinators_hash = hash;
    g_hash_table_iter_init(&it, g->engines.by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QREngine *e = value;

        refresh(g, e, now_ms);
        /* an engine with a sidecar waits for it and gets no other coordinator
         */
        if (e->record->model || e->has_sidecar_report)
            continue;
        if (changed || e->slots.coordinator_kind == QR_COORDINATOR_NONE)
            assign_coordinator(g, e, list);
    }
}
