/*
 * Weights of the named versions: manifests, pieces from peers and the origin.
 */
#include "qr_sidecar.h"

#include <string.h>

#define CONNECT_MS 700
#define MANIFEST_TIMEOUT_MS 1500
#define MANIFEST_AGAIN_MS 250
#define PIECE_TIMEOUT_MS 2500 /* from the origin */
#define ORIGIN_AT_ONCE 1      /* its connections are few */
#define STALL_MS 900          /* no piece from anybody: ask others */
#define ASKED_MOST_MS 2500    /* a peer is given so long in any case */
#define UNHEARD_MOST_MS 900   /* ... that does not answer at all */
#define PENDING_MOST_MS 1500  /* ... that says it will have it */
#define DIAL_MOST_MS 300
#define WINDOW_FIRST 3
#define WINDOW_LEAST 1
#define WINDOW_MOST 8
#define WINDOW_FEW 2
#define SLOW_LINK_MS 1500 /* since a slow piece */
#define PIECE_FAST_MS 130 /* from its first byte to its last */
#define PIECE_SLOW_MS 260
#define ORIGIN_AGAIN_MS 150 /* after a failure */
#define PROGRESS_LOG_MS 1000

static void piece_clear(void *p)
{
    QRPiece *piece = p;

    qr_whole_cancel(piece->fetch);
    qr_whole_cancel(piece->stage);
    if (piece->data)
        g_bytes_unref(piece->data);
    g_free(piece->source);
}

static void target_free(void *p)
{
    QRTarget *t = p;

    qr_whole_cancel(t->manifest_call);
    qr_manifest_free(t->manifest);
    if (t->pieces)
        g_array_unref(t->pieces);
    g_free(t);
}

static void target_drop(QRSidecar *s, QRTarget *t)
{
    qr_logf(QR_LEVEL_INFO, "weights",
            "dropped version=%" G_GUINT64_FORMAT
            " held=%u serving=%" G_GUINT64_FORMAT,
            t->version, t->held, s->report.version);
    qr_upload_drop(s, t, NULL);
    g_ptr_array_remove(s->targets, t);
}

/* An older version goes once a newer one is whole, served, or in force. */
static void drop_overtaken(QRSidecar *s)
{
    uint64_t due = qr_operator_version_due(&s->operator, s->model,
                                           (uint64_t)s->set->version_ms,
                                           qr_sidecar_now(s));

    while (s->targets->len > 1) {
        QRTarget *older = s->targets->pdata[0];
        QRTarget *newer = s->targets->pdata[1];

        if (!qr_target_whole(newer) && !qr_sidecar_serves(s, newer->version) &&
            older->version >= due)
            return;
        target_drop(s, older);
    }
}

void qr_weights_clear(QRSidecar *s)
{
    g_clear_pointer(&s->targets, g_ptr_array_unref);
    g_clear_pointer(&s->model, g_free);
}

void qr_weights_retarget(QRSidecar *s)
{
    const QRService *service = qr_sidecar_service(s);
    const char *model = service ? service->engine.model : NULL;
    QRNamedVersion first = {s->platform->first_version, 0};
    const QRNamedVersion *named = qr_operator_version(&s->operator, model);
    QRTarget *t;

    if (!s->targets)
        s->targets = g_ptr_array_new_with_free_func(target_free);
    if (!named)
        named = &first;
    if (!model || (s->model && named->version <= qr_sidecar_newest(s)))
        return;
    if (!s->model)
        s->model = g_strdup(model);
    t = g_new0(QRTarget, 1);
    t->sidecar = s;
    t->version = named->version;
    t->since_ms = named->since_ms;
    t->progress_ms = qr_sidecar_now(s);
    g_ptr_array_add(s->targets, t);
    qr_upload_target_came(s, t);
    if (s->window <= 0)
        s->window = WINDOW_FIRST;
    qr_logf(QR_LEVEL_INFO, "weights",
            "target model=%s version=%" G_GUINT64_FORMAT
            " since_ms=%" G_GUINT64_FORMAT " targets=%u",
            s->model, t->version,
            t->since_ms ? t->progress_ms - t->since_ms : 0, s->targets->len);
}

static void manifest_failed(QRTarget *t, const char *why)
{
    t->manifest_next_ms = qr_sidecar_now(t->sidecar) + MANIFEST_AGAIN_MS;
    qr_logf(QR_LEVEL_WARN, "weights",
            "no manifest version=%" G_GUINT64_FORMAT " why=%s", t->version,
            why);
}

static void manifest_done(void *owner, unsigned ref, const QRWholeAnswer *a)
{
    QRTarget *t = owner;
    const QRSidecar *s = t->sidecar;
    g_autoptr(QRManifest) m = NULL;

    (void)ref;
    t->manifest_call = NULL;
    if (a->status == 200)
        m = s->platform->parse_manifest(a->data, a->len);
    if (!m || m->version != t->version || strcmp(m->model, s->model) != 0 ||
        m->digests->len == 0) {
        manifest_failed(t, a->status ? "not the one asked for" : a->why);
        return;
    }
    t->manifest = g_steal_pointer(&m);
    t->pieces = g_array_new(FALSE, TRUE, sizeof(QRPiece));
    g_array_set_clear_func(t->pieces, piece_clear);
    g_array_set_size(t->pieces, t->manifest->digests->len);
    qr_logf(QR_LEVEL_INFO, "weights",
            "manifest version=%" G_GUINT64_FORMAT " pieces=%u", t->version,
            t->pieces->len);
}

static const char *origin_address(const QRSidecar *s)
{
    const QRService *origin =
        s->operator.policy ? qr_policy_origin(s->operator.policy) : NULL;

    return origin ? origin->origin : NULL;
}

static QRWhole *origin_get(QRTarget *t, const char *path, uint32_t timeout_ms,
                           QRWholeDone done, unsigned ref)
{
    QRSidecar *s = t->sidecar;
    QRWholeRequest r = {0};

    r.address = origin_address(s);
    r.method = "GET";
    r.path = path;
    r.connect_ms = CONNECT_MS;
    r.timeout_ms = timeout_ms;
    return qr_whole_send(s->to_origin, &r, done, t, ref);
}

static void manifest_fetch(QRTarget *t)
{
    const QRSidecar *s = t->sidecar;
    g_autofree char *path = s->platform->manifest_path(s->model, t->version);

    t->manifest_call =
        origin_get(t, path, MANIFEST_TIMEOUT_MS, manifest_done, 0);
}

/* A piece came, from wherever: checked, kept, told to who waits for it. */
static bool piece_take(QRTarget *t, unsigned index, const void *data,
                       size_t len, const char *from)
{
    QRSidecar *s = t->sidecar;
    char digest[QR_SHA_HEX];
    QRPiece *p = qr_piece(t, index);

    if (p->data)
        return true;
    qr_sha256_hex(data, len, digest);
    if (strcmp(digest, t->manifest->digests->pdata[index]) != 0) {
        qr_logf(
            QR_LEVEL_WARN, "weights",
            "bad piece index=%u from=%s bytes=%zu version=%" G_GUINT64_FORMAT,
            index, from, len, t->version);
        return false;
    }
    p->data = g_bytes_new(data, len);
    p->asked = false;
    t->held++;
    t->progress_ms = qr_sidecar_now(s);
    for (unsigned i = s->waiters->len; i > 0; i--) {
        QRWaiter w = g_array_index(s->waiters, QRWaiter, i - 1);

        if (w.target != t || w.index != index)
            continue;
        g_array_remove_index_fast(s->waiters, i - 1);
        qr_upload_tell(&w, QR__FLEET__PIECE__STATE__READY);
    }
    if (qr_target_whole(t)) {
        qr_logf(QR_LEVEL_INFO, "weights",
                "whole version=%" G_GUINT64_FORMAT " ms=%" G_GUINT64_FORMAT
                " origin_bytes=%" G_GUINT64_FORMAT
                " peer_pieces=%" G_GUINT64_FORMAT,
                t->version, t->since_ms ? t->progress_ms - t->since_ms : 0,
                s->origin_bytes, s->peer_pieces);
        qr_sidecar_tell_state(s, true);
    }
    return true;
}

static void fetch_done(void *owner, unsigned index, const QRWholeAnswer *a)
{
    QRTarget *t = owner;
    QRPiece *p = qr_piece(t, index);

    p->fetch = NULL;
    t->sidecar->origin_bytes += a->len;
    if (a->status == 200 && piece_take(t, index, a->data, a->len, "origin")) {
        qr_weights_tick(t->sidecar, t->progress_ms);
        return;
    }
    qr_logf(
        QR_LEVEL_WARN, "weights",
        "origin failed index=%u status=%u why=%s version=%" G_GUINT64_FORMAT,
        index, a->status, a->why ? a->why : "-", t->version);
    /* once more from the start: peers may have it by now */
    p->attempt = 0;
    p->asked = false;
    p->asked_ms = qr_sidecar_now(t->sidecar);
    t->sidecar->origin_next_ms = p->asked_ms + ORIGIN_AGAIN_MS;
}

static unsigned fetches_open(const QRSidecar *s)
{
    unsigned n = 0;

    for (unsigned k = 0; k < s->targets->len; k++) {
        const QRTarget *t = s->targets->pdata[k];

        for (unsigned i = 0; t->pieces && i < t->pieces->len; i++)
            n += qr_piece(t, i)->fetch != NULL;
    }
    return n;
}

static void piece_from_origin(QRTarget *t, unsigned index, uint64_t now)
{
    QRSidecar *s = t->sidecar;
    g_autofree char *path = NULL;

    if (!origin_address(s) || now < s->origin_next_ms ||
        fetches_open(s) >= ORIGIN_AT_ONCE)
        return;
    path = s->platform->piece_path(s->model, t->version, index);
    qr_piece(t, index)->fetch =
        origin_get(t, path, PIECE_TIMEOUT_MS, fetch_done, index);
}

static void piece_ask(QRTarget *t, unsigned index, const QRFleetMember *from,
                      uint64_t now)
{
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);
    QRPeerConn *peer = qr_sidecar_peer_at(s, from->address);
    QRFrame frame = QR__FLEET__FRAME__INIT;
    Qr__Fleet__Want want = QR__FLEET__WANT__INIT;

    if (!peer) { /* being dialled; the next tick sees it */
        if (p->dial_ms == 0)
            p->dial_ms = now;
        if (now <= p->dial_ms + DIAL_MOST_MS)
            return;
        p->dial_ms = 0;
        p->attempt++;
        return;
    }
    p->dial_ms = 0;
    want.attempt = p->attempt;
    want.model = s->model;
    want.version = t->version;
    want.index = index;
    frame.body_case = QR__FLEET__FRAME__BODY_WANT;
    frame.want = &want;
    qr_peer_send(peer, &frame);
    p->asked = true;
    p->heard = p->pending = false;
    p->asked_ms = now;
    g_free(p->source);
    p->source = g_strdup(from->name);
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
    /* few were on their way: it is the link itself that is slow */
    if (ms > PIECE_SLOW_MS && s->window <= WINDOW_FEW)
        s->slow_until_ms = qr_sidecar_now(s) + SLOW_LINK_MS;
    if (ms > PIECE_SLOW_MS)
        s->window = MAX(s->window / 2, WINDOW_LEAST);
    else if (ms < PIECE_FAST_MS)
        s->window = MIN(s->window + 1, WINDOW_MOST);
}

/* Time to look for another source. One that has no piece yet may take long. */
static bool is_overdue(const QRTarget *t, const QRPiece *p, uint64_t now)
{
    if (p->pending)
        return now > p->asked_ms + PENDING_MOST_MS;
    if (p->asked && !p->heard)
        return now > p->asked_ms + UNHEARD_MOST_MS;
    if (now > p->asked_ms + ASKED_MOST_MS)
        return true;
    return now > p->asked_ms + STALL_MS && now > t->progress_ms + STALL_MS;
}

static void piece_tick(QRTarget *t, unsigned index, const QRSourcePlan *plan,
                       uint64_t now)
{
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);
    const QRFleetMember *from;

    if (p->data || p->fetch || p->stage)
        return;
    if (p->asked_ms == 0)
        p->asked_ms = now;
    if (is_overdue(t, p, now)) {
        p->asked = p->pending = false;
        p->asked_ms = now;
        p->attempt++;
    }
    if (p->asked)
        return;
    from = qr_source_choose(plan, index, p->attempt);
    if (!from)
        piece_from_origin(t, index, now);
    else if (on_their_way(s) < (unsigned)s->window)
        piece_ask(t, index, from, now);
}

static void target_log(QRTarget *t, uint64_t now)
{
    unsigned asked = 0, pending = 0;

    if (now < t->told_ms + PROGRESS_LOG_MS)
        return;
    t->told_ms = now;
    for (unsigned i = 0; i < t->pieces->len; i++) {
        asked += qr_piece(t, i)->asked;
        pending += qr_piece(t, i)->asked && qr_piece(t, i)->pending;
    }
    qr_logf(QR_LEVEL_INFO, "weights",
            "progress version=%" G_GUINT64_FORMAT
            " held=%u of=%u asked=%u pending=%u window=%.0f origin_open=%u "
            "uploads=%u",
            t->version, t->held, t->pieces->len, asked, pending,
            t->sidecar->window, fetches_open(t->sidecar),
            t->sidecar->uploads.length);
}

/* Nothing is drawn of a version that the engine serves and nobody asks for. */
static bool is_needed(const QRTarget *t)
{
    const QRSidecar *s = t->sidecar;

    if (!qr_sidecar_serves(s, t->version))
        return true;
    for (unsigned i = 0; i < s->waiters->len; i++) {
        if (g_array_index(s->waiters, QRWaiter, i).target == t)
            return true;
    }
    return false;
}

/*
 * What may lie at the engine already is looked at before it is drawn again.
 * There is nothing to look at while the engine is not up, once we have put
 * another version there, or while an older one is being staged.
 */
static bool must_scan_first(const QRTarget *t)
{
    const QRSidecar *s = t->sidecar;

    return !t->scanned && s->reachable && s->staged_version == 0 &&
           (t == s->targets->pdata[0] || s->staging_version == t->version ||
            qr_sidecar_serves(s, t->version));
}

static void target_tick(QRTarget *t, uint64_t now)
{
    QRSidecar *s = t->sidecar;
    g_auto(QRSourcePlan) plan = {0};
    unsigned turn;

    if (!is_needed(t))
        return;
    if (!t->manifest) {
        if (!t->manifest_call && now >= t->manifest_next_ms &&
            origin_address(s))
            manifest_fetch(t);
        return;
    }
    if (must_scan_first(t) || qr_target_whole(t))
        return;
    target_log(t, now);
    qr_sidecar_plan(s, t->version, &plan);
    /* each in an order of its own, so that not all ask one peer at once */
    turn = (unsigned)qr_hash_str(s->set->host, t->version);
    for (unsigned i = 0; i < t->pieces->len; i++)
        piece_tick(t, (i + turn % t->pieces->len) % t->pieces->len, &plan, now);
}

void qr_weights_tick(QRSidecar *s, uint64_t now_ms)
{
    if (!s->model || !s->report_ms)
        return;
    drop_overtaken(s);
    for (unsigned i = 0; i < s->targets->len; i++)
        target_tick(s->targets->pdata[i], now_ms);
}

void qr_weights_piece(QRSidecar *s, QRPeerConn *peer,
                      const Qr__Fleet__Piece *piece)
{
    const QRFleetMember *from = qr_peer_data(peer);
    QRTarget *t = qr_target_of(s, piece->model, piece->version);
    QRPiece *p;

    if (!t || !t->pieces || piece->index >= t->pieces->len)
        return;
    p = qr_piece(t, piece->index);
    if (piece->state == QR__FLEET__PIECE__STATE__DATA) {
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
        p->attempt++;
    qr_weights_tick(s, qr_sidecar_now(s));
}

static void target_peer_closed(QRTarget *t, const char *name)
{
    for (unsigned i = 0; t->pieces && i < t->pieces->len; i++) {
        QRPiece *p = qr_piece(t, i);

        if (!p->asked || g_strcmp0(p->source, name) != 0)
            continue;
        p->asked = false;
        p->attempt++;
    }
}

void qr_weights_peer_closed(QRSidecar *s, const QRPeerConn *peer)
{
    const QRFleetMember *member = qr_peer_data(peer);

    qr_upload_drop(s, NULL, peer);
    for (unsigned i = 0; member && s->targets && i < s->targets->len; i++)
        target_peer_closed(s->targets->pdata[i], member->name);
}
