/*
 * The agent and its engine: loading a version, and switching to it.
 *
 * Chunks are loaded into the engine's idle slot as they come. When all are
 * there the engine verifies them against the manifest. Then the agent waits
 * for its wave, takes no more calls, lets those that run finish, and only
 * then switches; the version is read back before it takes calls again.
 */
#include "qr_agent.h"

#include <string.h>

#define ENGINE_READ_MS 1000
#define ORDER_AGAIN_MS 200
#define ORDER_FAILURES_MAX 20
#define WORD_FENCED "fenced" /* the engine takes a newer agent's orders */

static const QRIntent *switch_intent(const QRAgent *s)
{
    const QRIntent *in = qr_config_intent_of_host(s->config, s->set->host);

    return in && qr_intent_is_engine(in) ? in : NULL;
}

static uint64_t switch_last_reply_ms(const QRAgent *s)
{
    uint64_t last = 0;

    for (unsigned i = 0; i < s->entries->len; i++)
        last = MAX(last, ((QRAgentEntry *)s->entries->pdata[i])->replied_ms);
    return last;
}

/*
 * May this agent give orders now? It must be registered, which orders it
 * after its predecessors. An engine that does not check fences takes orders
 * only after the predecessor's lease has run out, and while ours surely has
 * not.
 */
static bool switch_may_order(const QRAgent *s)
{
    uint64_t lease = (uint64_t)s->set->lease_ms;
    uint64_t reply = switch_last_reply_ms(s);

    if (!qr_agent_member(s) || s->order != QR_HANDLE_NONE ||
        s->now_ms < s->order_next_ms)
        return false;
    if (s->set->checks_fence)
        return true;
    return s->now_ms - s->started_ms > lease && reply > 0 &&
           s->now_ms - reply < lease / 2;
}

static QREffect *switch_order(QRAgent *s, QREffectType type, QREffects *out)
{
    const QRMember *m = qr_agent_member(s);
    QREffect *e;

    s->order = ++s->orders;
    s->order_type = type;
    e = qr_effect_text(out, type, s->order, s->target);
    /* the fence token: registration first, then revision */
    e->offset = m->registered;
    e->key = g_strdup_printf("%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                             m->registered, s->target_revision);
    s->count[QR_AGENT_COUNT_orders]++;
    return e;
}

static void switch_drop_fetch(QRAgent *s)
{
    if (!s->fetch)
        return;
    qr_fetch_free(s->previous);
    s->previous = g_steal_pointer(&s->fetch);
}

static void switch_begin(QRAgent *s, const QRIntent *in, QREffects *out)
{
    if (*s->target && strcmp(s->target, s->active) != 0)
        s->count[QR_AGENT_COUNT_superseded]++;
    switch_drop_fetch(s);
    qr_agent_set_text(&s->target, in->manifest);
    qr_agent_set_text(&s->why, "");
    s->stage = QR_STAGE_FETCHING;
    s->manifest_reading = false;
    s->manifest_next_ms = 0;
    s->failures = 0;
    qr_effect_log(out, QR_LEVEL_INFO, "switch", "Fetching version %s.",
                  in->version);
}

static void switch_read_manifest(QRAgent *s, QREffects *out)
{
    if (s->manifest_reading || s->now_ms < s->manifest_next_ms)
        return;
    s->manifest_reading = true;
    qr_effect_text(out, QR_EFFECT_READ_MANIFEST, QR_HANDLE_NONE, s->target);
}

/* Hands the engine the next chunk that it has not got. */
static void switch_load(QRAgent *s, QREffects *out)
{
    QRFetch *f = s->fetch;

    if (qr_fetch_complete(f))
        s->stage = QR_STAGE_LOADING;
    if (!switch_may_order(s))
        return;
    for (unsigned i = 0; i < f->n; i++) {
        QREffect *e;

        if (!f->chunks[i].data || f->chunks[i].loaded)
            continue;
        e = switch_order(s, QR_EFFECT_LOAD_CHUNK, out);
        e->index = s->order_index = i;
        e->data = g_bytes_ref(f->chunks[i].data);
        return;
    }
    if (f->loaded == f->n)
        switch_order(s, QR_EFFECT_VERIFY, out)->data = g_bytes_ref(f->text);
}

static bool switch_granted(const QRAgent *s, const QRIntent *in)
{
    int wave = qr_intent_wave_of(in, s->set->host);

    for (unsigned i = 0; i < s->entries->len; i++) {
        const QRAgentEntry *e = s->entries->pdata[i];

        if (e->conn != QR_HANDLE_NONE && wave >= 0 &&
            e->grant_revision == in->revision &&
            strcmp(e->grant_intent, in->name) == 0 &&
            (int)e->grant_wave >= wave)
            return true;
    }
    return false;
}

static void switch_served(QRAgent *s, QREffects *out)
{
    s->stage = QR_STAGE_SERVING;
    s->failures = 0;
    qr_agent_set_text(&s->why, "");
    s->count[QR_AGENT_COUNT_switches]++;
    qr_effect_log(out, QR_LEVEL_INFO, "switch", "Serving %.12s.", s->active);
}

static void switch_follow_intent(QRAgent *s, const QRIntent *in, QREffects *out)
{
    bool again =
        s->stage == QR_STAGE_FAILED && s->target_revision != in->revision;

    s->target_revision = in->revision;
    if (strcmp(in->manifest, s->target) == 0 && !again)
        return;
    if (s->stage == QR_STAGE_SWITCHING)
        return; /* the order is out; its outcome comes first */
    if (strcmp(in->manifest, s->active) == 0) {
        switch_drop_fetch(s);
        qr_agent_set_text(&s->target, in->manifest);
        s->stage = QR_STAGE_SERVING;
        qr_agent_set_text(&s->why, "");
        return;
    }
    switch_begin(s, in, out);
}

static void switch_read_engine(QRAgent *s, QREffects *out)
{
    if (s->engine_reading || s->now_ms < s->engine_next_ms)
        return;
    s->engine_reading = true;
    qr_effect(out, QR_EFFECT_READ_ENGINE, QR_HANDLE_NONE);
}

static void switch_ready(QRAgent *s, const QRIntent *in)
{
    if (qr_agent_leaving(s) || !switch_granted(s, in)) {
        qr_agent_set_text(&s->why, "waits for its wave");
        return;
    }
    s->stage = QR_STAGE_DRAINING;
    s->drain_since_ms = s->now_ms;
}

static void switch_drain(QRAgent *s, QREffects *out)
{
    if (s->runs.count > 0) {
        g_autofree char *why =
            g_strdup_printf("waits for %u calls to finish", s->runs.count);

        qr_agent_set_text(&s->why, why);
        return;
    }
    if (!switch_may_order(s))
        return;
    s->stage = QR_STAGE_SWITCHING;
    qr_agent_set_text(&s->why, "");
    switch_order(s, QR_EFFECT_ACTIVATE, out);
}

/* The order to switch went unanswered, and did not take effect. */
static void switch_again(QRAgent *s, QREffects *out)
{
    if (s->active_known && !s->engine_reading && switch_may_order(s))
        switch_order(s, QR_EFFECT_ACTIVATE, out);
}

void qr_agent_switch_step(QRAgent *s, QREffects *out)
{
    const QRIntent *in = switch_intent(s);

    switch_read_engine(s, out);
    if (!in || !s->active_known)
        return;
    switch_follow_intent(s, in, out);
    switch (s->stage) {
    case QR_STAGE_FETCHING:
        if (!s->fetch)
            switch_read_manifest(s, out);
        else
            switch_load(s, out);
        break;
    case QR_STAGE_LOADING:
        switch_load(s, out);
        break;
    case QR_STAGE_READY:
        switch_ready(s, in);
        break;
    case QR_STAGE_DRAINING:
        switch_drain(s, out);
        break;
    case QR_STAGE_SWITCHING:
        switch_again(s, out);
        break;
    default:
        break;
    }
}

/*
 * The engine refused to verify or to activate: what it holds is not what we
 * gave it, as after a restart of its own. It is given all of it again.
 */
static void switch_load_again(QRAgent *s)
{
    if (!s->fetch)
        return;
    for (unsigned i = 0; i < s->fetch->n; i++)
        s->fetch->chunks[i].loaded = false;
    s->fetch->loaded = 0;
    s->stage = QR_STAGE_FETCHING;
}

static void switch_order_failed(QRAgent *s, const QREvent *ev, QREffects *out)
{
    s->count[QR_AGENT_COUNT_orders_failed]++;
    s->order_next_ms = s->now_ms + ORDER_AGAIN_MS;
    s->failures++;
    qr_agent_set_text(&s->why, ev->text ? ev->text : "the engine is silent");
    qr_effect_log(out, QR_LEVEL_WARN, "switch", "Order failed: %s.", s->why);
    if (g_strcmp0(ev->text, WORD_FENCED) == 0 ||
        (s->failures >= ORDER_FAILURES_MAX && !ev->maybe))
        s->stage = QR_STAGE_FAILED;
    else if (s->order_type != QR_EFFECT_LOAD_CHUNK && !ev->maybe)
        switch_load_again(s);
}

void qr_agent_order_done(QRAgent *s, const QREvent *ev, QREffects *out)
{
    QREffectType type = s->order_type;

    if (ev->ref != s->order)
        return; /* an order that was given up */
    s->order = QR_HANDLE_NONE;
    if (type == QR_EFFECT_ACTIVATE) {
        s->active_known = false; /* whatever was answered: read it back */
        s->engine_next_ms = 0;
    }
    if (g_strcmp0(ev->text, s->target) != 0 && ev->ok)
        return; /* superseded while it was on its way */
    if (!ev->ok) {
        switch_order_failed(s, ev, out);
        return;
    }
    s->failures = 0;
    if (type == QR_EFFECT_LOAD_CHUNK && s->fetch) {
        s->fetch->loaded += !s->fetch->chunks[s->order_index].loaded;
        s->fetch->chunks[s->order_index].loaded = true;
    }
    if (type == QR_EFFECT_VERIFY && s->stage == QR_STAGE_LOADING)
        s->stage = QR_STAGE_READY;
}

void qr_agent_engine_state(QRAgent *s, const QREvent *ev, QREffects *out)
{
    s->engine_reading = false;
    s->engine_next_ms = s->now_ms + ENGINE_READ_MS;
    if (!ev->ok) {
        s->engine_next_ms = s->now_ms + ORDER_AGAIN_MS;
        return;
    }
    if (s->order != QR_HANDLE_NONE && s->order_type == QR_EFFECT_ACTIVATE)
        return; /* it may have been read before the switch */
    s->active_known = true;
    qr_agent_set_text(&s->active, ev->text);
    if (s->stage == QR_STAGE_SWITCHING && strcmp(s->active, s->target) == 0)
        switch_served(s, out);
    else if (s->stage == QR_STAGE_SERVING && strcmp(s->active, s->target) != 0)
        qr_agent_set_text(&s->target, ""); /* somebody changed the engine */
}
