/*
 * Settings of gateways and sidecars: JSON with comments, checked as a whole.
 */
#ifndef QR_FLEET_SETTINGS_H
#define QR_FLEET_SETTINGS_H

#include "base/qr_json.h"
#include "qr_platform.h"

/*
 * DEF(name, min, max, fallback): whole numbers. Times in ms.
 * LIMIT: the same, set by the platform, which may scale it to a fraction.
 */
#define QR_FLEET_SETTINGS_BOTH                                                 \
    LIMIT(descriptors_max, 64, 1048576, 1024) /* sockets of the process */     \
    LIMIT(version_ms, 500, 3600000, 8000)     /* a named version in force */   \
    DEF(heartbeat_ms, 20, 10000, 100)         /* to peers */                   \
    DEF(lease_ms, 100, 600000, 1000) /* a peer unheard so long is away */      \
    DEF(log_level, 0, 2, 2)          /* 0 errors, 1 warnings, 2 all */

#define QR_FLEET_SETTINGS_SIDECAR                                              \
    /* of the machine's link that weights may take while calls use it too */   \
    DEF(weights_link_percent, 5, 100, 85)

#define QR_FLEET_SETTINGS_GATEWAY                                              \
    DEF(address_valid_s, 1, 600, 2)       /* callers keep an address answer */ \
    DEF(engines_poll_ms, 50, 60000, 1000) /* engines' records in the store */  \
    DEF(operator_wait_ms, 0, 30000, 2000) /* a read waits for records */       \
    LIMIT(retry_allowance, 0, 1000000, 10) /* retries a window, all gateways   \
                                            */

typedef struct QRFleetSettings {
    char *role; /* "gateway" or "sidecar" */
    char *host, *availability_zone, *region;
    char *platform;       /* name of a QRPlatform */
    char *store;          /* ip:port */
    char *peers;          /* ip:port of our listener for peers */
    GPtrArray *seeds;     /* ip:port of peers to ask first */
    char *metrics;        /* ip:port, or NULL */
    double grace_s;       /* from SIGTERM to the end */
    json_object *regions; /* zone -> region; owned by 'source' */
    /* gateway */
    char *callers, *directory, *readiness;
    double retry_ratio; /* retries per call */
    double retry_window_s;
    /* sidecar */
    char *engine, *service;
    double link_mbit_s; /* of the machine, each way; 0: not known */
#define DEF(name, min, max, fallback) int64_t name;
#define LIMIT DEF
    QR_FLEET_SETTINGS_BOTH QR_FLEET_SETTINGS_GATEWAY QR_FLEET_SETTINGS_SIDECAR
#undef LIMIT
#undef DEF
        json_object *source;
} QRFleetSettings;

/* NULL if there is any finding. */
QRFleetSettings *qr_fleet_settings_read(const char *text, size_t len,
                                        QRFindings *f);
void qr_fleet_settings_free(QRFleetSettings *s);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRFleetSettings, qr_fleet_settings_free)
/* Whether 'text' is meant for a gateway or a sidecar. */
bool qr_fleet_settings_recognize(const char *text, size_t len);
/* zone -> region, both borrowed from 's'. */
GHashTable *qr_fleet_settings_regions(const QRFleetSettings *s);

#endif
