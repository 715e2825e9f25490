/*
 * Sends pieces to the sidecars that ask for them: keeps the waiting peers,
 * orders the queue and limits the rate.
 */
#include "qr_sidecar.h"

#include <string.h>

#define UPLOADS_IN_FLIGHT_MAX 3 /* pieces sent and not acknowledged */
#define ACK_TIMEOUT_MS 1500     /* then the peer may be dead: not counted */
/* The link of this host is slow if two pieces are unacknowledged this long. */
#define ACK_SLOW_MS 500
#define BURST_MAX_MS 25 /* one tick: the limiter is refilled no more often */
#define SWITCH_GROUPS 3 /* groups of sidecars, by when they switch versions */

QRTarget *qr_target_find(const QRSidecar *s, const char *model,
                         uint64_t version)
{
    for (unsigned i = 0; s->model && i < s->targets->len; i++) {
        QRTarget *t = s->targets->pdata[i];

        if (t->version == version && strcmp(model, s->model) == 0)
            return t;
    }
    return NULL;
}

static void send_piece(QRPeerConn *peer, const char *model, uint64_t version,
                       uint32_t index, Qr__Fleet__Piece__State state,
                       GBytes *data)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Piece piece = QR__FLEET__PIECE__INIT;
    gsize len = 0;

    piece.model = (char *)model;
    piece.version = version;
    piece.index = index;
    piece.state = state;
    if (data) {
        piece.data.data = (uint8_t *)g_bytes_get_data(data, &len);
        piece.data.len = len;
    }
    frame.body_case = QR__FLEET__FRAME__BODY_PIECE;
    frame.piece = &piece;
    qr_peer_send(peer, &frame);
}

void qr_upload_send_state(const QRWaiter *w, Qr__Fleet__Piece__State state)
{
    send_piece(w->peer, w->target->sidecar->model, w->target->version, w->index,
               state, NULL);
}

void qr_upload_send_state_all(const GArray *out, Qr__Fleet__Piece__State state)
{
    for (unsigned i = 0; i < out->len; i++)
        qr_upload_send_state(&g_array_index(out, QRWaiter, i), state);
}

static unsigned target_position(const QRSidecar *s, const QRTarget *t)
{
    unsigned at = 0;

    g_ptr_array_find(s->targets, t, &at);
    return at;
}

/*
 * The rank of an upload; lower ranks are sent first. The older version, whose
 * bound comes first, precedes the newer one. Of a version first come peers that
 * forward the piece (relays, and peers of other regions), then the group of
 * sidecars that switches first. Within a group all have the same rank, because
 * a few peers alone cannot receive as much as this sidecar may send.
 */
static unsigned upload_rank(const QRSidecar *s, const QRWaiter *w)
{
    const QRFleetMember *to = qr_peer_data(w->peer);
    g_auto(QRSourcePlan) plan = {0};
    unsigned first = target_position(s, w->target) * (SWITCH_GROUPS + 2);
    unsigned place;

    qr_sidecar_plan(s, w->target->version, &plan);
    if (to && (g_strcmp0(to->region, s->set->region) != 0 ||
               qr_source_is_relay(&plan, w->index, to)))
        return first;
    place = to ? qr_source_rank(&plan, to->name) : plan.all->len;
    return first + 1 + place * SWITCH_GROUPS / MAX(plan.all->len, 1);
}

/* Queues a piece for a peer, behind those of the same rank. */
static void enqueue_upload(QRSidecar *s, const QRWaiter *waiter)
{
    QRWaiter *w = g_memdup2(waiter, sizeof(*waiter));
    GList *at = s->uploads.head;

    w->upload_priority = upload_rank(s, w);
    while (at && ((QRWaiter *)at->data)->upload_priority <= w->upload_priority)
        at = at->next;
    g_queue_insert_before(&s->uploads, at, w);
}

/* A piece that was sent and has not been acknowledged. */
typedef struct InFlight {
    QRPeerConn *peer;
    uint64_t sent_ms;
} InFlight;

static bool has_in_flight(const QRSidecar *s, const QRPeerConn *peer)
{
    for (unsigned i = 0; i < s->unconfirmed_uploads->len; i++) {
        if (g_array_index(s->unconfirmed_uploads, InFlight, i).peer == peer)
            return true;
    }
    return false;
}

/*
 * Takes the first queued upload whose peer has no piece in flight; NULL: none.
 * A peer that receives slowly, because others send to it too, must not delay
 * the rest. The caller frees the result.
 */
static QRWaiter *pop_upload(QRSidecar *s)
{
    if (s->unconfirmed_uploads->len >= UPLOADS_IN_FLIGHT_MAX)
        return NULL;
    for (GList *l = s->uploads.head; l; l = l->next) {
        QRWaiter *w = l->data;

        if (has_in_flight(s, w->peer))
            continue;
        g_queue_delete_link(&s->uploads, l);
        return w;
    }
    return NULL;
}

/* Detects a slow link from late pieces, and stops counting those that were not
   acknowledged in time. */
static void check_in_flight(QRSidecar *s, uint64_t now_ms)
{
    unsigned slow = 0;

    for (unsigned i = s->unconfirmed_uploads->len; i > 0; i--) {
        uint64_t sent_ms =
            g_array_index(s->unconfirmed_uploads, InFlight, i - 1).sent_ms;

        slow += now_ms > sent_ms + ACK_SLOW_MS;
        if (now_ms > sent_ms + ACK_TIMEOUT_MS)
            g_array_remove_index(s->unconfirmed_uploads, i - 1);
    }
    if (slow > 1)
        qr_link_note_slow(s, now_ms);
}

void qr_upload_note_received(QRSidecar *s, const QRPeerConn *peer)
{
    for (unsigned i = 0; i < s->unconfirmed_uploads->len; i++) {
        if (g_array_index(s->unconfirmed_uploads, InFlight, i).peer == peer) {
            g_array_remove_index(s->unconfirmed_uploads, i);
            return;
        }
    }
}

/* Whether the engine has calls, which share the host's link with uploads. */
static bool engine_has_calls(const QRSidecar *s)
{
    return s->reachable && s->report.active + s->report.queued > 0;
}

void qr_upload_send_queued(QRSidecar *s, uint64_t now_ms)
{
    bool engine_busy = engine_has_calls(s);
    double share = engine_busy ? (double)s->set->weights_link_percent / 100 : 1;
    double bytes_per_ms = s->set->link_mbit_s * 1e6 / 8 / 1000 * share;

    /* unused time since the last refill is saved only if no calls wait */
    qr_upload_limiter_refill(&s->upload_limiter, bytes_per_ms,
                             engine_busy ? 0 : BURST_MAX_MS, now_ms);
    check_in_flight(s, now_ms);
    while (bytes_per_ms <= 0 ||
           qr_upload_limiter_may_send(&s->upload_limiter)) {
        g_autofree QRWaiter *w = pop_upload(s);
        InFlight sent;
        GBytes *data;

        if (!w)
            return;
        data = qr_piece(w->target, w->index)->data;
        send_piece(w->peer, s->model, w->target->version, w->index,
                   QR__FLEET__PIECE__STATE__DATA, data);
        qr_upload_limiter_spend(&s->upload_limiter, g_bytes_get_size(data));
        sent = (InFlight){w->peer, now_ms};
        g_array_append_val(s->unconfirmed_uploads, sent);
    }
}

static void drop_in_flight(QRSidecar *s, const QRPeerConn *peer)
{
    for (unsigned i = s->unconfirmed_uploads->len; i > 0; i--) {
        if (g_array_index(s->unconfirmed_uploads, InFlight, i - 1).peer == peer)
            g_array_remove_index(s->unconfirmed_uploads, i - 1);
    }
}

GArray *qr_upload_in_flight_new(void)
{
    return g_array_new(FALSE, FALSE, sizeof(InFlight));
}

static bool is_dropped(const QRWaiter *w, const QRTarget *target,
                       const QRPeerConn *peer)
{
    return target ? w->target == target : w->peer == peer;
}

void qr_upload_drop_waiters(QRSidecar *s, const QRTarget *target,
                            const QRPeerConn *peer)
{
    g_autoptr(GArray) removed = g_array_new(FALSE, FALSE, sizeof(QRWaiter));

    if (peer)
        drop_in_flight(s, peer);
    for (unsigned i = s->waiters->len; i > 0; i--) {
        QRWaiter w = g_array_index(s->waiters, QRWaiter, i - 1);

        if (!is_dropped(&w, target, peer))
            continue;
        g_array_remove_index_fast(s->waiters, i - 1);
        g_array_append_val(removed, w);
    }
    for (GList *l = s->uploads.head; l;) {
        GList *next = l->next;
        QRWaiter *w = l->data;

        if (is_dropped(w, target, peer)) {
            g_array_append_val(removed, *w);
            g_free(w);
            g_queue_delete_link(&s->uploads, l);
        }
        l = next;
    }
    if (target)
        qr_upload_send_state_all(removed, QR__FLEET__PIECE__STATE__ABSENT);
}

/* Whether peers must get the piece elsewhere: the engine serves the version,
   but its stage lacks the piece. */
static bool is_missing(const QRTarget *t, uint32_t index)
{
    return t->scanned && index != QR_MANIFEST_INDEX &&
           qr_sidecar_serves(t->sidecar, t->version) &&
           qr_target_has_index(t, index) && !qr_piece(t, index)->data;
}

void qr_upload_reject_missing(QRTarget *t)
{
    QRSidecar *s = t->sidecar;
    g_autoptr(GArray) removed = g_array_new(FALSE, FALSE, sizeof(QRWaiter));

    for (unsigned i = s->waiters->len; i > 0; i--) {
        QRWaiter w = g_array_index(s->waiters, QRWaiter, i - 1);

        if (w.target != t || !is_missing(t, w.index))
            continue;
        g_array_remove_index_fast(s->waiters, i - 1);
        g_array_append_val(removed, w);
    }
    qr_upload_send_state_all(removed, QR__FLEET__PIECE__STATE__ABSENT);
}

void qr_upload_reject_queued(QRSidecar *s)
{
    QRWaiter *w;

    while ((w = g_queue_pop_head(&s->uploads))) {
        qr_upload_send_state(w, QR__FLEET__PIECE__STATE__ABSENT);
        g_free(w);
    }
}

static QRPieceRole role_wanted(const Qr__Fleet__Want *want)
{
    if (want->role == QR__FLEET__WANT__ROLE__ROOT)
        return QR_PIECE_ROLE_ROOT;
    return want->role == QR__FLEET__WANT__ROLE__FIRST
               ? QR_PIECE_ROLE_FIRST_RELAY
               : QR_PIECE_ROLE_RELAY;
}

/*
 * Adopts the attempt counts of a peer that asks for the piece. At a later
 * attempt this sidecar is the next source in the order for the piece. The
 * earlier sources did not deliver, so this sidecar skips them too.
 */
static void adopt_attempts(QRPiece *p, const QRWaiter *w)
{
    QRSourceAttempts tried = {MAX(p->attempts.relays, w->tried.relays),
                              p->attempts.roots};

    /* A relay finds out by itself which root does not deliver: the asker may
       only have a bad link to that root, and the next root would fetch the
       piece a second time. */
    if (w->role == QR_PIECE_ROLE_ROOT)
        tried.roots = MAX(tried.roots, w->tried.roots);
    p->role = MAX(p->role, w->role);
    /* no version begins without its manifest, which is small: a second copy
       from the origin costs less than the time until views agree */
    if (w->role == QR_PIECE_ROLE_ROOT && w->tried.roots > 0 &&
        w->index == QR_MANIFEST_INDEX)
        p->uses_role = true;
    if (tried.relays == p->attempts.relays && tried.roots == p->attempts.roots)
        return;
    p->attempts = tried;
    if (!p->fetch)
        p->asked = p->pending = false;
}

/* The manifest was passed on to this sidecar, which now asks the origin, even
   if it has passed the manifest on before. */
static void take_over_manifest(QRTarget *t, QRPiece *p, const QRWaiter *w)
{
    qr_logf(QR_LEVEL_INFO, "weights",
            "manifest passed on to this root version=%" G_GUINT64_FORMAT
            " roots_tried=%u yielded=%d",
            t->version, w->tried.roots, p->yielded);
    p->role = QR_PIECE_ROLE_ROOT;
    p->uses_role = true;
    p->attempts.roots = w->tried.roots;
    if (p->yielded)
        p->asked = p->pending = false;
    p->yielded = false;
    p->probe_since_ms = 0;
}

/* Adopts what the request of a waiting peer says, once the piece is known. */
static void adopt_request(QRWaiter *w)
{
    QRPiece *p;

    if (w->adopted || !w->target || !qr_target_has_index(w->target, w->index))
        return;
    w->adopted = true;
    p = qr_piece(w->target, w->index);
    if (w->passed_on && w->index == QR_MANIFEST_INDEX)
        take_over_manifest(w->target, p, w);
    else
        adopt_attempts(p, w);
}

/* Whether the wanted version is newer than any known here, or none is known
   because this sidecar has just started. The operator's record will follow. */
static bool is_unknown_version(const QRSidecar *s, const Qr__Fleet__Want *want)
{
    return (!s->model || strcmp(want->model, s->model) == 0) &&
           want->version > qr_sidecar_newest_version(s);
}

void qr_upload_bind_target(QRSidecar *s, QRTarget *t)
{
    for (unsigned i = 0; i < s->waiters->len; i++) {
        QRWaiter *w = &g_array_index(s->waiters, QRWaiter, i);

        if (!w->target && w->version == t->version)
            w->target = t;
    }
    qr_upload_adopt_requests(t);
}

void qr_upload_adopt_requests(QRTarget *t)
{
    GArray *waiters = t->sidecar->waiters;

    for (unsigned i = 0; i < waiters->len; i++) {
        QRWaiter *w = &g_array_index(waiters, QRWaiter, i);

        if (w->target == t)
            adopt_request(w);
    }
}

/* A peer that asks again, because it was told to wait for another, waits once.
 */
static void add_waiter(QRSidecar *s, const QRWaiter *waiter)
{
    for (unsigned i = 0; i < s->waiters->len; i++) {
        QRWaiter *w = &g_array_index(s->waiters, QRWaiter, i);

        if (w->peer == waiter->peer && w->version == waiter->version &&
            w->index == waiter->index) {
            *w = *waiter;
            return;
        }
    }
    g_array_append_vals(s->waiters, waiter, 1);
}

void qr_weights_handle_want(QRSidecar *s, QRPeerConn *peer,
                            const Qr__Fleet__Want *want)
{
    QRWaiter w = {
        .peer = peer,
        .target = qr_target_find(s, want->model, want->version),
        .version = want->version,
        .index = want->index,
        .role = role_wanted(want),
        .tried = {want->attempt, want->root_attempt},
        .passed_on = want->passed_on,
    };
    QRPiece *p;

    if (is_unknown_version(s, want) &&
        want->role != QR__FLEET__WANT__ROLE__HOLDER) {
        add_waiter(s, &w);
        send_piece(peer, want->model, want->version, want->index,
                   QR__FLEET__PIECE__STATE__PENDING, NULL);
        return;
    }
    if (!w.target ||
        (w.target->pieces && !qr_target_has_index(w.target, w.index))) {
        send_piece(peer, want->model, want->version, want->index,
                   QR__FLEET__PIECE__STATE__ABSENT, NULL);
        return;
    }
    p = qr_target_has_index(w.target, w.index) ? qr_piece(w.target, w.index)
                                               : NULL;
    if (p && p->data && w.index == QR_MANIFEST_INDEX) {
        send_piece(peer, s->model, w.version, w.index,
                   QR__FLEET__PIECE__STATE__DATA, p->data);
        return;
    }
    /* over a slow link, state sent to gateways would wait behind pieces */
    if (p && p->data && s->reported_slow_link) {
        qr_upload_send_state(&w, QR__FLEET__PIECE__STATE__ABSENT);
        return;
    }
    if (p && p->data) {
        enqueue_upload(s, &w);
        qr_upload_send_state(&w, QR__FLEET__PIECE__STATE__QUEUED);
        return;
    }
    /* other sidecars hold the version too; if this one asked them, they
       could ask this one in turn */
    if (is_missing(w.target, w.index) ||
        want->role == QR__FLEET__WANT__ROLE__HOLDER) {
        qr_upload_send_state(&w, QR__FLEET__PIECE__STATE__ABSENT);
        return;
    }
    adopt_request(&w);
    add_waiter(s, &w);
    qr_upload_send_state(&w, QR__FLEET__PIECE__STATE__PENDING);
}
