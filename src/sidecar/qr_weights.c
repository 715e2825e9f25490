/*
 * The versions whose weights a sidecar fetches, and when it drops them.
 */
#include "qr_sidecar.h"

#include <string.h>

#define PIECE_MARGIN_BYTES (64u << 10)
#define WINDOW_INITIAL_PIECES 3
#define PROGRESS_LOG_MS 1000
#define SCHEDULE_INTERVAL_MS 100
#define SCHEDULED_MAX 8 /* the newest versions; older ones stay as decided */
/* For the engines of all sidecars to switch one after the other: each is
   drained for up to 1.2 s, and a third of them at once are too many. */
#define SWITCH_SPREAD_MS 3500

static void piece_clear(void *p)
{
    QRPiece *piece = p;

    qr_buffered_cancel(piece->fetch);
    qr_buffered_cancel(piece->read_back);
    g_clear_pointer(&piece->data, g_bytes_unref);
    g_free(piece->source);
}

static void target_free(void *p)
{
    QRTarget *t = p;

    piece_clear(t->manifest_piece);
    g_free(t->manifest_piece);
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
            t->version, t->held_pieces, s->report.version);
    qr_upload_drop_waiters(s, t, NULL);
    g_ptr_array_remove(s->targets, t);
}

/* Whether a newer version than the target at 'index' is complete or served. */
static bool is_replaced(const QRSidecar *s, unsigned index)
{
    for (unsigned i = index + 1; i < s->targets->len; i++) {
        const QRTarget *newer = s->targets->pdata[i];

        if (qr_target_is_complete(newer) ||
            qr_sidecar_serves(s, newer->version))
            return true;
    }
    return false;
}

/* Drops an older version once a newer one is complete, served or past its
   deadline. */
static void drop_superseded(QRSidecar *s)
{
    uint64_t due = qr_operator_overdue_version(&s->operator, s->model,
                                               (uint64_t)s->set->version_ms,
                                               qr_sidecar_now(s));

    while (s->targets->len > 1) {
        QRTarget *older = s->targets->pdata[0];

        if (!is_replaced(s, 0) && older->version >= due)
            return;
        /* its order is sent again: once the engine has taken one of the two, it
           refuses the other */
        if (older->version == s->ordered_version &&
            qr_stage_order_is_open(s, qr_sidecar_now(s)))
            return;
        target_drop(s, older);
    }
}

/*
 * When a newer version is named, drops versions of which no piece has arrived:
 * the newer version takes no longer to fetch and meets the deadlines of both.
 */
static void drop_unstarted(QRSidecar *s)
{
    for (unsigned i = s->targets->len; i > 0; i--) {
        QRTarget *t = s->targets->pdata[i - 1];

        if (t->held_pieces == 0 && !qr_sidecar_serves(s, t->version))
            target_drop(s, t);
    }
}

void qr_weights_clear(QRSidecar *s)
{
    g_clear_pointer(&s->targets, g_ptr_array_unref);
    g_clear_pointer(&s->model, g_free);
}

void qr_weights_update_targets(QRSidecar *s)
{
    const QRService *service = qr_sidecar_service(s);
    const char *model = service ? service->engine.model : NULL;
    QRNamedVersion first = {.version = s->platform->first_version};
    const QRNamedVersion *named =
        qr_operator_newest_version(&s->operator, model);
    QRTarget *t;

    if (!s->targets)
        s->targets = g_ptr_array_new_with_free_func(target_free);
    if (!named)
        named = &first;
    if (!model || (s->model && named->version <= qr_sidecar_newest_version(s)))
        return;
    if (!s->model)
        s->model = g_strdup(model);
    drop_unstarted(s);
    t = g_new0(QRTarget, 1);
    t->sidecar = s;
    t->manifest_piece = g_new0(QRPiece, 1);
    t->version = named->version;
    t->named_ms = named->since_ms;
    t->progress.last_ms = qr_sidecar_now(s);
    g_ptr_array_add(s->targets, t);
    qr_upload_bind_target(s, t);
    if (s->piece_window <= 0)
        s->piece_window = WINDOW_INITIAL_PIECES;
    qr_logf(QR_LEVEL_INFO, "weights",
            "target model=%s version=%" G_GUINT64_FORMAT
            " since_ms=%" G_GUINT64_FORMAT " targets=%u",
            s->model, t->version,
            t->named_ms ? t->progress.last_ms - t->named_ms : 0,
            s->targets->len);
    qr_sidecar_send_state(s,
                          true); /* the engine may already serve this version */
}

bool qr_target_set_manifest(QRTarget *t, const void *data, size_t len)
{
    const QRSidecar *s = t->sidecar;
    g_autoptr(QRManifest) m = s->platform->parse_manifest(data, len);
    const QRService *service = qr_sidecar_service(s);
    unsigned chunks = service ? service->engine.chunks : 0;

    if (!m || m->version != t->version || strcmp(m->model, s->model) != 0 ||
        m->digests->len == 0)
        return false;
    /* an engine that is started without some pieces takes what lay there */
    if (chunks > 0 && m->digests->len != chunks) {
        qr_logf(QR_LEVEL_WARN, "weights",
                "manifest with a wrong count version=%" G_GUINT64_FORMAT
                " pieces=%u configured=%u",
                t->version, m->digests->len, chunks);
        return false;
    }
    t->manifest = g_steal_pointer(&m);
    t->pieces = g_array_new(FALSE, TRUE, sizeof(QRPiece));
    g_array_set_clear_func(t->pieces, piece_clear);
    g_array_set_size(t->pieces, t->manifest->digests->len);
    qr_upload_adopt_requests(t);
    qr_logf(QR_LEVEL_INFO, "weights",
            "manifest version=%" G_GUINT64_FORMAT " pieces=%u", t->version,
            t->pieces->len);
    return true;
}

size_t qr_target_piece_max_bytes(const QRTarget *t)
{
    const QRService *service = qr_sidecar_service(t->sidecar);
    /* either may state too little: a spoilt manifest, an older configuration */
    size_t bytes = MAX(t->manifest ? t->manifest->chunk_bytes : 0,
                       service ? service->engine.chunk_bytes : 0);

    return bytes > 0 ? bytes + PIECE_MARGIN_BYTES : 0;
}

/* Returns the piece with the oldest open request; NULL: none is requested. */
static const QRPiece *longest_waiting_piece(const QRTarget *t, unsigned *index)
{
    const QRPiece *longest_wait = NULL;

    for (unsigned i = 0; i < t->pieces->len; i++) {
        const QRPiece *p = qr_piece(t, i);

        if (p->data || !p->asked ||
            (longest_wait && longest_wait->first_asked_ms <= p->first_asked_ms))
            continue;
        longest_wait = p;
        *index = i;
    }
    return longest_wait;
}

static void target_log_progress(QRTarget *t, uint64_t now)
{
    unsigned asked = 0, pending = 0, index = 0;
    const QRPiece *longest_wait = longest_waiting_piece(t, &index);

    if (now < t->logged_ms + PROGRESS_LOG_MS)
        return;
    t->logged_ms = now;
    for (unsigned i = 0; i < t->pieces->len; i++) {
        asked += qr_piece(t, i)->asked;
        pending += qr_piece(t, i)->asked && qr_piece(t, i)->pending;
    }
    qr_logf(QR_LEVEL_INFO, "weights",
            "progress version=%" G_GUINT64_FORMAT
            " held=%u of=%u asked=%u pending=%u window=%.0f origin_open=%u "
            "uploads=%u longest=%u from=%s root=%d pending=%d "
            "asked_ago_ms=%" G_GUINT64_FORMAT " relays_tried=%u roots_tried=%u",
            t->version, t->held_pieces, t->pieces->len, asked, pending,
            t->sidecar->piece_window,
            qr_pieces_count_origin_requests(t->sidecar),
            t->sidecar->uploads.length, index,
            longest_wait ? longest_wait->source : "-",
            longest_wait && longest_wait->from_root,
            longest_wait && longest_wait->pending,
            longest_wait ? now - longest_wait->first_asked_ms : 0,
            longest_wait ? longest_wait->attempts.relays : 0,
            longest_wait ? longest_wait->attempts.roots : 0);
}

/* A version that the engine serves is fetched only if a peer waits for it. */
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
 * Whether the pieces already stored at the engine must be listed before others
 * are fetched. There is nothing to list while the engine is not up, after this
 * sidecar has put another version there, or while an older one is being staged.
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
    unsigned offset;

    if (!is_needed(t) || t->skipped)
        return;
    if (t->first_tick_ms == 0)
        t->first_tick_ms = now;
    if (t->manifest && (must_scan_first(t) || qr_target_is_complete(t)))
        return;
    qr_sidecar_plan(s, t->version, &plan);
    if (!t->manifest) {
        qr_piece_tick(t, QR_MANIFEST_INDEX, &plan, now);
        return;
    }
    target_log_progress(t, now);
    /* start at a piece that depends on the host: spreads requests over peers */
    offset = (unsigned)qr_hash_str(s->set->host, t->version);
    for (unsigned i = 0; i < t->pieces->len; i++)
        qr_piece_tick(t, (i + offset % t->pieces->len) % t->pieces->len, &plan,
                      now);
}

/* What the schedule of versions needs to know about transfers; rates are 0
   where the configuration states none. */
static QRTransferRates transfer_rates(const QRSidecar *s)
{
    const QRService *service = qr_sidecar_service(s);
    const QRService *origin =
        s->operator.policy ? qr_policy_origin(s->operator.policy) : NULL;
    double share = (double)s->set->weights_link_percent / 100;

    return (QRTransferRates){
        .origin_bytes_per_ms = origin ? origin->origin_bytes_per_ms : 0,
        .link_bytes_per_ms = s->set->link_mbit_s * 1e6 / 8 / 1000 * share,
        .piece_bytes = service ? service->engine.chunk_bytes : 0,
        .switch_ms =
            SWITCH_SPREAD_MS + (service ? service->engine.warmup_ms : 0),
    };
}

static unsigned missing_pieces(const QRSidecar *s, const QRTarget *t)
{
    const QRService *service = qr_sidecar_service(s);

    if (qr_sidecar_serves(s, t->version))
        return 0;
    if (t->pieces)
        return t->pieces->len - t->held_pieces;
    return service ? service->engine.chunks : 0;
}

static void apply_schedule(QRTarget *t, const QRScheduledVersion *v,
                           uint64_t now_ms)
{
    QRSidecar *s = t->sidecar;

    if (v->skipped != t->skipped || v->in_time != t->forecast_in_time)
        qr_logf(
            QR_LEVEL_INFO, "weights",
            "schedule version=%" G_GUINT64_FORMAT
            " skipped=%d in_time=%d missing=%u complete_in_ms=%" G_GINT64_FORMAT
            " due_in_ms=%" G_GINT64_FORMAT,
            t->version, v->skipped, v->in_time, v->pieces_missing,
            (int64_t)(v->complete_ms - now_ms), (int64_t)(v->due_ms - now_ms));
    s->versions_skipped += v->skipped && !t->skipped;
    t->skipped = v->skipped;
    t->forecast_in_time = v->in_time;
    t->complete_forecast_ms = v->complete_ms;
}

/* Decides which of the versions that are being fetched are needed. */
static void schedule_versions(QRSidecar *s, uint64_t now_ms)
{
    QRScheduledVersion versions[SCHEDULED_MAX];
    QRTransferRates rates = transfer_rates(s);
    unsigned n = MIN(s->targets->len, SCHEDULED_MAX);
    unsigned first = s->targets->len - n;

    if (!s->set->schedule_versions ||
        now_ms < s->schedule_ms + SCHEDULE_INTERVAL_MS)
        return;
    s->schedule_ms = now_ms;
    for (unsigned i = 0; i < n; i++) {
        const QRTarget *t = s->targets->pdata[first + i];

        versions[i] = (QRScheduledVersion){
            .version = t->version,
            .pieces_missing = missing_pieces(s, t),
            .due_ms = (t->named_ms ? t->named_ms : now_ms) +
                      (uint64_t)s->set->version_ms,
            .skipped = t->skipped,
        };
    }
    qr_version_schedule(versions, n, &rates, now_ms);
    for (unsigned i = 0; i < n; i++)
        apply_schedule(s->targets->pdata[first + i], &versions[i], now_ms);
}

void qr_weights_tick(QRSidecar *s, uint64_t now_ms)
{
    if (!s->model || !s->report_ms)
        return;
    drop_superseded(s);
    qr_pieces_close_idle_origin(s, now_ms);
    qr_pieces_notify_pending(s, now_ms);
    schedule_versions(s, now_ms);
    for (unsigned i = 0; i < s->targets->len; i++)
        target_tick(s->targets->pdata[i], now_ms);
}
