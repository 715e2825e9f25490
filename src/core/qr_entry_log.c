/*
 * The entry and the log: following it, confirming changes, snapshots.
 */
#include "qr_entry.h"
#include "qr_plan.h"

#include <string.h>

/* A snapshot that was asked for and not seen is asked for again by then. */
#define SNAPSHOT_AGAIN_MS 10000
#define CONFIRMS_MAX 256

void qr_confirm_free(void *p)
{
    QRConfirm *w = p;

    g_free(w->id);
    g_free(w);
}

static json_object *entry_applied_json(const QRApplied *a)
{
    json_object *o = json_object_new_object();

    qr_json_str(o, "outcome", a->accepted ? "accepted" : "refused");
    qr_json_str(o, "id", a->id);
    qr_json_int(o, "revision", (int64_t)a->offset);
    if (!a->accepted) {
        qr_json_int(o, "lost_to", (int64_t)a->lost_to);
        qr_json_str(o, "reason", a->reason);
    }
    return o;
}

static void entry_answer_applied(QREffects *out, QRHandle request,
                                 const QRApplied *a)
{
    qr_entry_answer_json(out, request, a->accepted ? 200 : 409,
                         entry_applied_json(a), 0);
}

static void entry_answer_undecided(QREntry *s, QREffects *out,
                                   const QRConfirm *w, const char *outcome,
                                   const char *why)
{
    json_object *o = json_object_new_object();

    qr_json_str(o, "outcome", outcome);
    qr_json_str(o, "id", w->id);
    qr_json_str(o, "reason", why);
    qr_json_int(o, "revision", (int64_t)s->config->revision);
    qr_entry_answer_json(out, w->request, 503, o, (uint32_t)s->set->confirm_ms);
}

/* Answers every confirm whose change has been read back from the log. */
static void entry_settle_confirms(QREntry *s, QREffects *out)
{
    QRConfirm *w;

    QR_TABLE_FOR(&s->confirms, i, w)
    {
        const QRApplied *a = qr_config_applied(s->config, w->id);

        if (a) {
            entry_answer_applied(out, w->request, a);
            qr_confirm_free(qr_table_remove(&s->confirms, w->self));
        }
    }
}

void qr_entry_confirm(QREntry *s, const QREvent *ev, QREffects *out)
{
    g_auto(QRFindings) f = {0};
    g_autoptr(json_object) plan = NULL;
    g_autoptr(GError) err = NULL;
    g_autofree char *record = NULL, *id = NULL;
    const QRApplied *a;
    json_object *o;
    QRConfirm *w;

    qr_findings_init(&f, "plan");
    plan = qr_json_parse(ev->text, strlen(ev->text), &f);
    if (plan && qr_findings_count(&f) == 0)
        record = qr_plan_record(plan, &id, &err);
    if (!record) {
        o = json_object_new_object();
        qr_json_str(o, "outcome", "refused");
        qr_json_str(o, "reason", err ? err->message : "not JSON");
        qr_entry_answer_json(out, ev->ref, 400, o, 0);
        return;
    }
    a = qr_config_applied(s->config, id);
    if (a) {
        entry_answer_applied(out, ev->ref, a);
        return;
    }
    w = g_new0(QRConfirm, 1);
    w->request = ev->ref;
    w->id = g_steal_pointer(&id);
    w->since_ms = s->now_ms;
    if (s->confirms.count >= CONFIRMS_MAX) {
        entry_answer_undecided(s, out, w, "not_done", "too many confirms");
        qr_confirm_free(w);
        return;
    }
    w->self = qr_table_add(&s->confirms, w);
    qr_effect_text(out, QR_EFFECT_APPEND, w->self, record);
    s->count[QR_ENTRY_COUNT_appends]++;
}

void qr_entry_appended(QREntry *s, const QREvent *ev, QREffects *out)
{
    QRConfirm *w = qr_table_get(&s->confirms, ev->ref);

    s->log_next_ms = s->now_ms; /* read it back at once */
    if (!w || ev->ok)
        return;
    if (ev->maybe)
        entry_answer_undecided(s, out, w, "unknown",
                               "the log did not answer; ask again with the "
                               "same plan");
    else
        entry_answer_undecided(s, out, w, "not_done",
                               "the log cannot be reached");
    qr_confirm_free(qr_table_remove(&s->confirms, w->self));
}

/*
 * The records we need are gone: the newest snapshot that stands alone among
 * those that are left brings us on.
 */
static void entry_jump(QREntry *s, const QREvent *ev, QREffects *out)
{
    for (unsigned i = ev->records->len; i-- > 0;) {
        gsize len;
        const char *data = g_bytes_get_data(ev->records->pdata[i], &len);
        QRConfig *c =
            qr_config_from_record(data, len, ev->offset + i, ev->first);

        if (c) {
            qr_effect_log(out, QR_LEVEL_WARN, "log",
                          "Records up to %" G_GUINT64_FORMAT
                          " are gone. Took the snapshot at %" G_GUINT64_FORMAT
                          ".",
                          ev->first - 1, ev->offset + i);
            qr_entry_take_config(s, c, out);
            return;
        }
    }
}

static void entry_apply(QREntry *s, const QREvent *ev, QREffects *out)
{
    uint64_t before = s->config->revision;

    for (unsigned i = 0; i < ev->records->len; i++) {
        uint64_t offset = ev->offset + i;

        if (offset > s->config->revision &&
            !qr_entry_apply(s, offset, ev->records->pdata[i]))
            break;
    }
    if (s->config->revision != before)
        qr_entry_moved(s, out);
}

void qr_entry_log_read(QREntry *s, const QREvent *ev, QREffects *out)
{
    s->log_reading = false;
    s->log_answered_ms = s->now_ms;
    s->count[QR_ENTRY_COUNT_log_reads]++;
    /* more may wait behind a full answer */
    s->log_next_ms =
        s->now_ms + (ev->records->len > 0 ? 0 : (uint64_t)s->set->log_poll_ms);
    if (ev->first > s->config->revision + 1)
        entry_jump(s, ev, out);
    entry_apply(s, ev, out);
    if (s->in_step && ev->first > s->config->revision + 1)
        qr_effect_log(out, QR_LEVEL_ERROR, "log",
                      "Records are gone and no snapshot stands for them.");
    s->in_step = ev->first <= s->config->revision + 1;
    entry_settle_confirms(s, out);
    qr_entry_dispatch(s, out);
}

void qr_entry_log_failed(QREntry *s, const QREvent *ev, QREffects *out)
{
    (void)ev;
    (void)out;
    s->log_reading = false;
    s->log_next_ms = s->now_ms + (uint64_t)s->set->log_poll_ms;
    s->count[QR_ENTRY_COUNT_log_failures]++;
}

/*
 * Appends the folded state well before the records behind it expire. Entries
 * take turns by hash, so that mostly one does it; a second does no harm.
 */
static void entry_snapshot(QREntry *s, QREffects *out)
{
    uint64_t turn = qr_hash_str(s->set->host, s->config->snapshot_at) % 8;
    uint64_t records = s->config->revision - s->config->snapshot_at;
    uint64_t every = (uint64_t)s->set->snapshot_every;
    uint64_t every_ms = (uint64_t)s->set->snapshot_every_s * 1000;
    g_autofree char *text = NULL;

    if (s->snapshot_seen_at != s->config->snapshot_at) {
        s->snapshot_seen_at = s->config->snapshot_at;
        s->snapshot_seen_ms = s->now_ms;
        s->snapshot_asked_ms = 0;
    }
    if (records < every + every * turn / 8 &&
        s->now_ms - s->snapshot_seen_ms < every_ms + every_ms * turn / 8)
        return;
    if (!s->in_step || s->config->revision == 0 ||
        s->now_ms - s->log_answered_ms > 2000)
        return; /* we may be behind */
    if (s->snapshot_asked_ms &&
        s->now_ms - s->snapshot_asked_ms < SNAPSHOT_AGAIN_MS)
        return;
    s->snapshot_asked_ms = s->now_ms;
    text = qr_record_snapshot(s->config);
    qr_effect_text(out, QR_EFFECT_APPEND, QR_HANDLE_NONE, text);
    s->count[QR_ENTRY_COUNT_snapshots]++;
}

void qr_entry_log_tick(QREntry *s, QREffects *out)
{
    QRConfirm *w;

    if (!s->log_reading && s->now_ms >= s->log_next_ms) {
        s->log_reading = true;
        qr_effect(out, QR_EFFECT_READ_LOG, QR_HANDLE_NONE)->offset =
            s->config->revision + 1;
    }
    entry_settle_confirms(s, out);
    QR_TABLE_FOR(&s->confirms, i, w)
    {
        if (s->now_ms - w->since_ms < (uint64_t)s->set->confirm_ms)
            continue;
        entry_answer_undecided(s, out, w, "unknown",
                               "not read back yet; ask again with the same "
                               "plan");
        qr_confirm_free(qr_table_remove(&s->confirms, w->self));
    }
    entry_snapshot(s, out);
}
