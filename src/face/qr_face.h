/*
 * The faces towards the outside: one table of function pointers each.
 *
 * Nothing inward of a face knows a URL, a status code or a field's name. To
 * meet a new form of a platform, write a table and name it in qr_face_all().
 * Every function blocks, and runs on a thread of a pool.
 */
#ifndef QR_FACE_H
#define QR_FACE_H

#include "core/qr_event.h"
#include "core/qr_settings.h"
#include "io/qr_bucket.h"
#include "io/qr_queue.h"

#include <stdatomic.h>

typedef struct QRLogRecords {
    uint64_t first;     /* oldest that the log still has */
    uint64_t from;      /* offset of the first record here */
    GPtrArray *records; /* GBytes * */
} QRLogRecords;

typedef struct QRLogFace {
    int (*read)(const QRSettings *set, uint64_t from, QRLogRecords *out,
                GError **err);
    /* QR_ERROR_MAYBE_DONE if the record may have been appended */
    int (*append)(const QRSettings *set, const char *record, uint64_t *offset,
                  GError **err);
} QRLogFace;

typedef struct QRHostsFace {
    /* QRHost *, or NULL with the error set */
    GPtrArray *(*read)(const QRSettings *set, GError **err);
} QRHostsFace;

typedef struct QRStoreFace {
    GBytes *(*manifest)(const QRSettings *set, const char *id, GError **err);
} QRStoreFace;

typedef struct QROriginFace {
    /* paces what it reads by 'link' */
    GBytes *(*chunk)(const QRSettings *set, const char *hash, QRBucket *link,
                     GError **err);
} QROriginFace;

typedef struct QREngineFace {
    int (*load)(const QRSettings *set, const char *fence, const char *manifest,
                uint32_t index, GBytes *data, GError **err);
    int (*verify)(const QRSettings *set, const char *fence,
                  const char *manifest, GBytes *text, GError **err);
    int (*activate)(const QRSettings *set, const char *fence,
                    const char *manifest, GError **err);
    /* the active manifest, "" if none; NULL with the error set */
    char *(*active)(const QRSettings *set, GError **err);
} QREngineFace;

typedef struct QRRunRequest {
    const char *call_id;
    unsigned priority, deadline_ms;
    GBytes *body;
    atomic_bool *cancelled;
    void (*piece)(void *arg, const char *p, size_t len);
    void *arg;
} QRRunRequest;

/* An engine's or a plain service's side that runs calls. */
typedef struct QRBackendFace {
    /* QR_ERROR_IO if it surely did not run, QR_ERROR_MAYBE_DONE if it may */
    int (*run)(const QRSettings *set, const QRRunRequest *r, unsigned *status,
               char **manifest, GError **err);
} QRBackendFace;

typedef struct QRFront QRFront;

/* Callers and operators: the side that listens to them. */
typedef struct QRFrontFace {
    /* listens on 'address'; requests become events in 'queue' */
    QRFront *(*start)(const QRSettings *set, const char *address,
                      QREventQueue *queue, GError **err);
    void (*stop)(QRFront *f);
    /* carries out one of the ANSWER effects, from any thread */
    void (*answer)(QRFront *f, const QREffect *e);
    /* what address questions are answered with from now on */
    void (*publish)(QRFront *f, const char *text);
} QRFrontFace;

typedef struct QRFaces {
    const QRLogFace *log;
    const QRHostsFace *hosts;
    const QRStoreFace *store;
    const QROriginFace *origin;
    const QREngineFace *engine;
    const QRBackendFace *backend;
    const QRFrontFace *front;
} QRFaces;

/* The faces in use; the one place to change for another platform. */
void qr_face_all(const QRSettings *set, QRFaces *out);

extern const QRLogFace qr_log_http;
extern const QRHostsFace qr_hosts_http;
extern const QRStoreFace qr_store_http;
extern const QROriginFace qr_origin_http;
extern const QREngineFace qr_engine_http;
extern const QRBackendFace qr_engine_run_http;
extern const QRBackendFace qr_plain_run_http;
extern const QRFrontFace qr_front_http;

/* Shared by the HTTP faces. */
json_object *qr_face_get_json(const char *address, const char *path,
                              unsigned timeout_ms, GError **err);

#endif
