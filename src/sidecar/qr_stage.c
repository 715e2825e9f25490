/*
 * Staging at the engine: pieces put, read back and checked; then the order to
 * start them.
 */
#include "qr_sidecar.h"

#include <string.h>

#define CONNECT_MS 500
#define STAGE_TIMEOUT_MS 2000
#define STAGE_AT_ONCE 4
#define ORDER_TIMEOUT_MS 1500
#define ORDER_AGAIN_MS 300
#define VERIFY_FRESH_MS 1500  /* a check is good for so long */
#define ANNOUNCED_MS 80       /* for the word to reach gateways, and calls us */
#define SETTLE_MOST_MS 700    /* a queue is waited for no longer */
#define SWITCH_LEAD_MS 2600   /* from the naming: most have all pieces by then */
#define OUT_OF_USE_MS 1000    /* before a bound, gateways ask for the new one */
#define SWITCH_MARGIN_MS 2900 /* before the bound, the last one is ordered */

static QRPiece *piece_at(const QRSidecar *s, unsigned index)
{
    return &g_array_index(s->pieces, QRPiece, index);
}

/* What was read back is right: it lies at the engine, and is here too. */
static void piece_read_back(QRSidecar *s, unsigned index,
                            const QRWholeAnswer *a)
{
    QRPiece *p = piece_at(s, index);
    char digest[QR_SHA_HEX] = "";
    bool right = false;

    if (a->status == 200) {
        qr_sha256_hex(a->data, a->len, digest);
        right = strcmp(digest, s->manifest->digests->pdata[index]) == 0;
    }
    if (!right && s->stage_scanned && p->staged)
        qr_logf(QR_LEVEL_WARN, "stage", "piece turned bad index=%u status=%u",
                index, a->status);
    p->staged = p->verified = right;
    if (right && !p->data) {
        p->data = g_bytes_new(a->data, a->len);
        s->held++;
    }
}

static void stage_done(void *owner, unsigned index, const QRWholeAnswer *a)
{
    QRSidecar *s = owner;
    QRPiece *p = piece_at(s, index);

    p->stage = NULL;
    if (a->status == 0) { /* no answer: what lies there is not known */
        p->verified = false;
        p->staged = p->reading && p->staged;
        return;
    }
    if (p->reading) {
        piece_read_back(s, index, a);
        return;
    }
    p->staged = a->status / 100 == 2;
    p->verified = false;
    if (!p->staged)
        qr_logf(QR_LEVEL_WARN, "stage", "put refused index=%u status=%u",
                index, a->status);
}

static void piece_stage(QRSidecar *s, unsigned index, bool put)
{
    QRPiece *p = piece_at(s, index);
    g_autofree char *path = s->platform->stage_path(s->model, index, put);
    QRWholeRequest r = {0};
    gsize len = 0;

    r.address = s->set->engine;
    r.method = put ? "PUT" : "GET";
    r.path = path;
    r.body = put ? g_bytes_get_data(p->data, &len) : NULL;
    r.body_len = len;
    r.connect_ms = CONNECT_MS;
    r.timeout_ms = STAGE_TIMEOUT_MS;
    p->reading = !put;
    p->stage = qr_whole_send(s->to_engine, &r, stage_done, s, index);
}

void qr_stage_scan(QRSidecar *s)
{
    s->stage_scanned = false;
    for (unsigned i = 0; i < s->pieces->len; i++) {
        piece_at(s, i)->staged = true; /* as long as reading does not say no */
        piece_at(s, i)->verified = false;
    }
}

/* Puts or reads back, a few pieces at once. True: all lie there, checked. */
static bool stage_pieces(QRSidecar *s)
{
    unsigned open = 0, right = 0;

    for (unsigned i = 0; i < s->pieces->len; i++) {
        open += piece_at(s, i)->stage != NULL;
        right += piece_at(s, i)->staged && piece_at(s, i)->verified;
    }
    for (unsigned i = 0; i < s->pieces->len && open < STAGE_AT_ONCE; i++) {
        QRPiece *p = piece_at(s, i);

        if (p->stage || p->verified)
            continue;
        if (p->staged)
            piece_stage(s, i, false);
        else if (p->data)
            piece_stage(s, i, true);
        else
            continue;
        open++;
    }
    return right == s->pieces->len;
}

static bool scan_done(const QRSidecar *s)
{
    for (unsigned i = 0; i < s->pieces->len; i++) {
        QRPiece *p = piece_at(s, i);

        if (p->stage || (p->staged && !p->verified))
            return false;
    }
    return true;
}

static void order_done(void *owner, unsigned ref, const QRWholeAnswer *a)
{
    QRSidecar *s = owner;

    (void)ref;
    s->order_call = NULL;
    s->order_answered_ms = qr_sidecar_now(s);
    s->orders++;
    s->order_next_ms = qr_sidecar_now(s) + ORDER_AGAIN_MS;
    s->report_next_ms = 0;
    qr_logf(QR_LEVEL_INFO, "order",
            "start version=%" G_GUINT64_FORMAT " status=%u sequence=%"
            G_GUINT64_FORMAT " why=%s",
            s->version, a->status, s->report.sequence, a->why ? a->why : "-");
    if (a->status == 202 || a->status == 200 || a->status == 0)
        return; /* without an answer it may have been taken: the report tells */
    s->switching = false;
    s->verified_ms = 0;
    qr_sidecar_tell_state(s, true);
}

/*
 * Gateways are told first, and the order waits until what they had sent has
 * begun: nothing may lie queued at the engine that would begin on the old
 * version after a long stop of the machine.
 */
static void order_announce(QRSidecar *s, uint64_t now_ms)
{
    s->switching = true;
    s->announced_ms = now_ms;
    s->report_next_ms = MIN(s->report_next_ms, now_ms + ANNOUNCED_MS);
    qr_sidecar_tell_state(s, true);
}

static bool order_may_go(const QRSidecar *s, uint64_t now_ms)
{
    if (now_ms > s->announced_ms + SETTLE_MOST_MS || s->report.version == 0)
        return true;
    return s->report_asked_ms >= s->announced_ms + ANNOUNCED_MS &&
           !s->report_call && s->report.queued == 0;
}

static void order_start(QRSidecar *s)
{
    g_autofree char *path = s->platform->order_path();
    g_autofree char *body =
        s->platform->start_order(s->model, s->version, s->report.sequence);
    QRWholeRequest r = {0};

    r.address = s->set->engine;
    r.method = "POST";
    r.path = path;
    r.content_type = "application/json";
    r.body = body;
    r.body_len = strlen(body);
    r.connect_ms = CONNECT_MS;
    r.timeout_ms = ORDER_TIMEOUT_MS;
    s->announced_ms = 0;
    s->order_call = qr_whole_send(s->to_engine, &r, order_done, s, 0);
}

/* Whether gateways still send calls to the engine, for the version it has. */
static bool is_in_use(const QRSidecar *s, uint64_t now_ms)
{
    uint64_t bound = (uint64_t)s->set->version_ms;
    uint64_t due = qr_operator_version_due(
        &s->operator, s->model, bound - MIN(bound, OUT_OF_USE_MS), now_ms);

    return s->report.version > 0 && s->report.version >= due;
}

/* An engine that is of no use as it is starts at once; the others in turn. */
static uint64_t start_due_ms(QRSidecar *s, uint64_t now_ms)
{
    g_auto(QRSourcePlan) plan = {0};
    uint64_t bound = (uint64_t)s->set->version_ms;

    if (!is_in_use(s, now_ms) || s->since_ms == 0)
        return 0;
    qr_sidecar_plan(s, &plan);
    return qr_switch_at(&plan, s->since_ms + MIN(SWITCH_LEAD_MS, bound / 3),
                        s->since_ms + bound - MIN(bound, SWITCH_MARGIN_MS));
}

static void check_again(QRSidecar *s)
{
    for (unsigned i = 0; i < s->pieces->len; i++)
        piece_at(s, i)->verified = false;
    s->verified_ms = 0;
}

void qr_stage_tick(QRSidecar *s, uint64_t now_ms)
{
    bool right;

    if (!s->pieces || !s->reachable)
        return;
    if (qr_sidecar_serves_target(s) && s->stage_scanned)
        return;
    right = stage_pieces(s);
    if (!s->stage_scanned) {
        s->stage_scanned = scan_done(s);
        return;
    }
    if (!right)
        return;
    if (s->verified_ms == 0)
        s->verified_ms = now_ms;
    if (s->order_call || s->report.busy || (s->switching && !s->announced_ms) || now_ms < s->order_next_ms ||
        now_ms < start_due_ms(s, now_ms))
        return;
    if (now_ms > s->verified_ms + VERIFY_FRESH_MS)
        check_again(s);
    else if (!s->announced_ms)
        order_announce(s, now_ms);
    else if (order_may_go(s, now_ms))
        order_start(s);
}
