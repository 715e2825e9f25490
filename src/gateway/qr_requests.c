/*
 * Requests that may crash engines: what a gateway sees itself.
 *
 * A connection that breaks under a call says little: engines cut answers, links
 * break. So a new one is opened to the engine at once, which takes a round trip
 * and costs nothing where the engine lives, for the next call uses it. That
 * nobody listens there any more says that the engine has ended; as does, where
 * the machine says nothing at all, that its record goes or tells a later start.
 */
#include "qr_requests_parts.h"

#include "base/qr_json.h"

#define REACH_MS 400 /* as calls have to open a connection */
/* A record goes after three heartbeats of silence (3.6 s), read each 0.5 s. */
#define BROKEN_KEPT_MS 5000
#define SWEEP_MS 2000
/* Tries of one request, one after the other: from the second on other gateways
   are told of each, so that they wait for it. */
#define TRIES_TOLD 2

/* Calls of ours that broke off at one run of an engine. */
typedef struct BrokenRun {
    char *engine, *address;
    uint64_t born_ms, broke_ms;
    bool asked;    /* whether somebody listens there; no answer yet */
    GArray *calls; /* BrokenCall */
} BrokenRun;

typedef struct BrokenCall {
    QRFingerprint fingerprint;
    uint64_t sent_ms;
    bool on_trial;
} BrokenCall;

static void broken_free(void *p)
{
    BrokenRun *b = p;

    g_free(b->engine);
    g_free(b->address);
    g_array_unref(b->calls);
    g_free(b);
}

void qr_requests_init(QRGateway *g)
{
    QRRequests *q = &g->requests;

    qr_suspects_init(&q->suspects);
    q->broken = g_ptr_array_new_with_free_func(broken_free);
    q->answered = g_array_new(FALSE, FALSE, sizeof(QRFingerprint));
}

void qr_requests_clear(QRGateway *g)
{
    QRRequests *q = &g->requests;

    qr_suspects_clear(&q->suspects);
    g_ptr_array_unref(q->broken);
    g_array_unref(q->answered);
}

bool qr_requests_suspects_any(const QRGateway *g)
{
    return !qr_suspects_is_empty(&g->requests.suspects);
}

QRSuspicion qr_requests_ask(QRGateway *g, const QRFingerprint *f)
{
    return qr_suspects_ask(&g->requests.suspects, f, qr_gateway_now(g));
}

uint64_t qr_requests_held_ms(const QRGateway *g, const QRFingerprint *f)
{
    const QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);
    uint64_t now = qr_gateway_now(g);

    return s && qr_suspect_is_held(s, now) ? s->held_until_ms - now : 0;
}

/* Whether other gateways are told of each of its tries. */
static bool is_told(const QRSuspect *s)
{
    return s->holds > 0 || qr_suspect_tries(s) >= TRIES_TOLD;
}

void qr_requests_trial(QRGateway *g, const QRFingerprint *f)
{
    QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);

    if (!s)
        return;
    s->own_trials++;
    qr_relay_count(g, QR_COUNTER_trials);
    if (is_told(s))
        qr_requests_tell_trial(g, s, false);
}

void qr_requests_trial_over(QRGateway *g, const QRFingerprint *f)
{
    QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);

    if (!s || s->own_trials == 0 || --s->own_trials > 0)
        return;
    if (is_told(s))
        qr_requests_tell_trial(g, s, true);
}

void qr_requests_answered(QRGateway *g, const QRFingerprint *f)
{
    QRRequests *q = &g->requests;
    const QRSuspect *s = qr_suspects_get(&q->suspects, f);
    bool stored = s && s->stored;
    char text[QR_FINGERPRINT_HEX];

    if (!qr_suspects_answered(&q->suspects, f, qr_gateway_now(g)))
        return;
    qr_fingerprint_text(f, text);
    qr_logf(QR_LEVEL_INFO, "requests", "cleared request=%s why=answered", text);
    g_array_append_val(q->answered, *f);
    if (stored)
        qr_requests_store_cleared(g, f);
}

static BrokenRun *broken_find(const QRRequests *q, const char *engine)
{
    for (unsigned i = 0; i < q->broken->len; i++) {
        BrokenRun *b = q->broken->pdata[i];

        if (strcmp(b->engine, engine) == 0)
            return b;
    }
    return NULL;
}

/* Others like them need not wait for these any longer. */
static void broken_release(QRGateway *g, BrokenRun *b)
{
    for (unsigned i = 0; i < b->calls->len; i++) {
        BrokenCall *c = &g_array_index(b->calls, BrokenCall, i);

        if (c->on_trial)
            qr_requests_trial_over(g, &c->fingerprint);
        c->on_trial = false;
    }
}

static void broken_drop(QRGateway *g, BrokenRun *b)
{
    broken_release(g, b);
    g_ptr_array_remove_fast(g->requests.broken, b);
}

/* The run has ended, with these calls at work there. */
static void broken_ended(QRGateway *g, BrokenRun *b, const char *why)
{
    QRRequests *q = &g->requests;
    g_autoptr(GPtrArray) words = qr_request_words_new();
    QRRunEnd end = {qr_hash_str(b->engine, 0), b->born_ms, 0, b->broke_ms};
    uint64_t now = qr_gateway_now(g);
    unsigned suspect = 0;

    qr_relay_count(g, QR_COUNTER_engine_ends);
    for (unsigned i = 0; i < b->calls->len; i++) {
        const BrokenCall *c = &g_array_index(b->calls, BrokenCall, i);
        QRSuspect *s;

        end.sent_ms = c->sent_ms;
        s = qr_suspects_ended(&q->suspects, &c->fingerprint, &end, now);
        if (s)
            s->own_end_ms = b->broke_ms;
        suspect += s != NULL;
        qr_request_word_end(qr_request_word(words, &c->fingerprint), &end, now);
    }
    qr_logf(QR_LEVEL_WARN, "requests",
            "engine ended engine=%s born_ms=%" G_GUINT64_FORMAT
            " calls=%u suspect=%u found_after_ms=%" G_GUINT64_FORMAT " why=%s",
            b->engine, b->born_ms, b->calls->len, suspect, now - b->broke_ms,
            why);
    qr_requests_tell(g, words);
    broken_drop(g, b);
    /* others of the same requests that are under way here are on trial, too */
    qr_relay_join_trials(g);
}

void qr_requests_engine_over(QRGateway *g, const char *engine)
{
    BrokenRun *b = broken_find(&g->requests, engine);

    if (b)
        broken_ended(g, b, "its record went or tells a later start");
}

static void broken_reached(void *owner, const char *address,
                           QRClientProbeResult reached)
{
    QRGateway *g = owner;
    GPtrArray *all = g->requests.broken;

    for (unsigned i = all->len; i > 0; i--) {
        BrokenRun *b = all->pdata[i - 1];

        if (!b->asked || strcmp(b->address, address) != 0)
            continue;
        b->asked = false;
        if (reached == QR_CLIENT_PROBE_REFUSED) {
            broken_ended(g, b, "nobody listens there");
            return;
        }
        /* if another run listens there already, its record will say so */
        broken_release(g, b);
    }
}

void qr_requests_broke(QRGateway *g, const QREngine *engine,
                       const QRBrokenCall *call)
{
    QRRequests *q = &g->requests;
    const QREngineRecord *r = engine->record;
    BrokenRun *b = broken_find(q, r->id);
    BrokenCall row = {*call->fingerprint, call->sent_ms, call->on_trial};
    char text[QR_FINGERPRINT_HEX];

    qr_fingerprint_text(call->fingerprint, text);
    qr_logf(QR_LEVEL_INFO, "requests",
            "broke call=%s engine=%s request=%s at_work_ms=%" G_GUINT64_FORMAT,
            call->id, r->id, text, qr_gateway_now(g) - call->sent_ms);
    if (!b) {
        b = g_new0(BrokenRun, 1);
        b->engine = g_strdup(r->id);
        b->address = g_strdup(r->address);
        b->born_ms = r->born_ms;
        b->broke_ms = qr_gateway_now(g);
        b->calls = g_array_new(FALSE, FALSE, sizeof(BrokenCall));
        g_ptr_array_add(q->broken, b);
    }
    g_array_append_val(b->calls, row);
    if (!b->asked) {
        b->asked = true;
        qr_client_probe(g->to_engines, b->address, REACH_MS, broken_reached, g);
    }
}

void qr_requests_tick(QRGateway *g, uint64_t now_ms)
{
    QRRequests *q = &g->requests;

    for (unsigned i = q->broken->len; i > 0; i--) {
        BrokenRun *b = q->broken->pdata[i - 1];

        if (!b->asked && now_ms > b->broke_ms + BROKEN_KEPT_MS)
            broken_drop(g, b);
    }
    qr_suspects_judge(&q->suspects, now_ms);
    qr_requests_report(g);
    qr_requests_tell_answered(g);
    qr_requests_store_tick(g, now_ms);
    if (now_ms >= q->sweep_ms) {
        q->sweep_ms = now_ms + SWEEP_MS;
        qr_suspects_sweep(&q->suspects, now_ms);
    }
}

static json_object *row_json(const QRSuspect *s, uint64_t now_ms)
{
    json_object *o = json_object_new_object();
    char text[QR_FINGERPRINT_HEX];

    qr_fingerprint_text(&s->fingerprint, text);
    qr_json_str(o, "request", text);
    qr_json_str(o, "state",
                qr_suspect_is_held(s, now_ms) ? "held" : "on trial");
    qr_json_int(o, "left_s",
                (int64_t)(MAX(s->held_until_ms, now_ms) - now_ms) / 1000);
    qr_json_int(o, "times_held", s->holds);
    qr_json_int(o, "engines_ended", s->ends.total);
    qr_json_int(o, "tries_in_a_row", qr_suspect_tries(s));
    qr_json_int(o, "stored", s->stored);
    return o;
}

char *qr_requests_json(const QRGateway *g)
{
    g_autoptr(json_object) o = json_object_new_object();
    json_object *rows = json_object_new_array();
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->requests.suspects.rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (is_told(value))
            json_object_array_add(rows, row_json(value, qr_gateway_now(g)));
    }
    qr_json_add(o, "requests", rows);
    return qr_json_text(o);
}
