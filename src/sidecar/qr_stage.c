/*
 * Stages weights at the engine: puts pieces, reads them back, checks them, and
 * then orders the engine to start the version.
 */
#include "qr_sidecar.h"

#include <string.h>

/* The engine is on the same host: 64 pieces are staged in a few ticks. */
#define STAGE_REQUESTS_MAX 8
#define ORDER_TIMEOUT_MS 900
#define ORDER_RETRY_MS 300
/* A read-back check is valid for so long after its request was sent. With
   ORDER_TIMEOUT_MS less than the 3 s for which the platform allows a piece to
   be damaged unnoticed. */
#define VERIFY_VALID_MS 2000
/* Time for the announcement to reach gateways, and for calls that they have
   already sent to reach the engine. */
#define ANNOUNCE_DELAY_MS 80
#define DRAIN_TIMEOUT_MS 1200 /* for calls at the engine to end */
#define CUT_STREAMS_MAX 4     /* running streams that a start may cut */
/* From the order to the report that gateways receive of the new version. */
#define REPORT_DELAY_MS 200
/* Gateways require the new version this long before its bound. */
#define GATEWAY_MARGIN_MS 1000

/*
 * Handles the answer to reading a piece back. A piece that matches its digest
 * is staged at the engine, and its bytes are also kept here.
 */
static void check_read_back(QRTarget *t, unsigned index,
                            const QRBufferedAnswer *a)
{
    QRPiece *p = qr_piece(t, index);
    char digest[QR_SHA_HEX] = "";
    bool valid = false;

    if (a->status == 200) {
        qr_sha256_hex(a->data, a->len, digest);
        valid = strcmp(digest, t->manifest->digests->pdata[index]) == 0;
    }
    if (a->status == 200 || a->status == 404)
        qr_stage_puts_note_content(t->sidecar, index, digest);
    if (!valid && t->scanned && p->staged)
        qr_logf(QR_LEVEL_WARN, "stage",
                "staged piece is missing or damaged index=%u status=%u", index,
                a->status);
    p->staged = p->verified = valid;
    p->verified_ms = p->read_back_ms;
    if (valid && !p->data) {
        p->data = g_bytes_new(a->data, a->len);
        t->held_pieces++;
        qr_piece_notify_waiters(t, index);
    }
}

static void handle_read_back(void *owner, unsigned index,
                             const QRBufferedAnswer *a)
{
    QRTarget *t = owner;
    QRPiece *p = qr_piece(t, index);

    p->read_back = NULL;
    if (a->status == 0) /* no answer: what the engine holds is unknown */
        p->verified = false;
    else
        check_read_back(t, index, a);
}

static void read_back(QRTarget *t, unsigned index)
{
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);
    g_autofree char *path = s->platform->stage_path(s->model, index, false);
    QRBufferedRequest r = {0};

    r.address = s->set->engine;
    r.method = "GET";
    r.path = path;
    r.connect_ms = QR_STAGE_CONNECT_MS;
    r.timeout_ms = QR_STAGE_TIMEOUT_MS;
    r.answer_max = qr_target_piece_max_bytes(t);
    p->read_back_ms = qr_sidecar_now(s);
    p->read_back =
        qr_buffered_send(s->engine_client, &r, handle_read_back, t, index);
}

/* Marks all pieces as staged or not. Reading back verifies the mark. */
static void mark_staged(QRTarget *t, bool staged)
{
    for (unsigned i = 0; i < t->pieces->len; i++) {
        qr_piece(t, i)->staged = staged;
        qr_piece(t, i)->verified = false;
    }
}

void qr_stage_reset(QRSidecar *s)
{
    qr_stage_puts_note_restart(s, s->confirmed_ms);
    if (s->order_sent_ms <= s->confirmed_ms)
        s->order_settled_ms = 0;
    s->staged_version = 0;
    for (unsigned i = 0; s->targets && i < s->targets->len; i++) {
        QRTarget *t = s->targets->pdata[i];

        t->scanned = false;
    }
}

/*
 * Reads back pieces, and puts pieces if 'may_put', a few at a time. Returns
 * true if all pieces are staged and verified.
 */
static bool stage_pieces(QRTarget *t, bool may_put)
{
    unsigned in_flight = qr_stage_puts_open(t->sidecar), verified = 0;

    may_put = may_put && qr_stage_puts_allow_more(t->sidecar);
    for (unsigned i = 0; i < t->pieces->len; i++) {
        in_flight += qr_piece(t, i)->read_back != NULL;
        verified += qr_piece(t, i)->staged && qr_piece(t, i)->verified;
    }
    for (unsigned i = 0; i < t->pieces->len && in_flight < STAGE_REQUESTS_MAX;
         i++) {
        QRPiece *p = qr_piece(t, i);

        if (p->read_back || p->verified || qr_stage_put_blocks(t, i))
            continue;
        if (p->staged)
            read_back(t, i);
        else if (p->data && may_put)
            qr_stage_put_send(t, i);
        else
            continue;
        in_flight++;
    }
    return verified == t->pieces->len;
}

static bool is_verified(const QRTarget *t)
{
    for (unsigned i = 0; i < t->pieces->len; i++) {
        if (!qr_piece(t, i)->verified)
            return false;
    }
    return true;
}

static bool is_scan_done(const QRTarget *t)
{
    for (unsigned i = 0; i < t->pieces->len; i++) {
        const QRPiece *p = qr_piece(t, i);

        if (p->read_back || (p->staged && !p->verified))
            return false;
    }
    return true;
}

/*
 * Reads back once which pieces are staged at the engine. Returns true when the
 * scan is complete. If another version is known to be staged there, nothing is
 * read.
 */
static bool scan_stage(QRTarget *t)
{
    const QRSidecar *s = t->sidecar;

    if (t->scanned)
        return true;
    if (s->staged_version && s->staged_version != t->version) {
        mark_staged(t, false);
        t->scanned = true;
        t->found_whole = false;
        return true;
    }
    if (!t->scanning) {
        t->scanning = true;
        mark_staged(t, true);
    }
    stage_pieces(t, false);
    if (is_scan_done(t)) {
        t->scanned = true;
        t->found_whole = is_verified(t);
        t->scanning = false;
        qr_upload_reject_missing(t);
    }
    return t->scanned;
}

static void handle_order_answer(void *owner, unsigned ref,
                                const QRBufferedAnswer *a)
{
    QRSidecar *s = owner;

    (void)ref;
    s->order_call = NULL;
    s->order_answered_ms = qr_sidecar_now(s);
    s->orders++;
    s->order_settled_ms = a->status == 0 && a->maybe_executed
                              ? s->order_sent_ms + QR_ENGINE_SETTLE_MS
                              : 0;
    s->order_next_ms = qr_sidecar_now(s) + ORDER_RETRY_MS;
    s->report_next_ms = 0;
    qr_logf(QR_LEVEL_INFO, "order",
            "start version=%" G_GUINT64_FORMAT
            " status=%u sequence=%" G_GUINT64_FORMAT " why=%s",
            s->ordered_version, a->status, s->report.sequence,
            a->error ? a->error : "-");
    if (a->status == 202 || a->status == 200 || a->status == 0)
        return; /* an unanswered order may have been accepted: the next report
                   shows whether it was */
    s->switching = false;
    qr_sidecar_send_state(s, true);
}

/*
 * Announces the order to gateways. The order then waits until the calls that
 * gateways had sent have begun: a call still queued at the engine could begin
 * on the old version after a long pause of the host. The order also waits
 * until most running calls have ended. The few long streams that remain are
 * cut and resumed at other engines.
 */
static void announce_order(QRSidecar *s, uint64_t now_ms)
{
    s->switching = true;
    s->announced_ms = now_ms;
    s->report_next_ms = MIN(s->report_next_ms, now_ms + ANNOUNCE_DELAY_MS);
    qr_sidecar_send_state(s, true);
}

/* Whether gateways still send calls to the engine at its current version. */
static bool is_in_use(const QRSidecar *s, uint64_t now_ms)
{
    uint64_t bound = (uint64_t)s->set->version_ms;
    uint64_t due = qr_operator_overdue_version(
        &s->operator, s->model, bound - MIN(bound, GATEWAY_MARGIN_MS), now_ms);

    return s->report.version > 0 && s->report.version >= due;
}

static bool may_send_order(const QRSidecar *s, uint64_t now_ms)
{
    /* gateways send no more calls to the engine, and none is left there */
    if (!is_in_use(s, now_ms) && s->report.queued + s->report.active == 0)
        return true;
    if (now_ms > s->announced_ms + DRAIN_TIMEOUT_MS || s->report.version == 0)
        return true;
    return s->report_asked_ms >= s->announced_ms + ANNOUNCE_DELAY_MS &&
           !s->report_call && s->report.queued == 0 &&
           s->report.active <= CUT_STREAMS_MAX;
}

static uint64_t oldest_check_ms(const QRTarget *t)
{
    uint64_t oldest = UINT64_MAX;

    for (unsigned i = 0; i < t->pieces->len; i++)
        oldest = MIN(oldest, qr_piece(t, i)->verified_ms);
    return oldest;
}

/* The checks of all pieces are valid. */
static void send_start_order(QRSidecar *s, const QRTarget *t, uint64_t now_ms)
{
    g_autofree char *path = s->platform->order_path();
    g_autofree char *body = s->platform->start_order(s->model, t->version,
                                                     s->report.sequence, true);
    QRBufferedRequest r = {0};

    r.address = s->set->engine;
    r.method = "POST";
    r.path = path;
    r.content_type = "application/json";
    r.body = body;
    r.body_len = strlen(body);
    r.connect_ms = QR_STAGE_CONNECT_MS;
    r.timeout_ms = ORDER_TIMEOUT_MS;
    r.send_within_ms =
        (uint32_t)(oldest_check_ms(t) + VERIFY_VALID_MS + 1 - now_ms);
    s->announced_ms = 0;
    s->ordered_version = t->version;
    s->ordered_sequence = s->report.sequence;
    s->order_sent_ms = now_ms;
    s->order_call =
        qr_buffered_send(s->engine_client, &r, handle_order_answer, s, 0);
}

/* When the engine may start the version. An engine that gateways do not use
   starts at once; the others start in turn, within the bound of the oldest
   version that they lack. */
static uint64_t start_due_ms(const QRTarget *t, uint64_t now_ms)
{
    const QRSidecar *s = t->sidecar;
    const QRNamedVersion *next =
        qr_operator_version_after(&s->operator, s->model, s->report.version);
    g_auto(QRSourcePlan) plan = {0};
    QRSwitchWindow window;
    uint64_t named_ms = t->named_ms;

    if (!is_in_use(s, now_ms) || named_ms == 0)
        return 0;
    if (next && next->since_ms > 0)
        named_ms = MIN(named_ms, next->since_ms);
    window =
        qr_switch_window(named_ms, (uint64_t)s->set->version_ms,
                         qr_target_is_complete(t) ? t->progress.last_ms : 0);
    qr_sidecar_plan(s, t->version, &plan);
    return qr_switch_time_ms(&plan, window.first_ms, window.last_ms);
}

uint64_t qr_sidecar_ready_in_ms(const QRSidecar *s, uint64_t now_ms)
{
    const QRTarget *t = s->targets && s->targets->len > 0
                            ? s->targets->pdata[s->targets->len - 1]
                            : NULL;
    const QRService *service = qr_sidecar_service(s);
    uint64_t start_ms;

    if (!t || !service || qr_sidecar_serves(s, t->version))
        return 0;
    if (s->switching && !s->announced_ms)
        start_ms = now_ms;
    else if (qr_target_is_complete(t))
        start_ms = start_due_ms(t, now_ms);
    else if (t->complete_forecast_ms > 0)
        start_ms = t->complete_forecast_ms;
    else
        return 0;
    return MAX(start_ms, now_ms) - now_ms + service->engine.warmup_ms +
           REPORT_DELAY_MS;
}

bool qr_stage_order_is_open(const QRSidecar *s, uint64_t now_ms)
{
    return s->order_call || now_ms < s->order_settled_ms;
}

/*
 * The version to stage: the newest of which all pieces are here. Until there is
 * one, the oldest version, which will be complete first. While the engine may
 * still execute an order, the version of that order.
 */
static QRTarget *stage_target(const QRSidecar *s, uint64_t now_ms)
{
    QRTarget *chosen = NULL;

    if (qr_stage_order_is_open(s, now_ms)) {
        chosen = qr_target_find(s, s->model, s->ordered_version);
        if (chosen && chosen->pieces && !qr_sidecar_serves(s, chosen->version))
            return chosen;
        chosen = NULL;
    }
    for (unsigned i = 0; i < s->targets->len; i++) {
        QRTarget *t = s->targets->pdata[i];

        if (!t->pieces || t->skipped || qr_sidecar_serves(s, t->version))
            continue;
        if (!chosen || qr_target_is_complete(t))
            chosen = t;
    }
    return chosen;
}

/*
 * Checks that were sent earlier do not count: the engine may still execute
 * requests of the sidecar process before this one. That process stored no piece
 * in the place of another version's before it was settled, so a version that
 * was found whole can only be replaced by a newer one.
 */
static uint64_t first_check_ms(const QRTarget *t)
{
    const QRSidecar *s = t->sidecar;

    if (t->found_whole && t->version == qr_sidecar_newest_version(s))
        return 0;
    return s->started_ms + QR_PREDECESSOR_SETTLE_MS;
}

/* Marks pieces whose check is too old to be read back again. Returns true if
   there are none. */
static bool invalidate_old_checks(QRTarget *t, uint64_t now_ms)
{
    uint64_t first_ms = first_check_ms(t);
    bool all_valid = true;

    for (unsigned i = 0; i < t->pieces->len; i++) {
        QRPiece *p = qr_piece(t, i);

        if (now_ms <= p->verified_ms + VERIFY_VALID_MS &&
            p->verified_ms >= first_ms)
            continue;
        p->verified = false;
        all_valid = false;
    }
    return all_valid;
}

void qr_stage_note_report(QRSidecar *s, const QREngineReport *report)
{
    /* the engine then denies the order, by the sequence named in it */
    if (report->sequence != s->ordered_sequence)
        s->order_settled_ms = 0;
}

static void order_tick(QRSidecar *s, QRTarget *t, uint64_t now_ms)
{
    if (now_ms < first_check_ms(t))
        return;
    if (s->order_call || s->report.busy || (s->switching && !s->announced_ms) ||
        now_ms < s->order_next_ms || now_ms < start_due_ms(t, now_ms))
        return;
    if (!s->announced_ms)
        announce_order(s, now_ms);
    /* pieces are read back again while the engine drains */
    if (invalidate_old_checks(t, now_ms) && may_send_order(s, now_ms))
        send_start_order(s, t, now_ms);
}

/* Scans the engine's pieces of each version that it serves, because peers may
   ask for them. */
static void scan_served(QRSidecar *s)
{
    for (unsigned i = 0; i < s->targets->len; i++) {
        QRTarget *t = s->targets->pdata[i];

        if (t->pieces && !t->scanned && qr_sidecar_serves(s, t->version))
            scan_stage(t);
    }
}

void qr_stage_tick(QRSidecar *s, uint64_t now_ms)
{
    QRTarget *t;

    qr_stage_puts_tick(s, now_ms);
    if (!s->model || !s->reachable)
        return;
    scan_served(s);
    t = stage_target(s, now_ms);
    if (!t)
        return;
    if (s->staged_version && s->staged_version != t->version && t->scanned &&
        t->version != s->staging_version)
        mark_staged(t, false); /* the other version's pieces replaced these */
    s->staging_version = t->version;
    if (!scan_stage(t))
        return;
    /* an open order takes what is staged when the engine executes it */
    if (stage_pieces(t, t->version == s->ordered_version ||
                            !qr_stage_order_is_open(s, now_ms)))
        order_tick(s, t, now_ms);
}
