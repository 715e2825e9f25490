/*
 * A call and the slot that is reserved for it at an engine before it is sent.
 */
#include "qr_relay_parts.h"

/* A reply takes a round trip and a turn of the other process: 1 to 10 ms. The
   process stands still, or its link is full, if none has come after so long. */
#define REPLY_MS 60
/* It is not asked again so soon; its engine is used as one without. */
#define MUTE_MS 1000
/* An engine that had no slot free is not asked again so soon: one falls free
   each 100 ms (12 slots, calls of 1.2 s). */
#define DENIED_MS 25

/* So many engines are asked one after the other, then one a tick. */
#define ASKS_AT_ONCE 6

static QREngine *slot_engine(const QRRelay *r)
{
    return r->slot.engine ? qr_engines_get(&r->g->engines, r->slot.engine)
                          : NULL;
}

/* The request is over, whatever came of it. */
static QREngine *slot_settle(QRRelay *r)
{
    QREngine *e = slot_engine(r);

    if (!r->slot.engine)
        return NULL;
    g_hash_table_remove(r->g->slot_calls, GUINT_TO_POINTER(r->slot.call));
    g_clear_pointer(&r->slot.engine, g_free);
    if (e)
        qr_gateway_slot_settled(r->g, e, r->prompt);
    return e;
}

void qr_relay_slot_drop(QRRelay *r)
{
    (void)slot_settle(r);
}

void qr_relay_slot_ask(QRRelay *r, const QRBalanceChoice *c)
{
    QRGateway *g = r->g;
    QRBalanceLimits terms = qr_balance_terms(&c->limits, r->slot.asked);
    QRSlotWish wish = {
        .prompt = r->prompt,
        .open_most = terms.open_most,
        .reading_most = terms.reading_most,
        .returned = r->late,
        .denials = r->slot.denials,
    };

    /* 0 is no call */
    wish.call = ++g->slot_call ? g->slot_call : ++g->slot_call;
    r->slot.call = wish.call;
    r->slot.engine = g_strdup(c->engine->record->id);
    r->slot.asked_ms = qr_gateway_now(g);
    r->slot.on_full_terms = terms.reading_most == c->limits.reading_most;
    r->slot.asked++;
    g_hash_table_insert(g->slot_calls, GUINT_TO_POINTER(wish.call), r);
    qr_relay_count(g, QR_COUNTER_slots_asked);
    qr_gateway_slot_ask(g, c->engine, &wish);
}

void qr_relay_slot_reply(QRRelay *r, bool granted, unsigned others_open,
                         unsigned others_reading)
{
    uint64_t now = qr_gateway_now(r->g);
    QREngine *e = slot_settle(r);
    QRBalanceChoice c = {0};

    if (!e) {
        qr_relay_try(r); /* the engine is forgotten meanwhile */
        return;
    }
    qr_gateway_slots_others(e, others_open, others_reading, now);
    if (!granted) {
        r->slot.denied++;
        r->slot.denials += r->slot.on_full_terms;
        qr_relay_count(r->g, QR_COUNTER_slots_denied);
        e->slots.denied_until_ms = now + DENIED_MS;
    } else if (qr_relay_suspicion(r) <= QR_SUSPICION_TRIAL &&
               qr_relay_may_use(r, e, &c)) {
        qr_relay_send(r, &c);
        return;
    }
    if (r->slot.asked <= ASKS_AT_ONCE) {
        qr_relay_try(r);
        return;
    }
    c = qr_relay_choose(r);
    qr_relay_wait(r, &c);
}

void qr_relay_slot_tick(QRRelay *r, uint64_t now_ms)
{
    QREngine *e;

    if (now_ms < r->slot.asked_ms + REPLY_MS)
        return;
    qr_relay_count(r->g, QR_COUNTER_slots_unanswered);
    e = slot_settle(r);
    if (e) {
        e->slots.mute_until_ms = now_ms + MUTE_MS;
        qr_logf(QR_LEVEL_WARN, "engines",
                "slot request unanswered engine=%s id=%s", e->record->id,
                r->id);
    }
    qr_relay_try(r);
}
