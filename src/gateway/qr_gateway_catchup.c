/*
 * Fetches the operator's records from other gateways.
 *
 * Each hello and heartbeat carries the versions that its sender knows. A
 * gateway that is behind requests records from one gateway that knows more, and
 * then from the next. If all gateways sent records unasked, the same
 * configuration would arrive from each.
 *
 * A configuration is long and the links between regions are narrow. A gateway
 * of the same region is asked first. Other regions are asked by one gateway of
 * a region at a time, and by the next one only if the records have not arrived
 * after REMOTE_FETCH_STAGGER_MS.
 */
#include "qr_gateway.h"

#include <string.h>

#define STORE_READ_DELAY_MS 100 /* for this gateway's own read */
/* Time for a compressed configuration of a few thousand routes on a busy link.
 */
#define FETCH_RETRY_MS 500
/* Time for the answer from another region and for the heartbeat that announces
   the records to the other gateways of this region. */
#define REMOTE_FETCH_STAGGER_MS 300
/* A gateway that is behind for this long, enough for three requests, reads the
   store. Gateways of a region do that one after the other: the first one can
   send the records to the rest. */
#define CATCH_UP_TIMEOUT_MS 1500
/* A few gateways are asked one after the other for the time at which a version
   was named: most have run for longer than this one. */
#define AGE_REQUESTS_MAX 4
/* The sockets are read more often unless this process is suspended. */
#define LOOK_INTERVAL_MAX_MS 100
#define AGE_RETRY_MS 200 /* round trip between regions on a busy link */

static bool knows_more(const QRGateway *g, const QRFleetMember *m)
{
    QRKnownVersions own = qr_operator_known_versions(&g->operator);

    return qr_known_versions_exceed(&m->known, &own);
}

void qr_gateway_note_peer_knowledge(QRGateway *g, QRFleetMember *member,
                                    const QRKnownVersions *known)
{
    member->known = *known;
    if (knows_more(g, member) && g->operator_behind_since_ms == 0)
        g->operator_behind_since_ms = MAX(qr_gateway_now(g), 1);
}

bool qr_gateway_is_same_region(const QRGateway *g, const QRFleetMember *m)
{
    return g_strcmp0(m->region, g->set->region) == 0;
}

uint64_t qr_gateway_peer_rank(const QRGateway *g, const QRFleetMember *m,
                              uint64_t dice)
{
    uint64_t hash = qr_hash_str(m->name, dice) >> 1;

    return qr_gateway_is_same_region(g, m) ? hash : hash | UINT64_C(1) << 63;
}

unsigned qr_gateway_region_rank(const QRGateway *g, uint64_t what,
                                uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    uint64_t own = qr_hash_str(g->set->host, what);
    unsigned n = 0;

    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        n += qr_gateway_is_same_region(g, m) &&
             qr_member_alive(m, (uint64_t)g->set->lease_ms, now_ms) &&
             qr_hash_str(m->name, what) < own;
    }
    return n;
}

static uint64_t remote_fetch_delay_ms(const QRGateway *g, uint64_t now_ms)
{
    return (uint64_t)qr_gateway_region_rank(g, g->operator.end.offset, now_ms) *
           REMOTE_FETCH_STAGGER_MS;
}

bool qr_gateway_catch_up_is_overdue(const QRGateway *g, uint64_t now_ms)
{
    return g->operator_behind_since_ms > 0 &&
           now_ms >= g->operator_behind_since_ms + CATCH_UP_TIMEOUT_MS +
                         remote_fetch_delay_ms(g, now_ms);
}

/* Returns the connection of a gateway that knows more than this one, or NULL.
   Gateways of the same region come first. */
static QRPeerConn *choose_source(const QRGateway *g)
{
    QRPeerConn *best = NULL;
    uint64_t least_rank = 0;

    for (unsigned i = 0; i < g->subscribers->len; i++) {
        QRPeerConn *peer = g->subscribers->pdata[i];
        const QRFleetMember *m = qr_peer_data(peer);

        if (!m || strcmp(m->role, QR_ROLE_GATEWAY) != 0 || !knows_more(g, m))
            continue;
        if (!best ||
            qr_gateway_peer_rank(g, m, g->operator_fetches) < least_rank) {
            best = peer;
            least_rank = qr_gateway_peer_rank(g, m, g->operator_fetches);
        }
    }
    return best;
}

/* Returns whether a gateway with an unexpired lease knows more than this one.
 */
static bool is_behind(const QRGateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    bool behind = false;

    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        behind |= knows_more(g, m) &&
                  qr_member_alive(m, (uint64_t)g->set->lease_ms, now_ms);
    }
    return behind;
}

static void send_fetch(QRPeerConn *source, const QRKnownVersions *known)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;

    fetch.offset = known->offset;
    fetch.policy_version = known->policy;
    fetch.weights_revision = known->weights;
    fetch.evacuations_epoch = known->evacuations.epoch;
    fetch.evacuations_offset = known->evacuations.offset;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(source, &frame);
}

static void fetch_from(QRGateway *g, QRPeerConn *source, uint64_t now_ms)
{
    const QRFleetMember *m = qr_peer_data(source);
    QRKnownVersions own = qr_operator_known_versions(&g->operator);

    g->operator_fetch_ms = now_ms;
    g->operator_fetches++;
    send_fetch(source, &own);
    qr_logf(QR_LEVEL_INFO, "members",
            "operator records behind own=%" G_GUINT64_FORMAT
            " behind_for_ms=%" G_GUINT64_FORMAT
            " asked=%s policy=%" G_GUINT64_FORMAT " theirs=%" G_GUINT64_FORMAT,
            own.offset, now_ms - g->operator_behind_since_ms, m->name,
            own.policy, m->known.policy);
}

static void fetch_missing_records(QRGateway *g, uint64_t now_ms)
{
    uint64_t due = g->operator_behind_since_ms +
                   (g->store_reads_paused ? 0 : STORE_READ_DELAY_MS);
    QRPeerConn *source;

    if (g->operator_behind_since_ms == 0 || now_ms < due ||
        (g->operator_fetch_ms > 0 &&
         now_ms < g->operator_fetch_ms + FETCH_RETRY_MS))
        return;
    if (!is_behind(g, now_ms)) {
        g->operator_behind_since_ms = 0;
        return;
    }
    source = choose_source(g);
    if (!source) {
        g->operator_fetch_ms = now_ms;
        qr_logf(QR_LEVEL_WARN, "members",
                "operator records behind own=%" G_GUINT64_FORMAT
                " behind_for_ms=%" G_GUINT64_FORMAT " asked=- followers=%u",
                g->operator.end.offset, now_ms - g->operator_behind_since_ms,
                g->subscribers->len);
        return;
    }
    if (qr_gateway_is_same_region(g, qr_peer_data(source)) ||
        now_ms >= due + remote_fetch_delay_ms(g, now_ms))
        fetch_from(g, source, now_ms);
}

/* Returns the connection of a gateway that knows at least as much as this one,
   or NULL. Calls rotate through the gateways. */
static QRPeerConn *choose_age_source(const QRGateway *g)
{
    unsigned n = g->subscribers->len;
    QRKnownVersions own = qr_operator_known_versions(&g->operator);

    for (unsigned i = 0; i < n; i++) {
        QRPeerConn *peer = g->subscribers->pdata[(i + g->ages_requests) % n];
        const QRFleetMember *m = qr_peer_data(peer);

        if (m && strcmp(m->role, QR_ROLE_GATEWAY) == 0 &&
            !qr_known_versions_exceed(&own, &m->known))
            return peer;
    }
    return NULL;
}

/*
 * Requests the times at which weight versions were named, when due. A gateway
 * that has just started does not know these times, but gateways that were
 * running do. Until one answers, the versions count as long in force, and
 * engines with older versions may not serve.
 */
static void fetch_version_ages(QRGateway *g, uint64_t now_ms)
{
    /* requests all versions, and a configuration only if a newer one exists */
    QRKnownVersions known = {
        .policy = qr_operator_known_versions(&g->operator).policy,
        .offset = qr_operator_first_undated_offset(&g->operator, now_ms),
        .evacuations = g->operator.evacuations.newest,
    };
    QRPeerConn *age_source;

    if (g->ages_due_ms == 0 || now_ms < g->ages_due_ms)
        return;
    if (known.offset == UINT64_MAX || g->ages_requests >= AGE_REQUESTS_MAX) {
        g->ages_due_ms = 0;
        return;
    }
    age_source = choose_age_source(g);
    if (!age_source)
        return;
    g->ages_due_ms = now_ms + AGE_RETRY_MS;
    g->ages_requests++;
    send_fetch(age_source, &known);
    qr_logf(QR_LEVEL_INFO, "members",
            "version age unknown offset=%" G_GUINT64_FORMAT " asked=%s",
            known.offset,
            ((const QRFleetMember *)qr_peer_data(age_source))->name);
}

void qr_gateway_catch_up(QRGateway *g, uint64_t now_ms)
{
    fetch_version_ages(g, now_ms);
    fetch_missing_records(g, now_ms);
}

/* Earliest time at which a message that is handled now may have been sent, if
   its way is short: it may have waited while this process was suspended. */
static uint64_t earliest_send_ms(const QRGateway *g, uint64_t now_ms)
{
    uint64_t received_after_ms = qr_ticks_received_after_ms(&g->ticks);
    uint64_t sent_ms = qr_gateway_earliest_send_ms(g);

    return now_ms > received_after_ms + LOOK_INTERVAL_MAX_MS
               ? MIN(sent_ms, received_after_ms)
               : sent_ms;
}

void qr_gateway_take_operator_records(QRGateway *g, Qr__Fleet__Records *records)
{
    uint64_t now = qr_gateway_now(g);
    uint64_t transit_ms = now - earliest_send_ms(g, now);
    QRPosition end;

    qr_operator_age_records(records, transit_ms);
    qr_operator_apply_records(&g->operator, records, now);
    g->operator_fetch_ms = g->operator_behind_since_ms =
        0; /* a peer that knows more reports again */
    /* records that a peer sent are not read again from the store */
    end = qr_position_from_peer(records->epoch, records->end, g->store_epoch);
    qr_gateway_note_epoch(g, end.epoch);
    if (qr_position_cmp(g->operator.end, end) >= 0)
        qr_follower_skip_to(g->follow_operator, end);
}
