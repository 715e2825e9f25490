/*
 * A running process: a reducer, and the threads that carry its effects out.
 */
#include "qr_node.h"
#include "io/qr_http.h"
#include "io/qr_log.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

typedef void EffectRun(QRNode *n, const QREffect *e);

static void node_dial(QRNode *n, const QREffect *e)
{
    qr_net_dial(n->net, e->text, (QRLane)e->status);
}

static void node_send(QRNode *n, const QREffect *e)
{
    qr_net_send(n->net, e->ref, e->data, e->notify);
}

static void node_close(QRNode *n, const QREffect *e)
{
    qr_net_close(n->net, e->ref);
}

/* The connections' counters stand below the reducer's. */
static GBytes *node_with_net_metrics(const QRNode *n, GBytes *metrics)
{
    static const struct {
        const char *name, *help;
    } names[] = {
#define DEF(name, help) {#name, help},
        QR_NET_COUNTERS
#undef DEF
    };
    gsize len;
    const char *p = g_bytes_get_data(metrics, &len);
    GString *t = g_string_new_len(p, (gssize)len);

    for (unsigned i = 0; i < QR_NET_COUNTER_COUNT; i++)
        g_string_append_printf(t,
                               "# HELP quayring_%s_total %s\n"
                               "# TYPE quayring_%s_total counter\n"
                               "quayring_%s_total %" G_GUINT64_FORMAT "\n",
                               names[i].name, names[i].help, names[i].name,
                               names[i].name, qr_net_count(n->net, i));
    return g_string_free_to_bytes(t);
}

static void node_answer(QRNode *n, const QREffect *e)
{
    n->faces.front->answer(n->front, e);
}

static void node_metrics(QRNode *n, const QREffect *e)
{
    QREffect with = *e;

    with.type = QR_EFFECT_ANSWER;
    with.key = "text/plain; version=0.0.4";
    with.data = node_with_net_metrics(n, e->data);
    n->faces.front->answer(n->front, &with);
    g_bytes_unref(with.data);
}

static void node_publish(QRNode *n, const QREffect *e)
{
    n->faces.front->publish(n->front, e->text);
}

static void node_cancel(QRNode *n, const QREffect *e)
{
    qr_jobs_cancel(n, e->ref);
}

static void node_log(QRNode *n, const QREffect *e)
{
    (void)n;
    qr_log((QRLevel)e->status, e->key, e->text);
}

static void node_exit(QRNode *n, const QREffect *e)
{
    (void)e;
    n->exiting = true;
}

/* How each effect is carried out; DEF(effect, function). */
#define NODE_EFFECTS                                                           \
    DEF(READ_LOG, qr_jobs_add)                                                 \
    DEF(APPEND, qr_jobs_add)                                                   \
    DEF(READ_HOSTS, qr_jobs_add)                                               \
    DEF(DIAL, node_dial)                                                       \
    DEF(SEND, node_send)                                                       \
    DEF(CLOSE, node_close)                                                     \
    DEF(ANSWER_START, node_answer)                                             \
    DEF(ANSWER_DATA, node_answer)                                              \
    DEF(ANSWER_END, node_answer)                                               \
    DEF(ANSWER, node_answer)                                                   \
    DEF(METRICS, node_metrics)                                                 \
    DEF(PUBLISH, node_publish)                                                 \
    DEF(READ_MANIFEST, qr_jobs_add)                                            \
    DEF(READ_CHUNK, qr_jobs_add)                                               \
    DEF(LOAD_CHUNK, qr_jobs_add)                                               \
    DEF(VERIFY, qr_jobs_add)                                                   \
    DEF(ACTIVATE, qr_jobs_add)                                                 \
    DEF(READ_ENGINE, qr_jobs_add)                                              \
    DEF(RUN_CALL, qr_jobs_add)                                                 \
    DEF(CANCEL_CALL, node_cancel)                                              \
    DEF(LOG_LINE, node_log)                                                    \
    DEF(EXIT, node_exit)

static EffectRun *const effect_table[QR_EFFECT_COUNT] = {
#define DEF(effect, function) [QR_EFFECT_##effect] = function,
    NODE_EFFECTS
#undef DEF
};

static void node_reduce(QRNode *n, QREvent *ev)
{
    QREffects out;

    ev->now_ms = qr_now_ms();
    ev->wall_s = qr_wall_s();
    qr_effects_init(&out);
    if (n->entry)
        qr_entry_reduce(n->entry, ev, &out);
    else
        qr_agent_reduce(n->agent, ev, &out);
    for (unsigned i = 0; i < out.list->len; i++) {
        const QREffect *e = out.list->pdata[i];

        effect_table[e->type](n, e);
    }
    qr_effects_clear(&out);
    qr_event_free(ev);
}

static void node_loop(QRNode *n)
{
    uint64_t tick_ms = (uint64_t)n->set->tick_ms;
    uint64_t next_tick = qr_now_ms();

    while (!n->exiting) {
        QREvent *ev = qr_events_take(n->queue, next_tick);

        if (ev)
            node_reduce(n, ev);
        if (qr_now_ms() < next_tick)
            continue;
        node_reduce(n, qr_event_new(QR_EVENT_TICK));
        next_tick = qr_now_ms() + tick_ms;
    }
}

/* Waits for the signals of a planned stop, and makes events of them. */
static void *node_signals(void *arg)
{
    QRNode *n = arg;
    sigset_t set;
    int sig;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGUSR1);
    for (;;) {
        if (sigwait(&set, &sig) != 0 || sig == SIGUSR1)
            return NULL; /* the process ends */
        qr_events_post(n->queue, qr_event_new(QR_EVENT_STOP));
    }
}

static void node_block_signals(void)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/* A name that no earlier process on this host had. */
static char *node_start_name(const QRSettings *set)
{
    return g_strdup_printf("%s-%" G_GINT64_MODIFIER "x-%x", set->host,
                           qr_wall_s(), g_random_int());
}

static int node_start(QRNode *n, GError **err)
{
    bool agent = strcmp(n->set->role, "agent") == 0;
    g_autofree char *name = node_start_name(n->set);
    const char *address;

    n->queue = qr_events_new();
    qr_face_all(n->set, &n->faces);
    qr_bucket_init(&n->link_in, (uint64_t)n->set->link_bytes_per_s);
    qr_bucket_init(&n->link_out, (uint64_t)n->set->link_bytes_per_s);
    if (agent)
        n->agent = qr_agent_new(n->set, name, qr_now_ms());
    else
        n->entry = qr_entry_new(n->set, qr_now_ms());
    n->net = qr_net_new(n->set->listen, agent ? QR_LANE_BULK : QR_LANE_CONTROL,
                        (uint64_t)n->set->memory_mb << 20, &n->link_in,
                        &n->link_out, n->queue, err);
    if (!n->net)
        return -1;
    address = agent ? n->set->metrics : n->set->callers;
    if (address) {
        n->front = n->faces.front->start(n->set, address, n->queue, err);
        if (!n->front)
            return -1;
    }
    qr_jobs_start(n);
    return 0;
}

static void node_end(QRNode *n)
{
    if (n->platform)
        qr_jobs_stop(n);
    qr_net_free(n->net);
    if (n->front)
        n->faces.front->stop(n->front);
    qr_entry_free(n->entry);
    qr_agent_free(n->agent);
    qr_events_free(n->queue);
    qr_bucket_clear(&n->link_in);
    qr_bucket_clear(&n->link_out);
}

int qr_node_run(const QRSettings *set)
{
    g_autoptr(GError) err = NULL;
    QRNode n = {.set = set};
    pthread_t signals;
    int ret = EXIT_FAILURE;

    node_block_signals();
    signal(SIGPIPE, SIG_IGN);
    qr_log_start(set->host, (int)set->log_level);
    if (node_start(&n, &err)) {
        qr_log(QR_LEVEL_ERROR, "node", err->message);
        goto done;
    }
    if (pthread_create(&signals, NULL, node_signals, &n) != 0)
        goto done;
    qr_log(QR_LEVEL_INFO, "node", "Started.");
    node_loop(&n);
    pthread_kill(signals, SIGUSR1);
    pthread_join(signals, NULL);
    ret = EXIT_SUCCESS;
done:
    node_end(&n);
    qr_log_stop();
    return ret;
}
