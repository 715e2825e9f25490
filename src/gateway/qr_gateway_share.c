/*
 * Records of the store shared among gateways.
 *
 * Two gateways read them: of those whose reading is fresh, the first in an
 * order that all agree on. The others rest theirs. Readers tell in heartbeats
 * what they know; who knows less asks for engines' changes here, and for the
 * operator's records in qr_gateway_catchup.c. So what is long crosses the link
 * to the store's region twice, not once for each gateway.
 *
 * Who no longer hears of two fresh readers before it reads for itself. The
 * first in the order do so at once, the others one after the other: were all to
 * begin, the store's return would find all of them asking for everything.
 */
#include "qr_gateway.h"

#include <string.h>

#define READERS 2
/* A reading answered so long ago is not fresh: one read may be lost (a read
   each second, given up after 800 ms and tried again after 200). */
#define FRESH_MS 2100
#define PAUSE_AFTER_MS 1500 /* there have been two readers for so long */
#define ASK_AGAIN_MS 150
#define ASK_ALL_AGAIN_MS 500
#define ASK_ALL_TURN_MS 100  /* between two of a region that ask another one */
#define UNKNOWN_MOST_MS 1500 /* nobody told us the engines: we list them */
/* For an engine that lives to write its record again, and for readers to see
   it. */
#define CONFIRM_MS 2200
/* Longer than two readers that die are missed: a lease, and a turn each. */
#define AWAY_LEAST_MS 3000
/* An engine that starts writes its record within two heartbeats or so. */
#define HURRY_MS 250
#define HURRY_FOR_MS 2500
#define TURN_MS 250 /* between two that begin to read for want of others */
#define UNSEEN_MOST_MS 500 /* a change that no reader tells us for so long */
#define FORGET_MS 600000   /* engines that are gone */
/* A heartbeat on a full link may be so late. */
#define LATE_MS 500
/* A heartbeat of ours is so late: this process stood still, and what it finds
   was sent meanwhile. */
#define STILL_MS 300
#define ALONE_LEASES 2 /* others rest up to 0.8 of one between two words */

/* The last change of an engine's record that says more than 'still here'. */
typedef struct EngineChange {
    uint64_t offset, noted_ms;
    GBytes *value; /* empty: gone */
} EngineChange;

static void change_free(void *p)
{
    EngineChange *c = p;

    g_bytes_unref(c->value);
    g_free(c);
}

GHashTable *qr_gateway_changes_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, change_free);
}

void qr_gateway_engine_changed(QRGateway *g, const QRStoreRecord *r)
{
    EngineChange *c = g_new0(EngineChange, 1);

    c->offset = r->offset;
    c->noted_ms = qr_gateway_now(g);
    c->value = g_bytes_ref(r->value);
    g_hash_table_replace(g->engine_changes, g_strdup(r->key), c);
    g->engines_changed = MAX(g->engines_changed, r->offset);
}

bool qr_gateway_engine_is_outdated(const QRGateway *g, const char *id,
                                   uint64_t offset)
{
    const EngineChange *c = g_hash_table_lookup(g->engine_changes, id);

    return c && c->offset > offset;
}

static gboolean is_forgotten(void *key, void *value, void *now)
{
    const EngineChange *c = value;

    (void)key;
    return g_bytes_get_size(c->value) == 0 &&
           *(const uint64_t *)now > c->noted_ms + FORGET_MS;
}

void qr_gateway_forget_changes(QRGateway *g, uint64_t now_ms)
{
    g_hash_table_foreach_remove(g->engine_changes, is_forgotten, &now_ms);
}

static uint64_t rank(const char *name)
{
    return qr_hash_str(name, 7);
}

static bool is_alive(const QRGateway *g, const QRFleetMember *m,
                     uint64_t now_ms)
{
    return !m->leaving &&
           qr_member_alive(m, (uint64_t)g->set->lease_ms, now_ms);
}

static bool is_fresh(const QRGateway *g, const QRFleetMember *m,
                     uint64_t now_ms)
{
    return m->engines_read_ms > 0 && now_ms < m->engines_read_ms + FRESH_MS &&
           is_alive(g, m, now_ms);
}

typedef bool (*MemberTest)(const QRGateway *g, const QRFleetMember *m,
                           uint64_t now_ms);

static bool is_before(const QRGateway *g, const QRFleetMember *m)
{
    return rank(m->name) < rank(g->set->host);
}

/* Gateways of which 'test' is true; those before us in the order, or all. */
static unsigned count_of(const QRGateway *g, MemberTest test, bool all,
                         uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    unsigned n = 0;

    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        n += test(g, m, now_ms) && (all || is_before(g, m));
    }
    return n;
}

/* Too few read: is it for us to begin? */
static bool is_our_turn(const QRGateway *g, uint64_t now_ms)
{
    unsigned before = count_of(g, is_alive, false, now_ms);

    return now_ms >= g->hold_ms &&
           (before < READERS ||
            now_ms >= g->readers_lack_ms + (before - READERS + 1) * TURN_MS);
}

/* Offset of the last change of engines' records that we know of. */
static uint64_t seen(const QRGateway *g)
{
    uint64_t next = qr_follower_offset(g->follow_engines);
    uint64_t read = next > 0 ? next - 1 : 0;

    if (g->reading_rests)
        return g->engines_seen;
    return MAX(g->engines_seen, MAX(g->engines_changed, read));
}

static void set_reading(QRGateway *g, bool reads)
{
    qr_logf(QR_LEVEL_INFO, "engines",
            "%s seen=%" G_GUINT64_FORMAT " operator=%" G_GUINT64_FORMAT,
            reads ? "read from the store" : "heard from other gateways",
            g->engines_seen, g->operator.end);
    g->reading_rests = !reads;
    qr_follower_pause(g->follow_engines, !reads);
    qr_follower_pause(g->follow_operator, !reads);
    if (reads)
        qr_follower_restart(g->follow_engines);
}

/* Our own reading was answered a moment ago. */
static bool is_reading_fresh(const QRGateway *g, uint64_t now_ms)
{
    return !g->reading_rests && qr_follower_reached(g->follow_engines) &&
           now_ms < qr_follower_answered_ms(g->follow_engines) + FRESH_MS;
}

/* Others read in our place: ours rests once that has been so for a while. */
static void choose_rest(QRGateway *g, uint64_t now_ms)
{
    bool knows_all = g->engines_known && g->operator.policy;

    if (g->readers_since_ms == 0)
        g->readers_since_ms = now_ms;
    if (g->reading_rests || !knows_all ||
        now_ms - g->readers_since_ms < PAUSE_AFTER_MS)
        return;
    g->engines_seen = seen(g);
    set_reading(g, false);
}

/*
 * Whether others read in our place: those before us in the order, or any while
 * the store does not answer us.
 */
static bool others_read(const QRGateway *g, uint64_t now_ms)
{
    bool all = !is_reading_fresh(g, now_ms);

    return count_of(g, is_fresh, all, now_ms) >= READERS;
}

static void choose_reading(QRGateway *g, uint64_t now_ms)
{
    if (others_read(g, now_ms)) {
        g->readers_lack_ms = 0;
        choose_rest(g, now_ms);
        return;
    }
    g->readers_since_ms = 0;
    if (g->readers_lack_ms == 0)
        g->readers_lack_ms = now_ms;
    if (g->reading_rests && is_our_turn(g, now_ms))
        set_reading(g, true);
}

/*
 * Whether 'm' can tell what we lack: a fresh reader that knows of a change we
 * have not seen, and of all since what we have. One that has just started
 * listed what is there, and does not know what went before.
 */
static bool can_tell_changes(const QRGateway *g, const QRFleetMember *m,
                             uint64_t now_ms)
{
    uint64_t known = seen(g);

    return is_fresh(g, m, now_ms) && m->engines_changed > known &&
           m->engines_since <= known + 1;
}

/* Whether 'm' can tell us all engines: any that knows them. */
static bool can_tell_all(const QRGateway *g, const QRFleetMember *m,
                         uint64_t now_ms)
{
    return m->engines_since > 0 && is_alive(g, m, now_ms);
}

static bool is_near(const QRGateway *g, const QRFleetMember *m)
{
    return g_strcmp0(m->region, g->set->region) == 0;
}

/* The connection of a gateway that passes 'test', of our region if any does. */
static QRPeerConn *choose_teller(const QRGateway *g, MemberTest test,
                                 uint64_t now_ms)
{
    QRPeerConn *best = NULL;
    bool best_is_near = false;

    for (unsigned i = 0; i < g->followers->len; i++) {
        const QRFleetMember *m = qr_peer_data(g->followers->pdata[i]);

        if (!m || strcmp(m->role, QR_ROLE_GATEWAY) != 0 || !test(g, m, now_ms))
            continue;
        if (best && (best_is_near || !is_near(g, m)))
            continue;
        best = g->followers->pdata[i];
        best_is_near = is_near(g, m);
    }
    return best;
}

static void ask_from(QRGateway *g, QRPeerConn *teller, uint64_t offset,
                     uint64_t now_ms)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;

    g->engines_asked_ms = now_ms;
    fetch.offset = offset;
    fetch.engines = true;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(teller, &frame);
}

static void ask_changes(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *teller = choose_teller(g, can_tell_changes, now_ms);

    /* from the last one on: two may share an offset */
    if (teller && now_ms >= g->engines_asked_ms + ASK_AGAIN_MS)
        ask_from(g, teller, seen(g), now_ms);
}

/*
 * The list of all engines is long, too: it crosses the link to another region
 * for the first gateway here that asks, and for the next ones only when nobody
 * near knows it after a moment.
 */
static void ask_all(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *teller = choose_teller(g, can_tell_all, now_ms);
    uint64_t turn = (uint64_t)qr_gateway_near_before(g, 0, now_ms);

    if (!teller || now_ms < g->engines_asked_ms + ASK_ALL_AGAIN_MS)
        return;
    if (is_near(g, qr_peer_data(teller)) ||
        now_ms >= g->started_ms + turn * ASK_ALL_TURN_MS)
        ask_from(g, teller, 0, now_ms);
}

/* Engines of the first listing of which nothing was heard since may have ended
   before it. Those that live write their record again, and readers see that. */
static void ask_confirmed(QRGateway *g, uint64_t now_ms)
{
    QRPeerConn *teller;

    if (g->confirm_ms == 0 || now_ms < g->confirm_ms)
        return;
    g->confirm_ms = 0;
    if (!qr_engines_any_unconfirmed(&g->engines))
        return;
    teller = choose_teller(g, is_fresh, now_ms);
    g->confirm_ms = now_ms + CONFIRM_MS;
    if (teller)
        ask_from(g, teller, 0, now_ms);
}

/* Whether a gateway knows of a change that has not been told us for long. */
static bool is_left_out(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    bool unseen = false;

    if (!g->engines_known)
        return now_ms >= g->hold_ms + UNKNOWN_MOST_MS;
    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        unseen |=
            is_fresh(g, m, now_ms) && m->engines_changed > g->engines_seen;
    }
    if (!unseen)
        g->engines_unseen_ms = 0;
    else if (g->engines_unseen_ms == 0)
        g->engines_unseen_ms = now_ms;
    return unseen && now_ms >= g->engines_unseen_ms + UNSEEN_MOST_MS;
}

static void note_current(QRGateway *g, uint64_t then_ms)
{
    g->operator_current_ms = MAX(g->operator_current_ms, then_ms);
}

uint64_t qr_gateway_operator_current(const QRGateway *g)
{
    return MAX(g->operator_current_ms,
               qr_follower_current_ms(g->follow_operator));
}

static bool is_late(const QRGateway *g, uint64_t now_ms)
{
    return g->shared_ms > 0 &&
           now_ms > g->shared_ms + (uint64_t)g->set->heartbeat_ms + STILL_MS;
}

uint64_t qr_gateway_sent_ms(const QRGateway *g)
{
    uint64_t now = qr_gateway_now(g);

    if (is_late(g, now))
        return g->shared_ms;
    if (g->woke_ms > 0 && now < g->woke_ms + STILL_MS)
        return g->still_ms;
    return now;
}

/* Whether we know of other gateways, and heard none of them lately. */
static bool is_alone(const QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    uint64_t lease = (uint64_t)g->set->lease_ms * ALONE_LEASES;

    for (unsigned i = 0; i < list->len; i++) {
        if (qr_member_alive(list->pdata[i], lease, now_ms))
            return false;
    }
    return list->len > 0;
}

/* The store answered another gateway: did it while it failed us? */
static void note_others_read(QRGateway *g, uint64_t then_ms)
{
    uint64_t since_ms = qr_follower_outage(g->follow_operator).first_ms;

    if (since_ms > 0 && then_ms > since_ms + LATE_MS &&
        g->others_read_ms <= since_ms)
        g->others_read_ms = then_ms;
}

/*
 * Else it was our own connections, or our machine: then bounds ran on. If the
 * store answered others only behind our last try, it had just come back.
 */
bool qr_gateway_store_was_away(const QRGateway *g)
{
    QROutage out = qr_follower_outage(g->follow_operator);
    bool answered_others =
        g->others_read_ms > out.first_ms && g->others_read_ms <= out.last_ms;

    return out.last_ms > out.first_ms + LATE_MS && !answered_others &&
           g->alone_ms <= out.first_ms;
}

/* Not two readers that died, nor a lost read: the store itself. */
static bool is_store_away(const QRGateway *g, uint64_t now_ms)
{
    return g->store_lost_ms > 0 && now_ms >= g->store_lost_ms + AWAY_LEAST_MS;
}

uint64_t qr_gateway_bounds_run_to(const QRGateway *g, uint64_t now_ms)
{
    return is_store_away(g, now_ms) ? g->store_lost_ms : now_ms;
}

/*
 * Whether the store answers any gateway that we hear. Once it does so again,
 * bounds that were running begin anew: nobody could be told of a version, nor
 * fetch what it needs, by the time that the old ones name.
 */
static void note_store(QRGateway *g, uint64_t now_ms)
{
    bool answers =
        is_reading_fresh(g, now_ms) || count_of(g, is_fresh, true, now_ms) > 0;

    /* who hears nobody does not know of whom the store is lost */
    if (!answers && (g->store_lost_ms == 0 || is_alone(g, now_ms)))
        g->store_lost_ms = now_ms;
    if (!answers || g->store_lost_ms == 0)
        return;
    if (is_store_away(g, now_ms)) {
        qr_operator_restart_bounds(&g->operator,(uint64_t) g->set->version_ms,
                                   g->store_lost_ms, now_ms);
        qr_logf(QR_LEVEL_INFO, "weights",
                "bounds begin anew store_away_ms=%" G_GUINT64_FORMAT,
                now_ms - g->store_lost_ms);
    }
    g->store_lost_ms = 0;
}

void qr_gateway_share_hurry(QRGateway *g)
{
    g->hurry_until_ms = qr_gateway_now(g) + HURRY_FOR_MS;
}

void qr_gateway_share_tick(QRGateway *g, uint64_t now_ms)
{
    bool hurries =
        now_ms < g->hurry_until_ms || now_ms < g->started_ms + HURRY_FOR_MS;

    if (is_late(g, now_ms)) {
        g->still_ms = g->shared_ms;
        g->woke_ms = now_ms;
    }
    g->shared_ms = now_ms;
    qr_follower_set_interval(g->follow_engines,
                             hurries ? HURRY_MS
                                     : (unsigned)g->set->engines_poll_ms);
    choose_reading(g, now_ms);
    note_store(g, now_ms);
    if (qr_follower_outage(g->follow_operator).first_ms > 0 &&
        is_alone(g, now_ms))
        g->alone_ms = now_ms;
    /* a reading that the store does not answer is no reason to know less */
    if (is_reading_fresh(g, now_ms))
        return;
    if (!g->engines_known)
        ask_all(g, now_ms);
    else
        ask_changes(g, now_ms);
    ask_confirmed(g, now_ms);
    if (g->reading_rests &&
        (is_left_out(g, now_ms) || qr_gateway_is_untold(g, now_ms))) {
        g->readers_since_ms = g->engines_unseen_ms = 0;
        set_reading(g, true);
    }
}

void qr_gateway_share_told(QRGateway *g, QRFleetMember *member,
                           const Qr__Fleet__Load *load)
{
    uint64_t now = qr_gateway_now(g), sent = qr_gateway_sent_ms(g);

    member->engines_read_ms = load->reads_engines && now > load->engines_age_ms
                                  ? now - load->engines_age_ms
                                  : 0;
    member->engines_changed = load->engines_changed;
    member->engines_since = load->engines_since;
    note_others_read(g, member->engines_read_ms);
    /* only what its own reading knew: told on and on, a word would grow younger
       by its time under way each time */
    if (load->operator_age_ms > 0 && sent > load->operator_age_ms &&
        load->control_offset <= g->operator.end)
        note_current(g, sent - load->operator_age_ms);
    if (is_reading_fresh(g, now))
        return;
    if (!g->engines_known)
        ask_all(g, now);
    else
        ask_changes(g, now);
}

bool qr_gateway_share_tell(QRGateway *g, Qr__Fleet__Load *load)
{
    uint64_t answered = qr_follower_answered_ms(g->follow_engines);
    uint64_t current = qr_follower_current_ms(g->follow_operator);
    bool news = g->engines_changed != g->engines_changed_told;
    bool operator_news = g->operator.end != g->operator_told;

    load->reads_engines = !g->reading_rests && g->engines_known &&
                          qr_follower_reached(g->follow_engines);
    load->engines_age_ms =
        (uint32_t)(qr_gateway_now(g) - MIN(answered, qr_gateway_now(g)));
    if (!g->reading_rests && current > 0)
        load->operator_age_ms = (uint32_t)(qr_gateway_now(g) - current + 1);
    load->engines_changed = g->engines_changed;
    load->engines_since = g->engines_since;
    g->engines_changed_told = g->engines_changed;
    g->operator_told = g->operator.end;
    return (load->reads_engines && news) || operator_news;
}

void qr_gateway_share_answer(QRGateway *g, QRPeerConn *peer, uint64_t offset)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Records records = QR__FLEET__RECORDS__INIT;
    g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, g->engine_changes);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const EngineChange *c = value;
        const QREngine *e = qr_engines_get(&g->engines, key);
        Qr__Fleet__Record *r;
        gsize len;

        if (c->offset < offset)
            continue;
        r = g_new(Qr__Fleet__Record, 1);
        qr__fleet__record__init(r);
        r->key = key;
        r->value.data = (uint8_t *)g_bytes_get_data(c->value, &len);
        r->value.len = len;
        r->offset = c->offset;
        r->confirmed = e && !e->unconfirmed;
        g_ptr_array_add(list, r);
    }
    records.records = (Qr__Fleet__Record **)list->pdata;
    records.n_records = list->len;
    records.end = g->engines_changed;
    records.engines = true;
    frame.body_case = QR__FLEET__FRAME__BODY_RECORDS;
    frame.records = &records;
    qr_peer_send(peer, &frame);
}

static void take_told(QRGateway *g, const Qr__Fleet__Record *told)
{
    g_autoptr(GBytes) value = g_bytes_new(told->value.data, told->value.len);
    QRStoreRecord r = {told->key, value, told->offset};
    QREngine *e;

    qr_gateway_engine_record(g, &r);
    e = qr_engines_get(&g->engines, told->key);
    if (e && told->confirmed)
        e->unconfirmed = false;
}

void qr_gateway_share_records(QRGateway *g, const QRFleetMember *from,
                              const Qr__Fleet__Records *records)
{
    for (size_t i = 0; i < records->n_records; i++)
        take_told(g, records->records[i]);
    qr_logf(QR_LEVEL_INFO, "engines",
            "told by=%s records=%zu seen=%" G_GUINT64_FORMAT
            " end=%" G_GUINT64_FORMAT " all=%d",
            from->name, records->n_records, g->engines_seen, records->end,
            !g->engines_known);
    g->engines_seen = MAX(g->engines_seen, records->end);
    if (g->engines_known || from->engines_since == 0)
        return;
    g->engines_known = true;
    g->engines_since = from->engines_since;
    g->confirm_ms = qr_gateway_now(g) + CONFIRM_MS;
}
