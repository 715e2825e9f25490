/*
 * Requests that may crash engines: detection by this gateway.
 *
 * A connection that breaks during a call does not prove that the engine has
 * ended: engines cut answers and links break. The gateway therefore opens a
 * new connection to the engine at once. This takes one round trip and is free
 * if the engine is running, since the next call uses the connection. A refused
 * connection means that the engine has ended. If the host does not respond,
 * the engine counts as ended when its record is removed or has a later start.
 */
#include "qr_requests_parts.h"

#include "base/qr_json.h"

#define PROBE_TIMEOUT_MS 400 /* the same as for calls */
/* A record is removed after three missed heartbeats (3.6 s), and records are
   read every 0.5 s. */
#define RUN_KEPT_MS 5000
#define SWEEP_INTERVAL_MS 2000
/* From this number of consecutive tries on, each trial of a request is reported
   to the other gateways, which wait until the trial is over. */
#define MIN_SHARED_TRIES 2

/* One run of an engine, with this gateway's calls that broke off there. */
typedef struct EngineRun {
    char *engine, *address;
    uint64_t born_ms;
    uint64_t interrupted_ms; /* end of the first connection of 'calls' */
    bool probing;            /* a connection attempt is in progress */
    GArray *calls;           /* InterruptedCall */
    unsigned probed_calls;   /* the first ones: those before the probe began */
} EngineRun;

typedef struct InterruptedCall {
    GArray *fingerprints, *trials;    /* references; 'trials' may be NULL */
    uint64_t team, sent_ms, ended_ms; /* its connection ended */
    bool answered, blames_parts;
} InterruptedCall;

static void interrupted_call_clear(void *p)
{
    InterruptedCall *c = p;

    g_array_unref(c->fingerprints);
    g_clear_pointer(&c->trials, g_array_unref);
}

static void engine_run_free(void *p)
{
    EngineRun *run = p;

    g_free(run->engine);
    g_free(run->address);
    g_array_unref(run->calls);
    g_free(run);
}

void qr_requests_init(QRGateway *g)
{
    QRRequests *q = &g->requests;

    qr_suspects_init(&q->suspects);
    q->runs = g_ptr_array_new_with_free_func(engine_run_free);
    q->cleared = g_array_new(FALSE, FALSE, sizeof(QRFingerprint));
}

void qr_requests_clear(QRGateway *g)
{
    QRRequests *q = &g->requests;

    qr_suspects_clear(&q->suspects);
    g_ptr_array_unref(q->runs);
    g_array_unref(q->cleared);
}

bool qr_requests_has_suspects(const QRGateway *g)
{
    return !qr_suspects_is_empty(&g->requests.suspects);
}

QRSuspicion qr_requests_check(QRGateway *g, const QRFingerprint *f,
                              uint64_t team)
{
    return qr_suspects_check(&g->requests.suspects, f, team, qr_gateway_now(g));
}

uint64_t qr_requests_hold_left_ms(const QRGateway *g, const QRFingerprint *f)
{
    const QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);
    uint64_t now = qr_gateway_now(g);

    return s && qr_suspect_is_held(s, now) ? s->held_until_ms - now : 0;
}

/* Whether each trial of the suspect is reported to other gateways. Parts are on
   trial only after a hold. */
static bool is_shared(const QRSuspect *s)
{
    return s->hold_count > 0 ||
           (s->fingerprint.kind == QR_FINGERPRINT_REQUEST &&
            qr_suspect_tries(s) >= MIN_SHARED_TRIES);
}

void qr_requests_trial_started(QRGateway *g, const QRFingerprint *f)
{
    QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);

    if (!s)
        return;
    s->local_trials++;
    qr_relay_count(g, QR_COUNTER_trials);
    if (is_shared(s))
        qr_requests_broadcast_trial(g, s, false);
}

void qr_requests_trial_ended(QRGateway *g, const QRFingerprint *f)
{
    QRSuspect *s = qr_suspects_get(&g->requests.suspects, f);

    if (!s || s->local_trials == 0 || --s->local_trials > 0)
        return;
    if (is_shared(s))
        qr_requests_broadcast_trial(g, s, true);
}

static void note_answer(QRGateway *g, const QRFingerprint *f)
{
    QRRequests *q = &g->requests;
    const QRSuspect *s = qr_suspects_get(&q->suspects, f);
    bool stored = s && s->stored;
    char text[QR_FINGERPRINT_TEXT];

    if (!qr_suspects_note_answer(&q->suspects, f, qr_gateway_now(g)))
        return;
    qr_fingerprint_text(f, text);
    qr_logf(QR_LEVEL_INFO, "requests",
            "no longer suspect request=%s why=answered", text);
    g_array_append_val(q->cleared, *f);
    if (stored)
        qr_requests_schedule_clear(g, f);
}

void qr_requests_note_answer(QRGateway *g, const GArray *fingerprints)
{
    for (unsigned i = 0; i < fingerprints->len; i++)
        note_answer(g, &g_array_index(fingerprints, QRFingerprint, i));
}

static EngineRun *find_run(const QRRequests *q, const char *engine)
{
    for (unsigned i = 0; i < q->runs->len; i++) {
        EngineRun *run = q->runs->pdata[i];

        if (strcmp(run->engine, engine) == 0)
            return run;
    }
    return NULL;
}

/* Ends the trials of these calls, which lets equal requests proceed. */
static void end_trials(QRGateway *g, EngineRun *run)
{
    for (unsigned i = 0; i < run->calls->len; i++) {
        InterruptedCall *c = &g_array_index(run->calls, InterruptedCall, i);

        for (unsigned k = 0; c->trials && k < c->trials->len; k++)
            qr_requests_trial_ended(
                g, &g_array_index(c->trials, QRFingerprint, k));
        g_clear_pointer(&c->trials, g_array_unref);
    }
}

static void drop_run(QRGateway *g, EngineRun *run)
{
    end_trials(g, run);
    g_ptr_array_remove_fast(g->requests.runs, run);
}

/* Adds the end of a run to one suspect that was at work there, and to the
   messages. Returns whether it is a suspect now. */
static bool add_end(QRGateway *g, const QRFingerprint *f, const QRRunEnd *end,
                    QRRequestMessages *messages)
{
    uint64_t now = qr_gateway_now(g);
    QRSuspect *s = qr_suspects_add_end(&g->requests.suspects, f, end, now);

    if (s)
        s->local_end_ms = end->ended_ms;
    qr_request_message_add_end(qr_request_message_add(messages, f), end, now);
    return s != NULL;
}

/* Adds the end of a run to the parts of a call that was at work there. Returns
   the number of suspects. */
static unsigned add_end_to_parts(QRGateway *g, const InterruptedCall *c,
                                 const QRRunEnd *end,
                                 QRRequestMessages *messages)
{
    QRRequests *q = &g->requests;
    g_autoptr(GArray) blamed = g_array_new(FALSE, FALSE, sizeof(QRFingerprint));
    unsigned n = c->fingerprints->len - 1, suspect = 0;

    qr_suspects_choose_parts(&q->suspects,
                             &g_array_index(c->fingerprints, QRFingerprint, 1),
                             n, q->long_lists, blamed);
    q->long_lists += n > QR_MAX_NEW_PARTS;
    for (unsigned i = 0; i < blamed->len; i++)
        suspect +=
            add_end(g, &g_array_index(blamed, QRFingerprint, i), end, messages);
    return suspect;
}

/* Records and broadcasts the end of a run that interrupted these calls. */
static void handle_run_end(QRGateway *g, EngineRun *run, const char *why)
{
    g_auto(QRRequestMessages) messages = {0};
    QRRunEnd end = {qr_hash_str(run->engine, 0), run->born_ms, 0,
                    run->interrupted_ms, 0};
    uint64_t now = qr_gateway_now(g);
    unsigned suspect = 0;

    qr_request_messages_init(&messages);
    qr_relay_count(g, QR_COUNTER_engine_ends);
    for (unsigned i = 0; i < run->calls->len; i++) {
        const InterruptedCall *c =
            &g_array_index(run->calls, InterruptedCall, i);

        end.sent_ms = c->sent_ms;
        end.team = c->team;
        suspect += add_end(g, &g_array_index(c->fingerprints, QRFingerprint, 0),
                           &end, &messages);
        if (c->blames_parts)
            suspect += add_end_to_parts(g, c, &end, &messages);
    }
    qr_logf(QR_LEVEL_WARN, "requests",
            "engine ended engine=%s born_ms=%" G_GUINT64_FORMAT
            " calls=%u suspect=%u found_after_ms=%" G_GUINT64_FORMAT " why=%s",
            run->engine, run->born_ms, run->calls->len, suspect,
            now - run->interrupted_ms, why);
    qr_requests_broadcast(g, &messages);
    drop_run(g, run);
    /* other calls in progress with these requests become trials as well */
    qr_relay_join_trials(g);
}

void qr_requests_engine_ended(QRGateway *g, const char *engine)
{
    EngineRun *run = find_run(&g->requests, engine);

    if (run)
        handle_run_end(g, run, "its record was removed or has a later start");
}

/* The engine lives: its answers that ended with their connections are whole. */
static void confirm_answers(QRGateway *g, EngineRun *run)
{
    for (unsigned i = run->probed_calls; i > 0; i--) {
        InterruptedCall *c = &g_array_index(run->calls, InterruptedCall, i - 1);

        if (!c->answered)
            continue;
        qr_requests_note_answer(g, c->fingerprints);
        g_array_remove_index(run->calls, i - 1);
    }
    run->probed_calls = 0;
    if (run->calls->len > 0)
        run->interrupted_ms =
            g_array_index(run->calls, InterruptedCall, 0).ended_ms;
}

static bool has_unconfirmed_answer(const EngineRun *run)
{
    for (unsigned i = 0; i < run->calls->len; i++) {
        if (g_array_index(run->calls, InterruptedCall, i).answered)
            return true;
    }
    return false;
}

static void start_probe(QRGateway *g, EngineRun *run);

static void handle_probe_result(void *owner, const char *address,
                                QRClientProbeResult reached)
{
    QRGateway *g = owner;
    GPtrArray *all = g->requests.runs;

    for (unsigned i = all->len; i > 0; i--) {
        EngineRun *run = all->pdata[i - 1];

        if (!run->probing || strcmp(run->address, address) != 0)
            continue;
        run->probing = false;
        if (reached == QR_CLIENT_PROBE_REFUSED) {
            handle_run_end(g, run, "connection refused");
            return;
        }
        /* if a new run is already listening there, its record will show that */
        end_trials(g, run);
        if (reached == QR_CLIENT_PROBE_OPEN)
            confirm_answers(g, run);
        if (run->calls->len == 0)
            drop_run(g, run);
        else if (has_unconfirmed_answer(run) && reached == QR_CLIENT_PROBE_OPEN)
            start_probe(g, run); /* answers that ended since the last probe */
    }
}

static void start_probe(QRGateway *g, EngineRun *run)
{
    run->probing = true;
    run->probed_calls = run->calls->len;
    qr_client_probe(g->to_engines, run->address, PROBE_TIMEOUT_MS,
                    handle_probe_result, g);
}

void qr_requests_call_interrupted(QRGateway *g, const QREngine *engine,
                                  const QRInterruptedCall *call)
{
    QRRequests *q = &g->requests;
    const QREngineRecord *r = engine->record;
    EngineRun *run = find_run(q, r->id);
    uint64_t now = qr_gateway_now(g);
    InterruptedCall interrupted = {g_array_ref(call->fingerprints),
                                   call->trials,
                                   call->team,
                                   call->sent_ms,
                                   now,
                                   call->answered,
                                   call->blames_parts};
    char text[QR_FINGERPRINT_TEXT];

    qr_fingerprint_text(&g_array_index(call->fingerprints, QRFingerprint, 0),
                        text);
    if (!call->answered)
        qr_logf(QR_LEVEL_INFO, "requests",
                "connection broke call=%s engine=%s request=%s "
                "parts=%s at_work_ms=%" G_GUINT64_FORMAT,
                call->id, r->id, text, call->parts, now - call->sent_ms);
    if (!run) {
        run = g_new0(EngineRun, 1);
        run->engine = g_strdup(r->id);
        run->address = g_strdup(r->address);
        run->born_ms = r->born_ms;
        run->interrupted_ms = now;
        run->calls = g_array_new(FALSE, FALSE, sizeof(InterruptedCall));
        g_array_set_clear_func(run->calls, interrupted_call_clear);
        g_ptr_array_add(q->runs, run);
    }
    g_array_append_val(run->calls, interrupted);
    if (!run->probing)
        start_probe(g, run);
}

void qr_requests_tick(QRGateway *g, uint64_t now_ms)
{
    QRRequests *q = &g->requests;

    for (unsigned i = q->runs->len; i > 0; i--) {
        EngineRun *run = q->runs->pdata[i - 1];

        if (!run->probing && now_ms > run->interrupted_ms + RUN_KEPT_MS)
            drop_run(g, run);
    }
    qr_suspects_evaluate(&q->suspects, now_ms);
    qr_requests_report_held(g);
    qr_requests_broadcast_answered(g);
    qr_requests_store_tick(g, now_ms);
    if (now_ms >= q->next_sweep_ms) {
        q->next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
        qr_suspects_sweep(&q->suspects, now_ms);
    }
}

static json_object *row_json(const QRSuspect *s, uint64_t now_ms)
{
    json_object *o = json_object_new_object();
    char text[QR_FINGERPRINT_TEXT];

    qr_fingerprint_text(&s->fingerprint, text);
    qr_json_str(o, "request", text);
    qr_json_str(o, "state",
                qr_suspect_is_held(s, now_ms) ? "held"
                : is_shared(s)                ? "on trial"
                                              : "suspect");
    qr_json_int(o, "left_s",
                (int64_t)(MAX(s->held_until_ms, now_ms) - now_ms) / 1000);
    qr_json_int(o, "times_held", s->hold_count);
    qr_json_int(o, "engines_ended", s->ends.total);
    qr_json_int(o, "tries_in_a_row", qr_suspect_tries(s));
    qr_json_int(o, "stored", s->stored);
    qr_json_str(o, "kind",
                s->fingerprint.kind == QR_FINGERPRINT_PART ? "prompt part"
                                                           : "request");
    qr_json_int(o, "one_team_only",
                s->fingerprint.kind == QR_FINGERPRINT_PART && s->has_team &&
                    s->team != QR_TEAM_SEVERAL);
    return o;
}

static bool is_listed(const QRSuspect *s)
{
    return is_shared(s) || s->is_leading;
}

char *qr_requests_json(const QRGateway *g)
{
    g_autoptr(json_object) o = json_object_new_object();
    json_object *rows = json_object_new_array();
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->requests.suspects.rows);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (is_listed(value))
            json_object_array_add(rows, row_json(value, qr_gateway_now(g)));
    }
    qr_json_add(o, "requests", rows);
    return qr_json_text(o);
}
