/*
 * Settings of gateways and sidecars: a JSON file with comments, all of whose
 * errors are reported together.
 */
#ifndef QR_FLEET_SETTINGS_H
#define QR_FLEET_SETTINGS_H

#include "base/qr_json.h"
#include "qr_platform.h"

/*
 * DEF(name, min, max, fallback): integer setting. Times are in ms.
 * LIMIT: the same for a setting that the platform may scale to a fraction.
 */
#define QR_FLEET_SETTINGS_BOTH                                                 \
    LIMIT(descriptors_max, 64, 1048576, 1024) /* sockets of the process */     \
    LIMIT(memory_mb, 0, 1048576, 0)           /* of the process; 0: unknown */ \
    LIMIT(version_ms, 500, 3600000, 8000)     /* until a version is live */    \
    DEF(heartbeat_ms, 20, 10000, 100)         /* interval, to peers */         \
    DEF(lease_ms, 100, 600000, 1000) /* silence until a peer is down */        \
    DEF(share_slots, 0, 1, 1)        /* among ranks and teams */               \
    DEF(log_level, 0, 2, 2)          /* 0 errors, 1 warnings, 2 all */

#define QR_FLEET_SETTINGS_SIDECAR                                              \
    /* share of the host's link for weights while calls use the link */        \
    DEF(weights_link_percent, 5, 100, 85)                                      \
    /* skip versions that a newer one replaces in time; 0: fetch all */        \
    DEF(schedule_versions, 0, 1, 1)

#define QR_FLEET_SETTINGS_GATEWAY                                              \
    DEF(address_valid_s, 1, 600, 2)       /* callers' cache of an address   */ \
    DEF(engines_poll_ms, 50, 60000, 1000) /* longest time between reads */     \
    /* bounds: a configuration is in force at all gateways; an engine that     \
       announced that it leaves gets no calls */                               \
    LIMIT(config_apply_ms, 1, 3600000, 2000)                                   \
    LIMIT(drain_ms, 1, 3600000, 2000)                                          \
    DEF(operator_wait_ms, 0, 30000, 2000)  /* longest long poll for records */ \
    LIMIT(retry_allowance, 0, 1000000, 10) /* per window, all gateways */      \
    /* whether a stream that cannot end in time is resumed at another engine   \
     */                                                                        \
    DEF(move_slow_streams, 0, 1, 1)                                            \
    /* 1: calls are admitted by a forecast of their duration, where the        \
       configuration states the speed of a service's engines */                \
    DEF(admission_forecast, 0, 1, 1)

typedef struct QRFleetSettings {
    char *role; /* "gateway" or "sidecar" */
    char *host, *availability_zone, *region;
    char *platform;       /* name of a QRPlatform */
    char *store;          /* ip:port */
    char *peers;          /* ip:port of this process's listener for peers */
    GPtrArray *seeds;     /* ip:port of peers to contact at the start */
    char *metrics;        /* ip:port, or NULL */
    double grace_s;       /* from SIGTERM to the exit */
    json_object *regions; /* zone -> region; owned by 'source' */
    /* gateway */
    char *callers, *directory, *readiness;
    double retry_ratio; /* retries per call */
    double retry_window_s;
    /* sidecar */
    char *engine, *service;
    double link_mbit_s; /* of the host, each direction; 0: unknown */
#define DEF(name, min, max, fallback) int64_t name;
#define LIMIT DEF
    QR_FLEET_SETTINGS_BOTH QR_FLEET_SETTINGS_GATEWAY QR_FLEET_SETTINGS_SIDECAR
#undef LIMIT
#undef DEF
        json_object *source;
} QRFleetSettings;

/* Parses settings. Returns NULL if there is any error, and adds each error to
   'f'. The caller owns the result. */
QRFleetSettings *qr_fleet_settings_read(const char *text, size_t len,
                                        QRFindings *f);
void qr_fleet_settings_free(QRFleetSettings *s);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRFleetSettings, qr_fleet_settings_free)
/* Whether the role in 'text' is gateway or sidecar. */
bool qr_fleet_settings_recognize(const char *text, size_t len);
/* Returns a map zone -> region, whose strings 's' owns. The caller owns the
 * map. */
GHashTable *qr_fleet_settings_regions(const QRFleetSettings *s);

#endif
