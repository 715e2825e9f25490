/*
 * Relays calls: the start of a call, the step after an attempt has ended, and
 * timeouts.
 */
#include "qr_relay_parts.h"
#include "qr_attempt.h"

/* Between two tries of a remainder that waits, doubled each time: each takes
   one from the retry budget. */
#define REMAINDER_GAP_MIN_MS 40
/* With a longer one, room that comes in time may be passed over too late. */
#define REMAINDER_GAP_MAX_MS 320
/* An attempt without progress for so many usual durations of a call has
   stalled: of exponential ones, 1 in 20 is longer. A shorter silence may be a
   lost packet that is sent again; engines that are sound begin sooner than the
   maximum even in a full fleet. */
#define STALL_DURATIONS 3
#define STALL_MIN_MS 400
#define STALL_MAX_MS 1500
#define MUTE_CALL_TIME_FACTOR 1.5 /* of the mean duration of a call */
/* This long before a version's start bound, calls that have not begun on an
   older version are canceled. */
#define START_MARGIN_MS 900

bool qr_relay_take_retry_token(QRRelay *r)
{
    const QRGateway *g = r->g;
    uint64_t now = qr_gateway_now(g);
    QRBudget *budget = &qr_gateway_stats(r->g, r->service)->budget;
    QRBudgetFleet fleet = {
        .allowance = (double)g->set->retry_allowance,
        .gateways = g->retry_budget_gateways,
        .age_ms = now - g->started_ms,
    };

    r->has_retry_token =
        r->has_retry_token ||
        qr_budget_take_retry(budget, qr_budget_allowance_share(budget, &fleet),
                             now);
    return r->has_retry_token;
}

/*
 * Chooses an engine for a retry. Retries are sent without a slot request,
 * except where only engines that have named a rate limit are left.
 */
static QRBalanceChoice choose_for_retry(QRRelay *r)
{
    QRBalanceChoice c = qr_relay_choose_unreserved(r);

    if (!c.engine) {
        c = qr_relay_choose(r);
        if (c.engine && !qr_gateway_engine_is_limited(r->g, c.engine))
            c.engine = NULL;
    }
    return c;
}

/* Sends the call to another engine, or requests a slot there. */
static void relay_retry(QRRelay *r, const QRBalanceChoice *c, const char *why)
{
    qr_relay_count(r->g, QR_COUNTER_retries);
    if (r->answer_started)
        qr_relay_count(r->g, QR_COUNTER_resumed);
    qr_logf(QR_LEVEL_INFO, "call",
            "again id=%s engine=%s why=%s runs=%u started=%d last_event=%s",
            r->id, c->engine->record->id, why, r->runs, r->answer_started,
            r->events.last_id ? r->events.last_id : "-");
    if (qr_gateway_engine_is_limited(r->g, c->engine))
        qr_relay_request_slot(r, c, true);
    else
        qr_relay_send(r, c);
}

/* Forwards an engine's error answer unless its status would wrongly say that
   the call was not run. */
static void relay_fail(QRRelay *r, const char *why)
{
    if (r->failure_kept && !r->failure_hidden)
        qr_relay_forward_answer(r, &r->failure);
    else
        qr_relay_finish_locally(r, 502, QR_COUNTER_failed, why);
}

/*
 * No engine has room for the remainder of a stream now, or the retry budget is
 * spent. Other calls end all the time, which frees slots soon, while a reset
 * would cost the caller everything received so far.
 */
static void relay_wait_for_room(QRRelay *r, const char *why)
{
    if (!r->remainder_waited) {
        r->remainder_waited = true;
        qr_relay_count(r->g, QR_COUNTER_rests_waited);
        qr_logf(QR_LEVEL_INFO, "call",
                "rest waits id=%s why=%s runs=%u last_event=%s work_ms=%.0f "
                "left_ms=%" G_GUINT64_FORMAT,
                r->id, why, r->runs,
                r->events.last_id ? r->events.last_id : "-",
                qr_relay_remainder_ms(r),
                r->expires_ms - MIN(r->expires_ms, qr_gateway_now(r->g)));
    }
    r->remainder_waits = true;
    r->remainder_gap_ms = CLAMP(2 * r->remainder_gap_ms, REMAINDER_GAP_MIN_MS,
                                REMAINDER_GAP_MAX_MS);
    r->remainder_try_ms = qr_gateway_now(r->g) + r->remainder_gap_ms;
    /* engines that had no room may have room later */
    g_ptr_array_set_size(r->tried, 0);
}

static void relay_take_step(QRRelay *r, QRAttemptStep step, const char *why)
{
    switch (step) {
    case QR_STEP_FORWARD:
        if (r->current.answer.status &&
            !qr_relay_is_failure(r->current.answer.status))
            qr_relay_forward_answer(r, &r->current.answer);
        else
            relay_fail(r, why);
        break;
    case QR_STEP_REFUSE:
        qr_relay_finish_locally(r, 503, QR_COUNTER_refused_busy, why);
        break;
    case QR_STEP_FAIL:
        relay_fail(r, why);
        break;
    case QR_STEP_WAIT:
        relay_wait_for_room(r, why);
        break;
    case QR_STEP_CUT:
        qr_relay_cut(r, why);
        break;
    case QR_STEP_RETRY:
    case QR_STEP_RETRY_FREE:
        break;
    }
}

static QRAttemptFacts attempt_facts(const QRRelay *r, bool engine_left)
{
    uint64_t now = qr_gateway_now(r->g);

    return (QRAttemptFacts){
        .repeatable = r->repeatable,
        .answer_started = r->answer_started,
        .runs = r->runs,
        .runs_max = r->runs_max,
        .attempts = r->attempts,
        .time_left_ms = r->expires_ms > now ? r->expires_ms - now : 0,
        .engine_available = engine_left,
    };
}

void qr_relay_retry_denied(QRRelay *r)
{
    static const char why[] = "no slot for the retry";
    QRAttemptFacts facts = attempt_facts(r, false);

    if (r->stalled.call)
        qr_relay_take_back(r, why);
    else
        relay_take_step(r, qr_attempt_next_step(&facts, r->last_end), why);
}

void qr_relay_attempt_ended(QRRelay *r, QRAttemptEnd end, const char *why)
{
    QRBalanceChoice c = choose_for_retry(r);
    QRAttemptFacts facts = attempt_facts(r, c.engine != NULL);
    QRAttemptStep step = qr_attempt_next_step(&facts, end);

    r->last_end = end;
    if (step == QR_STEP_RETRY && !qr_relay_take_retry_token(r)) {
        qr_relay_count(r->g, QR_COUNTER_budget_spent);
        step = qr_attempt_step_without_budget(&facts, end);
    }
    if (c.engine && (step == QR_STEP_RETRY || step == QR_STEP_RETRY_FREE))
        relay_retry(r, &c, why);
    else if (r->stalled.call &&
             (end != QR_ATTEMPT_ANSWER || qr_relay_is_moving(r)))
        qr_relay_take_back(r, why);
    else
        relay_take_step(r, step, why);
}

static GPtrArray *ref_regions(GPtrArray *regions)
{
    return regions ? g_ptr_array_ref(regions) : NULL;
}

void qr_relay_start(QRGateway *g, QRExchange *x, const QRRelayCall *call)
{
    QRRelay *r = g_new0(QRRelay, 1);
    const QRPolicyRoute *route = call->route;
    const QRHeaders *headers = qr_exchange_headers(x);
    const char *last = qr_headers_get(headers, g->platform->headers.last_event);
    uint32_t most = route->timeout_ms
                        ? MIN(route->timeout_ms, call->deadline_ms)
                        : call->deadline_ms;

    r->g = g;
    r->x = x;
    r->id = g_strdup(call->id);
    r->team = g_strdup(call->team);
    if (g->set->share_slots) {
        r->rank = qr_share_rank(call->team_priority, call->route->priority);
        r->share_team = qr_share_team(call->team);
    }
    r->service = g_strdup(call->service);
    r->route = g_strdup(route->name);
    r->route_regions = ref_regions(route->allowed_regions);
    r->team_regions = ref_regions(call->team_regions);
    r->kind = route->kind;
    r->repeatable = qr_route_repeatable(route);
    r->runs_max = route->attempts_max;
    r->deadline_ms = call->deadline_ms;
    r->arrived_ms = qr_exchange_arrived_ms(x);
    r->expires_ms = r->arrived_ms + most;
    qr_relay_read_needs(r);
    r->tried = g_ptr_array_new_with_free_func(g_free);
    qr_saved_answer_init(&r->current.answer);
    qr_saved_answer_init(&r->failure);
    qr_sse_init(&r->events, last);
    r->index = g->relays->len;
    g_ptr_array_add(g->relays, r);
    qr_exchange_set_data(x, r);
    qr_budget_add_call(&qr_gateway_stats(g, r->service)->budget,
                       qr_gateway_now(g));
    qr_relay_dispatch(r);
}

void qr_relay_caller_gone(QRRelay *r, const char *why)
{
    QRGateway *g = r->g;
    g_autofree char *service = g_strdup(r->service);

    qr_relay_count(g, QR_COUNTER_gone);
    qr_relay_log(r, r->answer_started ? "gone after its answer began" : "gone",
                 0, why);
    qr_relay_free(r);
    qr_relay_dispatch_waiting(g, service);
}

static uint64_t stall_ms(const QRRelay *r)
{
    const QRServiceStats *stats = qr_gateway_stats(r->g, r->service);

    return stats->calls_measured > 0
               ? (uint64_t)CLAMP(STALL_DURATIONS * stats->usual_call_ms,
                                 STALL_MIN_MS, STALL_MAX_MS)
               : STALL_MAX_MS;
}

/*
 * The engine does not notice a dead connection and keeps working. The call is
 * no longer counted there once nearly all calls of its age have ended.
 * Otherwise calls on dead connections would occupy all slots, and none of them
 * would find an engine for a retry.
 */
static void attempt_check_mute(QRRelay *r, QRAttempt *a, uint64_t now)
{
    const QRServiceStats *stats = qr_gateway_stats(r->g, r->service);

    if (a->call && qr_client_is_unresponsive(a->call) &&
        now >= a->sent_ms +
                   (uint64_t)(stats->mean_call_ms * MUTE_CALL_TIME_FACTOR))
        qr_attempt_uncount_open(r, a);
}

/*
 * The attempt makes no progress: another engine gets the call if a retry is
 * allowed. The stalled attempt stays open until the other engine begins to
 * answer. If that engine cannot take the call, as in a full fleet, the stalled
 * one may still resume, and the caller gets a complete answer, not a reset.
 */
static void relay_stalled(QRRelay *r)
{
    QRBalanceChoice c = qr_relay_choose_unreserved(r);

    if (!c.engine || r->runs >= r->runs_max ||
        r->current.mode == ANSWER_FORWARD || !qr_relay_take_retry_token(r))
        return;
    qr_relay_count(r->g, QR_COUNTER_stalled);
    qr_relay_report_outcome(r, QR_OUTCOME_FAILURE);
    qr_client_note_silence(r->current.call);
    r->new_connection = true; /* idle connections may have died with this one */
    qr_relay_keep_stalled(r);
    relay_retry(r, &c, "stalled");
}

void qr_relay_move(QRRelay *r, const QRBalanceChoice *c)
{
    r->current.is_slow = true;
    qr_relay_keep_stalled(r);
    qr_stream_pace_reset(&r->pace);
    relay_retry(r, c, "slow");
}

/* Sends the remainder of a stream that waits, if an engine has room by now. */
static void relay_retry_remainder(QRRelay *r, uint64_t now)
{
    double latest_ms = (double)r->expires_ms - qr_relay_remainder_ms(r);
    bool is_last = (double)now + REMAINDER_GAP_MIN_MS >= latest_ms;
    QRBalanceChoice c;

    if ((double)now >= latest_ms) {
        qr_relay_cut(r, "no engine had room for the remainder in time");
        return;
    }
    if (qr_relay_suspicion(r) == QR_SUSPICION_HELD) {
        qr_relay_cut(r, qr_relay_held_reason(r));
        return;
    }
    if (now < r->remainder_try_ms && !is_last)
        return;
    c = choose_for_retry(r);
    if (c.engine && qr_relay_take_retry_token(r)) {
        r->remainder_waits = false;
        relay_retry(r, &c, "engine found for the remainder");
    }
}

/* The call has not begun, and the engine's version becomes too old to start
   calls: cancels the attempt and retries elsewhere. */
static void retry_outdated(QRRelay *r)
{
    qr_relay_count(r->g, QR_COUNTER_outdated);
    qr_client_cancel(r->current.call);
    qr_relay_end_attempt(r);
    qr_relay_attempt_ended(r, QR_ATTEMPT_BROKEN, "version outdated");
}

static void relay_expire(QRRelay *r)
{
    qr_relay_learn_length(r, false);
    if (r->answer_started)
        qr_relay_cut(r, "deadline or route timeout passed");
    else if (r->runs > 0)
        qr_relay_finish_locally(r, 504, QR_COUNTER_timed_out,
                                "deadline or route timeout passed");
    else
        qr_relay_finish_locally(r, 503, QR_COUNTER_refused_busy,
                                "deadline or route timeout passed");
}

void qr_relay_stop(QRRelay *r)
{
    static const char why[] = "shutdown grace period is over";

    if (r->answer_started)
        qr_relay_cut(r, why);
    else if (r->runs > 0)
        qr_relay_finish_locally(r, 502, QR_COUNTER_failed, why);
    else
        qr_relay_finish_locally(r, 503, QR_COUNTER_refused_stopping, why);
}

/* Whether the attempt has not begun and its version is too old to start. */
static bool is_outdated(const QRRelay *r, const QRAttempt *a)
{
    return a->call && a->awaits_first_byte && a->version &&
           a->version < qr_relay_min_version(r, START_MARGIN_MS);
}

static void relay_tick_one(QRRelay *r, uint64_t now)
{
    attempt_check_mute(r, &r->current, now);
    attempt_check_mute(r, &r->stalled, now);
    if (is_outdated(r, &r->stalled)) {
        qr_relay_count(r->g, QR_COUNTER_outdated);
        qr_relay_drop_stalled(r);
    }
    if (now >= r->expires_ms) {
        qr_relay_report_outcome(r, QR_OUTCOME_FAILURE);
        relay_expire(r);
    } else if (r->slot.engine) {
        qr_relay_slot_tick(r, now);
    } else if (r->current.call && r->current.mode == ANSWER_DROP) {
        qr_relay_check_dropped(r, now);
    } else if (r->awaits_trial) {
        qr_relay_dispatch(r);
    } else if (r->remainder_waits) {
        relay_retry_remainder(r, now);
    } else if (is_outdated(r, &r->current)) {
        retry_outdated(r);
    } else if (r->current.call && r->repeatable &&
               (now >= r->current.progress_ms + stall_ms(r) ||
                qr_client_is_unresponsive(r->current.call))) {
        if (qr_relay_is_moving(r))
            qr_relay_take_back(r, "the other engine is silent");
        else
            relay_stalled(r);
    } else {
        qr_relay_consider_move(r, now);
    }
}

void qr_relay_tick(QRGateway *g, uint64_t now_ms)
{
    qr_relay_wait_tick(g);
    /* backwards: the last relay takes the index of one that ends */
    for (unsigned i = g->relays->len; i > 0; i--) {
        if (i <= g->relays->len)
            relay_tick_one(g->relays->pdata[i - 1], now_ms);
    }
}
