/*
 * Which gateways a process keeps connections to.
 */
#include "qr_neighbours.h"

#include <string.h>

#define SMALL_REGION_MAX 24 /* gateways */
/* Of a large region. The region stays connected to others while one of them
   runs. */
#define DELEGATES 3
#define DELEGATE_SEED 13

typedef struct Region {
    GHashTable *names; /* of its gateways, owned */
    unsigned size;     /* most gateways that are known, here or elsewhere */
    const char *delegates[DELEGATES];
    uint64_t ranks[DELEGATES]; /* of the delegates, ascending */
    unsigned count;            /* of delegates, while the region is large */
} Region;

static void region_free(void *p)
{
    Region *r = p;

    g_hash_table_unref(r->names);
    g_free(r);
}

void qr_neighbours_init(QRNeighbours *n)
{
    n->known = 0;
    n->regions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, region_free);
}

void qr_neighbours_clear(QRNeighbours *n)
{
    g_clear_pointer(&n->regions, g_hash_table_unref);
}

static Region *get_region(QRNeighbours *n, const char *name)
{
    Region *r = g_hash_table_lookup(n->regions, name);

    if (!r) {
        r = g_new0(Region, 1);
        r->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(n->regions, g_strdup(name), r);
    }
    return r;
}

/* Inserts a gateway among those of the least rank. Returns whether it is one of
   them. */
static bool rank_gateway(Region *r, const char *name)
{
    uint64_t rank = qr_hash_str(name, DELEGATE_SEED);
    unsigned i = r->count;

    if (i == DELEGATES && rank >= r->ranks[i - 1])
        return false;
    i = r->count < DELEGATES ? r->count++ : DELEGATES - 1;
    for (; i > 0 && r->ranks[i - 1] > rank; i--) {
        r->ranks[i] = r->ranks[i - 1];
        r->delegates[i] = r->delegates[i - 1];
    }
    r->ranks[i] = rank;
    r->delegates[i] = name;
    return true;
}

bool qr_neighbours_add(QRNeighbours *n, const char *name, const char *region)
{
    Region *r = get_region(n, region);
    char *copy;
    bool ranked;

    if (g_hash_table_contains(r->names, name))
        return false;
    copy = g_strdup(name);
    g_hash_table_add(r->names, copy);
    n->known++;
    ranked = rank_gateway(r, copy);
    r->size = MAX(r->size, g_hash_table_size(r->names));
    return ranked || r->size <= SMALL_REGION_MAX + 1;
}

bool qr_neighbours_note_size(QRNeighbours *n, const char *region, unsigned size)
{
    Region *r = get_region(n, region);
    bool was_large = r->size > SMALL_REGION_MAX;

    r->size = MAX(r->size, size);
    return !was_large && r->size > SMALL_REGION_MAX;
}

unsigned qr_neighbours_size(const QRNeighbours *n, const char *region)
{
    const Region *r = g_hash_table_lookup(n->regions, region);

    return r ? r->size : 0;
}

bool qr_neighbours_is_large(const QRNeighbours *n, const char *region)
{
    return qr_neighbours_size(n, region) > SMALL_REGION_MAX;
}

bool qr_neighbours_is_delegate(const QRNeighbours *n, const char *name,
                               const char *region)
{
    const Region *r = g_hash_table_lookup(n->regions, region);

    if (!r || r->size <= SMALL_REGION_MAX)
        return true;
    for (unsigned i = 0; i < r->count; i++) {
        if (strcmp(r->delegates[i], name) == 0)
            return true;
    }
    return false;
}

const char *qr_neighbours_delegate(const QRNeighbours *n, const char *region,
                                   unsigned i)
{
    const Region *r = g_hash_table_lookup(n->regions, region);

    return r && i < r->count ? r->delegates[i] : NULL;
}

bool qr_neighbours_are_meshed(const QRNeighbours *n, const char *region,
                              const char *other)
{
    return strcmp(region, other) == 0 || (!qr_neighbours_is_large(n, region) &&
                                          !qr_neighbours_is_large(n, other));
}

bool qr_neighbours_connect(const QRNeighbours *n, const QRNeighbour *a,
                           const QRNeighbour *b)
{
    if (strcmp(a->region, b->region) == 0)
        return true;
    return (!a->is_gateway ||
            qr_neighbours_is_delegate(n, a->name, a->region)) &&
           (!b->is_gateway || qr_neighbours_is_delegate(n, b->name, b->region));
}
