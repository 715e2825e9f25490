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

/* What one look gathers, so that every host is looked at once a wave. */
typedef struct Look {
    const QRIntent *in;
    const QRHostView *views;
    GHashTable *place; /* host -> place in 'views', plus one */
    unsigned spare;
    unsigned missing; /* hosts that cannot take calls */
    bool anyone_serves;
    const char *blocker; /* host of an earlier wave that is waited for */
} Look;

static bool view_missing(const QRHostView *v)
{
    return v->away || v->unknown || *v->manifest == '\0';
}

static const QRHostView *look_view(const Look *l, const char *host)
{
    unsigned at = GPOINTER_TO_UINT(g_hash_table_lookup(l->place, host));

    return at ? &l->views[at - 1] : NULL;
}

static bool look_wave_done(const Look *l, const GPtrArray *hosts)
{
    for (unsigned i = 0; i < hosts->len; i++) {
        const QRHostView *v = look_view(l, hosts->pdata[i]);

        if (!v || !view_serves(l->in, v))
            return false;
    }
    return true;
}

/* Hosts outside the wave that cannot take calls. */
static unsigned look_missing_outside(const Look *l, const GPtrArray *hosts)
{
    unsigned missing = l->missing;

    for (unsigned i = 0; i < hosts->len; i++) {
        const QRHostView *v = look_view(l, hosts->pdata[i]);

        if (v && view_missing(v))
            missing--;
    }
    return missing;
}

static char *look_wave_waits(const Look *l, unsigned n)
{
    const GPtrArray *hosts = l->in->waves->pdata[n];
    unsigned missing;

    if (l->blocker) {
        const QRHostView *v = look_view(l, l->blocker);

        return g_strdup_printf("waits for host %s (%s)", l->blocker,
                               v->unknown ? "not heard yet"
                                          : qr_stage_text(v->stage));
    }
    if (l->in->allow_short || !l->anyone_serves || look_wave_done(l, hosts))
        return NULL; /* it takes nothing away that is due */
    missing = look_missing_outside(l, hosts);
    if (missing > 0 && missing + hosts->len > MAX(l->spare, 1))
        return g_strdup_printf("%u hosts are away and wave %u takes %u, "
                               "%u can be spared",
                               missing, n, hosts->len, l->spare);
    return NULL;
}

/* Later waves wait for hosts of this one that are neither done nor away. */
static void look_note_blocker(Look *l, const GPtrArray *hosts)
{
    for (unsigned i = 0; i < hosts->len && !l->blocker; i++) {
        const QRHostView *v = look_view(l, hosts->pdata[i]);

        if (v && !view_serves(l->in, v) && !v->away)
            l->blocker = hosts->pdata[i];
    }
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

static void look_hosts(Look *l, QRRollout *r)
{
    int64_t total = 0, most = 0;

    for (unsigned i = 0; i < l->in->hosts->len; i++) {
        const QRHostView *v = &l->views[i];

        g_hash_table_insert(l->place, l->in->hosts->pdata[i],
                            GUINT_TO_POINTER(i + 1));
        r->done += view_serves(l->in, v);
        r->away += v->away;
        l->missing += view_missing(v);
        l->anyone_serves = l->anyone_serves || (*v->manifest && !v->away);
        total += v->slots;
        most = MAX(most, v->slots);
    }
    l->spare = qr_rollout_spare(l->in, total, most);
    r->complete = r->done == l->in->hosts->len;
}

void qr_rollout_look(const QRIntent *in, const QRHostView *views, QRRollout *r)
{
    g_autoptr(GHashTable) place = g_hash_table_new(g_str_hash, g_str_equal);
    Look l = {.in = in, .views = views, .place = place};

    memset(r, 0, sizeof(*r));
    r->wave = -1;
    look_hosts(&l, r);
    r->why = rollout_failure(in, views);
    r->failed = r->why != NULL;
    for (unsigned n = 0; n < in->waves->len && !r->why; n++) {
        r->why = look_wave_waits(&l, n);
        if (!r->why)
            r->wave = (int)n;
        look_note_blocker(&l, in->waves->pdata[n]);
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
