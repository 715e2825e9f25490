/*
 * A token bucket: bytes that a link may carry, shared by threads.
 */
#ifndef QR_BUCKET_H
#define QR_BUCKET_H

#include <pthread.h>
#include <stdint.h>
#include <stddef.h>

typedef struct QRBucket {
    pthread_mutex_t lock;
    uint64_t rate;  /* bytes a second, 0: no limit */
    int64_t tokens; /* may fall below zero */
    uint64_t last_us;
} QRBucket;

void qr_bucket_init(QRBucket *b, uint64_t rate);
void qr_bucket_clear(QRBucket *b);
/* How many of 'want' bytes may pass now; they are taken. */
size_t qr_bucket_take(QRBucket *b, size_t want);
/* Gives back what was taken and not used. */
void qr_bucket_return(QRBucket *b, size_t n);
/* Takes 'n' bytes, sleeping until the link has carried them. */
void qr_bucket_wait(QRBucket *b, size_t n);

#endif
