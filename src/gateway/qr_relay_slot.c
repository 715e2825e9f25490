/*
 * Requests a slot at an engine for a call, before the call is sent there.
 */
#include "qr_relay_parts.h"

#include "fleet/qr_slots.h"

/* A reply takes a round trip and an event loop turn of the coordinator: 1 to 10
   ms. Without one after this time, the coordinator is suspended or its link is
   full. */
#define SLOT_REPLY_TIMEOUT_MS 60
/* For this time a coordinator that did not reply gets no requests, and its
   engine is used like one without a coordinator. */
#define COORDINATOR_AVOID_MS 1000
/* Longest time without requests to an engine whose rate limit allows none now.
   The gateway learns of the end of the limit only by asking again. */
#define LIMIT_WAIT_MAX_MS 1000

/* After this many denials by engines that asked other gateways to send nothing,
   the next engine is used regardless: all engines may ask so now and then. */
#define BACKOFF_DENIALS_MAX 2

/* Longest time for which a backoff that an engine asked of another gateway is
   respected here: the engine may mean that gateway only. */
#define OTHERS_BACKOFF_MAX_MS 5000

/* This many engines are asked in direct succession, then one per tick. */
#define REQUESTS_AT_ONCE 6

/* The random addition keeps calls that are denied together from asking again
   together. */
static uint64_t limit_wait_ms(const QRRelay *r, uint32_t wait_ms)
{
    uint64_t random =
        qr_hash64(&r->slot.request, sizeof(r->slot.request), wait_ms);

    return MIN(wait_ms + random % wait_ms, LIMIT_WAIT_MAX_MS);
}

static QREngine *slot_engine(const QRRelay *r)
{
    return r->slot.engine ? qr_engines_get(&r->g->engines, r->slot.engine)
                          : NULL;
}

/* Ends the open slot request, with any outcome. Returns its engine; NULL: there
   is none, or its record is gone. */
static QREngine *end_slot_request(QRRelay *r)
{
    QREngine *e = slot_engine(r);

    if (!r->slot.engine)
        return NULL;
    g_hash_table_remove(r->g->slot_requests, GUINT_TO_POINTER(r->slot.request));
    g_clear_pointer(&r->slot.engine, g_free);
    if (e)
        qr_gateway_slot_request_done(r->g, e, r->prompt_tokens);
    return e;
}

void qr_relay_drop_slot_request(QRRelay *r)
{
    (void)end_slot_request(r);
}

void qr_relay_request_slot(QRRelay *r, const QRBalanceChoice *c, bool is_retry)
{
    QRGateway *g = r->g;
    QRBalanceLimits terms =
        qr_balance_tighten_limits(&c->limits, r->slot.requests);
    QRSlotRequest wish;

    r->slot.ignores_backoff =
        c->ignores_backoff || r->slot.backoff_denials >= BACKOFF_DENIALS_MAX;
    wish = (QRSlotRequest){
        .prompt = r->prompt_tokens,
        .max_open = terms.max_open_calls,
        .max_reading = terms.max_unread_tokens,
        .denials = r->slot.full_denials,
        .ignores_backoff = r->slot.ignores_backoff,
        .rank = r->rank,
        .team = r->share_team,
    };

    /* 0 means no request */
    wish.call =
        ++g->last_slot_request ? g->last_slot_request : ++g->last_slot_request;
    r->slot.request = wish.call;
    r->slot.engine = g_strdup(c->engine->record->id);
    r->slot.requested_ms = qr_gateway_now(g);
    r->slot.at_full_limits =
        terms.max_unread_tokens == c->limits.max_unread_tokens;
    r->slot.max_open = terms.max_open_calls;
    r->slot.max_reading = terms.max_unread_tokens;
    r->slot.is_retry = is_retry;
    r->slot.requests++;
    g_hash_table_insert(g->slot_requests, GUINT_TO_POINTER(wish.call), r);
    qr_relay_count(g, QR_COUNTER_slots_asked);
    qr_gateway_request_slot(g, c->engine, &wish);
}

/* Stores the coordinator's knowledge of the engine's rate limit. Returns
   whether the call may be sent: a grant that ignores a known limit does not
   count. */
static bool store_limit(const QRRelay *r, QREngine *e,
                        const QRSlotResult *result, uint64_t now)
{
    if (qr_announced_limit_update(&e->slots.limit, &result->limit))
        qr_logf(QR_LEVEL_INFO, "engines",
                "told limit=%.3f named=%d engine=%s id=%s", result->limit.per_s,
                result->limit.is_set, e->record->id, r->id);
    if (!qr_gateway_engine_is_limited(r->g, e))
        return result->granted;
    if (result->limit_wait_ms > 0)
        e->slots.rate_limited_until_ms =
            now + limit_wait_ms(r, result->limit_wait_ms);
    return result->granted && result->within_limit;
}

/* Whether the engine had a slot for the call, by the reply that denied it.
   Counts the cause of the denial. */
static bool has_room(QRRelay *r, const QREngine *e, const QRSlotResult *result)
{
    if (result->others_open + qr_engine_held(e) >= r->slot.max_open) {
        r->slot.denied_open++;
        qr_relay_count(r->g, QR_COUNTER_slots_denied_open);
        return false;
    }
    if (result->others_reading + qr_engine_held_reading(e) >
        r->slot.max_reading) {
        r->slot.denied_unread++;
        qr_relay_count(r->g, QR_COUNTER_slots_denied_unread);
        return false;
    }
    r->slot.denied_yields++;
    qr_relay_count(r->g, QR_COUNTER_slots_denied_yields);
    return true;
}

bool qr_relay_awaits_claim(const QRRelay *r, uint64_t now_ms)
{
    return r->slot.claimed && now_ms < r->slot.claimed_until_ms;
}

/* Stores whether the engine keeps room for the call, by the reply that denied
   it a slot. */
static void store_claim(QRRelay *r, const QREngine *e, uint32_t claim_ms,
                        uint64_t now)
{
    if (claim_ms > 0) {
        qr_relay_count(r->g, QR_COUNTER_slots_claimed);
        g_free(r->slot.claimed);
        r->slot.claimed = g_strdup(e->record->id);
        r->slot.claimed_until_ms = now + MIN(claim_ms, QR_ROOM_CLAIM_MAX_MS);
    } else if (g_strcmp0(r->slot.claimed, e->record->id) == 0) {
        g_clear_pointer(&r->slot.claimed, g_free);
    }
}

static void note_slot_denied(QRRelay *r, QREngine *e,
                             const QRSlotResult *result, uint64_t now)
{
    bool for_limit =
        qr_gateway_engine_is_limited(r->g, e) && result->limit_wait_ms > 0;
    bool for_rest =
        !r->slot.ignores_backoff && now < e->slots.others_backoff_until_ms;

    r->slot.denied++;
    qr_relay_count(r->g, QR_COUNTER_slots_denied);
    if (for_limit) {
        qr_relay_count(r->g, QR_COUNTER_slots_paced);
    } else if (for_rest) {
        r->slot.backoff_denials++;
    } else {
        r->slot.full_denials += r->slot.at_full_limits;
        store_claim(r, e, result->claim_ms, now);
        qr_engine_note_denied(e, r->rank, r->share_team, has_room(r, e, result),
                              now);
    }
}

/* Ends a request without a usable reply. */
static void give_up_slot_request(QRRelay *r)
{
    bool is_retry = r->slot.is_retry;

    qr_relay_count(r->g, QR_COUNTER_slots_unanswered);
    (void)end_slot_request(r);
    if (is_retry)
        qr_relay_retry_denied(r);
    else
        qr_relay_dispatch(r);
}

void qr_relay_slot_reply(QRRelay *r, const QRSlotResult *result)
{
    uint64_t now = qr_gateway_now(r->g);
    bool is_retry = r->slot.is_retry;
    QREngine *e;
    QRBalanceChoice c = {0};

    /* this process was suspended; others may hold the slot since */
    if (now >= r->slot.requested_ms + QR_SLOT_LEASE_MS) {
        qr_logf(QR_LEVEL_INFO, "call",
                "slot reply too old id=%s engine=%s age_ms=%" G_GUINT64_FORMAT,
                r->id, r->slot.engine, now - r->slot.requested_ms);
        give_up_slot_request(r);
        return;
    }
    e = end_slot_request(r);
    if (e) {
        qr_gateway_set_others_load(e, result->others_open,
                                   result->others_reading, now);
        e->slots.others_backoff_until_ms =
            now + MIN(result->rest_ms, OTHERS_BACKOFF_MAX_MS);
        if (!store_limit(r, e, result, now)) {
            note_slot_denied(r, e, result, now);
        } else if (qr_relay_suspicion(r) <= QR_SUSPICION_TRIAL &&
                   qr_relay_may_use(r, e, &c)) {
            qr_relay_send(r, &c);
            return;
        }
    }
    if (is_retry) {
        qr_relay_retry_denied(r);
        return;
    }
    /* without 'e' the engine's record is gone */
    if (!e || r->slot.requests <= REQUESTS_AT_ONCE) {
        qr_relay_dispatch(r);
        return;
    }
    c = qr_relay_choose(r);
    qr_relay_wait(r, &c);
}

void qr_relay_slot_tick(QRRelay *r, uint64_t now_ms)
{
    QREngine *e = slot_engine(r);

    if (now_ms < r->slot.requested_ms + SLOT_REPLY_TIMEOUT_MS)
        return;
    if (e) {
        e->slots.unresponsive_until_ms = now_ms + COORDINATOR_AVOID_MS;
        qr_logf(QR_LEVEL_WARN, "engines",
                "slot request unanswered engine=%s id=%s", e->record->id,
                r->id);
    }
    give_up_slot_request(r);
}
