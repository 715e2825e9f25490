/*
 * Fair sharing of an engine's slots among ranks and teams.
 */
#include "qr_shares.h"

#include <math.h>

/* A team counts while its last request is not older than this. */
#define ASKED_MS 2000
/* A rank or team that was denied wants slots for this time, in which a team
   with few calls is denied here again if it still lacks slots. Longer, slots
   would stay unused. */
#define WANTS_MS 300
/* A denial shows that a rank or team wants slots only if other engines have
   denied the call so often before: otherwise it may find a slot elsewhere. */
#define WANTS_DENIALS 3
/* Grants count half after this time. Shorter, an engine with 8 grants a second
   has too few of them to compare 24 teams. */
#define GRANT_HALF_LIFE_MS 2000
#define REBASE_HALF_LIVES 32 /* keeps the scale of grants within a double */
/* What a rank keeps of the calls that it requests slots for. */
#define RANK_KEEPS 0.25
/* Adds to the credit of a rank once in each try of a call: requests with the
   limits of the call relaxed count its denials 0, 1, 2... */
#define CREDIT_DENIALS 1
/* Bounds the calls of a rank that go first at once after a long wait. */
#define CREDIT_MAX 4
#define PRIORITY_LAST 15
#define TEAM_SEED 23       /* of the hash of a team's name */
#define NOTICE_GAP_MS 1000 /* least time between two notices */
#define INACTIVE_MS 1000   /* without a yield for this time, sharing ends */

uint32_t qr_share_rank(unsigned team_priority, unsigned route_priority)
{
    return MIN(team_priority, PRIORITY_LAST) * (PRIORITY_LAST + 1) +
           MIN(route_priority, PRIORITY_LAST);
}

uint32_t qr_share_team(const char *name)
{
    uint64_t hash;

    if (!name || !*name)
        return 0;
    hash = qr_hash_str(name, TEAM_SEED);
    return MAX((uint32_t)(hash ^ hash >> 32), 1);
}

static bool is_recent(uint64_t since_ms, uint64_t for_ms, uint64_t now_ms)
{
    return since_ms > 0 && now_ms < since_ms + for_ms;
}

/* What a grant counts now. Older grants are not decayed one by one: later ones
   count more instead. */
static double grant_scale(const QRShares *s, uint64_t now_ms)
{
    return exp2((double)(now_ms - MIN(now_ms, s->base_ms)) /
                GRANT_HALF_LIFE_MS);
}

static void rebase(QRShares *s, uint64_t now_ms)
{
    double factor;

    if (now_ms < s->base_ms + REBASE_HALF_LIVES * GRANT_HALF_LIFE_MS)
        return;
    factor = 1 / grant_scale(s, now_ms);
    for (unsigned i = 0; i < s->teams_len; i++)
        s->teams[i].used *= factor;
    s->base_ms = now_ms;
}

static unsigned find_rank(QRShares *s, uint32_t rank, uint64_t now_ms)
{
    unsigned oldest = 0;

    for (unsigned i = 0; i < s->ranks_len; i++) {
        if (s->ranks[i].rank == rank)
            return i;
        if (s->ranks[i].asked_ms < s->ranks[oldest].asked_ms)
            oldest = i;
    }
    if (s->ranks_len < QR_SHARE_RANKS_MAX)
        oldest = s->ranks_len++;
    s->ranks[oldest] = (QRShareRank){.rank = rank, .asked_ms = now_ms};
    return oldest;
}

/* The team that asked longest ago is evicted: a team whose requests are all
   denied is active, too, and one with large usage must not lose its account. */
static unsigned evict_team(QRShares *s, uint64_t now_ms)
{
    unsigned oldest = 0;

    for (unsigned i = 1; i < s->teams_len; i++) {
        if (s->teams[i].asked_ms < s->teams[oldest].asked_ms)
            oldest = i;
    }
    s->evicted += is_recent(s->teams[oldest].asked_ms, ASKED_MS, now_ms);
    return oldest;
}

static unsigned find_team(QRShares *s, uint32_t rank, uint32_t team,
                          uint64_t now_ms)
{
    uint64_t key = (uint64_t)rank << 32 | team;
    unsigned at;

    for (at = 0; at < s->teams_len; at++) {
        if (s->keys[at] == key)
            return at;
    }
    if (s->teams_len < QR_SHARE_TEAMS_MAX)
        s->teams_len++;
    else
        at = evict_team(s, now_ms);
    s->keys[at] = key;
    s->teams[at] = (QRShareTeam){.rank = rank, .team = team};
    return at;
}

void qr_shares_begin(QRShares *s, QRShareRequest *request, uint64_t now_ms)
{
    QRShareRank *rank;

    rebase(s, now_ms);
    s->scale = grant_scale(s, now_ms);
    /* a malformed rank of another process */
    request->rank = MIN(request->rank, QR_SHARE_RANK_LAST);
    request->rank_at = find_rank(s, request->rank, now_ms);
    request->team_at = find_team(s, request->rank, request->team, now_ms);
    s->teams[request->team_at].asked_ms = MAX(now_ms, 1);
    rank = &s->ranks[request->rank_at];
    rank->asked_ms = MAX(now_ms, 1);
    if (request->denials == CREDIT_DENIALS)
        rank->credit = MIN(rank->credit + RANK_KEEPS, CREDIT_MAX);
}

static bool urgent_rank_wants(const QRShares *s, uint32_t rank, uint64_t now_ms)
{
    for (unsigned i = 0; i < s->ranks_len; i++) {
        if (s->ranks[i].rank < rank &&
            is_recent(s->ranks[i].denied_ms, WANTS_MS, now_ms))
            return true;
    }
    return false;
}

/*
 * The max-min share of each team with requests of 'rank', scaled: what is left
 * of the grants by teams that want no more and have less than it, divided by
 * the number of the others.
 */
static double fair_share(const QRShares *s, uint32_t rank, uint64_t now_ms)
{
    uint64_t open = 0; /* bits: teams not yet known to be content */
    double left = 0, share = INFINITY;
    unsigned n = 0, before;

    for (unsigned i = 0; i < s->teams_len; i++) {
        const QRShareTeam *t = &s->teams[i];

        if (t->rank != rank || !is_recent(t->asked_ms, ASKED_MS, now_ms))
            continue;
        open |= 1ull << i;
        left += t->used;
        n++;
    }
    do {
        before = n;
        share = n > 0 ? left / n : INFINITY;
        for (uint64_t rest = open; rest; rest &= rest - 1) {
            unsigned i = (unsigned)__builtin_ctzll(rest);
            const QRShareTeam *t = &s->teams[i];

            if (t->used >= share || is_recent(t->denied_ms, WANTS_MS, now_ms))
                continue;
            open &= ~(1ull << i);
            left -= t->used;
            n--;
        }
    } while (n < before);
    return share;
}

/* Returns the least usage among the teams of 'rank' that lack slots. */
static double least_used(const QRShares *s, uint32_t rank, uint64_t now_ms)
{
    double least = INFINITY;

    for (unsigned i = 0; i < s->teams_len; i++) {
        const QRShareTeam *t = &s->teams[i];

        if (t->rank == rank && is_recent(t->denied_ms, WANTS_MS, now_ms))
            least = MIN(least, t->used);
    }
    return least;
}

/* Whether the team has more than its share, while another with less was denied.
   One grant over the share is allowed: shares are smaller than a grant where
   teams are many. */
static bool yields_to_team(const QRShares *s, const QRShareTeam *own,
                           uint64_t now_ms)
{
    double least = least_used(s, own->rank, now_ms), share;

    /* no share is less than 'least' */
    if (own->used <= least + s->scale)
        return false;
    share = fair_share(s, own->rank, now_ms);
    return least < share && own->used > share + s->scale;
}

QRShareVerdict qr_shares_decide(const QRShares *s,
                                const QRShareRequest *request, uint64_t now_ms)
{
    const QRShareRank *rank = &s->ranks[request->rank_at];
    QRShareVerdict verdict = QR_SHARE_TAKES;

    if (urgent_rank_wants(s, request->rank, now_ms)) {
        if (rank->credit < 1)
            return QR_SHARE_YIELDS_TO_RANK;
        verdict = QR_SHARE_TAKES_ON_CREDIT;
    }
    if (yields_to_team(s, &s->teams[request->team_at], now_ms))
        return QR_SHARE_YIELDS_TO_TEAM;
    return verdict;
}

void qr_shares_note_granted(QRShares *s, const QRShareRequest *request,
                            QRShareVerdict verdict)
{
    QRShareRank *rank = &s->ranks[request->rank_at];

    s->teams[request->team_at].used += s->scale;
    if (verdict == QR_SHARE_TAKES_ON_CREDIT)
        rank->credit -= 1;
}

void qr_shares_note_denied(QRShares *s, const QRShareRequest *request,
                           uint64_t now_ms)
{
    if (request->denials < WANTS_DENIALS)
        return;
    s->ranks[request->rank_at].denied_ms = MAX(now_ms, 1);
    s->teams[request->team_at].denied_ms = MAX(now_ms, 1);
}

static void fill_notice(QRShares *s, bool starts, uint64_t now_ms)
{
    QRShareNotice *n = &s->pending;

    n->starts = starts;
    n->teams = n->ranks = 0;
    n->yielded = 0;
    for (unsigned i = 0; i < s->teams_len; i++)
        n->teams += is_recent(s->teams[i].asked_ms, ASKED_MS, now_ms);
    for (unsigned i = 0; i < s->ranks_len; i++)
        n->ranks += is_recent(s->ranks[i].asked_ms, ASKED_MS, now_ms);
    for (unsigned i = 0; i < QR_SHARE_VERDICT_COUNT; i++)
        n->yielded += s->yielded[i];
    s->noticed_ms = MAX(now_ms, 1);
    s->has_pending = true;
}

void qr_shares_note_yielded(QRShares *s, const QRShareRequest *request,
                            QRShareVerdict verdict, uint64_t now_ms)
{
    s->yielded[verdict]++;
    s->yielded_ms = MAX(now_ms, 1);
    if (s->is_active || is_recent(s->noticed_ms, NOTICE_GAP_MS, now_ms))
        return;
    s->is_active = true;
    s->pending.verdict = verdict;
    s->pending.rank = request->rank;
    s->pending.team = request->team;
    fill_notice(s, true, now_ms);
}

bool qr_shares_take_notice(QRShares *s, uint64_t now_ms, QRShareNotice *notice)
{
    if (s->is_active && !is_recent(s->yielded_ms, INACTIVE_MS, now_ms)) {
        s->is_active = false;
        fill_notice(s, false, now_ms);
    }
    if (!s->has_pending)
        return false;
    s->has_pending = false;
    *notice = s->pending;
    return true;
}

const char *qr_share_verdict_name(QRShareVerdict verdict)
{
    static const char *const names[QR_SHARE_VERDICT_COUNT] = {
        "takes", "takes_on_credit", "rank", "team", "claim"};

    return names[verdict];
}
