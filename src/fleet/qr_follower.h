/*
 * Follows one topic of the store: lists the newest record of each key, then
 * reads what comes after. Lists again when the store no longer keeps what it
 * was to read next.
 */
#ifndef QR_FOLLOWER_H
#define QR_FOLLOWER_H

#include "net/qr_buffered_call.h"
#include "qr_platform.h"

typedef struct QRFollowerHandlers {
    /* A record, newest last; an empty value says that its key is gone. */
    void (*record)(void *owner, const QRStoreRecord *record);
    /* The store has come back without its last records; those that follow are
       of this epoch. */
    void (*went_back)(void *owner, uint64_t epoch);
    /* All records of a listing were given: keys that are not in the set 'keys'
       are gone. */
    void (*listed)(void *owner, GHashTable *keys);
    /* The store answered again, or no longer does ('why'). */
    void (*reached)(void *owner, bool reached, const char *why);
} QRFollowerHandlers;

typedef struct QRFollowerOptions {
    QRTopic topic;
    const char *address;  /* ip:port of the store */
    unsigned wait_ms;     /* how long a read waits for records; 0: not */
    unsigned interval_ms; /* between two reads */
    unsigned timeout_ms;  /* for an answer to begin, beyond wait_ms */
} QRFollowerOptions;

typedef struct QRFollower QRFollower;

QRFollower *qr_follower_new(QRClient *client, const QRPlatform *platform,
                            const QRFollowerOptions *options,
                            const QRFollowerHandlers *handlers, void *owner);
void qr_follower_free(QRFollower *f);
void qr_follower_tick(QRFollower *f, uint64_t now_ms);
/* Position behind the newest record seen; none before the first listing, and
   while all is listed anew. */
QRPosition qr_follower_next(const QRFollower *f);
/* Whether the last call was answered, and when the last answer came. */
bool qr_follower_reached(const QRFollower *f);
uint64_t qr_follower_answered_ms(const QRFollower *f);
/* When all records of the store were last known by our own reading; 0: never.
   While an answer's records are handed over it is that of the answer before. */
uint64_t qr_follower_current_ms(const QRFollower *f);
/* No record of the last answer was put there longer ago; 0: all are new, for a
   read waited for them. */
uint64_t qr_follower_gap_ms(const QRFollower *f);
/* Tries that the store failed, not a connection of ours that had died unseen:
   of the first and the last one since qr_follower_current_ms(), when it was
   sent; 0: none. */
typedef struct QROutage {
    uint64_t first_ms, last_ms;
} QROutage;

QROutage qr_follower_outage(const QRFollower *f);
/*
 * All newest records before 'end' are known from elsewhere: they are not read,
 * nor is the topic listed for them.
 */
void qr_follower_skip(QRFollower *f, QRPosition end);
/* The store is known to answer from 'epoch' by now: one that reads looks at
   once. */
void qr_follower_expect(QRFollower *f, uint64_t epoch);
/* Stops reading, or goes on with a read at once. */
void qr_follower_pause(QRFollower *f, bool paused);
/* Between two reads from now on. */
void qr_follower_set_interval(QRFollower *f, unsigned interval_ms);
/* Lists all anew, at once. */
void qr_follower_restart(QRFollower *f);
uint64_t qr_follower_calls(const QRFollower *f);

#endif
