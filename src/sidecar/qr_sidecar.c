/*
 * The sidecar process: start, timer, engine reports, shutdown.
 */
#include "qr_sidecar.h"

#include <stdlib.h>
#include <string.h>

#define PACE_CHANGE_FACTOR 1.25
#define PROCESS_STALL_MS 150 /* longer gaps count as a suspension */
#define TICK_INTERVAL_MS 25
#define SLOW_TICK_INTERVAL_MS 100
#define REPORT_INTERVAL_MS 250     /* between report requests when idle */
#define REPORT_BUSY_INTERVAL_MS 60 /* during a switch */
#define REPORT_TIMEOUT_MS 800
#define REPORT_MAX_BYTES (256u << 10)
#define CONNECT_TIMEOUT_MS 400
#define STORE_TIMEOUT_MS 800
#define STORE_LONG_POLL_MS 2000
#define BYTES_PER_MB (1u << 20)
/* Part of the descriptors for connections to the metrics, and at least so many.
 */
#define METRICS_DIVISOR 16
#define METRICS_MIN 4
/* Time without a gateway after which the store is read directly. A gateway that
   starts is reached in well under a second; a version's deadline is many
   seconds. */
#define GATEWAY_ABSENT_MS 2000

uint64_t qr_sidecar_now(const QRSidecar *s)
{
    return qr_clock_ms(s->loop);
}

const QRService *qr_sidecar_service(const QRSidecar *s)
{
    return s->operator.policy
               ? qr_policy_service(s->operator.policy, s->set->service)
               : NULL;
}

void qr_sidecar_plan(const QRSidecar *s, uint64_t version, QRSourcePlan *plan)
{
    g_autoptr(GPtrArray) members =
        qr_members_of(&s->members, QR_ROLE_SIDECAR, s->set->service);
    const QRService *origin =
        s->operator.policy ? qr_policy_origin(s->operator.policy) : NULL;
    const QRService *service = qr_sidecar_service(s);
    const QRTarget *t = qr_target_find(s, s->model, version);
    QROriginLimits limits = {
        .connections = origin ? origin->connections_max : 0,
        .bytes_per_ms = origin ? origin->origin_bytes_per_ms : 0,
        .piece_bytes = service ? service->engine.chunk_bytes : 0,
    };

    for (unsigned i = members->len; i > 0; i--) {
        const QRFleetMember *m = members->pdata[i - 1];

        if (!m->listed && strcmp(m->name, s->set->host) != 0)
            g_ptr_array_remove_index(members, i - 1);
    }
    qr_source_plan_init(plan, members, s->set->host, s->set->region,
                        qr_source_root_count(&limits), s->model, version,
                        t && t->pieces ? t->pieces->len : 0);
}

uint64_t qr_sidecar_newest_version(const QRSidecar *s)
{
    const QRTarget *t;

    if (!s->targets || s->targets->len == 0)
        return 0;
    t = s->targets->pdata[s->targets->len - 1];
    return t->version;
}

bool qr_sidecar_serves(const QRSidecar *s, uint64_t version)
{
    return s->model && s->report_ms && s->report.version >= version &&
           g_strcmp0(s->report.model, s->model) == 0;
}

uint64_t qr_sidecar_held_version(const QRSidecar *s)
{
    for (unsigned i = s->targets ? s->targets->len : 0; i > 0; i--) {
        const QRTarget *t = s->targets->pdata[i - 1];

        if (qr_target_is_complete(t) || qr_sidecar_serves(s, t->version))
            return t->version;
    }
    return 0;
}

/* Whether the pace differs so much from the last one sent that gateways have to
   know at once; smaller changes wait for the next regular state. */
static bool pace_changed(const QRSidecar *s, double pace)
{
    double sent = s->sent_pace;

    return (pace > 0) != (sent > 0) ||
           (sent > 0 && (pace > sent * PACE_CHANGE_FACTOR ||
                         sent > pace * PACE_CHANGE_FACTOR));
}

/* Whether the report is of a later process of the engine than the last one that
   was answered, even if the engine was unreachable in between. */
static bool is_restarted(const QRSidecar *s, const QREngineReport *new)
{
    return new->sequence < s->confirmed_sequence ||
           (new->born_ms &&
            s->confirmed_born_ms &&new->born_ms != s->confirmed_born_ms);
}

static void apply_report(QRSidecar *s, QREngineReport *new, bool reachable)
{
    bool invalid_before = s->report.pace_invalid;
    bool changed = s->report_ms == 0 || pace_changed(s, new->pace) ||
                   reachable != s->reachable ||
                   new->version != s->report.version ||
                   new->born_ms != s->report.born_ms;

    if (changed)
        qr_logf(QR_LEVEL_INFO, "engine",
                "reports reachable=%d version=%" G_GUINT64_FORMAT
                " busy=%d sequence=%" G_GUINT64_FORMAT " active=%u pace=%.2f",
                reachable, new->version, new->busy, new->sequence, new->active,
                new->pace);
    if (new->pace_invalid && !invalid_before)
        qr_logf(QR_LEVEL_WARN, "engine",
                "reports an invalid pace, taken for unknown");
    if (reachable) {
        if (is_restarted(s, new))
            qr_stage_reset(s);
        qr_stage_note_report(s, new);
        s->confirmed_ms = s->report_asked_ms;
        s->confirmed_sequence = new->sequence;
        if (new->born_ms)
            s->confirmed_born_ms = new->born_ms;
    }
    qr_engine_report_clear(&s->report);
    s->report = *new;
    s->reachable = reachable;
    s->report_ms = MAX(qr_sidecar_now(s), 1);
    /* a report requested before the order does not reflect the order */
    if (s->switching && !s->announced_ms && !s->order_call && !new->busy &&
        s->report_asked_ms > s->order_answered_ms) {
        s->switching = false;
        changed = true;
    }
    if (changed)
        qr_sidecar_send_state(s, true);
}

static void report_finished(void *owner, unsigned ref,
                            const QRBufferedAnswer *a)
{
    QRSidecar *s = owner;
    QREngineReport new = {0};
    g_auto(QRFindings) f = {0};
    bool was_unreadable = s->report_unreadable;

    (void)ref;
    s->report_call = NULL;
    if (a->status == 0) {
        apply_report(s, &new, false);
        return;
    }
    if (a->status != 200)
        return;
    qr_findings_init(&f, "report");
    s->report_unreadable =
        s->platform->parse_report(a->data, a->len, &new, &f) != 0;
    if (!s->report_unreadable) {
        apply_report(s, &new, true);
        return;
    }
    qr_engine_report_clear(&new);
    if (!was_unreadable)
        qr_logf(QR_LEVEL_WARN, "engine",
                "cannot parse the engine's report finding=%s",
                (char *)f.lines->pdata[0]);
}

static void request_report(QRSidecar *s, uint64_t now)
{
    g_autofree char *path = s->platform->report_path();
    QRBufferedRequest r = {0};

    r.address = s->set->engine;
    r.method = "GET";
    r.path = path;
    r.connect_ms = CONNECT_TIMEOUT_MS;
    r.timeout_ms = REPORT_TIMEOUT_MS;
    r.answer_max = REPORT_MAX_BYTES;
    s->report_next_ms =
        now + (s->switching ? REPORT_BUSY_INTERVAL_MS : REPORT_INTERVAL_MS);
    s->report_asked_ms = now;
    s->report_call =
        qr_buffered_send(s->engine_client, &r, report_finished, s, 0);
}

static void operator_record(void *owner, const QRStoreRecord *r)
{
    QRSidecar *s = owner;
    uint64_t now = qr_sidecar_now(s);
    uint64_t gap = qr_follower_max_record_age_ms(s->operator_follower);
    /* the followed gateway relayed records as soon as it received them */
    uint64_t age = MIN(gap, now - s->gateway_heard_ms);

    if (qr_operator_is_empty(&s->operator))
        age = QR_AGE_UNKNOWN_MS;
    qr_operator_apply(&s->operator, r, MIN(age, QR_AGE_UNKNOWN_MS), now);
}

static void operator_changed(void *owner, const QRStoreRecord *r)
{
    (void)r;
    qr_weights_update_targets(owner);
}

static void operator_rolled_back(void *owner, uint64_t epoch)
{
    (void)owner;
    (void)
        epoch; /* versions named in records that the store lost stay in force */
}

static void operator_listed(void *owner, GHashTable *keys)
{
    (void)owner;
    (void)keys;
}

static void operator_reached(void *owner, bool reached, const char *why)
{
    (void)owner;
    qr_logf(reached ? QR_LEVEL_INFO : QR_LEVEL_WARN, "store",
            "%s topic=operator why=%s", reached ? "reached" : "lost", why);
}

static const QRFollowerHandlers operator_handlers = {
    operator_record, operator_rolled_back, operator_listed, operator_reached};

/*
 * The followed gateway relays the operator records that concern this sidecar.
 * The store's reply is many times as long and crosses regions; the store is
 * read only after GATEWAY_ABSENT_MS without a followed gateway. A gateway
 * without a configuration does not change this: it receives one from others as
 * soon as any has it, and if all sidecars read the store themselves, all would
 * request every record at once when the store returns.
 */
static void choose_operator_source(QRSidecar *s, uint64_t now)
{
    bool reads;

    if (s->followed_gateway)
        s->followed_until_ms = now;
    reads = now >= s->followed_until_ms + GATEWAY_ABSENT_MS;
    if (reads == s->reads_store)
        return;
    s->reads_store = reads;
    qr_logf(QR_LEVEL_INFO, "store", "%s alone_ms=%" G_GUINT64_FORMAT,
            reads ? "reads operator records from the store"
                  : "receives operator records from a gateway",
            now - s->followed_until_ms);
    qr_follower_pause(s->operator_follower, !reads);
}

static void sidecar_tick(uv_timer_t *timer)
{
    QRSidecar *s = timer->data;
    uint64_t now = qr_sidecar_now(s);
    uint64_t gap = qr_ticks_stall_ms(&s->ticks, now, PROCESS_STALL_MS);

    if (gap > 0) {
        qr_logf(QR_LEVEL_WARN, "sidecar", "was suspended ms=%" G_GUINT64_FORMAT,
                gap);
        return; /* input that arrived meanwhile is handled before any timeout */
    }
    qr_client_tick(s->engine_client, now);
    qr_client_tick(s->origin_client, now);
    qr_client_tick(s->store_client, now);
    if (!s->report_call && now >= s->report_next_ms)
        request_report(s, now);
    qr_weights_tick(s, now);
    qr_upload_send_queued(s, now);
    qr_stage_tick(s, now);
    if (now < s->slow_tick_ms)
        return;
    s->slow_tick_ms = now + SLOW_TICK_INTERVAL_MS;
    qr_peers_tick(s->peers, now);
    qr_sidecar_peers_tick(s);
    choose_operator_source(s, now);
    qr_follower_tick(s->operator_follower, now);
    qr_sidecar_send_state(s, false);
    if (s->metrics)
        qr_server_tick(s->metrics, now);
    qr_log_flush();
}

static void sidecar_terminate(uv_signal_t *handle, int signum)
{
    QRSidecar *s = handle->data;

    qr_logf(QR_LEVEL_INFO, "sidecar", "stopped signal=%d", signum);
    s->stopped = true;
    uv_stop(s->loop);
}

static void sidecar_reload(uv_signal_t *handle, int signum)
{
    (void)handle;
    (void)signum;
    qr_logf(QR_LEVEL_INFO, "sidecar",
            "reload ignored: a sidecar's settings are fixed at start");
}

static void metrics_request(void *owner, QRExchange *x)
{
    QRSidecar *s = owner;
    g_autoptr(GString) text = g_string_new(NULL);

    g_string_append_printf(
        text,
        "quayring_sidecar_origin_bytes_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_peer_pieces_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_orders_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_origin_pieces_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_origin_failures_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_origin_yields_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_versions_skipped_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_serving_version %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_target_version %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_granted_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_denied_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_yielded_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_yielded_rank_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_yielded_team_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_yielded_claim_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_claims_made_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_claims_used_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_paced_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_rested_total %" G_GUINT64_FORMAT "\n",
        s->origin_bytes, s->peer_pieces, s->orders, s->origin_pieces,
        s->origin_failures, s->origin_yields, s->versions_skipped,
        s->report.version, qr_sidecar_newest_version(s), s->slots.granted,
        s->slots.denied, s->slots.yielded,
        s->slots.shares.yielded[QR_SHARE_YIELDS_TO_RANK],
        s->slots.shares.yielded[QR_SHARE_YIELDS_TO_TEAM],
        s->slots.shares.yielded[QR_SHARE_YIELDS_TO_CLAIM], s->slots.claim.made,
        s->slots.claim.used, s->slots.rate_limited, s->slots.backed_off);
    qr_account_append_metrics(&s->clients, text);
    qr_peers_append_metrics(s->peers, text);
    qr_traffic_append_metrics(qr_peers_traffic(s->peers), text);
    qr_exchange_reply(x, 200, NULL, text->str, text->len);
}

static void metrics_gone(void *owner, QRExchange *x, const char *why)
{
    (void)owner;
    (void)why;
    (void)x; /* the exchange was answered in metrics_request() */
}

static const QRServerHandlers metrics_handlers = {metrics_request,
                                                  metrics_gone};

/* Adds this process to the members from which sources are chosen. */
static void sidecar_add_self(QRSidecar *s)
{
    Qr__Fleet__Hello hello = QR__FLEET__HELLO__INIT;

    qr_sidecar_peer_handlers.greet(s, NULL, &hello);
    qr_members_hello(&s->members, &hello, true, 1);
}

static void sidecar_init(QRSidecar *s, const char *file, QRFleetSettings *set)
{
    memset(s, 0, sizeof(*s));
    s->loop = uv_default_loop();
    s->set = set;
    s->settings_file = file;
    s->platform = qr_platform_find(set->platform);
    s->incarnation = g_random_int() | (uint64_t)g_random_int() << 32;
    qr_account_init(&s->clients);
    qr_account_set_memory(&s->clients, (uint64_t)set->memory_mb * BYTES_PER_MB);
    s->gateways = g_ptr_array_new();
    g_queue_init(&s->uploads);
    s->unconfirmed_uploads = qr_upload_in_flight_new();
    s->waiters = g_array_new(FALSE, FALSE, sizeof(QRWaiter));
    qr_stage_puts_init(s);
    qr_operator_init(&s->operator, s->platform, operator_changed, s);
    qr_members_init(&s->members);
    qr_slots_init(&s->slots);
    s->slots.shares_slots = set->share_slots != 0;
    sidecar_add_self(s);
}

static void sidecar_connect(QRSidecar *s)
{
    QRFollowerOptions operator= {
        .topic = QR_TOPIC_OPERATOR,
        .address = s->set->store,
        .wait_ms = STORE_LONG_POLL_MS,
        .timeout_ms = STORE_TIMEOUT_MS,
    };

    s->engine_client = qr_client_new(s->loop, s->platform->headers.call_id);
    s->origin_client = qr_client_new(s->loop, s->platform->headers.call_id);
    s->store_client = qr_client_new(s->loop, s->platform->headers.call_id);
    s->operator_follower = qr_follower_new(s->store_client, s->platform,
                                           &operator, & operator_handlers, s);
    qr_follower_pause(s->operator_follower, true);
    s->followed_until_ms = s->started_ms = qr_sidecar_now(s);
    for (unsigned i = 0; i < s->set->seeds->len; i++)
        qr_peers_dial(s->peers, s->set->seeds->pdata[i]);
}

static void sidecar_signals(QRSidecar *s)
{
    uv_signal_init(s->loop, &s->sigterm);
    uv_signal_init(s->loop, &s->sigint);
    uv_signal_init(s->loop, &s->sighup);
    s->sigterm.data = s->sigint.data = s->sighup.data = s;
    uv_signal_start(&s->sigterm, sidecar_terminate, SIGTERM);
    uv_signal_start(&s->sigint, sidecar_terminate, SIGINT);
    uv_signal_start(&s->sighup, sidecar_reload, SIGHUP);
    signal(SIGPIPE, SIG_IGN);
}

static void sidecar_clear(QRSidecar *s)
{
    qr_weights_clear(s);
    qr_stage_puts_clear(s);
    qr_buffered_cancel(s->report_call);
    qr_buffered_cancel(s->order_call);
    qr_follower_free(s->operator_follower);
    qr_client_close(s->engine_client);
    qr_client_close(s->origin_client);
    qr_client_close(s->store_client);
    qr_peers_close(s->peers);
    if (s->metrics)
        qr_server_close(s->metrics);
    uv_close((uv_handle_t *)&s->timer, NULL);
    uv_close((uv_handle_t *)&s->sigterm, NULL);
    uv_close((uv_handle_t *)&s->sigint, NULL);
    uv_close((uv_handle_t *)&s->sighup, NULL);
    uv_run(s->loop, UV_RUN_DEFAULT);
    uv_loop_close(s->loop);
    qr_engine_report_clear(&s->report);
    qr_account_clear(&s->clients);
    g_ptr_array_unref(s->gateways);
    g_array_unref(s->waiters);
    g_array_unref(s->unconfirmed_uploads);
    g_queue_clear_full(&s->uploads, g_free);
    qr_operator_clear(&s->operator);
    qr_members_clear(&s->members);
    qr_slots_clear(&s->slots);
}

static void sidecar_serve_metrics(QRSidecar *s, GError **err)
{
    QRServerLimits l;

    s->metrics = qr_server_new(s->loop, s->set->metrics, &s->clients,
                               &metrics_handlers, s, err);
    if (!s->metrics)
        return;
    l = *qr_server_limits(s->metrics);
    l.discards_bodies = true;
    l.connections_max =
        MAX((unsigned)s->set->descriptors_max / METRICS_DIVISOR, METRICS_MIN);
    qr_server_set_limits(s->metrics, &l);
}

int qr_sidecar_run(const char *settings_file, QRFleetSettings *set)
{
    QRSidecar s;
    g_autoptr(GError) err = NULL;

    sidecar_init(&s, settings_file, set);
    qr_log_start_bounded(set->host, (int)set->log_level);
    qr_log_failures();
    /* before listening: a process that can connect may also send a signal */
    sidecar_signals(&s);
    s.peers =
        qr_peers_new(s.loop, set->peers, &qr_sidecar_peer_handlers, &s, &err);
    if (s.peers)
        qr_peers_set_limits(s.peers, (uint64_t)set->memory_mb * BYTES_PER_MB,
                            (unsigned)set->descriptors_max);
    if (s.peers && set->metrics)
        sidecar_serve_metrics(&s, &err);
    if (err) {
        qr_logf(QR_LEVEL_ERROR, "sidecar", "cannot start why=%s", err->message);
        qr_log_stop();
        return EXIT_FAILURE;
    }
    sidecar_connect(&s);
    uv_timer_init(s.loop, &s.timer);
    s.timer.data = &s;
    uv_timer_start(&s.timer, sidecar_tick, 0, TICK_INTERVAL_MS);
    qr_logf(QR_LEVEL_INFO, "sidecar",
            "started version=%s engine=%s zone=%s "
            "incarnation=%016" G_GINT64_MODIFIER "x",
            QR_VERSION, set->engine, set->availability_zone, s.incarnation);
    uv_run(s.loop, UV_RUN_DEFAULT);
    sidecar_clear(&s);
    qr_log_stop();
    return EXIT_SUCCESS;
}
