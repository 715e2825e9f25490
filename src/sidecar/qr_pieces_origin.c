/*
 * Fetches pieces from the origin, and tells the other roots that it answers.
 */
#include "qr_sidecar.h"

#include <string.h>

#define ORIGIN_TIMEOUT_MS 2500
#define ORIGIN_REQUESTS_MAX 1 /* the origin accepts few connections */
/* A piece is tried again this long after the origin sent a damaged one. */
#define DAMAGED_RETRY_MS 150
/* Idle connections to the origin are closed: other sidecars need them. */
#define ORIGIN_IDLE_MS 300
/* A relay replies within this time whether it holds a piece; one that has
   queued the piece sends it within the second. */
#define HOLDER_REPLY_MS 150
#define HOLDER_SEND_MS 1500
/* If no source delivers and no piece arrives for so long, this sidecar fetches
   pieces that it does not own: it may be able to reach the origin only. */
#define ISOLATED_MS 2000

static const char *origin_address(const QRSidecar *s)
{
    const QRService *origin =
        s->operator.policy ? qr_policy_origin(s->operator.policy) : NULL;

    return origin ? origin->origin : NULL;
}

static uint64_t next_random(const QRSidecar *s, uint64_t salt)
{
    return qr_hash_str(s->set->host, qr_sidecar_now(s) + salt);
}

/* Whether the origin could not be used, rather than lacking this piece. */
static bool is_origin_failure(const QRBufferedAnswer *a)
{
    return a->status == 0 || a->status == 429 || a->status >= 500;
}

static void note_origin_failure(QRTarget *t, uint32_t index,
                                const QRBufferedAnswer *a)
{
    QRSidecar *s = t->sidecar;
    uint64_t now = qr_sidecar_now(s);
    g_auto(QRSourcePlan) plan = {0};
    QROriginFailure f = {
        .retry_after_ms =
            qr_platform_retry_delay_ms(s->platform, a->status, a->headers),
        .random = next_random(s, index),
    };

    qr_sidecar_plan(s, t->version, &plan);
    /* until one sidecar has the manifest, the others have nothing to ask for */
    f.probes = qr_source_is_prober(&plan) || index == QR_MANIFEST_INDEX;
    qr_origin_note_failure(&s->origin, &f, now);
    s->origin_failures++;
    qr_logf(QR_LEVEL_WARN, "weights",
            "origin failed index=%d status=%u why=%s version=%" G_GUINT64_FORMAT
            " failures=%u probes=%d retry_in_ms=%" G_GUINT64_FORMAT,
            (int)index, a->status, a->error ? a->error : "-", t->version,
            s->origin.failures, f.probes, s->origin.retry_ms - now);
}

static void handle_origin_answer(void *owner, unsigned index,
                                 const QRBufferedAnswer *a)
{
    QRTarget *t = owner;
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);
    uint64_t now = qr_sidecar_now(s);

    p->fetch = NULL;
    s->origin_bytes += a->len;
    s->origin_used_ms = now;
    if (is_origin_failure(a)) {
        note_origin_failure(t, index, a);
        p->asked = false;
        p->asked_ms = now;
        return;
    }
    qr_origin_note_answer(&s->origin, now);
    s->origin_pieces++;
    qr_pieces_report_origin(s, now);
    /* the next tick requests the next piece: this connection cannot carry
       another request until the last bytes of this answer are processed */
    if (a->status == 200 &&
        qr_piece_accept(t, index, a->data, a->len, "origin"))
        return;
    qr_logf(QR_LEVEL_WARN, "weights",
            "origin sent no valid piece index=%d status=%u "
            "version=%" G_GUINT64_FORMAT,
            (int)index, a->status, t->version);
    p->asked = false;
    p->asked_ms = now;
    s->origin.retry_ms = now + DAMAGED_RETRY_MS;
}

static void send_origin_state(QRSidecar *s, QRPeerConn *peer, uint64_t now)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__OriginState state = QR__FLEET__ORIGIN_STATE__INIT;

    state.address = (char *)origin_address(s);
    state.reachable = true;
    state.age_ms = (uint32_t)MIN(now - s->origin.answered_ms, G_MAXUINT32);
    frame.body_case = QR__FLEET__FRAME__BODY_ORIGIN_STATE;
    frame.origin_state = &state;
    qr_peer_send(peer, &frame);
}

void qr_pieces_report_origin(QRSidecar *s, uint64_t now_ms)
{
    g_auto(QRSourcePlan) plan = {0};

    if (!origin_address(s) || !qr_origin_take_report(&s->origin, now_ms))
        return;
    qr_sidecar_plan(s, qr_sidecar_newest_version(s), &plan);
    for (unsigned i = 0; i < plan.roots->len; i++) {
        const QRFleetMember *m = plan.roots->pdata[i];
        QRPeerConn *peer = strcmp(m->name, s->set->host) != 0
                               ? qr_sidecar_open_peer(s, m->address)
                               : NULL;

        if (peer)
            send_origin_state(s, peer, now_ms);
    }
}

void qr_pieces_handle_origin_state(QRSidecar *s,
                                   const Qr__Fleet__OriginState *state)
{
    uint64_t now = qr_sidecar_now(s);

    /* from a peer that has another configuration, or malformed */
    if (!state->reachable || g_strcmp0(state->address, origin_address(s)) != 0)
        return;
    qr_origin_note_peer_answer(&s->origin, now - MIN(now, state->age_ms),
                               next_random(s, state->age_ms), now);
}

unsigned qr_pieces_count_origin_requests(const QRSidecar *s)
{
    unsigned n = 0;

    for (unsigned k = 0; k < s->targets->len; k++) {
        const QRTarget *t = s->targets->pdata[k];

        n += t->manifest_piece->fetch != NULL;
        for (unsigned i = 0; t->pieces && i < t->pieces->len; i++)
            n += qr_piece(t, i)->fetch != NULL;
    }
    return n;
}

void qr_pieces_close_idle_origin(QRSidecar *s, uint64_t now_ms)
{
    if (s->origin_used_ms == 0 || now_ms < s->origin_used_ms + ORIGIN_IDLE_MS ||
        qr_pieces_count_origin_requests(s) > 0)
        return;
    s->origin_used_ms = 0;
    if (origin_address(s))
        qr_client_close_idle(s->origin_client, origin_address(s));
}

/* Whether the members are known, so that the owner of a piece is. */
static bool knows_members(const QRSidecar *s, uint64_t now)
{
    return now >= s->started_ms + QR_MEMBERS_KNOWN_MS &&
           (s->followed_gateway || s->reads_store);
}

/* Asks the relays of all regions for the piece, if they hold it. */
static void ask_holders(QRTarget *t, uint32_t index, const QRSourcePlan *plan)
{
    QRSidecar *s = t->sidecar;
    g_autoptr(GPtrArray) relays = g_ptr_array_new();

    qr_source_first_relays(plan, index, relays);
    for (unsigned i = 0; i < relays->len; i++) {
        const QRFleetMember *m = relays->pdata[i];
        QRPeerConn *peer = qr_sidecar_open_peer(s, m->address);
        QRFrame frame = QR__FLEET__FRAME__INIT;
        Qr__Fleet__Want want = QR__FLEET__WANT__INIT;

        if (!peer)
            continue;
        want.role = QR__FLEET__WANT__ROLE__HOLDER;
        want.model = s->model;
        want.version = t->version;
        want.index = index;
        frame.body_case = QR__FLEET__FRAME__BODY_WANT;
        frame.want = &want;
        qr_peer_send(peer, &frame);
    }
}

/*
 * Whether a relay may still deliver the piece. A sidecar that owns it only now
 * replaces an owner that may have fetched it; what that owner passed on is with
 * the relays, and the origin need not send it again.
 */
static bool awaits_holder(QRTarget *t, uint32_t index, const QRSourcePlan *plan,
                          uint64_t now)
{
    QRPiece *p = qr_piece(t, index);

    if (index == QR_MANIFEST_INDEX || p->owned_at_first)
        return false;
    if (p->holders_asked_ms == 0) {
        p->holders_asked_ms = now;
        ask_holders(t, index, plan);
        return true;
    }
    return now < p->holders_asked_ms + HOLDER_REPLY_MS ||
           (p->holder_found_ms > 0 &&
            now < p->holder_found_ms + HOLDER_SEND_MS);
}

/* Sends the request if the origin, the other requests and the schedule of
   versions allow. */
void qr_piece_request_from_origin(QRTarget *t, uint32_t index,
                                  const QRSourcePlan *plan, uint64_t now)
{
    QRSidecar *s = t->sidecar;
    g_autofree char *path = NULL;
    QRBufferedRequest r = {0};

    if (!origin_address(s) || !knows_members(s, now) ||
        !qr_origin_may_request(&s->origin, now) ||
        qr_pieces_count_origin_requests(s) >= ORIGIN_REQUESTS_MAX)
        return;
    if (!qr_source_is_owner(plan, index) &&
        qr_piece(t, index)->attempts.roots == 0 &&
        !qr_piece(t, index)->uses_role &&
        now < t->progress.last_ms + ISOLATED_MS)
        return;
    if (awaits_holder(t, index, plan, now))
        return;
    path = index == QR_MANIFEST_INDEX
               ? s->platform->manifest_path(s->model, t->version)
               : s->platform->piece_path(s->model, t->version, index);
    r.address = origin_address(s);
    r.method = "GET";
    r.path = path;
    r.connect_ms = qr_origin_connect_timeout_ms(&s->origin);
    r.timeout_ms = ORIGIN_TIMEOUT_MS;
    if (index != QR_MANIFEST_INDEX)
        r.answer_max = qr_target_piece_max_bytes(t);
    qr_piece(t, index)->fetch =
        qr_buffered_send(s->origin_client, &r, handle_origin_answer, t, index);
}
