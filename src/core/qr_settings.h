/*
 * Settings of a process, read from JSON with comments and checked as a whole.
 */
#ifndef QR_SETTINGS_H
#define QR_SETTINGS_H

#include "base/qr_json.h"

/* DEF(name, min, max, fallback): whole numbers of both roles. */
#define QR_SETTINGS_BOTH                                                       \
    DEF(tick_ms, 5, 1000, 50)               /* how often time is looked at */  \
    DEF(heartbeat_ms, 20, 60000, 500)       /* agent to entry */               \
    DEF(lease_ms, 100, 600000, 3000)        /* unheard for so long: away */    \
    DEF(hosts_poll_ms, 50, 600000, 1000)    /* host list */                    \
    DEF(stop_bound_ms, 100, 3600000, 60000) /* a planned stop ends by then */  \
    DEF(face_timeout_ms, 100, 600000, 5000) /* platform calls */               \
    DEF(ticket_life_s, 1, 86400, 600) /* how long a ticket may be used */      \
    DEF(memory_mb, 16, 1048576, 128)  /* of the process */                     \
    DEF(log_level, 0, 2, 2)           /* 0 errors, 1 warnings, 2 all */

#define QR_SETTINGS_ENTRY                                                      \
    DEF(log_poll_ms, 20, 60000, 250)                                           \
    DEF(address_valid_ms, 100, 600000, 5000) /* of an address answer */        \
    DEF(queue_max, 1, 100000, 256)           /* calls waiting, per service */  \
    DEF(reserve_percent, 0, 90, 10)          /* of slots, for urgent calls */  \
    DEF(retry_percent, 0, 100, 10)     /* retries per hundred fresh calls */   \
    DEF(confirm_ms, 100, 600000, 5000) /* wait for a confirm's outcome */      \
    DEF(deadline_ms, 100, 3600000, 60000)    /* of a call that names none */   \
    DEF(body_max, 1024, 67108864, 1048576)   /* bytes of a request's body */   \
    DEF(answer_max, 1024, 67108864, 4194304) /* bytes of a whole answer */     \
    DEF(snapshot_every, 2, 100000, 500)      /* records */                     \
    DEF(snapshot_every_s, 1, 864000, 3600)                                     \
    DEF(retire_after_ms, 500, 86400000, 30000)                                 \
    DEF(slo_first_ms, 1, 600000, 1800) /* first byte, objective */             \
    DEF(slo_permille, 1, 1000, 950)    /* share that must make it */

#define QR_SETTINGS_AGENT                                                      \
    DEF(slots, 1, 4096, 8)                     /* calls at once */             \
    DEF(stall_ms, 50, 600000, 1000)            /* weights: no progress */      \
    DEF(link_bytes_per_s, 0, 1000000000000, 0) /* weights, each way; 0 any */  \
    DEF(fan_out, 1, 64, 2) /* children of a host in a tree */                  \
    DEF(trees, 1, 256, 16)                                                     \
    /* hosts of a tree that draw from the origin; 0: by the objective */       \
    DEF(origin_roots, 0, 65535, 0)                                             \
    DEF(dedup_max, 16, 10000000, 65536)        /* calls remembered */          \
    DEF(replay_max, 0, 1048576, 16384)         /* bytes of an answer kept */   \
    DEF(origin_timeout_ms, 1000, 600000, 3000) /* without a byte of it */      \
    DEF(origin_window, 1, 64, 2)               /* chunks asked of the origin */

typedef struct QRSettings {
    char *role; /* "entry" or "agent" */
    char *host, *availability_zone, *listen, *log, *host_list;
    GPtrArray *entries; /* ip:port of entries' frame listeners, as seeds */
    /* entry */
    char *callers;
    /* agent */
    char *service, *kind, *backend, *weight_store, *origin;
    char *metrics; /* ip:port where its counters are served, or NULL */
    bool checks_fence;
#define DEF(name, min, max, fallback) int64_t name;
    QR_SETTINGS_BOTH QR_SETTINGS_ENTRY QR_SETTINGS_AGENT
#undef DEF
} QRSettings;

/*
 * Reads and checks settings. All findings are collected; returns NULL if
 * there is any.
 */
QRSettings *qr_settings_read(const char *text, size_t len, QRFindings *f);
void qr_settings_free(QRSettings *s);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRSettings, qr_settings_free)

#endif
