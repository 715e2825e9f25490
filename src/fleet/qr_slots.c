/*
 * The slots of one engine, reserved by gateways.
 */
#include "qr_slots.h"

#include <math.h>

/* A gateway says what it holds at least each QR_SLOTS_TELL_MS (700 ms): two
   words may be late or lost. */
#define LEASE_MS 2000
/* A first try that was denied so often, here and elsewhere, shows that slots
   are short; with a third of them free at random engines, fewer than 1 in 100
   are denied three times. */
#define DENIALS_SHORT 3
/* So long after that, callers who return leave free slots to first tries. */
#define YIELD_MS 300
/* Of an engine's time, while prompts wait there; token steps take the rest. 1:
   0.02 less in aim at what engines carry, in the model of load. */
#define READING_SHARE 0.5

typedef struct Held {
    QRSlotLoad load;
    uint64_t told_ms;
    uint64_t rest_until_ms; /* the engine wants nothing from it until then */
} Held;

void qr_slots_init(QRSlots *s)
{
    *s = (QRSlots){0};
    s->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void qr_slots_clear(QRSlots *s)
{
    g_clear_pointer(&s->held, g_hash_table_unref);
}

static Held *held_by(QRSlots *s, const char *gateway)
{
    Held *h = g_hash_table_lookup(s->held, gateway);

    if (!h) {
        h = g_new0(Held, 1);
        g_hash_table_insert(s->held, g_strdup(gateway), h);
    }
    return h;
}

void qr_slots_told(QRSlots *s, const char *gateway, const QRSlotLoad *load,
                   uint64_t now_ms)
{
    Held *h = held_by(s, gateway);

    h->load = *load;
    h->told_ms = now_ms;
}

void qr_slots_drop(QRSlots *s, const char *gateway)
{
    g_hash_table_remove(s->held, gateway);
}

static QRSlotLoad of_others(const QRSlots *s, const char *gateway,
                            uint64_t now_ms)
{
    QRSlotLoad sum = {0};
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, s->held);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const Held *h = value;

        if (now_ms > h->told_ms + LEASE_MS || g_str_equal(key, gateway))
            continue;
        sum.open += h->load.open;
        sum.reading += h->load.reading;
    }
    return sum;
}

/*
 * Prompt tokens that the engine has still to read. Gateways learn that a prompt
 * was read only by the first event, some passes later; until then their sum is
 * too high, and what was granted is taken to be read at the engine's rate.
 */
static double backlog(QRSlots *s, unsigned told, uint64_t now_ms)
{
    uint64_t since_ms = now_ms - MIN(s->backlog_ms, now_ms);

    if (s->read_per_ms <= 0)
        return told;
    s->backlog -=
        MIN(s->backlog, READING_SHARE * s->read_per_ms * (double)since_ms);
    s->backlog = MIN(s->backlog, told);
    s->backlog_ms = now_ms;
    return s->backlog;
}

/* First tries find no slot at this moment: callers who return would take those
   that fall free, since they wait for them longer. */
static bool yields(const QRSlots *s, const QRSlotCall *call, uint64_t now_ms)
{
    return call->returned && s->turned_away_ms > 0 &&
           now_ms < s->turned_away_ms + YIELD_MS;
}

uint64_t qr_slots_rest_ms(const QRSlots *s, const char *gateway,
                          uint64_t now_ms)
{
    uint64_t until_ms = now_ms;
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, s->held);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        if (!g_str_equal(key, gateway))
            until_ms = MAX(until_ms, ((Held *)value)->rest_until_ms);
    }
    return until_ms - now_ms;
}

bool qr_slots_reserve(QRSlots *s, const char *gateway, const QRSlotCall *call,
                      uint64_t now_ms)
{
    Held *h = held_by(s, gateway);
    QRSlotLoad load = of_others(s, gateway, now_ms);

    load.open += h->load.open;
    load.reading = (unsigned)backlog(s, load.reading + h->load.reading, now_ms);
    /* an idle engine can do no better, however long the prompt */
    if (load.open >= call->open_most ||
        (load.open > 0 && load.reading > call->reading_most)) {
        if (!call->returned && call->denials >= DENIALS_SHORT)
            s->turned_away_ms = MAX(now_ms, 1);
        s->denied++;
        return false;
    }
    if (yields(s, call, now_ms)) {
        s->yielded++;
        return false;
    }
    if (!call->despite_rest && qr_slots_rest_ms(s, gateway, now_ms) > 0) {
        s->rested++;
        return false;
    }
    if (s->limit.named && !qr_rate_take(&s->rate, now_ms)) {
        s->paced++;
        return false;
    }
    s->granted++;
    h->load.open++;
    h->load.reading += call->prompt;
    s->backlog += call->prompt;
    h->told_ms = now_ms;
    return true;
}

QRSlotLoad qr_slots_for(QRSlots *s, const char *gateway, uint64_t now_ms)
{
    const Held *h = g_hash_table_lookup(s->held, gateway);
    QRSlotLoad load = of_others(s, gateway, now_ms);
    unsigned own = h ? h->load.reading : 0;
    double left = backlog(s, load.reading + own, now_ms);

    load.reading = (unsigned)(left - MIN(left, own));
    return load;
}

void qr_limit_tell(const QRLimitWord *limit, uint64_t now_ms,
                   Qr__Fleet__RateLimit *told)
{
    uint64_t age_ms = now_ms - MIN(limit->at_ms, now_ms);

    qr__fleet__rate_limit__init(told);
    told->named = limit->named;
    told->per_s = limit->per_s;
    told->age_ms = (uint32_t)MIN(age_ms, G_MAXUINT32);
}

QRLimitWord qr_limit_heard(const Qr__Fleet__RateLimit *told, uint64_t now_ms)
{
    uint64_t age_ms = MIN(told->age_ms, now_ms - MIN(now_ms, 1));

    /* from another process: what makes no sense says nothing */
    if (!isfinite(told->per_s) || told->per_s < 0)
        return (QRLimitWord){0};
    return (QRLimitWord){told->named, told->per_s, now_ms - age_ms};
}

void qr_slots_limit(QRSlots *s, const QRLimitWord *limit, uint64_t now_ms)
{
    if (!qr_limit_word_take(&s->limit, limit))
        return;
    if (limit->named)
        qr_rate_set(&s->rate, limit->per_s, now_ms);
    else
        qr_rate_clear(&s->rate);
}

static void fill_limit(const QRSlots *s, uint64_t now_ms, QRSlotReply *reply)
{
    if (s->limit.at_ms == 0)
        return;
    qr_limit_tell(&s->limit, now_ms, &reply->limit);
    reply->head.limit = &reply->limit;
    if (!s->limit.named)
        return;
    reply->head.paced = reply->head.granted;
    reply->head.wait_ms = (uint32_t)qr_rate_wait_ms(&s->rate, now_ms);
}

bool qr_slots_request(QRSlots *s, const char *gateway,
                      const Qr__Fleet__SlotRequest *request, uint64_t now_ms,
                      QRSlotReply *reply)
{
    QRSlotLoad holds = {request->open, request->reading}, others;
    QRSlotCall call = {request->prompt,       request->open_most,
                       request->reading_most, request->returned,
                       request->denials,      !request->heeds_rest};
    QRLimitWord limit;

    qr_slots_told(s, gateway, &holds, now_ms);
    held_by(s, gateway)->rest_until_ms = now_ms + request->rest_ms;
    if (request->limit) {
        limit = qr_limit_heard(request->limit, now_ms);
        qr_slots_limit(s, &limit, now_ms);
    }
    if (request->call == 0)
        return false;
    qr__fleet__slot_reply__init(&reply->head);
    reply->head.call = request->call;
    reply->head.granted = qr_slots_reserve(s, gateway, &call, now_ms);
    others = qr_slots_for(s, gateway, now_ms);
    reply->head.others_open = others.open;
    reply->head.others_reading = others.reading;
    reply->head.rest_ms = (uint32_t)qr_slots_rest_ms(s, gateway, now_ms);
    fill_limit(s, now_ms, reply);
    return true;
}
