/*
 * Choosing an engine for a call, and sending it there.
 */
#include "qr_relay_parts.h"

#include <string.h>

#define CONNECT_MS 400
/* The pause after an engine's end, and two ticks. */
#define APART_WAIT_MS (QR_RUN_ENDS_APART_MS + 50)
#define LATE_SMOOTHING 0.05 /* some twenty calls back */
/* Before the bound of a version: no sending to engines with an older one. */
#define SEND_MARGIN_MS 1000
/* Nor of the rest of a stream so long before it: what has not begun by the
   bound is cut there, and a stream has no further try. A first byte takes 0.1
   to 0.6 s, 1.6 s on a fleet that is full. */
#define REST_MARGIN_MS 2500
/* For a gateway that starts to learn of engines, or for an engine to start the
   version that lies staged; and no more than a part of the caller's time. */
#define ENGINES_WAIT_MS 1200
#define ENGINES_WAIT_PART 3
/* So long before it, none to such engines whose sidecar is not heard. */
#define QUIET_MARGIN_MS 4000

static bool header_is_ours(const QRGateway *g, const char *name)
{
    const QRHeaderNames *n = &g->platform->headers;
    const char *const ours[] = {n->deadline_ms,    n->key,
                                n->team,           n->expect_engine,
                                n->expect_version, n->priority};

    for (unsigned i = 0; i < G_N_ELEMENTS(ours); i++) {
        if (g_ascii_strcasecmp(ours[i], name) == 0)
            return true;
    }
    return false;
}

static void append_header(GString *out, const char *name, const char *value)
{
    g_string_append(out, name);
    g_string_append(out, ": ");
    g_string_append(out, value);
    g_string_append(out, "\r\n");
}

static void append_callers_headers(const QRRelay *r, GString *out)
{
    const QRHeaders *h = qr_exchange_headers(r->x);
    const char *resume = r->g->platform->headers.last_event;
    bool going_on = r->events.last_id != NULL;

    for (unsigned i = 0; i < qr_headers_count(h); i++) {
        const char *name = qr_headers_name(h, i);

        if (qr_headers_is_hop_by_hop(h, name) || header_is_ours(r->g, name))
            continue;
        if (going_on && g_ascii_strcasecmp(name, resume) == 0)
            continue;
        append_header(out, name, qr_headers_value(h, i));
    }
    if (going_on)
        append_header(out, resume, r->events.last_id);
}

uint64_t qr_relay_version_least(const QRRelay *r, uint64_t margin_ms)
{
    const QRGateway *g = r->g;
    const QRService *service =
        g->operator.policy ? qr_policy_service(g->operator.policy, r->service)
                           : NULL;

    return qr_gateway_version_in_force(g, service, margin_ms,
                                       qr_gateway_now(g));
}

static GString *relay_request(const QRRelay *r, const QREngine *e)
{
    uint64_t version =
        qr_relay_version_least(r, SEND_MARGIN_MS) ? qr_engine_version(e) : 0;
    const QRHeaderNames *names = &r->g->platform->headers;
    const GByteArray *body = qr_exchange_body(r->x);
    const char *method = qr_exchange_method(r->x);
    uint64_t now = qr_gateway_now(r->g);
    GString *out = g_string_sized_new(1024 + body->len);

    g_string_append_printf(out, "%s %s HTTP/1.1\r\n", method,
                           qr_exchange_target(r->x));
    append_callers_headers(r, out);
    g_string_append_printf(out, "%s: %" G_GUINT64_FORMAT "\r\n",
                           names->deadline_ms,
                           r->final_ms > now ? r->final_ms - now : 1);
    append_header(out, names->expect_engine, e->record->id);
    if (*r->team)
        append_header(out, names->team, r->team);
    if (version)
        g_string_append_printf(out, "%s: %" G_GUINT64_FORMAT "\r\n",
                               names->expect_version, version);
    if (body->len > 0 || strcmp(method, "POST") == 0 ||
        strcmp(method, "PUT") == 0 || strcmp(method, "PATCH") == 0)
        g_string_append_printf(out, "Content-Length: %u\r\n", body->len);
    g_string_append(out, "\r\n");
    g_string_append_len(out, (const char *)body->data, body->len);
    return out;
}

/* Learns whether it is of use that late calls wait. */
static void note_late(const QRRelay *r, bool served)
{
    QRServiceStats *stats = qr_gateway_stats(r->g, r->service);

    if (r->late && r->sendings == 0)
        stats->late_served +=
            LATE_SMOOTHING * ((served ? 1 : 0) - stats->late_served);
}

void qr_relay_send(QRRelay *r, const QRBalanceChoice *c)
{
    QREngine *e = c->engine;
    g_autoptr(GString) text = relay_request(r, e);
    QRClientRequest request = {0};

    qr_relay_unwait(r);
    note_late(r, true);
    r->apart = r->has_retry = false;
    qr_relay_suspect_sent(r, &r->now);
    r->now.engine = g_strdup(e->record->id);
    r->now.born_ms = e->record->born_ms;
    g_ptr_array_add(r->tried, g_strdup(e->record->id));
    qr_sending_hold_place(r, &r->now);
    r->now.reading = r->prompt;
    e->reading += r->now.reading;
    r->now.awaiting = true;
    r->now.version = qr_engine_version(e);
    if (e->ejections > 0)
        e->trial = true;
    r->sendings++;
    r->runs++;
    r->now.sent_ms = r->now.progress_ms = qr_gateway_now(r->g);
    r->forecast = (QRRelayForecast){c->predicted_ms, c->gap_ms, c->engine_open,
                                    c->engine_slots,
                                    qr_engine_told_age_ms(e, r->now.sent_ms)};
    qr_engine_sent(e, r->now.sent_ms);
    r->now.mode = ANSWER_NONE;
    qr_sse_break(&r->events);
    qr_relay_count(r->g, QR_COUNTER_sendings);
    request.address = e->record->address;
    request.data = text->str;
    request.len = text->len;
    request.id = r->id;
    request.head_only = strcmp(qr_exchange_method(r->x), "HEAD") == 0;
    request.connect_ms = CONNECT_MS;
    request.new_connection = r->fresh;
    r->fresh = false;
    r->now.call = qr_client_send(r->g->to_engines, &request,
                                 &qr_relay_answer_handlers, r);
}

/*
 * Calls of all routes to a service are let in up to the same predicted first
 * byte, that of the tightest: else, with too many calls, those of the looser
 * ones fill the engines until the tighter ones are never let in.
 */
static uint32_t admission_objective(const QRRelay *r, const QRService *service)
{
    return service && service->objective_ms
               ? MIN(service->objective_ms, r->objective_ms)
               : r->objective_ms;
}

static QRBalanceInput balance_input(const QRRelay *r)
{
    QRGateway *g = r->g;
    const QRService *service =
        g->operator.policy ? qr_policy_service(g->operator.policy, r->service)
                           : NULL;
    uint64_t now = qr_gateway_now(g);
    QRBalanceInput in = {0};

    in.service = r->service;
    in.zone = g->set->availability_zone;
    in.region = g->set->region;
    in.regions = g->regions;
    in.model = service ? &service->engine : NULL;
    in.version_least =
        qr_relay_version_least(r, r->started ? REST_MARGIN_MS : SEND_MARGIN_MS);
    in.version_soon = qr_relay_version_least(r, QUIET_MARGIN_MS);
    in.prompt = r->prompt;
    in.objective_ms = r->started ? 0 : admission_objective(r, service);
    in.gap_ms = r->gap_objective_ms;
    in.waited_ms = r->waited_before_ms + (uint32_t)(now - r->arrived_ms);
    in.late = r->late && !r->started;
    in.tried = r->tried;
    in.now_ms = now;
    g->random = qr_hash64(&g->random, sizeof(g->random), 2);
    in.random = g->random;
    return in;
}

static QRBalanceChoice relay_choose(QRRelay *r, bool unreserved)
{
    QRSuspicion suspicion = qr_relay_suspicion(r);
    QRBalanceInput in;
    QRBalanceChoice c;

    r->held_off_ms = 0;
    if (suspicion == QR_SUSPICION_WAIT || suspicion == QR_SUSPICION_HELD)
        return (QRBalanceChoice){0};
    in = balance_input(r);
    in.unreserved = unreserved;
    c = qr_balance_choose(&r->g->engines, &in);
    r->held_off_ms = c.held_off_ms;
    return c;
}

QRBalanceChoice qr_relay_choose(QRRelay *r)
{
    return relay_choose(r, false);
}

QRBalanceChoice qr_relay_choose_unreserved(QRRelay *r)
{
    return relay_choose(r, true);
}

bool qr_relay_may_use(QRRelay *r, QREngine *e, QRBalanceChoice *c)
{
    QRBalanceInput in = balance_input(r);

    return qr_balance_of(e, &in, c);
}

GQueue *qr_relay_queue(const QRRelay *r)
{
    QRServiceStats *stats = qr_gateway_stats(r->g, r->service);

    return r->late ? &stats->late_waiting : &stats->waiting;
}

static void wait_in_line(QRRelay *r)
{
    if (r->waiting)
        return;
    r->waiting = true;
    qr_relay_count(r->g, QR_COUNTER_waited);
    g_queue_push_tail(qr_relay_queue(r), r);
}

/*
 * No engine can serve now, but some will in a moment: they are being switched,
 * or this gateway has just started and still learns of them. Who is refused
 * then has one try less, and comes back when all is over.
 */
static bool waits_for_engines(QRRelay *r, const QRBalanceChoice *c,
                              uint64_t now_ms)
{
    uint64_t most =
        MIN(ENGINES_WAIT_MS, (r->final_ms - r->arrived_ms) / ENGINES_WAIT_PART);

    bool soon =
        c->switching > 0 || (c->coming > 0 && qr_gateway_is_starting(r->g));

    if (c->usable > 0 || !soon || now_ms >= r->arrived_ms + most)
        return false;
    if (!r->late) {
        /* those who can still be answered in time go first */
        qr_relay_unwait(r);
        r->late = true;
    }
    return true;
}

void qr_relay_wait(QRRelay *r, const QRBalanceChoice *c)
{
    QRServiceStats *stats = qr_gateway_stats(r->g, r->service);
    uint64_t now = qr_gateway_now(r->g);
    char why[128];

    /* who cannot be served within the wait is told so at once */
    if (now + c->held_off_ms < r->wait_until_ms ||
        waits_for_engines(r, c, now)) {
        wait_in_line(r);
        return;
    }
    qr_relay_unwait(r);
    note_late(r, false);
    g_snprintf(why, sizeof(why),
               "no room usable=%u open=%u places=%u "
               "hold_ms=%.0f held_off_ms=%" G_GUINT64_FORMAT,
               c->usable, c->open, c->places, stats->hold_ms, c->held_off_ms);
    if (r->runs > 0)
        qr_relay_finish_own(r, 502, QR_COUNTER_failed, why);
    else
        qr_relay_finish_own(r, 503,
                            c->usable > 0 ? QR_COUNTER_refused_busy
                                          : QR_COUNTER_refused_unready,
                            why);
}

/*
 * One like it is on trial: its answer, or its engine's end, says what follows,
 * and a pause after that. Whoever comes back after an engine's end comes into
 * that pause, and is served late rather than refused.
 */
static void relay_wait_apart(QRRelay *r)
{
    uint64_t until = MAX(r->wait_until_ms, r->arrived_ms + APART_WAIT_MS);

    qr_relay_unwait(r);
    r->apart = qr_gateway_now(r->g) < until;
    if (!r->apart)
        qr_relay_finish_own(r, 503, QR_COUNTER_refused_busy,
                            "one like it is on trial");
}

void qr_relay_try(QRRelay *r)
{
    QRSuspicion suspicion = qr_relay_suspicion(r);
    QRBalanceChoice c;

    if (r->slot.engine)
        return; /* the reply says what follows */
    if (suspicion == QR_SUSPICION_HELD) {
        qr_relay_finish_own(r, 503, QR_COUNTER_refused_held,
                            "engines ended under requests like it");
        return;
    }
    if (suspicion == QR_SUSPICION_WAIT) {
        relay_wait_apart(r);
        return;
    }
    r->apart = false;
    c = qr_relay_choose(r);

    /* those who can still be answered in time go first */
    if (r->late &&
        !g_queue_is_empty(&qr_gateway_stats(r->g, r->service)->waiting))
        c.engine = NULL;

    if (!c.engine)
        qr_relay_wait(r, &c);
    else if (c.is_reserved)
        qr_relay_slot_ask(r, &c, false);
    else
        qr_relay_send(r, &c);
}

static void pump_queue(GQueue *waiting)
{
    unsigned n = g_queue_get_length(waiting);

    while (n-- > 0) {
        QRRelay *r = g_queue_peek_head(waiting);
        unsigned before = g_queue_get_length(waiting);

        if (!r)
            return;
        qr_relay_try(r);
        if (g_queue_get_length(waiting) >= before)
            return; /* no room yet */
    }
}

void qr_relay_pump(QRGateway *g, const char *service)
{
    QRServiceStats *s = qr_gateway_stats(g, service);

    pump_queue(&s->waiting);
    pump_queue(&s->late_waiting);
}
