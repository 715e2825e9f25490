/*
 * The slots of one engine, which a coordinator reserves for gateways.
 */
#include "qr_slots.h"
#include "io/qr_log.h"

#include <math.h>

/* A call that was denied so often, by this engine and others, shows a shortage
   of slots. With a third of the slots free at random engines, fewer than 1 in
   100 calls are denied three times. */
#define SHORTAGE_DENIALS 3
/* Time after a shortage in which free slots are left to ranks and teams that
   lack them. */
#define YIELD_MS 300
/* Share of an engine's time that goes to reading while prompts wait; decoding
   takes the rest. A larger share counts prompts as read before they are, and
   lets calls in behind them that then wait longer than their gateway expects.
 */
#define READING_TIME_SHARE 0.5

typedef struct Holder {
    QRSlotLoad load;
    uint64_t reported_ms;
    uint64_t backoff_until_ms; /* the engine asked it to back off */
} Holder;

void qr_slots_init(QRSlots *s)
{
    *s = (QRSlots){0};
    s->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void qr_slots_clear(QRSlots *s)
{
    g_clear_pointer(&s->held, g_hash_table_unref);
}

static Holder *holder_of(QRSlots *s, const char *gateway)
{
    Holder *h = g_hash_table_lookup(s->held, gateway);

    if (!h) {
        h = g_new0(Holder, 1);
        g_hash_table_insert(s->held, g_strdup(gateway), h);
    }
    return h;
}

void qr_slots_report(QRSlots *s, const char *gateway, const QRSlotLoad *load,
                     uint64_t now_ms)
{
    Holder *h = holder_of(s, gateway);

    h->load = *load;
    h->reported_ms = now_ms;
}

void qr_slots_drop(QRSlots *s, const char *gateway)
{
    g_hash_table_remove(s->held, gateway);
}

static QRSlotLoad load_of_others(const QRSlots *s, const char *gateway,
                                 uint64_t now_ms)
{
    QRSlotLoad sum = {0};
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, s->held);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const Holder *h = value;

        if (now_ms > h->reported_ms + QR_SLOT_LEASE_MS ||
            g_str_equal(key, gateway))
            continue;
        sum.open += h->load.open;
        sum.reading += h->load.reading;
    }
    return sum;
}

/*
 * Estimates the prompt tokens that the engine has yet to read. A gateway learns
 * that a prompt was read only from the first event, some passes of the engine
 * later. Until then the sum of the reports is too high, and the prompts of
 * granted calls are assumed to be read at the engine's rate.
 */
static double backlog(QRSlots *s, unsigned reported, uint64_t now_ms)
{
    uint64_t since_ms = now_ms - MIN(s->backlog_ms, now_ms);

    if (s->read_per_ms <= 0)
        return reported;
    s->backlog -=
        MIN(s->backlog, READING_TIME_SHARE * s->read_per_ms * (double)since_ms);
    s->backlog = MIN(s->backlog, reported);
    s->backlog_ms = now_ms;
    return s->backlog;
}

static bool is_short(const QRSlots *s, uint64_t now_ms)
{
    return s->shortage_ms > 0 && now_ms < s->shortage_ms + YIELD_MS;
}

/* Whether a request must leave a free slot to others. */
static QRShareVerdict decide(const QRSlots *s, const QRShareRequest *share,
                             uint64_t now_ms)
{
    return s->shares_slots && is_short(s, now_ms)
               ? qr_shares_decide(&s->shares, share, now_ms)
               : QR_SHARE_TAKES;
}

static QRShareVerdict decide_by_claim(const QRSlots *s,
                                      const QRShareRequest *share,
                                      const QRRoomRequest *room,
                                      uint64_t now_ms)
{
    return qr_room_claim_excludes(&s->claim, room, now_ms)
               ? QR_SHARE_YIELDS_TO_CLAIM
               : decide(s, share, now_ms);
}

static void note_yielded(QRSlots *s, const QRShareRequest *share,
                         uint64_t now_ms)
{
    s->yielded++;
    if (!s->shares_slots)
        return;
    qr_shares_note_denied(&s->shares, share, now_ms);
    qr_shares_note_yielded(&s->shares, share, s->last_verdict, now_ms);
}

static void note_full(QRSlots *s, const QRSlotCall *call,
                      const QRShareRequest *share, uint64_t now_ms)
{
    if (call->denials >= SHORTAGE_DENIALS)
        s->shortage_ms = MAX(now_ms, 1);
    s->denied++;
    if (s->shares_slots)
        qr_shares_note_denied(&s->shares, share, now_ms);
}

uint64_t qr_slots_backoff_ms(const QRSlots *s, const char *gateway,
                             uint64_t now_ms)
{
    uint64_t until_ms = now_ms;
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, s->held);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        if (!g_str_equal(key, gateway))
            until_ms = MAX(until_ms, ((Holder *)value)->backoff_until_ms);
    }
    return until_ms - now_ms;
}

/* Takes a request from the announced limit and from that of a cold engine.
   Returns false, and takes none, if either forbids it. */
static bool take_from_limits(QRSlots *s, uint64_t now_ms)
{
    bool is_cold = now_ms < s->cold_until_ms;

    if (is_cold && qr_rate_wait_ms(&s->cold_rate, now_ms) > 0)
        return false;
    if (s->limit.is_set && !qr_rate_take(&s->rate, now_ms))
        return false;
    return !is_cold || qr_rate_take(&s->cold_rate, now_ms);
}

bool qr_slots_reserve(QRSlots *s, const char *gateway, const QRSlotCall *call,
                      uint64_t now_ms)
{
    Holder *h = holder_of(s, gateway);
    QRSlotLoad load = load_of_others(s, gateway, now_ms);
    QRShareRequest share = {
        .rank = call->rank, .team = call->team, .denials = call->denials};
    QRRoomRequest room = {call->prompt, call->rank, call->denials};

    s->last_verdict = QR_SHARE_TAKES;
    s->claim_ms = 0;
    if (s->shares_slots)
        qr_shares_begin(&s->shares, &share, now_ms);
    qr_room_claim_note_asked(&s->claim, &room);
    load.open += h->load.open;
    load.reading = (unsigned)backlog(s, load.reading + h->load.reading, now_ms);
    /* an idle engine accepts a prompt of any length: no wait is shorter */
    if (load.open >= call->max_open ||
        (load.open > 0 && load.reading > call->max_reading)) {
        note_full(s, call, &share, now_ms);
        /* a call that would leave the slot to others must not keep it free */
        if (load.open < call->max_open &&
            decide(s, &share, now_ms) < QR_SHARE_YIELDS_TO_RANK)
            s->claim_ms = qr_room_claim_note_denied(&s->claim, &room, now_ms);
        return false;
    }
    s->last_verdict = decide_by_claim(s, &share, &room, now_ms);
    if (s->last_verdict >= QR_SHARE_YIELDS_TO_RANK) {
        note_yielded(s, &share, now_ms);
        return false;
    }
    if (!call->ignores_backoff && qr_slots_backoff_ms(s, gateway, now_ms) > 0) {
        s->backed_off++;
        return false;
    }
    if (!take_from_limits(s, now_ms)) {
        s->rate_limited++;
        return false;
    }
    s->granted++;
    qr_room_claim_note_granted(&s->claim, &room, now_ms);
    if (s->shares_slots)
        qr_shares_note_granted(&s->shares, &share, s->last_verdict);
    h->load.open++;
    h->load.reading += call->prompt;
    s->backlog += call->prompt;
    h->reported_ms = now_ms;
    return true;
}

void qr_slots_log_sharing(QRSlots *s, const char *engine, uint64_t now_ms)
{
    QRShareNotice n;

    if (!s->shares_slots || !qr_shares_take_notice(&s->shares, now_ms, &n))
        return;
    if (n.starts)
        qr_logf(QR_LEVEL_INFO, "engines",
                "slots shared engine=%s yields_to=%s rank=%u team=%08x "
                "ranks=%u teams=%u yielded=%" G_GUINT64_FORMAT,
                engine, qr_share_verdict_name(n.verdict), n.rank, n.team,
                n.ranks, n.teams, n.yielded);
    else
        qr_logf(QR_LEVEL_INFO, "engines",
                "slots shared no longer engine=%s ranks=%u teams=%u "
                "yielded=%" G_GUINT64_FORMAT,
                engine, n.ranks, n.teams, n.yielded);
}

QRSlotLoad qr_slots_held_by_others(QRSlots *s, const char *gateway,
                                   uint64_t now_ms)
{
    const Holder *h = g_hash_table_lookup(s->held, gateway);
    QRSlotLoad load = load_of_others(s, gateway, now_ms);
    unsigned own = h ? h->load.reading : 0;
    double left = backlog(s, load.reading + own, now_ms);

    load.reading = (unsigned)(left - MIN(left, own));
    return load;
}

void qr_limit_encode(const QRAnnouncedLimit *limit, uint64_t now_ms,
                     Qr__Fleet__RateLimit *wire)
{
    uint64_t age_ms = now_ms - MIN(limit->as_of_ms, now_ms);

    qr__fleet__rate_limit__init(wire);
    wire->named = limit->is_set;
    wire->per_s = limit->per_s;
    wire->age_ms = (uint32_t)MIN(age_ms, G_MAXUINT32);
}

QRAnnouncedLimit qr_limit_decode(const Qr__Fleet__RateLimit *wire,
                                 uint64_t now_ms)
{
    uint64_t age_ms = MIN(wire->age_ms, now_ms - MIN(now_ms, 1));

    /* malformed values from another process are ignored */
    if (!isfinite(wire->per_s) || wire->per_s < 0)
        return (QRAnnouncedLimit){0};
    return (QRAnnouncedLimit){wire->named, wire->per_s, now_ms - age_ms};
}

void qr_slots_update_limit(QRSlots *s, const QRAnnouncedLimit *limit,
                           uint64_t now_ms)
{
    if (!qr_announced_limit_update(&s->limit, limit))
        return;
    if (limit->is_set)
        qr_rate_set(&s->rate, limit->per_s, now_ms);
    else
        qr_rate_clear(&s->rate);
}

void qr_slots_note_cold(QRSlots *s, uint32_t cold_ms, double per_s,
                        uint64_t now_ms)
{
    if (cold_ms == 0 || !isfinite(per_s) || per_s <= 0)
        return;
    if (now_ms >= s->cold_until_ms)
        qr_rate_clear(&s->cold_rate);
    qr_rate_set(&s->cold_rate, per_s, now_ms);
    s->cold_until_ms = MAX(s->cold_until_ms, now_ms + cold_ms);
}

static void fill_cold_limit(const QRSlots *s, uint64_t now_ms,
                            QRSlotReply *reply)
{
    if (now_ms >= s->cold_until_ms)
        return;
    reply->head.paced = reply->head.granted;
    reply->head.wait_ms = (uint32_t)MAX(reply->head.wait_ms,
                                        qr_rate_wait_ms(&s->cold_rate, now_ms));
}

static void fill_limit(const QRSlots *s, uint64_t now_ms, QRSlotReply *reply)
{
    if (s->limit.as_of_ms == 0)
        return;
    qr_limit_encode(&s->limit, now_ms, &reply->limit);
    reply->head.limit = &reply->limit;
    if (!s->limit.is_set)
        return;
    reply->head.paced = reply->head.granted;
    reply->head.wait_ms = (uint32_t)qr_rate_wait_ms(&s->rate, now_ms);
}

bool qr_slots_request(QRSlots *s, const char *gateway,
                      const Qr__Fleet__SlotRequest *request, uint64_t now_ms,
                      QRSlotReply *reply)
{
    QRSlotLoad others;
    QRSlotCall call = {request->prompt,       request->open_most,
                       request->reading_most, request->denials,
                       !request->heeds_rest,  request->rank,
                       request->team};
    QRAnnouncedLimit limit;
    Holder *h = holder_of(s, gateway);

    h->load = (QRSlotLoad){request->open, request->reading};
    h->reported_ms = now_ms;
    h->backoff_until_ms = now_ms + request->rest_ms;
    if (request->limit) {
        limit = qr_limit_decode(request->limit, now_ms);
        qr_slots_update_limit(s, &limit, now_ms);
    }
    qr_slots_note_cold(s, request->cold_ms, request->cold_per_s, now_ms);
    if (request->call == 0)
        return false;
    qr__fleet__slot_reply__init(&reply->head);
    reply->head.call = request->call;
    reply->head.granted = qr_slots_reserve(s, gateway, &call, now_ms);
    others = qr_slots_held_by_others(s, gateway, now_ms);
    reply->head.others_open = others.open;
    reply->head.others_reading = others.reading;
    reply->head.rest_ms = (uint32_t)qr_slots_backoff_ms(s, gateway, now_ms);
    reply->head.claim_ms = s->claim_ms;
    fill_limit(s, now_ms, reply);
    fill_cold_limit(s, now_ms, reply);
    return true;
}
