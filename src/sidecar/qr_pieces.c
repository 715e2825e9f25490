/*
 * Pieces of a version, and its manifest: from peers and from the origin. The
 * manifest is handled as one more piece, whose index is QR_MANIFEST_INDEX.
 */
#include "qr_sidecar.h"

#include <string.h>

#define CONNECT_MS 700
#define ORIGIN_TIMEOUT_MS 2500
#define ORIGIN_AT_ONCE 1        /* its connections are few */
#define ORIGIN_AGAIN_MS 150     /* after a failure */
#define ORIGIN_REST_MS 300      /* ... that rest are closed: others need them */
#define STALL_MS 900            /* no piece from anybody: ask others */
#define ASKED_MOST_MS 4000      /* a peer is given so long in any case */
#define UNHEARD_MOST_MS 900     /* ... that does not answer at all */
#define PENDING_MOST_MS 1500    /* ... that said that it will have it */
#define ROOT_WAIT_MOST_MS 5000  /* ... while others come: a root */
#define RELAY_WAIT_MOST_MS 9000 /* ... a relay, which waits for a root */
#define BY_ROLE_MS 1500         /* for views of members to become alike */
#define REFRESH_MS 500   /* between two words to those who wait for a piece */
#define MANIFEST_SHARE 3 /* of these times, for the small manifest */
#define DIAL_MOST_MS 300
#define WINDOW_LEAST 1
#define WINDOW_MOST 8
#define WINDOW_FEW 2
#define SLOW_LINK_MS 1500 /* since a slow piece, or one on its way then */
#define PIECE_FAST_MS 130 /* from its first byte to its last */
#define PIECE_SLOW_MS 260

static const char *origin_address(const QRSidecar *s)
{
    const QRService *origin =
        s->operator.policy ? qr_policy_origin(s->operator.policy) : NULL;

    return origin ? origin->origin : NULL;
}

void qr_piece_came(QRTarget *t, uint32_t index)
{
    QRSidecar *s = t->sidecar;
    g_autoptr(GArray) out = g_array_new(FALSE, FALSE, sizeof(QRWaiter));

    for (unsigned i = s->waiters->len; i > 0; i--) {
        QRWaiter w = g_array_index(s->waiters, QRWaiter, i - 1);

        if (w.target != t || w.index != index)
            continue;
        g_array_remove_index_fast(s->waiters, i - 1);
        g_array_append_val(out, w);
    }
    qr_upload_tell_all(out, QR__FLEET__PIECE__STATE__READY);
}

static void target_whole(QRTarget *t)
{
    QRSidecar *s = t->sidecar;

    qr_logf(QR_LEVEL_INFO, "weights",
            "whole version=%" G_GUINT64_FORMAT " ms=%" G_GUINT64_FORMAT
            " origin_bytes=%" G_GUINT64_FORMAT
            " peer_pieces=%" G_GUINT64_FORMAT,
            t->version, t->since_ms ? t->progress.last_ms - t->since_ms : 0,
            s->origin_bytes, s->peer_pieces);
    qr_sidecar_tell_state(s, true);
}

/* Whether the bytes are what the version has there; a manifest is read. */
static bool piece_is_right(QRTarget *t, uint32_t index, const void *data,
                           size_t len)
{
    char digest[QR_SHA_HEX];

    if (index == QR_MANIFEST_INDEX)
        return qr_target_manifest(t, data, len);
    qr_sha256_hex(data, len, digest);
    return strcmp(digest, t->manifest->digests->pdata[index]) == 0;
}

/* A piece came, from wherever: checked, kept, told to who waits for it. */
static bool piece_take(QRTarget *t, uint32_t index, const void *data,
                       size_t len, const char *from)
{
    QRPiece *p = qr_piece(t, index);

    if (p->data)
        return true;
    if (!piece_is_right(t, index, data, len)) {
        qr_logf(
            QR_LEVEL_WARN, "weights",
            "bad piece index=%d from=%s bytes=%zu version=%" G_GUINT64_FORMAT,
            (int)index, from, len, t->version);
        return false;
    }
    p->data = g_bytes_new(data, len);
    p->asked = false;
    qr_progress_note(&t->progress, qr_sidecar_now(t->sidecar));
    t->held += index != QR_MANIFEST_INDEX;
    qr_piece_came(t, index);
    if (qr_target_whole(t))
        target_whole(t);
    return true;
}

static void origin_done(void *owner, unsigned index, const QRWholeAnswer *a)
{
    QRTarget *t = owner;
    QRPiece *p = qr_piece(t, index);
    uint64_t rest =
        qr_platform_rest(t->sidecar->platform, a->status, a->headers);

    p->fetch = NULL;
    t->sidecar->origin_bytes += a->len;
    t->sidecar->origin_used_ms = qr_sidecar_now(t->sidecar);
    /* the next is asked for by the next tick: this connection can't take it
       before its last bytes were looked at */
    if (a->status == 200 && piece_take(t, index, a->data, a->len, "origin"))
        return;
    qr_logf(QR_LEVEL_WARN, "weights",
            "origin failed index=%d status=%u why=%s version=%" G_GUINT64_FORMAT
            " rest_ms=%" G_GUINT64_FORMAT,
            (int)index, a->status, a->why ? a->why : "-", t->version, rest);
    p->asked = false;
    p->asked_ms = qr_sidecar_now(t->sidecar);
    t->sidecar->origin_next_ms = p->asked_ms + MAX(ORIGIN_AGAIN_MS, rest);
}

unsigned qr_pieces_from_origin(const QRSidecar *s)
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

void qr_pieces_rest(QRSidecar *s, uint64_t now_ms)
{
    if (s->origin_used_ms == 0 || now_ms < s->origin_used_ms + ORIGIN_REST_MS ||
        qr_pieces_from_origin(s) > 0)
        return;
    s->origin_used_ms = 0;
    if (origin_address(s))
        qr_client_close_idle(s->to_origin, origin_address(s));
}

static void piece_from_origin(QRTarget *t, uint32_t index, uint64_t now)
{
    QRSidecar *s = t->sidecar;
    g_autofree char *path = NULL;
    QRWholeRequest r = {0};

    if (!origin_address(s) || now < s->origin_next_ms ||
        qr_pieces_from_origin(s) >= ORIGIN_AT_ONCE)
        return;
    path = index == QR_MANIFEST_INDEX
               ? s->platform->manifest_path(s->model, t->version)
               : s->platform->piece_path(s->model, t->version, index);
    r.address = origin_address(s);
    r.method = "GET";
    r.path = path;
    r.connect_ms = CONNECT_MS;
    r.timeout_ms = ORIGIN_TIMEOUT_MS;
    qr_piece(t, index)->fetch =
        qr_whole_send(s->to_origin, &r, origin_done, t, index);
}

/* The source that was asked, or dialled, gave nothing: the next one. */
static void piece_give_up(QRPiece *p)
{
    p->asked = p->pending = false;
    p->dial_ms = 0;
    if (p->from_root)
        p->tried.roots++;
    else
        p->tried.relays++;
}

static const Qr__Fleet__Want__Role want_roles[] = {
    [QR_PIECE_OWN] = QR__FLEET__WANT__ROLE__RELAY,
    [QR_PIECE_RELAY] = QR__FLEET__WANT__ROLE__RELAY,
    [QR_PIECE_FIRST] = QR__FLEET__WANT__ROLE__FIRST,
    [QR_PIECE_ROOT] = QR__FLEET__WANT__ROLE__ROOT,
};

static void piece_ask(QRTarget *t, uint32_t index, const QRPieceSource *source,
                      uint64_t now)
{
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);
    QRPeerConn *peer = qr_sidecar_peer_at(s, source->from->address);
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Want want = QR__FLEET__WANT__INIT;

    p->from_root = source->role == QR_PIECE_ROOT;
    if (!peer) { /* being dialled; the next tick sees it */
        if (p->dial_ms == 0)
            p->dial_ms = now;
        else if (now > p->dial_ms + DIAL_MOST_MS)
            piece_give_up(p);
        return;
    }
    p->dial_ms = 0;
    want.attempt = p->tried.relays;
    want.root_attempt = p->tried.roots;
    want.role = want_roles[source->role];
    want.model = s->model;
    want.version = t->version;
    want.index = index;
    frame.body_case = QR__FLEET__FRAME__BODY_WANT;
    frame.want = &want;
    qr_peer_send(peer, &frame);
    qr_peer_expect(peer);
    p->asked = true;
    p->asked_on = peer;
    p->heard = p->pending = false;
    p->asked_ms = p->first_asked_ms = now;
    g_free(p->source);
    p->source = g_strdup(source->from->name);
}

/* Pieces on their way to us from peers: asked for where they are, or may be. */
static unsigned on_their_way(const QRSidecar *s)
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
 * A piece came in 'ms'. The window grows while pieces come fast, and shrinks
 * when they fill the link: calls to the engine wait behind them.
 */
static void window_learn(QRSidecar *s, uint64_t ms)
{
    uint64_t now = qr_sidecar_now(s);

    /* few were on their way: it is the link itself that is slow */
    if (ms > PIECE_SLOW_MS && s->window <= WINDOW_FEW)
        qr_link_note_slow(s, now);
    if (ms > PIECE_SLOW_MS)
        s->window = MAX(s->window / 2, WINDOW_LEAST);
    if (ms < PIECE_FAST_MS) {
        s->window = MIN(s->window + 1, WINDOW_MOST);
        s->slow_until_ms = MIN(s->slow_until_ms, now);
    }
}

void qr_link_note_slow(QRSidecar *s, uint64_t now_ms)
{
    s->slow_until_ms = now_ms + SLOW_LINK_MS;
}

bool qr_link_is_slow(QRSidecar *s, uint64_t now_ms)
{
    if (now_ms >= s->slow_until_ms)
        return false;
    /* what is on its way will tell: until then it stays slow */
    if (s->targets && on_their_way(s) > 0)
        s->slow_until_ms = MAX(s->slow_until_ms, now_ms + SLOW_LINK_MS);
    return true;
}

/* Time to look for another source. */
static bool is_overdue(const QRTarget *t, uint32_t index, uint64_t now)
{
    const QRPiece *p = qr_piece(t, index);
    uint64_t wait = p->from_root ? ROOT_WAIT_MOST_MS : RELAY_WAIT_MOST_MS;
    uint64_t share = index == QR_MANIFEST_INDEX ? MANIFEST_SHARE : 1;

    if (p->pending)
        return now > p->asked_ms + PENDING_MOST_MS ||
               qr_progress_passed_by(&t->progress, p->first_asked_ms, wait,
                                     now);
    if (p->asked && !p->heard)
        return now > p->asked_ms + UNHEARD_MOST_MS / share;
    if (now > p->asked_ms + ASKED_MOST_MS / share)
        return true;
    return now > p->asked_ms + STALL_MS && now > t->progress.last_ms + STALL_MS;
}

void qr_pieces_refresh(QRSidecar *s, uint64_t now_ms)
{
    if (now_ms < s->refresh_ms)
        return;
    s->refresh_ms = now_ms + REFRESH_MS;
    for (unsigned i = 0; i < s->waiters->len; i++) {
        const QRWaiter *w = &g_array_index(s->waiters, QRWaiter, i);

        if (w->target)
            qr_upload_tell(w, QR__FLEET__PIECE__STATE__PENDING);
    }
}

static bool is_source(const QRPiece *p, const QRPieceSource *source)
{
    return source->from && g_strcmp0(p->source, source->from->name) == 0;
}

/*
 * Who sees other members than the askers do draws the piece by its own order
 * first: most of them see the same a moment later. If that waits in vain the
 * askers may be the ones that are waited for.
 */
static QRPieceRole role_of(QRPiece *p, uint64_t now_ms)
{
    if (p->pending && now_ms > p->first_asked_ms + BY_ROLE_MS)
        p->goes_by_role = true;
    return p->goes_by_role ? p->role : QR_PIECE_OWN;
}

/*
 * A source that has no piece yet is waited for only while it is the one to
 * ask: sidecars that saw different members may wait for one another.
 */
void qr_piece_tick(QRTarget *t, uint32_t index, const QRSourcePlan *plan,
                   uint64_t now_ms)
{
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);
    QRPieceSource source;

    if (p->data || p->fetch || p->stage)
        return;
    if (p->asked_ms == 0)
        p->asked_ms = now_ms;
    if (is_overdue(t, index, now_ms)) {
        p->asked_ms = now_ms;
        piece_give_up(p);
    }
    if (p->asked && !p->pending)
        return;
    source = qr_source_choose(plan, index, p->tried, role_of(p, now_ms));
    if (p->asked && is_source(p, &source))
        return;
    p->asked = p->pending = false;
    if (!source.from)
        piece_from_origin(t, index, now_ms);
    else if (index == QR_MANIFEST_INDEX || source.role == QR_PIECE_ROOT ||
             on_their_way(s) < (unsigned)s->window)
        piece_ask(t, index, &source, now_ms);
}

static void tell_taken(QRPeerConn *peer, const Qr__Fleet__Piece *taken)
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

void qr_weights_piece(QRSidecar *s, QRPeerConn *peer,
                      const Qr__Fleet__Piece *piece)
{
    const QRFleetMember *from = qr_peer_data(peer);
    QRTarget *t = qr_target_of(s, piece->model, piece->version);
    QRPiece *p;

    if (piece->state == QR__FLEET__PIECE__STATE__TAKEN) {
        qr_upload_taken(s, peer);
        return;
    }
    if (piece->state == QR__FLEET__PIECE__STATE__DATA &&
        piece->index != QR_MANIFEST_INDEX)
        tell_taken(peer, piece);
    if (!t || !qr_target_has_index(t, piece->index))
        return;
    p = qr_piece(t, piece->index);
    if (piece->state == QR__FLEET__PIECE__STATE__DATA) {
        if (piece->index != QR_MANIFEST_INDEX)
            window_learn(s, qr_peer_frame_ms(peer));
        if (piece_take(t, piece->index, piece->data.data, piece->data.len,
                       from ? from->name : "peer")) {
            s->peer_pieces++;
            qr_weights_tick(s, qr_sidecar_now(s));
            return;
        }
    }
    if (p->data || !from || g_strcmp0(p->source, from->name) != 0)
        return;
    p->heard = true;
    if (piece->state == QR__FLEET__PIECE__STATE__QUEUED)
        return;
    p->asked_ms = qr_sidecar_now(s);
    p->pending = piece->state == QR__FLEET__PIECE__STATE__PENDING;
    if (p->pending)
        return;
    p->asked = false;
    if (piece->state != QR__FLEET__PIECE__STATE__READY)
        piece_give_up(p);
    qr_weights_tick(s, qr_sidecar_now(s));
}

static void piece_peer_closed(QRPiece *p, const QRPeerConn *peer)
{
    if (p->asked && p->asked_on == peer)
        piece_give_up(p);
}

/* Of a peer's connections only the one that was asked on matters. */
void qr_weights_peer_closed(QRSidecar *s, const QRPeerConn *peer)
{
    qr_upload_drop(s, NULL, peer);
    for (unsigned k = 0; s->targets && k < s->targets->len; k++) {
        QRTarget *t = s->targets->pdata[k];

        piece_peer_closed(t->manifest_piece, peer);
        for (unsigned i = 0; t->pieces && i < t->pieces->len; i++)
            piece_peer_closed(qr_piece(t, i), peer);
    }
}
