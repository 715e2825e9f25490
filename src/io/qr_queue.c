/*
 * The queue of events before a reducer.
 */
#include "qr_queue.h"

#include <pthread.h>
#include <time.h>

struct QREventQueue {
    pthread_mutex_t lock;
    pthread_cond_t more;
    GQueue events;
};

QREventQueue *qr_events_new(void)
{
    QREventQueue *q = g_new0(QREventQueue, 1);
    pthread_condattr_t attr;

    pthread_mutex_init(&q->lock, NULL);
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&q->more, &attr);
    pthread_condattr_destroy(&attr);
    g_queue_init(&q->events);
    return q;
}

void qr_events_free(QREventQueue *q)
{
    if (!q)
        return;
    g_queue_clear_full(&q->events, (GDestroyNotify)qr_event_free);
    pthread_cond_destroy(&q->more);
    pthread_mutex_destroy(&q->lock);
    g_free(q);
}

void qr_events_post(QREventQueue *q, QREvent *ev)
{
    pthread_mutex_lock(&q->lock);
    g_queue_push_tail(&q->events, ev);
    pthread_cond_signal(&q->more);
    pthread_mutex_unlock(&q->lock);
}

QREvent *qr_events_take(QREventQueue *q, uint64_t until_ms)
{
    struct timespec ts = {
        .tv_sec = (time_t)(until_ms / 1000),
        .tv_nsec = (long)(until_ms % 1000) * 1000000,
    };
    QREvent *ev;

    pthread_mutex_lock(&q->lock);
    while (g_queue_is_empty(&q->events) && qr_now_ms() < until_ms) {
        if (pthread_cond_timedwait(&q->more, &q->lock, &ts) != 0)
            break;
    }
    ev = g_queue_pop_head(&q->events);
    pthread_mutex_unlock(&q->lock);
    return ev;
}
