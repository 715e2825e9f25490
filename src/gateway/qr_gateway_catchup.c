/*
 * Operator's records from other gateways.
 *
 * Each gateway tells by hello and heartbeat which versions it knows. One that
 * is behind asks one of those that know more, and then the next: were all
 * to tell it, the same configuration would come from each.
 *
 * A configuration is long, and the links between regions are narrow. So one of
 * its own region is asked if any knows more; gateways of other regions are
 * asked by the first of the region, and by the next ones only when that one
 * still does not know after a moment.
 */
#include "qr_gateway.h"

#include <string.h>

#define BEHIND_MS 100 /* the store may take so long to tell us itself */
/* A configuration of a few thousand routes, compressed, on a busy link. */
#define ASK_AGAIN_MS 500
/* For the answer to one that asked another region, and the heartbeat by which
   its neighbours learn of it. */
#define FAR_TURN_MS 300
/* Behind for so long though it could ask three times, a gateway reads the
   store; those of a region by turns, so that the first can tell the others. */
#define UNTOLD_MOST_MS 1500
/* A few others are asked since when a version is named, one after the other:
   most have run for longer than we have. */
#define AGES_ASKED_MOST 4
#define AGES_AGAIN_MS 200 /* a round trip between regions, on a busy link */

static bool knows_more(const QRGateway *g, const QRFleetMember *m)
{
    QRKnownVersions own = qr_operator_known_versions(&g->operator);

    return qr_known_versions_exceed(&m->known, &own);
}

void qr_gateway_peer_knows(QRGateway *g, QRFleetMember *member,
                           const QRKnownVersions *known)
{
    member->known = *known;
    if (knows_more(g, member) && g->behind_ms == 0)
        g->behind_ms = MAX(qr_gateway_now(g), 1);
}

bool qr_gateway_is_near(const QRGateway *g, const QRFleetMember *m)
{
    return g_strcmp0(m->region, g->set->region) == 0;
}

uint64_t qr_gateway_preference(const QRGateway *g, const QRFleetMember *m,
                               uint64_t dice)
{
    uint64_t any = qr_hash_str(m->name, dice) >> 1;

    return qr_gateway_is_near(g, m) ? any : any | UINT64_C(1) << 63;
}

unsigned qr_gateway_near_before(const QRGateway *g, uint64_t what,
                                uint64_t now_ms)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    uint64_t own = qr_hash_str(g->set->host, what);
    unsigned n = 0;

    for (unsigned i = 0; i < list->len; i++) {
        const QRFleetMember *m = list->pdata[i];

        n += qr_gateway_is_near(g, m) &&
             qr_member_alive(m, (uint64_t)g->set->lease_ms, now_ms) &&
             qr_hash_str(m->name, what) < own;
    }
    return n;
}

static uint64_t far_turn_ms(const QRGateway *g, uint64_t now_ms)
{
    return (uint64_t)qr_gateway_near_before(g, g->operator.end.offset, now_ms) *
           FAR_TURN_MS;
}

bool qr_gateway_is_untold(const QRGateway *g, uint64_t now_ms)
{
    return g->behind_ms > 0 &&
           now_ms >= g->behind_ms + UNTOLD_MOST_MS + far_turn_ms(g, now_ms);
}

/* The connection of a gateway that knows more than we do, or NULL. */
static QRPeerConn *choose_teller(const QRGateway *g)
{
    QRPeerConn *best = NULL;
    uint64_t least = 0;

    for (unsigned i = 0; i < g->followers->len; i++) {
        QRPeerConn *peer = g->followers->pdata[i];
        const QRFleetMember *m = qr_peer_data(peer);

        if (!m || strcmp(m->role, QR_ROLE_GATEWAY) != 0 || !knows_more(g, m))
            continue;
        if (!best || qr_gateway_preference(g, m, g->fetches) < least) {
            best = peer;
            least = qr_gateway_preference(g, m, g->fetches);
        }
    }
    return best;
}

/* Whether a gateway that we hear knows more than we do. */
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

static void ask_for(QRPeerConn *teller, const QRKnownVersions *known)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Fetch fetch = QR__FLEET__FETCH__INIT;

    fetch.offset = known->offset;
    fetch.policy_version = known->policy;
    fetch.weights_revision = known->weights;
    frame.body_case = QR__FLEET__FRAME__BODY_FETCH;
    frame.fetch = &fetch;
    qr_peer_send(teller, &frame);
}

static void ask_teller(QRGateway *g, QRPeerConn *teller, uint64_t now_ms)
{
    const QRFleetMember *m = qr_peer_data(teller);
    QRKnownVersions own = qr_operator_known_versions(&g->operator);

    g->fetch_ms = now_ms;
    g->fetches++;
    ask_for(teller, &own);
    qr_logf(QR_LEVEL_INFO, "members",
            "behind own=%" G_GUINT64_FORMAT " behind_for_ms=%" G_GUINT64_FORMAT
            " asked=%s policy=%" G_GUINT64_FORMAT " theirs=%" G_GUINT64_FORMAT,
            own.offset, now_ms - g->behind_ms, m->name, own.policy,
            m->known.policy);
}

static void catch_up(QRGateway *g, uint64_t now_ms)
{
    uint64_t due = g->behind_ms + (g->reading_rests ? 0 : BEHIND_MS);
    QRPeerConn *teller;

    if (g->behind_ms == 0 || now_ms < due ||
        (g->fetch_ms > 0 && now_ms < g->fetch_ms + ASK_AGAIN_MS))
        return;
    if (!is_behind(g, now_ms)) {
        g->behind_ms = 0;
        return;
    }
    teller = choose_teller(g);
    if (!teller) {
        g->fetch_ms = now_ms;
        qr_logf(QR_LEVEL_WARN, "members",
                "behind own=%" G_GUINT64_FORMAT
                " behind_for_ms=%" G_GUINT64_FORMAT " asked=- followers=%u",
                g->operator.end.offset, now_ms - g->behind_ms,
                g->followers->len);
        return;
    }
    if (qr_gateway_is_near(g, qr_peer_data(teller)) ||
        now_ms >= due + far_turn_ms(g, now_ms))
        ask_teller(g, teller, now_ms);
}

/* The connection of a gateway that knows what we know, each time another. */
static QRPeerConn *choose_witness(const QRGateway *g)
{
    unsigned n = g->followers->len;
    QRKnownVersions own = qr_operator_known_versions(&g->operator);

    for (unsigned i = 0; i < n; i++) {
        QRPeerConn *peer = g->followers->pdata[(i + g->ages_asked) % n];
        const QRFleetMember *m = qr_peer_data(peer);

        if (m && strcmp(m->role, QR_ROLE_GATEWAY) == 0 &&
            !qr_known_versions_exceed(&own, &m->known))
            return peer;
    }
    return NULL;
}

/*
 * One that has just started finds versions named it does not know when. Others
 * that ran meanwhile know it: until one says so, they count as long in force,
 * and no engine may serve that has older ones.
 */
static void ask_ages(QRGateway *g, uint64_t now_ms)
{
    /* all versions are asked for, and no configuration that we know */
    QRKnownVersions known = {
        .policy = qr_operator_known_versions(&g->operator).policy,
        .offset = qr_operator_first_undated_offset(&g->operator, now_ms),
    };
    QRPeerConn *witness;

    if (g->ages_ms == 0 || now_ms < g->ages_ms)
        return;
    if (known.offset == UINT64_MAX || g->ages_asked >= AGES_ASKED_MOST) {
        g->ages_ms = 0;
        return;
    }
    witness = choose_witness(g);
    if (!witness)
        return;
    g->ages_ms = now_ms + AGES_AGAIN_MS;
    g->ages_asked++;
    ask_for(witness, &known);
    qr_logf(QR_LEVEL_INFO, "members",
            "age unknown offset=%" G_GUINT64_FORMAT " asked=%s", known.offset,
            ((const QRFleetMember *)qr_peer_data(witness))->name);
}

void qr_gateway_catch_up(QRGateway *g, uint64_t now_ms)
{
    ask_ages(g, now_ms);
    catch_up(g, now_ms);
}

void qr_gateway_operator_heard(QRGateway *g, const Qr__Fleet__Records *records)
{
    uint64_t now = qr_gateway_now(g);
    uint64_t under_way = now - qr_gateway_sent_ms(g);
    QRPosition end;

    /* ages are as of when they were sent */
    for (size_t i = 0; i < records->n_records; i++) {
        Qr__Fleet__Record *r = records->records[i];

        r->age_ms += under_way;
        for (size_t k = 0; k < r->n_earlier; k++)
            r->earlier[k]->age_ms += under_way;
    }
    qr_operator_apply_records(&g->operator, records, now);
    g->fetch_ms = g->behind_ms = 0; /* who still knows more says so again */
    /* what a peer told is not read once more from the store */
    end = qr_position_from_peer(records->epoch, records->end, g->store_epoch);
    qr_gateway_note_epoch(g, end.epoch);
    if (qr_position_cmp(g->operator.end, end) >= 0)
        qr_follower_skip_to(g->follow_operator, end);
}
