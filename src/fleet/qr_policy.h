/*
 * The operator's configuration as calls need it: routes, services, teams,
 * limits. Immutable once built; replaced whole by a newer one.
 */
#ifndef QR_POLICY_H
#define QR_POLICY_H

#include "base/qr_base.h"

typedef enum QRRouteKind {
    QR_ROUTE_SAFE,   /* may run more than once */
    QR_ROUTE_UNSAFE, /* at most once for each attempt of a caller */
    QR_ROUTE_STREAM, /* events; repeatable only if it may be resumed */
} QRRouteKind;

/* One of the services that a route is split over. */
typedef struct QRRouteShare {
    char *service;
    unsigned weight;
} QRRouteShare;

typedef struct QRPolicyRoute {
    char *name, *host, *prefix;
    QRRouteKind kind;
    uint32_t timeout_ms, objective_ms;
    uint32_t gap_ms; /* longest pause between events; 0: not stated */
    unsigned attempts_max, priority;
    bool open;      /* needs no key */
    bool resume;    /* a stream may go on at another engine */
    GArray *shares; /* QRRouteShare */
} QRPolicyRoute;

/* What an engine of a service costs, as the operator states it. */
typedef struct QREngineModel {
    char *model; /* NULL: a plain service */
    unsigned slots, chunks, layers;
    uint32_t chunk_bytes;
    double step_ms, per_sequence_ms, read_per_s;
    unsigned stride; /* token steps between two looks at what waits */
    double usual_prompt, usual_answer; /* tokens */
    uint32_t warmup_ms;
} QREngineModel;

typedef struct QRService {
    char *name;
    char *origin; /* ip:port of a weight origin, or NULL */
    unsigned connections_max;
    uint32_t objective_ms; /* the tightest of the routes to it; 0: none */
    QREngineModel engine;
} QRService;

typedef struct QRPolicyTeam {
    char *name;
    unsigned priority;
    GPtrArray *keys; /* char * */
} QRPolicyTeam;

typedef struct QRPolicy {
    uint64_t version;
    GPtrArray *routes; /* QRPolicyRoute *, owned */
    GHashTable *hosts; /* host -> GPtrArray of QRPolicyRoute *, longest first */
    GHashTable *services;   /* name -> QRService * */
    uint64_t services_hash; /* of what sidecars need to know of them */
    GBytes *for_sidecars;   /* the record without what only calls need */
    GPtrArray *teams;       /* QRPolicyTeam * */
    GHashTable *keys;       /* key -> QRPolicyTeam * */
    uint32_t head_max, body_max, head_timeout_ms, idle_timeout_ms;
} QRPolicy;

QRPolicy *qr_policy_new(uint64_t version);
void qr_policy_free(QRPolicy *p);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRPolicy, qr_policy_free)

/* The builder's parts; rows belong to the policy. */
QRPolicyRoute *qr_policy_add_route(QRPolicy *p);
void qr_route_add_share(QRPolicyRoute *r, const char *service, unsigned weight);
QRService *qr_policy_add_service(QRPolicy *p, const char *name);
QRPolicyTeam *qr_policy_add_team(QRPolicy *p, const char *name,
                                 unsigned priority);
void qr_team_add_key(QRPolicyTeam *t, const char *key);
/* Builds the indexes once all rows stand. */
void qr_policy_seal(QRPolicy *p);

/* The route of 'host' (a port is ignored) and 'path', or NULL. */
const QRPolicyRoute *qr_policy_route(const QRPolicy *p, const char *host,
                                     const char *path);
const QRService *qr_policy_service(const QRPolicy *p, const char *name);
const QRPolicyTeam *qr_policy_team(const QRPolicy *p, const char *key);
/* The service for one call: by weight, the same for the same 'call_id'. */
const char *qr_route_service(const QRPolicyRoute *r, const char *call_id);
/* May more than one engine run it? */
bool qr_route_repeatable(const QRPolicyRoute *r);
/* The service with a weight origin; NULL if there is none. */
const QRService *qr_policy_origin(const QRPolicy *p);

#endif
