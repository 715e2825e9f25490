/*
 * Choice of the source of each piece of weights, and of the switch time.
 */
#include "qr_sources.h"

#include <math.h>
#include <string.h>

#define ATTEMPTS_MIN 5 /* failed sources before using the origin */
/* There is one root per this many connections that the origin accepts. The
 * other connections are left for sidecars whose sources failed, and for
 * connections that are slow to close. */
#define CONNECTIONS_PER_ROOT 3
#define ROOTS_DEFAULT 8
#define ROOTS_MAX 64
/* The requests that are open at the origin take this long together: enough to
   keep it busy between two requests of a root, and less than a connection
   attempt may take. */
#define ORIGIN_QUEUE_MS 400
#define ROOTS_MIN 2
/* Number of relay groups that each relay is in, see relay_group(). */
#define GROUPS_PER_RELAY 2
/* Only holders are asked once 1 in this many of a region holds the version. */
#define HOLDERS_FRACTION 2

typedef struct OrderKey {
    char text[QR_NAME_MAX + 48];
} OrderKey;

/* Sorts by rendezvous hash; members whose engines are leaving come last. */
static int compare_rank(const void *a, const void *b, void *key)
{
    const QRFleetMember *m = *(const QRFleetMember *const *)a;
    const QRFleetMember *n = *(const QRFleetMember *const *)b;
    uint64_t wm = qr_rendezvous(((OrderKey *)key)->text, m->name);
    uint64_t wn = qr_rendezvous(((OrderKey *)key)->text, n->name);

    if (m->leaving != n->leaving)
        return m->leaving ? 1 : -1;
    return wm < wn ? -1 : wm > wn ? 1 : strcmp(m->name, n->name);
}

unsigned qr_source_root_count(const QROriginLimits *limits)
{
    unsigned roots = limits->connections
                         ? limits->connections / CONNECTIONS_PER_ROOT
                         : ROOTS_DEFAULT;
    double busy;

    if (limits->bytes_per_ms > 0 && limits->piece_bytes > 0) {
        busy = ORIGIN_QUEUE_MS * limits->bytes_per_ms / limits->piece_bytes;
        roots = MIN(roots, (unsigned)CLAMP(busy, ROOTS_MIN, ROOTS_MAX));
    }
    return CLAMP(roots, 1, ROOTS_MAX);
}

/* A member that may become a root. */
typedef struct RootCandidate {
    QRFleetMember *member;
    uint64_t weight;
} RootCandidate;

/* Whether 'a' is preferred to 'b'. */
static bool is_better_root(const RootCandidate *a, const RootCandidate *b)
{
    if (a->member->leaving != b->member->leaving)
        return !a->member->leaving;
    if (a->weight != b->weight)
        return a->weight < b->weight;
    return strcmp(a->member->name, b->member->name) < 0;
}

/* Returns the best candidate for the place whose members all have another
   place by their names; it is none of the roots so far. */
static QRFleetMember *choose_substitute(const GPtrArray *members,
                                        GPtrArray *roots, bool staying,
                                        const char *key, unsigned place)
{
    g_autofree char *place_key = g_strdup_printf("%s/%u", key, place);
    RootCandidate best = {0};

    for (unsigned i = 0; i < members->len; i++) {
        RootCandidate c = {.member = members->pdata[i]};

        if ((staying && c.member->leaving) ||
            g_ptr_array_find(roots, c.member, NULL))
            continue;
        c.weight = qr_rendezvous(place_key, c.member->name);
        if (!best.member || is_better_root(&c, &best))
            best = c;
    }
    return best.member;
}

/*
 * Returns up to 'max' roots. The name of each member hashes to one place, which
 * the best of these members takes: when a member comes or goes, no other place
 * has a new root. Only a place to which no name hashes gets a substitute from
 * the others.
 */
static GPtrArray *choose_roots(const GPtrArray *members, unsigned max,
                               const char *model)
{
    RootCandidate best[ROOTS_MAX] = {0};
    g_autofree char *key = g_strdup_printf("root/%s", model);
    GPtrArray *roots = g_ptr_array_new();
    unsigned staying = 0, n;

    for (unsigned i = 0; i < members->len; i++)
        staying += !((QRFleetMember *)members->pdata[i])->leaving;
    n = MIN(max, staying ? staying : members->len);
    for (unsigned i = 0; i < members->len; i++) {
        RootCandidate c = {.member = members->pdata[i]};
        RootCandidate *held;

        if (staying && c.member->leaving)
            continue;
        c.weight = qr_rendezvous(key, c.member->name);
        held = &best[c.weight % n];
        if (!held->member || is_better_root(&c, held))
            *held = c;
    }
    g_ptr_array_set_size(roots, (int)n);
    for (unsigned i = 0; i < n; i++)
        roots->pdata[i] = best[i].member;
    for (unsigned i = 0; i < n; i++) {
        if (!roots->pdata[i])
            roots->pdata[i] =
                choose_substitute(members, roots, staying > 0, key, i);
    }
    return roots;
}

void qr_source_plan_init(QRSourcePlan *plan, const GPtrArray *members,
                         const char *self, const char *region, unsigned roots,
                         const char *model, uint64_t version, unsigned pieces)
{
    unsigned staying_local = 0;
    OrderKey key;

    g_snprintf(key.text, sizeof(key.text), "%s/%" G_GUINT64_FORMAT, model,
               version);
    plan->self = self;
    plan->region = region;
    plan->pieces = pieces;
    plan->rank = 0;
    plan->all = g_ptr_array_new();
    plan->local = g_ptr_array_new();
    plan->holders = g_ptr_array_new();
    plan->local_holders = g_ptr_array_new();
    for (unsigned i = 0; i < members->len; i++) {
        const QRFleetMember *m = members->pdata[i];

        g_ptr_array_add(plan->all, members->pdata[i]);
        staying_local += !m->leaving && g_strcmp0(m->region, region) == 0;
    }
    plan->roots = choose_roots(members, CLAMP(roots, 1, ROOTS_MAX), model);
    plan->relays = staying_local;
    g_ptr_array_sort_with_data(plan->all, compare_rank, &key);
    for (unsigned i = 0; i < plan->all->len; i++) {
        QRFleetMember *m = plan->all->pdata[i];
        bool is_local = g_strcmp0(m->region, region) == 0;
        bool holds = m->complete_version == version &&
                     strcmp(m->name, self) != 0 &&
                     g_strcmp0(m->model, model) == 0;

        if (is_local && strcmp(m->name, self) == 0)
            plan->rank = plan->local->len;
        if (is_local)
            g_ptr_array_add(plan->local, m);
        holds = holds && !m->leaving;
        if (holds)
            g_ptr_array_add(plan->holders, m);
        if (holds && is_local)
            g_ptr_array_add(plan->local_holders, m);
    }
}

void qr_source_plan_clear(QRSourcePlan *plan)
{
    g_clear_pointer(&plan->all, g_ptr_array_unref);
    g_clear_pointer(&plan->local, g_ptr_array_unref);
    g_clear_pointer(&plan->roots, g_ptr_array_unref);
    g_clear_pointer(&plan->holders, g_ptr_array_unref);
    g_clear_pointer(&plan->local_holders, g_ptr_array_unref);
}

static const QRFleetMember *member_at_rank(const GPtrArray *list, uint64_t rank)
{
    return list->len > 0 ? list->pdata[rank % list->len] : NULL;
}

static bool is_self(const QRSourcePlan *plan, const QRFleetMember *m)
{
    return strcmp(m->name, plan->self) == 0;
}

/* Returns the source of the piece outside the region if this sidecar is its
   relay; NULL: the origin. */
static const QRFleetMember *choose_root(const QRSourcePlan *plan,
                                        uint32_t index, unsigned tried)
{
    uint64_t rank = (uint64_t)index + tried;
    bool is_manifest = index == QR_MANIFEST_INDEX;
    const QRFleetMember *root;

    if (!is_manifest && plan->local_holders->len > 0)
        return member_at_rank(plan->local_holders, rank);
    if (!is_manifest && plan->holders->len > 0)
        return member_at_rank(plan->holders, rank);
    root = member_at_rank(plan->roots, rank);
    return root && !is_self(plan, root) ? root : NULL;
}

bool qr_source_is_owner(const QRSourcePlan *plan, uint32_t index)
{
    const QRFleetMember *root = member_at_rank(plan->roots, index);

    return root && is_self(plan, root);
}

bool qr_source_is_prober(const QRSourcePlan *plan)
{
    return qr_source_is_owner(plan, 0);
}

/* Sidecars of leaving engines are relays only if no other sidecar remains. */
static unsigned relay_count(const QRSourcePlan *plan)
{
    return plan->relays ? plan->relays : plan->local->len;
}

static const QRFleetMember *relay_at(const QRSourcePlan *plan, uint64_t rank)
{
    unsigned n = relay_count(plan);

    return n > 0 ? plan->local->pdata[rank % n] : NULL;
}

/*
 * The relays of a piece: 'count' consecutive ranks of the region from 'first',
 * modulo 'relays'. The first fetches the piece from the root, the others fetch
 * it from the first.
 */
typedef struct RelayGroup {
    unsigned relays; /* all relays of the region; at least 1 */
    unsigned first, count;
} RelayGroup;

/*
 * Each relay has the same number of pieces of its own. Each remaining piece has
 * a group of relays. The size of a group places each relay in about
 * GROUPS_PER_RELAY groups, and is at most the square root of the number of
 * relays; the first relay then sends no more copies to the others of its group
 * than each of those sends.
 */
static RelayGroup relay_group(unsigned pieces, unsigned relays, uint32_t index)
{
    unsigned left = pieces % relays, count;

    if (left == 0 || index == QR_MANIFEST_INDEX || index < pieces - left)
        return (RelayGroup){relays, index % relays, 1};
    count = MIN(GROUPS_PER_RELAY * relays / left, (unsigned)sqrt(relays));
    return (RelayGroup){relays, (index - (pieces - left)) * count % relays,
                        count};
}

static bool is_in_group(const RelayGroup *g, unsigned rank)
{
    return rank < g->relays &&
           (rank + g->relays - g->first) % g->relays < g->count;
}

/* Whether this sidecar is a relay of the piece. */
static bool is_group_relay(const QRSourcePlan *plan, uint32_t index)
{
    unsigned n = relay_count(plan);
    RelayGroup group;

    if (n == 0)
        return false;
    group = relay_group(plan->pieces, n, index);
    return is_in_group(&group, plan->rank);
}

/* Returns the relay from which this sidecar fetches the piece. Returns this
   sidecar itself if it is the first of the group. */
static const QRFleetMember *default_relay(const QRSourcePlan *plan,
                                          uint32_t index)
{
    unsigned n = relay_count(plan);
    RelayGroup group;

    if (n == 0)
        return NULL;
    group = relay_group(plan->pieces, n, index);
    if (is_in_group(&group, plan->rank))
        return relay_at(plan, group.first);
    return relay_at(plan, group.first + plan->rank % group.count);
}

/* Whether all sidecars of the region, or all roots, failed to deliver. */
static bool is_exhausted(const QRSourcePlan *plan, QRSourceAttempts tried)
{
    return tried.relays >= MAX(plan->local->len, ATTEMPTS_MIN) ||
           tried.roots >= MAX(plan->roots->len, ATTEMPTS_MIN);
}

/* Returns the relay to ask for the piece; NULL: this sidecar asks a root. */
static const QRFleetMember *choose_relay(const QRSourcePlan *plan,
                                         uint32_t index, unsigned tried,
                                         QRPieceRole role)
{
    const QRFleetMember *relay = tried == 0
                                     ? default_relay(plan, index)
                                     : relay_at(plan, (uint64_t)index + tried);

    if (!relay || is_self(plan, relay) || role == QR_PIECE_ROLE_FIRST_RELAY ||
        (role == QR_PIECE_ROLE_RELAY && !is_group_relay(plan, index)))
        return NULL;
    return relay;
}

QRPieceSource qr_source_choose(const QRSourcePlan *plan, uint32_t index,
                               QRSourceAttempts tried, QRPieceRole role)
{
    /* the hash of the asker's name spreads requests over the holders */
    uint64_t turn = qr_hash_str(plan->self, 0) % 1024 + index + tried.relays;
    const QRPieceSource origin = {NULL, QR_PIECE_ROLE_NONE};
    const QRFleetMember *root = choose_root(plan, index, tried.roots);
    const QRFleetMember *relay;

    if (!root || role == QR_PIECE_ROLE_ROOT || is_exhausted(plan, tried))
        return origin;
    /* below this fraction, the holders could not send to all the others */
    if (index != QR_MANIFEST_INDEX &&
        plan->local_holders->len * HOLDERS_FRACTION >= plan->local->len)
        return (QRPieceSource){member_at_rank(plan->local_holders, turn),
                               QR_PIECE_ROLE_RELAY};
    relay = choose_relay(plan, index, tried.relays, role);
    if (!relay)
        return (QRPieceSource){root, QR_PIECE_ROLE_ROOT};
    return (QRPieceSource){relay, is_group_relay(plan, index)
                                      ? QR_PIECE_ROLE_FIRST_RELAY
                                      : QR_PIECE_ROLE_RELAY};
}

/* The relays of one region, counted in the order of the plan. */
typedef struct RegionRelays {
    unsigned staying, passed;
} RegionRelays;

void qr_source_first_relays(const QRSourcePlan *plan, uint32_t index,
                            GPtrArray *out)
{
    g_autoptr(GHashTable) regions =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

    for (unsigned pass = 0; pass < 2; pass++) {
        for (unsigned i = 0; i < plan->all->len; i++) {
            QRFleetMember *m = plan->all->pdata[i];
            RegionRelays *r = g_hash_table_lookup(regions, m->region);
            RelayGroup group;

            if (m->leaving)
                continue;
            if (!r) {
                r = g_new0(RegionRelays, 1);
                g_hash_table_insert(regions, m->region, r);
            }
            if (pass == 0) {
                r->staying++;
                continue;
            }
            group = relay_group(plan->pieces, r->staying, index);
            if (r->passed++ == group.first && !is_self(plan, m))
                g_ptr_array_add(out, m);
        }
    }
}

bool qr_source_is_relay(const QRSourcePlan *plan, uint32_t index,
                        const QRFleetMember *member)
{
    unsigned relays = 0, rank = 0;
    RelayGroup group;

    for (unsigned i = 0; i < plan->all->len; i++) {
        const QRFleetMember *m = plan->all->pdata[i];

        if (m->leaving || g_strcmp0(m->region, member->region) != 0)
            continue;
        if (m == member)
            rank = relays;
        relays++;
    }
    if (relays == 0 || member->leaving)
        return false;
    group = relay_group(plan->pieces, relays, index);
    return is_in_group(&group, rank);
}

unsigned qr_source_rank(const QRSourcePlan *plan, const char *name)
{
    for (unsigned i = 0; i < plan->all->len; i++) {
        const QRFleetMember *m = plan->all->pdata[i];

        if (strcmp(m->name, name) == 0)
            return i;
    }
    return plan->all->len;
}

uint64_t qr_switch_time_ms(const QRSourcePlan *plan, uint64_t first_ms,
                           uint64_t last_ms)
{
    unsigned n = plan->all->len;
    unsigned rank = qr_source_rank(plan, plan->self);

    if (n < 2 || last_ms <= first_ms)
        return first_ms;
    return first_ms + (last_ms - first_ms) * rank / (n - 1);
}
