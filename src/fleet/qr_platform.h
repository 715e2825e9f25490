/*
 * Interface to a platform: the table of header names, formats and request paths
 * of the systems that surround the product. Platforms only encode and decode;
 * all decisions are made elsewhere.
 */
#ifndef QR_PLATFORM_H
#define QR_PLATFORM_H

#include "net/qr_headers.h"
#include "qr_engines.h"
#include "qr_policy.h"
#include "qr_position.h"

/* Header fields between callers, gateways and engines. */
typedef struct QRHeaderNames {
    const char *call_id;        /* identifies one attempt of a caller */
    const char *deadline_ms;    /* remaining time of the caller, in ms */
    const char *key;            /* API key of the caller's team */
    const char *team;           /* team name, sent to the engine */
    const char *expect_engine;  /* engine id; other engines refuse */
    const char *expect_version; /* of weights; others are refused */
    const char *not_run;        /* response: call was certainly not run */
    const char *signature;      /* marks an answer of an engine itself */
    const char *priority;       /* 0 is the most urgent */
    const char *usage;          /* "tokens in,most tokens out" */
    const char *length_hint;    /* the caller's guess of the tokens out */
    const char *last_event;     /* id from which a stream resumes */
} QRHeaderNames;

/* A part of a prompt, as a caller names it. The same part has the same id in
   all prompts, whatever else they hold. */
typedef struct QRPromptPart {
    const char *id; /* hexadecimal digits, not NUL-terminated; borrowed */
    size_t id_len;
} QRPromptPart;

/* Topics of the store. The store keeps the newest record of each key. */
typedef enum QRTopic {
    QR_TOPIC_OPERATOR, /* configuration, versions of weights */
    QR_TOPIC_ENGINES,  /* records that engines write of themselves */
    QR_TOPIC_HELD,     /* held suspects, written by gateways */
    QR_TOPIC_COUNT
} QRTopic;

/* One record of a topic. An empty value means that the key was deleted. */
typedef struct QRStoreRecord {
    char *key;
    GBytes *value;
    QRPosition position;
} QRStoreRecord;

void qr_store_record_free(void *record);

/* Decoded response of the store to a read or a listing. */
typedef struct QRStorePage {
    GPtrArray *records; /* QRStoreRecord *, epoch not set */
    uint64_t end;       /* one past the offset of the topic's newest record */
    bool more;          /* of a listing: another page follows */
    bool expired;       /* of a read: the requested offset is no longer kept */
} QRStorePage;

void qr_store_page_clear(QRStorePage *page);

/* Content of an operator's record. */
typedef enum QROperatorKind {
    QR_OPERATOR_OTHER,
    QR_OPERATOR_POLICY,
    QR_OPERATOR_WEIGHTS,
    QR_OPERATOR_EVACUATION, /* of an availability zone, until deleted */
} QROperatorKind;

/* A caller's question for addresses of gateways. Fields that the caller left
   out are NULL. */
typedef struct QRDirectoryQuery {
    char *host;   /* that the caller is going to call */
    char *region; /* of the caller */
} QRDirectoryQuery;

void qr_directory_query_clear(QRDirectoryQuery *q);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRDirectoryQuery, qr_directory_query_clear)

typedef struct QRManifest {
    char *model;
    uint64_t version;
    uint32_t chunk_bytes;
    unsigned layers;
    GPtrArray *digests; /* SHA-256 in hex */
} QRManifest;

void qr_manifest_free(QRManifest *m);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRManifest, qr_manifest_free)

/* State that an engine reports of itself. */
typedef struct QREngineReport {
    char *model;       /* NULL: none */
    uint64_t version;  /* fully loaded version; 0: none or incomplete */
    bool busy;         /* an order is under way */
    uint64_t sequence; /* of the last order accepted */
    uint64_t born_ms;  /* start of this engine process, Unix time; 0: unknown */
    unsigned active, queued;
    double pace;       /* 1: normal, 2: half as fast; 0: unknown */
    bool pace_invalid; /* it states a pace that is no plausible number */
} QREngineReport;

void qr_engine_report_clear(QREngineReport *r);

/* Names, formats and parsers of one platform. */
typedef struct QRPlatform {
    const char *name;
    QRHeaderNames headers;
    uint64_t first_version; /* of weights, until the operator names one */

    /* Request paths. The caller of these functions frees them. */
    char *(*list_path)(QRTopic topic, const char *after_key);
    char *(*read_path)(QRTopic topic, uint64_t offset, unsigned wait_ms);
    /* Path that writes a record; sets '*body', which the caller unrefs. */
    char *(*put_path)(QRTopic topic, const char *key, GBytes *value,
                      GBytes **body);
    /* Decode a response into 'page'; return -1 if it is malformed. */
    int (*parse_list)(unsigned status, const char *data, size_t len,
                      QRStorePage *page);
    int (*parse_read)(unsigned status, const char *data, size_t len,
                      uint64_t offset, QRStorePage *page);

    /*
     * Epoch of the store, which rises when the store is restored without its
     * latest records. Returns 0 if the response names none, and adds a finding
     * if its epoch is malformed.
     */
    uint64_t (*parse_epoch)(const QRHeaders *headers, QRFindings *f);

    /* Delay before the next request that a response of the store or of a weight
   origin asks for, in ms; 0: none. */
    uint64_t (*parse_retry_delay_ms)(unsigned status, const QRHeaders *headers);

    QROperatorKind (*operator_kind)(const char *key);
    /* Zone that a record of kind QR_OPERATOR_EVACUATION names; part of 'key'.
     */
    const char *(*evacuated_zone)(const char *key);
    /* Returns NULL if the record is not a valid configuration. */
    QRPolicy *(*parse_policy)(const char *data, size_t len, QRFindings *f);
    int (*parse_weights)(const char *data, size_t len, char **model,
                         uint64_t *version);
    /* Returns NULL and adds findings if the engine record is invalid. */
    QREngineRecord *(*parse_engine)(const char *id, const char *data,
                                    size_t len, QRFindings *f);

    /* Reads what an engine's response headers say about the engine. */
    void (*parse_notice)(unsigned status, const QRHeaders *headers,
                         QRAnswerNotice *notice);

    /* Appends a QRPromptPart for each part of a request's prompt that other
       requests may share: all but the last, which is the request's own.
       Malformed entries are left out. The parts are valid as long as
       'headers'. */
    void (*parse_shared_parts)(const QRHeaders *headers, GArray *parts);

    /* Directory: tells callers the addresses of gateways. */
    bool (*is_directory)(const char *target);
    char *(*directory_answer)(const GPtrArray *addresses, unsigned ttl_s);
    bool (*is_ready)(const char *target);
    /* Fills 'q', which the caller clears. */
    void (*parse_directory_query)(const char *target, QRDirectoryQuery *q);

    /* Weights. */
    char *(*manifest_path)(const char *model, uint64_t version);
    QRManifest *(*parse_manifest)(const char *data, size_t len);
    char *(*piece_path)(const char *model, uint64_t version, unsigned index);
    char *(*stage_path)(const char *model, unsigned index, bool put);
    char *(*staged_list_path)(const char *model);
    char *(*report_path)(void);
    /* Returns -1 and adds findings if the report is invalid. */
    int (*parse_report)(const char *data, size_t len, QREngineReport *r,
                        QRFindings *f);
    char *(*order_path)(void);
    /* 'abort_running': requests under way are aborted, not awaited. */
    char *(*start_order)(const char *model, uint64_t version, uint64_t sequence,
                         bool abort_running);
} QRPlatform;

/*
 * Delay in ms before the next request that a response of the store or of a
 * weight origin asks for, capped: a longer delay would make this process learn
 * late of records written after the server has recovered.
 */
uint64_t qr_platform_retry_delay_ms(const QRPlatform *p, unsigned status,
                                    const QRHeaders *headers);

/* Returns the platform of that name, or NULL. Defined in platform/. */
const QRPlatform *qr_platform_find(const char *name);

#endif
