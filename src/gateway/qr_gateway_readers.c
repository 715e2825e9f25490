/*
 * Decides which gateways read the store.
 *
 * Two gateways do: the first, in an order that all gateways compute alike, of
 * those whose reads are fresh. The others pause their reads. Gateways of a
 * large region hear few others, and choose two of their region.
 *
 * A gateway that hears of fewer than two fresh readers before itself in the
 * order starts to read: the first in the order at once, the others one after
 * another. If all started together, all would list the whole store when it
 * comes back from an outage.
 */
#include "qr_gateway_share_parts.h"

#define READERS 2
/*
 * Shares of the record bound. If both readers lose the store right after an
 * answer, the other gateways need FRESH_SHARE to notice, and a
 * READER_STAGGER_SHARE for each gateway that has lost the store as well and
 * precedes them in the order. The rest is for one read and for sending the
 * record on, between regions too.
 */
#define POLL_SHARE 0.2
/* A held read whose connection goes silent also takes its timeout (800 ms). */
#define HELD_READ_SHARE 0.5
#define FRESH_SHARE 0.45
#define READER_STAGGER_SHARE 0.05
/* With a shorter bound, late heartbeats would make readers look unanswered. */
#define RECORD_BOUND_MIN_MS 1000
/* Reads answered longer ago are never fresh. One of those that start each
   second may be lost: it times out after 800 ms and is retried after 200 ms. */
#define FRESH_MAX_MS 2100
/* Enough others have read for so long before our reads pause. */
#define PAUSE_AFTER_MS 1500
/* Longest time for a starting gateway to learn which gateways read before it.
 */
#define DISCOVERY_MAX_MS 1500
/* A starting engine writes its record within about two heartbeats. */
#define FAST_POLL_MS 250
#define FAST_POLL_FOR_MS 2500
/* Between gateways that start to read in place of missing readers. */
#define READER_STAGGER_MAX_MS 250
#define EVEN_STAGGERS 4

/* Time in which every gateway has to act on a record of the store. */
static uint64_t record_bound_ms(const QRGateway *g)
{
    int64_t bound_ms = MIN(g->set->config_apply_ms, g->set->drain_ms);

    return MAX((uint64_t)bound_ms, RECORD_BOUND_MIN_MS);
}

static uint64_t share_of_bound_ms(const QRGateway *g, double share,
                                  uint64_t max_ms)
{
    return MIN(max_ms, (uint64_t)(share * (double)record_bound_ms(g)));
}

unsigned qr_gateway_held_read_ms(const QRGateway *g)
{
    return (unsigned)share_of_bound_ms(g, HELD_READ_SHARE,
                                       (uint64_t)g->set->operator_wait_ms);
}

/* Reads answered longer ago are not fresh. */
static uint64_t fresh_ms(const QRGateway *g)
{
    return share_of_bound_ms(g, FRESH_SHARE, FRESH_MAX_MS);
}

static uint64_t reader_rank(const char *name)
{
    return qr_hash_str(name, QR_READER_ORDER_SEED);
}

bool qr_share_is_alive(const QRGateway *g, const QRFleetMember *m,
                       uint64_t now_ms)
{
    return !m->leaving &&
           qr_member_alive(m, (uint64_t)g->set->lease_ms, now_ms);
}

bool qr_share_is_fresh_reader(const QRGateway *g, const QRFleetMember *m,
                              uint64_t now_ms)
{
    return m->engines_read_ms > 0 &&
           now_ms < m->engines_read_ms + fresh_ms(g) &&
           qr_share_is_alive(g, m, now_ms);
}

static bool ranks_before_us(const QRGateway *g, const QRFleetMember *m)
{
    return reader_rank(m->name) < reader_rank(g->set->host);
}

/* Number of gateways that pass 'test': of all, or of those before us in the
   order of readers. */
static unsigned count_gateways(const QRGateway *g, QRMemberTest test, bool all,
                               uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    unsigned n = 0;

    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        n += test(g, m, now_ms) && (all || ranks_before_us(g, m));
    }
    return n;
}

/* Whether this gateway has just started and does not know its region yet. Seeds
   do not wait: nobody else may be reading. */
static bool awaits_discovery(const QRGateway *g, uint64_t now_ms)
{
    return g->first_read_ms > g->started_ms &&
           !qr_gateway_may_meet_regions(g) &&
           now_ms < g->started_ms + DISCOVERY_MAX_MS;
}

/*
 * Delay of the gateway that is the n-th to start reading. The first ones come
 * at even distances: the store may turn several gateways away. Then the delay
 * grows with the square in a large region: reads that fail because the link to
 * the store is full must not make all gateways read.
 */
static uint64_t reader_stagger_ms(const QRGateway *g, unsigned n)
{
    if (qr_gateway_region_is_large(g) && n > EVEN_STAGGERS)
        return (uint64_t)READER_STAGGER_MAX_MS * n * n / EVEN_STAGGERS;
    return n *
           share_of_bound_ms(g, READER_STAGGER_SHARE, READER_STAGGER_MAX_MS);
}

unsigned qr_share_count_fresh_readers(const QRGateway *g, uint64_t now_ms)
{
    return count_gateways(g, qr_share_is_fresh_reader, true, now_ms);
}

/* Whether it is this gateway's turn to start reading while too few others read.
 */
static bool should_start_reading(const QRGateway *g, uint64_t now_ms)
{
    unsigned before = count_gateways(g, qr_share_is_alive, false, now_ms);

    if (now_ms < g->first_read_ms || awaits_discovery(g, now_ms))
        return false;
    return before < READERS ||
           now_ms >= g->few_readers_since_ms +
                         reader_stagger_ms(g, before - READERS + 1);
}

void qr_share_set_reading(QRGateway *g, bool reads)
{
    qr_logf(QR_LEVEL_INFO, "engines",
            "%s seen=%" G_GUINT64_FORMAT " operator=%" G_GUINT64_FORMAT
            " epoch=%" G_GUINT64_FORMAT,
            reads ? "read from the store" : "heard from other gateways",
            g->engines_received.offset, g->operator.end.offset, g->store_epoch);
    g->store_reads_paused = !reads;
    qr_follower_pause(g->follow_engines, !reads);
    qr_follower_pause(g->follow_operator, !reads);
    if (reads)
        qr_follower_relist(g->follow_engines);
    else
        /* Later reads follow a pause of unknown length. A failure before it
           does not show that the store was away until then. */
        g->engines_read_failed = false;
}

bool qr_share_own_reads_are_fresh(const QRGateway *g, uint64_t now_ms)
{
    return !g->store_reads_paused &&
           qr_follower_is_reachable(g->follow_engines) &&
           now_ms < qr_follower_answered_ms(g->follow_engines) + fresh_ms(g);
}

/* Pauses our reads once enough other gateways have read for a while. */
static void maybe_pause_reads(QRGateway *g, uint64_t now_ms)
{
    bool knows_all = g->engines_known && g->operator.policy;

    if (g->enough_readers_since_ms == 0)
        g->enough_readers_since_ms = now_ms;
    if (g->store_reads_paused || !knows_all ||
        now_ms - g->enough_readers_since_ms < PAUSE_AFTER_MS)
        return;
    g->engines_received = qr_share_known_position(g);
    qr_share_set_reading(g, false);
}

/*
 * How long before those of the first reader the held reads of the n-th one end.
 * A record that comes as a read ends has an unknown age there: at any moment
 * the read of another gateway is well before its end.
 */
static unsigned held_read_phase_ms(const QRGateway *g, unsigned n)
{
    static const unsigned quarters[] = {0, 2, 1, 3};

    return qr_gateway_held_read_ms(g) / 4 * quarters[n % 4];
}

/*
 * Whether enough other gateways read: those before us in the order, or any
 * gateways while the store does not answer us.
 */
static bool others_read_for_us(const QRGateway *g, uint64_t now_ms)
{
    bool all = !qr_share_own_reads_are_fresh(g, now_ms);
    unsigned n = count_gateways(g, qr_share_is_fresh_reader, all, now_ms);

    if (!all)
        qr_follower_set_phase(g->follow_operator, held_read_phase_ms(g, n));
    return n >= READERS;
}

/* Starts the wait for gateways before us to read in place of missing readers.
 */
static void note_few_readers(QRGateway *g, uint64_t now_ms)
{
    g->few_readers_since_ms = now_ms;
    if (g->store_reads_paused)
        qr_logf(QR_LEVEL_INFO, "engines",
                "too few readers fresh=%u before=%u operator_confirmed_ago_ms="
                "%" G_GINT64_FORMAT,
                qr_share_count_fresh_readers(g, now_ms),
                count_gateways(g, qr_share_is_alive, false, now_ms),
                qr_gateway_operator_confirmed_ago_ms(g));
}

void qr_share_update_reading(QRGateway *g, uint64_t now_ms)
{
    if (others_read_for_us(g, now_ms)) {
        g->few_readers_since_ms = 0;
        maybe_pause_reads(g, now_ms);
        return;
    }
    g->enough_readers_since_ms = 0;
    if (g->few_readers_since_ms == 0)
        note_few_readers(g, now_ms);
    if (g->store_reads_paused && should_start_reading(g, now_ms))
        qr_share_set_reading(g, true);
}

void qr_gateway_poll_engines_faster(QRGateway *g)
{
    g->fast_poll_until_ms = qr_gateway_now(g) + FAST_POLL_FOR_MS;
}

unsigned qr_share_poll_interval_ms(const QRGateway *g, uint64_t now_ms)
{
    uint64_t poll_ms =
        share_of_bound_ms(g, POLL_SHARE, (uint64_t)g->set->engines_poll_ms);
    bool hurries = now_ms < g->fast_poll_until_ms ||
                   now_ms < g->started_ms + FAST_POLL_FOR_MS;

    return (unsigned)(hurries ? MIN(FAST_POLL_MS, poll_ms) : poll_ms);
}
