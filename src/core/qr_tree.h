/*
 * Who gets a chunk of weights from whom.
 *
 * The hosts of an intent stand on a ring, ordered by hash. Chunk c travels
 * along tree c mod T; tree t is the ring turned by t * n / T, read as a heap
 * with 'fan_out' children each. So every host is an inner node in the same
 * share of the trees and uploads about one copy. A source always has a lower
 * rank than the one that asks it: there are no circles, whatever each host
 * believes about the others.
 */
#ifndef QR_TREE_H
#define QR_TREE_H

#include "base/qr_base.h"

#define QR_TREE_ORIGIN (-1)

typedef struct QRTree {
    GPtrArray *ring; /* char *, borrowed */
    unsigned self;   /* own place on the ring */
    unsigned trees;  /* at most as many as hosts */
    unsigned fan_out;
    unsigned roots; /* hosts of each tree that draw from the origin */
} QRTree;

/* 'hosts' (char *) must outlive 't'; 'self' must be among them. */
void qr_tree_init(QRTree *t, const GPtrArray *hosts, const char *manifest,
                  const char *self, unsigned trees, unsigned fan_out,
                  unsigned roots);
void qr_tree_clear(QRTree *t);

/*
 * Hosts of each tree that draw from the origin, by an intent's objective. A
 * second one spares hosts an upload, but the origin's link then takes half of
 * the window for its own copies: measured, it pays for few hosts only.
 */
unsigned qr_tree_roots(const char *objective, unsigned hosts);

/* Own rank in the tree of chunk'index'; 0 is the root. */
unsigned qr_tree_rank(const QRTree *t, unsigned index);
/*
 * Place on the ring of the host to ask for chunk 'index', or QR_TREE_ORIGIN.
 * 'usable' says whether the host at a place may be asked.
 */
int qr_tree_source(const QRTree *t, unsigned index,
                   bool (*usable)(void *arg, unsigned place), void *arg);

#endif
