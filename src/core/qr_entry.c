/*
 * The entry's reducer: dispatch of events, time, and the planned stop.
 */
#include "qr_entry.h"
#include "qr_rollout.h"
#include "qr_route.h"

#include <string.h>

QREntry *qr_entry_new(const QRSettings *set, uint64_t now_ms)
{
    QREntry *s = g_new0(QREntry, 1);

    s->set = set;
    s->config = qr_config_new();
    s->route = qr_route_by_name(QR_ROUTE_DEFAULT);
    s->backends = g_ptr_array_new_with_free_func(qr_backend_free);
    s->backend_by_host = g_hash_table_new(g_str_hash, g_str_equal);
    s->rollouts = g_ptr_array_new_with_free_func(qr_entry_rollout_free);
    s->peers = g_ptr_array_new_with_free_func(qr_peer_free);
    s->queues = g_ptr_array_new_with_free_func(qr_queue_free);
    s->shares = g_ptr_array_new_with_free_func(qr_share_free);
    s->recent = g_queue_new();
    s->listed_leaving =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->retiring = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    qr_table_init(&s->calls);
    qr_table_init(&s->confirms);
    s->started_ms = s->now_ms = now_ms;
    s->snapshot_seen_ms = now_ms;
    return s;
}

void qr_entry_free(QREntry *s)
{
    if (!s)
        return;
    qr_table_clear(&s->calls, qr_call_free);
    qr_table_clear(&s->confirms, qr_confirm_free);
    g_hash_table_unref(s->backend_by_host);
    g_ptr_array_unref(s->rollouts);
    g_ptr_array_unref(s->backends);
    g_ptr_array_unref(s->peers);
    g_ptr_array_unref(s->queues);
    g_ptr_array_unref(s->shares);
    g_queue_free_full(s->recent, (GDestroyNotify)g_bytes_unref);
    g_hash_table_unref(s->listed_leaving);
    g_hash_table_unref(s->retiring);
    qr_config_free(s->config);
    g_free(s);
}

QRBackend *qr_entry_backend(const QREntry *s, const char *host)
{
    return g_hash_table_lookup(s->backend_by_host, host);
}

QRBackend *qr_entry_backend_of_conn(const QREntry *s, QRHandle conn)
{
    for (unsigned i = 0; i < s->backends->len; i++) {
        QRBackend *b = s->backends->pdata[i];

        if (b->conn == conn)
            return b;
    }
    return NULL;
}

bool qr_backend_alive(const QREntry *s, const QRBackend *b)
{
    return b->conn != QR_HANDLE_NONE && b->heard_ms > 0 &&
           s->now_ms - b->heard_ms < (uint64_t)s->set->lease_ms;
}

bool qr_backend_takes(const QREntry *s, const QRBackend *b)
{
    return qr_backend_alive(s, b) && !b->leaving && !b->listed_leaving &&
           s->now_ms >= b->full_until_ms && *b->manifest != '\0' &&
           b->stage != QR_STAGE_DRAINING && b->stage != QR_STAGE_SWITCHING;
}

uint32_t qr_backend_load(const QRBackend *b)
{
    uint32_t others =
        b->in_flight > b->handed_on ? b->in_flight - b->handed_on : 0;

    return others + b->open_calls;
}

static void entry_stop(QREntry *s, const QREvent *ev, QREffects *out)
{
    (void)ev;
    if (s->stop_at_ms)
        return;
    s->stop_at_ms = s->now_ms;
    s->announce_next_ms = 0;
    qr_effect_log(out, QR_LEVEL_INFO, "entry", "Stopping: %u calls are open.",
                  s->calls.count);
    qr_entry_publish(s, out);
}

/*
 * A stopping entry serves for longer than its addresses are valid in
 * callers' hands, then until nothing is in flight, bounded by a setting.
 */
static void entry_stop_tick(QREntry *s, QREffects *out)
{
    uint64_t since = s->now_ms - s->stop_at_ms;

    if (!s->stop_at_ms || s->exited)
        return;
    if (since >= (uint64_t)s->set->stop_bound_ms)
        qr_entry_calls_abandon(s, out);
    else if (s->calls.count > 0 ||
             since < (uint64_t)s->set->address_valid_ms * 5 / 4 ||
             s->now_ms - s->last_end_ms < (uint64_t)s->set->heartbeat_ms)
        return; /* the last answer must be out as well */
    s->exited = true;
    qr_effect_log(out, QR_LEVEL_INFO, "entry", "Stopped.");
    qr_effect(out, QR_EFFECT_EXIT, QR_HANDLE_NONE);
}

static void entry_tick(QREntry *s, const QREvent *ev, QREffects *out)
{
    (void)ev;
    qr_entry_log_tick(s, out);
    qr_entry_peers_tick(s, out);
    qr_entry_calls_tick(s, out);
    qr_entry_dispatch(s, out);
    entry_stop_tick(s, out);
}

typedef void EntryHandler(QREntry *s, const QREvent *ev, QREffects *out);

/* Events that concern an entry; DEF(event, handler). */
#define ENTRY_HANDLERS                                                         \
    DEF(TICK, entry_tick)                                                      \
    DEF(STOP, entry_stop)                                                      \
    DEF(LOG_READ, qr_entry_log_read)                                           \
    DEF(LOG_FAILED, qr_entry_log_failed)                                       \
    DEF(APPENDED, qr_entry_appended)                                           \
    DEF(HOSTS_READ, qr_entry_hosts)                                            \
    DEF(OPENED, qr_entry_opened)                                               \
    DEF(FRAME, qr_entry_frame)                                                 \
    DEF(CLOSED, qr_entry_closed)                                               \
    DEF(CALL, qr_entry_call)                                                   \
    DEF(CALLER_GONE, qr_entry_caller_gone)                                     \
    DEF(PLAN, qr_entry_plan)                                                   \
    DEF(CONFIRM, qr_entry_confirm)                                             \
    DEF(STATUS, qr_entry_status)

static EntryHandler *const entry_handlers[QR_EVENT_COUNT] = {
#define DEF(event, handler) [QR_EVENT_##event] = handler,
    ENTRY_HANDLERS
#undef DEF
};

void qr_entry_reduce(QREntry *s, const QREvent *ev, QREffects *out)
{
    s->now_ms = MAX(s->now_ms, ev->now_ms);
    s->wall_s = ev->wall_s;
    if (ev->type < QR_EVENT_COUNT && entry_handlers[ev->type])
        entry_handlers[ev->type](s, ev, out);
}
