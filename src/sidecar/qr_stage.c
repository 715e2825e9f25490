/*
 * Staging at the engine: pieces put, read back and checked; then the order to
 * start them.
 */
#include "qr_sidecar.h"

#include <string.h>

#define CONNECT_MS 500
#define STAGE_TIMEOUT_MS 2000
#define STAGE_AT_ONCE 8 /* on the machine itself; 64 pieces in a few ticks */
#define ORDER_TIMEOUT_MS 1500
#define ORDER_AGAIN_MS 300
#define VERIFY_FRESH_MS 2000  /* a check is good for so long */
#define ANNOUNCED_MS 80       /* for the word to reach gateways, and calls us */
#define SETTLE_MOST_MS 1200   /* calls there are waited for no longer */
#define RUNNING_FEW 4         /* streams that may be cut */
#define SWITCH_LEAD_MS 2200   /* by then the first have all pieces */
#define OUT_OF_USE_MS 1000    /* before a bound, gateways ask for the new one */
#define SWITCH_MARGIN_MS 1200 /* before the bound, the last one is ordered */

/* What was read back is right: it lies at the engine, and is here too. */
static void piece_read_back(QRTarget *t, unsigned index,
                            const QRBufferedAnswer *a)
{
    QRPiece *p = qr_piece(t, index);
    char digest[QR_SHA_HEX] = "";
    bool right = false;

    if (a->status == 200) {
        qr_sha256_hex(a->data, a->len, digest);
        right = strcmp(digest, t->manifest->digests->pdata[index]) == 0;
    }
    if (!right && t->scanned && p->staged)
        qr_logf(QR_LEVEL_WARN, "stage", "piece turned bad index=%u status=%u",
                index, a->status);
    p->staged = p->verified = right;
    p->verified_ms = qr_sidecar_now(t->sidecar);
    if (right && !p->data) {
        p->data = g_bytes_new(a->data, a->len);
        t->held++;
        qr_piece_came(t, index);
    }
}

static void stage_done(void *owner, unsigned index, const QRBufferedAnswer *a)
{
    QRTarget *t = owner;
    QRPiece *p = qr_piece(t, index);

    p->stage = NULL;
    if (a->status == 0) { /* no answer: what lies there is not known */
        p->verified = false;
        p->staged = p->reading && p->staged;
        return;
    }
    if (p->reading) {
        piece_read_back(t, index, a);
        return;
    }
    p->staged = a->status / 100 == 2;
    p->verified = false;
    if (!p->staged)
        qr_logf(QR_LEVEL_WARN, "stage", "put refused index=%u status=%u", index,
                a->status);
}

static void piece_stage(QRTarget *t, unsigned index, bool put)
{
    QRSidecar *s = t->sidecar;
    QRPiece *p = qr_piece(t, index);
    g_autofree char *path = s->platform->stage_path(s->model, index, put);
    QRBufferedRequest r = {0};
    gsize len = 0;

    r.address = s->set->engine;
    r.method = put ? "PUT" : "GET";
    r.path = path;
    r.body = put ? g_bytes_get_data(p->data, &len) : NULL;
    r.body_len = len;
    r.connect_ms = CONNECT_MS;
    r.timeout_ms = STAGE_TIMEOUT_MS;
    p->reading = !put;
    p->stage = qr_buffered_send(s->to_engine, &r, stage_done, t, index);
    if (put)
        s->staged_version = t->version;
}

/* Marks all pieces as lying there or not; reading back tells the truth. */
static void mark_staged(QRTarget *t, bool staged)
{
    for (unsigned i = 0; i < t->pieces->len; i++) {
        qr_piece(t, i)->staged = staged;
        qr_piece(t, i)->verified = false;
    }
}

void qr_stage_forget(QRSidecar *s)
{
    s->staged_version = 0;
    for (unsigned i = 0; s->targets && i < s->targets->len; i++) {
        QRTarget *t = s->targets->pdata[i];

        t->scanned = false;
    }
}

/*
 * Reads back, and puts if that is allowed, a few pieces at once. True: all lie
 * there, checked.
 */
static bool stage_pieces(QRTarget *t, bool may_put)
{
    unsigned open = 0, right = 0;

    for (unsigned i = 0; i < t->pieces->len; i++) {
        open += qr_piece(t, i)->stage != NULL;
        right += qr_piece(t, i)->staged && qr_piece(t, i)->verified;
    }
    for (unsigned i = 0; i < t->pieces->len && open < STAGE_AT_ONCE; i++) {
        QRPiece *p = qr_piece(t, i);

        if (p->stage || p->verified)
            continue;
        if (p->staged)
            piece_stage(t, i, false);
        else if (p->data && may_put)
            piece_stage(t, i, true);
        else
            continue;
        open++;
    }
    return right == t->pieces->len;
}

static bool scan_done(const QRTarget *t)
{
    for (unsigned i = 0; i < t->pieces->len; i++) {
        const QRPiece *p = qr_piece(t, i);

        if (p->stage || (p->staged && !p->verified))
            return false;
    }
    return true;
}

/*
 * Looks once at what lies at the engine. Returns true when that is over. Where
 * we know that another version lies there, there is nothing to look at.
 */
static bool scan(QRTarget *t)
{
    const QRSidecar *s = t->sidecar;

    if (t->scanned)
        return true;
    if (s->staged_version && s->staged_version != t->version) {
        mark_staged(t, false);
        t->scanned = true;
        return true;
    }
    if (!t->scanning) {
        t->scanning = true;
        mark_staged(t, true);
    }
    stage_pieces(t, false);
    if (scan_done(t)) {
        t->scanned = true;
        t->scanning = false;
        qr_upload_missing(t);
    }
    return t->scanned;
}

static void order_done(void *owner, unsigned ref, const QRBufferedAnswer *a)
{
    QRSidecar *s = owner;

    (void)ref;
    s->order_call = NULL;
    s->order_answered_ms = qr_sidecar_now(s);
    s->orders++;
    s->order_next_ms = qr_sidecar_now(s) + ORDER_AGAIN_MS;
    s->report_next_ms = 0;
    qr_logf(QR_LEVEL_INFO, "order",
            "start version=%" G_GUINT64_FORMAT
            " status=%u sequence=%" G_GUINT64_FORMAT " why=%s",
            s->ordered_version, a->status, s->report.sequence,
            a->error ? a->error : "-");
    if (a->status == 202 || a->status == 200 || a->status == 0)
        return; /* without an answer it may have been taken: the report tells */
    s->switching = false;
    qr_sidecar_tell_state(s, true);
}

/*
 * Gateways are told first, and the order waits until what they had sent has
 * begun: nothing may lie queued at the engine that would begin on the old
 * version after a long stop of the machine. It waits for most of what runs,
 * too; the few long streams left are cut, and taken up at other engines.
 */
static void order_announce(QRSidecar *s, uint64_t now_ms)
{
    s->switching = true;
    s->announced_ms = now_ms;
    s->report_next_ms = MIN(s->report_next_ms, now_ms + ANNOUNCED_MS);
    qr_sidecar_tell_state(s, true);
}

/* Whether gateways still send calls to the engine, for the version it has. */
static bool is_in_use(const QRSidecar *s, uint64_t now_ms)
{
    uint64_t bound = (uint64_t)s->set->version_ms;
    uint64_t due = qr_operator_version_due(
        &s->operator, s->model, bound - MIN(bound, OUT_OF_USE_MS), now_ms);

    return s->report.version > 0 && s->report.version >= due;
}

static bool order_may_go(const QRSidecar *s, uint64_t now_ms)
{
    /* nobody sends calls there any more, and none is left */
    if (!is_in_use(s, now_ms) && s->report.queued + s->report.active == 0)
        return true;
    if (now_ms > s->announced_ms + SETTLE_MOST_MS || s->report.version == 0)
        return true;
    return s->report_asked_ms >= s->announced_ms + ANNOUNCED_MS &&
           !s->report_call && s->report.queued == 0 &&
           s->report.active <= RUNNING_FEW;
}

static void order_start(QRSidecar *s, const QRTarget *t)
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
    r.connect_ms = CONNECT_MS;
    r.timeout_ms = ORDER_TIMEOUT_MS;
    s->announced_ms = 0;
    s->ordered_version = t->version;
    s->order_call = qr_buffered_send(s->to_engine, &r, order_done, s, 0);
}

/* An engine that is of no use as it is starts at once; the others in turn. */
static uint64_t start_due_ms(const QRTarget *t, uint64_t now_ms)
{
    const QRSidecar *s = t->sidecar;
    g_auto(QRSourcePlan) plan = {0};
    uint64_t bound = (uint64_t)s->set->version_ms;

    if (!is_in_use(s, now_ms) || t->since_ms == 0)
        return 0;
    qr_sidecar_plan(s, t->version, &plan);
    return qr_switch_at(&plan, t->since_ms + MIN(SWITCH_LEAD_MS, bound / 3),
                        t->since_ms + bound - MIN(bound, SWITCH_MARGIN_MS));
}

/*
 * The version to be staged: the newest that is whole; until one is, the
 * oldest, which will be whole first.
 */
static QRTarget *stage_target(const QRSidecar *s)
{
    QRTarget *chosen = NULL;

    for (unsigned i = 0; i < s->targets->len; i++) {
        QRTarget *t = s->targets->pdata[i];

        if (!t->pieces || qr_sidecar_serves(s, t->version))
            continue;
        if (!chosen || qr_target_whole(t))
            chosen = t;
    }
    return chosen;
}

/* Has pieces read back once more whose check is too old; true: none is. */
static bool checks_fresh(QRTarget *t, uint64_t now_ms)
{
    bool fresh = true;

    for (unsigned i = 0; i < t->pieces->len; i++) {
        QRPiece *p = qr_piece(t, i);

        if (now_ms <= p->verified_ms + VERIFY_FRESH_MS)
            continue;
        p->verified = false;
        fresh = false;
    }
    return fresh;
}

static void order_tick(QRSidecar *s, QRTarget *t, uint64_t now_ms)
{
    if (s->order_call || s->report.busy || (s->switching && !s->announced_ms) ||
        now_ms < s->order_next_ms || now_ms < start_due_ms(t, now_ms))
        return;
    if (!s->announced_ms)
        order_announce(s, now_ms);
    /* read back once more while the engine empties */
    if (checks_fresh(t, now_ms) && order_may_go(s, now_ms))
        order_start(s, t);
}

/* Pieces of a served version are looked at when a peer asks for them. */
static void scan_served(QRSidecar *s)
{
    for (unsigned i = 0; i < s->targets->len; i++) {
        QRTarget *t = s->targets->pdata[i];

        if (t->pieces && !t->scanned && qr_sidecar_serves(s, t->version))
            scan(t);
    }
}

void qr_stage_tick(QRSidecar *s, uint64_t now_ms)
{
    QRTarget *t;

    if (!s->model || !s->reachable)
        return;
    scan_served(s);
    t = stage_target(s);
    if (!t)
        return;
    if (s->staged_version && s->staged_version != t->version && t->scanned &&
        t->version != s->staging_version)
        mark_staged(t, false); /* the other version's pieces lie over ours */
    s->staging_version = t->version;
    if (!scan(t))
        return;
    if (stage_pieces(t, true))
        order_tick(s, t, now_ms);
}
