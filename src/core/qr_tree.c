/*
 * Who gets a chunk of weights from whom.
 */
#include "qr_tree.h"

#include <string.h>

/* Up to so many hosts two roots a tree are faster than one. */
#define TWO_ROOTS_MAX 8

typedef struct RingPlace {
    uint64_t weight;
    const char *host;
} RingPlace;

static int ring_compare(const void *a, const void *b)
{
    const RingPlace *x = a, *y = b;

    if (x->weight != y->weight)
        return x->weight < y->weight ? -1 : 1;
    return strcmp(x->host, y->host);
}

void qr_tree_init(QRTree *t, const GPtrArray *hosts, const char *manifest,
                  const char *self, unsigned trees, unsigned fan_out,
                  unsigned roots)
{
    g_autofree RingPlace *places = g_new(RingPlace, hosts->len);

    for (unsigned i = 0; i < hosts->len; i++) {
        places[i].host = hosts->pdata[i];
        places[i].weight = qr_rendezvous(manifest, places[i].host);
    }
    qsort(places, hosts->len, sizeof(*places), ring_compare);
    t->ring = g_ptr_array_new();
    t->self = 0;
    for (unsigned i = 0; i < hosts->len; i++) {
        if (strcmp(places[i].host, self) == 0)
            t->self = i;
        g_ptr_array_add(t->ring, (char *)places[i].host);
    }
    t->trees = MAX(1, MIN(trees, hosts->len));
    t->fan_out = MAX(1, fan_out);
    t->roots = MAX(1, roots);
}

unsigned qr_tree_roots(const char *objective, unsigned hosts)
{
    return strcmp(objective, "time") == 0 && hosts <= TWO_ROOTS_MAX ? 2 : 1;
}

void qr_tree_clear(QRTree *t)
{
    g_clear_pointer(&t->ring, g_ptr_array_unref);
}

/* Place on the ring of the root of chunk 'index'. */
static unsigned tree_turn(const QRTree *t, unsigned index)
{
    return (index % t->trees) * t->ring->len / t->trees;
}

static unsigned tree_place(const QRTree *t, unsigned index, unsigned rank)
{
    return (rank + tree_turn(t, index)) % t->ring->len;
}

unsigned qr_tree_rank(const QRTree *t, unsigned index)
{
    return (t->self + t->ring->len - tree_turn(t, index)) % t->ring->len;
}

static bool tree_is_root(const QRTree *t, unsigned rank)
{
    return rank < t->roots;
}

static unsigned tree_parent(const QRTree *t, unsigned rank)
{
    return (rank - t->roots) / t->fan_out;
}

int qr_tree_source(const QRTree *t, unsigned index,
                   bool (*usable)(void *arg, unsigned place), void *arg)
{
    unsigned own = qr_tree_rank(t, index);
    unsigned rank = own;

    while (!tree_is_root(t, rank)) {
        rank = tree_parent(t, rank);
        if (usable(arg, tree_place(t, index, rank)))
            return (int)tree_place(t, index, rank);
    }
    if (tree_is_root(t, own))
        return QR_TREE_ORIGIN;
    /* every ancestor is out: the lowest rank that is not stands in */
    for (rank = 0; rank < own; rank++) {
        if (usable(arg, tree_place(t, index, rank)))
            return (int)tree_place(t, index, rank);
    }
    return QR_TREE_ORIGIN;
}
