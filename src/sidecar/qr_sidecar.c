/*
 * A sidecar's life: start, the passing of time, the engine's report, stop.
 */
#include "qr_sidecar.h"

#include <stdlib.h>
#include <string.h>

#define STOOD_STILL_MS 150 /* between two ticks */
#define TICK_MS 25
#define SLOW_TICK_MS 100
#define REPORT_MS 250     /* between two reports while nothing changes */
#define REPORT_BUSY_MS 60 /* while the engine switches */
#define REPORT_TIMEOUT_MS 800
#define CONNECT_MS 400
#define STORE_TIMEOUT_MS 800
#define STORE_WAIT_MS 2000
/* Without a gateway to tell us: one that starts is reached in well under a
   second; a version's bound is many. */
#define ALONE_MS 2000

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
    const QRTarget *t = qr_target_of(s, s->model, version);

    for (unsigned i = members->len; i > 0; i--) {
        const QRFleetMember *m = members->pdata[i - 1];

        if (!m->listed && strcmp(m->name, s->set->host) != 0)
            g_ptr_array_remove_index(members, i - 1);
    }
    qr_source_plan_init(plan, members, s->set->host, s->set->region,
                        origin ? origin->connections_max : 0, s->model, version,
                        t && t->pieces ? t->pieces->len : 0);
}

uint64_t qr_sidecar_newest(const QRSidecar *s)
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

uint64_t qr_sidecar_held(const QRSidecar *s)
{
    for (unsigned i = s->targets ? s->targets->len : 0; i > 0; i--) {
        const QRTarget *t = s->targets->pdata[i - 1];

        if (qr_target_whole(t) || qr_sidecar_serves(s, t->version))
            return t->version;
    }
    return 0;
}

static void report_taken(QRSidecar *s, QREngineReport *new, bool reachable)
{
    bool news = s->report_ms == 0 || reachable != s->reachable ||
                new->version != s->report.version ||
                new->born_ms != s->report.born_ms;

    if (news)
        qr_logf(QR_LEVEL_INFO, "engine",
                "reports reachable=%d version=%" G_GUINT64_FORMAT
                " busy=%d sequence=%" G_GUINT64_FORMAT " active=%u",
                reachable, new->version, new->busy, new->sequence, new->active);
    /* it started anew: what lies staged must be looked at again */
    if (s->report_ms && (new->sequence < s->report.sequence ||
                         (new->born_ms && s->report.born_ms &&new->born_ms !=
                                              s->report.born_ms)))
        qr_stage_forget(s);
    qr_engine_report_clear(&s->report);
    s->report = *new;
    s->reachable = reachable;
    s->report_ms = MAX(qr_sidecar_now(s), 1);
    /* a report from before the order says nothing of it */
    if (s->switching && !s->announced_ms && !s->order_call && !new->busy &&
        s->report_asked_ms > s->order_answered_ms) {
        s->switching = false;
        news = true;
    }
    if (news)
        qr_sidecar_tell_state(s, true);
}

static void report_done(void *owner, unsigned ref, const QRBufferedAnswer *a)
{
    QRSidecar *s = owner;
    QREngineReport new = {0};
    g_auto(QRFindings) f = {0};
    bool was_unreadable = s->report_unreadable;

    (void)ref;
    s->report_call = NULL;
    if (a->status == 0) {
        report_taken(s, &new, false);
        return;
    }
    if (a->status != 200)
        return;
    qr_findings_init(&f, "report");
    s->report_unreadable =
        s->platform->parse_report(a->data, a->len, &new, &f) != 0;
    if (!s->report_unreadable) {
        report_taken(s, &new, true);
        return;
    }
    qr_engine_report_clear(&new);
    if (!was_unreadable)
        qr_logf(QR_LEVEL_WARN, "engine", "unreadable report finding=%s",
                (char *)f.lines->pdata[0]);
}

static void report_ask(QRSidecar *s, uint64_t now)
{
    g_autofree char *path = s->platform->report_path();
    QRBufferedRequest r = {0};

    r.address = s->set->engine;
    r.method = "GET";
    r.path = path;
    r.connect_ms = CONNECT_MS;
    r.timeout_ms = REPORT_TIMEOUT_MS;
    s->report_next_ms = now + (s->switching ? REPORT_BUSY_MS : REPORT_MS);
    s->report_asked_ms = now;
    s->report_call = qr_buffered_send(s->to_engine, &r, report_done, s, 0);
}

static void operator_record(void *owner, const QRStoreRecord *r)
{
    QRSidecar *s = owner;
    uint64_t now = qr_sidecar_now(s);
    uint64_t gap = qr_follower_gap_ms(s->follow_operator);
    /* the gateway that we followed told what it heard as it heard it */
    uint64_t age = MIN(gap, now - s->told_ms);

    if (qr_operator_is_empty(&s->operator))
        age = QR_AGE_UNKNOWN_MS;
    qr_operator_take(&s->operator, r, MIN(age, QR_AGE_UNKNOWN_MS), now);
}

static void operator_news(void *owner, const QRStoreRecord *r)
{
    (void)r;
    qr_weights_retarget(owner);
}

static void operator_went_back(void *owner, uint64_t epoch)
{
    (void)owner;
    (void)epoch; /* versions that the store has lost stay named */
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
    operator_record, operator_went_back, operator_listed, operator_reached};

/*
 * The gateway that we follow tells us what concerns us. What the store would
 * send is many times as long, and crosses regions: it is read only once we have
 * followed none for a while. One that knows no configuration hears of it from
 * others as soon as any does; were all sidecars to read for themselves then,
 * the store's return would find them all asking for everything.
 */
static void choose_reading(QRSidecar *s, uint64_t now)
{
    bool reads;

    if (s->followed)
        s->followed_ms = now;
    reads = now >= s->followed_ms + ALONE_MS;
    if (reads == s->reads_store)
        return;
    s->reads_store = reads;
    qr_logf(QR_LEVEL_INFO, "store", "%s alone_ms=%" G_GUINT64_FORMAT,
            reads ? "read by ourselves" : "heard from a gateway",
            now - s->followed_ms);
    qr_follower_pause(s->follow_operator, !reads);
}

static void sidecar_tick(uv_timer_t *timer)
{
    QRSidecar *s = timer->data;
    uint64_t now = qr_sidecar_now(s);
    uint64_t gap = qr_ticks_stall_ms(&s->ticks, now, STOOD_STILL_MS);

    if (gap > 0) {
        qr_logf(QR_LEVEL_WARN, "sidecar", "stood still ms=%" G_GUINT64_FORMAT,
                gap);
        return; /* what came meanwhile is read first */
    }
    qr_client_tick(s->to_engine, now);
    qr_client_tick(s->to_origin, now);
    qr_client_tick(s->to_store, now);
    if (!s->report_call && now >= s->report_next_ms)
        report_ask(s, now);
    qr_weights_tick(s, now);
    qr_weights_upload(s, now);
    qr_stage_tick(s, now);
    if (now < s->slow_tick_ms)
        return;
    s->slow_tick_ms = now + SLOW_TICK_MS;
    qr_peers_tick(s->peers, now);
    qr_sidecar_peers_tick(s);
    choose_reading(s, now);
    qr_follower_tick(s->follow_operator, now);
    qr_sidecar_tell_state(s, false);
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
    qr_logf(QR_LEVEL_INFO, "sidecar", "reload: nothing here may change");
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
        "quayring_sidecar_serving_version %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_target_version %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_granted_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_denied_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_yielded_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_paced_total %" G_GUINT64_FORMAT "\n"
        "quayring_sidecar_slots_rested_total %" G_GUINT64_FORMAT "\n",
        s->origin_bytes, s->peer_pieces, s->orders, s->report.version,
        qr_sidecar_newest(s), s->slots.granted, s->slots.denied,
        s->slots.yielded, s->slots.paced, s->slots.rested);
    qr_traffic_append_metrics(qr_peers_traffic(s->peers), text);
    qr_exchange_reply(x, 200, NULL, text->str, text->len);
}

static void metrics_gone(void *owner, QRExchange *x, const char *why)
{
    (void)owner;
    (void)why;
    (void)x; /* answered at once */
}

static const QRServerHandlers metrics_handlers = {metrics_request,
                                                  metrics_gone};

/* This process stands among the members that sources are chosen from. */
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
    s->gateways = g_ptr_array_new();
    g_queue_init(&s->uploads);
    s->sent = qr_upload_sent_new();
    s->waiters = g_array_new(FALSE, FALSE, sizeof(QRWaiter));
    qr_operator_init(&s->operator, s->platform, operator_news, s);
    qr_members_init(&s->members);
    qr_slots_init(&s->slots);
    sidecar_add_self(s);
}

static void sidecar_connect(QRSidecar *s)
{
    QRFollowerOptions operator= {
        .topic = QR_TOPIC_OPERATOR,
        .address = s->set->store,
        .wait_ms = STORE_WAIT_MS,
        .timeout_ms = STORE_TIMEOUT_MS,
    };

    s->to_engine = qr_client_new(s->loop, s->platform->headers.call_id);
    s->to_origin = qr_client_new(s->loop, s->platform->headers.call_id);
    s->to_store = qr_client_new(s->loop, s->platform->headers.call_id);
    s->follow_operator = qr_follower_new(s->to_store, s->platform,
                                         &operator, & operator_handlers, s);
    qr_follower_pause(s->follow_operator, true);
    s->followed_ms = qr_sidecar_now(s);
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
    qr_buffered_cancel(s->report_call);
    qr_buffered_cancel(s->order_call);
    qr_follower_free(s->follow_operator);
    qr_client_close(s->to_engine);
    qr_client_close(s->to_origin);
    qr_client_close(s->to_store);
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
    g_ptr_array_unref(s->gateways);
    g_array_unref(s->waiters);
    g_array_unref(s->sent);
    g_queue_clear_full(&s->uploads, g_free);
    qr_operator_clear(&s->operator);
    qr_members_clear(&s->members);
    qr_slots_clear(&s->slots);
}

int qr_sidecar_run(const char *settings_file, QRFleetSettings *set)
{
    QRSidecar s;
    g_autoptr(GError) err = NULL;

    sidecar_init(&s, settings_file, set);
    qr_log_start_bounded(set->host, (int)set->log_level);
    qr_log_failures();
    /* before it listens: who reaches it may also signal it */
    sidecar_signals(&s);
    s.peers =
        qr_peers_new(s.loop, set->peers, &qr_sidecar_peer_handlers, &s, &err);
    if (s.peers && set->metrics)
        s.metrics =
            qr_server_new(s.loop, set->metrics, &metrics_handlers, &s, &err);
    if (err) {
        qr_logf(QR_LEVEL_ERROR, "sidecar", "cannot start why=%s", err->message);
        qr_log_stop();
        return EXIT_FAILURE;
    }
    sidecar_connect(&s);
    uv_timer_init(s.loop, &s.timer);
    s.timer.data = &s;
    uv_timer_start(&s.timer, sidecar_tick, 0, TICK_MS);
    qr_logf(QR_LEVEL_INFO, "sidecar",
            "started version=%s engine=%s zone=%s "
            "incarnation=%016" G_GINT64_MODIFIER "x",
            QR_VERSION, set->engine, set->availability_zone, s.incarnation);
    uv_run(s.loop, UV_RUN_DEFAULT);
    sidecar_clear(&s);
    qr_log_stop();
    return EXIT_SUCCESS;
}
