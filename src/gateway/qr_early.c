/*
 * Calls that come before the first configuration.
 */
#include "qr_early.h"
#include "qr_gateway.h"

#define WAIT_MOST_MS 1200
#define WAIT_PART 3 /* of the caller's time */
#define CALLS_MOST 256

bool qr_early_add(QRGateway *g, QRExchange *x, uint32_t deadline_ms)
{
    QREarlyCall *c;

    if (!qr_gateway_is_starting(g) || g->early_calls.length >= CALLS_MOST)
        return false;
    c = g_new(QREarlyCall, 1);
    c->x = x;
    c->until_ms =
        qr_gateway_now(g) + MIN(WAIT_MOST_MS, deadline_ms / WAIT_PART);
    g_queue_push_tail(&g->early_calls, c);
    return true;
}

void qr_early_tick(QRGateway *g, uint64_t now_ms)
{
    /* whoever is let in may have others closed: none is held on to meanwhile */
    for (unsigned n = g->early_calls.length; n > 0 && g->early_calls.length > 0;
         n--) {
        QREarlyCall *c = g_queue_pop_head(&g->early_calls);
        bool is_due = now_ms >= c->until_ms;

        if (!g->operator.policy && !is_due) {
            g_queue_push_tail(&g->early_calls, c);
            continue;
        }
        qr_gateway_take_call(g, c->x);
        g_free(c);
    }
}

void qr_early_gone(QRGateway *g, const QRExchange *x)
{
    for (GList *l = g->early_calls.head; l; l = l->next) {
        QREarlyCall *c = l->data;

        if (c->x != x)
            continue;
        g_queue_delete_link(&g->early_calls, l);
        g_free(c);
        return;
    }
}

void qr_early_refuse_all(QRGateway *g)
{
    QREarlyCall *c;

    while ((c = g_queue_pop_head(&g->early_calls))) {
        qr_gateway_take_call(g, c->x);
        g_free(c);
    }
}
