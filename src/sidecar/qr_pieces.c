/*
 * Fetches the pieces of a version and its manifest from peers and from the
 * origin. The manifest is handled as a piece with index QR_MANIFEST_INDEX.
 */
#include "qr_sidecar.h"

#include <string.h>

/* Named longer ago, pieces may have been fetched before this sidecar heard of
   the version. */
#define FIRST_FETCH_MS 1500
#define STALL_MS 900              /* no piece from any source: ask another */
#define PEER_TIMEOUT_MS 4000      /* for a peer to deliver a piece */
#define PEER_REPLY_TIMEOUT_MS 900 /* for a peer to send any reply at all */
#define PENDING_TIMEOUT_MS 1000   /* since a peer last reported PENDING */
/* While other pieces arrive, a relay is waited for no longer. The owner of a
   piece is waited for as long as it reports PENDING: it knows by itself that it
   cannot reach the origin, and another root would fetch the piece a second
   time. Roots that stand in for it are waited for a limited time, as two of
   them could wait for each other. */
#define RELAY_TIMEOUT_MS 9000
#define ROOT_TIMEOUT_MS 3000
/* A root to which the manifest was passed on asks the origin for so long before
   it passes the manifest on. */
#define MANIFEST_TERM_MS 700
/* On top of a term of each root, until a manifest that was passed on counts as
   forgotten by those that have it. */
#define MANIFEST_MARGIN_MS 2000
#define MEMBER_VIEWS_SETTLE_MS 1500 /* until sidecars see the same members */
#define PENDING_NOTICE_MS 400 /* between PENDING messages to a waiting peer */
/* The manifest is small: its peer timeouts are divided by this number. */
#define MANIFEST_TIMEOUT_DIVISOR 3
#define DIAL_TIMEOUT_MS 300
#define WINDOW_MIN 1
#define WINDOW_MAX 8
#define WINDOW_SMALL 2
/* The link counts as slow for so long after a slow piece, and after any piece
   that was incoming while the link was slow. */
#define SLOW_LINK_MS 1500
#define PIECE_FAST_MS 130 /* from its first byte to its last */
#define PIECE_SLOW_MS 260

void qr_piece_notify_waiters(QRTarget *t, uint32_t index)
{
    QRSidecar *s = t->sidecar;
    g_autoptr(GArray) removed = g_array_new(FALSE, FALSE, sizeof(QRWaiter));

    for (unsigned i = s->waiters->len; i > 0; i--) {
        QRWaiter w = g_array_index(s->waiters, QRWaiter, i - 1);

        if (w.target != t || w.index != index)
            continue;
        g_array_remove_index_fast(s->waiters, i - 1);
        g_array_append_val(removed, w);
    }
    qr_upload_send_state_all(removed, QR__FLEET__PIECE__STATE__READY);
}

static void report_target_complete(QRTarget *t)
{
    QRSidecar *s = t->sidecar;

    qr_logf(QR_LEVEL_INFO, "weights",
            "all pieces received version=%" G_GUINT64_FORMAT
            " ms=%" G_GUINT64_FORMAT " origin_bytes=%" G_GUINT64_FORMAT
            " peer_pieces=%" G_GUINT64_FORMAT,
            t->version, t->named_ms ? t->progress.last_ms - t->named_ms : 0,
            s->origin_bytes, s->peer_pieces);
    qr_sidecar_send_state(s, true);
}

/* Whether the bytes match the version's digest. A manifest is parsed. */
static bool is_piece_valid(QRTarget *t, uint32_t index, const void *data,
                           size_t len)
{
    char digest[QR_SHA_HEX];

    if (index == QR_MANIFEST_INDEX)
        return qr_target_set_manifest(t, data, len);
    qr_sha256_hex(data, len, digest);
    return strcmp(digest, t->manifest->digests->pdata[index]) == 0;
}

/*
 * Checks and stores a received piece and notifies the peers that wait for it.
 * Returns false if the bytes are not the piece.
 */
bool qr_piece_accept(QRTarget *t, uint32_t index, const void *data, size_t len,
                     const char *from)
{
    QRPiece *p = qr_piece(t, index);

    if (p->data)
        return true;
    if (!is_piece_valid(t, index, data, len)) {
        qr_logf(
            QR_LEVEL_WARN, "weights",
            "bad piece index=%d from=%s bytes=%zu version=%" G_GUINT64_FORMAT,
            (int)index, from, len, t->version);
        return false;
    }
    p->data = g_bytes_new(data, len);
    p->asked = false;
    qr_progress_note_piece(&t->progress, qr_sidecar_now(t->sidecar));
    t->held_pieces += index != QR_MANIFEST_INDEX;
    qr_piece_notify_waiters(t, index);
    if (qr_target_is_complete(t))
        report_target_complete(t);
    return true;
}

/* Moves on to the next source: the one asked or dialled did not deliver. */
static void advance_source(QRPiece *p)
{
    p->asked = p->pending = false;
    p->dial_ms = 0;
    if (p->from_root)
        p->attempts.roots++;
    else
        p->attempts.relays++;
}

static const Qr__Fleet__Want__Role want_roles[] = {
    [QR_PIECE_ROLE_NONE] = QR__FLEET__WANT__ROLE__RELAY,
    [QR_PIECE_ROLE_RELAY] = QR__FLEET__WANT__ROLE__RELAY,
    [QR_PIECE_ROLE_FIRST_RELAY] = QR__FLEET__WANT__ROLE__FIRST,
    [QR_PIECE_ROLE_ROOT] = QR__FLEET__WANT__ROLE__ROOT,
};

static void request_from_peer(QRTarget *t, uint32_t index,
                              const QRPieceSource *source, uint64_t now)
{
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);
    QRPeerConn *peer = qr_sidecar_open_peer(s, source->from->address);
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Want want = QR__FLEET__WANT__INIT;

    p->from_root = source->role == QR_PIECE_ROLE_ROOT;
    if (!peer) { /* still being dialled; the next tick checks again */
        if (p->dial_ms == 0)
            p->dial_ms = now;
        else if (now > p->dial_ms + DIAL_TIMEOUT_MS)
            advance_source(p);
        return;
    }
    p->dial_ms = 0;
    want.attempt = p->attempts.relays;
    want.root_attempt = p->attempts.roots;
    want.role = want_roles[source->role];
    want.passed_on = index == QR_MANIFEST_INDEX && p->yielded &&
                     source->role == QR_PIECE_ROLE_ROOT;
    want.model = s->model;
    want.version = t->version;
    want.index = index;
    frame.body_case = QR__FLEET__FRAME__BODY_WANT;
    frame.want = &want;
    qr_peer_send(peer, &frame);
    qr_peer_expect_answer(peer);
    p->asked = true;
    p->asked_conn = peer;
    p->answered = p->pending = false;
    p->asked_ms = p->first_asked_ms = now;
    g_free(p->source);
    p->source = g_strdup(source->from->name);
}

/* Pieces requested from peers that have not said that the piece is pending. */
static unsigned count_incoming(const QRSidecar *s)
{
    unsigned n = 0;

    for (unsigned k = 0; k < s->targets->len; k++) {
        const QRTarget *t = s->targets->pdata[k];

        for (unsigned i = 0; t->pieces && i < t->pieces->len; i++) {
            const QRPiece *p = qr_piece(t, i);

            n += !p->data && p->asked && !p->pending;
        }
    }
    return n;
}

/*
 * Adapts the window of incoming pieces to one that took 'ms' to receive. The
 * window grows while pieces arrive fast. It shrinks when pieces fill the link,
 * because calls to the engine wait behind them.
 */
static void adapt_window(QRSidecar *s, uint64_t ms)
{
    uint64_t now = qr_sidecar_now(s);

    /* with few pieces incoming, the link itself is slow */
    if (ms > PIECE_SLOW_MS && s->piece_window <= WINDOW_SMALL)
        qr_link_note_slow(s, now);
    if (ms > PIECE_SLOW_MS)
        s->piece_window = MAX(s->piece_window / 2, WINDOW_MIN);
    if (ms < PIECE_FAST_MS) {
        s->piece_window = MIN(s->piece_window + 1, WINDOW_MAX);
        s->link_slow_until_ms = MIN(s->link_slow_until_ms, now);
    }
}

void qr_link_note_slow(QRSidecar *s, uint64_t now_ms)
{
    s->link_slow_until_ms = now_ms + SLOW_LINK_MS;
}

bool qr_link_is_slow(QRSidecar *s, uint64_t now_ms)
{
    if (now_ms >= s->link_slow_until_ms)
        return false;
    /* the pieces being received will show the link's speed; until then the
       link counts as slow */
    if (s->targets && count_incoming(s) > 0)
        s->link_slow_until_ms =
            MAX(s->link_slow_until_ms, now_ms + SLOW_LINK_MS);
    return true;
}

/* Whether it is time to try another source. */
static bool is_overdue(const QRTarget *t, uint32_t index, uint64_t now)
{
    const QRPiece *p = qr_piece(t, index);
    uint64_t divisor =
        index == QR_MANIFEST_INDEX ? MANIFEST_TIMEOUT_DIVISOR : 1;

    if (!p->asked)
        return false;
    if (p->pending && p->yielded && index != QR_MANIFEST_INDEX &&
        now > p->first_asked_ms + ROOT_TIMEOUT_MS)
        return true;
    if (p->pending)
        return now > p->asked_ms + PENDING_TIMEOUT_MS ||
               ((!p->from_root || p->attempts.roots > 0) &&
                qr_progress_is_source_overdue(
                    &t->progress, p->first_asked_ms,
                    p->from_root ? ROOT_TIMEOUT_MS : RELAY_TIMEOUT_MS, now));
    if (!p->answered)
        return now > p->asked_ms + PEER_REPLY_TIMEOUT_MS / divisor;
    if (now > p->asked_ms + PEER_TIMEOUT_MS / divisor)
        return true;
    return now > p->asked_ms + STALL_MS && now > t->progress.last_ms + STALL_MS;
}

void qr_pieces_notify_pending(QRSidecar *s, uint64_t now_ms)
{
    if (now_ms < s->pending_refresh_ms)
        return;
    s->pending_refresh_ms = now_ms + PENDING_NOTICE_MS;
    for (unsigned i = 0; i < s->waiters->len; i++) {
        const QRWaiter *w = &g_array_index(s->waiters, QRWaiter, i);

        if (w->target)
            qr_upload_send_state(w, QR__FLEET__PIECE__STATE__PENDING);
    }
}

static bool is_source(const QRPiece *p, const QRPieceSource *source)
{
    return source->from && g_strcmp0(p->source, source->from->name) == 0;
}

/*
 * The role by which the source of a piece is chosen. This sidecar may see other
 * members than the peers that ask for the piece do. At first it uses its own
 * order, because most sidecars see the same members a moment later. If the
 * piece stays pending, its source may be one of the asking peers, which wait
 * for this sidecar; the role that those peers assigned is then used. A root
 * that yields asks the next root: the relays wait for this sidecar.
 */
static QRPieceRole effective_role(QRPiece *p, uint64_t now_ms)
{
    if (p->yielded)
        return QR_PIECE_ROLE_FIRST_RELAY;
    if (p->pending && now_ms > p->first_asked_ms + MEMBER_VIEWS_SETTLE_MS)
        p->uses_role = true;
    return p->uses_role ? p->role : QR_PIECE_ROLE_NONE;
}

/*
 * Whether another root has to fetch the piece. Nobody reports that the origin
 * answers before the manifest has come: it is passed on from root to root,
 * round and round, to find one whose host reaches the origin. Later one piece
 * is passed on to learn whether the origin answers others: those that have all
 * their pieces no longer ask it, and report nothing.
 */
static bool must_yield(QRTarget *t, uint32_t index, const QRSourcePlan *plan,
                       uint64_t now)
{
    QROrigin *origin = &t->sidecar->origin;

    if (plan->roots->len < 2)
        return false;
    if (index == QR_MANIFEST_INDEX)
        return qr_origin_is_failing(origin, now) &&
               now >= qr_piece(t, index)->probe_since_ms + MANIFEST_TERM_MS;
    if (qr_origin_must_yield(origin, now))
        return true;
    if (t->scouted || !qr_origin_is_failing(origin, now))
        return false;
    t->scouted = true;
    return true;
}

/* Fetches the piece from the origin, or lets another root do so if the origin
   does not answer this host. */
static void fetch_as_root(QRTarget *t, uint32_t index, const QRSourcePlan *plan,
                          uint64_t now)
{
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);

    if (p->probe_since_ms == 0)
        p->probe_since_ms = now;
    if (!must_yield(t, index, plan, now)) {
        qr_piece_request_from_origin(t, index, plan, now);
        return;
    }
    s->origin_yields++;
    p->attempts.roots++;
    p->yielded = true;
    p->yielded_ms = now;
    qr_logf(QR_LEVEL_INFO, "weights",
            "origin unreachable from here, another root fetches index=%d "
            "version=%" G_GUINT64_FORMAT " roots_tried=%u",
            (int)index, t->version, p->attempts.roots);
    if (index == QR_MANIFEST_INDEX) /* the last root passes it to the owner */
        p->attempts.roots %= plan->roots->len;
}

/*
 * A manifest that this root has passed on comes back to it after a term of each
 * root, or is fetched. If neither happens, those that have it have forgotten
 * it, or wait for one another: this root asks the origin again.
 */
static void reclaim_manifest(QRTarget *t, const QRSourcePlan *plan,
                             uint64_t now)
{
    QRPiece *p = t->manifest_piece;
    uint64_t round_ms =
        plan->roots->len * (uint64_t)MANIFEST_TERM_MS + MANIFEST_MARGIN_MS;

    if (!p->yielded || now < p->yielded_ms + round_ms)
        return;
    qr_logf(QR_LEVEL_WARN, "weights",
            "manifest did not come back, this root fetches "
            "version=%" G_GUINT64_FORMAT " roots_tried=%u after_ms="
            "%" G_GUINT64_FORMAT,
            t->version, p->attempts.roots, now - p->yielded_ms);
    p->role = QR_PIECE_ROLE_ROOT;
    p->uses_role = true;
    p->yielded = p->asked = p->pending = false;
    p->probe_since_ms = 0;
}

/* Notes whether this sidecar owned the piece when it heard of it, soon after
   the version was named. */
static void note_first_owner(QRTarget *t, uint32_t index,
                             const QRSourcePlan *plan, uint64_t now)
{
    QRPiece *p = qr_piece(t, index);

    p->asked_ms = now;
    p->owned_at_first =
        qr_source_is_owner(plan, index) && t->named_ms > 0 &&
        t->first_tick_ms < t->named_ms + FIRST_FETCH_MS &&
        t->first_tick_ms >= t->sidecar->started_ms + QR_MEMBERS_KNOWN_MS;
}

/*
 * A source that does not have the piece yet is waited for only while it is
 * still the preferred source, because sidecars that see different members
 * could otherwise wait for one another.
 */
void qr_piece_tick(QRTarget *t, uint32_t index, const QRSourcePlan *plan,
                   uint64_t now_ms)
{
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);
    QRPieceSource source;

    if (p->data || p->fetch || p->read_back)
        return;
    if (p->asked_ms == 0)
        note_first_owner(t, index, plan, now_ms);
    if (index == QR_MANIFEST_INDEX)
        reclaim_manifest(t, plan, now_ms);
    if (is_overdue(t, index, now_ms)) {
        p->asked_ms = now_ms;
        advance_source(p);
    }
    if (p->asked && !p->pending)
        return;
    source =
        qr_source_choose(plan, index, p->attempts, effective_role(p, now_ms));
    if (p->asked && is_source(p, &source))
        return;
    p->asked = p->pending = false;
    if (!source.from)
        fetch_as_root(t, index, plan, now_ms);
    else if (index == QR_MANIFEST_INDEX || source.role == QR_PIECE_ROLE_ROOT ||
             count_incoming(s) < (unsigned)s->piece_window)
        request_from_peer(t, index, &source, now_ms);
}

static void acknowledge_piece(QRPeerConn *peer, const Qr__Fleet__Piece *taken)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Piece piece = QR__FLEET__PIECE__INIT;

    piece.model = taken->model;
    piece.version = taken->version;
    piece.index = taken->index;
    piece.state = QR__FLEET__PIECE__STATE__TAKEN;
    frame.body_case = QR__FLEET__FRAME__BODY_PIECE;
    frame.piece = &piece;
    qr_peer_send(peer, &frame);
}

void qr_weights_handle_piece(QRSidecar *s, QRPeerConn *peer,
                             const Qr__Fleet__Piece *piece)
{
    const QRFleetMember *from = qr_peer_data(peer);
    QRTarget *t = qr_target_find(s, piece->model, piece->version);
    QRPiece *p;

    if (piece->state == QR__FLEET__PIECE__STATE__TAKEN) {
        qr_upload_note_received(s, peer);
        return;
    }
    if (piece->state == QR__FLEET__PIECE__STATE__DATA &&
        piece->index != QR_MANIFEST_INDEX)
        acknowledge_piece(peer, piece);
    if (!t || !qr_target_has_index(t, piece->index))
        return;
    p = qr_piece(t, piece->index);
    if (piece->state == QR__FLEET__PIECE__STATE__DATA) {
        if (piece->index != QR_MANIFEST_INDEX)
            adapt_window(s, qr_peer_frame_ms(peer));
        if (qr_piece_accept(t, piece->index, piece->data.data, piece->data.len,
                            from ? from->name : "peer")) {
            s->peer_pieces++;
            qr_weights_tick(s, qr_sidecar_now(s));
            return;
        }
    }
    if (!p->data && piece->state == QR__FLEET__PIECE__STATE__QUEUED &&
        p->holders_asked_ms > 0)
        p->holder_found_ms = qr_sidecar_now(s);
    if (p->data || !from || g_strcmp0(p->source, from->name) != 0)
        return;
    p->answered = true;
    if (piece->state == QR__FLEET__PIECE__STATE__QUEUED)
        return;
    p->asked_ms = qr_sidecar_now(s);
    p->pending = piece->state == QR__FLEET__PIECE__STATE__PENDING;
    if (p->pending)
        return;
    p->asked = false;
    if (piece->state != QR__FLEET__PIECE__STATE__READY)
        advance_source(p);
    qr_weights_tick(s, qr_sidecar_now(s));
}

static void piece_peer_closed(QRPiece *p, const QRPeerConn *peer)
{
    if (p->asked && p->asked_conn == peer)
        advance_source(p);
}

/* A peer may have several connections. A request fails only if the connection
   that carried it closes. */
void qr_weights_peer_closed(QRSidecar *s, const QRPeerConn *peer)
{
    qr_upload_drop_waiters(s, NULL, peer);
    for (unsigned k = 0; s->targets && k < s->targets->len; k++) {
        QRTarget *t = s->targets->pdata[k];

        piece_peer_closed(t->manifest_piece, peer);
        for (unsigned i = 0; t->pieces && i < t->pieces->len; i++)
            piece_peer_closed(qr_piece(t, i), peer);
    }
}
