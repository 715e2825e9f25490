/*
 * Start, timers, settings reload and stop of a gateway.
 */
#include "qr_gateway.h"
#include "qr_relay.h"

#include <stdlib.h>
#include <string.h>

/* Share of the process's memory for bytes that callers have not read yet. */
#define UNSENT_MEMORY_DIVISOR 4
#define BYTES_PER_MB (1u << 20)
#define TICK_MS 20
#define SLOW_TICK_MS 100
/* Ticks come every 20 ms. A longer gap than this between two ticks means that
   this process was suspended. */
#define SUSPENDED_MIN_MS 150
#define SWEEP_MS 2000
/* The record of an engine that has ended goes after three of its heartbeats,
   which are a few seconds apart at most. */
#define RECORD_LASTS_MS 10000
/* Time for the last seeds to start and for sidecars to connect. */
#define STARTING_MS 3000
/* Part of the grace time kept for the exit itself. */
#define END_MARGIN_MS 400
/* Listening ends so long before the grace time does, at the latest. */
#define LISTEN_END_MARGIN_MS 2000
#define RESERVED_DESCRIPTORS 200 /* not for connections of clients */
/* Listeners for addresses, readiness and metrics: each has this part of the
   connections of clients, and at least so many. */
#define MINOR_LISTENERS 3
#define MINOR_DIVISOR 16
#define MINOR_MIN 4
/* A starting gateway delays its first read of the store: other gateways may
   send the records by then, also seeds that start last. The jitter keeps
   gateways that start together from all reading at once; the first reader sends
   the records to the others. */
#define FIRST_READ_DELAY_MS 400
#define FIRST_READ_JITTER_MS 400
/* Callers may use an address for up to so many times its validity. */
#define ADDRESS_LIFETIMES 3
/* Initial mean time of a call, until calls are measured. */
#define ENGINE_CALL_MS 1200
#define PLAIN_CALL_MS 50

uint64_t qr_gateway_now(const QRGateway *g)
{
    return qr_clock_ms(g->loop);
}

bool qr_gateway_is_ready(const QRGateway *g)
{
    return g->stopping_ms == 0 && g->operator.policy && g->engines_known;
}

bool qr_gateway_is_starting(const QRGateway *g)
{
    return g->stopping_ms == 0 &&
           qr_gateway_now(g) < g->started_ms + STARTING_MS;
}

QRServiceStats *qr_gateway_stats(QRGateway *g, const char *service)
{
    QRServiceStats *s = g_hash_table_lookup(g->services, service);
    const QRService *policy;
    bool engine;

    if (s)
        return s;
    policy = g->operator.policy ? qr_policy_service(g->operator.policy, service)
                                : NULL;
    engine = policy && policy->engine.model;
    s = g_new0(QRServiceStats, 1);
    qr_budget_init(&s->budget, g->set->retry_ratio,
                   (uint32_t)(g->set->retry_window_s * 1000));
    s->mean_call_ms = engine ? ENGINE_CALL_MS : PLAIN_CALL_MS;
    g_queue_init(&s->waiting);
    s->stream_lengths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(g->services, g_strdup(service), s);
    return s;
}

/* Connections of clients of all listeners. */
static unsigned client_connections_max(const QRGateway *g)
{
    int64_t all = g->set->descriptors_max;

    if (all > 2 * RESERVED_DESCRIPTORS)
        all -= RESERVED_DESCRIPTORS;
    else
        all /= 2;
    return (unsigned)all * 3 / 4;
}

/* The part of a listener that is not for calls. */
static unsigned minor_connections_max(const QRGateway *g)
{
    return MAX(client_connections_max(g) / MINOR_DIVISOR, MINOR_MIN);
}

void qr_gateway_apply_limits(QRGateway *g)
{
    const QRPolicy *p = g->operator.policy;
    QRServerLimits l = *qr_server_limits(g->callers);
    size_t largest = qr_account_share(&g->clients, QR_ACCOUNT_LARGE);

    l.connections_max =
        client_connections_max(g) - MINOR_LISTENERS * minor_connections_max(g);
    if (p) {
        l.head_max = p->head_max_bytes;
        l.body_max = p->body_max_bytes;
        l.head_timeout_ms = p->head_timeout_ms;
        l.idle_timeout_ms = p->idle_timeout_ms;
    }
    qr_server_set_limits(g->callers, &l);
    if (l.body_max > largest)
        qr_logf(QR_LEVEL_WARN, "callers",
                "bodies over %zu bytes do not fit the memory of this process: "
                "the configuration allows %zu",
                largest, l.body_max);
}

static void gateway_stop_now(QRGateway *g)
{
    if (g->stopped)
        return;
    g->stopped = true;
    qr_logf(QR_LEVEL_INFO, "gateway", "stopped calls_open=%u", g->relays->len);
    uv_stop(g->loop);
}

/* Steps of a planned stop: listen while callers may still use this address,
   then wait for open calls to end; see docs/PLATFORM.md. */
static void gateway_stopping(QRGateway *g, uint64_t now)
{
    uint64_t since = now - g->stopping_ms;
    uint64_t grace = (uint64_t)(g->set->grace_s * 1000);
    uint64_t kept =
        (uint64_t)g->set->address_valid_s * 1000 * ADDRESS_LIFETIMES;

    if (since >= MIN(kept, grace - MIN(grace, LISTEN_END_MARGIN_MS))) {
        qr_server_stop_listening(g->callers);
        if (g->relays->len == 0 && qr_server_close_idle(g->callers) == 0)
            gateway_stop_now(g);
    }
    if (since + END_MARGIN_MS >= grace)
        gateway_stop_now(g);
}

/* Engines of other regions that are still recorded after a while do run. While
   the store is away, records last whatever becomes of their engines. */
static void confirm_lasting_engines(QRGateway *g, uint64_t now)
{
    unsigned n;

    if (qr_gateway_store_is_away(g, now) || now < RECORD_LASTS_MS)
        return;
    n = qr_engines_confirm_lasting(&g->engines, g->regions, g->set->region,
                                   now - RECORD_LASTS_MS);
    if (n > 0)
        qr_logf(QR_LEVEL_INFO, "engines",
                "confirmed as their records last count=%u", n);
}

static void gateway_slow_tick(QRGateway *g, uint64_t now)
{
    qr_server_tick(g->callers, now);
    qr_server_tick(g->directory, now);
    qr_server_tick(g->readiness, now);
    if (g->metrics)
        qr_server_tick(g->metrics, now);
    qr_peers_tick(g->peers, now);
    qr_gateway_expire_sidecars(g, now);
    qr_gateway_expire_loads(g, now);
    qr_gateway_check_lapsed(g);
    qr_operator_log_in_force(&g->operator,(uint64_t) g->set->version_ms,
                             qr_gateway_bound_clock_ms(g, now));
    if (now >= g->sweep_ms) {
        g->sweep_ms = now + SWEEP_MS;
        qr_engines_sweep(&g->engines, now);
        qr_gateway_slots_sweep(g);
        qr_gateway_expire_engine_changes(g, now);
        confirm_lasting_engines(g, now);
    }
    if (g->stopping_ms > 0)
        gateway_stopping(g, now);
}

/*
 * Returns whether this process was suspended since the last tick, by a busy
 * core or by SIGSTOP. Timers run before the data that arrived meanwhile is
 * read, and would take calls for stalled and callers' connections for idle. The
 * caller then skips this tick, and the loop reads that data before the next
 * tick.
 */
static bool gateway_was_suspended(QRGateway *g, uint64_t now)
{
    uint64_t gap = qr_ticks_stall_ms(&g->ticks, now, SUSPENDED_MIN_MS);

    if (gap == 0)
        return false;
    g->counters.counts[QR_COUNTER_suspensions]++;
    qr_logf(QR_LEVEL_WARN, "gateway",
            "was suspended ms=%" G_GUINT64_FORMAT " calls_open=%u", gap,
            g->relays->len);
    return true;
}

static uint64_t gateway_memory_bytes(const QRGateway *g)
{
    return (uint64_t)g->set->memory_mb * BYTES_PER_MB;
}

/* Aborts answers that callers do not read while too many bytes are unsent. */
static void limit_unsent(QRGateway *g, uint64_t now)
{
    size_t limit = (size_t)(gateway_memory_bytes(g) / UNSENT_MEMORY_DIVISOR);

    g->counters.counts[QR_COUNTER_unread_aborted] +=
        qr_server_limit_unsent(g->callers, limit, now);
}

static void gateway_tick(uv_timer_t *timer)
{
    QRGateway *g = timer->data;
    uint64_t now = qr_gateway_now(g);

    if (gateway_was_suspended(g, now))
        return;
    qr_client_tick(g->to_engines, now);
    qr_client_tick(g->to_store, now);
    qr_follower_tick(g->follow_operator, now);
    qr_follower_tick(g->follow_engines, now);
    qr_requests_tick(g, now);
    qr_startup_calls_tick(g, now);
    qr_relay_tick(g, now);
    qr_gateway_slots_tick(g);
    limit_unsent(g, now);
    if (now >= g->heartbeat_ms) {
        g->heartbeat_ms = now + (uint64_t)g->set->heartbeat_ms;
        qr_gateway_heartbeat(g, now);
    }
    if (now >= g->slow_tick_ms) {
        g->slow_tick_ms = now + SLOW_TICK_MS;
        gateway_slow_tick(g, now);
    }
    /* log lines that are not written yet are lost if the process is killed */
    qr_log_flush();
}

static void gateway_terminate(uv_signal_t *handle, int signum)
{
    QRGateway *g = handle->data;

    if (g->stopping_ms > 0)
        return;
    qr_logf(QR_LEVEL_INFO, "gateway",
            "stopping signal=%d calls_open=%u "
            "connections=%u",
            signum, g->relays->len, qr_server_connections(g->callers));
    g->stopping_ms = MAX(qr_gateway_now(g), 1);
    qr_server_drain(g->callers);
    qr_gateway_send_leaving(g);
}

/* Applies the settings that may change at run time; addresses may not. */
static void gateway_reload(uv_signal_t *handle, int signum)
{
    QRGateway *g = handle->data;
    g_auto(QRFindings) f = {0};
    g_autofree char *text = NULL;
    g_autoptr(QRFleetSettings) new = NULL;
    gsize len;

    (void)signum;
    qr_findings_init(&f, g->settings_file);
    if (g_file_get_contents(g->settings_file, &text, &len, NULL))
        new = qr_fleet_settings_read(text, len, &f);
    if (!new) {
        qr_logf(QR_LEVEL_WARN, "gateway",
                "reload refused: settings file is invalid findings=%u",
                qr_findings_count(&f));
        return;
    }
    g->set->address_valid_s = new->address_valid_s;
    g->set->grace_s = new->grace_s;
    g->set->version_ms = new->version_ms;
    g->set->config_apply_ms = new->config_apply_ms;
    g->set->drain_ms = new->drain_ms;
    g->set->retry_ratio = new->retry_ratio;
    g->set->retry_allowance = new->retry_allowance;
    g->set->memory_mb = new->memory_mb;
    qr_account_set_memory(&g->clients, gateway_memory_bytes(g));
    qr_peers_set_limits(g->peers, gateway_memory_bytes(g),
                        (unsigned)g->set->descriptors_max);
    g->set->move_slow_streams = new->move_slow_streams;
    g->set->admission_forecast = new->admission_forecast;
    qr_logf(QR_LEVEL_INFO, "gateway", "reloaded file=%s", g->settings_file);
}

static QRServer *serve(QRGateway *g, const char *address,
                       const QRServerHandlers *handlers, GError **err)
{
    return qr_server_new(g->loop, address, &g->clients, handlers, g, err);
}

/* A listener whose requests need no body. */
static QRServer *serve_minor(QRGateway *g, const char *address,
                             const QRServerHandlers *handlers, GError **err)
{
    QRServer *s = serve(g, address, handlers, err);
    QRServerLimits l;

    if (!s)
        return NULL;
    l = *qr_server_limits(s);
    l.connections_max = minor_connections_max(g);
    l.discards_bodies = true;
    qr_server_set_limits(s, &l);
    return s;
}

static bool gateway_listen(QRGateway *g, GError **err)
{
    const QRFleetSettings *s = g->set;

    g->callers = serve(g, s->callers, &qr_gateway_callers_handlers, err);
    if (!g->callers)
        return false;
    qr_gateway_apply_limits(g);
    g->directory =
        serve_minor(g, s->directory, &qr_gateway_directory_handlers, err);
    if (!g->directory)
        return false;
    g->readiness =
        serve_minor(g, s->readiness, &qr_gateway_readiness_handlers, err);
    if (!g->readiness)
        return false;
    if (s->metrics)
        g->metrics =
            serve_minor(g, s->metrics, &qr_gateway_metrics_handlers, err);
    g->peers =
        qr_peers_new(g->loop, s->peers, &qr_gateway_peer_handlers, g, err);
    if (!g->peers)
        return false;
    qr_peers_set_limits(g->peers, gateway_memory_bytes(g),
                        (unsigned)s->descriptors_max);
    return true;
}

static void gateway_follow(QRGateway *g)
{
    QRFollowerOptions operator= {
        .topic = QR_TOPIC_OPERATOR,
        .address = g->set->store,
        .wait_ms = qr_gateway_held_read_ms(g),
        .timeout_ms = QR_STORE_TIMEOUT_MS,
    };
    QRFollowerOptions engines = {
        .topic = QR_TOPIC_ENGINES,
        .address = g->set->store,
        .interval_ms = (unsigned)g->set->engines_poll_ms,
        .timeout_ms = QR_STORE_TIMEOUT_MS,
    };

    g->to_engines = qr_client_new(g->loop, g->platform->headers.call_id);
    g->to_store = qr_client_new(g->loop, g->platform->headers.call_id);
    g->follow_operator = qr_follower_new(
        g->to_store, g->platform, &operator, & qr_gateway_operator_handlers, g);
    g->follow_engines = qr_follower_new(g->to_store, g->platform, &engines,
                                        &qr_gateway_engines_handlers, g);
    qr_follower_pause(g->follow_operator, true);
    qr_follower_pause(g->follow_engines, true);
    qr_requests_follow(g);
}

static void stats_free(void *p)
{
    QRServiceStats *s = p;

    g_queue_clear(&s->waiting);
    g_hash_table_unref(s->stream_lengths);
    qr_call_corrections_clear(&s->corrections);
    g_free(s);
}

/* Whether this gateway is a seed or has none: no other gateway can be expected
   to send records before the first read. */
static bool is_seed(const QRFleetSettings *set)
{
    for (unsigned i = 0; i < set->seeds->len; i++) {
        if (strcmp(set->seeds->pdata[i], set->peers) == 0)
            return true;
    }
    return set->seeds->len == 0;
}

static void gateway_init(QRGateway *g, const char *file, QRFleetSettings *set)
{
    memset(g, 0, sizeof(*g));
    g->loop = uv_default_loop();
    g->set = set;
    g->settings_file = file;
    g->platform = qr_platform_find(set->platform);
    g->regions = qr_fleet_settings_regions(set);
    qr_account_init(&g->clients);
    qr_account_set_memory(&g->clients, gateway_memory_bytes(g));
    g->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stats_free);
    g->subscribers = g_ptr_array_new();
    g->sidecars = g_ptr_array_new();
    g->relays = g_ptr_array_new();
    g_queue_init(&g->startup_calls);
    g->slot_requests = g_hash_table_new(NULL, NULL);
    g->slots_unsent = g_ptr_array_new_with_free_func(g_free);
    g->slots_coordinated = qr_gateway_coordinated_slots_new();
    g->incarnation = g_random_int() | (uint64_t)g_random_int() << 32;
    g->random = g->incarnation;
    g->started_ms = qr_clock_ms(g->loop);
    g->store_reads_paused = true;
    g->first_read_ms =
        is_seed(set)
            ? g->started_ms
            : g->started_ms + FIRST_READ_DELAY_MS +
                  qr_hash_str(set->host, g->incarnation) % FIRST_READ_JITTER_MS;
    qr_operator_init(&g->operator, g->platform,
                     qr_gateway_forward_operator_record, g);
    qr_engines_init(&g->engines);
    g->engine_changes = qr_gateway_engine_changes_new();
    qr_members_init(&g->members);
    qr_neighbours_init(&g->neighbours);
    qr_neighbours_add(&g->neighbours, set->host, set->region);
    g->told_as_delegate = true;
    qr_requests_init(g);
}

static void gateway_signals(QRGateway *g)
{
    uv_signal_init(g->loop, &g->sigterm);
    uv_signal_init(g->loop, &g->sigint);
    uv_signal_init(g->loop, &g->sighup);
    g->sigterm.data = g->sigint.data = g->sighup.data = g;
    uv_signal_start(&g->sigterm, gateway_terminate, SIGTERM);
    uv_signal_start(&g->sigint, gateway_terminate, SIGINT);
    uv_signal_start(&g->sighup, gateway_reload, SIGHUP);
    signal(SIGPIPE, SIG_IGN);
}

static void gateway_dial_seeds(QRGateway *g)
{
    for (unsigned i = 0; i < g->set->seeds->len; i++) {
        const char *address = g->set->seeds->pdata[i];

        if (strcmp(address, g->set->peers) != 0)
            qr_peers_dial(g->peers, address);
    }
}

/* Frees everything at exit, so that leak checks in tests report only leaks. */
static void gateway_clear(QRGateway *g)
{
    qr_follower_free(g->follow_operator);
    qr_follower_free(g->follow_engines);
    qr_requests_unfollow(g);
    qr_startup_calls_refuse_all(g);
    while (g->relays->len > 0)
        qr_relay_stop(g->relays->pdata[0]);
    qr_client_close(g->to_engines);
    qr_client_close(g->to_store);
    qr_server_close(g->callers);
    qr_server_close(g->directory);
    qr_server_close(g->readiness);
    if (g->metrics)
        qr_server_close(g->metrics);
    qr_peers_close(g->peers);
    uv_close((uv_handle_t *)&g->timer, NULL);
    uv_close((uv_handle_t *)&g->sigterm, NULL);
    uv_close((uv_handle_t *)&g->sigint, NULL);
    uv_close((uv_handle_t *)&g->sighup, NULL);
    uv_run(g->loop, UV_RUN_DEFAULT);
    uv_loop_close(g->loop);
    qr_account_clear(&g->clients);
    g_ptr_array_unref(g->subscribers);
    g_ptr_array_unref(g->sidecars);
    g_ptr_array_unref(g->relays);
    g_hash_table_unref(g->slot_requests);
    g_hash_table_unref(g->slots_coordinated);
    g_ptr_array_unref(g->slots_unsent);
    g_hash_table_unref(g->services);
    g_hash_table_unref(g->regions);
    qr_operator_clear(&g->operator);
    qr_engines_clear(&g->engines);
    g_hash_table_unref(g->engine_changes);
    g_clear_pointer(&g->changes_reply.packed, g_bytes_unref);
    qr_members_clear(&g->members);
    qr_neighbours_clear(&g->neighbours);
    qr_requests_clear(g);
}

int qr_gateway_run(const char *settings_file, QRFleetSettings *set)
{
    QRGateway g;
    g_autoptr(GError) err = NULL;

    gateway_init(&g, settings_file, set);
    qr_log_start_bounded(set->host, (int)set->log_level);
    qr_log_failures();
    /* before listening: a process that can connect may also send a signal */
    gateway_signals(&g);
    if (!gateway_listen(&g, &err)) {
        qr_logf(QR_LEVEL_ERROR, "gateway", "cannot start why=%s", err->message);
        qr_log_stop();
        return EXIT_FAILURE;
    }
    gateway_follow(&g);
    gateway_dial_seeds(&g);
    uv_timer_init(g.loop, &g.timer);
    g.timer.data = &g;
    uv_timer_start(&g.timer, gateway_tick, 0, TICK_MS);
    qr_logf(QR_LEVEL_INFO, "gateway",
            "started version=%s callers=%s zone=%s store=%s seeds=%u "
            "incarnation=%016" G_GINT64_MODIFIER "x",
            QR_VERSION, set->callers, set->availability_zone, set->store,
            set->seeds->len, g.incarnation);
    uv_run(g.loop, UV_RUN_DEFAULT);
    gateway_clear(&g);
    qr_log_stop();
    return EXIT_SUCCESS;
}
