/*
 * Threads for work that blocks: one job a thread at a time.
 */
#ifndef QR_POOL_H
#define QR_POOL_H

typedef struct QRPool QRPool;

/* 'run' carries a job out and frees it. */
QRPool *qr_pool_new(const char *name, unsigned threads,
                    void (*run)(void *ctx, void *job), void *ctx);
/* 'job' is taken over. */
void qr_pool_add(QRPool *p, void *job);
/*
 * Waits for running jobs; those that wait are given to 'drop'.
 */
void qr_pool_free(QRPool *p, void (*drop)(void *job));

#endif
