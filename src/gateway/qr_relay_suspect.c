/*
 * Calls that may crash engines: looks up the fingerprints of the request and of
 * the shared parts of its prompt, and reports the outcome of attempts.
 * qr_suspects.c decides.
 */
#include "qr_relay_parts.h"

/* A part that crashes engines does so when they begin to answer. A call that
   has been answered for this long says nothing against its parts. */
#define PART_CRASH_MAX_MS 1000
#define MAX_PARTS_LOGGED 8u
#define MAX_PART_ID_LOGGED 16u /* characters */

/* The caller unrefs the array. */
static GArray *shared_parts(const QRRelay *r)
{
    GArray *parts = g_array_new(FALSE, FALSE, sizeof(QRPromptPart));

    r->g->platform->parse_shared_parts(qr_exchange_headers(r->x), parts);
    return parts;
}

static void append_parts(QRRelay *r)
{
    g_autoptr(GArray) parts = shared_parts(r);

    for (unsigned i = 0; i < parts->len; i++) {
        const QRPromptPart *p = &g_array_index(parts, QRPromptPart, i);
        QRFingerprint f;

        if (qr_fingerprint_make_part(r->service, p, &f))
            g_array_append_val(r->fingerprints, f);
    }
}

/* Called only while there are suspects, or after a connection broke: a
   fingerprint costs 0.8 us, plus 0.8 us per KB of the body (make measure
   WHAT=cost). */
static bool make_fingerprints(QRRelay *r)
{
    QRFingerprintParts parts = {
        .method = qr_exchange_method(r->x),
        .host = qr_headers_get(qr_exchange_headers(r->x), "Host"),
        .target = qr_exchange_target(r->x),
        .team = r->team,
        .body = qr_exchange_body(r->x),
    };
    QRFingerprint f;

    if (r->fingerprints)
        return true;
    if (!qr_fingerprint_make(&parts, &f))
        return false;
    r->team_hash = qr_hash_str(r->team, 0);
    r->fingerprints = g_array_new(FALSE, FALSE, sizeof(QRFingerprint));
    g_array_append_val(r->fingerprints, f);
    append_parts(r);
    return true;
}

static const QRFingerprint *fingerprint_at(const QRRelay *r, unsigned i)
{
    return &g_array_index(r->fingerprints, QRFingerprint, i);
}

/* The first shared parts of the prompt, for the log. */
static char *describe_parts(const QRRelay *r)
{
    g_autoptr(GArray) parts = shared_parts(r);
    GString *text = g_string_new(NULL);

    for (unsigned i = 0; i < MIN(parts->len, MAX_PARTS_LOGGED); i++) {
        const QRPromptPart *p = &g_array_index(parts, QRPromptPart, i);

        g_string_append_printf(text, "%s%.*s", i > 0 ? "," : "",
                               (int)MIN(p->id_len, MAX_PART_ID_LOGGED), p->id);
    }
    if (parts->len > MAX_PARTS_LOGGED)
        g_string_append_printf(text, ",+%u", parts->len - MAX_PARTS_LOGGED);
    if (parts->len == 0)
        g_string_append_c(text, '-');
    return g_string_free(text, FALSE);
}

QRSuspicion qr_relay_suspicion(QRRelay *r)
{
    QRSuspicion most = QR_SUSPICION_NONE;

    if (!qr_requests_has_suspects(r->g) || !make_fingerprints(r))
        return QR_SUSPICION_NONE;
    for (unsigned i = 0; i < r->fingerprints->len; i++) {
        QRSuspicion suspicion =
            qr_requests_check(r->g, fingerprint_at(r, i), r->team_hash);

        if (suspicion == QR_SUSPICION_HELD && most != suspicion)
            r->held_by = i;
        most = MAX(most, suspicion);
    }
    r->is_held = most == QR_SUSPICION_HELD;
    return most;
}

const QRFingerprint *qr_relay_held_by(const QRRelay *r)
{
    return fingerprint_at(r, r->held_by);
}

const char *qr_relay_held_reason(const QRRelay *r)
{
    return r->held_by == 0
               ? "engines ended during requests with its fingerprint"
               : "engines ended during requests with a part of its prompt";
}

static bool is_on_trial(const QRAttempt *a, const QRFingerprint *f)
{
    for (unsigned i = 0; a->trials && i < a->trials->len; i++) {
        if (qr_fingerprint_equal(&g_array_index(a->trials, QRFingerprint, i),
                                 f))
            return true;
    }
    return false;
}

/* Counts the attempt as a trial of each suspect in it. */
static void join_trials(QRRelay *r, QRAttempt *a)
{
    if (!qr_requests_has_suspects(r->g) || !make_fingerprints(r))
        return;
    for (unsigned i = 0; i < r->fingerprints->len; i++) {
        const QRFingerprint *f = fingerprint_at(r, i);

        if (qr_requests_check(r->g, f, r->team_hash) == QR_SUSPICION_NONE ||
            is_on_trial(a, f))
            continue;
        if (!a->trials)
            a->trials = g_array_new(FALSE, FALSE, sizeof(QRFingerprint));
        g_array_append_val(a->trials, *f);
        qr_requests_trial_started(r->g, f);
    }
}

void qr_relay_begin_trial(QRRelay *r, QRAttempt *a)
{
    join_trials(r, a);
}

void qr_relay_end_trial(QRRelay *r, QRAttempt *a)
{
    g_autoptr(GArray) trials = g_steal_pointer(&a->trials);

    for (unsigned i = 0; trials && i < trials->len; i++)
        qr_requests_trial_ended(r->g, &g_array_index(trials, QRFingerprint, i));
}

/* Starts a check whether the engine has ended under the attempt. 'answered':
   nothing seems to be missing in its answer. */
static void check_engine(QRRelay *r, QRAttempt *a, bool answered)
{
    const QREngine *e = qr_attempt_engine(r, a);
    g_autofree char *parts = describe_parts(r);
    QRInterruptedCall call = {.id = r->id, .answered = answered};

    if (!e || !qr_engine_should_listen(e) || !make_fingerprints(r))
        return;
    call.parts = parts;
    call.fingerprints = r->fingerprints;
    call.team = r->team_hash;
    call.sent_ms = a->sent_ms;
    call.blames_parts = a->body_ms == 0 ||
                        qr_gateway_now(r->g) <= a->body_ms + PART_CRASH_MAX_MS;
    /* until it is known whether the engine has ended */
    call.trials = g_steal_pointer(&a->trials);
    qr_requests_call_interrupted(r->g, e, &call);
}

void qr_relay_note_broken(QRRelay *r, QRAttempt *a)
{
    check_engine(r, a, false);
}

/* Without a length and chunks, an answer that its engine's crash cut looks
   whole. */
static bool is_surely_whole(const QRRelay *r)
{
    const QRHeaders *h = &r->current.answer.headers;

    return qr_headers_get(h, "Content-Length") ||
           qr_headers_get(h, "Transfer-Encoding");
}

void qr_relay_note_answered(QRRelay *r)
{
    if (!is_surely_whole(r))
        check_engine(r, &r->current, true);
    else if (qr_requests_has_suspects(r->g) && make_fingerprints(r))
        qr_requests_note_answer(r->g, r->fingerprints);
}

void qr_relay_join_trials(QRGateway *g)
{
    for (unsigned i = 0; i < g->relays->len; i++) {
        QRRelay *r = g->relays->pdata[i];

        if (r->current.call)
            join_trials(r, &r->current);
        if (r->stalled.call)
            join_trials(r, &r->stalled);
    }
}
