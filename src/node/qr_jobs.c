/*
 * Effects that block: each is a job on the threads of a pool, and answers
 * with an event.
 */
#include "qr_node.h"

#include <string.h>

#define PLATFORM_THREADS 4
#define ORDER_THREADS 1 /* orders keep their order */

typedef struct Job {
    QREffectType type;
    QRHandle ref;
    uint64_t offset;
    char *text, *key;
    GBytes *data;
    uint32_t status, index, deadline_ms;
} Job;

typedef void JobRun(QRNode *n, const Job *j);

static void job_free(void *p)
{
    Job *j = p;

    g_free(j->text);
    g_free(j->key);
    g_clear_pointer(&j->data, g_bytes_unref);
    g_free(j);
}

static QREvent *job_event(const Job *j, QREventType type, const GError *err)
{
    QREvent *ev = qr_event_new(type);

    ev->ref = j->ref;
    ev->ok = err == NULL;
    ev->maybe = g_error_matches(err, QR_ERROR, QR_ERROR_MAYBE_DONE);
    return ev;
}

static void job_read_log(QRNode *n, const Job *j)
{
    g_autoptr(GError) err = NULL;
    QRLogRecords got = {0};
    QREvent *ev;

    n->faces.log->read(n->set, j->offset, &got, &err);
    ev = job_event(j, err ? QR_EVENT_LOG_FAILED : QR_EVENT_LOG_READ, err);
    ev->first = got.first;
    ev->offset = got.from;
    ev->records = got.records;
    qr_events_post(n->queue, ev);
}

static void job_append(QRNode *n, const Job *j)
{
    g_autoptr(GError) err = NULL;
    uint64_t offset = 0;
    QREvent *ev;

    n->faces.log->append(n->set, j->text, &offset, &err);
    ev = job_event(j, QR_EVENT_APPENDED, err);
    ev->offset = offset;
    qr_events_post(n->queue, ev);
}

static void job_read_hosts(QRNode *n, const Job *j)
{
    g_autoptr(GError) err = NULL;
    GPtrArray *hosts = n->faces.hosts->read(n->set, &err);
    QREvent *ev = job_event(j, QR_EVENT_HOSTS_READ, err);

    ev->hosts = hosts;
    qr_events_post(n->queue, ev);
}

static void job_give_bytes(QRNode *n, QREvent *ev, const Job *j, GBytes *data)
{
    gsize len;
    const void *p;

    ev->text = g_strdup(j->text);
    ev->index = j->index;
    ev->data = data;
    if (data) {
        p = g_bytes_get_data(data, &len);
        qr_sha256_hex(p, len, ev->digest);
    }
    qr_events_post(n->queue, ev);
}

static void job_read_manifest(QRNode *n, const Job *j)
{
    g_autoptr(GError) err = NULL;
    GBytes *data = n->faces.store->manifest(n->set, j->text, &err);

    job_give_bytes(n, job_event(j, QR_EVENT_MANIFEST_READ, err), j, data);
}

static void job_read_chunk(QRNode *n, const Job *j)
{
    g_autoptr(GError) err = NULL;
    GBytes *data = n->faces.origin->chunk(n->set, j->key, &n->link_in, &err);

    job_give_bytes(n, job_event(j, QR_EVENT_CHUNK_READ, err), j, data);
}

static void job_order(QRNode *n, const Job *j)
{
    const QREngineFace *engine = n->faces.engine;
    g_autoptr(GError) err = NULL;
    QREvent *ev;

    if (j->type == QR_EFFECT_LOAD_CHUNK)
        engine->load(n->set, j->key, j->text, j->index, j->data, &err);
    else if (j->type == QR_EFFECT_VERIFY)
        engine->verify(n->set, j->key, j->text, j->data, &err);
    else
        engine->activate(n->set, j->key, j->text, &err);
    ev = job_event(j, QR_EVENT_ORDER_DONE, err);
    ev->text = g_strdup(err ? err->message : j->text);
    qr_events_post(n->queue, ev);
}

static void job_read_engine(QRNode *n, const Job *j)
{
    g_autoptr(GError) err = NULL;
    char *active = n->faces.engine->active(n->set, &err);
    QREvent *ev = job_event(j, QR_EVENT_ENGINE_STATE, err);

    ev->text = active;
    qr_events_post(n->queue, ev);
}

typedef struct CallPieces {
    QRNode *n;
    QRHandle ref;
} CallPieces;

static void job_call_piece(void *arg, const char *p, size_t len)
{
    CallPieces *c = arg;
    QREvent *ev = qr_event_new(QR_EVENT_REPLY_DATA);

    ev->ref = c->ref;
    ev->data = g_bytes_new(p, len);
    qr_events_post(c->n->queue, ev);
}

static void job_mark_running(QRNode *n, QRHandle ref, atomic_bool *cancelled)
{
    pthread_mutex_lock(&n->lock);
    if (cancelled)
        g_hash_table_insert(n->running, g_memdup2(&ref, sizeof(ref)),
                            cancelled);
    else
        g_hash_table_remove(n->running, &ref);
    pthread_mutex_unlock(&n->lock);
}

static void job_run_call(QRNode *n, const Job *j)
{
    g_autoptr(GError) err = NULL;
    CallPieces pieces = {n, j->ref};
    atomic_bool cancelled = false;
    QRRunRequest r = {
        .call_id = j->text,
        .priority = j->status,
        .deadline_ms = j->deadline_ms,
        .body = j->data,
        .cancelled = &cancelled,
        .piece = job_call_piece,
        .arg = &pieces,
    };
    char *manifest = NULL;
    unsigned status = 0;
    QREvent *ev;

    job_mark_running(n, j->ref, &cancelled);
    n->faces.backend->run(n->set, &r, &status, &manifest, &err);
    job_mark_running(n, j->ref, NULL);
    ev = job_event(j, QR_EVENT_REPLY_END, err);
    ev->status = status;
    ev->text = manifest;
    qr_events_post(n->queue, ev);
}

/* Effects that block; DEF(effect, pool, function). */
#define JOBS                                                                   \
    DEF(READ_LOG, platform, job_read_log)                                      \
    DEF(APPEND, platform, job_append)                                          \
    DEF(READ_HOSTS, platform, job_read_hosts)                                  \
    DEF(READ_MANIFEST, platform, job_read_manifest)                            \
    DEF(READ_CHUNK, origin, job_read_chunk)                                    \
    DEF(LOAD_CHUNK, orders, job_order)                                         \
    DEF(VERIFY, orders, job_order)                                             \
    DEF(ACTIVATE, orders, job_order)                                           \
    DEF(READ_ENGINE, platform, job_read_engine)                                \
    DEF(RUN_CALL, calls, job_run_call)

static JobRun *const job_table[QR_EFFECT_COUNT] = {
#define DEF(effect, pool, function) [QR_EFFECT_##effect] = function,
    JOBS
#undef DEF
};

static void job_run(void *ctx, void *job)
{
    Job *j = job;

    job_table[j->type](ctx, j);
    job_free(j);
}

static QRPool *job_pool(const QRNode *n, QREffectType type)
{
    switch (type) {
#define DEF(effect, pool, function)                                            \
    case QR_EFFECT_##effect:                                                   \
        return n->pool;
        JOBS
#undef DEF
            default : return NULL;
    }
}

void qr_jobs_add(QRNode *n, const QREffect *e)
{
    Job *j = g_new0(Job, 1);

    j->type = e->type;
    j->ref = e->ref;
    j->offset = e->offset;
    j->text = g_strdup(e->text);
    j->key = g_strdup(e->key);
    j->data = e->data ? g_bytes_ref(e->data) : NULL;
    j->status = e->status;
    j->index = e->index;
    j->deadline_ms = e->retry_after_ms;
    qr_pool_add(job_pool(n, e->type), j);
}

void qr_jobs_cancel(QRNode *n, QRHandle call)
{
    atomic_bool *cancelled;

    pthread_mutex_lock(&n->lock);
    cancelled = g_hash_table_lookup(n->running, &call);
    if (cancelled)
        *cancelled = true;
    pthread_mutex_unlock(&n->lock);
}

void qr_jobs_start(QRNode *n)
{
    bool agent = n->agent != NULL;

    pthread_mutex_init(&n->lock, NULL);
    n->running =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    n->platform = qr_pool_new("platform", PLATFORM_THREADS, job_run, n);
    if (!agent)
        return;
    n->orders = qr_pool_new("orders", ORDER_THREADS, job_run, n);
    n->origin =
        qr_pool_new("origin", (unsigned)n->set->origin_window, job_run, n);
    n->calls = qr_pool_new("calls", (unsigned)n->set->slots, job_run, n);
}

static void job_cancel_one(void *key, void *value, void *arg)
{
    (void)key;
    (void)arg;
    *(atomic_bool *)value = true;
}

void qr_jobs_stop(QRNode *n)
{
    pthread_mutex_lock(&n->lock);
    g_hash_table_foreach(n->running, job_cancel_one, NULL);
    pthread_mutex_unlock(&n->lock);
    qr_pool_free(n->calls, job_free);
    qr_pool_free(n->origin, job_free);
    qr_pool_free(n->orders, job_free);
    qr_pool_free(n->platform, job_free);
    g_hash_table_unref(n->running);
    pthread_mutex_destroy(&n->lock);
}
