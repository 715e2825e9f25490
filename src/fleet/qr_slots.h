/*
 * The slots of one engine, which a coordinator reserves for gateways.
 *
 * An engine runs a fixed number of calls at once, and many gateways send calls
 * to the engine. If each gateway chose by load reports that are one heartbeat
 * old, several would fill the same free slot, and the later calls would wait
 * inside the engine. A gateway therefore first asks the coordinator, which
 * knows the current load from all gateways. The coordinator is the engine's
 * sidecar, or else a gateway.
 *
 * The coordinator also enforces the rate limit that an engine has announced,
 * and the rate that an engine bears while it is cold after a start: no gateway
 * sends a call to that engine without a slot granted within the limit.
 *
 * Each message from a gateway carries all that the gateway holds. The next
 * message thus repairs a lost message or a restart on either side.
 */
#ifndef QR_SLOTS_H
#define QR_SLOTS_H

#include "base/qr_base.h"
#include "qr_notices.h"
#include "qr_rate.h"
#include "qr_room_claim.h"
#include "qr_shares.h"
#include "wire/fleet.pb-c.h"

/* A gateway reports its load at least every 700 ms (REPORT_INTERVAL_MS in
   qr_gateway_slots.c). The lease tolerates two late or lost messages. */
#define QR_SLOT_LEASE_MS 2000

/* Load that gateways hold at the engine. */
typedef struct QRSlotLoad {
    unsigned open;    /* slots */
    unsigned reading; /* prompt tokens of calls without a first byte */
} QRSlotLoad;

typedef struct QRSlots {
    GHashTable *held; /* gateway's name -> Holder *, private to qr_slots.c */
    uint64_t shortage_ms; /* a call last found no slot here, nor at other
                             engines before; 0: never */
    double read_per_ms; /* prompt tokens the engine reads per ms; 0: unknown */
    double backlog; /* unread prompt tokens of granted calls, at backlog_ms */
    uint64_t backlog_ms;
    QRAnnouncedLimit limit;            /* the latest announced to any gateway */
    QRRate rate;                       /* valid while limit.is_set */
    uint64_t cold_until_ms;            /* 0: the engine was never cold */
    QRRate cold_rate;                  /* valid until cold_until_ms */
    uint64_t granted, denied, yielded; /* counters; yielded: denied in favour
                                          of other calls */
    uint64_t rate_limited;             /* denied for the rate limit alone */
    uint64_t backed_off; /* denied as the engine asked another gateway to
                            back off */
    bool shares_slots;   /* among ranks and teams */
    QRShares shares;     /* used if shares_slots */
    QRRoomClaim claim;   /* of a call with a long prompt */
    uint32_t claim_ms;   /* of the last request: room is kept for it */
    QRShareVerdict last_verdict; /* on the last request for a slot */
} QRSlots;

/* A call for which a gateway requests a slot. */
typedef struct QRSlotCall {
    unsigned prompt;      /* tokens */
    unsigned max_open;    /* granted only if fewer slots are held */
    unsigned max_reading; /* and at most so many prompt tokens are unread */
    unsigned denials;     /* by coordinators of engines so far */
    bool ignores_backoff; /* granted even if another gateway backs off */
    uint32_t rank, team;  /* see QRShareRequest */
} QRSlotCall;

void qr_slots_init(QRSlots *s);
void qr_slots_clear(QRSlots *s);
/* Stores the total load that 'gateway' holds. */
void qr_slots_report(QRSlots *s, const char *gateway, const QRSlotLoad *load,
                     uint64_t now_ms);
/* Deletes the load of 'gateway'. */
void qr_slots_drop(QRSlots *s, const char *gateway);
/* Reserves a slot for a call of 'gateway'. Returns false if denied. */
bool qr_slots_reserve(QRSlots *s, const char *gateway, const QRSlotCall *call,
                      uint64_t now_ms);
/* Logs that sharing among ranks and teams has started or ended at the engine
   'engine', at most once a second. */
void qr_slots_log_sharing(QRSlots *s, const char *engine, uint64_t now_ms);
/* Load held by all gateways other than 'gateway'. */
QRSlotLoad qr_slots_held_by_others(QRSlots *s, const char *gateway,
                                   uint64_t now_ms);

/* Remaining time in ms for which the engine asked gateways other than 'gateway'
   to back off. */
uint64_t qr_slots_backoff_ms(const QRSlots *s, const char *gateway,
                             uint64_t now_ms);
/* Converts a limit to and from its message, which carries an age rather than a
   time. A malformed message decodes to a limit with as_of_ms 0. */
void qr_limit_encode(const QRAnnouncedLimit *limit, uint64_t now_ms,
                     Qr__Fleet__RateLimit *wire);
QRAnnouncedLimit qr_limit_decode(const Qr__Fleet__RateLimit *wire,
                                 uint64_t now_ms);
/* Applies a limit that the engine announced to a gateway. */
void qr_slots_update_limit(QRSlots *s, const QRAnnouncedLimit *limit,
                           uint64_t now_ms);

/* Notes that the engine stays cold for 'cold_ms' and bears 'per_s' requests a
   second meanwhile. A malformed rate is ignored. */
void qr_slots_note_cold(QRSlots *s, uint32_t cold_ms, double per_s,
                        uint64_t now_ms);

/* A reply message and the submessage that 'head' points to. */
typedef struct QRSlotReply {
    Qr__Fleet__SlotReply head;
    Qr__Fleet__RateLimit limit;
} QRSlotReply;

/*
 * Handles a gateway's message. Returns true if the message requests a slot;
 * only then 'reply' is filled. 'reply->head' points into 'reply'.
 */
bool qr_slots_request(QRSlots *s, const char *gateway,
                      const Qr__Fleet__SlotRequest *request, uint64_t now_ms,
                      QRSlotReply *reply);

#endif
