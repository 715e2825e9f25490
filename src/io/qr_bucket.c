/*
 * A token bucket: bytes that a link may carry, shared by threads.
 */
#include "qr_bucket.h"

#include <glib.h>
#include <time.h>

#define BURST_MIN 65536
#define BURST_PER_S 50 /* the bucket holds a fiftieth of a second */

static uint64_t bucket_now_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

void qr_bucket_init(QRBucket *b, uint64_t rate)
{
    pthread_mutex_init(&b->lock, NULL);
    b->rate = rate;
    b->tokens = 0;
    b->last_us = bucket_now_us();
}

void qr_bucket_clear(QRBucket *b)
{
    pthread_mutex_destroy(&b->lock);
}

static void bucket_fill(QRBucket *b)
{
    int64_t burst = (int64_t)MAX(b->rate / BURST_PER_S, BURST_MIN);
    uint64_t now = bucket_now_us();
    uint64_t more = (now - b->last_us) * b->rate / 1000000;

    if (more == 0)
        return; /* keep the fraction */
    b->last_us = now;
    b->tokens = MIN(b->tokens + (int64_t)more, burst);
}

size_t qr_bucket_take(QRBucket *b, size_t want)
{
    size_t got = want;

    if (b->rate == 0)
        return want;
    pthread_mutex_lock(&b->lock);
    bucket_fill(b);
    got = b->tokens > 0 ? MIN(want, (size_t)b->tokens) : 0;
    b->tokens -= (int64_t)got;
    pthread_mutex_unlock(&b->lock);
    return got;
}

void qr_bucket_return(QRBucket *b, size_t n)
{
    if (b->rate == 0 || n == 0)
        return;
    pthread_mutex_lock(&b->lock);
    b->tokens += (int64_t)n;
    pthread_mutex_unlock(&b->lock);
}

void qr_bucket_wait(QRBucket *b, size_t n)
{
    int64_t debt;

    if (b->rate == 0)
        return;
    pthread_mutex_lock(&b->lock);
    bucket_fill(b);
    b->tokens -= (int64_t)n;
    debt = -b->tokens;
    pthread_mutex_unlock(&b->lock);
    if (debt > 0)
        g_usleep((gulong)((uint64_t)debt * 1000000 / b->rate));
}
