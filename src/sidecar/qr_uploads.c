/*
 * Pieces that other sidecars ask for: who waits, who is next, how fast.
 */
#include "qr_sidecar.h"

#include <string.h>

QRTarget *qr_target_of(const QRSidecar *s, const char *model, uint64_t version)
{
    for (unsigned i = 0; s->model && i < s->targets->len; i++) {
        QRTarget *t = s->targets->pdata[i];

        if (t->version == version && strcmp(model, s->model) == 0)
            return t;
    }
    return NULL;
}

static void send_piece(QRPeerConn *peer, const char *model, uint64_t version,
                       unsigned index, Qr__Fleet__Piece__State state,
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

void qr_upload_tell(const QRWaiter *w, Qr__Fleet__Piece__State state)
{
    send_piece(w->peer, w->target->sidecar->model, w->target->version, w->index,
               state, NULL);
}

/* Whether a peer has not taken what we sent it: our link, or its, is full. */
static bool upload_blocked(const QRSidecar *s)
{
    return qr_peers_unsent(s->peers) > 0;
}

/* Whose piece goes first: the lesser. */
static unsigned upload_order(const QRSidecar *s, const QRWaiter *w)
{
    const QRFleetMember *to = qr_peer_data(w->peer);
    g_auto(QRSourcePlan) plan = {0};

    /* it passes the piece on to all of its region */
    if (to && g_strcmp0(to->region, s->set->region) != 0)
        return 0;
    qr_sidecar_plan(s, w->target->version, &plan);
    return 1 + (to ? qr_source_place(&plan, to->name) : plan.all->len);
}

/*
 * Puts a piece in line for a peer: other regions first, then those that are to
 * switch first. So the first engines switch while others still draw.
 */
static void upload_later(QRSidecar *s, const QRWaiter *waiter)
{
    QRWaiter *w = g_memdup2(waiter, sizeof(*waiter));
    GList *at = s->uploads.head;

    w->order = upload_order(s, w);
    while (at && ((QRWaiter *)at->data)->order <= w->order)
        at = at->next;
    g_queue_insert_before(&s->uploads, at, w);
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
        GBytes *data = qr_piece(w->target, w->index)->data;

        send_piece(w->peer, s->model, w->target->version, w->index,
                   QR__FLEET__PIECE__STATE__DATA, data);
        s->upload_bytes -= (double)g_bytes_get_size(data);
    }
}

void qr_upload_drop(QRSidecar *s, const QRTarget *target,
                    const QRPeerConn *peer)
{
    for (unsigned i = s->waiters->len; i > 0; i--) {
        QRWaiter w = g_array_index(s->waiters, QRWaiter, i - 1);

        if (!(target && w.target == target) && w.peer != peer)
            continue;
        g_array_remove_index_fast(s->waiters, i - 1);
        if (target && w.target == target)
            qr_upload_tell(&w, QR__FLEET__PIECE__STATE__ABSENT);
    }
    for (GList *l = s->uploads.head; l;) {
        GList *next = l->next;
        QRWaiter *w = l->data;

        if ((target && w->target == target) || w->peer == peer) {
            if (target && w->target == target)
                qr_upload_tell(w, QR__FLEET__PIECE__STATE__ABSENT);
            g_free(w);
            g_queue_delete_link(&s->uploads, l);
        }
        l = next;
    }
}

/*
 * Who is asked at a later attempt is next in the order for the piece: earlier
 * ones gave nothing, so it draws the piece as if they were not there.
 */
static void take_over(QRPiece *p, unsigned attempt)
{
    if (attempt <= p->attempt || p->fetch)
        return;
    p->attempt = attempt;
    p->asked = p->pending = false;
}

/* A version that we have not heard of yet: its operator's record will come. */
static bool is_news(const QRSidecar *s, const Qr__Fleet__Want *want)
{
    return s->model && strcmp(want->model, s->model) == 0 &&
           want->version > qr_sidecar_newest(s);
}

void qr_upload_target_came(QRSidecar *s, QRTarget *t)
{
    for (unsigned i = 0; i < s->waiters->len; i++) {
        QRWaiter *w = &g_array_index(s->waiters, QRWaiter, i);

        if (!w->target && w->version == t->version)
            w->target = t;
    }
}

void qr_weights_want(QRSidecar *s, QRPeerConn *peer,
                     const Qr__Fleet__Want *want)
{
    QRWaiter w = {peer, qr_target_of(s, want->model, want->version),
                  want->version, want->index, 0};

    if (is_news(s, want)) {
        g_array_append_val(s->waiters, w);
        send_piece(peer, want->model, want->version, want->index,
                   QR__FLEET__PIECE__STATE__PENDING, NULL);
        return;
    }
    if (!w.target || (w.target->pieces && w.index >= w.target->pieces->len)) {
        send_piece(peer, want->model, want->version, want->index,
                   QR__FLEET__PIECE__STATE__ABSENT, NULL);
        return;
    }
    if (w.target->pieces && qr_piece(w.target, w.index)->data) {
        upload_later(s, &w);
        qr_upload_tell(&w, QR__FLEET__PIECE__STATE__QUEUED);
        return;
    }
    if (w.target->pieces)
        take_over(qr_piece(w.target, w.index), want->attempt);
    g_array_append_val(s->waiters, w);
    qr_upload_tell(&w, QR__FLEET__PIECE__STATE__PENDING);
}
