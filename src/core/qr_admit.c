/*
 * Admission: which calls may wait, and which goes next.
 *
 * Urgent calls go first and have a share of the slots to themselves. Within
 * a priority the team that uses least of its declared capacity goes first:
 * what a team leaves unused is lent, and taken back with the next free slot.
 */
#include "qr_admit.h"
#include "qr_route.h"

#include <string.h>

#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 30000

static bool admit_is_urgent(const QRCall *c)
{
    return c->r->priority == QR_PRIORITY_URGENT;
}

/* Use of the declared capacity, in thousandths. */
static uint64_t admit_use(const QREntry *s, const QRShare *e, uint32_t calls)
{
    const QRIntent *in = qr_config_intent_of_service(s->config, e->service);
    int64_t capacity = in ? qr_intent_capacity(in, e->team) : 0;

    return capacity > 0 ? (uint64_t)calls * 1000 / (uint64_t)capacity
                        : G_MAXUINT64;
}

/* Does 'a' go before 'b'? */
static bool admit_before(const QREntry *s, const QRCall *a, const QRCall *b)
{
    uint64_t x, y;

    if (a->r->priority != b->r->priority)
        return a->r->priority < b->r->priority;
    x = admit_use(s, a->share, a->share->sent);
    y = admit_use(s, b->share, b->share->sent);
    if (x != y)
        return x < y;
    return a->arrived_ms < b->arrived_ms;
}

static bool admit_has_room(const QREntry *s, const QRBackend *b, bool urgent)
{
    uint32_t kept =
        (uint32_t)((b->slots * (uint64_t)s->set->reserve_percent + 99) / 100);
    uint32_t limit = b->slots;

    if (!urgent && b->slots > 1)
        limit -= MIN(kept, b->slots - 1);
    return qr_backend_load(b) < limit;
}

/* Where 'c' can go now, or NULL. */
static QRBackend *admit_place(const QREntry *s, const QRCall *c)
{
    g_autofree QRBackend **from = g_new(QRBackend *, s->backends->len + 1);
    QRRoutePick p = {s, c, from, 0};

    for (unsigned i = 0; i < s->backends->len; i++) {
        QRBackend *b = s->backends->pdata[i];

        if (strcmp(b->service, c->r->service) != 0 || !qr_backend_takes(s, b) ||
            !admit_has_room(s, b, admit_is_urgent(c)))
            continue;
        if (c->home && strcmp(c->home, b->incarnation) != 0)
            continue;
        from[p.n++] = b;
    }
    return p.n > 0 ? s->route->pick(&p) : NULL;
}

QRCall *qr_admit_next(const QREntry *s, const QRQueue *q, QRBackend **to)
{
    g_autoptr(GPtrArray) tried = g_ptr_array_new();

    while (tried->len < q->waiting->len) {
        QRCall *best = NULL;

        for (unsigned i = 0; i < q->waiting->len; i++) {
            QRCall *c = q->waiting->pdata[i];

            if (g_ptr_array_find(tried, c, NULL))
                continue;
            if (!best || admit_before(s, c, best))
                best = c;
        }
        *to = best ? admit_place(s, best) : NULL;
        if (*to)
            return best;
        if (!best || !best->home)
            return NULL; /* no room at all for this priority or a lower one */
        g_ptr_array_add(tried, best);
    }
    return NULL;
}

/* Slots of the service that this entry can see. */
static uint32_t admit_slots(const QREntry *s, const char *service)
{
    uint32_t slots = 0;

    for (unsigned i = 0; i < s->backends->len; i++) {
        const QRBackend *b = s->backends->pdata[i];

        if (strcmp(b->service, service) == 0 && qr_backend_alive(s, b))
            slots += b->slots;
    }
    return slots;
}

/* Waiting calls that go before a call that comes now. */
static unsigned admit_ahead(const QREntry *s, const QRCall *c)
{
    unsigned ahead = 0;

    for (unsigned i = 0; i < c->queue->waiting->len; i++)
        ahead += !admit_before(s, c, c->queue->waiting->pdata[i]);
    return ahead;
}

/* How long 'ahead' calls keep the slots busy, in ms, as things stand. */
static double admit_drain_ms(const QRCall *c, unsigned ahead, uint32_t slots)
{
    return ahead * c->queue->mean_ms / MAX(slots, 1);
}

uint64_t qr_admit_latest_start_ms(const QRCall *c)
{
    return c->deadline_ms - MIN((uint64_t)c->queue->mean_ms, c->deadline_ms);
}

/* Whether a call that has to wait would begin too late to end in time. One that
   finds a slot begins now, and may be shorter than the mean. Without slots
   nothing tells when they come. */
static bool admit_is_too_late(const QREntry *s, const QRCall *c)
{
    uint32_t slots = admit_slots(s, c->r->service);
    unsigned ahead = admit_ahead(s, c);
    double wait_ms = slots > 0 ? admit_drain_ms(c, ahead, slots) : 0;

    if (ahead == 0 && admit_place(s, c))
        return false;
    return (double)s->now_ms + wait_ms >= (double)qr_admit_latest_start_ms(c);
}

/* The waiting call that is to give way to 'c', or NULL. */
static QRCall *admit_loser(const QREntry *s, const QRCall *c)
{
    const QRQueue *q = c->queue;
    QRCall *worst = NULL;

    for (unsigned i = 0; i < q->waiting->len; i++) {
        QRCall *w = q->waiting->pdata[i];

        if (!worst || admit_before(s, worst, w))
            worst = w;
    }
    if (!worst || worst->r->priority < c->r->priority)
        return NULL;
    if (worst->r->priority > c->r->priority)
        return worst;
    if (admit_use(s, worst->share, worst->share->waiting) >
        admit_use(s, c->share, c->share->waiting + 1))
        return worst;
    return NULL;
}

QRReason qr_admit_look(const QREntry *s, const QRCall *c, QRCall **loser)
{
    if (admit_is_too_late(s, c))
        return QR_REASON_NO_TIME;
    if (c->queue->waiting->len < (unsigned)s->set->queue_max)
        return QR_REASON_NONE;
    *loser = admit_loser(s, c);
    return *loser ? QR_REASON_NONE : QR_REASON_QUEUE_FULL;
}

uint32_t qr_admit_retry_ms(const QREntry *s, const QRCall *c)
{
    double drain = admit_drain_ms(c, c->queue->waiting->len + 1,
                                  admit_slots(s, c->r->service));
    uint64_t mean = (uint64_t)c->queue->mean_ms;
    uint64_t spread = qr_hash_str(c->r->call_id, c->self) % (mean + 1);

    return (uint32_t)CLAMP((uint64_t)drain + spread, RETRY_MIN_MS,
                           RETRY_MAX_MS);
}
