/*
 * Which wave of a rollout may switch now.
 */
#include "qr_rollout.h"

#include <string.h>

static const char *const stage_texts[] = {
#define DEF(name, text) text,
    QR_STAGE_LIST
#undef DEF
};

const char *qr_stage_text(unsigned stage)
{
    return stage < QR_STAGE_COUNT ? stage_texts[stage] : "?";
}

unsigned qr_rollout_spare(const QRIntent *in, int64_t total_slots,
                          int64_t most_slots)
{
    int64_t spare = total_slots - qr_intent_declared(in);

    if (spare <= 0 || most_slots <= 0)
        return 0;
    return (unsigned)(spare / most_slots);
}

static bool view_serves(const QRIntent *in, const QRHostView *v)
{
    if (v->away || v->unknown)
        return false;
    return !qr_intent_is_engine(in) || strcmp(v->manifest, in->manifest) == 0;
}

static const QRHostView *rollout_view(const QRIntent *in,
                                      const QRHostView *views, const char *host)
{
    for (unsigned i = 0; i < in->hosts->len; i++) {
        if (strcmp(in->hosts->pdata[i], host) == 0)
            return &views[i];
    }
    return NULL;
}

/* Is anything before wave 'n' still to be waited for? Returns its host. */
static const char *rollout_waits_for(const QRIntent *in,
                                     const QRHostView *views, int n)
{
    for (int w = 0; w < n; w++) {
        const GPtrArray *hosts = in->waves->pdata[w];

        for (unsigned i = 0; i < hosts->len; i++) {
            const QRHostView *v = rollout_view(in, views, hosts->pdata[i]);

            if (v && !view_serves(in, v) && !v->away)
                return hosts->pdata[i];
        }
    }
    return NULL;
}

/* Hosts outside wave 'n' that cannot take calls. */
static unsigned rollout_missing(const QRIntent *in, const QRHostView *views,
                                int n)
{
    unsigned missing = 0;

    for (unsigned i = 0; i < in->hosts->len; i++) {
        const QRHostView *v = &views[i];

        if (qr_intent_wave_of(in, in->hosts->pdata[i]) == n)
            continue;
        missing += v->away || v->unknown || *v->manifest == '\0';
    }
    return missing;
}

static bool rollout_anyone_serves(const QRIntent *in, const QRHostView *views)
{
    for (unsigned i = 0; i < in->hosts->len; i++) {
        if (*views[i].manifest && !views[i].away)
            return true;
    }
    return false;
}

static bool rollout_wave_done(const QRIntent *in, const QRHostView *views,
                              const GPtrArray *hosts)
{
    for (unsigned i = 0; i < hosts->len; i++) {
        const QRHostView *v = rollout_view(in, views, hosts->pdata[i]);

        if (!v || !view_serves(in, v))
            return false;
    }
    return true;
}

static char *rollout_wave_waits(const QRIntent *in, const QRHostView *views,
                                int n, unsigned spare)
{
    const GPtrArray *hosts = in->waves->pdata[n];
    const char *host = rollout_waits_for(in, views, n);
    unsigned missing;

    if (host) {
        const QRHostView *v = rollout_view(in, views, host);

        return g_strdup_printf("waits for host %s (%s)", host,
                               v->unknown ? "not heard yet"
                                          : qr_stage_text(v->stage));
    }
    if (rollout_wave_done(in, views, hosts))
        return NULL;
    if (in->allow_short || !rollout_anyone_serves(in, views))
        return NULL; /* nothing is served that could be taken away */
    missing = rollout_missing(in, views, n);
    if (missing > 0 && missing + hosts->len > MAX(spare, 1))
        return g_strdup_printf("%u hosts are away and wave %d takes %u, "
                               "%u can be spared",
                               missing, n, hosts->len, spare);
    return NULL;
}

static char *rollout_failure(const QRIntent *in, const QRHostView *views)
{
    for (unsigned i = 0; i < in->hosts->len; i++) {
        if (!views[i].away && views[i].stage == QR_STAGE_FAILED)
            return g_strdup_printf("host %s failed: %s",
                                   (char *)in->hosts->pdata[i], views[i].why);
    }
    return NULL;
}

void qr_rollout_look(const QRIntent *in, const QRHostView *views, QRRollout *r)
{
    int64_t total = 0, most = 0;
    unsigned spare;

    memset(r, 0, sizeof(*r));
    r->wave = -1;
    for (unsigned i = 0; i < in->hosts->len; i++) {
        r->done += view_serves(in, &views[i]);
        r->away += views[i].away;
        total += views[i].slots;
        most = MAX(most, views[i].slots);
    }
    r->complete = r->done == in->hosts->len;
    spare = qr_rollout_spare(in, total, most);
    r->why = rollout_failure(in, views);
    r->failed = r->why != NULL;
    for (int n = 0; n < (int)in->waves->len && !r->why; n++) {
        r->why = rollout_wave_waits(in, views, n, spare);
        if (!r->why)
            r->wave = n;
    }
    if (!r->why)
        r->why = g_strdup("");
}

int qr_rollout_grant(const QRIntent *in, const QRRollout *r,
                     const char *manifest, const char *host)
{
    if (*manifest == '\0' && !r->failed)
        return MAX(r->wave, qr_intent_wave_of(in, host));
    return r->wave;
}

void qr_rollout_clear(QRRollout *r)
{
    g_clear_pointer(&r->why, g_free);
}
