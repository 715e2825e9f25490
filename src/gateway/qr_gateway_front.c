/*
 * The HTTP servers of a gateway: calls, addresses, readiness, metrics.
 */
#include "qr_gateway.h"
#include "qr_relay.h"

#include "fleet/qr_placement.h"

#include <stdlib.h>
#include <string.h>

#define CALL_ID_MAX_BYTES 128
#define RETRY_NOT_READY_MS 500
#define MAX_DEADLINE_MS 3600000
#define MAX_ADDRESSES 64

typedef enum CallError {
    CALL_OK,
    CALL_MALFORMED,
    CALL_NO_ROUTE,
    CALL_NO_KEY,
} CallError;

static unsigned error_status(CallError error)
{
    static const unsigned statuses[] = {200, 400, 404, 401};

    return statuses[error];
}

/* Parses a whole number of ms, clamped to MAX_DEADLINE_MS. Returns false if
   'text' is not a whole number. */
static bool parse_ms(const char *text, uint32_t *ms)
{
    char *end;
    unsigned long n;

    if (!g_ascii_isdigit(*text))
        return false;
    n = strtoul(text, &end, 10);
    *ms = (uint32_t)MIN(n, (unsigned long)MAX_DEADLINE_MS);
    return *end == '\0';
}

/* Fills 'call' from the request's headers, which own its strings, and from the
   configuration. */
static CallError parse_call(const QRGateway *g, QRExchange *x,
                            QRRelayCall *call)
{
    const QRHeaderNames *names = &g->platform->headers;
    const QRPolicy *policy = g->operator.policy;
    const QRHeaders *h = qr_exchange_headers(x);
    const char *host = qr_headers_get(h, "Host");
    const char *deadline = qr_headers_get(h, names->deadline_ms);
    const char *key = qr_headers_get(h, names->key);
    const QRPolicyTeam *team = NULL;

    call->id = qr_headers_get(h, names->call_id);
    call->team = "";
    call->team_priority = 0;
    call->team_regions = NULL;
    call->route =
        qr_policy_route(policy, host ? host : "", qr_exchange_target(x));
    if (!call->route)
        return CALL_NO_ROUTE;
    if (!call->id || !*call->id || strlen(call->id) > CALL_ID_MAX_BYTES ||
        qr_headers_count_of(h, names->call_id) != 1)
        return CALL_MALFORMED;
    call->deadline_ms = MAX_DEADLINE_MS;
    if (deadline && !parse_ms(deadline, &call->deadline_ms))
        return CALL_MALFORMED;
    if (key && qr_headers_count_of(h, names->key) == 1)
        team = qr_policy_team(policy, key);
    if (!team && !call->route->keyless && policy->teams->len > 0)
        return CALL_NO_KEY;
    if (team) {
        call->team = team->name;
        call->team_priority = team->priority;
        call->team_regions = team->allowed_regions;
    }
    call->service = qr_route_service(call->route, call->id);
    return CALL_OK;
}

/* Whether the call may outlast the grace time, as its caller waits for longer.
   It would then be cut; another gateway can still end it. */
static bool outlasts_grace(const QRGateway *g, const QRRelayCall *call)
{
    uint64_t most = call->route->timeout_ms
                        ? MIN(call->route->timeout_ms, call->deadline_ms)
                        : call->deadline_ms;

    return g->stopping_ms > 0 &&
           qr_gateway_now(g) + most >
               g->stopping_ms + (uint64_t)(g->set->grace_s * 1000);
}

static void refuse(QRGateway *g, QRExchange *x, unsigned status,
                   unsigned retry_ms, QRCounter counter, const char *why)
{
    const char *id =
        qr_headers_get(qr_exchange_headers(x), g->platform->headers.call_id);

    g->counters.counts[counter]++;
    qr_logf(QR_LEVEL_INFO, "call",
            "refused id=%s status=%u why=%s retry_after_ms=%u turn=none policy=%" G_GUINT64_FORMAT
            " epoch=%" G_GUINT64_FORMAT " store_epoch=%" G_GUINT64_FORMAT
            " confirmed_ago_ms=%" G_GINT64_FORMAT,
            id ? id : "-", status, why, retry_ms,
            g->operator.policy ? g->operator.policy->version : 0,
            g->operator.policy_position.epoch, g->store_epoch,
            qr_gateway_operator_confirmed_ago_ms(g));
    qr_relay_send_local_reply(x, status, retry_ms);
}

/* Returns how long the caller waits, as its header says; the maximum without a
   valid header. */
static uint32_t caller_deadline_ms(const QRGateway *g, QRExchange *x)
{
    const char *text = qr_headers_get(qr_exchange_headers(x),
                                      g->platform->headers.deadline_ms);
    uint32_t ms;

    return text && parse_ms(text, &ms) ? ms : MAX_DEADLINE_MS;
}

void qr_gateway_handle_call(QRGateway *g, QRExchange *x)
{
    static const char *const reasons[] = {"", "malformed", "no route",
                                          "no key"};
    QRRelayCall call;
    CallError error;

    if (!g->operator.policy) {
        refuse(g, x, 503, qr_relay_retry_after_ms(g, caller_deadline_ms(g, x)),
               QR_COUNTER_refused_unready, "no configuration yet");
        return;
    }
    error = parse_call(g, x, &call);
    if (error != CALL_OK)
        refuse(g, x, error_status(error), 0, QR_COUNTER_rejected,
               reasons[error]);
    else if (outlasts_grace(g, &call))
        refuse(g, x, 503, QR_RETRY_ELSEWHERE_MS, QR_COUNTER_refused_stopping,
               "stopping");
    else
        qr_relay_start(g, x, &call);
}

static void callers_request(void *owner, QRExchange *x)
{
    QRGateway *g = owner;

    g->counters.counts[QR_COUNTER_calls]++;
    if (g->operator.policy || !qr_startup_calls_add(g, x,
                                                    caller_deadline_ms(g, x)))
        qr_gateway_handle_call(g, x);
}

static void callers_gone(void *owner, QRExchange *x, const char *why)
{
    QRRelay *r = qr_exchange_data(x);

    if (r)
        qr_relay_caller_gone(r, why);
    else
        qr_startup_calls_remove(owner, x);
}

const QRServerHandlers qr_gateway_callers_handlers = {callers_request,
                                                      callers_gone};

static void ignore_gone(void *owner, QRExchange *x, const char *why)
{
    (void)owner;
    (void)why;
    (void)x; /* answered at once: there is nothing to cancel */
}

/* Regions whose gateways are named to a caller. */
typedef struct RegionFilter {
    const GPtrArray *allowed; /* by the configuration; NULL: all */
    const char *caller;       /* the caller's own region, always allowed */
    const char *only;         /* the only region; NULL: any */
} RegionFilter;

static bool passes(const RegionFilter *f, const char *region)
{
    if (f->only && g_strcmp0(f->only, region) != 0)
        return false;
    return qr_region_is_allowed(f->allowed, region) ||
           g_strcmp0(f->caller, region) == 0;
}

/* Returns the addresses of the gateways in these regions that take calls: this
   one unless it is stopping, and those heard from lately. The members own the
   strings. */
static GPtrArray *list_open_gateways(QRGateway *g, const RegionFilter *f)
{
    g_autoptr(GPtrArray) list =
        qr_members_of(&g->members, QR_ROLE_GATEWAY, NULL);
    GPtrArray *out = g_ptr_array_new();
    uint64_t now = qr_gateway_now(g);

    if (g->stopping_ms == 0 && passes(f, g->set->region))
        g_ptr_array_add(out, g->set->callers);
    for (unsigned i = 0; i < list->len; i++) {
        QRFleetMember *m = list->pdata[i];

        if (!m->leaving && passes(f, m->region) &&
            qr_member_alive(m, (uint64_t)g->set->lease_ms, now))
            g_ptr_array_add(out, m->service_address);
    }
    return out;
}

/*
 * Reduces the list to a random sample of MAX_ADDRESSES gateways. All gateways
 * then get their share of the calls, whichever gateway is asked.
 */
static void sample_addresses(QRGateway *g, GPtrArray *list)
{
    for (unsigned i = 0; i < MAX_ADDRESSES && i < list->len; i++) {
        unsigned k;
        void *picked;

        g->random = qr_hash64(&g->random, sizeof(g->random), 3);
        k = i + (unsigned)(g->random % (list->len - i));
        picked = list->pdata[k];
        list->pdata[k] = list->pdata[i];
        list->pdata[i] = picked;
    }
    g_ptr_array_set_size(list, (int)MIN(list->len, MAX_ADDRESSES));
}

/*
 * Returns the gateways for a caller's question. Calls that may run in some
 * regions only do not pass through others, except the caller's own. If these
 * regions have no gateway, any gateway can still refuse the calls.
 */
static GPtrArray *find_addresses(QRGateway *g, const QRDirectoryQuery *q)
{
    g_autoptr(GPtrArray) allowed =
        g->operator.policy && q->host
            ? qr_policy_host_regions(g->operator.policy, q->host)
            : NULL;
    RegionFilter filter = {allowed, q->region, NULL};
    RegionFilter any = {0};
    GPtrArray *found;

    /* few gateways of other regions are known, and would get all calls that
       leave this one */
    if (qr_gateway_region_is_large(g))
        filter.only = g->set->region;
    found = list_open_gateways(g, &filter);
    if (found->len == 0 && filter.only) {
        filter.only = NULL;
        g_ptr_array_unref(found);
        found = list_open_gateways(g, &filter);
    }
    if (found->len == 0) {
        g_ptr_array_unref(found);
        found = list_open_gateways(g, &any);
    }
    return found;
}

static void reply(QRExchange *x, const char *type, const char *text)
{
    QRHeaders headers;

    qr_headers_init(&headers);
    qr_headers_add(&headers, "Content-Type", type);
    qr_exchange_reply(x, 200, &headers, text, strlen(text));
    qr_headers_clear(&headers);
}

static void directory_request(void *owner, QRExchange *x)
{
    QRGateway *g = owner;
    const char *target = qr_exchange_target(x);
    g_auto(QRDirectoryQuery) query = {0};
    g_autoptr(GPtrArray) addresses = NULL;
    g_autofree char *body = NULL;

    if (!g->platform->is_directory(target)) {
        qr_relay_send_local_reply(x, 404, 0);
        return;
    }
    g->platform->parse_directory_query(target, &query);
    addresses = find_addresses(g, &query);
    if (addresses->len == 0) {
        qr_relay_send_local_reply(x, 503, RETRY_NOT_READY_MS);
        return;
    }
    if (addresses->len > MAX_ADDRESSES)
        sample_addresses(g, addresses);
    g->counters.counts[QR_COUNTER_directory]++;
    body = g->platform->directory_answer(addresses,
                                         (unsigned)g->set->address_valid_s);
    reply(x, "application/json", body);
}

const QRServerHandlers qr_gateway_directory_handlers = {directory_request,
                                                        ignore_gone};

static void readiness_request(void *owner, QRExchange *x)
{
    QRGateway *g = owner;
    bool known = g->platform->is_ready(qr_exchange_target(x));

    qr_relay_send_local_reply(x,
                              !known                   ? 404
                              : qr_gateway_is_ready(g) ? 200
                                                       : 503,
                              0);
}

const QRServerHandlers qr_gateway_readiness_handlers = {readiness_request,
                                                        ignore_gone};

static void metrics_request(void *owner, QRExchange *x)
{
    QRGateway *g = owner;
    g_autoptr(GString) out = g_string_new(NULL);

    if (strcmp(qr_exchange_target(x), QR_HELD_PATH) == 0) {
        g_autofree char *held = qr_requests_json(g);

        reply(x, "application/json", held);
        return;
    }
    qr_counters_text(&g->counters, out);
    g_string_append_printf(
        out,
        "quayring_calls_open %u\n"
        "quayring_engine_connections_opened_total %" G_GUINT64_FORMAT "\n"
        "quayring_engine_requests_mute_total %" G_GUINT64_FORMAT "\n"
        "quayring_peer_connections %u\n"
        "quayring_peer_connections_replaced_total %" G_GUINT64_FORMAT "\n"
        "quayring_store_calls_total %" G_GUINT64_FORMAT "\n"
        "quayring_log_lines_dropped_total %" G_GUINT64_FORMAT "\n",
        g->relays->len, qr_client_connections_opened(g->to_engines),
        qr_client_unresponsive_requests(g->to_engines), qr_peers_open(g->peers),
        qr_peers_replaced(g->peers),
        qr_follower_requests_sent(g->follow_operator) +
            qr_follower_requests_sent(g->follow_engines),
        qr_log_dropped());
    qr_operator_append_metrics(&g->operator, qr_gateway_now(g), out);
    qr_account_append_metrics(&g->clients, out);
    qr_peers_append_metrics(g->peers, out);
    qr_traffic_append_metrics(qr_peers_traffic(g->peers), out);
    reply(x, "text/plain; version=0.0.4", out->str);
}

const QRServerHandlers qr_gateway_metrics_handlers = {metrics_request,
                                                      ignore_gone};
