/*
 * A claim on the next room at an engine, for a call with a long prompt.
 *
 * A call may join an engine only while few prompt tokens are unread there.
 * Under overload short prompts follow one another so closely that a long one,
 * which needs more of the engine's time at once, hardly ever finds enough room.
 * A call with a long prompt that engines have denied for this reason claims the
 * next room at one of them, if calls of its size are behind: fewer of them have
 * been granted, of those that asked, than of all. Until it is granted there, or
 * the claim lapses, calls of its rank or below with shorter prompts are denied.
 *
 * The state is soft: a coordinator that restarts has no claim.
 */
#ifndef QR_ROOM_CLAIM_H
#define QR_ROOM_CLAIM_H

#include "base/qr_base.h"

/* Sizes of prompts: two for each power of two. */
#define QR_PROMPT_SIZES 64
/* Longest claim. Engines read what was unread at its beginning in less time. */
#define QR_ROOM_CLAIM_MAX_MS 300

typedef struct QRRoomClaim {
    unsigned prompt; /* tokens; 0: there is no claim */
    uint32_t rank;   /* as in QRShareRequest */
    uint64_t begun_ms, until_ms;
    double credit; /* claims that the grants so far allow */
    /* calls that asked, once in each try, and of these the granted ones; of the
       latest calls */
    double asked, granted;
    /* grants that calls of a size lack for the same share as all */
    double behind[QR_PROMPT_SIZES];
    uint64_t made, used; /* counters; used: ended by a grant */
} QRRoomClaim;

/* A call that asks for a slot. */
typedef struct QRRoomRequest {
    unsigned prompt;  /* tokens */
    uint32_t rank;    /* as in QRShareRequest */
    unsigned denials; /* of the call so far, by coordinators */
} QRRoomRequest;

/* Counts a request, if it is the one of its try that counts. */
void qr_room_claim_note_asked(QRRoomClaim *c, const QRRoomRequest *r);
/* Renews the claim, or makes one, for a call that was denied as too many tokens
   were unread. Returns for how long room is kept for the call, in ms; 0: it has
   no claim. */
uint32_t qr_room_claim_note_denied(QRRoomClaim *c, const QRRoomRequest *r,
                                   uint64_t now_ms);
/* Whether the call must leave the room to the call that claims it. */
bool qr_room_claim_excludes(const QRRoomClaim *c, const QRRoomRequest *r,
                            uint64_t now_ms);
void qr_room_claim_note_granted(QRRoomClaim *c, const QRRoomRequest *r,
                                uint64_t now_ms);

#endif
