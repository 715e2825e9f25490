/*
 * Queues calls for which no engine has room, in the order in which they get
 * slots, and refuses those that cannot begin in time.
 */
#include "qr_relay_parts.h"

#include <string.h>

double qr_relay_work_ms(const QRRelay *r)
{
    const QRServiceStats *stats = qr_gateway_stats(r->g, r->service);
    double ms;

    if (!r->by_forecast)
        return stats->usual_call_ms;
    ms = qr_call_end_ms(qr_relay_engine_model(r), r->prompt_tokens,
                        r->expected_tokens, r->usual_open + 1, 1);
    return r->expected_tokens > 0 ? ms : MAX(ms, stats->usual_call_ms);
}

static QRSlotDemand demand_of(const QRRelay *r)
{
    return (QRSlotDemand){
        .rank = r->rank,
        .team = r->share_team,
        .expires_ms = r->expires_ms,
        .work_ms = qr_relay_work_ms(r),
    };
}

uint64_t qr_relay_latest_start_ms(const QRRelay *r)
{
    QRSlotDemand d = demand_of(r);

    return qr_admission_latest_start_ms(&d);
}

unsigned qr_relay_open_calls(const QRGateway *g, const char *service)
{
    const GPtrArray *list = qr_engines_of(&g->engines, service);
    unsigned open = 0;

    for (unsigned i = 0; list && i < list->len; i++)
        open += ((const QREngine *)list->pdata[i])->own;
    return open;
}

/* Slots that the calls of this gateway get: those in use, and an idle gateway's
 * part. */
static unsigned slots_of(QRGateway *g, const char *service)
{
    return MAX(qr_relay_open_calls(g, service),
               qr_gateway_stats(g, service)->slots_part);
}

double qr_relay_turnover_per_s(QRGateway *g, const char *service)
{
    const QRServiceStats *stats = qr_gateway_stats(g, service);

    return qr_slot_rate_turnover(&stats->slot_rate, qr_gateway_now(g),
                                 slots_of(g, service), stats->usual_call_ms);
}

/* 'all_slots', 'ready_ms': see QRSlotSupply. */
static QRSlotSupply supply_of(const QRRelay *r, unsigned all_slots,
                              uint64_t ready_ms)
{
    return (QRSlotSupply){
        .now_ms = qr_gateway_now(r->g),
        .ready_ms = ready_ms,
        .freed_per_s = qr_relay_turnover_per_s(r->g, r->service),
        .slots = slots_of(r->g, r->service),
        .all_slots = all_slots,
    };
}

/* The place in the queue at which the call waits, or would: the number of calls
   before it. Sets 'before' to the link before it, or NULL. */
static unsigned place_of(const QRRelay *r, const QRSlotSupply *s,
                         GList **before)
{
    GQueue *queue = &qr_gateway_stats(r->g, r->service)->waiting;
    QRSlotDemand d = demand_of(r);
    unsigned at = g_queue_get_length(queue);

    if (r->waiting) {
        *before = NULL;
        return (unsigned)g_queue_index(queue, r);
    }
    for (*before = queue->tail; *before; *before = (*before)->prev, at--) {
        QRSlotDemand other = demand_of((*before)->data);

        if (!qr_admission_goes_before(&d, &other, at - 1, s))
            break;
    }
    return at;
}

/* Whether engines that cannot serve the call now are about to, though none says
   when: they are switching versions, or this gateway has just started and still
   learns of engines. */
static bool engines_come_soon(const QRRelay *r, const QRBalanceChoice *c)
{
    return c->switching > 0 ||
           (c->not_ready > 0 && qr_gateway_is_starting(r->g));
}

/* Whether engines run, but the call is allowed at none of them. */
static bool is_allowed_nowhere(const QRBalanceChoice *c)
{
    return c->usable == 0 && c->not_ready == 0 &&
           c->other_region + c->evacuated > 0;
}

static void refuse_without_room(QRRelay *r, const QRBalanceChoice *c,
                                const char *verdict, unsigned ahead)
{
    uint64_t now = qr_gateway_now(r->g);
    uint64_t latest = qr_relay_latest_start_ms(r);
    char why[240];

    g_snprintf(why, sizeof(why),
               "no room verdict=%s usable=%u open=%u places=%u ahead=%u "
               "work_ms=%.0f slack_ms=%" G_GINT64_FORMAT
               " held_off_ms=%" G_GUINT64_FORMAT
               " other_region=%u evacuated=%u",
               verdict, c->usable, c->total_open, c->total_slots, ahead,
               qr_relay_work_ms(r), (int64_t)latest - (int64_t)now,
               c->backoff_ms, c->other_region, c->evacuated);
    qr_relay_dequeue(r);
    if (is_allowed_nowhere(c))
        qr_relay_count(r->g, QR_COUNTER_refused_placement);
    if (r->runs > 0)
        qr_relay_finish_locally(r, 502, QR_COUNTER_failed, why);
    else
        qr_relay_finish_locally(r, 503,
                                c->usable > 0 ? QR_COUNTER_refused_busy
                                              : QR_COUNTER_refused_unready,
                                why);
}

/* Calls of the team in progress at engines of the service. */
static unsigned team_open(const QRRelay *r)
{
    const GPtrArray *all = r->g->relays;
    unsigned open = 0;

    for (unsigned i = 0; i < all->len; i++) {
        const QRRelay *other = all->pdata[i];

        open += other->current.call && other->share_team == r->share_team &&
                strcmp(other->service, r->service) == 0;
    }
    return open;
}

/* The demand of a call for qr_admission_displaced(). */
static QRSlotDemand demand_with_team(const QRRelay *r)
{
    QRSlotDemand d = demand_of(r);

    d.team_open = team_open(r);
    return d;
}

/* Makes room in a full queue by refusing a call of a team with more of them
   there. Returns false if there is none. */
static bool displace(QRRelay *r, const QRBalanceChoice *c)
{
    GQueue *queue = &qr_gateway_stats(r->g, r->service)->waiting;
    unsigned n = g_queue_get_length(queue), i = 0;
    g_autofree QRSlotDemand *waiting = g_new(QRSlotDemand, n + 1);
    QRSlotDemand d = demand_with_team(r);
    int found;

    for (GList *l = queue->head; l; l = l->next)
        waiting[i++] = demand_with_team(l->data);
    found = qr_admission_displaced(waiting, n, &d);
    if (found < 0)
        return false;
    refuse_without_room(g_queue_peek_nth(queue, (unsigned)found), c,
                        "displaced", (unsigned)found);
    return true;
}

void qr_relay_wait(QRRelay *r, const QRBalanceChoice *c)
{
    QRServiceStats *stats = qr_gateway_stats(r->g, r->service);
    uint64_t ready_ms = c->backoff_ms;
    QRAdmission verdict;
    QRSlotSupply supply;
    QRSlotDemand demand;
    GList *before;
    unsigned ahead;

    if (c->total_slots > 0)
        r->usual_open = c->total_open / MAX(c->usable, 1);
    if (c->usable == 0 && c->backoff_ms == 0 &&
        !qr_relay_first_ready_ms(r, &ready_ms) && !engines_come_soon(r, c)) {
        refuse_without_room(r, c, "no_engine", 0);
        return;
    }
    stats->slots_part = c->running_slots / MAX(qr_gateway_count(r->g), 1);
    supply = supply_of(r, c->running_slots, ready_ms);
    demand = demand_of(r);
    ahead = place_of(r, &supply, &before);
    verdict = qr_admission_decide(&demand, &supply, ahead);
    if (verdict == QR_ADMISSION_QUEUE_FULL && !r->waiting && displace(r, c)) {
        (void)place_of(r, &supply, &before);
        verdict = QR_ADMISSION_WAITS;
    }
    if (verdict != QR_ADMISSION_WAITS) {
        refuse_without_room(r, c, qr_admission_name(verdict), ahead);
        return;
    }
    if (r->waiting)
        return;
    r->waiting = true;
    qr_relay_count(r->g, QR_COUNTER_waited);
    g_queue_insert_after(&stats->waiting, before, r);
}

/*
 * A suspect in the call is on trial at an engine. That answer, or the engine's
 * end, decides about this call.
 */
static void wait_for_trial(QRRelay *r)
{
    qr_relay_dequeue(r);
    r->awaits_trial = qr_gateway_now(r->g) < qr_relay_latest_start_ms(r);
    if (!r->awaits_trial)
        qr_relay_finish_locally(r, 503, QR_COUNTER_refused_busy,
                                "a suspect in it is on trial");
}

/* Whether a call that waits may use the engine. It then goes first, whichever
   finds the slot: a call that arrives does not take a slot that others wait
   for. */
static bool others_wait_for(const QRRelay *r, QREngine *e)
{
    const GQueue *queue = &qr_gateway_stats(r->g, r->service)->waiting;
    QRBalanceChoice c = {0};

    for (GList *l = queue->head; l; l = l->next) {
        if (qr_relay_may_use(l->data, e, &c))
            return true;
    }
    return false;
}

void qr_relay_dispatch(QRRelay *r)
{
    QRSuspicion suspicion = qr_relay_suspicion(r);
    QRBalanceChoice c;

    if (r->slot.engine)
        return; /* the reply to the slot request continues the call */
    if (suspicion == QR_SUSPICION_HELD) {
        qr_relay_finish_locally(r, r->runs > 0 ? 502 : 503,
                                QR_COUNTER_refused_held,
                                qr_relay_held_reason(r));
        return;
    }
    if (suspicion == QR_SUSPICION_WAIT) {
        wait_for_trial(r);
        return;
    }
    r->awaits_trial = false;
    if (qr_relay_refuse_hopeless(r))
        return;
    c = qr_relay_choose(r);
    if (c.engine && !r->waiting && others_wait_for(r, c.engine))
        c.engine = NULL;
    if (!c.engine)
        qr_relay_wait(r, &c);
    else if (c.needs_slot)
        qr_relay_request_slot(r, &c, false);
    else
        qr_relay_send(r, &c);
}

/* 'all': also those behind one that finds no room; they may be allowed at other
   engines. A call leaves the queue only by its own dispatch. */
static void dispatch_queue(GQueue *waiting, bool all)
{
    for (unsigned at = 0; at < g_queue_get_length(waiting);) {
        unsigned before = g_queue_get_length(waiting);

        qr_relay_dispatch(g_queue_peek_nth(waiting, at));
        if (g_queue_get_length(waiting) >= before) {
            if (!all)
                return;
            at++;
        }
    }
}

void qr_relay_dispatch_waiting(QRGateway *g, const char *service)
{
    dispatch_queue(&qr_gateway_stats(g, service)->waiting, false);
}

void qr_relay_wait_tick(QRGateway *g)
{
    GHashTableIter it;
    void *stats;

    g_hash_table_iter_init(&it, g->services);
    while (g_hash_table_iter_next(&it, NULL, &stats))
        dispatch_queue(&((QRServiceStats *)stats)->waiting, true);
}
