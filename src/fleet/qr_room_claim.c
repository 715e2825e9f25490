/*
 * A claim on the next room at an engine, for a call with a long prompt.
 */
#include "qr_room_claim.h"

/* A call that was denied so often is unlikely to find room by chance. */
#define CLAIM_DENIALS 2
/* A claim lapses if its call does not ask again in this time: the call may have
   been sent elsewhere. Gateways ask once a tick, each 20 ms. */
#define CLAIM_MS 100
/* Claims per grant: a bound on the slots that stay free for claims. */
#define CLAIM_SHARE 0.2
#define CREDIT_MAX 1.0
#define MEAN_WEIGHT (1.0 / 128)
#define BEHIND_MAX 2.0
/* Each try of a call that is not granted without a denial asks once with so
   many denials. */
#define ASKED_DENIALS 1

static bool is_open(const QRRoomClaim *c, uint64_t now_ms)
{
    return c->prompt > 0 && now_ms < c->until_ms;
}

bool qr_room_claim_excludes(const QRRoomClaim *c, const QRRoomRequest *r,
                            uint64_t now_ms)
{
    return is_open(c, now_ms) && r->rank >= c->rank && r->prompt < c->prompt;
}

/* Whether the call may use the claim. */
static bool is_covered(const QRRoomClaim *c, const QRRoomRequest *r,
                       uint64_t now_ms)
{
    return is_open(c, now_ms) && r->rank <= c->rank && r->prompt >= c->prompt;
}

static unsigned size_of(unsigned prompt)
{
    unsigned bits;

    if (prompt < 2)
        return prompt;
    bits = 31 - (unsigned)__builtin_clz(prompt);
    return 2 * bits + (prompt >> (bits - 1) & 1);
}

static void count_asked(QRRoomClaim *c, unsigned prompt)
{
    double *behind = &c->behind[size_of(prompt)];

    c->asked += 1 - MEAN_WEIGHT * c->asked;
    c->granted -= MEAN_WEIGHT * c->granted;
    *behind = MIN(*behind + c->granted / c->asked, BEHIND_MAX);
}

void qr_room_claim_note_asked(QRRoomClaim *c, const QRRoomRequest *r)
{
    if (r->denials == ASKED_DENIALS)
        count_asked(c, r->prompt);
}

uint32_t qr_room_claim_note_denied(QRRoomClaim *c, const QRRoomRequest *r,
                                   uint64_t now_ms)
{
    if (r->denials < CLAIM_DENIALS)
        return 0;
    if (is_open(c, now_ms)) {
        if (!is_covered(c, r, now_ms))
            return 0;
    } else {
        if (c->credit < 1 || c->behind[size_of(r->prompt)] <= 0)
            return 0;
        c->credit -= 1;
        c->begun_ms = now_ms;
        c->made++;
    }
    c->prompt = r->prompt;
    c->rank = r->rank;
    c->until_ms = MIN(now_ms + CLAIM_MS, c->begun_ms + QR_ROOM_CLAIM_MAX_MS);
    return (uint32_t)(c->until_ms - now_ms);
}

void qr_room_claim_note_granted(QRRoomClaim *c, const QRRoomRequest *r,
                                uint64_t now_ms)
{
    double *behind = &c->behind[size_of(r->prompt)];

    if (r->denials < ASKED_DENIALS)
        count_asked(c, r->prompt);
    c->granted++;
    *behind = MAX(*behind - 1, -BEHIND_MAX);
    if (is_covered(c, r, now_ms)) {
        c->prompt = 0;
        c->used++;
    } else {
        c->credit = MIN(c->credit + CLAIM_SHARE, CREDIT_MAX);
    }
}
