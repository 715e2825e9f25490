/*
 * Detects client connections that stop working without a TCP reset.
 *
 * A request is marked unresponsive if its connection worked before and the peer
 * does not acknowledge the request, the request waits too long for bytes, or
 * all answers in flight stop at the same moment. Received bytes clear the mark.
 */
#include "qr_client_parts.h"
#include "qr_socket.h"

#include "io/qr_log.h"

#include <string.h>

/* The peer has acknowledged no further bytes of a request on a kept connection
   for this long. The kernel retransmits after 200 ms, so only two losses in a
   row also explain the silence. Far shorter than the timeouts of calls. */
#define UNACKED_MS 250
#define UNACKED_CHECK_MS 100 /* delay of the first check and between checks */
/* All answers in flight pause together for this long. That is longer than the
   pauses allowed to streams, and engines pause independently. */
#define ALL_QUIET_MS 450
/* Answers that have started, from several addresses. */
#define ALL_QUIET_ANSWERS_MIN 3
/* Connections to two addresses go silent within this time, which covers a
   stalled call in between: neither address is the cause, and connections to
   other addresses are suspect too. */
#define SEVERAL_ADDRESSES_MS 2000
/* Ticks come every 20 ms. A longer gap than this means that this process was
   suspended. Bytes received during the gap are read after the first tick, so
   no request is marked until AFTER_GAP_MS after that tick. */
#define PROCESS_STALL_MS 150
#define AFTER_GAP_MS 60

/*
 * Closes idle connections that received nothing after 'since_ms': those to
 * 'address', or to all addresses if 'address' is NULL.
 */
static void close_idle(QRClient *c, const char *address, uint64_t since_ms)
{
    uint64_t now = qr_clock_ms(c->loop);
    unsigned closed = 0;

    for (unsigned i = c->links->len; i > 0; i--) {
        QRLink *l = c->links->pdata[i - 1];

        if (!l->open || l->call || l->reading || l->received_ms > since_ms ||
            (address && strcmp(address, l->address) != 0))
            continue;
        qr_link_close(l);
        closed++;
    }
    qr_logf(QR_LEVEL_WARN, "connections",
            "mute address=%s quiet_ms=%" G_GUINT64_FORMAT " resting_closed=%u",
            address ? address : "all", now - MIN(since_ms, now), closed);
}

/*
 * Marks the request of a connection that worked before and went silent. The
 * same fault may have broken other connections that were open at that time.
 * Idle ones that received nothing since are closed, because a request sent on
 * one of them would wait for its own timeout; if they were good, the cost is
 * one new connection each. If packet loss alone may explain the silence
 * ('maybe_loss'), only connections to the same address are closed, until a
 * second address goes silent.
 */
static void mark_unresponsive(QRClient *c, const QRLink *dead, bool maybe_loss)
{
    uint64_t now = qr_clock_ms(c->loop);
    bool several_addresses =
        c->unresponsive_address &&
        now < c->unresponsive_ms + SEVERAL_ADDRESSES_MS &&
        strcmp(c->unresponsive_address, dead->address) != 0;

    if (now < c->ticks_regular_since_ms + AFTER_GAP_MS)
        return;
    dead->call->unresponsive = true;
    c->unresponsive++;
    close_idle(c, maybe_loss && !several_addresses ? dead->address : NULL,
               MAX(dead->received_ms, dead->call->sent_ms));
    c->unresponsive_ms = now;
    g_free(c->unresponsive_address);
    c->unresponsive_address = g_strdup(dead->address);
}

/* Whether the connection has received bytes before and its request is not
   marked unresponsive yet. */
static bool had_worked(const QRLink *l)
{
    return l->received_ms > 0 && l->call && !l->call->unresponsive;
}

void qr_link_note_send(QRLink *l)
{
    l->call->sent_ms = qr_clock_ms(l->client->loop);
    l->unacked = 0;
    l->next_check_ms = l->call->sent_ms + UNACKED_CHECK_MS;
}

/* Received bytes show that the connection works. */
void qr_link_note_received(QRLink *l)
{
    l->received_ms = qr_clock_ms(l->client->loop);
    if (l->call)
        l->call->unresponsive = false;
}

void qr_link_note_silence(QRLink *l)
{
    if (had_worked(l))
        mark_unresponsive(l->client, l, false);
}

/* Marks a request on a kept connection that the peer does not acknowledge. */
void qr_link_check_unacked(QRLink *l, uint64_t now)
{
    size_t unacked;

    if (!l->open || !had_worked(l) || l->received_ms > l->call->sent_ms ||
        now < l->next_check_ms)
        return;
    l->next_check_ms = now + UNACKED_CHECK_MS;
    unacked = qr_socket_unacked(&l->tcp);
    if (unacked == 0 || unacked != l->unacked) {
        l->unacked = unacked;
        l->unacked_since_ms = now;
    } else if (now >= l->unacked_since_ms + UNACKED_MS) {
        mark_unresponsive(l->client, l, true);
    }
}

/* Whether the connection and its request are older than 'since_ms' and nothing
   was received since then. */
static bool is_quiet(const QRLink *l, uint64_t since_ms)
{
    return l->open && l->opened_ms <= since_ms && l->received_ms <= since_ms &&
           l->call && l->call->sent_ms <= since_ms;
}

/*
 * Whether all answers in flight at 'since_ms' stopped by then. Connections that
 * were opened later and requests that were sent later are ignored.
 */
static bool all_are_quiet(const QRClient *c, uint64_t since_ms)
{
    const QRLink *first = NULL;
    unsigned stopped = 0, elsewhere = 0;

    for (unsigned i = 0; i < c->links->len; i++) {
        const QRLink *l = c->links->pdata[i];

        if (l->open && l->opened_ms <= since_ms && l->received_ms > since_ms)
            return false;
        if (!is_quiet(l, since_ms) || !l->call->answered)
            continue;
        if (!first)
            first = l;
        stopped++;
        elsewhere += strcmp(l->address, first->address) != 0;
    }
    return stopped >= ALL_QUIET_ANSWERS_MIN && elsewhere > 0;
}

void qr_client_check_quiet(QRClient *c, uint64_t now)
{
    uint64_t since = now - MIN(now, ALL_QUIET_MS);
    bool changed = false;

    if (qr_ticks_stall_ms(&c->ticks, now, PROCESS_STALL_MS) > 0)
        c->ticks_regular_since_ms = now;
    if (since < c->ticks_regular_since_ms || !all_are_quiet(c, since))
        return;
    for (unsigned i = 0; i < c->links->len; i++) {
        QRLink *l = c->links->pdata[i];

        if (!is_quiet(l, since) || l->call->unresponsive)
            continue;
        l->call->unresponsive = changed = true;
        c->unresponsive++;
    }
    if (changed)
        close_idle(c, NULL, since);
}

bool qr_client_is_unresponsive(const QRClientCall *call)
{
    return call->unresponsive;
}
