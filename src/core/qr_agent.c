/*
 * The agent's reducer: dispatch of events, time, and the planned stop.
 */
#include "qr_agent.h"

#include <string.h>

QRAgent *qr_agent_new(const QRSettings *set, const char *start_name,
                      uint64_t now_ms)
{
    QRAgent *s = g_new0(QRAgent, 1);

    s->set = set;
    s->config = qr_config_new();
    s->start_name = g_strdup(start_name);
    s->incarnation = g_strdup_printf("%s.0", start_name);
    s->entries = g_ptr_array_new_with_free_func(qr_agent_entry_free);
    s->bulks = g_ptr_array_new_with_free_func(qr_bulk_free);
    s->takers = g_ptr_array_new_with_free_func(qr_taker_free);
    s->seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, qr_seen_free);
    s->seen_order = g_queue_new();
    qr_table_init(&s->runs);
    s->started_ms = s->now_ms = now_ms;
    s->active = g_strdup("");
    s->target = g_strdup("");
    s->why = g_strdup("");
    return s;
}

void qr_agent_free(QRAgent *s)
{
    if (!s)
        return;
    qr_table_clear(&s->runs, qr_run_free);
    g_queue_free(s->seen_order);
    g_hash_table_unref(s->seen);
    g_ptr_array_unref(s->entries);
    g_ptr_array_unref(s->bulks);
    g_ptr_array_unref(s->takers);
    qr_fetch_free(s->fetch);
    qr_fetch_free(s->previous);
    qr_config_free(s->config);
    g_free(s->start_name);
    g_free(s->incarnation);
    g_free(s->active);
    g_free(s->target);
    g_free(s->why);
    g_free(s);
}

bool qr_agent_is_engine(const QRAgent *s)
{
    return strcmp(s->set->kind, "engine") == 0;
}

bool qr_agent_leaving(const QRAgent *s)
{
    return s->stop_at_ms != 0 || s->listed_leaving;
}

const QRMember *qr_agent_member(const QRAgent *s)
{
    const QRMember *m = qr_config_member(s->config, s->incarnation);

    return m && m->retired == 0 ? m : NULL;
}

void qr_agent_set_text(char **to, const char *text)
{
    if (g_strcmp0(*to, text) != 0) {
        g_free(*to);
        *to = g_strdup(text);
    }
}

static void agent_stop(QRAgent *s, const QREvent *ev, QREffects *out)
{
    (void)ev;
    if (s->stop_at_ms)
        return;
    s->stop_at_ms = s->now_ms;
    qr_effect_log(out, QR_LEVEL_INFO, "agent", "Stopping: %u calls run.",
                  s->runs.count);
    qr_agent_heartbeat(s, out);
}

/* It stops when nothing runs and entries had time to hear of it. */
static void agent_stop_tick(QRAgent *s, QREffects *out)
{
    uint64_t since = s->now_ms - s->stop_at_ms;

    if (!s->stop_at_ms || s->exited)
        return;
    if (since < (uint64_t)s->set->stop_bound_ms &&
        (s->runs.count > 0 || s->now_ms - MAX(s->stop_at_ms, s->last_end_ms) <
                                  (uint64_t)s->set->heartbeat_ms))
        return; /* the last answer must be out as well */
    s->exited = true;
    qr_effect_log(out, QR_LEVEL_INFO, "agent",
                  "Stopped with %u calls unfinished.", s->runs.count);
    qr_effect(out, QR_EFFECT_EXIT, QR_HANDLE_NONE);
}

static void agent_tick(QRAgent *s, const QREvent *ev, QREffects *out)
{
    (void)ev;
    qr_agent_peers_tick(s, out);
    qr_agent_calls_tick(s);
    qr_agent_weights_step(s, out);
    agent_stop_tick(s, out);
}

typedef void AgentHandler(QRAgent *s, const QREvent *ev, QREffects *out);

/* Events that concern an agent; DEF(event, handler). */
#define AGENT_HANDLERS                                                         \
    DEF(TICK, agent_tick)                                                      \
    DEF(STOP, agent_stop)                                                      \
    DEF(HOSTS_READ, qr_agent_hosts)                                            \
    DEF(OPENED, qr_agent_opened)                                               \
    DEF(FRAME, qr_agent_frame)                                                 \
    DEF(PROGRESS, qr_agent_chunk_progress)                                     \
    DEF(SENT, qr_agent_chunk_sent)                                             \
    DEF(CLOSED, qr_agent_closed)                                               \
    DEF(MANIFEST_READ, qr_agent_manifest_read)                                 \
    DEF(CHUNK_READ, qr_agent_chunk_read)                                       \
    DEF(ORDER_DONE, qr_agent_order_done)                                       \
    DEF(ENGINE_STATE, qr_agent_engine_state)                                   \
    DEF(REPLY_DATA, qr_agent_reply_data)                                       \
    DEF(STATUS, qr_agent_metrics)                                              \
    DEF(CALL, qr_agent_not_served)                                             \
    DEF(PLAN, qr_agent_not_served)                                             \
    DEF(CONFIRM, qr_agent_not_served)                                          \
    DEF(REPLY_END, qr_agent_reply_end)

static AgentHandler *const agent_handlers[QR_EVENT_COUNT] = {
#define DEF(event, handler) [QR_EVENT_##event] = handler,
    AGENT_HANDLERS
#undef DEF
};

void qr_agent_reduce(QRAgent *s, const QREvent *ev, QREffects *out)
{
    QRStage before = s->stage;

    s->now_ms = MAX(s->now_ms, ev->now_ms);
    s->wall_s = ev->wall_s;
    if (ev->type >= QR_EVENT_COUNT || !agent_handlers[ev->type])
        return;
    agent_handlers[ev->type](s, ev, out);
    if (qr_agent_is_engine(s))
        qr_agent_switch_step(s, out);
    if (s->stage != before) {
        qr_effect_log(out, QR_LEVEL_INFO, "switch", "Now %s.",
                      qr_stage_text(s->stage));
        qr_agent_heartbeat(s, out);
    }
}
