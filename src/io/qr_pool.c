/*
 * Threads for work that blocks.
 */
#include "qr_pool.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

struct QRPool {
    char *name;
    pthread_mutex_t lock;
    pthread_cond_t more;
    GQueue jobs;
    bool closing;
    unsigned n;
    pthread_t *threads;
    void (*run)(void *ctx, void *job);
    void *ctx;
};

static void *pool_main(void *arg)
{
    QRPool *p = arg;

    for (;;) {
        void *job;

        pthread_mutex_lock(&p->lock);
        while (!p->closing && g_queue_is_empty(&p->jobs))
            pthread_cond_wait(&p->more, &p->lock);
        job = p->closing ? NULL : g_queue_pop_head(&p->jobs);
        pthread_mutex_unlock(&p->lock);
        if (!job)
            return NULL;
        p->run(p->ctx, job);
    }
}

QRPool *qr_pool_new(const char *name, unsigned threads,
                    void (*run)(void *ctx, void *job), void *ctx)
{
    QRPool *p = g_new0(QRPool, 1);

    p->name = g_strdup(name);
    p->run = run;
    p->ctx = ctx;
    pthread_mutex_init(&p->lock, NULL);
    pthread_cond_init(&p->more, NULL);
    g_queue_init(&p->jobs);
    p->threads = g_new0(pthread_t, threads);
    for (unsigned i = 0; i < threads; i++) {
        if (pthread_create(&p->threads[p->n], NULL, pool_main, p) == 0)
            p->n++;
    }
    if (p->n == 0)
        g_error("no thread for the pool %s could be started", name);
    return p;
}

void qr_pool_add(QRPool *p, void *job)
{
    pthread_mutex_lock(&p->lock);
    g_queue_push_tail(&p->jobs, job);
    pthread_cond_signal(&p->more);
    pthread_mutex_unlock(&p->lock);
}

void qr_pool_free(QRPool *p, void (*drop)(void *job))
{
    if (!p)
        return;
    pthread_mutex_lock(&p->lock);
    p->closing = true;
    pthread_cond_broadcast(&p->more);
    pthread_mutex_unlock(&p->lock);
    for (unsigned i = 0; i < p->n; i++)
        pthread_join(p->threads[i], NULL);
    g_queue_clear_full(&p->jobs, drop);
    pthread_cond_destroy(&p->more);
    pthread_mutex_destroy(&p->lock);
    g_free(p->threads);
    g_free(p->name);
    g_free(p);
}
