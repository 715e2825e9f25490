/*
 * What a gateway and the processes beside engines say to one another of the
 * engines' slots; see sidecar/qr_slots.h.
 */
#include "qr_gateway.h"
#include "qr_relay.h"

/* What we hold at an engine is told so often at least; its lease is 2 s. */
#define TELL_MS 700

static void send_request(QREngine *e, Qr__Fleet__SlotRequest *request,
                         uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;

    request->open = qr_engine_held(e);
    request->reading = qr_engine_held_reading(e);
    frame.body_case = QR__FLEET__FRAME__BODY_SLOT_REQUEST;
    frame.slot_request = request;
    e->slots.untold = false;
    e->slots.told_ms = now_ms;
    qr_peer_send(e->slots.keeper, &frame);
}

void qr_gateway_slot_ask(QRGateway *g, QREngine *e, const QRSlotWish *wish)
{
    Qr__Fleet__SlotRequest request = QR__FLEET__SLOT_REQUEST__INIT;

    request.call = wish->call;
    request.prompt = wish->prompt;
    request.open_most = wish->open_most;
    request.reading_most = wish->reading_most;
    request.returned = wish->returned;
    request.denials = wish->denials;
    send_request(e, &request, qr_gateway_now(g));
    e->slots.asked++;
    e->slots.asked_reading += wish->prompt;
}

void qr_gateway_slot_settled(QREngine *e, unsigned prompt)
{
    e->slots.asked -= MIN(e->slots.asked, 1);
    e->slots.asked_reading -= MIN(e->slots.asked_reading, prompt);
    e->slots.untold = true;
}

void qr_gateway_slots_tick(QRGateway *g, uint64_t now_ms)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->engines.by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QREngine *e = value;
        Qr__Fleet__SlotRequest request = QR__FLEET__SLOT_REQUEST__INIT;
        bool is_due =
            qr_engine_held(e) > 0 && now_ms >= e->slots.told_ms + TELL_MS;

        if (e->slots.keeper && (e->slots.untold || is_due))
            send_request(e, &request, now_ms);
    }
}

void qr_gateway_slots_others(QREngine *e, unsigned open, unsigned reading,
                             uint64_t now_ms)
{
    e->slots.others = open;
    e->slots.others_reading = reading;
    e->slots.others_ms = now_ms;
}

void qr_gateway_slots_keeper(QREngine *e, QRPeerConn *keeper)
{
    if (e->slots.keeper == keeper)
        return;
    e->slots.keeper = keeper;
    e->slots.untold = keeper != NULL;
    e->slots.mute_until_ms = e->slots.denied_until_ms = 0;
    e->slots.others = e->slots.others_reading = 0;
}

void qr_gateway_slots_lost(QRGateway *g, const QRPeerConn *keeper)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->engines.by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QREngine *e = value;

        if (e->slots.keeper == keeper)
            qr_gateway_slots_keeper(e, NULL);
    }
}

void qr_gateway_slot_reply(QRGateway *g, const Qr__Fleet__SlotReply *reply)
{
    QRRelay *r =
        g_hash_table_lookup(g->slot_calls, GUINT_TO_POINTER(reply->call));

    /* the call has ended, or was given another engine: what we tell next says
       that it holds nothing */
    if (r)
        qr_relay_slot_reply(r, reply->granted, reply->others_open,
                            reply->others_reading);
}
