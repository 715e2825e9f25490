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
#include "qr_gateway_share_parts.h"

#include <string.h>

#define READERS 2
/* A reading answered so long ago is not fresh: one read may be lost (a read
   each second, given up after 800 ms and tried again after 200). */
#define FRESH_MS 2100
#define PAUSE_AFTER_MS 1500  /* there have been two readers for so long */
#define UNKNOWN_MOST_MS 1500 /* nobody told us the engines: we list them */
/* Longer than two readers that die are missed: a lease, and a turn each. */
#define AWAY_LEAST_MS 3000
/* An engine that starts writes its record within two heartbeats or so. */
#define HURRY_MS 250
#define HURRY_FOR_MS 2500
#define TURN_MS 250 /* between two that begin to read for want of others */
#define UNSEEN_MOST_MS 500 /* a change that no reader tells us for so long */
/* A heartbeat on a full link may be so late. */
#define LATE_MS 500
/* A heartbeat of ours is so late: this process stood still, and what it finds
   was sent meanwhile. */
#define STILL_MS 300
#define ALONE_LEASES 2 /* others rest up to 0.8 of one between two words */

static uint64_t rank(const char *name)
{
    return qr_hash_str(name, 7);
}

bool qr_share_is_alive(const QRGateway *g, const QRFleetMember *m,
                       uint64_t now_ms)
{
    return !m->leaving &&
           qr_member_alive(m, (uint64_t)g->set->lease_ms, now_ms);
}

bool qr_share_is_fresh(const QRGateway *g, const QRFleetMember *m,
                       uint64_t now_ms)
{
    return m->engines_read_ms > 0 && now_ms < m->engines_read_ms + FRESH_MS &&
           qr_share_is_alive(g, m, now_ms);
}

static bool is_before(const QRGateway *g, const QRFleetMember *m)
{
    return rank(m->name) < rank(g->set->host);
}

/* Gateways of which 'test' is true; those before us in the order, or all. */
static unsigned count_of(const QRGateway *g, QRMemberTest test, bool all,
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
    unsigned before = count_of(g, qr_share_is_alive, false, now_ms);

    return now_ms >= g->hold_ms &&
           (before < READERS ||
            now_ms >= g->readers_lack_ms + (before - READERS + 1) * TURN_MS);
}

QRPosition qr_share_seen(const QRGateway *g)
{
    QRPosition read =
        qr_position_before(qr_follower_next_position(g->follow_engines));

    if (g->reading_rests)
        return g->engines_seen;
    return qr_position_max(g->engines_seen,
                           qr_position_max(g->engines_changed, read));
}

static void set_reading(QRGateway *g, bool reads)
{
    qr_logf(QR_LEVEL_INFO, "engines",
            "%s seen=%" G_GUINT64_FORMAT " operator=%" G_GUINT64_FORMAT
            " epoch=%" G_GUINT64_FORMAT,
            reads ? "read from the store" : "heard from other gateways",
            g->engines_seen.offset, g->operator.end.offset, g->store_epoch);
    g->reading_rests = !reads;
    qr_follower_pause(g->follow_engines, !reads);
    qr_follower_pause(g->follow_operator, !reads);
    if (reads)
        qr_follower_relist(g->follow_engines);
}

/* Our own reading was answered a moment ago. */
bool qr_share_is_reading_fresh(const QRGateway *g, uint64_t now_ms)
{
    return !g->reading_rests && qr_follower_is_reachable(g->follow_engines) &&
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
    g->engines_seen = qr_share_seen(g);
    set_reading(g, false);
}

/*
 * Whether others read in our place: those before us in the order, or any while
 * the store does not answer us.
 */
static bool others_read(const QRGateway *g, uint64_t now_ms)
{
    bool all = !qr_share_is_reading_fresh(g, now_ms);

    return count_of(g, qr_share_is_fresh, all, now_ms) >= READERS;
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

        unseen |= qr_share_is_fresh(g, m, now_ms) &&
                  qr_position_cmp(m->engines_changed, g->engines_seen) > 0;
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
               qr_follower_caught_up_ms(g->follow_operator));
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
    bool answers = qr_share_is_reading_fresh(g, now_ms) ||
                   count_of(g, qr_share_is_fresh, true, now_ms) > 0;

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
    qr_gateway_epoch_tick(g, now_ms);
    if (qr_follower_outage(g->follow_operator).first_ms > 0 &&
        is_alone(g, now_ms))
        g->alone_ms = now_ms;
    /* a reading that the store does not answer is no reason to know less */
    if (qr_share_is_reading_fresh(g, now_ms))
        return;
    qr_share_ask(g, now_ms);
    if (g->reading_rests &&
        (is_left_out(g, now_ms) || qr_gateway_is_untold(g, now_ms))) {
        g->readers_since_ms = g->engines_unseen_ms = 0;
        set_reading(g, true);
    }
}

/* From where on a gateway knows all changes; none: it knows none yet. */
static QRPosition told_since(const QRGateway *g, const Qr__Fleet__Load *load)
{
    if (load->engines_since == 0 && load->engines_since_epoch == 0)
        return (QRPosition){0};
    return qr_position_from_peer(load->engines_since_epoch, load->engines_since,
                                 g->store_epoch);
}

void qr_gateway_share_told(QRGateway *g, QRFleetMember *member,
                           const Qr__Fleet__Load *load)
{
    uint64_t now = qr_gateway_now(g), sent = qr_gateway_sent_ms(g);
    QRKnownVersions own = qr_operator_known_versions(&g->operator);

    member->engines_read_ms = load->reads_engines && now > load->engines_age_ms
                                  ? now - load->engines_age_ms
                                  : 0;
    qr_gateway_note_epoch(g, load->store_epoch);
    member->engines_changed = qr_position_from_peer(
        load->engines_changed_epoch, load->engines_changed, g->store_epoch);
    member->engines_since = told_since(g, load);
    note_others_read(g, member->engines_read_ms);
    /* only what its own reading knew: told on and on, a word would grow younger
       by its time under way each time */
    if (load->operator_age_ms > 0 && sent > load->operator_age_ms &&
        !qr_known_versions_exceed(&member->known, &own))
        note_current(g, sent - load->operator_age_ms);
    if (!qr_share_is_reading_fresh(g, now))
        qr_share_ask(g, now);
}

bool qr_gateway_share_tell(QRGateway *g, Qr__Fleet__Load *load)
{
    uint64_t answered = qr_follower_answered_ms(g->follow_engines);
    uint64_t current = qr_follower_caught_up_ms(g->follow_operator);
    QRKnownVersions known = qr_operator_known_versions(&g->operator);
    bool news =
        qr_position_cmp(g->engines_changed, g->engines_changed_told) != 0;
    bool operator_news = qr_known_versions_exceed(&known, &g->operator_told) ||
                         g->store_epoch != g->store_epoch_told;

    load->reads_engines = !g->reading_rests && g->engines_known &&
                          qr_follower_is_reachable(g->follow_engines);
    load->engines_age_ms =
        (uint32_t)(qr_gateway_now(g) - MIN(answered, qr_gateway_now(g)));
    if (!g->reading_rests && current > 0)
        load->operator_age_ms = (uint32_t)(qr_gateway_now(g) - current + 1);
    load->engines_changed = g->engines_changed.offset;
    load->engines_changed_epoch = g->engines_changed.epoch;
    load->engines_since = g->engines_since.offset;
    load->engines_since_epoch = g->engines_since.epoch;
    load->store_epoch = g->store_epoch;
    g->engines_changed_told = g->engines_changed;
    g->operator_told = known;
    g->store_epoch_told = g->store_epoch;
    return (load->reads_engines && news) || operator_news;
}
