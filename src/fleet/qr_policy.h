/*
 * The operator's configuration for calls: routes, services, teams, limits.
 * A policy is immutable once finalized and is replaced by a newer one.
 */
#ifndef QR_POLICY_H
#define QR_POLICY_H

#include "base/qr_base.h"

typedef enum QRRouteKind {
    QR_ROUTE_SAFE,   /* may run more than once */
    QR_ROUTE_UNSAFE, /* runs at most once per attempt of a caller */
    QR_ROUTE_STREAM, /* event stream; may rerun only if resumable */
} QRRouteKind;

/* Share of a route's calls that goes to one service. */
typedef struct QRRouteShare {
    char *service;
    unsigned weight;
} QRRouteShare;

typedef struct QRPolicyRoute {
    char *name, *host, *prefix;
    QRRouteKind kind;
    uint32_t timeout_ms;
    uint32_t event_gap_ms; /* longest time between events; 0: not stated */
    unsigned attempts_max, priority;
    bool keyless;               /* calls need no API key */
    bool resume;                /* a stream may resume at another engine */
    GArray *shares;             /* QRRouteShare */
    GPtrArray *allowed_regions; /* char *: calls may run only there; NULL: in
                                   every region */
} QRPolicyRoute;

/* Size and speed of a service's engines, as configured by the operator. */
typedef struct QREngineModel {
    char *model; /* NULL: the service has no weights */
    unsigned slots, chunks, layers;
    uint32_t chunk_bytes;
    double step_ms, per_sequence_ms, read_per_s;
    uint64_t memory_tokens; /* of all calls at one engine; 0: unknown */
    /* Token steps between two admissions of queued calls. */
    unsigned admission_interval_steps;
    double typical_prompt_tokens, typical_answer_tokens; /* per call */
    uint32_t warmup_ms;
} QREngineModel;

typedef struct QRService {
    char *name;
    char *origin; /* ip:port of a weight origin, or NULL */
    unsigned connections_max;
    double origin_bytes_per_ms; /* that a weight origin can send; 0: unknown */
    double cold_per_s;          /* requests that a cold engine bears, from all
                                   gateways together; 0: as many as a warm one */
    uint32_t event_gap_ms;      /* least among its routes; 0: none */
    QREngineModel engine;
} QRService;

typedef struct QRPolicyTeam {
    char *name;
    unsigned priority;
    GPtrArray *keys;            /* char * */
    GPtrArray *allowed_regions; /* as in QRPolicyRoute */
} QRPolicyTeam;

typedef struct QRPolicy {
    uint64_t version;
    GPtrArray *routes;      /* QRPolicyRoute *, owned */
    GHashTable *hosts;      /* lower-case host name -> GPtrArray of
                               QRPolicyRoute *, longest prefix first */
    GHashTable *services;   /* name -> QRService * */
    uint64_t services_hash; /* of the fields that sidecars use */
    GBytes *for_sidecars; /* the record without parts that only gateways use */
    GPtrArray *teams;     /* QRPolicyTeam * */
    GHashTable *keys;     /* key -> QRPolicyTeam * */
    uint32_t head_max_bytes, body_max_bytes, head_timeout_ms, idle_timeout_ms;
} QRPolicy;

QRPolicy *qr_policy_new(uint64_t version);
void qr_policy_free(QRPolicy *p);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRPolicy, qr_policy_free)

/* Functions that build a policy. The policy owns what they return. */
QRPolicyRoute *qr_policy_add_route(QRPolicy *p);
void qr_route_add_share(QRPolicyRoute *r, const char *service, unsigned weight);
QRService *qr_policy_add_service(QRPolicy *p, const char *name);
QRPolicyTeam *qr_policy_add_team(QRPolicy *p, const char *name,
                                 unsigned priority);
void qr_team_add_key(QRPolicyTeam *t, const char *key);
/* Returns an empty list of allowed regions, which allows none. */
GPtrArray *qr_policy_regions_new(void);
/* Builds the indexes, after the last row was added. */
void qr_policy_finalize(QRPolicy *p);

/* Returns the route of 'host' (a port is ignored) and 'path', or NULL. */
const QRPolicyRoute *qr_policy_route(const QRPolicy *p, const char *host,
                                     const char *path);
/*
 * Returns the regions in which calls on every route of 'host' may run, or NULL
 * if no route of that host is restricted. The caller owns the array, but not
 * the names.
 */
GPtrArray *qr_policy_host_regions(const QRPolicy *p, const char *host);
const QRService *qr_policy_service(const QRPolicy *p, const char *name);
const QRPolicyTeam *qr_policy_team(const QRPolicy *p, const char *key);
/* Chooses the service of a call by weight. One 'call_id' always gets the same
   service; a route without shares yields "". */
const char *qr_route_service(const QRPolicyRoute *r, const char *call_id);
/* Whether a call on the route may run at more than one engine. */
bool qr_route_repeatable(const QRPolicyRoute *r);
/* Returns a service that has a weight origin, or NULL. */
const QRService *qr_policy_origin(const QRPolicy *p);

#endif
