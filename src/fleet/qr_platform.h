/*
 * The one place where a platform's manner of speaking meets the product:
 * names, formats and calls, as a table. Nothing in a platform decides.
 */
#ifndef QR_PLATFORM_H
#define QR_PLATFORM_H

#include "net/qr_headers.h"
#include "qr_engines.h"
#include "qr_policy.h"
#include "qr_position.h"

/* Header fields between callers, gateways and engines. */
typedef struct QRHeaderNames {
    const char *call_id;        /* of one attempt of a caller */
    const char *deadline_ms;    /* what is left of the caller's time */
    const char *key;            /* of the caller's team */
    const char *team;           /* told to the engine */
    const char *expect_engine;  /* any other engine refuses */
    const char *expect_version; /* of weights; any other is refused */
    const char *not_run;        /* in an answer: surely not run */
    const char *signature;      /* an engine's own answer */
    const char *priority;       /* 0 first */
    const char *usage;          /* "tokens in,tokens out" */
    const char *last_event;     /* of a stream that is taken up again */
} QRHeaderNames;

/* Kinds of records that the store keeps, newest of each key. */
typedef enum QRTopic {
    QR_TOPIC_OPERATOR, /* configuration, named versions */
    QR_TOPIC_ENGINES,  /* engines' own records */
    QR_TOPIC_HELD,     /* requests that are held back; written by us */
    QR_TOPIC_COUNT
} QRTopic;

/* One record of a topic; an empty value says that the key is gone. */
typedef struct QRStoreRecord {
    char *key;
    GBytes *value;
    QRPosition position;
} QRStoreRecord;

void qr_store_record_free(void *record);

/* An answer of the store to a read. */
typedef struct QRStorePage {
    GPtrArray *records; /* QRStoreRecord *, epoch not set */
    uint64_t end;       /* offset behind the newest record of the topic */
    bool more;          /* of a listing: another page follows */
    bool lost;          /* of a read: what was asked for is no longer kept */
} QRStorePage;

void qr_store_page_clear(QRStorePage *page);

/* What an operator's record says. */
typedef enum QROperatorKind {
    QR_OPERATOR_OTHER,
    QR_OPERATOR_POLICY,
    QR_OPERATOR_WEIGHTS,
} QROperatorKind;

typedef struct QRManifest {
    char *model;
    uint64_t version;
    uint32_t chunk_bytes;
    unsigned layers;
    GPtrArray *digests; /* SHA-256 in hex */
} QRManifest;

void qr_manifest_free(QRManifest *m);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRManifest, qr_manifest_free)

/* What an engine says of itself. */
typedef struct QREngineReport {
    char *model;       /* NULL: none */
    uint64_t version;  /* whole; 0: none or in parts */
    bool busy;         /* an order is under way */
    uint64_t sequence; /* of orders taken */
    uint64_t born_ms;  /* start of this run of it, in Unix time; 0: not said */
    unsigned active, queued;
    double pace;
} QREngineReport;

void qr_engine_report_clear(QREngineReport *r);

/* A request to be sent: the first line and header fields but Host. */
typedef struct QRPlatform {
    const char *name;
    QRHeaderNames headers;
    uint64_t first_version; /* of weights, before the operator names any */

    /* Paths of requests. The caller frees them. */
    char *(*list_path)(QRTopic topic, const char *after_key);
    char *(*read_path)(QRTopic topic, uint64_t offset, unsigned wait_ms);
    /* A record to be put; 'body' is set. */
    char *(*put_path)(QRTopic topic, const char *key, GBytes *value,
                      GBytes **body);
    /* Each returns -1 if the answer cannot be understood. */
    int (*parse_list)(unsigned status, const char *data, size_t len,
                      QRStorePage *page);
    int (*parse_read)(unsigned status, const char *data, size_t len,
                      uint64_t offset, QRStorePage *page);

    /*
     * Which history of its records the store answers from: rises when it comes
     * back without the last ones. 0: the answer does not say, with a finding if
     * it should.
     */
    uint64_t (*parse_epoch)(const QRHeaders *headers, QRFindings *f);

    /* For how long an answer of the store or of an origin of weights wants no
       more from us, in ms; 0: it does not say. */
    uint64_t (*parse_rest)(unsigned status, const QRHeaders *headers);

    QROperatorKind (*operator_kind)(const char *key);
    /* NULL if the record is not a configuration. */
    QRPolicy *(*parse_policy)(const char *data, size_t len, QRFindings *f);
    int (*parse_weights)(const char *data, size_t len, char **model,
                         uint64_t *version);
    /* NULL, with findings, if the record is none of an engine. */
    QREngineRecord *(*parse_engine)(const char *id, const char *data,
                                    size_t len, QRFindings *f);

    /* What the head of an engine's answer says of the engine. */
    void (*parse_notice)(unsigned status, const QRHeaders *headers,
                         QRAnswerNotice *notice);

    /* Answers to callers that ask where to go. */
    bool (*is_directory)(const char *target);
    char *(*directory_answer)(const GPtrArray *addresses, unsigned ttl_s);
    bool (*is_ready)(const char *target);
    /* The caller's zone in a directory request, or NULL. The caller frees. */
    char *(*directory_zone)(const char *target);

    /* Weights. */
    char *(*manifest_path)(const char *model, uint64_t version);
    QRManifest *(*parse_manifest)(const char *data, size_t len);
    char *(*piece_path)(const char *model, uint64_t version, unsigned index);
    char *(*stage_path)(const char *model, unsigned index, bool put);
    char *(*staged_list_path)(const char *model);
    char *(*report_path)(void);
    /* -1, with findings, if that is none. */
    int (*parse_report)(const char *data, size_t len, QREngineReport *r,
                        QRFindings *f);
    char *(*order_path)(void);
    /* 'cut': what still runs there is broken off, not waited for */
    char *(*start_order)(const char *model, uint64_t version, uint64_t sequence,
                         bool cut);
} QRPlatform;

/*
 * The rest that an answer of the store or of an origin asks for, in ms, as far
 * as it is kept: longer, and what is written there once it is well would be
 * known late.
 */
uint64_t qr_platform_rest(const QRPlatform *p, unsigned status,
                          const QRHeaders *headers);

/* The platform that settings name, or NULL. Defined in platform/. */
const QRPlatform *qr_platform_find(const char *name);

#endif
