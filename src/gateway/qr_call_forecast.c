/*
 * Forecasts how long a call takes at an engine.
 */
#include "qr_call_forecast.h"

#include <math.h>
#include <string.h>

/* No prompt and no answer is longer where the engine's memory is unknown. */
#define TOKENS_MAX 10000000
#define FIELD_MAX_BYTES 16
/* What callers state of their output is often off by this factor. */
#define HINT_ERROR_FACTOR 2
/* A correction averages over some 20 answers, so that a few odd answers do not
   change it much. The first answers count as if LEARNED_BEFORE had agreed with
   their forecast. */
#define SMOOTHING 0.05
#define LEARNED_BEFORE 3
/* A hint of 1 for an answer of 1,000 tokens, and the reverse. */
#define FACTOR_MAX 1000.0

/* Reads a whole number from 1 to 'max' in blanks. */
static bool parse_tokens(const char *text, size_t len, double max,
                         unsigned *out)
{
    double n = 0;

    while (len > 0 && g_ascii_isspace(*text))
        text++, len--;
    while (len > 0 && g_ascii_isspace(text[len - 1]))
        len--;
    if (len == 0 || len > FIELD_MAX_BYTES)
        return false;
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_isdigit(text[i]))
            return false;
        n = n * 10 + (text[i] - '0');
    }
    if (n < 1 || n > max)
        return false;
    *out = (unsigned)n;
    return true;
}

const char *qr_call_needs_parse(const char *usage, const char *hint,
                                const QREngineModel *m, QRCallNeeds *out)
{
    double max = m && m->memory_tokens > 0
                     ? MIN((double)m->memory_tokens, TOKENS_MAX)
                     : TOKENS_MAX;
    const char *comma = usage ? strchr(usage, ',') : NULL;
    const char *bad = NULL;

    *out = (QRCallNeeds){0};
    if (hint &&
        !parse_tokens(hint, strlen(hint), max, &out->output_hint_tokens))
        bad = "length hint";
    if (comma && !parse_tokens(comma + 1, strlen(comma + 1), TOKENS_MAX,
                               &out->output_limit_tokens))
        bad = "most tokens out";
    if (usage &&
        !parse_tokens(usage, comma ? (size_t)(comma - usage) : strlen(usage),
                      max, &out->prompt_tokens))
        bad = "tokens in";
    return bad;
}

bool qr_call_can_forecast(const QREngineModel *m)
{
    return m && m->model && m->read_per_s > 0 && m->step_ms > 0;
}

static double limit_tokens(double tokens, const QRCallNeeds *n)
{
    return n->output_limit_tokens > 0 ? MIN(tokens, n->output_limit_tokens)
                                      : tokens;
}

double qr_call_stated_tokens(const QRCallNeeds *n, const QREngineModel *m)
{
    double tokens = n->output_hint_tokens > 0 ? n->output_hint_tokens
                                              : m->typical_answer_tokens;

    return isfinite(tokens) && tokens > 0 ? limit_tokens(tokens, n) : 0;
}

double qr_call_expected_tokens(const QRCallNeeds *n, const QREngineModel *m,
                               double factor)
{
    return limit_tokens(qr_call_stated_tokens(n, m) * factor, n);
}

double qr_call_prefill_ms(const QREngineModel *m, unsigned prompt_tokens,
                          double pace)
{
    return prompt_tokens * 1000 / m->read_per_s * pace;
}

double qr_call_decode_ms(const QREngineModel *m, double tokens, unsigned open,
                         double pace)
{
    return tokens * (m->step_ms + m->per_sequence_ms * open) * pace;
}

double qr_call_end_ms(const QREngineModel *m, unsigned prompt_tokens,
                      double tokens, unsigned open, double pace)
{
    return qr_call_prefill_ms(m, prompt_tokens, pace) +
           qr_call_decode_ms(m, tokens, open, pace) +
           /* an idle engine admits a call at once */
           (open > 1 ? qr_call_decode_ms(m, MAX(m->admission_interval_steps, 1),
                                         open, pace)
                     : 0);
}

bool qr_call_cannot_end(const QRCallTime *t, double *end_ms)
{
    *end_ms = 0;
    if (!qr_call_can_forecast(t->model))
        return false;
    *end_ms = qr_call_end_ms(t->model, t->prompt_tokens,
                             t->expected_tokens / HINT_ERROR_FACTOR, 1, 1);
    return *end_ms > (double)t->left_ms;
}

/* The mean durations of the answers of one key. */
typedef struct Correction {
    double stated_ms, actual_ms;
    unsigned answers; /* counted up to 1 / SMOOTHING */
    uint64_t learned_ms;
} Correction;

/* 'route' NULL: all routes. */
static guint64 key_of(const char *team, const char *route)
{
    return qr_hash64(team, strlen(team),
                     route ? qr_hash64(route, strlen(route), 1) : 0);
}

static Correction *correction_get(const QRCallCorrections *c, const char *team,
                                  const char *route)
{
    guint64 key = key_of(team, route);

    return c->rows ? g_hash_table_lookup(c->rows, &key) : NULL;
}

void qr_call_corrections_clear(QRCallCorrections *c)
{
    g_clear_pointer(&c->rows, g_hash_table_unref);
}

double qr_call_corrections_factor(const QRCallCorrections *c, const char *team,
                                  const char *route)
{
    const Correction *row = correction_get(c, team, route);

    if (!row)
        row = correction_get(c, team, NULL);
    return row ? CLAMP(row->actual_ms / row->stated_ms, 1 / FACTOR_MAX,
                       FACTOR_MAX)
               : 1;
}

static void evict_oldest(GHashTable *rows)
{
    const Correction *oldest = NULL;
    const void *oldest_key = NULL;
    GHashTableIter it;
    void *key, *value;

    g_hash_table_iter_init(&it, rows);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const Correction *row = value;

        if (!oldest || row->learned_ms < oldest->learned_ms) {
            oldest = row;
            oldest_key = key;
        }
    }
    if (oldest_key)
        g_hash_table_remove(rows, oldest_key);
}

static Correction *correction_new(QRCallCorrections *c, const char *team,
                                  const char *route, double stated_ms)
{
    guint64 key = key_of(team, route);
    Correction *row = g_new0(Correction, 1);

    if (!c->rows)
        c->rows =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    if (g_hash_table_size(c->rows) >= QR_CALL_CORRECTIONS_MAX)
        evict_oldest(c->rows);
    row->stated_ms = row->actual_ms = stated_ms;
    row->answers = LEARNED_BEFORE;
    g_hash_table_insert(c->rows, g_memdup2(&key, sizeof(key)), row);
    return row;
}

static void learn_one(QRCallCorrections *c, const char *team, const char *route,
                      double stated_ms, double actual_ms, uint64_t now_ms)
{
    Correction *row = correction_get(c, team, route);
    double weight;

    if (!row)
        row = correction_new(c, team, route, stated_ms);
    row->answers = MIN(row->answers + 1, (unsigned)(1 / SMOOTHING));
    weight = 1.0 / row->answers;
    row->stated_ms += weight * (stated_ms - row->stated_ms);
    row->actual_ms += weight * (actual_ms - row->actual_ms);
    row->learned_ms = now_ms;
}

void qr_call_corrections_learn(QRCallCorrections *c, const char *team,
                               const char *route, double stated_ms,
                               double actual_ms, uint64_t now_ms)
{
    if (!(stated_ms > 0) || !(actual_ms >= 0))
        return;
    learn_one(c, team, route, stated_ms, actual_ms, now_ms);
    learn_one(c, team, NULL, stated_ms, actual_ms, now_ms);
}
