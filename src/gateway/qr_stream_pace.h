/*
 * Decides whether a running stream can still end before its caller's deadline
 * at its engine, and whether it should be resumed at another one. No clock:
 * times are inputs, in ms.
 */
#ifndef QR_STREAM_PACE_H
#define QR_STREAM_PACE_H

#include "base/qr_base.h"

#define QR_STREAM_PAUSES 5 /* kept of each stream */

/* Pauses of one stream at its current engine. */
typedef struct QRStreamPace {
    double pauses_ms[QR_STREAM_PAUSES]; /* the last ones, per event */
    unsigned count;                     /* pauses so far */
    uint64_t last_event_ms;             /* 0: no event yet */
} QRStreamPace;

/*
 * The pause that is usual for a service: smoothed over its streams, in
 * multiples of the step time that the engine's model states for the calls open
 * there ('step_ms' below; 1 for a service without a model).
 */
typedef struct QRUsualPause {
    double steps; /* 0: not known yet */
} QRUsualPause;

/* Events of the complete streams of one route. */
typedef struct QRStreamLengths {
    double mean_events;      /* smoothed; 0: no stream was complete yet */
    double events_per_token; /* smoothed ratio to the tokens that callers state;
                                0: unknown */
} QRStreamLengths;

/* Tokens of an answer as its caller states them; 0: unknown. */
typedef struct QRTokensStated {
    double hint; /* estimate */
    double most; /* limit */
} QRTokensStated;

/* Reads numbers of header fields. NULL, and what is no number above 0 or is
   implausible, gives 0. 'usage' is "tokens in,most tokens out". */
QRTokensStated qr_tokens_stated(const char *hint, const char *usage);
/* Whether 'text' is a header value from which no plausible number was read. */
bool qr_tokens_are_invalid(const char *text, double read);

/* Forgets the pauses: the stream goes on at another engine. */
void qr_stream_pace_reset(QRStreamPace *p);
/* Records that 'events' arrived together. Returns the pause per event; 0: there
   is none before the first event. */
double qr_stream_pace_add(QRStreamPace *p, unsigned events, uint64_t now_ms);
/* The lesser of the last two pauses, which a single long pause does not raise;
   0: there are fewer. */
double qr_stream_pace_latest_ms(const QRStreamPace *p);

void qr_usual_pause_add(QRUsualPause *u, double pause_ms, double step_ms);
/* The usual pause at an engine with that step time; 0: unknown. */
double qr_usual_pause_ms(const QRUsualPause *u, double step_ms);

void qr_stream_lengths_add(QRStreamLengths *l, uint64_t events,
                           const QRTokensStated *stated);
/* Events to be expected of a whole stream that has had 'so_far'; 0: unknown. */
double qr_stream_lengths_expect(const QRStreamLengths *l, uint64_t so_far,
                                const QRTokensStated *stated);

typedef enum QRStreamVerdict {
    QR_STREAM_KEEP,
    QR_STREAM_MOVE,
} QRStreamVerdict;

typedef struct QRStreamFacts {
    double expected_events; /* of the whole stream; 0: unknown */
    uint64_t events;        /* so far */
    double usual_ms;        /* usual pause at this engine; 0: unknown */
    double other_first_ms;  /* until another engine sends its first event */
    double other_pause_ms;  /* pause expected there */
    uint64_t now_ms, expires_ms;
} QRStreamFacts;

/* What a verdict rests on; for the log. */
typedef struct QRStreamForecast {
    double pause_ms;          /* of the stream at this engine */
    double here_ms, there_ms; /* until its end, at this and another engine */
} QRStreamForecast;

/* Fills 'forecast' unless the stream is kept for lack of knowledge. */
QRStreamVerdict qr_stream_pace_judge(const QRStreamPace *p,
                                     const QRStreamFacts *f,
                                     QRStreamForecast *forecast);

#endif
