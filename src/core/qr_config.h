/*
 * The configuration: a fold over the platform's log.
 *
 * Every process applies the same records in the same order and so holds the
 * same state. The revision is the offset of the last record applied; it only
 * ever grows. Whether a change wins is decided here and nowhere else.
 */
#ifndef QR_CONFIG_H
#define QR_CONFIG_H

#include "base/qr_json.h"

/* A team's declared share of a service, in calls that run at once. */
typedef struct QRTeam {
    char *name;
    int64_t capacity;
} QRTeam;

/* What operators want served: one service on a set of hosts. */
typedef struct QRIntent {
    char *name, *service, *kind, *model, *adapter, *version, *manifest;
    char *role, *objective;
    bool allow_short;  /* a wave may leave teams below their capacity */
    GPtrArray *hosts;  /* char * */
    GPtrArray *teams;  /* QRTeam * */
    GPtrArray *waves;  /* GPtrArray * of char *: the order of switching */
    uint64_t revision; /* offset of the change that set it */
} QRIntent;

/* One incarnation of an agent, as registered in the log. */
typedef struct QRMember {
    char *host, *incarnation, *service, *availability_zone, *address;
    int64_t slots;       /* calls it runs at once */
    uint64_t registered; /* offset */
    uint64_t retired;    /* offset, 0 while it is in */
} QRMember;

/* What became of a change. */
typedef struct QRApplied {
    char *id;
    uint64_t offset;
    bool accepted;
    uint64_t lost_to; /* offset of the change that came first */
    char *reason;     /* empty if accepted */
} QRApplied;

typedef struct QRTombstone {
    char *name;
    uint64_t offset;
} QRTombstone;

typedef struct QRConfig {
    uint64_t revision;
    uint64_t history_from; /* members before this are forgotten */
    GPtrArray *intents;    /* QRIntent * */
    GPtrArray *members;    /* QRMember * */
    GHashTable *current;   /* host -> its member that is in, borrowed */
    GPtrArray *applied;    /* QRApplied *, oldest first */
    GPtrArray *removed;    /* QRTombstone *, oldest first */
    uint64_t snapshot_at;  /* offset of the last snapshot record */
    uint64_t bad_records;  /* skipped; not part of the snapshot */
} QRConfig;

#define QR_APPLIED_MAX                                                         \
    512 /* a day has about 3,100 changes; a retry is due                       \
           within minutes */
#define QR_REMOVED_MAX 512
#define QR_RETIRED_MAX 1024
#define QR_RECORD_MAX (1 << 20) /* bytes of a record that is looked at */

QRConfig *qr_config_new(void);
void qr_config_free(QRConfig *c);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRConfig, qr_config_free)

/*
 * Applies the record at 'offset', which must be the next one. A record that
 * makes no sense is counted and skipped, alike in every process.
 * Returns -1 only if 'offset' is not the next one.
 */
int qr_config_apply(QRConfig *c, uint64_t offset, const char *data, size_t len);

/* The state as JSON text, the same bytes for the same state. Caller frees. */
char *qr_config_snapshot(const QRConfig *c);
/* A state from its text; NULL and findings if it is none. */
QRConfig *qr_config_from_snapshot(const char *text, size_t len, QRFindings *f);
/*
 * If 'data' is a snapshot record at 'offset' that stands alone from 'first'
 * on, returns its state, at revision 'offset' or what it covers.
 */
QRConfig *qr_config_from_record(const char *data, size_t len, uint64_t offset,
                                uint64_t first);

QRIntent *qr_config_intent(const QRConfig *c, const char *name);
QRIntent *qr_config_intent_of_host(const QRConfig *c, const char *host);
QRIntent *qr_config_intent_of_service(const QRConfig *c, const char *service);
const QRApplied *qr_config_applied(const QRConfig *c, const char *id);
QRMember *qr_config_member(const QRConfig *c, const char *incarnation);
/* The member that 'host' has now, or NULL. */
QRMember *qr_config_member_of_host(const QRConfig *c, const char *host);
/* Was 'm' a member at 'revision'? */
bool qr_member_at(const QRMember *m, uint64_t revision);
/*
 * The one incarnation that may run a call that may not be repeated: the
 * same in every process for the same key and revision. NULL if there was
 * none, or if 'revision' is not known here.
 */
const QRMember *qr_config_home(const QRConfig *c, const char *service,
                               const char *key, uint64_t revision);

/* Reads one intent; NULL and findings if it is none. */
QRIntent *qr_intent_read(json_object *o, const char *place, QRFindings *f);
json_object *qr_intent_json(const QRIntent *in);
void qr_intent_free(QRIntent *in);
/* The wave in which 'host' switches; -1 if the intent has no such host. */
int qr_intent_wave_of(const QRIntent *in, const char *host);
bool qr_intent_has_host(const QRIntent *in, const char *host);
bool qr_intent_is_engine(const QRIntent *in);
/* Sum of the teams' capacities. */
int64_t qr_intent_declared(const QRIntent *in);
/* Declared capacity of 'team', 0 if it has none. */
int64_t qr_intent_capacity(const QRIntent *in, const char *team);

/* Record texts, one for each kind. The caller frees them. */
char *qr_record_register(const QRMember *m);
char *qr_record_retire(const char *incarnation);
char *qr_record_snapshot(const QRConfig *c);

#endif
