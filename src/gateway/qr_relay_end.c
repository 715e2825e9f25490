/*
 * Ends calls: the answer to the caller, its Retry-After and the last log line.
 */
#include "qr_relay_parts.h"

#include <string.h>

void qr_saved_answer_init(SavedAnswer *a)
{
    qr_headers_init(&a->headers);
    a->body = g_byte_array_new();
    a->status = 0;
}

void qr_saved_answer_clear(SavedAnswer *a)
{
    qr_headers_clear(&a->headers);
    if (a->body)
        g_byte_array_unref(a->body);
    a->body = NULL;
}

void qr_saved_answer_reset(SavedAnswer *a)
{
    qr_headers_reset(&a->headers);
    g_byte_array_set_size(a->body, 0);
    a->status = 0;
}

void qr_relay_count(QRGateway *g, QRCounter c)
{
    g->counters.counts[c]++;
}

void qr_relay_dequeue(QRRelay *r)
{
    if (!r->waiting)
        return;
    r->waiting = false;
    g_queue_remove(&qr_gateway_stats(r->g, r->service)->waiting, r);
}

void qr_relay_free(QRRelay *r)
{
    GPtrArray *all = r->g->relays;
    QRRelay *moved = all->pdata[all->len - 1];

    all->pdata[r->index] = moved;
    moved->index = r->index;
    g_ptr_array_set_size(all, (int)all->len - 1);
    qr_relay_dequeue(r);
    qr_relay_drop_slot_request(r);
    qr_attempt_clear(r, &r->current);
    qr_relay_drop_stalled(r);
    qr_saved_answer_clear(&r->failure);
    qr_sse_clear(&r->events);
    g_ptr_array_unref(r->tried);
    g_free(r->id);
    g_free(r->team);
    g_free(r->service);
    g_free(r->slot.claimed);
    g_free(r->route);
    g_clear_pointer(&r->fingerprints, g_array_unref);
    g_clear_pointer(&r->route_regions, g_ptr_array_unref);
    g_clear_pointer(&r->team_regions, g_ptr_array_unref);
    g_free(r);
}

void qr_relay_log(const QRRelay *r, const char *outcome, unsigned status,
                  const char *why)
{
    const QRGateway *g = r->g;
    char request[QR_FINGERPRINT_TEXT] = "-", held[QR_FINGERPRINT_TEXT] = "-";

    if (r->fingerprints)
        qr_fingerprint_text(&g_array_index(r->fingerprints, QRFingerprint, 0),
                            request);
    if (r->is_held)
        qr_fingerprint_text(qr_relay_held_by(r), held);
    qr_logf(QR_LEVEL_INFO, "call",
            "%s id=%s status=%u route=%s service=%s team=%s ms=%" G_GUINT64_FORMAT
            " sendings=%u runs=%u slots_asked=%u slots_denied=%u denied_open=%u denied_unread=%u denied_yields=%u prompt=%u answer_most=%u tokens=%.0f deadline_ms=%u"
            " first_ms=%" G_GUINT64_FORMAT " start_ms=%" G_GUINT64_FORMAT
            " gap_ms=%" G_GUINT64_FORMAT " forecast_first_ms=%.0f"
            " forecast_gap_ms=%.0f seen_open=%u seen_slots=%u"
            " seen_age_ms=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT
            " engine=%s request=%s held=%s policy=%" G_GUINT64_FORMAT " why=%s",
            outcome, r->id, status, r->route, r->service, r->team,
            qr_gateway_now(g) - r->arrived_ms, r->attempts, r->runs,
            r->slot.requests, r->slot.denied, r->slot.denied_open,
            r->slot.denied_unread, r->slot.denied_yields, r->prompt_tokens,
            r->answer_limit_tokens, r->expected_tokens, r->deadline_ms,
            r->current.first_ms, r->start_ms, r->gap_ms,
            r->forecast.first_ms, r->forecast.gap_ms, r->forecast.open,
            r->forecast.slots, r->forecast.age_ms, r->current.version, r->tried->len > 0
                ? (const char *)r->tried->pdata[r->tried->len - 1]
                : "-",
            request, held, g->operator.policy ? g->operator.policy->version : 0, why);
}

void qr_relay_send_local_reply(QRExchange *x, unsigned status,
                               unsigned retry_ms)
{
    QRHeaders headers;
    char seconds[32];

    qr_headers_init(&headers);
    if (retry_ms > 0) {
        g_snprintf(seconds, sizeof(seconds), "%u.%03u", retry_ms / 1000,
                   retry_ms % 1000);
        qr_headers_add(&headers, "Retry-After", seconds);
    }
    qr_exchange_reply(x, status, &headers, "", 0);
    qr_headers_clear(&headers);
}

static uint64_t next_random(QRGateway *g)
{
    g->random = qr_hash64(&g->random, sizeof(g->random), 1);
    return g->random;
}

bool qr_relay_first_ready_ms(const QRRelay *r, uint64_t *ready_ms)
{
    const GPtrArray *list = qr_engines_of(&r->g->engines, r->service);
    QRPlacement placement = qr_relay_placement(r);
    uint64_t version = qr_relay_min_version(r, 0), left_ms;
    bool found = false;

    for (unsigned i = 0; list && i < list->len; i++) {
        const QREngine *e = list->pdata[i];

        if (!qr_engine_expects_version(e, version, qr_gateway_now(r->g),
                                       &left_ms) ||
            qr_placement_check(&placement, e->record->zone) !=
                QR_PLACEMENT_ALLOWED)
            continue;
        *ready_ms = found ? MIN(*ready_ms, left_ms) : left_ms;
        found = true;
    }
    return found;
}

unsigned qr_relay_retry_after_ms(QRGateway *g, uint32_t left_ms)
{
    QRRefusedCaller caller = {
        .now_ms = qr_gateway_now(g),
        .left_ms = left_ms,
        .random = next_random(g),
    };
    unsigned delay_ms;

    (void)qr_retry_after_ready(&caller, UINT64_MAX, &delay_ms);
    return delay_ms;
}

static QRRefusedCaller refused_caller(const QRRelay *r)
{
    QRServiceStats *stats = qr_gateway_stats(r->g, r->service);
    uint64_t now = qr_gateway_now(r->g), passed = now - r->arrived_ms;

    return (QRRefusedCaller){
        .now_ms = now,
        .left_ms = r->deadline_ms > passed ? r->deadline_ms - passed : 0,
        .mean_call_ms = stats->calls_measured > 0 ? stats->usual_call_ms
                                                  : stats->mean_call_ms,
        .turnover_per_s = qr_relay_turnover_per_s(r->g, r->service),
        .recent_per_s = qr_slot_rate_recent(&stats->slot_rate, now),
        .queued = g_queue_get_length(&stats->waiting),
        .random = next_random(r->g),
    };
}

/* Decides when the caller returns: when room is expected for it. */
static QRTurn take_turn(QRRelay *r, QRCounter counter, unsigned *delay_ms)
{
    QRServiceStats *stats = qr_gateway_stats(r->g, r->service);
    QRRefusedCaller caller = refused_caller(r);
    uint64_t ready_ms = UINT64_MAX;

    if (counter == QR_COUNTER_refused_held) {
        *delay_ms =
            (unsigned)qr_requests_hold_left_ms(r->g, qr_relay_held_by(r));
        return QR_TURN_NONE;
    }
    if (counter == QR_COUNTER_refused_stopping) {
        *delay_ms = QR_RETRY_ELSEWHERE_MS;
        return QR_TURN_NONE;
    }
    if (r->held_off_ms > 0)
        return qr_retry_after_ready(&caller, r->held_off_ms, delay_ms);
    if (counter == QR_COUNTER_refused_unready) {
        (void)qr_relay_first_ready_ms(r, &ready_ms);
        return qr_retry_after_ready(&caller, ready_ms, delay_ms);
    }
    return qr_retry_after_take_turn(&stats->turns, &caller, delay_ms);
}

/* Decides the Retry-After of a refusal, and logs and returns it. */
static unsigned refuse(QRRelay *r, QRCounter counter, const char *why)
{
    unsigned retry_ms;
    QRTurn turn = take_turn(r, counter, &retry_ms);
    g_autofree char *text = NULL;

    if (turn != QR_TURN_NONE)
        qr_relay_count(r->g, turn == QR_TURN_FULL ? QR_COUNTER_turns_full
                                                  : QR_COUNTER_turns_given);
    text = g_strdup_printf("%s retry_after_ms=%u turn=%s", why, retry_ms,
                           qr_turn_name(turn));
    qr_relay_log(r, "refused", 503, text);
    return retry_ms;
}

void qr_relay_finish_locally(QRRelay *r, unsigned status, QRCounter counter,
                             const char *why)
{
    QRExchange *x = r->x;
    unsigned retry_ms;

    qr_relay_count(r->g, counter);
    if (status == 503) {
        retry_ms = refuse(r, counter, why);
    } else {
        retry_ms = 0;
        qr_relay_log(r, "failed", status, why);
    }
    qr_relay_free(r);
    qr_relay_send_local_reply(x, status, retry_ms);
}

void qr_relay_cut(QRRelay *r, const char *why)
{
    QRExchange *x = r->x;

    qr_relay_count(r->g, QR_COUNTER_cut);
    qr_relay_log(r, "cut", 0, why);
    qr_relay_free(r);
    qr_exchange_abort(x);
}

void qr_relay_forward_answer(QRRelay *r, SavedAnswer *a)
{
    QRExchange *x = r->x;
    QRHeaders headers = a->headers;
    GByteArray *body = a->body;
    unsigned status = a->status;

    memset(&a->headers, 0, sizeof(a->headers));
    a->body = NULL;
    qr_relay_count(r->g, QR_COUNTER_answered);
    qr_latency_add(&r->g->counters.whole, qr_gateway_now(r->g) - r->arrived_ms);
    qr_relay_log(r, "answered", status, "whole");
    qr_relay_free(r);
    qr_exchange_reply(x, status, &headers, body->data, body->len);
    qr_headers_clear(&headers);
    g_byte_array_unref(body);
}

void qr_relay_report_outcome(QRRelay *r, QREngineOutcome outcome)
{
    QREngine *e = qr_attempt_engine(r, &r->current);

    if (!e)
        return;
    /* a dead connection says nothing about the engine; the next call checks the
       engine on a new connection */
    if (outcome == QR_OUTCOME_FAILURE && r->current.call &&
        qr_client_is_unresponsive(r->current.call))
        return;
    /* an engine that switches versions cuts running calls; not a failure */
    if (outcome == QR_OUTCOME_FAILURE && e->has_sidecar_report &&
        e->sidecar_switching)
        return;
    if (qr_engine_outcome(e, outcome, (double)r->current.first_ms,
                          qr_gateway_now(r->g))) {
        qr_relay_count(r->g, QR_COUNTER_ejections);
        qr_logf(QR_LEVEL_WARN, "engines",
                "ejected engine=%s address=%s ejections=%u", e->record->id,
                e->record->address, e->ejections);
    }
}

void qr_relay_end_attempt(QRRelay *r)
{
    r->current.call = NULL;
    qr_attempt_detach(r, &r->current);
}
