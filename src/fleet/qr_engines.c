/*
 * State of the engines as one gateway knows it.
 */
#include "qr_engines.h"

#include <string.h>

/* After a denial no slot is requested for such calls for this time: a slot
   becomes free every 100 ms (12 slots, calls of 1.2 s). */
#define DENIED_BACKOFF_MS 25
#define FAILURES_TO_EJECT 6
#define FAILURE_WEIGHT_ERROR 1
#define FAILURE_WEIGHT_BROKEN 2
#define EJECT_FIRST_MS 1000
#define EJECT_MAX_MS 8000
#define FULL_PAUSE_MS 60 /* no calls to a full engine */
/* An engine that rejected a call may reject more, and each rejection uses up
   one of the few retries of its whole service. */
#define DEPRIORITIZE_FIRST_MS 500 /* doubled with each round of rejections */
#define DEPRIORITIZE_MAX_DOUBLINGS 3
#define MISDIRECTED_PAUSE_MS 250 /* doubled each time */
#define MISDIRECTED_MAX_DOUBLINGS 4
#define FIRST_BYTE_EWMA_WEIGHT 0.2
/* An announced shutdown is remembered for this time after the record is
   removed, because the record may expire during a store outage and come back.
 */
#define LEAVING_RETENTION_MS 600000
/* Two missed reports of a sidecar, which come once a second. */
#define PACE_LASTS_MS 2000
/* Beyond this an engine serves nobody in time, and the number is implausible.
 */
#define PACE_MAX_PERCENT 10000
#define OBSERVED_PACE_WEIGHT 0.5
#define OBSERVED_PACE_MAX 8.0 /* a long pause does not make it unusable */
/* Smaller differences come from load that the model does not describe. */
#define OBSERVED_PACE_MIN 1.5
#define READY_VALID_MS 2000 /* sidecars report once a second */

void qr_engine_record_free(QREngineRecord *r)
{
    if (!r)
        return;
    g_free(r->id);
    g_free(r->service);
    g_free(r->address);
    g_free(r->zone);
    g_free(r->model);
    g_free(r);
}

static void engine_free(void *row)
{
    QREngine *e = row;

    qr_engine_record_free(e->record);
    g_hash_table_unref(e->reported_loads);
    g_array_unref(e->awaiting_ms);
    g_free(e);
}

void qr_engines_init(QREngines *t)
{
    t->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_free);
    t->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_ptr_array_unref);
    t->by_address = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_ptr_array_unref);
}

void qr_engines_clear(QREngines *t)
{
    g_clear_pointer(&t->by_service, g_hash_table_unref);
    g_clear_pointer(&t->by_address, g_hash_table_unref);
    g_clear_pointer(&t->by_id, g_hash_table_unref);
}

static void list_add(GHashTable *lists, const char *key, QREngine *e)
{
    GPtrArray *list = g_hash_table_lookup(lists, key);

    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(lists, g_strdup(key), list);
    }
    g_ptr_array_add(list, e);
}

static void index_add(QREngines *t, QREngine *e)
{
    list_add(t->by_service, e->record->service, e);
    list_add(t->by_address, e->record->address, e);
}

static void index_remove(QREngines *t, QREngine *e)
{
    GPtrArray *of_service =
        g_hash_table_lookup(t->by_service, e->record->service);
    GPtrArray *at = g_hash_table_lookup(t->by_address, e->record->address);

    if (of_service)
        g_ptr_array_remove_fast(of_service, e);
    if (!at)
        return;
    g_ptr_array_remove_fast(at, e);
    if (at->len == 0)
        g_hash_table_remove(t->by_address, e->record->address);
}

static const char *record_change(const QREngineRecord *old,
                                 const QREngineRecord *new)
{
    if (old->born_ms != new->born_ms)
        return QR_CHANGE_STARTED;
    if (old->draining != new->draining)
        return new->draining ? "draining" : "ready again";
    if (strcmp(old->address, new->address) != 0)
        return "moved";
    if (old->version != new->version)
        return "other version";
    return NULL;
}

/* Discards what was learned of an earlier run of the engine. Open calls keep
   their slots until they end. */
static void reset_run_state(QREngine *e)
{
    e->superseded = false;
    e->has_sidecar_report = e->sidecar_switching = e->sidecar_unreachable =
        false;
    e->sidecar_slow_link = e->probing = false;
    e->sidecar_version = e->sidecar_report_ms = 0;
    e->reported_pace = e->observed_pace = 0;
    e->failures = e->ejections = e->misdirected = 0;
    e->ejected_until_ms = e->refused_until_ms = e->deprioritized_until_ms = 0;
    e->rejections = 0;
    e->last_rejection_ms = 0;
    e->first_byte_ms = 0;
    e->notices = (QRNotices){0};
    e->slots.limit = (QRAnnouncedLimit){0};
    e->slots.rate_limited_until_ms = e->slots.others_backoff_until_ms = 0;
    e->slots.others_open = e->slots.others_reading = 0;
    g_hash_table_remove_all(e->reported_loads);
}

const char *qr_engines_update(QREngines *t, QREngineRecord *r, uint64_t now_ms)
{
    QREngine *e = g_hash_table_lookup(t->by_id, r->id);
    const char *change;

    if (!e) {
        e = g_new0(QREngine, 1);
        e->record = r;
        e->record_changed_ms = now_ms;
        e->awaiting_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        e->reported_loads =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(t->by_id, r->id, e);
        index_add(t, e);
        return "new";
    }
    change =
        e->gone || e->record_expired_ms ? "back" : record_change(e->record, r);
    if (!change && e->unreadable)
        change = "readable again";
    if (e->record->born_ms != r->born_ms)
        reset_run_state(e);
    /* the key of by_id is the old record's id, which must stay allocated */
    g_free(r->id);
    r->id = e->record->id;
    e->record->id = NULL;
    index_remove(t, e);
    qr_engine_record_free(e->record);
    if (change)
        e->misdirected = 0;
    e->record = r;
    e->gone = e->unconfirmed = e->unreadable = false;
    e->record_expired_ms = 0;
    e->record_changed_ms = now_ms;
    index_add(t, e);
    return change;
}

bool qr_engines_drop(QREngines *t, const char *id, uint64_t now_ms)
{
    QREngine *e = g_hash_table_lookup(t->by_id, id);

    if (!e || e->gone)
        return false;
    e->gone = true;
    e->record_changed_ms = now_ms;
    return true;
}

GPtrArray *qr_engines_missing(const QREngines *t, GHashTable *ids)
{
    GPtrArray *missing = g_ptr_array_new();
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, t->by_id);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        if (!((QREngine *)value)->gone && !g_hash_table_contains(ids, key))
            g_ptr_array_add(missing, key);
    }
    return missing;
}

static bool is_in_region(const QREngine *e, GHashTable *regions,
                         const char *region)
{
    return g_strcmp0(g_hash_table_lookup(regions, e->record->zone), region) ==
           0;
}

bool qr_engines_any_unconfirmed(const QREngines *t, GHashTable *regions,
                                const char *region)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QREngine *e = value;

        if (e->unconfirmed && !e->gone && e->record->model &&
            is_in_region(e, regions, region))
            return true;
    }
    return false;
}

QREngine *qr_engines_get(const QREngines *t, const char *id)
{
    return g_hash_table_lookup(t->by_id, id);
}

QREngine *qr_engines_at(const QREngines *t, const char *address)
{
    const GPtrArray *list = g_hash_table_lookup(t->by_address, address);
    QREngine *latest = NULL;

    for (unsigned i = 0; list && i < list->len; i++) {
        QREngine *e = list->pdata[i];

        if (e->gone || e->superseded)
            continue;
        if (!latest || qr_position_cmp(e->position, latest->position) > 0)
            latest = e;
    }
    return latest;
}

unsigned qr_engines_supersede_earlier(QREngines *t, QREngine *changed,
                                      bool epochs_unsettled)
{
    const GPtrArray *list =
        g_hash_table_lookup(t->by_address, changed->record->address);
    unsigned n = 0;

    for (unsigned i = 0; list && i < list->len; i++) {
        QREngine *e = list->pdata[i];
        QREngine *earlier =
            qr_position_cmp(e->position, changed->position) < 0 ? e : changed;

        if (e == changed || e->gone || e->superseded || changed->superseded)
            continue;
        if (epochs_unsettled && e->position.epoch != changed->position.epoch)
            continue;
        earlier->superseded = true;
        n++;
    }
    return n;
}

const GPtrArray *qr_engines_of(const QREngines *t, const char *service)
{
    return g_hash_table_lookup(t->by_service, service);
}

/* Whether an engine that is gone has open calls, or announced its shutdown a
   short time ago. Its record may expire during a store outage and come back. */
static bool must_be_kept(const QREngine *e, uint64_t now_ms)
{
    return e->own > 0 || (e->notices.leaving &&
                          now_ms < e->record_changed_ms + LEAVING_RETENTION_MS);
}

unsigned qr_engines_confirm_lasting(QREngines *t, GHashTable *regions,
                                    const char *region, uint64_t since_ms)
{
    unsigned n = 0;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QREngine *e = value;

        if (!e->unconfirmed || e->gone || e->record_expired_ms > 0 ||
            e->record_changed_ms > since_ms || is_in_region(e, regions, region))
            continue;
        e->unconfirmed = false;
        n++;
    }
    return n;
}

void qr_engines_sweep(QREngines *t, uint64_t now_ms)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->by_id);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QREngine *e = value;

        if (e->gone && !must_be_kept(e, now_ms)) {
            index_remove(t, e);
            g_hash_table_iter_remove(&it);
        }
    }
}

void qr_engines_report_load(QREngines *t, const char *id, const char *gateway,
                            const QRGatewayLoad *load)
{
    QREngine *e = g_hash_table_lookup(t->by_id, id);

    if (!e)
        return;
    if (load->open == 0)
        g_hash_table_remove(e->reported_loads, gateway);
    else
        g_hash_table_insert(e->reported_loads, g_strdup(gateway),
                            g_memdup2(load, sizeof(*load)));
}

void qr_engines_forget_gateway(QREngines *t, const char *gateway)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, t->by_id);
    while (g_hash_table_iter_next(&it, NULL, &value))
        g_hash_table_remove(((QREngine *)value)->reported_loads, gateway);
}

bool qr_engine_has_coordinator(const QREngine *e, uint64_t now_ms)
{
    return e->slots.coordinator_kind != QR_COORDINATOR_NONE &&
           now_ms >= e->slots.unresponsive_until_ms;
}

void qr_engine_note_denied(QREngine *e, uint32_t rank, uint32_t team,
                           bool has_room, uint64_t now_ms)
{
    QREngineSlots *s = &e->slots;
    bool pauses = now_ms < s->denied_until_ms;

    s->denied_one_team = has_room && (!pauses || s->denied_one_team) &&
                         (!pauses || s->denied_team == team);
    s->denied_rank = pauses ? MIN(s->denied_rank, rank) : rank;
    s->denied_team = team;
    s->denied_until_ms = now_ms + DENIED_BACKOFF_MS;
}

bool qr_engine_was_denied(const QREngine *e, uint32_t rank, uint32_t team)
{
    return rank >= e->slots.denied_rank &&
           (!e->slots.denied_one_team || team == e->slots.denied_team);
}

bool qr_engine_is_leaving(const QREngine *e)
{
    return e->record->draining || e->notices.leaving;
}

bool qr_engine_should_listen(const QREngine *e)
{
    return !e->gone && !qr_engine_is_leaving(e) &&
           !(e->has_sidecar_report && e->sidecar_switching);
}

uint64_t qr_engine_deprioritized_ms(const QREngine *e, uint64_t now_ms)
{
    uint64_t until_ms =
        MAX(e->deprioritized_until_ms, e->notices.backoff_until_ms);

    return until_ms - MIN(until_ms, now_ms);
}

bool qr_engine_is_deprioritized(const QREngine *e, uint64_t now_ms)
{
    return qr_engine_deprioritized_ms(e, now_ms) > 0 ||
           now_ms < e->slots.others_backoff_until_ms;
}

const QRAnnouncedLimit *qr_engine_limit(const QREngine *e)
{
    return e->slots.limit.as_of_ms > e->notices.limit.as_of_ms
               ? &e->slots.limit
               : &e->notices.limit;
}

bool qr_engine_must_report_limit(const QREngine *e)
{
    return e->notices.limit.as_of_ms > 0 &&
           (e->notices.limit.is_set || e->slots.limit.as_of_ms > 0);
}

unsigned qr_engine_held(const QREngine *e)
{
    return e->own + e->slots.requested;
}

unsigned qr_engine_held_reading(const QREngine *e)
{
    return e->reading + e->slots.requested_reading;
}

unsigned qr_engine_reported_open(const QREngine *e)
{
    GHashTableIter it;
    void *value;
    unsigned open = 0;

    g_hash_table_iter_init(&it, e->reported_loads);
    while (g_hash_table_iter_next(&it, NULL, &value))
        open += ((QRGatewayLoad *)value)->open;
    return open;
}

unsigned qr_engine_open(const QREngine *e)
{
    return qr_engine_held(e) + e->slots.others_open +
           qr_engine_reported_open(e);
}

uint64_t qr_engine_report_age_ms(const QREngine *e, uint64_t now_ms)
{
    GHashTableIter it;
    void *value;
    uint64_t newest = 0;

    g_hash_table_iter_init(&it, e->reported_loads);
    while (g_hash_table_iter_next(&it, NULL, &value))
        newest = MAX(newest, ((QRGatewayLoad *)value)->reported_ms);
    return newest > 0 ? now_ms - MIN(newest, now_ms) : 0;
}

double qr_engine_reading(const QREngine *e, double per_ms, uint64_t now_ms)
{
    GHashTableIter it;
    void *value;
    double told =
        per_ms * (double)(now_ms - MIN(e->slots.others_reported_ms, now_ms));
    double tokens =
        qr_engine_held_reading(e) + MAX(e->slots.others_reading - told, 0);

    g_hash_table_iter_init(&it, e->reported_loads);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const QRGatewayLoad *load = value;
        double read =
            per_ms * (double)(now_ms - MIN(load->reported_ms, now_ms));

        tokens += MAX(load->reading - read, 0);
    }
    return tokens;
}

void qr_engine_call_sent(QREngine *e, uint64_t sent_ms)
{
    g_array_append_val(e->awaiting_ms, sent_ms);
}

void qr_engine_call_heard(QREngine *e, uint64_t sent_ms)
{
    for (unsigned i = 0; i < e->awaiting_ms->len; i++) {
        if (g_array_index(e->awaiting_ms, uint64_t, i) == sent_ms) {
            g_array_remove_index(e->awaiting_ms, i);
            return;
        }
    }
}

uint64_t qr_engine_first_byte_wait_ms(const QREngine *e, uint64_t now_ms)
{
    uint64_t oldest = e->awaiting_ms->len > 0
                          ? g_array_index(e->awaiting_ms, uint64_t, 0)
                          : now_ms;

    return now_ms - MIN(oldest, now_ms);
}

uint64_t qr_engine_version(const QREngine *e)
{
    if (e->has_sidecar_report && e->sidecar_report_ms >= e->record_changed_ms)
        return e->sidecar_version;
    return e->has_sidecar_report ? MAX(e->sidecar_version, e->record->version)
                                 : e->record->version;
}

bool qr_engine_expects_version(const QREngine *e, uint64_t version,
                               uint64_t now_ms, uint64_t *left_ms)
{
    uint64_t age_ms = now_ms - MIN(e->sidecar_report_ms, now_ms);
    bool serves = !e->sidecar_switching && e->sidecar_version > 0 &&
                  e->sidecar_version >= version;

    if (e->gone || e->superseded || e->unreadable || qr_engine_is_leaving(e) ||
        !e->has_sidecar_report || e->sidecar_unreachable ||
        e->sidecar_ready_ms == 0 || age_ms > READY_VALID_MS || serves)
        return false;
    *left_ms = e->sidecar_ready_ms - 1 - MIN(age_ms, e->sidecar_ready_ms - 1);
    return true;
}

static bool outcome_failure(QREngine *e, unsigned weight, uint64_t now_ms)
{
    uint64_t pause;

    e->failures += weight;
    if (!e->probing && e->failures < FAILURES_TO_EJECT)
        return false;
    pause = (uint64_t)EJECT_FIRST_MS << MIN(e->ejections, 3u);
    e->ejected_until_ms = now_ms + MIN(pause, (uint64_t)EJECT_MAX_MS);
    e->ejections++;
    e->probing = false;
    e->failures = 0;
    return true;
}

/* A call that was sent before the last rejection belongs to the same round and
   does not lengthen the pause again. */
static void outcome_full(QREngine *e, double first_ms, uint64_t now_ms)
{
    if (now_ms >= e->last_rejection_ms + (uint64_t)first_ms)
        e->rejections = MIN(e->rejections + 1, DEPRIORITIZE_MAX_DOUBLINGS + 1);
    e->last_rejection_ms = now_ms;
    e->deprioritized_until_ms =
        now_ms + ((uint64_t)DEPRIORITIZE_FIRST_MS << (e->rejections - 1));
    e->refused_until_ms = now_ms + FULL_PAUSE_MS;
}

bool qr_engine_outcome(QREngine *e, QREngineOutcome outcome, double first_ms,
                       uint64_t now_ms)
{
    switch (outcome) {
    case QR_OUTCOME_GOOD:
        e->failures = e->ejections = e->misdirected = e->rejections = 0;
        e->probing = false;
        e->first_byte_ms +=
            FIRST_BYTE_EWMA_WEIGHT * (first_ms - e->first_byte_ms);
        return false;
    case QR_OUTCOME_FULL:
        e->probing = false;
        outcome_full(e, first_ms, now_ms);
        return false;
    case QR_OUTCOME_MISDIRECTED:
        e->probing = false;
        e->refused_until_ms = now_ms + (MISDIRECTED_PAUSE_MS << e->misdirected);
        e->misdirected = MIN(e->misdirected + 1, MISDIRECTED_MAX_DOUBLINGS);
        return false;
    case QR_OUTCOME_ERROR:
        return outcome_failure(e, FAILURE_WEIGHT_ERROR, now_ms);
    case QR_OUTCOME_FAILURE:
        return outcome_failure(e, FAILURE_WEIGHT_BROKEN, now_ms);
    }
    return false;
}

bool qr_engine_report_pace(QREngine *e, uint32_t percent, uint64_t now_ms)
{
    bool plausible = percent <= PACE_MAX_PERCENT;

    e->reported_pace = plausible ? percent / 100.0 : 0;
    e->pace_implausible = !plausible;
    e->pace_reported_ms = now_ms;
    return plausible;
}

void qr_engine_observe_pace(QREngine *e, double ratio, uint64_t now_ms)
{
    if (!(ratio > 0))
        return;
    if (e->observed_pace <= 0 || now_ms > e->pace_observed_ms + PACE_LASTS_MS)
        e->observed_pace = 1;
    e->observed_pace += OBSERVED_PACE_WEIGHT *
                        (MIN(ratio, OBSERVED_PACE_MAX) - e->observed_pace);
    e->pace_observed_ms = now_ms;
}

double qr_engine_pace(const QREngine *e, uint64_t now_ms)
{
    uint64_t age_ms = now_ms - MIN(now_ms, e->pace_observed_ms);
    double pace = 1, observed;

    if (e->reported_pace > 0 && now_ms <= e->pace_reported_ms + PACE_LASTS_MS)
        pace = MAX(pace, e->reported_pace);
    if (e->observed_pace <= 0 || age_ms >= PACE_LASTS_MS)
        return pace;
    observed =
        1 + (e->observed_pace - 1) * (1 - (double)age_ms / PACE_LASTS_MS);
    return observed >= OBSERVED_PACE_MIN ? MAX(pace, observed) : pace;
}
