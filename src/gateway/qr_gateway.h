/*
 * State of a gateway, shared by its modules. A gateway tells callers which
 * gateways there are, accepts calls and relays them to engines.
 */
#ifndef QR_GATEWAY_H
#define QR_GATEWAY_H

#include "fleet/qr_engines.h"
#include "fleet/qr_fleet_settings.h"
#include "fleet/qr_follower.h"
#include "fleet/qr_members.h"
#include "fleet/qr_neighbours.h"
#include "fleet/qr_operator.h"
#include "io/qr_log.h"
#include "net/qr_client.h"
#include "net/qr_clock.h"
#include "net/qr_peer.h"
#include "net/qr_server.h"
#include "net/qr_ticks.h"
#include "qr_budget.h"
#include "qr_call_forecast.h"
#include "qr_counters.h"
#include "qr_startup_calls.h"
#include "qr_stream_pace.h"
#include "qr_requests.h"
#include "qr_retry_after.h"

#include <uv.h>

/* Limit until an answer of the store begins. The store usually takes a few ms
   but is slow at times. */
#define QR_STORE_TIMEOUT_MS 800

/* Recent performance of one service, as this gateway measured it. */
typedef struct QRServiceStats {
    QRBudget budget;
    double mean_call_ms; /* smoothed: from sending to the end of the answer */
    /* the same of the latest calls, without the default that mean_call_ms
       begins with: the usual work of a call; 0: none has ended */
    double usual_call_ms;
    unsigned calls_measured; /* in usual_call_ms */
    unsigned slots_part;     /* of the slots of its engines, for each gateway */
    QRUsualPause usual_pause;   /* between events of its streams */
    GHashTable *stream_lengths; /* name of a route -> QRStreamLengths * */
    QRSlotRate slot_rate;       /* of its calls */
    QRRetryAfter turns;         /* of its refused callers */
    GQueue waiting; /* QRRelay *: calls that wait for a slot, next ones first */
    QRCallCorrections corrections; /* of what callers state of their answers */
} QRServiceStats;

/* The last reply with changes of engines, cached for gateways that ask for the
   same range. */
typedef struct QRChangesReply {
    QRPosition from, end;
    uint64_t made_ms;
    uint32_t size_unpacked; /* bytes before compression */
    GBytes *packed;         /* compressed records; NULL: no reply is cached */
} QRChangesReply;

/* Times are in ms of the event loop's clock. */
struct QRGateway {
    uv_loop_t *loop;
    QRFleetSettings *set;
    const char *settings_file;
    const QRPlatform *platform;
    QROperator operator;
    QREngines engines;
    bool engines_known; /* a whole listing came from the store or a gateway */
    bool engines_read_failed; /* the store did not answer the last own read;
                                 false while own reads are paused */
    uint64_t store_back_ms;   /* an outage or a rollback of the store ended
                                 then; 0: no check for lapsed records is due */
    /* Records of the store that gateways share: see qr_gateway_share.c. */
    GHashTable *engine_changes; /* engine id -> last change */
    QRChangesReply changes_reply;
    /* Positions of the last known change and of the last one sent to others. */
    QRPosition engines_changed, engines_changed_sent;
    QRPosition engines_since;   /* all changes from this position are known */
    QRPosition own_listing_end; /* the last own listing held all records before
                                   this position; none: no listing yet, or
                                   none since the epoch settled */
    uint64_t store_epoch;       /* newest known epoch; 0: none */
    uint64_t store_epoch_sent;  /* epoch in the last heartbeat */
    uint64_t epoch_settling_since_ms; /* 0: the epoch has settled */
    uint64_t settled_epoch; /* of which this gateway knows all engines, listed
                               after the epoch had settled; 0: none */
    bool store_rolled_back; /* the epoch began while we ran */
    uint64_t epoch_fetch_due_ms; /* when to ask a reader for all records of
                                    the epoch; 0: none is due */
    unsigned epoch_fetches;      /* requests sent for them */
    bool store_reads_paused;     /* other gateways read the store for us */
    QRPosition engines_received; /* last change received from other gateways */
    uint64_t engines_fetch_ms;   /* when changes were last asked for */
    uint64_t confirm_due_ms;     /* when to ask next which engines still run;
                                    0: never */
    uint64_t fast_poll_until_ms; /* see qr_gateway_poll_engines_faster() */
    uint64_t engines_answered_sent_ms; /* store's last answer to our reads of
                                          engines' records, as last sent */
    uint64_t engines_behind_since_ms; /* a reader knows more changes since then;
                                         0: none does */
    uint64_t enough_readers_since_ms; /* enough others read since then; 0: too
                                         few do */
    uint64_t few_readers_since_ms; /* too few others read since then; 0: enough
                                      do */
    QRKnownVersions operator_sent; /* versions in the last heartbeat */
    uint64_t first_read_ms; /* no read of the store before: other gateways may
                               send the records by then */
    uint64_t operator_current_ms; /* when another gateway's reads last confirmed
                                     that we know all of the operator's records;
                                     0: never */
    uint64_t others_answered_ms;  /* when another gateway first got an answer
                                     since the store last failed us */
    uint64_t store_away_since_ms; /* no gateway that we hear gets answers since
                                     then; 0: the store answers */
    uint64_t isolated_ms;   /* last time that the store failed us while no other
                               gateway was heard */
    uint64_t share_tick_ms; /* last qr_gateway_share_tick() */
    uint64_t suspended_ms, resumed_ms; /* last suspension of this process */
    QRFleetMembers members;
    QRNeighbours neighbours; /* of the known gateways, this one included */
    bool neighbours_changed; /* connections are to be checked against them */
    bool neighbours_settled; /* most gateways are known since the start */
    bool told_as_delegate;   /* what our sidecars know of this gateway */
    uint64_t neighbour_added_ms; /* when the last gateway became known */
    uint64_t shortage_ms;        /* when our region lacked engines; 0: never */
    uint64_t remote_fetch_ms;    /* when remote sidecars were last asked for */
    unsigned fleet_gateways; /* most gateways that any process has counted */
    GHashTable *regions;     /* zone -> region */
    GHashTable *services;    /* name -> QRServiceStats * */
    QRAccount clients;       /* memory that clients of all listeners hold */
    QRServer *callers, *directory, *readiness, *metrics;
    QRClient *to_engines, *to_store;
    QRFollower *follow_operator, *follow_engines;
    QRPeerNet *peers;
    GPtrArray *subscribers; /* QRPeerConn *: gateways, and sidecars that asked
                               for updates */
    GPtrArray *sidecars;    /* QRPeerConn *: all that connected to us */
    GPtrArray *relays;      /* QRRelay *: open calls */
    GQueue startup_calls;   /* QRStartupCall *: see qr_startup_calls.h */
    QRCounters counters;
    uv_timer_t timer;
    uv_signal_t sigterm, sigint, sighup;
    uint64_t incarnation, random;
    QRTicks ticks;
    uint64_t started_ms;
    uint64_t stopping_ms; /* when SIGTERM came; 0: not stopping */
    uint64_t heartbeat_ms, slow_tick_ms, sweep_ms; /* when due next */
    uint64_t services_sent_hash; /* of the services last sent to sidecars */
    uint64_t operator_behind_since_ms; /* a gateway knows more of the operator's
                                          records since then; 0: none does */
    uint64_t operator_fetch_ms; /* when those records were last asked for */
    uint64_t ages_due_ms; /* when to ask next how long ago a version was named;
                             0: its age is known */
    unsigned ages_requests;    /* requests sent for that age */
    uint64_t members_fetch_ms; /* when a gateway was last asked for members */
    uint64_t operator_fetches; /* requests sent for the operator's records */
    unsigned heartbeats;       /* sent since the start */
    bool peer_lacks_load;      /* a new gateway was not sent our load yet */
    unsigned retry_budget_gateways; /* gateways that share the retry budget,
                                       including this one; 0: not known yet */
    uint64_t unreadable_since_ms;   /* start of the window that limits log lines
                                       on unreadable records */
    unsigned unreadable_lines;      /* lines logged in that window */
    uint64_t bad_hint_ms;       /* when a bad hint was last logged; 0: never */
    QRRequests requests;        /* that may crash engines */
    GHashTable *slot_requests;  /* number of a slot request -> QRRelay * */
    uint32_t last_slot_request; /* number of the last one */
    GPtrArray *slots_unsent;    /* ids of engines whose slot use has changed and
                                   was not sent to their coordinator yet */
    GHashTable *slots_coordinated; /* id of an engine whose slots this gateway
                                  coordinates -> QRSlots */
    uint64_t coordinators_hash; /* of the gateways that share engines without a
                              process beside them */
    bool stopped;
};

/* Handlers of the store's topics, of peers, and of the HTTP servers. */
extern const QRFollowerHandlers qr_gateway_operator_handlers;
extern const QRFollowerHandlers qr_gateway_engines_handlers;
extern const QRPeerHandlers qr_gateway_peer_handlers;
extern const QRServerHandlers qr_gateway_callers_handlers;
extern const QRServerHandlers qr_gateway_directory_handlers;
extern const QRServerHandlers qr_gateway_readiness_handlers;
extern const QRServerHandlers qr_gateway_metrics_handlers;

/* Fills in the Hello that introduces this gateway. */
void qr_gateway_fill_hello(void *owner, QRFrame *frame,
                           Qr__Fleet__Hello *hello);
/* Sends an operator's record that is new to this gateway to its subscribers. */
void qr_gateway_forward_operator_record(void *owner, const QRStoreRecord *r);
/* Notes which of the operator's records another gateway knows. */
void qr_gateway_note_peer_knowledge(QRGateway *g, QRFleetMember *member,
                                    const QRKnownVersions *known);
/* Asks a gateway that knows more of the operator's records, when due. */
void qr_gateway_catch_up(QRGateway *g, uint64_t now_ms);
/*
 * Whether other gateways have known more of the operator's records for too long
 * without sending them: their heartbeats arrive, but requests to them fail, or
 * there is no connection to send requests on.
 */
bool qr_gateway_catch_up_is_overdue(const QRGateway *g, uint64_t now_ms);
/* Whether a gateway is in our region. */
bool qr_gateway_is_same_region(const QRGateway *g, const QRFleetMember *m);
/* Sort key for choosing a gateway to ask, lowest first: gateways of our region
   come before others, in an order given by a hash of name and 'dice'. */
uint64_t qr_gateway_peer_rank(const QRGateway *g, const QRFleetMember *m,
                              uint64_t dice);
/* Returns how many live gateways of our region ask other regions before this
   one does; 'what' seeds their order. */
unsigned qr_gateway_region_rank(const QRGateway *g, uint64_t what,
                                uint64_t now_ms);
/* Whether this process keeps a connection to 'm'. */
bool qr_gateway_is_neighbour(const QRGateway *g, const QRFleetMember *m);
/* Whether 'to' may connect to 'about', or has to know of it. */
bool qr_gateway_concerns_member(const QRGateway *g, const QRFleetMember *to,
                                const QRFleetMember *about);
/* Whether it is known well enough which gateways of other regions are
   delegates. */
bool qr_gateway_may_meet_regions(const QRGateway *g);
/* Whether a gateway, or this one, is a delegate of its region. */
bool qr_gateway_is_delegate(const QRGateway *g, const QRFleetMember *m);
bool qr_gateway_is_own_delegate(const QRGateway *g);
/* Whether this gateway's region has gateways that are no delegates. */
bool qr_gateway_region_is_large(const QRGateway *g);
/* Whether every gateway of our region is connected to every one of 'region'. */
bool qr_gateway_is_meshed_with(const QRGateway *g, const char *region);
/* Whether this gateway is the first live delegate of a large region: the one
   that passes on what all gateways of all regions have to know. */
bool qr_gateway_relays_between_regions(const QRGateway *g, uint64_t now_ms);
/* Notes how many gateways of 'region' another process knows. */
void qr_gateway_note_region_size(QRGateway *g, const char *region,
                                 unsigned size);
/* Most gateways of 'region' that are known, here or elsewhere. */
unsigned qr_gateway_region_size(const QRGateway *g, const char *region);
/* Notes a gateway that was not known, and dials it if it is a neighbour. */
void qr_gateway_add_neighbour(QRGateway *g, const QRFleetMember *m);
/* After delegates have changed: dials new neighbours and closes connections to
   gateways that are none any more. */
void qr_gateway_update_neighbours(QRGateway *g, uint64_t now_ms);
/*
 * Notes that the regions known here have no usable engine for a call. In a
 * large region, the gateway then connects to some engines of other regions for
 * a while: see qr_gateway_remote.c.
 */
void qr_gateway_note_shortage(QRGateway *g);
void qr_gateway_remote_tick(QRGateway *g, uint64_t now_ms);
/* Sends a gateway of our region the sidecars of other regions that it may use.
 */
void qr_gateway_send_remote_sidecars(const QRGateway *g, QRPeerConn *peer);
/* Dials a sidecar of another region that a delegate has named. */
void qr_gateway_dial_remote_sidecar(QRGateway *g, const QRFleetMember *m);
/* Asks a sidecar that was dialled to report its engine's state. */
void qr_gateway_follow_sidecar(QRGateway *g, QRPeerConn *peer);
/* Sends the gateways that concern them to the sidecars that follow this one. */
void qr_gateway_send_gateways(QRGateway *g);
/* Number of known gateways that are not leaving, including this one. */
unsigned qr_gateway_count(const QRGateway *g);
/* Asks a gateway that knows more gateways than we do, when due. */
void qr_gateway_discover(QRGateway *g, uint64_t now_ms);
/* Sends a peer that asked for it the list of gateways: those of its region and
   the delegates of others. */
void qr_gateway_send_members(const QRGateway *g, QRPeerConn *peer);
/* Takes operator's records that another gateway sent on request. */
void qr_gateway_take_operator_records(QRGateway *g,
                                      Qr__Fleet__Records *records);
/* Takes an engine's record from the store or from a gateway that reads it. */
void qr_gateway_take_engine_record(QRGateway *g, const QRStoreRecord *r);
/* Notes that the store has answered again after an outage: for a while, a
   removed record of an engine counts as lapsed. */
void qr_gateway_note_store_back(QRGateway *g);
/* Removes engines whose records lapsed in a store outage and were not written
   again. */
void qr_gateway_check_lapsed(QRGateway *g);
/* Returns an empty table for QRGateway.engine_changes; the caller owns it. */
GHashTable *qr_gateway_engine_changes_new(void);
/* Keeps a record that changes an engine's state, to send to other gateways.
   'leaves': the record says that the engine is leaving or has gone. */
void qr_gateway_keep_engine_change(QRGateway *g, const QRStoreRecord *r,
                                   bool leaves);
/* Drops changes of engines that were removed more than 10 minutes ago. */
void qr_gateway_expire_engine_changes(QRGateway *g, uint64_t now_ms);
/* Whether a known change of the engine supersedes a record at 'position';
   'leaves' as in qr_gateway_keep_engine_change(). */
bool qr_gateway_engine_record_is_outdated(const QRGateway *g, const char *id,
                                          QRPosition position, bool leaves);
/* Whether a change of an epoch other than 'epoch' says that the engine leaves
   or has gone. */
bool qr_gateway_engine_left_in_other_epoch(const QRGateway *g, const char *id,
                                           uint64_t epoch);
/* Notes an epoch of the store, named in its answer or by a gateway. */
void qr_gateway_note_epoch(QRGateway *g, uint64_t epoch);
/*
 * Whether the store was rolled back a moment ago, or may have been before we
 * started: its records may be older than those already known.
 */
bool qr_gateway_epoch_is_settling(const QRGateway *g);
/* Ends the settling of an epoch when due. */
void qr_gateway_epoch_tick(QRGateway *g, uint64_t now_ms);
/* Decides whether this gateway reads the store, and asks readers for records
   that it lacks. */
void qr_gateway_share_tick(QRGateway *g, uint64_t now_ms);
/* How long the store may hold a read of operator's records, ms. */
unsigned qr_gateway_held_read_ms(const QRGateway *g);
/* Reads engines' records more often for a while, to learn of engines that have
   just started. */
void qr_gateway_poll_engines_faster(QRGateway *g);
/* Takes the part of a gateway's heartbeat that concerns the store's records. */
void qr_gateway_share_take_load(QRGateway *g, QRFleetMember *member,
                                const Qr__Fleet__Load *load);
/* Earliest time at which a frame that is read now was sent: frames queue up
   while this process is suspended. */
uint64_t qr_gateway_earliest_send_ms(const QRGateway *g);
/* When all of the operator's records were last known to us; 0: never. */
uint64_t qr_gateway_operator_current_ms(const QRGateway *g);
/* Time since then, for log lines, ms; -1: no read has confirmed it yet. */
int64_t qr_gateway_operator_confirmed_ago_ms(const QRGateway *g);
/* Whether the outage that the last read ended was one of the store, rather than
   of our connection to the store. */
bool qr_gateway_store_was_away(const QRGateway *g);
/* Whether no gateway that we hear has got an answer from the store for longer
   than two failed readers or one failed read can explain. */
bool qr_gateway_store_is_away(const QRGateway *g, uint64_t now_ms);
/* The time against which bounds of versions are checked: 'now_ms', or the start
   of the store's outage while there is one. */
uint64_t qr_gateway_bound_clock_ms(const QRGateway *g, uint64_t now_ms);
/* Fills the part of our heartbeat that concerns the store's records. Returns
   whether it holds news, for which the heartbeat should be sent at once. */
bool qr_gateway_share_fill_load(QRGateway *g, Qr__Fleet__Load *load);
/* Answers a gateway's request for changes of engines. */
void qr_gateway_send_engine_changes(QRGateway *g, QRPeerConn *peer,
                                    const Qr__Fleet__Fetch *fetch);
/* Takes changes of engines that gateway 'from' sent on request. */
void qr_gateway_take_engine_changes(QRGateway *g, const QRFleetMember *from,
                                    const Qr__Fleet__Records *records);
/* Takes the load in another gateway's heartbeat. */
void qr_gateway_take_load(QRGateway *g, QRFleetMember *member,
                          const Qr__Fleet__Load *load);
/* Drops the load of gateways that have sent none lately. */
void qr_gateway_expire_loads(QRGateway *g, uint64_t now_ms);
/* Sends our load and the positions that we know to peers, when due. */
void qr_gateway_heartbeat(QRGateway *g, uint64_t now_ms);
/*
 * Notes that an engine is leaving, or no longer is. The sidecar beside a
 * leaving engine will soon be no source of weights.
 */
void qr_gateway_set_sidecar_leaving(QRGateway *g, const char *engine_address,
                                    bool leaves);
/* Drops sidecars that have been silent for too long. */
void qr_gateway_expire_sidecars(QRGateway *g, uint64_t now_ms);
/* Tells every gateway whether we are leaving. */
void qr_gateway_send_leaving(QRGateway *g);
/*
 * Returns the oldest version of the weights on which calls for 'service' may
 * begin, or 0 for any. A newer version counts 'margin_ms' before its bound.
 */
uint64_t qr_gateway_version_in_force(const QRGateway *g,
                                     const QRService *service,
                                     uint64_t margin_ms, uint64_t now_ms);
/* A request for a slot for one call. QRSlotCall in fleet/qr_slots.h explains
   the fields. */
typedef struct QRSlotRequest {
    uint32_t call; /* number of the request */
    unsigned prompt, max_open, max_reading;
    unsigned denials;
    bool ignores_backoff;
    uint32_t rank, team;
} QRSlotRequest;

/* Asks the coordinator of the engine's slots for one. The coordinator must
 * exist. */
void qr_gateway_request_slot(QRGateway *g, QREngine *e,
                             const QRSlotRequest *wish);
/* Ends a slot request for a call of 'prompt' tokens. */
void qr_gateway_slot_request_done(QRGateway *g, QREngine *e, unsigned prompt);
/* Notes that our slot use at the engine must be sent to the coordinator again.
 */
void qr_gateway_slots_changed(QRGateway *g, QREngine *e);
void qr_gateway_slot_reply(QRGateway *g, const Qr__Fleet__SlotReply *reply);
/* Notes the slots that other gateways use at an engine, as the process beside
   the engine reports. */
void qr_gateway_set_others_load(QREngine *e, unsigned open, unsigned reading,
                                uint64_t now_ms);
/* Notes that the process beside the engine keeps its slots and is connected on
   'peer'. */
void qr_gateway_set_sidecar_coordinator(QRGateway *g, QREngine *e,
                                        QRPeerConn *peer);
/* Notes that a connection is lost: no coordinator can be asked on 'peer'. */
void qr_gateway_coordinator_lost(QRGateway *g, const QRPeerConn *peer);
GHashTable *qr_gateway_coordinated_slots_new(void);
/* At each heartbeat: sends slot use that is due, and divides the engines
   without a process beside them among the gateways that keep slots. */
void qr_gateway_slots_heartbeat(QRGateway *g, uint64_t now_ms);
/* Rate that the engine bears while it is cold, as its service states; 0: it is
   not cold, or bears as much as a warm one. */
double qr_gateway_cold_rate(const QRGateway *g, const QREngine *e);
/* Whether calls to the engine need a slot granted within a rate limit: one that
   it announced, or that of a cold engine. */
bool qr_gateway_engine_is_limited(const QRGateway *g, const QREngine *e);
/* Drops the slots of engines that are no longer known. */
void qr_gateway_slots_sweep(QRGateway *g);
/* Takes another gateway's slot use at an engine and its request for a slot, if
   the message has one. */
void qr_gateway_answer_slot_request(QRGateway *g, QRPeerConn *peer,
                                    const Qr__Fleet__SlotRequest *request);
/* Sends our slot use to the coordinators of engines where it has changed. */
void qr_gateway_slots_tick(QRGateway *g);
/* Whether calls can be served: not stopping, and configuration and engines are
   known. */
bool qr_gateway_is_ready(const QRGateway *g);
/* Whether the gateway started a moment ago and may still receive what others
   know. */
bool qr_gateway_is_starting(const QRGateway *g);
/* Admits or refuses a request that was read completely. */
void qr_gateway_handle_call(QRGateway *g, QRExchange *x);
/* Applies the configuration's limits to the callers' server. */
void qr_gateway_apply_limits(QRGateway *g);
/* Statistics of a service, created at first use; owned by the gateway. */
QRServiceStats *qr_gateway_stats(QRGateway *g, const char *service);
/* Time of the event loop's clock in ms. */
uint64_t qr_gateway_now(const QRGateway *g);

/* Runs until SIGTERM or SIGINT. Returns an exit status. 'set' is borrowed. */
int qr_gateway_run(const char *settings_file, QRFleetSettings *set);

#endif
