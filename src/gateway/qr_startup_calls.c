/*
 * Calls that arrive before the gateway has its first configuration.
 */
#include "qr_startup_calls.h"
#include "qr_gateway.h"

/* A call waits for one third of its caller's time. If it is refused then, the
   caller heeds Retry-After for up to a third of the rest, and still has as much
   time as it has waited for another gateway to serve it. */
#define WAIT_DIVISOR 3
#define MAX_CALLS 256

bool qr_startup_calls_add(QRGateway *g, QRExchange *x, uint32_t deadline_ms)
{
    QRStartupCall *c;

    if (!qr_gateway_is_starting(g) || g->startup_calls.length >= MAX_CALLS)
        return false;
    c = g_new(QRStartupCall, 1);
    c->x = x;
    c->wait_until_ms = qr_gateway_now(g) + deadline_ms / WAIT_DIVISOR;
    g_queue_push_tail(&g->startup_calls, c);
    return true;
}

void qr_startup_calls_tick(QRGateway *g, uint64_t now_ms)
{
    /* handling a call may close others and remove them from the queue: no link
       of the queue is kept across iterations */
    for (unsigned n = g->startup_calls.length;
         n > 0 && g->startup_calls.length > 0; n--) {
        QRStartupCall *c = g_queue_pop_head(&g->startup_calls);
        bool is_due = now_ms >= c->wait_until_ms;

        if (!g->operator.policy && !is_due) {
            g_queue_push_tail(&g->startup_calls, c);
            continue;
        }
        qr_gateway_handle_call(g, c->x);
        g_free(c);
    }
}

void qr_startup_calls_remove(QRGateway *g, const QRExchange *x)
{
    for (GList *l = g->startup_calls.head; l; l = l->next) {
        QRStartupCall *c = l->data;

        if (c->x != x)
            continue;
        g_queue_delete_link(&g->startup_calls, l);
        g_free(c);
        return;
    }
}

void qr_startup_calls_refuse_all(QRGateway *g)
{
    QRStartupCall *c;

    while ((c = g_queue_pop_head(&g->startup_calls))) {
        qr_gateway_handle_call(g, c->x);
        g_free(c);
    }
}
