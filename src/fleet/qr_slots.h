/*
 * The slots of one engine, reserved by gateways.
 *
 * An engine runs a fixed number of calls at once, and many gateways send to it.
 * Were each to choose by what the others told it a heartbeat ago, several would
 * fill the same free slot, and those that come second would wait inside the
 * engine. So a gateway asks their keeper first, which knows what all of them
 * hold at this moment: the process beside the engine, or else a gateway.
 *
 * The keeper also deals out the rate of an engine that has named a limit: no
 * gateway sends there but on a slot that was granted within it.
 *
 * A gateway tells with each word all that it holds: a word that is lost, or a
 * process that starts anew on either side, is mended by the next one.
 */
#ifndef QR_SLOTS_H
#define QR_SLOTS_H

#include "base/qr_base.h"
#include "qr_notices.h"
#include "qr_rate.h"
#include "wire/fleet.pb-c.h"

/* What gateways hold at the engine. */
typedef struct QRSlotLoad {
    unsigned open;    /* slots */
    unsigned reading; /* prompt tokens of calls whose answer has not begun */
} QRSlotLoad;

typedef struct QRSlots {
    GHashTable *held;     /* gateway's name -> what it holds */
    uint64_t shortage_ms; /* a first try found no slot here, nor at other
                                engines before; 0: never */
    double read_per_ms;   /* tokens that the engine reads; 0: not known */
    double backlog;       /* of granted calls, to be read at backlog_ms */
    uint64_t backlog_ms;
    QRAnnouncedLimit limit; /* the latest that any gateway was told */
    QRRate rate;            /* while it is named */
    uint64_t granted, denied, yielded; /* so far; yielded: to first tries */
    uint64_t rate_limited;             /* denied for the limit alone */
    uint64_t backed_off; /* as the engine has turned another gateway away */
} QRSlots;

/* A call for which a gateway wants a slot. */
typedef struct QRSlotCall {
    unsigned prompt;      /* tokens */
    unsigned max_open;    /* granted if fewer slots are held */
    unsigned max_reading; /* and no more tokens wait to be read */
    bool is_caller_retry; /* its caller was refused before */
    unsigned denials;     /* by engines so far */
    bool ignores_backoff; /* also while the engine rests from another */
} QRSlotCall;

void qr_slots_init(QRSlots *s);
void qr_slots_clear(QRSlots *s);
/* All that 'gateway' holds at this moment. */
void qr_slots_report(QRSlots *s, const char *gateway, const QRSlotLoad *load,
                     uint64_t now_ms);
/* Nothing that 'gateway' holds counts any more. */
void qr_slots_drop(QRSlots *s, const char *gateway);
/* Reserves a slot for a call of 'gateway'; false: none is free for it. */
bool qr_slots_reserve(QRSlots *s, const char *gateway, const QRSlotCall *call,
                      uint64_t now_ms);
/* What others than 'gateway' hold, for it to go by. */
QRSlotLoad qr_slots_held_by_others(QRSlots *s, const char *gateway,
                                   uint64_t now_ms);

/* For how long yet the engine wants nothing from others than 'gateway'. */
uint64_t qr_slots_backoff_ms(const QRSlots *s, const char *gateway,
                             uint64_t now_ms);
/* A limit as it is told, and as it was heard. */
void qr_limit_encode(const QRAnnouncedLimit *limit, uint64_t now_ms,
                     Qr__Fleet__RateLimit *told);
QRAnnouncedLimit qr_limit_decode(const Qr__Fleet__RateLimit *told,
                                 uint64_t now_ms);
/* What an answer of the engine told a gateway of its limit. */
void qr_slots_update_limit(QRSlots *s, const QRAnnouncedLimit *limit,
                           uint64_t now_ms);

/* A reply and the parts that it points to. */
typedef struct QRSlotReply {
    Qr__Fleet__SlotReply head;
    Qr__Fleet__RateLimit limit;
} QRSlotReply;

/*
 * Takes a gateway's message. Returns true if it asks for a slot; then 'reply'
 * is filled.
 */
bool qr_slots_request(QRSlots *s, const char *gateway,
                      const Qr__Fleet__SlotRequest *request, uint64_t now_ms,
                      QRSlotReply *reply);

#endif
