/*
 * Connections of the HTTP client that go silent for good, without a reset.
 *
 * Signs of it: the peer does not acknowledge a request on a connection that had
 * worked; nothing comes of one for so long that it is given up; all answers
 * under way stop at the same moment. Bytes that come after all take it back.
 */
#include "qr_client_parts.h"
#include "qr_socket.h"

#include "io/qr_log.h"

#include <string.h>

/* A request on a kept connection of which the peer has acknowledged nothing
   more for so long: sent once more by the kernel after 200 ms, it would have
   arrived but for two losses in a row. Well before the time-outs of calls. */
#define UNACKED_MS 250
#define UNACKED_LOOK_MS 100 /* the first look, and between two */
/* Answers under way on several connections pause for so long all at once: more
   than the pauses that streams are allowed, and each engine makes its own. */
#define ALL_QUIET_MS 450
#define ALL_QUIET_LEAST 3 /* answers that had begun, not all of one address */
/* Two addresses whose connections go silent within so long, a stalled call
   apart: it is none of the addresses, and those to others are suspect too. */
#define SPREAD_MS 2000
/* Between two ticks, which come every 20 ms: this process stood still, and what
   came meanwhile is read after the first tick. */
#define STOOD_STILL_MS 150
#define AWAKE_MS 60

/*
 * Closes connections that rest, to 'address' or to all if that is NULL, and
 * were not heard after 'since_ms'.
 */
static void close_resting(QRClient *c, const char *address, uint64_t since_ms)
{
    uint64_t now = qr_clock_ms(c->loop);
    unsigned closed = 0;

    for (unsigned i = c->links->len; i > 0; i--) {
        QRLink *l = c->links->pdata[i - 1];

        if (!l->open || l->call || l->reading || l->heard_ms > since_ms ||
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
 * A connection that had worked says nothing more. What broke it may have broken
 * the others that were open then: those that rest, and were not heard since,
 * are closed, so that no request is handed to one of them and waits for its own
 * time-out. Costs a new connection each where they were good. Where losses
 * alone might have done it ('unsure') only those to the same address are, until
 * a second address is found so.
 */
static void distrust_resting(QRClient *c, const QRLink *mute, bool unsure)
{
    uint64_t now = qr_clock_ms(c->loop);
    bool spread = c->mute_address && now < c->mute_ms + SPREAD_MS &&
                  strcmp(c->mute_address, mute->address) != 0;

    if (now < c->awake_ms + AWAKE_MS)
        return;
    mute->call->mute = true;
    c->mute++;
    close_resting(c, unsure && !spread ? mute->address : NULL,
                  MAX(mute->heard_ms, mute->call->sent_ms));
    c->mute_ms = now;
    g_free(c->mute_address);
    c->mute_address = g_strdup(mute->address);
}

/* Whether the connection had worked, and has said nothing to the request, or
   since what it said to it last. */
static bool had_worked(const QRLink *l)
{
    return l->heard_ms > 0 && l->call && !l->call->mute;
}

void qr_link_sends(QRLink *l)
{
    l->call->sent_ms = qr_clock_ms(l->client->loop);
    l->unacked = 0;
    l->look_ms = l->call->sent_ms + UNACKED_LOOK_MS;
}

/* If it was taken for dead, that was wrong. */
void qr_link_heard(QRLink *l)
{
    l->heard_ms = qr_clock_ms(l->client->loop);
    if (l->call)
        l->call->mute = false;
}

void qr_link_gave_nothing(QRLink *l)
{
    if (had_worked(l))
        distrust_resting(l->client, l, false);
}

/* A request on a kept connection that the peer does not even acknowledge. */
void qr_link_check_unacked(QRLink *l, uint64_t now)
{
    size_t unacked;

    if (!l->open || !had_worked(l) || l->heard_ms > l->call->sent_ms ||
        now < l->look_ms)
        return;
    l->look_ms = now + UNACKED_LOOK_MS;
    unacked = qr_socket_unacked(&l->tcp);
    if (unacked == 0 || unacked != l->unacked) {
        l->unacked = unacked;
        l->unacked_ms = now;
    } else if (now >= l->unacked_ms + UNACKED_MS) {
        distrust_resting(l->client, l, true);
    }
}

/* It is open for long, and was not heard lately, nor given anything to do. */
static bool is_quiet(const QRLink *l, uint64_t since_ms)
{
    return l->open && l->opened_ms <= since_ms && l->heard_ms <= since_ms &&
           l->call && l->call->sent_ms <= since_ms;
}

/*
 * Whether all answers that were under way stopped at the same moment. Younger
 * connections are new since then, and younger requests say nothing yet.
 */
static bool all_are_quiet(const QRClient *c, uint64_t since_ms)
{
    const QRLink *first = NULL;
    unsigned stopped = 0, elsewhere = 0;

    for (unsigned i = 0; i < c->links->len; i++) {
        const QRLink *l = c->links->pdata[i];

        if (l->open && l->opened_ms <= since_ms && l->heard_ms > since_ms)
            return false;
        if (!is_quiet(l, since_ms) || !l->call->answered)
            continue;
        if (!first)
            first = l;
        stopped++;
        elsewhere += strcmp(l->address, first->address) != 0;
    }
    return stopped >= ALL_QUIET_LEAST && elsewhere > 0;
}

void qr_client_check_quiet(QRClient *c, uint64_t now)
{
    uint64_t since = now - MIN(now, ALL_QUIET_MS);
    bool news = false;

    if (qr_ticks_stall_ms(&c->ticks, now, STOOD_STILL_MS) > 0)
        c->awake_ms = now;
    if (since < c->awake_ms || !all_are_quiet(c, since))
        return;
    for (unsigned i = 0; i < c->links->len; i++) {
        QRLink *l = c->links->pdata[i];

        if (!is_quiet(l, since) || l->call->mute)
            continue;
        l->call->mute = news = true;
        c->mute++;
    }
    if (news)
        close_resting(c, NULL, since);
}

bool qr_client_is_mute(const QRClientCall *call)
{
    return call->mute;
}
