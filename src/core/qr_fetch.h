/*
 * Fetching one version of the weights: chunk by chunk, from other agents or
 * from the origin, and what has come of it.
 */
#ifndef QR_FETCH_H
#define QR_FETCH_H

#include "qr_settings.h"
#include "qr_tree.h"

#define QR_CHUNKS_MAX 65536
#define QR_CHUNK_BYTES_MAX (4u << 20)
#define QR_SOURCE_NONE (-2) /* not asked of anybody */

typedef struct QRChunk {
    char hash[QR_SHA_HEX];
    GBytes *data; /* NULL until it is here and verified */
    int source;   /* place on the ring, QR_TREE_ORIGIN, or none */
    uint64_t asked_ms;
    bool loaded; /* the engine has it */
} QRChunk;

/* What is known of the host at a place on the ring. */
typedef struct QRSource {
    uint64_t passed_until_ms; /* it is passed over until then */
    uint64_t progress_ms;     /* last sign that it is at work for us */
    unsigned asked;           /* chunks asked of it and not here */
} QRSource;

typedef struct QRFetch {
    char *manifest;
    GBytes *text; /* of the manifest */
    QRChunk *chunks;
    unsigned n, have, loaded;
    QRTree tree;
    GPtrArray *hosts;  /* char *, the ring's own copy */
    QRSource *sources; /* by place */
    QRSource origin;
    unsigned origin_window;
    unsigned origin_failures; /* in a row */
    uint64_t stall_ms;
    uint64_t corrupt, stalls;
    uint64_t asked_ms; /* last time anything was asked of anybody */
} QRFetch;

/*
 * Reads a manifest {"chunk_bytes": n, "chunks": [hash, ...]} and prepares to
 * fetch it among 'hosts'. NULL with the error set if it is none.
 */
QRFetch *qr_fetch_new(const char *manifest, GBytes *text,
                      const GPtrArray *hosts, const char *self,
                      const char *objective, const QRSettings *set,
                      GError **err);
void qr_fetch_free(QRFetch *f);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRFetch, qr_fetch_free)

/* Takes over what 'old' has that this version shares. */
void qr_fetch_reuse(QRFetch *f, const QRFetch *old);

/* Called for each chunk that is to be asked of 'place' or the origin. */
typedef void QRFetchAsk(void *arg, int place, unsigned index);

/* Gives up stalled sources, and asks for what is not asked of anybody. */
void qr_fetch_step(QRFetch *f, uint64_t now_ms, QRFetchAsk *ask, void *arg);

/*
 * A chunk came from 'source' with this digest. Returns 1 if it is new and
 * right ('data' is then kept), 0 if it was here, -1 if it is corrupt.
 */
int qr_fetch_got(QRFetch *f, unsigned index, GBytes *data, const char *digest,
                 int source, uint64_t now_ms);
/* The source gave a sign of life without a chunk. */
void qr_fetch_progress(QRFetch *f, int place, uint64_t now_ms);
/* The source cannot be had: what was asked of it goes elsewhere. */
void qr_fetch_lost(QRFetch *f, int place, uint64_t now_ms);
/* A read of chunk 'index' from the origin failed. */
void qr_fetch_origin_failed(QRFetch *f, unsigned index, uint64_t now_ms);

/* Place on the ring of 'host', or QR_SOURCE_NONE. */
int qr_fetch_place(const QRFetch *f, const char *host);
bool qr_fetch_complete(const QRFetch *f);
/* Are our own sources at work? Then those who wait for us may wait on. */
bool qr_fetch_alive(const QRFetch *f, uint64_t now_ms);

#endif
