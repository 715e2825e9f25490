/*
 * Routing policies: which backend server a call is handed on to.
 */
#include "qr_route.h"

#include <string.h>

/* Bytes of a body that are taken for its prompt's prefix. */
#define PREFIX_BYTES 128
/* An affine backend server may be this much busier than the mean, in
 * percent, plus one call. */
#define AFFINITY_SLACK_PERCENT 125

/* A number that differs from call to call and attempt to attempt. */
static uint64_t route_seed(const QRCall *call)
{
    return qr_hash_str(call->r->call_id, call->attempt + call->self);
}

/* One of the candidates, by number. */
static QRBackend *route_at(const QRRoutePick *p, uint64_t number)
{
    return p->from[number % MAX(p->n, 1)];
}

static QRBackend *route_random(const QRRoutePick *p)
{
    return route_at(p, route_seed(p->call));
}

static QRBackend *route_least_reported(const QRRoutePick *p)
{
    QRBackend *best = p->from[0];

    for (unsigned i = 1; i < p->n; i++) {
        if (p->from[i]->in_flight < best->in_flight)
            best = p->from[i];
    }
    return best;
}

/* Load as a share of slots, in thousandths. */
static uint64_t route_fill(const QRBackend *b)
{
    return (uint64_t)qr_backend_load(b) * 1000 / MAX(b->slots, 1);
}

static QRBackend *route_two_choices(const QRRoutePick *p)
{
    uint64_t seed = route_seed(p->call);
    QRBackend *a = route_at(p, seed);
    QRBackend *b = route_at(p, seed >> 32);

    return route_fill(a) <= route_fill(b) ? a : b;
}

static uint64_t route_prefix(const QRCall *call)
{
    size_t len;
    const void *body = g_bytes_get_data(call->r->body, &len);

    return qr_hash64(body, MIN(len, PREFIX_BYTES), 0);
}

/*
 * The backend server that holds the prompt's prefix, unless it is much
 * busier than the mean: then the next one by the same order.
 */
static QRBackend *route_affinity(const QRRoutePick *p)
{
    uint64_t prefix = route_prefix(p->call);
    uint64_t load = 0, bound, best_weight = 0;
    QRBackend *best = NULL;

    for (unsigned i = 0; i < p->n; i++)
        load += qr_backend_load(p->from[i]);
    bound = load * AFFINITY_SLACK_PERCENT / 100 / MAX(p->n, 1) + 1;
    for (unsigned i = 0; i < p->n; i++) {
        QRBackend *b = p->from[i];
        uint64_t w = qr_hash_str(b->host, prefix);

        if (qr_backend_load(b) <= bound && (!best || w > best_weight)) {
            best = b;
            best_weight = w;
        }
    }
    return best ? best : route_two_choices(p);
}

static const QRRoute routes[] = {
#define DEF(name) {#name, route_##name},
    QR_ROUTE_LIST
#undef DEF
};

const QRRoute *qr_route_by_name(const char *name)
{
    for (unsigned i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(routes[i].name, name) == 0)
            return &routes[i];
    }
    return NULL;
}
