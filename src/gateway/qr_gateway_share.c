/*
 * Shares the store's records among gateways.
 *
 * Two gateways read the store, see qr_gateway_readers.c. They send the
 * positions that they know in heartbeats. A gateway that knows less asks for
 * engines' changes here, and for the operator's records in
 * qr_gateway_catchup.c. Long lists thus cross the link to the store's region
 * twice, not once for each gateway.
 */
#include "qr_gateway_share_parts.h"

/* For other gateways to send the list of engines, before we read the store; and
   between gateways of a region that do so. The list is long: if all read it at
   once over a narrow link, none would get it. */
#define ENGINES_WAIT_MAX_MS 1500
#define ENGINES_WAIT_STAGGER_MS 500
/* Longer than the replacement of two failed readers takes: a lease, and
   READER_STAGGER_MAX_MS for each. */
#define AWAY_MIN_MS 3000
/* For a reader to send a change that it knows, before we read the store. */
#define BEHIND_MAX_MS 500
/* Delay of a heartbeat on a saturated link. */
#define HEARTBEAT_DELAY_MAX_MS 500
/* A heartbeat of ours so late shows that this process was suspended; frames
   read then were sent meanwhile. */
#define SUSPENDED_MIN_MS 300
/* A live gateway may be silent for up to 0.8 of a lease between messages. */
#define ISOLATED_LEASES 2

QRPosition qr_share_known_position(const QRGateway *g)
{
    QRPosition read =
        qr_position_before(qr_follower_next_position(g->follow_engines));

    if (g->store_reads_paused)
        return g->engines_received;
    return qr_position_max(g->engines_received,
                           qr_position_max(g->engines_changed, read));
}

/* Whether a reader has known a change for too long without sending it to us. */
static bool lacks_engine_changes(QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    bool unseen = false;

    if (!g->engines_known)
        return now_ms >= g->first_read_ms + ENGINES_WAIT_MAX_MS +
                             (uint64_t)qr_gateway_region_rank(
                                 g, QR_READER_ORDER_SEED, now_ms) *
                                 ENGINES_WAIT_STAGGER_MS;
    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        unseen |= qr_share_is_fresh_reader(g, m, now_ms) &&
                  qr_position_cmp(m->engines_changed, g->engines_received) > 0;
    }
    if (!unseen)
        g->engines_behind_since_ms = 0;
    else if (g->engines_behind_since_ms == 0)
        g->engines_behind_since_ms = now_ms;
    return unseen && now_ms >= g->engines_behind_since_ms + BEHIND_MAX_MS;
}

static void note_current(QRGateway *g, uint64_t then_ms)
{
    g->operator_current_ms = MAX(g->operator_current_ms, then_ms);
}

uint64_t qr_gateway_operator_current_ms(const QRGateway *g)
{
    return MAX(g->operator_current_ms,
               qr_follower_caught_up_ms(g->follow_operator));
}

int64_t qr_gateway_operator_confirmed_ago_ms(const QRGateway *g)
{
    uint64_t then_ms = qr_gateway_operator_current_ms(g);

    return then_ms > 0 ? (int64_t)(qr_gateway_now(g) - then_ms) : -1;
}

static bool tick_is_late(const QRGateway *g, uint64_t now_ms)
{
    return g->share_tick_ms > 0 && now_ms > g->share_tick_ms +
                                                (uint64_t)g->set->heartbeat_ms +
                                                SUSPENDED_MIN_MS;
}

uint64_t qr_gateway_earliest_send_ms(const QRGateway *g)
{
    uint64_t now = qr_gateway_now(g);

    if (tick_is_late(g, now))
        return g->share_tick_ms;
    if (g->resumed_ms > 0 && now < g->resumed_ms + SUSPENDED_MIN_MS)
        return g->suspended_ms;
    return now;
}

/* Whether other gateways are known but none was heard lately. */
static bool is_isolated(const QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    uint64_t lease = (uint64_t)g->set->lease_ms * ISOLATED_LEASES;

    for (unsigned i = 0; i < list->len; i++) {
        if (qr_member_alive(list->pdata[i], lease, now_ms))
            return false;
    }
    return list->len > 0;
}

/* Notes an answer of the store to another gateway, at 'then_ms', if the store
   was failing us at that time. */
static void note_others_answered(QRGateway *g, uint64_t then_ms)
{
    uint64_t since_ms = qr_follower_outage(g->follow_operator).first_ms;

    if (since_ms > 0 && then_ms > since_ms + HEARTBEAT_DELAY_MAX_MS &&
        g->others_answered_ms <= since_ms)
        g->others_answered_ms = then_ms;
}

/*
 * If this returns false, the fault was in our connections or our host, and
 * bounds of versions ran on. An answer to others later than our last failed try
 * does not count, because the store had just come back then.
 */
bool qr_gateway_store_was_away(const QRGateway *g)
{
    QROutage out = qr_follower_outage(g->follow_operator);
    bool answered_others = g->others_answered_ms > out.first_ms &&
                           g->others_answered_ms <= out.last_ms;

    return out.last_ms > out.first_ms + HEARTBEAT_DELAY_MAX_MS &&
           !answered_others && g->isolated_ms <= out.first_ms;
}

bool qr_gateway_store_is_away(const QRGateway *g, uint64_t now_ms)
{
    return g->store_away_since_ms > 0 &&
           now_ms >= g->store_away_since_ms + AWAY_MIN_MS;
}

uint64_t qr_gateway_bound_clock_ms(const QRGateway *g, uint64_t now_ms)
{
    return qr_gateway_store_is_away(g, now_ms) ? g->store_away_since_ms
                                               : now_ms;
}

/*
 * Checks whether the store answers any gateway that we hear. When it answers
 * again after an outage, bounds of versions that were running restart: no
 * process could learn of a version or fetch its weights before the old bound.
 * Records of engines may have lapsed, also if our own reads were paused
 * throughout the outage.
 */
static void check_store(QRGateway *g, uint64_t now_ms)
{
    bool answers = qr_share_own_reads_are_fresh(g, now_ms) ||
                   qr_share_count_fresh_readers(g, now_ms) > 0;

    /* a gateway that hears no other cannot tell whether others reach the
       store */
    if (!answers && (g->store_away_since_ms == 0 || is_isolated(g, now_ms)))
        g->store_away_since_ms = now_ms;
    if (!answers || g->store_away_since_ms == 0)
        return;
    if (qr_gateway_store_is_away(g, now_ms)) {
        qr_operator_restart_bounds(&g->operator,(uint64_t) g->set->version_ms,
                                   g->store_away_since_ms, now_ms);
        g->counters.counts[QR_COUNTER_bounds_restarted]++;
        qr_logf(QR_LEVEL_INFO, "weights",
                "version bounds restarted store_away_ms=%" G_GUINT64_FORMAT,
                now_ms - g->store_away_since_ms);
        if (g->engines_known && g->store_back_ms == 0)
            qr_gateway_note_store_back(g);
    }
    g->store_away_since_ms = 0;
}

void qr_gateway_share_tick(QRGateway *g, uint64_t now_ms)
{
    if (tick_is_late(g, now_ms)) {
        g->suspended_ms = g->share_tick_ms;
        g->resumed_ms = now_ms;
        /* what others heard meanwhile is not read yet */
        if (g->store_away_since_ms > 0)
            g->store_away_since_ms = now_ms;
    }
    g->share_tick_ms = now_ms;
    qr_follower_set_interval(g->follow_engines,
                             qr_share_poll_interval_ms(g, now_ms));
    qr_share_update_reading(g, now_ms);
    check_store(g, now_ms);
    qr_gateway_epoch_tick(g, now_ms);
    if (qr_follower_outage(g->follow_operator).first_ms > 0 &&
        is_isolated(g, now_ms))
        g->isolated_ms = now_ms;
    /* while the store does not answer us, other gateways are asked */
    if (qr_share_own_reads_are_fresh(g, now_ms))
        return;
    qr_share_fetch_engines(g, now_ms);
    if (g->store_reads_paused && (lacks_engine_changes(g, now_ms) ||
                                  qr_gateway_catch_up_is_overdue(g, now_ms))) {
        g->enough_readers_since_ms = g->engines_behind_since_ms = 0;
        qr_share_set_reading(g, true);
    }
}

/* Position from which a gateway knows all changes; none: it has no list yet. */
static QRPosition parse_engines_since(const QRGateway *g,
                                      const Qr__Fleet__Load *load)
{
    if (load->engines_since == 0 && load->engines_since_epoch == 0)
        return (QRPosition){0};
    return qr_position_from_peer(load->engines_since_epoch, load->engines_since,
                                 g->store_epoch);
}

void qr_gateway_share_take_load(QRGateway *g, QRFleetMember *member,
                                const Qr__Fleet__Load *load)
{
    uint64_t now = qr_gateway_now(g), sent = qr_gateway_earliest_send_ms(g);
    QRKnownVersions own = qr_operator_known_versions(&g->operator);

    member->engines_read_ms = load->reads_engines && sent > load->engines_age_ms
                                  ? sent - load->engines_age_ms
                                  : 0;
    qr_gateway_note_epoch(g, load->store_epoch);
    member->engines_changed = qr_position_from_peer(
        load->engines_changed_epoch, load->engines_changed, g->store_epoch);
    member->engines_since = parse_engines_since(g, load);
    member->settled_epoch = load->settled_epoch;
    note_others_answered(g, member->engines_read_ms);
    /* The age comes from the sender's own reads only. If gateways passed it on,
       each hop would make it too small by the transit time. */
    if (load->operator_age_ms > 0 && sent > load->operator_age_ms &&
        !qr_known_versions_exceed(&member->known, &own))
        note_current(g, sent - load->operator_age_ms);
    if (!qr_share_own_reads_are_fresh(g, now))
        qr_share_fetch_engines(g, now);
}

bool qr_gateway_share_fill_load(QRGateway *g, Qr__Fleet__Load *load)
{
    uint64_t answered = qr_follower_answered_ms(g->follow_engines);
    uint64_t current = qr_follower_caught_up_ms(g->follow_operator);
    QRKnownVersions known = qr_operator_known_versions(&g->operator);
    bool news =
        qr_position_cmp(g->engines_changed, g->engines_changed_sent) != 0;
    /* others replace a reader when its last answer is old */
    bool answer_news = answered != g->engines_answered_sent_ms;
    bool operator_news = qr_known_versions_exceed(&known, &g->operator_sent) ||
                         g->store_epoch != g->store_epoch_sent;

    load->reads_engines = !g->store_reads_paused && g->engines_known &&
                          qr_follower_is_reachable(g->follow_engines);
    load->engines_age_ms =
        (uint32_t)(qr_gateway_now(g) - MIN(answered, qr_gateway_now(g)));
    if (!g->store_reads_paused && current > 0)
        load->operator_age_ms = (uint32_t)(qr_gateway_now(g) - current + 1);
    load->engines_changed = g->engines_changed.offset;
    load->engines_changed_epoch = g->engines_changed.epoch;
    load->engines_since = g->engines_since.offset;
    load->engines_since_epoch = g->engines_since.epoch;
    load->store_epoch = g->store_epoch;
    load->settled_epoch = g->settled_epoch;
    g->engines_changed_sent = g->engines_changed;
    g->engines_answered_sent_ms = answered;
    g->operator_sent = known;
    g->store_epoch_sent = g->store_epoch;
    return (load->reads_engines && (news || answer_news)) || operator_news;
}
