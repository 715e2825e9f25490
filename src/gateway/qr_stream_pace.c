/*
 * Decides whether a running stream should be resumed at another engine.
 */
#include "qr_stream_pace.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A median of three pauses is the least that ignores a single long one, as when
   the engine reads a prompt. */
#define PAUSES_MIN 3
/* Smaller differences come from load that the model does not describe. */
#define SLOW_FACTOR 2.0
/* With the weight and the cap, the usual pause rises by a tenth with each slow
   pause at most: where all engines have become slow it is twice as long after
   eight, and a few slow engines among many hardly raise it. */
#define USUAL_WEIGHT 0.05
#define USUAL_CAP 3.0
/* Averages over some ten streams. */
#define LENGTH_WEIGHT 0.1
/* One stream counts as this many times more or fewer events per token than
   known so far, at most: a single false hint changes little. */
#define RATIO_CAP 4.0
/* A forecast that ends just at the deadline would often miss it. */
#define TIME_SHARE_THERE 0.9
/* A single event cannot come early enough elsewhere to be worth a retry. */
#define EVENTS_LEFT_MIN 2
#define TOKENS_MAX 1e7 /* beyond any answer: not plausible */

static double read_tokens(const char *text)
{
    char *end;
    double n;

    if (!text || !g_ascii_isdigit(*text))
        return 0;
    n = g_ascii_strtod(text, &end);
    while (g_ascii_isspace(*end))
        end++;
    return *end == '\0' && n > 0 && n <= TOKENS_MAX ? n : 0;
}

QRTokensStated qr_tokens_stated(const char *hint, const char *usage)
{
    const char *most = usage ? strchr(usage, ',') : NULL;

    if (most) {
        most++;
        while (g_ascii_isspace(*most))
            most++;
    }
    return (QRTokensStated){read_tokens(hint), read_tokens(most)};
}

bool qr_tokens_are_invalid(const char *text, double read)
{
    return text && read <= 0;
}

void qr_stream_pace_reset(QRStreamPace *p)
{
    *p = (QRStreamPace){0};
}

double qr_stream_pace_add(QRStreamPace *p, unsigned events, uint64_t now_ms)
{
    double pause;

    if (events == 0)
        return 0;
    if (p->last_event_ms == 0) {
        p->last_event_ms = now_ms;
        return 0;
    }
    pause = (double)(now_ms - MIN(now_ms, p->last_event_ms)) / events;
    p->last_event_ms = now_ms;
    p->pauses_ms[p->count++ % QR_STREAM_PAUSES] = pause;
    return pause;
}

double qr_stream_pace_latest_ms(const QRStreamPace *p)
{
    if (p->count < 2)
        return 0;
    return MIN(p->pauses_ms[(p->count - 1) % QR_STREAM_PAUSES],
               p->pauses_ms[(p->count - 2) % QR_STREAM_PAUSES]);
}

void qr_usual_pause_add(QRUsualPause *u, double pause_ms, double step_ms)
{
    double steps;

    if (!(pause_ms > 0) || !(step_ms > 0))
        return;
    steps = pause_ms / step_ms;
    if (u->steps > 0)
        u->steps +=
            USUAL_WEIGHT * (MIN(steps, USUAL_CAP * u->steps) - u->steps);
    else
        u->steps = steps;
}

double qr_usual_pause_ms(const QRUsualPause *u, double step_ms)
{
    return u->steps * step_ms;
}

/* Tokens that the answer is expected to have; 0: unknown. */
static double expected_tokens(const QRTokensStated *stated)
{
    if (stated->hint > 0 && stated->most > 0)
        return MIN(stated->hint, stated->most);
    return MAX(stated->hint, 0);
}

void qr_stream_lengths_add(QRStreamLengths *l, uint64_t events,
                           const QRTokensStated *stated)
{
    double tokens = expected_tokens(stated), n = (double)events;

    if (events == 0)
        return;
    if (l->mean_events > 0)
        l->mean_events += LENGTH_WEIGHT * (n - l->mean_events);
    else
        l->mean_events = n;
    if (tokens <= 0)
        return;
    if (l->events_per_token > 0)
        l->events_per_token *= pow(
            CLAMP(n / tokens / l->events_per_token, 1 / RATIO_CAP, RATIO_CAP),
            LENGTH_WEIGHT);
    else
        l->events_per_token = n / tokens;
}

double qr_stream_lengths_expect(const QRStreamLengths *l, uint64_t so_far,
                                const QRTokensStated *stated)
{
    double n = expected_tokens(stated) * l->events_per_token;

    if (n <= (double)so_far)
        n = l->mean_events;
    return n > (double)so_far ? n : 0;
}

static int compare_pauses(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;

    return (x > y) - (x < y);
}

/* The lesser of median and mean of the last pauses: a stream counts as slow
   only if most of its pauses are long. */
static double recent_pause_ms(const QRStreamPace *p)
{
    unsigned n = MIN(p->count, QR_STREAM_PAUSES);
    double sorted[QR_STREAM_PAUSES], sum = 0;

    memcpy(sorted, p->pauses_ms, n * sizeof(sorted[0]));
    qsort(sorted, n, sizeof(sorted[0]), compare_pauses);
    for (unsigned i = 0; i < n; i++)
        sum += sorted[i];
    return MIN(sorted[(n - 1) / 2], sum / n);
}

QRStreamVerdict qr_stream_pace_judge(const QRStreamPace *p,
                                     const QRStreamFacts *f,
                                     QRStreamForecast *forecast)
{
    double left_ms, events_left, since_ms;

    if (p->count < PAUSES_MIN || !(f->usual_ms > 0) ||
        !isfinite(f->expected_events) || f->now_ms >= f->expires_ms)
        return QR_STREAM_KEEP;
    events_left = f->expected_events - (double)f->events;
    if (events_left < EVENTS_LEFT_MIN)
        return QR_STREAM_KEEP;
    left_ms = (double)(f->expires_ms - f->now_ms);
    since_ms = (double)(f->now_ms - MIN(f->now_ms, p->last_event_ms));
    forecast->pause_ms = recent_pause_ms(p);
    forecast->here_ms = MAX(forecast->pause_ms - since_ms, 0) +
                        (events_left - 1) * forecast->pause_ms;
    forecast->there_ms =
        f->other_first_ms + (events_left - 1) * f->other_pause_ms;
    if (forecast->pause_ms < SLOW_FACTOR * f->usual_ms ||
        forecast->here_ms <= left_ms)
        return QR_STREAM_KEEP;
    return forecast->there_ms <= TIME_SHARE_THERE * left_ms ? QR_STREAM_MOVE
                                                            : QR_STREAM_KEEP;
}
