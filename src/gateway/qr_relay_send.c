/*
 * Chooses an engine for a call and sends the call there.
 */
#include "qr_relay_parts.h"

#include <string.h>

#define CONNECT_MS 400
/* This long before a version's start bound, no calls are sent to engines with
   an older version. */
#define SEND_MARGIN_MS 1000
/* The same for the remainder of a stream. Engines cut calls that have not begun
   by the bound, and a stream has no further try. A first byte takes 0.1 to
   0.6 s, or 1.6 s in a full fleet. */
#define REMAINDER_MARGIN_MS 2500
/* This long before the bound, no calls are sent to engines with an older
   version whose sidecar is not heard. */
#define UNHEARD_MARGIN_MS 4000

static bool is_gateway_header(const QRGateway *g, const char *name)
{
    const QRHeaderNames *n = &g->platform->headers;
    const char *const names[] = {n->deadline_ms,    n->key,
                                 n->team,           n->expect_engine,
                                 n->expect_version, n->priority};

    for (unsigned i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_ascii_strcasecmp(names[i], name) == 0)
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

static void append_caller_headers(const QRRelay *r, GString *out)
{
    const QRHeaders *h = qr_exchange_headers(r->x);
    const char *resume = r->g->platform->headers.last_event;
    bool resumes = r->events.last_id != NULL;

    for (unsigned i = 0; i < qr_headers_count(h); i++) {
        const char *name = qr_headers_name(h, i);

        if (qr_headers_is_hop_by_hop(h, name) || is_gateway_header(r->g, name))
            continue;
        if (resumes && g_ascii_strcasecmp(name, resume) == 0)
            continue;
        append_header(out, name, qr_headers_value(h, i));
    }
    if (resumes)
        append_header(out, resume, r->events.last_id);
}

uint64_t qr_relay_min_version(const QRRelay *r, uint64_t margin_ms)
{
    const QRGateway *g = r->g;
    const QRService *service =
        g->operator.policy ? qr_policy_service(g->operator.policy, r->service)
                           : NULL;

    return qr_gateway_version_in_force(g, service, margin_ms,
                                       qr_gateway_now(g));
}

/* The request up to its body. */
static GString *relay_request_head(const QRRelay *r, const QREngine *e)
{
    uint64_t version =
        qr_relay_min_version(r, SEND_MARGIN_MS) ? qr_engine_version(e) : 0;
    const QRHeaderNames *names = &r->g->platform->headers;
    size_t len = qr_body_len(qr_exchange_body(r->x));
    const char *method = qr_exchange_method(r->x);
    uint64_t now = qr_gateway_now(r->g);
    GString *out = g_string_sized_new(1024);

    g_string_append_printf(out, "%s %s HTTP/1.1\r\n", method,
                           qr_exchange_target(r->x));
    append_caller_headers(r, out);
    g_string_append_printf(out, "%s: %" G_GUINT64_FORMAT "\r\n",
                           names->deadline_ms,
                           r->expires_ms > now ? r->expires_ms - now : 1);
    append_header(out, names->expect_engine, e->record->id);
    if (*r->team)
        append_header(out, names->team, r->team);
    if (version)
        g_string_append_printf(out, "%s: %" G_GUINT64_FORMAT "\r\n",
                               names->expect_version, version);
    if (len > 0 || strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
        strcmp(method, "PATCH") == 0)
        g_string_append_printf(out, "Content-Length: %zu\r\n", len);
    g_string_append(out, "\r\n");
    return out;
}

void qr_relay_send(QRRelay *r, const QRBalanceChoice *c)
{
    QREngine *e = c->engine;
    g_autoptr(GString) text = relay_request_head(r, e);
    QRClientRequest request = {0};

    qr_relay_dequeue(r);
    r->awaits_trial = r->has_retry_token = false;
    qr_relay_begin_trial(r, &r->current);
    r->current.engine = g_strdup(e->record->id);
    r->current.born_ms = e->record->born_ms;
    g_ptr_array_add(r->tried, g_strdup(e->record->id));
    qr_attempt_count_open(r, &r->current);
    r->current.prompt_tokens = r->prompt_tokens;
    e->reading += r->current.prompt_tokens;
    r->current.awaits_first_byte = true;
    r->current.version = qr_engine_version(e);
    if (e->ejections > 0)
        e->probing = true;
    r->attempts++;
    r->runs++;
    r->current.sent_ms = r->current.progress_ms = qr_gateway_now(r->g);
    r->forecast = (QRRelayForecast){
        c->first_byte_ms, c->gap_ms, c->engine_open, c->engine_slots,
        qr_engine_report_age_ms(e, r->current.sent_ms)};
    qr_engine_call_sent(e, r->current.sent_ms);
    r->current.mode = ANSWER_NONE;
    r->current.dropped_bytes = 0;
    r->current.body_ms = 0;
    qr_sse_discard_partial(&r->events);
    qr_relay_count(r->g, QR_COUNTER_sendings);
    request.address = e->record->address;
    request.data = text->str;
    request.len = text->len;
    request.body = qr_exchange_body(r->x);
    request.id = r->id;
    request.head_only = strcmp(qr_exchange_method(r->x), "HEAD") == 0;
    request.connect_ms = CONNECT_MS;
    request.new_connection = r->new_connection;
    r->new_connection = false;
    r->current.call = qr_client_send(r->g->to_engines, &request,
                                     &qr_relay_answer_handlers, r);
}

/* Until the latest start of the call. The remainder of a stream may go to any
   engine: its work is not that of the whole call. */
static uint32_t slack_ms(const QRRelay *r, uint64_t now_ms)
{
    uint64_t latest = qr_relay_latest_start_ms(r);

    if (r->answer_started)
        return UINT32_MAX;
    return (uint32_t)(latest - MIN(latest, now_ms));
}

QRPlacement qr_relay_placement(const QRRelay *r)
{
    return (QRPlacement){
        .route_regions = r->route_regions,
        .team_regions = r->team_regions,
        .regions = r->g->regions,
        .evacuations = &r->g->operator.evacuations,
    };
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
    in.placement = qr_relay_placement(r);
    in.model = service ? &service->engine : NULL;
    in.min_version = qr_relay_min_version(
        r, r->answer_started ? REMAINDER_MARGIN_MS : SEND_MARGIN_MS);
    in.min_version_soon = qr_relay_min_version(r, UNHEARD_MARGIN_MS);
    in.knows_region_only = qr_gateway_region_is_large(g);
    in.limits_cold = service && service->cold_per_s > 0;
    in.prompt_tokens = r->prompt_tokens;
    in.rank = r->rank;
    in.team = r->share_team;
    in.is_queued = r->waiting;
    in.slack_ms = slack_ms(r, now);
    in.gap_objective_ms = service ? service->event_gap_ms : 0;
    in.tried = r->tried;
    in.claimed = qr_relay_awaits_claim(r, now) ? r->slot.claimed : NULL;
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
    if (c.near == 0)
        qr_gateway_note_shortage(r->g);
    r->held_off_ms = c.backoff_ms;
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

    return qr_balance_evaluate(e, &in, c);
}
