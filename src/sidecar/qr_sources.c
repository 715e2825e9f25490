/*
 * Where a sidecar draws a piece of weights from, and when it switches.
 */
#include "qr_sources.h"

#include <math.h>
#include <string.h>

#define ATTEMPTS_LEAST 5 /* before all go to the origin themselves */
/* One root for so many connections of the origin: the rest is for sidecars
 * whose sources failed, and for connections that linger. */
#define CONNECTIONS_A_ROOT 3
#define ROOTS_DEFAULT 8
#define GROUPS_A_RELAY 2 /* groups that pass a piece on, see relay_group() */
#define HOLDERS_SHARE 2  /* one in so many of a region: all ask holders */

typedef struct OrderKey {
    char text[QR_NAME_MAX + 48];
} OrderKey;

/* Those whose engines leave come last. */
static int by_weight(const void *a, const void *b, void *key)
{
    const QRFleetMember *m = *(const QRFleetMember *const *)a;
    const QRFleetMember *n = *(const QRFleetMember *const *)b;
    uint64_t wm = qr_rendezvous(((OrderKey *)key)->text, m->name);
    uint64_t wn = qr_rendezvous(((OrderKey *)key)->text, n->name);

    if (m->leaving != n->leaving)
        return m->leaving ? 1 : -1;
    return wm < wn ? -1 : wm > wn ? 1 : strcmp(m->name, n->name);
}

void qr_source_plan_init(QRSourcePlan *plan, const GPtrArray *members,
                         const char *self, const char *region,
                         unsigned origin_connections, const char *model,
                         uint64_t version, unsigned pieces)
{
    unsigned roots = origin_connections
                         ? origin_connections / CONNECTIONS_A_ROOT
                         : ROOTS_DEFAULT;
    unsigned staying = 0, staying_near = 0;
    OrderKey key;

    g_snprintf(key.text, sizeof(key.text), "%s/%" G_GUINT64_FORMAT, model,
               version);
    plan->self = self;
    plan->region = region;
    plan->pieces = pieces;
    plan->place = 0;
    plan->all = g_ptr_array_new();
    plan->near = g_ptr_array_new();
    plan->holders = g_ptr_array_new();
    plan->near_holders = g_ptr_array_new();
    for (unsigned i = 0; i < members->len; i++) {
        const QRFleetMember *m = members->pdata[i];

        g_ptr_array_add(plan->all, members->pdata[i]);
        staying += !m->leaving;
        staying_near += !m->leaving && g_strcmp0(m->region, region) == 0;
    }
    plan->roots = MIN(MAX(roots, 1), staying ? staying : members->len);
    plan->relays = staying_near;
    g_ptr_array_sort_with_data(plan->all, by_weight, &key);
    for (unsigned i = 0; i < plan->all->len; i++) {
        QRFleetMember *m = plan->all->pdata[i];
        bool is_near = g_strcmp0(m->region, region) == 0;
        bool holds = m->complete_version == version &&
                     strcmp(m->name, self) != 0 &&
                     g_strcmp0(m->model, model) == 0;

        if (is_near && strcmp(m->name, self) == 0)
            plan->place = plan->near->len;
        if (is_near)
            g_ptr_array_add(plan->near, m);
        holds = holds && !m->leaving;
        if (holds)
            g_ptr_array_add(plan->holders, m);
        if (holds && is_near)
            g_ptr_array_add(plan->near_holders, m);
    }
}

void qr_source_plan_clear(QRSourcePlan *plan)
{
    g_clear_pointer(&plan->all, g_ptr_array_unref);
    g_clear_pointer(&plan->near, g_ptr_array_unref);
    g_clear_pointer(&plan->holders, g_ptr_array_unref);
    g_clear_pointer(&plan->near_holders, g_ptr_array_unref);
}

static const QRFleetMember *at_place(const GPtrArray *list, uint64_t place)
{
    return list->len > 0 ? list->pdata[place % list->len] : NULL;
}

static bool is_self(const QRSourcePlan *plan, const QRFleetMember *m)
{
    return strcmp(m->name, plan->self) == 0;
}

/* Who passes the piece into our region if we are its relay; NULL: the origin.
 */
static const QRFleetMember *source_root(const QRSourcePlan *plan,
                                        uint32_t index, unsigned tried)
{
    uint64_t place = (uint64_t)index + tried;
    bool is_manifest = index == QR_MANIFEST_INDEX;
    const QRFleetMember *root;

    if (!is_manifest && plan->near_holders->len > 0)
        return at_place(plan->near_holders, place);
    if (!is_manifest && plan->holders->len > 0)
        return at_place(plan->holders, place);
    if (plan->roots == 0)
        return NULL;
    root = plan->all->pdata[place % plan->roots];
    return is_self(plan, root) ? NULL : root;
}

/* Engines that leave have no relays beside them, if others stay. */
static unsigned relay_count(const QRSourcePlan *plan)
{
    return plan->relays ? plan->relays : plan->near->len;
}

static const QRFleetMember *relay_at(const QRSourcePlan *plan, uint64_t place)
{
    unsigned n = relay_count(plan);

    return n > 0 ? plan->near->pdata[place % n] : NULL;
}

/*
 * The relays that pass a piece on, as places in the region, which go on at its
 * start: the first draws it from the root, the others from the first.
 */
typedef struct RelayGroup {
    unsigned relays; /* in the region, more than 0 */
    unsigned first, count;
} RelayGroup;

/*
 * Each relay has as many pieces of its own as the others. Those that are left
 * have groups, of such a size that every relay is in about two, and that the
 * first has no more to send to the others than these have to pass on.
 */
static RelayGroup relay_group(unsigned pieces, unsigned relays, uint32_t index)
{
    unsigned left = pieces % relays, count;

    if (left == 0 || index == QR_MANIFEST_INDEX || index < pieces - left)
        return (RelayGroup){relays, index % relays, 1};
    count = MIN(GROUPS_A_RELAY * relays / left, (unsigned)sqrt(relays));
    return (RelayGroup){relays, (index - (pieces - left)) * count % relays,
                        count};
}

static bool is_in_group(const RelayGroup *g, unsigned place)
{
    return place < g->relays &&
           (place + g->relays - g->first) % g->relays < g->count;
}

/* Whether this sidecar is one of the relays of the piece. */
static bool passes_on(const QRSourcePlan *plan, uint32_t index)
{
    unsigned n = relay_count(plan);
    RelayGroup group;

    if (n == 0)
        return false;
    group = relay_group(plan->pieces, n, index);
    return is_in_group(&group, plan->place);
}

/* The relay from which this sidecar draws the piece; itself if it is the first
   of the group. */
static const QRFleetMember *relay_of(const QRSourcePlan *plan, uint32_t index)
{
    unsigned n = relay_count(plan);
    RelayGroup group;

    if (n == 0)
        return NULL;
    group = relay_group(plan->pieces, n, index);
    if (is_in_group(&group, plan->place))
        return relay_at(plan, group.first);
    return relay_at(plan, group.first + plan->place % group.count);
}

/* Each of the region, or each root, gave nothing. */
static bool is_exhausted(const QRSourcePlan *plan, QRSourceAttempts tried)
{
    return tried.relays >= MAX(plan->near->len, ATTEMPTS_LEAST) ||
           tried.roots >= MAX(plan->roots, ATTEMPTS_LEAST);
}

/* The relay that we ask for the piece; NULL: we are one that asks a root. */
static const QRFleetMember *relay_to_ask(const QRSourcePlan *plan,
                                         uint32_t index, unsigned tried,
                                         QRPieceRole role)
{
    const QRFleetMember *relay = tried == 0
                                     ? relay_of(plan, index)
                                     : relay_at(plan, (uint64_t)index + tried);

    if (!relay || is_self(plan, relay) || role == QR_PIECE_FIRST ||
        (role == QR_PIECE_RELAY && !passes_on(plan, index)))
        return NULL;
    return relay;
}

QRPieceSource qr_source_choose(const QRSourcePlan *plan, uint32_t index,
                               QRSourceAttempts tried, QRPieceRole role)
{
    /* holders are asked each by others, by the asker's name */
    uint64_t turn = qr_hash_str(plan->self, 0) % 1024 + index + tried.relays;
    const QRPieceSource origin = {NULL, QR_PIECE_OWN};
    const QRFleetMember *root = source_root(plan, index, tried.roots);
    const QRFleetMember *relay;

    if (!root || role == QR_PIECE_ROOT || is_exhausted(plan, tried))
        return origin;
    /* the first holders alone could not send to all the others */
    if (index != QR_MANIFEST_INDEX &&
        plan->near_holders->len * HOLDERS_SHARE >= plan->near->len)
        return (QRPieceSource){at_place(plan->near_holders, turn),
                               QR_PIECE_RELAY};
    relay = relay_to_ask(plan, index, tried.relays, role);
    if (!relay)
        return (QRPieceSource){root, QR_PIECE_ROOT};
    return (QRPieceSource){relay, passes_on(plan, index) ? QR_PIECE_FIRST
                                                         : QR_PIECE_RELAY};
}

bool qr_source_is_relay(const QRSourcePlan *plan, uint32_t index,
                        const QRFleetMember *member)
{
    unsigned relays = 0, place = 0;
    RelayGroup group;

    for (unsigned i = 0; i < plan->all->len; i++) {
        const QRFleetMember *m = plan->all->pdata[i];

        if (m->leaving || g_strcmp0(m->region, member->region) != 0)
            continue;
        if (m == member)
            place = relays;
        relays++;
    }
    if (relays == 0 || member->leaving)
        return false;
    group = relay_group(plan->pieces, relays, index);
    return is_in_group(&group, place);
}

unsigned qr_source_place(const QRSourcePlan *plan, const char *name)
{
    for (unsigned i = 0; i < plan->all->len; i++) {
        const QRFleetMember *m = plan->all->pdata[i];

        if (strcmp(m->name, name) == 0)
            return i;
    }
    return plan->all->len;
}

uint64_t qr_switch_at(const QRSourcePlan *plan, uint64_t first_ms,
                      uint64_t last_ms)
{
    unsigned n = plan->all->len;
    unsigned place = qr_source_place(plan, plan->self);

    if (n < 2 || last_ms <= first_ms)
        return first_ms;
    return first_ms + (last_ms - first_ms) * place / (n - 1);
}
