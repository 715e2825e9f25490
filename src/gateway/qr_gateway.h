/*
 * A gateway: answers callers' address questions, takes their calls and relays
 * them to engines. This header is the state that its parts share.
 */
#ifndef QR_GATEWAY_H
#define QR_GATEWAY_H

#include "fleet/qr_engines.h"
#include "fleet/qr_fleet_settings.h"
#include "fleet/qr_follower.h"
#include "fleet/qr_members.h"
#include "fleet/qr_operator.h"
#include "io/qr_log.h"
#include "net/qr_client.h"
#include "net/qr_clock.h"
#include "net/qr_peer.h"
#include "net/qr_server.h"
#include "net/qr_ticks.h"
#include "qr_budget.h"
#include "qr_counters.h"
#include "qr_deadlines.h"
#include "qr_early.h"
#include "qr_requests.h"

#include <uv.h>

/* For an answer of the store to begin: it takes a few ms, and is slow at times.
 */
#define QR_STORE_TIMEOUT_MS 800

/* How one service has done lately, seen from here. */
typedef struct QRServiceStats {
    QRBudget budget;
    double hold_ms;        /* smoothed: from sending to the end of the answer */
    QRDeadlines deadlines; /* of its calls */
    /* QRRelay *, each in the order of their arrival */
    GQueue waiting;      /* that may still be answered in time */
    GQueue late_waiting; /* whose callers were refused before */
    double late_served;  /* share of the latter that got an engine, lately */
} QRServiceStats;

/* Changes of engines as they were told to one gateway, for the next ones. */
typedef struct QRToldChanges {
    QRPosition from, end;
    uint64_t made_ms;
    uint32_t size;  /* before they were compressed */
    GBytes *packed; /* NULL: none is kept */
} QRToldChanges;

struct QRGateway {
    uv_loop_t *loop;
    QRFleetSettings *set;
    const char *settings_file;
    const QRPlatform *platform;
    QROperator operator;
    QREngines engines;
    bool engines_known; /* a whole listing was taken, or told by another */
    bool engines_lost;  /* the store failed our last read of them */
    uint64_t engines_regained_ms; /* the store was away until then; 0: long ago
                                   */
    /* records of the store shared among gateways: see qr_gateway_share.c */
    GHashTable *engine_changes; /* id -> last change */
    QRToldChanges told_changes; /* the last answer to one that asked for them */
    QRPosition engines_changed, engines_changed_told; /* of the last one */
    QRPosition engines_since;  /* all changes from there on are known */
    QRPosition engines_listed; /* all records of before were in our last own
                                  listing, or had gone; none yet */
    uint64_t store_epoch;      /* the newest that was heard of; 0: none was */
    uint64_t store_epoch_told; /* the last one that was told to others */
    uint64_t epoch_ms;         /* when it was heard of; 0: it has settled */
    bool went_back;            /* that epoch began while we ran */
    uint64_t
        relist_ms; /* when a reader is asked for all of that epoch; 0: it was
                    */
    bool reading_rests;        /* others read the store for us */
    QRPosition engines_seen;   /* of the last change heard from them */
    uint64_t engines_asked_ms; /* when a reader was asked last */
    uint64_t confirm_ms;     /* when others are asked next which engines live */
    uint64_t hurry_until_ms; /* see qr_gateway_share_hurry() */
    uint64_t engines_unseen_ms; /* since when others know more; 0: they do not
                                 */
    uint64_t readers_since_ms;  /* others read in our place; 0: they do not */
    uint64_t readers_lack_ms;   /* since when too few do; 0: enough do */
    QRKnownVersions operator_told; /* what was told to others last */
    uint64_t hold_ms;              /* others may tell us until then: not read */
    uint64_t operator_current_ms;  /* when we last were sure to know all of the
                                      operator's records; 0: not yet */
    uint64_t others_read_ms;    /* when the store first answered another gateway
                                   since it last failed to answer us */
    uint64_t store_lost_ms;     /* since when it answers nobody that we hear; 0:
                                   it does */
    uint64_t alone_ms;          /* when it failed us, and no other was heard */
    uint64_t shared_ms;         /* last tick of sharing */
    uint64_t still_ms, woke_ms; /* this process last stood still from, until */
    QRFleetMembers members;
    GHashTable *regions;  /* zone -> region */
    GHashTable *services; /* name -> QRServiceStats * */
    QRServer *callers, *directory, *readiness, *metrics;
    QRClient *to_engines, *to_store;
    QRFollower *follow_operator, *follow_engines;
    QRPeerNet *peers;
    GPtrArray *followers; /* QRPeerConn *: sidecars that asked to be told */
    GPtrArray *sidecars;  /* QRPeerConn *: all that dialled us */
    GPtrArray *relays;    /* QRRelay *: calls under way */
    GQueue early;         /* QREarlyCall *: see qr_early.h */
    QRCounters counters;
    uv_timer_t timer;
    uv_signal_t sigterm, sigint, sighup;
    uint64_t incarnation, random;
    QRTicks ticks;
    uint64_t started_ms;
    uint64_t stopping_ms; /* when SIGTERM came; 0: it did not */
    uint64_t heartbeat_ms, slow_tick_ms, sweep_ms; /* when due next */
    uint64_t services_told; /* hash of what sidecars were told of services */
    uint64_t behind_ms;     /* since when a peer knows more; 0: none does */
    uint64_t fetch_ms;      /* when one was asked last */
    uint64_t ages_ms;       /* when others are asked next since when a version
                               is named; 0: we know */
    unsigned ages_asked;    /* how many were */
    uint64_t meet_ms;       /* when one was asked for gateways last */
    uint64_t fetches;
    unsigned heartbeats;     /* so far */
    bool follower_is_new;    /* a gateway that knows nothing of our load yet */
    unsigned gateways_known; /* that share the retry budget, this one too; 0:
                                not known yet */
    uint64_t unreadable_ms;  /* since when lines of odd records are counted */
    unsigned unreadable_lines;
    QRRequests requests;     /* that may crash engines */
    GHashTable *slot_calls;  /* number of a request for a slot -> QRRelay * */
    uint32_t slot_call;      /* number of the last one */
    GPtrArray *slots_untold; /* ids of engines where what we hold has changed */
    GHashTable *slots_kept; /* id of an engine whose slots we keep -> QRSlots */
    uint64_t keepers_hash;  /* of the gateways that engines were dealt among */
    bool stopped;
};

/* Parts: beliefs (store and peers), front (callers), relay (calls). */
extern const QRFollowerHandlers qr_gateway_operator_handlers;
extern const QRFollowerHandlers qr_gateway_engines_handlers;
extern const QRPeerHandlers qr_gateway_peer_handlers;
extern const QRServerHandlers qr_gateway_callers_handlers;
extern const QRServerHandlers qr_gateway_directory_handlers;
extern const QRServerHandlers qr_gateway_readiness_handlers;
extern const QRServerHandlers qr_gateway_metrics_handlers;

/* An operator's record that is news here goes on to those who follow us. */
void qr_gateway_operator_news(void *owner, const QRStoreRecord *r);
/* A gateway said what it knows of the operator's records. */
void qr_gateway_peer_knows(QRGateway *g, QRFleetMember *member,
                           const QRKnownVersions *known);
/* Asks one that knows more, when due. */
void qr_gateway_catch_up(QRGateway *g, uint64_t now_ms);
/*
 * Whether others have known more of the operator's records for long, and none
 * told us: what we hear them on works, what we ask on does not, or we have
 * nothing to ask on.
 */
bool qr_gateway_is_untold(const QRGateway *g, uint64_t now_ms);
/* Whether a gateway is of our region. */
bool qr_gateway_is_near(const QRGateway *g, const QRFleetMember *m);
/* How gladly a gateway is asked, the least first: one of our region, then any,
   by what 'dice' makes of its name. */
uint64_t qr_gateway_preference(const QRGateway *g, const QRFleetMember *m,
                               uint64_t dice);
/* Gateways of our region that ask other regions for 'what' before we do. */
unsigned qr_gateway_near_before(const QRGateway *g, uint64_t what,
                                uint64_t now_ms);
/* Gateways that are known and stay, this one too. */
unsigned qr_gateway_count(const QRGateway *g);
/* Asks one that knows more gateways, when due. */
void qr_gateway_meet(QRGateway *g, uint64_t now_ms);
/* Tells one that asked which gateways there are. */
void qr_gateway_introduce(const QRGateway *g, QRPeerConn *peer);
/* Operator's records that we asked another gateway for. */
void qr_gateway_operator_heard(QRGateway *g, const Qr__Fleet__Records *records);
/* An engine's record, from the store or from a gateway that reads it. */
void qr_gateway_engine_record(QRGateway *g, const QRStoreRecord *r);
/* Takes engines for gone whose records lapsed and did not come back. */
void qr_gateway_check_lapsed(QRGateway *g);
GHashTable *qr_gateway_changes_new(void);
/* Keeps a record that says more than that the engine is still there; 'leaves':
   that it will not be, or is not. */
void qr_gateway_engine_changed(QRGateway *g, const QRStoreRecord *r,
                               bool leaves);
void qr_gateway_forget_changes(QRGateway *g, uint64_t now_ms);
/* Whether a newer change of the engine's record is known than one at
   'position' that says whether it 'leaves'. */
bool qr_gateway_engine_is_outdated(const QRGateway *g, const char *id,
                                   QRPosition position, bool leaves);
/* Whether the engine is known to leave, or to have gone, from another epoch. */
bool qr_gateway_engine_left_before(const QRGateway *g, const char *id,
                                   uint64_t epoch);
/* The store answers from 'epoch', as an answer of it said or a gateway told. */
void qr_gateway_note_epoch(QRGateway *g, uint64_t epoch);
/*
 * The store went back a moment ago, or may have before we started: what it
 * lists may be older than what was known before.
 */
bool qr_gateway_epochs_settle(const QRGateway *g);
/* Ends that when it is due. */
void qr_gateway_epoch_tick(QRGateway *g, uint64_t now_ms);
/* Decides who reads the store, and asks for what readers know. */
void qr_gateway_share_tick(QRGateway *g, uint64_t now_ms);
/* Engines that have started are not known yet: who reads their records does so
   more often for a while. */
void qr_gateway_share_hurry(QRGateway *g);
void qr_gateway_share_told(QRGateway *g, QRFleetMember *member,
                           const Qr__Fleet__Load *load);
/* When a frame that is read now was sent at the earliest: while this process
   stood still, what came waited. */
uint64_t qr_gateway_sent_ms(const QRGateway *g);
/* When all of the operator's records were last known; 0: not yet. */
uint64_t qr_gateway_operator_current(const QRGateway *g);
/* The outage that a read has just ended was one of the store. */
bool qr_gateway_store_was_away(const QRGateway *g);
/* Until when bounds of versions have run: not while the store is away. */
uint64_t qr_gateway_bounds_run_to(const QRGateway *g, uint64_t now_ms);
/* Fills our part of a heartbeat; whether others wait for it. */
bool qr_gateway_share_tell(QRGateway *g, Qr__Fleet__Load *load);
/* Answers a gateway that asked for changes of engines. */
void qr_gateway_share_answer(QRGateway *g, QRPeerConn *peer,
                             const Qr__Fleet__Fetch *fetch);
void qr_gateway_share_records(QRGateway *g, const QRFleetMember *from,
                              const Qr__Fleet__Records *records);
/* What another gateway said at its heartbeat. */
void qr_gateway_load_told(QRGateway *g, QRFleetMember *member,
                          const Qr__Fleet__Load *load);
/* Forgets the load of gateways that have told none lately. */
void qr_gateway_check_loads(QRGateway *g, uint64_t now_ms);
/* Tells peers our load and what we know, when due. */
void qr_gateway_heartbeat(QRGateway *g, uint64_t now_ms);
/*
 * An engine leaves, or stays after all: the sidecar beside it will soon be no
 * source of weights.
 */
void qr_gateway_sidecar_leaves(QRGateway *g, const char *engine_address,
                               bool leaves);
/* Drops sidecars that have been silent for too long. */
void qr_gateway_check_sidecars(QRGateway *g, uint64_t now_ms);
/* Sends our word to every gateway: we leave, or still stay. */
void qr_gateway_tell_leaving(QRGateway *g);
/*
 * The oldest version that calls for 'service' may begin on, 'margin_ms' before
 * the bound of a newer one already; 0: any.
 */
uint64_t qr_gateway_version_in_force(const QRGateway *g,
                                     const QRService *service,
                                     uint64_t margin_ms, uint64_t now_ms);
/* A slot that is wanted for a call; see QRSlotCall. */
typedef struct QRSlotWish {
    uint32_t call; /* number of the request */
    unsigned prompt, open_most, reading_most;
    bool returned;
    unsigned denials;
    bool despite_rest;
} QRSlotWish;

/* Asks the keeper of the engine's slots, which it has. */
void qr_gateway_slot_ask(QRGateway *g, QREngine *e, const QRSlotWish *wish);
/* That request, for a call of 'prompt' tokens, is over. */
void qr_gateway_slot_settled(QRGateway *g, QREngine *e, unsigned prompt);
/* What we hold at the engine is not what its keeper was told last. */
void qr_gateway_slots_changed(QRGateway *g, QREngine *e);
void qr_gateway_slot_reply(QRGateway *g, const Qr__Fleet__SlotReply *reply);
/* What other gateways hold at an engine, as the process beside it told. */
void qr_gateway_slots_others(QREngine *e, unsigned open, unsigned reading,
                             uint64_t now_ms);
/* The process beside the engine keeps its slots, and speaks on 'peer'. */
void qr_gateway_slots_beside(QRGateway *g, QREngine *e, QRPeerConn *peer);
/* A connection is gone: no keeper is asked there. */
void qr_gateway_slots_lost(QRGateway *g, const QRPeerConn *peer);
GHashTable *qr_gateway_slots_kept_new(void);
/* At each heartbeat: tells what is due, and deals the engines without a process
   beside them among the gateways. */
void qr_gateway_slots_beat(QRGateway *g, uint64_t now_ms);
/* Forgets slots of engines that are forgotten. */
void qr_gateway_slots_sweep(QRGateway *g);
/* Another gateway tells what it holds at an engine, and may want a slot. */
void qr_gateway_slots_request(QRGateway *g, QRPeerConn *peer,
                              const Qr__Fleet__SlotRequest *request);
/* Tells what we hold where that has changed. */
void qr_gateway_slots_tick(QRGateway *g);
bool qr_gateway_is_ready(const QRGateway *g);
/* It started a moment ago, and may still learn what others know. */
bool qr_gateway_is_starting(const QRGateway *g);
/* Lets a whole request in, or refuses it. */
void qr_gateway_take_call(QRGateway *g, QRExchange *x);
/* Applies the limits that the configuration sets to callers. */
void qr_gateway_apply_limits(QRGateway *g);
QRServiceStats *qr_gateway_stats(QRGateway *g, const char *service);
uint64_t qr_gateway_now(const QRGateway *g);

/* Runs until SIGTERM. Returns an exit status. */
int qr_gateway_run(const char *settings_file, QRFleetSettings *set);

#endif
