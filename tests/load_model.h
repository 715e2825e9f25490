/*
 * A model of engines, gateways and callers under load, without network or real
 * time: it runs the modules that choose an engine and reserve its slots.
 *
 * An engine works in passes: it reads a chunk of the prompts that wait, oldest
 * first, then plays some token steps for all calls that write. Words between
 * processes take a time. Callers arrive at random, the gateway at random too;
 * one who is refused comes back once.
 */
#ifndef LOAD_MODEL_H
#define LOAD_MODEL_H

#include "base/qr_base.h"

#define LOAD_KINDS 3

/* How gateways know what others hold at engines. */
typedef enum LoadWay {
    LOAD_TOLD,     /* each tells all others at each heartbeat */
    LOAD_RESERVED, /* the process beside the engine reserves its slots */
} LoadWay;

typedef struct LoadSetup {
    LoadWay way;
    unsigned gateways, engines, slots;
    double read_per_ms, step_ms; /* of an engine */
    unsigned stride, chunk;
    struct {
        double share;    /* of all calls */
        double prompt;   /* tokens, mean */
        unsigned events; /* of an answer, one a pass */
        unsigned objective_ms, gap_ms;
    } kinds[LOAD_KINDS];
    double calls_per_s;
    unsigned word_ms; /* one way between processes */
    unsigned news_ms; /* more, for what gateways tell one another */
    unsigned length_ms;
    uint64_t seed;
} LoadSetup;

/* What became of callers that arrived after the first second. */
typedef struct LoadOutcome {
    unsigned callers, in_aim, late, refused;
    unsigned sent, overfull; /* sendings; to engines without a free slot */
    unsigned asked, denied;  /* slots */
    double taken;            /* share of slots, mean over time */
    unsigned kind_callers[LOAD_KINDS], kind_in_aim[LOAD_KINDS];
    unsigned largest, largest_served; /* the tenth with the longest prompts */
    unsigned firsts_refused;          /* first tries */
} LoadOutcome;

/* The users' engines and mix where gateways and engines are most. */
LoadSetup load_setup(LoadWay way);
/* Calls a second that the engines can carry, by their costs. */
double load_capacity(const LoadSetup *s);
LoadOutcome load_run(const LoadSetup *s);

#endif
