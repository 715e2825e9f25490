/*
 * Fair sharing of an engine's slots among ranks of calls and teams. Decides
 * whether a request for a slot must leave a free slot to others; qr_slots.c
 * decides whether there is a free slot.
 *
 * The state is soft: a coordinator that restarts begins with an empty table,
 * in which no request yields until others have been denied.
 */
#ifndef QR_SHARES_H
#define QR_SHARES_H

#include "base/qr_base.h"

#define QR_SHARE_TEAMS_MAX 64 /* in the table; also bits of a mask */
#define QR_SHARE_RANKS_MAX 16
#define QR_SHARE_RANK_LAST 255 /* the least urgent rank */

typedef enum QRShareVerdict {
    QR_SHARE_TAKES,           /* may take a free slot */
    QR_SHARE_TAKES_ON_CREDIT, /* the same, of what its rank keeps */
    QR_SHARE_YIELDS_TO_RANK,  /* must leave it to a more urgent rank */
    QR_SHARE_YIELDS_TO_TEAM,  /* ... to teams with less than their share */
    QR_SHARE_YIELDS_TO_CLAIM, /* ... to a long prompt, see qr_room_claim.h */
    QR_SHARE_VERDICT_COUNT,
} QRShareVerdict;

/* Requests of one team with one rank. */
typedef struct QRShareTeam {
    uint32_t rank, team;
    uint64_t asked_ms;  /* last request; 0: the entry is not used */
    uint64_t denied_ms; /* last denial that shows a lack of slots */
    double used;        /* recent grants, times the scale of QRShares */
} QRShareTeam;

typedef struct QRShareRank {
    uint32_t rank;
    uint64_t asked_ms;  /* as in QRShareTeam */
    uint64_t denied_ms; /* a request was last denied for lack of slots */
    double credit;      /* grants that need not yield to urgent ranks */
} QRShareRank;

/* Written to the log when sharing starts or ends. */
typedef struct QRShareNotice {
    bool starts;
    QRShareVerdict verdict; /* the first that made a request yield */
    uint32_t rank, team;    /* of that request */
    unsigned teams, ranks;  /* with recent requests */
    uint64_t yielded;       /* requests, since the coordinator began */
} QRShareNotice;

typedef struct QRShares {
    QRShareTeam teams[QR_SHARE_TEAMS_MAX];
    uint64_t keys[QR_SHARE_TEAMS_MAX]; /* of 'teams', for a quick search */
    QRShareRank ranks[QR_SHARE_RANKS_MAX];
    unsigned teams_len, ranks_len; /* entries that were ever used */
    uint64_t base_ms;              /* a grant at this time counts as 1 */
    double scale;                  /* what one counts at the current request */
    uint64_t yielded[QR_SHARE_VERDICT_COUNT];
    uint64_t evicted; /* entries of teams with recent requests */
    /* for the log */
    bool is_active;
    uint64_t yielded_ms, noticed_ms; /* last yield; last notice; 0: never */
    QRShareNotice pending;
    bool has_pending;
} QRShares;

/* A request for a slot. */
typedef struct QRShareRequest {
    uint32_t rank, team;
    unsigned denials; /* by coordinators of engines so far, at full limits */
    unsigned team_at, rank_at; /* private to qr_shares.c: indices */
} QRShareRequest;

/* Rank of a call: that of its team goes first. Priorities over 15 count as
   15. */
uint32_t qr_share_rank(unsigned team_priority, unsigned route_priority);
/* Hash of a team's name; 0 for none. */
uint32_t qr_share_team(const char *name);

/* Enters a request into the table. Until the next call of this function,
   'request' is valid for the functions below. */
void qr_shares_begin(QRShares *s, QRShareRequest *request, uint64_t now_ms);
/* Decides whether the request may take a free slot while slots are short. */
QRShareVerdict qr_shares_decide(const QRShares *s,
                                const QRShareRequest *request, uint64_t now_ms);
void qr_shares_note_granted(QRShares *s, const QRShareRequest *request,
                            QRShareVerdict verdict);
/* Notes a request that was denied for lack of slots, or that yields. */
void qr_shares_note_denied(QRShares *s, const QRShareRequest *request,
                           uint64_t now_ms);
/* Counts a request that yields. */
void qr_shares_note_yielded(QRShares *s, const QRShareRequest *request,
                            QRShareVerdict verdict, uint64_t now_ms);
/* Returns true if sharing has started or ended since the last call, and fills
   'notice': at most once a second. */
bool qr_shares_take_notice(QRShares *s, uint64_t now_ms, QRShareNotice *notice);
const char *qr_share_verdict_name(QRShareVerdict verdict);

#endif
