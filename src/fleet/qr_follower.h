/*
 * Follows one topic of the store: lists the newest record of each key, then
 * reads the records that are appended. Lists again when the store no longer
 * keeps the record that would be read next.
 */
#ifndef QR_FOLLOWER_H
#define QR_FOLLOWER_H

#include "net/qr_buffered_call.h"
#include "qr_platform.h"

typedef struct QRFollowerHandlers {
    /* Called for each record, newest last. An empty value means that the key
       was deleted. */
    void (*record)(void *owner, const QRStoreRecord *record);
    /* The store was restored without its latest records. Records that follow
       belong to 'epoch'. */
    void (*store_restored)(void *owner, uint64_t epoch);
    /* All records of a listing were delivered. Keys that are not in the set
       'keys' no longer exist. */
    void (*listed)(void *owner, GHashTable *keys);
    /* The store answers again, or has stopped answering; 'why' is the cause. */
    void (*reachable)(void *owner, bool reachable, const char *why);
} QRFollowerHandlers;

typedef struct QRFollowerOptions {
    QRTopic topic;
    const char *address; /* ip:port of the store */
    unsigned wait_ms; /* how long the store may hold a read until records come;
                         0: not at all */
    unsigned interval_ms; /* between two reads */
    unsigned timeout_ms;  /* until a response begins, on top of wait_ms */
} QRFollowerOptions;

typedef struct QRFollower QRFollower;

QRFollower *qr_follower_new(QRClient *client, const QRPlatform *platform,
                            const QRFollowerOptions *options,
                            const QRFollowerHandlers *handlers, void *owner);
void qr_follower_free(QRFollower *f);
void qr_follower_tick(QRFollower *f, uint64_t now_ms);
/* Position after the newest record seen. None (zero) before the first listing
   and while a new listing is under way. */
QRPosition qr_follower_next_position(const QRFollower *f);
/* Whether the store answered the last request, and the earliest time at which
   its last valid answer may have arrived. */
bool qr_follower_is_reachable(const QRFollower *f);
uint64_t qr_follower_answered_ms(const QRFollower *f);
/* All records written before this time are known; 0: none. While the records of
   an answer are delivered, the time of the answer before. */
uint64_t qr_follower_caught_up_ms(const QRFollower *f);
/* Upper bound of the age of the records in the last answer. It is short if the
   store held the read until they were written. */
uint64_t qr_follower_max_record_age_ms(const QRFollower *f);
/* When the first and the last failed requests since qr_follower_caught_up_ms()
   were sent; 0: none. Failures of connections that had broken unnoticed while
   idle do not count. */
typedef struct QROutage {
    uint64_t first_ms, last_ms;
} QROutage;

QROutage qr_follower_outage(const QRFollower *f);
/*
 * Continues reading at 'end'. The newest records before 'end' are known from
 * elsewhere and are neither read nor listed.
 */
void qr_follower_skip_to(QRFollower *f, QRPosition end);
/* The store is known to have reached 'epoch'. A follower that is not paused and
   knows only an earlier epoch lists anew at once. */
void qr_follower_expect_epoch(QRFollower *f, uint64_t epoch);
/* Stops reading, or resumes reading at once. */
void qr_follower_pause(QRFollower *f, bool paused);
/* Sets the interval between two reads; shortens a wait that has begun. */
void qr_follower_set_interval(QRFollower *f, unsigned interval_ms);
/*
 * Held reads end 'phase_ms' before each whole wait since the last records came.
 * Several readers of one topic get the same records at the same time; with
 * other phases their reads never end together.
 */
void qr_follower_set_phase(QRFollower *f, unsigned phase_ms);
/* Lists the whole topic anew, at once. */
void qr_follower_relist(QRFollower *f);
/* Number of requests sent to the store so far. */
uint64_t qr_follower_requests_sent(const QRFollower *f);

#endif
