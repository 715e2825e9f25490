/*
 * Forecasts how long a call takes at an engine, and whether it can end in time.
 *
 * A call reads its prompt (prefill) and then writes its output (decode), one
 * token per step of the engine. The number of output tokens is the caller's
 * estimate, corrected by the durations of earlier answers of the same team and
 * route. Times are inputs.
 */
#ifndef QR_CALL_FORECAST_H
#define QR_CALL_FORECAST_H

#include "fleet/qr_policy.h"

/* What a caller states of its call. 0: not stated, or not usable. */
typedef struct QRCallNeeds {
    unsigned prompt_tokens;
    unsigned output_limit_tokens; /* most tokens that the engine may write */
    unsigned output_hint_tokens;  /* the caller's estimate of them */
} QRCallNeeds;

/*
 * Reads 'usage' ("tokens in,most tokens out"; the second may be missing) and
 * 'hint' (tokens out), either of which may be NULL. A value that is no number,
 * not above 0, or more than an engine's memory holds counts as not stated.
 * Returns a static text that names the first such value, or NULL.
 */
const char *qr_call_needs_parse(const char *usage, const char *hint,
                                const QREngineModel *m, QRCallNeeds *out);

/* Whether a call to engines of the model can be forecast. */
bool qr_call_can_forecast(const QREngineModel *m);
/* The output tokens that the caller states: the lesser of hint and limit.
   Without a hint those of a typical answer. 0: unknown. */
double qr_call_stated_tokens(const QRCallNeeds *n, const QREngineModel *m);
/* The same times 'factor', see qr_call_corrections_factor(), and at most the
   limit. */
double qr_call_expected_tokens(const QRCallNeeds *n, const QREngineModel *m,
                               double factor);
/* Time to read a prompt at an engine that reads nothing else. 'pace' over 1: a
   slow engine, by that factor. */
double qr_call_prefill_ms(const QREngineModel *m, unsigned prompt_tokens,
                          double pace);
/* Time to write 'tokens' while 'open' calls, this one included, are open. */
double qr_call_decode_ms(const QREngineModel *m, double tokens, unsigned open,
                         double pace);
/* Time from sending to the last token while 'open' calls, this one included,
   are open: one pass until the call is admitted, prefill and decode. */
double qr_call_end_ms(const QREngineModel *m, unsigned prompt_tokens,
                      double tokens, unsigned open, double pace);

/* A call before it is sent. */
typedef struct QRCallTime {
    const QREngineModel *model;
    unsigned prompt_tokens;
    double expected_tokens; /* 0: unknown */
    uint64_t left_ms;       /* until its deadline */
} QRCallTime;

/*
 * Whether the call cannot end before its deadline at any engine, not even at an
 * idle one. The estimates of callers are often off by a factor of two: a call
 * is given up only if half of the expected tokens take too long. Fills
 * '*end_ms' with the forecast that was compared.
 */
bool qr_call_cannot_end(const QRCallTime *t, double *end_ms);

/* Learned corrections of one service. Zero-initialized: empty. */
typedef struct QRCallCorrections {
    GHashTable *rows; /* private to qr_call_forecast.c; NULL: none yet */
} QRCallCorrections;

#define QR_CALL_CORRECTIONS_MAX 256 /* rows; the least recently used goes */

void qr_call_corrections_clear(QRCallCorrections *c);
/* Factor between what answers take and what their callers state: of the team on
   the route, else of the team on all routes, else 1. */
double qr_call_corrections_factor(const QRCallCorrections *c, const char *team,
                                  const char *route);
/* Learns from an answer that took 'actual_ms' to write. 'stated_ms' is the
   forecast for the tokens that its caller stated. */
void qr_call_corrections_learn(QRCallCorrections *c, const char *team,
                               const char *route, double stated_ms,
                               double actual_ms, uint64_t now_ms);

#endif
