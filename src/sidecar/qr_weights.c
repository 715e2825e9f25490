/*
 * Weights of the named version: manifest, pieces from peers and the origin.
 */
#include "qr_sidecar.h"

#include <string.h>

#define CONNECT_MS 700
#define MANIFEST_TIMEOUT_MS 1500
#define MANIFEST_AGAIN_MS 250
#define PIECE_TIMEOUT_MS 2500  /* from the origin */
#define ORIGIN_AT_ONCE 1     /* so that the first pieces come early */
#define STALL_MS 900           /* no piece from anybody: ask others */
#define ASKED_MOST_MS 2500     /* a peer is given so long in any case */
#define WINDOW_FIRST 3
#define WINDOW_LEAST 1
#define WINDOW_MOST 8
#define PIECE_FAST_MS 130      /* from its first byte to its last */
#define PIECE_SLOW_MS 260

static void piece_clear(void *p)
{
    QRPiece *piece = p;

    qr_whole_cancel(piece->fetch);
    qr_whole_cancel(piece->stage);
    if (piece->data)
        g_bytes_unref(piece->data);
    g_free(piece->source);
}

static QRPiece *piece_at(const QRSidecar *s, unsigned index)
{
    return &g_array_index(s->pieces, QRPiece, index);
}

static void send_piece(const QRSidecar *s, QRPeerConn *peer, unsigned index,
                       Qr__Fleet__Piece__State state, GBytes *data)
{
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Piece piece = QR__FLEET__PIECE__INIT;
    gsize len = 0;

    piece.model = s->model;
    piece.version = s->version;
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

/* Whether a peer has not taken what we sent it: our link, or its, is full. */
static bool upload_blocked(const QRSidecar *s)
{
    return qr_peers_unsent(s->peers) > 0;
}

/*
 * Puts a piece in line for a peer. Other regions go first: the peer there
 * passes it on to all of its region.
 */
static void upload_later(QRSidecar *s, QRPeerConn *peer, unsigned index)
{
    const QRFleetMember *to = qr_peer_data(peer);
    QRWaiter *w = g_new0(QRWaiter, 1);

    w->peer = peer;
    w->index = index;
    if (to && g_strcmp0(to->region, s->set->region) != 0)
        g_queue_push_head(&s->uploads, w);
    else
        g_queue_push_tail(&s->uploads, w);
}

void qr_weights_upload(QRSidecar *s, uint64_t now_ms)
{
    double rate = s->set->link_mbit_s * 1e6 / 8 / 1000 *
                  (double)s->set->weights_link_percent / 100; /* bytes a ms */
    double elapsed = (double)(now_ms - MIN(s->upload_ms, now_ms));

    s->upload_ms = now_ms;
    s->upload_bytes = MIN(s->upload_bytes + rate * elapsed, 0);
    while (s->uploads.length > 0 && !upload_blocked(s) &&
           (rate <= 0 || s->upload_bytes >= 0)) {
        g_autofree QRWaiter *w = g_queue_pop_head(&s->uploads);
        GBytes *data = s->pieces && w->index < s->pieces->len
                           ? piece_at(s, w->index)->data
                           : NULL;

        send_piece(s, w->peer, w->index,
                   data ? QR__FLEET__PIECE__STATE__DATA
                        : QR__FLEET__PIECE__STATE__ABSENT,
                   data);
        if (data)
            s->upload_bytes -= (double)g_bytes_get_size(data);
    }
}

/* The target changes: whoever waits for the old one is told so. */
static void refuse_waiters(QRSidecar *s)
{
    g_autoptr(GArray) waiters = s->waiters;
    QRWaiter *queued;

    s->waiters = g_array_new(FALSE, FALSE, sizeof(QRWaiter));
    for (unsigned i = 0; i < waiters->len; i++) {
        QRWaiter *w = &g_array_index(waiters, QRWaiter, i);

        send_piece(s, w->peer, w->index, QR__FLEET__PIECE__STATE__ABSENT,
                   NULL);
    }
    while ((queued = g_queue_pop_head(&s->uploads))) {
        send_piece(s, queued->peer, queued->index,
                   QR__FLEET__PIECE__STATE__ABSENT, NULL);
        g_free(queued);
    }
}

void qr_weights_clear(QRSidecar *s)
{
    qr_whole_cancel(s->manifest_call);
    s->manifest_call = NULL;
    g_clear_pointer(&s->manifest, qr_manifest_free);
    g_clear_pointer(&s->pieces, g_array_unref);
    g_clear_pointer(&s->model, g_free);
}

void qr_weights_retarget(QRSidecar *s)
{
    const QRService *service = qr_sidecar_service(s);
    const char *model = service ? service->engine.model : NULL;
    QRNamedVersion first = {s->platform->first_version, 0};
    const QRNamedVersion *named = qr_operator_version(&s->operator, model);

    if (!named)
        named = &first;
    if (!model || (s->model && named->version <= s->version))
        return;
    if (s->model)
        refuse_waiters(s);
    qr_weights_clear(s);
    s->model = g_strdup(model);
    s->version = named->version;
    s->since_ms = named->since_ms;
    s->held = 0;
    s->stage_scanned = false;
    if (s->announced_ms) /* the order that was to come is off */
        s->switching = false;
    s->announced_ms = 0;
    s->verified_ms = 0;
    s->progress_ms = qr_sidecar_now(s);
    s->window = s->window > 0 ? s->window : WINDOW_FIRST;
    s->manifest_next_ms = 0;
    qr_logf(QR_LEVEL_INFO, "weights",
            "target model=%s version=%" G_GUINT64_FORMAT
            " since_ms=%" G_GUINT64_FORMAT,
            s->model, s->version,
            s->since_ms ? qr_sidecar_now(s) - s->since_ms : 0);
}

static void manifest_failed(QRSidecar *s, const char *why)
{
    s->manifest_next_ms = qr_sidecar_now(s) + MANIFEST_AGAIN_MS;
    qr_logf(QR_LEVEL_WARN, "weights",
            "no manifest version=%" G_GUINT64_FORMAT " why=%s", s->version,
            why);
}

static void manifest_done(void *owner, unsigned ref, const QRWholeAnswer *a)
{
    QRSidecar *s = owner;
    g_autoptr(QRManifest) m = NULL;

    (void)ref;
    s->manifest_call = NULL;
    if (a->status == 200)
        m = s->platform->parse_manifest(a->data, a->len);
    if (!m || m->version != s->version || strcmp(m->model, s->model) != 0 ||
        m->digests->len == 0) {
        manifest_failed(s, a->status ? "not the one asked for" : a->why);
        return;
    }
    s->manifest = g_steal_pointer(&m);
    s->pieces = g_array_new(FALSE, TRUE, sizeof(QRPiece));
    g_array_set_clear_func(s->pieces, piece_clear);
    g_array_set_size(s->pieces, s->manifest->digests->len);
    qr_logf(QR_LEVEL_INFO, "weights",
            "manifest version=%" G_GUINT64_FORMAT " pieces=%u", s->version,
            s->pieces->len);
    qr_stage_scan(s);
}

static const char *origin_address(const QRSidecar *s)
{
    const QRService *origin =
        s->operator.policy ? qr_policy_origin(s->operator.policy) : NULL;

    return origin ? origin->origin : NULL;
}

static QRWhole *origin_get(QRSidecar *s, const char *path, uint32_t timeout_ms,
                           QRWholeDone done, unsigned ref)
{
    QRWholeRequest r = {0};

    r.address = origin_address(s);
    r.method = "GET";
    r.path = path;
    r.connect_ms = CONNECT_MS;
    r.timeout_ms = timeout_ms;
    return qr_whole_send(s->to_origin, &r, done, s, ref);
}

static void manifest_fetch(QRSidecar *s)
{
    g_autofree char *path = s->platform->manifest_path(s->model, s->version);

    s->manifest_call =
        origin_get(s, path, MANIFEST_TIMEOUT_MS, manifest_done, 0);
}

/* A piece came, from wherever: checked, kept, passed on to who waits. */
static bool piece_take(QRSidecar *s, unsigned index, const void *data,
                       size_t len, const char *from)
{
    char digest[QR_SHA_HEX];
    QRPiece *p = piece_at(s, index);

    if (p->data)
        return true;
    qr_sha256_hex(data, len, digest);
    if (strcmp(digest, s->manifest->digests->pdata[index]) != 0) {
        qr_logf(QR_LEVEL_WARN, "weights",
                "bad piece index=%u from=%s bytes=%zu version=%" G_GUINT64_FORMAT,
                index, from, len, s->version);
        return false;
    }
    p->data = g_bytes_new(data, len);
    p->asked = false;
    s->held++;
    s->progress_ms = qr_sidecar_now(s);
    for (unsigned i = s->waiters->len; i > 0; i--) {
        QRWaiter w = g_array_index(s->waiters, QRWaiter, i - 1);

        if (w.index != index)
            continue;
        g_array_remove_index_fast(s->waiters, i - 1);
        send_piece(s, w.peer, index, QR__FLEET__PIECE__STATE__READY, NULL);
    }
    if (s->held == s->pieces->len) {
        qr_logf(QR_LEVEL_INFO, "weights",
                "whole version=%" G_GUINT64_FORMAT
                " ms=%" G_GUINT64_FORMAT " origin_bytes=%" G_GUINT64_FORMAT
                " peer_pieces=%" G_GUINT64_FORMAT,
                s->version, s->progress_ms - s->since_ms, s->origin_bytes,
                s->peer_pieces);
        qr_sidecar_tell_state(s, true);
    }
    return true;
}

static void fetch_done(void *owner, unsigned index, const QRWholeAnswer *a)
{
    QRSidecar *s = owner;
    QRPiece *p = piece_at(s, index);

    p->fetch = NULL;
    s->origin_bytes += a->len;
    if (a->status == 200 && piece_take(s, index, a->data, a->len, "origin"))
        return;
    qr_logf(QR_LEVEL_WARN, "weights",
            "origin failed index=%u status=%u why=%s", index, a->status,
            a->why ? a->why : "-");
    /* once more from the start: peers may have it by now */
    p->attempt = 0;
    p->asked = false;
    p->asked_ms = qr_sidecar_now(s);
}

static unsigned fetches_open(const QRSidecar *s)
{
    unsigned n = 0;

    for (unsigned i = 0; i < s->pieces->len; i++)
        n += piece_at(s, i)->fetch != NULL;
    return n;
}

static void piece_from_origin(QRSidecar *s, unsigned index)
{
    g_autofree char *path = NULL;

    if (!origin_address(s) || fetches_open(s) >= ORIGIN_AT_ONCE)
        return;
    path = s->platform->piece_path(s->model, s->version, index);
    piece_at(s, index)->fetch =
        origin_get(s, path, PIECE_TIMEOUT_MS, fetch_done, index);
}

static void piece_ask(QRSidecar *s, unsigned index, const QRFleetMember *from,
                      uint64_t now)
{
    QRPiece *p = piece_at(s, index);
    QRPeerConn *peer = qr_sidecar_peer_at(s, from->address);
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Want want = QR__FLEET__WANT__INIT;

    if (!peer)
        return; /* being dialled; the next tick sees it */
    want.model = s->model;
    want.version = s->version;
    want.index = index;
    frame.body_case = QR__FLEET__FRAME__BODY_WANT;
    frame.want = &want;
    qr_peer_send(peer, &frame);
    p->asked = true;
    p->pending = false;
    p->asked_ms = now;
    g_free(p->source);
    p->source = g_strdup(from->name);
}

/* Pieces on their way to us: asked for where they are, or may be. */
static unsigned on_their_way(const QRSidecar *s)
{
    unsigned n = 0;

    for (unsigned i = 0; i < s->pieces->len; i++) {
        const QRPiece *p = piece_at(s, i);

        n += !p->data && ((p->asked && !p->pending) || p->fetch);
    }
    return n;
}

/*
 * A piece came in 'ms'. The window grows while pieces come fast, and shrinks
 * when they fill the link: calls to the engine wait behind them.
 */
static void window_learn(QRSidecar *s, uint64_t ms)
{
    if (ms > PIECE_SLOW_MS)
        s->window = MAX(s->window / 2, WINDOW_LEAST);
    else if (ms < PIECE_FAST_MS)
        s->window = MIN(s->window + 1, WINDOW_MOST);
}

static void piece_tick(QRSidecar *s, unsigned index, const QRSourcePlan *plan,
                       uint64_t now)
{
    QRPiece *p = piece_at(s, index);
    const QRFleetMember *from;

    if (p->data || p->fetch || p->stage)
        return;
    if (p->asked_ms == 0)
        p->asked_ms = now;
    if ((now > p->asked_ms + STALL_MS && now > s->progress_ms + STALL_MS) ||
        now > p->asked_ms + ASKED_MOST_MS) {
        p->asked = false;
        p->asked_ms = now;
        p->attempt++;
    }
    if (p->asked || on_their_way(s) >= (unsigned)s->window)
        return;
    from = qr_source_choose(plan, index, p->attempt);
    if (from)
        piece_ask(s, index, from, now);
    else
        piece_from_origin(s, index);
}

/* Nothing is drawn while the engine serves the target and nobody asks. */
static bool pieces_needed(const QRSidecar *s)
{
    return !qr_sidecar_serves_target(s) || s->waiters->len > 0;
}

void qr_weights_tick(QRSidecar *s, uint64_t now_ms)
{
    g_auto(QRSourcePlan) plan = {0};
    unsigned turn;

    if (!s->model || !s->report_ms || !pieces_needed(s))
        return;
    if (!s->manifest) {
        if (!s->manifest_call && now_ms >= s->manifest_next_ms &&
            origin_address(s))
            manifest_fetch(s);
        return;
    }
    /* while the engine is not up yet, there is no stage to look at */
    if ((!s->stage_scanned && s->reachable) || s->held == s->pieces->len)
        return;
    qr_sidecar_plan(s, &plan);
    /* each in an order of its own, so that not all ask one peer at once */
    turn = (unsigned)qr_hash_str(s->set->host, s->version);
    for (unsigned i = 0; i < s->pieces->len; i++)
        piece_tick(s, (i + turn % s->pieces->len) % s->pieces->len, &plan,
                   now_ms);
}

void qr_weights_want(QRSidecar *s, QRPeerConn *peer, const Qr__Fleet__Want *want)
{
    QRWaiter w = {peer, want->index};

    if (!s->model || strcmp(want->model, s->model) != 0 ||
        want->version != s->version ||
        (s->pieces && want->index >= s->pieces->len)) {
        QRFrame frame = QR__FLEET__FRAME__INIT;
        Qr__Fleet__Piece absent = QR__FLEET__PIECE__INIT;

        absent.model = want->model;
        absent.version = want->version;
        absent.index = want->index;
        absent.state = QR__FLEET__PIECE__STATE__ABSENT;
        frame.body_case = QR__FLEET__FRAME__BODY_PIECE;
        frame.piece = &absent;
        qr_peer_send(peer, &frame);
        return;
    }
    if (s->pieces && piece_at(s, want->index)->data)
        upload_later(s, peer, want->index);
    else {
        g_array_append_val(s->waiters, w);
        send_piece(s, peer, want->index, QR__FLEET__PIECE__STATE__PENDING,
                   NULL);
    }
}

void qr_weights_piece(QRSidecar *s, QRPeerConn *peer, const Qr__Fleet__Piece *piece)
{
    const QRFleetMember *from = qr_peer_data(peer);
    QRPiece *p;

    if (!s->pieces || strcmp(piece->model, s->model) != 0 ||
        piece->version != s->version || piece->index >= s->pieces->len)
        return;
    p = piece_at(s, piece->index);
    if (piece->state == QR__FLEET__PIECE__STATE__DATA) {
        window_learn(s, qr_peer_frame_ms(peer));
        if (piece_take(s, piece->index, piece->data.data, piece->data.len,
                       from ? from->name : "peer")) {
            s->peer_pieces++;
            qr_weights_tick(s, qr_sidecar_now(s));
            return;
        }
    }
    if (p->data || !from || g_strcmp0(p->source, from->name) != 0)
        return;
    p->asked_ms = qr_sidecar_now(s);
    p->pending = piece->state == QR__FLEET__PIECE__STATE__PENDING;
    if (p->pending)
        return;
    p->asked = false;
    if (piece->state != QR__FLEET__PIECE__STATE__READY)
        p->attempt++;
    qr_weights_tick(s, qr_sidecar_now(s));
}

void qr_weights_peer_closed(QRSidecar *s, const QRPeerConn *peer)
{
    const QRFleetMember *member = qr_peer_data(peer);

    for (unsigned i = s->waiters->len; i > 0; i--) {
        if (g_array_index(s->waiters, QRWaiter, i - 1).peer == peer)
            g_array_remove_index_fast(s->waiters, i - 1);
    }
    for (GList *l = s->uploads.head; l;) {
        GList *next = l->next;

        if (((QRWaiter *)l->data)->peer == peer) {
            g_free(l->data);
            g_queue_delete_link(&s->uploads, l);
        }
        l = next;
    }
    for (unsigned i = 0; member && s->pieces && i < s->pieces->len; i++) {
        QRPiece *p = piece_at(s, i);

        if (!p->asked || g_strcmp0(p->source, member->name) != 0)
            continue;
        p->asked = false;
        p->attempt++;
    }
}
