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
/* Nor one whose limit allows no request now; an end of the limit is heard of
   when it is asked again. */
#define PACED_MOST_MS 1000

/* After so many that have turned other gateways away the next one is taken all
   the same: perhaps all do so now and then. */
#define RESTED_MOST 2

/* What an engine wants of another gateway is heeded for no longer: it may mean
   that one alone. */
#define RESTS_MOST_MS 5000

/* So many engines are asked one after the other, then one a tick. */
#define ASKS_AT_ONCE 6

/* Those that are turned away together do not ask again together. */
static uint64_t paced_ms(const QRRelay *r, uint32_t wait_ms)
{
    uint64_t dice = qr_hash64(&r->slot.call, sizeof(r->slot.call), wait_ms);

    return MIN(wait_ms + dice % wait_ms, PACED_MOST_MS);
}

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

void qr_relay_slot_ask(QRRelay *r, const QRBalanceChoice *c, bool is_repeat)
{
    QRGateway *g = r->g;
    QRBalanceLimits terms = qr_balance_terms(&c->limits, r->slot.asked);
    QRSlotWish wish;

    r->slot.despite_rest = c->despite_rest || r->slot.rested >= RESTED_MOST;
    wish = (QRSlotWish){
        .prompt = r->prompt,
        .open_most = terms.open_most,
        .reading_most = terms.reading_most,
        .returned = r->late,
        .denials = r->slot.denials,
        .despite_rest = r->slot.despite_rest,
    };

    /* 0 is no call */
    wish.call = ++g->slot_call ? g->slot_call : ++g->slot_call;
    r->slot.call = wish.call;
    r->slot.engine = g_strdup(c->engine->record->id);
    r->slot.asked_ms = qr_gateway_now(g);
    r->slot.on_full_terms = terms.reading_most == c->limits.reading_most;
    r->slot.is_repeat = is_repeat;
    r->slot.asked++;
    g_hash_table_insert(g->slot_calls, GUINT_TO_POINTER(wish.call), r);
    qr_relay_count(g, QR_COUNTER_slots_asked);
    qr_gateway_slot_ask(g, c->engine, &wish);
}

/* What the keeper knows of the engine's limit, which goes before a grant of one
   that keeps none. Returns whether the call may be sent. */
static bool take_limit(const QRRelay *r, QREngine *e, const QRSlotWord *word,
                       uint64_t now)
{
    if (qr_announced_limit_update(&e->slots.limit, &word->limit))
        qr_logf(QR_LEVEL_INFO, "engines",
                "told limit=%.3f named=%d engine=%s id=%s", word->limit.per_s,
                word->limit.is_set, e->record->id, r->id);
    if (!qr_engine_limit(e)->is_set)
        return word->granted;
    if (word->wait_ms > 0)
        e->slots.rate_limited_until_ms = now + paced_ms(r, word->wait_ms);
    return word->granted && word->paced;
}

static void slot_denied(QRRelay *r, QREngine *e, const QRSlotWord *word,
                        uint64_t now)
{
    bool for_limit = qr_engine_limit(e)->is_set && word->wait_ms > 0;
    bool for_rest =
        !r->slot.despite_rest && now < e->slots.others_backoff_until_ms;

    r->slot.denied++;
    qr_relay_count(r->g, QR_COUNTER_slots_denied);
    if (for_limit) {
        qr_relay_count(r->g, QR_COUNTER_slots_paced);
    } else if (for_rest) {
        r->slot.rested++;
    } else {
        r->slot.denials += r->slot.on_full_terms;
        e->slots.denied_until_ms = now + DENIED_MS;
    }
}

void qr_relay_slot_reply(QRRelay *r, const QRSlotWord *word)
{
    uint64_t now = qr_gateway_now(r->g);
    bool is_repeat = r->slot.is_repeat;
    QREngine *e = slot_settle(r);
    QRBalanceChoice c = {0};

    if (e) {
        qr_gateway_slots_others(e, word->others_open, word->others_reading,
                                now);
        e->slots.others_backoff_until_ms =
            now + MIN(word->rest_ms, RESTS_MOST_MS);
        if (!take_limit(r, e, word, now)) {
            slot_denied(r, e, word, now);
        } else if (qr_relay_suspicion(r) <= QR_SUSPICION_TRIAL &&
                   qr_relay_may_use(r, e, &c)) {
            qr_relay_send(r, &c);
            return;
        }
    }
    if (is_repeat) {
        qr_relay_repeat_denied(r);
        return;
    }
    /* without 'e' it was forgotten meanwhile */
    if (!e || r->slot.asked <= ASKS_AT_ONCE) {
        qr_relay_try(r);
        return;
    }
    c = qr_relay_choose(r);
    qr_relay_wait(r, &c);
}

void qr_relay_slot_tick(QRRelay *r, uint64_t now_ms)
{
    bool is_repeat = r->slot.is_repeat;
    QREngine *e;

    if (now_ms < r->slot.asked_ms + REPLY_MS)
        return;
    qr_relay_count(r->g, QR_COUNTER_slots_unanswered);
    e = slot_settle(r);
    if (e) {
        e->slots.unresponsive_until_ms = now_ms + MUTE_MS;
        qr_logf(QR_LEVEL_WARN, "engines",
                "slot request unanswered engine=%s id=%s", e->record->id,
                r->id);
    }
    if (is_repeat)
        qr_relay_repeat_denied(r);
    else
        qr_relay_try(r);
}
